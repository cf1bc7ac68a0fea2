/* Client sessions: login, statements by transaction state, replies. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

/* A login waits at most this long for the end of the process's start. */
#define LOGIN_WAIT_US (1500 * KL_MS)

typedef void (*handler_t)(kl_client_t *client, const kl_parsed_stmt_t *parsed);

static void continue_txn(kl_client_t *client, const kl_parsed_stmt_t *parsed);
static void end_failed_txn(kl_client_t *client, const kl_parsed_stmt_t *parsed);
static void update_state(kl_client_t *client, const kl_parsed_stmt_t *parsed);
static void accept_rollback(kl_client_t *client,
			    const kl_parsed_stmt_t *parsed);
static void reject(kl_client_t *client, const kl_parsed_stmt_t *parsed);
static bool is_configured(const kl_engine_t *engine);
static uint64_t config_version(const kl_engine_t *engine);
static void count_result(kl_client_t *client, int error);
static void finish_stmt(kl_client_t *client);
static bool ends_session(int error);

const uint32_t kl_latency_bounds_ms[KL_LATENCY_BUCKETS] = {
	5, 10, 25, 50, 100, 200, 400, 800, 1600, UINT32_MAX
};

/* Handlers by verb and by transaction state: idle, open, failed. */
static const handler_t handlers[KL_VERB_COUNT][3] = {
	[KL_VERB_BEGIN] = { kl_client_begin_op, reject, reject },
	[KL_VERB_BEGIN_READ] = { kl_client_begin_op, reject, reject },
	[KL_VERB_COMMIT] = { reject, continue_txn, end_failed_txn },
	[KL_VERB_ROLLBACK] = { accept_rollback, continue_txn, end_failed_txn },
	[KL_VERB_READ] = { kl_client_begin_op, continue_txn, reject },
	[KL_VERB_WRITE] = { kl_client_begin_op, continue_txn, reject },
	[KL_VERB_SET] = { update_state, update_state, reject },
	[KL_VERB_PREPARE] = { update_state, update_state, reject },
	[KL_VERB_EXECUTE] = { kl_client_begin_op, continue_txn, reject },
	[KL_VERB_DEALLOCATE] = { update_state, update_state, reject },
	[KL_VERB_UNKNOWN] = { reject, reject, reject },
};

kl_client_t *kl_client_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us)
{
	kl_client_t *client = calloc(1, sizeof(*client));
	int error;

	if (!client)
		return NULL;
	kl_engine_enter(engine, now_us);
	client->engine = engine;
	client->front = front;
	client->session_number = ++engine->last_session_number;
	client->transaction_status = 'I';
	client->idle_since_us = now_us;
	kl_state_init(&client->state);
	kl_session_writes_init(&client->writes);
	CK_LIST_INSERT_HEAD(&engine->clients, client, link);
	engine->client_count++;
	if (*key)
		kl_key_hash(key, client->key_hash);
	error = kl_name_copy(client->database, database)
			? -KL_E_NOT_FOUND
			: kl_client_check_login(client);
	if (kl_client_answer_login(client, error))
		client = NULL;
	kl_engine_exit(engine);
	return client;
}

bool kl_client_answer_login(kl_client_t *client, int error)
{
	kl_engine_t *engine = client->engine;
	kl_decision_t decision = { .name = "login_refused",
				   .service = client->database,
				   .reason = kl_error_info(error)->name,
				   .config_version = config_version(engine) };

	/*
	 * A process that starts has no configuration or no tokens yet.  Waiting
	 * here leaves the first statement its whole time.
	 */
	if (!is_configured(engine) &&
	    engine->now_us - client->idle_since_us < LOGIN_WAIT_US) {
		kl_client_wait(client, KL_STMT_LOGIN);
		return false;
	}
	client->stmt.stage = KL_STMT_NONE;
	if (!error) {
		engine->ops->accept_login(engine->context, client->front);
		return false;
	}
	engine->ops->log_decision(engine->context, &decision);
	kl_client_end_session(client, error);
	return true;
}

/* Whether the process has started and has its first configuration. */
static bool is_configured(const kl_engine_t *engine)
{
	const kl_lifecycle_t *life = engine->view.lifecycle;

	return life && life->phase != KL_PHASE_STARTING && engine->view.terms;
}

static uint64_t config_version(const kl_engine_t *engine)
{
	return engine->view.config ? engine->view.config->version : 0;
}

int kl_client_check_login(kl_client_t *client)
{
	const kl_view_t *view = &client->engine->view;
	const char *workspace;
	int error;

	if (!view->config || !view->terms)
		return -KL_E_STALE_CONFIG;
	error = kl_client_check_access(client, &workspace);
	if (!error)
		kl_client_set_workspace(client, workspace);
	return error;
}

void kl_client_set_workspace(kl_client_t *client, const char *workspace)
{
	kl_uncount_session(client->session_bucket);
	if (workspace != client->workspace)
		kl_name_copy(client->workspace, workspace);
	/* A VM keeps its parts of the limits while it has counted sessions. */
	client->session_bucket = kl_count_session(kl_client_bucket(client));
}

