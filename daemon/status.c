#include <ck_pr.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "control/controllers.h"
#include "control/recorded_primary.h"
#include "control/store_era.h"
#include "daemon/counter.h"
#include "daemon/log.h"
#include "daemon/status.h"
#include "daemon/status_usage.h"
#include "path/engine.h"

struct kl_status_server {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp *ready_http; /* server of the readiness probe, or NULL */
	kl_node_t *node;
};

static void on_metrics(struct evhttp_request *request, void *arg);
static void on_status(struct evhttp_request *request, void *arg);
static void add_feeds(struct evbuffer *body, kl_node_t *node);
static void add_groups(struct evbuffer *body, kl_node_t *node);
static void add_sync(struct evbuffer *body, const kl_node_t *node);
static void add_latencies(struct evbuffer *body);
static void add_priorities(struct evbuffer *body);
static double get_served(const kl_priority_counts_t *counts);
static double get_refused(const kl_priority_counts_t *counts);
static double get_queued_s(const kl_priority_counts_t *counts);
static void on_ready(struct evhttp_request *request, void *arg);
static json_t *node_to_json(kl_node_t *node);
static json_t *feeds_to_json(const kl_objects_t *objects);
static json_t *groups_to_json(const kl_terms_t *terms);
static json_t *upstreams_to_json(const kl_health_t *health, uint64_t now);
static json_t *buckets_to_json(const kl_buckets_t *buckets);
static void reply(struct evhttp_request *request, const char *type,
		  struct evbuffer *body);

kl_status_server_t *kl_status_server_new(struct event_base *base,
					 const char *host, uint16_t port,
					 kl_node_t *node)
{
	kl_status_server_t *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->node = node;
	server->base = base;
	server->http = evhttp_new(base);
	if (!server->http || evhttp_bind_socket(server->http, host, port)) {
		kl_log_event(
			"start_failed",
			"cannot listen on status_port; the daemon does not "
			"start");
		kl_status_server_free(server);
		return NULL;
	}
	evhttp_set_cb(server->http, "/metrics", on_metrics, server);
	evhttp_set_cb(server->http, "/status", on_status, server);
	return server;
}

int kl_status_serve_ready(kl_status_server_t *server, const char *host,
			  uint16_t port, const char *path)
{
	server->ready_http = evhttp_new(server->base);
	if (!server->ready_http ||
	    evhttp_bind_socket(server->ready_http, host, port)) {
		kl_log_event("start_failed",
			     "cannot listen on ready_port; the daemon does not "
			     "start");
		return -KL_E_UNAVAILABLE;
	}
	evhttp_set_cb(server->ready_http, path, on_ready, server);
	return 0;
}

/* Replies 200 if the VM is in the phase serving and knows the groups' terms. */
static void on_ready(struct evhttp_request *request, void *arg)
{
	kl_status_server_t *server = arg;
	const kl_lifecycle_t *lifecycle;
	bool ready;

	kl_read_begin(server->node->reader);
	lifecycle = kl_node_get(server->node, KL_SECTION_LIFECYCLE);
	ready = lifecycle && lifecycle->phase == KL_PHASE_SERVING &&
		kl_node_get(server->node, KL_SECTION_TERMS);
	kl_read_end(server->node->reader);
	evhttp_send_reply(request, ready ? 200 : 503, NULL, NULL);
}

void kl_status_server_free(kl_status_server_t *server)
{
	if (!server)
		return;
	if (server->ready_http)
		evhttp_free(server->ready_http);
	if (server->http)
		evhttp_free(server->http);
	free(server);
}

static void on_metrics(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evbuffer_new();
	kl_status_server_t *server = arg;

	for (int i = 0; i < KL_COUNTER_COUNT; i++)
		evbuffer_add_printf(body,
				    "# HELP %s %s\n# TYPE %s counter\n"
				    "%s %" PRIu64 "\n",
				    kl_counter_name(i), kl_counter_help(i),
				    kl_counter_name(i), kl_counter_name(i),
				    kl_counter_get(i));
	for (int i = 0; i < KL_GAUGE_COUNT; i++)
		evbuffer_add_printf(body,
				    "# HELP %s %s\n# TYPE %s gauge\n"
				    "%s %" PRIu64 "\n",
				    kl_gauge_name(i), kl_gauge_help(i),
				    kl_gauge_name(i), kl_gauge_name(i),
				    kl_gauge_get(i));
	add_latencies(body);
	add_priorities(body);
	add_feeds(body, server->node);
	add_groups(body, server->node);
	add_sync(body, server->node);
	kl_status_add_usage(body, server->node);
	reply(request, "text/plain; version=0.0.4", body);
}

