/* Updates of the record of usage reports, and answers of the platform. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/store_era.h"
#include "control/usage_internal.h"

static bool met_by_chance(const kl_usage_duty_t *duty,
			  const kl_platform_answer_t *answer);
static void adopt_put(kl_node_t *node, kl_usage_state_t *state,
		      uint64_t version);
static void handle_call_answer(kl_node_t *node, kl_usage_state_t *state,
			       int error);

/*
 * Sends a conditional update of the record, unless one was sent a moment ago
 * that failed.
 */
void kl_usage_put_record(kl_node_t *node, kl_usage_state_t *state,
			 const kl_usage_record_t *record)
{
	kl_usage_duty_t *duty = &state->duty;
	uint64_t now = kl_node_now(node);
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_USAGE,
				    .sent_us = now,
				    .name = KL_USAGE_RECORD,
				    .version = state->record.version };
	char *body;

	if (duty->put_sent_us && duty->put_sent_us != duty->confirmed_us &&
	    now - duty->put_sent_us < KL_USAGE_RETRY_US)
		return;
	body = kl_usage_record_encode(record);
	if (!body)
		return;
	if (!kl_usage_record_copy(&duty->put, record)) {
		duty->put_pending = true;
		duty->put_condition = state->record.version;
		duty->put_sent_us = now;
		duty->claimed_token = record->token;
		call.body = body;
		node->ops->call_platform(node->ops_context, &call);
	}
	free(body);
}

void kl_usage_duty_answer(kl_node_t *node, kl_usage_state_t *state,
			  const kl_platform_answer_t *answer)
{
	kl_usage_duty_t *duty = &state->duty;

	if (answer->op == KL_PLATFORM_REPORT_USAGE) {
		if (duty->call_pending &&
		    answer->call_sent_us == duty->call_sent_us)
			handle_call_answer(node, state, answer->error);
		return;
	}
	if (!duty->put_pending || answer->call_sent_us != duty->put_sent_us)
		return;
	duty->put_pending = false;
	if (answer->error || met_by_chance(duty, answer))
		kl_sync_request_list(node, KL_FEED_SLOTS);
	else if (answer->revision >= state->record.version)
		adopt_put(node, state, answer->revision);
}

/*
 * Whether the update was conditional on a version of an older era: the restored
 * store may have assigned its revision to other contents.
 */
static bool met_by_chance(const kl_usage_duty_t *duty,
			  const kl_platform_answer_t *answer)
{
	return duty->put_condition && kl_version_era(duty->put_condition) !=
					      kl_version_era(answer->revision);
}

/*
 * Takes over the record that this VM has just written, which the feed may have
 * brought already.
 */
static void adopt_put(kl_node_t *node, kl_usage_state_t *state,
		      uint64_t version)
{
	kl_usage_duty_t *duty = &state->duty;
	kl_usage_record_t *held = &state->record;

	duty->put.version = version;
	if (kl_usage_record_copy(held, &duty->put))
		return;
	duty->confirmed_version = version;
	duty->confirmed_us = duty->put_sent_us;
	state->record_seen_us = kl_node_now(node);
	state->changed = true;
	if (duty->confirmed_token != held->token) {
		duty->confirmed_token = held->token;
		duty->claimed_us = kl_node_now(node);
		duty->last_window = held->window;
		kl_usage_log(node, state, "usage_duty_claimed",
			     held->token > 1 ? "no_progress" : "first",
			     held->window, NULL);
	}
	if (held->window > duty->last_window + 1) {
		state->published.windows_missed +=
			held->window - duty->last_window - 1;
		kl_usage_log(node, state, "usage_window_missed",
			     "not_decided_in_time", held->window - 1, NULL);
	}
	duty->last_window = held->window;
}

static void handle_call_answer(kl_node_t *node, kl_usage_state_t *state,
			       int error)
{
	kl_usage_duty_t *duty = &state->duty;

	duty->call_pending = false;
	if (error == -KL_E_CONFLICT) {
		kl_usage_log(node, state, "usage_report_refused", "conflict",
			     duty->called_window, NULL);
		kl_sync_request_list(node, KL_FEED_SLOTS);
	}
	if (error || duty->answered_window == duty->called_window)
		return;
	duty->answered_window = duty->called_window;
	state->published.windows_reported++;
	state->changed = true;
}
