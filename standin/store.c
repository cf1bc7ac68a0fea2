/*
 * The store keeps all changes in a list, in the order of their revisions.  A
 * list request returns the newest change of each object; a watch returns all
 * changes after a revision, or waits for the next one.
 */
#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/store.h"

#define OBJECTS_PATH "/-/objects/"
#define OWN_KINDS "kumquatloft-" /* kinds that only the VMs write */
#define MAX_WATCH_MS 30000	 /* a longer waitMs of a watch is cut to this */

/* One change; the newest change of an object is its current state. */
typedef struct change {
	CK_STAILQ_ENTRY(change) link;
	char *kind;
	char *name;
	json_t *spec;
	json_int_t revision;
	gint64 created_us;  /* when the object was created */
	gint64 recorded_us; /* when the change was made */
	int deleted;
	int superseded; /* by a later change of the same object */
} change_t;

/* A watch request that waits for a change of its kind, or for its timeout. */
typedef struct watch {
	CK_LIST_ENTRY(watch) link;
	struct evhttp_request *request;
	struct event *timer;
	char *kind;
	json_int_t since_revision;
} watch_t;

static CK_STAILQ_HEAD(, change) changes = CK_STAILQ_HEAD_INITIALIZER(changes);
static CK_LIST_HEAD(, watch) watches = CK_LIST_HEAD_INITIALIZER(watches);
/* Changes of operators and databases that a drill lost; see drill(). */
static CK_STAILQ_HEAD(, change) lost = CK_STAILQ_HEAD_INITIALIZER(lost);
static struct event_base *event_base;
static json_int_t revision = 1;
static int era;		/* of the header Store-Era; 0: answers have none */
static int rewrite_ms;	/* lost changes are made again so long after a drill */
static int unavailable; /* if set, requests are answered with 503 */
/* Watches from an earlier revision are answered with 410. */
static json_int_t first_kept_revision;

static void on_request(struct evhttp_request *request, void *arg);
static void handle_list(struct evhttp_request *request, const char *kind);
static void handle_watch(struct evhttp_request *request, const char *kind,
			 json_int_t since_revision, int wait_ms);
static void finish_watch(watch_t *entry);
static void drop_history(void);
static void drill(int copy_age_ms);
static void mark_superseded(void);
static void on_rewrite(evutil_socket_t fd, short what, void *arg);
static void change_free(change_t *change);
static void forget_watches(void);
static void on_watch_timeout(evutil_socket_t fd, short what, void *arg);
static void on_watch_closed(struct evhttp_connection *connection, void *arg);
static void handle_update(struct evhttp_request *request, const char *kind,
			  const char *name);
static change_t *find_object(const char *kind, const char *name);
static change_t *record_change(const char *kind, const char *name, json_t *spec,
			       int deleted);
static json_t *events_since(const char *kind, json_int_t since_revision);
static json_t *object_json(const change_t *change);
static json_t *request_json(struct evhttp_request *request);
static json_int_t query_number(struct evkeyvalq *query, const char *name);
static void send_json(struct evhttp_request *request, int status, json_t *json);

void store_serve(struct evhttp *http, struct event_base *base)
{
	event_base = base;
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_PUT |
						 EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, on_request, NULL);
}

void store_put(const char *kind, const char *name, json_t *spec)
{
	record_change(kind, name, spec, 0);
}

int64_t store_age_ms(const char *kind, const char *name)
{
	const change_t *change = find_object(kind, name);

	return change ? (g_get_monotonic_time() - change->created_us) / 1000
		      : -1;
}

void store_remove(const char *kind, const char *name)
{
	if (find_object(kind, name))
		record_change(kind, name, json_null(), 1);
}

int store_set_fault(const char *name, int value)
{
	if (!strcmp(name, "down"))
		unavailable = value;
	else if (!strcmp(name, "compact"))
		drop_history();
	else if (!strcmp(name, "silent"))
		forget_watches();
	else if (!strcmp(name, "era"))
		era = value;
	else if (!strcmp(name, "rewrite_ms"))
		rewrite_ms = value;
	else if (!strcmp(name, "drill"))
		drill(value);
	else
		return -1;
	return 0;
}

/* Ends the watches that are behind, as their history is dropped. */
static void drop_history(void)
{
	watch_t *entry, *next;

	first_kept_revision = revision;
	CK_LIST_FOREACH_SAFE(entry, &watches, link, next) {
		if (entry->since_revision < first_kept_revision)
			finish_watch(entry);
	}
}

static void forget_watches(void)
{
	watch_t *entry, *next;

	CK_LIST_FOREACH_SAFE(entry, &watches, link, next) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(entry->request), NULL,
			NULL);
		entry->request = NULL;
		finish_watch(entry);
	}
}

