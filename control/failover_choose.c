/* Seals the databases of a group and chooses the candidate for promotion. */
#include <string.h>

#include "control/failover_internal.h"

void kl_failover_call_database(kl_failover_ctx_t *ctx, kl_database_op_t op,
			       const kl_upstream_t *upstream)
{
	kl_database_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_FAILOVER,
				    .new_connection = true,
				    .port = upstream->port,
				    .term = ctx->group->term,
				    .sent_us = ctx->now };

	memcpy(call.service, ctx->service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	ctx->node->ops->call_database(ctx->node->ops_context, &call);
}

void kl_failover_seal(kl_failover_ctx_t *ctx, const char *only_upstream)
{
	const kl_upstream_t *upstream;

	if (ctx->now - ctx->failover->last_database_call_us < RETRY_INTERVAL_US)
		return;
	ctx->failover->last_database_call_us = ctx->now;
	CK_STAILQ_FOREACH(upstream, &ctx->service->upstreams, link) {
		if (only_upstream && strcmp(only_upstream, upstream->name.name))
			continue;
		if (!kl_failover_find_reply(ctx->failover, upstream->name.name))
			kl_failover_call_database(ctx, KL_DATABASE_SEAL,
						  upstream);
	}
}

bool kl_failover_caught_up(const kl_failover_ctx_t *ctx,
			   const kl_seal_reply_t *old_primary)
{
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &ctx->service->upstreams, link) {
		const kl_observation_t *observation =
			kl_health_find(ctx->health, ctx->service->name.name,
				       upstream->name.name);

		if (upstream->leaving || !observation ||
		    observation->failing_since_us ||
		    !strcmp(upstream->name.name, old_primary->upstream))
			continue;
		if (observation->term == old_primary->term &&
		    observation->position >= old_primary->position)
			return true;
	}
	return false;
}

/*
 * The highest term wins, then the highest position.  Of databases with the same
 * log, one that is not leaving is preferred.
 */
const kl_seal_reply_t *
kl_failover_choose_candidate(const kl_failover_ctx_t *ctx)
{
	const kl_failover_t *failover = ctx->failover;
	const kl_seal_reply_t *best = NULL;
	bool best_leaving = false;

	if (failover->reply_count <= ctx->service->upstream_count / 2)
		return NULL;
	for (uint32_t i = 0; i < failover->reply_count; i++) {
		const kl_seal_reply_t *reply = &failover->replies[i];
		const kl_upstream_t *upstream =
			kl_service_find_upstream(ctx->service, reply->upstream);
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

const kl_seal_reply_t *kl_failover_find_reply(const kl_failover_t *failover,
					      const char *upstream)
{
	for (uint32_t i = 0; i < failover->reply_count; i++)
		if (!strcmp(failover->replies[i].upstream, upstream))
			return &failover->replies[i];
	return NULL;
}

void kl_failover_handle_reply(kl_failover_t *failover,
			      const kl_database_answer_t *answer)
{
	const kl_database_call_t *call = &answer->call;
	kl_seal_reply_t *reply;

	if (!failover || answer->error || call->term != failover->record_term)
		return;
	if (call->op == KL_DATABASE_PROMOTE) {
		if (answer->reported_primary && answer->term == call->term)
			failover->candidate_promoted = true;
		return;
	}
	if (call->op != KL_DATABASE_SEAL || answer->min_term != call->term ||
	    kl_failover_find_reply(failover, call->upstream) ||
	    failover->reply_count == REPLIES_MAX)
		return;
	reply = &failover->replies[failover->reply_count++];
	memcpy(reply->upstream, call->upstream, KL_NAME_MAX);
	reply->min_term = answer->min_term;
	reply->term = answer->term;
	reply->position = answer->position;
}
