/* Running a statement: state replay, sending, reply, retry, deadlines. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

/* A statement is tried at most this many times. */
#define TRIES_MAX 6
/*
 * A connection that was idle for longer is reset before use, which shows
 * whether it still works.
 */
#define STALE_IDLE_US (1500 * KL_MS)
/* Time limit of replaying the session's state. */
#define SETUP_TIMEOUT_US (300 * KL_MS)
/* Delays before a statement is retried. */
#define DB_FULL_RETRY_US (8 * KL_MS) /* if the database is full */
#define ROLE_RETRY_US (50 * KL_MS)   /* if it is not the primary */

/* How a statement that certainly did not run is retried. */
typedef struct retry_rule {
	uint64_t delay_us; /* time until the retry */
	int error;	   /* error to which the rule applies */
	bool close_conn;   /* closes the connection before the retry */
} retry_rule_t;

static const retry_rule_t retry_rules[] = {
	{ DB_FULL_RETRY_US, -KL_E_NO_UPSTREAM, false },
	{ 0, -KL_E_LAGGING, false },
	{ ROLE_RETRY_US, -KL_E_READ_ONLY, false },
	{ ROLE_RETRY_US, -KL_E_MISROUTED, true },
	{ 0, -KL_E_NO_STATEMENT, true },
	{ DB_FULL_RETRY_US, -KL_E_CONNECTIONS, true },
};

static bool replay_state(kl_client_t *client, kl_conn_t *conn);
static void send_statement(kl_client_t *client);
static void reroute(kl_client_t *client, int error, uint64_t delay_us);
static bool retry(kl_client_t *client, const kl_stmt_result_t *result);
static bool is_commit(const kl_client_t *client,
		      const kl_stmt_result_t *result);
static void note_write(kl_client_t *client, kl_position_t position);
static bool still_primary(const kl_client_t *client);
static bool commit_is_useless(const kl_client_t *client,
			      const kl_group_t *group);
static void fail_unproven(kl_client_t *client);
static void update_txn(kl_client_t *client, const kl_stmt_result_t *result);
static void extend_deadlines(kl_client_t *client);
static uint64_t queue_send_deadline(const kl_client_t *client);
static void log_route(const kl_client_t *client);
static void count_leaving(const kl_client_t *client);

void kl_stmt_run(kl_client_t *client, kl_conn_t *conn)
{
	client->conn = conn;
	conn->client = client;
	client->stmt.endpoint = conn->endpoint;
	client->stmt.stage = KL_STMT_SETUP;
	client->stmt.sent_us = client->engine->now_us;
	if (replay_state(client, conn)) {
		kl_stmt_conn_lost(client);
		return;
	}
	if (!conn->pending_replies)
		send_statement(client);
}

/* Gives the connection the session's state. @return whether sending failed */
static bool replay_state(kl_client_t *client, kl_conn_t *conn)
{
	static const kl_conn_msg_t reset = { .kind = KL_CONN_MSG_RESET };
	kl_session_state_t *state = &client->state;
	const kl_state_entry_t *entry;
	bool other_session =
		conn->state_session_number != client->session_number;
	bool has_state = conn->state_version || conn->state_removals;
	bool idle_long =
		client->engine->now_us - conn->stage_since_us > STALE_IDLE_US;

	if (client->transaction_status == 'I' &&
	    (idle_long || (other_session && has_state) ||
	     (!other_session && conn->state_removals != state->removals))) {
		if (kl_conn_send(conn, &reset))
			return true;
		conn->pending_replies++;
		conn->state_version = 0;
	} else if (other_session) {
		conn->state_version = 0;
	}
	conn->state_session_number = client->session_number;
	conn->state_removals = state->removals;
	while ((entry = kl_state_next_missing(state, &conn->state_version))) {
		kl_conn_msg_t message = { .kind = KL_CONN_MSG_SETUP,
					  .text = entry->text };

		if (kl_conn_send(conn, &message))
			return true;
		conn->pending_replies++;
	}
	return false;
}

