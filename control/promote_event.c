/* State of the promotion controller, and its updates from events. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"

static void handle_passive_check(kl_promotion_t *promotion,
				 const kl_passive_check_t *check);
static void handle_status(kl_promotion_t *promotion,
			  const kl_database_answer_t *answer, uint64_t now);
static void handle_promote_answer(kl_promotion_t *promotion,
				  const kl_platform_answer_t *answer);

int kl_promote_create(kl_node_t *node)
{
	kl_promote_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->promotions);
	CK_STAILQ_INIT(&state->acks);
	state->index = kl_index_new(16);
	node->state[KL_CONTROLLER_PROMOTE] = state;
	return 0;
}

void kl_promote_destroy(kl_node_t *node)
{
	kl_promote_state_t *state = node->state[KL_CONTROLLER_PROMOTE];
	kl_promotion_t *promotion, *next;
	kl_suspicion_t *suspicion, *next_suspicion;

	CK_STAILQ_FOREACH_SAFE(promotion, &state->promotions, link, next) {
		CK_STAILQ_FOREACH_SAFE(suspicion,
				       &promotion->failover.suspicions, link,
				       next_suspicion)
			free(suspicion);
		free(promotion);
	}
	kl_acks_clear(&state->acks);
	kl_index_free(state->index);
	free(state);
}

void kl_promote_handle_event(kl_promote_state_t *state, const kl_event_t *event,
			     uint64_t now)
{
	const kl_peer_message_t *peer = event->peer;

	switch (event->kind) {
	case KL_EVENT_PEER:
		if (peer->kind == KL_PEER_HELLO)
			kl_acks_update(&state->acks, peer, now);
		else if (peer->kind == KL_PEER_SUSPECT)
			kl_failover_add_suspicion(
				&kl_promotion_get(state, peer->subject)
					 ->failover,
				peer->from, peer->term, now);
		break;
	case KL_EVENT_PASSIVE_CHECK:
		handle_passive_check(
			kl_promotion_get(state, event->passive_check->service),
			event->passive_check);
		break;
	case KL_EVENT_DATABASE:
		if (event->database->call.owner == KL_CONTROLLER_PROMOTE)
			handle_status(
				kl_promotion_get(state,
						 event->database->call.service),
				event->database, now);
		break;
	case KL_EVENT_PLATFORM:
		if (event->platform->op == KL_PLATFORM_PROMOTE)
			handle_promote_answer(
				kl_promotion_get(state, event->platform->name),
				event->platform);
		break;
	default:
		break;
	}
}

static void handle_passive_check(kl_promotion_t *promotion,
				 const kl_passive_check_t *check)
{
	if (!promotion)
		return;
	if (check->failing_since_us) {
		kl_name_copy(promotion->failing_upstream, check->upstream);
		promotion->failing_since_us = check->failing_since_us;
		promotion->upstream_refuses_connections =
			check->refuses_connections;
	} else if (!strcmp(promotion->failing_upstream, check->upstream)) {
		promotion->failing_upstream[0] = '\0';
	}
}

static void handle_status(kl_promotion_t *promotion,
			  const kl_database_answer_t *answer, uint64_t now)
{
	const kl_database_call_t *call = &answer->call;
	kl_passive_check_t check = { .service = call->service,
				     .upstream = call->upstream };

	if (!promotion)
		return;
	if (call->new_connection) {
		/* The answer of a primary that another prober suspects. */
		/* One that is at its connection limit is alive. */
		if (answer->error && answer->error != -KL_E_CONNECTIONS) {
			check.refuses_connections =
				answer->error == -KL_E_UPSTREAM;
			check.failing_since_us =
				!strcmp(promotion->failing_upstream,
					call->upstream)
					? promotion->failing_since_us
					: now;
		}
		handle_passive_check(promotion, &check);
		return;
	}
	if (!answer->error)
		kl_promotion_store_reply(promotion, answer);
}

static void handle_promote_answer(kl_promotion_t *promotion,
				  const kl_platform_answer_t *answer)
{
	if (!promotion ||
	    answer->call_sent_us != promotion->last_promote_call_us)
		return;
	if (!answer->error)
		promotion->platform_accepted_promotion = true;
	if (answer->error == -KL_E_CONFLICT)
		promotion->candidate_not_running = true;
}

kl_promotion_t *kl_promotion_get(kl_promote_state_t *state, const char *service)
{
	kl_promotion_t *promotion = kl_index_get(state->index, service);

	if (promotion)
		return promotion;
	promotion = calloc(1, sizeof(*promotion));
	if (!promotion ||
	    kl_name_copy(promotion->failover.name.name, service)) {
		free(promotion);
		return NULL;
	}
	CK_STAILQ_INIT(&promotion->failover.suspicions);
	CK_STAILQ_INSERT_TAIL(&state->promotions, promotion, link);
	kl_index_put(state->index, &promotion->failover.name);
	return promotion;
}
