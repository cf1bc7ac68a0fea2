/* Non-blocking connections to upstream databases over libpq. */
#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "upstream/db_conn.h"

#define RESULTS_MAX 64 /* per simple query; further results are discarded */

struct kl_db_conn {
	PGconn *pg_conn;
	struct event_base *base;
	struct event *readable; /* event of the socket, or NULL */
	struct event *writable; /* event of the socket, or NULL */
	const kl_db_conn_events_t *callbacks;
	void *owner;
	bool connecting;
	bool statement_running;
	bool in_callback;
	bool closed;			/* to be freed after the callback */
	PGresult *results[RESULTS_MAX]; /* of the running statement */
	int result_count;
};

static kl_db_conn_t *pq_open(struct event_base *base,
			     const kl_db_conn_target_t *target,
			     const kl_db_conn_events_t *callbacks, void *owner);
static int pq_send(kl_db_conn_t *conn, const kl_query_t *query);
static char pq_transaction_status(const kl_db_conn_t *conn);
static void pq_close(kl_db_conn_t *conn);
static void on_socket(evutil_socket_t fd, short what, void *arg);
static void continue_connecting(kl_db_conn_t *conn);
static void read_results(kl_db_conn_t *conn);
static void watch_socket(kl_db_conn_t *conn, bool read, bool write);
static void unwatch_socket(kl_db_conn_t *conn);
static void report_lost(kl_db_conn_t *conn);
static void report_results(kl_db_conn_t *conn);
static void clear_results(kl_db_conn_t *conn);
static void conn_free(kl_db_conn_t *conn);
static int rows_column_count(const void *rows);
static int rows_row_count(const void *rows);
static const char *rows_column_name(const void *rows, int column);
static uint32_t rows_column_type(const void *rows, int column);
static int rows_column_format(const void *rows, int column);
static const char *rows_value(const void *rows, int row, int column,
			      size_t *length);

const kl_db_conn_ops_t kl_db_conn_pq = {
	.name = "libpq",
	.open = pq_open,
	.send = pq_send,
	.transaction_status = pq_transaction_status,
	.close = pq_close,
};

static const kl_rows_ops_t rows_ops = {
	.column_count = rows_column_count,
	.row_count = rows_row_count,
	.column_name = rows_column_name,
	.column_type = rows_column_type,
	.column_format = rows_column_format,
	.value = rows_value,
};

static kl_db_conn_t *pq_open(struct event_base *base,
			     const kl_db_conn_target_t *target,
			     const kl_db_conn_events_t *callbacks, void *owner)
{
	char port[8];
	const char *const names[] = { "hostaddr",	  "port",
				      "dbname",		  "user",
				      "sslmode",	  "gssencmode",
				      "application_name", NULL };
	const char *const values[] = { target->host,  port,	 "",
				       target->user,  "disable", "disable",
				       "kumquatloft", NULL };
	const char *all_values[8];
	kl_db_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	snprintf(port, sizeof(port), "%u", target->port);
	memcpy(all_values, values, sizeof(values));
	all_values[2] = target->database; /* dbname */
	conn->base = base;
	conn->callbacks = callbacks;
	conn->owner = owner;
	conn->connecting = true;
	conn->pg_conn = PQconnectStartParams(names, all_values, 0);
	if (!conn->pg_conn || PQstatus(conn->pg_conn) == CONNECTION_BAD ||
	    PQsocket(conn->pg_conn) < 0) {
		conn_free(conn);
		return NULL;
	}
	watch_socket(conn, false, true);
	return conn;
}

static int pq_send(kl_db_conn_t *conn, const kl_query_t *query)
{
	int sent;

	if (conn->connecting || conn->statement_running ||
	    PQstatus(conn->pg_conn) != CONNECTION_OK)
		return -KL_E_UPSTREAM;
	if (query->extended)
		sent = PQsendQueryParams(conn->pg_conn, query->text,
					 query->parameter_count, query->types,
					 query->values, query->lengths,
					 query->formats, query->result_format);
	else
		sent = PQsendQuery(conn->pg_conn, query->text);
	if (!sent)
		return -KL_E_UPSTREAM;
	conn->statement_running = true;
	watch_socket(conn, true, PQflush(conn->pg_conn) == 1);
	return 0;
}

