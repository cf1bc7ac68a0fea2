/* A caller's session: logged in, told apart by statement and state, waits. */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define LOGIN_US (1 * KL_SEC) /* a login waits for a configuration */

typedef void (*handler_t)(kl_client_t *caller, const kl_parsed_stmt_t *command);

static void go_on(kl_client_t *caller, const kl_parsed_stmt_t *command);
static void end_failed(kl_client_t *caller, const kl_parsed_stmt_t *command);
static void keep(kl_client_t *caller, const kl_parsed_stmt_t *command);
static void nothing(kl_client_t *caller, const kl_parsed_stmt_t *command);
static void malformed(kl_client_t *caller, const kl_parsed_stmt_t *command);
static bool is_configured(const kl_engine_t *engine);
static void observe(kl_client_t *caller, int error);
static void finish(kl_client_t *caller);
static bool ends_session(int error);

const uint32_t kl_latency_bounds_ms[KL_LATENCY_BUCKETS] = {
	5, 10, 25, 50, 100, 200, 400, 800, 1600, UINT32_MAX
};

/* What a statement does in a session that is idle, in a transaction, or in a
 * transaction that failed. */
static const handler_t handlers[KL_VERB_COUNT][3] = {
	[KL_VERB_BEGIN] = { kl_client_begin_op, malformed, malformed },
	[KL_VERB_BEGIN_READ] = { kl_client_begin_op, malformed, malformed },
	[KL_VERB_COMMIT] = { malformed, go_on, end_failed },
	[KL_VERB_ROLLBACK] = { nothing, go_on, end_failed },
	[KL_VERB_READ] = { kl_client_begin_op, go_on, malformed },
	[KL_VERB_WRITE] = { kl_client_begin_op, go_on, malformed },
	[KL_VERB_SET] = { keep, keep, malformed },
	[KL_VERB_PREPARE] = { keep, keep, malformed },
	[KL_VERB_EXECUTE] = { kl_client_begin_op, go_on, malformed },
	[KL_VERB_DEALLOCATE] = { keep, keep, malformed },
	[KL_VERB_UNKNOWN] = { malformed, malformed, malformed },
};

kl_client_t *kl_client_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us)
{
	kl_client_t *caller = calloc(1, sizeof(*caller));
	int error;

	if (!caller)
		return NULL;
	kl_engine_enter(engine, now_us);
	caller->engine = engine;
	caller->front = front;
	caller->session_number = ++engine->last_session_number;
	caller->txn_state = 'I';
	caller->idle_since_us = now_us;
	kl_state_init(&caller->state);
	CK_LIST_INSERT_HEAD(&engine->clients, caller, link);
	engine->client_count++;
	if (*key)
		kl_key_hash(key, caller->key_hash);
	error = kl_name_set(caller->database, database)
			? -KL_E_NOT_FOUND
			: kl_client_check_login(caller);
	if (kl_client_answer_login(caller, error))
		caller = NULL;
	kl_engine_exit(engine);
	return caller;
}

/* Whether the caller is gone. */
bool kl_client_answer_login(kl_client_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_decision_t refused = { .name = "login_refused",
				  .service = caller->database,
				  .reason = kl_error_info(error)->name };

	if (error && !is_configured(engine) &&
	    engine->now_us - caller->idle_since_us < LOGIN_US) {
		kl_client_wait(caller, KL_STMT_LOGIN);
		return false;
	}
	caller->stmt.stage = KL_STMT_NONE;
	if (!error) {
		engine->ops->accept_login(engine->context, caller->front);
		return false;
	}
	engine->ops->log_decision(engine->context, &refused);
	kl_client_end_session(caller, error);
	return true;
}

/* A process that has just begun knows no configuration yet. */
static bool is_configured(const kl_engine_t *engine)
{
	const kl_lifecycle_t *life = engine->view.life;

	return life && life->phase != KL_PHASE_STARTING && engine->view.terms;
}

int kl_client_check_login(kl_client_t *caller)
{
	const kl_view_t *scene = &caller->engine->view;
	const char *workspace;
	kl_bucket_t *bucket;
	int error;

	if (!scene->config || !scene->terms)
		return -KL_E_STALE_CONFIG;
	error = kl_client_check_access(caller, &workspace);
	if (!error)
		kl_name_set(caller->workspace, workspace);
	bucket = error ? NULL : kl_client_bucket(caller);
	/* Counted, so that the parts of the plan are kept while it is open. */
	caller->session_counted = bucket != NULL;
	if (bucket)
		ck_pr_inc_64(&bucket->sessions);
	return error;
}

