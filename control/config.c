/*
 * Derives the configuration from the platform's objects.  A bad document is
 * refused as a whole and its last good form stays in force.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/document.h"
#include "control/document_check.h"

typedef struct document {
	kl_named_t name;
	CK_STAILQ_ENTRY(document) link;
	uint64_t version;
	char *body; /* as it was last taken in */
	bool bad;
	json_t *good;
} document_t;

typedef struct config_state {
	CK_STAILQ_HEAD(, document) documents;
	kl_index_t *index;
} config_state_t;

static bool check_plan(json_t *json);
static bool check_workspace(json_t *json);
static bool check_service(json_t *json);
static bool check_mark(json_t *json);
static void build_plan(kl_config_t *config, const char *name, json_t *json);
static void build_workspace(kl_config_t *config, const char *name,
			    json_t *json);
static void build_service(kl_config_t *config, const char *name, json_t *json);
static void build_mark(kl_config_t *config, const char *name, json_t *json);
static const kl_document_kind_t *kind_of(const char *name);
static void take_document(kl_node_t *node, config_state_t *state,
			  const kl_object_t *object,
			  const kl_document_kind_t *kind);
static kl_config_t *build(config_state_t *state, uint64_t revision);

/* In the order of building: workspaces name plans, marks touch upstreams. */
static const kl_document_kind_t kinds[] = {
	{ "plan/", check_plan, build_plan },
	{ "workspace/", check_workspace, build_workspace },
	{ "mark/", check_mark, build_mark },
	{ "service/", check_service, build_service },
	{ "upstream/", kl_upstream_check, kl_upstream_build },
	{ "route/", kl_route_check, kl_route_build },
	{ "limit/", kl_limit_check, kl_limit_build },
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

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
	document_t *document, *next;

	CK_STAILQ_FOREACH_SAFE(document, &state->documents, link, next) {
		json_decref(document->good);
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

	CK_STAILQ_FOREACH(object, &objects->list, link) {
		const kl_document_kind_t *kind = kind_of(object->name.name);

		if (kind)
			take_document(node, state, object, kind);
	}
	config = build(state, objects->revision);
	if (config)
		kl_node_publish(node, KL_SECTION_CONFIG, &config->base);
}

bool kl_document_check(const char *name, const char *body)
{
	const kl_document_kind_t *kind = kind_of(name);
	json_t *json = json_loads(body, JSON_DECODE_ANY, NULL);
	bool good =
		json && (json_is_null(json) || (kind && kind->is_valid(json)));

	json_decref(json);
	return good;
}

static void take_document(kl_node_t *node, config_state_t *state,
			  const kl_object_t *object,
			  const kl_document_kind_t *kind)
{
	document_t *document = kl_index_get(state->index, object->name.name);
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
	if (document->body && !strcmp(document->body, object->body))
		return;
	free(document->body);
	document->body = strdup(object->body);
	json = json_loads(object->body, JSON_DECODE_ANY, NULL);
	document->bad = !json || !(json_is_null(json) || kind->is_valid(json));
	if (document->bad) {
		kl_decision_t refused = { .name = "document_refused",
					  .reason = object->name.name,
					  .position = object->version };

		node->ops->log_decision(node->ops_context, &refused);
		json_decref(json);
		return;
	}
	json_decref(document->good);
	document->good = json;
}

static kl_config_t *build(config_state_t *state, uint64_t revision)
{
	size_t count = 0;
	document_t *document;
	kl_config_t *config;

	CK_STAILQ_FOREACH(document, &state->documents, link)
		count++;
	config = kl_config_new(count);
	if (!config)
		return NULL;
	config->revision = revision;
	for (size_t i = 0; i < KINDS; i++) {
		size_t length = strlen(kinds[i].prefix);

		CK_STAILQ_FOREACH(document, &state->documents, link) {
			const char *name = document->name.name;

			if (strncmp(name, kinds[i].prefix, length))
				continue;
			config->refused_documents += document->bad;
			if (document->good && !json_is_null(document->good))
				kinds[i].add(config, name + length,
					     document->good);
		}
	}
	return config;
}

static const kl_document_kind_t *kind_of(const char *name)
{
	for (size_t i = 0; i < KINDS; i++)
		if (!strncmp(name, kinds[i].prefix, strlen(kinds[i].prefix)))
			return &kinds[i];
	return NULL;
}

static bool check_plan(json_t *json)
{
	json_int_t connections, rate, burst;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:I,s:I,s:I}",
			       "connections", &connections, "rate", &rate,
			       "burst", &burst) &&
	       connections >= 0 && connections <= 10000000 && rate >= 0 &&
	       rate <= 100000000 && burst >= 0 && burst <= 100000000;
}

