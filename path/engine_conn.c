/* Pooled connections to databases, and the queues of statements for them. */
#include <stdlib.h>
#include <string.h>

#include "board/permit.h"
#include "path/engine_internal.h"

/* Time limit of a status query. */
#define STATUS_TIMEOUT_US (500 * KL_MS)
/* Time limit of the reply to a statement whose client is gone. */
#define ABANDONED_TIMEOUT_US (3 * KL_SEC)

/* Idle connections are closed after these times. */
#define IDLE_MAX_US (20 * KL_SEC)	/* any connection */
#define ONLY_CONN_IDLE_US (300 * KL_MS) /* the only one to its upstream */
#define SURPLUS_IDLE_US (200 * KL_MS)	/* one of several */
/*
 * For this long after a statement last waited long, idle connections are kept
 * up to this VM's even share.
 */
#define RECENT_WAIT_US (1 * KL_SEC)

/* A statement's wait is long above its latency objective divided by this. */
#define LONG_WAIT_DIVISOR 4

static void assign_idle(kl_endpoint_t *endpoint);
static void reroute_queue(kl_endpoint_t *endpoint);
static void open_conns(kl_endpoint_t *endpoint);
static uint32_t count_opening(const kl_endpoint_t *endpoint,
			      const char *workspace);
static void conn_free(kl_conn_t *conn);
static void sweep_endpoint(kl_endpoint_t *endpoint);
static void retry_reads(kl_endpoint_t *endpoint);
static bool should_close_idle(const kl_endpoint_t *endpoint,
			      uint64_t unused_us);
static bool has_timed_out(const kl_conn_t *conn, uint64_t now_us);

kl_conn_t *kl_conn_find_idle(const kl_endpoint_t *endpoint,
			     const char *workspace)
{
	kl_conn_t *conn, *best = NULL;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link) {
		if (conn->stage != KL_CONN_IDLE ||
		    strcmp(conn->workspace, workspace))
			continue;
		/*
		 * The most recently used one, so that the others stay idle long
		 * enough to be closed.
		 */
		if (!best || conn->stage_since_us > best->stage_since_us)
			best = conn;
	}
	return best;
}

void kl_endpoint_enqueue(kl_endpoint_t *endpoint, kl_client_t *client)
{
	client->stmt.stage = KL_STMT_WAIT_CONN;
	client->stmt.endpoint = endpoint;
	client->stmt.has_permit = false;
	endpoint->queue_length++;
	CK_STAILQ_INSERT_TAIL(&endpoint->queue, client, queue_link);
}

void kl_endpoint_dequeue(kl_client_t *client)
{
	kl_endpoint_t *endpoint = client->stmt.endpoint;

	endpoint->queue_length--;
	CK_STAILQ_REMOVE(&endpoint->queue, client, kl_client, queue_link);
}

/*
 * Assigns idle connections to queued statements.  After a long wait the newest
 * statement is served first: it can still meet its latency objective, whereas
 * serving the oldest first would make all statements late.
 */
static void assign_idle(kl_endpoint_t *endpoint)
{
	kl_client_t *client, *chosen;
	kl_conn_t *conn;

	while (endpoint->running_stmts < endpoint->stmt_window) {
		chosen = NULL;
		CK_STAILQ_FOREACH(client, &endpoint->queue, queue_link) {
			if (!kl_conn_find_idle(endpoint, client->workspace))
				continue;
			chosen = client;
			if (!kl_endpoint_has_long_wait(endpoint))
				break;
		}
		if (!chosen || !kl_stmt_take_permit(chosen))
			return;
		conn = kl_conn_find_idle(endpoint, chosen->workspace);
		kl_conn_assign(conn, chosen);
	}
}

void kl_conn_assign(kl_conn_t *conn, kl_client_t *client)
{
	kl_endpoint_dequeue(client);
	conn->stage = KL_CONN_IN_USE;
	kl_stmt_run(client, conn);
}

