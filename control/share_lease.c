#include <ck_queue.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/share.h"

#define LOAN_US 1000000ull    /* life of a loan, from the question */
#define LENDER_US 1100000ull  /* the lender's longer view, for drift */
#define RENEW_US 500000ull    /* a loan this close to its end is renewed */
#define ASK_US 20000ull	      /* between two questions to one lender */
#define FORGET_US 10000000ull /* a peer not heard of is forgotten */
#define DEMAND_US 100000ull   /* width of a step of the demand average */
#define VALID_US 100000ull    /* tokens are spendable this long per tick */
#define HEADROOM_PERCENT 130  /* share wanted over the demand seen */

typedef struct loan {
	CK_LIST_ENTRY(loan) link;
	char peer[KL_SHARE_NAME];
	uint64_t share;
	uint64_t until_us;
	uint64_t sequence;
	uint64_t old_share; /* lender: what a lost grant may leave in use */
	uint64_t old_until_us;
	uint64_t asked_us;
	uint64_t touched_us; /* own clock, of the last message */
	uint64_t pending;    /* borrower: asked for and not answered yet */
} loan_t;

typedef CK_LIST_HEAD(, loan) loan_list_t;

struct kl_share {
	const kl_purse_ops_t *ops;
	void *purse;
	uint64_t rate;
	uint64_t burst;
	uint64_t owned;
	uint64_t owned_until_us;
	uint64_t now_us;
	uint64_t created_us;
	uint64_t minted_us;
	uint64_t remainder; /* of minting, below one token */
	uint64_t demand;    /* statements a second, smoothed */
	uint64_t came;
	uint64_t demand_us;
	uint64_t backlog;
	uint64_t sequence;
	loan_list_t lent;
	loan_list_t borrowed;
};

static loan_t *loan_of(loan_list_t *list, const char *peer, bool create,
		       uint64_t now_us);
static void expire(kl_share_t *share, uint64_t now_us);
static uint64_t lent_to(const loan_t *loan, uint64_t now_us);
static uint64_t lent_sum(const kl_share_t *share);
static uint64_t borrowed_sum(const kl_share_t *share);
static uint64_t pending_sum(const kl_share_t *share, uint64_t now_us);
static uint64_t owned_now(const kl_share_t *share);
static void prune(loan_list_t *list, uint64_t now_us);
static uint64_t needed(const kl_share_t *share);
static int64_t cap_of(const kl_share_t *share);
static void set_validity(kl_share_t *share);
static void free_loans(loan_list_t *list);

kl_share_t *kl_share_new(const kl_purse_ops_t *ops, void *purse,
			 uint64_t now_us)
{
	kl_share_t *share = calloc(1, sizeof(*share));

	if (!share)
		return NULL;
	share->ops = ops;
	share->purse = purse;
	share->now_us = now_us;
	share->created_us = now_us;
	share->minted_us = now_us;
	share->demand_us = now_us;
	/* A new process must not meet its predecessor's grants. */
	share->sequence = now_us;
	CK_LIST_INIT(&share->lent);
	CK_LIST_INIT(&share->borrowed);
	return share;
}

void kl_share_free(kl_share_t *share)
{
	if (!share)
		return;
	free_loans(&share->lent);
	free_loans(&share->borrowed);
	free(share);
}

void kl_share_limit(kl_share_t *share, uint64_t rate, uint64_t burst)
{
	share->rate = rate;
	share->burst = burst;
	share->ops->put(share->purse, 0, cap_of(share));
}

void kl_share_own(kl_share_t *share, uint64_t owned, uint64_t until_us)
{
	share->owned = owned;
	share->owned_until_us = until_us;
	share->ops->put(share->purse, 0, cap_of(share));
	set_validity(share);
}

void kl_share_tick(kl_share_t *share, uint64_t now_us)
{
	uint64_t elapsed, minted, held, lent = lent_sum(share);

	/*
	 * Only what was held all through the interval mints: a loan that ran
	 * out in it counts neither for its borrower nor for its lender.
	 */
	expire(share, now_us);
	share->now_us = now_us;
	held = owned_now(share);
	held = (held > lent ? held - lent : 0) + borrowed_sum(share);
	elapsed = now_us - share->minted_us;
	if (elapsed > LOAN_US)
		elapsed = LOAN_US;
	/* rate * 1000 tokens * share / whole * us / 1e6 */
	minted = share->rate * held / 1000 * elapsed + share->remainder;
	share->remainder = minted % 1000000;
	share->minted_us = now_us;
	share->ops->put(share->purse, (int64_t)(minted / 1000000),
			cap_of(share));
	set_validity(share);
}

