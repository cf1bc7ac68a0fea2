/**
 * @file
 * The loopback port for status (JSON) and counters (Prometheus' text form).
 */
#ifndef KL_STATUS_H
#define KL_STATUS_H

#include <event2/event.h>

#include "control/node.h"

typedef struct kl_status_server kl_status_server_t;

/** Serve on the control thread's loop. @return NULL if the port is taken */
kl_status_server_t *kl_status_server_new(struct event_base *base,
					 const char *host, uint16_t port,
					 kl_node_t *node);
/** Serve the readiness probe. @return 0 or a negative kind */
int kl_status_serve_ready(kl_status_server_t *status, const char *host,
			  uint16_t port, const char *path);

void kl_status_server_free(kl_status_server_t *status);

#endif
