/*
 * Probes the databases: over new connections, since an old one that went
 * silent proves nothing, and over kept ones for positions while requests wait.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/prober.h"

#define SAMPLES 64		  /* remembered positions of a primary */
#define DEMAND_US (500 * KL_MS)	  /* demand is remembered so long */
#define INTEREST_US (15 * KL_SEC) /* interest in a service lasts so long */
#define ANSWER_US (600 * KL_MS)	  /* an answer this late is a failure */

typedef struct sample {
	uint64_t asked_us;
	uint64_t position;
	uint64_t term;
} sample_t;

typedef struct target {
	kl_observation_t seen; /* named "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(target) link;
	uint64_t fresh_us;    /* outstanding question, or 0 */
	uint64_t position_us; /* outstanding question, or 0 */
	uint64_t next_fresh_us;
	uint64_t next_position_us;
	bool wanted; /* still configured */
	sample_t samples[SAMPLES];
	uint32_t next_sample;
} target_t;

/* A service: whether this VM watches over it, and whether callers use it. */
typedef struct watched {
	kl_named_t name;
	CK_STAILQ_ENTRY(watched) link;
	uint64_t interest_us; /* last told, or 0 */
	uint64_t members;     /* version that the probers were chosen from */
	bool prober;
} watched_t;

typedef struct health_state {
	CK_STAILQ_HEAD(, target) targets;
	CK_STAILQ_HEAD(, watched) services;
	kl_index_t *index;
	kl_index_t *service_index;
	uint64_t demand_seen;
	uint64_t demand_us;
} health_state_t;

static watched_t *watched_of(health_state_t *state, const char *service);
static bool is_probed(kl_node_t *node, health_state_t *state,
		      const char *service, uint64_t now);
static target_t *target_of(health_state_t *state, const char *service,
			   const char *upstream, bool create);
static void probe(kl_node_t *node, target_t *target,
		  const kl_upstream_t *upstream, bool fresh, uint64_t now);
static void probe_all(kl_node_t *node, health_state_t *state, uint64_t now);
static bool answered(health_state_t *state, const kl_database_answer_t *answer,
		     uint64_t now);
static void succeeded(health_state_t *state, target_t *target,
		      const kl_database_answer_t *answer);
static void failed(target_t *target, uint64_t now);
static uint64_t data_time(const health_state_t *state, const char *service,
			  uint64_t term, uint64_t position);
static void publish(kl_node_t *node, health_state_t *state);

int kl_health_create(kl_node_t *node)
{
	health_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->targets);
	CK_STAILQ_INIT(&state->services);
	state->index = kl_index_new(16);
	state->service_index = kl_index_new(16);
	node->state[KL_CONTROLLER_HEALTH] = state;
	return 0;
}

void kl_health_destroy(kl_node_t *node)
{
	health_state_t *state = node->state[KL_CONTROLLER_HEALTH];
	target_t *target, *next;
	watched_t *watched, *after;

	CK_STAILQ_FOREACH_SAFE(target, &state->targets, link, next)
		free(target);
	CK_STAILQ_FOREACH_SAFE(watched, &state->services, link, after)
		free(watched);
	kl_index_free(state->index);
	kl_index_free(state->service_index);
	free(state);
}

void kl_health_step(kl_node_t *node, const kl_event_t *event)
{
	health_state_t *state = node->state[KL_CONTROLLER_HEALTH];
	uint64_t now = kl_node_now(node);

	/* There requests themselves tell of the databases. */
	if (node->tuning.platform_promotes)
		return;
	if (event->kind == KL_EVENT_DATABASE) {
		if (event->database->call.owner == KL_CONTROLLER_HEALTH &&
		    answered(state, event->database, now))
			publish(node, state);
		return;
	}
	if (event->kind == KL_EVENT_SERVICE_USED) {
		watched_t *watched = watched_of(state, event->service);

		if (watched)
			watched->interest_us = now;
	}
	if (node->waiting_count != state->demand_seen) {
		state->demand_seen = node->waiting_count;
		state->demand_us = now;
	}
	probe_all(node, state, now);
}

static void probe_all(kl_node_t *node, health_state_t *state, uint64_t now)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_service_t *service;
	const kl_upstream_t *upstream;
	target_t *target, *next;
	bool demand = state->demand_us && now - state->demand_us < DEMAND_US;
	bool changed = false;

	if (!config)
		return;
	CK_STAILQ_FOREACH(target, &state->targets, link)
		target->wanted = false;
	CK_STAILQ_FOREACH(service, &config->services, link) {
		if (!is_probed(node, state, service->name.name, now))
			continue;
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			target = target_of(state, service->name.name,
					   upstream->name.name, true);
			if (!target)
				continue;
			target->wanted = true;
			if (target->fresh_us &&
			    now - target->fresh_us > ANSWER_US) {
				target->fresh_us = 0;
				failed(target, now);
				changed = true;
			}
			if (target->position_us &&
			    now - target->position_us > ANSWER_US)
				target->position_us = 0;
			if (!target->fresh_us && now >= target->next_fresh_us)
				probe(node, target, upstream, true, now);
			if (demand && !target->position_us &&
			    now >= target->next_position_us)
				probe(node, target, upstream, false, now);
		}
	}
	CK_STAILQ_FOREACH_SAFE(target, &state->targets, link, next) {
		if (target->wanted)
			continue;
		kl_index_remove(state->index, target->seen.name.name);
		CK_STAILQ_REMOVE(&state->targets, target, target, link);
		free(target);
		changed = true;
	}
	if (changed)
		publish(node, state);
}

