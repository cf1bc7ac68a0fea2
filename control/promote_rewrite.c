/*
 * The group's record after the store was restored from an older copy: it is
 * written again, or replaced if nobody holds the newest one, and no term is
 * used a second time.
 */
#include <string.h>

#include "control/controllers.h"
#include "control/group_record.h"
#include "control/promote_internal.h"
#include "control/store_era.h"

/*
 * More than the changes of primary that a group can have in the time that a
 * copy is older than the store; each takes at least 0.1 s.
 */
#define LOST_TERMS_MAX 1000

/*
 * Nobody is known to hold the newest record for so long: then the databases are
 * asked.  VMs that hold it write it again in less.
 */
#define HOLDER_WAIT_US (1 * KL_SEC)

static void seek_primary(kl_promote_ctx_t *ctx);

bool kl_promote_rewrite(kl_promote_ctx_t *ctx)
{
	kl_group_t group = *ctx->base.group;
	uint64_t era = kl_sync_era(ctx->base.node);
	uint64_t age_us = ctx->base.now - group.first_seen_us;

	/* The store may have another record under the same revision. */
	if (kl_version_era(group.version) != era)
		return false;
	if (group.may_be_outdated) {
		seek_primary(ctx);
		return false;
	}
	if (!group.store_is_behind && kl_group_is_of_era(&group, era))
		return true;
	if (ctx->base.prober_rank >= 0 &&
	    age_us >=
		    (uint64_t)ctx->base.prober_rank * KL_PROMOTE_RANK_DELAY_US)
		kl_promote_write_record(ctx, &group, "record_rewritten",
					"store_restored");
	return false;
}

/*
 * Begins a change of primary in which the databases tell which one leads, if no
 * VM has written the newest record again.
 */
static void seek_primary(kl_promote_ctx_t *ctx)
{
	uint64_t age_us = ctx->base.now - ctx->base.group->first_seen_us;

	if (ctx->base.prober_rank >= 0 &&
	    age_us >= HOLDER_WAIT_US + (uint64_t)ctx->base.prober_rank *
					       KL_PROMOTE_RANK_DELAY_US)
		kl_promote_claim_unknown(ctx, "store_restored");
}

/*
 * The record says nothing of the terms that were used after it, in its own era
 * and in those that followed.
 */
void kl_promote_claim_unknown(kl_promote_ctx_t *ctx, const char *reason)
{
	kl_group_t next = *ctx->base.group;
	uint64_t era = kl_sync_era(ctx->base.node);
	uint64_t written_era = next.era ? next.era : KL_FIRST_ERA;
	uint64_t eras = era > written_era ? era - written_era : 1;

	next.term += eras * LOST_TERMS_MAX;
	next.state = KL_GROUP_FENCING;
	next.primary[0] = '\0';
	memcpy(next.promoter, ctx->base.node->self.vm, KL_NAME_MAX);
	kl_promote_write_record(ctx, &next, "primary_unknown", reason);
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
