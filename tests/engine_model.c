/* Callers, databases and time around an engine. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/line.h"
#include "tests/engine_model.h"

#define STEP_US 1000	   /* of the virtual clock */
#define TICK_US 3000	   /* between two ticks of the engine */
#define HANDSHAKE_US 12000 /* of a connection, in a slot */
#define WIRE_US 500	   /* one way */

/* A caller: named by the script, or one of a load. */
typedef struct front {
	char name[KL_NAME_MAX];
	model_load_t *load;
	kl_client_t *caller;
	uint64_t began_us;
	bool gone;
	CK_STAILQ_ENTRY(front) link;
} front_t;

/* A connection's statement, or its handshake. */
struct model_link {
	CK_STAILQ_ENTRY(model_link) link;
	model_db_t *db;
	kl_conn_t *channel;
	char workspace[KL_NAME_MAX];
	bool closed;
	bool counted; /* among its database's connections */
	char state;
};

typedef enum event_kind {
	EVENT_CONNECT, /* waits for a slot for its handshake */
	EVENT_ARRIVE,  /* waits for a slot for its statement */
	EVENT_FINISH,  /* runs, or is connected */
	EVENT_ANSWER,  /* on its way back */
} event_kind_t;

typedef struct model_event {
	CK_STAILQ_ENTRY(model_event) link;
	event_kind_t kind;
	uint64_t at_us;
	model_link_t *on;
	bool handshake;
	kl_stmt_result_t outcome;
	char text[128];
	kl_position_t since;
	bool free_of_charge; /* takes no slot */
} model_event_t;

static CK_STAILQ_HEAD(, front) fronts;

static void do_welcome(void *context, void *front);
static void do_result(void *context, void *front,
		      const kl_stmt_result_t *outcome);
static void do_done(void *context, void *front, char state);
static void do_refuse(void *context, void *front, int error, char state);
static bool do_quiet(void *context, void *front);
static void do_end(void *context, void *front, int error);
static void *do_open(void *context, const kl_conn_target_t *target,
		     kl_conn_t *channel);
static int do_send(void *context, void *link, const kl_conn_msg_t *dispatch);
static void do_close(void *context, void *link);
static void do_demand(void *context);
static void do_traffic(void *context, const kl_passive_check_t *traffic);
static void do_decided(void *context, const kl_decision_t *decision);
static void post(model_t *model, event_kind_t kind, uint64_t in_us,
		 model_link_t *on, model_event_t *event);
static void take_waiting(model_t *model, model_db_t *db);
static void happen(model_t *model, model_event_t *event);
static void run_statement(model_t *model, model_event_t *event);
static void break_links(model_t *model);
static void leave(model_link_t *link);
static void run_loads(model_t *model);
static kl_position_t log_end(const model_t *model, const model_db_t *db);
static front_t *front_of(const char *name);
static void settle(model_t *model, front_t *front, int error);

static const kl_engine_ops_t ops = {
	do_welcome, do_result, do_done,	 do_refuse, do_quiet,	do_end,
	do_open,    do_send,   do_close, do_demand, do_traffic, do_decided,
};

model_t *model_new(void)
{
	model_t *model = calloc(1, sizeof(*model));
	kl_engine_settings_t settings = { .path = { .lease_us = 5 * KL_SEC },
					  .statement_timeout_us = 3 * KL_SEC,
					  .admit_wait_us = 30 * KL_MS,
					  .connect_timeout_us = 500 * KL_MS };

	kl_name_set(settings.path.domain, "d1");
	model->now = KL_SEC;
	model->board = kl_board_new();
	model->writer = kl_reader_new(model->board);
	CK_STAILQ_INIT(&model->links);
	CK_STAILQ_INIT(&model->events);
	for (int i = 0; i < MODEL_NAMES; i++)
		CK_STAILQ_INIT(&model->dbs[i].waiting);
	CK_STAILQ_INIT(&fronts);
	model->engine = kl_engine_new(&settings, &ops, model,
				      kl_reader_new(model->board));
	return model;
}

