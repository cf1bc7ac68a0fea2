/* The order of waiting statements by priority, workspace and deadline. */
#include <string.h>

#include "path/stmt_queue.h"

/* How the statements of one priority are compared. */
typedef struct comparison {
	uint64_t scan;
	uint64_t run_us;     /* mean time of a statement */
	uint64_t connect_us; /* time that opening a connection takes */
	uint64_t served_us;  /* when a statement sent now is answered */
} comparison_t;

static kl_queued_stmt_t *choose_by_priority(kl_stmt_queue_t *queue,
					    const kl_queue_offer_t *offer);
static kl_queued_stmt_t *next_by_priority(kl_stmt_queue_t *queue,
					  kl_queued_stmt_t *previous,
					  uint64_t now_us);
static uint64_t mean_run_us(const kl_stmt_queue_t *queue,
			    const kl_queued_stmt_t *stmt, uint64_t latency_us);
static void begin_scan(kl_stmt_queue_t *queue);
static void find_conns(kl_stmt_queue_t *queue, const kl_queue_offer_t *offer);
static void reserve(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt);
static uint32_t reserved_of(const kl_time_flow_t *flow, uint64_t scan);
static kl_queued_stmt_t *find_first(const kl_stmt_queue_t *queue,
				    uint64_t connect_us, uint64_t now_us);
static uint32_t first_priority(const kl_stmt_queue_t *queue);
static bool goes_before(const kl_queued_stmt_t *stmt,
			const kl_queued_stmt_t *other,
			const comparison_t *comparison);
static uint64_t use_us(const kl_time_flow_t *flow,
		       const comparison_t *comparison);

const kl_stmt_order_t kl_stmt_order_priority = {
	.tracks_usage = true,
	.choose = choose_by_priority,
	.next = next_by_priority,
	.too_late = kl_stmt_too_late,
	.reserve_us = mean_run_us,
};

/*
 * A statement without a connection keeps its place while one is opened for it,
 * so that it does not wait behind less urgent ones.  If another workspace's
 * connection must be closed for that, it does so only after a long wait: each
 * new connection takes time of the upstream.
 */
static kl_queued_stmt_t *choose_by_priority(kl_stmt_queue_t *queue,
					    const kl_queue_offer_t *offer)
{
	uint32_t places = offer->places, new_conns = offer->new_conns;
	kl_queued_stmt_t *stmt;

	begin_scan(queue);
	find_conns(queue, offer);
	while (places) {
		stmt = find_first(queue, offer->connect_us, offer->now_us);
		if (!stmt || offer->has_conn(offer->context, stmt->workspace))
			return stmt;
		reserve(queue, stmt);
		if (new_conns) {
			new_conns--;
			places--;
		} else if (kl_queued_stmt_waits_long(stmt, offer->now_us) &&
			   offer->may_replace(offer->context,
					      stmt->workspace)) {
			places--;
		}
	}
	return NULL;
}

static kl_queued_stmt_t *next_by_priority(kl_stmt_queue_t *queue,
					  kl_queued_stmt_t *previous,
					  uint64_t now_us)
{
	kl_queued_stmt_t *stmt;

	if (previous)
		reserve(queue, previous);
	else
		begin_scan(queue);
	stmt = find_first(queue, 0, now_us);
	if (stmt)
		stmt->conns_needed = reserved_of(stmt->flow, queue->scan) + 1;
	return stmt;
}

/* Notes which workspaces have idle connections. */
static void find_conns(kl_stmt_queue_t *queue, const kl_queue_offer_t *offer)
{
	kl_time_flow_t *flow;

	CK_STAILQ_FOREACH(flow, &queue->time.flows, link)
		flow->has_conn =
			flow->waiting_count &&
			offer->has_conn(offer->context, flow->workspace);
}

static void begin_scan(kl_stmt_queue_t *queue)
{
	queue->scan++;
	memset(queue->reserved, 0, sizeof(queue->reserved));
}

