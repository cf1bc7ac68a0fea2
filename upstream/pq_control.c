/* Connections for control calls over libpq. */
#include <stdlib.h>

#include "upstream/control_conn.h"
#include "upstream/control_query.h"

struct kl_control_conn {
	kl_db_conn_t *db_conn;
	const kl_control_conn_events_t *events;
	void *owner;
};

static kl_control_conn_t *
pq_open(struct event_base *base, const kl_database_call_t *call,
	const char *user, const kl_control_conn_events_t *events, void *owner);
static int pq_send(kl_control_conn_t *conn, const kl_database_call_t *call);
static void pq_close(kl_control_conn_t *conn);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_db_result_t *results, int count);
static void on_lost(void *owner);

const kl_control_conn_ops_t kl_control_conn_pq = { "libpq", pq_open, pq_send,
						   pq_close };

static const kl_db_conn_events_t db_conn_events = { on_ready, on_answered,
						    on_lost };

static kl_control_conn_t *
pq_open(struct event_base *base, const kl_database_call_t *call,
	const char *user, const kl_control_conn_events_t *events, void *owner)
{
	kl_db_conn_target_t target = { call->host, call->port, call->service,
				       user };
	kl_control_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->events = events;
	conn->owner = owner;
	conn->db_conn =
		kl_db_conn_pq.open(base, &target, &db_conn_events, conn);
	if (!conn->db_conn) {
		free(conn);
		return NULL;
	}
	return conn;
}

static int pq_send(kl_control_conn_t *conn, const kl_database_call_t *call)
{
	char text[KL_CONTROL_QUERY_MAX];
	kl_query_t query = { .text = text };

	kl_control_query_format(call->op, call->term, text);
	return kl_db_conn_pq.send(conn->db_conn, &query);
}

static void pq_close(kl_control_conn_t *conn)
{
	kl_db_conn_pq.close(conn->db_conn);
	free(conn);
}

static void on_ready(void *owner)
{
	kl_control_conn_t *conn = owner;

	conn->events->ready(conn->owner);
}

static void on_answered(void *owner, const kl_db_result_t *results, int count)
{
	kl_control_conn_t *conn = owner;
	kl_database_answer_t answer = { 0 };
	kl_database_state_t state;

	kl_control_query_parse(results, count, &answer);
	state.error = answer.error;
	state.primary = answer.reported_primary;
	state.term = answer.term;
	state.min_term = answer.min_term;
	state.log_end.term = answer.term;
	state.log_end.number = answer.position;
	conn->events->answered(conn->owner, &state);
}

static void on_lost(void *owner)
{
	kl_control_conn_t *conn = owner;

	conn->events->lost(conn->owner, -KL_E_UNAVAILABLE);
}
