/*
 * Requests that wait for tokens, an upstream or a proof, and the deadlines of
 * all requests.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_request.h"

#define PROOF_RETRY_US 100000 /* after a round without a decision */

static void leave_pool_queue(kl_request_t *request);

void kl_request_poll_waiting(kl_worker_t *worker)
{
	uint64_t admit_wait_us =
		worker->workers->settings->admit_wait_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_request_t *request, *next;
	bool needs_tokens = false;

	worker->poll_pass++;
	CK_STAILQ_FOREACH_SAFE(request, &worker->waiting_requests, wait_link,
			       next) {
		bool expired = now >= request->deadline_us;

		/* Requests that go on waiting are re-added at the tail. */
		if (request->poll_pass == worker->poll_pass)
			break;
		request->poll_pass = worker->poll_pass;

		switch (request->stage) {
		case KL_STAGE_ADMIT:
			if (!kl_request_take_tokens(request)) {
				kl_request_stop_waiting(request);
				kl_request_dispatch(request);
			} else if (request->stage == KL_STAGE_ADMIT &&
				   now - request->received_us >=
					   admit_wait_us) {
				kl_request_stop_waiting(request);
				kl_request_refuse_rate(request);
			} else {
				needs_tokens = true;
			}
			break;
		case KL_STAGE_ROUTE:
			kl_request_stop_waiting(request);
			if (expired)
				kl_request_fail(request, -KL_E_NO_UPSTREAM);
			else
				kl_request_route(request);
			break;
		case KL_STAGE_PROVE:
			if (expired) {
				kl_request_stop_waiting(request);
				kl_request_fail(request, -KL_E_REPLACED);
			} else if (now - request->step_started_us >=
				   PROOF_RETRY_US) {
				kl_request_stop_waiting(request);
				kl_request_prove_term(request, NULL);
			}
			break;
		default:
			kl_request_stop_waiting(request);
			break;
		}
	}
	if (needs_tokens)
		kl_control_thread_report_waiting_request(
			worker->workers->control);
}

void kl_request_expire_all(kl_worker_t *worker)
{
	uint64_t silent_us = worker->workers->settings->silent_ms * KL_MS;
	uint64_t now = kl_clock_us();
	kl_session_t *session, *next;

	CK_LIST_FOREACH_SAFE(session, &worker->sessions, link, next) {
		kl_request_t *request = &session->request;
		bool expired = now >= request->deadline_us;

		if (request->stage == KL_STAGE_QUEUE && expired) {
			leave_pool_queue(request);
			kl_request_fail(request, -KL_E_DEADLINE);
		} else if (request->stage == KL_STAGE_PROVE && expired) {
			kl_request_stop_waiting(request);
			kl_prover_cancel(worker->prover, request);
			kl_request_fail(request, -KL_E_REPLACED);
		} else if (request->stage == KL_STAGE_RUN ||
			   request->stage == KL_STAGE_POSITION) {
			bool retry =
				kl_request_is_idempotent(request) &&
				request->failed_attempts + 1 < ATTEMPTS_MAX &&
				session->transaction_status == 'I' &&
				request->stage == KL_STAGE_RUN &&
				now - request->step_started_us >= silent_us;

			if (!expired && !retry)
				continue;
			kl_request_drop_conn(request);
			kl_request_conn_lost(request);
		}
	}
}

void kl_request_wait(kl_request_t *request, kl_request_stage_t stage)
{
	kl_worker_t *worker = request->session->worker;
	kl_view_t view;
	kl_bucket_t *bucket;

	request->stage = stage;
	request->in_wait_list = true;
	CK_STAILQ_INSERT_TAIL(&worker->waiting_requests, request, wait_link);
	if (stage != KL_STAGE_ADMIT)
		return;
	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, 0);
	bucket = kl_session_bucket(request->session, &view);
	if (bucket)
		request->waiting_in = kl_count_waiting(bucket);
	kl_read_end(worker->reader);
}

void kl_request_stop_waiting(kl_request_t *request)
{
	kl_worker_t *worker = request->session->worker;

	if (!request->in_wait_list)
		return;
	request->in_wait_list = false;
	CK_STAILQ_REMOVE(&worker->waiting_requests, request, kl_request,
			 wait_link);
	kl_uncount_waiting(request->waiting_in);
	request->waiting_in = NULL;
}

static void leave_pool_queue(kl_request_t *request)
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
	bool unsent = request->stage == KL_STAGE_ADMIT ||
		      request->stage == KL_STAGE_ROUTE ||
		      request->stage == KL_STAGE_QUEUE;

	/* Aborting a statement that was sent would make its outcome unknown. */
	if (!unsent)
		return;
	kl_request_stop_waiting(request);
	if (request->stage == KL_STAGE_QUEUE)
		leave_pool_queue(request);
	kl_request_fail(request, -KL_E_DEADLINE);
}

void kl_request_abort(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_pool_conn_t *conn = request->conn;

	kl_request_stop_waiting(request);
	if (request->stage == KL_STAGE_QUEUE)
		leave_pool_queue(request);
	if (request->stage == KL_STAGE_PROVE)
		kl_prover_cancel(session->worker->prover, request);
	if (conn) {
		if (session->pinned_conn == conn)
			session->pinned_conn = NULL;
		request->conn = NULL;
		conn->session = NULL;
		kl_pool_drop_conn(conn);
	}
	free(request->text);
	request->text = NULL;
	request->stage = KL_STAGE_IDLE;
	request->generation++;
}
