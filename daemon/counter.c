#include <ck_pr.h>

#include "daemon/counter.h"

/* Name and help text of a metric in the Prometheus format. */
typedef struct counter_row {
	const char *name;
	const char *help;
} counter_row_t;

static const counter_row_t counter_rows[KL_COUNTER_COUNT] = {
	[KL_COUNTER_SESSIONS] = { "kl_sessions_total", "sessions accepted" },
	[KL_COUNTER_LOGINS_REFUSED] = { "kl_logins_refused_total",
					"logins refused" },
	[KL_COUNTER_READS_REPLICA] = { "kl_reads_replica_total",
				       "reads sent to replicas" },
	[KL_COUNTER_READS_PRIMARY] = { "kl_reads_primary_total",
				       "reads sent to primaries" },
	[KL_COUNTER_WRITES] = { "kl_writes_total",
				"writes and transactions sent to primaries" },
	[KL_COUNTER_ADMITTED] = { "kl_admitted_total",
				  "statements within the workspace's rate" },
	[KL_COUNTER_REFUSED_RATE] = { "kl_refused_rate_total",
				      "statements over the rate" },
	[KL_COUNTER_REFUSED_OTHER] = { "kl_refused_other_total",
				       "statements refused for other reasons" },
	[KL_COUNTER_UNKNOWN_OUTCOMES] = { "kl_unknown_outcomes_total",
					  "writes whose outcome is unknown" },
	[KL_COUNTER_STMTS_LEAVING] = { "kl_leaving_upstream_total",
				       "statements sent to upstreams that "
				       "leave" },
	[KL_COUNTER_WRITES_FORGOTTEN] = { "kl_session_writes_forgotten_total",
					  "writes whose log position a "
					  "session did not keep" },
	[KL_COUNTER_RETRIES] = { "kl_retries_total", "statements sent again" },
	[KL_COUNTER_PROOFS_LEASE] = { "kl_proofs_lease_total",
				      "writes proven by lease" },
	[KL_COUNTER_PROOFS_MAJORITY] = { "kl_proofs_majority_total",
					 "writes proven by a majority" },
	[KL_COUNTER_CONNS_OPENED] = { "kl_links_opened_total",
				      "upstream connections opened" },
	[KL_COUNTER_CONNS_DROPPED] = { "kl_links_dropped_total",
				       "upstream connections dropped" },
	[KL_COUNTER_LATE_ANSWERS] = { "kl_late_answers_total",
				      "answers whose request was given up" },
	[KL_COUNTER_PEER_SENT] = { "kl_peer_sent_total", "peer messages sent" },
	[KL_COUNTER_PEER_SENT_BYTES] = { "kl_peer_sent_bytes_total",
					 "bytes of peer messages sent" },
	[KL_COUNTER_PEER_UNSENT] = { "kl_peer_unsent_total",
				     "peer messages that were too large, or "
				     "that the system did not send" },
	[KL_COUNTER_PEER_RECEIVED] = { "kl_peer_received_total",
				       "peer messages received" },
	[KL_COUNTER_PEER_MALFORMED] = { "kl_peer_malformed_total",
					"peer messages that made no sense" },
	[KL_COUNTER_PLATFORM_CALLS] = { "kl_platform_calls_total",
					"calls of the platform" },
	[KL_COUNTER_PLATFORM_ERRORS] = { "kl_platform_errors_total",
					 "calls that failed" },
	[KL_COUNTER_DOCUMENTS_REFUSED] = { "kl_documents_refused_total",
					   "bad documents not installed" },
	[KL_COUNTER_SPILLED_LOAD] = { "kl_reads_spilled_load_total",
				      "reads sent to other failure domains for "
				      "the load of this one" },
	[KL_COUNTER_SPILLED_POSITION] = { "kl_reads_spilled_position_total",
					  "reads sent to other failure domains "
					  "since this one lacks the position" },
	[KL_COUNTER_SPILLED_FAILURE] = { "kl_reads_spilled_failure_total",
					 "reads sent to other failure domains "
					 "for lack of a database in this one" },
};

