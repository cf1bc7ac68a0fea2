/* The queue of statements of an endpoint. */
#include <string.h>

#include "path/engine_internal.h"

/*
 * Statements sent at once for each slot of the database: one that runs and one
 * that is on its way or follows at once.  What is sent can't be overtaken.
 */
#define STMTS_PER_SLOT 2
/* The mean time to connect moves by this part of the difference. */
#define CONNECT_AVERAGE_DIVISOR 8

static void fill_queued_stmt(kl_client_t *client);
static void update_places(kl_endpoint_t *endpoint);
static bool has_idle_conn(const void *context, const char *workspace);
static bool may_replace_conn(const void *context, const char *workspace);
static uint32_t count_conns(const kl_endpoint_t *endpoint,
			    kl_conn_stage_t stage);

const kl_stmt_order_t *kl_engine_stmt_order(const kl_engine_t *engine)
{
	return engine->settings.priority_queues ? &kl_stmt_order_priority
						: &kl_stmt_order_arrival;
}

void kl_endpoint_enqueue(kl_endpoint_t *endpoint, kl_client_t *client)
{
	client->stmt.stage = KL_STMT_WAIT_CONN;
	client->stmt.endpoint = endpoint;
	fill_queued_stmt(client);
	client->queued_since_us = client->engine->now_us;
	update_places(endpoint);
	kl_stmt_queue_push(&endpoint->queue, &client->queued,
			   client->engine->now_us);
}

void kl_endpoint_dequeue(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_queued_stmt_t *queued = &client->queued;

	update_places(client->stmt.endpoint);
	kl_stmt_queue_remove(&client->stmt.endpoint->queue, queued,
			     engine->now_us);
	engine->counts.priorities[queued->priority].queued_us +=
		engine->now_us - client->queued_since_us;
}

bool kl_endpoint_is_too_late(kl_endpoint_t *endpoint, kl_client_t *client)
{
	kl_stmt_queue_t *queue = &endpoint->queue;

	fill_queued_stmt(client);
	update_places(endpoint);
	return queue->order->too_late(queue, &client->queued,
				      client->engine->now_us);
}

static void fill_queued_stmt(kl_client_t *client)
{
	const kl_config_t *config = client->engine->view.config;
	const kl_workspace_t *workspace =
		config ? kl_index_get(config->workspace_index,
				      client->workspace)
		       : NULL;
	kl_queued_stmt_t *queued = &client->queued;

	memset(queued, 0, sizeof(*queued));
	queued->client = client;
	queued->workspace = client->workspace;
	queued->weight = 1;
	if (workspace && workspace->plan && workspace->plan->rate)
		queued->weight = workspace->plan->rate;
	queued->priority = kl_client_priority(client);
	queued->received_us = client->stmt.received_us;
	queued->target_us = client->route.target_latency_us;
	queued->deadline_us = client->stmt.answer_due_us;
	queued->limit_us = client->stmt.queue_deadline_us;
}

uint32_t kl_client_priority(const kl_client_t *client)
{
	return client->route.priority < KL_PRIORITY_LEVELS
		       ? client->route.priority
		       : KL_PRIORITY_LEVELS - 1;
}

/* A connection that is being opened occupies a slot of the database, too. */
static void update_places(kl_endpoint_t *endpoint)
{
	uint32_t idle, places = endpoint->stmt_window;

	if (!endpoint->queue.order->tracks_usage)
		return;
	idle = count_conns(endpoint, KL_CONN_IDLE);
	if (places > endpoint->conn_limit)
		places = endpoint->conn_limit;
	kl_stmt_queue_set_places(&endpoint->queue, places,
				 endpoint->open_conns - idle);
}

uint32_t kl_endpoint_window_max(const kl_endpoint_t *endpoint, uint32_t most)
{
	uint32_t stmts = endpoint->execution_slots * STMTS_PER_SLOT;

	if (!endpoint->queue.order->tracks_usage || !stmts || stmts > most)
		return most;
	return stmts;
}

