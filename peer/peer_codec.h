/**
 * @file
 * Encodes messages between VMs as datagrams and decodes them.  Each is an ONC
 * RPC call in XDR.
 */
#ifndef KL_PEER_CODEC_H
#define KL_PEER_CODEC_H

#include <stddef.h>

#include "control/peer_message.h"

#define KL_PEER_DATAGRAM_MAX 60000 /**< bytes of a datagram */

/**
 * Encode a message.
 *
 * @param host, port address that replies are sent to
 * @param size bytes of the buffer
 * @return bytes written, or a negative kl_error_t
 */
int kl_peer_encode(const kl_peer_message_t *message, const char *host,
		   uint16_t port, char *buffer, size_t size);

/**
 * Decode a message; kl_peer_message_clear() frees its objects.
 *
 * @param buffer the datagram, of length bytes
 * @return 0 or -KL_E_PROTOCOL
 */
int kl_peer_decode(kl_peer_message_t *message, char *buffer, size_t length);

/** Free a decoded message's objects. */
void kl_peer_message_clear(kl_peer_message_t *message);

#endif
