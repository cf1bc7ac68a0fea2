/*
 * The duty of usage reports: which VM holds it, and what the holder does.
 * Everything follows from the record "usage/report":
 *
 *   answered(W) -> decided(W+1) -> answered(W+1) -> ...
 *
 * The holder stores a report in the record before it calls the platform, and
 * calls only with what is stored.  The token of the record rises with each
 * holder and is the fencing token of the calls.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/store_era.h"
#include "control/usage_internal.h"

/*
 * A claim is made only if the record has not changed for this long, so that no
 * two VMs hold the duty in turn.  The platform's lease on the duty is 3 s; a
 * tenth is added for clocks that run at unequal speeds.
 */
#define UNCHANGED_US (3300 * KL_MS)
/* Another prober takes over if a report is stored later than that by this. */
#define OVERDUE_US (1 * KL_SEC)
/* The prober of rank N waits N times this long before it claims the duty. */
#define RANK_DELAY_US (400 * KL_MS)
/* The successor of a prober is one of this many of the first ranks. */
#define SUCCESSOR_RANKS 2
/* Delay per rank before a prober creates the record. */
#define CREATE_RANK_DELAY_US (500 * KL_MS)
/*
 * More than the changes of the holder in the time that a copy of the store is
 * old; each takes at least UNCHANGED_US.
 */
#define LOST_TOKENS_MAX 100
/* A VM that holds a later record than the copy writes it in this time. */
#define COPY_WAIT_US (2 * KL_SEC)
/* The VMs send their counts to a new holder in this time. */
#define COLLECT_COUNTS_US (1200 * KL_MS)
/* A call is made only this long after the update that confirms the token. */
#define CONFIRMATION_MAX_AGE_US (1 * KL_SEC)
/* An update without an answer is given up after this time. */
#define PUT_TIMEOUT_US (3 * KL_SEC)
/* A report that is too late by this much is not sent any more. */
#define LATE_MAX_US (10 * (int64_t)KL_SEC)
/*
 * Tenths of the time until a report is due, after which it is stored: if all
 * VMs have sent their counts, and if some are cut off.  The rest of the time is
 * for a change of the holder.
 */
#define STORE_TENTHS 4
#define STORE_ANYWAY_TENTHS 6

static void create_record(kl_node_t *node, kl_usage_state_t *state);
static void watch_holder(kl_node_t *node, kl_usage_state_t *state);
static void renew_duty(kl_node_t *node, kl_usage_state_t *state);
static uint64_t next_token(const kl_node_t *node,
			   const kl_usage_state_t *state);
static bool may_be_copy(const kl_node_t *node, const kl_usage_record_t *record);
static void advance_report(kl_node_t *node, kl_usage_state_t *state);
static void give_up(kl_node_t *node, kl_usage_state_t *state);
static void finish_report(kl_node_t *node, kl_usage_state_t *state);
static void store_report(kl_node_t *node, kl_usage_state_t *state);
static void call_platform(kl_node_t *node, kl_usage_state_t *state);
static bool is_too_late(const kl_node_t *node, const kl_usage_state_t *state,
			uint64_t window);
static int64_t since_end(const kl_node_t *node, const kl_usage_state_t *state,
			 uint64_t window);
static int64_t tenths_of_delay(const kl_node_t *node, int64_t tenths);
static bool may_store(const kl_node_t *node, const kl_usage_state_t *state,
		      uint64_t window);
static bool is_finished(const kl_usage_state_t *state);
static int64_t true_now(const kl_node_t *node, const kl_usage_state_t *state);

void kl_usage_duty_step(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_duty_t *duty = &state->duty;
	uint64_t now = kl_node_now(node);

	if (!state->clock_ready || !kl_node_get(node, KL_SECTION_MEMBERS))
		return;
	if (duty->put_pending && now - duty->put_sent_us < PUT_TIMEOUT_US)
		return;
	duty->put_pending = false;
	if (!state->record.version)
		create_record(node, state);
	else if (kl_usage_is_holder(node, state))
		advance_report(node, state);
	else
		watch_holder(node, state);
}

/*
 * Creates the record.  Reports begin with the window in which this process
 * started, unless it would be late.
 */
