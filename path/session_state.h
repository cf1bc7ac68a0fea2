/**
 * @file
 * A session's settings and prepared statements.  They are kept in the proxy and
 * replayed on whichever pooled connection runs the session's next statement.
 */
#ifndef KL_SESSION_STATE_H
#define KL_SESSION_STATE_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

/** Highest number of settings and prepared statements of one session. */
#define KL_STATE_ENTRIES_MAX 256

/** Kinds of session state. */
typedef enum kl_state_kind {
	KL_STATE_SETTING,
	KL_STATE_PREPARED,
	KL_STATE_KIND_COUNT
} kl_state_kind_t;

/** One setting or prepared statement. */
typedef struct kl_state_entry {
	CK_STAILQ_ENTRY(kl_state_entry) link;
	kl_state_kind_t kind;
	char name[KL_NAME_MAX];
	bool writes;	  /**< the prepared statement writes */
	uint64_t version; /**< the state's version when it was added */
	char *text;	  /**< statement to replay */
} kl_state_entry_t;

/** A session's state; the entries are in the order of their versions. */
typedef struct kl_session_state {
	CK_STAILQ_HEAD(, kl_state_entry) entries;
	uint32_t count;	  /**< number of entries */
	uint64_t version; /**< increases with each entry added */
	/**
	 * increases with each prepared statement that is deallocated or
	 * replaced; a connection to which the state was replayed before that
	 * must be reset
	 */
	uint64_t removals;
} kl_session_state_t;

/** Initialize an empty state. */
void kl_state_init(kl_session_state_t *state);
/** Free all entries. */
void kl_state_clear(kl_session_state_t *state);

/**
 * Add a setting or prepared statement, or replace the one of the same name.
 *
 * @return 0, -KL_E_NOMEM, or -KL_E_INVALID if the session has too many entries
 *         or the name is too long
 */
int kl_state_set(kl_session_state_t *state, kl_state_kind_t kind,
		 const char *name, bool writes, const char *text);

/** Remove a prepared statement. @return 0 or -KL_E_NO_STATEMENT */
int kl_state_deallocate(kl_session_state_t *state, const char *name);

/** Find a prepared statement. @return NULL if there is none */
const kl_state_entry_t *kl_state_find_prepared(const kl_session_state_t *state,
					       const char *name);

/**
 * Get the next entry that a connection lacks.
 *
 * @param version of the state that the connection has; set to the version that
 *                it has once the returned entry was replayed
 * @return NULL if it lacks none
 */
const kl_state_entry_t *kl_state_next_missing(const kl_session_state_t *state,
					      uint64_t *version);

#endif
