/* Which failure domain a read is sent to, from figures of the load. */
#include <stdio.h>
#include <string.h>

#include "path/engine_internal.h"

/* Time between two reports of a database's figures. */
#define REPORT_NEEDED_US (100 * KL_MS) /* while those of others are needed */
#define REPORT_USED_US (200 * KL_MS)   /* of a service that is used here */
#define REPORT_IDLE_US (800 * KL_MS)   /* of others */
/* A service is used here if it had a statement this recently. */
#define USED_US (5 * KL_SEC)

/* A wait endangers the objective above the objective divided by this. */
#define LONG_WAIT_DIVISOR 4
/* Figures of a domain are used once it has answered this often. */
#define ANSWERS_MIN 3

static bool is_home(const kl_endpoint_t *endpoint);
static bool is_healthy(const kl_endpoint_t *endpoint);
static bool is_primary(const kl_endpoint_t *endpoint);
static bool has_candidate(const kl_client_t *client, kl_cluster_t *cluster,
			  const kl_endpoint_t *primary, const char *domain);
static bool has_home_replica(const kl_cluster_t *cluster);
static bool may_leave(const kl_client_t *client);
static bool was_full(const kl_client_t *client);
static void update_cluster(kl_cluster_t *cluster);
static uint64_t home_wait(const kl_cluster_t *cluster);
static void update_figures(kl_cluster_t *cluster);
static uint64_t own_wait(const kl_endpoint_t *endpoint);
static bool was_late(const kl_cluster_t *cluster);
static const kl_load_t *find_load(const kl_endpoint_t *endpoint);
static void report_loads(kl_cluster_t *cluster);
static void report_load(const kl_cluster_t *cluster,
			const kl_endpoint_t *endpoint, bool others_needed);
static void log_change(const kl_cluster_t *cluster, uint32_t share_before);

const char *kl_client_read_domain(const kl_client_t *client,
				  kl_cluster_t *cluster,
				  const kl_endpoint_t *primary)
{
	const kl_engine_t *engine = client->engine;
	const char *home = engine->settings.data_path.domain;
	const kl_spill_domain_t *other;

	/*
	 * Any domain after a failure, after a refusal elsewhere, and without a
	 * replica at home.
	 */
	if (!engine->settings.domain_spill ||
	    (client->stmt.avoid_endpoint &&
	     (!was_full(client) || !is_home(client->stmt.avoid_endpoint))))
		return NULL;
	if (!has_candidate(client, cluster, primary, home))
		return NULL;
	other = was_full(client) ? kl_spill_best(&cluster->spill)
				 : kl_spill_next(&cluster->spill);
	if (other && has_candidate(client, cluster, primary, other->name))
		return other->name;
	/* A refused read is sent like after a failure. */
	return was_full(client) ? NULL : home;
}

/* Whether the last try failed because the database had no room. */
static bool was_full(const kl_client_t *client)
{
	return client->stmt.avoid_endpoint &&
	       client->stmt.last_error == -KL_E_NO_UPSTREAM;
}

static bool has_candidate(const kl_client_t *client, kl_cluster_t *cluster,
			  const kl_endpoint_t *primary, const char *domain)
{
	const kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (!strcmp(endpoint->domain, domain) && is_healthy(endpoint) &&
		    !is_primary(endpoint) &&
		    kl_endpoint_is_candidate(client, endpoint, primary))
			return true;
	}
	return false;
}

/* Whether nothing but its load speaks against a database. */
static bool is_healthy(const kl_endpoint_t *endpoint)
{
	return endpoint->accepts_stmts && !endpoint->leaving &&
	       !endpoint->failing_since_us && !endpoint->may_be_down &&
	       !kl_endpoint_stalled(endpoint);
}

/*
 * The capacity of the primary is needed for what only it can run: it does not
 * count as a database for reads.
 */
static bool is_primary(const kl_endpoint_t *endpoint)
{
	const kl_group_t *group = kl_engine_find_group(
		endpoint->cluster->engine, endpoint->cluster->name);

	return group && !strcmp(group->primary, endpoint->name);
}

static bool is_home(const kl_endpoint_t *endpoint)
{
	const kl_engine_t *engine = endpoint->cluster->engine;

	return !strcmp(endpoint->domain, engine->settings.data_path.domain);
}

