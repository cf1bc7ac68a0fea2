/*
 * Config controller: builds the configuration from the documents among the
 * platform's objects.  An invalid document is refused as a whole, and its last
 * valid version stays in force.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/document.h"
#include "control/document_check.h"
#include "control/store_era.h"

/* An object with a document, and its last valid version. */
typedef struct document_object {
	kl_named_t name;
	CK_STAILQ_ENTRY(document_object) link;
	uint64_t version;	/* of the object */
	char *body;		/* of the newest version */
	bool newest_is_invalid; /* the newest version is refused */
	json_t *valid_json;	/* the last valid version, or NULL */
	uint64_t valid_version; /* of the object that it is from */
	bool leaving;		/* it says "leaving" */
	/* It says so since no earlier than this; 0: not known. */
	uint64_t leaving_after_us;
} document_object_t;

/* State of the config controller. */
typedef struct config_state {
	CK_STAILQ_HEAD(, document_object) documents;
	kl_index_t *index;
} config_state_t;

static bool plan_is_valid(json_t *json);
static bool workspace_is_valid(json_t *json);
static bool service_is_valid(json_t *json);
static bool mark_is_valid(json_t *json);
static void add_plan(kl_config_t *config, const kl_document_t *document);
static void add_workspace(kl_config_t *config, const kl_document_t *document);
static void add_service(kl_config_t *config, const kl_document_t *document);
static void add_mark(kl_config_t *config, const kl_document_t *document);
static const kl_document_kind_t *find_kind(const char *name);
static void update_document(kl_node_t *node, config_state_t *state,
			    const kl_object_t *object,
			    const kl_document_kind_t *kind);
static void update_leaving(document_object_t *document, json_t *json,
			   uint64_t changed_after_us,
			   const kl_document_kind_t *kind);
static kl_config_t *build_config(config_state_t *state, uint64_t revision);
static void add_document(kl_config_t *config, const kl_document_kind_t *kind,
			 const document_object_t *object);
static void log_leaving(kl_node_t *node, const kl_config_t *config,
			const kl_config_t *old_config);
static void log_leaving_upstream(kl_node_t *node, const kl_upstream_t *upstream,
				 const kl_upstream_t *old_upstream);

/*
 * In the order of building: workspaces refer to plans, upstreams to services
 * and marks.
 */
static const kl_document_kind_t document_kinds[] = {
	{ "plan/", plan_is_valid, add_plan, false },
	{ "workspace/", workspace_is_valid, add_workspace, false },
	{ "mark/", mark_is_valid, add_mark, false },
	{ "service/", service_is_valid, add_service, false },
	{ "upstream/", kl_upstream_document_is_valid, kl_upstream_document_add,
	  true },
	{ "capacity/", kl_capacity_document_is_valid, kl_capacity_document_add,
	  false },
	{ "replication/", kl_replication_document_is_valid,
	  kl_replication_document_add, false },
	{ "route/", kl_route_document_is_valid, kl_route_document_add, false },
	{ "limit/", kl_limit_document_is_valid, kl_limit_document_add, false },
};

#define KIND_COUNT (sizeof(document_kinds) / sizeof(document_kinds[0]))

int kl_config_create(kl_node_t *node)
{
	config_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->documents);
	state->index = kl_index_new(64);
	node->state[KL_CONTROLLER_CONFIG] = state;
	return 0;
}

void kl_config_destroy(kl_node_t *node)
{
	config_state_t *state = node->state[KL_CONTROLLER_CONFIG];
	document_object_t *document, *next;

	CK_STAILQ_FOREACH_SAFE(document, &state->documents, link, next) {
		json_decref(document->valid_json);
		free(document->body);
		free(document);
	}
	kl_index_free(state->index);
	free(state);
}

