/*
 * The platform's store: objects by kind and name, lists, watches, conditional
 * updates.  Specifications are kept as the bytes that were written.
 */
#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define CHANGES_MAX 200000
#define PREFIX "/-/objects/"

typedef struct change {
	char *kind, *name, *spec;
	long long revision;
	int deleted, superseded;
} change_t;

typedef struct watch {
	struct watch *next;
	struct evhttp_request *request;
	struct event *timer;
	char kind[64];
	long long since;
} watch_t;

int store_port;
static change_t *changes;
static int change_count;
static long long revision = 1;
static watch_t *watches;

static void add_object(struct evbuffer *out, const change_t *c)
{
	evbuffer_add_printf(out,
			    "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,"
			    "\"created\":1,\"finalizers\":[],\"deleting\":"
			    "false},\"spec\":%s,\"status\":null}",
			    c->name, c->revision, c->spec);
}

static void reply(struct evhttp_request *request, int status,
		  struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, status, "-", body);
	evbuffer_free(body);
}

static change_t *find(const char *kind, const char *name)
{
	for (int i = change_count - 1; i >= 0; i--)
		if (!strcmp(changes[i].name, name) &&
		    !strcmp(changes[i].kind, kind))
			return changes[i].deleted ? NULL : &changes[i];
	return NULL;
}

static int events_since(struct evbuffer *out, const char *kind, long long since)
{
	int count = 0;

	evbuffer_add_printf(out, "{\"events\":[");
	for (int i = 0; i < change_count; i++) {
		if (changes[i].revision <= since ||
		    strcmp(changes[i].kind, kind))
			continue;
		evbuffer_add_printf(out, "%s{\"deleted\":%s,\"object\":",
				    count++ ? "," : "",
				    changes[i].deleted ? "true" : "false");
		add_object(out, &changes[i]);
		evbuffer_add_printf(out, "}");
	}
	evbuffer_add_printf(out, "],\"storeRevision\":%lld}", revision);
	return count;
}

static void watch_finish(watch_t *watch)
{
	struct evbuffer *out = evbuffer_new();

	for (watch_t **at = &watches; *at; at = &(*at)->next) {
		if (*at == watch) {
			*at = watch->next;
			break;
		}
	}
	if (watch->request) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(watch->request), NULL,
			NULL);
		events_since(out, watch->kind, watch->since);
		reply(watch->request, 200, out);
	} else {
		evbuffer_free(out);
	}
	event_free(watch->timer);
	free(watch);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	watch_finish(arg);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	(void)connection;
	((watch_t *)arg)->request = NULL;
	watch_finish(arg);
}

static change_t *add_change(const char *kind, const char *name,
			    const char *spec, int deleted)
{
	change_t *old = find(kind, name), *c;
	watch_t *watch, *next;

	if (change_count == CHANGES_MAX)
		abort();
	if (old)
		old->superseded = 1;
	c = &changes[change_count++];
	c->kind = strdup(kind);
	c->name = strdup(name);
	c->spec = strdup(spec);
	c->deleted = deleted;
	c->superseded = 0;
	c->revision = ++revision;
	for (watch = watches; watch; watch = next) {
		next = watch->next;
		if (!strcmp(watch->kind, kind))
			watch_finish(watch);
	}
	return c;
}

void store_put(const char *kind, const char *name, const char *spec)
{
	add_change(kind, name, spec, 0);
}

void store_remove(const char *kind, const char *name)
{
	if (find(kind, name))
		add_change(kind, name, "null", 1);
}