/*
 * Restores the store from a copy: changes that are younger are lost, and their
 * revisions are assigned again.  Those of operators and databases are made
 * again after rewrite_ms.
 */
static void drill(int copy_age_ms)
{
	gint64 copied_us = g_get_monotonic_time() - 1000LL * copy_age_ms;
	struct timeval delay = { rewrite_ms / 1000, rewrite_ms % 1000 * 1000 };
	change_t *change, *next;
	watch_t *entry, *next_watch;

	era += era != 0;
	revision = 1;
	CK_STAILQ_FOREACH_SAFE(change, &changes, link, next) {
		if (change->recorded_us <= copied_us) {
			revision = change->revision;
			continue;
		}
		CK_STAILQ_REMOVE(&changes, change, change, link);
		if (strncmp(change->kind, OWN_KINDS, strlen(OWN_KINDS)) != 0)
			CK_STAILQ_INSERT_TAIL(&lost, change, link);
		else
			change_free(change);
	}
	mark_superseded();
	if (first_kept_revision > revision)
		first_kept_revision = revision;
	CK_LIST_FOREACH_SAFE(entry, &watches, link, next_watch) {
		if (entry->since_revision > revision)
			finish_watch(entry);
	}
	event_base_once(event_base, -1, EV_TIMEOUT, on_rewrite, NULL, &delay);
}

/* Finds out again which changes are followed by one of the same object. */
static void mark_superseded(void)
{
	change_t *change, *later;

	CK_STAILQ_FOREACH(change, &changes, link) {
		change->superseded = 0;
		for (later = CK_STAILQ_NEXT(change, link); later;
		     later = CK_STAILQ_NEXT(later, link))
			change->superseded |=
				!strcmp(change->kind, later->kind) &&
				!strcmp(change->name, later->name);
	}
}

static void on_rewrite(evutil_socket_t fd, short what, void *arg)
{
	change_t *change;
	(void)fd;
	(void)what;
	(void)arg;

	while ((change = CK_STAILQ_FIRST(&lost))) {
		CK_STAILQ_REMOVE_HEAD(&lost, link);
		record_change(change->kind, change->name,
			      json_incref(change->spec), change->deleted);
		change_free(change);
	}
}

static void change_free(change_t *change)
{
	json_decref(change->spec);
	free(change->kind);
	free(change->name);
	free(change);
}

static void on_request(struct evhttp_request *request, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	struct evkeyvalq query;
	char **path_parts;
	(void)arg;

	if (unavailable || !path ||
	    strncmp(path, OBJECTS_PATH, strlen(OBJECTS_PATH))) {
		send_json(request, unavailable ? 503 : 404, json_object());
		return;
	}
	evhttp_parse_query_str(
		evhttp_uri_get_query(uri) ? evhttp_uri_get_query(uri) : "",
		&query);
	path_parts = g_strsplit(path + strlen(OBJECTS_PATH), "/", 2);
	if (evhttp_request_get_command(request) != EVHTTP_REQ_GET)
		handle_update(request, path_parts[0], path_parts[1]);
	else if (evhttp_find_header(&query, "watch"))
		handle_watch(request, path_parts[0],
			     query_number(&query, "watch"),
			     (int)query_number(&query, "waitMs"));
	else
		handle_list(request, path_parts[0]);
	g_strfreev(path_parts);
	evhttp_clear_headers(&query);
}

static void handle_list(struct evhttp_request *request, const char *kind)
{
	json_t *items = json_array();
	const change_t *change;

	CK_STAILQ_FOREACH(change, &changes, link) {
		if (!change->superseded && !change->deleted &&
		    !strcmp(change->kind, kind))
			json_array_append_new(items, object_json(change));
	}
	send_json(request, 200,
		  json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", 0,
			    "storeRevision", revision));
}

static void handle_watch(struct evhttp_request *request, const char *kind,
			 json_int_t since_revision, int wait_ms)
{
	json_t *events;
	int ms = wait_ms < MAX_WATCH_MS ? wait_ms : MAX_WATCH_MS;
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };
	watch_t *entry;

	if (since_revision < first_kept_revision || since_revision > revision) {
		send_json(request, 410, json_object());
		return;
	}
	events = events_since(kind, since_revision);
	if (json_array_size(events)) {
		send_json(request, 200,
			  json_pack("{s:o,s:I}", "events", events,
				    "storeRevision", revision));
		return;
	}
	json_decref(events);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return;
	entry->request = request;
	entry->kind = strdup(kind);
	entry->since_revision = since_revision;
	entry->timer = evtimer_new(event_base, on_watch_timeout, entry);
	evtimer_add(entry->timer, &wait);
	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      on_watch_closed, entry);
	CK_LIST_INSERT_HEAD(&watches, entry, link);
}

