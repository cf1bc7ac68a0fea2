/* Counts and clocks of other VMs, kept for the report. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/usage_internal.h"

/*
 * Most messages need no answer of their own, since an answer tells of the ones
 * before it, too.  The first ones get one at once, so that a new process can
 * compare its clock, and so does one after a gap, whose counts are missing.
 */
#define ANSWER_INTERVAL_US (1900 * KL_MS)
#define FIRST_ANSWERS 2
/* Windows before the last report whose late counts are still told apart. */
#define WINDOWS_KEPT 4
/* Windows kept if there are no reports. */
#define WINDOWS_MAX 12
/* A VM that has been silent for longer is forgotten, and its clock unused. */
#define PEER_TIMEOUT_US (10 * KL_SEC)

static kl_usage_peer_t *find_or_add(kl_usage_state_t *state, const char *vm);
static bool note_sequence(kl_usage_peer_t *peer, const kl_peer_usage_t *usage);
static void raise_counts(kl_node_t *node, kl_usage_state_t *state,
			 kl_usage_peer_t *peer,
			 const kl_peer_message_t *message);
static uint64_t first_window_kept(const kl_node_t *node,
				  const kl_usage_state_t *state);
static void answer(kl_node_t *node, const kl_usage_state_t *state,
		   kl_usage_peer_t *peer, const kl_peer_message_t *message);

void kl_usage_receive(kl_node_t *node, kl_usage_state_t *state,
		      const kl_peer_message_t *message)
{
	const kl_peer_usage_t *usage = &message->usage;
	uint64_t now = kl_node_now(node);
	uint64_t now_window = kl_usage_window_at(
		node, kl_usage_clock_true(&state->clock, now));
	kl_usage_peer_t *peer = find_or_add(state, message->from);
	bool gap;

	if (!peer)
		return;
	peer->last_message_us = now;
	gap = usage->sequence > peer->last_sequence + 1;
	if (!note_sequence(peer, usage) ||
	    usage->window < first_window_kept(node, state) ||
	    usage->window > now_window + WINDOWS_MAX) {
		state->published.ignored_messages++;
		state->changed = true;
	} else {
		peer->clock_us = usage->clock_us;
		raise_counts(node, state, peer, message);
	}
	if (gap || peer->answers < FIRST_ANSWERS ||
	    now - peer->last_answer_us >= ANSWER_INTERVAL_US)
		answer(node, state, peer, message);
}

static kl_usage_peer_t *find_or_add(kl_usage_state_t *state, const char *vm)
{
	kl_usage_peer_t *peer = kl_index_get(state->peer_index, vm);

	if (peer || !*vm)
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer || kl_name_copy(peer->vm.name, vm)) {
		free(peer);
		return NULL;
	}
	peer->clock_us = KL_CLOCK_UNKNOWN;
	CK_STAILQ_INIT(&peer->tallies);
	CK_STAILQ_INSERT_TAIL(&state->peers, peer, link);
	kl_index_put(state->peer_index, &peer->vm);
	return peer;
}

/* Notes the receipt of a message. @return false if it is a repeated one */
static bool note_sequence(kl_usage_peer_t *peer, const kl_peer_usage_t *usage)
{
	uint32_t ahead = usage->sequence - peer->last_sequence;
	uint32_t behind = peer->last_sequence - usage->sequence;

	if (peer->incarnation != usage->incarnation) {
		peer->incarnation = usage->incarnation;
		peer->last_sequence = usage->sequence;
		peer->received = 0;
		peer->answers = 0;
		return true;
	}
	if (usage->sequence > peer->last_sequence) {
		peer->received = ahead < KL_USAGE_RECEIVED_BITS
					 ? peer->received << ahead
					 : 0;
		if (ahead <= KL_USAGE_RECEIVED_BITS)
			peer->received |= 1u << (ahead - 1);
		peer->last_sequence = usage->sequence;
		return true;
	}
	if (!behind || behind > KL_USAGE_RECEIVED_BITS ||
	    peer->received >> (behind - 1) & 1)
		return false;
	peer->received |= 1u << (behind - 1);
	return true;
}

