/* How much of a limit the statements that came lately ask for. */
#include <string.h>

#include "control/share_internal.h"

#define DEMAND_US 100000ull  /* width of a window of the demand seen */
#define SMOOTH 8	     /* windows that the mean demand reaches back */
#define RISE_LEAST 2	     /* statements that are a rise above the mean */
#define SPARSE 3	     /* statements a window: below, chance rules */
#define HEADROOM_PERCENT 110 /* share wanted over the demand seen */

static uint64_t demand_of(const kl_share_t *share);

void kl_share_demand(kl_share_t *share, uint64_t now_us, uint64_t came,
		     uint64_t backlog)
{
	uint64_t elapsed = now_us - share->demand_us;

	share->came += came;
	share->backlog = backlog;
	if (elapsed < DEMAND_US)
		return;
	memmove(share->recent, share->recent + 1,
		sizeof(share->recent) - sizeof(share->recent[0]));
	share->recent[WINDOWS - 1] = share->came * 1000000 / elapsed;
	share->mean = (share->mean * (SMOOTH - 1) +
		       share->recent[WINDOWS - 1] * 1000) /
		      SMOOTH;
	share->came = 0;
	share->demand_us = now_us;
}

bool kl_share_idle(const kl_share_t *share, uint64_t now_us)
{
	(void)now_us;
	return !demand_of(share) && !share->backlog &&
	       CK_LIST_EMPTY(&share->lent) && CK_LIST_EMPTY(&share->borrowed);
}

/*
 * The most that came lately: a short lull should not give all away.  Where few
 * statements come, many in one window are mostly chance, and asking for as
 * much all the time would take the part of others: there the mean counts, but
 * for a rise that is more than chance.
 */
static uint64_t demand_of(const kl_share_t *share)
{
	uint64_t usual = share->mean * DEMAND_US / 1000000; /* thousandths */
	uint64_t most = 0, count, rise;

	for (int i = 0; i < WINDOWS; i++)
		if (share->recent[i] > most)
			most = share->recent[i];
	count = most * DEMAND_US / 1000000;
	rise = count * 1000 > usual ? count * 1000 - usual : 0;
	if (!kl_share_sparse(share))
		return most;
	if (rise > RISE_LEAST * 1000 && rise * rise > 9000 * usual)
		return most;
	return (share->mean + 500) / 1000;
}

bool kl_share_sparse(const kl_share_t *share)
{
	return share->mean * DEMAND_US / 1000000 < SPARSE * 1000;
}

uint64_t kl_share_needed(const kl_share_t *share)
{
	uint64_t demand = demand_of(share);
	uint64_t steady, sudden, least, need;

	if (!demand && !share->backlog)
		return 0;
	if (!share->rate || !share->burst)
		return 0;
	steady = demand * KL_SHARE_WHOLE / share->rate * HEADROOM_PERCENT / 100;
	sudden = share->backlog * KL_SHARE_WHOLE / share->burst;
	/* A part too small to hold a statement's tokens admits nothing. */
	least = (KL_SHARE_WHOLE + share->burst - 1) / share->burst * 2;
	need = steady > sudden ? steady : sudden;
	need = need > least ? need : least;
	return need < KL_SHARE_WHOLE ? need : KL_SHARE_WHOLE;
}
