#include <stdlib.h>
#include <string.h>

#include "daemon/database_call.h"

#define IDLE_TIMEOUT_S 5       /* after which an unused connection is closed */
#define CALL_TIMEOUT_US 500000 /* for connecting and the answer together */

/* A connection to a database and its current or last call. */
typedef struct control_conn {
	CK_STAILQ_ENTRY(control_conn) link;
	kl_database_client_t *client;
	kl_database_call_t call;
	kl_control_conn_t *handle;
	struct event *timer; /* of the call, or else of the idle connection */
	bool reusable;	     /* kept open for further calls */
	bool connected;
	bool call_outstanding; /* the call has not been answered */
} control_conn_t;

struct kl_database_client {
	struct event_base *base;
	const kl_control_conn_ops_t *ops;
	const char *user;
	void (*answered)(void *context, const kl_database_answer_t *answer);
	void *context;
	CK_STAILQ_HEAD(, control_conn) conns;
};

static control_conn_t *find_reusable_conn(kl_database_client_t *client,
					  const kl_database_call_t *call);
static control_conn_t *open_conn(kl_database_client_t *client,
				 const kl_database_call_t *call);
static void send_call(control_conn_t *conn);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_database_state_t *state);
static void on_lost(void *owner, int error);
static void on_timeout(evutil_socket_t fd, short what, void *arg);
static void fail(control_conn_t *conn, int error);
static void conn_free(control_conn_t *conn);

static const kl_control_conn_events_t control_events = { on_ready, on_answered,
							 on_lost };

kl_database_client_t *kl_database_client_new(
	struct event_base *base, const kl_control_conn_ops_t *ops,
	const char *user,
	void (*answered)(void *context, const kl_database_answer_t *answer),
	void *context)
{
	kl_database_client_t *client = calloc(1, sizeof(*client));

	if (!client)
		return NULL;
	client->base = base;
	client->ops = ops;
	client->user = user;
	client->answered = answered;
	client->context = context;
	CK_STAILQ_INIT(&client->conns);
	return client;
}

void kl_database_client_free(kl_database_client_t *client)
{
	control_conn_t *conn;

	if (!client)
		return;
	while ((conn = CK_STAILQ_FIRST(&client->conns)))
		conn_free(conn);
	free(client);
}

void kl_database_client_call(kl_database_client_t *client,
			     const kl_database_call_t *call)
{
	struct timeval timeout = { 0, CALL_TIMEOUT_US };
	kl_database_answer_t failed = { .call = *call,
					.error = -KL_E_UNAVAILABLE };
	control_conn_t *conn =
		call->new_connection ? NULL : find_reusable_conn(client, call);

	if (conn && conn->call_outstanding) {
		client->answered(client->context, &failed);
		return;
	}
	if (!conn)
		conn = open_conn(client, call);
	if (!conn) {
		client->answered(client->context, &failed);
		return;
	}
	conn->call = *call;
	conn->call_outstanding = true;
	evtimer_add(conn->timer, &timeout);
	if (conn->connected)
		send_call(conn);
}

static control_conn_t *find_reusable_conn(kl_database_client_t *client,
					  const kl_database_call_t *call)
{
	control_conn_t *conn;

	CK_STAILQ_FOREACH(conn, &client->conns, link) {
		if (conn->reusable && conn->call.port == call->port &&
		    !strcmp(conn->call.host, call->host) &&
		    !strcmp(conn->call.service, call->service))
			return conn;
	}
	return NULL;
}

static control_conn_t *open_conn(kl_database_client_t *client,
				 const kl_database_call_t *call)
{
	control_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->client = client;
	conn->reusable = !call->new_connection;
	conn->handle = client->ops->open(client->base, call, client->user,
					 &control_events, conn);
	if (!conn->handle) {
		free(conn);
		return NULL;
	}
	conn->timer = evtimer_new(client->base, on_timeout, conn);
	CK_STAILQ_INSERT_TAIL(&client->conns, conn, link);
	return conn;
}

static void send_call(control_conn_t *conn)
{
	if (conn->client->ops->send(conn->handle, &conn->call))
		fail(conn, -KL_E_UNAVAILABLE);
}

static void on_ready(void *owner)
{
	control_conn_t *conn = owner;

	conn->connected = true;
	send_call(conn);
}

static void on_answered(void *owner, const kl_database_state_t *state)
{
	static const struct timeval idle_timeout = { IDLE_TIMEOUT_S, 0 };
	control_conn_t *conn = owner;
	kl_database_client_t *client = conn->client;
	kl_database_answer_t answer = { .call = conn->call };

	evtimer_add(conn->timer, &idle_timeout);
	conn->call_outstanding = false;
	answer.error = state->error;
	answer.reported_primary = state->primary;
	answer.term = state->term;
	answer.min_term = state->min_term;
	answer.log_term = state->log_end.term;
	answer.position = state->log_end.number;
	if (!conn->reusable)
		conn_free(conn);
	client->answered(client->context, &answer);
}

static void on_lost(void *owner, int error)
{
	fail(owner, error);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fail(arg, -KL_E_UNAVAILABLE);
}

static void fail(control_conn_t *conn, int error)
{
	kl_database_client_t *client = conn->client;
	kl_database_answer_t answer = { .call = conn->call, .error = error };
	bool busy = conn->call_outstanding;

	conn_free(conn);
	if (busy)
		client->answered(client->context, &answer);
}

static void conn_free(control_conn_t *conn)
{
	CK_STAILQ_REMOVE(&conn->client->conns, conn, control_conn, link);
	conn->client->ops->close(conn->handle);
	event_free(conn->timer);
	free(conn);
}
