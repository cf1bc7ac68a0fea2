/* Links over libpq, never blocking. */
#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "upstream/link.h"

#define RESULTS_MAX 64

struct kl_db_conn {
	PGconn *connection;
	struct event_base *base;
	struct event *readable;
	struct event *writable;
	const kl_db_conn_events_t *events;
	void *owner;
	bool connecting;
	bool running;
	bool in_callback;
	bool closed;
	PGresult *results[RESULTS_MAX];
	int count;
};

static kl_db_conn_t *pq_open(struct event_base *base,
			     const kl_db_conn_target_t *target,
			     const kl_db_conn_events_t *events, void *owner);
static int pq_send(kl_db_conn_t *link, const kl_query_t *query);
static char pq_transaction(const kl_db_conn_t *link);
static void pq_close(kl_db_conn_t *link);
static void on_socket(evutil_socket_t fd, short what, void *arg);
static void go_on_connecting(kl_db_conn_t *link);
static void go_on_running(kl_db_conn_t *link);
static void watch(kl_db_conn_t *link, bool read, bool write);
static void unwatch(kl_db_conn_t *link);
static void broken(kl_db_conn_t *link);
static void deliver(kl_db_conn_t *link);
static void clear_results(kl_db_conn_t *link);
static void link_free(kl_db_conn_t *link);
static int rows_columns(const void *rows);
static int rows_rows(const void *rows);
static const char *rows_name(const void *rows, int column);
static uint32_t rows_type(const void *rows, int column);
static int rows_format(const void *rows, int column);
static const char *rows_value(const void *rows, int row, int column,
			      size_t *length);

const kl_db_conn_ops_t kl_db_conn_pq = {
	.name = "libpq",
	.open = pq_open,
	.send = pq_send,
	.transaction_status = pq_transaction,
	.close = pq_close,
};

static const kl_rows_ops_t rows_ops = {
	.column_count = rows_columns,
	.row_count = rows_rows,
	.column_name = rows_name,
	.column_type = rows_type,
	.column_format = rows_format,
	.value = rows_value,
};

static kl_db_conn_t *pq_open(struct event_base *base,
			     const kl_db_conn_target_t *target,
			     const kl_db_conn_events_t *events, void *owner)
{
	char port[8];
	const char *const names[] = { "hostaddr",	  "port",
				      "dbname",		  "user",
				      "sslmode",	  "gssencmode",
				      "application_name", NULL };
	const char *const values[] = { target->host,  port,	 "",
				       target->user,  "disable", "disable",
				       "kumquatloft", NULL };
	const char *full[8];
	kl_db_conn_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	snprintf(port, sizeof(port), "%u", target->port);
	memcpy(full, values, sizeof(values));
	full[2] = target->database;
	link->base = base;
	link->events = events;
	link->owner = owner;
	link->connecting = true;
	link->connection = PQconnectStartParams(names, full, 0);
	if (!link->connection || PQstatus(link->connection) == CONNECTION_BAD ||
	    PQsocket(link->connection) < 0) {
		link_free(link);
		return NULL;
	}
	watch(link, false, true);
	return link;
}

static int pq_send(kl_db_conn_t *link, const kl_query_t *query)
{
	int sent;

	if (link->connecting || link->running ||
	    PQstatus(link->connection) != CONNECTION_OK)
		return -KL_E_UPSTREAM;
	if (query->extended)
		sent = PQsendQueryParams(link->connection, query->text,
					 query->parameter_count, query->types,
					 query->values, query->lengths,
					 query->formats, query->result_format);
	else
		sent = PQsendQuery(link->connection, query->text);
	if (!sent)
		return -KL_E_UPSTREAM;
	link->running = true;
	watch(link, true, PQflush(link->connection) == 1);
	return 0;
}

static char pq_transaction(const kl_db_conn_t *link)
{
	switch (PQtransactionStatus(link->connection)) {
	case PQTRANS_IDLE:
		return 'I';
	case PQTRANS_INTRANS:
		return 'T';
	case PQTRANS_INERROR:
		return 'E';
	default:
		return '?';
	}
}

static void pq_close(kl_db_conn_t *link)
{
	if (!link)
		return;
	link->closed = true;
	unwatch(link);
	if (!link->in_callback)
		link_free(link);
}

