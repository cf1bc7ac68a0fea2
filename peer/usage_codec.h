/**
 * @file
 * Encoding of the body of KL_PEER_USAGE.
 */
#ifndef KL_USAGE_CODEC_H
#define KL_USAGE_CODEC_H

#include <rpc/rpc.h>

#include "control/peer_message.h"
#include "peer/peer_wire.h"

/** Fill in the body of a message; kl_usage_encode_end() frees it. */
void kl_usage_encode(const kl_peer_message_t *message, kl_wire_message *wire);

/** Free what kl_usage_encode() allocated. */
void kl_usage_encode_end(kl_wire_message *wire);

/** Read the body of a message. */
void kl_usage_decode(kl_peer_message_t *message, const kl_wire_message *wire);

#endif
