/*
 * Changes a group's primary.  The record in the platform's service is the only
 * memory: every step is driven by what the record says, so any prober can take
 * up a change that another one left half done, and racing ones lose the
 * conditional update.
 *
 *   STABLE(T) -> FENCING(T+1) -> PROMOTING(T+1, candidate) -> STABLE(T+1)
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/failover_internal.h"
#include "control/group_record.h"

#define RANK_US (150 * KL_MS)	   /* lower ranks start later */
#define TAKEOVER_US (1500 * KL_MS) /* a silent promoter is replaced */
#define CANDIDATE_US (3 * KL_SEC)  /* a silent candidate is given up */
#define FRESH_US (1 * KL_SEC)	   /* observations older than this are old */

typedef struct failover_state {
	CK_STAILQ_HEAD(, kl_failover) changes;
	kl_index_t *index;
} failover_state_t;

static void step_stable(kl_failover_ctx_t *view);
static void step_fencing(kl_failover_ctx_t *view);
static void step_promoting(kl_failover_ctx_t *view);
static void create_record(kl_failover_ctx_t *view);
static bool primary_fails(const kl_failover_ctx_t *view);
static bool primary_leaves(const kl_failover_ctx_t *view);
static bool acting(const kl_failover_ctx_t *view, uint64_t after_us);
static void write_record(kl_failover_ctx_t *view, kl_group_t *group,
			 const char *what, const char *reason);
static void follow_strays(kl_failover_ctx_t *view);
static kl_failover_t *change_of(failover_state_t *state, const char *service);

static void (*const steps[KL_GROUP_STATE_COUNT])(kl_failover_ctx_t *view) = {
	[KL_GROUP_STABLE] = step_stable,
	[KL_GROUP_FENCING] = step_fencing,
	[KL_GROUP_PROMOTING] = step_promoting,
};

int kl_failover_create(kl_node_t *node)
{
	failover_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->changes);
	state->index = kl_index_new(16);
	node->state[KL_CONTROLLER_FAILOVER] = state;
	return 0;
}

void kl_failover_destroy(kl_node_t *node)
{
	failover_state_t *state = node->state[KL_CONTROLLER_FAILOVER];
	kl_failover_t *change, *next;
	kl_suspicion_t *suspicion, *after;

	CK_STAILQ_FOREACH_SAFE(change, &state->changes, link, next) {
		CK_STAILQ_FOREACH_SAFE(suspicion, &change->suspicions, link,
				       after)
			free(suspicion);
		free(change);
	}
	kl_index_free(state->index);
	free(state);
}

void kl_failover_step(kl_node_t *node, const kl_event_t *event)
{
	failover_state_t *state = node->state[KL_CONTROLLER_FAILOVER];
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_terms_t *terms = kl_node_get(node, KL_SECTION_TERMS);
	kl_failover_ctx_t view = {
		.node = node,
		.members = kl_node_get(node, KL_SECTION_MEMBERS),
		.health = kl_node_get(node, KL_SECTION_HEALTH),
		.now = kl_node_now(node)
	};

	if (node->tuning.platform_promotes)
		return;
	if (event->kind == KL_EVENT_PEER) {
		if (event->peer->kind != KL_PEER_SUSPECT)
			return;
		kl_failover_add_suspicion(
			change_of(state, event->peer->subject),
			event->peer->from, event->peer->term, view.now);
	}
	if (event->kind == KL_EVENT_DATABASE) {
		if (event->database->call.owner != KL_CONTROLLER_FAILOVER)
			return;
		kl_failover_handle_reply(
			change_of(state, event->database->call.service),
			event->database);
	}
	if (!config || !terms || !view.members || !view.health)
		return;
	CK_STAILQ_FOREACH(view.service, &config->services, link) {
		const char *name = view.service->name.name;

		view.failover = change_of(state, name);
		view.group = kl_index_get(terms->index, name);
		if (!view.failover)
			continue;
		kl_failover_update_probers(&view);
		if (view.prober_rank < 0)
			continue;
		if (!view.group) {
			create_record(&view);
			continue;
		}
		if (view.failover->record_version != view.group->version) {
			view.failover->record_version = view.group->version;
			view.failover->record_term = view.group->term;
			view.failover->reply_count = 0;
			view.failover->candidate_promoted = false;
			view.failover->triggered_us = 0;
			view.failover->database_call_us = 0;
			view.failover->record_write_us = 0;
		}
		steps[view.group->state](&view);
	}
}

