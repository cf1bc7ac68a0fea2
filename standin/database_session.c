/*
 * Connections of the database stand-in.  Each processes one message at a time;
 * while a statement waits for a slot, for its execution time or for an
 * injected delay, further input stays in the buffer.
 */
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "front/pg_codec.h"
#include "standin/database.h"

typedef struct connection {
	CK_LIST_ENTRY(connection) link;
	CK_STAILQ_ENTRY(connection) queue_link;
	database_t *database;
	struct bufferevent *stream;
	struct event *timer;
	transaction_t transaction;
	bool startup_received;
	bool input_paused; /* until the timer fires or a slot is free */
	bool holds_slot;
	bool is_queued;
	bool silent;  /* nothing is answered any more */
	bool closing; /* freed by the timer, not inside process_input() */
	bool uses_extended_query;
	char *sql;	    /* statement that waits or runs, or NULL */
	char *prepared_sql; /* unnamed prepared statement, before binding */
} connection_t;

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void on_timer(evutil_socket_t fd, short what, void *arg);
static void process_input(connection_t *connection);
static bool process_startup(connection_t *connection);
static void process_message(connection_t *connection, kl_pg_message_t *message);
static void bind_parameters(connection_t *connection, kl_pg_message_t *message);
static void acquire_slot(connection_t *connection);
static void execute(connection_t *connection);
static void send_result(connection_t *connection, const stmt_result_t *result);
static void release_slot(connection_t *connection);
static void start_timer(connection_t *connection, uint64_t us);
static void close_later(connection_t *connection);
static void connection_free(connection_t *connection);
static int column_count(const void *rows);
static int row_count(const void *rows);
static const char *column_name(const void *rows, int column);
static uint32_t column_type(const void *rows, int column);
static int column_format(const void *rows, int column);
static const char *column_value(const void *rows, int row, int column,
				size_t *length);

static const kl_rows_ops_t rows_ops = { column_count,  row_count,
					column_name,   column_type,
					column_format, column_value };

int standin_listen(database_t *database, const char *host)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons(database->port);
	inet_pton(AF_INET, host, &address.sin_addr);
	return evconnlistener_new_bind(
		       database->group->base, on_accept, database,
		       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
		       (struct sockaddr *)&address, sizeof(address))
		       ? 0
		       : -1;
}

void standin_close_connections(database_t *database)
{
	connection_t *connection;

	while ((connection = CK_LIST_FIRST(&database->connections)))
		connection_free(connection);
}

void standin_resume(database_t *database)
{
	connection_t *connection, *next;

	CK_LIST_FOREACH_SAFE(connection, &database->connections, link, next)
		if (!connection->input_paused)
			process_input(connection);
}

void standin_silence_connections(database_t *database)
{
	connection_t *connection;

	CK_LIST_FOREACH(connection, &database->connections, link)
		connection->silent = true;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	connection_t *connection;
	(void)listener;
	(void)address;
	(void)length;

	if (database->faults.cut) {
		evutil_closesocket(fd);
		return;
	}
	connection = calloc(1, sizeof(*connection));
	connection->database = database;
	connection->transaction.state = 'I';
	connection->transaction.changes =
		g_ptr_array_new_with_free_func(g_free);
	connection->stream = bufferevent_socket_new(database->group->base, fd,
						    BEV_OPT_CLOSE_ON_FREE);
	connection->timer =
		evtimer_new(database->group->base, on_timer, connection);
	CK_LIST_INSERT_HEAD(&database->connections, connection, link);
	bufferevent_setcb(connection->stream, on_read, NULL, on_event,
			  connection);
	bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	connection_t *connection = arg;
	(void)stream;

	if (!connection->input_paused)
		process_input(connection);
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	(void)what;
	connection_free(arg);
}

static void process_input(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);
	database_t *database = connection->database;
	kl_pg_message_t message;

	while (!connection->input_paused && !connection->silent &&
	       !database->faults.frozen) {
		if (!connection->startup_received) {
			if (!process_startup(connection))
				return;
			continue;
		}
		if (kl_pg_read_message(input, false, &message) != 1)
			return;
		if (database->group->capture)
			fwrite(message.payload, 1, message.length,
			       database->group->capture);
		if (message.type == 'X') {
			kl_pg_message_free(&message);
			close_later(connection);
			return;
		}
		process_message(connection, &message);
		kl_pg_message_free(&message);
	}
}

