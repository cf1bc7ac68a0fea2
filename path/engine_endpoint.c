/* State of the upstreams, and the choice of one for a statement. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

/*
 * An upstream that disappeared from the registry stays in use for this long,
 * because the registry may have lost its entry while it was down.
 */
#define UNREGISTERED_GRACE_US (3 * KL_SEC)
/*
 * A replica that turned out to lack a position gets no reads beyond its known
 * position for this long.
 */
#define LAGGING_PAUSE_US (60 * KL_MS)
/*
 * A replica has probably advanced beyond its known position if it reported that
 * position longer ago than this.
 */
#define POSITION_RECENT_US (30 * KL_MS)
/* A failing upstream is not used for this long after its last failure. */
#define FAILING_RETRY_US (250 * KL_MS)
/*
 * An upstream is stalled if it has not replied for this long while statements
 * run there.
 */
#define STALL_US (300 * KL_MS)

/* Number of statements that this VM runs at once at an upstream. */
#define WINDOW_INITIAL 8 /* until latencies are known */
#define WINDOW_MIN 2
#define WINDOW_MAX 64
/*
 * The window shrinks while the average latency exceeds the route's latency
 * objective divided by this.
 */
#define LATENCY_DIVISOR 2
/*
 * Every VM may raise its limit to at least this many connections to an
 * upstream, unless the database allows fewer in total.
 */
#define CONN_LIMIT_MAX_MIN 3

/* Costs by which an upstream is chosen; the lowest sum wins. */
#define COST_STATEMENT 4    /* for each statement running or queued there */
#define COST_CONNECT 3	    /* a new connection is needed */
#define COST_OTHER_DOMAIN 4 /* it is in another failure domain */
#define COST_PRIMARY 6	    /* it is the primary, which has writes to run */
#define COST_MAY_LAG 5 /* it may lack the position that the statement needs */
#define COST_LEAVING 1000000 /* it is leaving: any other one is preferred */

static void update_cluster(kl_engine_t *engine, const kl_service_t *service,
			   uint32_t live_vms);
static void update_endpoint(kl_cluster_t *cluster,
			    const kl_upstream_t *upstream,
			    uint32_t db_conn_limit, uint32_t live_vms);
static void clear_old_position_samples(kl_engine_t *engine,
				       kl_cluster_t *cluster);
static void check_registered(kl_engine_t *engine, kl_cluster_t *cluster);
static void update_marked(const kl_config_t *config, kl_endpoint_t *endpoint);
static bool is_usable(const kl_endpoint_t *endpoint, uint64_t now_us);
static kl_upstream_use_t endpoint_use(const kl_endpoint_t *endpoint);
static int64_t placement_cost(const kl_client_t *client,
			      const kl_endpoint_t *endpoint, bool is_primary);
static void report_health(kl_endpoint_t *endpoint);

void kl_endpoints_refresh(kl_engine_t *engine)
{
	const kl_config_t *config = engine->view.config;
	const kl_members_t *members = engine->view.members;
	uint32_t live_vms =
		members && members->active_count ? members->active_count : 1;
	const kl_service_t *service;
	kl_cluster_t *cluster;

	kl_engine_set_updated(engine);
	if (config) {
		CK_STAILQ_FOREACH(service, &config->services, link)
			update_cluster(engine, service, live_vms);
	}
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		check_registered(engine, cluster);
		clear_old_position_samples(engine, cluster);
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
	kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (!strcmp(endpoint->name, name))
			return endpoint;
	}
	return NULL;
}

static void update_cluster(kl_engine_t *engine, const kl_service_t *service,
			   uint32_t live_vms)
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
		kl_spill_init(&cluster->spill);
		CK_STAILQ_INSERT_TAIL(&engine->clusters, cluster, link);
	}
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link)
		update_endpoint(cluster, upstream,
				service->max_upstream_connections, live_vms);
}

