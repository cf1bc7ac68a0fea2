#include <jansson.h>
#include <string.h>

#include "control/group_record.h"
#include "control/store_era.h"
#include "kumquatloft/kind.h"

static const char *const state_names[KL_GROUP_STATE_COUNT] = {
	[KL_GROUP_STABLE] = "stable",
	[KL_GROUP_FENCING] = "fencing",
	[KL_GROUP_PROMOTING] = "promoting",
};

int kl_group_decode(kl_group_t *group, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	json_t *history, *entry;
	json_int_t term, entry_term, entry_start, era = 0;
	const char *state, *primary, *promoter;
	int error = -KL_E_INVALID;
	size_t i;

	if (json_unpack(json, "{s:I,s:s,s:s,s:s,s:o,s?I}", "term", &term,
			"state", &state, "primary", &primary, "promoter",
			&promoter, "history", &history, "era", &era) ||
	    era < 0)
		goto out;
	group->state = KL_GROUP_STATE_COUNT;
	for (int s = 0; s < KL_GROUP_STATE_COUNT; s++)
		if (!strcmp(state, state_names[s]))
			group->state = s;
	if (group->state == KL_GROUP_STATE_COUNT ||
	    kl_name_copy(group->primary, primary) ||
	    kl_name_copy(group->promoter, promoter))
		goto out;
	group->term = (uint64_t)term;
	group->era = (uint64_t)era;
	group->history_count = 0;
	json_array_foreach(history, i, entry) {
		if (json_unpack(entry, "[I,I]", &entry_term, &entry_start))
			goto out;
		kl_group_add_term(group, (uint64_t)entry_term,
				  (uint64_t)entry_start);
	}
	error = 0;
out:
	json_decref(json);
	return error;
}

char *kl_group_encode(const kl_group_t *group)
{
	json_t *history = json_array();
	json_t *json;
	char *text;

	for (uint32_t i = 0; i < group->history_count; i++)
		json_array_append_new(
			history,
			json_pack("[I,I]", (json_int_t)group->history[i].term,
				  (json_int_t)group->history[i].position));
	json = json_pack("{s:I,s:s,s:s,s:s,s:o}", "term",
			 (json_int_t)group->term, "state",
			 state_names[group->state], "primary", group->primary,
			 "promoter", group->promoter, "history", history);
	/* A store without eras has none. */
	if (group->era)
		json_object_set_new(json, "era",
				    json_integer((json_int_t)group->era));
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

uint64_t kl_group_progress(const kl_group_t *group)
{
	return group->state == KL_GROUP_STABLE ? KL_GROUP_STATE_COUNT
					       : group->state;
}

bool kl_group_is_of_era(const kl_group_t *group, uint64_t era)
{
	/* Records of earlier versions of this program name no era. */
	uint64_t written_era = group->era ? group->era : KL_FIRST_ERA;

	return era <= written_era;
}

uint64_t kl_group_replica_term(const kl_group_t *group)
{
	if (!group->history_count)
		return group->term;
	return group->history[group->history_count - 1].term;
}

void kl_group_add_term(kl_group_t *group, uint64_t term,
		       uint64_t start_position)
{
	if (group->history_count == KL_TERM_HISTORY_MAX) {
		memmove(group->history, group->history + 1,
			(KL_TERM_HISTORY_MAX - 1) * sizeof(group->history[0]));
		group->history_count--;
	}
	group->history[group->history_count].term = term;
	group->history[group->history_count].position = start_position;
	group->history_count++;
}