static char pq_transaction_status(const kl_db_conn_t *conn)
{
	switch (PQtransactionStatus(conn->pg_conn)) {
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

static void pq_close(kl_db_conn_t *conn)
{
	if (!conn)
		return;
	conn->closed = true;
	unwatch_socket(conn);
	if (!conn->in_callback)
		conn_free(conn);
}

static void on_socket(evutil_socket_t fd, short what, void *arg)
{
	kl_db_conn_t *conn = arg;
	(void)fd;

	conn->in_callback = true;
	if (conn->connecting) {
		continue_connecting(conn);
	} else {
		if (what & EV_WRITE)
			watch_socket(conn, true, PQflush(conn->pg_conn) == 1);
		if (what & EV_READ)
			read_results(conn);
	}
	conn->in_callback = false;
	if (conn->closed)
		conn_free(conn);
}

static void continue_connecting(kl_db_conn_t *conn)
{
	switch (PQconnectPoll(conn->pg_conn)) {
	case PGRES_POLLING_READING:
		watch_socket(conn, true, false);
		return;
	case PGRES_POLLING_WRITING:
		watch_socket(conn, false, true);
		return;
	case PGRES_POLLING_OK:
		conn->connecting = false;
		PQsetnonblocking(conn->pg_conn, 1);
		watch_socket(conn, true, false);
		conn->callbacks->ready(conn->owner);
		return;
	default:
		report_lost(conn);
	}
}

static void read_results(kl_db_conn_t *conn)
{
	PGresult *result;

	if (!PQconsumeInput(conn->pg_conn)) {
		report_lost(conn);
		return;
	}
	if (!conn->statement_running) {
		/* Ignore notices; report a connection closed by the server. */
		if (PQstatus(conn->pg_conn) != CONNECTION_OK)
			report_lost(conn);
		return;
	}
	while (!PQisBusy(conn->pg_conn)) {
		result = PQgetResult(conn->pg_conn);
		if (!result) {
			conn->statement_running = false;
			if (PQstatus(conn->pg_conn) != CONNECTION_OK)
				report_lost(conn);
			else
				report_results(conn);
			return;
		}
		if (conn->result_count < RESULTS_MAX)
			conn->results[conn->result_count++] = result;
		else
			PQclear(result);
	}
}

static void report_results(kl_db_conn_t *conn)
{
	kl_db_result_t results[RESULTS_MAX];
	int count = conn->result_count;

	for (int i = 0; i < count; i++) {
		const PGresult *result = conn->results[i];
		ExecStatusType status = PQresultStatus(result);
		bool ok = status == PGRES_TUPLES_OK ||
			  status == PGRES_COMMAND_OK ||
			  status == PGRES_EMPTY_QUERY;
		const char *sqlstate =
			PQresultErrorField(result, PG_DIAG_SQLSTATE);
		const char *text =
			PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

		results[i].has_rows = status == PGRES_TUPLES_OK;
		results[i].rows_ops = &rows_ops;
		results[i].rows = result;
		results[i].command_tag = PQcmdStatus((PGresult *)result);
		results[i].sqlstate = ok ? NULL : sqlstate ? sqlstate : "XX000";
		/* "upstream error": the database sent an error without text. */
		results[i].error_text = text ? text : "upstream error";
	}
	conn->callbacks->answered(conn->owner, results, count);
	clear_results(conn);
}

static void report_lost(kl_db_conn_t *conn)
{
	unwatch_socket(conn);
	conn->callbacks->lost(conn->owner);
}

static void watch_socket(kl_db_conn_t *conn, bool read, bool write)
{
	int fd = PQsocket(conn->pg_conn);

	/* libpq may open another socket while it connects. */
	unwatch_socket(conn);
	if (read) {
		conn->readable = event_new(conn->base, fd, EV_READ | EV_PERSIST,
					   on_socket, conn);
		event_add(conn->readable, NULL);
	}
	if (write) {
		conn->writable =
			event_new(conn->base, fd, EV_WRITE, on_socket, conn);
		event_add(conn->writable, NULL);
	}
}

static void unwatch_socket(kl_db_conn_t *conn)
{
	if (conn->readable)
		event_free(conn->readable);
	if (conn->writable)
		event_free(conn->writable);
	conn->readable = NULL;
	conn->writable = NULL;
}

static void clear_results(kl_db_conn_t *conn)
{
	for (int i = 0; i < conn->result_count; i++)
		PQclear(conn->results[i]);
	conn->result_count = 0;
}

static void conn_free(kl_db_conn_t *conn)
{
	unwatch_socket(conn);
	clear_results(conn);
	if (conn->pg_conn)
		PQfinish(conn->pg_conn);
	free(conn);
}

static int rows_column_count(const void *rows)
{
	return PQnfields(rows);
}

static int rows_row_count(const void *rows)
{
	return PQntuples(rows);
}

static const char *rows_column_name(const void *rows, int column)
{
	return PQfname(rows, column);
}

static uint32_t rows_column_type(const void *rows, int column)
{
	return PQftype(rows, column);
}

static int rows_column_format(const void *rows, int column)
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