static void update_endpoint(kl_cluster_t *cluster,
			    const kl_upstream_t *upstream,
			    uint32_t db_conn_limit, uint32_t live_vms)
{
	uint64_t now_us = cluster->engine->now_us;
	kl_endpoint_t *endpoint =
		kl_endpoint_find(cluster, upstream->name.name);

	if (!endpoint) {
		endpoint = calloc(1, sizeof(*endpoint));
		if (!endpoint)
			return;
		endpoint->cluster = cluster;
		memcpy(endpoint->name, upstream->name.name, KL_NAME_MAX);
		endpoint->stmt_window = WINDOW_INITIAL;
		CK_STAILQ_INIT(&endpoint->conns);
		kl_stmt_queue_init(&endpoint->queue,
				   kl_engine_stmt_order(cluster->engine));
		CK_STAILQ_INSERT_TAIL(&cluster->endpoints, endpoint, link);
	}
	memcpy(endpoint->host, upstream->host, KL_HOST_MAX);
	memcpy(endpoint->domain, upstream->domain, KL_NAME_MAX);
	endpoint->port = upstream->port;
	endpoint->execution_slots = upstream->execution_slots;
	if (endpoint->stmt_window >
	    kl_endpoint_window_max(endpoint, WINDOW_MAX))
		endpoint->stmt_window =
			kl_endpoint_window_max(endpoint, WINDOW_MAX);
	endpoint->accepts_stmts = true;
	endpoint->unregistered_since_us = 0;
	if (upstream->leaving && !endpoint->leaving)
		endpoint->leaving_seen_us = now_us;
	endpoint->leaving = upstream->leaving;
	endpoint->leaving_after_us = upstream->leaving_after_us;
	endpoint->even_conn_share =
		db_conn_limit / live_vms ? db_conn_limit / live_vms : 1;
	/*
	 * Most VMs need few connections, so that one VM may use nearly all of
	 * the database's connections.  If the others need more, the database
	 * refuses some connections, and this VM lowers its limit.
	 */
	endpoint->conn_limit_max =
		db_conn_limit > live_vms ? db_conn_limit - (live_vms - 1) : 1;
	if (endpoint->conn_limit_max < CONN_LIMIT_MAX_MIN)
		endpoint->conn_limit_max = db_conn_limit < CONN_LIMIT_MAX_MIN
						   ? db_conn_limit
						   : CONN_LIMIT_MAX_MIN;
	if (endpoint->conn_limit < endpoint->even_conn_share)
		endpoint->conn_limit = endpoint->even_conn_share;
	if (endpoint->conn_limit > endpoint->conn_limit_max)
		endpoint->conn_limit = endpoint->conn_limit_max;
}

static void check_registered(kl_engine_t *engine, kl_cluster_t *cluster)
{
	const kl_config_t *config = engine->view.config;
	const kl_service_t *service =
		config ? kl_index_get(config->service_index, cluster->name)
		       : NULL;
	kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (service &&
		    kl_service_find_upstream(service, endpoint->name))
			continue;
		if (!endpoint->unregistered_since_us)
			endpoint->unregistered_since_us = engine->now_us;
		if (config)
			update_marked(config, endpoint);
		if (engine->now_us - endpoint->unregistered_since_us >
		    UNREGISTERED_GRACE_US)
			endpoint->accepts_stmts = false;
	}
}

/* An endpoint that lost its entry still leaves with its failure domain. */
static void update_marked(const kl_config_t *config, kl_endpoint_t *endpoint)
{
	uint64_t marked_after_us;

	if (!kl_config_upstream_marked(config, endpoint->name, endpoint->domain,
				       &marked_after_us))
		return;
	if (!endpoint->leaving)
		endpoint->leaving_seen_us = endpoint->cluster->engine->now_us;
	if (!endpoint->leaving || marked_after_us < endpoint->leaving_after_us)
		endpoint->leaving_after_us = marked_after_us;
	endpoint->leaving = true;
}

static void clear_old_position_samples(kl_engine_t *engine,
				       kl_cluster_t *cluster)
{
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);

	if (!group || group->change == cluster->group_change)
		return;
	cluster->group_change = group->change;
	kl_log_samples_clear(&cluster->position_samples);
}

void kl_endpoints_free(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	while ((cluster = CK_STAILQ_FIRST(&engine->clusters))) {
		CK_STAILQ_REMOVE_HEAD(&engine->clusters, link);
		while ((endpoint = CK_STAILQ_FIRST(&cluster->endpoints))) {
			CK_STAILQ_REMOVE_HEAD(&cluster->endpoints, link);
			while (!CK_STAILQ_EMPTY(&endpoint->conns))
				kl_conn_close(
					CK_STAILQ_FIRST(&endpoint->conns));
			kl_stmt_queue_clear(&endpoint->queue);
			free(endpoint);
		}
		kl_spill_clear(&cluster->spill);
		free(cluster);
	}
}