/* The revision of each feed: a VM that is behind has a lower one. */
static void add_feeds(struct evbuffer *body, kl_node_t *node)
{
	const kl_objects_t *objects;

	evbuffer_add_printf(body,
			    "# HELP kl_feed_revision revision of the copy of a "
			    "feed\n# TYPE kl_feed_revision gauge\n");
	kl_read_begin(node->reader);
	objects = kl_node_get(node, KL_SECTION_OBJECTS);
	for (kl_feed_t feed = 0; objects && feed < KL_FEED_COUNT; feed++)
		evbuffer_add_printf(
			body, "kl_feed_revision{feed=\"%s\"} %" PRIu64 "\n",
			kl_feed_name(feed),
			kl_version_revision(objects->feed_revisions[feed]));
	kl_read_end(node->reader);
	evbuffer_add_printf(body,
			    "# HELP kl_feed_age_ms time since the copy of a "
			    "feed was last known to be current\n"
			    "# TYPE kl_feed_age_ms gauge\n");
	for (kl_feed_t feed = 0; feed < KL_FEED_COUNT; feed++)
		if (kl_feed_is_urgent(feed))
			evbuffer_add_printf(
				body,
				"kl_feed_age_ms{feed=\"%s\"} %" PRIu64 "\n",
				kl_feed_name(feed),
				(uint64_t)(kl_sync_feed_age_us(node, feed) /
					   KL_MS));
}

/* Groups that are served nothing that needs a primary. */
static void add_groups(struct evbuffer *body, kl_node_t *node)
{
	const kl_config_t *config;
	const kl_terms_t *terms;
	const kl_group_t *group;
	uint64_t count = 0;

	kl_read_begin(node->reader);
	config = kl_node_get(node, KL_SECTION_CONFIG);
	terms = kl_node_get(node, KL_SECTION_TERMS);
	if (terms) {
		CK_STAILQ_FOREACH(group, &terms->groups, link)
			count += !kl_primary_recorded(config, group);
	}
	kl_read_end(node->reader);
	evbuffer_add_printf(body,
			    "# HELP kl_groups_without_primary groups whose "
			    "record shows no primary that can be relied on\n"
			    "# TYPE kl_groups_without_primary gauge\n"
			    "kl_groups_without_primary %" PRIu64 "\n",
			    count);
}

/* What the sync controller counts: eras of the store, and what it refused. */
static void add_sync(struct evbuffer *body, const kl_node_t *node)
{
	evbuffer_add_printf(
		body,
		"# HELP kl_store_era newest era of the platform's store\n"
		"# TYPE kl_store_era gauge\n"
		"kl_store_era %" PRIu64 "\n"
		"# HELP kl_store_era_refused_total answers and messages of an "
		"older era\n"
		"# TYPE kl_store_era_refused_total counter\n"
		"kl_store_era_refused_total %" PRIu64 "\n"
		"# HELP kl_fetch_refused_total fetches from other VMs that "
		"were too large or made no sense\n"
		"# TYPE kl_fetch_refused_total counter\n"
		"kl_fetch_refused_total %" PRIu64 "\n"
		"# HELP kl_entries_skipped_total entries of the platform's "
		"store whose names are missing or too long\n"
		"# TYPE kl_entries_skipped_total counter\n"
		"kl_entries_skipped_total %" PRIu64 "\n",
		kl_sync_era(node), kl_sync_refused_era_count(node),
		kl_sync_refused_fetch_count(node), kl_sync_skipped_count(node));
}

