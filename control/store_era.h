/**
 * @file
 * Versions of the platform's objects, ordered by the store's era and then by
 * its revision.
 *
 * A store that is restored from an older copy raises its era, and assigns
 * revisions a second time.  docs/design/store-era.md describes what follows.
 * Without an era (0) a version is the plain revision.
 */
#ifndef KL_STORE_ERA_H
#define KL_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "control/node.h"

/** The sum of the versions of all feeds must fit into 63 bits. */
#define KL_ERA_MAX ((1ull << 20) - 1)

/**
 * A store in this era was never restored.  In a later one a process that starts
 * can't tell how long ago that was.
 */
#define KL_FIRST_ERA 1

/** Compose a version. */
uint64_t kl_store_version(uint64_t era, uint64_t revision);

/** Get the era of a version. */
uint64_t kl_version_era(uint64_t version);

/** Get the store's revision of a version. */
uint64_t kl_version_revision(uint64_t version);

/**
 * Read the text of an era.
 *
 * @param era receives it
 * @return 0, or -KL_E_PROTOCOL unless it is a number from 1 to KL_ERA_MAX
 */
int kl_store_era_parse(const char *text, uint64_t *era);

/** Turn the revisions of an answer into versions of the answer's era. */
void kl_store_era_add(kl_platform_answer_t *answer);

/** Turn the versions of a call into the store's revisions. */
void kl_store_era_remove(kl_platform_call_t *call);

#endif
