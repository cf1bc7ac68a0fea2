/*
 * Health controller: probes the databases in two ways.  Connect probes open a
 * new connection each, since an existing one that gets no answer doesn't prove
 * that the database has failed.  Position probes use an open connection and run
 * only while requests wait for replicas to reach a position.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/prober.h"

/* Positions of a primary that are kept to compute the replicas' data age. */
#define SAMPLES_MAX 64

/* Position probes continue for this long after a request began to wait. */
#define WAITING_TTL_US (500 * KL_MS)

/* A service counts as used on this VM for this long after its last use. */
#define USE_TTL_US (15 * KL_SEC)

/* A probe without an answer after this long has failed. */
#define PROBE_TIMEOUT_US (600 * KL_MS)

/* A primary's position, as reported by a probe. */
typedef struct position_sample {
	uint64_t probe_sent_us;
	uint64_t position;
	uint64_t term;
} position_sample_t;

/* A database that is probed. */
typedef struct target {
	kl_observation_t observation; /* named "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(target) link;
	uint64_t connect_probe_sent_us;	 /* of the pending one, or 0 */
	uint64_t position_probe_sent_us; /* of the pending one, or 0 */
	uint64_t next_connect_probe_us;
	uint64_t next_position_probe_us;
	bool to_probe; /* found in the current pass over the configuration */
	position_sample_t samples[SAMPLES_MAX]; /* ring buffer */
	uint32_t next_sample_index;
} target_t;

/* What decides whether this VM probes a service's databases. */
typedef struct service_state {
	kl_named_t name;
	CK_STAILQ_ENTRY(service_state) link;
	uint64_t last_use_us;	  /* last use by a client of this VM, or 0 */
	uint64_t members_version; /* of the list that is_prober is based on */
	bool is_prober;
} service_state_t;

typedef struct health_state {
	CK_STAILQ_HEAD(, target) targets;
	CK_STAILQ_HEAD(, service_state) services;
	kl_index_t *target_index;
	kl_index_t *service_index;
	/* The node's count of waiting requests at the last step. */
	uint64_t last_waiting_count;
	uint64_t last_waiting_event_us; /* when that count rose, or 0 */
} health_state_t;

static service_state_t *service_get(health_state_t *state, const char *service);
static bool should_probe(kl_node_t *node, health_state_t *state,
			 const char *service, uint64_t now);
static target_t *target_get(health_state_t *state, const char *service,
			    const char *upstream, bool create);
static void send_probe(kl_node_t *node, target_t *target,
		       const kl_upstream_t *upstream, bool new_connection,
		       uint64_t now);
static void probe_all(kl_node_t *node, health_state_t *state, uint64_t now);
static bool handle_answer(health_state_t *state,
			  const kl_database_answer_t *answer, uint64_t now);
static void record_success(health_state_t *state, target_t *target,
			   const kl_database_answer_t *answer);
static void record_failure(target_t *target, uint64_t now);
static uint64_t replica_caught_up_us(const health_state_t *state,
				     const char *service, uint64_t term,
				     uint64_t position);
static void publish(kl_node_t *node, health_state_t *state);

int kl_health_create(kl_node_t *node)
{
	health_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->targets);
	CK_STAILQ_INIT(&state->services);
	state->target_index = kl_index_new(16);
	state->service_index = kl_index_new(16);
	node->state[KL_CONTROLLER_HEALTH] = state;
	return 0;
}

void kl_health_destroy(kl_node_t *node)
{
	health_state_t *state = node->state[KL_CONTROLLER_HEALTH];
	target_t *target, *next;
	service_state_t *service_state, *next_service;

	CK_STAILQ_FOREACH_SAFE(target, &state->targets, link, next)
		free(target);
	CK_STAILQ_FOREACH_SAFE(service_state, &state->services, link,
			       next_service)
		free(service_state);
	kl_index_free(state->target_index);
	kl_index_free(state->service_index);
	free(state);
}

