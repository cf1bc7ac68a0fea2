/* Connections to the databases: the statements of the line protocol. */
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/line.h"
#include "standin/late_statements.h"
#include "standin/line_database_internal.h"

/* A command and its handler; id is the statement's, for COMPLETE. */
typedef struct command_handler {
	const char *command;
	void (*handle)(connection_t *connection, const char *id,
		       char *arguments);
} command_handler_t;

static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void process_line(connection_t *connection, char *line);
static void handle_read(connection_t *connection, const char *id,
			char *arguments);
static void handle_write(connection_t *connection, const char *id,
			 char *arguments);
static void handle_begin(connection_t *connection, const char *id,
			 char *arguments);
static void handle_commit(connection_t *connection, const char *id,
			  char *arguments);
static void handle_rollback(connection_t *connection, const char *id,
			    char *arguments);
static void handle_set(connection_t *connection, const char *id,
		       char *arguments);
static void handle_prepare(connection_t *connection, const char *id,
			   char *arguments);
static void handle_execute(connection_t *connection, const char *id,
			   char *arguments);
static void handle_reset(connection_t *connection, const char *id,
			 char *arguments);
static void handle_status(connection_t *connection, const char *id,
			  char *arguments);
static void handle_stepdown(connection_t *connection, const char *id,
			    char *arguments);
static void send_complete(connection_t *connection, const char *id,
			  const char *row);
static void send_error(connection_t *connection, const char *code);
static void send_ready(connection_t *connection);

static const command_handler_t handlers[] = {
	{ "READ", handle_read },	 { "WRITE", handle_write },
	{ "BEGIN", handle_begin },	 { "COMMIT", handle_commit },
	{ "ROLLBACK", handle_rollback }, { "SET", handle_set },
	{ "PREPARE", handle_prepare },	 { "EXECUTE", handle_execute },
	{ "RESET", handle_reset },	 { "STATUS", handle_status },
	{ "STEPDOWN", handle_stepdown },
};

void line_session_accept(struct evconnlistener *listener, evutil_socket_t fd,
			 struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	connection_t *connection = calloc(1, sizeof(*connection));
	(void)address;
	(void)length;

	if (!connection)
		return;
	connection->database = database;
	connection->state = 'I';
	connection->stream = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->stream, on_read, NULL, on_event,
			  connection);
	bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
	CK_LIST_INSERT_HEAD(&database->connections, connection, link);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	connection_t *connection = arg;
	bool too_long;
	size_t length;
	char *line;

	while ((line = kl_line_read(bufferevent_get_input(stream), &length,
				    &too_long))) {
		database_t *database = connection->database;
		/* Requests with the id "-" are the proxy's own. */
		int drop_response = database->responses_to_lose &&
				    !strncmp(line, "QUERY ", 6) &&
				    line[6] != '-';

		process_line(connection, line);
		free(line);
		if (!drop_response)
			continue;
		/* The statement ran; the client gets no response. */
		database->responses_to_lose--;
		CK_LIST_REMOVE(connection, link);
		bufferevent_free(stream);
		free(connection);
		return;
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	connection_t *connection = arg;
	(void)what;

	CK_LIST_REMOVE(connection, link);
	bufferevent_free(stream);
	free(connection);
}

void line_session_close_all(database_t *database)
{
	connection_t *connection, *next;

	CK_LIST_FOREACH_SAFE(connection, &database->connections, link, next)
		on_event(connection->stream, 0, connection);
}

static void process_line(connection_t *connection, char *line)
{
	char *arguments = line;
	const char *command = kl_line_next_word(&arguments);
	const char *id;

	if (!strcmp(command, "STARTUP")) {
		const char *service = kl_line_next_word(&arguments);
		const char *workspace = kl_line_next_word(&arguments);
		const char *expected_id = kl_line_next_word(&arguments);

		line_database_check_replaced(connection->database);
		snprintf(connection->workspace, MAX_WORD_BYTES, "%s",
			 workspace);
		if (strcmp(service, SERVICE_NAME) ||
		    (*expected_id &&
		     strcmp(expected_id, connection->database->id)))
			send_error(connection, "MISROUTED");
		else
			send_ready(connection);
		return;
	}
	line_database_check_replaced(connection->database);
	id = kl_line_next_word(&arguments);
	late_statements_check(id, connection->database->id,
			      connection->database->domain, connection->state);
	command = kl_line_next_word(&arguments);
	if (!strcmp(command, "SINCE")) {
		kl_position_t required =
			kl_line_parse_position(kl_line_next_word(&arguments));

		if (required.term > connection->database->term ||
		    required.number >
			    line_database_position(connection->database)) {
			send_error(connection, "LAGGING");
			return;
		}
		command = kl_line_next_word(&arguments);
	}
	if (connection->state == 'E' && strcmp(command, "ROLLBACK")) {
		send_error(connection, "MALFORMED");
		return;
	}
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++) {
		if (strcmp(handlers[i].command, command))
			continue;
		handlers[i].handle(connection, id, arguments);
		return;
	}
	send_error(connection, "MALFORMED");
}

