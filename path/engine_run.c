/* A statement on its connection: set up, sent, answered, lost or overdue. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define TRIES_MAX 6
#define STALE_IDLE_US (1500 * KL_MS) /* so long unused: asked first */
#define SETUP_US (300 * KL_MS)	     /* for the answers to a set-up */
#define BUSY_RETRY_US (8 * KL_MS)    /* after a full database */
#define LEAD_RETRY_US (50 * KL_MS)   /* after one that lost its role */

/* What becomes of a statement that certainly did not run. */
typedef struct retry_row {
	uint64_t pause_us;
	int error;
	bool breaks; /* the connection is of no use any more */
} retry_row_t;

static const retry_row_t retries[] = {
	{ BUSY_RETRY_US, -KL_E_NO_UPSTREAM, false },
	{ 0, -KL_E_LAGGING, false },
	{ LEAD_RETRY_US, -KL_E_READ_ONLY, false },
	{ LEAD_RETRY_US, -KL_E_MISROUTED, true },
	{ 0, -KL_E_NO_STATEMENT, true },
	{ BUSY_RETRY_US, -KL_E_CONNECTIONS, true },
};

static bool set_up(kl_client_t *caller, kl_conn_t *channel);
static void send_statement(kl_client_t *caller);
static void go_back(kl_client_t *caller, int error, uint64_t pause_us);
static bool try_again(kl_client_t *caller, const kl_stmt_result_t *outcome);
static bool commits(const kl_client_t *caller, const kl_stmt_result_t *outcome);
static bool still_leads(const kl_client_t *caller);
static void end_unknown(kl_client_t *caller);
static void take_transaction(kl_client_t *caller,
			     const kl_stmt_result_t *outcome);
static void wait_longer(kl_client_t *caller);
static uint64_t queue_until(const kl_client_t *caller);
static void log_route(const kl_client_t *caller);

void kl_stmt_run(kl_client_t *caller, kl_conn_t *channel)
{
	caller->conn = channel;
	channel->client = caller;
	caller->stmt.endpoint = channel->endpoint;
	caller->stmt.stage = KL_STMT_SETUP;
	caller->stmt.sent_us = caller->engine->now_us;
	if (set_up(caller, channel)) {
		kl_stmt_conn_lost(caller);
		return;
	}
	if (!channel->pending_setups)
		send_statement(caller);
}

/* Brings the connection to the session's state. @return whether it broke */
static bool set_up(kl_client_t *caller, kl_conn_t *channel)
{
	static const kl_conn_msg_t reset = { .kind = KL_CONN_MSG_RESET };
	kl_session_state_t *state = &caller->state;
	const kl_state_entry_t *entry;
	bool other = channel->state_session != caller->session_number;
	bool dirty = channel->state_version || channel->state_removals;
	bool stale = caller->engine->now_us - channel->stage_since_us >
		     STALE_IDLE_US;

	if (caller->txn_state == 'I' &&
	    (stale || (other && dirty) ||
	     (!other && channel->state_removals != state->removals))) {
		if (kl_conn_send(channel, &reset))
			return true;
		channel->pending_setups++;
		channel->state_version = 0;
	} else if (other) {
		channel->state_version = 0;
	}
	channel->state_session = caller->session_number;
	channel->state_removals = state->removals;
	while ((entry = kl_state_next_missing(state,
					      &channel->state_version))) {
		kl_conn_msg_t dispatch = { .kind = KL_CONN_MSG_SETUP,
					   .text = entry->text };

		if (kl_conn_send(channel, &dispatch))
			return true;
		channel->pending_setups++;
	}
	return false;
}

static void send_statement(kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_stmt_t *run = &caller->stmt;
	kl_conn_t *channel = caller->conn;
	const kl_group_t *group =
		kl_engine_find_group(engine, caller->route.service);
	bool leads = group && !strcmp(group->primary, run->endpoint->name);
	kl_conn_msg_t dispatch = { .kind = KL_CONN_MSG_STATEMENT,
				   .id = run->id,
				   .text = run->text };

	channel->primary_proven =
		leads && kl_engine_primary_proven(engine, group);
	if (caller->txn_state == 'I') {
		/* It may have changed while the connection was got ready. */
		if (!channel->primary_proven &&
		    (kl_client_needs_primary(caller) ||
		     !run->min_position.term)) {
			go_back(caller, 0, 0);
			return;
		}
		run->group_version = group ? group->version : 0;
		run->on_primary = channel->primary_proven;
		if (!channel->primary_proven)
			dispatch.min_position = run->min_position;
	}
	run->stage = KL_STMT_SENT;
	run->sent_us = engine->now_us;
	channel->sent_us = engine->now_us;
	if (kl_conn_send(channel, &dispatch)) {
		run->stage = KL_STMT_SETUP; /* nothing was sent */
		kl_stmt_conn_lost(caller);
		return;
	}
	kl_endpoint_stmt_sent(run->endpoint);
	if (caller->txn_state == 'I')
		log_route(caller);
}

