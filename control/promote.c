/*
 * Changes a group's primary where the platform promotes databases.  The only
 * persistent state is the group's record in the platform's object store, as in
 * the failover controller:
 *
 *   STABLE(T) -> FENCING(T+1) -> PROMOTING(T+1, candidate) -> STABLE(T+1)
 *
 * A primary can't be sealed (made to refuse requests of older terms) here, so
 * VMs have to stop using it.  Fencing is complete when every registered VM has
 * acknowledged the new record, or when all leases older than the record have
 * expired.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/group_record.h"
#include "control/promote_internal.h"
#include "control/store_era.h"

/* Delay per rank before a prober creates a group's first record. */
#define CREATE_RANK_DELAY_US (500 * KL_MS)

/* Another prober takes over from a promoter that is inactive this long. */
#define TAKEOVER_DELAY_US (1500 * KL_MS)

/* A candidate that is not promoted in this time is abandoned. */
#define CANDIDATE_TIMEOUT_US (5 * KL_SEC)

/* Requests that were sent before fencing was complete end in this time. */
#define IN_FLIGHT_WAIT_US (120 * KL_MS)

/* Minimum time between rounds of status queries or promotion calls. */
#define QUERY_INTERVAL_US (100 * KL_MS)

/*
 * A promoter that another VM has followed does not promote again for this long
 * after its last call, so that two VMs never promote in turn.
 */
#define REPLACED_PROMOTER_WAIT_US (3500 * KL_MS)

/* Minimum time between rounds of step-down calls. */
#define STEP_DOWN_INTERVAL_US (500 * KL_MS)

static void step_stable(kl_promote_ctx_t *ctx);
static void step_fencing(kl_promote_ctx_t *ctx);
static void step_promoting(kl_promote_ctx_t *ctx);
static void create_record(kl_promote_ctx_t *ctx);
static bool may_act(const kl_promote_ctx_t *ctx, uint64_t expected_us);
static bool was_replaced_as_promoter(const kl_promote_ctx_t *ctx);
static void claim_term(kl_promote_ctx_t *ctx, const char *reason);
static void call_promote(kl_promote_ctx_t *ctx);
static void demote_old_primaries(kl_promote_ctx_t *ctx);

static void (*const steps[KL_GROUP_STATE_COUNT])(kl_promote_ctx_t *ctx) = {
	[KL_GROUP_STABLE] = step_stable,
	[KL_GROUP_FENCING] = step_fencing,
	[KL_GROUP_PROMOTING] = step_promoting,
};

void kl_promote_step(kl_node_t *node, const kl_event_t *event)
{
	kl_promote_state_t *state = node->state[KL_CONTROLLER_PROMOTE];
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_terms_t *terms = kl_node_get(node, KL_SECTION_TERMS);
	kl_promote_ctx_t ctx = { .base = { .node = node,
					   .members = kl_node_get(
						   node, KL_SECTION_MEMBERS),
					   .now = kl_node_now(node) },
				 .acks = &state->acks };

	if (!node->tuning.platform_promotes)
		return; /* the failover controller acts instead */
	kl_promote_handle_event(state, event, ctx.base.now);
	if (!config || !terms || !ctx.base.members ||
	    kl_version_era(terms->revision) != kl_sync_era(node))
		return;
	CK_STAILQ_FOREACH(ctx.base.service, &config->services, link) {
		const char *name = ctx.base.service->name.name;
		kl_promotion_t *promotion = kl_promotion_get(state, name);

		ctx.promotion = promotion;
		ctx.base.group = kl_index_get(terms->index, name);
		if (!promotion)
			continue;
		ctx.base.failover = &promotion->failover;
		kl_failover_update_probers(&ctx.base);
		if (!ctx.base.group) {
			create_record(&ctx);
			continue;
		}
		if (promotion->failover.record_version !=
		    ctx.base.group->version)
			kl_promotion_reset(promotion, ctx.base.group);
		kl_promote_note_registry(&ctx);
		if (!kl_promote_rewrite(&ctx))
			continue;
		steps[ctx.base.group->state](&ctx);
	}
}

/*
 * Creates a group's first record.  The primary is the first database that
 * registered itself as primary; in a store that was restored, the one that
 * proves to lead.
 */
static void create_record(kl_promote_ctx_t *ctx)
{
	const kl_upstream_t *upstream, *first = NULL;
	kl_group_t group = { .state = KL_GROUP_STABLE,
			     .term = kl_promote_first_term(ctx) };
	kl_promotion_t *promotion = ctx->promotion;

	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		if (upstream->registered_primary && !first)
			first = upstream;
	}
	if (!first || ctx->base.prober_rank < 0) {
		promotion->failover.triggered_us = 0;
		return;
	}
	if (!promotion->failover.triggered_us)
		promotion->failover.triggered_us = ctx->base.now;
	if (ctx->base.now - promotion->failover.triggered_us <
	    (uint64_t)ctx->base.prober_rank * CREATE_RANK_DELAY_US)
		return;
	group.name = ctx->base.service->name;
	group.primary[0] = '\0';
	if (kl_sync_era(ctx->base.node) > KL_FIRST_ERA) {
		/* The store may have lost a record. */
		group.state = KL_GROUP_FENCING;
		memcpy(group.promoter, ctx->base.node->self.vm, KL_NAME_MAX);
	} else {
		kl_name_copy(group.primary, first->name.name);
	}
	kl_promote_write_record(ctx, &group, "group_recorded", "registered");
}

