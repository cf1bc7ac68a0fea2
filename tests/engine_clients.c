/* Simulated clients: those that a script names, and those of loads. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/line.h"
#include "tests/engine_clients.h"

/* A statement that was sent and waits for the answers to earlier ones. */
typedef struct sent_stmt {
	CK_STAILQ_ENTRY(sent_stmt) link;
	char id[KL_NAME_MAX];
	char text[KL_NAME_MAX];
} sent_stmt_t;

/* A client: one that the script names, or one of a load. */
typedef struct model_client {
	char name[KL_NAME_MAX];
	model_load_t *load;   /* NULL if the script names the client */
	kl_client_t *session; /* NULL once it has ended */
	uint64_t started_at_us;
	/* The session ended, or the statement of a load was answered. */
	bool finished;
	bool stmt_running; /* a statement was passed and is not answered */
	CK_STAILQ_HEAD(, sent_stmt) input; /* statements not yet passed */
	CK_STAILQ_ENTRY(model_client) link;
} model_client_t;

static CK_STAILQ_HEAD(, model_client) clients;

static model_client_t *new_client(model_t *model);
static model_client_t *find_client(const char *name);
static void pass_sent_stmts(model_t *model);
static uint32_t drop_input(model_client_t *client);
static void start_load_statements(model_t *model, model_load_t *load);
static void end_answered_sessions(model_t *model);
static void count_load_result(model_t *model, model_client_t *client,
			      int error);

void model_clients_init(void)
{
	CK_STAILQ_INIT(&clients);
}

void model_clients_free(void)
{
	model_client_t *client;

	while ((client = CK_STAILQ_FIRST(&clients))) {
		CK_STAILQ_REMOVE_HEAD(&clients, link);
		drop_input(client);
		free(client);
	}
}

void *model_client_login(model_t *model, const char *name, const char *route,
			 const char *key)
{
	model_client_t *client = new_client(model);

	kl_name_copy(client->name, name);
	client->session =
		kl_client_new(model->engine, client, route, key, model->now_us);
	return client;
}

static model_client_t *new_client(model_t *model)
{
	model_client_t *client = calloc(1, sizeof(*client));

	CK_STAILQ_INIT(&client->input);
	client->started_at_us = model->now_us;
	CK_STAILQ_INSERT_TAIL(&clients, client, link);
	return client;
}

void model_client_query(model_t *model, const char *name, const char *id,
			const char *text)
{
	model_client_t *client = find_client(name);
	kl_parsed_stmt_t command = { .id = id };

	if (!client || !client->session) {
		printf("%s is not connected\n", name);
		return;
	}
	kl_line_parse_statement(text, &command);
	client->stmt_running = true;
	kl_client_statement(client->session, &command, model->now_us);
}

void model_client_send(const char *name, const char *id, const char *text)
{
	model_client_t *client = find_client(name);
	sent_stmt_t *sent = calloc(1, sizeof(*sent));

	if (!client || !client->session || kl_name_copy(sent->id, id) ||
	    kl_name_copy(sent->text, text)) {
		printf("%s can't send that\n", name);
		free(sent);
		return;
	}
	CK_STAILQ_INSERT_TAIL(&client->input, sent, link);
}

/* Passes the next statement of each client whose last one was answered. */
static void pass_sent_stmts(model_t *model)
{
	model_client_t *client;

	CK_STAILQ_FOREACH(client, &clients, link) {
		sent_stmt_t *sent = CK_STAILQ_FIRST(&client->input);

		if (!sent || client->stmt_running)
			continue;
		CK_STAILQ_REMOVE_HEAD(&client->input, link);
		model_client_query(model, client->name, sent->id, sent->text);
		free(sent);
	}
}

/* Returns how many statements of a client were never passed. */
static uint32_t drop_input(model_client_t *client)
{
	sent_stmt_t *sent;
	uint32_t count = 0;

	while ((sent = CK_STAILQ_FIRST(&client->input))) {
		CK_STAILQ_REMOVE_HEAD(&client->input, link);
		free(sent);
		count++;
	}
	return count;
}

