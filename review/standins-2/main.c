/*
 * Stand-in for the databases of one service.
 *
 *   group SERVICE PREFIX HOST PORT COUNT SYNC WORK_MS RECORD
 *
 * PORT serves HTTP: POST /promote of the platform, and the test's
 * /fault?db=ID&name=NAME&value=N.  The databases listen on the COUNT ports
 * after it and are named PREFIX1, PREFIX2, and so on; the first is the primary.
 * What they ran is appended to the file RECORD.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "review/standins-2/group.h"

#define ARGUMENTS 9

static FILE *record_file;

static void on_promote(struct evhttp_request *request, void *arg);
static void on_fault(struct evhttp_request *request, void *arg);
static void answer(struct evhttp_request *request, int status);

int main(int argc, char **argv)
{
	struct evhttp *http;
	int port;

	if (argc != ARGUMENTS) {
		fprintf(stderr, "usage: group SERVICE PREFIX HOST PORT COUNT "
				"SYNC WORK_MS RECORD\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	group.base = event_base_new();
	group.service = argv[1];
	port = (int)strtol(argv[4], NULL, 10);
	group.count = (int)strtol(argv[5], NULL, 10);
	group.sync = strtol(argv[6], NULL, 10) != 0;
	group.work_ms = strtoull(argv[7], NULL, 10);
	record_file = fopen(argv[8], "a");
	http = evhttp_new(group.base);
	if (!record_file || !http || group.count < 1 ||
	    group.count > DATABASES_MAX ||
	    evhttp_bind_socket(http, argv[3], (uint16_t)port) ||
	    databases_start(argv[3], port, argv[2])) {
		fprintf(stderr, "group: cannot start on port %d\n", port);
		return 1;
	}
	setvbuf(record_file, NULL, _IOLBF, 0);
	evhttp_set_cb(http, "/promote", on_promote, NULL);
	evhttp_set_cb(http, "/fault", on_fault, NULL);
	event_base_dispatch(group.base);
	return 0;
}

void record(const char *format, ...)
{
	struct timespec now;
	va_list arguments;

	/* The scripts write the time of day, too. */
	clock_gettime(CLOCK_REALTIME, &now);
	fprintf(record_file, "%lld.%03ld ", (long long)now.tv_sec,
		now.tv_nsec / 1000000);
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
}

static void on_promote(struct evhttp_request *request, void *arg)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	json_t *body = json_loadb((char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	(void)arg;

	answer(request, id && !database_promote(id) ? 200 : 409);
	json_decref(body);
}

static void on_fault(struct evhttp_request *request, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	struct evkeyvalq query;
	const char *id, *name, *value;
	(void)arg;

	evhttp_parse_query_str(evhttp_uri_get_query(uri), &query);
	id = evhttp_find_header(&query, "db");
	name = evhttp_find_header(&query, "name");
	value = evhttp_find_header(&query, "value");
	answer(request,
	       id && name && value &&
			       !database_fault(id, name,
					       (int)strtol(value, NULL, 10))
		       ? 200
		       : 400);
	evhttp_clear_headers(&query);
}

static void answer(struct evhttp_request *request, int status)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "{}\n");
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}
