/* Permits for the execution slots of upstreams that are shared by all VMs. */
#include <ck_pr.h>
#include <stdio.h>
#include <string.h>

#include "board/permit.h"
#include "path/engine_internal.h"

static void bind_accounts(kl_engine_t *engine);
static void bind_endpoint(kl_endpoint_t *endpoint, const kl_permits_t *permits);
static uint64_t count_places(const kl_endpoint_t *endpoint);
static void read_use(const kl_endpoint_t *endpoint, kl_permit_use_t *use);
static uint64_t count_running(const kl_endpoint_t *endpoint);
static void count_wanted(const kl_endpoint_t *endpoint,
			 uint64_t wanted[KL_PERMIT_LEVELS]);
static void limit_wanted(uint64_t wanted[KL_PERMIT_LEVELS], uint64_t max);

void kl_permits_count_answer(const kl_client_t *client, int error)
{
	const kl_stmt_t *stmt = &client->stmt;
	uint64_t now_us = client->engine->now_us;

	if (stmt->endpoint->permits)
		kl_permit_count_answer(stmt->endpoint->permits, now_us,
				       now_us - stmt->sent_us,
				       client->route.target_latency_us,
				       error == -KL_E_NO_UPSTREAM);
}

void kl_permits_publish(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;
	bool changed = false;

	if (!engine->settings.slot_permits)
		return;
	bind_accounts(engine);
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
			kl_permit_use_t use;

			if (!endpoint->permits)
				continue;
			read_use(endpoint, &use);
			changed |= kl_permit_set_use(endpoint->permits, &use) &&
				   kl_permit_is_needed(endpoint->permits,
						       engine->now_us);
		}
	}
	if (changed)
		engine->ops->permits_needed(engine->context);
}

void kl_permits_unbind(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link)
			bind_endpoint(endpoint, NULL);
	}
	engine->settings.slot_permits = false;
}

void kl_engine_permits_changed(kl_engine_t *engine, uint64_t now_us)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	kl_engine_enter(engine, now_us);
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
			if (endpoint->permits &&
			    !CK_STAILQ_EMPTY(&endpoint->queue))
				kl_endpoint_serve_queue(endpoint);
		}
	}
	kl_engine_exit(engine);
}

/* Finds the account of each endpoint after either of them has changed. */
static void bind_accounts(kl_engine_t *engine)
{
	const kl_permits_t *permits = engine->view.permits;
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	if (!permits || (permits->base.sequence == engine->bound_permits &&
			 engine->seen_config == engine->bound_config))
		return;
	engine->bound_permits = permits->base.sequence;
	engine->bound_config = engine->seen_config;
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link)
			bind_endpoint(endpoint, permits);
	}
}

static void bind_endpoint(kl_endpoint_t *endpoint, const kl_permits_t *permits)
{
	kl_permit_account_t *account = NULL;
	char name[2 * KL_NAME_MAX];

	snprintf(name, sizeof(name), "%s/%s", endpoint->cluster->name,
		 endpoint->name);
	if (permits)
		account = kl_index_get(permits->index, name);
	if (account)
		kl_permit_account_acquire(account);
	if (endpoint->permits)
		kl_permit_account_release(endpoint->permits);
	endpoint->permits = account;
}

static void read_use(const kl_endpoint_t *endpoint, kl_permit_use_t *use)
{
	memset(use, 0, sizeof(*use));
	use->running = count_running(endpoint);
	if (kl_permit_is_needed(endpoint->permits,
				endpoint->cluster->engine->now_us))
		count_wanted(endpoint, use->wanted);
}

/*
 * Uses of permits: statements that run, or whose session state is being
 * replayed, or whose connection is being opened.
 */
static uint64_t count_running(const kl_endpoint_t *endpoint)
{
	const kl_conn_t *conn;
	uint64_t count = 0;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link)
		count += conn->runs_stmt || conn->has_permit ||
			 (conn->stage == KL_CONN_IN_USE && conn->client &&
			  conn->client->stmt.stage == KL_STMT_SETUP);
	return count;
}

/*
 * Counts the queued statements that could be sent or get a connection at once,
 * as far as this VM's window and its connections allow.
 */
static void count_wanted(const kl_endpoint_t *endpoint,
			 uint64_t wanted[KL_PERMIT_LEVELS])
{
	bool may_open = kl_endpoint_may_open(endpoint);
	uint64_t used =
		endpoint->running_stmts + kl_permits_count_opening(endpoint);
	uint64_t places = count_places(endpoint), room = 0;
	const kl_client_t *client;

	if (used < endpoint->stmt_window)
		room = endpoint->stmt_window - used;
	CK_STAILQ_FOREACH(client, &endpoint->queue, queue_link) {
		if (!client->stmt.has_permit &&
		    (may_open ||
		     kl_conn_find_idle(endpoint, client->workspace)))
			wanted[kl_permit_level(client)]++;
	}
	limit_wanted(wanted, places < room ? places : room);
}

/* Connections that are idle, or could be opened without closing one. */
static uint64_t count_places(const kl_endpoint_t *endpoint)
{
	const kl_conn_t *conn;
	uint64_t idle = 0, free_places = 0;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link)
		idle += conn->stage == KL_CONN_IDLE;
	if (endpoint->open_conns < endpoint->conn_limit)
		free_places = endpoint->conn_limit - endpoint->open_conns;
	if (!kl_endpoint_may_connect(endpoint))
		free_places = 0;
	if (!idle && !free_places && kl_endpoint_may_open(endpoint))
		return 1; /* the limit may be raised */
	return idle + free_places;
}

/* Reduces the counts to a sum of max, the least urgent first. */
static void limit_wanted(uint64_t wanted[KL_PERMIT_LEVELS], uint64_t max)
{
	for (int i = 0; i < KL_PERMIT_LEVELS; i++) {
		if (wanted[i] > max)
			wanted[i] = max;
		max -= wanted[i];
	}
}