void model_client_leave(model_t *model, const char *name)
{
	model_client_t *client = find_client(name);

	if (!client || !client->session)
		return;
	kl_client_disconnected(client->session, model->now_us);
	client->session = NULL;
	client->finished = true;
}

static model_client_t *find_client(const char *name)
{
	model_client_t *client;

	CK_STAILQ_FOREACH(client, &clients, link) {
		if (!client->finished && !client->load &&
		    !strcmp(client->name, name))
			return client;
	}
	return NULL;
}

void model_op_accept_login(void *context, void *arg)
{
	model_client_t *client = arg;
	(void)context;

	if (!client->load)
		printf("%s < welcome\n", client->name);
}

void model_op_result(void *context, void *arg, const kl_stmt_result_t *result)
{
	model_client_t *client = arg;

	client->stmt_running = false;
	if (client->load)
		count_load_result(context, client, 0);
	else
		printf("%s < %s, %c\n", client->name, result->bytes,
		       result->transaction_status);
}

void model_op_complete(void *context, void *arg, char state)
{
	model_client_t *client = arg;
	(void)context;

	client->stmt_running = false;
	printf("%s < completed by the proxy, %c\n", client->name, state);
}

void model_op_send_error(void *context, void *arg, int error, char state)
{
	model_client_t *client = arg;

	client->stmt_running = false;
	if (client->load)
		count_load_result(context, client, error);
	else
		printf("%s < %s, %c\n", client->name,
		       kl_error_info(error)->name, state);
}

bool model_op_input_empty(void *context, void *arg)
{
	model_client_t *client = arg;
	(void)context;

	return CK_STAILQ_EMPTY(&client->input);
}

void model_op_end_session(void *context, void *arg, int error)
{
	model_client_t *client = arg;
	uint32_t unanswered = drop_input(client);
	(void)context;

	client->session = NULL;
	client->finished = true;
	if (!client->load)
		printf("%s < end, %s\n", client->name,
		       kl_error_info(error)->name);
	if (unanswered)
		printf("%s: %u statements got no answer\n", client->name,
		       unanswered);
}

void model_clients_tick(model_t *model)
{
	for (uint32_t i = 0; i < model->load_count; i++)
		start_load_statements(model, &model->loads[i]);
	pass_sent_stmts(model);
	end_answered_sessions(model);
}

/* Starts the statements of a load that are due. */
static void start_load_statements(model_t *model, model_load_t *load)
{
	kl_parsed_stmt_t command = { .id = "load" };
	model_client_t *client;

	while (load->next_start_at_us <= model->now_us &&
	       load->next_start_at_us < load->end_at_us) {
		load->next_start_at_us += load->interval_us;
		load->started++;
		client = new_client(model);
		client->load = load;
		client->session =
			kl_client_new(model->engine, client, load->route,
				      load->key, model->now_us);
		if (!client->session) {
			load->refused++;
			continue;
		}
		kl_line_parse_statement(load->text, &command);
		kl_client_statement(client->session, &command, model->now_us);
	}
}

/* A load's session ends once its only statement was answered. */
static void end_answered_sessions(model_t *model)
{
	model_client_t *client;

	CK_STAILQ_FOREACH(client, &clients, link) {
		if (!client->load || !client->finished || !client->session)
			continue;
		kl_client_disconnected(client->session, model->now_us);
		client->session = NULL;
	}
}

static void count_load_result(model_t *model, model_client_t *client, int error)
{
	model_load_t *load = client->load;
	uint64_t latency_us = model->now_us - client->started_at_us;

	client->finished = true;
	if (!error && latency_us <= load->target_us) {
		load->within_target++;
	} else if (!error) {
		load->late++;
	} else if (kl_error_info(error)->not_run) {
		load->refused++;
		if (latency_us > load->longest_refusal_us)
			load->longest_refusal_us = latency_us;
	} else {
		load->unknown++;
	}
}
