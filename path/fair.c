#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "path/fair.h"

/* Database time that a workspace is credited in each round. */
#define QUANTUM_US 2000
/* Database time that a workspace can owe at most. */
#define DEBT_MAX_US 50000

/* The waiters of one workspace. */
typedef struct kl_flow {
	kl_named_t name;		   /* the workspace */
	CK_STAILQ_ENTRY(kl_flow) link;	   /* in the queue's active flows */
	CK_STAILQ_ENTRY(kl_flow) all_link; /* in the list of all flows */
	CK_STAILQ_HEAD(, kl_waiter) waiters;
	int64_t deficit_us; /* database time credited; negative: owed */
	uint32_t waiter_count;
	bool has_waiters;
} kl_flow_t;

struct kl_fair_queue {
	CK_STAILQ_HEAD(, kl_flow) active_flows; /* flows with waiters */
	CK_STAILQ_HEAD(, kl_flow) all_flows;	/* all flows */
	kl_index_t *index;
	uint32_t active_count; /* number of active flows */
};

static kl_flow_t *get_flow(kl_fair_queue_t *queue, const char *workspace);
static void rotate(kl_fair_queue_t *queue, kl_flow_t *flow);
static void deactivate(kl_fair_queue_t *queue, kl_flow_t *flow);

kl_fair_queue_t *kl_fair_queue_new(void)
{
	kl_fair_queue_t *queue = calloc(1, sizeof(*queue));

	if (!queue)
		return NULL;
	CK_STAILQ_INIT(&queue->active_flows);
	CK_STAILQ_INIT(&queue->all_flows);
	queue->index = kl_index_new(16);
	return queue;
}

void kl_fair_queue_free(kl_fair_queue_t *queue)
{
	kl_flow_t *flow, *next;

	if (!queue)
		return;
	CK_STAILQ_FOREACH_SAFE(flow, &queue->all_flows, all_link, next)
		free(flow);
	kl_index_free(queue->index);
	free(queue);
}

int kl_fair_queue_push(kl_fair_queue_t *queue, const char *workspace,
		       kl_waiter_t *waiter)
{
	kl_flow_t *flow = get_flow(queue, workspace);

	if (!flow)
		return -KL_E_NOMEM;
	waiter->flow = flow;
	waiter->queued = true;
	CK_STAILQ_INSERT_TAIL(&flow->waiters, waiter, link);
	flow->waiter_count++;
	if (!flow->has_waiters) {
		flow->has_waiters = true;
		queue->active_count++;
		CK_STAILQ_INSERT_TAIL(&queue->active_flows, flow, link);
	}
	return 0;
}

kl_waiter_t *kl_fair_queue_pop(kl_fair_queue_t *queue)
{
	kl_flow_t *flow;
	kl_waiter_t *waiter;

	while ((flow = CK_STAILQ_FIRST(&queue->active_flows))) {
		if (flow->deficit_us <= 0 && queue->active_count > 1) {
			flow->deficit_us += QUANTUM_US;
			rotate(queue, flow);
			continue;
		}
		waiter = CK_STAILQ_FIRST(&flow->waiters);
		CK_STAILQ_REMOVE_HEAD(&flow->waiters, link);
		waiter->queued = false;
		flow->waiter_count--;
		if (!flow->waiter_count)
			deactivate(queue, flow);
		else
			rotate(queue, flow);
		return waiter;
	}
	return NULL;
}

void kl_fair_queue_remove(kl_fair_queue_t *queue, kl_waiter_t *waiter)
{
	kl_flow_t *flow = waiter->flow;

	if (!waiter->queued)
		return;
	CK_STAILQ_REMOVE(&flow->waiters, waiter, kl_waiter, link);
	waiter->queued = false;
	if (!--flow->waiter_count)
		deactivate(queue, flow);
}

void kl_fair_queue_charge(kl_fair_queue_t *queue, const char *workspace,
			  uint64_t used_us)
{
	kl_flow_t *flow = get_flow(queue, workspace);

	if (!flow)
		return;
	flow->deficit_us -= (int64_t)used_us;
	if (flow->deficit_us < -DEBT_MAX_US)
		flow->deficit_us = -DEBT_MAX_US;
}

uint32_t kl_fair_queue_waiter_count(const kl_fair_queue_t *queue,
				    const char *workspace)
{
	const kl_flow_t *flow = kl_index_get(queue->index, workspace);

	return flow ? flow->waiter_count : 0;
}

uint32_t kl_fair_queue_workspace_count(const kl_fair_queue_t *queue)
{
	return queue->active_count;
}

static kl_flow_t *get_flow(kl_fair_queue_t *queue, const char *workspace)
{
	kl_flow_t *flow = kl_index_get(queue->index, workspace);

	if (flow)
		return flow;
	flow = calloc(1, sizeof(*flow));
	if (!flow || kl_name_copy(flow->name.name, workspace)) {
		free(flow);
		return NULL;
	}
	CK_STAILQ_INIT(&flow->waiters);
	CK_STAILQ_INSERT_TAIL(&queue->all_flows, flow, all_link);
	kl_index_put(queue->index, &flow->name);
	return flow;
}

static void rotate(kl_fair_queue_t *queue, kl_flow_t *flow)
{
	CK_STAILQ_REMOVE_HEAD(&queue->active_flows, link);
	CK_STAILQ_INSERT_TAIL(&queue->active_flows, flow, link);
}

/* A flow without waiters keeps its debt, but saves no credit. */
static void deactivate(kl_fair_queue_t *queue, kl_flow_t *flow)
{
	CK_STAILQ_REMOVE(&queue->active_flows, flow, kl_flow, link);
	flow->has_waiters = false;
	queue->active_count--;
	if (flow->deficit_us > 0)
		flow->deficit_us = 0;
}
