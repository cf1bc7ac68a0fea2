/*
 * The group's record after the store was restored from an older copy: it is
 * written again, and no term is used a second time.
 */
#include "control/controllers.h"
#include "control/promote_internal.h"
#include "control/store_era.h"

/*
 * More than the changes of primary that a group can have in the time that a
 * copy is older than the store; each takes at least 0.1 s.
 */
#define LOST_TERMS_MAX 1000

bool kl_promote_rewrite(kl_promote_ctx_t *ctx)
{
	kl_group_t group = *ctx->base.group;
	uint64_t age_us = ctx->base.now - group.first_seen_us;

	/* The store may have another record under the same revision. */
	if (kl_version_era(group.version) != kl_sync_era(ctx->base.node))
		return false;
	if (!group.store_is_behind)
		return true;
	if (ctx->base.prober_rank >= 0 &&
	    age_us >=
		    (uint64_t)ctx->base.prober_rank * KL_PROMOTE_RANK_DELAY_US)
		kl_promote_write_record(ctx, &group, "record_rewritten",
					"store_restored");
	return false;
}

uint64_t kl_promote_next_term(const kl_promote_ctx_t *ctx)
{
	const kl_node_t *node = ctx->base.node;
	const kl_group_t *group = ctx->base.group;
	uint64_t first = kl_sync_first_revision(node);
	bool may_be_copy =
		kl_sync_era(node) &&
		(!first || kl_version_revision(group->version) <= first);

	return group->term + (may_be_copy ? LOST_TERMS_MAX : 1);
}

uint64_t kl_promote_first_term(const kl_promote_ctx_t *ctx)
{
	uint64_t era = kl_sync_era(ctx->base.node);

	return era > 1 ? 1 + (era - 1) * LOST_TERMS_MAX : 1;
}
