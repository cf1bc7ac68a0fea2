/**
 * @file
 * The daemon's metrics: counters and histograms of statement times.  All
 * functions may be called from any thread.
 */
#ifndef KL_COUNTER_H
#define KL_COUNTER_H

#include <stdint.h>
#include <stdio.h>

#include "path/engine.h"

/** The counters; kl_counter_help() says what each one counts. */
typedef enum kl_counter {
	KL_COUNTER_SESSIONS,
	KL_COUNTER_LOGINS_REFUSED,
	KL_COUNTER_READS_REPLICA,
	KL_COUNTER_READS_PRIMARY,
	KL_COUNTER_WRITES,
	KL_COUNTER_ADMITTED,
	KL_COUNTER_REFUSED_RATE,
	KL_COUNTER_REFUSED_OTHER,
	KL_COUNTER_UNKNOWN_OUTCOMES,
	KL_COUNTER_STMTS_LEAVING,
	KL_COUNTER_WRITES_FORGOTTEN,
	KL_COUNTER_RETRIES,
	KL_COUNTER_PROOFS_LEASE,
	KL_COUNTER_PROOFS_MAJORITY,
	KL_COUNTER_CONNS_OPENED,
	KL_COUNTER_CONNS_DROPPED,
	KL_COUNTER_LATE_ANSWERS,
	KL_COUNTER_PEER_SENT,
	KL_COUNTER_PEER_SENT_BYTES,
	KL_COUNTER_PEER_UNSENT,
	KL_COUNTER_PEER_RECEIVED,
	KL_COUNTER_PEER_MALFORMED,
	KL_COUNTER_PLATFORM_CALLS,
	KL_COUNTER_PLATFORM_ERRORS,
	KL_COUNTER_DOCUMENTS_REFUSED,
	KL_COUNTER_SPILLED_LOAD,
	KL_COUNTER_SPILLED_POSITION,
	KL_COUNTER_SPILLED_FAILURE,
	KL_COUNTER_COUNT
} kl_counter_t;

/** The gauges: what the process holds now. */
typedef enum kl_gauge {
	KL_GAUGE_SESSIONS,
	KL_GAUGE_WAITING_STMTS,
	KL_GAUGE_QUEUED_STMTS,
	KL_GAUGE_RUNNING_STMTS,
	KL_GAUGE_SPILL_SHARE,
	KL_GAUGE_COUNT
} kl_gauge_t;

/** Set a gauge. */
void kl_gauge_set(kl_gauge_t gauge, uint64_t value);

/** @return a gauge's value */
uint64_t kl_gauge_get(kl_gauge_t gauge);

/** @return a gauge's name as a Prometheus metric */
const char *kl_gauge_name(kl_gauge_t gauge);

/** @return a gauge's Prometheus help text */
const char *kl_gauge_help(kl_gauge_t gauge);

/** Add to a counter. */
void kl_counter_add(kl_counter_t counter, uint64_t amount);

/** @return a counter's value */
uint64_t kl_counter_get(kl_counter_t counter);

/**
 * Add statements to the latency histogram of a kind of route and a way that
 * statements end.
 *
 * @param kind a kl_route_kind_t
 * @param ending a kl_stmt_end_t
 * @param bucket index into kl_latency_bounds_ms
 * @param statements number of statements to add to the bucket
 * @param total_us their latencies, microseconds, to add to the histogram's sum
 */
void kl_latency_add(uint32_t kind, uint32_t ending, uint32_t bucket,
		    uint64_t statements, uint64_t total_us);

/** Add what an engine counted since the counts published last. */
void kl_latency_publish(const kl_engine_counts_t *now,
			const kl_engine_counts_t *published);

/** @return number of statements in one bucket of a histogram */
uint64_t kl_latency_count(uint32_t kind, uint32_t ending, uint32_t bucket);

/** @return sum of the latencies in a histogram, microseconds */
uint64_t kl_latency_sum_us(uint32_t kind, uint32_t ending);

/**
 * Add what an engine counted by priority since it was last published.
 *
 * @param now, published KL_PRIORITY_LEVELS entries each
 */
void kl_priorities_add(const kl_priority_counts_t *now,
		       const kl_priority_counts_t *published);

/** Get the sums of one priority over all engines. */
void kl_priority_get(uint32_t priority, kl_priority_counts_t *counts);

/** @return a counter's name as a Prometheus metric */
const char *kl_counter_name(kl_counter_t counter);

/** @return a counter's Prometheus help text */
const char *kl_counter_help(kl_counter_t counter);

#endif
