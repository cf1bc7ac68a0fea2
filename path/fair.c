#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "path/fair.h"

#define QUANTUM_US 2000 /* database time added in each round */
#define DEBT_US 50000	/* longest debt carried along */

typedef struct kl_flow {
	kl_named_t name; /* the workspace */
	CK_STAILQ_ENTRY(kl_flow) link;
	CK_STAILQ_ENTRY(kl_flow) all;
	CK_STAILQ_HEAD(, kl_waiter) waiters;
	int64_t deficit_us;
	uint32_t count;
	bool active;
} kl_flow_t;

struct kl_fair_queue {
	CK_STAILQ_HEAD(, kl_flow) active;
	CK_STAILQ_HEAD(, kl_flow) lanes;
	kl_index_t *index;
	uint32_t busy;
};

static kl_flow_t *lane_of(kl_fair_queue_t *fair, const char *workspace);
static void rotate(kl_fair_queue_t *fair, kl_flow_t *lane);
static void retire(kl_fair_queue_t *fair, kl_flow_t *lane);

kl_fair_queue_t *kl_fair_queue_new(void)
{
	kl_fair_queue_t *fair = calloc(1, sizeof(*fair));

	if (!fair)
		return NULL;
	CK_STAILQ_INIT(&fair->active);
	CK_STAILQ_INIT(&fair->lanes);
	fair->index = kl_index_new(16);
	return fair;
}

void kl_fair_queue_free(kl_fair_queue_t *fair)
{
	kl_flow_t *lane, *next;

	if (!fair)
		return;
	CK_STAILQ_FOREACH_SAFE(lane, &fair->lanes, all, next)
		free(lane);
	kl_index_free(fair->index);
	free(fair);
}

int kl_fair_queue_push(kl_fair_queue_t *fair, const char *workspace,
		       kl_waiter_t *waiter)
{
	kl_flow_t *lane = lane_of(fair, workspace);

	if (!lane)
		return -KL_E_NOMEM;
	waiter->flow = lane;
	waiter->queued = true;
	CK_STAILQ_INSERT_TAIL(&lane->waiters, waiter, link);
	lane->count++;
	if (!lane->active) {
		lane->active = true;
		fair->busy++;
		CK_STAILQ_INSERT_TAIL(&fair->active, lane, link);
	}
	return 0;
}

kl_waiter_t *kl_fair_queue_pop(kl_fair_queue_t *fair)
{
	kl_flow_t *lane;
	kl_waiter_t *waiter;

	while ((lane = CK_STAILQ_FIRST(&fair->active))) {
		if (lane->deficit_us <= 0 && fair->busy > 1) {
			lane->deficit_us += QUANTUM_US;
			rotate(fair, lane);
			continue;
		}
		waiter = CK_STAILQ_FIRST(&lane->waiters);
		CK_STAILQ_REMOVE_HEAD(&lane->waiters, link);
		waiter->queued = false;
		lane->count--;
		if (!lane->count)
			retire(fair, lane);
		else
			rotate(fair, lane);
		return waiter;
	}
	return NULL;
}

void kl_fair_queue_remove(kl_fair_queue_t *fair, kl_waiter_t *waiter)
{
	kl_flow_t *lane = waiter->flow;

	if (!waiter->queued)
		return;
	CK_STAILQ_REMOVE(&lane->waiters, waiter, kl_waiter, link);
	waiter->queued = false;
	if (!--lane->count)
		retire(fair, lane);
}

void kl_fair_queue_charge(kl_fair_queue_t *fair, const char *workspace,
			  uint64_t used_us)
{
	kl_flow_t *lane = lane_of(fair, workspace);

	if (!lane)
		return;
	lane->deficit_us -= (int64_t)used_us;
	if (lane->deficit_us < -DEBT_US)
		lane->deficit_us = -DEBT_US;
}

uint32_t kl_fair_queue_waiting(const kl_fair_queue_t *fair,
			       const char *workspace)
{
	const kl_flow_t *lane = kl_index_get(fair->index, workspace);

	return lane ? lane->count : 0;
}

uint32_t kl_fair_queue_active(const kl_fair_queue_t *fair)
{
	return fair->busy;
}

static kl_flow_t *lane_of(kl_fair_queue_t *fair, const char *workspace)
{
	kl_flow_t *lane = kl_index_get(fair->index, workspace);

	if (lane)
		return lane;
	lane = calloc(1, sizeof(*lane));
	if (!lane || kl_name_set(lane->name.name, workspace)) {
		free(lane);
		return NULL;
	}
	CK_STAILQ_INIT(&lane->waiters);
	CK_STAILQ_INSERT_TAIL(&fair->lanes, lane, all);
	kl_index_put(fair->index, &lane->name);
	return lane;
}

static void rotate(kl_fair_queue_t *fair, kl_flow_t *lane)
{
	CK_STAILQ_REMOVE_HEAD(&fair->active, link);
	CK_STAILQ_INSERT_TAIL(&fair->active, lane, link);
}

/* A lane that empties keeps its debt, but no credit to save up. */
static void retire(kl_fair_queue_t *fair, kl_flow_t *lane)
{
	CK_STAILQ_REMOVE(&fair->active, lane, kl_flow, link);
	lane->active = false;
	fair->busy--;
	if (lane->deficit_us > 0)
		lane->deficit_us = 0;
}
