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
static kl_lease_t *idle_lease(kl_pool_t *pool);
static void flush_waiters(kl_pool_t *pool);
static void on_ready(void *owner);
static void on_answered(void *owner, const kl_link_result_t *results,
			int count);
static void on_broken(void *owner);
static void lease_free(kl_lease_t *lease);
static kl_request_t *request_of(kl_waiter_t *waiter);
static bool too_late(const kl_pool_t *pool, const kl_request_t *request);
static void tell_interest(kl_pool_t *pool, uint64_t now);
static void check_leases(kl_pool_t *pool, uint64_t now);

static const kl_link_events_t link_events = { on_ready, on_answered,
					      on_broken };

kl_pool_t *kl_pool_of(kl_worker_t *worker, const kl_upstream_t *upstream)
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
	pool->bound = 1;
	pool->average_us = KL_MS;
	pool->fair = kl_fair_queue_new();
	CK_STAILQ_INIT(&pool->leases);
	CK_STAILQ_INSERT_TAIL(&worker->pools, pool, link);
	return pool;
}

void kl_pool_get(kl_pool_t *pool, kl_request_t *request)
{
	if (too_late(pool, request)) {
		kl_answer_error(request, -KL_E_DEADLINE);
		return;
	}
	pool->used_us = kl_clock_us();
	request->stage = KL_STAGE_QUEUE;
	if (kl_fair_queue_push(pool->fair, request->session->workspace,
			       &request->waiter)) {
		kl_answer_error(request, -KL_E_NOMEM);
		return;
	}
	serve(pool);
}

/* Refuses at once what cannot get its turn before its deadline. */
static bool too_late(const kl_pool_t *pool, const kl_request_t *request)
{
	uint64_t ahead =
		kl_fair_queue_waiting(pool->fair, request->session->workspace);
	uint64_t rivals = kl_fair_queue_active(pool->fair) + 1;
	uint64_t wait = ahead * rivals * pool->average_us / pool->bound;

	return request->came_us + wait > request->deadline_us;
}

void kl_pool_release(kl_lease_t *lease)
{
	kl_pool_t *pool = lease->pool;
	kl_query_t reset = { .text = "DISCARD ALL" };
	uint64_t now = kl_clock_us();

	pool->busy--;
	if (lease->session)
		kl_fair_queue_charge(pool->fair, lease->session->workspace,
				     now - lease->since_us);
	pool->average_us = (7 * pool->average_us + now - lease->since_us) / 8;
	lease->session = NULL;
	lease->since_us = now;
	if (kl_link_pq.transaction(lease->connection) != 'I') {
		pool->busy++;
		kl_pool_drop(lease);
		return;
	}
	if (lease->dirty) {
		lease->resetting = true;
		if (kl_link_pq.send(lease->connection, &reset))
			kl_pool_drop(lease);
		return;
	}
	lease->idle = true;
	serve(pool);
}

void kl_pool_drop(kl_lease_t *lease)
{
	kl_pool_t *pool = lease->pool;

	if (!lease->idle && !lease->resetting && lease->ready &&
	    !lease->checking)
		pool->busy--;
	kl_count(KL_COUNTER_LINKS_DROPPED, 1);
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
			return pool->busy;
	}
	return 0;
}

/* Bounds follow the number of VMs; old, silent and surplus links go. */
void kl_pool_check(kl_worker_t *worker, const kl_view_t *scene)
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
			if (!pool->busy) {
				CK_STAILQ_REMOVE(&worker->pools, pool, kl_pool,
						 link);
				kl_pool_free(pool);
			}
			continue;
		}
		memcpy(pool->host, upstream->host, KL_HOST_MAX);
		pool->port = upstream->port;
		pool->bound = service->upstream_connections / live;
		if (!pool->bound)
			pool->bound = 1;
		tell_interest(pool, now);
		check_leases(pool, now);
		serve(pool);
	}
}

void kl_pool_free(kl_pool_t *pool)
{
	kl_lease_t *lease;

	while ((lease = CK_STAILQ_FIRST(&pool->leases)))
		lease_free(lease);
	kl_fair_queue_free(pool->fair);
	free(pool);
}

/* The control side probes what is in use here. */
static void tell_interest(kl_pool_t *pool, uint64_t now)
{
	if (now - pool->used_us > USED_US || now - pool->told_us < TELL_US)
		return;
	pool->told_us = now;
	kl_control_thread_interest(pool->worker->all->control, pool->service);
}

