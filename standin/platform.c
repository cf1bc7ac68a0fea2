/*
 * kl-standin-platform: stand-in for the platform's object API, used by tests
 * and the demo.  It stores versioned objects in memory and serves conditional
 * updates, lists and watches.  Under /standin/ it counts requests, publishes
 * VMs with a delay, and injects faults: outages, slow responses, and updates
 * that take effect although the response reports an error.
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

#define MAX_BODY_BYTES 1048576
#define OBJECTS_PATH "/v1/objects/"

typedef struct object {
	CK_STAILQ_ENTRY(object) link; /* ordered by version */
	char *name;
	char *body;
	uint64_t version; /* revision of the store at the last update */
} object_t;

/* A watch request that waits for a change or for its timeout. */
typedef struct watch {
	CK_LIST_ENTRY(watch) link;
	struct evhttp_request *request;
	struct event *timer;
	uint64_t since_revision;
} watch_t;

/* A delayed request (slow_ms), or a delayed update of a VM (vm_lag_ms). */
typedef struct delayed {
	struct evhttp_request *request;
	struct event *timer;
	char *name;
	char *body;
} delayed_t;

/* Name of a fault in /standin/fault and the variable that it sets. */
typedef struct fault_switch {
	const char *name;
	int *value;
} fault_switch_t;

static int outage;  /* if not 0, object requests are answered with 503 */
static int slow_ms; /* delay of each object request, milliseconds */
/* Number of next updates that are applied, but answered with 503. */
static int put_responses_to_lose;
/* Delay from a request to /standin/vm until the VM's object is updated. */
static int vm_lag_ms;

static const fault_switch_t fault_switches[] = { { "down", &outage },
						 { "slow_ms", &slow_ms },
						 { "lose",
						   &put_responses_to_lose },
						 { "vm_lag_ms", &vm_lag_ms } };

static struct event_base *base;
static CK_STAILQ_HEAD(, object) objects = CK_STAILQ_HEAD_INITIALIZER(objects);
static CK_LIST_HEAD(, watch) watches = CK_LIST_HEAD_INITIALIZER(watches);
static GHashTable *objects_by_name;
static uint64_t revision; /* of the store; each update adds one */
/* Requests served, without those during outages. */
static uint64_t read_requests, write_requests;
static uint64_t waiting_watches; /* watches that wait for a change now */

static void on_request(struct evhttp_request *request, void *arg);
static void handle_request(struct evhttp_request *request);
static void on_request_timer(evutil_socket_t fd, short what, void *arg);
static void handle_list(struct evhttp_request *request, const char *query);
static void handle_watch(struct evhttp_request *request, const char *query);
static void handle_get(struct evhttp_request *request, const char *name);
static void handle_put(struct evhttp_request *request, const char *name,
		       const char *query);
static void handle_fault(struct evhttp_request *request, const char *query);
static void handle_request_counts(struct evhttp_request *request);
static void handle_vm(struct evhttp_request *request, const char *query);
static void on_vm_timer(evutil_socket_t fd, short what, void *arg);
static void store_object(const char *name, const char *body);
static json_t *objects_since(uint64_t since_revision);
static void send_json(struct evhttp_request *request, int status, json_t *json);
static void complete_watches(void);
static void finish_watch(watch_t *entry, bool respond);
static void on_watch_timeout(evutil_socket_t fd, short what, void *arg);
static void on_watch_closed(struct evhttp_connection *connection, void *arg);
static uint64_t query_number(const char *query, const char *name);
static char *query_string(const char *query, const char *name);

int main(int argc, char **argv)
{
	static gchar *host = NULL;
	static gint port;
	static const GOptionEntry entries[] = {
		{ "host", 0, 0, G_OPTION_ARG_STRING, &host,
		  "Address to listen on", "HOST" },
		{ "port", 0, 0, G_OPTION_ARG_INT, &port, "HTTP port", "PORT" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct evhttp *http;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !port)
		return 2;
	objects_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_set_max_body_size(http, MAX_BODY_BYTES);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
						 EVHTTP_REQ_POST);
	evhttp_set_gencb(http, on_request, NULL);
	if (evhttp_bind_socket(http, host ? host : "127.0.0.1",
			       (uint16_t)port)) {
		fprintf(stderr, "cannot listen on HTTP port %d\n", port);
		return 1;
	}
	/* scripts/stand.sh waits for this line before it goes on. */
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
		handle_request(request);
		return;
	}
	delayed = calloc(1, sizeof(*delayed));
	delayed->request = request;
	delayed->timer = evtimer_new(base, on_request_timer, delayed);
	evhttp_request_own(request);
	evtimer_add(delayed->timer, &delay);
}

