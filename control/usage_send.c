/* This VM's own counts, and their transfer to the VM that reports. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/usage_internal.h"

/* A VM that is killed loses the counts of this time. */
#define SEND_INTERVAL_US (500 * KL_MS)
/*
 * The same for the holder, which sends to its successor: nobody sends the
 * counts again that are lost with the holder.
 */
#define HOLDER_SEND_INTERVAL_US (200 * KL_MS)
/* Without new counts a message only keeps the clocks compared. */
#define IDLE_SEND_INTERVAL_US (2 * KL_SEC)
/*
 * Answers come every 2 s.  Without one, each message has all that is not
 * acknowledged, so that the first one that arrives again leaves no gap.
 */
#define ANSWER_TIMEOUT_US (2500 * KL_MS)
/* Counts are kept this long after their report is due. */
#define KEEP_AFTER_DUE_US (20 * KL_SEC)

static void keep_waiting(kl_usage_state_t *state,
			 const kl_usage_sample_t *sample);
static const kl_member_t *choose_receiver(const kl_node_t *node,
					  const kl_usage_state_t *state);
static void change_receiver(kl_usage_state_t *state, const char *name);
static uint64_t first_open_window(const kl_node_t *node,
				  const kl_usage_state_t *state);
static void send_again(kl_usage_state_t *state, uint64_t first_window,
		       bool acknowledged_too);
static uint32_t send_tally(kl_node_t *node, kl_usage_state_t *state,
			   const kl_member_t *receiver,
			   kl_usage_tally_t *tally);
static void send_message(kl_node_t *node, kl_usage_state_t *state,
			 const kl_member_t *receiver,
			 kl_peer_message_t *message, uint64_t window);
static void settle(kl_usage_count_t *count, uint32_t sequence,
		   uint32_t received);

void kl_usage_count_own(kl_node_t *node, kl_usage_state_t *state,
			const kl_usage_samples_t *samples)
{
	const kl_usage_sample_t *sample;

	CK_STAILQ_FOREACH(sample, samples, link) {
		kl_usage_tally_t *tally;
		kl_usage_count_t *count;

		/* Clients without a key belong to no workspace. */
		if (!strcmp(sample->workspace, "-"))
			continue;
		if (!state->clock_ready) {
			keep_waiting(state, sample);
			continue;
		}
		tally = kl_usage_tallies_get(
			&state->own,
			kl_usage_window_at(
				node, kl_usage_clock_true(&state->clock,
							  sample->began_us)),
			node->self.vm, node->self.incarnation);
		count = tally ? kl_usage_tally_get(tally, sample->workspace)
			      : NULL;
		if (count)
			count->operations += sample->operations;
	}
}

static void keep_waiting(kl_usage_state_t *state,
			 const kl_usage_sample_t *sample)
{
	kl_usage_sample_t *copy = malloc(sizeof(*copy));

	if (!copy)
		return;
	*copy = *sample;
	CK_STAILQ_INSERT_TAIL(&state->waiting, copy, link);
}

void kl_usage_send(kl_node_t *node, kl_usage_state_t *state)
{
	uint64_t now = kl_node_now(node);
	const kl_member_t *receiver;
	kl_usage_tally_t *tally;
	uint32_t sent = 0;

	/* A random phase spreads the VMs' messages over the interval. */
	if (!state->last_check_us)
		state->last_check_us =
			now - kl_node_random(node) % SEND_INTERVAL_US;
	if (now - state->last_check_us < (kl_usage_is_holder(node, state)
						  ? HOLDER_SEND_INTERVAL_US
						  : SEND_INTERVAL_US))
		return;
	state->last_check_us = now;
	receiver = choose_receiver(node, state);
	if (!receiver)
		return;
	if (strcmp(receiver->name.name, state->receiver) ||
	    state->receiver_token != state->record.token)
		change_receiver(state, receiver->name.name);
	if (now - state->last_answer_us > ANSWER_TIMEOUT_US)
		send_again(state, first_open_window(node, state), false);
	CK_STAILQ_FOREACH(tally, &state->own, link)
		sent += send_tally(node, state, receiver, tally);
	if (!sent && (now - state->last_send_us >= IDLE_SEND_INTERVAL_US ||
		      state->clock.correction_us == KL_CLOCK_UNKNOWN)) {
		kl_peer_message_t message = { .kind = KL_PEER_USAGE };

		send_message(
			node, state, receiver, &message,
			kl_usage_window_at(
				node, kl_usage_clock_true(&state->clock, now)));
		sent = 1;
	}
	if (sent)
		state->last_send_us = now;
}

/*
 * Chooses the VM that gets the counts: the holder of the duty or, without one,
 * the first that may take it over.  The holder sends its own counts to another
 * one, which has them if the holder dies.  Returns NULL if there is none.
 */
static const kl_member_t *choose_receiver(const kl_node_t *node,
					  const kl_usage_state_t *state)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *holder;

	if (!members)
		return NULL;
	holder = kl_index_get(members->index, state->record.holder);
	if (holder && holder->registered &&
	    strcmp(holder->name.name, node->self.vm))
		return holder;
	return kl_index_get(members->index, state->successor);
}

static void change_receiver(kl_usage_state_t *state, const char *name)
{
	kl_name_copy(state->receiver, name);
	state->receiver_token = state->record.token;
	state->clock.reporter_offset_us = KL_CLOCK_UNKNOWN;
	send_again(state, 0, true);
}

