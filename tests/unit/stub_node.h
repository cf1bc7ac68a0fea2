/**
 * @file
 * A node for tests of single controllers, with a clock that the test sets and
 * no other VM, store or database.  Each test program includes this once.
 */
#ifndef KL_STUB_NODE_H
#define KL_STUB_NODE_H

#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"

static uint64_t now_us = 1000 * KL_SEC; /* the clock */

static inline uint64_t stub_now(void *context)
{
	(void)context;
	return now_us;
}

static inline uint32_t stub_random(void *context)
{
	(void)context;
	return 0;
}

static inline void stub_send(void *context, const char *vm, const char *host,
			     uint16_t port, const kl_peer_message_t *message)
{
	(void)context;
	(void)vm;
	(void)host;
	(void)port;
	(void)message;
}

static inline void stub_platform(void *context, const kl_platform_call_t *call)
{
	(void)context;
	(void)call;
}

static inline void stub_database(void *context, const kl_database_call_t *call)
{
	(void)context;
	(void)call;
}

static inline void stub_log(void *context, const kl_decision_t *decision)
{
	(void)context;
	(void)decision;
}

/** Start a node of the VM a1. @return 0, or a negative kl_error_t */
static inline int stub_node_start(void **state, const kl_node_ops_t *ops)
{
	kl_node_t *node = calloc(1, sizeof(*node));

	kl_name_copy(node->self.vm, "a1");
	kl_name_copy(node->self.domain, "d1");
	strcpy(node->self.host, "10.0.0.1");
	node->self.port = 1;
	kl_tuning_default(&node->tuning);
	node->tuning.feed_count = KL_FEED_COUNT;
	node->tuning.watchers_per_domain = 1;
	node->tuning.platform_promotes = true;
	node->ops = ops;
	CK_SLIST_INIT(&node->seeds);
	*state = node;
	return kl_node_start(node);
}

static inline int stub_node_stop(void **state)
{
	kl_node_t *node = *state;

	kl_node_stop(node);
	free(node);
	return 0;
}

/** Run the controllers for some time, without any answer. */
static inline void stub_node_run(kl_node_t *node, uint64_t duration_us)
{
	kl_event_t event = { .kind = KL_EVENT_TICK };

	for (uint64_t end_us = now_us + duration_us; now_us < end_us;
	     now_us += 10 * KL_MS)
		kl_node_step(node, &event);
}

#endif
