/*
 * Proofs by a majority of a group's databases, in rounds: one question to each
 * database answers for every statement that ended before it was asked.
 */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

#define DATABASES_MAX 16

typedef struct answer {
	bool good;
	uint64_t term;
	uint64_t sealed;
} answer_t;

/* The rounds of one service. */
typedef struct round {
	CK_STAILQ_ENTRY(round) link;
	char service[KL_NAME_MAX];
	uint64_t started_us;
	uint32_t asked;
	uint32_t answered;
	answer_t answers[DATABASES_MAX];
	CK_STAILQ_HEAD(, kl_request) running; /* in this round */
	CK_STAILQ_HEAD(, kl_request) next;    /* for the next one */
} round_t;

typedef struct kl_prover {
	kl_worker_t *worker;
	kl_database_client_t *caller;
	CK_STAILQ_HEAD(, round) rounds;
} kl_prover_t;

static void on_answer(void *context, const kl_database_answer_t *answer);
static void open_answer(void *owner, kl_message_t *letter);
static void start(kl_prover_t *prover, round_t *round);
static void finish(kl_prover_t *prover, round_t *round);
static round_t *round_of(kl_prover_t *prover, const char *service);

typedef struct answer_letter {
	kl_message_t letter;
	kl_database_answer_t answer;
} answer_letter_t;

struct kl_prover *kl_prover_new(kl_worker_t *worker)
{
	kl_prover_t *prover = calloc(1, sizeof(*prover));

	if (!prover)
		return NULL;
	prover->worker = worker;
	CK_STAILQ_INIT(&prover->rounds);
	prover->caller = kl_database_client_new(
		worker->base, &kl_control_conn_pq,
		worker->workers->settings->upstream_user, on_answer, prover);
	return prover;
}

void kl_prover_free(struct kl_prover *prover)
{
	round_t *round, *next;

	if (!prover)
		return;
	kl_database_client_free(prover->caller);
	CK_STAILQ_FOREACH_SAFE(round, &prover->rounds, link, next)
		free(round);
	free(prover);
}

void kl_prover_submit(struct kl_prover *prover, kl_request_t *request)
{
	round_t *round = round_of(prover, request->session->service);

	if (!round)
		return;
	CK_STAILQ_INSERT_TAIL(&round->next, request, proof_link);
	if (!round->asked)
		start(prover, round);
}

void kl_prover_cancel(struct kl_prover *prover, kl_request_t *request)
{
	round_t *round = round_of(prover, request->session->service);
	kl_request_t *entry;

	if (!round)
		return;
	CK_STAILQ_FOREACH(entry, &round->running, proof_link) {
		if (entry != request)
			continue;
		CK_STAILQ_REMOVE(&round->running, request, kl_request,
				 proof_link);
		return;
	}
	CK_STAILQ_FOREACH(entry, &round->next, proof_link) {
		if (entry != request)
			continue;
		CK_STAILQ_REMOVE(&round->next, request, kl_request, proof_link);
		return;
	}
}

static void start(kl_prover_t *prover, round_t *round)
{
	kl_worker_t *worker = prover->worker;
	const kl_config_t *config;
	const kl_service_t *service;
	const kl_upstream_t *upstream;
	kl_database_call_t call = { .op = KL_DATABASE_STATUS };

	memset(round->answers, 0, sizeof(round->answers));
	CK_STAILQ_CONCAT(&round->running, &round->next);
	round->asked = 0;
	round->answered = 0;
	round->started_us = kl_clock_us();
	kl_read_begin(worker->reader);
	config = kl_board_get(worker->reader, KL_SECTION_CONFIG);
	service = config ? kl_index_get(config->service_index, round->service)
			 : NULL;
	if (service) {
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			if (round->asked == DATABASES_MAX)
				break;
			call.sent_us = round->started_us;
			memcpy(call.service, round->service, KL_NAME_MAX);
			memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
			memcpy(call.host, upstream->host, KL_HOST_MAX);
			call.port = upstream->port;
			round->asked++;
			kl_database_client_call(prover->caller, &call);
		}
	}
	kl_read_end(worker->reader);
}

/* Through the inbox: an answer must not come while the round is started. */
static void on_answer(void *context, const kl_database_answer_t *answer)
{
	kl_prover_t *prover = context;
	answer_letter_t *letter = calloc(1, sizeof(*letter));

	if (!letter)
		return;
	letter->letter.handler = open_answer;
	letter->answer = *answer;
	kl_inbox_post(prover->worker->inbox, &letter->letter);
}

static void open_answer(void *owner, kl_message_t *letter)
{
	kl_worker_t *worker = owner;
	kl_database_answer_t answer = ((answer_letter_t *)letter)->answer;
	round_t *round;
	answer_t *entry;

	free(letter);
	if (!worker)
		return;
	round = round_of(worker->prover, answer.call.service);
	if (!round || answer.call.sent_us != round->started_us ||
	    round->answered >= round->asked)
		return;
	entry = &round->answers[round->answered++];
	entry->good = !answer.error;
	entry->term = answer.term;
	entry->sealed = answer.min_term;
	if (round->answered == round->asked)
		finish(worker->prover, round);
}

static void finish(kl_prover_t *prover, round_t *round)
{
	CK_STAILQ_HEAD(, kl_request) done;
	kl_request_t *request;

	CK_STAILQ_INIT(&done);
	CK_STAILQ_CONCAT(&done, &round->running);
	while ((request = CK_STAILQ_FIRST(&done))) {
		kl_vote_tally_t tally = { .databases = round->asked };

		CK_STAILQ_REMOVE_HEAD(&done, proof_link);
		for (uint32_t i = 0; i < round->asked; i++) {
			const answer_t *entry = &round->answers[i];

			if (!entry->good)
				tally.no_answer++;
			else if (entry->sealed <= request->term &&
				 entry->term <= request->term)
				tally.accepting++;
			else
				tally.refusing++;
		}
		kl_request_on_tally(request, &tally);
	}
	round->asked = 0;
	round->answered = 0;
	if (!CK_STAILQ_EMPTY(&round->next))
		start(prover, round);
}

static round_t *round_of(kl_prover_t *prover, const char *service)
{
	round_t *round;

	CK_STAILQ_FOREACH(round, &prover->rounds, link) {
		if (!strcmp(round->service, service))
			return round;
	}
	round = calloc(1, sizeof(*round));
	if (!round)
		return NULL;
	kl_name_set(round->service, service);
	CK_STAILQ_INIT(&round->running);
	CK_STAILQ_INIT(&round->next);
	CK_STAILQ_INSERT_TAIL(&prover->rounds, round, link);
	return round;
}