static void step_stable(kl_promote_ctx_t *ctx)
{
	kl_failover_t *failover = &ctx->promotion->failover;
	bool failed = kl_promote_primary_failed(ctx);
	bool leaving = kl_promote_primary_leaving(ctx);

	demote_old_primaries(ctx);
	if (kl_promote_primary_denies(ctx)) {
		kl_promote_claim_unknown(ctx, "primary_denies");
		return;
	}
	if (failed)
		kl_failover_report_suspicion(&ctx->base);
	else
		kl_promote_check_suspected(ctx);
	if (ctx->base.prober_rank < 0)
		return;
	if (!(failed && kl_failover_has_quorum(&ctx->base)) && !leaving) {
		failover->triggered_us = 0;
		return;
	}
	if (!failover->triggered_us)
		failover->triggered_us = ctx->base.now;
	if (was_replaced_as_promoter(ctx) ||
	    ctx->base.now - failover->triggered_us <
		    (uint64_t)ctx->base.prober_rank * KL_PROMOTE_RANK_DELAY_US)
		return;
	ctx->promotion->claimed_from_stable = kl_promote_next_term(ctx);
	ctx->promotion->claimed_to_leave = !failed;
	claim_term(ctx, failed ? "primary_fails" : "primary_leaves");
}

/*
 * Starts a failover: claims the next term with this VM as the promoter.  The
 * decision is logged when the update is sent; the platform may still reject it.
 */
static void claim_term(kl_promote_ctx_t *ctx, const char *reason)
{
	kl_group_t next = *ctx->base.group;

	next.term = kl_promote_next_term(ctx);
	next.state = KL_GROUP_FENCING;
	memcpy(next.promoter, ctx->base.node->self.vm, KL_NAME_MAX);
	kl_promote_write_record(ctx, &next, "term_won", reason);
}

static void step_fencing(kl_promote_ctx_t *ctx)
{
	const kl_tuning_t *tuning = &ctx->base.node->tuning;
	kl_promotion_t *promotion = ctx->promotion;
	uint64_t now = ctx->base.now, settled_us;
	const char *best;
	kl_group_t next;

	if (!may_act(ctx,
		     kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us))
		return;
	if (now - promotion->failover.last_database_call_us >=
	    QUERY_INTERVAL_US) {
		promotion->failover.last_database_call_us = now;
		kl_promote_query_all(ctx);
	}
	if (!promotion->fencing_completed_us) {
		if (!kl_promote_fencing_is_complete(ctx))
			return;
		promotion->fencing_completed_us = now;
	}
	settled_us = promotion->fencing_completed_us + IN_FLIGHT_WAIT_US;
	best = kl_promote_choose_candidate(ctx, settled_us);
	next = *ctx->base.group;
	/* Nothing was promoted in a term that this VM claimed itself. */
	if (!best && promotion->claimed_from_stable == next.term &&
	    !strcmp(next.promoter, ctx->base.node->self.vm) &&
	    kl_promote_no_successor(ctx, settled_us)) {
		next.state = KL_GROUP_STABLE;
		kl_promote_write_record(ctx, &next, "change_given_up",
					"no_successor");
	}
	if (!best)
		return;
	next.state = KL_GROUP_PROMOTING;
	kl_name_copy(next.primary, best);
	memcpy(next.promoter, ctx->base.node->self.vm, KL_NAME_MAX);
	kl_promote_write_record(ctx, &next, "candidate_chosen",
				*ctx->base.group->primary ? "highest_position"
							  : "databases_tell");
}

static void step_promoting(kl_promote_ctx_t *ctx)
{
	kl_promotion_t *promotion = ctx->promotion;
	const kl_group_t *group = ctx->base.group;
	kl_group_t next = *group;
	uint64_t now = ctx->base.now;
	const kl_status_reply_t *reply;

	if (!may_act(ctx, TAKEOVER_DELAY_US))
		return;
	if (strcmp(group->promoter, ctx->base.node->self.vm)) {
		/*
		 * The record's term is the fencing token of promotion calls,
		 * and no two VMs may use the same token.  The reason "silent"
		 * means that the former promoter was inactive.
		 */
		next.term = kl_promote_next_term(ctx);
		memcpy(next.promoter, ctx->base.node->self.vm, KL_NAME_MAX);
		kl_promote_write_record(ctx, &next, "promotion_taken_up",
					"silent");
		return;
	}
	reply = kl_promotion_find_reply(promotion, group->primary);
	if (promotion->platform_accepted_promotion && reply &&
	    reply->reported_primary) {
		promotion->new_primary_term = reply->term;
		/* "leads": the database reports itself as the primary. */
		next.state = KL_GROUP_STABLE;
		kl_promote_write_record(ctx, &next, "promoted", "leads");
		return;
	}
	if (promotion->candidate_not_running ||
	    now - group->first_seen_us > CANDIDATE_TIMEOUT_US) {
		kl_name_copy(promotion->failed_candidate, group->primary);
		claim_term(ctx, "candidate_silent");
		return;
	}
	if (now - promotion->failover.last_database_call_us < QUERY_INTERVAL_US)
		return;
	promotion->failover.last_database_call_us = now;
	if (promotion->platform_accepted_promotion)
		kl_promote_query(ctx, group->primary, false);
	else
		call_promote(ctx);
}

