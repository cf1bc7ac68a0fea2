/**
 * @file
 * What a caller's session has set and prepared: kept here and carried over to
 * whichever pooled connection runs its next statement.
 */
#ifndef KL_SESSION_STATE_H
#define KL_SESSION_STATE_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

#define KL_STATE_ENTRIES_MAX \
	256 /**< values and prepared names of one session */

/** Kinds of session state. */
typedef enum kl_state_kind {
	KL_STATE_SETTING,
	KL_STATE_PREPARED,
	KL_STATE_KIND_COUNT
} kl_state_kind_t;

/** One value or prepared statement. */
typedef struct kl_state_entry {
	CK_STAILQ_ENTRY(kl_state_entry) link;
	kl_state_kind_t kind;
	char name[KL_NAME_MAX];
	bool writes;	  /**< of a prepared statement */
	uint64_t version; /**< of the state when this was set */
	char *text;	  /**< statement that sets it */
} kl_state_entry_t;

/** A session's state. */
typedef struct kl_session_state {
	CK_STAILQ_HEAD(, kl_state_entry) entries;
	uint32_t count;
	uint64_t version;  /**< rises with each entry */
	uint64_t removals; /**< rises with each name that is freed or reused */
} kl_session_state_t;

void kl_state_init(kl_session_state_t *state);
void kl_state_clear(kl_session_state_t *state);

/**
 * Set a value or prepare a statement, in place of one of the same name.
 *
 * @return 0, -KL_E_NOMEM, or -KL_E_INVALID if there are too many
 */
int kl_state_set(kl_session_state_t *state, kl_state_kind_t kind,
		 const char *name, bool writes, const char *text);

/** Forget a prepared statement. @return 0 or -KL_E_NO_STATEMENT */
int kl_state_deallocate(kl_session_state_t *state, const char *name);

/** Find a prepared statement. @return NULL if there is none */
const kl_state_entry_t *kl_state_find_prepared(const kl_session_state_t *state,
					       const char *name);

/**
 * The next statement that a connection needs.
 *
 * @param version that the connection has, moved on by this call
 * @return NULL if it has all
 */
const kl_state_entry_t *kl_state_next_missing(const kl_session_state_t *state,
					      uint64_t *version);

#endif