bool kl_endpoint_has_long_wait(const kl_endpoint_t *endpoint)
{
	const kl_client_t *oldest = CK_STAILQ_FIRST(&endpoint->queue);

	return oldest &&
	       endpoint->cluster->engine->now_us - oldest->stmt.received_us >
		       oldest->route.target_latency_us / LONG_WAIT_DIVISOR;
}

void kl_endpoint_serve_queue(kl_endpoint_t *endpoint)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;
	bool needs_permits = kl_permits_are_needed(endpoint);

	if (!kl_endpoint_may_start(endpoint))
		reroute_queue(endpoint);
	if (needs_permits)
		kl_permits_serve_queue(endpoint);
	else
		assign_idle(endpoint);
	if (kl_endpoint_has_long_wait(endpoint) ||
	    (endpoint->queue_length &&
	     endpoint->running_stmts >= endpoint->stmt_window))
		endpoint->last_long_wait_us = now_us;
	if (!needs_permits)
		open_conns(endpoint);
}

/* Opens connections for queued statements. */
static void open_conns(kl_endpoint_t *endpoint)
{
	kl_client_t *client, *next;
	uint32_t needed = 0;

	CK_STAILQ_FOREACH_SAFE(client, &endpoint->queue, queue_link, next) {
		needed++;
		if (count_opening(endpoint, client->workspace) >= needed ||
		    endpoint->running_stmts + needed > endpoint->stmt_window ||
		    !kl_endpoint_may_connect(endpoint))
			continue;
		kl_endpoint_open_conn(endpoint, client->workspace);
	}
}

/* Lets the queued statements choose another upstream. */
static void reroute_queue(kl_endpoint_t *endpoint)
{
	kl_client_t *client, *next;

	CK_STAILQ_FOREACH_SAFE(client, &endpoint->queue, queue_link, next) {
		kl_endpoint_dequeue(client);
		client->stmt.avoid_endpoint = endpoint;
		client->stmt.endpoint = NULL;
		kl_client_wait(client, KL_STMT_WAIT_UPSTREAM);
	}
}

static uint32_t count_opening(const kl_endpoint_t *endpoint,
			      const char *workspace)
{
	const kl_conn_t *conn;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link)
		count += conn->stage == KL_CONN_OPENING &&
			 !strcmp(conn->workspace, workspace);
	return count;
}

kl_conn_t *kl_endpoint_longest_idle(const kl_endpoint_t *endpoint)
{
	kl_conn_t *conn, *oldest = NULL;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link) {
		if (conn->stage == KL_CONN_IDLE &&
		    (!oldest || conn->stage_since_us < oldest->stage_since_us))
			oldest = conn;
	}
	return oldest;
}

kl_conn_t *kl_conn_open(kl_endpoint_t *endpoint, const char *workspace)
{
	kl_engine_t *engine = endpoint->cluster->engine;
	kl_conn_t *conn = calloc(1, sizeof(*conn));
	kl_conn_target_t target = { endpoint->host, endpoint->port,
				    endpoint->cluster->name, endpoint->name,
				    workspace };

	if (!conn)
		return NULL;
	conn->endpoint = endpoint;
	conn->stage_since_us = engine->now_us;
	kl_name_copy(conn->workspace, workspace);
	conn->handle = engine->ops->conn_open(engine->context, &target, conn);
	if (!conn->handle) {
		free(conn);
		endpoint->last_connect_failure_us = engine->now_us;
		return NULL;
	}
	engine->counts.conns_opened++;
	endpoint->open_conns++;
	CK_STAILQ_INSERT_TAIL(&endpoint->conns, conn, link);
	return conn;
}

int kl_conn_send(kl_conn_t *conn, const kl_conn_msg_t *message)
{
	kl_engine_t *engine = conn->endpoint->cluster->engine;

	return engine->ops->conn_send(engine->context, conn->handle, message);
}

void kl_conn_stmt_sent(kl_conn_t *conn)
{
	kl_endpoint_t *endpoint = conn->endpoint;

	if (!endpoint->running_stmts)
		endpoint->last_progress_us = endpoint->cluster->engine->now_us;
	endpoint->running_stmts++;
	conn->runs_stmt = true;
}

