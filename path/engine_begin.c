/* The first statement of an operation: its route, its tokens, its place. */
#include <ck_pr.h>
#include <string.h>

#include "path/engine_internal.h"

#define WAIT_TARGETS 2 /* latency objectives that one may wait */
#define WAIT_LEAST_US (400 * KL_MS)
#define QUEUE_LEAST_US (250 * KL_MS)
#define LATE_PART 2 /* of its objective that a late one may queue */

static int take_route(kl_caller_t *caller);
static void take_since(kl_caller_t *caller);
static bool admit(kl_caller_t *caller);
static void let_queue(kl_caller_t *caller);

/* The first statement of an operation. */
void kl_caller_begin(kl_caller_t *caller, const kl_command_t *command)
{
	kl_run_t *run = &caller->run;
	const char *workspace;
	uint64_t wait;
	int error = take_route(caller);

	if (!error)
		error = kl_caller_check_access(caller, &workspace);
	/* A key that was given to another workspace is another key. */
	if (!error && strcmp(workspace, caller->workspace))
		error = -KL_E_AUTH;
	if (!error)
		error = kl_caller_take_prepared(caller, command);
	if (error) {
		kl_caller_refuse(caller, error);
		return;
	}
	wait = caller->route.target_us * WAIT_TARGETS;
	if (wait < WAIT_LEAST_US)
		wait = WAIT_LEAST_US;
	if (wait > caller->route.timeout_us)
		wait = caller->route.timeout_us;
	run->wait_until_us = run->came_us + wait;
	/* In a queue what is late already would make others late. */
	wait = caller->route.target_us > QUEUE_LEAST_US
		       ? caller->route.target_us
		       : QUEUE_LEAST_US;
	run->queue_until_us = run->came_us + wait;
	run->deadline_us = run->came_us + caller->route.timeout_us;
	caller->wrote = false;
	caller->reads_only = command->verb == KL_VERB_BEGIN_READ;
	if (!kl_caller_needs_primary(caller))
		take_since(caller);
	kl_caller_route(caller);
}

static int take_route(kl_caller_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	kl_terms_of_route_t *mine = &caller->route;
	const kl_route_rule_t *route;

	if (!engine->scene.config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(engine->scene.config->route_index,
			     caller->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	memcpy(mine->service, route->service, KL_NAME_MAX);
	mine->kind = route->kind;
	mine->max_age_us = route->max_age_ms * KL_MS;
	mine->target_us = route->target_ms * KL_MS;
	mine->timeout_us = route->timeout_ms ? route->timeout_ms * KL_MS
					     : engine->settings.statement_us;
	return 0;
}

/* The position that a replica must hold; none if it is not known. */
static void take_since(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;
	kl_cluster_t *cluster =
		kl_cluster_of(caller->engine, caller->route.service);
	uint64_t age = caller->route.max_age_us;

	if (!cluster ||
	    !kl_points_since(&cluster->points,
			     run->came_us > age ? run->came_us - age : 0,
			     &run->since))
		return;
	if (caller->route.kind != KL_ROUTE_SESSION ||
	    strcmp(caller->written_at, caller->route.service))
		return;
	/* What a replaced primary wrote is there from the new term's start. */
	if (caller->written.term < cluster->newest_term.term) {
		if (kl_position_compare(run->since, cluster->newest_term) < 0)
			run->since = cluster->newest_term;
	} else if (kl_position_compare(run->since, caller->written) < 0) {
		run->since = caller->written;
	}
}

/* Whether the operation has its tokens; else it waits for them, or is refused.
 */
static bool admit(kl_caller_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_bucket_t *bucket = kl_caller_bucket(caller);
	kl_run_t *run = &caller->run;

	if (run->admitted)
		return true;
	if (!run->asked_us) {
		run->asked_us = engine->now;
		if (bucket)
			ck_pr_inc_64(&bucket->asked);
	}
	if (bucket && kl_admit(&engine->scene, bucket)) {
		if (engine->now >=
		    run->asked_us + engine->settings.admit_wait_us) {
			ck_pr_inc_64(&bucket->refused);
			kl_caller_refuse(caller, -KL_E_RATE);
			return false;
		}
		if (!run->counted)
			ck_pr_inc_64(&bucket->waiting);
		run->counted = true;
		kl_caller_wait(caller, KL_RUN_TOKENS);
		engine->ops->demand(engine->context);
		return false;
	}
	kl_caller_stop_counting(caller);
	run->admitted = true;
	engine->counts.admitted++;
	return true;
}

/* What waited for an upstream is late: it is worth a little more time. */
static void let_queue(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;
	uint64_t until =
		caller->engine->now + caller->route.target_us / LATE_PART;

	if (until > run->deadline_us)
		until = run->deadline_us;
	if (until > run->queue_until_us)
		run->queue_until_us = until;
}

kl_bucket_t *kl_caller_bucket(const kl_caller_t *caller)
{
	const kl_shares_t *shares = caller->engine->scene.shares;

	return shares ? kl_index_get(shares->index, caller->workspace) : NULL;
}

void kl_caller_route(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;
	kl_engine_t *engine = caller->engine;
	kl_place_t *place = NULL;

	if (engine->now >= run->retry_us)
		place = kl_place_choose(caller);
	if (!place) {
		if (engine->now >= run->wait_until_us)
			kl_caller_refuse(caller, run->last_error
							 ? run->last_error
							 : -KL_E_NO_UPSTREAM);
		else
			kl_caller_wait(caller, KL_RUN_ROUTE);
		return;
	}
	/* Only now: what nothing can run must not use up the plan. */
	if (!admit(caller))
		return;
	let_queue(caller);
	kl_place_enqueue(place, caller);
	kl_place_serve(place);
}

void kl_caller_wait(kl_caller_t *caller, kl_run_stage_t stage)
{
	caller->run.stage = stage;
	if (caller->looks)
		return;
	caller->looks = true;
	CK_LIST_INSERT_HEAD(&caller->engine->waiting, caller, looked_at);
}

void kl_caller_look_again(kl_caller_t *caller)
{
	if (caller->run.stage == KL_RUN_LOGIN)
		kl_caller_answer_login(caller, kl_caller_log_in(caller));
	else if (caller->run.stage == KL_RUN_TOKENS ||
		 caller->run.stage == KL_RUN_ROUTE)
		kl_caller_route(caller);
}

bool kl_caller_needs_primary(const kl_caller_t *caller)
{
	return caller->route.kind == KL_ROUTE_PRIMARY || caller->run.writes ||
	       caller->run.verb == KL_VERB_BEGIN;
}
