/*
 * Which database leads, where no record shows it: the databases are asked.
 * Their own terms tell.  The one that reports itself as primary in the newest
 * term that any of them knows was promoted last.  A former primary may still
 * report itself as primary in an older term, and a replica may know a newer
 * term than the primaries that answer: then the one that leads is silent.
 */
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"
#include "control/recorded_primary.h"

/* Databases that are registered, but silent, are waited for so long. */
#define SILENT_WAIT_US (2500 * KL_MS)

/* A report of the primary that denies its role stands for so long. */
#define DENIED_WAIT_US (300 * KL_MS)

/* Minimum time between status queries of a primary that denies its role. */
#define DENIED_QUERY_US (200 * KL_MS)

kl_leader_t kl_promote_find_leader(const kl_promote_ctx_t *ctx,
				   uint64_t settled_us, const char **leader)
{
	const kl_promotion_t *promotion = ctx->promotion;
	const kl_status_reply_t *newest = NULL;
	uint64_t newest_term = 0;
	const kl_upstream_t *upstream;
	bool silent = false;

	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		const kl_status_reply_t *reply =
			kl_promotion_find_reply(promotion, upstream->name.name);

		if (!reply) {
			silent = true;
			continue;
		}
		if (reply->term > newest_term)
			newest_term = reply->term;
		if (reply->reported_primary &&
		    (!newest || reply->term > newest->term))
			newest = reply;
	}
	if (ctx->base.now < settled_us ||
	    (silent && ctx->base.now < settled_us + SILENT_WAIT_US))
		return KL_LEADER_UNDECIDED;
	if (newest && newest->term == newest_term) {
		*leader = newest->upstream;
		return KL_LEADER_FOUND;
	}
	/*
	 * Another one is promoted.  VMs whose registration was lost may still
	 * use the silent one under a lease.
	 */
	return ctx->base.now - ctx->base.group->first_seen_us <
			       kl_fencing_delay_us(&ctx->base.node->tuning)
		       ? KL_LEADER_UNDECIDED
		       : KL_LEADER_NONE;
}

/*
 * The registration may be late, as after a promotion.  So the database is asked
 * as well, and both have to stand for a while.
 */
bool kl_promote_primary_denies(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	const kl_config_t *config =
		kl_node_get(ctx->base.node, KL_SECTION_CONFIG);
	const kl_status_reply_t *reply;
	uint64_t now = ctx->base.now;

	if (ctx->base.prober_rank < 0 ||
	    !kl_primary_denied(config, ctx->base.group)) {
		promotion->denied_since_us = 0;
		return false;
	}
	if (!promotion->denied_since_us)
		promotion->denied_since_us = now;
	if (now - promotion->failover.last_database_call_us >=
	    DENIED_QUERY_US) {
		promotion->failover.last_database_call_us = now;
		kl_promote_query(ctx, ctx->base.group->primary, false);
	}
	reply = kl_promotion_find_reply(promotion, ctx->base.group->primary);
	return reply && !reply->reported_primary &&
	       reply->query_sent_us >= promotion->denied_since_us &&
	       now - promotion->denied_since_us >=
		       DENIED_WAIT_US + (uint64_t)ctx->base.prober_rank *
						KL_PROMOTE_RANK_DELAY_US;
}
