#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "path/session_state.h"

static kl_state_entry_t *find(const kl_session_state_t *state,
			      kl_state_kind_t kind, const char *name);
static void remove_entry(kl_session_state_t *state, kl_state_entry_t *entry);

void kl_state_init(kl_session_state_t *state)
{
	memset(state, 0, sizeof(*state));
	CK_STAILQ_INIT(&state->entries);
}

void kl_state_clear(kl_session_state_t *state)
{
	kl_state_entry_t *entry;

	while ((entry = CK_STAILQ_FIRST(&state->entries)))
		remove_entry(state, entry);
}

int kl_state_set(kl_session_state_t *state, kl_state_kind_t kind,
		 const char *name, bool writes, const char *text)
{
	kl_state_entry_t *old = find(state, kind, name);
	kl_state_entry_t *entry;

	if (!old && state->count >= KL_STATE_ENTRIES_MAX)
		return -KL_E_INVALID;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return -KL_E_NOMEM;
	entry->text = strdup(text);
	if (!entry->text || kl_name_copy(entry->name, name)) {
		free(entry->text);
		free(entry);
		return -KL_E_INVALID;
	}
	if (old) {
		remove_entry(state, old);
		state->removals += kind == KL_STATE_PREPARED;
	}
	entry->kind = kind;
	entry->writes = writes;
	entry->version = ++state->version;
	/* The highest version comes last, so that the list stays sorted. */
	CK_STAILQ_INSERT_TAIL(&state->entries, entry, link);
	state->count++;
	return 0;
}

int kl_state_deallocate(kl_session_state_t *state, const char *name)
{
	kl_state_entry_t *entry = find(state, KL_STATE_PREPARED, name);

	if (!entry)
		return -KL_E_NO_STATEMENT;
	remove_entry(state, entry);
	state->removals++;
	return 0;
}

const kl_state_entry_t *kl_state_find_prepared(const kl_session_state_t *state,
					       const char *name)
{
	return find(state, KL_STATE_PREPARED, name);
}

const kl_state_entry_t *kl_state_next_missing(const kl_session_state_t *state,
					      uint64_t *version)
{
	const kl_state_entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (entry->version <= *version)
			continue;
		*version = entry->version;
		return entry;
	}
	*version = state->version;
	return NULL;
}

static kl_state_entry_t *find(const kl_session_state_t *state,
			      kl_state_kind_t kind, const char *name)
{
	kl_state_entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (entry->kind == kind && !strcmp(entry->name, name))
			return entry;
	}
	return NULL;
}

static void remove_entry(kl_session_state_t *state, kl_state_entry_t *entry)
{
	CK_STAILQ_REMOVE(&state->entries, entry, kl_state_entry, link);
	state->count--;
	free(entry->text);
	free(entry);
}
