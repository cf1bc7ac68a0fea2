/* How many tokens the statements that came lately ask for. */
#include <string.h>

#include "control/share_internal.h"

#define DEMAND_US 100000ull /* width of a window of the demand seen */
#define SMOOTH 8	    /* windows that the mean demand reaches back */
#define AHEAD_US 80000ull   /* statements of this time are provided for */

static uint64_t demand_of(const kl_share_t *share);

void kl_share_add_demand(kl_share_t *share, uint64_t now_us, uint64_t came,
			 uint64_t backlog)
{
	uint64_t elapsed = now_us - share->window_start_us;

	share->window_arrivals += came;
	share->backlog = backlog;
	if (elapsed < DEMAND_US)
		return;
	memmove(share->window_rates, share->window_rates + 1,
		sizeof(share->window_rates) - sizeof(share->window_rates[0]));
	share->window_rates[DEMAND_WINDOWS - 1] =
		share->window_arrivals * 1000000 / elapsed;
	share->mean_rate_milli =
		(share->mean_rate_milli * (SMOOTH - 1) +
		 share->window_rates[DEMAND_WINDOWS - 1] * 1000) /
		SMOOTH;
	share->window_arrivals = 0;
	share->window_start_us = now_us;
}

bool kl_share_idle(const kl_share_t *share)
{
	return !demand_of(share) && !share->backlog && !share->lent_tokens &&
	       !share->borrowed_tokens;
}

/* Thousandths of a statement a second; none before the first rounded one. */
static uint64_t demand_of(const kl_share_t *share)
{
	uint64_t most = 0;

	for (int i = 0; i < DEMAND_WINDOWS; i++)
		if (share->window_rates[i] > most)
			most = share->window_rates[i];
	return most * 1000 > share->mean_rate_milli
		       ? (most * 1000 + share->mean_rate_milli) / 2
		       : share->mean_rate_milli;
}

/*
 * What the part owned does not mint is fetched before it is needed, but only
 * where whole statements are about to come: tokens for less would mostly lapse.
 */
int64_t kl_share_tokens_needed(const kl_share_t *share)
{
	uint64_t minted = share->rate * kl_share_usable(share) / 1000;
	uint64_t demand = demand_of(share);
	uint64_t ahead =
		demand > minted ? (demand - minted) * AHEAD_US / 1000000 : 0;

	ahead -= ahead % KL_TOKENS_PER_STATEMENT;
	return (int64_t)(share->backlog * KL_TOKENS_PER_STATEMENT + ahead);
}
