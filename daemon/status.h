/**
 * @file
 * The loopback port for status (JSON) and counters (Prometheus' text form).
 */
#ifndef KL_STATUS_H
#define KL_STATUS_H

#include <event2/event.h>

#include "control/node.h"

typedef struct kl_status kl_status_t;

/** Serve on the control thread's loop. @return NULL if the port is taken */
kl_status_t *kl_status_new(struct event_base *base, const char *host,
			   uint16_t port, kl_node_t *node);
void kl_status_free(kl_status_t *status);

#endif
