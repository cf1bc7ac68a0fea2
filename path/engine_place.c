/* What requests find at the upstreams, and which of them is chosen. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define GONE_US (3 * KL_SEC)	/* an unlisted one is used that long */
#define LEAVING_US (4 * KL_SEC) /* a leaving primary is used that long */
#define LAG_US (60 * KL_MS)	/* a lagging one isn't asked again before */
#define KNOWN_US (30 * KL_MS)	/* a position this old has moved on */
#define RETRY_US (250 * KL_MS)	/* a failing one is tried this often */
#define WINDOW_FIRST 8 /* statements at once, before anything is known */
#define WINDOW_LEAST 2
#define SHARED_MOST 3 /* connections that a VM may try for, at least */
#define WINDOW_MOST 64
#define NARROW_PART 2	       /* of an objective that a statement may take */
#define STALL_US (300 * KL_MS) /* without any answer */
#define COST_STATEMENT 4       /* of one statement in progress there */
#define COST_CONNECT 3	       /* of a new connection */
#define COST_DISTANCE 4	       /* of another failure domain */
#define COST_PRIMARY 3	       /* reads leave it to the writes */
#define COST_DOUBT 5	       /* it may lack the position */

static void take_service(kl_engine_t *engine, const kl_service_t *service,
			 uint32_t live);
static void take_upstream(kl_cluster_t *cluster, const kl_upstream_t *upstream,
			  uint32_t connections, uint32_t live);
static void take_group(kl_engine_t *engine, kl_cluster_t *cluster);
static void look_for_gone(kl_engine_t *engine, kl_cluster_t *cluster);
static bool usable(const kl_endpoint_t *place, uint64_t now);
static kl_endpoint_t *primary(const kl_client_t *caller, kl_cluster_t *cluster,
			      const kl_group_t *group);
static int64_t cost(const kl_client_t *caller, const kl_endpoint_t *place,
		    bool leads);
static void tell(kl_endpoint_t *place);

void kl_endpoints_refresh(kl_engine_t *engine)
{
	const kl_config_t *config = engine->view.config;
	const kl_members_t *members = engine->view.members;
	uint32_t live =
		members && members->active_count ? members->active_count : 1;
	const kl_service_t *service;
	kl_cluster_t *cluster;

	engine->seen_config = config;
	engine->seen_terms = engine->view.terms;
	engine->seen_members = members;
	if (config) {
		CK_STAILQ_FOREACH(service, &config->services, link)
			take_service(engine, service, live);
	}
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		look_for_gone(engine, cluster);
		take_group(engine, cluster);
	}
}

kl_cluster_t *kl_cluster_find(kl_engine_t *engine, const char *service)
{
	kl_cluster_t *cluster;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		if (!strcmp(cluster->name, service))
			return cluster;
	}
	return NULL;
}

kl_endpoint_t *kl_endpoint_find(kl_cluster_t *cluster, const char *name)
{
	kl_endpoint_t *place;

	CK_STAILQ_FOREACH(place, &cluster->endpoints, link) {
		if (!strcmp(place->name, name))
			return place;
	}
	return NULL;
}

static void take_service(kl_engine_t *engine, const kl_service_t *service,
			 uint32_t live)
{
	kl_cluster_t *cluster = kl_cluster_find(engine, service->name.name);
	const kl_upstream_t *upstream;

	if (!cluster) {
		cluster = calloc(1, sizeof(*cluster));
		if (!cluster)
			return;
		cluster->engine = engine;
		memcpy(cluster->name, service->name.name, KL_NAME_MAX);
		CK_STAILQ_INIT(&cluster->endpoints);
		CK_STAILQ_INSERT_TAIL(&engine->clusters, cluster, link);
	}
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link)
		take_upstream(cluster, upstream, service->upstream_connections,
			      live);
}