static void check_leases(kl_pool_t *pool, uint64_t now)
{
	static const kl_query_t keepalive = { .text = "SELECT 1" };
	kl_lease_t *lease, *next;

	CK_STAILQ_FOREACH_SAFE(lease, &pool->leases, link, next) {
		uint64_t since = now - lease->since_us;
		bool silent = (lease->checking || lease->resetting) &&
			      since > CHECK_US;
		bool unborn = !lease->ready && since > CONNECT_US;

		if (silent || unborn) {
			if (unborn)
				pool->refused_us = now;
			kl_pool_drop(lease);
			/* The list may have changed under serve(). */
			return;
		}
		if (!lease->idle || since < KEEPALIVE_US)
			continue;
		if (pool->count > pool->bound) {
			kl_pool_drop(lease);
			return;
		}
		lease->idle = false;
		lease->checking = true;
		lease->since_us = now;
		if (kl_link_pq.send(lease->connection, &keepalive)) {
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
	kl_lease_t *lease;

	while (kl_fair_queue_active(pool->fair)) {
		lease = idle_lease(pool);
		if (!lease)
			break;
		waiter = kl_fair_queue_pop(pool->fair);
		if (!waiter)
			break;
		lease->idle = false;
		lease->since_us = now;
		lease->session = request_of(waiter)->session;
		lease->generation = request_of(waiter)->generation;
		pool->busy++;
		kl_request_run(request_of(waiter), lease);
	}
	if (!kl_fair_queue_active(pool->fair) || pool->count >= pool->bound)
		return;
	if (now - pool->refused_us < BACKOFF_US) {
		if (!pool->count)
			flush_waiters(pool);
		return;
	}
	start_lease(pool);
}

static kl_lease_t *idle_lease(kl_pool_t *pool)
{
	kl_lease_t *lease;

	CK_STAILQ_FOREACH(lease, &pool->leases, link) {
		if (lease->idle)
			return lease;
	}
	return NULL;
}

static void start_lease(kl_pool_t *pool)
{
	kl_link_target_t target = {
		pool->host, pool->port, pool->service,
		pool->worker->all->settings->upstream_user
	};
	kl_lease_t *lease = calloc(1, sizeof(*lease));

	if (!lease)
		return;
	lease->pool = pool;
	lease->since_us = kl_clock_us();
	pool->count++;
	CK_STAILQ_INSERT_TAIL(&pool->leases, lease, link);
	kl_count(KL_COUNTER_LINKS_OPENED, 1);
	lease->connection = kl_link_pq.open(pool->worker->base, &target,
					    &link_events, lease);
	if (lease->connection)
		return;
	pool->refused_us = lease->since_us;
	lease_free(lease);
	if (!pool->count)
		flush_waiters(pool);
}

/* Sends all that wait back to the router. */
static void flush_waiters(kl_pool_t *pool)
{
	kl_waiter_t *waiter;

	while ((waiter = kl_fair_queue_pop(pool->fair)))
		kl_request_reroute(request_of(waiter));
}

static void on_ready(void *owner)
{
	kl_lease_t *lease = owner;

	lease->ready = true;
	lease->idle = true;
	lease->since_us = kl_clock_us();
	serve(lease->pool);
}

static void on_answered(void *owner, const kl_link_result_t *results, int count)
{
	kl_lease_t *lease = owner;

	if (lease->resetting || lease->checking) {
		bool good = count == 1 && !results[0].sqlstate;

		lease->resetting = false;
		lease->checking = false;
		if (!good) {
			lease->idle = true;
			kl_pool_drop(lease);
			return;
		}
		lease->dirty = false;
		lease->idle = true;
		lease->since_us = kl_clock_us();
		serve(lease->pool);
		return;
	}
	/* An answer whose request is gone goes to nobody. */
	if (!lease->session ||
	    lease->session->request.generation != lease->generation ||
	    lease->session->request.lease != lease) {
		kl_count(KL_COUNTER_LATE_ANSWERS, 1);
		kl_pool_drop(lease);
		return;
	}
	kl_request_answered(&lease->session->request, results, count);
}

static void on_broken(void *owner)
{
	kl_lease_t *lease = owner;
	kl_pool_t *pool = lease->pool;
	kl_session_t *session = lease->session;
	bool born = lease->ready;

	if (!born)
		pool->refused_us = kl_clock_us();
	if (session && session->pinned == lease)
		session->pinned = NULL;
	kl_pool_drop(lease);
	if (!born && !pool->count)
		flush_waiters(pool);
	if (session)
		kl_request_lost(&session->request);
}

static void lease_free(kl_lease_t *lease)
{
	kl_pool_t *pool = lease->pool;

	if (lease->session && lease->session->pinned == lease)
		lease->session->pinned = NULL;
	if (lease->session && lease->session->request.lease == lease)
		lease->session->request.lease = NULL;
	CK_STAILQ_REMOVE(&pool->leases, lease, kl_lease, link);
	pool->count--;
	kl_link_pq.close(lease->connection);
	free(lease);
}

static kl_request_t *request_of(kl_waiter_t *waiter)
{
	return (kl_request_t *)((char *)waiter -
				offsetof(kl_request_t, waiter));
}
