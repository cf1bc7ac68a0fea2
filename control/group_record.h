/**
 * @file
 * Encoding of a group's record: the JSON text of the platform's object
 * "group/SERVICE".
 */
#ifndef KL_GROUP_RECORD_H
#define KL_GROUP_RECORD_H

#include "board/sections.h"

/**
 * Decode a record.
 *
 * @param group receives the state; name, version and first_seen_us stay
 * @param body JSON text
 * @return 0 or -KL_E_INVALID
 */
int kl_group_decode(kl_group_t *group, const char *body);

/** Encode a record. @return JSON text to be freed, or NULL if out of memory */
char *kl_group_encode(const kl_group_t *group);

/** Number of the record's step within its term, which ends stable. */
uint64_t kl_group_progress(const kl_group_t *group);

/** Whether a record was written in an era of the store; 0: it has no eras. */
bool kl_group_is_of_era(const kl_group_t *group, uint64_t era);

/**
 * Term that replicas serve: the newest one in the history or, if that is empty,
 * the recorded term.
 */
uint64_t kl_group_replica_term(const kl_group_t *group);

/**
 * Append a term to the history, dropping the oldest one if it is full.
 *
 * @param start_position first log position of the term, bytes
 */
void kl_group_add_term(kl_group_t *group, uint64_t term,
		       uint64_t start_position);

#endif