static void on_request_timer(evutil_socket_t fd, short what, void *arg)
{
	delayed_t *delayed = arg;
	(void)fd;
	(void)what;

	/* The client may have disconnected during the delay. */
	if (evhttp_request_get_connection(delayed->request))
		handle_request(delayed->request);
	else
		evhttp_request_free(delayed->request);
	event_free(delayed->timer);
	free(delayed);
}

static void handle_request(struct evhttp_request *request)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);

	if (!strcmp(path, "/standin/fault")) {
		handle_fault(request, query);
	} else if (!strcmp(path, "/standin/calls")) {
		handle_request_counts(request);
	} else if (!strcmp(path, "/standin/vm")) {
		handle_vm(request, query);
	} else if (outage) {
		/* "down": a simulated outage of the platform. */
		evhttp_send_error(request, 503, "down");
	} else if (!strcmp(path, "/v1/list")) {
		read_requests++;
		handle_list(request, query);
	} else if (!strcmp(path, "/v1/watch")) {
		read_requests++;
		handle_watch(request, query);
	} else if (g_str_has_prefix(path, OBJECTS_PATH)) {
		if (evhttp_request_get_command(request) == EVHTTP_REQ_PUT) {
			write_requests++;
			handle_put(request, path + strlen(OBJECTS_PATH), query);
		} else {
			read_requests++;
			handle_get(request, path + strlen(OBJECTS_PATH));
		}
	} else {
		evhttp_send_error(request, 404, "no such path");
	}
}

static void handle_list(struct evhttp_request *request, const char *query)
{
	send_json(request, 200, objects_since(query_number(query, "since")));
}

static void handle_watch(struct evhttp_request *request, const char *query)
{
	uint64_t timeout_ms = query_number(query, "timeout_ms");
	struct timeval timeout = { (time_t)(timeout_ms / 1000),
				   (suseconds_t)(timeout_ms % 1000 * 1000) };
	watch_t *entry;

	if (query_number(query, "since") < revision) {
		handle_list(request, query);
		return;
	}
	entry = calloc(1, sizeof(*entry));
	entry->request = request;
	entry->since_revision = query_number(query, "since");
	entry->timer = evtimer_new(base, on_watch_timeout, entry);
	evtimer_add(entry->timer, &timeout);
	CK_LIST_INSERT_HEAD(&watches, entry, link);
	waiting_watches++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      on_watch_closed, entry);
}

static void handle_get(struct evhttp_request *request, const char *name)
{
	const object_t *object = g_hash_table_lookup(objects_by_name, name);

	if (!object) {
		send_json(request, 404,
			  json_pack("{s:I}", "revision", (json_int_t)revision));
		return;
	}
	send_json(request, 200,
		  json_pack("{s:I,s:[{s:s,s:I,s:s}]}", "revision",
			    (json_int_t)revision, "objects", "name",
			    object->name, "version",
			    (json_int_t)object->version, "body", object->body));
}

static void handle_put(struct evhttp_request *request, const char *name,
		       const char *query)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(in);
	const object_t *object = g_hash_table_lookup(objects_by_name, name);
	char *body;

	if ((object ? object->version : 0) != query_number(query, "version")) {
		send_json(request, 409,
			  json_pack("{s:I}", "revision", (json_int_t)revision));
		return;
	}
	body = g_strndup((const char *)evbuffer_pullup(in, -1), length);
	store_object(name, body);
	g_free(body);
	if (put_responses_to_lose > 0) {
		put_responses_to_lose--;
		evhttp_send_error(request, 503, "answer lost");
		return;
	}
	send_json(request, 200,
		  json_pack("{s:I}", "revision", (json_int_t)revision));
}

static void handle_fault(struct evhttp_request *request, const char *query)
{
	char *name = query_string(query, "name");

	for (size_t i = 0; i < sizeof(fault_switches) / sizeof(*fault_switches);
	     i++)
		if (!g_strcmp0(name, fault_switches[i].name))
			*fault_switches[i].value =
				(int)query_number(query, "value");
	g_free(name);
	/* An outage also ends the watches that are waiting. */
	while (outage && !CK_LIST_EMPTY(&watches))
		finish_watch(CK_LIST_FIRST(&watches), true);
	send_json(request, 200, json_object());
}

