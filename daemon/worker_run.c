/*
 * A statement on its connection: run, its position learnt, its term proven,
 * answered or given up.
 */
#include <string.h>

#include "daemon/worker_request.h"
#include "upstream/control_query.h"

static void finish_run(kl_request_t *request, const kl_db_result_t *results,
		       int count);
static void ask_position(kl_request_t *request);
static void position_came(kl_request_t *request, const kl_db_result_t *results,
			  int count);
static void proven(kl_request_t *request, kl_proof_id_t proof);
static void release_lease(kl_request_t *request);
static bool refused_unrun(const kl_request_t *request,
			  const kl_db_result_t *results, int count);
static const char *first_error(const kl_db_result_t *results, int count);

void kl_request_execute(kl_request_t *request, kl_pool_conn_t *lease)
{
	kl_session_t *session = request->session;

	request->conn = lease;
	request->stage = KL_STAGE_RUN;
	request->step_started_us = kl_clock_us();
	lease->session = session;
	lease->generation = request->generation;
	if (!request->statement.stateless)
		lease->dirty = true;
	if (!kl_db_conn_pq.send(lease->handle, &request->query))
		return;
	/* Nothing was sent. */
	kl_request_drop_conn(request);
	if (session->transaction_state != 'I') {
		session->transaction_state = 'E';
		kl_answer_sqlstate(request, "08006",
				   "the connection is lost and the "
				   "transaction rolled back; not run");
		return;
	}
	kl_request_reroute(request);
}

void kl_request_answered(kl_request_t *request, const kl_db_result_t *results,
			 int count)
{
	if (request->stage == KL_STAGE_POSITION)
		position_came(request, results, count);
	else
		finish_run(request, results, count);
}

static void finish_run(kl_request_t *request, const kl_db_result_t *results,
		       int count)
{
	kl_session_t *session = request->session;
	bool failed = first_error(results, count) != NULL;
	char before = session->transaction_state;
	char after = kl_db_conn_pq.transaction_status(request->conn->handle);

	if (refused_unrun(request, results, count)) {
		kl_request_drop_conn(request);
		kl_request_reroute(request);
		return;
	}
	session->transaction_state = after;
	if (before == 'I' && after != 'I') {
		session->transaction_read_only = request->on_replica;
		session->transaction_term = request->term;
		session->pinned_conn = request->conn;
		/* What follows must not be seen before the term is proven. */
		request->needs_proof = !request->on_replica &&
				       session->token.state == KL_TOKEN_UNKNOWN;
	}
	if (after == 'I') {
		bool whole = before == 'I';
		bool read = whole && kl_request_is_read(request);

		session->pinned_conn = NULL;
		request->wrote =
			!failed && !read && !request->on_replica &&
			!(before != 'I' && session->transaction_read_only) &&
			count &&
			strcmp(results[count - 1].command_tag, "ROLLBACK");
		request->needs_proof =
			request->wrote ||
			(read && !request->on_replica &&
			 session->token.state == KL_TOKEN_UNKNOWN);
	}
	if (request->needs_proof)
		session->front_ops->hold_output(session->front);
	kl_answer_results(request, results, count);
	if (request->wrote) {
		ask_position(request);
		return;
	}
	if (after == 'I')
		release_lease(request);
	request->conn = NULL;
	if (request->needs_proof)
		kl_request_prove_term(request, NULL);
	else
		kl_answer_finish(request);
}

/* On the same connection, so that the answer covers the write. */
static void ask_position(kl_request_t *request)
{
	char text[KL_CONTROL_QUERY_MAX];
	kl_query_t query = { .text = text };

	kl_control_query_format(KL_DATABASE_STATUS, 0, text);
	request->stage = KL_STAGE_POSITION;
	if (!kl_db_conn_pq.send(request->conn->handle, &query))
		return;
	kl_request_drop_conn(request);
	kl_request_fail(request, -KL_E_UNKNOWN_OUTCOME);
}

static void position_came(kl_request_t *request, const kl_db_result_t *results,
			  int count)
{
	kl_database_answer_t answer = { 0 };

	kl_control_query_parse(results, count, &answer);
	release_lease(request);
	if (answer.error) {
		kl_request_fail(request, -KL_E_UNKNOWN_OUTCOME);
		return;
	}
	if (!answer.primary || answer.term != request->term) {
		kl_request_fail(request, -KL_E_REPLACED);
		return;
	}
	request->written_token.state = KL_TOKEN_KNOWN;
	request->written_token.term = answer.term;
	request->written_token.position = answer.position;
	kl_request_prove_term(request, NULL);
}