/* The first record names the database that a majority's view allows. */
static void create_record(kl_failover_ctx_t *view)
{
	const kl_upstream_t *upstream;
	const kl_observation_t *first = NULL;
	const char *name = NULL;
	uint32_t seen = 0;
	kl_group_t group = { .state = KL_GROUP_STABLE };

	if (view->prober_rank != 0)
		return;
	CK_STAILQ_FOREACH(upstream, &view->service->upstreams, link) {
		const kl_observation_t *seen_now =
			kl_health_find(view->health, view->service->name.name,
				       upstream->name.name);

		if (!seen_now || !seen_now->sampled_us)
			continue;
		seen++;
		if (seen_now->primary &&
		    (!first || seen_now->term > first->term)) {
			first = seen_now;
			name = upstream->name.name;
		}
	}
	if (!first || seen <= view->service->upstream_count / 2)
		return;
	group.name = view->service->name;
	group.term = first->term;
	kl_name_set(group.primary, name);
	kl_group_add_term(&group, first->term, 0);
	write_record(view, &group, "group_recorded", "first_seen");
}

static void step_stable(kl_failover_ctx_t *view)
{
	bool fails = primary_fails(view);
	kl_group_t next;

	follow_strays(view);
	if (fails)
		kl_failover_suspect(view);
	if (!(fails && kl_failover_has_quorum(view)) && !primary_leaves(view)) {
		view->failover->triggered_us = 0;
		return;
	}
	if (!view->failover->triggered_us)
		view->failover->triggered_us = view->now;
	if (view->now - view->failover->triggered_us <
	    (uint64_t)view->prober_rank * RANK_US)
		return;
	next = *view->group;
	next.term++;
	next.state = KL_GROUP_FENCING;
	memcpy(next.promoter, view->node->self.vm, KL_NAME_MAX);
	write_record(view, &next, "term_won",
		     fails ? "primary_fails" : "primary_leaves");
}

/*
 * First the old primary alone is sealed, so that a planned change loses
 * nothing; once every older proof has run out the others are sealed too, and
 * the best of a majority is chosen.
 */
static void step_fencing(kl_failover_ctx_t *view)
{
	const kl_tuning_t *tuning = &view->node->tuning;
	uint64_t since = view->now - view->group->first_seen_us;
	const kl_seal_reply_t *old, *best;
	kl_group_t next;

	if (!acting(view,
		    kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us))
		return;
	if (since < kl_fencing_delay_us(tuning)) {
		kl_failover_seal(view, view->group->primary);
		return;
	}
	old = kl_failover_find_reply(view->failover, view->group->primary);
	if (old &&
	    since < kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us &&
	    !kl_failover_caught_up(view, old))
		return;
	best = kl_failover_candidate(view);
	if (!best) {
		kl_failover_seal(view, NULL);
		return;
	}
	next = *view->group;
	next.state = KL_GROUP_PROMOTING;
	memcpy(next.primary, best->upstream, KL_NAME_MAX);
	/* Whoever took the change up goes on with it. */
	memcpy(next.promoter, view->node->self.vm, KL_NAME_MAX);
	kl_group_add_term(&next, next.term, best->position);
	write_record(view, &next, "candidate_chosen", "highest_position");
}

static void step_promoting(kl_failover_ctx_t *view)
{
	const kl_upstream_t *candidate =
		kl_service_find_upstream(view->service, view->group->primary);
	kl_group_t next = *view->group;

	if (!acting(view, TAKEOVER_US))
		return;
	if (view->failover->candidate_promoted) {
		next.state = KL_GROUP_STABLE;
		write_record(view, &next, "promoted", "answered");
		return;
	}
	if (!candidate ||
	    view->now - view->group->first_seen_us > CANDIDATE_US) {
		/* The history keeps the term: it may have begun unseen. */
		next.term++;
		next.state = KL_GROUP_FENCING;
		memcpy(next.promoter, view->node->self.vm, KL_NAME_MAX);
		write_record(view, &next, "term_won", "candidate_silent");
		return;
	}
	if (view->now - view->failover->database_call_us < RETRY_INTERVAL_US)
		return;
	view->failover->database_call_us = view->now;
	kl_failover_call_database(view, KL_DATABASE_PROMOTE, candidate);
}