void kl_stmt_answered(kl_client_t *caller, const kl_stmt_result_t *outcome)
{
	kl_stmt_t *run = &caller->stmt;
	kl_stmt_result_t answer = *outcome;

	if (run->stage == KL_STMT_SETUP) {
		if (outcome->error && caller->txn_state == 'I') {
			kl_conn_close(caller->conn);
			go_back(caller, 0, 0);
		} else if (!caller->conn->pending_setups) {
			send_statement(caller);
		}
		return;
	}
	kl_endpoint_stmt_done(run->endpoint);
	kl_endpoint_add_latency(run->endpoint,
				caller->engine->now_us - run->sent_us,
				caller->route.target_us);
	if (outcome->error && caller->txn_state == 'I' &&
	    outcome->txn_state == 'I' && try_again(caller, outcome))
		return;
	if (commits(caller, outcome)) {
		if (!still_leads(caller)) {
			end_unknown(caller);
			return;
		}
		caller->last_write = outcome->log_end;
		memcpy(caller->last_write_service, caller->route.service,
		       KL_NAME_MAX);
	}
	take_transaction(caller, outcome);
	if (caller->txn_state == 'I') {
		kl_conn_t *channel = caller->conn;

		caller->conn = NULL;
		kl_conn_release(channel);
	}
	if (answer.error)
		kl_client_refuse(caller, answer.error);
	else
		kl_client_send_result(caller, &answer);
}

/* Whether the answer says that something was written for good. */
static bool commits(const kl_client_t *caller, const kl_stmt_result_t *outcome)
{
	const kl_stmt_t *run = &caller->stmt;

	if (outcome->error)
		return false;
	if (caller->txn_state == 'I')
		return run->writes && outcome->txn_state == 'I';
	return caller->txn_state == 'T' && run->verb == KL_VERB_COMMIT &&
	       caller->txn_wrote;
}

/* Whether the primary that ran it is proven to be the primary still. */
static bool still_leads(const kl_client_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	const kl_group_t *group =
		kl_engine_find_group(engine, caller->route.service);
	uint64_t version = caller->txn_state == 'I' ? caller->stmt.group_version
						    : caller->txn_group_version;

	return kl_engine_primary_proven(engine, group) &&
	       group->version == version;
}

static void end_unknown(kl_client_t *caller)
{
	kl_conn_t *channel = caller->conn;

	caller->conn = NULL;
	caller->txn_state = 'I';
	kl_conn_release(channel);
	kl_client_refuse(caller, -KL_E_REPLACED);
}

static void take_transaction(kl_client_t *caller,
			     const kl_stmt_result_t *outcome)
{
	kl_stmt_t *run = &caller->stmt;

	if (caller->txn_state == 'I' && outcome->txn_state != 'I')
		caller->txn_group_version = run->group_version;
	if (caller->txn_state == 'T' && run->writes && !outcome->error)
		caller->txn_wrote = true;
	caller->txn_state = outcome->txn_state;
}

/* Sends it elsewhere, or to the same place later. */
static bool try_again(kl_client_t *caller, const kl_stmt_result_t *outcome)
{
	kl_stmt_t *run = &caller->stmt;
	kl_engine_t *engine = caller->engine;
	const retry_row_t *row = NULL;
	bool reads = !run->writes;

	for (size_t i = 0; i < sizeof(retries) / sizeof(*retries); i++)
		if (retries[i].error == outcome->error)
			row = &retries[i];
	if (!row && !(reads && outcome->error == -KL_E_UPSTREAM))
		return false;
	if (outcome->error == -KL_E_LAGGING)
		run->endpoint->last_lagging_us = engine->now_us;
	if (++run->failed_attempts >= TRIES_MAX ||
	    engine->now_us >= run->route_deadline_us)
		return false;
	run->avoid_upstream = run->endpoint;
	if (row && row->breaks) {
		kl_conn_close(caller->conn);
	} else {
		kl_conn_t *channel = caller->conn;

		caller->conn = NULL;
		kl_conn_release(channel);
	}
	engine->counts.retries++;
	go_back(caller, outcome->error, row ? row->pause_us : 0);
	return true;
}

/* Back to the choice of an upstream. */
static void go_back(kl_client_t *caller, int error, uint64_t pause_us)
{
	kl_conn_t *channel = caller->conn;

	caller->conn = NULL;
	if (channel)
		kl_conn_release(channel);
	caller->stmt.endpoint = NULL;
	caller->stmt.last_error = error;
	caller->stmt.retry_at_us = caller->engine->now_us + pause_us;
	/* By the next tick: what was released must be served first. */
	kl_client_wait(caller, KL_STMT_WAIT_UPSTREAM);
}