static const counter_row_t gauge_rows[KL_GAUGE_COUNT] = {
	[KL_GAUGE_SESSIONS] = { "kl_sessions_open", "open sessions" },
	[KL_GAUGE_WAITING_STMTS] = { "kl_statements_waiting",
				     "statements that wait for an upstream or "
				     "for tokens" },
	[KL_GAUGE_QUEUED_STMTS] = { "kl_statements_queued",
				    "statements that wait for a connection" },
	[KL_GAUGE_RUNNING_STMTS] = { "kl_statements_running",
				     "statements that run at upstreams" },
	[KL_GAUGE_SPILL_SHARE] = { "kl_spill_share_permille",
				   "highest share of a service's reads sent to "
				   "other failure domains for the load" },
};

static uint64_t counters[KL_COUNTER_COUNT];
static uint64_t gauges[KL_GAUGE_COUNT];
static uint64_t latency_buckets[KL_ROUTE_KIND_COUNT][KL_STMT_END_COUNT]
			       [KL_LATENCY_BUCKETS];
static uint64_t latency_sums_us[KL_ROUTE_KIND_COUNT][KL_STMT_END_COUNT];
static kl_priority_counts_t priorities[KL_PRIORITY_LEVELS];

void kl_priorities_add(const kl_priority_counts_t *now,
		       const kl_priority_counts_t *published)
{
	for (int i = 0; i < KL_PRIORITY_LEVELS; i++) {
		ck_pr_add_64(&priorities[i].served,
			     now[i].served - published[i].served);
		ck_pr_add_64(&priorities[i].refused,
			     now[i].refused - published[i].refused);
		ck_pr_add_64(&priorities[i].queued_us,
			     now[i].queued_us - published[i].queued_us);
	}
}

void kl_priority_get(uint32_t priority, kl_priority_counts_t *counts)
{
	counts->served = ck_pr_load_64(&priorities[priority].served);
	counts->refused = ck_pr_load_64(&priorities[priority].refused);
	counts->queued_us = ck_pr_load_64(&priorities[priority].queued_us);
}

void kl_latency_add(uint32_t kind, uint32_t ending, uint32_t bucket,
		    uint64_t statements, uint64_t total_us)
{
	ck_pr_add_64(&latency_buckets[kind][ending][bucket], statements);
	ck_pr_add_64(&latency_sums_us[kind][ending], total_us);
}

void kl_latency_publish(const kl_engine_counts_t *now,
			const kl_engine_counts_t *published)
{
	for (uint32_t kind = 0; kind < KL_ROUTE_KIND_COUNT; kind++) {
		for (uint32_t end = 0; end < KL_STMT_END_COUNT; end++) {
			kl_latency_add(
				kind, end, 0, 0,
				now->latency_sums_us[kind][end] -
					published->latency_sums_us[kind][end]);
			for (uint32_t i = 0; i < KL_LATENCY_BUCKETS; i++)
				kl_latency_add(
					kind, end, i,
					now->latency_counts[kind][end][i] -
						published->latency_counts[kind]
									 [end]
									 [i],
					0);
		}
	}
}

uint64_t kl_latency_count(uint32_t kind, uint32_t ending, uint32_t bucket)
{
	return ck_pr_load_64(&latency_buckets[kind][ending][bucket]);
}

uint64_t kl_latency_sum_us(uint32_t kind, uint32_t ending)
{
	return ck_pr_load_64(&latency_sums_us[kind][ending]);
}

void kl_counter_add(kl_counter_t counter, uint64_t amount)
{
	ck_pr_add_64(&counters[counter], amount);
}

uint64_t kl_counter_get(kl_counter_t counter)
{
	return ck_pr_load_64(&counters[counter]);
}

void kl_gauge_set(kl_gauge_t gauge, uint64_t value)
{
	ck_pr_store_64(&gauges[gauge], value);
}

uint64_t kl_gauge_get(kl_gauge_t gauge)
{
	return ck_pr_load_64(&gauges[gauge]);
}

const char *kl_gauge_name(kl_gauge_t gauge)
{
	return gauge_rows[gauge].name;
}

const char *kl_gauge_help(kl_gauge_t gauge)
{
	return gauge_rows[gauge].help;
}

const char *kl_counter_name(kl_counter_t counter)
{
	return counter_rows[counter].name;
}

const char *kl_counter_help(kl_counter_t counter)
{
	return counter_rows[counter].help;
}