/* Raises the counts to those of a message, and tells late ones apart. */
static void raise_counts(kl_node_t *node, kl_usage_state_t *state,
			 kl_usage_peer_t *peer,
			 const kl_peer_message_t *message)
{
	const kl_peer_usage_t *usage = &message->usage;
	bool decided =
		state->record.version && usage->window <= state->record.window;
	kl_usage_tally_t *tally;
	uint64_t late = 0;

	if (!usage->count)
		return;
	tally = kl_usage_tallies_get(&peer->tallies, usage->window,
				     message->from, usage->incarnation);
	for (uint32_t i = 0; tally && i < usage->count; i++) {
		kl_usage_count_t *count =
			kl_usage_tally_get(tally, usage->list[i].workspace);
		uint64_t operations = usage->list[i].operations;

		if (!count || operations <= count->operations)
			continue;
		late += decided ? operations - count->operations : 0;
		count->operations = operations;
	}
	if (!late)
		return;
	state->published.late_operations += late;
	kl_usage_log(node, state, "usage_counts_late", "window_reported",
		     usage->window, message->from);
}

static uint64_t first_window_kept(const kl_node_t *node,
				  const kl_usage_state_t *state)
{
	uint64_t now_window = kl_usage_window_at(
		node, kl_usage_clock_true(&state->clock, kl_node_now(node)));
	uint64_t first =
		now_window > WINDOWS_MAX ? now_window - WINDOWS_MAX : 0;

	if (state->record.version && state->record.window > WINDOWS_KEPT &&
	    state->record.window - WINDOWS_KEPT > first)
		first = state->record.window - WINDOWS_KEPT;
	return first;
}

static void answer(kl_node_t *node, const kl_usage_state_t *state,
		   kl_usage_peer_t *peer, const kl_peer_message_t *message)
{
	uint64_t now = kl_node_now(node);
	bool is_reporter = kl_usage_is_reporter(node, state);
	kl_peer_message_t reply = {
		.kind = KL_PEER_USAGE,
		.usage = { .is_answer = true,
			   .sequence = peer->last_sequence,
			   .incarnation = peer->incarnation,
			   .received = peer->received,
			   .clock_us = kl_usage_clock_wall(&state->clock, now),
			   .correction_us = is_reporter
						    ? state->clock.correction_us
						    : KL_CLOCK_UNKNOWN }
	};

	peer->last_answer_us = now;
	/* Until it can tell its correction, more answers are needed. */
	if (!is_reporter || state->clock.correction_us != KL_CLOCK_UNKNOWN)
		peer->answers++;
	memcpy(reply.from, node->self.vm, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, message->from,
				message->hello.host, message->hello.port,
				&reply);
}

void kl_usage_correct_clock(kl_node_t *node, kl_usage_state_t *state)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	int64_t offsets[KL_USAGE_CLOCKS_MAX] = { 0 };
	uint64_t now = kl_node_now(node);
	uint32_t count = 1; /* its own */
	const kl_usage_peer_t *peer;

	if (!members || !kl_usage_is_reporter(node, state))
		return;
	CK_STAILQ_FOREACH(peer, &state->peers, link) {
		if (peer->clock_us == KL_CLOCK_UNKNOWN ||
		    now - peer->last_message_us > PEER_TIMEOUT_US ||
		    count == KL_USAGE_CLOCKS_MAX)
			continue;
		offsets[count++] = peer->clock_us;
	}
	/* A minority could be the ones whose clocks are wrong. */
	if (2 * count > members->active_count)
		kl_usage_clock_take_median(&state->clock, offsets, count);
}

void kl_usage_sum_others(const kl_usage_state_t *state, uint64_t window,
			 kl_usage_tally_t *sum)
{
	const kl_usage_peer_t *peer;

	CK_STAILQ_FOREACH(peer, &state->peers, link)
		kl_usage_tallies_sum(&peer->tallies, window, sum);
}

bool kl_usage_all_heard(const kl_node_t *node, const kl_usage_state_t *state,
			uint64_t since_us)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		const kl_usage_peer_t *peer =
			kl_index_get(state->peer_index, member->name.name);

		if (member->registered &&
		    strcmp(member->name.name, node->self.vm) &&
		    (!peer || peer->last_message_us < since_us))
			return false;
	}
	return true;
}

void kl_usage_forget_others(kl_node_t *node, kl_usage_state_t *state)
{
	uint64_t first_kept = first_window_kept(node, state);
	uint64_t now = kl_node_now(node);
	kl_usage_peer_t *peer, *next;

	CK_STAILQ_FOREACH_SAFE(peer, &state->peers, link, next) {
		kl_usage_tallies_forget(&peer->tallies, first_kept);
		if (now - peer->last_message_us <= PEER_TIMEOUT_US ||
		    !CK_STAILQ_EMPTY(&peer->tallies))
			continue;
		kl_index_remove(state->peer_index, peer->vm.name);
		CK_STAILQ_REMOVE(&state->peers, peer, kl_usage_peer, link);
		free(peer);
	}
}