void kl_share_demand(kl_share_t *share, uint64_t now_us, uint64_t came,
		     uint64_t backlog)
{
	uint64_t elapsed = now_us - share->demand_us;

	share->came += came;
	share->backlog = backlog;
	if (elapsed < DEMAND_US)
		return;
	uint64_t rate = share->came * 1000000 / elapsed;
	/* Rises at once, falls slowly: a lull should not give all away. */
	if (rate >= share->demand)
		share->demand = (share->demand + 3 * rate) / 4;
	else
		share->demand = (7 * share->demand + rate) / 8;
	share->came = 0;
	share->demand_us = now_us;
}

bool kl_share_wants(kl_share_t *share, const char *lender, uint64_t now_us,
		    kl_loan_ask_t *ask)
{
	uint64_t need = needed(share);
	uint64_t have = kl_share_effective(share);
	uint64_t coming = have + pending_sum(share, now_us);
	uint64_t missing = need > coming ? need - coming : 0;
	loan_t *loan = loan_of(&share->borrowed, lender, false, now_us);
	uint64_t held = loan ? loan->share : 0;
	bool ending = held && loan->until_us < now_us + RENEW_US;

	if (!missing && !(ending && need > owned_now(share)))
		return false;
	if (loan && now_us - loan->asked_us < ASK_US)
		return false;
	loan = loan_of(&share->borrowed, lender, true, now_us);
	if (!loan)
		return false;
	loan->asked_us = now_us;
	loan->touched_us = now_us;
	loan->pending = missing;
	ask->asked_us = now_us;
	ask->want = held + missing;
	ask->want_tokens = (int64_t)share->backlog * KL_TOKENS_ONE;
	return true;
}

bool kl_share_lend(kl_share_t *share, const char *borrower,
		   const kl_loan_ask_t *ask, uint64_t now_us,
		   kl_loan_grant_t *grant)
{
	uint64_t own, others, keep, spare, before;
	int64_t fair;
	loan_t *loan;

	if (now_us > share->now_us)
		kl_share_tick(share, now_us);
	loan = loan_of(&share->lent, borrower, true, now_us);
	if (!loan)
		return false;
	/* A doubled or overtaken question gets no second answer. */
	if (ask->asked_us <= loan->asked_us)
		return false;
	loan->asked_us = ask->asked_us;
	loan->touched_us = now_us;
	own = owned_now(share);
	before = lent_to(loan, now_us);
	others = lent_sum(share) - before;
	/* Own demand first, and a little for the first statement to come. */
	keep = needed(share);
	if (keep < own / 16)
		keep = own / 16;
	spare = own > others + keep ? own - others - keep : 0;
	grant->share = ask->want < spare ? ask->want : spare;
	/* What a lost grant may have left in use can't be lent to others. */
	loan->old_share = before;
	loan->old_until_us = loan->old_until_us > loan->until_us
				     ? loan->old_until_us
				     : loan->until_us;
	if (!before)
		loan->old_until_us = 0;
	loan->share = grant->share;
	loan->until_us = now_us + LENDER_US;
	loan->sequence = ++share->sequence;
	grant->sequence = loan->sequence;
	grant->asked_us = ask->asked_us;
	grant->duration_us = LOAN_US;
	grant->tokens = 0;
	if (grant->share > before) {
		uint64_t added = grant->share - before;

		/* Tokens move with the part that could hold them. */
		fair = (int64_t)(share->burst * KL_TOKENS_ONE / 1000 * added /
				 1000);
		if (fair > 0)
			grant->tokens = share->ops->take(share->purse, fair);
	}
	share->ops->put(share->purse, 0, cap_of(share));
	return true;
}

void kl_share_borrow(kl_share_t *share, const char *lender,
		     const kl_loan_grant_t *grant, uint64_t now_us)
{
	uint64_t until = grant->asked_us + grant->duration_us;
	loan_t *loan;

	if (now_us > share->now_us)
		kl_share_tick(share, now_us);
	/* An answer to a question of the future is not ours. */
	if (grant->asked_us > now_us || grant->asked_us < share->created_us ||
	    until <= now_us)
		return;
	loan = loan_of(&share->borrowed, lender, true, now_us);
	if (!loan || grant->sequence <= loan->sequence)
		return;
	loan->pending = 0;
	loan->touched_us = now_us;
	loan->sequence = grant->sequence;
	loan->share = grant->share;
	loan->until_us = until;
	share->ops->put(share->purse, grant->tokens, cap_of(share));
	set_validity(share);
}

