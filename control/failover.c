/*
 * Changes a group's primary by calls to the databases.  The only persistent
 * state is the group's record in the platform's object store.  Each step acts
 * on the recorded state, so any prober (one of the VMs that monitor the group's
 * databases) can continue a failover that another one left unfinished; of
 * probers that race, all but one lose the conditional update.
 *
 *   STABLE(T) -> FENCING(T+1) -> PROMOTING(T+1, candidate) -> STABLE(T+1)
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/failover_internal.h"
#include "control/group_record.h"

/*
 * The prober of rank N waits N times this long before it acts, so that probers
 * rarely compete for the conditional update.
 */
#define RANK_DELAY_US (150 * KL_MS)

/* Another prober takes over from a promoter that is inactive this long. */
#define TAKEOVER_DELAY_US (1500 * KL_MS)

/* A candidate that is not promoted in this time is abandoned. */
#define CANDIDATE_TIMEOUT_US (3 * KL_SEC)

/* Follow calls rely on the last status of a database, if it is this recent. */
#define OBSERVATION_MAX_AGE_US (1 * KL_SEC)

/* Minimum time between rounds of follow calls. */
#define FOLLOW_INTERVAL_US (1 * KL_SEC)

/* Least failed probes in a row: a single lost one is no failure. */
#define MIN_FAILED_PROBES 3

typedef struct failover_state {
	CK_STAILQ_HEAD(, kl_failover) failovers;
	kl_index_t *index;
} failover_state_t;

static void step_stable(kl_failover_ctx_t *ctx);
static void step_fencing(kl_failover_ctx_t *ctx);
static void step_promoting(kl_failover_ctx_t *ctx);
static void create_record(kl_failover_ctx_t *ctx);
static bool primary_failed(const kl_failover_ctx_t *ctx);
static bool primary_leaving(const kl_failover_ctx_t *ctx);
static bool may_act(const kl_failover_ctx_t *ctx, uint64_t expected_us);
static void write_record(kl_failover_ctx_t *ctx, kl_group_t *group,
			 const char *decision_name, const char *reason);
static void send_follow(kl_failover_ctx_t *ctx);
static kl_failover_t *failover_get(failover_state_t *state,
				   const char *service);

static void (*const steps[KL_GROUP_STATE_COUNT])(kl_failover_ctx_t *ctx) = {
	[KL_GROUP_STABLE] = step_stable,
	[KL_GROUP_FENCING] = step_fencing,
	[KL_GROUP_PROMOTING] = step_promoting,
};

int kl_failover_create(kl_node_t *node)
{
	failover_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->failovers);
	state->index = kl_index_new(16);
	node->state[KL_CONTROLLER_FAILOVER] = state;
	return 0;
}

void kl_failover_destroy(kl_node_t *node)
{
	failover_state_t *state = node->state[KL_CONTROLLER_FAILOVER];
	kl_failover_t *failover, *next;
	kl_suspicion_t *suspicion, *next_suspicion;

	CK_STAILQ_FOREACH_SAFE(failover, &state->failovers, link, next) {
		CK_STAILQ_FOREACH_SAFE(suspicion, &failover->suspicions, link,
				       next_suspicion)
			free(suspicion);
		free(failover);
	}
	kl_index_free(state->index);
	free(state);
}