void kl_config_step(kl_node_t *node, const kl_event_t *event)
{
	config_state_t *state = node->state[KL_CONTROLLER_CONFIG];
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_object_t *object;
	kl_config_t *config;
	(void)event;

	/* Other feeds may be there first; they name no route and no key. */
	if (node->tuning.feed_count > 1 &&
	    !objects->feed_revisions[KL_FEED_CONFIG])
		return;
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		const kl_document_kind_t *kind = find_kind(object->name.name);

		if (kind)
			update_document(node, state, object, kind);
	}
	config = build_config(state, objects->revision);
	if (!config)
		return;
	config->version =
		kl_version_revision(objects->feed_revisions[KL_FEED_CONFIG]);
	log_leaving(node, config, kl_node_get(node, KL_SECTION_CONFIG));
	kl_node_publish(node, KL_SECTION_CONFIG, &config->base);
}

static void log_leaving(kl_node_t *node, const kl_config_t *config,
			const kl_config_t *old_config)
{
	const kl_service_t *service, *old_service;
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(service, &config->services, link) {
		old_service = old_config
				      ? kl_index_get(old_config->service_index,
						     service->name.name)
				      : NULL;
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link)
			log_leaving_upstream(
				node, upstream,
				old_service ? kl_service_find_upstream(
						      old_service,
						      upstream->name.name)
					    : NULL);
	}
}

/* The age is an upper bound; without one it isn't known. */
static void log_leaving_upstream(kl_node_t *node, const kl_upstream_t *upstream,
				 const kl_upstream_t *old_upstream)
{
	bool was_leaving = old_upstream && old_upstream->leaving;
	kl_decision_t decision = { .name = upstream->leaving
						   ? "upstream_leaves"
						   : "upstream_returns",
				   .service = upstream->service->name.name,
				   .upstream = upstream->name.name,
				   .reason = upstream->domain };

	if (upstream->leaving == was_leaving)
		return;
	if (upstream->leaving && upstream->leaving_after_us)
		decision.age_us =
			kl_node_now(node) - upstream->leaving_after_us;
	node->ops->log_decision(node->ops_context, &decision);
}

bool kl_document_check(const char *name, const char *body)
{
	const kl_document_kind_t *kind = find_kind(name);
	json_t *json = json_loads(body, JSON_DECODE_ANY, NULL);
	bool valid =
		json && (json_is_null(json) || (kind && kind->is_valid(json)));

	json_decref(json);
	return valid;
}

static void update_document(kl_node_t *node, config_state_t *state,
			    const kl_object_t *object,
			    const kl_document_kind_t *kind)
{
	document_object_t *document =
		kl_index_get(state->index, object->name.name);
	json_t *json;

	if (document && document->version == object->version)
		return;
	if (!document) {
		document = calloc(1, sizeof(*document));
		if (!document)
			return;
		document->name = object->name;
		CK_STAILQ_INSERT_TAIL(&state->documents, document, link);
		kl_index_put(state->index, &document->name);
	}
	document->version = object->version;
	if (document->body && !strcmp(document->body, object->body)) {
		if (!document->newest_is_invalid)
			document->valid_version = object->version;
		return;
	}
	free(document->body);
	document->body = strdup(object->body);
	json = json_loads(object->body, JSON_DECODE_ANY, NULL);
	document->newest_is_invalid =
		!json || !(json_is_null(json) || kind->is_valid(json));
	if (document->newest_is_invalid) {
		kl_decision_t refused = { .name = "document_refused",
					  .reason = object->name.name,
					  .position = kl_version_revision(
						  object->version) };

		node->ops->log_decision(node->ops_context, &refused);
		json_decref(json);
		return;
	}
	update_leaving(document, json, object->changed_after_us, kind);
	json_decref(document->valid_json);
	document->valid_json = json;
	document->valid_version = object->version;
}

/*
 * Keeps the time at which the document began to say "leaving": later versions
 * that still say so make it no younger, nor does an entry that was lost for a
 * while.
 */
static void update_leaving(document_object_t *document, json_t *json,
			   uint64_t changed_after_us,
			   const kl_document_kind_t *kind)
{
	bool leaving = json_is_true(json_object_get(json, "leaving"));

	if (json_is_null(json) && kind->may_lapse)
		return;
	if (leaving && !document->leaving)
		document->leaving_after_us = changed_after_us;
	document->leaving = leaving;
}