kl_client_t *kl_endpoint_choose_queued(kl_endpoint_t *endpoint)
{
	kl_queue_offer_t offer = { .now_us = endpoint->cluster->engine->now_us,
				   .connect_us = endpoint->connect_avg_us,
				   .has_conn = has_idle_conn,
				   .may_replace = may_replace_conn,
				   .context = endpoint };
	uint32_t idle = count_conns(endpoint, KL_CONN_IDLE);
	kl_queued_stmt_t *queued;

	offer.new_conns = count_conns(endpoint, KL_CONN_OPENING);
	if (endpoint->conn_limit > endpoint->open_conns)
		offer.new_conns += endpoint->conn_limit - endpoint->open_conns;
	offer.places = endpoint->stmt_window - endpoint->running_stmts;
	if (offer.places > idle + offer.new_conns)
		offer.places = idle + offer.new_conns;
	/* No place is kept for statements that can get no connection now. */
	if (!kl_endpoint_may_connect(endpoint))
		offer.places = endpoint->queue.length;
	queued = endpoint->queue.order->choose(&endpoint->queue, &offer);
	return queued ? queued->client : NULL;
}

static bool has_idle_conn(const void *context, const char *workspace)
{
	return kl_conn_find_idle(context, workspace) != NULL;
}

bool kl_endpoint_may_replace(const kl_endpoint_t *endpoint,
			     const char *workspace)
{
	const kl_conn_t *conn;

	if (!endpoint->queue.order->tracks_usage)
		return true;
	CK_STAILQ_FOREACH(conn, &endpoint->conns, link) {
		bool in_transaction =
			conn->client && conn->client->transaction_status != 'I';

		if (conn->stage != KL_CONN_DETACHED && !in_transaction &&
		    !strcmp(conn->workspace, workspace))
			return false;
	}
	return true;
}

static bool may_replace_conn(const void *context, const char *workspace)
{
	return kl_endpoint_may_replace(context, workspace);
}

static uint32_t count_conns(const kl_endpoint_t *endpoint,
			    kl_conn_stage_t stage)
{
	const kl_conn_t *conn;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link)
		count += conn->stage == stage;
	return count;
}

void kl_endpoint_connected(kl_endpoint_t *endpoint, uint64_t connect_us)
{
	uint64_t average_us = endpoint->connect_avg_us;

	endpoint->connect_avg_us =
		average_us ? ((CONNECT_AVERAGE_DIVISOR - 1) * average_us +
			      connect_us) /
				     CONNECT_AVERAGE_DIVISOR
			   : connect_us;
}

void kl_endpoint_stmt_sent(kl_conn_t *conn)
{
	kl_endpoint_t *endpoint = conn->endpoint;

	update_places(endpoint);
	kl_stmt_queue_sent(&endpoint->queue, &conn->running, conn->workspace,
			   kl_client_priority(conn->client), conn->sent_us);
}

void kl_endpoint_stmt_done(kl_conn_t *conn)
{
	kl_endpoint_t *endpoint = conn->endpoint;

	update_places(endpoint);
	kl_stmt_queue_done(&endpoint->queue, &conn->running, conn->workspace,
			   endpoint->cluster->engine->now_us);
}

void kl_queues_check_deadlines(kl_engine_t *engine)
{
	kl_queued_stmt_t *queued, *next;
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	if (!kl_engine_stmt_order(engine)->tracks_usage)
		return;
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
			CK_STAILQ_FOREACH_SAFE(queued, &endpoint->queue.stmts,
					       link, next)
				kl_stmt_check_deadlines(queued->client);
		}
	}
}

bool kl_queues_need_check(const kl_engine_t *engine)
{
	const kl_cluster_t *cluster;
	const kl_endpoint_t *endpoint;

	if (!kl_engine_stmt_order(engine)->tracks_usage)
		return false;
	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link) {
			if (endpoint->queue.length)
				return true;
		}
	}
	return false;
}