static void send_statement(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	kl_conn_t *conn = client->conn;
	const kl_group_t *group =
		kl_engine_find_group(engine, client->route.service);
	bool is_primary =
		group && !strcmp(group->primary, stmt->endpoint->name);
	kl_conn_msg_t message = { .kind = KL_CONN_MSG_STATEMENT,
				  .id = stmt->id,
				  .text = stmt->text };

	conn->primary_proven =
		is_primary && kl_engine_primary_proven(engine, group);
	if (client->transaction_status == 'I') {
		/* The primary may have changed while the state was replayed. */
		if (!conn->primary_proven && (kl_client_needs_primary(client) ||
					      !stmt->min_position.term)) {
			reroute(client, 0, 0);
			return;
		}
		if (!kl_endpoint_may_start(stmt->endpoint)) {
			reroute(client, 0, 0);
			return;
		}
		stmt->group_change = group ? group->change : 0;
		stmt->on_primary = conn->primary_proven;
		if (!conn->primary_proven)
			message.min_position = stmt->min_position;
	} else if (!kl_endpoint_may_continue(stmt->endpoint) ||
		   commit_is_useless(client, group)) {
		kl_stmt_conn_lost(client); /* the stage says: nothing sent */
		return;
	}
	stmt->stage = KL_STMT_SENT;
	stmt->sent_us = engine->now_us;
	conn->sent_us = engine->now_us;
	if (kl_conn_send(conn, &message)) {
		stmt->stage = KL_STMT_SETUP; /* nothing was sent */
		kl_stmt_conn_lost(client);
		return;
	}
	kl_conn_stmt_sent(conn);
	if (stmt->endpoint->leaving)
		count_leaving(client);
	if (client->transaction_status == 'I')
		log_route(client);
}

/* Counts and logs a statement at a leaving upstream, with the mark's age. */
static void count_leaving(const kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	const kl_endpoint_t *endpoint = client->stmt.endpoint;
	kl_decision_t decision = {
		.name = "leaving_upstream_used",
		.request = client->stmt.id,
		.service = endpoint->cluster->name,
		.upstream = endpoint->name,
		.reason = client->transaction_status == 'I' ? "operation"
							    : "transaction",
		.age_us = endpoint->leaving_after_us
				  ? engine->now_us - endpoint->leaving_after_us
				  : 0
	};

	engine->counts.stmts_leaving++;
	engine->ops->log_decision(engine->context, &decision);
}

void kl_stmt_answered(kl_client_t *client, const kl_stmt_result_t *result)
{
	kl_stmt_t *stmt = &client->stmt;
	kl_stmt_result_t reply = *result;

	if (stmt->stage == KL_STMT_SETUP) {
		if (result->error && client->transaction_status == 'I') {
			kl_conn_close(client->conn);
			reroute(client, 0, 0);
		} else if (!client->conn->pending_replies) {
			send_statement(client);
		}
		return;
	}
	client->conn->running.not_run =
		result->error && kl_error_info(result->error)->not_run;
	kl_conn_stmt_done(client->conn, result->error);
	kl_endpoint_add_latency(stmt->endpoint,
				client->engine->now_us - stmt->sent_us,
				client->route.target_latency_us);
	kl_stmt_note_reply(client, result);
	if (result->error && client->transaction_status == 'I' &&
	    result->transaction_status == 'I' && retry(client, result))
		return;
	if (is_commit(client, result)) {
		if (!still_primary(client)) {
			fail_unproven(client);
			return;
		}
		note_write(client, result->log_end);
	}
	update_txn(client, result);
	if (client->transaction_status == 'I') {
		kl_conn_t *conn = client->conn;

		client->conn = NULL;
		kl_conn_release(conn);
	}
	if (reply.error)
		kl_client_refuse(client, reply.error);
	else
		kl_client_send_result(client, &reply);
}

/* Whether the reply acknowledges a committed write. */
static bool is_commit(const kl_client_t *client, const kl_stmt_result_t *result)
{
	const kl_stmt_t *stmt = &client->stmt;

	if (result->error)
		return false;
	if (client->transaction_status == 'I')
		return stmt->writes && result->transaction_status == 'I';
	return client->transaction_status == 'T' &&
	       stmt->verb == KL_VERB_COMMIT && client->txn_wrote;
}

/* Notes a write that reads of this session must see. */
static void note_write(kl_client_t *client, kl_position_t position)
{
	kl_engine_t *engine = client->engine;
	kl_decision_t decision = { .name = "session_write_forgotten",
				   .request = client->stmt.id,
				   .workspace = client->workspace,
				   .service = client->route.service };

	if (kl_session_writes_add(&client->writes, client->route.service,
				  position))
		return;
	engine->counts.writes_forgotten++;
	engine->ops->log_decision(engine->context, &decision);
}

