/**
 * @file
 * The HTTP server for the daemon's status (JSON), its metrics (Prometheus text
 * format) and its readiness probe.
 */
#ifndef KL_STATUS_H
#define KL_STATUS_H

#include <event2/event.h>

#include "control/node.h"

typedef struct kl_status_server kl_status_server_t;

/**
 * Serve /status and /metrics.
 *
 * @param base the control thread's event loop
 * @return NULL if the port is in use or when out of memory
 */
kl_status_server_t *kl_status_server_new(struct event_base *base,
					 const char *host, uint16_t port,
					 kl_node_t *node);

/**
 * Serve the readiness probe on a port of its own: 200 if ready, else 503.
 *
 * @return 0, or -KL_E_UNAVAILABLE if the port is in use
 */
int kl_status_serve_ready(kl_status_server_t *server, const char *host,
			  uint16_t port, const char *path);

/** Stop serving. */
void kl_status_server_free(kl_status_server_t *server);

#endif
