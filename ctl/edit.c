/* Conditional edits: read, change and write; repeated after a conflict. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "control/document_check.h"
#include "ctl/edit.h"
#include "platform/http.h"

#define ATTEMPTS_MAX 12
#define RETRY_DELAY_MS 150 /* after a call without an answer */

static void sleep_before_retry(void);

int kl_edit_document(const char *url, const char *name, kl_edit_fn_t edit,
		     void *arg)
{
	/* Body of the previous write if that got no answer, or NULL. */
	char *unanswered_body = NULL;
	int error = -KL_E_CONFLICT;

	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		kl_platform_call_t call = { .op = KL_PLATFORM_PUT };
		kl_platform_answer_t answer;
		unsigned long long version;
		json_t *document, *updated = NULL;
		char *new_body, *current_body;

		error = kl_edit_read(url, name, &document, &version);
		if (error) {
			sleep_before_retry();
			continue;
		}
		current_body =
			json_dumps(document, JSON_COMPACT | JSON_ENCODE_ANY |
						     JSON_SORT_KEYS);
		if (unanswered_body && !strcmp(unanswered_body, current_body)) {
			json_decref(document);
			free(current_body);
			break; /* the unanswered write took effect */
		}
		free(current_body);
		error = edit(document, arg, &updated);
		json_decref(document);
		if (error)
			break;
		new_body = json_dumps(updated, JSON_COMPACT | JSON_ENCODE_ANY |
						       JSON_SORT_KEYS);
		json_decref(updated);
		if (!kl_document_check(name, new_body)) {
			free(new_body);
			error = -KL_E_INVALID;
			break;
		}
		kl_name_copy(call.name, name);
		call.version = version;
		call.body = new_body;
		kl_platform_call_blocking(url, &call, &answer, NULL);
		error = answer.error;
		free(unanswered_body);
		unanswered_body = NULL;
		if (error == -KL_E_UNAVAILABLE) {
			unanswered_body = new_body;
			sleep_before_retry();
			continue;
		}
		free(new_body);
		if (error != -KL_E_CONFLICT)
			break;
	}
	free(unanswered_body);
	return error;
}

int kl_edit_read(const char *url, const char *name, json_t **document,
		 unsigned long long *version)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_GET };
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	const kl_object_t *object;

	CK_STAILQ_INIT(&objects);
	*document = NULL;
	*version = 0;
	if (kl_name_copy(call.name, name))
		return -KL_E_INVALID;
	kl_platform_call_blocking(url, &call, &answer, &objects);
	object = CK_STAILQ_FIRST(&objects);
	if (!answer.error && object) {
		*version = object->version;
		*document = json_loads(object->body, JSON_DECODE_ANY, NULL);
	}
	kl_object_list_clear(&objects);
	if (!*document)
		*document = json_null();
	return answer.error == -KL_E_NOT_FOUND ? 0 : answer.error;
}

static void sleep_before_retry(void)
{
	struct timespec delay = { 0, RETRY_DELAY_MS * 1000000l };

	nanosleep(&delay, NULL);
}
