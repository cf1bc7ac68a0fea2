#include <stdlib.h>
#include <string.h>

#include "path/session_writes.h"

static kl_session_write_t *find(const kl_session_writes_t *writes,
				const char *service);
static kl_session_write_t *new_entry(kl_session_writes_t *writes);

void kl_session_writes_init(kl_session_writes_t *writes)
{
	CK_STAILQ_INIT(&writes->list);
	writes->count = 0;
	writes->incomplete = false;
}

void kl_session_writes_clear(kl_session_writes_t *writes)
{
	kl_session_write_t *entry;

	while ((entry = CK_STAILQ_FIRST(&writes->list))) {
		CK_STAILQ_REMOVE_HEAD(&writes->list, link);
		free(entry);
	}
	writes->count = 0;
}

bool kl_session_writes_add(kl_session_writes_t *writes, const char *service,
			   kl_position_t position)
{
	kl_session_write_t *entry = find(writes, service);
	bool is_complete = true;

	if (entry) {
		CK_STAILQ_REMOVE(&writes->list, entry, kl_session_write, link);
	} else {
		is_complete = writes->count < KL_SESSION_WRITES_MAX;
		entry = new_entry(writes);
		if (!entry) {
			writes->incomplete = true;
			return false;
		}
		kl_name_copy(entry->service, service);
	}
	entry->position = position;
	CK_STAILQ_INSERT_TAIL(&writes->list, entry, link);
	return is_complete;
}

static kl_session_write_t *find(const kl_session_writes_t *writes,
				const char *service)
{
	kl_session_write_t *entry;

	CK_STAILQ_FOREACH(entry, &writes->list, link) {
		if (!strcmp(entry->service, service))
			return entry;
	}
	return NULL;
}

/* Returns a new entry, or the least recent one if there are too many. */
static kl_session_write_t *new_entry(kl_session_writes_t *writes)
{
	kl_session_write_t *entry = CK_STAILQ_FIRST(&writes->list);

	if (writes->count == KL_SESSION_WRITES_MAX) {
		CK_STAILQ_REMOVE_HEAD(&writes->list, link);
		writes->incomplete = true;
		return entry;
	}
	entry = calloc(1, sizeof(*entry));
	writes->count += entry != NULL;
	return entry;
}

kl_write_state_t kl_session_writes_find(const kl_session_writes_t *writes,
					const char *service,
					kl_position_t *position)
{
	const kl_session_write_t *entry = find(writes, service);

	if (!entry)
		return writes->incomplete ? KL_WRITE_UNKNOWN : KL_WRITE_NONE;
	*position = entry->position;
	return position->term ? KL_WRITE_KNOWN : KL_WRITE_UNKNOWN;
}
