/*
 * Proof by majority that a primary's term is current.  Works in rounds: one
 * status call to each database of the group proves the term for every
 * statement that ended before the round started, and requests that arrive
 * during a round wait for the next one.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

#define DATABASES_MAX 16 /* limit of databases called in one round */

/* A database's answer to the status call of a round. */
typedef struct status {
	bool received;	   /* an answer arrived; false if the call failed */
	uint64_t term;	   /* term in which the database serves */
	uint64_t min_term; /* lowest term that it still accepts */
} status_t;

/* The current round of one service and the requests for the next round. */
typedef struct round {
	CK_STAILQ_ENTRY(round) link;
	char service[KL_NAME_MAX];
	uint64_t started_us;   /* sent_us of the round's calls */
	uint32_t call_count;   /* databases called; 0 if no round runs */
	uint32_t answer_count; /* of these calls, those that ended or failed */
	status_t statuses[DATABASES_MAX];
	CK_STAILQ_HEAD(, kl_request) current_requests;
	CK_STAILQ_HEAD(, kl_request) next_requests;
} round_t;

typedef struct kl_prover {
	kl_worker_t *worker;
	kl_database_client_t *database_client;
	CK_STAILQ_HEAD(, round) rounds;
} kl_prover_t;

static void on_answer(void *context, const kl_database_answer_t *answer);
static void handle_answer(void *owner, kl_message_t *message);
static void start_round(kl_prover_t *prover, round_t *round);
static void finish_round(kl_prover_t *prover, round_t *round);
static round_t *find_or_add_round(kl_prover_t *prover, const char *service);

/* A database's answer on its way through the inbox. */
typedef struct answer_message {
	kl_message_t base;
	kl_database_answer_t answer;
} answer_message_t;

struct kl_prover *kl_prover_new(kl_worker_t *worker)
{
	kl_prover_t *prover = calloc(1, sizeof(*prover));

	if (!prover)
		return NULL;
	prover->worker = worker;
	CK_STAILQ_INIT(&prover->rounds);
	prover->database_client = kl_database_client_new(
		worker->base, &kl_control_conn_pq,
		worker->workers->settings->upstream_user, on_answer, prover);
	return prover;
}

void kl_prover_free(struct kl_prover *prover)
{
	round_t *round, *next;

	if (!prover)
		return;
	kl_database_client_free(prover->database_client);
	CK_STAILQ_FOREACH_SAFE(round, &prover->rounds, link, next)
		free(round);
	free(prover);
}

void kl_prover_submit(struct kl_prover *prover, kl_request_t *request)
{
	round_t *round = find_or_add_round(prover, request->session->service);

	if (!round)
		return;
	CK_STAILQ_INSERT_TAIL(&round->next_requests, request, proof_link);
	if (!round->call_count)
		start_round(prover, round);
}

void kl_prover_cancel(struct kl_prover *prover, kl_request_t *request)
{
	round_t *round = find_or_add_round(prover, request->session->service);
	kl_request_t *entry;

	if (!round)
		return;
	CK_STAILQ_FOREACH(entry, &round->current_requests, proof_link) {
		if (entry != request)
			continue;
		CK_STAILQ_REMOVE(&round->current_requests, request, kl_request,
				 proof_link);
		return;
	}
	CK_STAILQ_FOREACH(entry, &round->next_requests, proof_link) {
		if (entry != request)
			continue;
		CK_STAILQ_REMOVE(&round->next_requests, request, kl_request,
				 proof_link);
		return;
	}
}

static void start_round(kl_prover_t *prover, round_t *round)
{
	kl_worker_t *worker = prover->worker;
	const kl_config_t *config;
	const kl_service_t *service;
	const kl_upstream_t *upstream;
	kl_database_call_t call = { .op = KL_DATABASE_STATUS };

	memset(round->statuses, 0, sizeof(round->statuses));
	CK_STAILQ_CONCAT(&round->current_requests, &round->next_requests);
	round->call_count = 0;
	round->answer_count = 0;
	round->started_us = kl_clock_us();
	kl_read_begin(worker->reader);
	config = kl_board_get(worker->reader, KL_SECTION_CONFIG);
	service = config ? kl_index_get(config->service_index, round->service)
			 : NULL;
	if (service) {
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			if (round->call_count == DATABASES_MAX)
				break;
			call.sent_us = round->started_us;
			memcpy(call.service, round->service, KL_NAME_MAX);
			memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
			memcpy(call.host, upstream->host, KL_HOST_MAX);
			call.port = upstream->port;
			round->call_count++;
			kl_database_client_call(prover->database_client, &call);
		}
	}
	kl_read_end(worker->reader);
}

/*
 * Answers go through the worker's inbox because a call that fails at once
 * answers while start_round() is still iterating over the databases.
 */
static void on_answer(void *context, const kl_database_answer_t *answer)
{
	kl_prover_t *prover = context;
	answer_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_answer;
	message->answer = *answer;
	kl_inbox_post(prover->worker->inbox, &message->base);
}

static void handle_answer(void *owner, kl_message_t *message)
{
	kl_worker_t *worker = owner;
	kl_database_answer_t answer = ((answer_message_t *)message)->answer;
	round_t *round;
	status_t *status;

	free(message);
	if (!worker)
		return;
	round = find_or_add_round(worker->prover, answer.call.service);
	if (!round || answer.call.sent_us != round->started_us ||
	    round->answer_count >= round->call_count)
		return;
	status = &round->statuses[round->answer_count++];
	status->received = !answer.error;
	status->term = answer.term;
	status->min_term = answer.min_term;
	if (round->answer_count == round->call_count)
		finish_round(worker->prover, round);
}

static void finish_round(kl_prover_t *prover, round_t *round)
{
	CK_STAILQ_HEAD(, kl_request) finished;
	kl_request_t *request;

	CK_STAILQ_INIT(&finished);
	CK_STAILQ_CONCAT(&finished, &round->current_requests);
	while ((request = CK_STAILQ_FIRST(&finished))) {
		kl_vote_tally_t tally = { .databases = round->call_count };

		CK_STAILQ_REMOVE_HEAD(&finished, proof_link);
		for (uint32_t i = 0; i < round->call_count; i++) {
			const status_t *status = &round->statuses[i];

			if (!status->received)
				tally.no_answer++;
			else if (status->min_term <= request->term &&
				 status->term <= request->term)
				tally.accepting++;
			else
				tally.refusing++;
		}
		kl_request_on_tally(request, &tally);
	}
	round->call_count = 0;
	round->answer_count = 0;
	if (!CK_STAILQ_EMPTY(&round->next_requests))
		start_round(prover, round);
}

static round_t *find_or_add_round(kl_prover_t *prover, const char *service)
{
	round_t *round;

	CK_STAILQ_FOREACH(round, &prover->rounds, link) {
		if (!strcmp(round->service, service))
			return round;
	}
	round = calloc(1, sizeof(*round));
	if (!round)
		return NULL;
	kl_name_copy(round->service, service);
	CK_STAILQ_INIT(&round->current_requests);
	CK_STAILQ_INIT(&round->next_requests);
	CK_STAILQ_INSERT_TAIL(&prover->rounds, round, link);
	return round;
}
