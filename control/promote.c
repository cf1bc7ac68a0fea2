/*
 * Changes a group's primary where the platform promotes databases.  The record
 * in the platform's service is the only memory, as in the failover controller:
 *
 *   STABLE(T) -> FENCING(T+1) -> PROMOTING(T+1, candidate) -> STABLE(T+1)
 *
 * A primary can't be sealed here.  The fence is over when every VM that is
 * registered has said that it knows the record, or when all leases that are
 * older than it have run out.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/group_record.h"
#include "control/promote_internal.h"

#define RANK_US (150 * KL_MS) /* lower ranks start later */
#define CREATE_RANK_US (500 * KL_MS)
#define TAKEOVER_US (1500 * KL_MS) /* a silent promoter is replaced */
#define CANDIDATE_US (5 * KL_SEC)  /* a silent candidate is given up */
#define REFUSED_US (250 * KL_MS)   /* a primary that refuses is suspected */
#define MISSING_US (2500 * KL_MS)  /* one that is not registered */
#define SETTLE_US (120 * KL_MS)	   /* what was sent before the fence ends */
#define CURRENT_US (1 * KL_SEC)	   /* a record confirmed this lately is used */
#define ASK_US (100 * KL_MS)	   /* between two questions to databases */
#define STEP_DOWN_US (500 * KL_MS) /* between two orders to step down */

static void step_stable(kl_promote_ctx_t *view);
static void step_fencing(kl_promote_ctx_t *view);
static void step_promoting(kl_promote_ctx_t *view);
static void create_record(kl_promote_ctx_t *view);
static bool primary_fails(kl_promote_ctx_t *view);
static bool primary_leaves(const kl_promote_ctx_t *view);
static bool acting(const kl_promote_ctx_t *view, uint64_t after_us);
static void win_term(kl_promote_ctx_t *view, const char *reason);
static void send_promotion(kl_promote_ctx_t *view);
static void check_suspect(kl_promote_ctx_t *view);
static void step_down_strays(kl_promote_ctx_t *view);
static void write_record(kl_promote_ctx_t *view, kl_group_t *group,
			 const char *what, const char *reason);

static void (*const steps[KL_GROUP_STATE_COUNT])(kl_promote_ctx_t *view) = {
	[KL_GROUP_STABLE] = step_stable,
	[KL_GROUP_FENCING] = step_fencing,
	[KL_GROUP_PROMOTING] = step_promoting,
};

void kl_promote_step(kl_node_t *node, const kl_event_t *event)
{
	kl_promote_state_t *state = node->state[KL_CONTROLLER_PROMOTE];
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_terms_t *terms = kl_node_get(node, KL_SECTION_TERMS);
	kl_promote_ctx_t view = { .base = { .node = node,
					    .members = kl_node_get(
						    node, KL_SECTION_MEMBERS),
					    .now = kl_node_now(node) },
				  .acks = &state->acks };

	if (!node->tuning.platform_promotes)
		return;
	kl_promote_handle_event(state, event, view.base.now);
	if (!config || !terms || !view.base.members)
		return;
	CK_STAILQ_FOREACH(view.base.service, &config->services, link) {
		const char *name = view.base.service->name.name;
		kl_promotion_t *promotion = kl_promotion_get(state, name);

		view.promotion = promotion;
		view.base.group = kl_index_get(terms->index, name);
		if (!promotion)
			continue;
		view.base.failover = &promotion->failover;
		kl_failover_update_probers(&view.base);
		if (!view.base.group) {
			create_record(&view);
			continue;
		}
		if (promotion->failover.record_version !=
		    view.base.group->version)
			kl_promotion_reset(promotion, view.base.group);
		steps[view.base.group->state](&view);
	}
}

/* The first record names the database that registered itself as primary. */
static void create_record(kl_promote_ctx_t *view)
{
	const kl_upstream_t *upstream, *first = NULL;
	kl_group_t group = { .state = KL_GROUP_STABLE, .term = 1 };
	kl_promotion_t *promotion = view->promotion;

	CK_STAILQ_FOREACH(upstream, &view->base.service->upstreams, link) {
		if (upstream->registered_primary && !first)
			first = upstream;
	}
	if (!first || view->base.prober_rank < 0) {
		promotion->failover.triggered_us = 0;
		return;
	}
	if (!promotion->failover.triggered_us)
		promotion->failover.triggered_us = view->base.now;
	if (view->base.now - promotion->failover.triggered_us <
	    (uint64_t)view->base.prober_rank * CREATE_RANK_US)
		return;
	group.name = view->base.service->name;
	group.primary[0] = '\0';
	kl_name_set(group.primary, first->name.name);
	write_record(view, &group, "group_recorded", "registered");
}

