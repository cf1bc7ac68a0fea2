/* Start of an operation: route settings, tokens, choice of an upstream. */
#include <ck_pr.h>
#include <string.h>

#include "path/engine_internal.h"

/* A statement waits at most this many latency objectives for an upstream. */
#define ROUTE_WAIT_TARGETS 2
/* Lower bounds of the time to wait for an upstream and for a connection. */
#define ROUTE_WAIT_MIN_US (400 * KL_MS)
#define QUEUE_WAIT_MIN_US (250 * KL_MS)
/*
 * A statement that got its upstream late may wait for a connection for at least
 * its latency objective divided by this.
 */
#define LATE_QUEUE_DIVISOR 2

/*
 * A read waits for a log position at most its latency objective divided by
 * this.
 */
#define POSITION_WAIT_DIVISOR 8

/*
 * A VM without a lease for this long is probably cut off from the platform;
 * statements are then refused at once, and may run through another VM.
 */
#define LEASE_LOST_US (300 * KL_MS)
/*
 * Fencing that takes longer than this waits for the leases of VMs that do not
 * acknowledge it, so that its end is known.
 */
#define FENCING_ACKS_US (1 * KL_SEC)
/*
 * If a primary leaves and none has replaced it after this time, something keeps
 * the other databases from being promoted.
 */
#define PLANNED_CHANGE_US (3 * KL_SEC)

static int copy_route(kl_client_t *client);
static void set_min_position(kl_client_t *client);
static void cover_session_writes(kl_client_t *client,
				 const kl_cluster_t *cluster);
static bool waits_for_position(kl_client_t *client);
static uint64_t token_wait_us(const kl_client_t *client);
static bool take_tokens(kl_client_t *client);
static void extend_queue_deadline(kl_client_t *client);
static bool primary_is_late(const kl_client_t *client);
static bool primary_has_left(const kl_client_t *client,
			     const kl_group_t *group);

void kl_client_begin_op(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	kl_stmt_t *stmt = &client->stmt;
	const char *workspace;
	uint64_t wait_us;
	int error = copy_route(client);

	if (!error)
		error = kl_client_check_access(client, &workspace);
	/* The key may have another workspace since the last operation. */
	if (!error && strcmp(workspace, client->workspace))
		kl_client_set_workspace(client, workspace);
	if (!error && kl_drain_starts_too_late(client))
		error = -KL_E_DRAINING;
	if (!error)
		error = kl_client_resolve_writes(client, parsed);
	if (error) {
		kl_client_refuse(client, error);
		return;
	}
	wait_us = client->route.target_latency_us * ROUTE_WAIT_TARGETS;
	if (wait_us < ROUTE_WAIT_MIN_US)
		wait_us = ROUTE_WAIT_MIN_US;
	if (wait_us > client->route.stmt_timeout_us)
		wait_us = client->route.stmt_timeout_us;
	stmt->route_deadline_us = stmt->received_us + wait_us;
	/*
	 * A statement that has missed its latency objective in the queue would
	 * only delay the statements behind it.
	 */
	wait_us = client->route.target_latency_us > QUEUE_WAIT_MIN_US
			  ? client->route.target_latency_us
			  : QUEUE_WAIT_MIN_US;
	stmt->queue_deadline_us = stmt->received_us + wait_us;
	stmt->deadline_us = stmt->received_us + client->route.stmt_timeout_us;
	stmt->answer_due_us =
		stmt->received_us + client->route.target_latency_us;
	client->txn_wrote = false;
	client->txn_read_only = parsed->verb == KL_VERB_BEGIN_READ;
	if (!kl_client_needs_primary(client))
		set_min_position(client);
	kl_client_route(client);
}

