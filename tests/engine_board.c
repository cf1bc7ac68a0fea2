/* The blackboard of the simulated engine, from the state that a script set. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/store_era.h"
#include "tests/engine_model.h"

static void add_marks(const model_t *model, kl_config_t *config);
static void add_services(const model_t *model, kl_config_t *config);
static kl_service_t *get_service(kl_config_t *config, const char *name);
static void add_group(const model_t *model, kl_terms_t *terms,
		      const char *service, const char *primary);
static void add_upstream(const model_t *model, uint32_t index,
			 const kl_config_t *config, kl_service_t *service);
static void add_routes(const model_t *model, kl_config_t *config);
static void add_keys(const model_t *model, kl_config_t *config);
static void destroy_buckets(kl_snapshot_t *snapshot);

void model_publish_config(model_t *model)
{
	kl_config_t *config = kl_config_new(64);
	kl_members_t *members = kl_members_new(4);
	kl_lifecycle_t *lifecycle = kl_lifecycle_new(KL_PHASE_SERVING);

	add_marks(model, config);
	add_services(model, config);
	add_routes(model, config);
	add_keys(model, config);
	members->active_count = model->vm_count;
	kl_board_publish(model->writer, KL_SECTION_CONFIG, &config->base);
	kl_board_publish(model->writer, KL_SECTION_MEMBERS, &members->base);
	kl_board_publish(model->writer, KL_SECTION_LIFECYCLE, &lifecycle->base);
	kl_board_reclaim(model->writer);
}

static void add_marks(const model_t *model, kl_config_t *config)
{
	for (uint32_t i = 0; i < model->mark_count; i++) {
		kl_mark_t *mark = calloc(1, sizeof(*mark));

		snprintf(mark->name.name, KL_NAME_MAX, "databases/%s",
			 model->marks[i].domain);
		mark->set_after_us = model->marks[i].known_at_us;
		CK_STAILQ_INSERT_TAIL(&config->marks, mark, link);
		if (model->marks[i].set)
			kl_index_put(config->mark_index, &mark->name);
	}
}

static void add_services(const model_t *model, kl_config_t *config)
{
	get_service(config, MODEL_SERVICE);
	for (uint32_t i = 0; i < model->db_count; i++)
		add_upstream(model, i, config,
			     get_service(config, model->dbs[i].service));
}

/* Returns a service of the configuration, which it is added to if need be. */
static kl_service_t *get_service(kl_config_t *config, const char *name)
{
	kl_service_t *service = kl_index_get(config->service_index, name);

	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	kl_name_copy(service->name.name, name);
	CK_STAILQ_INIT(&service->upstreams);
	CK_STAILQ_INSERT_TAIL(&config->services, service, link);
	kl_index_put(config->service_index, &service->name);
	return service;
}

static void add_upstream(const model_t *model, uint32_t index,
			 const kl_config_t *config, kl_service_t *service)
{
	const model_db_t *db = &model->dbs[index];
	kl_upstream_t *upstream;

	service->max_upstream_connections = db->max_connections;
	if (db->absent)
		return;
	upstream = calloc(1, sizeof(*upstream));
	kl_name_copy(upstream->name.name, db->name);
	kl_name_copy(upstream->domain, db->domain);
	strcpy(upstream->host, "10.0.0.1");
	upstream->port = (uint16_t)(1000 + index);
	upstream->execution_slots = db->slots;
	upstream->leaving = db->leaving || kl_config_upstream_marked(
						   config, db->name, db->domain,
						   &upstream->leaving_after_us);
	if (db->leaving)
		upstream->leaving_after_us = db->leaving_since_us;
	upstream->service = service;
	service->upstream_count++;
	CK_STAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
}

static void add_routes(const model_t *model, kl_config_t *config)
{
	static const char *const kinds[] = { "primary", "aged", "session" };

	for (uint32_t i = 0; i < model->route_count; i++) {
		const char(*arguments)[KL_NAME_MAX] = model->routes[i];
		kl_route_rule_t *route = calloc(1, sizeof(*route));

		kl_name_copy(route->name.name, arguments[0]);
		kl_name_copy(route->service, model->route_services[i]);
		for (int k = 0; k < KL_ROUTE_KIND_COUNT; k++)
			if (!strcmp(arguments[1], kinds[k]))
				route->kind = k;
		route->max_age_ms = (uint32_t)atoi(arguments[2]);
		route->statement_timeout_ms = (uint32_t)atoi(arguments[3]);
		route->target_latency_ms = (uint32_t)atoi(arguments[4]);
		route->anonymous = !strcmp(arguments[5], "open");
		route->priority = (uint32_t)atoi(arguments[6]);
		CK_STAILQ_INSERT_TAIL(&config->routes, route, link);
		if (route->name.name[0])
			kl_index_put(config->route_index, &route->name);
	}
}