int kl_client_check_access(const kl_client_t *client, const char **workspace)
{
	const kl_config_t *config = client->engine->view.config;
	const kl_route_rule_t *route;
	const kl_key_t *key;

	*workspace = "-";
	if (!config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(config->route_index, client->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	key = kl_index_get(config->key_index, client->key_hash);
	if (key && !key->withdrawn)
		*workspace = key->workspace->name.name;
	else if (!route->anonymous)
		return -KL_E_AUTH;
	return 0;
}

void kl_client_statement(kl_client_t *client, const kl_parsed_stmt_t *parsed,
			 uint64_t now_us)
{
	kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	int column = client->transaction_status == 'I'	 ? 0
		     : client->transaction_status == 'T' ? 1
							 : 2;

	kl_engine_enter(engine, now_us);
	memset(stmt, 0, sizeof(*stmt));
	stmt->id = strdup(parsed->id);
	stmt->text = strdup(parsed->text);
	stmt->verb = parsed->verb;
	stmt->received_us = now_us;
	stmt->stage = KL_STMT_WAIT_UPSTREAM;
	if (!stmt->id || !stmt->text)
		kl_client_end_session(client, -KL_E_NOMEM);
	else if (column == 0 && kl_drain_time_is_over(engine))
		kl_client_refuse(client, -KL_E_DRAINING);
	else
		handlers[parsed->verb][column](client, parsed);
	kl_engine_exit(engine);
}

void kl_client_disconnected(kl_client_t *client, uint64_t now_us)
{
	kl_engine_t *engine = client->engine;

	kl_engine_enter(engine, now_us);
	client->front = NULL;
	kl_client_end_session(client, 0);
	kl_engine_exit(engine);
}

int kl_client_resolve_writes(kl_client_t *client,
			     const kl_parsed_stmt_t *parsed)
{
	const kl_state_entry_t *prepared;

	client->stmt.writes = parsed->verb == KL_VERB_WRITE;
	if (parsed->verb != KL_VERB_EXECUTE)
		return 0;
	prepared = kl_state_find_prepared(&client->state, parsed->name);
	if (!prepared)
		return -KL_E_NO_STATEMENT;
	client->stmt.writes = prepared->writes;
	return 0;
}

void kl_client_uncount_waiting(kl_client_t *client)
{
	kl_uncount_waiting(client->stmt.waiting_bucket);
	client->stmt.waiting_bucket = NULL;
}

/* Runs another statement of an open transaction. */
static void continue_txn(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	const kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	const char *workspace;
	int error = kl_client_check_access(client, &workspace);

	/*
	 * The database runs the transaction for the workspace that had the key
	 * at its start, so it ends when the key has another one.
	 */
	if (!error && strcmp(workspace, client->workspace) && client->conn)
		kl_conn_abandon(client->conn, true);
	/* Its database has left, or a planned stop leaves no time. */
	if (client->conn && (kl_drain_time_is_over(engine) ||
			     !kl_endpoint_may_continue(client->conn->endpoint)))
		kl_conn_abandon(client->conn, true);
	/* A transaction may finish after its route was removed. */
	if (error == -KL_E_NOT_FOUND)
		error = 0;
	if (!error && !client->conn) {
		client->transaction_status = 'E';
		error = -KL_E_ABORTED;
		if (parsed->verb == KL_VERB_ROLLBACK) {
			client->transaction_status = 'I';
			kl_client_complete(client);
			return;
		}
		if (parsed->verb == KL_VERB_COMMIT)
			client->transaction_status = 'I';
	}
	if (!error) {
		error = kl_client_resolve_writes(client, parsed);
		if (error) {
			/* Else COMMIT would commit the other statements. */
			kl_conn_abandon(client->conn, true);
			client->transaction_status = 'E';
		}
	}
	if (error) {
		kl_client_refuse(client, error);
		return;
	}
	stmt->endpoint = client->conn->endpoint;
	stmt->deadline_us = stmt->received_us + client->route.stmt_timeout_us;
	kl_stmt_run(client, client->conn);
}

/* Runs COMMIT or ROLLBACK of a failed transaction. */
static void end_failed_txn(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	kl_stmt_t *stmt = &client->stmt;

	if (client->conn && !kl_endpoint_may_continue(client->conn->endpoint))
		kl_conn_abandon(client->conn, true);
	if (client->conn) {
		stmt->endpoint = client->conn->endpoint;
		stmt->deadline_us =
			stmt->received_us + client->route.stmt_timeout_us;
		kl_stmt_run(client, client->conn);
		return;
	}
	client->transaction_status = 'I';
	if (parsed->verb == KL_VERB_ROLLBACK)
		kl_client_complete(client);
	else
		kl_client_refuse(client, -KL_E_ABORTED);
}

/* Updates the state that is replayed on connections before a statement. */
static void update_state(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	int error;

	if (parsed->verb == KL_VERB_DEALLOCATE)
		error = kl_state_deallocate(&client->state, parsed->name);
	else
		error = kl_state_set(
			&client->state,
			parsed->verb == KL_VERB_SET ? KL_STATE_SETTING
						    : KL_STATE_PREPARED,
			parsed->name, parsed->writes, parsed->text);
	if (error)
		kl_client_refuse(client, error);
	else
		kl_client_complete(client);
}

static void accept_rollback(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	(void)parsed;
	kl_client_complete(client);
}

static void reject(kl_client_t *client, const kl_parsed_stmt_t *parsed)
{
	(void)parsed;
	kl_client_refuse(client, -KL_E_PROTOCOL);
}

int kl_client_late_error(const kl_client_t *client)
{
	return client->stmt.last_error == -KL_E_UPSTREAM ? -KL_E_UPSTREAM
							 : -KL_E_DEADLINE;
}

void kl_client_refuse(kl_client_t *client, int error)
{
	kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	kl_decision_t decision = {
		.name = "refused",
		.request = stmt->id,
		.workspace = client->workspace,
		.service = client->route.service,
		.upstream = stmt->endpoint ? stmt->endpoint->name : "",
		.reason = kl_error_info(error)->name,
		.config_version = config_version(engine),
		.position = stmt->min_position.number,
		.age_us = engine->now_us - stmt->received_us
	};

	if (error == -KL_E_RATE)
		engine->counts.refused_rate++;
	else if (kl_error_info(error)->not_run)
		engine->counts.refused_other++;
	else
		engine->counts.unknown_outcomes++;
	if (error == -KL_E_DEADLINE)
		kl_stmt_note_overload(client);
	engine->ops->log_decision(engine->context, &decision);
	count_result(client, error);
	finish_stmt(client);
	if (ends_session(error)) {
		kl_client_end_session(client, error);
		return;
	}
	engine->ops->send_error(engine->context, client->front, error,
				client->transaction_status);
	if (kl_drain_ends_refused(client, error))
		kl_client_end_session(client, 0);
}

void kl_client_complete(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;

	finish_stmt(client);
	engine->ops->send_complete(engine->context, client->front,
				   client->transaction_status);
}

void kl_client_send_result(kl_client_t *client, const kl_stmt_result_t *result)
{
	kl_engine_t *engine = client->engine;

	count_result(client, 0);
	finish_stmt(client);
	engine->ops->send_result(engine->context, client->front, result);
}

/* Counts a statement and its latency by kind of route and by result. */
static void count_result(kl_client_t *client, int error)
{
	kl_engine_t *engine = client->engine;
	kl_engine_counts_t *counts = &engine->counts;
	kl_route_kind_t kind = client->route.kind;
	kl_stmt_end_t end = !error ? KL_STMT_END_SERVED
			    : kl_error_info(error)->not_run
				    ? KL_STMT_END_REFUSED
				    : KL_STMT_END_FAILED;
	uint64_t latency_us = engine->now_us - client->stmt.received_us;
	int bucket = 0;

	while (bucket < KL_LATENCY_BUCKETS - 1 &&
	       latency_us > kl_latency_bounds_ms[bucket] * KL_MS)
		bucket++;
	counts->finished++;
	counts->latency_counts[kind][end][bucket]++;
	counts->latency_sums_us[kind][end] += latency_us;
	if (end == KL_STMT_END_SERVED)
		counts->priorities[kl_client_priority(client)].served++;
	else if (end == KL_STMT_END_REFUSED)
		counts->priorities[kl_client_priority(client)].refused++;
}

static void finish_stmt(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;

	kl_client_uncount_waiting(client);
	if (client->on_waiting_list)
		CK_LIST_REMOVE(client, waiting_link);
	client->on_waiting_list = false;
	if (stmt->stage == KL_STMT_WAIT_CONN)
		kl_endpoint_dequeue(client);
	stmt->stage = KL_STMT_NONE;
	client->idle_since_us = client->engine->now_us;
	free(stmt->id);
	free(stmt->text);
	stmt->id = NULL;
	stmt->text = NULL;
}

void kl_client_end_session(kl_client_t *client, int error)
{
	kl_engine_t *engine = client->engine;
	bool sent = client->stmt.stage == KL_STMT_SENT ||
		    client->stmt.stage == KL_STMT_SETUP;

	finish_stmt(client);
	if (client->conn)
		kl_conn_abandon(client->conn,
				!sent || client->transaction_status != 'I');
	if (client->front)
		engine->ops->end_session(engine->context, client->front, error);
	kl_uncount_session(client->session_bucket);
	kl_state_clear(&client->state);
	kl_session_writes_clear(&client->writes);
	CK_LIST_REMOVE(client, link);
	engine->client_count--;
	free(client);
}

static bool ends_session(int error)
{
	return error == -KL_E_AUTH || error == -KL_E_KEY_WITHDRAWN;
}
