/* Queues of statements, and the order by arrival. */
#include <string.h>

#include "path/stmt_queue.h"

/* A statement's wait is long above its latency objective divided by this. */
#define LONG_WAIT_DIVISOR 4
/* Bounds of the time in which use is forgotten by half. */
#define HALF_LIFE_MIN_US 100000
#define HALF_LIFE_MAX_US 10000000

static kl_queued_stmt_t *choose_by_arrival(kl_stmt_queue_t *queue,
					   const kl_queue_offer_t *offer);
static kl_queued_stmt_t *next_by_arrival(kl_stmt_queue_t *queue,
					 kl_queued_stmt_t *previous,
					 uint64_t now_us);
static bool never_too_late(kl_stmt_queue_t *queue, const kl_queued_stmt_t *stmt,
			   uint64_t now_us);
static uint64_t latency_and_quarter(const kl_stmt_queue_t *queue,
				    const kl_queued_stmt_t *stmt,
				    uint64_t latency_us);

const kl_stmt_order_t kl_stmt_order_arrival = {
	.tracks_usage = false,
	.choose = choose_by_arrival,
	.next = next_by_arrival,
	.too_late = never_too_late,
	.reserve_us = latency_and_quarter,
};

void kl_stmt_queue_init(kl_stmt_queue_t *queue, const kl_stmt_order_t *order)
{
	memset(queue, 0, sizeof(*queue));
	queue->order = order;
	CK_STAILQ_INIT(&queue->stmts);
	kl_upstream_time_init(&queue->time);
}

void kl_stmt_queue_clear(kl_stmt_queue_t *queue)
{
	kl_upstream_time_clear(&queue->time);
}

void kl_stmt_queue_set_places(kl_stmt_queue_t *queue, uint32_t places,
			      uint32_t in_use)
{
	queue->places = places;
	queue->full = queue->length && in_use >= places;
}

void kl_stmt_queue_push(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt,
			uint64_t now_us)
{
	kl_upstream_time_t *time = &queue->time;

	if (queue->order->tracks_usage) {
		if (time->half_life_us < stmt->target_us)
			time->half_life_us = stmt->target_us;
		if (time->half_life_us < HALF_LIFE_MIN_US)
			time->half_life_us = HALF_LIFE_MIN_US;
		if (time->half_life_us > HALF_LIFE_MAX_US)
			time->half_life_us = HALF_LIFE_MAX_US;
		kl_upstream_time_update(time, queue->full, now_us);
		stmt->flow = kl_upstream_time_flow(time, stmt->workspace);
		stmt->flow->weight = stmt->weight;
		stmt->flow->waiting[stmt->priority]++;
		stmt->flow->waiting_count++;
	}
	stmt->scan = 0;
	queue->waiting[stmt->priority]++;
	queue->length++;
	CK_STAILQ_INSERT_TAIL(&queue->stmts, stmt, link);
}

void kl_stmt_queue_remove(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt,
			  uint64_t now_us)
{
	if (queue->order->tracks_usage) {
		kl_upstream_time_update(&queue->time, queue->full, now_us);
		stmt->flow->waiting[stmt->priority]--;
		stmt->flow->waiting_count--;
	}
	queue->waiting[stmt->priority]--;
	queue->length--;
	CK_STAILQ_REMOVE(&queue->stmts, stmt, kl_queued_stmt, link);
}

void kl_stmt_queue_sent(kl_stmt_queue_t *queue, kl_running_stmt_t *running,
			const char *workspace, uint32_t priority,
			uint64_t now_us)
{
	if (!queue->order->tracks_usage)
		return;
	kl_upstream_time_update(&queue->time, queue->full, now_us);
	kl_upstream_time_sent(&queue->time, running, workspace, priority,
			      now_us);
}

void kl_stmt_queue_done(kl_stmt_queue_t *queue,
			const kl_running_stmt_t *running, const char *workspace,
			uint64_t now_us)
{
	if (!queue->order->tracks_usage)
		return;
	kl_upstream_time_update(&queue->time, queue->full, now_us);
	kl_upstream_time_done(&queue->time, running, workspace, now_us);
}

bool kl_queued_stmt_waits_long(const kl_queued_stmt_t *stmt, uint64_t now_us)
{
	return now_us - stmt->received_us > stmt->target_us / LONG_WAIT_DIVISOR;
}

bool kl_stmt_queue_waits_long(const kl_stmt_queue_t *queue, uint64_t now_us)
{
	const kl_queued_stmt_t *oldest = CK_STAILQ_FIRST(&queue->stmts);

	return oldest && kl_queued_stmt_waits_long(oldest, now_us);
}

/*
 * After a long wait the newest statement is served first: it can still meet its
 * latency objective, whereas serving the oldest first would make all statements
 * late.
 */
static kl_queued_stmt_t *choose_by_arrival(kl_stmt_queue_t *queue,
					   const kl_queue_offer_t *offer)
{
	bool newest_first = kl_stmt_queue_waits_long(queue, offer->now_us);
	kl_queued_stmt_t *stmt, *chosen = NULL;

	CK_STAILQ_FOREACH(stmt, &queue->stmts, link) {
		if (!offer->has_conn(offer->context, stmt->workspace))
			continue;
		chosen = stmt;
		if (!newest_first)
			break;
	}
	return chosen;
}

static kl_queued_stmt_t *next_by_arrival(kl_stmt_queue_t *queue,
					 kl_queued_stmt_t *previous,
					 uint64_t now_us)
{
	kl_queued_stmt_t *stmt = previous ? CK_STAILQ_NEXT(previous, link)
					  : CK_STAILQ_FIRST(&queue->stmts);
	(void)now_us;

	if (stmt)
		stmt->conns_needed = previous ? previous->conns_needed + 1 : 1;
	return stmt;
}

static bool never_too_late(kl_stmt_queue_t *queue, const kl_queued_stmt_t *stmt,
			   uint64_t now_us)
{
	(void)queue;
	(void)stmt;
	(void)now_us;
	return false;
}

static uint64_t latency_and_quarter(const kl_stmt_queue_t *queue,
				    const kl_queued_stmt_t *stmt,
				    uint64_t latency_us)
{
	(void)queue;
	(void)stmt;
	return latency_us + latency_us / KL_RUN_RESERVE_DIVISOR;
}
