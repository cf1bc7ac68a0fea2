/* Which new statements can't be answered in time, in the order by priority. */
#include <string.h>

#include "path/stmt_queue.h"

/*
 * This part of the time that a statement may wait is a reserve, because what
 * arrives meanwhile is only estimated.  A smaller one refuses more statements
 * after a wait, a larger one refuses more that could be served.
 */
#define WAIT_MARGIN_DIVISOR 3

static uint64_t work_before(const kl_stmt_queue_t *queue,
			    const kl_queued_stmt_t *stmt, uint64_t during_us);
static uint64_t work_before_in_priority(const kl_stmt_queue_t *queue,
					const kl_queued_stmt_t *stmt,
					uint64_t during_us);
static uint64_t proportion(uint64_t time_us, uint64_t part, uint64_t whole);

/*
 * The work that goes before a statement rises with the time that it waits, but
 * ever less, since other workspaces have used as much as its own in the end.
 * So it is answered in time if what goes before it in all the time it has is
 * less than what the upstream does in that time.
 */
bool kl_stmt_too_late(kl_stmt_queue_t *queue, const kl_queued_stmt_t *stmt,
		      uint64_t now_us)
{
	const kl_upstream_time_t *time = &queue->time;
	uint64_t run_us = kl_upstream_time_run_us(time, stmt->priority);
	uint32_t before = queue->time.running;
	uint64_t wait_us, work_us;

	for (uint32_t i = 0; i <= stmt->priority; i++)
		before += queue->waiting[i];
	if (before < queue->places)
		return false;
	if (now_us >= stmt->deadline_us)
		return true;
	wait_us = stmt->deadline_us - now_us;
	run_us += run_us / KL_RUN_RESERVE_DIVISOR;
	/* A statement that takes long is not refused for that alone. */
	wait_us -= run_us < wait_us / 2 ? run_us : wait_us / 2;
	wait_us -= wait_us / WAIT_MARGIN_DIVISOR;
	work_us = kl_upstream_time_work_in(time, wait_us, queue->places);
	return work_before(queue, stmt, work_us) > work_us;
}

/*
 * Returns the work that goes before a new statement, if all that the upstream
 * does meanwhile is during_us.
 */
static uint64_t work_before(const kl_stmt_queue_t *queue,
			    const kl_queued_stmt_t *stmt, uint64_t during_us)
{
	const kl_upstream_time_t *time = &queue->time;
	uint64_t total_us = kl_upstream_time_capacity(time, queue->places);
	uint64_t floor_us = during_us / KL_QUEUE_FLOOR_DIVISOR;
	uint64_t urgent_us = 0, lower = 0;

	for (uint32_t i = 0; i < stmt->priority; i++)
		urgent_us +=
			queue->waiting[i] * kl_upstream_time_run_us(time, i) +
			proportion(during_us, time->used_us[i], total_us);
	for (uint32_t i = stmt->priority + 1; i < KL_PRIORITY_LEVELS; i++)
		lower += queue->waiting[i];
	if (lower)
		urgent_us += floor_us;
	else if (urgent_us > during_us - floor_us)
		urgent_us = during_us - floor_us;
	return urgent_us + work_before_in_priority(queue, stmt, during_us);
}

/*
 * Returns the work of a new statement's own priority.  Another workspace goes
 * first with what it has waiting, and what will arrive, until it has used as
 * much as the statement's own.
 */
static uint64_t work_before_in_priority(const kl_stmt_queue_t *queue,
					const kl_queued_stmt_t *stmt,
					uint64_t during_us)
{
	const kl_upstream_time_t *time = &queue->time;
	uint64_t run_us = kl_upstream_time_run_us(time, stmt->priority);
	uint64_t total_us = kl_upstream_time_capacity(time, queue->places);
	uint64_t equal_us =
		proportion(during_us, time->used_us[stmt->priority], total_us);
	uint64_t own_us = run_us, own_used_us = 0, sum_us;
	const kl_time_flow_t *flow, *own = NULL;

	CK_STAILQ_FOREACH(flow, &time->flows, link) {
		if (!strcmp(flow->workspace, stmt->workspace))
			own = flow;
	}
	if (own) {
		own_us += own->waiting[stmt->priority] * run_us;
		own_used_us = own->used_us;
	}
	/* A place becomes free when half of a mean run time has reserved. */
	sum_us = own_us - run_us / 2;
	CK_STAILQ_FOREACH(flow, &time->flows, link) {
		uint64_t until_us = proportion(own_used_us + own_us,
					       flow->weight, stmt->weight);
		uint64_t work_us =
			flow->waiting[stmt->priority] * run_us +
			proportion(equal_us, flow->used_us, total_us);

		if (flow == own || until_us <= flow->used_us)
			continue;
		until_us -= flow->used_us;
		sum_us += work_us < until_us ? work_us : until_us;
	}
	return sum_us;
}

/* Returns a part of a time. */
static uint64_t proportion(uint64_t time_us, uint64_t part, uint64_t whole)
{
	return whole ? time_us * part / whole : 0;
}
