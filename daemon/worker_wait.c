/* Statements that wait: for tokens, an upstream or a proof; deadlines. */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_request.h"

#define REPROVE_US 100000 /* between two rounds for one statement */

static void leave_queue(kl_request_t *request);

/* Looks again at what waits for tokens, an upstream or a proof. */
void kl_request_poll_waiting(kl_worker_t *worker)
{
	uint64_t admit_wait = worker->workers->settings->admit_wait_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_request_t *request, *next;
	bool wants_tokens = false;

	worker->poll_pass++;
	CK_STAILQ_FOREACH_SAFE(request, &worker->waiting_requests, wait_link,
			       next) {
		bool late = now >= request->deadline_us;

		/* Those that go on waiting come again at the tail. */
		if (request->poll_pass == worker->poll_pass)
			break;
		request->poll_pass = worker->poll_pass;

		switch (request->stage) {
		case KL_STAGE_ADMIT:
			if (!kl_request_take_tokens(request)) {
				kl_request_stop_waiting(request);
				kl_request_dispatch(request);
			} else if (request->stage == KL_STAGE_ADMIT &&
				   now - request->received_us >= admit_wait) {
				kl_request_stop_waiting(request);
				kl_request_refuse_rate(request);
			} else {
				wants_tokens = true;
			}
			break;
		case KL_STAGE_ROUTE:
			kl_request_stop_waiting(request);
			if (late)
				kl_request_fail(request, -KL_E_NO_UPSTREAM);
			else
				kl_request_route(request);
			break;
		case KL_STAGE_PROVE:
			if (late) {
				kl_request_stop_waiting(request);
				kl_request_fail(request, -KL_E_REPLACED);
			} else if (now - request->step_started_us >=
				   REPROVE_US) {
				kl_request_stop_waiting(request);
				kl_request_prove_term(request, NULL);
			}
			break;
		default:
			kl_request_stop_waiting(request);
			break;
		}
	}
	if (wants_tokens)
		kl_control_thread_demand(worker->workers->control);
}

/* Deadlines of what queues, runs or is proven. */
void kl_request_expire_all(kl_worker_t *worker)
{
	uint64_t silent = worker->workers->settings->silent_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_session_t *session, *next;

	CK_LIST_FOREACH_SAFE(session, &worker->sessions, link, next) {
		kl_request_t *request = &session->request;
		bool late = now >= request->deadline_us;

		if (request->stage == KL_STAGE_QUEUE && late) {
			leave_queue(request);
			kl_request_fail(request, -KL_E_DEADLINE);
		} else if (request->stage == KL_STAGE_PROVE && late) {
			kl_request_stop_waiting(request);
			kl_prover_cancel(worker->prover, request);
			kl_request_fail(request, -KL_E_REPLACED);
		} else if (request->stage == KL_STAGE_RUN ||
			   request->stage == KL_STAGE_POSITION) {
			bool retry =
				kl_request_is_idempotent(request) &&
				request->failed_attempts + 1 < ATTEMPTS_MAX &&
				session->transaction_state == 'I' &&
				request->stage == KL_STAGE_RUN &&
				now - request->step_started_us >= silent;

			if (!late && !retry)
				continue;
			kl_request_drop_conn(request);
			kl_request_conn_lost(request);
		}
	}
}

void kl_request_wait(kl_request_t *request, kl_request_stage_t stage)
{
	kl_worker_t *worker = request->session->worker;
	kl_view_t scene;
	kl_bucket_t *bucket;

	request->stage = stage;
	request->in_wait_list = true;
	CK_STAILQ_INSERT_TAIL(&worker->waiting_requests, request, wait_link);
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

	if (!request->in_wait_list)
		return;
	request->in_wait_list = false;
	CK_STAILQ_REMOVE(&worker->waiting_requests, request, kl_request,
			 wait_link);
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
			kl_fair_queue_remove(pool->fair_queue,
					     &request->waiter);
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
	kl_request_fail(request, -KL_E_DEADLINE);
}

/* For a caller that left, or a session that ends. */
void kl_request_abort(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_pool_conn_t *lease = request->conn;

	kl_request_stop_waiting(request);
	if (request->stage == KL_STAGE_QUEUE)
		leave_queue(request);
	if (request->stage == KL_STAGE_PROVE)
		kl_prover_cancel(session->worker->prover, request);
	if (lease) {
		if (session->pinned_conn == lease)
			session->pinned_conn = NULL;
		request->conn = NULL;
		lease->session = NULL;
		kl_pool_drop(lease);
	}
	free(request->text);
	request->text = NULL;
	request->stage = KL_STAGE_IDLE;
	request->generation++;
}
