/*
 * kl-standin-line: stand-in for the platform's object store, its promotion
 * endpoint and a group of three databases with the line protocol, in one
 * process.  /standin/fault injects faults, /standin/log prints all commits,
 * /standin/late the statements that reached evacuated databases too late,
 * /standin/usage the usage reports.
 *
 * PORT serves HTTP, the databases listen on the next three ports.  With RELAYS,
 * unless it is 0, they register the three ports after RELAYS instead, where
 * relays listen.  HOST is the address to listen on.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/late_statements.h"
#include "standin/line_database.h"
#include "standin/store.h"
#include "standin/usage_reports.h"

#define DEFAULT_HOST "127.0.0.1"
#define DATABASE_COUNT 3

static void on_promote(struct evhttp_request *request, void *arg);
static void on_fault(struct evhttp_request *request, void *arg);
static void on_log(struct evhttp_request *request, void *arg);
static void on_late(struct evhttp_request *request, void *arg);
static void on_sigterm(evutil_socket_t fd, short what, void *arg);
static void send_status(struct evhttp_request *request, int status);

int main(int argc, char **argv)
{
	struct event_base *base = event_base_new();
	struct evhttp *http = evhttp_new(base);
	struct event *sigterm_event;
	int port = argc > 1 ? atoi(argv[1]) : 0;
	int relay_port = argc > 2 ? atoi(argv[2]) : 0;
	const char *host = argc > 3 ? argv[3] : DEFAULT_HOST;

	if (!port) {
		fprintf(stderr,
			"usage: kl-standin-line PORT [RELAYS [HOST]]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	if (evhttp_bind_socket(http, host, (uint16_t)port)) {
		fprintf(stderr, "cannot listen on HTTP port %d\n", port);
		return 1;
	}
	store_serve(http, base);
	evhttp_set_cb(http, "/promote", on_promote, NULL);
	evhttp_set_cb(http, "/standin/fault", on_fault, NULL);
	evhttp_set_cb(http, "/standin/log", on_log, NULL);
	evhttp_set_cb(http, "/standin/late", on_late, NULL);
	usage_reports_serve(http);
	/* Behind relays the databases register the ports of the relays. */
	for (int i = 0; i < DATABASE_COUNT; i++)
		if (line_database_start(base, host, port + 1 + i,
					(relay_port ? relay_port : port) + 1 +
						i))
			return 1;
	sigterm_event = evsignal_new(base, SIGTERM, on_sigterm, base);
	event_add(sigterm_event, NULL);
	/* scripts/stand.sh waits for this line before it goes on. */
	puts("ready");
	fclose(stdout);
	event_base_dispatch(base);
	return 0;
}

static void on_promote(struct evhttp_request *request, void *arg)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	json_t *body = json_loadb((char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	(void)arg;

	send_status(request, id && !line_database_promote(id) ? 200 : 409);
	json_decref(body);
}

/*
 * /standin/fault?db=ID&name=NAME&value=N; db=store sets a fault of the store,
 * and db=usage one of the receipt of usage reports.
 */
static void on_fault(struct evhttp_request *request, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	struct evkeyvalq query;
	const char *id, *name, *value;
	int invalid = 0;
	(void)arg;

	evhttp_parse_query_str(evhttp_uri_get_query(uri), &query);
	id = evhttp_find_header(&query, "db");
	name = evhttp_find_header(&query, "name");
	value = evhttp_find_header(&query, "value");
	if (!id || !name || !value)
		invalid = 1;
	else if (!strcmp(id, "store"))
		invalid = store_set_fault(name, atoi(value));
	else if (!strcmp(id, "usage"))
		invalid = usage_reports_set_fault(name, atoi(value));
	else
		invalid = line_database_fault(id, name, atoi(value));
	evhttp_clear_headers(&query);
	send_status(request, invalid ? 400 : 200);
}

static void on_log(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evbuffer_new();
	(void)arg;

	line_database_log(body);
	evhttp_send_reply(request, 200, NULL, body);
	evbuffer_free(body);
}

static void on_late(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evbuffer_new();
	(void)arg;

	late_statements_print(body);
	evhttp_send_reply(request, 200, NULL, body);
	evbuffer_free(body);
}

static void on_sigterm(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopexit(arg, NULL);
}

static void send_status(struct evhttp_request *request, int status)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "{}\n");
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}