static bool process_startup(connection_t *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);
	struct evbuffer *output = bufferevent_get_output(connection->stream);
	group_t *group = connection->database->group;
	kl_pg_message_t message;
	uint32_t version;

	if (kl_pg_read_message(input, true, &message) != 1)
		return false;
	if (group->capture)
		fwrite(message.payload, 1, message.length, group->capture);
	version = kl_pg_read_int32(&message);
	kl_pg_message_free(&message);
	if (version == KL_PG_SSL_REQUEST || version == KL_PG_GSSENC_REQUEST) {
		evbuffer_add(output, "N", 1);
		return true;
	}
	connection->startup_received = true;
	start_timer(connection, (uint64_t)group->connect_ms * 1000);
	return true;
}

static void process_message(connection_t *connection, kl_pg_message_t *message)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	switch (message->type) {
	case 'Q':
		g_free(connection->sql);
		connection->sql = g_strdup(kl_pg_read_string(message));
		connection->uses_extended_query = false;
		acquire_slot(connection);
		break;
	case 'P':
		kl_pg_read_string(message);
		g_free(connection->prepared_sql);
		connection->prepared_sql = g_strdup(kl_pg_read_string(message));
		kl_pg_put_empty(output, '1');
		break;
	case 'B':
		bind_parameters(connection, message);
		kl_pg_put_empty(output, '2');
		break;
	case 'S':
		kl_pg_put_ready(output, connection->transaction.state);
		break;
	case 'E':
		connection->uses_extended_query = true;
		acquire_slot(connection);
		break;
	default:
		break;
	}
}

/* Replaces $1, $2, ... in the prepared statement by quoted literals. */
static void bind_parameters(connection_t *connection, kl_pg_message_t *message)
{
	GString *sql = g_string_new(connection->prepared_sql);
	int formats, count;

	kl_pg_read_string(message);
	kl_pg_read_string(message);
	formats = kl_pg_read_int16(message);
	for (int i = 0; i < formats; i++)
		kl_pg_read_int16(message);
	count = kl_pg_read_int16(message);
	for (int i = 0; i < count; i++) {
		uint32_t length = kl_pg_read_int32(message);
		const unsigned char *bytes = kl_pg_read_bytes(message, length);
		char placeholder[16];
		char *value;

		if (!bytes)
			break;
		snprintf(placeholder, sizeof(placeholder), "$%d", i + 1);
		value = g_strdup_printf("'%.*s'", (int)length,
					(const char *)bytes);
		g_string_replace(sql, placeholder, value, 0);
		g_free(value);
	}
	g_free(connection->sql);
	connection->sql = g_string_free(sql, FALSE);
}

/* Runs the statement at once, or lets it wait for a slot. */
static void acquire_slot(connection_t *connection)
{
	database_t *database = connection->database;
	group_t *group = database->group;

	if (standin_bypasses_slots(connection->sql) || !group->exec_us) {
		execute(connection);
		return;
	}
	if (database->running_statements >= (uint64_t)group->slots) {
		connection->input_paused = true;
		connection->is_queued = true;
		CK_STAILQ_INSERT_TAIL(&database->slot_queue, connection,
				      queue_link);
		return;
	}
	database->running_statements++;
	connection->holds_slot = true;
	start_timer(connection, (uint64_t)group->exec_us);
}

static void start_timer(connection_t *connection, uint64_t us)
{
	struct timeval delay = { (time_t)(us / 1000000),
				 (suseconds_t)(us % 1000000) };

	connection->input_paused = true;
	evtimer_add(connection->timer, &delay);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	connection_t *connection = arg;
	(void)fd;
	(void)what;

	if (connection->closing) {
		connection_free(connection);
		return;
	}
	connection->input_paused = false;
	if (connection->sql) {
		execute(connection);
	} else {
		struct evbuffer *output =
			bufferevent_get_output(connection->stream);

		kl_pg_put_auth(output, 0);
		kl_pg_put_param_status(output, "server_version", "15.0");
		kl_pg_put_param_status(output, "client_encoding", "UTF8");
		kl_pg_put_backend_key(output, 1, 1);
		kl_pg_put_ready(output, 'I');
		process_input(connection);
	}
}

