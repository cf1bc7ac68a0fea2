/**
 * @file
 * Positions in a group's replication log, and samples of the primary's position
 * over time.
 */
#ifndef KL_POSITION_H
#define KL_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/** A position in the log; term 0 means no position. */
typedef struct kl_position {
	uint64_t term;
	uint64_t number; /**< of the last commit, in the log's order */
} kl_position_t;

/**
 * Compare two positions by term, then by number.
 *
 * @return less than, equal to or greater than 0
 */
int kl_position_compare(kl_position_t a, kl_position_t b);

/** Highest number of samples kept of one group. */
#define KL_LOG_SAMPLES_MAX 64

/**
 * One sample of the primary's position.  The log up to this position holds
 * every commit that was acknowledged before the message whose reply returned
 * it was sent.
 */
typedef struct kl_log_sample {
	kl_position_t position;
	uint64_t query_sent_us; /**< when that message was sent, microseconds */
} kl_log_sample_t;

/** Ring buffer of the samples of one group's primary, oldest first. */
typedef struct kl_log_samples {
	kl_log_sample_t ring[KL_LOG_SAMPLES_MAX];
	uint32_t oldest; /**< index of the oldest sample */
	uint32_t count;
} kl_log_samples_t;

/**
 * Add a position that the primary reported while its lease was valid.  It is
 * ignored if it follows the newest sample too closely.
 */
void kl_log_samples_add(kl_log_samples_t *samples, kl_position_t position,
			uint64_t query_sent_us);

/** Drop all samples, because the primary was replaced. */
void kl_log_samples_clear(kl_log_samples_t *samples);

/**
 * Find the lowest sampled position up to which the log holds every commit that
 * was acknowledged before a given time.
 *
 * @param time_us microseconds
 * @param position filled in if there is such a sample
 * @return whether there is one
 */
bool kl_log_samples_find(const kl_log_samples_t *samples, uint64_t time_us,
			 kl_position_t *position);

/** Sending time of the newest sample's message, microseconds; 0 if none. */
uint64_t kl_log_samples_newest_us(const kl_log_samples_t *samples);

#endif