static kl_config_t *build_config(config_state_t *state, uint64_t revision)
{
	size_t count = 0;
	document_object_t *document;
	kl_config_t *config;

	CK_STAILQ_FOREACH(document, &state->documents, link)
		count++;
	config = kl_config_new(count);
	if (!config)
		return NULL;
	config->revision = revision;
	for (size_t i = 0; i < KIND_COUNT; i++) {
		size_t length = strlen(document_kinds[i].prefix);

		CK_STAILQ_FOREACH(document, &state->documents, link) {
			const char *name = document->name.name;

			if (strncmp(name, document_kinds[i].prefix, length))
				continue;
			config->refused_document_count +=
				document->newest_is_invalid;
			if (document->valid_json &&
			    !json_is_null(document->valid_json))
				add_document(config, &document_kinds[i],
					     document);
		}
	}
	return config;
}

static void add_document(kl_config_t *config, const kl_document_kind_t *kind,
			 const document_object_t *object)
{
	kl_document_t document = {
		.name = object->name.name + strlen(kind->prefix),
		.json = object->valid_json,
		.version = object->valid_version,
		.leaving_after_us = object->leaving_after_us
	};

	kind->add(config, &document);
}

static const kl_document_kind_t *find_kind(const char *name)
{
	for (size_t i = 0; i < KIND_COUNT; i++)
		if (!strncmp(name, document_kinds[i].prefix,
			     strlen(document_kinds[i].prefix)))
			return &document_kinds[i];
	return NULL;
}

static bool plan_is_valid(json_t *json)
{
	json_int_t connections, rate, burst;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:I,s:I,s:I}",
			       "connections", &connections, "rate", &rate,
			       "burst", &burst) &&
	       connections >= 0 && connections <= 10000000 && rate >= 0 &&
	       rate <= 100000000 && burst >= 0 && burst <= 100000000;
}

static bool workspace_is_valid(json_t *json)
{
	const char *plan, *id, *hash;
	json_t *keys, *key;
	size_t i;
	int withdrawn;

	if (json_unpack_ex(json, NULL, JSON_STRICT, "{s:s,s:o}", "plan", &plan,
			   "keys", &keys) ||
	    strlen(plan) >= KL_NAME_MAX || !json_is_array(keys))
		return false;
	json_array_foreach(keys, i, key) {
		if (json_unpack_ex(key, NULL, JSON_STRICT, "{s:s,s:s,s:b}",
				   "id", &id, "hash", &hash, "withdrawn",
				   &withdrawn) ||
		    strlen(id) >= KL_NAME_MAX || !*id ||
		    strlen(hash) != 2 * KL_KEY_HASH_BYTES)
			return false;
	}
	return true;
}

static bool service_is_valid(json_t *json)
{
	json_t *upstreams, *upstream;
	const char *anonymous_workspace = NULL, *name, *host, *domain;
	int connections, port;
	size_t i;

	if (json_unpack_ex(json, NULL, JSON_STRICT, "{s:o,s:i,s?s}",
			   "upstreams", &upstreams, "connections", &connections,
			   "open", &anonymous_workspace) ||
	    !json_is_array(upstreams) || connections < 1 ||
	    (anonymous_workspace && strlen(anonymous_workspace) >= KL_NAME_MAX))
		return false;
	json_array_foreach(upstreams, i, upstream) {
		if (json_unpack_ex(upstream, NULL, JSON_STRICT,
				   "{s:s,s:s,s:i,s:s}", "name", &name, "host",
				   &host, "port", &port, "domain", &domain) ||
		    !*name || strlen(name) >= KL_NAME_MAX / 2 ||
		    strlen(host) >= KL_HOST_MAX ||
		    strlen(domain) >= KL_NAME_MAX || port < 1 || port > 65535)
			return false;
	}
	return true;
}

static bool mark_is_valid(json_t *json)
{
	int leaving;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:b}", "leaving",
			       &leaving);
}

