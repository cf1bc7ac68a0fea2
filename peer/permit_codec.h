/**
 * @file
 * The part of the peer codec for requests and grants of permits.
 */
#ifndef KL_PERMIT_CODEC_H
#define KL_PERMIT_CODEC_H

#include <rpc/rpc.h>

#include "control/peer_message.h"
#include "peer/peer_wire.h"

/** Encode message->permit_requests; wire refers to the message. */
void kl_permit_requests_encode(const kl_peer_message_t *message,
			       kl_wire_message *wire);

/** Decode the body of a KL_PEER_PERMIT_REQUEST. */
void kl_permit_requests_decode(kl_peer_message_t *message,
			       const kl_wire_message *wire);

/** Encode message->permit_grants; wire refers to the message. */
void kl_permit_grants_encode(const kl_peer_message_t *message,
			     kl_wire_message *wire);

/** Decode the body of a KL_PEER_PERMIT_GRANT. */
void kl_permit_grants_decode(kl_peer_message_t *message,
			     const kl_wire_message *wire);

/** Free what the two encoders allocated; other kinds are left alone. */
void kl_permits_encode_free(kl_wire_message *wire);

#endif