/*
 * Calls the platform's promotion.  The record must have been confirmed recently
 * because its term, the fencing token, must be the latest one.
 */
static void call_promote(kl_promote_ctx_t *ctx)
{
	const kl_confirmation_t *confirmation =
		kl_node_get(ctx->base.node, KL_SECTION_CONFIRMATION);
	const kl_group_t *group = ctx->base.group;
	kl_platform_call_t call = { .op = KL_PLATFORM_PROMOTE,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .sent_us = ctx->base.now,
				    .version = group->term,
				    .body = group->primary };

	if (!confirmation ||
	    ctx->base.now - confirmation->confirmed_us >
		    CONFIRMATION_MAX_AGE_US ||
	    (ctx->promotion->last_promote_call_us &&
	     ctx->base.now - ctx->promotion->last_promote_call_us <
		     RETRY_INTERVAL_US))
		return;
	ctx->promotion->last_promote_call_us = ctx->base.now;
	ctx->promotion->last_own_promotion_us = ctx->base.now;
	memcpy(call.name, group->name.name, KL_NAME_MAX);
	ctx->base.node->ops->call_platform(ctx->base.node->ops_context, &call);
}

/*
 * Whether this VM may continue the failover: it is the recorded promoter, or
 * the record has stayed the same for longer than expected.  Probers take over
 * in the order of their ranks.
 */
static bool may_act(const kl_promote_ctx_t *ctx, uint64_t expected_us)
{
	uint64_t state_age_us = ctx->base.now - ctx->base.group->first_seen_us;

	if (!strcmp(ctx->base.group->promoter, ctx->base.node->self.vm))
		return true;
	return ctx->base.prober_rank >= 0 && !was_replaced_as_promoter(ctx) &&
	       state_age_us > expected_us + TAKEOVER_DELAY_US +
				      (uint64_t)ctx->base.prober_rank *
					      KL_PROMOTE_RANK_DELAY_US;
}

/* Whether another VM took over after this one promoted a short time ago. */
static bool was_replaced_as_promoter(const kl_promote_ctx_t *ctx)
{
	uint64_t own_us = ctx->promotion->last_own_promotion_us;

	return own_us && ctx->base.now - own_us < REPLACED_PROMOTER_WAIT_US &&
	       strcmp(ctx->base.group->promoter, ctx->base.node->self.vm);
}

/*
 * Tells databases that are registered as primary, but were replaced, to step
 * down.  The VM that promoted the new primary does this.
 */
static void demote_old_primaries(kl_promote_ctx_t *ctx)
{
	const kl_upstream_t *upstream;
	kl_promotion_t *promotion = ctx->promotion;

	if (!promotion->new_primary_term ||
	    strcmp(ctx->base.group->promoter, ctx->base.node->self.vm) ||
	    ctx->base.now - promotion->last_step_down_call_us <
		    STEP_DOWN_INTERVAL_US)
		return;
	promotion->last_step_down_call_us = ctx->base.now;
	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		if (!upstream->registered_primary ||
		    !strcmp(upstream->name.name, ctx->base.group->primary))
			continue;
		kl_promote_call_database(ctx, upstream, KL_DATABASE_FOLLOW,
					 promotion->new_primary_term);
	}
}

/*
 * Logs the decision and sends a conditional update of the group's record,
 * unless the last attempt was too recent.
 */
void kl_promote_write_record(kl_promote_ctx_t *ctx, kl_group_t *group,
			     const char *decision_name, const char *reason)
{
	kl_node_t *node = ctx->base.node;
	kl_failover_t *failover = &ctx->promotion->failover;
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .sent_us = ctx->base.now,
				    .version = group->version };
	kl_decision_t decision = { .name = decision_name,
				   .service = group->name.name,
				   .upstream = group->primary,
				   .reason = reason,
				   .term = group->term };
	char *body;

	if (failover->last_record_write_us &&
	    ctx->base.now - failover->last_record_write_us < RETRY_INTERVAL_US)
		return;
	failover->last_record_write_us = ctx->base.now;
	group->era = kl_sync_era(node);
	body = kl_group_encode(group);
	if (!body)
		return;
	if (snprintf(call.name, sizeof(call.name), "group/%s",
		     group->name.name) < (int)sizeof(call.name)) {
		call.body = body;
		node->ops->log_decision(node->ops_context, &decision);
		node->ops->call_platform(node->ops_context, &call);
	}
	free(body);
}
