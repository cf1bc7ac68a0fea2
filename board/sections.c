/* Creation and destruction of snapshots, and look-ups in them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "board/sections.h"

/* Frees the entries of an intrusive list; each is a single allocation. */
#define free_list(head, type)                                   \
	do {                                                    \
		type *entry, *next;                             \
		CK_STAILQ_FOREACH_SAFE(entry, head, link, next) \
			free(entry);                            \
	} while (0)

static void destroy_objects(kl_snapshot_t *snapshot);
static void destroy_config(kl_snapshot_t *snapshot);
static void destroy_terms(kl_snapshot_t *snapshot);
static void destroy_members(kl_snapshot_t *snapshot);
static void destroy_health(kl_snapshot_t *snapshot);
static void destroy_positions(kl_snapshot_t *snapshot);
static void destroy_loads(kl_snapshot_t *snapshot);
static void destroy_plain(kl_snapshot_t *snapshot);

kl_object_t *kl_object_new(const char *name, uint64_t version, const char *body)
{
	kl_object_t *object = calloc(1, sizeof(*object));

	if (!object)
		return NULL;
	object->version = version;
	object->body = strdup(body);
	if (!object->body || kl_name_copy(object->name.name, name)) {
		kl_object_free(object);
		return NULL;
	}
	return object;
}

kl_object_t *kl_object_copy(const kl_object_t *object)
{
	kl_object_t *copy =
		kl_object_new(object->name.name, object->version, object->body);

	if (copy)
		copy->generation = object->generation;
	return copy;
}

void kl_object_free(kl_object_t *object)
{
	if (!object)
		return;
	free(object->body);
	free(object);
}

void kl_object_list_clear(kl_object_list_t *list)
{
	kl_object_t *object;

	while ((object = CK_STAILQ_FIRST(list))) {
		CK_STAILQ_REMOVE_HEAD(list, link);
		kl_object_free(object);
	}
}

kl_objects_t *kl_objects_new(size_t expected)
{
	kl_objects_t *objects = calloc(1, sizeof(*objects));

	if (!objects)
		return NULL;
	CK_STAILQ_INIT(&objects->list);
	objects->base.destroy = destroy_objects;
	objects->index = kl_index_new(expected);
	return objects;
}

const char *kl_feed_name(kl_feed_t feed)
{
	static const char *const names[KL_FEED_COUNT] = {
		[KL_FEED_TERMS] = "terms",   [KL_FEED_SLOTS] = "slots",
		[KL_FEED_CONFIG] = "config", [KL_FEED_UPSTREAMS] = "upstreams",
		[KL_FEED_MARKS] = "marks",
	};

	return names[feed];
}

kl_config_t *kl_config_new(size_t expected)
{
	kl_config_t *config = calloc(1, sizeof(*config));

	if (!config)
		return NULL;
	config->base.destroy = destroy_config;
	CK_STAILQ_INIT(&config->plans);
	CK_STAILQ_INIT(&config->workspaces);
	CK_STAILQ_INIT(&config->services);
	CK_STAILQ_INIT(&config->routes);
	CK_STAILQ_INIT(&config->marks);
	CK_STAILQ_INIT(&config->keys);
	config->plan_index = kl_index_new(expected);
	config->workspace_index = kl_index_new(expected);
	config->service_index = kl_index_new(expected);
	config->route_index = kl_index_new(expected);
	config->key_index = kl_index_new(expected);
	config->mark_index = kl_index_new(8);
	return config;
}

kl_terms_t *kl_terms_new(size_t expected)
{
	kl_terms_t *terms = calloc(1, sizeof(*terms));

	if (!terms)
		return NULL;
	terms->base.destroy = destroy_terms;
	CK_STAILQ_INIT(&terms->groups);
	terms->index = kl_index_new(expected);
	return terms;
}

kl_members_t *kl_members_new(size_t expected)
{
	kl_members_t *members = calloc(1, sizeof(*members));

	if (!members)
		return NULL;
	members->base.destroy = destroy_members;
	CK_STAILQ_INIT(&members->list);
	members->index = kl_index_new(expected);
	return members;
}

kl_health_t *kl_health_new(size_t expected)
{
	kl_health_t *health = calloc(1, sizeof(*health));

	if (!health)
		return NULL;
	health->base.destroy = destroy_health;
	CK_STAILQ_INIT(&health->list);
	health->index = kl_index_new(expected);
	return health;
}

kl_positions_t *kl_positions_new(size_t expected)
{
	kl_positions_t *positions = calloc(1, sizeof(*positions));

	if (!positions)
		return NULL;
	positions->base.destroy = destroy_positions;
	CK_STAILQ_INIT(&positions->list);
	positions->index = kl_index_new(expected);
	if (!positions->index) {
		free(positions);
		return NULL;
	}
	return positions;
}

kl_loads_t *kl_loads_new(size_t expected)
{
	kl_loads_t *loads = calloc(1, sizeof(*loads));

	if (!loads)
		return NULL;
	loads->base.destroy = destroy_loads;
	CK_STAILQ_INIT(&loads->list);
	loads->index = kl_index_new(expected);
	if (!loads->index) {
		free(loads);
		return NULL;
	}
	return loads;
}

