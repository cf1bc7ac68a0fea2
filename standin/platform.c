/*
 * kl-standin-platform: stands in for the platform's object API in tests and
 * the demo.  Objects with versions, conditional updates, watches, a lagging
 * list of VMs, counted calls, and switches for outages, slowness and answers
 * that are lost after they took effect.
 */
#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX 1048576
#define PREFIX "/v1/objects/"

typedef struct object {
	CK_STAILQ_ENTRY(object) link; /* in the order of versions */
	char *name;
	char *body;
	uint64_t version;
} object_t;

typedef struct watch {
	CK_LIST_ENTRY(watch) link;
	struct evhttp_request *request;
	struct event *timer;
	uint64_t since;
} watch_t;

/* An answer or a VM entry that waits for its time. */
typedef struct delayed {
	struct evhttp_request *request;
	struct event *timer;
	char *name;
	char *body;
} delayed_t;

typedef struct fault {
	const char *name;
	int *value;
} fault_t;

static int down;    /* no answers at all */
static int slow_ms; /* each answer comes this much later */
static int lose;    /* so many updates take effect and are not answered */
static int vm_lag_ms;

static const fault_t faults[] = { { "down", &down },
				  { "slow_ms", &slow_ms },
				  { "lose", &lose },
				  { "vm_lag_ms", &vm_lag_ms } };

static struct event_base *base;
static CK_STAILQ_HEAD(, object) objects = CK_STAILQ_HEAD_INITIALIZER(objects);
static CK_LIST_HEAD(, watch) watches = CK_LIST_HEAD_INITIALIZER(watches);
static GHashTable *index_by_name;
static uint64_t revision;
static uint64_t reads, writes, waiting;

static void on_request(struct evhttp_request *request, void *arg);
static void handle(struct evhttp_request *request);
static void on_delayed(evutil_socket_t fd, short what, void *arg);
static void list(struct evhttp_request *request, const char *query);
static void watch(struct evhttp_request *request, const char *query);
static void get(struct evhttp_request *request, const char *name);
static void put(struct evhttp_request *request, const char *name,
		const char *query);
static void fault(struct evhttp_request *request, const char *query);
static void calls(struct evhttp_request *request);
static void vm(struct evhttp_request *request, const char *query);
static void on_vm(evutil_socket_t fd, short what, void *arg);
static void store(const char *name, const char *body);
static json_t *changed(uint64_t since);
static void reply(struct evhttp_request *request, int status, json_t *json);
static void wake_watches(void);
static void end_watch(watch_t *entry, bool answer);
static void on_watch_end(evutil_socket_t fd, short what, void *arg);
static void on_watch_closed(struct evhttp_connection *connection, void *arg);
static uint64_t number(const char *query, const char *name);
static char *text(const char *query, const char *name);

int main(int argc, char **argv)
{
	static gchar *host = NULL;
	static gint port;
	static const GOptionEntry entries[] = {
		{ "host", 0, 0, G_OPTION_ARG_STRING, &host, "IP number",
		  "HOST" },
		{ "port", 0, 0, G_OPTION_ARG_INT, &port, "TCP port", "PORT" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct evhttp *http;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !port)
		return 2;
	index_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_set_max_body_size(http, BODY_MAX);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
						 EVHTTP_REQ_POST);
	evhttp_set_gencb(http, on_request, NULL);
	if (evhttp_bind_socket(http, host ? host : "127.0.0.1",
			       (uint16_t)port)) {
		fprintf(stderr, "port %d is not free\n", port);
		return 1;
	}
	printf("ready\n");
	fflush(stdout);
	event_base_dispatch(base);
	return 0;
}

static void on_request(struct evhttp_request *request, void *arg)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	struct timeval delay = { slow_ms / 1000, slow_ms % 1000 * 1000 };
	delayed_t *delayed;
	(void)arg;

	if (g_str_has_prefix(path, "/standin/") || !slow_ms) {
		handle(request);
		return;
	}
	delayed = calloc(1, sizeof(*delayed));
	delayed->request = request;
	delayed->timer = evtimer_new(base, on_delayed, delayed);
	evhttp_request_own(request);
	evtimer_add(delayed->timer, &delay);
}