static void execute(connection_t *connection)
{
	database_t *database = connection->database;
	faults_t *faults = &database->faults;
	bool is_write = standin_is_write(connection->sql);
	stmt_result_t result;

	if (faults->frozen || connection->silent) {
		/*
		 * A frozen database keeps the statement in its slot and tries
		 * again each millisecond.  On a silent connection the slot
		 * stays taken until the connection ends.
		 */
		if (!connection->silent)
			start_timer(connection, 1000);
		return;
	}
	if (is_write && faults->die_before > 0) {
		faults->die_before--;
		close_later(connection);
		return;
	}
	if (faults->late_ms > 0 && !standin_bypasses_slots(connection->sql)) {
		uint64_t late = (uint64_t)faults->late_ms * 1000;

		faults->late_ms = 0;
		start_timer(connection, late);
		return;
	}
	standin_execute_statement(database, &connection->transaction,
				  connection->sql, &result);
	database->executed_statements++;
	if (is_write && faults->die_after > 0) {
		faults->die_after--;
		close_later(connection);
		return;
	}
	release_slot(connection);
	send_result(connection, &result);
	process_input(connection);
}

static void send_result(connection_t *connection, const stmt_result_t *result)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	g_free(connection->sql);
	connection->sql = NULL;
	if (result->sqlstate) {
		kl_pg_put_error(output, result->sqlstate,
				result->error_message);
	} else {
		if (result->has_rows) {
			kl_pg_put_row_desc(output, &rows_ops, result);
			kl_pg_put_data_rows(output, &rows_ops, result);
		} else if (connection->uses_extended_query) {
			kl_pg_put_empty(output, 'n');
		}
		kl_pg_put_complete(output, result->tag);
	}
	if (!connection->uses_extended_query)
		kl_pg_put_ready(output, connection->transaction.state);
}

/* Hands the slot over to the connection that waits longest. */
static void release_slot(connection_t *connection)
{
	database_t *database = connection->database;
	connection_t *next;

	if (!connection->holds_slot)
		return;
	connection->holds_slot = false;
	database->running_statements--;
	next = CK_STAILQ_FIRST(&database->slot_queue);
	if (!next)
		return;
	CK_STAILQ_REMOVE_HEAD(&database->slot_queue, queue_link);
	next->is_queued = false;
	next->holds_slot = true;
	database->running_statements++;
	start_timer(next, (uint64_t)database->group->exec_us);
}

/* Closes the connection from the timer: the caller still uses it. */
static void close_later(connection_t *connection)
{
	connection->closing = true;
	bufferevent_setcb(connection->stream, NULL, NULL, NULL, NULL);
	shutdown(bufferevent_getfd(connection->stream), SHUT_RDWR);
	start_timer(connection, 0);
}

static void connection_free(connection_t *connection)
{
	database_t *database = connection->database;

	if (connection->is_queued)
		CK_STAILQ_REMOVE(&database->slot_queue, connection, connection,
				 queue_link);
	release_slot(connection);
	CK_LIST_REMOVE(connection, link);
	bufferevent_free(connection->stream);
	event_free(connection->timer);
	g_ptr_array_free(connection->transaction.changes, TRUE);
	g_free(connection->sql);
	g_free(connection->prepared_sql);
	free(connection);
}

static int column_count(const void *rows)
{
	return ((const stmt_result_t *)rows)->column_count;
}

static int row_count(const void *rows)
{
	return ((const stmt_result_t *)rows)->row_count;
}

static const char *column_name(const void *rows, int column)
{
	return ((const stmt_result_t *)rows)->column_names[column];
}

static uint32_t column_type(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 25; /* OID of type text */
}

static int column_format(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 0; /* text format */
}

static const char *column_value(const void *rows, int row, int column,
				size_t *length)
{
	const stmt_result_t *result = rows;
	(void)row;

	*length = strlen(result->values[column]);
	return result->values[column];
}