static void handle_read(connection_t *connection, const char *id,
			char *arguments)
{
	uint64_t end = line_database_position(connection->database);
	const log_entry_t *log = connection->database->log;
	const char *key = kl_line_next_word(&arguments);
	const char *found = "none";

	for (uint64_t n = 1; n <= end; n++)
		for (int i = 0; i < log[n].commit->write_count; i++)
			if (!strcmp(log[n].commit->writes[i].key, key))
				found = log[n].commit->writes[i].value;
	for (int i = 0; i < connection->write_count; i++)
		if (!strcmp(connection->writes[i].key, key))
			found = connection->writes[i].value;
	send_complete(connection, id, found);
}

static void handle_write(connection_t *connection, const char *id,
			 char *arguments)
{
	write_t *entry = &connection->writes[connection->write_count];

	if (!connection->database->primary || connection->read_only) {
		send_error(connection, "READONLY");
		return;
	}
	snprintf(entry->key, MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	snprintf(entry->value, MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	if (connection->write_count < MAX_BUFFERED_WRITES - 1)
		connection->write_count++;
	if (connection->state == 'I')
		line_database_commit(connection);
	send_complete(connection, id, NULL);
}

static void handle_begin(connection_t *connection, const char *id,
			 char *arguments)
{
	connection->read_only = !strcmp(kl_line_next_word(&arguments), "READ");
	if (!connection->read_only && !connection->database->primary) {
		send_error(connection, "READONLY");
		return;
	}
	connection->state = 'T';
	send_complete(connection, id, NULL);
}

static void handle_commit(connection_t *connection, const char *id,
			  char *arguments)
{
	(void)arguments;
	if (connection->write_count && !connection->database->primary) {
		send_error(connection, "READONLY");
		return;
	}
	line_database_commit(connection);
	connection->state = 'I';
	connection->read_only = 0;
	send_complete(connection, id, NULL);
}

static void handle_rollback(connection_t *connection, const char *id,
			    char *arguments)
{
	(void)arguments;
	connection->write_count = 0;
	connection->state = 'I';
	connection->read_only = 0;
	send_complete(connection, id, NULL);
}

static void handle_set(connection_t *connection, const char *id,
		       char *arguments)
{
	(void)arguments;
	send_complete(connection, id, NULL);
}

static void handle_prepare(connection_t *connection, const char *id,
			   char *arguments)
{
	int n = connection->prepare_count++ % MAX_PREPARED;

	snprintf(connection->prepared_names[n], MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	connection->prepared_is_write[n] =
		!strcmp(kl_line_next_word(&arguments), "WRITE");
	send_complete(connection, id, NULL);
}

static void handle_execute(connection_t *connection, const char *id,
			   char *arguments)
{
	const char *name = kl_line_next_word(&arguments);

	for (int i = 0; i < MAX_PREPARED; i++) {
		if (strcmp(connection->prepared_names[i], name) || !*name)
			continue;
		if (connection->prepared_is_write[i])
			handle_write(connection, id, arguments);
		else
			handle_read(connection, id, arguments);
		return;
	}
	send_error(connection, "NOSTMT");
}

static void handle_reset(connection_t *connection, const char *id,
			 char *arguments)
{
	(void)arguments;
	memset(connection->prepared_names, 0,
	       sizeof(connection->prepared_names));
	send_complete(connection, id, NULL);
}

static void handle_status(connection_t *connection, const char *id,
			  char *arguments)
{
	database_t *database = connection->database;
	char row[128];
	(void)arguments;

	snprintf(row, sizeof(row),
		 "%s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 %d 0 0",
		 database->primary ? "primary" : "replica", database->term,
		 database->term, line_database_position(database),
		 database->lag_ms);
	send_complete(connection, id, row);
}

/* STEPDOWN TERM: a primary of a lower term becomes a replica. */
static void handle_stepdown(connection_t *connection, const char *id,
			    char *arguments)
{
	database_t *database = connection->database;
	uint64_t term = strtoull(kl_line_next_word(&arguments), NULL, 10);

	line_database_step_down(database, term);
	handle_status(connection, id, arguments);
}

static void send_complete(connection_t *connection, const char *id,
			  const char *row)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (row)
		evbuffer_add_printf(output, "ROW %s\r\n", row);
	evbuffer_add_printf(output, "COMPLETE %s.%s\r\n",
			    connection->database->id, id);
	send_ready(connection);
}

static void send_error(connection_t *connection, const char *code)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "ERROR %s %s\r\n", code, connection->database->id);
	if (connection->state == 'T')
		connection->state = 'E';
	send_ready(connection);
}

static void send_ready(connection_t *connection)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
			    connection->state, connection->database->term,
			    line_database_position(connection->database));
}
