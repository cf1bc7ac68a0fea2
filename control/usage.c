/*
 * Usage controller: one VM reports to the platform how many operations of each
 * workspace the databases began in each usage window.
 *
 * Each VM counts its own operations and sends the counts to the holder of the
 * duty.  The record "usage/report" in the platform's store names the holder and
 * the report that it decided last.  It changes by conditional update only, and
 * a report is stored there before the platform is called.  So whoever holds the
 * duty next repeats exactly that report.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/prober.h"
#include "control/usage_internal.h"

/*
 * A VM whose clock nobody could check in this time counts by its own one.
 * Until then its operations wait.
 */
#define CLOCK_WAIT_US (3 * KL_SEC)

static bool is_enabled(const kl_node_t *node);
static void update_record(kl_node_t *node, kl_usage_state_t *state);
static bool is_earlier(const kl_usage_record_t *record,
		       const kl_usage_record_t *held);
static void update_rank(kl_node_t *node, kl_usage_state_t *state);
static void check_clock(kl_node_t *node, kl_usage_state_t *state);
static void handle_peer(kl_node_t *node, kl_usage_state_t *state,
			const kl_peer_message_t *message);
static void publish(kl_node_t *node, kl_usage_state_t *state);
static void clear_samples(kl_usage_samples_t *samples);

int kl_usage_create(kl_node_t *node)
{
	kl_usage_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	node->state[KL_CONTROLLER_USAGE] = state;
	state->clock.wall_offset_us = node->self.wall_offset_us;
	state->clock.reporter_offset_us = KL_CLOCK_UNKNOWN;
	state->clock.correction_us = KL_CLOCK_UNKNOWN;
	state->rank = -1;
	CK_STAILQ_INIT(&state->waiting);
	CK_STAILQ_INIT(&state->own);
	CK_STAILQ_INIT(&state->peers);
	state->peer_index = kl_index_new(64);
	state->changed = true;
	return state->peer_index ? 0 : -KL_E_NOMEM;
}

void kl_usage_destroy(kl_node_t *node)
{
	kl_usage_state_t *state = node->state[KL_CONTROLLER_USAGE];
	kl_usage_peer_t *peer, *next;

	clear_samples(&state->waiting);
	kl_usage_tallies_forget(&state->own, UINT64_MAX);
	CK_STAILQ_FOREACH_SAFE(peer, &state->peers, link, next) {
		kl_usage_tallies_forget(&peer->tallies, UINT64_MAX);
		free(peer);
	}
	kl_index_free(state->peer_index);
	kl_usage_record_clear(&state->record);
	kl_usage_record_clear(&state->duty.put);
	free(state);
}

void kl_usage_step(kl_node_t *node, const kl_event_t *event)
{
	kl_usage_state_t *state = node->state[KL_CONTROLLER_USAGE];

	if (!is_enabled(node))
		return;
	update_record(node, state);
	update_rank(node, state);
	if (event->kind == KL_EVENT_USAGE)
		kl_usage_count_own(node, state, event->usage);
	else if (event->kind == KL_EVENT_PEER)
		handle_peer(node, state, event->peer);
	else if (event->kind == KL_EVENT_PLATFORM &&
		 event->platform->owner == KL_CONTROLLER_USAGE)
		kl_usage_duty_answer(node, state, event->platform);
	if (event->kind == KL_EVENT_TICK) {
		check_clock(node, state);
		kl_usage_send(node, state);
		kl_usage_forget_own(node, state);
		kl_usage_forget_others(node, state);
	}
	if (event->kind != KL_EVENT_USAGE)
		kl_usage_duty_step(node, state);
	if (state->changed)
		publish(node, state);
}

static bool is_enabled(const kl_node_t *node)
{
	const kl_tuning_t *tuning = &node->tuning;

	return tuning->usage_window_us && tuning->feed_count > 1 &&
	       tuning->duties & KL_DUTY_REPORT_USAGE;
}