void model_free(model_t *model)
{
	model_event_t *event;
	model_link_t *link;
	front_t *front;

	kl_engine_free(model->engine);
	for (int i = 0; i < MODEL_NAMES; i++)
		CK_STAILQ_CONCAT(&model->events, &model->dbs[i].waiting);
	while ((event = CK_STAILQ_FIRST(&model->events))) {
		CK_STAILQ_REMOVE_HEAD(&model->events, link);
		free(event);
	}
	while ((link = CK_STAILQ_FIRST(&model->links))) {
		CK_STAILQ_REMOVE_HEAD(&model->links, link);
		free(link);
	}
	while ((front = CK_STAILQ_FIRST(&fronts))) {
		CK_STAILQ_REMOVE_HEAD(&fronts, link);
		free(front);
	}
	kl_board_free(model->board);
	for (uint32_t i = 0; i < model->bucket_count; i++)
		free(model->buckets[i]);
	free(model);
}

void model_run(model_t *model, uint64_t ms)
{
	uint64_t until = model->now + ms * KL_MS;
	model_event_t *event, *next;

	while (model->now < until) {
		model->now += STEP_US;
		if (model->now % (100 * KL_MS) == 0)
			model_confirm(model);
		run_loads(model);
		break_links(model);
		CK_STAILQ_FOREACH_SAFE(event, &model->events, link, next) {
			if (event->at_us > model->now)
				continue;
			CK_STAILQ_REMOVE(&model->events, event, model_event,
					 link);
			happen(model, event);
		}
		if (model->now % TICK_US == 0)
			kl_engine_tick(model->engine, model->now);
	}
}

void model_confirm(model_t *model)
{
	kl_confirmation_t *fresh;

	if (!model->leased)
		return;
	fresh = kl_confirmation_new(model->version, model->now);
	kl_board_publish(model->writer, KL_SECTION_CONFIRMATION, &fresh->base);
	kl_board_reclaim(model->writer);
}

model_db_t *model_db(model_t *model, const char *name)
{
	for (uint32_t i = 0; i < model->db_count; i++)
		if (!strcmp(model->dbs[i].name, name))
			return &model->dbs[i];
	return NULL;
}

void *model_login(model_t *model, const char *name, const char *route,
		  const char *key)
{
	front_t *front = calloc(1, sizeof(*front));

	kl_name_set(front->name, name);
	front->began_us = model->now;
	CK_STAILQ_INSERT_TAIL(&fronts, front, link);
	front->caller =
		kl_client_new(model->engine, front, route, key, model->now);
	return front;
}

void model_query(model_t *model, const char *name, const char *id,
		 const char *text)
{
	front_t *front = front_of(name);
	kl_parsed_stmt_t command = { .id = id };

	if (!front || !front->caller) {
		printf("%s is not there\n", name);
		return;
	}
	kl_line_parse_statement(text, &command);
	kl_client_statement(front->caller, &command, model->now);
}

void model_leave(model_t *model, const char *name)
{
	front_t *front = front_of(name);

	if (!front || !front->caller)
		return;
	kl_client_disconnected(front->caller, model->now);
	front->caller = NULL;
	front->gone = true;
}

static front_t *front_of(const char *name)
{
	front_t *front;

	CK_STAILQ_FOREACH(front, &fronts, link) {
		if (!front->gone && !front->load && !strcmp(front->name, name))
			return front;
	}
	return NULL;
}

static void do_welcome(void *context, void *arg)
{
	front_t *front = arg;
	(void)context;

	if (!front->load)
		printf("%s < welcome\n", front->name);
}

static void do_result(void *context, void *arg, const kl_stmt_result_t *outcome)
{
	front_t *front = arg;

	if (front->load)
		settle(context, front, 0);
	else
		printf("%s < %s, %c\n", front->name, outcome->bytes,
		       outcome->txn_state);
}

static void do_done(void *context, void *arg, char state)
{
	front_t *front = arg;
	(void)context;

	printf("%s < done here, %c\n", front->name, state);
}

static void do_refuse(void *context, void *arg, int error, char state)
{
	front_t *front = arg;

	if (front->load)
		settle(context, front, error);
	else
		printf("%s < %s, %c\n", front->name, kl_error_info(error)->name,
		       state);
}

static bool do_quiet(void *context, void *front)
{
	(void)context;
	(void)front;
	return true;
}

static void do_end(void *context, void *arg, int error)
{
	front_t *front = arg;
	(void)context;

	front->caller = NULL;
	front->gone = true;
	if (!front->load)
		printf("%s < end, %s\n", front->name,
		       kl_error_info(error)->name);
}