static void on_socket(evutil_socket_t fd, short what, void *arg)
{
	kl_db_conn_t *link = arg;
	(void)fd;

	link->in_callback = true;
	if (link->connecting) {
		go_on_connecting(link);
	} else {
		if (what & EV_WRITE)
			watch(link, true, PQflush(link->connection) == 1);
		if (what & EV_READ)
			go_on_running(link);
	}
	link->in_callback = false;
	if (link->closed)
		link_free(link);
}

static void go_on_connecting(kl_db_conn_t *link)
{
	switch (PQconnectPoll(link->connection)) {
	case PGRES_POLLING_READING:
		watch(link, true, false);
		return;
	case PGRES_POLLING_WRITING:
		watch(link, false, true);
		return;
	case PGRES_POLLING_OK:
		link->connecting = false;
		PQsetnonblocking(link->connection, 1);
		watch(link, true, false);
		link->events->ready(link->owner);
		return;
	default:
		broken(link);
	}
}

static void go_on_running(kl_db_conn_t *link)
{
	PGresult *result;

	if (!PQconsumeInput(link->connection)) {
		broken(link);
		return;
	}
	if (!link->running) {
		/* Nothing was asked: notices are fine, an end is not. */
		if (PQstatus(link->connection) != CONNECTION_OK)
			broken(link);
		return;
	}
	while (!PQisBusy(link->connection)) {
		result = PQgetResult(link->connection);
		if (!result) {
			link->running = false;
			if (PQstatus(link->connection) != CONNECTION_OK)
				broken(link);
			else
				deliver(link);
			return;
		}
		if (link->count < RESULTS_MAX)
			link->results[link->count++] = result;
		else
			PQclear(result);
	}
}

static void deliver(kl_db_conn_t *link)
{
	kl_db_result_t results[RESULTS_MAX];
	int count = link->count;

	for (int i = 0; i < count; i++) {
		const PGresult *result = link->results[i];
		ExecStatusType status = PQresultStatus(result);
		bool good = status == PGRES_TUPLES_OK ||
			    status == PGRES_COMMAND_OK ||
			    status == PGRES_EMPTY_QUERY;
		const char *state =
			PQresultErrorField(result, PG_DIAG_SQLSTATE);
		const char *text =
			PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

		results[i].has_rows = status == PGRES_TUPLES_OK;
		results[i].rows_ops = &rows_ops;
		results[i].rows = result;
		results[i].command_tag = PQcmdStatus((PGresult *)result);
		results[i].sqlstate = good ? NULL : state ? state : "XX000";
		results[i].error_text = text ? text : "upstream error";
	}
	link->events->answered(link->owner, results, count);
	clear_results(link);
}

static void broken(kl_db_conn_t *link)
{
	unwatch(link);
	link->events->lost(link->owner);
}

static void watch(kl_db_conn_t *link, bool read, bool write)
{
	int fd = PQsocket(link->connection);

	/* libpq may change its socket while it connects. */
	unwatch(link);
	if (read) {
		link->readable = event_new(link->base, fd, EV_READ | EV_PERSIST,
					   on_socket, link);
		event_add(link->readable, NULL);
	}
	if (write) {
		link->writable =
			event_new(link->base, fd, EV_WRITE, on_socket, link);
		event_add(link->writable, NULL);
	}
}

static void unwatch(kl_db_conn_t *link)
{
	if (link->readable)
		event_free(link->readable);
	if (link->writable)
		event_free(link->writable);
	link->readable = NULL;
	link->writable = NULL;
}

static void clear_results(kl_db_conn_t *link)
{
	for (int i = 0; i < link->count; i++)
		PQclear(link->results[i]);
	link->count = 0;
}

static void link_free(kl_db_conn_t *link)
{
	unwatch(link);
	clear_results(link);
	if (link->connection)
		PQfinish(link->connection);
	free(link);
}

static int rows_columns(const void *rows)
{
	return PQnfields(rows);
}

static int rows_rows(const void *rows)
{
	return PQntuples(rows);
}

static const char *rows_name(const void *rows, int column)
{
	return PQfname(rows, column);
}

static uint32_t rows_type(const void *rows, int column)
{
	return PQftype(rows, column);
}

static int rows_format(const void *rows, int column)
{
	return PQfformat(rows, column);
}

static const char *rows_value(const void *rows, int row, int column,
			      size_t *length)
{
	if (PQgetisnull(rows, row, column))
		return NULL;
	*length = (size_t)PQgetlength(rows, row, column);
	return PQgetvalue(rows, row, column);
}
