/*
 * kl-standin-database: stand-in for a group of replicated databases, used by
 * tests and the demo.  It speaks the PostgreSQL protocol, keeps terms and log
 * positions, and replicates asynchronously with a configurable delay.  Its
 * HTTP port injects faults (/fault?db=NAME&name=FAULT&value=N) and shows the
 * databases (/state).
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "standin/database.h"

#define REPLICATION_INTERVAL_US 2000

/* Name of a fault in /fault and the offset of its value in faults_t. */
typedef struct fault_switch {
	const char *name;
	size_t offset;
} fault_switch_t;

static const fault_switch_t fault_switches[] = {
	{ "freeze", offsetof(faults_t, frozen) },
	{ "cut", offsetof(faults_t, cut) },
	{ "isolate", offsetof(faults_t, isolated) },
	{ "die_before", offsetof(faults_t, die_before) },
	{ "die_after", offsetof(faults_t, die_after) },
	{ "late_ms", offsetof(faults_t, late_ms) },
	{ "silent", offsetof(faults_t, silent) },
	{ "lag_ms", offsetof(faults_t, lag_ms) },
};

static void on_replication_timer(evutil_socket_t fd, short what, void *arg);
static void on_fault(struct evhttp_request *request, void *arg);
static void on_state(struct evhttp_request *request, void *arg);
static void send_reply(struct evhttp_request *request, struct evbuffer *body);
static int open_databases(group_t *group, const char *host, const char *names,
			  int first_port, int lag_ms);

int main(int argc, char **argv)
{
	static group_t group = { .database_count = 3, .slots = 5 };
	static gchar *host, *names, *capture;
	static gint port, admin, lag_ms;
	static const GOptionEntry entries[] = {
		{ "host", 0, 0, G_OPTION_ARG_STRING, &host,
		  "IPv4 address to listen on", "HOST" },
		{ "names", 0, 0, G_OPTION_ARG_STRING, &names,
		  "Names of the databases, the primary first", "A,B,C" },
		{ "port", 0, 0, G_OPTION_ARG_INT, &port,
		  "Port of the first database; the others take the next ports",
		  "PORT" },
		{ "admin", 0, 0, G_OPTION_ARG_INT, &admin,
		  "HTTP port for /fault and /state", "PORT" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &group.slots,
		  "Statements that a database executes at once", "N" },
		{ "exec-us", 0, 0, G_OPTION_ARG_INT, &group.exec_us,
		  "Execution time of a statement, microseconds", "US" },
		{ "connect-ms", 0, 0, G_OPTION_ARG_INT, &group.connect_ms,
		  "Time to accept a connection, milliseconds", "MS" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms,
		  "Replication delay, milliseconds", "MS" },
		{ "capture", 0, 0, G_OPTION_ARG_FILENAME, &capture,
		  "Write the payloads of all client messages to FILE", "FILE" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct timeval interval = { 0, REPLICATION_INTERVAL_US };
	struct evhttp *http;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !port ||
	    !names)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	if (!host)
		host = g_strdup("127.0.0.1");
	group.base = event_base_new();
	if (capture) {
		group.capture = fopen(capture, "wb");
		setvbuf(group.capture, NULL, _IONBF, 0);
	}
	if (open_databases(&group, host, names, port, lag_ms))
		return 1;
	http = evhttp_new(group.base);
	evhttp_set_cb(http, "/fault", on_fault, &group);
	evhttp_set_cb(http, "/state", on_state, &group);
	if (admin && evhttp_bind_socket(http, host, (uint16_t)admin)) {
		fprintf(stderr, "cannot listen on HTTP port %d\n", admin);
		return 1;
	}
	event_add(event_new(group.base, -1, EV_PERSIST, on_replication_timer,
			    &group),
		  &interval);
	printf("ready\n");
	fflush(stdout);
	event_base_dispatch(group.base);
	return 0;
}

static int open_databases(group_t *group, const char *host, const char *names,
			  int first_port, int lag_ms)
{
	gchar **list = g_strsplit(names, ",", 0);
	int error = 0;

	group->database_count = (int)g_strv_length(list);
	group->databases =
		calloc((size_t)group->database_count, sizeof(database_t));
	for (int i = 0; i < group->database_count && !error; i++) {
		database_t *database = &group->databases[i];

		g_strlcpy(database->name, list[i], sizeof(database->name));
		database->group = group;
		database->port = (uint16_t)(first_port + i);
		database->primary = i == 0;
		database->term = 1;
		database->min_write_term = 1;
		database->log = g_ptr_array_new();
		database->tables = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		database->faults.lag_ms = lag_ms;
		CK_STAILQ_INIT(&database->slot_queue);
		CK_LIST_INIT(&database->connections);
		error = standin_listen(database, host);
		if (error)
			fprintf(stderr, "cannot listen on database port %u\n",
				database->port);
	}
	g_strfreev(list);
	return error;
}

static void on_replication_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	standin_replicate(arg);
}

static void on_fault(struct evhttp_request *request, void *arg)
{
	group_t *group = arg;
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	const char *name, *db, *value;
	struct evkeyvalq pairs;

	if (!query || evhttp_parse_query_str(query, &pairs)) {
		evhttp_send_error(request, 400,
				  "query string missing or malformed");
		return;
	}
	name = evhttp_find_header(&pairs, "name");
	db = evhttp_find_header(&pairs, "db");
	value = evhttp_find_header(&pairs, "value");
	for (int i = 0; i < group->database_count; i++) {
		database_t *database = &group->databases[i];

		if (g_strcmp0(db, database->name))
			continue;
		for (size_t f = 0;
		     f < sizeof(fault_switches) / sizeof(*fault_switches);
		     f++) {
			const fault_switch_t *fault_switch = &fault_switches[f];
			char *faults = (char *)&database->faults;

			if (!g_strcmp0(name, fault_switch->name))
				*(int *)(faults + fault_switch->offset) =
					value ? atoi(value) : 0;
		}
		if (database->faults.cut)
			standin_close_connections(database);
		if (database->faults.silent)
			standin_silence_connections(database);
		database->faults.silent = 0;
		if (!database->faults.frozen)
			standin_resume(database);
	}
	evhttp_clear_headers(&pairs);
	send_reply(request, evbuffer_new());
}

static void on_state(struct evhttp_request *request, void *arg)
{
	const group_t *group = arg;
	struct evbuffer *body = evbuffer_new();

	for (int i = 0; i < group->database_count; i++) {
		const database_t *database = &group->databases[i];

		evbuffer_add_printf(
			body,
			"%s %s term %llu sealed %llu position %u running %llu "
			"served %llu\n",
			database->name,
			database->primary ? "primary" : "replica",
			(unsigned long long)database->term,
			(unsigned long long)database->min_write_term,
			database->log->len,
			(unsigned long long)database->running_statements,
			(unsigned long long)database->executed_statements);
	}
	send_reply(request, body);
}

static void send_reply(struct evhttp_request *request, struct evbuffer *body)
{
	evhttp_send_reply(request, 200, "OK", body);
	evbuffer_free(body);
}