/* Reserves a place for a statement in the current scan. */
static void reserve(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt)
{
	kl_time_flow_t *flow = stmt->flow;

	stmt->scan = queue->scan;
	queue->reserved[stmt->priority]++;
	flow->reserved = reserved_of(flow, queue->scan) + 1;
	flow->scan = queue->scan;
}

/* Returns how many statements of a workspace a scan has reserved. */
static uint32_t reserved_of(const kl_time_flow_t *flow, uint64_t scan)
{
	return flow->scan == scan ? flow->reserved : 0;
}

/* Returns the first statement that the current scan has not reserved yet. */
static kl_queued_stmt_t *find_first(const kl_stmt_queue_t *queue,
				    uint64_t connect_us, uint64_t now_us)
{
	uint32_t priority = first_priority(queue);
	comparison_t comparison = { .scan = queue->scan,
				    .connect_us = connect_us };
	kl_queued_stmt_t *stmt, *first = NULL;

	if (priority >= KL_PRIORITY_LEVELS)
		return NULL;
	comparison.run_us = kl_upstream_time_run_us(&queue->time, priority);
	comparison.served_us = now_us + comparison.run_us;
	CK_STAILQ_FOREACH(stmt, &queue->stmts, link) {
		if (stmt->priority != priority || stmt->scan == queue->scan)
			continue;
		if (!first || goes_before(stmt, first, &comparison))
			first = stmt;
	}
	return first;
}

/*
 * Returns the most urgent priority that waits, or the least urgent one while it
 * got less than its part of the upstream's time.
 */
static uint32_t first_priority(const kl_stmt_queue_t *queue)
{
	const kl_upstream_time_t *time = &queue->time;
	uint64_t total_us = kl_upstream_time_used(time);
	uint64_t lowest_us = 0;
	uint32_t highest = KL_PRIORITY_LEVELS, lowest = 0;

	for (uint32_t i = 0; i < KL_PRIORITY_LEVELS; i++) {
		uint64_t reserved_us =
			queue->reserved[i] * kl_upstream_time_run_us(time, i);

		total_us += reserved_us;
		if (queue->waiting[i] <= queue->reserved[i])
			continue;
		if (highest == KL_PRIORITY_LEVELS)
			highest = i;
		lowest = i;
		lowest_us = time->used_us[i] + reserved_us;
	}
	return lowest_us < total_us / KL_QUEUE_FLOOR_DIVISOR ? lowest : highest;
}

/*
 * What can't be answered before its limit any more goes last, the newest first:
 * it would only make the others late.
 */
static bool goes_before(const kl_queued_stmt_t *stmt,
			const kl_queued_stmt_t *other,
			const comparison_t *comparison)
{
	bool late = stmt->limit_us < comparison->served_us;
	bool other_late = other->limit_us < comparison->served_us;
	uint64_t use = use_us(stmt->flow, comparison) * other->weight;
	uint64_t other_use = use_us(other->flow, comparison) * stmt->weight;

	if (late != other_late)
		return other_late;
	if (use != other_use)
		return use < other_use;
	return late ? stmt->deadline_us > other->deadline_us
		    : stmt->deadline_us < other->deadline_us;
}

/*
 * Returns the upstream's time that a workspace used, with that of a connection
 * to be opened: an idle connection is used some times before another workspace
 * gets its place.
 */
static uint64_t use_us(const kl_time_flow_t *flow,
		       const comparison_t *comparison)
{
	uint64_t reserved = reserved_of(flow, comparison->scan);
	uint64_t used_us = flow->used_us + reserved * comparison->run_us;

	return flow->has_conn ? used_us : used_us + comparison->connect_us;
}

/* A reserve above the mean was kept when the statement was taken. */
static uint64_t mean_run_us(const kl_stmt_queue_t *queue,
			    const kl_queued_stmt_t *stmt, uint64_t latency_us)
{
	uint64_t run_us = kl_upstream_time_run_us(&queue->time, stmt->priority);

	return run_us ? run_us : latency_us;
}
