/* The first statement of an operation: its route, its tokens, its place. */
#include <ck_pr.h>
#include <string.h>

#include "path/engine_internal.h"

#define WAIT_TARGETS 2 /* latency objectives that one may wait */
#define WAIT_LEAST_US (400 * KL_MS)
#define QUEUE_LEAST_US (250 * KL_MS)
#define LATE_PART 2 /* of its objective that a late one may queue */

static int take_route(kl_client_t *caller);
static void take_since(kl_client_t *caller);
static bool admit(kl_client_t *caller);
static void let_queue(kl_client_t *caller);

/* The first statement of an operation. */
void kl_client_begin_op(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	kl_stmt_t *run = &caller->stmt;
	const char *workspace;
	uint64_t wait;
	int error = take_route(caller);

	if (!error)
		error = kl_client_check_access(caller, &workspace);
	/* A key that was given to another workspace is another key. */
	if (!error && strcmp(workspace, caller->workspace))
		error = -KL_E_AUTH;
	if (!error)
		error = kl_client_resolve_writes(caller, command);
	if (error) {
		kl_client_refuse(caller, error);
		return;
	}
	wait = caller->route.target_us * WAIT_TARGETS;
	if (wait < WAIT_LEAST_US)
		wait = WAIT_LEAST_US;
	if (wait > caller->route.timeout_us)
		wait = caller->route.timeout_us;
	run->route_deadline_us = run->received_us + wait;
	/* In a queue what is late already would make others late. */
	wait = caller->route.target_us > QUEUE_LEAST_US
		       ? caller->route.target_us
		       : QUEUE_LEAST_US;
	run->queue_deadline_us = run->received_us + wait;
	run->deadline_us = run->received_us + caller->route.timeout_us;
	caller->txn_wrote = false;
	caller->txn_read_only = command->verb == KL_VERB_BEGIN_READ;
	if (!kl_client_needs_primary(caller))
		take_since(caller);
	kl_client_route(caller);
}

static int take_route(kl_client_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	kl_route_params_t *mine = &caller->route;
	const kl_route_rule_t *route;

	if (!engine->view.config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(engine->view.config->route_index,
			     caller->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	memcpy(mine->service, route->service, KL_NAME_MAX);
	mine->kind = route->kind;
	mine->max_age_us = route->max_age_ms * KL_MS;
	mine->target_us = route->target_latency_ms * KL_MS;
	mine->timeout_us = route->statement_timeout_ms
				   ? route->statement_timeout_ms * KL_MS
				   : engine->settings.statement_timeout_us;
	return 0;
}

/* The position that a replica must hold; none if it is not known. */
static void take_since(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;
	kl_cluster_t *cluster =
		kl_cluster_find(caller->engine, caller->route.service);
	uint64_t age = caller->route.max_age_us;

	if (!cluster ||
	    !kl_log_samples_find(&cluster->samples,
				 run->received_us > age ? run->received_us - age
							: 0,
				 &run->min_position))
		return;
	if (caller->route.kind != KL_ROUTE_SESSION ||
	    strcmp(caller->last_write_service, caller->route.service))
		return;
	/* What a replaced primary wrote is there from the new term's start. */
	if (caller->last_write.term < cluster->newest_term_start.term) {
		if (kl_position_compare(run->min_position,
					cluster->newest_term_start) < 0)
			run->min_position = cluster->newest_term_start;
	} else if (kl_position_compare(run->min_position, caller->last_write) <
		   0) {
		run->min_position = caller->last_write;
	}
}

/* Whether the operation has its tokens; else it waits for them, or is refused.
 */
static bool admit(kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_bucket_t *bucket = kl_client_bucket(caller);
	kl_stmt_t *run = &caller->stmt;

	if (run->admitted)
		return true;
	if (!run->tokens_asked_us) {
		run->tokens_asked_us = engine->now_us;
		if (bucket)
			ck_pr_inc_64(&bucket->arrived);
	}
	if (bucket && kl_admit_statement(&engine->view, bucket)) {
		if (engine->now_us >=
		    run->tokens_asked_us + engine->settings.admit_wait_us) {
			ck_pr_inc_64(&bucket->refused);
			kl_client_refuse(caller, -KL_E_RATE);
			return false;
		}
		if (!run->waiting_counted)
			ck_pr_inc_64(&bucket->waiting);
		run->waiting_counted = true;
		kl_client_wait(caller, KL_STMT_WAIT_TOKENS);
		engine->ops->tokens_needed(engine->context);
		return false;
	}
	kl_client_uncount_waiting(caller);
	run->admitted = true;
	engine->counts.admitted++;
	return true;
}

/* What waited for an upstream is late: it is worth a little more time. */
static void let_queue(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;
	uint64_t until =
		caller->engine->now_us + caller->route.target_us / LATE_PART;

	if (until > run->deadline_us)
		until = run->deadline_us;
	if (until > run->queue_deadline_us)
		run->queue_deadline_us = until;
}

kl_bucket_t *kl_client_bucket(const kl_client_t *caller)
{
	const kl_buckets_t *shares = caller->engine->view.shares;

	return shares ? kl_index_get(shares->index, caller->workspace) : NULL;
}

void kl_client_route(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;
	kl_engine_t *engine = caller->engine;
	kl_endpoint_t *place = NULL;

	if (engine->now_us >= run->retry_at_us)
		place = kl_endpoint_choose(caller);
	if (!place) {
		if (engine->now_us >= run->route_deadline_us)
			kl_client_refuse(caller, run->last_error
							 ? run->last_error
							 : -KL_E_NO_UPSTREAM);
		else
			kl_client_wait(caller, KL_STMT_WAIT_UPSTREAM);
		return;
	}
	/* Only now: what nothing can run must not use up the plan. */
	if (!admit(caller))
		return;
	let_queue(caller);
	kl_endpoint_enqueue(place, caller);
	kl_endpoint_serve_queue(place);
}

void kl_client_wait(kl_client_t *caller, kl_stmt_stage_t stage)
{
	caller->stmt.stage = stage;
	if (caller->on_waiting_list)
		return;
	caller->on_waiting_list = true;
	CK_LIST_INSERT_HEAD(&caller->engine->waiting, caller, waiting_link);
}

void kl_client_recheck(kl_client_t *caller)
{
	if (caller->stmt.stage == KL_STMT_LOGIN)
		kl_client_answer_login(caller, kl_client_check_login(caller));
	else if (caller->stmt.stage == KL_STMT_WAIT_TOKENS ||
		 caller->stmt.stage == KL_STMT_WAIT_UPSTREAM)
		kl_client_route(caller);
}

bool kl_client_needs_primary(const kl_client_t *caller)
{
	return caller->route.kind == KL_ROUTE_PRIMARY || caller->stmt.writes ||
	       caller->stmt.verb == KL_VERB_BEGIN;
}