void kl_failover_step(kl_node_t *node, const kl_event_t *event)
{
	failover_state_t *state = node->state[KL_CONTROLLER_FAILOVER];
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_terms_t *terms = kl_node_get(node, KL_SECTION_TERMS);
	kl_failover_ctx_t ctx = { .node = node,
				  .members =
					  kl_node_get(node, KL_SECTION_MEMBERS),
				  .health =
					  kl_node_get(node, KL_SECTION_HEALTH),
				  .now = kl_node_now(node) };

	if (node->tuning.platform_promotes)
		return; /* the promotion controller acts instead */
	if (event->kind == KL_EVENT_PEER) {
		if (event->peer->kind != KL_PEER_SUSPECT)
			return;
		kl_failover_add_suspicion(
			failover_get(state, event->peer->subject),
			event->peer->from, event->peer->term, ctx.now);
	}
	if (event->kind == KL_EVENT_DATABASE) {
		if (event->database->call.owner != KL_CONTROLLER_FAILOVER)
			return;
		kl_failover_handle_reply(
			failover_get(state, event->database->call.service),
			event->database);
	}
	if (!config || !terms || !ctx.members || !ctx.health)
		return;
	CK_STAILQ_FOREACH(ctx.service, &config->services, link) {
		const char *name = ctx.service->name.name;

		ctx.failover = failover_get(state, name);
		ctx.group = kl_index_get(terms->index, name);
		if (!ctx.failover)
			continue;
		kl_failover_update_probers(&ctx);
		if (ctx.prober_rank < 0)
			continue;
		if (!ctx.group) {
			create_record(&ctx);
			continue;
		}
		if (ctx.failover->record_version != ctx.group->version) {
			ctx.failover->record_version = ctx.group->version;
			ctx.failover->record_term = ctx.group->term;
			ctx.failover->reply_count = 0;
			ctx.failover->candidate_promoted = false;
			ctx.failover->triggered_us = 0;
			ctx.failover->last_database_call_us = 0;
			ctx.failover->last_record_write_us = 0;
		}
		steps[ctx.group->state](&ctx);
	}
}

/*
 * Creates a group's first record once the status of a majority of its
 * databases is known.  The primary is the one with the highest term among
 * those that report that they are primary.  Only the first prober does this.
 */
static void create_record(kl_failover_ctx_t *ctx)
{
	const kl_upstream_t *upstream;
	const kl_observation_t *first = NULL;
	const char *name = NULL;
	uint32_t known_count = 0;
	kl_group_t group = { .state = KL_GROUP_STABLE };

	if (ctx->prober_rank != 0)
		return;
	CK_STAILQ_FOREACH(upstream, &ctx->service->upstreams, link) {
		const kl_observation_t *observation =
			kl_health_find(ctx->health, ctx->service->name.name,
				       upstream->name.name);

		if (!observation || !observation->sampled_us)
			continue;
		known_count++;
		if (observation->reported_primary &&
		    (!first || observation->term > first->term)) {
			first = observation;
			name = upstream->name.name;
		}
	}
	if (!first || known_count <= ctx->service->upstream_count / 2)
		return;
	group.name = ctx->service->name;
	group.term = first->term;
	kl_name_copy(group.primary, name);
	kl_group_add_term(&group, first->term, 0);
	write_record(ctx, &group, "group_recorded", "first_seen");
}

static void step_stable(kl_failover_ctx_t *ctx)
{
	bool failed = primary_failed(ctx);
	kl_group_t next;

	send_follow(ctx);
	if (failed)
		kl_failover_report_suspicion(ctx);
	if (!(failed && kl_failover_has_quorum(ctx)) && !primary_leaving(ctx)) {
		ctx->failover->triggered_us = 0;
		return;
	}
	if (!ctx->failover->triggered_us)
		ctx->failover->triggered_us = ctx->now;
	if (ctx->now - ctx->failover->triggered_us <
	    (uint64_t)ctx->prober_rank * RANK_DELAY_US)
		return;
	next = *ctx->group;
	next.term++;
	next.state = KL_GROUP_FENCING;
	memcpy(next.promoter, ctx->node->self.vm, KL_NAME_MAX);
	write_record(ctx, &next, "term_won",
		     failed ? "primary_fails" : "primary_leaves");
}

/*
 * Until all leases on the previous term have expired, only the old primary is
 * sealed, so that replicas can receive the rest of its log and a planned
 * failover loses no writes.  Then the other databases are sealed too, and the
 * candidate is chosen from a majority.
 */
