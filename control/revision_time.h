/**
 * @file
 * Times at which the platform's store was known to be at a revision.  From them
 * follows the earliest time at which an object can have been changed, without
 * any synchronised clock.
 */
#ifndef KL_REVISION_TIME_H
#define KL_REVISION_TIME_H

#include <stdint.h>

#define KL_REVISION_SAMPLES 32 /**< newest samples kept */

/** The store's revision was at most this at a time of this VM's clock. */
typedef struct kl_revision_sample {
	uint64_t revision;
	uint64_t time_us; /**< 0: unused */
} kl_revision_sample_t;

/** Newest samples; a ring. */
typedef struct kl_revision_times {
	kl_revision_sample_t samples[KL_REVISION_SAMPLES];
	uint32_t count; /**< samples so far, also forgotten ones */
	uint64_t newest_revision;
} kl_revision_times_t;

/**
 * Add a sample.  One of a lower revision than is known already is ignored: the
 * store answered from an older state, so its revision was higher at that time.
 *
 * @param time_us when the request was sent whose answer has the revision
 */
void kl_revision_times_add(kl_revision_times_t *times, uint64_t revision,
			   uint64_t time_us);

/** Record a revision of the store that was learned without a time. */
void kl_revision_times_seen(kl_revision_times_t *times, uint64_t revision);

/**
 * Get the latest time at which the store had not reached a revision: what was
 * stored with it was stored later.
 *
 * @return 0 if no such time is known
 */
uint64_t kl_revision_times_before(const kl_revision_times_t *times,
				  uint64_t revision);

/** Get the newest sample. @return NULL if there is none */
const kl_revision_sample_t *
kl_revision_times_newest(const kl_revision_times_t *times);

#endif
