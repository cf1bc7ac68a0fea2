/**
 * @file
 * The recorded form of a group's state, object "group/SERVICE".
 */
#ifndef KL_GROUP_RECORD_H
#define KL_GROUP_RECORD_H

#include "board/sections.h"

/** Read a record. @return 0 or -KL_E_INVALID */
int kl_group_decode(kl_group_t *group, const char *body);

/** Write a record. @return JSON text to be freed, or NULL on no memory */
char *kl_group_encode(const kl_group_t *group);

/** The term that replicas serve: the last one that began. */
uint64_t kl_group_replica_term(const kl_group_t *group);

/** Append a term to the history, dropping the oldest when full. */
void kl_group_add_term(kl_group_t *group, uint64_t term, uint64_t start);

#endif