uint64_t kl_share_effective(const kl_share_t *share)
{
	uint64_t own = owned_now(share);
	uint64_t lent = lent_sum(share);

	return (own > lent ? own - lent : 0) + borrowed_sum(share);
}

bool kl_share_idle(const kl_share_t *share, uint64_t now_us)
{
	(void)now_us;
	return !share->demand && !share->backlog &&
	       CK_LIST_EMPTY(&share->lent) && CK_LIST_EMPTY(&share->borrowed);
}

static loan_t *loan_of(loan_list_t *list, const char *peer, bool create,
		       uint64_t now_us)
{
	loan_t *loan;

	CK_LIST_FOREACH (loan, list, link) {
		if (!strcmp(loan->peer, peer))
			return loan;
	}
	if (!create || strlen(peer) >= KL_SHARE_NAME)
		return NULL;
	loan = calloc(1, sizeof(*loan));
	if (!loan)
		return NULL;
	strcpy(loan->peer, peer);
	loan->touched_us = now_us;
	CK_LIST_INSERT_HEAD(list, loan, link);
	return loan;
}

static void expire(kl_share_t *share, uint64_t now_us)
{
	loan_t *loan;

	/*
	 * Entries stay a while for their sequence and question numbers,
	 * without which a doubled message would count twice.
	 */
	CK_LIST_FOREACH (loan, &share->borrowed, link) {
		if (loan->until_us <= now_us)
			loan->share = 0;
	}
	CK_LIST_FOREACH (loan, &share->lent, link) {
		if (loan->until_us <= now_us)
			loan->share = 0;
		if (loan->old_until_us <= now_us)
			loan->old_share = 0;
	}
	prune(&share->borrowed, now_us);
	prune(&share->lent, now_us);
}

static void prune(loan_list_t *list, uint64_t now_us)
{
	loan_t *loan, *next;

	CK_LIST_FOREACH_SAFE (loan, list, link, next) {
		if (loan->touched_us + FORGET_US > now_us)
			continue;
		CK_LIST_REMOVE(loan, link);
		free(loan);
	}
}

static uint64_t lent_to(const loan_t *loan, uint64_t now_us)
{
	uint64_t now = loan->until_us > now_us ? loan->share : 0;
	uint64_t old = loan->old_until_us > now_us ? loan->old_share : 0;

	return now > old ? now : old;
}

static uint64_t lent_sum(const kl_share_t *share)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH (loan, &share->lent, link)
		sum += lent_to(loan, share->now_us);
	return sum;
}

static uint64_t borrowed_sum(const kl_share_t *share)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH (loan, &share->borrowed, link) {
		if (loan->until_us > share->now_us)
			sum += loan->share;
	}
	return sum;
}

static uint64_t pending_sum(const kl_share_t *share, uint64_t now_us)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH (loan, &share->borrowed, link) {
		if (now_us - loan->asked_us < ASK_US)
			sum += loan->pending;
	}
	return sum;
}

static uint64_t owned_now(const kl_share_t *share)
{
	return share->now_us < share->owned_until_us ? share->owned : 0;
}

static uint64_t needed(const kl_share_t *share)
{
	uint64_t steady, sudden, least, need;

	if (!share->demand && !share->backlog)
		return 0;
	if (!share->rate || !share->burst)
		return 0;
	steady = share->demand * KL_SHARE_WHOLE / share->rate *
		 HEADROOM_PERCENT / 100;
	sudden = share->backlog * KL_SHARE_WHOLE / share->burst;
	/* A part too small to hold a statement's tokens admits nothing. */
	least = (KL_SHARE_WHOLE + share->burst - 1) / share->burst * 2;
	need = steady > sudden ? steady : sudden;
	need = need > least ? need : least;
	return need < KL_SHARE_WHOLE ? need : KL_SHARE_WHOLE;
}

static int64_t cap_of(const kl_share_t *share)
{
	return (int64_t)(share->burst * (KL_TOKENS_ONE / 10) *
			 kl_share_effective(share) / (KL_SHARE_WHOLE / 10));
}

static void set_validity(kl_share_t *share)
{
	uint64_t until = share->now_us + VALID_US;
	const loan_t *loan;

	if (share->owned && share->owned_until_us < until)
		until = share->owned_until_us;
	CK_LIST_FOREACH (loan, &share->borrowed, link) {
		if (loan->share && loan->until_us > share->now_us &&
		    loan->until_us < until)
			until = loan->until_us;
	}
	share->ops->valid_until(share->purse, until);
}

static void free_loans(loan_list_t *list)
{
	loan_t *loan, *next;

	CK_LIST_FOREACH_SAFE (loan, list, link, next)
		free(loan);
}