static void finish_watch(watch_t *entry)
{
	struct evhttp_request *request = entry->request;

	CK_LIST_REMOVE(entry, link);
	if (request) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(request), NULL, NULL);
		if (entry->since_revision < first_kept_revision ||
		    entry->since_revision > revision)
			send_json(request, 410, json_object());
		else
			send_json(request, 200,
				  json_pack("{s:o,s:I}", "events",
					    events_since(entry->kind,
							 entry->since_revision),
					    "storeRevision", revision));
	}
	event_free(entry->timer);
	free(entry->kind);
	free(entry);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	finish_watch(arg);
}

static void on_watch_closed(struct evhttp_connection *connection, void *arg)
{
	watch_t *entry = arg;
	(void)connection;

	entry->request = NULL;
	finish_watch(entry);
}

/*
 * Creates (without a name in the path), replaces or deletes an object.  The
 * response is 409 with the current object if the body has another revision, or
 * if the object to create exists.
 */
static void handle_update(struct evhttp_request *request, const char *kind,
			  const char *name)
{
	json_t *body = request_json(request);
	json_t *meta = json_object_get(body, "meta");
	json_t *expected = json_object_get(meta, "revision");
	int remove = evhttp_request_get_command(request) == EVHTTP_REQ_DELETE;
	const char *target =
		name ? name : json_string_value(json_object_get(meta, "name"));
	change_t *current = target ? find_object(kind, target) : NULL;

	if (!target)
		send_json(request, 400, json_object());
	else if (name && !current)
		send_json(request, 404, json_object());
	else if (current &&
		 (!name || (expected &&
			    json_integer_value(expected) != current->revision)))
		send_json(request, 409, object_json(current));
	else
		send_json(request, 200,
			  object_json(record_change(
				  kind, target,
				  remove ? json_null()
					 : json_incref(json_object_get(body,
								       "spec")),
				  remove)));
	json_decref(body);
}

static change_t *find_object(const char *kind, const char *name)
{
	change_t *change;

	CK_STAILQ_FOREACH(change, &changes, link) {
		if (!change->superseded && !change->deleted &&
		    !strcmp(change->kind, kind) && !strcmp(change->name, name))
			return change;
	}
	return NULL;
}

/* Appends a change and completes the watches of its kind. */
static change_t *record_change(const char *kind, const char *name, json_t *spec,
			       int deleted)
{
	change_t *current = find_object(kind, name);
	change_t *change = calloc(1, sizeof(*change));
	watch_t *entry, *next;

	if (!change)
		abort();
	if (current)
		current->superseded = 1;
	change->kind = strdup(kind);
	change->name = strdup(name);
	change->spec = spec;
	change->deleted = deleted;
	change->recorded_us = g_get_monotonic_time();
	change->created_us =
		current ? current->created_us : g_get_monotonic_time();
	change->revision = ++revision;
	CK_STAILQ_INSERT_TAIL(&changes, change, link);
	CK_LIST_FOREACH_SAFE(entry, &watches, link, next) {
		if (!strcmp(entry->kind, kind) && !unavailable)
			finish_watch(entry);
	}
	return change;
}

static json_t *events_since(const char *kind, json_int_t since_revision)
{
	json_t *events = json_array();
	const change_t *change;

	CK_STAILQ_FOREACH(change, &changes, link) {
		if (change->revision > since_revision &&
		    !strcmp(change->kind, kind))
			json_array_append_new(
				events, json_pack("{s:b,s:o}", "deleted",
						  change->deleted, "object",
						  object_json(change)));
	}
	return events;
}

static json_t *object_json(const change_t *change)
{
	return json_pack("{s:{s:s,s:I,s:[],s:b},s:O,s:n}", "meta", "name",
			 change->name, "revision", change->revision,
			 "finalizers", "deleting", 0, "spec", change->spec,
			 "status");
}

static json_t *request_json(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(input);

	return length ? json_loadb((char *)evbuffer_pullup(input, -1), length,
				   0, NULL)
		      : NULL;
}

static json_int_t query_number(struct evkeyvalq *query, const char *name)
{
	const char *text = evhttp_find_header(query, name);

	return text ? strtoll(text, NULL, 10) : 0;
}

static void send_json(struct evhttp_request *request, int status, json_t *json)
{
	struct evbuffer *body = evbuffer_new();
	char *text = json_dumps(json, JSON_COMPACT);
	char era_text[16];

	evbuffer_add_printf(body, "%s", text);
	snprintf(era_text, sizeof(era_text), "%d", era);
	if (era)
		evhttp_add_header(evhttp_request_get_output_headers(request),
				  "Store-Era", era_text);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
	free(text);
	json_decref(json);
}
