/**
 * @file
 * Log positions of a session's last writes, by service.  A session's route may
 * be moved to another service and back, and its reads there must still see what
 * it wrote before.
 */
#ifndef KL_SESSION_WRITES_H
#define KL_SESSION_WRITES_H

#include <ck_queue.h>

#include "board/index.h"
#include "path/position.h"

/** Most services whose positions a session keeps. */
#define KL_SESSION_WRITES_MAX 8

/** A session's last write at a service. */
typedef struct kl_session_write {
	CK_STAILQ_ENTRY(kl_session_write) link;
	char service[KL_NAME_MAX];
	kl_position_t position; /**< term 0: not known */
} kl_session_write_t;

/** A session's last writes; the least recent one is the first. */
typedef struct kl_session_writes {
	CK_STAILQ_HEAD(, kl_session_write) list;
	uint32_t count; /**< entries of the list */
	/** Writes were forgotten, so others may exist at any service. */
	bool incomplete;
} kl_session_writes_t;

/** What is known of a session's writes at a service. */
typedef enum kl_write_state {
	KL_WRITE_NONE,	  /**< the session has not written there */
	KL_WRITE_KNOWN,	  /**< its writes are in the log up to a position */
	KL_WRITE_UNKNOWN, /**< it may have written there, at any position */
} kl_write_state_t;

/** Initialize an empty list. */
void kl_session_writes_init(kl_session_writes_t *writes);
/** Free all entries. */
void kl_session_writes_clear(kl_session_writes_t *writes);

/**
 * Note a write, after those noted before.
 *
 * @param position end of the log after it, as the database replied
 * @return whether nothing was forgotten for it, for lack of room or memory
 */
bool kl_session_writes_add(kl_session_writes_t *writes, const char *service,
			   kl_position_t position);

/**
 * Find out what a read at a service must see.
 *
 * @param position receives the position if it is known
 */
kl_write_state_t kl_session_writes_find(const kl_session_writes_t *writes,
					const char *service,
					kl_position_t *position);

#endif