/* Whether the primary that ran the statement is proven to be still primary. */
static bool still_primary(const kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	const kl_group_t *group =
		kl_engine_find_group(engine, client->route.service);
	uint64_t change = client->transaction_status == 'I'
				  ? client->stmt.group_change
				  : client->txn_group_change;

	return kl_engine_primary_proven(engine, group) &&
	       group->change == change;
}

/*
 * Whether the statement commits writes at a primary that may have been replaced
 * since the transaction began: its success could not be reported.
 */
static bool commit_is_useless(const kl_client_t *client,
			      const kl_group_t *group)
{
	return client->stmt.verb == KL_VERB_COMMIT && client->txn_wrote &&
	       client->transaction_status == 'T' && group &&
	       group->change != client->txn_group_change;
}

static void fail_unproven(kl_client_t *client)
{
	kl_conn_t *conn = client->conn;

	client->conn = NULL;
	client->transaction_status = 'I';
	kl_conn_release(conn);
	kl_client_refuse(client, -KL_E_REPLACED);
}

static void update_txn(kl_client_t *client, const kl_stmt_result_t *result)
{
	kl_stmt_t *stmt = &client->stmt;

	if (client->transaction_status == 'I' &&
	    result->transaction_status != 'I')
		client->txn_group_change = stmt->group_change;
	if (client->transaction_status == 'T' && stmt->writes && !result->error)
		client->txn_wrote = true;
	client->transaction_status = result->transaction_status;
}

/* Retries a failed statement if that is safe. @return whether it is retried */
static bool retry(kl_client_t *client, const kl_stmt_result_t *result)
{
	kl_stmt_t *stmt = &client->stmt;
	kl_engine_t *engine = client->engine;
	const retry_rule_t *rule = NULL;
	bool is_read = !stmt->writes;

	for (size_t i = 0; i < sizeof(retry_rules) / sizeof(*retry_rules); i++)
		if (retry_rules[i].error == result->error)
			rule = &retry_rules[i];
	if (!rule && !(is_read && result->error == -KL_E_UPSTREAM))
		return false;
	if (result->error == -KL_E_LAGGING)
		stmt->endpoint->last_lagging_us = engine->now_us;
	if (++stmt->failed_attempts >= TRIES_MAX ||
	    engine->now_us >= stmt->route_deadline_us)
		return false;
	stmt->avoid_endpoint = stmt->endpoint;
	if (rule && rule->close_conn) {
		kl_conn_close(client->conn);
	} else {
		kl_conn_t *conn = client->conn;

		client->conn = NULL;
		kl_conn_release(conn);
	}
	engine->counts.retries++;
	reroute(client, result->error, rule ? rule->delay_us : 0);
	return true;
}

/* Lets the statement choose an upstream again. */
static void reroute(kl_client_t *client, int error, uint64_t delay_us)
{
	kl_conn_t *conn = client->conn;

	client->conn = NULL;
	if (conn)
		kl_conn_release(conn);
	client->stmt.endpoint = NULL;
	client->stmt.last_error = error;
	client->stmt.retry_at_us = client->engine->now_us + delay_us;
	/*
	 * The upstream is chosen at the next tick, so that statements already
	 * queued for the connection go first.
	 */
	kl_client_wait(client, KL_STMT_WAIT_UPSTREAM);
}

/* Gives a read whose connection was lost time for a retry. */
static void extend_deadlines(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;
	uint64_t until_us =
		client->engine->now_us + client->route.target_latency_us;

	if (until_us > stmt->deadline_us)
		until_us = stmt->deadline_us;
	if (until_us > stmt->route_deadline_us)
		stmt->route_deadline_us = until_us;
	if (until_us > stmt->queue_deadline_us)
		stmt->queue_deadline_us = until_us;
	if (until_us > stmt->answer_due_us)
		stmt->answer_due_us = until_us;
}