static int copy_route(kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	kl_route_params_t *params = &client->route;
	const kl_route_rule_t *route;

	if (!engine->view.config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(engine->view.config->route_index,
			     client->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	memcpy(params->service, route->service, KL_NAME_MAX);
	params->kind = route->kind;
	params->max_age_us = route->max_age_ms * KL_MS;
	params->target_latency_us = route->target_latency_ms * KL_MS;
	params->priority = route->priority;
	params->stmt_timeout_us =
		route->statement_timeout_ms
			? route->statement_timeout_ms * KL_MS
			: engine->settings.statement_timeout_us;
	return 0;
}

/*
 * Sets the log position that a replica must have for this read.  It stays unset
 * if it is not known; then the primary is used.
 */
static void set_min_position(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;
	kl_cluster_t *cluster =
		kl_cluster_find(client->engine, client->route.service);
	uint64_t max_age_us = client->route.max_age_us;

	if (!cluster)
		return;
	kl_cluster_update_samples(cluster);
	if (!kl_log_samples_find(&cluster->position_samples,
				 stmt->received_us > max_age_us
					 ? stmt->received_us - max_age_us
					 : 0,
				 &stmt->min_position))
		return;
	if (client->route.kind == KL_ROUTE_SESSION)
		cover_session_writes(client, cluster);
}

/* Raises the log position that a replica must have to the session's writes. */
static void cover_session_writes(kl_client_t *client,
				 const kl_cluster_t *cluster)
{
	static const kl_position_t not_known;
	kl_stmt_t *stmt = &client->stmt;
	kl_position_t position;

	switch (kl_session_writes_find(&client->writes, cluster->name,
				       &position)) {
	case KL_WRITE_NONE:
		return;
	case KL_WRITE_UNKNOWN:
		stmt->min_position = not_known;
		return;
	case KL_WRITE_KNOWN:
		break;
	}
	/* Writes of earlier terms precede the newest term in the log. */
	if (position.term < cluster->newest_term_first_position.term)
		position = cluster->newest_term_first_position;
	if (kl_position_compare(stmt->min_position, position) < 0)
		stmt->min_position = position;
}

/*
 * Whether the read waits for a log position that the next reply of the primary
 * or another VM will bring.  After a start no VM has one, and reads that all go
 * to the primary would keep its writes waiting.
 */
static bool waits_for_position(kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	uint64_t wait_us = engine->settings.position_wait_us;

	if (!wait_us || kl_client_needs_primary(client) ||
	    client->stmt.min_position.term)
		return false;
	set_min_position(client);
	if (wait_us > client->route.target_latency_us / POSITION_WAIT_DIVISOR)
		wait_us =
			client->route.target_latency_us / POSITION_WAIT_DIVISOR;
	return !client->stmt.min_position.term &&
	       engine->now_us < client->stmt.received_us + wait_us;
}

/*
 * Returns how long the statement may wait for tokens.  A process that starts
 * has none yet, which says nothing about the plan.
 */
static uint64_t token_wait_us(const kl_client_t *client)
{
	const kl_lifecycle_t *lifecycle = client->engine->view.lifecycle;

	if (lifecycle && lifecycle->phase == KL_PHASE_STARTING)
		return client->route.stmt_timeout_us;
	return client->engine->settings.admit_wait_us;
}

/* Takes tokens. @return false if the statement waits for them or was refused */
static bool take_tokens(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_bucket_t *bucket = kl_client_bucket(client);
	kl_stmt_t *stmt = &client->stmt;

	if (stmt->admitted)
		return true;
	/* The workspace was removed and added again, or is new. */
	if (bucket != client->session_bucket)
		kl_client_set_workspace(client, client->workspace);
	if (!stmt->tokens_requested_us) {
		stmt->tokens_requested_us = engine->now_us;
		if (bucket)
			ck_pr_inc_64(&bucket->arrived_statements);
	}
	if (bucket && kl_admit_statement(&engine->view, bucket)) {
		if (engine->now_us >=
		    stmt->tokens_requested_us + token_wait_us(client)) {
			ck_pr_inc_64(&bucket->refused_statements);
			kl_client_refuse(client, -KL_E_RATE);
			return false;
		}
		if (!stmt->waiting_bucket)
			stmt->waiting_bucket = kl_count_waiting(bucket);
		kl_client_wait(client, KL_STMT_WAIT_TOKENS);
		engine->ops->tokens_needed(engine->context);
		return false;
	}
	kl_client_uncount_waiting(client);
	stmt->admitted = true;
	engine->counts.admitted++;
	return true;
}

/* Allows a statement that had to wait for an upstream more time to queue. */
static void extend_queue_deadline(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;
	uint64_t until_us =
		client->engine->now_us +
		client->route.target_latency_us / LATE_QUEUE_DIVISOR;

	if (until_us > stmt->deadline_us)
		until_us = stmt->deadline_us;
	if (until_us > stmt->queue_deadline_us)
		stmt->queue_deadline_us = until_us;
	if (until_us > stmt->answer_due_us)
		stmt->answer_due_us = until_us;
}

kl_bucket_t *kl_client_bucket(const kl_client_t *client)
{
	const kl_buckets_t *buckets = client->engine->view.buckets;

	return buckets ? kl_index_get(buckets->index, client->workspace) : NULL;
}

void kl_client_route(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;
	kl_engine_t *engine = client->engine;
	kl_endpoint_t *endpoint = NULL;

	if (waits_for_position(client)) {
		kl_client_wait(client, KL_STMT_WAIT_UPSTREAM);
		return;
	}
	if (engine->now_us >= stmt->retry_at_us)
		endpoint = kl_endpoint_choose(client);
	if (!endpoint) {
		if (engine->now_us >= stmt->route_deadline_us ||
		    primary_is_late(client))
			kl_client_refuse(client, stmt->last_error
							 ? stmt->last_error
							 : -KL_E_NO_UPSTREAM);
		else
			kl_client_wait(client, KL_STMT_WAIT_UPSTREAM);
		return;
	}
	extend_queue_deadline(client);
	if (kl_endpoint_is_too_late(endpoint, client)) {
		stmt->endpoint = endpoint;
		kl_client_refuse(client, kl_client_late_error(client));
		return;
	}
	/*
	 * Only after an upstream was chosen: a statement that cannot run must
	 * not use up the plan's rate.
	 */
	if (!take_tokens(client))
		return;
	extend_queue_deadline(client);
	kl_stmt_note_choice(client, endpoint);
	kl_endpoint_enqueue(endpoint, client);
	kl_endpoint_serve_queue(endpoint);
}

/* Whether a statement needs a primary and none is expected in time. */
static bool primary_is_late(const kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	const kl_confirmation_t *confirmation = engine->view.confirmation;
	const kl_group_t *group =
		kl_engine_find_group(engine, client->route.service);
	uint64_t lease_us = engine->settings.data_path.lease_us;

	if (!group || !confirmation ||
	    (!kl_client_needs_primary(client) &&
	     client->stmt.min_position.term))
		return false;
	if (engine->now_us > confirmation->confirmed_us + lease_us)
		return engine->now_us - confirmation->confirmed_us - lease_us >
		       LEASE_LOST_US;
	if (primary_has_left(client, group))
		return true;
	/* The promoter waits a tenth longer than the lease. */
	return group->state == KL_GROUP_FENCING &&
	       engine->now_us - group->first_seen_us > FENCING_ACKS_US &&
	       group->first_seen_us + lease_us + lease_us / 10 >
		       client->stmt.route_deadline_us;
}

/* Whether the primary may not be used any more and none will follow soon. */
static bool primary_has_left(const kl_client_t *client, const kl_group_t *group)
{
	const kl_engine_t *engine = client->engine;
	kl_cluster_t *cluster =
		kl_cluster_find(client->engine, client->route.service);
	const kl_endpoint_t *primary, *other;

	primary = cluster ? kl_endpoint_find(cluster, group->primary) : NULL;
	if (!primary || group->state != KL_GROUP_STABLE ||
	    kl_endpoint_may_start(primary))
		return false;
	if (engine->now_us - primary->leaving_seen_us > PLANNED_CHANGE_US)
		return true;
	CK_STAILQ_FOREACH(other, &cluster->endpoints, link) {
		if (other->accepts_stmts && !other->leaving &&
		    !other->failing_since_us)
			return false;
	}
	return true;
}

void kl_client_wait(kl_client_t *client, kl_stmt_stage_t stage)
{
	client->stmt.stage = stage;
	if (client->on_waiting_list)
		return;
	client->on_waiting_list = true;
	CK_LIST_INSERT_HEAD(&client->engine->waiting, client, waiting_link);
}

void kl_client_recheck(kl_client_t *client)
{
	if (client->stmt.stage == KL_STMT_LOGIN)
		kl_client_answer_login(client, kl_client_check_login(client));
	else if (client->stmt.stage == KL_STMT_WAIT_TOKENS ||
		 client->stmt.stage == KL_STMT_WAIT_UPSTREAM)
		kl_client_route(client);
}

bool kl_client_needs_primary(const kl_client_t *client)
{
	return client->route.kind == KL_ROUTE_PRIMARY || client->stmt.writes ||
	       client->stmt.verb == KL_VERB_BEGIN;
}