static void take_upstream(kl_cluster_t *cluster, const kl_upstream_t *upstream,
			  uint32_t connections, uint32_t live)
{
	uint64_t now = cluster->engine->now_us;
	kl_endpoint_t *place = kl_endpoint_find(cluster, upstream->name.name);

	if (!place) {
		place = calloc(1, sizeof(*place));
		if (!place)
			return;
		place->cluster = cluster;
		memcpy(place->name, upstream->name.name, KL_NAME_MAX);
		place->window = WINDOW_FIRST;
		CK_STAILQ_INIT(&place->conns);
		CK_STAILQ_INIT(&place->queue);
		CK_STAILQ_INSERT_TAIL(&cluster->endpoints, place, link);
	}
	memcpy(place->host, upstream->host, KL_HOST_MAX);
	memcpy(place->domain, upstream->domain, KL_NAME_MAX);
	place->port = upstream->port;
	place->in_use = true;
	place->unregistered_us = 0;
	if (!upstream->leaving)
		place->leaving_since_us = 0;
	else if (!place->leaving_since_us)
		place->leaving_since_us = now;
	place->leaving = upstream->leaving;
	place->conn_share = connections / live ? connections / live : 1;
	/* Most VMs use few: the database says when there are too many. */
	place->conn_max = connections > live ? connections - (live - 1) : 1;
	if (place->conn_max < SHARED_MOST)
		place->conn_max =
			connections < SHARED_MOST ? connections : SHARED_MOST;
	if (place->conn_cap < place->conn_share)
		place->conn_cap = place->conn_share;
	if (place->conn_cap > place->conn_max)
		place->conn_cap = place->conn_max;
}

static void look_for_gone(kl_engine_t *engine, kl_cluster_t *cluster)
{
	const kl_config_t *config = engine->view.config;
	const kl_service_t *service =
		config ? kl_index_get(config->service_index, cluster->name)
		       : NULL;
	kl_endpoint_t *place;

	CK_STAILQ_FOREACH(place, &cluster->endpoints, link) {
		if (service && kl_service_find_upstream(service, place->name))
			continue;
		/* The registry may have forgotten it while it was away. */
		if (!place->unregistered_us)
			place->unregistered_us = engine->now_us;
		if (engine->now_us - place->unregistered_us > GONE_US)
			place->in_use = false;
	}
}

static void take_group(kl_engine_t *engine, kl_cluster_t *cluster)
{
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);

	if (!group || group->version == cluster->group_version)
		return;
	cluster->group_version = group->version;
	kl_log_samples_clear(&cluster->samples);
}

void kl_endpoints_free(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *place;

	while ((cluster = CK_STAILQ_FIRST(&engine->clusters))) {
		CK_STAILQ_REMOVE_HEAD(&engine->clusters, link);
		while ((place = CK_STAILQ_FIRST(&cluster->endpoints))) {
			CK_STAILQ_REMOVE_HEAD(&cluster->endpoints, link);
			while (!CK_STAILQ_EMPTY(&place->conns))
				kl_conn_close(CK_STAILQ_FIRST(&place->conns));
			free(place);
		}
		free(cluster);
	}
}

void kl_endpoint_stmt_sent(kl_endpoint_t *place)
{
	if (!place->running)
		place->last_progress_us = place->cluster->engine->now_us;
	place->running++;
}

void kl_endpoint_stmt_done(kl_endpoint_t *place)
{
	place->running--;
}

/*
 * The window of statements that run at once: wider while answers come well
 * within their objective, narrower when the database's own queue uses half of
 * it up.
 */
void kl_endpoint_add_latency(kl_endpoint_t *place, uint64_t took_us,
			     uint64_t target_us)
{
	uint64_t now = place->cluster->engine->now_us;

	place->latency_avg_us = (7 * place->latency_avg_us + took_us) / 8;
	if (place->latency_avg_us > target_us / NARROW_PART) {
		if (now - place->window_shrunk_us < place->latency_avg_us)
			return;
		place->window_shrunk_us = now;
		place->window -= place->window / 8 + 1;
		if (place->window < WINDOW_LEAST)
			place->window = WINDOW_LEAST;
		place->window_answers = 0;
	} else if (++place->window_answers >= place->window &&
		   place->window < WINDOW_MOST) {
		place->window_answers = 0;
		place->window++;
	}
}

bool kl_endpoint_stalled(const kl_endpoint_t *place)
{
	return place->running &&
	       place->cluster->engine->now_us - place->last_progress_us >
		       STALL_US;
}

void kl_endpoint_succeeded(kl_endpoint_t *place)
{
	bool failed = place->failing_since_us != 0;

	place->last_progress_us = place->cluster->engine->now_us;
	place->suspect = false;

	place->failing_since_us = 0;
	place->refuses_conns = false;
	if (failed)
		tell(place);
}

void kl_endpoint_failed(kl_endpoint_t *place, bool refuses, uint64_t since_us)
{
	uint64_t now = place->cluster->engine->now_us;

	if (!place->failing_since_us)
		place->failing_since_us = since_us;
	place->refuses_conns |= refuses;
	place->last_failure_us = now;
	tell(place);
}

