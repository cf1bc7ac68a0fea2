/* Estimates the tokens needed from the recent rate of statements. */
#include <string.h>

#include "control/share_internal.h"

#define WINDOW_US 100000ull  /* width of a window of measured demand */
#define MEAN_WINDOWS 8	     /* time constant of the moving average */
#define PREFETCH_US 80000ull /* tokens are borrowed for this time ahead */

static uint64_t expected_rate_milli(const kl_share_t *share);

void kl_share_add_demand(kl_share_t *share, uint64_t now_us, uint64_t arrivals,
			 uint64_t backlog)
{
	uint64_t elapsed = now_us - share->window_start_us;

	share->window_arrivals += arrivals;
	share->backlog = backlog;
	if (elapsed < WINDOW_US)
		return;
	memmove(share->window_rates, share->window_rates + 1,
		sizeof(share->window_rates) - sizeof(share->window_rates[0]));
	share->window_rates[DEMAND_WINDOWS - 1] =
		share->window_arrivals * 1000000 / elapsed;
	share->mean_rate_milli =
		(share->mean_rate_milli * (MEAN_WINDOWS - 1) +
		 share->window_rates[DEMAND_WINDOWS - 1] * 1000) /
		MEAN_WINDOWS;
	share->window_arrivals = 0;
	share->window_start_us = now_us;
}

bool kl_share_idle(const kl_share_t *share)
{
	return !expected_rate_milli(share) && !share->backlog &&
	       !share->lent_tokens && !share->borrowed_tokens;
}

/*
 * The expected demand, thousandths of a statement a second: the moving average,
 * or the mean of that and the peak of the last windows if the peak is higher.
 */
static uint64_t expected_rate_milli(const kl_share_t *share)
{
	uint64_t peak = 0;

	for (int i = 0; i < DEMAND_WINDOWS; i++)
		if (share->window_rates[i] > peak)
			peak = share->window_rates[i];
	return peak * 1000 > share->mean_rate_milli
		       ? (peak * 1000 + share->mean_rate_milli) / 2
		       : share->mean_rate_milli;
}

/*
 * Tokens that the owned part will not yield are borrowed before they are
 * needed, but only for whole statements: a fraction would mostly expire
 * unspent.
 */
int64_t kl_share_tokens_needed(const kl_share_t *share)
{
	uint64_t refill = share->rate * kl_share_usable_ppm(share) / 1000;
	uint64_t demand = expected_rate_milli(share);
	uint64_t ahead =
		demand > refill ? (demand - refill) * PREFETCH_US / 1000000 : 0;

	ahead -= ahead % KL_TOKENS_PER_STATEMENT;
	return (int64_t)(share->backlog * KL_TOKENS_PER_STATEMENT + ahead);
}
