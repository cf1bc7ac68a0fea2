/*
 * A request on its connection: execute the statement, query the log position
 * after a write, prove that the term is still current, release the answer.
 */
#include <string.h>

#include "daemon/worker_request.h"
#include "upstream/control_query.h"

static void handle_result(kl_request_t *request, const kl_db_result_t *results,
			  int count);
static void query_position(kl_request_t *request);
static void handle_position(kl_request_t *request,
			    const kl_db_result_t *results, int count);
static void release_answer(kl_request_t *request, kl_proof_id_t proof);
static void release_conn(kl_request_t *request);
static bool rejected_unexecuted(const kl_request_t *request,
				const kl_db_result_t *results, int count);
static const char *first_sqlstate(const kl_db_result_t *results, int count);

void kl_request_execute(kl_request_t *request, kl_pool_conn_t *conn)
{
	kl_session_t *session = request->session;

	request->conn = conn;
	request->stage = KL_STAGE_RUN;
	request->step_started_us = kl_clock_us();
	conn->session = session;
	conn->generation = request->generation;
	if (!request->statement.stateless)
		conn->needs_reset = true;
	kl_counter_add(KL_COUNTER_STMTS_LEAVING, conn->pool->leaving);
	if (!kl_db_conn_pq.send(conn->handle, &request->query))
		return;
	/* Nothing was sent, so the statement may be routed again. */
	kl_request_drop_conn(request);
	if (session->transaction_status != 'I') {
		session->transaction_status = 'E';
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
		handle_position(request, results, count);
	else
		handle_result(request, results, count);
}

static void handle_result(kl_request_t *request, const kl_db_result_t *results,
			  int count)
{
	kl_session_t *session = request->session;
	bool failed = first_sqlstate(results, count) != NULL;
	char state_before = session->transaction_status;
	char state_after =
		kl_db_conn_pq.transaction_status(request->conn->handle);

	if (rejected_unexecuted(request, results, count)) {
		kl_request_drop_conn(request);
		kl_request_reroute(request);
		return;
	}
	session->transaction_status = state_after;
	if (state_before == 'I' && state_after != 'I') {
		session->transaction_read_only = request->on_replica;
		session->transaction_term = request->term;
		session->pinned_conn = request->conn;
		/*
		 * Without a session token, reads must see every acknowledged
		 * write: hold back the answer to BEGIN, and with it the
		 * transaction's statements, until the term is proven current.
		 */
		request->needs_proof = !request->on_replica &&
				       session->token.state == KL_TOKEN_UNKNOWN;
	}
	if (state_after == 'I') {
		bool autocommit = state_before == 'I';
		bool read = autocommit && kl_request_is_read(request);

		session->pinned_conn = NULL;
		request->committed_write =
			!failed && !read && !request->on_replica &&
			!(state_before != 'I' &&
			  session->transaction_read_only) &&
			count &&
			strcmp(results[count - 1].command_tag, "ROLLBACK");
		request->needs_proof =
			request->committed_write ||
			(read && !request->on_replica &&
			 session->token.state == KL_TOKEN_UNKNOWN);
	}
	if (request->needs_proof)
		session->front_ops->hold_output(session->front);
	kl_answer_results(request, results, count);
	if (request->committed_write) {
		query_position(request);
		return;
	}
	if (state_after == 'I')
		release_conn(request);
	request->conn = NULL;
	if (request->needs_proof)
		kl_request_prove_term(request, NULL);
	else
		kl_answer_finish(request);
}

/* Uses the connection of the write, so that the position covers the write. */
static void query_position(kl_request_t *request)
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

static void handle_position(kl_request_t *request,
			    const kl_db_result_t *results, int count)
{
	kl_database_answer_t answer = { 0 };

	kl_control_query_parse(results, count, &answer);
	release_conn(request);
	if (answer.error) {
		kl_request_fail(request, -KL_E_UNKNOWN_OUTCOME);
		return;
	}
	if (!answer.reported_primary || answer.term != request->term) {
		kl_request_fail(request, -KL_E_REPLACED);
		return;
	}
	request->written_token.state = KL_TOKEN_KNOWN;
	request->written_token.term = answer.term;
	request->written_token.position = answer.position;
	kl_request_prove_term(request, NULL);
}

void kl_request_prove_term(kl_request_t *request, const kl_vote_tally_t *tally)
{
	kl_session_t *session = request->session;
	kl_worker_t *worker = session->worker;
	kl_proof_state_t state = KL_PROOF_UNDECIDED;
	const kl_group_t *group;
	kl_view_t view;
	int proof;

	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	group = view.terms ? kl_index_get(view.terms->index, session->service)
			   : NULL;
	for (proof = 0; proof < KL_PROOF_COUNT && state == KL_PROOF_UNDECIDED;
	     proof++) {
		const kl_proof_method_t *method = &kl_proof_methods[proof];

		if (method->needs_tally && !tally)
			continue;
		state = method->check(&view, &worker->workers->path_settings,
				      group, request->term, tally);
	}
	kl_read_end(worker->reader);
	request->stage = KL_STAGE_PROVE;
	if (state == KL_PROOF_HOLDS)
		release_answer(request, proof - 1);
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

static void release_answer(kl_request_t *request, kl_proof_id_t proof)
{
	kl_session_t *session = request->session;
	char text[KL_TOKEN_MAX];

	kl_counter_add(proof == KL_PROOF_LEASE ? KL_COUNTER_PROOFS_LEASE
					       : KL_COUNTER_PROOFS_MAJORITY,
		       1);
	session->front_ops->release_output(session->front);
	if (request->committed_write) {
		session->token = request->written_token;
		kl_token_encode(&session->token, session->workspace,
				session->service, text);
		session->front_ops->parameter_status(
			session->front, "kumquatloft.session", text);
	}
	kl_answer_finish(request);
}

void kl_request_fail(kl_request_t *request, int error)
{
	kl_session_t *session = request->session;

	session->front_ops->discard_output(session->front);
	if (session->pinned_conn) {
		kl_pool_drop_conn(session->pinned_conn);
		session->pinned_conn = NULL;
		/* BEGIN fails for the client, so no transaction is open. */
		session->transaction_status = 'I';
	}
	kl_answer_error(request, error);
}

/* Also called when a connection is lost between two statements. */
void kl_request_conn_lost(kl_request_t *request)
{
	kl_session_t *session = request->session;
	bool in_transaction = session->transaction_status != 'I';

	request->conn = NULL;
	if (in_transaction) {
		session->pinned_conn = NULL;
		session->transaction_status = 'E';
	}
	switch (request->stage) {
	case KL_STAGE_RUN:
		if (in_transaction) {
			/* Only a COMMIT may have made the writes durable. */
			if (request->statement.kind == KL_STATEMENT_COMMIT &&
			    !session->transaction_read_only) {
				session->transaction_status = 'I';
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
			request->may_have_run = true;
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

static void release_conn(kl_request_t *request)
{
	kl_pool_conn_t *conn = request->conn;

	request->conn = NULL;
	kl_pool_release_conn(conn);
}

void kl_request_drop_conn(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_pool_conn_t *conn = request->conn;

	request->conn = NULL;
	if (!conn)
		return;
	if (session->pinned_conn == conn)
		session->pinned_conn = NULL;
	conn->session = NULL;
	kl_pool_drop_conn(conn);
}

/*
 * A database that is sealed or not primary rejects a write with 25006 before
 * it executes anything, so the statement may be routed again.
 */
static bool rejected_unexecuted(const kl_request_t *request,
				const kl_db_result_t *results, int count)
{
	const char *sqlstate = first_sqlstate(results, count);

	return sqlstate && request->session->transaction_status == 'I' &&
	       count == 1 && !kl_request_is_read(request) &&
	       !strcmp(sqlstate, "25006") &&
	       kl_db_conn_pq.transaction_status(request->conn->handle) == 'I';
}

static const char *first_sqlstate(const kl_db_result_t *results, int count)
{
	for (int i = 0; i < count; i++)
		if (results[i].sqlstate)
			return results[i].sqlstate;
	return NULL;
}