/* Sends the counts of requests; "waiting" counts watches without an event. */
static void handle_request_counts(struct evhttp_request *request)
{
	send_json(request, 200,
		  json_pack("{s:I,s:I,s:I,s:I}", "reads",
			    (json_int_t)read_requests, "writes",
			    (json_int_t)write_requests, "waiting",
			    (json_int_t)waiting_watches, "revision",
			    (json_int_t)revision));
}

/* Updates a VM's object after vm_lag_ms; the state "gone" stores null. */
static void handle_vm(struct evhttp_request *request, const char *query)
{
	struct timeval lag = { vm_lag_ms / 1000, vm_lag_ms % 1000 * 1000 };
	delayed_t *entry = calloc(1, sizeof(*entry));
	char *name = query_string(query, "name");
	char *domain = query_string(query, "domain");
	char *host = query_string(query, "host");
	char *state = query_string(query, "state");
	json_t *json = json_pack("{s:s,s:s,s:i,s:s}", "domain", domain, "host",
				 host, "port", (int)query_number(query, "port"),
				 "state", state);

	entry->name = g_strdup_printf("vm/%s", name);
	entry->body = !g_strcmp0(state, "gone")
			      ? strdup("null")
			      : json_dumps(json, JSON_COMPACT);
	entry->timer = evtimer_new(base, on_vm_timer, entry);
	evtimer_add(entry->timer, &lag);
	json_decref(json);
	g_free(name);
	g_free(domain);
	g_free(host);
	g_free(state);
	send_json(request, 200, json_object());
}

static void on_vm_timer(evutil_socket_t fd, short what, void *arg)
{
	delayed_t *entry = arg;
	(void)fd;
	(void)what;

	store_object(entry->name, entry->body);
	event_free(entry->timer);
	g_free(entry->name);
	free(entry->body);
	free(entry);
}

static void store_object(const char *name, const char *body)
{
	object_t *object = g_hash_table_lookup(objects_by_name, name);

	if (object) {
		CK_STAILQ_REMOVE(&objects, object, object, link);
		g_free(object->body);
	} else {
		object = calloc(1, sizeof(*object));
		object->name = g_strdup(name);
		g_hash_table_insert(objects_by_name, object->name, object);
	}
	object->body = g_strdup(body);
	object->version = ++revision;
	CK_STAILQ_INSERT_TAIL(&objects, object, link);
	complete_watches();
}

/* The objects updated after a revision, the least recently updated first. */
static json_t *objects_since(uint64_t since_revision)
{
	json_t *array = json_array();
	const object_t *object;

	CK_STAILQ_FOREACH(object, &objects, link) {
		if (object->version > since_revision)
			json_array_append_new(
				array, json_pack("{s:s,s:I,s:s}", "name",
						 object->name, "version",
						 (json_int_t)object->version,
						 "body", object->body));
	}
	return json_pack("{s:I,s:o}", "revision", (json_int_t)revision,
			 "objects", array);
}

static void send_json(struct evhttp_request *request, int status, json_t *json)
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

static void complete_watches(void)
{
	watch_t *entry, *next;

	CK_LIST_FOREACH_SAFE(entry, &watches, link, next)
		finish_watch(entry, true);
}

/* Frees a watch; respond is false if the client has disconnected. */
static void finish_watch(watch_t *entry, bool respond)
{
	CK_LIST_REMOVE(entry, link);
	waiting_watches--;
	event_free(entry->timer);
	if (respond) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(entry->request), NULL,
			NULL);
		if (outage)
			evhttp_send_error(entry->request, 503, "down");
		else
			send_json(entry->request, 200,
				  objects_since(entry->since_revision));
	}
	free(entry);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	finish_watch(arg, true);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	(void)connection;
	finish_watch(arg, false);
}

static uint64_t query_number(const char *query, const char *name)
{
	char *value = query_string(query, name);
	uint64_t result = value ? g_ascii_strtoull(value, NULL, 10) : 0;

	g_free(value);
	return result;
}

static char *query_string(const char *query, const char *name)
{
	struct evkeyvalq pairs;
	char *value;

	if (!query || evhttp_parse_query_str(query, &pairs))
		return g_strdup("");
	value = g_strdup(evhttp_find_header(&pairs, name));
	evhttp_clear_headers(&pairs);
	return value;
}