void kl_health_step(kl_node_t *node, const kl_event_t *event)
{
	health_state_t *state = node->state[KL_CONTROLLER_HEALTH];
	uint64_t now = kl_node_now(node);

	/*
	 * The promotion controller learns from the results of requests whether
	 * databases work.
	 */
	if (node->tuning.platform_promotes)
		return;
	if (event->kind == KL_EVENT_DATABASE) {
		if (event->database->call.owner == KL_CONTROLLER_HEALTH &&
		    handle_answer(state, event->database, now))
			publish(node, state);
		return;
	}
	if (event->kind == KL_EVENT_SERVICE_USED) {
		service_state_t *service_state =
			service_get(state, event->service);

		if (service_state)
			service_state->last_use_us = now;
	}
	if (node->waiting_event_count != state->last_waiting_count) {
		state->last_waiting_count = node->waiting_event_count;
		state->last_waiting_event_us = now;
	}
	probe_all(node, state, now);
}

/* Sends the probes that are due and drops targets that are no longer probed. */
static void probe_all(kl_node_t *node, health_state_t *state, uint64_t now)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_service_t *service;
	const kl_upstream_t *upstream;
	target_t *target, *next;
	bool positions_wanted =
		state->last_waiting_event_us &&
		now - state->last_waiting_event_us < WAITING_TTL_US;
	bool changed = false;

	if (!config)
		return;
	CK_STAILQ_FOREACH(target, &state->targets, link)
		target->to_probe = false;
	CK_STAILQ_FOREACH(service, &config->services, link) {
		if (!should_probe(node, state, service->name.name, now))
			continue;
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			target = target_get(state, service->name.name,
					    upstream->name.name, true);
			if (!target)
				continue;
			target->to_probe = true;
			if (target->connect_probe_sent_us &&
			    now - target->connect_probe_sent_us >
				    PROBE_TIMEOUT_US) {
				target->connect_probe_sent_us = 0;
				record_failure(target, now);
				changed = true;
			}
			if (target->position_probe_sent_us &&
			    now - target->position_probe_sent_us >
				    PROBE_TIMEOUT_US)
				target->position_probe_sent_us = 0;
			if (!target->connect_probe_sent_us &&
			    now >= target->next_connect_probe_us)
				send_probe(node, target, upstream, true, now);
			if (positions_wanted &&
			    !target->position_probe_sent_us &&
			    now >= target->next_position_probe_us)
				send_probe(node, target, upstream, false, now);
		}
	}
	CK_STAILQ_FOREACH_SAFE(target, &state->targets, link, next) {
		if (target->to_probe)
			continue;
		kl_index_remove(state->target_index,
				target->observation.name.name);
		CK_STAILQ_REMOVE(&state->targets, target, target, link);
		free(target);
		changed = true;
	}
	if (changed)
		publish(node, state);
}

/*
 * Whether this VM probes a service's databases.  The group's probers always do;
 * other VMs only while clients use the service there, so that the number of
 * probes follows the number of requests.
 */
static bool should_probe(kl_node_t *node, health_state_t *state,
			 const char *service, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	service_state_t *service_state = service_get(state, service);

	if (!service_state || !members)
		return false;
	if (service_state->members_version != members->version) {
		service_state->members_version = members->version;
		service_state->is_prober =
			kl_prober_rank(node, members, service) >= 0;
	}
	return service_state->is_prober ||
	       (service_state->last_use_us &&
		now - service_state->last_use_us < USE_TTL_US);
}

static service_state_t *service_get(health_state_t *state, const char *service)
{
	service_state_t *service_state =
		kl_index_get(state->service_index, service);

	if (service_state)
		return service_state;
	service_state = calloc(1, sizeof(*service_state));
	if (!service_state || kl_name_copy(service_state->name.name, service)) {
		free(service_state);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->services, service_state, link);
	kl_index_put(state->service_index, &service_state->name);
	return service_state;
}

static target_t *target_get(health_state_t *state, const char *service,
			    const char *upstream, bool create)
{
	char name[KL_NAME_MAX * 2];
	target_t *target;

	snprintf(name, sizeof(name), "%s/%s", service, upstream);
	target = kl_index_get(state->target_index, name);
	if (target || !create)
		return target;
	target = calloc(1, sizeof(*target));
	if (!target || kl_name_copy(target->observation.name.name, name)) {
		free(target);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->targets, target, link);
	kl_index_put(state->target_index, &target->observation.name);
	return target;
}