void kl_stmt_note_choice(kl_client_t *client, kl_endpoint_t *endpoint)
{
	kl_engine_t *engine = client->engine;
	kl_cluster_t *cluster = endpoint->cluster;
	const char *domain;

	client->stmt.chosen_us = engine->now_us;
	if (!engine->settings.domain_spill || !may_leave(client))
		return;
	kl_spill_note_objective(&cluster->spill,
				client->route.target_latency_us,
				engine->now_us);
	domain = kl_client_read_domain(
		client, cluster, kl_endpoint_proven_primary(client, cluster));
	if (domain)
		kl_spill_sent(
			&cluster->spill,
			is_home(endpoint)
				? NULL
				: kl_spill_domain(&cluster->spill, domain));
	if (is_home(endpoint))
		return;
	if (!has_home_replica(cluster))
		engine->counts.reads_spilled_failure++;
	else if (domain || was_full(client))
		engine->counts.reads_spilled_load++;
	else
		engine->counts.reads_spilled_position++;
}

/* Whether a replica may run the statement, in any domain. */
static bool may_leave(const kl_client_t *client)
{
	return !kl_client_needs_primary(client) &&
	       client->stmt.min_position.term;
}

static bool has_home_replica(const kl_cluster_t *cluster)
{
	const kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (is_home(endpoint) && is_healthy(endpoint) &&
		    !is_primary(endpoint))
			return true;
	}
	return false;
}

/*
 * The shares follow a burst within some seconds; until then only the reads that
 * the excess makes wait move.
 */
bool kl_stmt_leave_queue(kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	kl_stmt_t *stmt = &client->stmt;
	kl_endpoint_t *endpoint = stmt->endpoint;

	/* Only once, since a statement that is queued again gets more time. */
	if (!engine->settings.domain_spill || stmt->avoid_endpoint ||
	    stmt->stage != KL_STMT_WAIT_CONN || !may_leave(client) ||
	    !is_home(endpoint) ||
	    engine->now_us - stmt->chosen_us <=
		    kl_spill_objective_us(&endpoint->cluster->spill) /
			    LONG_WAIT_DIVISOR ||
	    !kl_spill_best(&endpoint->cluster->spill))
		return false;
	kl_stmt_note_overload(client);
	kl_endpoint_dequeue(client);
	stmt->avoid_endpoint = endpoint;
	stmt->endpoint = NULL;
	stmt->last_error = -KL_E_NO_UPSTREAM;
	kl_client_wait(client, KL_STMT_WAIT_UPSTREAM);
	return true;
}

void kl_stmt_note_reply(const kl_client_t *client,
			const kl_stmt_result_t *result)
{
	const kl_stmt_t *stmt = &client->stmt;
	uint64_t now_us = client->engine->now_us;

	/* Statements of transactions wait for their client, too. */
	if (client->transaction_status != 'I' ||
	    result->transaction_status != 'I')
		return;
	if (result->error == -KL_E_NO_UPSTREAM)
		kl_stmt_note_overload(client);
	else if (!result->error)
		kl_wait_add(&stmt->endpoint->wait, now_us - stmt->chosen_us,
			    client->route.target_latency_us, now_us);
}

void kl_stmt_note_overload(const kl_client_t *client)
{
	/* Whether it waited or was refused at once: it would have been late. */
	if (client->stmt.endpoint)
		kl_wait_add_refused(&client->stmt.endpoint->wait,
				    client->engine->now_us);
}

void kl_spills_sweep(kl_engine_t *engine)
{
	kl_cluster_t *cluster;

	if (!engine->settings.domain_spill)
		return;
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link)
		update_cluster(cluster);
}

static void update_cluster(kl_cluster_t *cluster)
{
	uint32_t share_before = kl_spill_share(&cluster->spill);

	if (!has_home_replica(cluster)) {
		kl_spill_clear(&cluster->spill);
		return;
	}
	update_figures(cluster);
	report_loads(cluster);
	if (kl_spill_step(&cluster->spill, home_wait(cluster),
			  cluster->engine->now_us))
		log_change(cluster, share_before);
}

/*
 * Expected wait at the best replica of this domain; 0 if there is none.  The
 * figures of the domain's other VMs arrive together with those of other
 * domains, so nothing leaves before they are known.
 */
static uint64_t home_wait(const kl_cluster_t *cluster)
{
	uint64_t lowest_us = UINT64_MAX;
	const kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		const kl_load_t *load;
		uint64_t wait_us;

		if (!is_home(endpoint) || !is_healthy(endpoint) ||
		    is_primary(endpoint))
			continue;
		load = find_load(endpoint);
		wait_us = own_wait(endpoint);
		if (load)
			wait_us = kl_wait_pooled(wait_us, load->wait_us);
		if (wait_us < lowest_us)
			lowest_us = wait_us;
	}
	return lowest_us == UINT64_MAX ? 0 : lowest_us;
}