static void on_delayed(evutil_socket_t fd, short what, void *arg)
{
	delayed_t *delayed = arg;
	(void)fd;
	(void)what;

	/* The caller may have hung up while the answer was delayed. */
	if (evhttp_request_get_connection(delayed->request))
		handle(delayed->request);
	else
		evhttp_request_free(delayed->request);
	event_free(delayed->timer);
	free(delayed);
}

static void handle(struct evhttp_request *request)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);

	if (!strcmp(path, "/standin/fault")) {
		fault(request, query);
	} else if (!strcmp(path, "/standin/calls")) {
		calls(request);
	} else if (!strcmp(path, "/standin/vm")) {
		vm(request, query);
	} else if (down) {
		evhttp_send_error(request, 503, "down");
	} else if (!strcmp(path, "/v1/list")) {
		reads++;
		list(request, query);
	} else if (!strcmp(path, "/v1/watch")) {
		reads++;
		watch(request, query);
	} else if (g_str_has_prefix(path, PREFIX)) {
		if (evhttp_request_get_command(request) == EVHTTP_REQ_PUT) {
			writes++;
			put(request, path + strlen(PREFIX), query);
		} else {
			reads++;
			get(request, path + strlen(PREFIX));
		}
	} else {
		evhttp_send_error(request, 404, "no such path");
	}
}

static void list(struct evhttp_request *request, const char *query)
{
	reply(request, 200, changed(number(query, "since")));
}

static void watch(struct evhttp_request *request, const char *query)
{
	uint64_t timeout_ms = number(query, "timeout_ms");
	struct timeval timeout = { (time_t)(timeout_ms / 1000),
				   (suseconds_t)(timeout_ms % 1000 * 1000) };
	watch_t *entry;

	if (number(query, "since") < revision) {
		list(request, query);
		return;
	}
	entry = calloc(1, sizeof(*entry));
	entry->request = request;
	entry->since = number(query, "since");
	entry->timer = evtimer_new(base, on_watch_end, entry);
	evtimer_add(entry->timer, &timeout);
	CK_LIST_INSERT_HEAD(&watches, entry, link);
	waiting++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      on_watch_closed, entry);
}

static void get(struct evhttp_request *request, const char *name)
{
	const object_t *object = g_hash_table_lookup(index_by_name, name);

	if (!object) {
		reply(request, 404,
		      json_pack("{s:I}", "revision", (json_int_t)revision));
		return;
	}
	reply(request, 200,
	      json_pack("{s:I,s:[{s:s,s:I,s:s}]}", "revision",
			(json_int_t)revision, "objects", "name", object->name,
			"version", (json_int_t)object->version, "body",
			object->body));
}

static void put(struct evhttp_request *request, const char *name,
		const char *query)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(in);
	const object_t *object = g_hash_table_lookup(index_by_name, name);
	char *body;

	if ((object ? object->version : 0) != number(query, "version")) {
		reply(request, 409,
		      json_pack("{s:I}", "revision", (json_int_t)revision));
		return;
	}
	body = g_strndup((const char *)evbuffer_pullup(in, -1), length);
	store(name, body);
	g_free(body);
	if (lose > 0) {
		lose--;
		evhttp_send_error(request, 503, "answer lost");
		return;
	}
	reply(request, 200,
	      json_pack("{s:I}", "revision", (json_int_t)revision));
}

static void fault(struct evhttp_request *request, const char *query)
{
	char *name = text(query, "name");

	for (size_t i = 0; i < sizeof(faults) / sizeof(*faults); i++)
		if (!g_strcmp0(name, faults[i].name))
			*faults[i].value = (int)number(query, "value");
	g_free(name);
	/* An outage cuts the watches that wait. */
	while (down && !CK_LIST_EMPTY(&watches))
		end_watch(CK_LIST_FIRST(&watches), true);
	reply(request, 200, json_object());
}

static void calls(struct evhttp_request *request)
{
	reply(request, 200,
	      json_pack("{s:I,s:I,s:I,s:I}", "reads", (json_int_t)reads,
			"writes", (json_int_t)writes, "waiting",
			(json_int_t)waiting, "revision", (json_int_t)revision));
}