static void send_probe(kl_node_t *node, target_t *target,
		       const kl_upstream_t *upstream, bool new_connection,
		       uint64_t now)
{
	kl_database_call_t call = { .op = KL_DATABASE_STATUS,
				    .owner = KL_CONTROLLER_HEALTH,
				    .new_connection = new_connection,
				    .port = upstream->port,
				    .sent_us = now };

	memcpy(call.service, upstream->service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	if (new_connection) {
		target->connect_probe_sent_us = now;
		target->next_connect_probe_us =
			now + node->tuning.probe_interval_us;
	} else {
		target->position_probe_sent_us = now;
		target->next_position_probe_us =
			now + node->tuning.position_interval_us;
	}
	node->ops->call_database(node->ops_context, &call);
}

/* Processes the answer to a probe; returns whether it was the pending one. */
static bool handle_answer(health_state_t *state,
			  const kl_database_answer_t *answer, uint64_t now)
{
	const kl_database_call_t *call = &answer->call;
	target_t *target =
		target_get(state, call->service, call->upstream, false);
	uint64_t *pending_us;

	if (!target)
		return false;
	pending_us = call->new_connection ? &target->connect_probe_sent_us
					  : &target->position_probe_sent_us;
	if (*pending_us != call->sent_us)
		return false; /* late: a newer probe is pending */
	*pending_us = 0;
	if (!answer->error)
		record_success(state, target, answer);
	else if (call->new_connection)
		record_failure(target, now);
	return true;
}

static void record_success(health_state_t *state, target_t *target,
			   const kl_database_answer_t *answer)
{
	kl_observation_t *observation = &target->observation;
	uint64_t sent_us = answer->call.sent_us;

	/* A failure of connect probes ends only when one succeeds. */
	if (answer->call.new_connection) {
		observation->failing_since_us = 0;
		observation->consecutive_failures = 0;
	}
	if (sent_us < observation->sampled_us)
		return;
	observation->reported_primary = answer->reported_primary;
	observation->term = answer->term;
	observation->position = answer->position;
	observation->sampled_us = sent_us;
	if (answer->reported_primary) {
		position_sample_t *sample =
			&target->samples[target->next_sample_index];

		target->next_sample_index =
			(target->next_sample_index + 1) % SAMPLES_MAX;
		sample->probe_sent_us = sent_us;
		sample->position = answer->position;
		sample->term = answer->term;
		observation->caught_up_until_us = sent_us;
	} else {
		observation->caught_up_until_us =
			replica_caught_up_us(state, answer->call.service,
					     answer->term, answer->position);
	}
}

static void record_failure(target_t *target, uint64_t now)
{
	if (!target->observation.failing_since_us)
		target->observation.failing_since_us = now;
	target->observation.consecutive_failures++;
}

/*
 * Time up to which a replica at the given position has the primary's data: when
 * the newest probe was sent that found the primary at that position or before,
 * in microseconds, or 0 if there is none.
 */
static uint64_t replica_caught_up_us(const health_state_t *state,
				     const char *service, uint64_t term,
				     uint64_t position)
{
	size_t length = strlen(service);
	const target_t *target;
	uint64_t newest = 0;

	CK_STAILQ_FOREACH(target, &state->targets, link) {
		const char *name = target->observation.name.name;

		if (strncmp(name, service, length) || name[length] != '/')
			continue;
		for (uint32_t i = 0; i < SAMPLES_MAX; i++) {
			const position_sample_t *sample = &target->samples[i];

			if (sample->term == term &&
			    sample->position <= position &&
			    sample->probe_sent_us > newest)
				newest = sample->probe_sent_us;
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
		*copy = target->observation;
		CK_STAILQ_INSERT_TAIL(&health->list, copy, link);
		kl_index_put(health->index, &copy->name);
	}
	kl_node_publish(node, KL_SECTION_HEALTH, &health->base);
}
