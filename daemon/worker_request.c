/*
 * First steps of a request: classify the statement, take its tokens, choose an
 * upstream.  The decisions are made in path/; this file acts on them.
 */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_request.h"

static void begin_in_transaction(kl_request_t *request);
static void admit_statement(kl_request_t *request);
static void answer_set(kl_request_t *request);
static void log_route(const kl_request_t *request,
		      const kl_route_choice_t *choice);
static void count_route(const kl_request_t *request);

void kl_request_start(kl_session_t *session, const kl_query_t *query)
{
	kl_request_t *request = &session->request;
	kl_worker_t *worker = session->worker;

	request->generation++;
	request->query = *query;
	request->text = strdup(query->text);
	request->query.text = request->text;
	request->received_us = kl_clock_us();
	request->deadline_us = request->received_us +
			       worker->workers->settings->statement_ms * KL_MS;
	kl_request_limit_deadline(request);
	request->failed_attempts = 0;
	request->may_have_run = false;
	request->avoid_upstream[0] = '\0';
	request->upstream[0] = '\0';
	request->needs_proof = false;
	request->committed_write = false;
	request->on_replica = false;
	request->conn = NULL;
	request->stage = KL_STAGE_ADMIT;
	kl_classify(request->text, worker->workers->read_functions,
		    &request->statement);
	switch (request->statement.kind) {
	case KL_STATEMENT_EMPTY:
		kl_answer_command_tag(request, "");
		return;
	case KL_STATEMENT_SET_PROXY:
	case KL_STATEMENT_SET:
		answer_set(request);
		return;
	case KL_STATEMENT_SHOW_PROXY:
		kl_session_show_option(session, request->statement.setting);
		return;
	case KL_STATEMENT_UNSUPPORTED:
		kl_answer_error(request, -KL_E_UNSUPPORTED);
		return;
	default:
		break;
	}
	if (session->transaction_status != 'I')
		begin_in_transaction(request);
	else
		admit_statement(request);
}

void kl_request_limit_deadline(kl_request_t *request)
{
	uint64_t end_us = request->session->worker->drain_end_us;

	if (end_us && request->deadline_us > end_us)
		request->deadline_us = end_us;
}

static void answer_set(kl_request_t *request)
{
	/* Drivers set these when they connect; they do not affect results. */
	static const char *const ignored[] = { "application_name",
					       "extra_float_digits",
					       "client_encoding" };
	kl_session_t *session = request->session;
	const kl_classification_t *statement = &request->statement;

	if (statement->kind == KL_STATEMENT_SET_PROXY) {
		if (kl_session_set_option(session, statement->setting,
					  statement->value))
			kl_answer_command_tag(request, "SET");
		else
			kl_answer_error(request, -KL_E_INVALID);
		return;
	}
	for (size_t i = 0; i < sizeof(ignored) / sizeof(*ignored); i++) {
		if (!strcmp(statement->setting, ignored[i])) {
			kl_answer_command_tag(request, "SET");
			return;
		}
	}
	kl_answer_error(request, -KL_E_UNSUPPORTED);
}

static void begin_in_transaction(kl_request_t *request)
{
	kl_session_t *session = request->session;

	if (session->pinned_conn &&
	    kl_pool_has_left(session->pinned_conn->pool))
		kl_session_end_transaction(session);
	/* The connection was lost, which rolled back the transaction. */
	if (!session->pinned_conn) {
		if (kl_request_ends_transaction(request))
			session->transaction_status = 'I';
		/* Its client may not have been told yet. */
		if (request->statement.kind == KL_STATEMENT_COMMIT) {
			kl_answer_error(request, -KL_E_ABORTED);
			return;
		}
		if (kl_request_ends_transaction(request)) {
			kl_answer_command_tag(request, "ROLLBACK");
			return;
		}
		kl_answer_sqlstate(request, "25P02",
				   "the transaction is aborted; not run");
		return;
	}
	if (kl_worker_transactions_ended(session->worker,
					 request->received_us)) {
		kl_answer_error(request, -KL_E_DRAINING);
		return;
	}
	request->term = session->transaction_term;
	request->conn = session->pinned_conn;
	memcpy(request->upstream, session->pinned_conn->pool->upstream,
	       KL_NAME_MAX);
	/* COMMIT and ROLLBACK free resources, so they cost no tokens. */
	if (kl_request_ends_transaction(request))
		kl_request_execute(request, session->pinned_conn);
	else
		admit_statement(request);
}