/* Changes the list of VMs, which shows it later. */
static void vm(struct evhttp_request *request, const char *query)
{
	struct timeval lag = { vm_lag_ms / 1000, vm_lag_ms % 1000 * 1000 };
	delayed_t *entry = calloc(1, sizeof(*entry));
	char *name = text(query, "name");
	char *domain = text(query, "domain");
	char *host = text(query, "host");
	char *state = text(query, "state");
	json_t *json =
		json_pack("{s:s,s:s,s:i,s:s}", "domain", domain, "host", host,
			  "port", (int)number(query, "port"), "state", state);

	entry->name = g_strdup_printf("vm/%s", name);
	entry->body = !g_strcmp0(state, "gone")
			      ? strdup("null")
			      : json_dumps(json, JSON_COMPACT);
	entry->timer = evtimer_new(base, on_vm, entry);
	evtimer_add(entry->timer, &lag);
	json_decref(json);
	g_free(name);
	g_free(domain);
	g_free(host);
	g_free(state);
	reply(request, 200, json_object());
}

static void on_vm(evutil_socket_t fd, short what, void *arg)
{
	delayed_t *entry = arg;
	(void)fd;
	(void)what;

	store(entry->name, entry->body);
	event_free(entry->timer);
	g_free(entry->name);
	free(entry->body);
	free(entry);
}

static void store(const char *name, const char *body)
{
	object_t *object = g_hash_table_lookup(index_by_name, name);

	if (object) {
		CK_STAILQ_REMOVE(&objects, object, object, link);
		g_free(object->body);
	} else {
		object = calloc(1, sizeof(*object));
		object->name = g_strdup(name);
		g_hash_table_insert(index_by_name, object->name, object);
	}
	object->body = g_strdup(body);
	object->version = ++revision;
	CK_STAILQ_INSERT_TAIL(&objects, object, link);
	wake_watches();
}

static json_t *changed(uint64_t since)
{
	json_t *array = json_array();
	const object_t *object;

	CK_STAILQ_FOREACH(object, &objects, link) {
		if (object->version > since)
			json_array_append_new(
				array, json_pack("{s:s,s:I,s:s}", "name",
						 object->name, "version",
						 (json_int_t)object->version,
						 "body", object->body));
	}
	return json_pack("{s:I,s:o}", "revision", (json_int_t)revision,
			 "objects", array);
}

static void reply(struct evhttp_request *request, int status, json_t *json)
{
	struct evbuffer *body = evbuffer_new();
	char *dump = json_dumps(json, JSON_COMPACT);

	evbuffer_add(body, dump, strlen(dump));
	evhttp_send_reply(request, status, status == 200 ? "OK" : "refused",
			  body);
	evbuffer_free(body);
	free(dump);
	json_decref(json);
}

static void wake_watches(void)
{
	watch_t *entry, *next;

	CK_LIST_FOREACH_SAFE(entry, &watches, link, next)
		end_watch(entry, true);
}

static void end_watch(watch_t *entry, bool answer)
{
	CK_LIST_REMOVE(entry, link);
	waiting--;
	event_free(entry->timer);
	if (answer) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(entry->request), NULL,
			NULL);
		if (down)
			evhttp_send_error(entry->request, 503, "down");
		else
			reply(entry->request, 200, changed(entry->since));
	}
	free(entry);
}

static void on_watch_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	end_watch(arg, true);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	(void)connection;
	end_watch(arg, false);
}

static uint64_t number(const char *query, const char *name)
{
	char *value = text(query, name);
	uint64_t result = value ? g_ascii_strtoull(value, NULL, 10) : 0;

	g_free(value);
	return result;
}

static char *text(const char *query, const char *name)
{
	struct evkeyvalq pairs;
	char *value;

	if (!query || evhttp_parse_query_str(query, &pairs))
		return g_strdup("");
	value = g_strdup(evhttp_find_header(&pairs, name));
	evhttp_clear_headers(&pairs);
	return value;
}