/* A read that was lost with its database gets time for another one. */
static void wait_longer(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;
	uint64_t until = caller->engine->now_us + caller->route.target_us;

	if (until > run->deadline_us)
		until = run->deadline_us;
	if (until > run->route_deadline_us)
		run->route_deadline_us = until;
	if (until > run->queue_deadline_us)
		run->queue_deadline_us = until;
}

/* Its connection is gone. */
void kl_stmt_conn_lost(kl_client_t *caller)
{
	kl_stmt_t *run = &caller->stmt;
	bool sent = run->stage == KL_STMT_SENT;
	char before = caller->txn_state;

	if (sent)
		kl_endpoint_stmt_done(run->endpoint);
	if (caller->conn)
		kl_conn_close(caller->conn);
	caller->conn = NULL;
	if (run->stage == KL_STMT_NONE)
		return; /* The next statement hears of it. */
	if (sent && !run->writes)
		wait_longer(caller);
	if (before == 'I') {
		if (sent && run->writes) {
			kl_client_refuse(caller, -KL_E_UNKNOWN_OUTCOME);
		} else if (++run->failed_attempts < TRIES_MAX &&
			   caller->engine->now_us < run->route_deadline_us) {
			run->avoid_upstream = run->endpoint;
			caller->engine->counts.retries++;
			go_back(caller, sent ? -KL_E_UPSTREAM : 0, 0);
		} else {
			kl_client_refuse(caller, sent ? -KL_E_UPSTREAM
						      : -KL_E_NO_UPSTREAM);
		}
		return;
	}
	caller->txn_state = 'E';
	if (run->verb == KL_VERB_ROLLBACK) {
		caller->txn_state = 'I';
		kl_client_complete(caller);
		return;
	}
	if (run->verb == KL_VERB_COMMIT) {
		caller->txn_state = 'I';
		kl_client_refuse(caller,
				 sent && before == 'T' && caller->txn_wrote
					 ? -KL_E_UNKNOWN_OUTCOME
					 : -KL_E_ABORTED);
		return;
	}
	kl_client_refuse(caller, -KL_E_ABORTED);
}

/* So long that the statement can still be in time once it is sent. */
static uint64_t queue_until(const kl_client_t *caller)
{
	const kl_stmt_t *run = &caller->stmt;
	uint64_t whole = run->queue_deadline_us - run->received_us;
	uint64_t needs = run->endpoint->latency_avg_us +
			 run->endpoint->latency_avg_us / 4;

	if (needs > whole - whole / 4)
		needs = whole - whole / 4;
	return run->queue_deadline_us - needs;
}

/* Looks at the deadlines of what waits, is set up or runs. */
void kl_stmt_check_deadlines(kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_stmt_t *run = &caller->stmt;
	char before = caller->txn_state;

	if (run->stage == KL_STMT_WAIT_CONN &&
	    engine->now_us >= queue_until(caller)) {
		kl_client_refuse(caller, -KL_E_DEADLINE);
		return;
	}
	if (run->stage == KL_STMT_SETUP &&
	    engine->now_us - run->sent_us > SETUP_US) {
		run->endpoint->suspect = true;
		kl_stmt_conn_lost(caller);
		return;
	}
	if (run->stage != KL_STMT_SENT || engine->now_us < run->deadline_us)
		return;
	run->endpoint->suspect = true;
	kl_endpoint_stmt_done(run->endpoint);
	kl_conn_close(caller->conn);
	caller->conn = NULL;
	if (before == 'I' || run->verb == KL_VERB_COMMIT ||
	    run->verb == KL_VERB_ROLLBACK)
		caller->txn_state = 'I';
	else
		caller->txn_state = 'E';
	kl_client_refuse(caller, before == 'T' && run->verb == KL_VERB_COMMIT &&
						 caller->txn_wrote
					 ? -KL_E_UNKNOWN_OUTCOME
					 : -KL_E_TIMEOUT);
}

static void log_route(const kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;
	const kl_stmt_t *run = &caller->stmt;
	kl_decision_t decision = {
		.name = "route",
		.request = run->id,
		.workspace = caller->workspace,
		.service = caller->route.service,
		.upstream = run->endpoint->name,
		.reason = run->on_primary ? "primary" : "replica",
		.term = run->min_position.term,
		.position = run->min_position.number,
		.age_us = engine->now_us - run->received_us
	};

	if (!run->on_primary)
		engine->counts.reads_replica++;
	else if (run->writes || run->verb == KL_VERB_BEGIN)
		engine->counts.writes++;
	else
		engine->counts.reads_primary++;
	engine->ops->log_decision(engine->context, &decision);
}
