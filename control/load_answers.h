/**
 * @file
 * The last answers about the load of a database, and their median.  Times are
 * microseconds.
 */
#ifndef KL_LOAD_ANSWERS_H
#define KL_LOAD_ANSWERS_H

#include <stdint.h>

/** Answers that are kept; at the interval of the queries all are recent. */
#define KL_LOAD_ANSWERS_MAX 5
/** Older answers are not used. */
#define KL_LOAD_ANSWER_MAX_AGE_US 1000000

/** The last answers; all zero: none yet. */
typedef struct kl_load_answers {
	uint32_t next; /**< number of answers so far */
	struct {
		uint64_t wait_us;
		uint64_t sampled_us; /**< 0: none */
	} list[KL_LOAD_ANSWERS_MAX];
} kl_load_answers_t;

/** Add an answer in place of the oldest one. */
void kl_load_answers_add(kl_load_answers_t *answers, uint64_t wait_us,
			 uint64_t sampled_us);

/**
 * Take the median of the recent answers, so that a wrong one has little
 * effect; of an even number the longer of the two in the middle.
 *
 * @param sampled_us set to the time of the newest of them
 * @return the number of recent answers; 0: nothing is set
 */
uint32_t kl_load_answers_median(const kl_load_answers_t *answers,
				uint64_t now_us, uint64_t *wait_us,
				uint64_t *sampled_us);

#endif
