/* Commands that print the status of a daemon, and documents. */
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "ctl/command.h"
#include "platform/http.h"

#define STATUS_TIMEOUT_MS 3000

int kl_command_status(const kl_command_context_t *context)
{
	CURL *curl = curl_easy_init();
	CURLcode code;
	char url[256];

	if (!context->daemon_address) {
		fprintf(stderr, "--daemon is missing\n");
		return KL_EXIT_USAGE;
	}
	snprintf(url, sizeof(url), "http://%s/status", context->daemon_address);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)STATUS_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	code = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	if (code == CURLE_OK)
		return KL_EXIT_OK;
	return kl_command_report(context, -KL_E_UNAVAILABLE, NULL);
}

int kl_command_get(const kl_command_context_t *context)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_LIST };
	const char *prefix = context->argc ? context->argv[0] : "";
	json_t *documents = json_object();
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	const kl_object_t *object;

	CK_STAILQ_INIT(&objects);
	kl_platform_call_blocking(context->platform_url, &call, &answer,
				  &objects);
	CK_STAILQ_FOREACH(object, &objects, link) {
		const char *name = object->name.name;

		if (strncmp(name, prefix, strlen(prefix)) ||
		    !strcmp(object->body, "null"))
			continue;
		if (!context->json)
			printf("%s %llu %s\n", name,
			       (unsigned long long)object->version,
			       object->body);
		json_object_set_new(
			documents, name,
			json_loads(object->body, JSON_DECODE_ANY, NULL));
	}
	if (context->json && !answer.error) {
		json_dumpf(documents, stdout, JSON_INDENT(2));
		printf("\n");
	}
	json_decref(documents);
	kl_object_list_clear(&objects);
	if (answer.error)
		return kl_command_report(context, answer.error, NULL);
	return KL_EXIT_OK;
}
