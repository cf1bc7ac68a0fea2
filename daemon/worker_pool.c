/* Pools of upstream connections, one to each upstream and worker. */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

#define KEEPALIVE_US 2000000 /* an idle connection is asked this often */
#define CHECK_US 1000000     /* and dropped if it stays silent so long */
#define CONNECT_US 2000000   /* a connection attempt is given up */
#define USED_US 10000000     /* a pool unused so long is of no interest */
#define TELL_US 2000000	     /* between two words of interest */
#define BACKOFF_US 100000    /* after a refused connection */

static void start_lease(kl_pool_t *pool);
static void serve(kl_pool_t *pool);
static kl_pool_conn_t *idle_lease(kl_pool_t *pool);
static void flush_waiters(kl_pool_t *pool);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_db_result_t *results, int count);
static void on_broken(void *owner);
static void lease_free(kl_pool_conn_t *lease);
static kl_request_t *request_of(kl_waiter_t *waiter);
static bool too_late(const kl_pool_t *pool, const kl_request_t *request);
static void tell_interest(kl_pool_t *pool, uint64_t now);
static void check_leases(kl_pool_t *pool, uint64_t now);

static const kl_db_conn_events_t link_events = { on_ready, on_answered,
						 on_broken };

kl_pool_t *kl_pool_find_or_add(kl_worker_t *worker,
			       const kl_upstream_t *upstream)
{
	const char *service = upstream->service->name.name;
	kl_pool_t *pool;

	CK_STAILQ_FOREACH(pool, &worker->pools, link) {
		if (!strcmp(pool->service, service) &&
		    !strcmp(pool->upstream, upstream->name.name))
			return pool;
	}
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	pool->worker = worker;
	memcpy(pool->service, service, KL_NAME_MAX);
	memcpy(pool->upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(pool->host, upstream->host, KL_HOST_MAX);
	pool->port = upstream->port;
	pool->max_conns = 1;
	pool->avg_hold_us = KL_MS;
	pool->fair_queue = kl_fair_queue_new();
	CK_STAILQ_INIT(&pool->conns);
	CK_STAILQ_INSERT_TAIL(&worker->pools, pool, link);
	return pool;
}

void kl_pool_enqueue(kl_pool_t *pool, kl_request_t *request)
{
	if (too_late(pool, request)) {
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
	serve(pool);
}

/* Refuses at once what cannot get its turn before its deadline. */
static bool too_late(const kl_pool_t *pool, const kl_request_t *request)
{
	uint64_t ahead = kl_fair_queue_waiting(pool->fair_queue,
					       request->session->workspace);
	uint64_t rivals = kl_fair_queue_active(pool->fair_queue) + 1;
	uint64_t wait = ahead * rivals * pool->avg_hold_us / pool->max_conns;

	return request->received_us + wait > request->deadline_us;
}

void kl_pool_release(kl_pool_conn_t *lease)
{
	kl_pool_t *pool = lease->pool;
	kl_query_t reset = { .text = "DISCARD ALL" };
	uint64_t now = kl_clock_us();

	pool->busy_conns--;
	if (lease->session)
		kl_fair_queue_charge(pool->fair_queue,
				     lease->session->workspace,
				     now - lease->state_since_us);
	pool->avg_hold_us =
		(7 * pool->avg_hold_us + now - lease->state_since_us) / 8;
	lease->session = NULL;
	lease->state_since_us = now;
	if (kl_db_conn_pq.transaction_status(lease->handle) != 'I') {
		pool->busy_conns++;
		kl_pool_drop(lease);
		return;
	}
	if (lease->dirty) {
		lease->reset_pending = true;
		if (kl_db_conn_pq.send(lease->handle, &reset))
			kl_pool_drop(lease);
		return;
	}
	lease->idle = true;
	serve(pool);
}

void kl_pool_drop(kl_pool_conn_t *lease)
{
	kl_pool_t *pool = lease->pool;

	if (!lease->idle && !lease->reset_pending && lease->connected &&
	    !lease->keepalive_pending)
		pool->busy_conns--;
	kl_counter_add(KL_COUNTER_LINKS_DROPPED, 1);
	lease_free(lease);
	serve(pool);
}

uint32_t kl_pool_load(const void *context, const char *upstream)
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

/* Bounds follow the number of VMs; old, silent and surplus links go. */
void kl_pool_maintain_all(kl_worker_t *worker, const kl_view_t *scene)
{
	uint64_t now = scene->now_us;
	uint32_t live = scene->members && scene->members->active_count
				? scene->members->active_count
				: 1;
	kl_pool_t *pool, *next;

	CK_STAILQ_FOREACH_SAFE(pool, &worker->pools, link, next) {
		const kl_service_t *service =
			scene->config
				? kl_index_get(scene->config->service_index,
					       pool->service)
				: NULL;
		const kl_upstream_t *upstream =
			service ? kl_service_find_upstream(service,
							   pool->upstream)
				: NULL;

		if (!upstream) {
			flush_waiters(pool);
			if (!pool->busy_conns) {
				CK_STAILQ_REMOVE(&worker->pools, pool, kl_pool,
						 link);
				kl_pool_free(pool);
			}
			continue;
		}
		memcpy(pool->host, upstream->host, KL_HOST_MAX);
		pool->port = upstream->port;
		pool->max_conns = service->upstream_connections / live;
		if (!pool->max_conns)
			pool->max_conns = 1;
		tell_interest(pool, now);
		check_leases(pool, now);
		serve(pool);
	}
}

void kl_pool_free(kl_pool_t *pool)
{
	kl_pool_conn_t *lease;

	while ((lease = CK_STAILQ_FIRST(&pool->conns)))
		lease_free(lease);
	kl_fair_queue_free(pool->fair_queue);
	free(pool);
}

/* The control side probes what is in use here. */
static void tell_interest(kl_pool_t *pool, uint64_t now)
{
	if (now - pool->last_used_us > USED_US ||
	    now - pool->interest_sent_us < TELL_US)
		return;
	pool->interest_sent_us = now;
	kl_control_thread_interest(pool->worker->workers->control,
				   pool->service);
}

static void check_leases(kl_pool_t *pool, uint64_t now)
{
	static const kl_query_t keepalive = { .text = "SELECT 1" };
	kl_pool_conn_t *lease, *next;

	CK_STAILQ_FOREACH_SAFE(lease, &pool->conns, link, next) {
		uint64_t since = now - lease->state_since_us;
		bool silent =
			(lease->keepalive_pending || lease->reset_pending) &&
			since > CHECK_US;
		bool unborn = !lease->connected && since > CONNECT_US;

		if (silent || unborn) {
			if (unborn)
				pool->connect_failed_us = now;
			kl_pool_drop(lease);
			/* The list may have changed under serve(). */
			return;
		}
		if (!lease->idle || since < KEEPALIVE_US)
			continue;
		if (pool->conn_count > pool->max_conns) {
			kl_pool_drop(lease);
			return;
		}
		lease->idle = false;
		lease->keepalive_pending = true;
		lease->state_since_us = now;
		if (kl_db_conn_pq.send(lease->handle, &keepalive)) {
			kl_pool_drop(lease);
			return;
		}
	}
}

/* Hands idle connections to waiters, and opens more up to the bound. */
static void serve(kl_pool_t *pool)
{
	uint64_t now = kl_clock_us();
	kl_waiter_t *waiter;
	kl_pool_conn_t *lease;

	while (kl_fair_queue_active(pool->fair_queue)) {
		lease = idle_lease(pool);
		if (!lease)
			break;
		waiter = kl_fair_queue_pop(pool->fair_queue);
		if (!waiter)
			break;
		lease->idle = false;
		lease->state_since_us = now;
		lease->session = request_of(waiter)->session;
		lease->generation = request_of(waiter)->generation;
		pool->busy_conns++;
		kl_request_execute(request_of(waiter), lease);
	}
	if (!kl_fair_queue_active(pool->fair_queue) ||
	    pool->conn_count >= pool->max_conns)
		return;
	if (now - pool->connect_failed_us < BACKOFF_US) {
		if (!pool->conn_count)
			flush_waiters(pool);
		return;
	}
	start_lease(pool);
}

static kl_pool_conn_t *idle_lease(kl_pool_t *pool)
{
	kl_pool_conn_t *lease;

	CK_STAILQ_FOREACH(lease, &pool->conns, link) {
		if (lease->idle)
			return lease;
	}
	return NULL;
}

static void start_lease(kl_pool_t *pool)
{
	kl_db_conn_target_t target = {
		pool->host, pool->port, pool->service,
		pool->worker->workers->settings->upstream_user
	};
	kl_pool_conn_t *lease = calloc(1, sizeof(*lease));

	if (!lease)
		return;
	lease->pool = pool;
	lease->state_since_us = kl_clock_us();
	pool->conn_count++;
	CK_STAILQ_INSERT_TAIL(&pool->conns, lease, link);
	kl_counter_add(KL_COUNTER_LINKS_OPENED, 1);
	lease->handle = kl_db_conn_pq.open(pool->worker->base, &target,
					   &link_events, lease);
	if (lease->handle)
		return;
	pool->connect_failed_us = lease->state_since_us;
	lease_free(lease);
	if (!pool->conn_count)
		flush_waiters(pool);
}

/* Sends all that wait back to the router. */
static void flush_waiters(kl_pool_t *pool)
{
	kl_waiter_t *waiter;

	while ((waiter = kl_fair_queue_pop(pool->fair_queue)))
		kl_request_reroute(request_of(waiter));
}

static void on_ready(void *owner)
{
	kl_pool_conn_t *lease = owner;

	lease->connected = true;
	lease->idle = true;
	lease->state_since_us = kl_clock_us();
	serve(lease->pool);
}

static void on_answered(void *owner, const kl_db_result_t *results, int count)
{
	kl_pool_conn_t *lease = owner;

	if (lease->reset_pending || lease->keepalive_pending) {
		bool good = count == 1 && !results[0].sqlstate;

		lease->reset_pending = false;
		lease->keepalive_pending = false;
		if (!good) {
			lease->idle = true;
			kl_pool_drop(lease);
			return;
		}
		lease->dirty = false;
		lease->idle = true;
		lease->state_since_us = kl_clock_us();
		serve(lease->pool);
		return;
	}
	/* An answer whose request is gone goes to nobody. */
	if (!lease->session ||
	    lease->session->request.generation != lease->generation ||
	    lease->session->request.conn != lease) {
		kl_counter_add(KL_COUNTER_LATE_ANSWERS, 1);
		kl_pool_drop(lease);
		return;
	}
	kl_request_answered(&lease->session->request, results, count);
}

static void on_broken(void *owner)
{
	kl_pool_conn_t *lease = owner;
	kl_pool_t *pool = lease->pool;
	kl_session_t *session = lease->session;
	bool born = lease->connected;

	if (!born)
		pool->connect_failed_us = kl_clock_us();
	if (session && session->pinned_conn == lease)
		session->pinned_conn = NULL;
	kl_pool_drop(lease);
	if (!born && !pool->conn_count)
		flush_waiters(pool);
	if (session)
		kl_request_conn_lost(&session->request);
}

static void lease_free(kl_pool_conn_t *lease)
{
	kl_pool_t *pool = lease->pool;

	if (lease->session && lease->session->pinned_conn == lease)
		lease->session->pinned_conn = NULL;
	if (lease->session && lease->session->request.conn == lease)
		lease->session->request.conn = NULL;
	CK_STAILQ_REMOVE(&pool->conns, lease, kl_pool_conn, link);
	pool->conn_count--;
	kl_db_conn_pq.close(lease->handle);
	free(lease);
}

static kl_request_t *request_of(kl_waiter_t *waiter)
{
	return (kl_request_t *)((char *)waiter -
				offsetof(kl_request_t, waiter));
}