/* One histogram for each kind of route and each way that statements end. */
static void add_latencies(struct evbuffer *body)
{
	static const char *const kinds[] = { "primary", "aged", "session" };
	static const char *const endings[] = { "served", "refused", "failed" };

	evbuffer_add_printf(body, "# HELP kl_statement_seconds time of a "
				  "statement in the proxy\n"
				  "# TYPE kl_statement_seconds histogram\n");
	for (uint32_t n = 0; n < KL_ROUTE_KIND_COUNT * KL_STMT_END_COUNT; n++) {
		uint32_t kind = n / KL_STMT_END_COUNT;
		uint32_t ending = n % KL_STMT_END_COUNT;
		uint64_t cumulative = 0;

		for (uint32_t i = 0; i < KL_LATENCY_BUCKETS; i++) {
			char bound[16] = "+Inf";

			cumulative += kl_latency_count(kind, ending, i);
			if (i < KL_LATENCY_BUCKETS - 1)
				snprintf(bound, sizeof(bound), "%g",
					 kl_latency_bounds_ms[i] / 1000.0);
			evbuffer_add_printf(
				body,
				"kl_statement_seconds_bucket{route=\"%s\","
				"end=\"%s\",le=\"%s\"} %" PRIu64 "\n",
				kinds[kind], endings[ending], bound,
				cumulative);
		}
		evbuffer_add_printf(
			body,
			"kl_statement_seconds_sum{route=\"%s\",end=\"%s\"} "
			"%g\nkl_statement_seconds_count{route=\"%s\","
			"end=\"%s\"} %" PRIu64 "\n",
			kinds[kind], endings[ending],
			kl_latency_sum_us(kind, ending) / 1e6, kinds[kind],
			endings[ending], cumulative);
	}
}

/* What became of the statements of each priority, and how long they waited. */
static void add_priorities(struct evbuffer *body)
{
	static const struct {
		const char *name;
		const char *help;
		double (*value)(const kl_priority_counts_t *counts);
	} rows[] = {
		{ "kl_priority_served_total", "statements that succeeded",
		  get_served },
		{ "kl_priority_refused_total", "statements that did not run",
		  get_refused },
		{ "kl_priority_queued_seconds_total",
		  "time that statements waited for connections", get_queued_s },
	};

	for (size_t row = 0; row < sizeof(rows) / sizeof(*rows); row++) {
		evbuffer_add_printf(body, "# HELP %s %s\n# TYPE %s counter\n",
				    rows[row].name, rows[row].help,
				    rows[row].name);
		for (uint32_t i = 0; i < KL_PRIORITY_LEVELS; i++) {
			kl_priority_counts_t counts;

			kl_priority_get(i, &counts);
			evbuffer_add_printf(body, "%s{priority=\"%u\"} %.15g\n",
					    rows[row].name, i,
					    rows[row].value(&counts));
		}
	}
}

static double get_served(const kl_priority_counts_t *counts)
{
	return (double)counts->served;
}

static double get_refused(const kl_priority_counts_t *counts)
{
	return (double)counts->refused;
}

static double get_queued_s(const kl_priority_counts_t *counts)
{
	return (double)counts->queued_us / 1e6;
}

static void on_status(struct evhttp_request *request, void *arg)
{
	kl_status_server_t *server = arg;
	struct evbuffer *body = evbuffer_new();
	json_t *json;
	char *text;

	kl_read_begin(server->node->reader);
	json = node_to_json(server->node);
	kl_read_end(server->node->reader);
	text = json_dumps(json, JSON_INDENT(2));
	json_decref(json);
	if (text)
		evbuffer_add_printf(body, "%s\n", text);
	free(text);
	reply(request, "application/json", body);
}

