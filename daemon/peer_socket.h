/**
 * @file
 * The UDP socket for messages between VMs.
 */
#ifndef KL_PEER_SOCKET_H
#define KL_PEER_SOCKET_H

#include <stdint.h>

#include "control/node.h"

/**
 * Open a non-blocking socket and bind it to an address; a failure is logged.
 *
 * @return the socket, or -KL_E_UNAVAILABLE
 */
int kl_peer_socket_open(const char *host, uint16_t port);

/**
 * Encode a message and send it.  One that can't be sent is counted.
 *
 * @param self address that replies are sent to
 * @param vm the receiver's name, or "" if it isn't known
 */
void kl_peer_socket_send(int fd, const kl_identity_t *self, const char *vm,
			 const char *host, uint16_t port,
			 const kl_peer_message_t *message);

#endif