/* The first window whose report may still be decided. */
static uint64_t first_open_window(const kl_node_t *node,
				  const kl_usage_state_t *state)
{
	int64_t true_us = kl_usage_clock_true(&state->clock, kl_node_now(node));

	return kl_usage_window_at(
		node, true_us - (int64_t)node->tuning.usage_delay_us);
}

/* Lets counts be sent again: those not acknowledged, or all. */
static void send_again(kl_usage_state_t *state, uint64_t first_window,
		       bool acknowledged_too)
{
	kl_usage_tally_t *tally;
	kl_usage_count_t *count;

	CK_STAILQ_FOREACH(tally, &state->own, link) {
		/* The record has the counts of windows that are decided. */
		bool all = acknowledged_too &&
			   tally->window > state->record.window;

		if (tally->window < first_window)
			continue;
		CK_STAILQ_FOREACH(count, &tally->counts, link) {
			if (all)
				count->acknowledged_operations = 0;
			count->sent_operations = count->acknowledged_operations;
			count->sent_sequence = 0;
		}
	}
}

/* Sends the counts of a window that are due. @return number of messages */
static uint32_t send_tally(kl_node_t *node, kl_usage_state_t *state,
			   const kl_member_t *receiver, kl_usage_tally_t *tally)
{
	kl_peer_message_t message = { .kind = KL_PEER_USAGE };
	kl_peer_usage_t *usage = &message.usage;
	uint32_t sent = 0;
	kl_usage_count_t *count;

	CK_STAILQ_FOREACH(count, &tally->counts, link) {
		kl_peer_usage_count_t *entry = &usage->list[usage->count];

		if (count->sent_operations == count->operations)
			continue;
		memcpy(entry->workspace, count->workspace.name, KL_NAME_MAX);
		entry->operations = (uint32_t)count->operations;
		count->sent_operations = count->operations;
		count->sent_sequence = state->sequence + 1;
		if (++usage->count < KL_PEER_USAGE_MAX)
			continue;
		send_message(node, state, receiver, &message, tally->window);
		usage->count = 0;
		sent++;
	}
	if (usage->count) {
		send_message(node, state, receiver, &message, tally->window);
		sent++;
	}
	return sent;
}

static void send_message(kl_node_t *node, kl_usage_state_t *state,
			 const kl_member_t *receiver,
			 kl_peer_message_t *message, uint64_t window)
{
	kl_peer_usage_t *usage = &message->usage;

	usage->sequence = ++state->sequence;
	usage->incarnation = node->self.incarnation;
	usage->window = window;
	usage->clock_us = state->clock.reporter_offset_us;
	state->sent_us[usage->sequence % KL_USAGE_RECEIVED_BITS] =
		kl_node_now(node);
	memcpy(message->from, node->self.vm, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, receiver->name.name,
				receiver->host, receiver->port, message);
}

void kl_usage_handle_answer(kl_node_t *node, kl_usage_state_t *state,
			    const kl_peer_message_t *answer)
{
	const kl_peer_usage_t *usage = &answer->usage;
	uint64_t now = kl_node_now(node);
	kl_usage_tally_t *tally;
	kl_usage_count_t *count;

	if (strcmp(answer->from, state->receiver) ||
	    usage->incarnation != node->self.incarnation || !usage->sequence ||
	    usage->sequence > state->sequence ||
	    state->sequence - usage->sequence >= KL_USAGE_RECEIVED_BITS) {
		state->published.ignored_messages++;
		state->changed = true;
		return;
	}
	state->last_answer_us = now;
	kl_usage_clock_adopt(
		&state->clock,
		state->sent_us[usage->sequence % KL_USAGE_RECEIVED_BITS], now,
		usage->clock_us, usage->correction_us);
	CK_STAILQ_FOREACH(tally, &state->own, link) {
		CK_STAILQ_FOREACH(count, &tally->counts, link)
			settle(count, usage->sequence, usage->received);
	}
}

/* Notes whether the message with a count was received or has to be repeated. */
static void settle(kl_usage_count_t *count, uint32_t sequence,
		   uint32_t received)
{
	uint32_t behind = sequence - count->sent_sequence;
	bool arrived;

	if (!count->sent_sequence || count->sent_sequence > sequence)
		return;
	arrived = !behind || (behind <= KL_USAGE_RECEIVED_BITS &&
			      received >> (behind - 1) & 1);
	count->sent_sequence = 0;
	if (arrived)
		count->acknowledged_operations = count->sent_operations;
	else
		count->sent_operations = count->acknowledged_operations;
}

void kl_usage_forget_own(kl_node_t *node, kl_usage_state_t *state)
{
	int64_t true_us = kl_usage_clock_true(&state->clock, kl_node_now(node));
	int64_t keep_us =
		(int64_t)(node->tuning.usage_delay_us + KEEP_AFTER_DUE_US);
	kl_usage_tally_t *tally = CK_STAILQ_FIRST(&state->own);
	const kl_usage_count_t *count;
	uint64_t late = 0;

	if (!tally ||
	    kl_usage_window_end(node, tally->window) + keep_us > true_us)
		return;
	CK_STAILQ_FOREACH(count, &tally->counts, link)
		late += count->operations - count->acknowledged_operations;
	if (late && strcmp(state->record.holder, node->self.vm)) {
		state->published.late_operations += late;
		kl_usage_log(node, state, "usage_counts_late",
			     "not_acknowledged", tally->window, NULL);
	}
	CK_STAILQ_REMOVE_HEAD(&state->own, link);
	kl_usage_tally_free(tally);
}