static void create_record(kl_node_t *node, kl_usage_state_t *state)
{
	int rank = state->rank;
	kl_usage_duty_t *duty = &state->duty;
	uint64_t now = kl_node_now(node);
	int64_t first_us = kl_usage_clock_true(&state->clock, node->started_us);
	int64_t due_us =
		true_now(node, state) - (int64_t)node->tuning.usage_delay_us;
	kl_usage_record_t record = { .token = next_token(node, state),
				     .answered = true,
				     .counts = (char *)"{}" };

	if (rank < 0 || !kl_node_get(node, KL_SECTION_OBJECTS)) {
		duty->missing_since_us = 0;
		return;
	}
	if (!duty->missing_since_us)
		duty->missing_since_us = now;
	if (now - duty->missing_since_us <
	    (uint64_t)(rank + 1) * CREATE_RANK_DELAY_US)
		return;
	memcpy(record.holder, node->self.vm, KL_NAME_MAX);
	record.window = kl_usage_window_at(node, first_us > due_us ? first_us
								   : due_us) -
			1;
	if (record.window < state->record.window)
		record.window = state->record.window;
	kl_usage_put_record(node, state, &record);
}

/* Takes the duty over if the record does not progress. */
static void watch_holder(kl_node_t *node, kl_usage_state_t *state)
{
	int rank = state->rank;
	uint64_t unchanged_us = kl_node_now(node) - state->record_seen_us;
	uint64_t wait_us = (uint64_t)(rank > 0 ? rank : 0) * RANK_DELAY_US;
	kl_usage_record_t claim = state->record;

	/*
	 * An earlier process of this VM held it.  Its successor goes first,
	 * because that one has the counts of that process.
	 */
	if (!strcmp(state->record.holder, node->self.vm))
		wait_us += SUCCESSOR_RANKS * RANK_DELAY_US;
	else if (rank < 0)
		return;
	if (unchanged_us <= UNCHANGED_US + wait_us ||
	    (is_finished(state) &&
	     since_end(node, state, state->record.window + 1) <
		     tenths_of_delay(node, STORE_ANYWAY_TENTHS) +
			     (int64_t)(OVERDUE_US + wait_us)))
		return;
	memcpy(claim.holder, node->self.vm, KL_NAME_MAX);
	claim.token = next_token(node, state);
	kl_usage_put_record(node, state, &claim);
}

/*
 * Returns a token that no holder has used, also if the record is a copy from
 * before holders that a restored store has forgotten.
 */
static uint64_t next_token(const kl_node_t *node, const kl_usage_state_t *state)
{
	return state->record.token +
	       (may_be_copy(node, &state->record) ? LOST_TOKENS_MAX : 1);
}

/* Whether a restored store may have a record of before the last one. */
static bool may_be_copy(const kl_node_t *node, const kl_usage_record_t *record)
{
	uint64_t first = kl_sync_first_revision(node);

	return kl_sync_era(node) > 1 && record->version &&
	       (!first || kl_version_revision(record->version) <= first);
}

static void advance_report(kl_node_t *node, kl_usage_state_t *state)
{
	const kl_usage_record_t *record = &state->record;
	kl_usage_duty_t *duty = &state->duty;

	if (may_be_copy(node, record)) {
		renew_duty(node, state);
		return;
	}
	if (!record->answered && !is_finished(state)) {
		if (!is_too_late(node, state, record->window)) {
			call_platform(node, state);
			return;
		}
		give_up(node, state);
	}
	if (may_store(node, state, record->window + 1) &&
	    kl_node_now(node) - duty->claimed_us >= COLLECT_COUNTS_US)
		store_report(node, state);
	else if (!record->answered && duty->answered_window == record->window)
		finish_report(node, state);
}

/*
 * Claims the duty again after the store was restored.  A VM that holds a later
 * record than the copy does so at once.  Another one may have been succeeded
 * before; it waits, and skips the windows that its successor may have reported.
 */
static void renew_duty(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_record_t claim = state->record;
	int64_t reported_us =
		true_now(node, state) - tenths_of_delay(node, STORE_TENTHS);
	uint64_t newest = kl_usage_window_at(node, reported_us);

	claim.token = next_token(node, state);
	if (!state->record_kept) {
		if (kl_node_now(node) - state->record_seen_us < COPY_WAIT_US)
			return;
		claim.answered = true;
		claim.counts = (char *)"{}";
		if (claim.window < newest)
			claim.window = newest;
	}
	kl_usage_put_record(node, state, &claim);
}

/* Whether the record's report needs no further call. */
static bool is_finished(const kl_usage_state_t *state)
{
	const kl_usage_record_t *record = &state->record;

	return record->answered ||
	       state->duty.answered_window == record->window ||
	       state->duty.given_up_window == record->window;
}