static void add_keys(const model_t *model, kl_config_t *config)
{
	for (uint32_t i = 0; i < model->key_count; i++) {
		kl_workspace_t *workspace = calloc(1, sizeof(*workspace));
		kl_key_t *key = calloc(1, sizeof(*key));
		char hash[2 * KL_KEY_HASH_BYTES + 1];

		kl_name_copy(workspace->name.name, model->keys[i][0]);
		CK_STAILQ_INIT(&workspace->keys);
		CK_STAILQ_INSERT_TAIL(&config->workspaces, workspace, link);
		kl_key_hash(model->keys[i][1], hash);
		kl_name_copy(key->hash.name, hash);
		key->workspace = workspace;
		key->withdrawn = !model->keys[i][0][0];
		CK_STAILQ_INSERT_TAIL(&config->keys, key, config_link);
		kl_index_put(config->key_index, &key->hash);
	}
}

void model_publish_position(model_t *model, uint64_t age_us)
{
	kl_positions_t *positions = kl_positions_new(4);
	kl_primary_position_t *position = calloc(1, sizeof(*position));

	kl_name_copy(position->name.name, MODEL_SERVICE);
	position->group_change = model->record_version;
	position->sampled_us = model->now_us - age_us;
	position->term = 1;
	position->number = model_commits_at(model, position->sampled_us);
	CK_STAILQ_INSERT_TAIL(&positions->list, position, link);
	kl_index_put(positions->index, &position->name);
	kl_board_publish(model->writer, KL_SECTION_POSITIONS, &positions->base);
	kl_board_reclaim(model->writer);
}

void model_publish_loads(model_t *model)
{
	kl_loads_t *loads = kl_loads_new(MODEL_ITEMS_MAX);

	for (uint32_t i = 0; i < model->db_count; i++) {
		model_db_t *db = &model->dbs[i];
		kl_load_t *load;

		if (db->has_figure)
			db->figure_sampled_us = model->now_us;
		if (!db->figure_sampled_us)
			continue;
		load = calloc(1, sizeof(*load));
		snprintf(load->name.name, KL_NAME_MAX, MODEL_SERVICE "/%.32s",
			 db->name);
		load->wait_us = db->figure_wait_us;
		load->answers = 5;
		load->sampled_us = db->figure_sampled_us;
		load->round_trip_us = 3 * KL_MS;
		CK_STAILQ_INSERT_TAIL(&loads->list, load, link);
		kl_index_put(loads->index, &load->name);
	}
	kl_board_publish(model->writer, KL_SECTION_LOADS, &loads->base);
	kl_board_reclaim(model->writer);
}

void model_publish_terms(model_t *model)
{
	kl_terms_t *terms = kl_terms_new(4);

	terms->revision =
		kl_store_version(model->store_era, model->record_version);
	add_group(model, terms, MODEL_SERVICE, model->recorded_primary);
	for (uint32_t i = 0; i < model->db_count; i++) {
		const model_db_t *db = &model->dbs[i];

		if (db->primary && strcmp(db->service, MODEL_SERVICE) != 0)
			add_group(model, terms, db->service, db->name);
	}
	kl_board_publish(model->writer, KL_SECTION_TERMS, &terms->base);
	kl_board_reclaim(model->writer);
}

static void add_group(const model_t *model, kl_terms_t *terms,
		      const char *service, const char *primary)
{
	kl_group_t *group = calloc(1, sizeof(*group));

	kl_name_copy(group->name.name, service);
	kl_name_copy(group->primary, primary);
	group->version = terms->revision;
	group->change = model->record_version;
	group->first_seen_us = model->now_us;
	group->term = model->record_version;
	group->state = model->fencing ? KL_GROUP_FENCING : KL_GROUP_STABLE;
	group->may_be_outdated = model->outdated;
	CK_STAILQ_INSERT_TAIL(&terms->groups, group, link);
	kl_index_put(terms->index, &group->name);
}

void model_publish_buckets(model_t *model)
{
	kl_buckets_t *buckets = calloc(1, sizeof(*buckets));

	buckets->base.destroy = destroy_buckets;
	buckets->index = kl_index_new(MODEL_ITEMS_MAX);
	for (uint32_t i = 0; i < model->bucket_count; i++)
		kl_index_put(buckets->index, &model->buckets[i]->name);
	kl_board_publish(model->writer, KL_SECTION_BUCKETS, &buckets->base);
	kl_board_reclaim(model->writer);
}

static void destroy_buckets(kl_snapshot_t *snapshot)
{
	kl_buckets_t *buckets = (kl_buckets_t *)snapshot;

	kl_index_free(buckets->index);
	free(buckets);
}
