/* Recent use of an upstream by workspace and priority. */
#include <stdlib.h>
#include <string.h>

#include "path/upstream_time.h"

/* A mean moves by this part of the difference. */
#define AVERAGE_DIVISOR 8
/* After as many halvings nothing is left. */
#define HALVINGS_MAX 40

static void decay(kl_upstream_time_t *time, uint64_t now_us);
static void charge(kl_upstream_time_t *time, const char *workspace,
		   uint32_t priority, int64_t time_us);
static void add_clamped(uint64_t *sum, int64_t difference);

void kl_upstream_time_init(kl_upstream_time_t *time)
{
	memset(time, 0, sizeof(*time));
	time->shared.weight = 1;
	CK_STAILQ_INIT(&time->flows);
}

void kl_upstream_time_clear(kl_upstream_time_t *time)
{
	kl_time_flow_t *flow;

	while ((flow = CK_STAILQ_FIRST(&time->flows))) {
		CK_STAILQ_REMOVE_HEAD(&time->flows, link);
		free(flow);
	}
}

kl_time_flow_t *kl_upstream_time_flow(kl_upstream_time_t *time,
				      const char *workspace)
{
	kl_time_flow_t *flow;

	CK_STAILQ_FOREACH(flow, &time->flows, link) {
		if (!strcmp(flow->workspace, workspace))
			return flow;
	}
	flow = calloc(1, sizeof(*flow));
	if (!flow)
		return &time->shared;
	kl_name_copy(flow->workspace, workspace);
	flow->weight = 1;
	CK_STAILQ_INSERT_TAIL(&time->flows, flow, link);
	return flow;
}

void kl_upstream_time_update(kl_upstream_time_t *time, bool full,
			     uint64_t now_us)
{
	uint64_t passed_us = now_us - time->updated_us;

	time->updated_us = now_us;
	time->was_full = full;
	time->all_us += passed_us;
	if (full)
		time->full_us += passed_us;
	if (time->half_life_us &&
	    now_us - time->last_decay_us >= time->half_life_us)
		decay(time, now_us);
}

/* Halves what was used, and forgets workspaces that use nothing. */
static void decay(kl_upstream_time_t *time, uint64_t now_us)
{
	uint64_t halvings = (now_us - time->last_decay_us) / time->half_life_us;
	unsigned shift =
		halvings < HALVINGS_MAX ? (unsigned)halvings : HALVINGS_MAX;
	kl_time_flow_t *flow, *next;

	time->last_decay_us = now_us;
	time->all_us >>= shift;
	time->full_us >>= shift;
	time->full_run_us >>= shift;
	for (int i = 0; i < KL_PRIORITY_LEVELS; i++)
		time->used_us[i] >>= shift;
	time->shared.used_us >>= shift;
	CK_STAILQ_FOREACH_SAFE(flow, &time->flows, link, next) {
		flow->used_us >>= shift;
		if (flow->used_us || flow->waiting_count)
			continue;
		CK_STAILQ_REMOVE(&time->flows, flow, kl_time_flow, link);
		free(flow);
	}
}

void kl_upstream_time_sent(kl_upstream_time_t *time, kl_running_stmt_t *running,
			   const char *workspace, uint32_t priority,
			   uint64_t now_us)
{
	running->priority = priority;
	running->sent_us = now_us;
	running->not_run = false;
	running->charged_us = kl_upstream_time_run_us(time, priority);
	time->running++;
	charge(time, workspace, priority, (int64_t)running->charged_us);
}

void kl_upstream_time_done(kl_upstream_time_t *time,
			   const kl_running_stmt_t *running,
			   const char *workspace, uint64_t now_us)
{
	uint64_t *average_us = &time->run_avg_us[running->priority];
	uint64_t run_us = running->not_run ? 0 : now_us - running->sent_us;

	time->running--;
	if (time->was_full)
		time->full_run_us += run_us;
	charge(time, workspace, running->priority,
	       (int64_t)run_us - (int64_t)running->charged_us);
	if (running->not_run)
		return;
	if (*average_us)
		*average_us = ((AVERAGE_DIVISOR - 1) * *average_us + run_us) /
			      AVERAGE_DIVISOR;
	else
		*average_us = run_us;
}

static void charge(kl_upstream_time_t *time, const char *workspace,
		   uint32_t priority, int64_t time_us)
{
	kl_time_flow_t *flow = kl_upstream_time_flow(time, workspace);

	add_clamped(&time->used_us[priority], time_us);
	add_clamped(&flow->used_us, time_us);
}

/* A correction may exceed what a decay has left. */
static void add_clamped(uint64_t *sum, int64_t difference)
{
	if (difference < 0 && *sum < (uint64_t)-difference)
		*sum = 0;
	else
		*sum += (uint64_t)difference;
}

uint64_t kl_upstream_time_run_us(const kl_upstream_time_t *time,
				 uint32_t priority)
{
	uint64_t longest_us = 0;

	if (time->run_avg_us[priority])
		return time->run_avg_us[priority];
	for (int i = 0; i < KL_PRIORITY_LEVELS; i++)
		if (time->run_avg_us[i] > longest_us)
			longest_us = time->run_avg_us[i];
	return longest_us;
}

/*
 * Until much was seen, each place is taken to be in use all the time, as if
 * this had been seen for as long as one statement runs.
 */
uint64_t kl_upstream_time_work_in(const kl_upstream_time_t *time,
				  uint64_t wait_us, uint32_t places)
{
	uint64_t assumed_us = kl_upstream_time_run_us(time, 0);
	uint64_t full_us = time->full_us + assumed_us;
	uint64_t run_us = time->full_run_us + places * assumed_us;

	return full_us ? wait_us * run_us / full_us : wait_us * places;
}

uint64_t kl_upstream_time_capacity(const kl_upstream_time_t *time,
				   uint32_t places)
{
	uint64_t used_us = kl_upstream_time_used(time);
	uint64_t work_us = kl_upstream_time_work_in(time, time->all_us, places);

	return work_us > used_us ? work_us : used_us;
}

uint64_t kl_upstream_time_used(const kl_upstream_time_t *time)
{
	uint64_t sum_us = 0;

	for (int i = 0; i < KL_PRIORITY_LEVELS; i++)
		sum_us += time->used_us[i];
	return sum_us;
}
