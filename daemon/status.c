#include <ck_pr.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "control/controllers.h"
#include "daemon/counter.h"
#include "daemon/log.h"
#include "daemon/status.h"
#include "path/engine.h"

struct kl_status_server {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp *ready; /* on an address of its own, or NULL */
	kl_node_t *node;
};

static void on_metrics(struct evhttp_request *request, void *arg);
static void on_status(struct evhttp_request *request, void *arg);
static void add_latencies(struct evbuffer *body);
static void on_ready(struct evhttp_request *request, void *arg);
static json_t *describe(kl_node_t *node);
static json_t *describe_groups(const kl_terms_t *terms);
static json_t *describe_upstreams(const kl_health_t *health, uint64_t now);
static json_t *describe_buckets(const kl_buckets_t *shares);
static void reply(struct evhttp_request *request, const char *type,
		  struct evbuffer *body);

kl_status_server_t *kl_status_server_new(struct event_base *base,
					 const char *host, uint16_t port,
					 kl_node_t *node)
{
	kl_status_server_t *status = calloc(1, sizeof(*status));

	if (!status)
		return NULL;
	status->node = node;
	status->base = base;
	status->http = evhttp_new(base);
	if (!status->http || evhttp_bind_socket(status->http, host, port)) {
		kl_log_event("start_failed", "the status port is not free");
		kl_status_server_free(status);
		return NULL;
	}
	evhttp_set_cb(status->http, "/metrics", on_metrics, status);
	evhttp_set_cb(status->http, "/status", on_status, status);
	return status;
}

int kl_status_serve_ready(kl_status_server_t *status, const char *host,
			  uint16_t port, const char *path)
{
	status->ready = evhttp_new(status->base);
	if (!status->ready || evhttp_bind_socket(status->ready, host, port)) {
		kl_log_event("start_failed", "the ready port is not free");
		return -KL_E_UNAVAILABLE;
	}
	evhttp_set_cb(status->ready, path, on_ready, status);
	return 0;
}

/* Ready for requests: configured, holding its part of the plans, staying. */
static void on_ready(struct evhttp_request *request, void *arg)
{
	kl_status_server_t *status = arg;
	const kl_lifecycle_t *life;
	bool ready;

	kl_read_begin(status->node->reader);
	life = kl_node_get(status->node, KL_SECTION_LIFECYCLE);
	ready = life && life->phase == KL_PHASE_SERVING &&
		kl_node_get(status->node, KL_SECTION_TERMS);
	kl_read_end(status->node->reader);
	evhttp_send_reply(request, ready ? 200 : 503, NULL, NULL);
}

void kl_status_server_free(kl_status_server_t *status)
{
	if (!status)
		return;
	if (status->ready)
		evhttp_free(status->ready);
	if (status->http)
		evhttp_free(status->http);
	free(status);
}

static void on_metrics(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evbuffer_new();
	(void)arg;

	for (int i = 0; i < KL_COUNTER_COUNT; i++)
		evbuffer_add_printf(body,
				    "# HELP %s %s\n# TYPE %s counter\n"
				    "%s %" PRIu64 "\n",
				    kl_counter_name(i), kl_counter_help(i),
				    kl_counter_name(i), kl_counter_name(i),
				    kl_counter_get(i));
	add_latencies(body);
	reply(request, "text/plain; version=0.0.4", body);
}

/* A histogram for each kind of route and each end of its statements. */
static void add_latencies(struct evbuffer *body)
{
	static const char *const kinds[] = { "primary", "aged", "session" };
	static const char *const ends[] = { "served", "refused", "failed" };

	evbuffer_add_printf(body, "# HELP kl_statement_seconds time of a "
				  "statement in the proxy\n"
				  "# TYPE kl_statement_seconds histogram\n");
	for (uint32_t n = 0; n < KL_ROUTE_KIND_COUNT * KL_STMT_END_COUNT; n++) {
		uint32_t k = n / KL_STMT_END_COUNT, e = n % KL_STMT_END_COUNT;
		uint64_t sum = 0;

		for (uint32_t i = 0; i < KL_LATENCY_BUCKETS; i++) {
			char end[16] = "+Inf";

			sum += kl_latency_count(k, e, i);
			if (i < KL_LATENCY_BUCKETS - 1)
				snprintf(end, sizeof(end), "%g",
					 kl_latency_bounds_ms[i] / 1000.0);
			evbuffer_add_printf(
				body,
				"kl_statement_seconds_bucket{route=\"%s\","
				"end=\"%s\",le=\"%s\"} %" PRIu64 "\n",
				kinds[k], ends[e], end, sum);
		}
		evbuffer_add_printf(
			body,
			"kl_statement_seconds_sum{route=\"%s\",end=\"%s\"} "
			"%g\nkl_statement_seconds_count{route=\"%s\","
			"end=\"%s\"} %" PRIu64 "\n",
			kinds[k], ends[e], kl_latency_sum_us(k, e) / 1e6,
			kinds[k], ends[e], sum);
	}
}