static void add_plan(kl_config_t *config, const kl_document_t *document)
{
	kl_plan_t *plan = calloc(1, sizeof(*plan));
	json_int_t connections, rate, burst;

	if (!plan)
		return;
	json_unpack(document->json, "{s:I,s:I,s:I}", "connections",
		    &connections, "rate", &rate, "burst", &burst);
	kl_name_copy(plan->name.name, document->name);
	plan->max_connections = (uint32_t)connections;
	plan->rate = (uint64_t)rate;
	plan->burst = (uint64_t)burst;
	CK_STAILQ_INSERT_TAIL(&config->plans, plan, link);
	kl_index_put(config->plan_index, &plan->name);
}

static void add_workspace(kl_config_t *config, const kl_document_t *document)
{
	kl_workspace_t *workspace = calloc(1, sizeof(*workspace));
	const char *plan, *id, *hash;
	json_t *keys, *entry;
	size_t i;
	int withdrawn;

	if (!workspace)
		return;
	json_unpack(document->json, "{s:s,s:o}", "plan", &plan, "keys", &keys);
	kl_name_copy(workspace->name.name, document->name);
	workspace->plan = kl_index_get(config->plan_index, plan);
	CK_STAILQ_INIT(&workspace->keys);
	CK_STAILQ_INSERT_TAIL(&config->workspaces, workspace, link);
	kl_index_put(config->workspace_index, &workspace->name);
	json_array_foreach(keys, i, entry) {
		kl_key_t *key = calloc(1, sizeof(*key));

		if (!key)
			return;
		json_unpack(entry, "{s:s,s:s,s:b}", "id", &id, "hash", &hash,
			    "withdrawn", &withdrawn);
		kl_name_copy(key->hash.name, hash);
		kl_name_copy(key->id, id);
		key->withdrawn = withdrawn;
		key->workspace = workspace;
		CK_STAILQ_INSERT_TAIL(&workspace->keys, key, link);
		CK_STAILQ_INSERT_TAIL(&config->keys, key, config_link);
		kl_index_put(config->key_index, &key->hash);
	}
}

static void add_service(kl_config_t *config, const kl_document_t *document)
{
	kl_service_t *service = calloc(1, sizeof(*service));
	const char *anonymous_workspace = NULL, *upstream_name, *host, *domain;
	json_t *upstreams, *entry;
	size_t i;
	int connections, port;

	if (!service)
		return;
	json_unpack(document->json, "{s:o,s:i,s?s}", "upstreams", &upstreams,
		    "connections", &connections, "open", &anonymous_workspace);
	kl_name_copy(service->name.name, document->name);
	CK_STAILQ_INIT(&service->upstreams);
	service->max_upstream_connections = (uint32_t)connections;
	service->anonymous = anonymous_workspace != NULL;
	if (anonymous_workspace)
		kl_name_copy(service->anonymous_workspace, anonymous_workspace);
	json_array_foreach(upstreams, i, entry) {
		kl_upstream_t *upstream = calloc(1, sizeof(*upstream));

		if (!upstream)
			break;
		json_unpack(entry, "{s:s,s:s,s:i,s:s}", "name", &upstream_name,
			    "host", &host, "port", &port, "domain", &domain);
		kl_name_copy(upstream->name.name, upstream_name);
		memcpy(upstream->host, host, strlen(host) + 1);
		kl_name_copy(upstream->domain, domain);
		upstream->port = (uint16_t)port;
		upstream->service = service;
		upstream->leaving =
			kl_config_upstream_marked(config, upstream_name, domain,
						  &upstream->leaving_after_us);
		service->upstream_count++;
		CK_STAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
	}
	CK_STAILQ_INSERT_TAIL(&config->services, service, link);
	kl_index_put(config->service_index, &service->name);
}

static void add_mark(kl_config_t *config, const kl_document_t *document)
{
	kl_mark_t *mark;
	int leaving;

	json_unpack(document->json, "{s:b}", "leaving", &leaving);
	if (!leaving)
		return;
	mark = calloc(1, sizeof(*mark));
	if (!mark)
		return;
	kl_name_copy(mark->name.name, document->name);
	mark->set_after_us = document->leaving_after_us;
	CK_STAILQ_INSERT_TAIL(&config->marks, mark, link);
	kl_index_put(config->mark_index, &mark->name);
}