void kl_conn_stmt_done(kl_conn_t *conn)
{
	conn->endpoint->running_stmts -= conn->runs_stmt;
	conn->runs_stmt = false;
}

void kl_conn_release(kl_conn_t *conn)
{
	conn->client = NULL;
	conn->stage = KL_CONN_IDLE;
	conn->stage_since_us = conn->endpoint->cluster->engine->now_us;
	if (!conn->endpoint->accepts_stmts)
		kl_conn_close(conn);
	else
		kl_endpoint_serve_queue(conn->endpoint);
}

void kl_conn_abandon(kl_conn_t *conn, bool open_transaction)
{
	if (conn->client)
		conn->client->conn = NULL;
	conn->client = NULL;
	conn->primary_proven = false;
	conn->stage_since_us = conn->endpoint->cluster->engine->now_us;
	if (open_transaction) {
		kl_conn_close(conn);
		return;
	}
	conn->stage = KL_CONN_DETACHED;
	conn->is_status_query = false;
}

void kl_conn_close(kl_conn_t *conn)
{
	kl_engine_t *engine = conn->endpoint->cluster->engine;

	engine->counts.conns_closed++;
	engine->ops->conn_close(engine->context, conn->handle);
	conn_free(conn);
}

static void conn_free(kl_conn_t *conn)
{
	kl_endpoint_t *endpoint = conn->endpoint;

	if (conn->client)
		conn->client->conn = NULL;
	kl_conn_stmt_done(conn);
	kl_permits_conn_lost(conn);
	CK_STAILQ_REMOVE(&endpoint->conns, conn, kl_conn, link);
	endpoint->open_conns--;
	free(conn);
}

void kl_conn_ready(kl_conn_t *conn, kl_position_t position, uint64_t now_us)
{
	kl_engine_t *engine = conn->endpoint->cluster->engine;

	kl_engine_enter(engine, now_us);
	kl_endpoint_answered(conn->endpoint, conn, position);
	if (!kl_permits_conn_ready(conn))
		kl_conn_release(conn);
	kl_engine_exit(engine);
}

void kl_conn_answered(kl_conn_t *conn, const kl_stmt_result_t *result,
		      uint64_t now_us)
{
	kl_engine_t *engine = conn->endpoint->cluster->engine;
	kl_client_t *client = conn->client;

	kl_engine_enter(engine, now_us);
	kl_endpoint_answered(conn->endpoint, conn, result->log_end);
	if (conn->pending_replies)
		conn->pending_replies--;
	if (client && client->stmt.stage != KL_STMT_NONE) {
		kl_stmt_answered(client, result);
	} else if (!client && !conn->pending_replies) {
		kl_conn_stmt_done(conn);
		if (result->transaction_status == 'I')
			kl_conn_release(conn);
		else
			kl_conn_close(conn);
	}
	kl_engine_exit(engine);
}

void kl_conn_lost(kl_conn_t *conn, int error, uint64_t now_us)
{
	kl_endpoint_t *endpoint = conn->endpoint;
	kl_engine_t *engine = endpoint->cluster->engine;
	kl_client_t *client = conn->client;
	bool was_open = conn->stage != KL_CONN_OPENING;

	kl_engine_enter(engine, now_us);
	engine->counts.conns_closed++;
	/* The loss of one open connection does not prove a failure. */
	if (error != -KL_E_CONNECTIONS && !was_open)
		kl_endpoint_failed(endpoint, error == -KL_E_UPSTREAM, now_us);
	else if (was_open)
		endpoint->may_be_down = true;
	conn_free(conn);
	if (error == -KL_E_CONNECTIONS) {
		kl_endpoint_is_alive(endpoint);
		kl_endpoint_lower_limit(endpoint);
		if (endpoint->permits)
			kl_permit_note_contention(endpoint->permits, now_us);
	}
	if (client)
		kl_stmt_conn_lost(client);
	else if (!was_open && error != -KL_E_CONNECTIONS)
		endpoint->last_connect_failure_us = now_us;
	kl_engine_exit(engine);
}

