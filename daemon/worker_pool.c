/*
 * Pools of upstream connections.  A worker has one pool for each upstream that
 * it uses; requests wait in the pool's fair queue for a connection.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

#define KEEPALIVE_INTERVAL_US 2000000 /* on an idle connection */
#define PROBE_TIMEOUT_US 1000000 /* for the answer to a keepalive or reset */
#define CONNECT_TIMEOUT_US 2000000
#define POOL_UNUSED_AFTER_US 10000000  /* after its last request */
#define USE_REPORT_INTERVAL_US 2000000 /* between reports of a pool's use */
#define CONNECT_BACKOFF_US 100000      /* after a failed attempt to connect */

static void open_conn(kl_pool_t *pool);
static void update_leaving(kl_pool_t *pool, const kl_upstream_t *upstream);
static void serve_queue(kl_pool_t *pool);
static kl_pool_conn_t *find_idle_conn(kl_pool_t *pool);
static void reroute_waiters(kl_pool_t *pool);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_db_result_t *results, int count);
static void on_lost(void *owner);
static void conn_free(kl_pool_conn_t *conn);
static kl_request_t *request_of(kl_waiter_t *waiter);
static bool exceeds_deadline(const kl_pool_t *pool,
			     const kl_request_t *request);
static void report_use(kl_pool_t *pool, uint64_t now);
static void maintain_conns(kl_pool_t *pool, uint64_t now);

static const kl_db_conn_events_t db_conn_events = { on_ready, on_answered,
						    on_lost };