void kl_stmt_conn_lost(kl_client_t *client)
{
	kl_stmt_t *stmt = &client->stmt;
	bool sent = stmt->stage == KL_STMT_SENT;
	char status_before = client->transaction_status;

	if (client->conn)
		kl_conn_close(client->conn);
	client->conn = NULL;
	if (stmt->stage == KL_STMT_NONE)
		return; /* the transaction's next statement fails */
	if (sent && !stmt->writes)
		extend_deadlines(client);
	if (status_before == 'I') {
		if (sent && stmt->writes) {
			kl_client_refuse(client, -KL_E_UNKNOWN_OUTCOME);
		} else if (++stmt->failed_attempts < TRIES_MAX &&
			   client->engine->now_us < stmt->route_deadline_us) {
			stmt->avoid_endpoint = stmt->endpoint;
			client->engine->counts.retries++;
			reroute(client, sent ? -KL_E_UPSTREAM : 0, 0);
		} else {
			kl_client_refuse(client, sent ? -KL_E_UPSTREAM
						      : -KL_E_NO_UPSTREAM);
		}
		return;
	}
	client->transaction_status = 'E';
	if (stmt->verb == KL_VERB_ROLLBACK) {
		client->transaction_status = 'I';
		kl_client_complete(client);
		return;
	}
	if (stmt->verb == KL_VERB_COMMIT) {
		client->transaction_status = 'I';
		kl_client_refuse(client, sent && status_before == 'T' &&
							 client->txn_wrote
						 ? -KL_E_UNKNOWN_OUTCOME
						 : -KL_E_ABORTED);
		return;
	}
	kl_client_refuse(client, -KL_E_ABORTED);
}

/*
 * Returns the latest time at which a queued statement can be sent to be
 * answered before its queue deadline.
 */
static uint64_t queue_send_deadline(const kl_client_t *client)
{
	const kl_stmt_t *stmt = &client->stmt;
	uint64_t wait_us = stmt->queue_deadline_us - stmt->received_us;
	const kl_stmt_queue_t *queue = &stmt->endpoint->queue;
	uint64_t reserve_us = queue->order->reserve_us(
		queue, &client->queued, stmt->endpoint->latency_avg_us);

	if (reserve_us > wait_us - wait_us / 4)
		reserve_us = wait_us - wait_us / 4;
	return stmt->queue_deadline_us - reserve_us;
}

void kl_stmt_check_deadlines(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	char status_before = client->transaction_status;

	if (kl_stmt_leave_queue(client))
		return;
	if (stmt->stage == KL_STMT_WAIT_CONN &&
	    engine->now_us >= queue_send_deadline(client)) {
		kl_client_refuse(client, kl_client_late_error(client));
		return;
	}
	if (stmt->stage == KL_STMT_SETUP &&
	    engine->now_us - stmt->sent_us > SETUP_TIMEOUT_US) {
		stmt->endpoint->may_be_down = true;
		kl_stmt_conn_lost(client);
		return;
	}
	if (stmt->stage != KL_STMT_SENT ||
	    (engine->now_us < stmt->deadline_us &&
	     (!engine->drain_end_us || engine->now_us < engine->drain_end_us)))
		return;
	stmt->endpoint->may_be_down = true;
	kl_conn_close(client->conn);
	client->conn = NULL;
	if (status_before == 'I' || stmt->verb == KL_VERB_COMMIT ||
	    stmt->verb == KL_VERB_ROLLBACK)
		client->transaction_status = 'I';
	else
		client->transaction_status = 'E';
	kl_client_refuse(client, status_before == 'T' &&
						 stmt->verb == KL_VERB_COMMIT &&
						 client->txn_wrote
					 ? -KL_E_UNKNOWN_OUTCOME
					 : -KL_E_TIMEOUT);
}

static void log_route(const kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	const kl_stmt_t *stmt = &client->stmt;
	kl_decision_t decision = {
		.name = "route",
		.request = stmt->id,
		.workspace = client->workspace,
		.service = client->route.service,
		.upstream = stmt->endpoint->name,
		.reason = stmt->on_primary ? "primary" : "replica",
		.term = stmt->min_position.term,
		.position = stmt->min_position.number,
		.age_us = engine->now_us - stmt->received_us
	};

	if (!stmt->on_primary)
		engine->counts.reads_replica++;
	else if (stmt->writes || stmt->verb == KL_VERB_BEGIN)
		engine->counts.writes++;
	else
		engine->counts.reads_primary++;
	engine->ops->log_decision(engine->context, &decision);
}