/*
 * The group's probers always probe; other VMs only while callers use the
 * service there, so that the cost follows the traffic.
 */
static bool is_probed(kl_node_t *node, health_state_t *state,
		      const char *service, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	watched_t *watched = watched_of(state, service);

	if (!watched || !members)
		return false;
	if (watched->members != members->version) {
		watched->members = members->version;
		watched->prober = kl_prober_rank(node, members, service) >= 0;
	}
	return watched->prober || (watched->interest_us &&
				   now - watched->interest_us < INTEREST_US);
}

static watched_t *watched_of(health_state_t *state, const char *service)
{
	watched_t *watched = kl_index_get(state->service_index, service);

	if (watched)
		return watched;
	watched = calloc(1, sizeof(*watched));
	if (!watched || kl_name_set(watched->name.name, service)) {
		free(watched);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->services, watched, link);
	kl_index_put(state->service_index, &watched->name);
	return watched;
}

static target_t *target_of(health_state_t *state, const char *service,
			   const char *upstream, bool create)
{
	char name[KL_NAME_MAX * 2];
	target_t *target;

	snprintf(name, sizeof(name), "%s/%s", service, upstream);
	target = kl_index_get(state->index, name);
	if (target || !create)
		return target;
	target = calloc(1, sizeof(*target));
	if (!target || kl_name_set(target->seen.name.name, name)) {
		free(target);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->targets, target, link);
	kl_index_put(state->index, &target->seen.name);
	return target;
}

static void probe(kl_node_t *node, target_t *target,
		  const kl_upstream_t *upstream, bool fresh, uint64_t now)
{
	kl_database_call_t call = { .op = KL_DATABASE_STATUS,
				    .owner = KL_CONTROLLER_HEALTH,
				    .new_connection = fresh,
				    .port = upstream->port,
				    .sent_us = now };

	memcpy(call.service, upstream->service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	if (fresh) {
		target->fresh_us = now;
		target->next_fresh_us = now + node->tuning.probe_interval_us;
	} else {
		target->position_us = now;
		target->next_position_us =
			now + node->tuning.position_interval_us;
	}
	node->ops->call_database(node->ops_context, &call);
}

static bool answered(health_state_t *state, const kl_database_answer_t *answer,
		     uint64_t now)
{
	const kl_database_call_t *call = &answer->call;
	target_t *target =
		target_of(state, call->service, call->upstream, false);
	uint64_t *outstanding;

	if (!target)
		return false;
	outstanding =
		call->new_connection ? &target->fresh_us : &target->position_us;
	if (*outstanding != call->sent_us)
		return false; /* late: a newer question is out */
	*outstanding = 0;
	if (!answer->error)
		succeeded(state, target, answer);
	else if (call->new_connection)
		failed(target, now);
	return true;
}

static void succeeded(health_state_t *state, target_t *target,
		      const kl_database_answer_t *answer)
{
	kl_observation_t *seen = &target->seen;
	uint64_t asked = answer->call.sent_us;

	/* Only a new connection clears what new connections failed at. */
	if (answer->call.new_connection) {
		seen->failing_since_us = 0;
		seen->consecutive_failures = 0;
	}
	if (asked < seen->sampled_us)
		return;
	seen->primary = answer->primary;
	seen->term = answer->term;
	seen->position = answer->position;
	seen->sampled_us = asked;
	if (answer->primary) {
		sample_t *sample = &target->samples[target->next_sample];

		target->next_sample = (target->next_sample + 1) % SAMPLES;
		sample->asked_us = asked;
		sample->position = answer->position;
		sample->term = answer->term;
		seen->caught_up_us = asked;
	} else {
		seen->caught_up_us = data_time(state, answer->call.service,
					       answer->term, answer->position);
	}
}

static void failed(target_t *target, uint64_t now)
{
	if (!target->seen.failing_since_us)
		target->seen.failing_since_us = now;
	target->seen.consecutive_failures++;
}

/* The newest question whose answer showed the primary no further than this. */
static uint64_t data_time(const health_state_t *state, const char *service,
			  uint64_t term, uint64_t position)
{
	size_t length = strlen(service);
	const target_t *target;
	uint64_t newest = 0;

	CK_STAILQ_FOREACH(target, &state->targets, link) {
		const char *name = target->seen.name.name;

		if (strncmp(name, service, length) || name[length] != '/')
			continue;
		for (uint32_t i = 0; i < SAMPLES; i++) {
			const sample_t *sample = &target->samples[i];

			if (sample->term == term &&
			    sample->position <= position &&
			    sample->asked_us > newest)
				newest = sample->asked_us;
		}
	}
	return newest;
}

static void publish(kl_node_t *node, health_state_t *state)
{
	kl_health_t *health = kl_health_new(16);
	const target_t *target;

	if (!health)
		return;
	CK_STAILQ_FOREACH(target, &state->targets, link) {
		kl_observation_t *copy = malloc(sizeof(*copy));

		if (!copy)
			break;
		*copy = target->seen;
		CK_STAILQ_INSERT_TAIL(&health->list, copy, link);
		kl_index_put(health->index, &copy->name);
	}
	kl_node_publish(node, KL_SECTION_HEALTH, &health->base);
}
