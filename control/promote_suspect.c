/* Decides whether a primary has failed or leaves. */
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"

/*
 * A primary that leaves is replaced this long after its record was written, at
 * the earliest, so that attempts that are given up do not follow at once.
 */
#define PLANNED_CHANGE_INTERVAL_US (2 * KL_SEC)

/* A primary that refuses connections is suspected after this long. */
#define REFUSED_SUSPECT_US (250 * KL_MS)

/* A primary that is not registered is suspected after this long. */
#define UNREGISTERED_SUSPECT_US (2500 * KL_MS)

/* A prober checks the primary if it received a suspicion this recently. */
#define SUSPICION_MAX_AGE_US (1 * KL_SEC)

static void log_suspicion(kl_promote_ctx_t *ctx);
static const char *failure_reason(kl_promote_ctx_t *ctx);

/*
 * Whether this VM considers the primary failed: it has not been registered for
 * some time, or all requests to it have failed for some time.
 */
bool kl_promote_primary_failed(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;

	promotion->suspicion_reason = failure_reason(ctx);
	if (!promotion->suspicion_reason)
		promotion->suspicion_logged = false;
	else if (!promotion->suspicion_logged)
		log_suspicion(ctx);
	return promotion->suspicion_reason != NULL;
}

static void log_suspicion(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	kl_node_t *node = ctx->base.node;
	kl_decision_t decision = { .name = "primary_suspected",
				   .service = ctx->base.group->name.name,
				   .upstream = ctx->base.group->primary,
				   .reason = promotion->suspicion_reason,
				   .term = ctx->base.group->term };

	promotion->suspicion_logged = true;
	node->ops->log_decision(node->ops_context, &decision);
}

/* Returns why this VM considers the primary failed, or NULL if it does not. */
static const char *failure_reason(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	const char *primary = ctx->base.group->primary;
	const kl_confirmation_t *confirmation =
		kl_node_get(ctx->base.node, KL_SECTION_CONFIRMATION);
	uint64_t now = ctx->base.now;
	uint64_t failing_since_us, failing_us;

	if (kl_service_find_upstream(ctx->base.service, primary)) {
		promotion->unregistered_since_us = 0;
	} else if (!confirmation ||
		   now - confirmation->confirmed_us > CONFIRMATION_MAX_AGE_US) {
		/*
		 * The registry may have lost the entry while the platform was
		 * unavailable.
		 */
		promotion->unregistered_since_us = now;
	} else {
		if (!promotion->unregistered_since_us)
			promotion->unregistered_since_us = now;
		if (now - promotion->unregistered_since_us >
		    UNREGISTERED_SUSPECT_US)
			return "unregistered";
	}
	if (strcmp(promotion->failing_upstream, primary))
		return NULL;
	/* What failed before this database became primary doesn't count. */
	failing_since_us = promotion->failing_since_us;
	if (failing_since_us < ctx->base.group->first_seen_us)
		failing_since_us = ctx->base.group->first_seen_us;
	failing_us = now - failing_since_us;
	if (promotion->upstream_refuses_connections)
		return failing_us >= REFUSED_SUSPECT_US ? "refused" : NULL;
	return failing_us >= ctx->base.node->tuning.suspect_after_us
		       ? "unanswered"
		       : NULL;
}

/* Whether the primary is leaving and another database isn't. */
bool kl_promote_primary_leaving(const kl_promote_ctx_t *ctx)
{
	const kl_service_t *service = ctx->base.service;
	const kl_upstream_t *upstream =
		kl_service_find_upstream(service, ctx->base.group->primary);

	if (!upstream || !upstream->leaving ||
	    ctx->base.now - ctx->base.group->first_seen_us <
		    PLANNED_CHANGE_INTERVAL_US)
		return false;
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		if (!upstream->leaving)
			return true;
	}
	return false;
}

/*
 * Queries the primary when another prober suspects it: this one may have no
 * requests of its own that show whether the primary works.
 */
void kl_promote_check_suspected(kl_promote_ctx_t *ctx)
{
	const kl_suspicion_t *suspicion;
	kl_failover_t *failover = &ctx->promotion->failover;

	if (ctx->base.prober_rank < 0 ||
	    ctx->base.now - failover->last_database_call_us < RETRY_INTERVAL_US)
		return;
	CK_STAILQ_FOREACH(suspicion, &failover->suspicions, link) {
		if (suspicion->term != ctx->base.group->term ||
		    ctx->base.now - suspicion->received_us >
			    SUSPICION_MAX_AGE_US)
			continue;
		failover->last_database_call_us = ctx->base.now;
		kl_promote_query(ctx, ctx->base.group->primary, true);
		return;
	}
}