/* Whose the key is now, and whether the route asks for one. */
int kl_client_check_access(const kl_client_t *caller, const char **workspace)
{
	const kl_config_t *config = caller->engine->view.config;
	const kl_route_rule_t *route;
	const kl_key_t *key;

	*workspace = "-";
	if (!config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(config->route_index, caller->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	key = kl_index_get(config->key_index, caller->key_hash);
	if (key && !key->withdrawn)
		*workspace = key->workspace->name.name;
	else if (!route->anonymous)
		return -KL_E_AUTH;
	return 0;
}

void kl_client_statement(kl_client_t *caller, const kl_parsed_stmt_t *command,
			 uint64_t now_us)
{
	kl_engine_t *engine = caller->engine;
	kl_stmt_t *run = &caller->stmt;
	int state = caller->txn_state == 'I'   ? 0
		    : caller->txn_state == 'T' ? 1
					       : 2;

	kl_engine_enter(engine, now_us);
	memset(run, 0, sizeof(*run));
	run->id = strdup(command->id);
	run->text = strdup(command->text);
	run->verb = command->verb;
	run->received_us = now_us;
	run->stage = KL_STMT_WAIT_UPSTREAM;
	if (run->id && run->text)
		handlers[command->verb][state](caller, command);
	else
		kl_client_end_session(caller, -KL_E_NOMEM);
	kl_engine_exit(engine);
}

void kl_client_disconnected(kl_client_t *caller, uint64_t now_us)
{
	kl_engine_t *engine = caller->engine;

	kl_engine_enter(engine, now_us);
	caller->front = NULL;
	kl_client_end_session(caller, 0);
	kl_engine_exit(engine);
}

int kl_client_resolve_writes(kl_client_t *caller,
			     const kl_parsed_stmt_t *command)
{
	const kl_state_entry_t *prepared;

	caller->stmt.writes = command->verb == KL_VERB_WRITE;
	if (command->verb != KL_VERB_EXECUTE)
		return 0;
	prepared = kl_state_find_prepared(&caller->state, command->name);
	if (!prepared)
		return -KL_E_NO_STATEMENT;
	caller->stmt.writes = prepared->writes;
	return 0;
}

void kl_client_uncount_waiting(kl_client_t *caller)
{
	kl_bucket_t *bucket = kl_client_bucket(caller);

	if (caller->stmt.waiting_counted && bucket &&
	    ck_pr_load_64(&bucket->waiting))
		ck_pr_dec_64(&bucket->waiting);
	caller->stmt.waiting_counted = false;
}

/* A further statement of a transaction. */
static void go_on(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	kl_stmt_t *run = &caller->stmt;
	const char *workspace;
	int error = kl_client_check_access(caller, &workspace);

	if (!error && strcmp(workspace, caller->workspace))
		error = -KL_E_AUTH;
	/* Of a route that was dropped the transaction may end. */
	if (error == -KL_E_NOT_FOUND)
		error = 0;
	if (!error && !caller->conn) {
		caller->txn_state = 'E';
		error = -KL_E_ABORTED;
		if (command->verb == KL_VERB_ROLLBACK) {
			caller->txn_state = 'I';
			kl_client_complete(caller);
			return;
		}
		if (command->verb == KL_VERB_COMMIT)
			caller->txn_state = 'I';
	}
	if (!error) {
		error = kl_client_resolve_writes(caller, command);
		if (error) {
			/* Never to be committed by a later statement. */
			kl_conn_abandon(caller->conn, true);
			caller->txn_state = 'E';
		}
	}
	if (error) {
		kl_client_refuse(caller, error);
		return;
	}
	run->endpoint = caller->conn->endpoint;
	run->deadline_us = run->received_us + caller->route.timeout_us;
	kl_stmt_run(caller, caller->conn);
}

/* COMMIT or ROLLBACK of a transaction that failed. */
static void end_failed(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	kl_stmt_t *run = &caller->stmt;

	if (caller->conn) {
		run->endpoint = caller->conn->endpoint;
		run->deadline_us = run->received_us + caller->route.timeout_us;
		kl_stmt_run(caller, caller->conn);
		return;
	}
	caller->txn_state = 'I';
	if (command->verb == KL_VERB_ROLLBACK)
		kl_client_complete(caller);
	else
		kl_client_refuse(caller, -KL_E_ABORTED);
}

/* Session state is kept here and carried over when it is needed. */
static void keep(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	int error;

	if (command->verb == KL_VERB_DEALLOCATE)
		error = kl_state_deallocate(&caller->state, command->name);
	else
		error = kl_state_set(
			&caller->state,
			command->verb == KL_VERB_SET ? KL_STATE_SETTING
						     : KL_STATE_PREPARED,
			command->name, command->writes, command->text);
	if (error)
		kl_client_refuse(caller, error);
	else
		kl_client_complete(caller);
}

static void nothing(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	(void)command;
	kl_client_complete(caller);
}

static void malformed(kl_client_t *caller, const kl_parsed_stmt_t *command)
{
	(void)command;
	kl_client_refuse(caller, -KL_E_PROTOCOL);
}

void kl_client_refuse(kl_client_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_stmt_t *run = &caller->stmt;
	kl_decision_t refused = { .name = "refused",
				  .request = run->id,
				  .workspace = caller->workspace,
				  .service = caller->route.service,
				  .upstream = run->endpoint
						      ? run->endpoint->name
						      : "",
				  .reason = kl_error_info(error)->name,
				  .position = run->min_position.number,
				  .age_us = engine->now_us - run->received_us };

	if (error == -KL_E_RATE)
		engine->counts.refused_rate++;
	else if (kl_error_info(error)->not_run)
		engine->counts.refused_other++;
	else
		engine->counts.unknown_outcomes++;
	engine->ops->log_decision(engine->context, &refused);
	observe(caller, error);
	finish(caller);
	if (ends_session(error)) {
		kl_client_end_session(caller, error);
		return;
	}
	engine->ops->send_error(engine->context, caller->front, error,
				caller->txn_state);
}

void kl_client_complete(kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;

	finish(caller);
	engine->ops->complete(engine->context, caller->front,
			      caller->txn_state);
}

void kl_client_send_result(kl_client_t *caller, const kl_stmt_result_t *outcome)
{
	kl_engine_t *engine = caller->engine;

	observe(caller, 0);
	finish(caller);
	engine->ops->result(engine->context, caller->front, outcome);
}

/* Statements that reach a database, by kind of route and by their end. */
static void observe(kl_client_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_engine_counts_t *counts = &engine->counts;
	kl_route_kind_t kind = caller->route.kind;
	kl_stmt_end_t ending = !error ? KL_STMT_END_SERVED
			       : kl_error_info(error)->not_run
				       ? KL_STMT_END_REFUSED
				       : KL_STMT_END_FAILED;
	uint64_t took = engine->now_us - caller->stmt.received_us;
	int place = 0;

	while (place < KL_LATENCY_BUCKETS - 1 &&
	       took > kl_latency_bounds_ms[place] * KL_MS)
		place++;
	counts->finished++;
	counts->latency_counts[kind][ending][place]++;
	counts->latency_sums_us[kind][ending] += took;
}

static void finish(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;

	kl_client_uncount_waiting(caller);
	if (caller->on_waiting_list)
		CK_LIST_REMOVE(caller, waiting_link);
	caller->on_waiting_list = false;
	if (run->stage == KL_STMT_WAIT_CONN)
		kl_endpoint_dequeue(caller);
	run->stage = KL_STMT_NONE;
	caller->idle_since_us = caller->engine->now_us;
	free(run->id);
	free(run->text);
	run->id = NULL;
	run->text = NULL;
}

void kl_client_end_session(kl_client_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_bucket_t *bucket;
	bool sent = caller->stmt.stage == KL_STMT_SENT ||
		    caller->stmt.stage == KL_STMT_SETUP;

	finish(caller);
	if (caller->conn)
		kl_conn_abandon(caller->conn,
				!sent || caller->txn_state != 'I');
	if (caller->front)
		engine->ops->end_session(engine->context, caller->front, error);
	bucket = caller->session_counted ? kl_client_bucket(caller) : NULL;
	if (bucket && ck_pr_load_64(&bucket->sessions))
		kl_release_session(bucket);
	kl_state_clear(&caller->state);
	CK_LIST_REMOVE(caller, link);
	engine->client_count--;
	free(caller);
}

static bool ends_session(int error)
{
	return error == -KL_E_AUTH || error == -KL_E_KEY_WITHDRAWN;
}
