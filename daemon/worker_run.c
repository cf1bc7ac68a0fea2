/*
 * A statement on its connection: run, its position learnt, its term proven,
 * answered or given up.
 */
#include <string.h>

#include "daemon/worker_request.h"
#include "upstream/control_query.h"

static void finish_run(kl_request_t *request, const kl_link_result_t *results,
		       int count);
static void ask_position(kl_request_t *request);
static void position_came(kl_request_t *request,
			  const kl_link_result_t *results, int count);
static void proven(kl_request_t *request, kl_proof_id_t proof);
static void release_lease(kl_request_t *request);
static bool refused_unrun(const kl_request_t *request,
			  const kl_link_result_t *results, int count);
static const char *first_error(const kl_link_result_t *results, int count);

void kl_request_run(kl_request_t *request, kl_lease_t *lease)
{
	kl_session_t *session = request->session;

	request->lease = lease;
	request->stage = KL_STAGE_RUN;
	request->started_us = kl_clock_us();
	lease->session = session;
	lease->generation = request->generation;
	if (!request->statement.stateless)
		lease->dirty = true;
	if (!kl_link_pq.send(lease->connection, &request->query))
		return;
	/* Nothing was sent. */
	kl_request_drop_lease(request);
	if (session->transaction != 'I') {
		session->transaction = 'E';
		kl_answer_text_error(request, "08006",
				     "the connection is lost and the "
				     "transaction rolled back; not run");
		return;
	}
	kl_request_reroute(request);
}

void kl_request_answered(kl_request_t *request, const kl_link_result_t *results,
			 int count)
{
	if (request->stage == KL_STAGE_POSITION)
		position_came(request, results, count);
	else
		finish_run(request, results, count);
}

static void finish_run(kl_request_t *request, const kl_link_result_t *results,
		       int count)
{
	kl_session_t *session = request->session;
	bool failed = first_error(results, count) != NULL;
	char before = session->transaction;
	char after = kl_link_pq.transaction(request->lease->connection);

	if (refused_unrun(request, results, count)) {
		kl_request_drop_lease(request);
		kl_request_reroute(request);
		return;
	}
	session->transaction = after;
	if (before == 'I' && after != 'I') {
		session->read_only = request->replica;
		session->transaction_term = request->term;
		session->pinned = request->lease;
		/* What follows must not be seen before the term is proven. */
		request->needs_proof = !request->replica &&
				       session->token.state == KL_TOKEN_UNKNOWN;
	}
	if (after == 'I') {
		bool whole = before == 'I';
		bool read = whole && kl_request_wants_read(request);

		session->pinned = NULL;
		request->wrote = !failed && !read && !request->replica &&
				 !(before != 'I' && session->read_only) &&
				 count &&
				 strcmp(results[count - 1].tag, "ROLLBACK");
		request->needs_proof =
			request->wrote ||
			(read && !request->replica &&
			 session->token.state == KL_TOKEN_UNKNOWN);
	}
	if (request->needs_proof)
		session->ops->hold(session->front);
	kl_answer_results(request, results, count);
	if (request->wrote) {
		ask_position(request);
		return;
	}
	if (after == 'I')
		release_lease(request);
	request->lease = NULL;
	if (request->needs_proof)
		kl_request_prove(request, NULL);
	else
		kl_answer_done(request);
}

/* On the same connection, so that the answer covers the write. */
static void ask_position(kl_request_t *request)
{
	char text[KL_CONTROL_QUERY_MAX];
	kl_query_t query = { .text = text };

	kl_control_query(KL_DATABASE_STATUS, 0, text);
	request->stage = KL_STAGE_POSITION;
	if (!kl_link_pq.send(request->lease->connection, &query))
		return;
	kl_request_drop_lease(request);
	kl_request_give_up(request, -KL_E_UNKNOWN_OUTCOME);
}

static void position_came(kl_request_t *request,
			  const kl_link_result_t *results, int count)
{
	kl_database_answer_t answer = { 0 };

	kl_control_answer(results, count, &answer);
	release_lease(request);
	if (answer.error) {
		kl_request_give_up(request, -KL_E_UNKNOWN_OUTCOME);
		return;
	}
	if (!answer.primary || answer.term != request->term) {
		kl_request_give_up(request, -KL_E_REPLACED);
		return;
	}
	request->written.state = KL_TOKEN_KNOWN;
	request->written.term = answer.term;
	request->written.position = answer.position;
	kl_request_prove(request, NULL);
}

