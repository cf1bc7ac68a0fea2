/**
 * @file
 * Metrics of usage reports.
 */
#ifndef KL_STATUS_USAGE_H
#define KL_STATUS_USAGE_H

#include <event2/buffer.h>

#include "control/node.h"

/** Append the metrics, in the Prometheus format; none while reports are off. */
void kl_status_add_usage(struct evbuffer *body, kl_node_t *node);

#endif
