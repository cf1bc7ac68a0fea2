/*
 * Simulated databases and network around an engine.  Everything that
 * takes time is an event of a virtual clock, so that a run always gives the
 * same output.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/line.h"
#include "tests/engine_clients.h"

#define CLOCK_STEP_US 1000
#define TICK_INTERVAL_US 3000 /* between two ticks of the engine */
#define HANDSHAKE_US 12000    /* connection set-up, occupies a slot */
#define NETWORK_DELAY_US 500  /* between engine and database, one way */
#define CONFIRM_INTERVAL_US (100 * KL_MS) /* of the group record */

/*
 * A statement that reaches a database later than this after the mark that takes
 * it out of service is printed.
 */
#define LEAVE_LIMIT_US (5 * KL_SEC)

/* A connection to a simulated database. */
struct model_conn {
	CK_STAILQ_ENTRY(model_conn) link;
	model_db_t *db;
	kl_conn_t *engine_conn; /* NULL once the engine closed it */
	char workspace[KL_NAME_MAX];
	bool closed;
	bool counted_as_open; /* in the database's open_connections */
	char txn_state;	      /* 'I' idle or 'T' in a transaction */
};

typedef enum event_kind {
	EVENT_CONNECT, /* a connection request reaches the database */
	EVENT_ARRIVE,  /* a statement reaches the database */
	EVENT_FINISH,  /* the database has completed the work */
	EVENT_ANSWER,  /* the answer reaches the engine */
} event_kind_t;

typedef struct model_event {
	CK_STAILQ_ENTRY(model_event) link;
	event_kind_t kind;
	uint64_t due_at_us;
	model_conn_t *conn;
	bool handshake; /* of a connection; otherwise a statement */
	kl_stmt_result_t result;
	char text[128];
	kl_position_t min_position;
	bool is_statement;  /* of a client, not the engine's own */
	bool needs_no_slot; /* takes no time at the database either */
} model_event_t;

static void *op_conn_open(void *context, const kl_conn_target_t *target,
			  kl_conn_t *engine_conn);
static int op_conn_send(void *context, void *conn, const kl_conn_msg_t *msg);
static void op_conn_close(void *context, void *conn);
static void op_tokens_needed(void *context);
static void op_report_health(void *context, const kl_passive_check_t *check);
static void op_report_position(void *context,
			       const kl_primary_position_t *position);
static void op_count_operation(void *context, const char *workspace,
			       uint64_t sent_us);
static void op_report_load(void *context, const kl_load_report_t *report);
static void op_log_decision(void *context, const kl_decision_t *decision);
static void schedule(model_t *model, event_kind_t kind, uint64_t delay_us,
		     model_conn_t *conn, model_event_t *event);
static void serve_slot_queue(model_t *model, model_db_t *db);
static void handle_event(model_t *model, model_event_t *event);
static uint64_t statement_us(const model_event_t *event);
static void run_statement(model_t *model, model_event_t *event);
static void break_conns(model_t *model);
static void check_mark(const model_t *model, const model_event_t *event);
static void release_conn(model_conn_t *conn);
static kl_position_t log_end(const model_t *model, const model_db_t *db);

static const kl_engine_ops_t ops = {
	.accept_login = model_op_accept_login,
	.send_result = model_op_result,
	.send_complete = model_op_complete,
	.send_error = model_op_send_error,
	.input_empty = model_op_input_empty,
	.end_session = model_op_end_session,
	.conn_open = op_conn_open,
	.conn_send = op_conn_send,
	.conn_close = op_conn_close,
	.tokens_needed = op_tokens_needed,
	.report_health = op_report_health,
	.report_position = op_report_position,
	.count_operation = op_count_operation,
	.report_load = op_report_load,
	.log_decision = op_log_decision,
};

model_t *model_new(void)
{
	model_t *model = calloc(1, sizeof(*model));

	model->settings =
		(kl_engine_settings_t){ .data_path = { .lease_us = 5 * KL_SEC,
						       .leave_us = 4 * KL_SEC },
					.statement_timeout_us = 3 * KL_SEC,
					.admit_wait_us = 30 * KL_MS,
					.connect_timeout_us = 500 * KL_MS };

	kl_name_copy(model->settings.data_path.domain, "d1");
	model->now_us = KL_SEC;
	model->vm_count = 1;
	model->board = kl_board_new();
	model->writer = kl_reader_new(model->board);
	CK_STAILQ_INIT(&model->conns);
	CK_STAILQ_INIT(&model->events);
	for (int i = 0; i < MODEL_ITEMS_MAX; i++)
		CK_STAILQ_INIT(&model->dbs[i].slot_queue);
	model_clients_init();
	model_restart_engine(model);
	return model;
}

