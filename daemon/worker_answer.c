/* Answers to the caller, each followed by the end of its request. */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

static bool ends_session(int error);

void kl_answer_error(kl_request_t *request, int error)
{
	const kl_error_info_t *answer = kl_error_info(error);
	kl_session_t *session = request->session;

	if (error == -KL_E_RATE)
		kl_count(KL_COUNTER_REFUSED_RATE, 1);
	else if (answer->not_run)
		kl_count(KL_COUNTER_REFUSED_OTHER, 1);
	else
		kl_count(KL_COUNTER_UNKNOWN_OUTCOMES, request->needs_proof);
	if (error) {
		kl_decision_t refused = { .name = "refused",
					  .workspace = session->workspace,
					  .service = session->service,
					  .upstream = request->upstream,
					  .reason = answer->name,
					  .term = request->term };

		kl_log_decision(&refused);
	}
	if (ends_session(error)) {
		kl_session_end(session, error);
		return;
	}
	kl_answer_text_error(request, answer->sqlstate, answer->text);
}

void kl_answer_text_error(kl_request_t *request, const char *sqlstate,
			  const char *text)
{
	kl_session_t *session = request->session;

	session->ops->error(session->front, sqlstate, text);
	kl_answer_done(request);
}

void kl_answer_tag(kl_request_t *request, const char *tag)
{
	kl_session_t *session = request->session;

	session->ops->complete(session->front, tag);
	kl_answer_done(request);
}

void kl_answer_results(kl_request_t *request, const kl_link_result_t *results,
		       int count)
{
	kl_session_t *session = request->session;

	for (int i = 0; i < count; i++) {
		const kl_link_result_t *result = &results[i];

		if (result->sqlstate) {
			session->ops->error(session->front, result->sqlstate,
					    result->text);
			continue;
		}
		if (result->has_rows)
			session->ops->rows(session->front, result->ops,
					   result->rows);
		session->ops->complete(session->front, result->tag);
	}
}

void kl_answer_done(kl_request_t *request)
{
	kl_session_t *session = request->session;

	free(request->text);
	request->text = NULL;
	request->stage = KL_STAGE_NONE;
	session->ops->ready(session->front, session->transaction);
}

static bool ends_session(int error)
{
	return error == -KL_E_AUTH || error == -KL_E_KEY_WITHDRAWN ||
	       error == -KL_E_DRAINING;
}
