/**
 * @file
 * Positions in a group's log, and what is known of the primary's over time.
 */
#ifndef KL_POSITION_H
#define KL_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/** A place in the log; term 0 stands for none. */
typedef struct kl_position {
	uint64_t term;
	uint64_t number; /**< of the last commit */
} kl_position_t;

/** Compare two positions. @return below, at or above 0 */
int kl_position_compare(kl_position_t a, kl_position_t b);

#define KL_LOG_SAMPLES_MAX 64 /**< kept of one group */

/** The primary's log reached this position before the question was asked. */
typedef struct kl_log_sample {
	kl_position_t position;
	uint64_t asked_us;
} kl_log_sample_t;

/** What was seen of one group's primary, oldest first. */
typedef struct kl_log_samples {
	kl_log_sample_t ring[KL_LOG_SAMPLES_MAX];
	uint32_t oldest;
	uint32_t count;
} kl_log_samples_t;

/** Note a position that the proven primary answered with. */
void kl_log_samples_add(kl_log_samples_t *points, kl_position_t position,
			uint64_t asked_us);

/** Forget all: the primary was replaced. */
void kl_log_samples_clear(kl_log_samples_t *points);

/**
 * Find the lowest position that holds every commit acknowledged before a
 * time.
 *
 * @return whether one is known
 */
bool kl_log_samples_find(const kl_log_samples_t *points, uint64_t time_us,
			 kl_position_t *position);

/** When the newest point was asked for. @return 0 if there is none */
uint64_t kl_log_samples_newest_us(const kl_log_samples_t *points);

#endif