kl_pool_t *kl_pool_find_or_add(kl_worker_t *worker,
			       const kl_upstream_t *upstream)
{
	const char *service = upstream->service->name.name;
	kl_pool_t *pool;

	CK_STAILQ_FOREACH(pool, &worker->pools, link) {
		if (!strcmp(pool->service, service) &&
		    !strcmp(pool->upstream, upstream->name.name)) {
			update_leaving(pool, upstream);
			return pool;
		}
	}
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	pool->worker = worker;
	memcpy(pool->service, service, KL_NAME_MAX);
	memcpy(pool->upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(pool->host, upstream->host, KL_HOST_MAX);
	pool->port = upstream->port;
	update_leaving(pool, upstream);
	pool->max_conns = 1;
	pool->avg_conn_use_us = KL_MS;
	pool->fair_queue = kl_fair_queue_new();
	CK_STAILQ_INIT(&pool->conns);
	CK_STAILQ_INSERT_TAIL(&worker->pools, pool, link);
	return pool;
}

static void update_leaving(kl_pool_t *pool, const kl_upstream_t *upstream)
{
	pool->leaving = upstream->leaving;
	pool->leaving_after_us = upstream->leaving_after_us;
}

bool kl_pool_has_left(const kl_pool_t *pool)
{
	return kl_upstream_use(pool->leaving, pool->leaving_after_us,
			       kl_clock_us(),
			       pool->worker->workers->path_settings.leave_us) ==
	       KL_USE_NONE;
}

void kl_pool_enqueue(kl_pool_t *pool, kl_request_t *request)
{
	if (exceeds_deadline(pool, request)) {
		kl_answer_error(request, -KL_E_DEADLINE);
		return;
	}
	pool->last_used_us = kl_clock_us();
	request->stage = KL_STAGE_QUEUE;
	if (kl_fair_queue_push(pool->fair_queue, request->session->workspace,
			       &request->waiter)) {
		kl_answer_error(request, -KL_E_NOMEM);
		return;
	}
	serve_queue(pool);
}

/*
 * Whether the request is expected to get a connection only after its deadline;
 * it is then refused at once.  The fair queue serves workspaces in turn, so
 * each statement that the request's workspace has queued waits for one
 * statement of every other workspace.
 */
static bool exceeds_deadline(const kl_pool_t *pool, const kl_request_t *request)
{
	uint64_t queued_count = kl_fair_queue_waiter_count(
		pool->fair_queue, request->session->workspace);
	uint64_t workspace_count =
		kl_fair_queue_workspace_count(pool->fair_queue) + 1;
	uint64_t wait_us = queued_count * workspace_count *
			   pool->avg_conn_use_us / pool->max_conns;

	return request->received_us + wait_us > request->deadline_us;
}

void kl_pool_release_conn(kl_pool_conn_t *conn)
{
	kl_pool_t *pool = conn->pool;
	kl_query_t reset = { .text = "DISCARD ALL" };
	uint64_t now = kl_clock_us();

	pool->busy_conns--;
	if (conn->session)
		kl_fair_queue_charge(pool->fair_queue, conn->session->workspace,
				     now - conn->state_since_us);
	pool->avg_conn_use_us =
		(7 * pool->avg_conn_use_us + now - conn->state_since_us) / 8;
	conn->session = NULL;
	conn->state_since_us = now;
	if (kl_db_conn_pq.transaction_status(conn->handle) != 'I') {
		pool->busy_conns++;
		kl_pool_drop_conn(conn);
		return;
	}
	if (conn->needs_reset) {
		conn->reset_pending = true;
		if (kl_db_conn_pq.send(conn->handle, &reset))
			kl_pool_drop_conn(conn);
		return;
	}
	conn->idle = true;
	serve_queue(pool);
}

void kl_pool_drop_conn(kl_pool_conn_t *conn)
{
	kl_pool_t *pool = conn->pool;

	if (!conn->idle && !conn->reset_pending && conn->connected &&
	    !conn->keepalive_pending)
		pool->busy_conns--;
	kl_counter_add(KL_COUNTER_CONNS_DROPPED, 1);
	conn_free(conn);
	serve_queue(pool);
}

uint32_t kl_pool_busy_conns(const void *context, const char *upstream)
{
	const kl_request_t *request = context;
	const kl_session_t *session = request->session;
	const kl_pool_t *pool;

	CK_STAILQ_FOREACH(pool, &session->worker->pools, link) {
		if (!strcmp(pool->service, session->service) &&
		    !strcmp(pool->upstream, upstream))
			return pool->busy_conns;
	}
	return 0;
}

/*
 * The service's connection limit is divided evenly among the live VMs, with at
 * least one connection each.  A pool whose upstream is no longer configured is
 * freed when no session uses it.
 */
void kl_pool_maintain_all(kl_worker_t *worker, const kl_view_t *view)
{
	uint64_t now = view->now_us;
	uint32_t live_vms = view->members && view->members->active_count
				    ? view->members->active_count
				    : 1;
	kl_pool_t *pool, *next;

	CK_STAILQ_FOREACH_SAFE(pool, &worker->pools, link, next) {
		const kl_service_t *service =
			view->config ? kl_index_get(view->config->service_index,
						    pool->service)
				     : NULL;
		const kl_upstream_t *upstream =
			service ? kl_service_find_upstream(service,
							   pool->upstream)
				: NULL;

		if (!upstream) {
			reroute_waiters(pool);
			if (!pool->busy_conns) {
				CK_STAILQ_REMOVE(&worker->pools, pool, kl_pool,
						 link);
				kl_pool_free(pool);
			}
			continue;
		}
		memcpy(pool->host, upstream->host, KL_HOST_MAX);
		pool->port = upstream->port;
		update_leaving(pool, upstream);
		pool->max_conns = service->max_upstream_connections / live_vms;
		if (!pool->max_conns)
			pool->max_conns = 1;
		report_use(pool, now);
		maintain_conns(pool, now);
		serve_queue(pool);
	}
}

void kl_pool_free(kl_pool_t *pool)
{
	kl_pool_conn_t *conn;

	while ((conn = CK_STAILQ_FIRST(&pool->conns)))
		conn_free(conn);
	kl_fair_queue_free(pool->fair_queue);
	free(pool);
}

/* The control thread probes the databases of services reported as in use. */
static void report_use(kl_pool_t *pool, uint64_t now)
{
	if (now - pool->last_used_us > POOL_UNUSED_AFTER_US ||
	    now - pool->use_reported_us < USE_REPORT_INTERVAL_US)
		return;
	pool->use_reported_us = now;
	kl_control_thread_report_service_use(pool->worker->workers->control,
					     pool->service);
}

static void maintain_conns(kl_pool_t *pool, uint64_t now)
{
	static const kl_query_t keepalive = { .text = "SELECT 1" };
	kl_pool_conn_t *conn, *next;

	CK_STAILQ_FOREACH_SAFE(conn, &pool->conns, link, next) {
		uint64_t elapsed_us = now - conn->state_since_us;
		bool unanswered =
			(conn->keepalive_pending || conn->reset_pending) &&
			elapsed_us > PROBE_TIMEOUT_US;
		bool connect_timed_out =
			!conn->connected && elapsed_us > CONNECT_TIMEOUT_US;

		if (unanswered || connect_timed_out) {
			if (connect_timed_out)
				pool->connect_failed_us = now;
			kl_pool_drop_conn(conn);
			/* kl_pool_drop_conn() may have changed the list. */
			return;
		}
		if (!conn->idle || elapsed_us < KEEPALIVE_INTERVAL_US)
			continue;
		/* Idle connections above the limit are not kept alive. */
		if (pool->conn_count > pool->max_conns) {
			kl_pool_drop_conn(conn);
			return;
		}
		conn->idle = false;
		conn->keepalive_pending = true;
		conn->state_since_us = now;
		if (kl_db_conn_pq.send(conn->handle, &keepalive)) {
			kl_pool_drop_conn(conn);
			return;
		}
	}
}

/*
 * Hands idle connections to waiting requests.  If requests still wait and the
 * limit allows it, opens one more connection.
 */
static void serve_queue(kl_pool_t *pool)
{
	uint64_t now = kl_clock_us();
	kl_waiter_t *waiter;
	kl_pool_conn_t *conn;

	/* The requests were routed before its time was over. */
	if (kl_pool_has_left(pool)) {
		reroute_waiters(pool);
		return;
	}
	while (kl_fair_queue_workspace_count(pool->fair_queue)) {
		conn = find_idle_conn(pool);
		if (!conn)
			break;
		waiter = kl_fair_queue_pop(pool->fair_queue);
		if (!waiter)
			break;
		conn->idle = false;
		conn->state_since_us = now;
		conn->session = request_of(waiter)->session;
		conn->generation = request_of(waiter)->generation;
		pool->busy_conns++;
		kl_request_execute(request_of(waiter), conn);
	}
	if (!kl_fair_queue_workspace_count(pool->fair_queue) ||
	    pool->conn_count >= pool->max_conns)
		return;
	if (now - pool->connect_failed_us < CONNECT_BACKOFF_US) {
		if (!pool->conn_count)
			reroute_waiters(pool);
		return;
	}
	open_conn(pool);
}

static kl_pool_conn_t *find_idle_conn(kl_pool_t *pool)
{
	kl_pool_conn_t *conn;

	CK_STAILQ_FOREACH(conn, &pool->conns, link) {
		if (conn->idle)
			return conn;
	}
	return NULL;
}

static void open_conn(kl_pool_t *pool)
{
	kl_db_conn_target_t target = {
		pool->host, pool->port, pool->service,
		pool->worker->workers->settings->upstream_user
	};
	kl_pool_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return;
	conn->pool = pool;
	conn->state_since_us = kl_clock_us();
	pool->conn_count++;
	CK_STAILQ_INSERT_TAIL(&pool->conns, conn, link);
	kl_counter_add(KL_COUNTER_CONNS_OPENED, 1);
	conn->handle = kl_db_conn_pq.open(pool->worker->base, &target,
					  &db_conn_events, conn);
	if (conn->handle)
		return;
	pool->connect_failed_us = conn->state_since_us;
	conn_free(conn);
	if (!pool->conn_count)
		reroute_waiters(pool);
}

/* Routes all waiting requests again, away from this upstream. */
static void reroute_waiters(kl_pool_t *pool)
{
	kl_waiter_t *waiter;

	while ((waiter = kl_fair_queue_pop(pool->fair_queue)))
		kl_request_reroute(request_of(waiter));
}

static void on_ready(void *owner)
{
	kl_pool_conn_t *conn = owner;

	conn->connected = true;
	conn->idle = true;
	conn->state_since_us = kl_clock_us();
	serve_queue(conn->pool);
}

static void on_answered(void *owner, const kl_db_result_t *results, int count)
{
	kl_pool_conn_t *conn = owner;

	if (conn->reset_pending || conn->keepalive_pending) {
		bool succeeded = count == 1 && !results[0].sqlstate;

		conn->reset_pending = false;
		conn->keepalive_pending = false;
		if (!succeeded) {
			conn->idle = true;
			kl_pool_drop_conn(conn);
			return;
		}
		conn->needs_reset = false;
		conn->idle = true;
		conn->state_since_us = kl_clock_us();
		serve_queue(conn->pool);
		return;
	}
	/* The request timed out or was aborted: its answer has no recipient. */
	if (!conn->session ||
	    conn->session->request.generation != conn->generation ||
	    conn->session->request.conn != conn) {
		kl_counter_add(KL_COUNTER_LATE_ANSWERS, 1);
		kl_pool_drop_conn(conn);
		return;
	}
	kl_request_answered(&conn->session->request, results, count);
}

static void on_lost(void *owner)
{
	kl_pool_conn_t *conn = owner;
	kl_pool_t *pool = conn->pool;
	kl_session_t *session = conn->session;
	bool connected = conn->connected;

	if (!connected)
		pool->connect_failed_us = kl_clock_us();
	if (session && session->pinned_conn == conn)
		session->pinned_conn = NULL;
	kl_pool_drop_conn(conn);
	if (!connected && !pool->conn_count)
		reroute_waiters(pool);
	if (session)
		kl_request_conn_lost(&session->request);
}

static void conn_free(kl_pool_conn_t *conn)
{
	kl_pool_t *pool = conn->pool;

	if (conn->session && conn->session->pinned_conn == conn)
		conn->session->pinned_conn = NULL;
	if (conn->session && conn->session->request.conn == conn)
		conn->session->request.conn = NULL;
	CK_STAILQ_REMOVE(&pool->conns, conn, kl_pool_conn, link);
	pool->conn_count--;
	kl_db_conn_pq.close(conn->handle);
	free(conn);
}

static kl_request_t *request_of(kl_waiter_t *waiter)
{
	return (kl_request_t *)((char *)waiter -
				offsetof(kl_request_t, waiter));
}