static void step_fencing(kl_failover_ctx_t *ctx)
{
	const kl_tuning_t *tuning = &ctx->node->tuning;
	uint64_t state_age_us = ctx->now - ctx->group->first_seen_us;
	const kl_seal_reply_t *old_primary, *best;
	kl_group_t next;

	if (!may_act(ctx,
		     kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us))
		return;
	if (state_age_us < kl_fencing_delay_us(tuning)) {
		kl_failover_seal(ctx, ctx->group->primary);
		return;
	}
	old_primary =
		kl_failover_find_reply(ctx->failover, ctx->group->primary);
	if (old_primary &&
	    state_age_us <
		    kl_fencing_delay_us(tuning) + tuning->catch_up_timeout_us &&
	    !kl_failover_caught_up(ctx, old_primary))
		return;
	best = kl_failover_choose_candidate(ctx);
	if (!best) {
		kl_failover_seal(ctx, NULL);
		return;
	}
	next = *ctx->group;
	next.state = KL_GROUP_PROMOTING;
	memcpy(next.primary, best->upstream, KL_NAME_MAX);
	/* This VM may have taken over from the recorded promoter. */
	memcpy(next.promoter, ctx->node->self.vm, KL_NAME_MAX);
	kl_group_add_term(&next, next.term, best->position);
	write_record(ctx, &next, "candidate_chosen", "highest_position");
}

static void step_promoting(kl_failover_ctx_t *ctx)
{
	const kl_upstream_t *candidate =
		kl_service_find_upstream(ctx->service, ctx->group->primary);
	kl_group_t next = *ctx->group;

	if (!may_act(ctx, TAKEOVER_DELAY_US))
		return;
	if (ctx->failover->candidate_promoted) {
		next.state = KL_GROUP_STABLE;
		write_record(ctx, &next, "promoted", "answered");
		return;
	}
	if (!candidate ||
	    ctx->now - ctx->group->first_seen_us > CANDIDATE_TIMEOUT_US) {
		/*
		 * The term stays in the history: the candidate may have been
		 * promoted although its answer did not arrive.
		 */
		next.term++;
		next.state = KL_GROUP_FENCING;
		memcpy(next.promoter, ctx->node->self.vm, KL_NAME_MAX);
		write_record(ctx, &next, "term_won", "candidate_silent");
		return;
	}
	if (ctx->now - ctx->failover->last_database_call_us < RETRY_INTERVAL_US)
		return;
	ctx->failover->last_database_call_us = ctx->now;
	kl_failover_call_database(ctx, KL_DATABASE_PROMOTE, candidate);
}

/*
 * Whether this VM may continue the failover: it is the recorded promoter, or
 * the record has stayed the same for longer than expected.  Probers take over
 * in the order of their ranks.
 */
static bool may_act(const kl_failover_ctx_t *ctx, uint64_t expected_us)
{
	uint64_t state_age_us = ctx->now - ctx->group->first_seen_us;

	if (!strcmp(ctx->group->promoter, ctx->node->self.vm))
		return true;
	return state_age_us >
	       expected_us + TAKEOVER_DELAY_US +
		       (uint64_t)ctx->prober_rank * RANK_DELAY_US;
}

/*
 * Whether this VM considers the primary failed: it is not registered, fails
 * probes, or reports another role or term than the record.
 */
static bool primary_failed(const kl_failover_ctx_t *ctx)
{
	const kl_observation_t *observation = kl_health_find(
		ctx->health, ctx->service->name.name, ctx->group->primary);
	uint64_t suspect_after_us = ctx->node->tuning.suspect_after_us;

	if (!kl_service_find_upstream(ctx->service, ctx->group->primary))
		return true;
	if (!observation)
		return false;
	if (observation->failing_since_us)
		return ctx->now - observation->failing_since_us >=
			       suspect_after_us &&
		       observation->consecutive_failures >= MIN_FAILED_PROBES;
	/* It reports another role or term: it restarted, or was sealed. */
	return observation->sampled_us &&
	       observation->sampled_us > ctx->group->first_seen_us &&
	       (!observation->reported_primary ||
		observation->term != ctx->group->term);
}

