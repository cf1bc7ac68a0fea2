/**
 * @file
 * The UDP socket for messages between VMs.
 */
#ifndef KL_PEER_SOCKET_H
#define KL_PEER_SOCKET_H

#include <stdint.h>

/**
 * Open a non-blocking socket and bind it to an address; a failure is logged.
 *
 * @return the socket, or -KL_E_UNAVAILABLE
 */
int kl_peer_socket_open(const char *host, uint16_t port);

#endif