static void on_status(struct evhttp_request *request, void *arg)
{
	kl_status_server_t *status = arg;
	struct evbuffer *body = evbuffer_new();
	json_t *json;
	char *text;

	kl_read_begin(status->node->reader);
	json = describe(status->node);
	kl_read_end(status->node->reader);
	text = json_dumps(json, JSON_INDENT(2));
	json_decref(json);
	if (text)
		evbuffer_add_printf(body, "%s\n", text);
	free(text);
	reply(request, "application/json", body);
}

static json_t *describe(kl_node_t *node)
{
	static const char *const phases[KL_PHASE_COUNT] = {
		[KL_PHASE_STARTING] = "starting",
		[KL_PHASE_SERVING] = "serving",
		[KL_PHASE_DRAINING] = "draining",
	};
	const kl_lifecycle_t *life = kl_node_get(node, KL_SECTION_LIFECYCLE);
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_confirmation_t *fresh =
		kl_node_get(node, KL_SECTION_CONFIRMATION);
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);

	return json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:i,s:i,s:b,s:o,s:o,s:o}", "vm",
		node->self.vm, "domain", node->self.domain, "phase",
		life ? phases[life->phase] : "starting", "revision",
		(json_int_t)(config ? config->revision : 0), "confirmed_age_us",
		(json_int_t)(fresh ? now - fresh->confirmed_us : 0),
		"documents_refused",
		config ? (int)config->refused_documents : 0, "members",
		members ? (int)members->count : 0, "live",
		members ? (int)members->active_count : 0, "slots",
		(int)kl_share_slots_owned(node), "watcher",
		members && members->watcher, "groups",
		describe_groups(kl_node_get(node, KL_SECTION_TERMS)),
		"upstreams",
		describe_upstreams(kl_node_get(node, KL_SECTION_HEALTH), now),
		"workspaces",
		describe_buckets(kl_node_get(node, KL_SECTION_BUCKETS)));
}

static json_t *describe_groups(const kl_terms_t *terms)
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

static json_t *describe_upstreams(const kl_health_t *health, uint64_t now)
{
	json_t *list = json_array();
	const kl_observation_t *seen;

	if (!health)
		return list;
	CK_STAILQ_FOREACH(seen, &health->list, link)
		json_array_append_new(
			list,
			json_pack(
				"{s:s,s:b,s:I,s:I,s:I,s:b}", "upstream",
				seen->name.name, "primary", seen->primary,
				"term", (json_int_t)seen->term, "position",
				(json_int_t)seen->position, "data_age_us",
				(json_int_t)(seen->caught_up_us
						     ? now - seen->caught_up_us
						     : 0),
				"failing", seen->failing_since_us != 0));
	return list;
}

static json_t *describe_buckets(const kl_buckets_t *shares)
{
	json_t *list = json_array();

	for (uint32_t i = 0; shares && i < shares->count; i++) {
		kl_bucket_t *bucket = shares->buckets[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:I,s:I,s:I}", "workspace",
				  bucket->name.name, "tokens_milli",
				  (json_int_t)ck_pr_load_64(
					  (uint64_t *)&bucket->tokens_milli),
				  "asked",
				  (json_int_t)ck_pr_load_64(&bucket->arrived),
				  "refused",
				  (json_int_t)ck_pr_load_64(&bucket->refused),
				  "sessions",
				  (json_int_t)ck_pr_load_64(&bucket->sessions),
				  "session_cap",
				  (json_int_t)ck_pr_load_64(
					  &bucket->session_cap)));
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