/*
 * Whether a planned failover is due and likely to succeed at once: the primary
 * is leaving, a majority of the databases is healthy, and one of them that
 * isn't leaving has nearly all of the primary's log.
 */
static bool primary_leaving(const kl_failover_ctx_t *ctx)
{
	const kl_upstream_t *upstream =
		kl_service_find_upstream(ctx->service, ctx->group->primary);
	uint32_t healthy = 0, successors = 0;

	if (!upstream || !upstream->leaving)
		return false;
	CK_STAILQ_FOREACH(upstream, &ctx->service->upstreams, link) {
		const kl_observation_t *observation =
			kl_health_find(ctx->health, ctx->service->name.name,
				       upstream->name.name);

		if (!observation || !observation->sampled_us ||
		    observation->failing_since_us)
			continue;
		healthy++;
		successors += !upstream->leaving &&
			      observation->term == ctx->group->term &&
			      ctx->now - observation->caught_up_until_us <
				      ctx->node->tuning.catch_up_timeout_us;
	}
	return successors && healthy > ctx->service->upstream_count / 2;
}

/*
 * Logs the decision and sends a conditional update of the group's record,
 * unless the last attempt was too recent.
 */
static void write_record(kl_failover_ctx_t *ctx, kl_group_t *group,
			 const char *decision_name, const char *reason)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_FAILOVER,
				    .sent_us = ctx->now };
	kl_decision_t decision = { .name = decision_name,
				   .service = group->name.name,
				   .upstream = group->primary,
				   .reason = reason,
				   .term = group->term };
	char *body;

	if (ctx->failover->last_record_write_us &&
	    ctx->now - ctx->failover->last_record_write_us < RETRY_INTERVAL_US)
		return;
	ctx->failover->last_record_write_us = ctx->now;
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
	ctx->node->ops->log_decision(ctx->node->ops_context, &decision);
	ctx->node->ops->call_platform(ctx->node->ops_context, &call);
	free(body);
}

/*
 * Sends follow calls to databases that missed a change of term: they serve an
 * older one, or still report that they are primary.
 */
static void send_follow(kl_failover_ctx_t *ctx)
{
	const kl_upstream_t *upstream;

	if (ctx->now - ctx->failover->last_database_call_us <
	    FOLLOW_INTERVAL_US)
		return;
	CK_STAILQ_FOREACH(upstream, &ctx->service->upstreams, link) {
		const kl_observation_t *observation =
			kl_health_find(ctx->health, ctx->service->name.name,
				       upstream->name.name);

		if (!observation || !observation->sampled_us ||
		    observation->sampled_us < ctx->group->first_seen_us ||
		    ctx->now - observation->sampled_us >
			    OBSERVATION_MAX_AGE_US ||
		    !strcmp(upstream->name.name, ctx->group->primary))
			continue;
		if (observation->term >= ctx->group->term &&
		    !observation->reported_primary)
			continue;
		ctx->failover->last_database_call_us = ctx->now;
		kl_failover_call_database(ctx, KL_DATABASE_FOLLOW, upstream);
	}
}

/* Finds or creates a service's state; NULL if out of memory. */
static kl_failover_t *failover_get(failover_state_t *state, const char *service)
{
	kl_failover_t *failover = kl_index_get(state->index, service);

	if (failover)
		return failover;
	failover = calloc(1, sizeof(*failover));
	if (!failover || kl_name_copy(failover->name.name, service)) {
		free(failover);
		return NULL;
	}
	CK_STAILQ_INIT(&failover->suspicions);
	CK_STAILQ_INSERT_TAIL(&state->failovers, failover, link);
	kl_index_put(state->index, &failover->name);
	return failover;
}
