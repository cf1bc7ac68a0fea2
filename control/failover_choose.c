/* Sealing the databases of a group and choosing the next primary. */
#include <string.h>

#include "control/failover_internal.h"

void kl_failover_call_database(kl_failover_ctx_t *view, kl_database_op_t op,
			       const kl_upstream_t *upstream)
{
	kl_database_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_FAILOVER,
				    .new_connection = true,
				    .port = upstream->port,
				    .term = view->group->term,
				    .sent_us = view->now };

	memcpy(call.service, view->service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	view->node->ops->call_database(view->node->ops_context, &call);
}

void kl_failover_seal(kl_failover_ctx_t *view, const char *only)
{
	const kl_upstream_t *upstream;

	if (view->now - view->failover->database_call_us < RETRY_INTERVAL_US)
		return;
	view->failover->database_call_us = view->now;
	CK_STAILQ_FOREACH(upstream, &view->service->upstreams, link) {
		if (only && strcmp(only, upstream->name.name))
			continue;
		if (!kl_failover_find_reply(view->failover,
					    upstream->name.name))
			kl_failover_call_database(view, KL_DATABASE_SEAL,
						  upstream);
	}
}

/* Whether some fit replica holds all that the sealed old primary holds. */
bool kl_failover_caught_up(const kl_failover_ctx_t *view,
			   const kl_seal_reply_t *old)
{
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &view->service->upstreams, link) {
		const kl_observation_t *seen =
			kl_health_find(view->health, view->service->name.name,
				       upstream->name.name);

		if (upstream->leaving || !seen || seen->failing_since_us ||
		    !strcmp(upstream->name.name, old->upstream))
			continue;
		if (seen->term == old->term && seen->position >= old->position)
			return true;
	}
	return false;
}

/* The best of a sealed majority; one that is leaving only for want of it. */
const kl_seal_reply_t *kl_failover_candidate(const kl_failover_ctx_t *view)
{
	const kl_failover_t *change = view->failover;
	const kl_seal_reply_t *best = NULL;
	bool best_leaving = false;

	if (change->reply_count <= view->service->upstream_count / 2)
		return NULL;
	for (uint32_t i = 0; i < change->reply_count; i++) {
		const kl_seal_reply_t *reply = &change->replies[i];
		const kl_upstream_t *upstream = kl_service_find_upstream(
			view->service, reply->upstream);
		bool better;

		if (!upstream)
			continue;
		better = !best || reply->term > best->term ||
			 (reply->term == best->term &&
			  reply->position > best->position) ||
			 (reply->term == best->term &&
			  reply->position == best->position && best_leaving);
		if (!better)
			continue;
		best = reply;
		best_leaving = upstream->leaving;
	}
	return best;
}

const kl_seal_reply_t *kl_failover_find_reply(const kl_failover_t *change,
					      const char *upstream)
{
	for (uint32_t i = 0; i < change->reply_count; i++)
		if (!strcmp(change->replies[i].upstream, upstream))
			return &change->replies[i];
	return NULL;
}

void kl_failover_handle_reply(kl_failover_t *change,
			      const kl_database_answer_t *answer)
{
	const kl_database_call_t *call = &answer->call;
	kl_seal_reply_t *reply;

	if (!change || answer->error || call->term != change->record_term)
		return;
	if (call->op == KL_DATABASE_PROMOTE) {
		if (answer->primary && answer->term == call->term)
			change->candidate_promoted = true;
		return;
	}
	if (call->op != KL_DATABASE_SEAL || answer->min_term != call->term ||
	    kl_failover_find_reply(change, call->upstream) ||
	    change->reply_count == REPLIES_MAX)
		return;
	reply = &change->replies[change->reply_count++];
	memcpy(reply->upstream, call->upstream, KL_NAME_MAX);
	reply->min_term = answer->min_term;
	reply->term = answer->term;
	reply->position = answer->position;
}
