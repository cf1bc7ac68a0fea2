/* Drain controller: publishes whether this VM starts, serves or drains. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"

/* A VM serves after this time also if slots have had no owner yet. */
#define SLOTS_WAIT_US (2 * KL_SEC)

typedef struct drain_state {
	bool stopping;	 /* a planned stop has begun */
	bool has_served; /* the phase was "serving" */
} drain_state_t;

static kl_phase_t current_phase(const kl_node_t *node,
				const drain_state_t *state);

int kl_drain_create(kl_node_t *node)
{
	node->state[KL_CONTROLLER_DRAIN] = calloc(1, sizeof(drain_state_t));
	return node->state[KL_CONTROLLER_DRAIN] ? 0 : -KL_E_NOMEM;
}

void kl_drain_destroy(kl_node_t *node)
{
	free(node->state[KL_CONTROLLER_DRAIN]);
}

void kl_drain_step(kl_node_t *node, const kl_event_t *event)
{
	drain_state_t *state = node->state[KL_CONTROLLER_DRAIN];
	const kl_lifecycle_t *lifecycle =
		kl_node_get(node, KL_SECTION_LIFECYCLE);
	kl_decision_t decision = { .name = "phase" };
	static const char *const names[KL_PHASE_COUNT] = {
		[KL_PHASE_STARTING] = "starting",
		[KL_PHASE_SERVING] = "serving",
		[KL_PHASE_DRAINING] = "draining",
	};
	kl_lifecycle_t *next;
	kl_phase_t phase;

	if (event->kind == KL_EVENT_STOP)
		state->stopping = true;
	phase = current_phase(node, state);
	if (lifecycle && lifecycle->phase == phase)
		return;
	next = kl_lifecycle_new(phase);
	if (!next)
		return;
	state->has_served |= phase == KL_PHASE_SERVING;
	kl_node_publish(node, KL_SECTION_LIFECYCLE, &next->base);
	decision.reason = names[phase];
	node->ops->log_decision(node->ops_context, &decision);
}

static kl_phase_t current_phase(const kl_node_t *node,
				const drain_state_t *state)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);

	if (state->stopping)
		return KL_PHASE_DRAINING;
	if (!config ||
	    (node->tuning.feed_count > 1 && CK_STAILQ_EMPTY(&config->services)))
		return KL_PHASE_STARTING;
	/*
	 * In a fleet that starts for the first time nobody has tokens yet.  A
	 * slot that is only free just now leaves tokens to every workspace.
	 */
	if (node->tuning.feed_count > 1 && !state->has_served &&
	    !kl_share_all_slots_created(node) &&
	    kl_node_now(node) - node->started_us < SLOTS_WAIT_US)
		return KL_PHASE_STARTING;
	if (kl_config_marked(config, "vm", node->self.vm) ||
	    kl_config_marked(config, "domain", node->self.domain))
		return KL_PHASE_DRAINING;
	return KL_PHASE_SERVING;
}
