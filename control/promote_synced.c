/*
 * Chooses the database to promote in a service whose commits are acknowledged
 * once a number of replicas has them (synchronous replication).
 *
 * With R replicas, S of which have each acknowledged commit, any R - S + 1 of
 * them include one that has it.  So nothing is promoted before so many have
 * told their logs since fencing was complete, and then only one with the
 * newest log.  A replica that does not answer, as a busy one, is waited for as
 * long as it is registered.  If the old primary still answers, a replica that
 * has all of its log needs no others.
 */
#include <string.h>

#include "control/promote_internal.h"

static const kl_upstream_t *find_old_primary(const kl_promote_ctx_t *ctx);
static bool is_better(const kl_promote_ctx_t *ctx,
		      const kl_upstream_t *upstream,
		      const kl_status_reply_t *reply, const kl_upstream_t *best,
		      const kl_status_reply_t *best_reply);
static bool has_failed(const kl_promote_ctx_t *ctx,
		       const kl_upstream_t *upstream);
static bool has_primarys_log(const kl_promote_ctx_t *ctx,
			     const kl_status_reply_t *reply,
			     uint64_t settled_us);

const char *kl_promote_choose_synced(const kl_promote_ctx_t *ctx,
				     uint64_t settled_us, bool planned)
{
	const kl_service_t *service = ctx->base.service;
	const kl_upstream_t *upstream, *best = NULL;
	const kl_status_reply_t *best_reply = NULL;
	const kl_upstream_t *old_primary = find_old_primary(ctx);
	uint32_t replicas = 0, replies = 0;

	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		const kl_status_reply_t *reply = kl_promotion_find_reply(
			ctx->promotion, upstream->name.name);

		if (upstream == old_primary)
			continue;
		replicas++;
		if (!reply || reply->query_sent_us < settled_us)
			continue;
		replies++;
		if (best && !is_better(ctx, upstream, reply, best, best_reply))
			continue;
		best = upstream;
		best_reply = reply;
	}
	if (!best || (replies + service->sync_replicas <= replicas &&
		      !has_primarys_log(ctx, best_reply, settled_us))) {
		kl_promote_log_wait(ctx, settled_us, "replicas_missing");
		return NULL;
	}
	/* A planned change gains nothing by another one that leaves. */
	if ((best->leaving && planned) ||
	    kl_promote_waits_for_log(ctx, best_reply, settled_us, planned))
		return NULL;
	return best->name.name;
}

/*
 * The record may name a candidate that was never promoted, so the old primary
 * is known by its registration.  One before it may be registered so, too, until
 * it learns of its successor; it counts as a replica.
 */
static const kl_upstream_t *find_old_primary(const kl_promote_ctx_t *ctx)
{
	const kl_upstream_t *upstream, *newest = NULL;
	uint64_t newest_term = 0;

	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		const kl_status_reply_t *reply = kl_promotion_find_reply(
			ctx->promotion, upstream->name.name);
		/* One that is silent may be in the newest term. */
		uint64_t term = reply ? reply->term : UINT64_MAX;

		if (!upstream->registered_primary)
			continue;
		if (!strcmp(upstream->name.name, ctx->base.group->primary))
			return upstream;
		if (!newest || term > newest_term) {
			newest = upstream;
			newest_term = term;
		}
	}
	return newest;
}

/* The newest log comes first, whatever else speaks against its database. */
static bool is_better(const kl_promote_ctx_t *ctx,
		      const kl_upstream_t *upstream,
		      const kl_status_reply_t *reply, const kl_upstream_t *best,
		      const kl_status_reply_t *best_reply)
{
	if (kl_promote_has_newer_log(reply, best_reply))
		return true;
	if (kl_promote_has_newer_log(best_reply, reply))
		return false;
	if (has_failed(ctx, upstream) != has_failed(ctx, best))
		return has_failed(ctx, best);
	return best->leaving && !upstream->leaving;
}

static bool has_failed(const kl_promote_ctx_t *ctx,
		       const kl_upstream_t *upstream)
{
	return !strcmp(upstream->name.name, ctx->promotion->failed_candidate);
}

/* Whether the old primary has answered, and the replica has all of its log. */
static bool has_primarys_log(const kl_promote_ctx_t *ctx,
			     const kl_status_reply_t *reply,
			     uint64_t settled_us)
{
	const kl_status_reply_t *primary = kl_promotion_find_reply(
		ctx->promotion, ctx->base.group->primary);

	return primary && primary->reported_primary &&
	       primary->query_sent_us >= settled_us &&
	       !kl_promote_has_newer_log(primary, reply);
}