static void handle_get(struct evhttp_request *request, const char *kind,
		       const char *name, struct evkeyvalq *query)
{
	const char *since = evhttp_find_header(query, "watch");
	const char *wait = evhttp_find_header(query, "waitMs");
	struct evbuffer *out = evbuffer_new();
	int count = 0;

	if (name) {
		const change_t *c = find(kind, name);

		if (c)
			add_object(out, c);
		else
			evbuffer_add_printf(out, "{}");
		reply(request, c ? 200 : 404, out);
		return;
	}
	if (since) {
		int ms = wait ? atoi(wait) : 0;
		struct timeval delay = { ms / 1000, ms % 1000 * 1000 };
		watch_t *watch;

		if (events_since(out, kind, atoll(since)) || !ms) {
			reply(request, 200, out);
			return;
		}
		evbuffer_free(out);
		watch = calloc(1, sizeof(*watch));
		watch->request = request;
		watch->since = atoll(since);
		snprintf(watch->kind, sizeof(watch->kind), "%s", kind);
		watch->timer = evtimer_new(base, on_watch_timeout, watch);
		evtimer_add(watch->timer, &delay);
		watch->next = watches;
		watches = watch;
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(request), on_watch_closed,
			watch);
		return;
	}
	evbuffer_add_printf(out, "{\"items\":[");
	for (int i = 0; i < change_count; i++) {
		if (changes[i].superseded || changes[i].deleted ||
		    strcmp(changes[i].kind, kind))
			continue;
		evbuffer_add_printf(out, "%s", count++ ? "," : "");
		add_object(out, &changes[i]);
	}
	evbuffer_add_printf(out, "],\"hasMore\":false,\"storeRevision\":%lld}",
			    revision);
	reply(request, 200, out);
}

static void handle_update(struct evhttp_request *request, const char *kind,
			  const char *path_name, struct evkeyvalq *query)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	struct evbuffer *out = evbuffer_new();
	json_t *body = json_loadb((char *)evbuffer_pullup(in, -1),
				  evbuffer_get_length(in), 0, NULL);
	json_t *meta = json_object_get(body, "meta");
	json_t *wanted = json_object_get(meta, "revision");
	const char *in_query = evhttp_find_header(query, "revision");
	long long expected = in_query ? atoll(in_query)
			     : wanted ? json_integer_value(wanted)
				      : 0;
	int remove = evhttp_request_get_command(request) == EVHTTP_REQ_DELETE;
	const char *name =
		path_name ? path_name
			  : json_string_value(json_object_get(meta, "name"));
	const change_t *c = name ? find(kind, name) : NULL;
	char *spec;
	int status = 200;

	if (!name) {
		status = 400;
		evbuffer_add_printf(out, "{}");
	} else if (path_name && !c) {
		status = 404;
		evbuffer_add_printf(out, "{}");
	} else if (c && (!path_name || (expected && expected != c->revision))) {
		status = 409;
		add_object(out, c);
	} else {
		spec = remove ? strdup("null")
			      : json_dumps(json_object_get(body, "spec"),
					   JSON_COMPACT | JSON_ENCODE_ANY);
		if (!c || remove || strcmp(spec, c->spec))
			c = add_change(kind, name, spec, remove);
		add_object(out, c);
		free(spec);
	}
	reply(request, status, out);
	json_decref(body);
}

static void on_request(struct evhttp_request *request, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	const char *query_text = evhttp_uri_get_query(uri);
	struct evkeyvalq query;
	char kind[64], *name;
	(void)arg;

	if (!path || strncmp(path, PREFIX, strlen(PREFIX))) {
		evhttp_send_error(request, 404, NULL);
		return;
	}
	evhttp_parse_query_str(query_text ? query_text : "", &query);
	snprintf(kind, sizeof(kind), "%s", path + strlen(PREFIX));
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	if (evhttp_request_get_command(request) == EVHTTP_REQ_GET)
		handle_get(request, kind, name, &query);
	else
		handle_update(request, kind, name, &query);
	evhttp_clear_headers(&query);
}

int store_start(const char *ip)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);

	changes = calloc(CHANGES_MAX, sizeof(*changes));
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_PUT |
						 EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, on_request, NULL);
	bound = evhttp_bind_socket_with_handle(http, ip, 0);
	if (!bound)
		return -1;
	getsockname(evhttp_bound_socket_get_fd(bound),
		    (struct sockaddr *)&address, &length);
	store_port = ntohs(address.sin_port);
	return 0;
}