static void admit_statement(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_view_t view;
	kl_bucket_t *bucket;

	if (session->transaction_status == 'I' &&
	    kl_request_ends_transaction(request)) {
		kl_answer_command_tag(
			request, request->statement.kind == KL_STATEMENT_COMMIT
					 ? "COMMIT"
					 : "ROLLBACK");
		return;
	}
	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	bucket = kl_session_bucket(session, &view);
	if (bucket)
		ck_pr_inc_64(&bucket->arrived_statements);
	kl_read_end(worker->reader);
	switch (kl_request_take_tokens(request)) {
	case 0:
		kl_request_dispatch(request);
		break;
	case -KL_E_RATE:
		kl_request_wait(request, KL_STAGE_ADMIT);
		kl_control_thread_report_waiting_request(
			worker->workers->control);
		break;
	default:
		break;
	}
}

int kl_request_take_tokens(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_view_t view;
	kl_bucket_t *bucket;
	int error;

	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	error = kl_authenticate(&view, &worker->workers->path_settings,
				session->key_hash, session->workspace,
				session->service);
	if (!error && session->transaction_status == 'I' && view.lifecycle &&
	    view.lifecycle->phase == KL_PHASE_DRAINING)
		error = -KL_E_DRAINING;
	bucket = kl_session_bucket(session, &view);
	if (!error)
		error = bucket ? kl_admit_statement(&view, bucket) : -KL_E_RATE;
	kl_read_end(worker->reader);
	if (error && error != -KL_E_RATE) {
		kl_request_stop_waiting(request);
		kl_answer_error(request, error);
	}
	return error;
}

void kl_request_dispatch(kl_request_t *request)
{
	kl_session_t *session = request->session;

	kl_counter_add(KL_COUNTER_ADMITTED, 1);
	if (session->pinned_conn)
		kl_request_execute(request, session->pinned_conn);
	else
		kl_request_route(request);
}

void kl_request_refuse_rate(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_view_t view;
	kl_bucket_t *bucket;

	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	bucket = kl_session_bucket(session, &view);
	if (bucket)
		ck_pr_inc_64(&bucket->refused_statements);
	kl_read_end(worker->reader);
	kl_answer_error(request, -KL_E_RATE);
}

void kl_request_route(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_view_t view;
	kl_route_choice_t choice;
	kl_pool_t *pool = NULL;
	kl_route_request_t route_request = {
		.service = session->service,
		.read_only = kl_request_is_read(request),
		.token = session->token,
		.max_age_us = session->max_age_us,
		.avoid_upstream = request->avoid_upstream,
		.load = kl_pool_busy_conns,
		.context = request
	};

	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	route_request.waited_us = view.now_us - request->received_us;
	kl_route_choose(&view, &worker->workers->path_settings, &route_request,
			&choice);
	request->term = choice.term;
	request->on_replica = choice.on_replica;
	if (choice.verdict == KL_VERDICT_SEND) {
		memcpy(request->upstream, choice.upstream->name.name,
		       KL_NAME_MAX);
		pool = kl_pool_find_or_add(worker, choice.upstream);
		log_route(request, &choice);
	}
	kl_read_end(worker->reader);
	if (choice.verdict == KL_VERDICT_REFUSE) {
		kl_request_fail(request, choice.error);
	} else if (pool) {
		count_route(request);
		kl_pool_enqueue(pool, request);
	} else {
		if (!strcmp(choice.reason, "replicas_lag"))
			kl_control_thread_report_waiting_request(
				worker->workers->control);
		kl_request_wait(request, KL_STAGE_ROUTE);
	}
}

void kl_request_reroute(kl_request_t *request)
{
	memcpy(request->avoid_upstream, request->upstream, KL_NAME_MAX);
	kl_request_wait(request, KL_STAGE_ROUTE);
}

static void log_route(const kl_request_t *request,
		      const kl_route_choice_t *choice)
{
	const kl_session_t *session = request->session;
	kl_decision_t decision = { .name = "route",
				   .workspace = session->workspace,
				   .service = session->service,
				   .upstream = request->upstream,
				   .reason = choice->reason,
				   .term = choice->term,
				   .position = choice->position,
				   .age_us = choice->age_us };

	kl_log_decision(&decision);
}

static void count_route(const kl_request_t *request)
{
	if (request->on_replica)
		kl_counter_add(KL_COUNTER_READS_REPLICA, 1);
	else if (kl_request_is_read(request))
		kl_counter_add(KL_COUNTER_READS_PRIMARY, 1);
	else
		kl_counter_add(KL_COUNTER_WRITES, 1);
}

bool kl_request_is_read(const kl_request_t *request)
{
	return request->statement.kind == KL_STATEMENT_READ ||
	       request->statement.kind == KL_STATEMENT_BEGIN_READ_ONLY;
}

/* BEGIN may be repeated: closing its connection ends the transaction. */
bool kl_request_is_idempotent(const kl_request_t *request)
{
	return kl_request_is_read(request) ||
	       request->statement.kind == KL_STATEMENT_BEGIN ||
	       request->session->repeatable;
}

bool kl_request_ends_transaction(const kl_request_t *request)
{
	return request->statement.kind == KL_STATEMENT_COMMIT ||
	       request->statement.kind == KL_STATEMENT_ROLLBACK;
}
