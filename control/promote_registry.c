/*
 * Which databases a service has, while registrations may be missing.  A
 * registration that lapsed while the store was away says nothing: until it is
 * back, or the time for that is over, its database counts as one that is
 * silent.
 */
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"

static kl_known_upstream_t *find_known(kl_promotion_t *promotion,
				       const char *name);
static void add_registered(kl_promote_ctx_t *ctx);
static void forget_missing(kl_promote_ctx_t *ctx, bool lapsed_too);

void kl_promote_note_registry(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	bool complete = kl_sync_registry_complete_us(ctx->base.node) != 0;

	add_registered(ctx);
	promotion->registry_known |= complete;
	forget_missing(ctx, false);
	for (uint32_t i = 0; i < promotion->known_count; i++) {
		kl_known_upstream_t *known = &promotion->known[i];

		known->lapsed = !kl_service_find_upstream(ctx->base.service,
							  known->name);
	}
}

/* Adds the databases that are registered now. */
static void add_registered(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		kl_known_upstream_t *known;

		if (find_known(promotion, upstream->name.name) ||
		    promotion->known_count == REPLIES_MAX)
			continue;
		known = &promotion->known[promotion->known_count++];
		memcpy(known->name, upstream->name.name, KL_NAME_MAX);
		known->lapsed = false;
	}
}

/*
 * Forgets databases that are not registered.  One whose registration ends while
 * the store is there has left.
 *
 * lapsed_too: those, too, whose registration lapsed in an outage
 */
static void forget_missing(kl_promote_ctx_t *ctx, bool lapsed_too)
{
	kl_promotion_t *promotion = ctx->promotion;
	bool complete = kl_sync_registry_complete_us(ctx->base.node) != 0;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < promotion->known_count; i++) {
		const kl_known_upstream_t *known = &promotion->known[i];
		bool registered = kl_service_find_upstream(ctx->base.service,
							   known->name) != NULL;
		bool may_be_back = !complete || (known->lapsed && !lapsed_too);

		if (registered || may_be_back)
			promotion->known[kept++] = *known;
	}
	promotion->known_count = kept;
}

static kl_known_upstream_t *find_known(kl_promotion_t *promotion,
				       const char *name)
{
	for (uint32_t i = 0; i < promotion->known_count; i++)
		if (!strcmp(promotion->known[i].name, name))
			return &promotion->known[i];
	return NULL;
}

bool kl_promote_registry_complete(kl_promote_ctx_t *ctx, bool must_be_known)
{
	kl_promotion_t *promotion = ctx->promotion;
	uint64_t complete_us = kl_sync_registry_complete_us(ctx->base.node);
	bool missing = !promotion->registry_known && must_be_known;

	for (uint32_t i = 0; i < promotion->known_count; i++)
		missing |= promotion->known[i].lapsed;
	if (!missing)
		return true;
	if (!complete_us)
		return false;
	/* This VM's copy may lack an entry that has come back. */
	if (kl_sync_last_list_us(ctx->base.node, KL_FEED_UPSTREAMS) <
	    complete_us) {
		kl_sync_request_list(ctx->base.node, KL_FEED_UPSTREAMS);
		return false;
	}
	forget_missing(ctx, true);
	return true;
}