/* Tries each way of proving; a tally is there if one was asked for. */
void kl_request_prove(kl_request_t *request, const kl_vote_tally_t *tally)
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
		state = row->check(&scene, &worker->all->path, group,
				   request->term, tally);
	}
	kl_read_end(worker->reader);
	request->stage = KL_STAGE_PROVE;
	if (state == KL_PROOF_HOLDS)
		proven(request, proof - 1);
	else if (state == KL_PROOF_FAILS)
		kl_request_give_up(request, -KL_E_REPLACED);
	else if (tally)
		kl_request_wait(request, KL_STAGE_PROVE);
	else
		kl_prover_ask(worker->prover, request);
}

void kl_request_proven(kl_request_t *request, const kl_vote_tally_t *tally)
{
	request->started_us = kl_clock_us();
	kl_request_prove(request, tally);
}

static void proven(kl_request_t *request, kl_proof_id_t proof)
{
	kl_session_t *session = request->session;
	char text[KL_TOKEN_MAX];

	kl_count(proof == KL_PROOF_LEASE ? KL_COUNTER_PROOFS_LEASE
					 : KL_COUNTER_PROOFS_MAJORITY,
		 1);
	session->ops->release(session->front);
	if (request->wrote) {
		session->token = request->written;
		kl_token_encode(&session->token, session->workspace,
				session->service, text);
		session->ops->parameter(session->front, "kumquatloft.session",
					text);
	}
	kl_answer_done(request);
}

/* The answer that was kept back is never shown: an error takes its place. */
void kl_request_give_up(kl_request_t *request, int error)
{
	kl_session_t *session = request->session;

	session->ops->discard(session->front);
	if (session->pinned) {
		kl_pool_drop(session->pinned);
		session->pinned = NULL;
		/* Refused as a whole, a BEGIN has begun nothing. */
		session->transaction = 'I';
	}
	kl_answer_error(request, error);
}

/* The connection broke under the request, or while none ran. */
void kl_request_lost(kl_request_t *request)
{
	kl_session_t *session = request->session;
	bool in_transaction = session->transaction != 'I';

	request->lease = NULL;
	if (in_transaction) {
		session->pinned = NULL;
		session->transaction = 'E';
	}
	switch (request->stage) {
	case KL_STAGE_RUN:
		if (in_transaction) {
			/* A COMMIT may have taken effect; nothing else can. */
			if (request->statement.kind == KL_STATEMENT_COMMIT &&
			    !session->read_only) {
				session->transaction = 'I';
				kl_request_give_up(request,
						   -KL_E_UNKNOWN_OUTCOME);
			} else {
				kl_answer_text_error(
					request, "08006",
					"the connection is lost and the "
					"transaction rolled back");
			}
			return;
		}
		if (kl_request_idempotent(request) &&
		    ++request->tries < TRIES_MAX) {
			kl_count(KL_COUNTER_RETRIES, 1);
			kl_request_reroute(request);
			return;
		}
		kl_request_give_up(request, kl_request_wants_read(request)
						    ? -KL_E_UNAVAILABLE
						    : -KL_E_UNKNOWN_OUTCOME);
		return;
	case KL_STAGE_POSITION:
		kl_request_give_up(request, -KL_E_UNKNOWN_OUTCOME);
		return;
	default:
		return;
	}
}

static void release_lease(kl_request_t *request)
{
	kl_lease_t *lease = request->lease;

	request->lease = NULL;
	kl_pool_release(lease);
}

void kl_request_drop_lease(kl_request_t *request)
{
	kl_session_t *session = request->session;
	kl_lease_t *lease = request->lease;

	request->lease = NULL;
	if (!lease)
		return;
	if (session->pinned == lease)
		session->pinned = NULL;
	lease->session = NULL;
	kl_pool_drop(lease);
}

/* A database that is sealed or no primary says so before it runs anything. */
static bool refused_unrun(const kl_request_t *request,
			  const kl_link_result_t *results, int count)
{
	const char *state = first_error(results, count);

	return state && request->session->transaction == 'I' && count == 1 &&
	       !kl_request_wants_read(request) && !strcmp(state, "25006") &&
	       kl_link_pq.transaction(request->lease->connection) == 'I';
}

static const char *first_error(const kl_link_result_t *results, int count)
{
	for (int i = 0; i < count; i++)
		if (results[i].sqlstate)
			return results[i].sqlstate;
	return NULL;
}