kl_confirmation_t *kl_confirmation_new(uint64_t revision, uint64_t confirmed_us)
{
	kl_confirmation_t *confirmation = calloc(1, sizeof(*confirmation));

	if (!confirmation)
		return NULL;
	confirmation->base.destroy = destroy_plain;
	confirmation->revision = revision;
	confirmation->confirmed_us = confirmed_us;
	return confirmation;
}

kl_lifecycle_t *kl_lifecycle_new(kl_phase_t phase)
{
	kl_lifecycle_t *lifecycle = calloc(1, sizeof(*lifecycle));

	if (!lifecycle)
		return NULL;
	lifecycle->base.destroy = destroy_plain;
	lifecycle->phase = phase;
	return lifecycle;
}

kl_usage_t *kl_usage_new(const kl_usage_t *contents)
{
	kl_usage_t *usage = calloc(1, sizeof(*usage));

	if (!usage)
		return NULL;
	*usage = *contents;
	usage->base = (kl_snapshot_t){ .destroy = destroy_plain };
	return usage;
}

bool kl_config_marked(const kl_config_t *config, const char *kind,
		      const char *name)
{
	char full[KL_NAME_MAX * 2];

	snprintf(full, sizeof(full), "%s/%s", kind, name);
	return kl_index_get(config->mark_index, full) != NULL;
}

bool kl_config_upstream_marked(const kl_config_t *config, const char *upstream,
			       const char *domain, uint64_t *after_us)
{
	static const char *const kinds[] = { "upstream", "domain",
					     "databases" };
	char full[KL_NAME_MAX * 2];
	bool marked = false;

	for (size_t i = 0; i < sizeof(kinds) / sizeof(*kinds); i++) {
		const kl_mark_t *mark;

		snprintf(full, sizeof(full), "%s/%s", kinds[i],
			 i ? domain : upstream);
		mark = kl_index_get(config->mark_index, full);
		if (!mark)
			continue;
		if (!marked || mark->set_after_us < *after_us)
			*after_us = mark->set_after_us;
		marked = true;
	}
	return marked;
}

const kl_upstream_t *kl_service_find_upstream(const kl_service_t *service,
					      const char *name)
{
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		if (!strcmp(upstream->name.name, name))
			return upstream;
	}
	return NULL;
}

const kl_observation_t *kl_health_find(const kl_health_t *health,
				       const char *service,
				       const char *upstream)
{
	char full[KL_NAME_MAX * 2];

	if (!health)
		return NULL;
	snprintf(full, sizeof(full), "%s/%s", service, upstream);
	return kl_index_get(health->index, full);
}

static void destroy_objects(kl_snapshot_t *snapshot)
{
	kl_objects_t *objects = (kl_objects_t *)snapshot;

	kl_object_list_clear(&objects->list);
	kl_index_free(objects->index);
	free(objects);
}

static void destroy_config(kl_snapshot_t *snapshot)
{
	kl_config_t *config = (kl_config_t *)snapshot;
	kl_service_t *service;

	CK_STAILQ_FOREACH(service, &config->services, link)
		free_list(&service->upstreams, kl_upstream_t);
	free_list(&config->services, kl_service_t);
	kl_key_t *key, *next;
	CK_STAILQ_FOREACH_SAFE(key, &config->keys, config_link, next)
		free(key);
	free_list(&config->workspaces, kl_workspace_t);
	free_list(&config->plans, kl_plan_t);
	free_list(&config->routes, kl_route_rule_t);
	free_list(&config->marks, kl_mark_t);
	kl_index_free(config->plan_index);
	kl_index_free(config->workspace_index);
	kl_index_free(config->service_index);
	kl_index_free(config->route_index);
	kl_index_free(config->key_index);
	kl_index_free(config->mark_index);
	free(config);
}

static void destroy_terms(kl_snapshot_t *snapshot)
{
	kl_terms_t *terms = (kl_terms_t *)snapshot;

	free_list(&terms->groups, kl_group_t);
	kl_index_free(terms->index);
	free(terms);
}

static void destroy_members(kl_snapshot_t *snapshot)
{
	kl_members_t *members = (kl_members_t *)snapshot;

	free_list(&members->list, kl_member_t);
	kl_index_free(members->index);
	free(members);
}

static void destroy_health(kl_snapshot_t *snapshot)
{
	kl_health_t *health = (kl_health_t *)snapshot;

	free_list(&health->list, kl_observation_t);
	kl_index_free(health->index);
	free(health);
}

static void destroy_positions(kl_snapshot_t *snapshot)
{
	kl_positions_t *positions = (kl_positions_t *)snapshot;

	free_list(&positions->list, kl_primary_position_t);
	kl_index_free(positions->index);
	free(positions);
}

static void destroy_loads(kl_snapshot_t *snapshot)
{
	kl_loads_t *loads = (kl_loads_t *)snapshot;

	free_list(&loads->list, kl_load_t);
	kl_index_free(loads->index);
	free(loads);
}

static void destroy_plain(kl_snapshot_t *snapshot)
{
	free(snapshot);
}
