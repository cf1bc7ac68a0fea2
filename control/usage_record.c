#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "control/usage_record.h"

static bool counts_are_valid(json_t *counts);

int kl_usage_record_decode(kl_usage_record_t *record, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	json_t *counts;
	json_int_t token, window;
	const char *holder;
	int answered;
	int error = -KL_E_INVALID;

	if (json_unpack(json, "{s:s,s:I,s:I,s:b,s:o}", "holder", &holder,
			"token", &token, "window", &window, "answered",
			&answered, "counts", &counts) ||
	    token < 0 || window < 0 || !counts_are_valid(counts) ||
	    kl_name_copy(record->holder, holder))
		goto out;
	record->token = (uint64_t)token;
	record->window = (uint64_t)window;
	record->answered = answered;
	record->counts = json_dumps(counts, JSON_COMPACT | JSON_SORT_KEYS);
	error = record->counts ? 0 : -KL_E_INVALID;
out:
	json_decref(json);
	return error;
}

static bool counts_are_valid(json_t *counts)
{
	const char *workspace;
	json_t *operations;

	if (!json_is_object(counts))
		return false;
	json_object_foreach(counts, workspace, operations) {
		if (!json_is_integer(operations) ||
		    json_integer_value(operations) < 0)
			return false;
	}
	return true;
}

char *kl_usage_record_encode(const kl_usage_record_t *record)
{
	json_t *counts = json_loads(record->counts, 0, NULL);
	json_t *json = json_pack(
		"{s:s,s:I,s:I,s:b,s:o}", "holder", record->holder, "token",
		(json_int_t)record->token, "window", (json_int_t)record->window,
		"answered", record->answered, "counts", counts);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

char *kl_usage_counts_encode(const kl_usage_tally_t *tally)
{
	json_t *json = json_object();
	const kl_usage_count_t *count;
	char *text;

	CK_STAILQ_FOREACH(count, &tally->counts, link)
		json_object_set_new(
			json, count->workspace.name,
			json_integer((json_int_t)count->operations));
	text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	return text;
}

int kl_usage_record_copy(kl_usage_record_t *to, const kl_usage_record_t *from)
{
	char *counts = strdup(from->counts);

	if (!counts)
		return -KL_E_NOMEM;
	free(to->counts);
	*to = *from;
	to->counts = counts;
	return 0;
}

void kl_usage_record_clear(kl_usage_record_t *record)
{
	free(record->counts);
	memset(record, 0, sizeof(*record));
}