void model_restart_engine(model_t *model)
{
	kl_engine_free(model->engine);
	model->engine = kl_engine_new(&model->settings, &ops, model,
				      kl_reader_new(model->board));
}

void model_free(model_t *model)
{
	model_event_t *event;
	model_conn_t *conn;

	kl_engine_free(model->engine);
	for (int i = 0; i < MODEL_ITEMS_MAX; i++)
		CK_STAILQ_CONCAT(&model->events, &model->dbs[i].slot_queue);
	while ((event = CK_STAILQ_FIRST(&model->events))) {
		CK_STAILQ_REMOVE_HEAD(&model->events, link);
		free(event);
	}
	while ((conn = CK_STAILQ_FIRST(&model->conns))) {
		CK_STAILQ_REMOVE_HEAD(&model->conns, link);
		free(conn);
	}
	model_clients_free();
	kl_board_free(model->board);
	for (uint32_t i = 0; i < model->bucket_count; i++)
		kl_bucket_release(model->buckets[i]);
	free(model);
}

void model_run(model_t *model, uint64_t ms)
{
	uint64_t end_at_us = model->now_us + ms * KL_MS;
	model_event_t *event, *next;

	while (model->now_us < end_at_us) {
		model->now_us += CLOCK_STEP_US;
		if (model->now_us % CONFIRM_INTERVAL_US == 0) {
			model_confirm(model);
			model_publish_loads(model);
		}
		model_clients_tick(model);
		break_conns(model);
		CK_STAILQ_FOREACH_SAFE(event, &model->events, link, next) {
			if (event->due_at_us > model->now_us)
				continue;
			CK_STAILQ_REMOVE(&model->events, event, model_event,
					 link);
			handle_event(model, event);
		}
		if (model->now_us % TICK_INTERVAL_US == 0)
			kl_engine_tick(model->engine, model->now_us);
	}
}

void model_confirm(model_t *model)
{
	kl_confirmation_t *confirmation;

	if (!model->lease_held)
		return;
	confirmation =
		kl_confirmation_new(model->record_version, model->now_us);
	kl_board_publish(model->writer, KL_SECTION_CONFIRMATION,
			 &confirmation->base);
	kl_board_reclaim(model->writer);
}

model_db_t *model_db(model_t *model, const char *name)
{
	for (uint32_t i = 0; i < model->db_count; i++)
		if (!strcmp(model->dbs[i].name, name))
			return &model->dbs[i];
	return NULL;
}

static void *op_conn_open(void *context, const kl_conn_target_t *target,
			  kl_conn_t *engine_conn)
{
	model_t *model = context;
	model_event_t event = { .handshake = true };
	model_conn_t *conn = calloc(1, sizeof(*conn));

	conn->db = model_db(model, target->upstream);
	conn->engine_conn = engine_conn;
	conn->txn_state = 'I';
	kl_name_copy(conn->workspace, target->workspace);
	CK_STAILQ_INSERT_TAIL(&model->conns, conn, link);
	schedule(model, EVENT_CONNECT, NETWORK_DELAY_US, conn, &event);
	return conn;
}

static int op_conn_send(void *context, void *arg, const kl_conn_msg_t *msg)
{
	static const char *const texts[] = {
		[KL_CONN_MSG_RESET] = "RESET", [KL_CONN_MSG_STATUS] = "STATUS"
	};
	model_t *model = context;
	model_conn_t *conn = arg;
	model_event_t event = { .min_position = msg->min_position };

	snprintf(event.text, sizeof(event.text), "%s",
		 msg->text ? msg->text : texts[msg->kind]);
	event.is_statement = msg->kind == KL_CONN_MSG_STATEMENT;
	event.needs_no_slot = msg->kind != KL_CONN_MSG_STATEMENT ||
			      !strncmp(event.text, "BEGIN", 5) ||
			      !strcmp(event.text, "ROLLBACK");
	if (model->trace && msg->kind != KL_CONN_MSG_STATUS)
		printf("%s (%s) > %s%s\n", conn->db->name, conn->workspace,
		       event.text,
		       msg->min_position.term ? " with a minimum position"
					      : "");
	schedule(model, EVENT_ARRIVE, NETWORK_DELAY_US, conn, &event);
	return 0;
}

