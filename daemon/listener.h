/**
 * @file
 * Listening sockets of client sessions.
 */
#ifndef KL_LISTENER_H
#define KL_LISTENER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct kl_listener kl_listener_t;

/**
 * Listen for clients.
 *
 * @param host IPv4 address to listen on
 * @param shared other threads listen on the same port with this flag; the
 *               kernel spreads the connections over them
 * @param accepted called with each accepted socket, which it then owns
 * @param owner passed to accepted
 * @return NULL if the address is in use or when out of memory
 */
kl_listener_t *kl_listener_new(struct event_base *base, const char *host,
			       uint16_t port, bool shared,
			       void (*accepted)(void *owner, int socket),
			       void *owner);

/** Accept no more connections, but keep the port. */
void kl_listener_stop(kl_listener_t *listener);

/** Stop listening and close the socket; NULL is allowed. */
void kl_listener_free(kl_listener_t *listener);

/**
 * Number of sessions of this process that leave enough descriptors for its
 * connections to databases and the platform.
 */
uint64_t kl_listener_max_sessions(void);

#endif