/* Takes over a newer version of the record from the platform's objects. */
static void update_record(kl_node_t *node, kl_usage_state_t *state)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	kl_usage_record_t *held = &state->record;
	kl_usage_record_t record = { 0 };
	const kl_object_t *object;

	if (!objects || objects->base.sequence == state->objects_sequence)
		return;
	state->objects_sequence = objects->base.sequence;
	object = kl_index_get(objects->index, KL_USAGE_RECORD);
	if (!object || object->version <= held->version)
		return;
	if (kl_usage_record_decode(&record, object->body)) {
		/* What is held tells the next holder which tokens were used. */
		held->version = 0;
		return;
	}
	record.version = object->version;
	state->record_kept = is_earlier(&record, held);
	if (state->record_kept) {
		held->version = record.version;
		kl_usage_record_clear(&record);
	} else {
		kl_usage_record_clear(held);
		*held = record;
	}
	if (kl_usage_is_holder(node, state) &&
	    held->token != state->duty.confirmed_token)
		state->duty.claimed_us = kl_node_now(node);
	state->record_seen_us = kl_node_now(node);
	state->changed = true;
}

/*
 * Whether a record is older than the one held: the store was restored from a
 * copy.  The platform has seen the later token and report.
 */
static bool is_earlier(const kl_usage_record_t *record,
		       const kl_usage_record_t *held)
{
	return record->token < held->token ||
	       (record->token == held->token && record->window < held->window);
}

/* Chooses the VMs that may hold the duty, when the members have changed. */
static void update_rank(kl_node_t *node, kl_usage_state_t *state)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *probers[KL_PROBERS_PER_GROUP];
	uint32_t count;

	if (!members || members->version == state->members_version)
		return;
	state->members_version = members->version;
	state->rank = -1;
	state->successor[0] = '\0';
	count = kl_prober_choose(members, KL_USAGE_SUBJECT, probers);
	for (uint32_t i = 0; i < count; i++) {
		const char *name = probers[i]->name.name;

		if (!strcmp(name, node->self.vm))
			state->rank = (int)i;
		else if (!state->successor[0])
			kl_name_copy(state->successor, name);
	}
}

/* Decides by which clock this VM counts, and counts what waited for that. */
static void check_clock(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_samples_t waiting = CK_STAILQ_HEAD_INITIALIZER(waiting);

	kl_usage_correct_clock(node, state);
	if (state->clock_ready ||
	    (state->clock.correction_us == KL_CLOCK_UNKNOWN &&
	     kl_node_now(node) - node->started_us < CLOCK_WAIT_US))
		return;
	state->clock_ready = true;
	CK_STAILQ_CONCAT(&waiting, &state->waiting);
	kl_usage_count_own(node, state, &waiting);
	clear_samples(&waiting);
}

static void handle_peer(kl_node_t *node, kl_usage_state_t *state,
			const kl_peer_message_t *message)
{
	if (message->kind != KL_PEER_USAGE)
		return;
	if (message->usage.is_answer)
		kl_usage_handle_answer(node, state, message);
	else
		kl_usage_receive(node, state, message);
}

uint64_t kl_usage_window_at(const kl_node_t *node, int64_t true_us)
{
	return true_us < 0 ? 0
			   : (uint64_t)true_us / node->tuning.usage_window_us;
}

int64_t kl_usage_window_end(const kl_node_t *node, uint64_t window)
{
	return (int64_t)((window + 1) * node->tuning.usage_window_us);
}

bool kl_usage_is_holder(const kl_node_t *node, const kl_usage_state_t *state)
{
	return state->record.version &&
	       !strcmp(state->record.holder, node->self.vm) &&
	       state->record.token == state->duty.claimed_token;
}

bool kl_usage_is_reporter(const kl_node_t *node, const kl_usage_state_t *state)
{
	if (state->record.version)
		return kl_usage_is_holder(node, state);
	return !state->rank;
}

void kl_usage_log(kl_node_t *node, kl_usage_state_t *state, const char *name,
		  const char *reason, uint64_t window, const char *peer)
{
	kl_decision_t decision = { .name = name,
				   .reason = reason,
				   .peer = peer,
				   .term = state->record.token,
				   .position = window };

	state->changed = true;
	node->ops->log_decision(node->ops_context, &decision);
}

static void publish(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_t *contents = &state->published;
	kl_usage_t *usage;

	kl_name_copy(contents->holder, state->record.holder);
	contents->token = state->record.token;
	contents->last_window = state->record.window;
	contents->is_holder = kl_usage_is_holder(node, state);
	usage = kl_usage_new(contents);
	if (!usage)
		return;
	state->changed = false;
	kl_node_publish(node, KL_SECTION_USAGE, &usage->base);
}

static void clear_samples(kl_usage_samples_t *samples)
{
	kl_usage_sample_t *sample;

	while ((sample = CK_STAILQ_FIRST(samples))) {
		CK_STAILQ_REMOVE_HEAD(samples, link);
		free(sample);
	}
}