/*
 * Adapts the number of statements that may run at once at the upstream.  It
 * grows while the average latency is at most half of the objective.  It shrinks
 * when the average exceeds that, since statements then queue inside the
 * database.
 */
void kl_endpoint_add_latency(kl_endpoint_t *endpoint, uint64_t latency_us,
			     uint64_t target_latency_us)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;

	endpoint->latency_avg_us =
		(7 * endpoint->latency_avg_us + latency_us) / 8;
	if (endpoint->latency_avg_us > target_latency_us / LATENCY_DIVISOR) {
		if (now_us - endpoint->last_window_shrink_us <
		    endpoint->latency_avg_us)
			return;
		endpoint->last_window_shrink_us = now_us;
		endpoint->stmt_window -= endpoint->stmt_window / 8 + 1;
		if (endpoint->stmt_window < WINDOW_MIN)
			endpoint->stmt_window = WINDOW_MIN;
		endpoint->window_replies = 0;
	} else if (++endpoint->window_replies >= endpoint->stmt_window &&
		   endpoint->stmt_window <
			   kl_endpoint_window_max(endpoint, WINDOW_MAX)) {
		endpoint->window_replies = 0;
		endpoint->stmt_window++;
	}
}

bool kl_endpoint_stalled(const kl_endpoint_t *endpoint)
{
	return endpoint->running_stmts &&
	       endpoint->cluster->engine->now_us - endpoint->last_progress_us >
		       STALL_US;
}

void kl_endpoint_succeeded(kl_endpoint_t *endpoint)
{
	endpoint->last_progress_us = endpoint->cluster->engine->now_us;
	endpoint->may_be_down = false;
	kl_endpoint_is_alive(endpoint);
}

void kl_endpoint_is_alive(kl_endpoint_t *endpoint)
{
	bool was_failing = endpoint->failing_since_us != 0;

	endpoint->failing_since_us = 0;
	endpoint->refuses_conns = false;
	if (was_failing)
		report_health(endpoint);
}

void kl_endpoint_failed(kl_endpoint_t *endpoint, bool refuses_conns,
			uint64_t failing_since_us)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;

	if (!endpoint->failing_since_us)
		endpoint->failing_since_us = failing_since_us;
	endpoint->refuses_conns |= refuses_conns;
	endpoint->last_failure_us = now_us;
	report_health(endpoint);
}

static void report_health(kl_endpoint_t *endpoint)
{
	kl_engine_t *engine = endpoint->cluster->engine;
	kl_passive_check_t check = { .service = endpoint->cluster->name,
				     .upstream = endpoint->name,
				     .failing_since_us =
					     endpoint->failing_since_us,
				     .refuses_connections =
					     endpoint->refuses_conns };

	engine->ops->report_health(engine->context, &check);
}

void kl_endpoint_answered(kl_endpoint_t *endpoint, const kl_conn_t *conn,
			  kl_position_t position)
{
	kl_cluster_t *cluster = endpoint->cluster;
	kl_engine_t *engine = cluster->engine;
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);

	kl_endpoint_succeeded(endpoint);
	if (!position.term)
		return;
	if (kl_position_compare(endpoint->position, position) < 0 ||
	    conn->sent_us > endpoint->last_position_us) {
		endpoint->position = position;
		endpoint->last_position_us = engine->now_us;
	}
	if (position.term > cluster->newest_term_first_position.term)
		cluster->newest_term_first_position = position;
	if (conn->primary_proven && group && group->state == KL_GROUP_STABLE &&
	    group->change == cluster->group_change &&
	    !strcmp(group->primary, endpoint->name)) {
		kl_log_samples_add(&cluster->position_samples, position,
				   conn->sent_us);
		kl_cluster_report_position(cluster, position, conn->sent_us);
	}
}