/* Counts the record's report as missed: it was not accepted in time. */
static void give_up(kl_node_t *node, kl_usage_state_t *state)
{
	state->duty.given_up_window = state->record.window;
	state->published.windows_missed++;
	kl_usage_log(node, state, "usage_window_missed", "not_accepted_in_time",
		     state->record.window, NULL);
}

/* Records that the platform has the report; then its counts are needless. */
static void finish_report(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_record_t finished = state->record;

	finished.answered = true;
	finished.counts = (char *)"{}";
	kl_usage_put_record(node, state, &finished);
}

/* Decides the report of the next window that is not too late. */
static void store_report(kl_node_t *node, kl_usage_state_t *state)
{
	kl_usage_record_t next = state->record;
	int64_t oldest_us = true_now(node, state) - LATE_MAX_US -
			    (int64_t)node->tuning.usage_delay_us;
	uint64_t oldest = kl_usage_window_at(node, oldest_us);
	kl_usage_tally_t *sum;

	next.answered = false;
	next.window++;
	if (next.window < oldest)
		next.window = oldest;
	sum = kl_usage_tally_new(next.window, node->self.vm, 0);
	if (!sum)
		return;
	kl_usage_tallies_sum(&state->own, next.window, sum);
	kl_usage_sum_others(state, next.window, sum);
	next.counts = kl_usage_counts_encode(sum);
	kl_usage_tally_free(sum);
	if (next.counts) {
		state->duty.stored_window = next.window;
		kl_usage_put_record(node, state, &next);
	}
	free(next.counts);
}

/*
 * Calls the platform with the stored report.  The update that confirms the
 * token must be recent, because a VM that was frozen or cut off may have been
 * succeeded; without one the record is written again.
 */
static void call_platform(kl_node_t *node, kl_usage_state_t *state)
{
	const kl_usage_record_t *record = &state->record;
	kl_usage_duty_t *duty = &state->duty;
	uint64_t now = kl_node_now(node);
	kl_platform_call_t call = { .op = KL_PLATFORM_REPORT_USAGE,
				    .owner = KL_CONTROLLER_USAGE,
				    .sent_us = now,
				    .name = KL_USAGE_RECORD,
				    .version = record->token,
				    .window = record->window,
				    .body = record->counts };

	if (duty->called_window == record->window &&
	    (duty->call_pending ||
	     now - duty->call_sent_us < KL_USAGE_RETRY_US) &&
	    now - duty->call_sent_us < PUT_TIMEOUT_US)
		return;
	if (duty->confirmed_version != record->version ||
	    now - duty->confirmed_us >= CONFIRMATION_MAX_AGE_US) {
		kl_usage_put_record(node, state, record);
		return;
	}
	if (duty->called_window == record->window ||
	    duty->stored_window != record->window) {
		state->published.windows_repeated++;
		kl_usage_log(node, state, "usage_report_repeated",
			     duty->stored_window == record->window
				     ? "not_answered"
				     : "stored_by_predecessor",
			     record->window, NULL);
	}
	duty->call_pending = true;
	duty->call_sent_us = now;
	duty->called_window = record->window;
	node->ops->call_platform(node->ops_context, &call);
}

/* Whether the report of a window can't be sent any more. */
static bool is_too_late(const kl_node_t *node, const kl_usage_state_t *state,
			uint64_t window)
{
	return since_end(node, state, window) >
	       (int64_t)node->tuning.usage_delay_us + LATE_MAX_US;
}

/* Whether the counts of a window are complete, or no longer waited for. */
static bool may_store(const kl_node_t *node, const kl_usage_state_t *state,
		      uint64_t window)
{
	int64_t since_end_us = since_end(node, state, window);

	if (since_end_us < tenths_of_delay(node, STORE_TENTHS))
		return false;
	return since_end_us >= tenths_of_delay(node, STORE_ANYWAY_TENTHS) ||
	       kl_usage_all_heard(node, state,
				  kl_node_now(node) - (uint64_t)since_end_us);
}

/* Microseconds since a window ended; negative before that. */
static int64_t since_end(const kl_node_t *node, const kl_usage_state_t *state,
			 uint64_t window)
{
	return true_now(node, state) - kl_usage_window_end(node, window);
}

static int64_t tenths_of_delay(const kl_node_t *node, int64_t tenths)
{
	return (int64_t)node->tuning.usage_delay_us * tenths / 10;
}

static int64_t true_now(const kl_node_t *node, const kl_usage_state_t *state)
{
	return kl_usage_clock_true(&state->clock, kl_node_now(node));
}
