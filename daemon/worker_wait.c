/* Statements that wait: for tokens, an upstream or a proof; deadlines. */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_request.h"

#define REPROVE_US 100000 /* between two rounds for one statement */

static void leave_queue(kl_request_t *request);

/* Looks again at what waits for tokens, an upstream or a proof. */
void kl_request_look_again(kl_worker_t *worker)
{
	uint64_t admit_wait = worker->all->settings->admit_wait_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_request_t *request, *next;
	bool wants_tokens = false;

	worker->pass++;
	CK_STAILQ_FOREACH_SAFE(request, &worker->waiting, waiting, next) {
		bool late = now >= request->deadline_us;

		/* Those that go on waiting come again at the tail. */
		if (request->pass == worker->pass)
			break;
		request->pass = worker->pass;

		switch (request->stage) {
		case KL_STAGE_ADMIT:
			if (!kl_request_admit(request)) {
				kl_request_stop_waiting(request);
				kl_request_admitted(request);
			} else if (request->stage == KL_STAGE_ADMIT &&
				   now - request->came_us >= admit_wait) {
				kl_request_stop_waiting(request);
				kl_request_refuse_tokens(request);
			} else {
				wants_tokens = true;
			}
			break;
		case KL_STAGE_ROUTE:
			kl_request_stop_waiting(request);
			if (late)
				kl_request_give_up(request, -KL_E_NO_UPSTREAM);
			else
				kl_request_route(request);
			break;
		case KL_STAGE_PROVE:
			if (late) {
				kl_request_stop_waiting(request);
				kl_request_give_up(request, -KL_E_REPLACED);
			} else if (now - request->started_us >= REPROVE_US) {
				kl_request_stop_waiting(request);
				kl_request_prove(request, NULL);
			}
			break;
		default:
			kl_request_stop_waiting(request);
			break;
		}
	}
	if (wants_tokens)
		kl_control_thread_demand(worker->all->control);
}

/* Deadlines of what queues, runs or is proven. */
void kl_request_deadlines(kl_worker_t *worker)
{
	uint64_t silent = worker->all->settings->silent_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_session_t *session, *next;

	CK_LIST_FOREACH_SAFE(session, &worker->sessions, link, next) {
		kl_request_t *request = &session->request;
		bool late = now >= request->deadline_us;

		if (request->stage == KL_STAGE_QUEUE && late) {
			leave_queue(request);
			kl_request_give_up(request, -KL_E_DEADLINE);
		} else if (request->stage == KL_STAGE_PROVE && late) {
			kl_request_stop_waiting(request);
			kl_prover_forget(worker->prover, request);
			kl_request_give_up(request, -KL_E_REPLACED);
		} else if (request->stage == KL_STAGE_RUN ||
			   request->stage == KL_STAGE_POSITION) {
			bool retry = kl_request_idempotent(request) &&
				     request->tries + 1 < TRIES_MAX &&
				     session->transaction == 'I' &&
				     request->stage == KL_STAGE_RUN &&
				     now - request->started_us >= silent;

			if (!late && !retry)
				continue;
			kl_request_drop_lease(request);
			kl_request_lost(request);
		}
	}
}

void kl_request_wait(kl_request_t *request, kl_stage_t stage)
{
	kl_worker_t *worker = request->session->worker;
	kl_view_t scene;
	kl_bucket_t *bucket;

	request->stage = stage;
	request->counted_waiting = true;
	CK_STAILQ_INSERT_TAIL(&worker->waiting, request, waiting);
	if (stage != KL_STAGE_ADMIT)
		return;
	kl_read_begin(worker->reader);
	kl_view_load(&scene, worker->reader, 0);
	bucket = kl_session_bucket(request->session, &scene);
	if (bucket)
		ck_pr_inc_64(&bucket->waiting);
	kl_read_end(worker->reader);
}

void kl_request_stop_waiting(kl_request_t *request)
{
	kl_worker_t *worker = request->session->worker;
	kl_view_t scene;
	kl_bucket_t *bucket;

	if (!request->counted_waiting)
		return;
	request->counted_waiting = false;
	CK_STAILQ_REMOVE(&worker->waiting, request, kl_request, waiting);
	if (request->stage != KL_STAGE_ADMIT)
		return;
	kl_read_begin(worker->reader);
	kl_view_load(&scene, worker->reader, 0);
	bucket = kl_session_bucket(request->session, &scene);
	if (bucket && ck_pr_load_64(&bucket->waiting))
		ck_pr_dec_64(&bucket->waiting);
	kl_read_end(worker->reader);
}

static void leave_queue(kl_request_t *request)
{
	kl_worker_t *worker = request->session->worker;
	kl_pool_t *pool;

	CK_STAILQ_FOREACH(pool, &worker->pools, link) {
		if (!strcmp(pool->service, request->session->service) &&
		    !strcmp(pool->upstream, request->upstream))
			kl_fair_queue_remove(pool->fair, &request->waiter);
	}
}

void kl_request_cancel(kl_request_t *request)
{
	bool waits = request->stage == KL_STAGE_ADMIT ||
		     request->stage == KL_STAGE_ROUTE ||
		     request->stage == KL_STAGE_QUEUE;

	/* What runs is left to finish: its outcome would become unknown. */
	if (!waits)
		return;
	kl_request_stop_waiting(request);
	if (request->stage == KL_STAGE_QUEUE)
		leave_queue(request);
	kl_request_give_up(request, -KL_E_DEADLINE);
}

/* For a caller that left, or a session that ends. */
void kl_request_abort(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_lease_t *lease = request->lease;

	kl_request_stop_waiting(request);
	if (request->stage == KL_STAGE_QUEUE)
		leave_queue(request);
	if (request->stage == KL_STAGE_PROVE)
		kl_prover_forget(session->worker->prover, request);
	if (lease) {
		if (session->pinned == lease)
			session->pinned = NULL;
		request->lease = NULL;
		lease->session = NULL;
		kl_pool_drop(lease);
	}
	free(request->text);
	request->text = NULL;
	request->stage = KL_STAGE_NONE;
	request->generation++;
}
