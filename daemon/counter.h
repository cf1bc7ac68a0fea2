/**
 * @file
 * Counters of the daemon, bumped from any thread.
 */
#ifndef KL_COUNTER_H
#define KL_COUNTER_H

#include <stdint.h>
#include <stdio.h>

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
	KL_COUNTER_RETRIES,
	KL_COUNTER_PROOFS_LEASE,
	KL_COUNTER_PROOFS_MAJORITY,
	KL_COUNTER_LINKS_OPENED,
	KL_COUNTER_LINKS_DROPPED,
	KL_COUNTER_LATE_ANSWERS,
	KL_COUNTER_PEER_SENT,
	KL_COUNTER_PEER_SENT_BYTES,
	KL_COUNTER_PEER_RECEIVED,
	KL_COUNTER_PEER_MALFORMED,
	KL_COUNTER_PLATFORM_CALLS,
	KL_COUNTER_PLATFORM_ERRORS,
	KL_COUNTER_DOCUMENTS_REFUSED,
	KL_COUNTER_COUNT
} kl_counter_t;

void kl_counter_add(kl_counter_t counter, uint64_t more);
uint64_t kl_counter_get(kl_counter_t counter);

/** Add statements of one class to the latencies. */
void kl_latency_add(uint32_t kind, uint32_t ending, uint32_t place,
		    uint64_t more, uint64_t more_us);
/** Statements of one class, and the time that all of an ending took. */
uint64_t kl_latency_count(uint32_t kind, uint32_t ending, uint32_t place);
uint64_t kl_latency_sum_us(uint32_t kind, uint32_t ending);

/** Name and meaning, in Prometheus' habits. */
const char *kl_counter_name(kl_counter_t counter);
const char *kl_counter_help(kl_counter_t counter);

#endif