static void op_conn_close(void *context, void *arg)
{
	model_conn_t *conn = arg;
	(void)context;

	conn->closed = true;
	conn->engine_conn = NULL;
	release_conn(conn);
}

static void op_tokens_needed(void *context)
{
	(void)context;
}

static void op_report_health(void *context, const kl_passive_check_t *check)
{
	model_t *model = context;

	if (model->trace)
		printf("%s %s\n", check->upstream,
		       check->failing_since_us ? check->refuses_connections
							 ? "refuses connections"
							 : "fails"
					       : "is healthy again");
}

static void op_report_position(void *context,
			       const kl_primary_position_t *position)
{
	model_t *model = context;

	if (position->term)
		model->positions_reported++;
	else
		model->positions_needed++;
}

static void op_count_operation(void *context, const char *workspace,
			       uint64_t sent_us)
{
	model_t *model = context;
	(void)workspace;
	(void)sent_us;

	model->operations_counted++;
}

static void op_report_load(void *context, const kl_load_report_t *report)
{
	model_t *model = context;

	model->loads_reported++;
	model->loads_needed += report->others_needed;
}

static void op_log_decision(void *context, const kl_decision_t *decision)
{
	const model_t *model = context;

	if (model->trace && !strcmp(decision->name, "domain_spill"))
		printf("%s %s\n", decision->name, decision->reason);
}

static void schedule(model_t *model, event_kind_t kind, uint64_t delay_us,
		     model_conn_t *conn, model_event_t *event)
{
	model_event_t *copy = malloc(sizeof(*copy));

	*copy = *event;
	copy->kind = kind;
	copy->due_at_us = model->now_us + delay_us;
	copy->conn = conn;
	CK_STAILQ_INSERT_TAIL(&model->events, copy, link);
}

static void serve_slot_queue(model_t *model, model_db_t *db)
{
	model_event_t *event;

	while (db->busy_slots < db->slots &&
	       (event = CK_STAILQ_FIRST(&db->slot_queue))) {
		CK_STAILQ_REMOVE_HEAD(&db->slot_queue, link);
		db->queue_length--;
		handle_event(model, event);
	}
}

/*
 * Process an event: free it, or queue it until the database has a free slot.
 * A silent database drops what reaches it and what it would answer.
 */
static void handle_event(model_t *model, model_event_t *event)
{
	model_conn_t *conn = event->conn;
	model_db_t *db = conn->db;

	if (event->kind == EVENT_FINISH && !event->needs_no_slot) {
		db->busy_slots--;
		serve_slot_queue(model, db);
	}
	if (conn->closed || db->silent)
		goto out;
	switch (event->kind) {
	case EVENT_CONNECT:
		if (db->open_connections + db->foreign_connections >=
		    db->max_connections) {
			db->connections_rejected++;
			conn->closed = true;
			kl_conn_lost(conn->engine_conn, -KL_E_CONNECTIONS,
				     model->now_us);
			goto out;
		}
		/* fall through */
	case EVENT_ARRIVE:
		if (event->is_statement)
			check_mark(model, event);
		if (!event->needs_no_slot && db->busy_slots >= db->slots) {
			if (event->is_statement && db->queue_max &&
			    db->queue_length >= db->queue_max) {
				event->result.error = -KL_E_NO_UPSTREAM;
				event->result.transaction_status =
					conn->txn_state;
				db->statements_refused++;
				schedule(model, EVENT_ANSWER, NETWORK_DELAY_US,
					 conn, event);
				break;
			}
			db->queue_length++;
			CK_STAILQ_INSERT_TAIL(&db->slot_queue, event, link);
			return;
		}
		db->busy_slots += !event->needs_no_slot;
		db->open_connections += event->kind == EVENT_CONNECT;
		conn->counted_as_open |= event->kind == EVENT_CONNECT;
		schedule(model, EVENT_FINISH,
			 event->handshake	? HANDSHAKE_US
			 : event->needs_no_slot ? 0
						: statement_us(event),
			 conn, event);
		break;
	case EVENT_FINISH:
		if (event->handshake)
			db->connections_accepted++;
		else
			run_statement(model, event);
		if (conn->closed)
			break;
		schedule(model, EVENT_ANSWER, NETWORK_DELAY_US, conn, event);
		break;
	case EVENT_ANSWER:
		if (event->handshake) {
			kl_conn_ready(conn->engine_conn, log_end(model, db),
				      model->now_us);
		} else {
			event->result.bytes = event->text;
			event->result.first_row = "";
			kl_conn_answered(conn->engine_conn, &event->result,
					 model->now_us);
		}
		break;
	}
out:
	free(event);
}

