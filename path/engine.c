#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

/* Time between sweeps of the clients and connections. */
#define SWEEP_US (50 * KL_MS)

static uint64_t sequence_of(const kl_snapshot_t *snapshot);
static void recheck_waiting(kl_engine_t *engine);
static void check_clients(kl_engine_t *engine);
static bool txn_must_end(const kl_client_t *client, uint64_t idle_max_ms);

kl_engine_t *kl_engine_new(const kl_engine_settings_t *settings,
			   const kl_engine_ops_t *ops, void *context,
			   kl_reader_t *reader)
{
	kl_engine_t *engine = calloc(1, sizeof(*engine));

	if (!engine)
		return NULL;
	engine->settings = *settings;
	engine->ops = ops;
	engine->context = context;
	engine->reader = reader;
	CK_LIST_INIT(&engine->clients);
	CK_LIST_INIT(&engine->waiting);
	CK_STAILQ_INIT(&engine->clusters);
	return engine;
}

void kl_engine_free(kl_engine_t *engine)
{
	kl_client_t *client;

	if (!engine)
		return;
	kl_engine_enter(engine, engine->now_us);
	while ((client = CK_LIST_FIRST(&engine->clients)))
		kl_client_end_session(client, 0);
	kl_endpoints_free(engine);
	kl_engine_exit(engine);
	free(engine);
}

void kl_engine_enter(kl_engine_t *engine, uint64_t now_us)
{
	engine->now_us = now_us;
	kl_read_begin(engine->reader);
	kl_view_load(&engine->view, engine->reader, now_us);
	if (kl_engine_is_outdated(engine))
		kl_endpoints_refresh(engine);
}

bool kl_engine_is_outdated(const kl_engine_t *engine)
{
	const kl_view_t *view = &engine->view;

	return sequence_of(view->config ? &view->config->base : NULL) !=
		       engine->seen_config ||
	       sequence_of(view->terms ? &view->terms->base : NULL) !=
		       engine->seen_terms ||
	       sequence_of(view->members ? &view->members->base : NULL) !=
		       engine->seen_members;
}

void kl_engine_set_updated(kl_engine_t *engine)
{
	const kl_view_t *view = &engine->view;

	engine->seen_config =
		sequence_of(view->config ? &view->config->base : NULL);
	engine->seen_terms =
		sequence_of(view->terms ? &view->terms->base : NULL);
	engine->seen_members =
		sequence_of(view->members ? &view->members->base : NULL);
}

static uint64_t sequence_of(const kl_snapshot_t *snapshot)
{
	return snapshot ? snapshot->sequence : 0;
}

void kl_engine_exit(kl_engine_t *engine)
{
	kl_read_end(engine->reader);
}

void kl_engine_tick(kl_engine_t *engine, uint64_t now_us)
{
	kl_engine_enter(engine, now_us);
	recheck_waiting(engine);
	kl_queues_check_deadlines(engine);
	if (now_us - engine->last_sweep_us >= SWEEP_US) {
		engine->last_sweep_us = now_us;
		kl_endpoints_refresh(engine);
		check_clients(engine);
		kl_conns_sweep(engine);
		kl_spills_sweep(engine);
	}
	kl_engine_exit(engine);
}

void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us, uint64_t end_us)
{
	kl_engine_enter(engine, now_us);
	kl_drain_begin(engine, transactions_until_us, end_us);
	check_clients(engine);
	kl_engine_exit(engine);
}

bool kl_engine_has_waiting_stmts(const kl_engine_t *engine)
{
	return !CK_LIST_EMPTY(&engine->waiting) || kl_queues_need_check(engine);
}

uint32_t kl_engine_client_count(const kl_engine_t *engine)
{
	return engine->client_count;
}

const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine)
{
	return &engine->counts;
}

void kl_engine_get_gauges(const kl_engine_t *engine, kl_engine_gauges_t *gauges)
{
	const kl_cluster_t *cluster;
	const kl_endpoint_t *endpoint;
	const kl_client_t *client;

	memset(gauges, 0, sizeof(*gauges));
	gauges->sessions = engine->client_count;
	CK_LIST_FOREACH(client, &engine->waiting, waiting_link)
		gauges->waiting_stmts++;
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
			gauges->queued_stmts += endpoint->queue.length;
			gauges->running_stmts += endpoint->running_stmts;
		}
	}
}

const kl_group_t *kl_engine_find_group(const kl_engine_t *engine,
				       const char *service)
{
	const kl_terms_t *terms = engine->view.terms;

	return terms ? kl_index_get(terms->index, service) : NULL;
}

bool kl_engine_primary_proven(const kl_engine_t *engine,
			      const kl_group_t *group)
{
	return kl_primary_proven(&engine->view, group,
				 engine->settings.data_path.lease_us);
}

static void recheck_waiting(kl_engine_t *engine)
{
	CK_LIST_HEAD(, kl_client) to_check;
	kl_client_t *client;

	/* Clients that still wait return to engine->waiting. */
	CK_LIST_INIT(&to_check);
	while ((client = CK_LIST_FIRST(&engine->waiting))) {
		CK_LIST_REMOVE(client, waiting_link);
		CK_LIST_INSERT_HEAD(&to_check, client, waiting_link);
	}
	while ((client = CK_LIST_FIRST(&to_check))) {
		CK_LIST_REMOVE(client, waiting_link);
		client->on_waiting_list = false;
		kl_client_recheck(client);
	}
}

/*
 * Whether the open transaction of a client that runs no statement must end: its
 * database has left, or it has been idle for too long.
 */
static bool txn_must_end(const kl_client_t *client, uint64_t idle_max_ms)
{
	uint64_t idle_us = client->engine->now_us - client->idle_since_us;

	if (client->transaction_status == 'I' || !client->conn)
		return false;
	return !kl_endpoint_may_continue(client->conn->endpoint) ||
	       (client->transaction_status == 'T' && idle_max_ms &&
		idle_us > idle_max_ms * KL_MS);
}

static void check_clients(kl_engine_t *engine)
{
	uint64_t idle_max_ms =
		engine->view.config ? engine->view.config->transaction_idle_ms
				    : 0;
	kl_client_t *client, *next;

	CK_LIST_FOREACH_SAFE(client, &engine->clients, link, next) {
		bool is_idle = client->stmt.stage == KL_STMT_NONE;

		if (kl_drain_refuses_waiting(client))
			kl_client_refuse(client, -KL_E_DRAINING);
		else if (!is_idle)
			kl_stmt_check_deadlines(client);
		else if (kl_drain_ends_idle(client))
			kl_client_end_session(client, 0);
		else if (txn_must_end(client, idle_max_ms))
			kl_conn_abandon(client->conn, true);
	}
}