static bool check_workspace(json_t *json)
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

static bool check_service(json_t *json)
{
	json_t *upstreams, *upstream;
	const char *open = NULL, *name, *host, *domain;
	int connections, port;
	size_t i;

	if (json_unpack_ex(json, NULL, JSON_STRICT, "{s:o,s:i,s?s}",
			   "upstreams", &upstreams, "connections", &connections,
			   "open", &open) ||
	    !json_is_array(upstreams) || connections < 1 ||
	    (open && strlen(open) >= KL_NAME_MAX))
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

static bool check_mark(json_t *json)
{
	int leaving;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:b}", "leaving",
			       &leaving);
}

static void build_plan(kl_config_t *config, const char *name, json_t *json)
{
	kl_plan_t *plan = calloc(1, sizeof(*plan));
	json_int_t connections, rate, burst;

	if (!plan)
		return;
	json_unpack(json, "{s:I,s:I,s:I}", "connections", &connections, "rate",
		    &rate, "burst", &burst);
	kl_name_set(plan->name.name, name);
	plan->max_connections = (uint32_t)connections;
	plan->rate = (uint64_t)rate;
	plan->burst = (uint64_t)burst;
	CK_STAILQ_INSERT_TAIL(&config->plans, plan, link);
	kl_index_put(config->plan_index, &plan->name);
}

static void build_workspace(kl_config_t *config, const char *name, json_t *json)
{
	kl_workspace_t *workspace = calloc(1, sizeof(*workspace));
	const char *plan, *id, *hash;
	json_t *keys, *entry;
	size_t i;
	int withdrawn;

	if (!workspace)
		return;
	json_unpack(json, "{s:s,s:o}", "plan", &plan, "keys", &keys);
	kl_name_set(workspace->name.name, name);
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
		kl_name_set(key->hash.name, hash);
		kl_name_set(key->id, id);
		key->withdrawn = withdrawn;
		key->workspace = workspace;
		CK_STAILQ_INSERT_TAIL(&workspace->keys, key, link);
		CK_STAILQ_INSERT_TAIL(&config->keys, key, config_link);
		kl_index_put(config->key_index, &key->hash);
	}
}

static void build_service(kl_config_t *config, const char *name, json_t *json)
{
	kl_service_t *service = calloc(1, sizeof(*service));
	const char *open = NULL, *text, *host, *domain;
	json_t *upstreams, *entry;
	size_t i;
	int connections, port;

	if (!service)
		return;
	json_unpack(json, "{s:o,s:i,s?s}", "upstreams", &upstreams,
		    "connections", &connections, "open", &open);
	kl_name_set(service->name.name, name);
	CK_STAILQ_INIT(&service->upstreams);
	service->upstream_connections = (uint32_t)connections;
	service->anonymous = open != NULL;
	if (open)
		kl_name_set(service->anonymous_workspace, open);
	json_array_foreach(upstreams, i, entry) {
		kl_upstream_t *upstream = calloc(1, sizeof(*upstream));

		if (!upstream)
			break;
		json_unpack(entry, "{s:s,s:s,s:i,s:s}", "name", &text, "host",
			    &host, "port", &port, "domain", &domain);
		kl_name_set(upstream->name.name, text);
		memcpy(upstream->host, host, strlen(host) + 1);
		kl_name_set(upstream->domain, domain);
		upstream->port = (uint16_t)port;
		upstream->service = service;
		upstream->leaving =
			kl_config_marked(config, "upstream", text) ||
			kl_config_marked(config, "domain", domain);
		service->upstream_count++;
		CK_STAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
	}
	CK_STAILQ_INSERT_TAIL(&config->services, service, link);
	kl_index_put(config->service_index, &service->name);
}

static void build_mark(kl_config_t *config, const char *name, json_t *json)
{
	kl_mark_t *mark;
	int leaving;

	json_unpack(json, "{s:b}", "leaving", &leaving);
	if (!leaving)
		return;
	mark = calloc(1, sizeof(*mark));
	if (!mark)
		return;
	kl_name_set(mark->name.name, name);
	CK_STAILQ_INSERT_TAIL(&config->marks, mark, link);
	kl_index_put(config->mark_index, &mark->name);
}