static void *do_open(void *context, const kl_conn_target_t *target,
		     kl_conn_t *channel)
{
	model_t *model = context;
	model_event_t event = { .handshake = true };
	model_link_t *link = calloc(1, sizeof(*link));

	link->db = model_db(model, target->upstream);
	link->channel = channel;
	link->state = 'I';
	kl_name_set(link->workspace, target->workspace);
	CK_STAILQ_INSERT_TAIL(&model->links, link, link);
	post(model, EVENT_CONNECT, WIRE_US, link, &event);
	return link;
}

static int do_send(void *context, void *arg, const kl_conn_msg_t *dispatch)
{
	static const char *const texts[] = {
		[KL_CONN_MSG_RESET] = "RESET", [KL_CONN_MSG_STATUS] = "STATUS"
	};
	model_t *model = context;
	model_link_t *link = arg;
	model_event_t event = { .since = dispatch->min_position };

	snprintf(event.text, sizeof(event.text), "%s",
		 dispatch->text ? dispatch->text : texts[dispatch->kind]);
	event.free_of_charge = dispatch->kind != KL_CONN_MSG_STATEMENT ||
			       !strncmp(event.text, "BEGIN", 5) ||
			       !strcmp(event.text, "ROLLBACK");
	if (model->trace && dispatch->kind != KL_CONN_MSG_STATUS)
		printf("%s (%s) > %s%s\n", link->db->name, link->workspace,
		       event.text,
		       dispatch->min_position.term ? " with a position" : "");
	post(model, EVENT_ARRIVE, WIRE_US, link, &event);
	return 0;
}

static void do_close(void *context, void *arg)
{
	model_link_t *link = arg;
	(void)context;

	link->closed = true;
	link->channel = NULL;
	leave(link);
}

static void do_demand(void *context)
{
	(void)context;
}

static void do_traffic(void *context, const kl_passive_check_t *traffic)
{
	model_t *model = context;

	if (model->trace)
		printf("%s %s\n", traffic->upstream,
		       traffic->failing_since_us ? traffic->refuses_connections
							   ? "refuses"
							   : "fails"
						 : "is good again");
}

static void do_decided(void *context, const kl_decision_t *decision)
{
	(void)context;
	(void)decision;
}

static void post(model_t *model, event_kind_t kind, uint64_t in_us,
		 model_link_t *on, model_event_t *event)
{
	model_event_t *copy = malloc(sizeof(*copy));

	*copy = *event;
	copy->kind = kind;
	copy->at_us = model->now + in_us;
	copy->on = on;
	CK_STAILQ_INSERT_TAIL(&model->events, copy, link);
}

static void take_waiting(model_t *model, model_db_t *db)
{
	model_event_t *event;

	while (db->busy < db->slots &&
	       (event = CK_STAILQ_FIRST(&db->waiting))) {
		CK_STAILQ_REMOVE_HEAD(&db->waiting, link);
		happen(model, event);
	}
}

/* The event is freed, or waits for a slot. */
static void happen(model_t *model, model_event_t *event)
{
	model_link_t *link = event->on;
	model_db_t *db = link->db;

	if (event->kind == EVENT_FINISH && !event->free_of_charge) {
		db->busy--;
		take_waiting(model, db);
	}
	if (link->closed || db->silent)
		goto out;
	switch (event->kind) {
	case EVENT_CONNECT:
		if (db->open >= db->most) {
			db->turned_off++;
			link->closed = true;
			kl_conn_lost(link->channel, -KL_E_CONNECTIONS,
				     model->now);
			goto out;
		}
		/* fall through */
	case EVENT_ARRIVE:
		if (!event->free_of_charge && db->busy >= db->slots) {
			CK_STAILQ_INSERT_TAIL(&db->waiting, event, link);
			return;
		}
		db->busy += !event->free_of_charge;
		db->open += event->kind == EVENT_CONNECT;
		link->counted |= event->kind == EVENT_CONNECT;
		post(model, EVENT_FINISH,
		     event->handshake	     ? HANDSHAKE_US
		     : event->free_of_charge ? 0
					     : db->work_us,
		     link, event);
		break;
	case EVENT_FINISH:
		if (event->handshake)
			db->connected++;
		else
			run_statement(model, event);
		if (link->closed)
			break;
		post(model, EVENT_ANSWER, WIRE_US, link, event);
		break;
	case EVENT_ANSWER:
		if (event->handshake) {
			kl_conn_ready(link->channel, log_end(model, db),
				      model->now);
		} else {
			event->outcome.bytes = event->text;
			event->outcome.first_row = "";
			kl_conn_answered(link->channel, &event->outcome,
					 model->now);
		}
		break;
	}
out:
	free(event);
}