kl_endpoint_t *kl_endpoint_choose(const kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_cluster_t *cluster = kl_cluster_find(engine, client->route.service);
	kl_endpoint_t *endpoint, *primary, *best = NULL;
	int64_t lowest_cost = INT64_MAX;
	const char *domain;
	uint64_t equal = 1;

	if (!cluster)
		return NULL;
	cluster->last_used_us = engine->now_us;
	memcpy(cluster->last_workspace, client->workspace, KL_NAME_MAX);
	primary = kl_endpoint_proven_primary(client, cluster);
	if (kl_client_needs_primary(client) || !client->stmt.min_position.term)
		return primary;
	domain = kl_client_read_domain(client, cluster, primary);
	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		int64_t cost;

		if ((domain && strcmp(endpoint->domain, domain)) ||
		    !kl_endpoint_is_candidate(client, endpoint, primary))
			continue;
		cost = placement_cost(client, endpoint, endpoint == primary);
		if (endpoint == client->stmt.avoid_endpoint)
			cost += 4 * COST_STATEMENT;
		if (cost > lowest_cost)
			continue;
		/* Sessions choose differently among endpoints of equal cost. */
		equal = cost == lowest_cost ? equal + 1 : 1;
		if (client->session_number % equal)
			continue;
		lowest_cost = cost;
		best = endpoint;
	}
	return best;
}

bool kl_endpoint_is_candidate(const kl_client_t *client,
			      const kl_endpoint_t *endpoint,
			      const kl_endpoint_t *primary)
{
	const kl_engine_t *engine = client->engine;
	const kl_group_t *group;

	if (endpoint == primary)
		return true;
	group = kl_engine_find_group(engine, client->route.service);
	if (!is_usable(endpoint, engine->now_us) ||
	    !kl_endpoint_may_start(endpoint) ||
	    (group && !strcmp(group->primary, endpoint->name)))
		return false;
	return kl_position_compare(endpoint->position,
				   client->stmt.min_position) >= 0 ||
	       engine->now_us - endpoint->last_lagging_us >= LAGGING_PAUSE_US;
}

kl_endpoint_t *kl_endpoint_proven_primary(const kl_client_t *client,
					  kl_cluster_t *cluster)
{
	kl_engine_t *engine = client->engine;
	const kl_group_t *group =
		kl_engine_find_group(engine, client->route.service);
	kl_endpoint_t *endpoint;

	if (!kl_engine_primary_proven(engine, group))
		return NULL;
	endpoint = kl_endpoint_find(cluster, group->primary);
	if (!endpoint || !is_usable(endpoint, engine->now_us))
		return NULL;
	return kl_endpoint_may_start(endpoint) ? endpoint : NULL;
}

static kl_upstream_use_t endpoint_use(const kl_endpoint_t *endpoint)
{
	const kl_engine_t *engine = endpoint->cluster->engine;

	return kl_upstream_use(endpoint->leaving, endpoint->leaving_after_us,
			       engine->now_us,
			       engine->settings.data_path.leave_us);
}

bool kl_endpoint_may_start(const kl_endpoint_t *endpoint)
{
	kl_upstream_use_t use = endpoint_use(endpoint);
	const kl_group_t *group;

	if (use != KL_USE_STARTED)
		return use == KL_USE_ANY;
	group = kl_engine_find_group(endpoint->cluster->engine,
				     endpoint->cluster->name);
	return group && !strcmp(group->primary, endpoint->name);
}

bool kl_endpoint_may_continue(const kl_endpoint_t *endpoint)
{
	return endpoint_use(endpoint) != KL_USE_NONE;
}

static bool is_usable(const kl_endpoint_t *endpoint, uint64_t now_us)
{
	return endpoint->accepts_stmts &&
	       (!endpoint->failing_since_us ||
		now_us - endpoint->last_failure_us > FAILING_RETRY_US);
}

static int64_t placement_cost(const kl_client_t *client,
			      const kl_endpoint_t *endpoint, bool is_primary)
{
	const kl_engine_t *engine = client->engine;
	int64_t cost =
		(int64_t)(endpoint->running_stmts + endpoint->queue.length) *
		COST_STATEMENT;

	if (!kl_conn_find_idle(endpoint, client->workspace))
		cost += COST_CONNECT;
	if (strcmp(endpoint->domain, engine->settings.data_path.domain))
		cost += COST_OTHER_DOMAIN;
	if (endpoint->leaving)
		cost += COST_LEAVING;
	if (is_primary)
		return cost + COST_PRIMARY;
	if (kl_position_compare(endpoint->position, client->stmt.min_position) <
	    0)
		cost += engine->now_us - endpoint->last_position_us >
					POSITION_RECENT_US
				? COST_MAY_LAG / 2
				: COST_MAY_LAG;
	if (endpoint->failing_since_us || endpoint->may_be_down ||
	    kl_endpoint_stalled(endpoint))
		cost += 4 * COST_STATEMENT;
	return cost;
}