static void tell(kl_endpoint_t *place)
{
	kl_engine_t *engine = place->cluster->engine;
	kl_passive_check_t traffic = { .service = place->cluster->name,
				       .upstream = place->name,
				       .failing_since_us =
					       place->failing_since_us,
				       .refuses_connections =
					       place->refuses_conns };

	engine->ops->report_health(engine->context, &traffic);
}

/* Each answer says how far the database's log goes. */
void kl_endpoint_answered(kl_endpoint_t *place, const kl_conn_t *channel,
			  kl_position_t position)
{
	kl_cluster_t *cluster = place->cluster;
	kl_engine_t *engine = cluster->engine;
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);

	kl_endpoint_succeeded(place);
	if (!position.term)
		return;
	if (kl_position_compare(place->position, position) < 0 ||
	    channel->sent_us > place->position_seen_us) {
		place->position = position;
		place->position_seen_us = engine->now_us;
	}
	if (position.term > cluster->newest_term_start.term)
		cluster->newest_term_start = position;
	if (channel->primary_proven && group &&
	    group->state == KL_GROUP_STABLE &&
	    group->version == cluster->group_version &&
	    !strcmp(group->primary, place->name))
		kl_log_samples_add(&cluster->samples, position,
				   channel->sent_us);
}

kl_endpoint_t *kl_endpoint_choose(const kl_client_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_cluster_t *cluster = kl_cluster_find(engine, caller->route.service);
	const kl_group_t *group;
	kl_endpoint_t *place, *lead, *best = NULL;
	int64_t least = INT64_MAX;

	if (!cluster)
		return NULL;
	cluster->last_used_us = engine->now_us;
	memcpy(cluster->last_workspace, caller->workspace, KL_NAME_MAX);
	group = kl_engine_find_group(engine, caller->route.service);
	lead = primary(caller, cluster, group);
	if (kl_client_needs_primary(caller) || !caller->stmt.min_position.term)
		return lead;
	CK_STAILQ_FOREACH(place, &cluster->endpoints, link) {
		int64_t price;

		if (place == lead) {
			price = cost(caller, place, true);
		} else {
			if (!usable(place, engine->now_us) || place->leaving ||
			    (group && !strcmp(group->primary, place->name)))
				continue;
			if (kl_position_compare(place->position,
						caller->stmt.min_position) <
				    0 &&
			    engine->now_us - place->last_lagging_us < LAG_US)
				continue;
			price = cost(caller, place, false);
		}
		if (place == caller->stmt.avoid_upstream)
			price += 4 * COST_STATEMENT;
		if (price >= least)
			continue;
		least = price;
		best = place;
	}
	return best;
}

/* The primary, if it is proven to be the only one. */
static kl_endpoint_t *primary(const kl_client_t *caller, kl_cluster_t *cluster,
			      const kl_group_t *group)
{
	kl_engine_t *engine = caller->engine;
	kl_endpoint_t *place;

	if (!kl_engine_primary_proven(engine, group))
		return NULL;
	place = kl_endpoint_find(cluster, group->primary);
	if (!place || !usable(place, engine->now_us))
		return NULL;
	if (place->leaving &&
	    engine->now_us - place->leaving_since_us > LEAVING_US)
		return NULL;
	return place;
}

static bool usable(const kl_endpoint_t *place, uint64_t now)
{
	return place->in_use && (!place->failing_since_us ||
				 now - place->last_failure_us > RETRY_US);
}

static int64_t cost(const kl_client_t *caller, const kl_endpoint_t *place,
		    bool leads)
{
	const kl_engine_t *engine = caller->engine;
	int64_t sum = (int64_t)(place->running + place->queue_length) *
		      COST_STATEMENT;

	if (!kl_conn_find_idle(place, caller->workspace))
		sum += COST_CONNECT;
	if (strcmp(place->domain, engine->settings.path.domain))
		sum += COST_DISTANCE;
	if (leads)
		return sum + COST_PRIMARY;
	if (kl_position_compare(place->position, caller->stmt.min_position) < 0)
		sum += engine->now_us - place->position_seen_us > KNOWN_US
			       ? COST_DOUBT / 2
			       : COST_DOUBT;
	if (place->failing_since_us || place->suspect ||
	    kl_endpoint_stalled(place))
		sum += 4 * COST_STATEMENT;
	return sum;
}