/* Tries each way of proving; a tally is there if one was asked for. */
void kl_request_prove_term(kl_request_t *request, const kl_vote_tally_t *tally)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_proof_state_t state = KL_PROOF_UNDECIDED;
	const kl_group_t *group;
	kl_view_t scene;
	int proof;

	kl_read_begin(worker->reader);
	kl_view_load(&scene, worker->reader, kl_clock_us());
	group = scene.terms ? kl_index_get(scene.terms->index, session->service)
			    : NULL;
	for (proof = 0; proof < KL_PROOF_COUNT && state == KL_PROOF_UNDECIDED;
	     proof++) {
		const kl_proof_method_t *row = &kl_proof_methods[proof];

		if (row->asks_databases && !tally)
			continue;
		state = row->check(&scene, &worker->workers->path_settings,
				   group, request->term, tally);
	}
	kl_read_end(worker->reader);
	request->stage = KL_STAGE_PROVE;
	if (state == KL_PROOF_HOLDS)
		proven(request, proof - 1);
	else if (state == KL_PROOF_FAILS)
		kl_request_fail(request, -KL_E_REPLACED);
	else if (tally)
		kl_request_wait(request, KL_STAGE_PROVE);
	else
		kl_prover_submit(worker->prover, request);
}

void kl_request_on_tally(kl_request_t *request, const kl_vote_tally_t *tally)
{
	request->step_started_us = kl_clock_us();
	kl_request_prove_term(request, tally);
}

static void proven(kl_request_t *request, kl_proof_id_t proof)
{
	kl_session_t *session = request->session;
	char text[KL_TOKEN_MAX];

	kl_counter_add(proof == KL_PROOF_LEASE ? KL_COUNTER_PROOFS_LEASE
					       : KL_COUNTER_PROOFS_MAJORITY,
		       1);
	session->front_ops->release_output(session->front);
	if (request->wrote) {
		session->token = request->written_token;
		kl_token_encode(&session->token, session->workspace,
				session->service, text);
		session->front_ops->parameter_status(
			session->front, "kumquatloft.session", text);
	}
	kl_answer_finish(request);
}

/* The answer that was kept back is never shown: an error takes its place. */
void kl_request_fail(kl_request_t *request, int error)
{
	kl_session_t *session = request->session;

	session->front_ops->discard_output(session->front);
	if (session->pinned_conn) {
		kl_pool_drop(session->pinned_conn);
		session->pinned_conn = NULL;
		/* Refused as a whole, a BEGIN has begun nothing. */
		session->transaction_state = 'I';
	}
	kl_answer_error(request, error);
}

/* The connection broke under the request, or while none ran. */
void kl_request_conn_lost(kl_request_t *request)
{
	kl_session_t *session = request->session;
	bool in_transaction = session->transaction_state != 'I';

	request->conn = NULL;
	if (in_transaction) {
		session->pinned_conn = NULL;
		session->transaction_state = 'E';
	}
	switch (request->stage) {
	case KL_STAGE_RUN:
		if (in_transaction) {
			/* A COMMIT may have taken effect; nothing else can. */
			if (request->statement.kind == KL_STATEMENT_COMMIT &&
			    !session->transaction_read_only) {
				session->transaction_state = 'I';
				kl_request_fail(request, -KL_E_UNKNOWN_OUTCOME);
			} else {
				kl_answer_sqlstate(
					request, "08006",
					"the connection is lost and the "
					"transaction rolled back");
			}
			return;
		}
		if (kl_request_is_idempotent(request) &&
		    ++request->failed_attempts < ATTEMPTS_MAX) {
			kl_counter_add(KL_COUNTER_RETRIES, 1);
			kl_request_reroute(request);
			return;
		}
		kl_request_fail(request, kl_request_is_read(request)
						 ? -KL_E_UNAVAILABLE
						 : -KL_E_UNKNOWN_OUTCOME);
		return;
	case KL_STAGE_POSITION:
		kl_request_fail(request, -KL_E_UNKNOWN_OUTCOME);
		return;
	default:
		return;
	}
}

static void release_lease(kl_request_t *request)
{
	kl_pool_conn_t *lease = request->conn;

	request->conn = NULL;
	kl_pool_release(lease);
}

void kl_request_drop_conn(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_pool_conn_t *lease = request->conn;

	request->conn = NULL;
	if (!lease)
		return;
	if (session->pinned_conn == lease)
		session->pinned_conn = NULL;
	lease->session = NULL;
	kl_pool_drop(lease);
}

/* A database that is sealed or no primary says so before it runs anything. */
static bool refused_unrun(const kl_request_t *request,
			  const kl_db_result_t *results, int count)
{
	const char *state = first_error(results, count);

	return state && request->session->transaction_state == 'I' &&
	       count == 1 && !kl_request_is_read(request) &&
	       !strcmp(state, "25006") &&
	       kl_db_conn_pq.transaction_status(request->conn->handle) == 'I';
}

static const char *first_error(const kl_db_result_t *results, int count)
{
	for (int i = 0; i < count; i++)
		if (results[i].sqlstate)
			return results[i].sqlstate;
	return NULL;
}