static uint64_t own_wait(const kl_endpoint_t *endpoint)
{
	const kl_cluster_t *cluster = endpoint->cluster;

	return kl_wait_expected(&endpoint->wait,
				kl_spill_objective_us(&cluster->spill),
				cluster->engine->now_us);
}

/* Whether a statement of this VM was late at a replica here lately. */
static bool was_late(const kl_cluster_t *cluster)
{
	const kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (is_home(endpoint) && !is_primary(endpoint) &&
		    kl_wait_was_late(&endpoint->wait, cluster->engine->now_us))
			return true;
	}
	return false;
}

/* Finds the recent figures that other VMs have of a database, or NULL. */
static const kl_load_t *find_load(const kl_endpoint_t *endpoint)
{
	const kl_engine_t *engine = endpoint->cluster->engine;
	const kl_loads_t *loads = engine->view.loads;
	char name[KL_NAME_MAX * 2];
	const kl_load_t *load;

	if (!loads)
		return NULL;
	snprintf(name, sizeof(name), "%s/%s", endpoint->cluster->name,
		 endpoint->name);
	load = kl_index_get(loads->index, name);
	if (!load || load->answers < ANSWERS_MIN ||
	    engine->now_us - load->sampled_us > KL_SPILL_FIGURE_MAX_AGE_US)
		return NULL;
	return load;
}

/* Takes the recent figures of other domains' databases from the board. */
static void update_figures(kl_cluster_t *cluster)
{
	const kl_endpoint_t *endpoint;
	kl_spill_domain_t *domain;

	CK_STAILQ_FOREACH(domain, &cluster->spill.domains, link)
		domain->known = false;
	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		const kl_load_t *load;

		if (is_home(endpoint) || is_primary(endpoint) ||
		    !is_healthy(endpoint))
			continue;
		load = find_load(endpoint);
		if (!load)
			continue;
		domain = kl_spill_domain(&cluster->spill, endpoint->domain);
		if (!domain ||
		    (domain->known && domain->wait_us <= load->wait_us))
			continue;
		domain->known = true;
		domain->wait_us = load->wait_us;
		domain->round_trip_us = load->round_trip_us;
	}
}

/* Reports the figures of this domain's databases for other VMs. */
static void report_loads(kl_cluster_t *cluster)
{
	kl_engine_t *engine = cluster->engine;
	bool needed =
		kl_spill_needs_figures(&cluster->spill, was_late(cluster));
	uint64_t interval_us =
		needed ? REPORT_NEEDED_US
		: engine->now_us - cluster->last_used_us < USED_US
			? REPORT_USED_US
			: REPORT_IDLE_US;
	const kl_endpoint_t *endpoint;

	if (engine->now_us - cluster->last_load_report_us < interval_us)
		return;
	cluster->last_load_report_us = engine->now_us;
	CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
		if (!is_home(endpoint) || !is_healthy(endpoint) ||
		    is_primary(endpoint))
			continue;
		if (kl_wait_is_known(&endpoint->wait, engine->now_us))
			report_load(cluster, endpoint, needed);
		else if (needed)
			report_load(cluster, NULL, true);
	}
}

/* Without an endpoint it only tells that others' figures are needed. */
static void report_load(const kl_cluster_t *cluster,
			const kl_endpoint_t *endpoint, bool others_needed)
{
	const kl_engine_t *engine = cluster->engine;
	kl_load_report_t report = { .sampled_us = engine->now_us,
				    .others_needed = others_needed };

	memcpy(report.service, cluster->name, KL_NAME_MAX);
	if (endpoint) {
		memcpy(report.upstream, endpoint->name, KL_NAME_MAX);
		report.wait_us = own_wait(endpoint);
		report.running = endpoint->running_stmts;
	}
	engine->ops->report_load(engine->context, &report);
}

/* Logs when reads begin and when they cease to leave for the load. */
static void log_change(const kl_cluster_t *cluster, uint32_t share_before)
{
	const kl_engine_t *engine = cluster->engine;
	uint32_t share = kl_spill_share(&cluster->spill);
	kl_decision_t decision = { .name = "domain_spill",
				   .service = cluster->name,
				   .reason = share ? "began" : "ended",
				   .age_us = home_wait(cluster) };

	if (!share == !share_before)
		return;
	engine->ops->log_decision(engine->context, &decision);
}

uint32_t kl_engine_spill_share(const kl_engine_t *engine)
{
	const kl_cluster_t *cluster;
	uint32_t highest = 0;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		uint32_t share = kl_spill_share(&cluster->spill);

		if (share > highest)
			highest = share;
	}
	return highest * 1000 / KL_SPILL_WHOLE;
}