static void step_stable(kl_promote_ctx_t *view)
{
	kl_failover_t *change = &view->promotion->failover;
	bool fails = primary_fails(view);
	bool leaves = primary_leaves(view);

	step_down_strays(view);
	if (fails)
		kl_failover_suspect(&view->base);
	else
		check_suspect(view);
	if (view->base.prober_rank < 0)
		return;
	if (!(fails && kl_failover_has_quorum(&view->base)) && !leaves) {
		change->triggered_us = 0;
		return;
	}
	if (!change->triggered_us)
		change->triggered_us = view->base.now;
	if (view->base.now - change->triggered_us <
	    (uint64_t)view->base.prober_rank * RANK_US)
		return;
	win_term(view, fails ? "primary_fails" : "primary_leaves");
}

static void win_term(kl_promote_ctx_t *view, const char *reason)
{
	kl_group_t next = *view->base.group;

	next.term++;
	next.state = KL_GROUP_FENCING;
	memcpy(next.promoter, view->base.node->self.vm, KL_NAME_MAX);
	write_record(view, &next, "term_won", reason);
}

static void step_fencing(kl_promote_ctx_t *view)
{
	const kl_tuning_t *tuning = &view->base.node->tuning;
	kl_promotion_t *promotion = view->promotion;
	uint64_t now = view->base.now;
	const char *best;
	kl_group_t next;

	if (!acting(view,
		    kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us))
		return;
	if (now - promotion->failover.database_call_us >= ASK_US) {
		promotion->failover.database_call_us = now;
		kl_promote_query_all(view);
	}
	if (!promotion->fence_done_us) {
		if (!kl_promote_fence_done(view))
			return;
		promotion->fence_done_us = now;
	}
	best = kl_promote_candidate(view, promotion->fence_done_us + SETTLE_US);
	if (!best)
		return;
	next = *view->base.group;
	next.state = KL_GROUP_PROMOTING;
	kl_name_set(next.primary, best);
	memcpy(next.promoter, view->base.node->self.vm, KL_NAME_MAX);
	write_record(view, &next, "candidate_chosen", "highest_position");
}

static void step_promoting(kl_promote_ctx_t *view)
{
	kl_promotion_t *promotion = view->promotion;
	const kl_group_t *group = view->base.group;
	kl_group_t next = *group;
	uint64_t now = view->base.now;
	const kl_status_reply_t *reply;

	if (!acting(view, TAKEOVER_US))
		return;
	if (strcmp(group->promoter, view->base.node->self.vm)) {
		/* Another holder's orders carry another term. */
		next.term++;
		memcpy(next.promoter, view->base.node->self.vm, KL_NAME_MAX);
		write_record(view, &next, "promotion_taken_up", "silent");
		return;
	}
	reply = kl_promotion_find_reply(promotion, group->primary);
	if (promotion->platform_accepted && reply && reply->primary) {
		promotion->new_primary_term = reply->term;
		next.state = KL_GROUP_STABLE;
		write_record(view, &next, "promoted", "leads");
		return;
	}
	if (promotion->candidate_not_running ||
	    now - group->first_seen_us > CANDIDATE_US) {
		kl_name_set(promotion->failed_candidate, group->primary);
		win_term(view, "candidate_silent");
		return;
	}
	if (now - promotion->failover.database_call_us < ASK_US)
		return;
	promotion->failover.database_call_us = now;
	if (promotion->platform_accepted)
		kl_promote_query(view, group->primary, false);
	else
		send_promotion(view);
}

/* Only with a record that is known to be current: an old term is no order. */
static void send_promotion(kl_promote_ctx_t *view)
{
	const kl_confirmation_t *fresh =
		kl_node_get(view->base.node, KL_SECTION_CONFIRMATION);
	const kl_group_t *group = view->base.group;
	kl_platform_call_t call = { .op = KL_PLATFORM_PROMOTE,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .sent_us = view->base.now,
				    .version = group->term,
				    .body = group->primary };

	if (!fresh || view->base.now - fresh->confirmed_us > CURRENT_US ||
	    (view->promotion->promote_call_us &&
	     view->base.now - view->promotion->promote_call_us <
		     RETRY_INTERVAL_US))
		return;
	view->promotion->promote_call_us = view->base.now;
	memcpy(call.name, group->name.name, KL_NAME_MAX);
	view->base.node->ops->call_platform(view->base.node->ops_context,
					    &call);
}

