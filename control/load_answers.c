/* The median of the last answers about the load of a database. */
#include "control/load_answers.h"

void kl_load_answers_add(kl_load_answers_t *answers, uint64_t wait_us,
			 uint64_t sampled_us)
{
	uint32_t slot = answers->next++ % KL_LOAD_ANSWERS_MAX;

	answers->list[slot].wait_us = wait_us;
	answers->list[slot].sampled_us = sampled_us;
}

uint32_t kl_load_answers_median(const kl_load_answers_t *answers,
				uint64_t now_us, uint64_t *wait_us,
				uint64_t *sampled_us)
{
	uint64_t sorted[KL_LOAD_ANSWERS_MAX];
	uint64_t newest_us = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < KL_LOAD_ANSWERS_MAX; i++) {
		uint64_t time_us = answers->list[i].sampled_us;
		uint32_t place = count;

		if (!time_us || now_us - time_us > KL_LOAD_ANSWER_MAX_AGE_US)
			continue;
		while (place && sorted[place - 1] > answers->list[i].wait_us) {
			sorted[place] = sorted[place - 1];
			place--;
		}
		sorted[place] = answers->list[i].wait_us;
		count++;
		if (time_us > newest_us)
			newest_us = time_us;
	}
	if (!count)
		return 0;
	*wait_us = sorted[count / 2];
	*sampled_us = newest_us;
	return count;
}
