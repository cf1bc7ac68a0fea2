/* The wait at a database, from the statements of one VM. */
#include "path/spill.h"

/* A response is late above the objective divided by this. */
#define LATE_DIVISOR 2
/*
 * Up to the objective divided by this a response shows no load: work times and
 * new connections vary.
 */
#define USUAL_DIVISOR 3
#define PPM 1000000
/* Figures of others are asked for this long after a late statement. */
#define LATE_RECENT_US 1000000

/*
 * A new sample's weight in the average, of WEIGHT_WHOLE, is the time since the
 * last one in these units: a VM with few statements must notice a change as
 * soon as one with many.
 */
#define WEIGHT_UNIT_US 50000
#define WEIGHT_WHOLE 8
/* An average without a sample for this long says nothing any more. */
#define SAMPLE_MAX_AGE_US 2000000
/* A database without a sample for this long is not used. */
#define UNUSED_US 5000000
/* The wait that one VM sees counts up to this many times that of the others. */
#define OTHERS_FACTOR 2

static void add_sample(kl_wait_t *wait, uint64_t ppm, uint64_t now_us);

void kl_wait_add(kl_wait_t *wait, uint64_t response_us, uint64_t objective_us,
		 uint64_t now_us)
{
	uint64_t usual_us = objective_us / USUAL_DIVISOR;
	uint64_t excess_us =
		response_us > usual_us ? response_us - usual_us : 0;

	if (excess_us > objective_us)
		excess_us = objective_us;
	add_sample(wait, excess_us * PPM / (objective_us + 1), now_us);
	if (response_us > objective_us / LATE_DIVISOR)
		wait->last_late_us = now_us;
}

void kl_wait_add_refused(kl_wait_t *wait, uint64_t now_us)
{
	add_sample(wait, PPM, now_us);
	wait->last_late_us = now_us;
}

static void add_sample(kl_wait_t *wait, uint64_t ppm, uint64_t now_us)
{
	uint64_t weight = (now_us - wait->last_sample_us) / WEIGHT_UNIT_US;
	int64_t change;

	if (weight < 1)
		weight = 1;
	if (weight > WEIGHT_WHOLE)
		weight = WEIGHT_WHOLE;
	change = ((int64_t)ppm - (int64_t)wait->average_ppm) * (int64_t)weight /
		 WEIGHT_WHOLE;
	wait->average_ppm = (uint32_t)((int64_t)wait->average_ppm + change);
	wait->last_sample_us = now_us;
}

bool kl_wait_is_known(const kl_wait_t *wait, uint64_t now_us)
{
	uint64_t age_us = now_us - wait->last_sample_us;

	return age_us <= SAMPLE_MAX_AGE_US || age_us > UNUSED_US;
}

uint64_t kl_wait_expected(const kl_wait_t *wait, uint64_t objective_us,
			  uint64_t now_us)
{
	if (now_us - wait->last_sample_us > SAMPLE_MAX_AGE_US)
		return 0;
	return objective_us * wait->average_ppm / PPM;
}

uint64_t kl_wait_pooled(uint64_t own_us, uint64_t others_us)
{
	uint64_t limit_us = others_us * OTHERS_FACTOR;

	return own_us < limit_us ? own_us : limit_us;
}

bool kl_wait_was_late(const kl_wait_t *wait, uint64_t now_us)
{
	return wait->last_late_us &&
	       now_us - wait->last_late_us <= LATE_RECENT_US;
}
