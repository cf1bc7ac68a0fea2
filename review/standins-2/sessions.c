/* Connections to the databases: the statements of the line protocol. */
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/standins-2/group.h"

/* A command; it is given the statement's id and what follows the command. */
typedef struct command {
	const char *name;
	void (*run)(session_t *session, const char *id, char *rest);
	bool takes_slot; /* it takes time, and may be answered with BUSY */
} command_t;

static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void on_work_done(evutil_socket_t fd, short what, void *arg);
static void session_close(session_t *session);
static void handle_line(session_t *session, char *line);
static void handle_query(session_t *session, char *rest);
static bool is_refused(const database_t *database, const command_t *command);
static void run_read(session_t *session, const char *id, char *rest);
static void run_write(session_t *session, const char *id, char *rest);
static void run_begin(session_t *session, const char *id, char *rest);
static void run_commit(session_t *session, const char *id, char *rest);
static void run_rollback(session_t *session, const char *id, char *rest);
static void run_reset(session_t *session, const char *id, char *rest);
static void run_status(session_t *session, const char *id, char *rest);
static void run_step_down(session_t *session, const char *id, char *rest);
static void commit(session_t *session);
static void complete(session_t *session, const char *id);
static void fail(session_t *session, const char *code);
static void add_ready(session_t *session);
static void send_answer(session_t *session);
static bool lacks_position(const database_t *database, const char *text);
static char *next_word(char **rest);

static const command_t commands[] = {
	{ "READ", run_read, true },	      { "WRITE", run_write, true },
	{ "BEGIN", run_begin, false },	      { "COMMIT", run_commit, true },
	{ "ROLLBACK", run_rollback, false },  { "SET", run_reset, false },
	{ "RESET", run_reset, false },	      { "STATUS", run_status, false },
	{ "STEPDOWN", run_step_down, false },
};

void session_accept(struct evconnlistener *listener, evutil_socket_t fd,
		    struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	session_t *session = calloc(1, sizeof(*session));
	(void)listener;
	(void)address;
	(void)length;

	if (!session)
		return;
	session->database = database;
	session->state = 'I';
	session->stream =
		bufferevent_socket_new(group.base, fd, BEV_OPT_CLOSE_ON_FREE);
	session->answer = evbuffer_new();
	session->work_timer =
		event_new(group.base, -1, 0, on_work_done, session);
	bufferevent_setcb(session->stream, on_read, NULL, on_event, session);
	bufferevent_enable(session->stream, EV_READ | EV_WRITE);
	CK_LIST_INSERT_HEAD(&database->sessions, session, link);
}

