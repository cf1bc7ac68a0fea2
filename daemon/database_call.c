#include <stdlib.h>
#include <string.h>

#include "daemon/database_call.h"

#define KEPT_S 5	  /* an unused connection is closed */
#define TIMEOUT_US 500000 /* of connecting and answering together */

/* A connection and the call that runs on it. */
typedef struct line {
	CK_STAILQ_ENTRY(line) link;
	kl_database_client_t *caller;
	kl_database_call_t call;
	kl_control_conn_t *connection;
	struct event *timer;
	bool kept;
	bool ready;
	bool busy;
} line_t;

struct kl_database_client {
	struct event_base *base;
	const kl_control_conn_ops_t *ops;
	const char *user;
	void (*answered)(void *context, const kl_database_answer_t *answer);
	void *context;
	CK_STAILQ_HEAD(, line) lines;
};

static line_t *kept_line(kl_database_client_t *caller,
			 const kl_database_call_t *call);
static line_t *open_line(kl_database_client_t *caller,
			 const kl_database_call_t *call);
static void ask(line_t *line);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_database_state_t *state);
static void on_broken(void *owner, int error);
static void on_timeout(evutil_socket_t fd, short what, void *arg);
static void fail(line_t *line, int error);
static void line_free(line_t *line);

static const kl_control_conn_events_t control_events = { on_ready, on_answered,
							 on_broken };

kl_database_client_t *kl_database_client_new(
	struct event_base *base, const kl_control_conn_ops_t *ops,
	const char *user,
	void (*answered)(void *context, const kl_database_answer_t *answer),
	void *context)
{
	kl_database_client_t *caller = calloc(1, sizeof(*caller));

	if (!caller)
		return NULL;
	caller->base = base;
	caller->ops = ops;
	caller->user = user;
	caller->answered = answered;
	caller->context = context;
	CK_STAILQ_INIT(&caller->lines);
	return caller;
}

void kl_database_client_free(kl_database_client_t *caller)
{
	line_t *line;

	if (!caller)
		return;
	while ((line = CK_STAILQ_FIRST(&caller->lines)))
		line_free(line);
	free(caller);
}

void kl_database_client_call(kl_database_client_t *caller,
			     const kl_database_call_t *call)
{
	struct timeval timeout = { 0, TIMEOUT_US };
	kl_database_answer_t failed = { .call = *call,
					.error = -KL_E_UNAVAILABLE };
	line_t *line = call->new_connection ? NULL : kept_line(caller, call);

	if (line && line->busy) {
		caller->answered(caller->context, &failed);
		return;
	}
	if (!line)
		line = open_line(caller, call);
	if (!line) {
		caller->answered(caller->context, &failed);
		return;
	}
	line->call = *call;
	line->busy = true;
	evtimer_add(line->timer, &timeout);
	if (line->ready)
		ask(line);
}

static line_t *kept_line(kl_database_client_t *caller,
			 const kl_database_call_t *call)
{
	line_t *line;

	CK_STAILQ_FOREACH(line, &caller->lines, link) {
		if (line->kept && line->call.port == call->port &&
		    !strcmp(line->call.host, call->host) &&
		    !strcmp(line->call.service, call->service))
			return line;
	}
	return NULL;
}

static line_t *open_line(kl_database_client_t *caller,
			 const kl_database_call_t *call)
{
	line_t *line = calloc(1, sizeof(*line));

	if (!line)
		return NULL;
	line->caller = caller;
	line->kept = !call->new_connection;
	line->connection = caller->ops->open(caller->base, call, caller->user,
					     &control_events, line);
	if (!line->connection) {
		free(line);
		return NULL;
	}
	line->timer = evtimer_new(caller->base, on_timeout, line);
	CK_STAILQ_INSERT_TAIL(&caller->lines, line, link);
	return line;
}

static void ask(line_t *line)
{
	if (line->caller->ops->send(line->connection, &line->call))
		fail(line, -KL_E_UNAVAILABLE);
}

static void on_ready(void *owner)
{
	line_t *line = owner;

	line->ready = true;
	ask(line);
}

static void on_answered(void *owner, const kl_database_state_t *state)
{
	static const struct timeval kept = { KEPT_S, 0 };
	line_t *line = owner;
	kl_database_client_t *caller = line->caller;
	kl_database_answer_t answer = { .call = line->call };

	evtimer_add(line->timer, &kept);
	line->busy = false;
	answer.error = state->error;
	answer.primary = state->primary;
	answer.term = state->term;
	answer.min_term = state->min_term;
	answer.log_term = state->log_end.term;
	answer.position = state->log_end.number;
	if (!line->kept)
		line_free(line);
	caller->answered(caller->context, &answer);
}

static void on_broken(void *owner, int error)
{
	fail(owner, error);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fail(arg, -KL_E_UNAVAILABLE);
}

static void fail(line_t *line, int error)
{
	kl_database_client_t *caller = line->caller;
	kl_database_answer_t answer = { .call = line->call, .error = error };
	bool busy = line->busy;

	line_free(line);
	if (busy)
		caller->answered(caller->context, &answer);
}

static void line_free(line_t *line)
{
	CK_STAILQ_REMOVE(&line->caller->lines, line, line, link);
	line->caller->ops->close(line->connection);
	event_free(line->timer);
	free(line);
}