/* The promoter acts; others take up its work in the order of their ranks. */
static bool acting(const kl_failover_ctx_t *view, uint64_t after_us)
{
	uint64_t since = view->now - view->group->first_seen_us;

	if (!strcmp(view->group->promoter, view->node->self.vm))
		return true;
	return since >
	       after_us + TAKEOVER_US + (uint64_t)view->prober_rank * RANK_US;
}

static bool primary_fails(const kl_failover_ctx_t *view)
{
	const kl_observation_t *seen = kl_health_find(
		view->health, view->service->name.name, view->group->primary);
	uint64_t limit = view->node->tuning.suspect_after_us;

	if (!kl_service_find_upstream(view->service, view->group->primary))
		return true;
	if (!seen)
		return false;
	if (seen->failing_since_us)
		return view->now - seen->failing_since_us >= limit &&
		       seen->consecutive_failures >= 3;
	/* It answers, but lost its role: restarted, or sealed by someone. */
	return seen->sampled_us &&
	       seen->sampled_us > view->group->first_seen_us &&
	       (!seen->primary || seen->term != view->group->term);
}

/* A planned change starts only if it is likely to succeed at once. */
static bool primary_leaves(const kl_failover_ctx_t *view)
{
	const kl_upstream_t *upstream =
		kl_service_find_upstream(view->service, view->group->primary);
	uint32_t healthy = 0, successors = 0;

	if (!upstream || !upstream->leaving)
		return false;
	CK_STAILQ_FOREACH(upstream, &view->service->upstreams, link) {
		const kl_observation_t *seen =
			kl_health_find(view->health, view->service->name.name,
				       upstream->name.name);

		if (!seen || !seen->sampled_us || seen->failing_since_us)
			continue;
		healthy++;
		successors += !upstream->leaving &&
			      seen->term == view->group->term &&
			      view->now - seen->caught_up_us <
				      view->node->tuning.catch_up_timeout_us;
	}
	return successors && healthy > view->service->upstream_count / 2;
}

static void write_record(kl_failover_ctx_t *view, kl_group_t *group,
			 const char *what, const char *reason)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_FAILOVER,
				    .sent_us = view->now };
	kl_decision_t decision = { .name = what,
				   .service = group->name.name,
				   .upstream = group->primary,
				   .reason = reason,
				   .term = group->term };
	char *body;

	if (view->failover->record_write_us &&
	    view->now - view->failover->record_write_us < RETRY_INTERVAL_US)
		return;
	view->failover->record_write_us = view->now;
	body = kl_group_encode(group);
	if (!body)
		return;
	if (snprintf(call.name, sizeof(call.name), "group/%s",
		     group->name.name) >= (int)sizeof(call.name)) {
		free(body);
		return;
	}
	call.version = group->version;
	call.body = body;
	view->node->ops->log_decision(view->node->ops_context, &decision);
	view->node->ops->call_platform(view->node->ops_context, &call);
	free(body);
}

/* A database that missed a change of term is told to follow. */
static void follow_strays(kl_failover_ctx_t *view)
{
	const kl_upstream_t *upstream;

	if (view->now - view->failover->database_call_us < KL_SEC)
		return;
	CK_STAILQ_FOREACH(upstream, &view->service->upstreams, link) {
		const kl_observation_t *seen =
			kl_health_find(view->health, view->service->name.name,
				       upstream->name.name);

		if (!seen || !seen->sampled_us ||
		    seen->sampled_us < view->group->first_seen_us ||
		    view->now - seen->sampled_us > FRESH_US ||
		    !strcmp(upstream->name.name, view->group->primary))
			continue;
		if (seen->term >= view->group->term && !seen->primary)
			continue;
		view->failover->database_call_us = view->now;
		kl_failover_call_database(view, KL_DATABASE_FOLLOW, upstream);
	}
}

static kl_failover_t *change_of(failover_state_t *state, const char *service)
{
	kl_failover_t *change = kl_index_get(state->index, service);

	if (change)
		return change;
	change = calloc(1, sizeof(*change));
	if (!change || kl_name_set(change->name.name, service)) {
		free(change);
		return NULL;
	}
	CK_STAILQ_INIT(&change->suspicions);
	CK_STAILQ_INSERT_TAIL(&state->changes, change, link);
	kl_index_put(state->index, &change->name);
	return change;
}