/* The run time that the statement states as "work=MS", or the database's. */
static uint64_t statement_us(const model_event_t *event)
{
	const char *work = strstr(event->text, "work=");

	return work ? strtoull(work + strlen("work="), NULL, 10) * KL_MS
		    : event->conn->db->statement_us;
}

/*
 * Run a statement on its database, and break the connection in place of the
 * answer if the script asked for a lost answer.
 */
static void run_statement(model_t *model, model_event_t *event)
{
	model_conn_t *conn = event->conn;
	model_db_t *db = conn->db;
	kl_stmt_result_t *result = &event->result;
	bool write = !strncmp(event->text, "WRITE", 5);

	if (event->min_position.term &&
	    kl_position_compare(log_end(model, db), event->min_position) < 0)
		result->error = -KL_E_LAGGING;
	else if ((write || !strcmp(event->text, "BEGIN")) && !db->primary)
		result->error = -KL_E_READ_ONLY;
	else if (!strncmp(event->text, "BEGIN", 5))
		conn->txn_state = 'T';
	else if (!strcmp(event->text, "COMMIT") ||
		 !strcmp(event->text, "ROLLBACK"))
		conn->txn_state = 'I';
	if (!result->error && !event->needs_no_slot)
		db->statements_run++;
	if (!result->error && write &&
	    model->last_commit + 1 < sizeof(model->commit_times_us) /
					     sizeof(*model->commit_times_us))
		model->commit_times_us[++model->last_commit] = model->now_us;
	result->transaction_status = conn->txn_state;
	result->log_end = log_end(model, db);
	if (db->answers_to_lose && !event->needs_no_slot) {
		db->answers_to_lose--;
		release_conn(conn);
		conn->closed = true;
		kl_conn_lost(conn->engine_conn, -KL_E_UNAVAILABLE,
			     model->now_us);
	}
}

/* Print a statement that reached a marked database after the limit. */
static void check_mark(const model_t *model, const model_event_t *event)
{
	const model_db_t *db = event->conn->db;

	for (uint32_t i = 0; i < model->mark_count; i++) {
		const model_mark_t *mark = &model->marks[i];

		if (!mark->set || strcmp(mark->domain, db->domain) ||
		    model->now_us - mark->set_at_us <= LEAVE_LIMIT_US)
			continue;
		printf("LATE: %s got \"%s\", %" PRIu64 " ms after the mark\n",
		       db->name, event->text,
		       (uint64_t)((model->now_us - mark->set_at_us) / KL_MS));
	}
}

/* Take a connection out of its database's open_connections, once. */
static void release_conn(model_conn_t *conn)
{
	conn->db->open_connections -= conn->counted_as_open;
	conn->counted_as_open = false;
}

/* Break the connections of databases that are down. */
static void break_conns(model_t *model)
{
	model_conn_t *conn;

	CK_STAILQ_FOREACH(conn, &model->conns, link) {
		if (!conn->closed && conn->db->down) {
			conn->closed = true;
			kl_conn_lost(conn->engine_conn, -KL_E_UPSTREAM,
				     model->now_us);
			conn->engine_conn = NULL;
		}
		if (conn->closed)
			release_conn(conn);
	}
}

/* End of a database's log; a replica lacks the commits of the last lag_us. */
uint64_t model_commits_at(const model_t *model, uint64_t time_us)
{
	uint64_t number = model->last_commit;

	while (number && model->commit_times_us[number] > time_us)
		number--;
	return number;
}

static kl_position_t log_end(const model_t *model, const model_db_t *db)
{
	kl_position_t position = { db->term, model->last_commit };

	if (!db->primary)
		position.number = model_commits_at(
			model, model->now_us > db->lag_us
				       ? model->now_us - db->lag_us
				       : 0);
	return position;
}