void kl_conns_sweep(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *endpoint;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(endpoint, &cluster->endpoints, link)
			sweep_endpoint(endpoint);
		kl_cluster_sample_primary(cluster);
	}
}

static void sweep_endpoint(kl_endpoint_t *endpoint)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;
	kl_conn_t *conn, *next;

	CK_STAILQ_FOREACH_SAFE(conn, &endpoint->conns, link, next) {
		uint64_t stage_us = now_us - conn->stage_since_us;
		bool idle = conn->stage == KL_CONN_IDLE;

		if (has_timed_out(conn, now_us)) {
			if (conn->stage == KL_CONN_OPENING)
				endpoint->last_connect_failure_us = now_us;
			if (conn->stage == KL_CONN_OPENING ||
			    conn->is_status_query)
				kl_endpoint_failed(endpoint, false,
						   conn->stage_since_us);
			kl_conn_close(conn);
		} else if (idle && should_close_idle(endpoint, stage_us)) {
			kl_conn_close(conn);
		}
	}
	if (endpoint->failing_since_us)
		retry_reads(endpoint);
	if (endpoint->accepts_stmts &&
	    (endpoint->may_be_down || kl_endpoint_stalled(endpoint)))
		kl_endpoint_query_status(endpoint, false);
	if (endpoint->conn_limit > endpoint->even_conn_share &&
	    CK_STAILQ_EMPTY(&endpoint->queue) &&
	    endpoint->open_conns < endpoint->conn_limit)
		endpoint->conn_limit--;
	if (endpoint->conn_limit < endpoint->even_conn_share &&
	    now_us - endpoint->last_db_full_us > DB_FULL_HOLD_US)
		endpoint->conn_limit = endpoint->even_conn_share;
	if (endpoint->failing_since_us || !endpoint->accepts_stmts)
		reroute_queue(endpoint);
	if (!CK_STAILQ_EMPTY(&endpoint->queue))
		kl_endpoint_serve_queue(endpoint);
}

/*
 * Whether a connection that has been idle for unused_us should be closed.  If a
 * statement waited long recently, only connections above this VM's even share
 * are closed, because opening one again takes one of the database's slots from
 * statements.
 */
static bool should_close_idle(const kl_endpoint_t *endpoint, uint64_t unused_us)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;

	if (!endpoint->accepts_stmts || unused_us > IDLE_MAX_US)
		return true;
	if (now_us - endpoint->last_long_wait_us < RECENT_WAIT_US)
		return unused_us > SURPLUS_IDLE_US &&
		       endpoint->open_conns > endpoint->even_conn_share;
	return unused_us >
	       (endpoint->open_conns > 1 ? SURPLUS_IDLE_US : ONLY_CONN_IDLE_US);
}

static bool has_timed_out(const kl_conn_t *conn, uint64_t now_us)
{
	const kl_engine_t *engine = conn->endpoint->cluster->engine;
	uint64_t stage_us = now_us - conn->stage_since_us;

	if (conn->stage == KL_CONN_OPENING)
		return stage_us > engine->settings.connect_timeout_us;
	if (conn->stage == KL_CONN_DETACHED)
		return stage_us > (conn->is_status_query
					   ? STATUS_TIMEOUT_US
					   : ABANDONED_TIMEOUT_US);
	return false;
}

/* Retries the reads that run at a failing endpoint, on other endpoints. */
static void retry_reads(kl_endpoint_t *endpoint)
{
	kl_conn_t *conn, *next;

	CK_STAILQ_FOREACH_SAFE(conn, &endpoint->conns, link, next) {
		kl_client_t *client = conn->client;

		if (!client || client->transaction_status != 'I' ||
		    client->stmt.stage != KL_STMT_SENT || client->stmt.writes)
			continue;
		kl_stmt_conn_lost(client);
	}
}
