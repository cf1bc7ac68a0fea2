/**
 * @file
 * What a group's record says of its primary, and whether that can be relied on.
 *
 * All paths that send a statement to a primary, or take its answer, and the
 * promotion controller ask these functions.
 */
#ifndef KL_RECORDED_PRIMARY_H
#define KL_RECORDED_PRIMARY_H

#include "board/sections.h"

/**
 * Whether the recorded primary itself has reported that it does not lead, after
 * the record was written.  Both are in the same store, so their versions order
 * them.
 */
bool kl_primary_denied(const kl_config_t *config, const kl_group_t *group);

/**
 * Whether a group's record shows which database leads, as far as its contents
 * go.  It doesn't while the primary changes, nor if a later record may have
 * been lost when the store was restored, nor if the database denies it.
 *
 * @param group may be NULL
 */
bool kl_primary_recorded(const kl_config_t *config, const kl_group_t *group);

#endif
