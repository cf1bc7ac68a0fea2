/**
 * @file
 * Encoding of the bodies of messages that request or bring objects: fetches,
 * deltas and parts.
 */
#ifndef KL_OBJECT_CODEC_H
#define KL_OBJECT_CODEC_H

#include <rpc/rpc.h>

#include "control/peer_message.h"
#include "peer/peer_wire.h"

/** Fill in the body of a message. */
void kl_fetch_encode(const kl_peer_message_t *message, kl_wire_message *wire);
void kl_part_fetch_encode(const kl_peer_message_t *message,
			  kl_wire_message *wire);

/** The same; kl_objects_encode_end() frees it. */
void kl_delta_encode(const kl_peer_message_t *message, kl_wire_message *wire);
void kl_part_encode(const kl_peer_message_t *message, kl_wire_message *wire);

/** Free what kl_delta_encode() or kl_part_encode() allocated. */
void kl_objects_encode_end(kl_wire_message *wire);

/** Read the body of a message. */
void kl_fetch_decode(kl_peer_message_t *message, const kl_wire_message *wire);
void kl_part_fetch_decode(kl_peer_message_t *message,
			  const kl_wire_message *wire);
void kl_delta_decode(kl_peer_message_t *message, const kl_wire_message *wire);
void kl_part_decode(kl_peer_message_t *message, const kl_wire_message *wire);

#endif