static json_t *node_to_json(kl_node_t *node)
{
	static const char *const phases[KL_PHASE_COUNT] = {
		[KL_PHASE_STARTING] = "starting",
		[KL_PHASE_SERVING] = "serving",
		[KL_PHASE_DRAINING] = "draining",
	};
	const kl_lifecycle_t *lifecycle =
		kl_node_get(node, KL_SECTION_LIFECYCLE);
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_confirmation_t *confirmation =
		kl_node_get(node, KL_SECTION_CONFIRMATION);
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);

	return json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:i,s:i,s:b,s:o,s:o,s:o,s:o}",
		"vm", node->self.vm, "domain", node->self.domain, "phase",
		lifecycle ? phases[lifecycle->phase] : "starting", "revision",
		(json_int_t)(config ? config->revision : 0), "confirmed_age_us",
		(json_int_t)(confirmation ? now - confirmation->confirmed_us
					  : 0),
		"documents_refused",
		config ? (int)config->refused_document_count : 0, "members",
		members ? (int)members->count : 0, "live",
		members ? (int)members->active_count : 0, "slots",
		(int)kl_share_owned_slot_count(node), "watcher",
		members && members->is_watcher, "feeds",
		feeds_to_json(kl_node_get(node, KL_SECTION_OBJECTS)), "groups",
		groups_to_json(kl_node_get(node, KL_SECTION_TERMS)),
		"upstreams",
		upstreams_to_json(kl_node_get(node, KL_SECTION_HEALTH), now),
		"workspaces",
		buckets_to_json(kl_node_get(node, KL_SECTION_BUCKETS)));
}

/* The revisions of the feeds, which are equal on VMs with equal copies. */
static json_t *feeds_to_json(const kl_objects_t *objects)
{
	json_t *feeds = json_object();

	for (kl_feed_t feed = 0; objects && feed < KL_FEED_COUNT; feed++)
		json_object_set_new(
			feeds, kl_feed_name(feed),
			json_integer((json_int_t)kl_version_revision(
				objects->feed_revisions[feed])));
	return feeds;
}

static json_t *groups_to_json(const kl_terms_t *terms)
{
	static const char *const states[KL_GROUP_STATE_COUNT] = {
		[KL_GROUP_STABLE] = "stable",
		[KL_GROUP_FENCING] = "fencing",
		[KL_GROUP_PROMOTING] = "promoting",
	};
	json_t *list = json_array();
	const kl_group_t *group;

	if (!terms)
		return list;
	CK_STAILQ_FOREACH(group, &terms->groups, link)
		json_array_append_new(list,
				      json_pack("{s:s,s:I,s:s,s:s,s:s}",
						"service", group->name.name,
						"term", (json_int_t)group->term,
						"state", states[group->state],
						"primary", group->primary,
						"promoter", group->promoter));
	return list;
}

static json_t *upstreams_to_json(const kl_health_t *health, uint64_t now)
{
	json_t *list = json_array();
	const kl_observation_t *entry;

	if (!health)
		return list;
	CK_STAILQ_FOREACH(entry, &health->list, link)
		json_array_append_new(
			list,
			json_pack(
				"{s:s,s:b,s:I,s:I,s:I,s:b}", "upstream",
				entry->name.name, "primary",
				entry->reported_primary, "term",
				(json_int_t)entry->term, "position",
				(json_int_t)entry->position, "data_age_us",
				(json_int_t)(entry->caught_up_until_us
						     ? now - entry->caught_up_until_us
						     : 0),
				"failing", entry->failing_since_us != 0));
	return list;
}

static json_t *buckets_to_json(const kl_buckets_t *buckets)
{
	json_t *list = json_array();

	for (uint32_t i = 0; buckets && i < buckets->count; i++) {
		kl_bucket_t *bucket = buckets->buckets[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:I,s:I,s:I}", "workspace",
				  bucket->name.name, "tokens_milli",
				  (json_int_t)ck_pr_load_64(
					  (uint64_t *)&bucket->tokens_milli),
				  "asked",
				  (json_int_t)ck_pr_load_64(
					  &bucket->arrived_statements),
				  "refused",
				  (json_int_t)ck_pr_load_64(
					  &bucket->refused_statements),
				  "sessions",
				  (json_int_t)ck_pr_load_64(
					  &bucket->open_sessions),
				  "session_cap",
				  (json_int_t)ck_pr_load_64(
					  &bucket->max_sessions)));
	}
	return list;
}

static void reply(struct evhttp_request *request, const char *type,
		  struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", type);
	evhttp_send_reply(request, 200, "OK", body);
	evbuffer_free(body);
}
