#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "control/document_check.h"
#include "ctl/edit.h"
#include "platform/http.h"

#define TRIES 12
#define PAUSE_MS 150 /* after a lost answer */

static void pause_a_little(void);

int kl_edit_document(const char *url, const char *name, kl_edit_fn_t edit,
		     void *arg)
{
	char *lost = NULL; /* what an unanswered write wanted */
	int error = -KL_E_CONFLICT;

	for (int i = 0; i < TRIES; i++) {
		kl_platform_call_t call = { .op = KL_PLATFORM_PUT };
		kl_platform_answer_t answer;
		unsigned long long version;
		json_t *document, *next = NULL;
		char *body, *stands;

		error = kl_edit_read(url, name, &document, &version);
		if (error) {
			pause_a_little();
			continue;
		}
		stands = json_dumps(document, JSON_COMPACT | JSON_ENCODE_ANY |
						      JSON_SORT_KEYS);
		if (lost && !strcmp(lost, stands)) {
			json_decref(document);
			free(stands);
			break; /* it had taken effect */
		}
		free(stands);
		error = edit(document, arg, &next);
		json_decref(document);
		if (error)
			break;
		body = json_dumps(next, JSON_COMPACT | JSON_ENCODE_ANY |
						JSON_SORT_KEYS);
		json_decref(next);
		if (!kl_document_check(name, body)) {
			free(body);
			error = -KL_E_INVALID;
			break;
		}
		kl_name_set(call.name, name);
		call.version = version;
		call.body = body;
		kl_platform_call_blocking(url, &call, &answer, NULL);
		error = answer.error;
		free(lost);
		lost = NULL;
		if (error == -KL_E_UNAVAILABLE) {
			lost = body;
			pause_a_little();
			continue;
		}
		free(body);
		if (error != -KL_E_CONFLICT)
			break;
	}
	free(lost);
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
	if (kl_name_set(call.name, name))
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

static void pause_a_little(void)
{
	struct timespec pause = { 0, PAUSE_MS * 1000000l };

	nanosleep(&pause, NULL);
}