static void run_statement(model_t *model, model_event_t *event)
{
	model_link_t *link = event->on;
	model_db_t *db = link->db;
	kl_stmt_result_t *outcome = &event->outcome;
	bool write = !strncmp(event->text, "WRITE", 5);

	if (event->since.term &&
	    kl_position_compare(log_end(model, db), event->since) < 0)
		outcome->error = -KL_E_LAGGING;
	else if ((write || !strcmp(event->text, "BEGIN")) && !db->primary)
		outcome->error = -KL_E_READ_ONLY;
	else if (!strncmp(event->text, "BEGIN", 5))
		link->state = 'T';
	else if (!strcmp(event->text, "COMMIT") ||
		 !strcmp(event->text, "ROLLBACK"))
		link->state = 'I';
	if (!outcome->error && !event->free_of_charge)
		db->ran++;
	if (!outcome->error && write &&
	    model->commits + 1 <
		    sizeof(model->committed_us) / sizeof(*model->committed_us))
		model->committed_us[++model->commits] = model->now;
	outcome->txn_state = link->state;
	outcome->log_end = log_end(model, db);
	if (db->lose && !event->free_of_charge) {
		db->lose--;
		leave(link);
		link->closed = true;
		kl_conn_lost(link->channel, -KL_E_UNAVAILABLE, model->now);
	}
}

static void leave(model_link_t *link)
{
	link->db->open -= link->counted;
	link->counted = false;
}

/* Those of a database that went down, and those that were closed. */
static void break_links(model_t *model)
{
	model_link_t *link;

	CK_STAILQ_FOREACH(link, &model->links, link) {
		if (!link->closed && link->db->down) {
			link->closed = true;
			kl_conn_lost(link->channel, -KL_E_UPSTREAM, model->now);
			link->channel = NULL;
		}
		if (link->closed)
			leave(link);
	}
}

static kl_position_t log_end(const model_t *model, const model_db_t *db)
{
	kl_position_t position = { db->term, model->commits };

	while (!db->primary && position.number &&
	       model->committed_us[position.number] + db->lag_us > model->now)
		position.number--;
	return position;
}

static void run_loads(model_t *model)
{
	for (uint32_t i = 0; i < model->load_count; i++) {
		model_load_t *load = &model->loads[i];
		kl_parsed_stmt_t command = { .id = "load" };
		front_t *front;

		while (load->next_us <= model->now &&
		       load->next_us < load->until_us) {
			load->next_us += load->every_us;
			load->asked++;
			front = calloc(1, sizeof(*front));
			front->load = load;
			front->began_us = model->now;
			CK_STAILQ_INSERT_TAIL(&fronts, front, link);
			front->caller =
				kl_client_new(model->engine, front, load->route,
					      load->key, model->now);
			if (!front->caller) {
				load->refused++;
				continue;
			}
			kl_line_parse_statement(load->text, &command);
			kl_client_statement(front->caller, &command,
					    model->now);
		}
	}
	/* Sessions of a load end with their answer. */
	front_t *front;
	CK_STAILQ_FOREACH(front, &fronts, link) {
		if (!front->load || !front->gone || !front->caller)
			continue;
		kl_client_disconnected(front->caller, model->now);
		front->caller = NULL;
	}
}

static void settle(model_t *model, front_t *front, int error)
{
	model_load_t *load = front->load;
	uint64_t took = model->now - front->began_us;

	front->gone = true;
	if (!error && took <= load->aim_us) {
		load->in_aim++;
	} else if (!error) {
		load->late++;
	} else if (kl_error_info(error)->not_run) {
		load->refused++;
		if (took > load->longest_refused_us)
			load->longest_refused_us = took;
	} else {
		load->unknown++;
	}
}