/* The promoter acts; others take up its work in the order of their ranks. */
static bool acting(const kl_promote_ctx_t *view, uint64_t after_us)
{
	uint64_t since = view->base.now - view->base.group->first_seen_us;

	if (!strcmp(view->base.group->promoter, view->base.node->self.vm))
		return true;
	return view->base.prober_rank >= 0 &&
	       since > after_us + TAKEOVER_US +
			       (uint64_t)view->base.prober_rank * RANK_US;
}

static bool primary_fails(kl_promote_ctx_t *view)
{
	kl_promotion_t *promotion = view->promotion;
	const char *primary = view->base.group->primary;
	const kl_confirmation_t *fresh =
		kl_node_get(view->base.node, KL_SECTION_CONFIRMATION);
	uint64_t now = view->base.now;

	if (kl_service_find_upstream(view->base.service, primary)) {
		promotion->unregistered_since_us = 0;
	} else if (!fresh || now - fresh->confirmed_us > CURRENT_US) {
		/* The registry may have lost it while it was away. */
		promotion->unregistered_since_us = now;
	} else {
		if (!promotion->unregistered_since_us)
			promotion->unregistered_since_us = now;
		if (now - promotion->unregistered_since_us > MISSING_US)
			return true;
	}
	return !strcmp(promotion->failing_upstream, primary) &&
	       now - promotion->failing_since_us >=
		       (promotion->connection_refused
				? REFUSED_US
				: view->base.node->tuning.suspect_after_us);
}

static bool primary_leaves(const kl_promote_ctx_t *view)
{
	const kl_service_t *service = view->base.service;
	const kl_upstream_t *upstream =
		kl_service_find_upstream(service, view->base.group->primary);

	if (!upstream || !upstream->leaving)
		return false;
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		if (!upstream->leaving)
			return true;
	}
	return false;
}

/* A prober without traffic of its own looks when another one suspects. */
static void check_suspect(kl_promote_ctx_t *view)
{
	const kl_suspicion_t *suspicion;
	kl_failover_t *change = &view->promotion->failover;

	if (view->base.prober_rank < 0 ||
	    view->base.now - change->database_call_us < RETRY_INTERVAL_US)
		return;
	CK_STAILQ_FOREACH(suspicion, &change->suspicions, link) {
		if (suspicion->term != view->base.group->term ||
		    view->base.now - suspicion->received_us > KL_SEC)
			continue;
		change->database_call_us = view->base.now;
		kl_promote_query(view, view->base.group->primary, true);
		return;
	}
}

/* A replaced primary that came back is told so by the VM that replaced it. */
static void step_down_strays(kl_promote_ctx_t *view)
{
	const kl_upstream_t *upstream;
	kl_promotion_t *promotion = view->promotion;

	if (!promotion->new_primary_term ||
	    strcmp(view->base.group->promoter, view->base.node->self.vm) ||
	    view->base.now - promotion->step_down_us < STEP_DOWN_US)
		return;
	promotion->step_down_us = view->base.now;
	CK_STAILQ_FOREACH(upstream, &view->base.service->upstreams, link) {
		if (!upstream->registered_primary ||
		    !strcmp(upstream->name.name, view->base.group->primary))
			continue;
		kl_promote_call_database(view, upstream, KL_DATABASE_FOLLOW,
					 promotion->new_primary_term);
	}
}

static void write_record(kl_promote_ctx_t *view, kl_group_t *group,
			 const char *what, const char *reason)
{
	kl_node_t *node = view->base.node;
	kl_failover_t *change = &view->promotion->failover;
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .sent_us = view->base.now,
				    .version = group->version };
	kl_decision_t decision = { .name = what,
				   .service = group->name.name,
				   .upstream = group->primary,
				   .reason = reason,
				   .term = group->term };
	char *body;

	if (change->record_write_us &&
	    view->base.now - change->record_write_us < RETRY_INTERVAL_US)
		return;
	change->record_write_us = view->base.now;
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
