/* Control calls of databases over libpq. */
#include <stdlib.h>

#include "upstream/control.h"
#include "upstream/control_query.h"

struct kl_control_conn {
	kl_db_conn_t *link;
	const kl_control_conn_events_t *events;
	void *owner;
};

static kl_control_conn_t *
pq_open(struct event_base *base, const kl_database_call_t *call,
	const char *user, const kl_control_conn_events_t *events, void *owner);
static int pq_ask(kl_control_conn_t *control, const kl_database_call_t *call);
static void pq_close(kl_control_conn_t *control);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_db_result_t *results, int count);
static void on_broken(void *owner);

const kl_control_conn_ops_t kl_control_conn_pq = { "libpq", pq_open, pq_ask,
						   pq_close };

static const kl_db_conn_events_t link_events = { on_ready, on_answered,
						 on_broken };

static kl_control_conn_t *
pq_open(struct event_base *base, const kl_database_call_t *call,
	const char *user, const kl_control_conn_events_t *events, void *owner)
{
	kl_db_conn_target_t target = { call->host, call->port, call->service,
				       user };
	kl_control_conn_t *control = calloc(1, sizeof(*control));

	if (!control)
		return NULL;
	control->events = events;
	control->owner = owner;
	control->link =
		kl_db_conn_pq.open(base, &target, &link_events, control);
	if (!control->link) {
		free(control);
		return NULL;
	}
	return control;
}

static int pq_ask(kl_control_conn_t *control, const kl_database_call_t *call)
{
	char text[KL_CONTROL_QUERY_MAX];
	kl_query_t query = { .text = text };

	kl_control_query_format(call->op, call->term, text);
	return kl_db_conn_pq.send(control->link, &query);
}

static void pq_close(kl_control_conn_t *control)
{
	kl_db_conn_pq.close(control->link);
	free(control);
}

static void on_ready(void *owner)
{
	kl_control_conn_t *control = owner;

	control->events->ready(control->owner);
}

static void on_answered(void *owner, const kl_db_result_t *results, int count)
{
	kl_control_conn_t *control = owner;
	kl_database_answer_t answer = { 0 };
	kl_database_state_t state;

	kl_control_query_parse(results, count, &answer);
	state.error = answer.error;
	state.primary = answer.primary;
	state.term = answer.term;
	state.min_term = answer.min_term;
	state.log_end.term = answer.term;
	state.log_end.number = answer.position;
	control->events->answered(control->owner, &state);
}

static void on_broken(void *owner)
{
	kl_control_conn_t *control = owner;

	control->events->lost(control->owner, -KL_E_UNAVAILABLE);
}