/* Handles one statement at a time. */
static void on_read(struct bufferevent *stream, void *arg)
{
	session_t *session = arg;
	char *line;

	while (!session->working && !session->sync_position &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		handle_line(session, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	(void)what;
	session_close(arg);
}

/* A connection that is closed rolls back. */
static void session_close(session_t *session)
{
	CK_LIST_REMOVE(session, link);
	bufferevent_free(session->stream);
	evbuffer_free(session->answer);
	event_free(session->work_timer);
	free(session);
}

void sessions_close(database_t *database)
{
	session_t *session, *next;

	CK_LIST_FOREACH_SAFE(session, &database->sessions, link, next)
		session_close(session);
}

static void handle_line(session_t *session, char *line)
{
	char *rest = line;
	const char *word = next_word(&rest);

	if (!strcmp(word, "QUERY")) {
		handle_query(session, rest);
		return;
	}
	if (strcmp(word, "STARTUP") != 0)
		return;
	if (strcmp(next_word(&rest), group.service) != 0) {
		evbuffer_add_printf(session->answer,
				    "ERROR MISROUTED service\r\n");
	} else {
		next_word(&rest); /* who is connecting */
		if (*rest && strcmp(rest, session->database->id) != 0)
			evbuffer_add_printf(session->answer,
					    "ERROR MISROUTED id\r\n");
		else
			add_ready(session);
	}
	send_answer(session);
}

static void handle_query(session_t *session, char *rest)
{
	database_t *database = session->database;
	struct timeval work = { (time_t)(group.work_ms / 1000),
				(suseconds_t)(group.work_ms % 1000 * 1000) };
	const char *id = next_word(&rest);
	const char *name = next_word(&rest);

	if (!strcmp(name, "SINCE")) {
		if (lacks_position(database, next_word(&rest))) {
			record("%s %s %s LAGGING", database->id, id, rest);
			fail(session, "LAGGING");
			return;
		}
		name = next_word(&rest);
	}
	if (session->state == 'E' && strcmp(name, "ROLLBACK") != 0) {
		fail(session, "MALFORMED");
		return;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(*commands); i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		if (is_refused(database, &commands[i])) {
			record("%s %s %s %s BUSY", database->id, id, name,
			       rest);
			fail(session, "BUSY");
			return;
		}
		if (strcmp(id, "-") != 0)
			record("%s %s %s %s runs", database->id, id, name,
			       rest);
		session->working = commands[i].takes_slot && group.work_ms;
		if (session->working)
			event_add(session->work_timer, &work);
		commands[i].run(session, id, rest);
		return;
	}
	fail(session, "MALFORMED");
}

/* A busy database has no slot for what takes one, STATUS included. */
static bool is_refused(const database_t *database, const command_t *command)
{
	return database->busy &&
	       (command->takes_slot || command->run == run_status);
}

static void run_read(session_t *session, const char *id, char *rest)
{
	const database_t *database = session->database;
	uint64_t end = database_applied(database);
	const char *item = next_word(&rest);
	const char *found = "none";

	for (uint64_t n = 1; n <= end; n++) {
		const commit_t *entry = database->log[n].commit;

		for (uint32_t i = 0; i < entry->write_count; i++)
			if (!strcmp(entry->writes[i].item, item))
				found = entry->writes[i].data;
	}
	for (uint32_t i = 0; i < session->txn.write_count; i++)
		if (!strcmp(session->txn.writes[i].item, item))
			found = session->txn.writes[i].data;
	record("%s %s reads %s %s", database->id, id, item, found);
	evbuffer_add_printf(session->answer, "ROW %s\r\n", found);
	complete(session, id);
}

static void run_write(session_t *session, const char *id, char *rest)
{
	write_t *entry = &session->txn.writes[session->txn.write_count];
	const char *item = next_word(&rest);

	if (!session->database->primary || session->read_only) {
		fail(session, "READONLY");
		return;
	}
	if (session->txn.write_count == TXN_WRITES_MAX) {
		fail(session, "FAILED");
		return;
	}
	snprintf(entry->item, WORD_MAX, "%s", item);
	snprintf(entry->data, WORD_MAX, "%s", rest);
	session->txn.write_count++;
	if (session->state == 'I')
		commit(session);
	complete(session, id);
}

static void run_begin(session_t *session, const char *id, char *rest)
{
	session->read_only = !strcmp(rest, "READ");
	if (!session->read_only && !session->database->primary) {
		fail(session, "READONLY");
		return;
	}
	session->state = 'T';
	complete(session, id);
}

static void run_commit(session_t *session, const char *id, char *rest)
{
	(void)rest;
	if (session->txn.write_count && !session->database->primary) {
		fail(session, "READONLY");
		return;
	}
	commit(session);
	session->state = 'I';
	complete(session, id);
}

static void run_rollback(session_t *session, const char *id, char *rest)
{
	(void)rest;
	session->txn.write_count = 0;
	session->state = 'I';
	complete(session, id);
}

/* Values and prepared statements are not kept: no case uses them. */
static void run_reset(session_t *session, const char *id, char *rest)
{
	(void)rest;
	complete(session, id);
}

static void run_status(session_t *session, const char *id, char *rest)
{
	const database_t *database = session->database;
	(void)rest;

	evbuffer_add_printf(session->answer,
			    "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64
			    " 0 %" PRIu64 " 0 1\r\n",
			    database->primary ? "primary" : "replica",
			    database->term, database->term, database->received,
			    database->lag_ms);
	complete(session, id);
}

static void run_step_down(session_t *session, const char *id, char *rest)
{
	database_step_down(session->database, strtoull(rest, NULL, 10));
	run_status(session, id, rest);
}

/* Commits the writes of a session; with sync the answer has to wait. */
static void commit(session_t *session)
{
	database_t *database = session->database;

	if (!session->txn.write_count)
		return;
	database_commit(database, &session->txn);
	session->txn.write_count = 0;
	if (group.sync)
		session->sync_position = database->received;
}

void sessions_check_sync(database_t *database)
{
	session_t *session, *next;

	CK_LIST_FOREACH_SAFE(session, &database->sessions, link, next) {
		if (!session->sync_position ||
		    !database_is_replicated(database, session->sync_position))
			continue;
		session->sync_position = 0;
		send_answer(session);
		on_read(session->stream, session);
	}
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	session_t *session = arg;
	(void)fd;
	(void)what;

	session->working = false;
	send_answer(session);
	on_read(session->stream, session);
}

static void complete(session_t *session, const char *id)
{
	evbuffer_add_printf(session->answer, "COMPLETE %s.%s\r\n",
			    session->database->id, id);
	add_ready(session);
	send_answer(session);
}

static void fail(session_t *session, const char *code)
{
	evbuffer_add_printf(session->answer, "ERROR %s %s\r\n", code,
			    session->database->id);
	/* What did not run for lack of room leaves a transaction open. */
	if (session->state == 'T' && strcmp(code, "BUSY") != 0)
		session->state = 'E';
	add_ready(session);
	send_answer(session);
}

static void add_ready(session_t *session)
{
	evbuffer_add_printf(session->answer,
			    "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
			    session->state, session->database->term,
			    database_applied(session->database));
}

/* Sends the answer, unless the statement works or waits for a replica. */
static void send_answer(session_t *session)
{
	if (!session->working && !session->sync_position)
		bufferevent_write_buffer(session->stream, session->answer);
}

static bool lacks_position(const database_t *database, const char *text)
{
	char *end;
	uint64_t term = strtoull(text, &end, 10);
	uint64_t number = *end == '.' ? strtoull(end + 1, NULL, 10) : 0;

	return term > database->term || number > database_applied(database);
}

/* Cuts the next word off; what follows it stays in *rest. */
static char *next_word(char **rest)
{
	char *word = *rest;
	char *space = strchr(word, ' ');

	if (space) {
		*space = '\0';
		*rest = space + 1;
	} else {
		*rest = word + strlen(word);
	}
	return word;
}
