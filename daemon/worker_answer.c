/* Answers to the client; each one but kl_answer_results() ends its request. */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_request.h"

static int true_error(const kl_request_t *request, int error);
static bool is_session_fatal(int error);

void kl_answer_error(kl_request_t *request, int error)
{
	kl_session_t *session = request->session;
	const kl_error_info_t *info;

	error = true_error(request, error);
	info = kl_error_info(error);
	if (error == -KL_E_RATE)
		kl_counter_add(KL_COUNTER_REFUSED_RATE, 1);
	else if (info->not_run)
		kl_counter_add(KL_COUNTER_REFUSED_OTHER, 1);
	else
		kl_counter_add(KL_COUNTER_UNKNOWN_OUTCOMES,
			       request->needs_proof ||
				       error == -KL_E_UNKNOWN_OUTCOME);
	if (error) {
		kl_decision_t decision = { .name = "refused",
					   .workspace = session->workspace,
					   .service = session->service,
					   .upstream = request->upstream,
					   .reason = info->name,
					   .term = request->term };

		kl_log_decision(&decision);
	}
	if (is_session_fatal(error)) {
		kl_session_close(session, error);
		return;
	}
	kl_answer_sqlstate(request, info->sqlstate, info->text);
}

void kl_answer_sqlstate(kl_request_t *request, const char *sqlstate,
			const char *text)
{
	kl_session_t *session = request->session;

	session->front_ops->error(session->front, sqlstate, text);
	kl_answer_finish(request);
}

void kl_answer_command_tag(kl_request_t *request, const char *tag)
{
	kl_session_t *session = request->session;

	session->front_ops->complete(session->front, tag);
	kl_answer_finish(request);
}

void kl_answer_results(kl_request_t *request, const kl_db_result_t *results,
		       int count)
{
	kl_session_t *session = request->session;

	for (int i = 0; i < count; i++) {
		const kl_db_result_t *result = &results[i];

		if (result->sqlstate) {
			session->front_ops->error(session->front,
						  result->sqlstate,
						  result->error_text);
			continue;
		}
		if (result->has_rows)
			session->front_ops->rows(
				session->front, result->rows_ops, result->rows);
		session->front_ops->complete(session->front,
					     result->command_tag);
	}
}

void kl_answer_finish(kl_request_t *request)
{
	kl_session_t *session = request->session;

	free(request->text);
	request->text = NULL;
	request->stage = KL_STAGE_IDLE;
	session->idle_since_us = kl_clock_us();
	session->front_ops->ready(session->front, session->transaction_status);
}

/* The error of the last attempt doesn't tell whether an earlier one ran. */
static int true_error(const kl_request_t *request, int error)
{
	if (!request->may_have_run || !kl_error_info(error)->not_run)
		return error;
	return kl_request_is_read(request) ? -KL_E_UNAVAILABLE
					   : -KL_E_UNKNOWN_OUTCOME;
}

static bool is_session_fatal(int error)
{
	return error == -KL_E_AUTH || error == -KL_E_KEY_WITHDRAWN ||
	       error == -KL_E_DRAINING;
}
