/* Adapts the number of permits to the statements inside the database. */
#include <string.h>

#include "control/permit_limit.h"

/* Length of an interval. */
#define INTERVAL_US 100000ull
/*
 * Statements inside the database for each slot, in hundredths.  Below the first
 * number slots are idle between two statements, above the second the queue in
 * the database only adds latency.  Between them nothing changes.
 */
#define INSIDE_LOW 125
#define INSIDE_HIGH 175

void kl_permit_limit_init(kl_permit_limit_t *limit, uint32_t slots,
			  uint64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->slots = slots;
	limit->allowance = (slots + 1) / 2;
	limit->interval_start_us = now_us;
}

void kl_permit_limit_add(kl_permit_limit_t *limit, uint64_t latency_us)
{
	limit->interval_latency_us += latency_us;
}

/*
 * The mean number of statements inside is the sum of the latencies of those
 * answered in an interval, divided by its length (Little's law).  Permits that
 * are under way in messages are not inside.
 */
void kl_permit_limit_adapt(kl_permit_limit_t *limit, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - limit->interval_start_us;
	uint64_t percent;

	if (elapsed_us < INTERVAL_US)
		return;
	percent = limit->interval_latency_us * 100 / elapsed_us;
	limit->inside_percent = (limit->inside_percent + percent) / 2;
	if (limit->is_short &&
	    limit->inside_percent > INSIDE_HIGH * (uint64_t)limit->slots &&
	    limit->allowance)
		limit->allowance--;
	else if (limit->is_short &&
		 limit->inside_percent < INSIDE_LOW * (uint64_t)limit->slots &&
		 limit->allowance < 2 * limit->slots)
		limit->allowance++;
	limit->interval_start_us = now_us;
	limit->interval_latency_us = 0;
	limit->is_short = false;
}
