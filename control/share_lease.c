#include <stdlib.h>
#include <string.h>

#include "control/share_internal.h"

#define LOAN_US 600000ull     /* life of a loan, from the question */
#define LENDER_US 660000ull   /* the lender's longer view, for drift */
#define RENEW_US 300000ull    /* a loan this close to its end is renewed */
#define MINT_US 1000000ull    /* the longest time that is minted for at once */
#define ASK_US 20000ull	      /* between two questions to one lender */
#define PAUSE_US 300000ull    /* the longest one between two questions */
#define FORGET_US 10000000ull /* a peer not heard of is forgotten */
#define VALID_US 100000ull    /* tokens are spendable this long per tick */

static loan_t *loan_of(loan_list_t *list, const char *peer, bool create,
		       uint64_t now_us);
static void expire(kl_share_t *share, uint64_t now_us);
static uint64_t lent_to(const loan_t *loan, uint64_t now_us);
static void drop_grants(loan_t *loan, uint64_t held, uint64_t now_us);
static uint64_t lent_sum(const kl_share_t *share);
static uint64_t borrowed_sum(const kl_share_t *share);
static uint64_t pending_sum(const kl_share_t *share, uint64_t now_us);
static uint64_t owned_now(const kl_share_t *share);
static void prune(loan_list_t *list, uint64_t now_us);
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

void kl_share_credit(kl_share_t *share, uint64_t part, uint64_t down_us)
{
	/* rate * 1000 tokens * part / whole * us / 1e6 */
	uint64_t tokens = share->rate * part / 1000 * down_us / 1000000;

	share->ops->put(share->purse, (int64_t)tokens, cap_of(share));
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
	if (elapsed > MINT_US)
		elapsed = MINT_US;
	/* rate * 1000 tokens * share / whole * us / 1e6 */
	minted = share->rate * held / 1000 * elapsed + share->remainder;
	share->remainder = minted % 1000000;
	share->minted_us = now_us;
	share->ops->put(share->purse, (int64_t)(minted / 1000000),
			cap_of(share));
	set_validity(share);
}

bool kl_share_wants(kl_share_t *share, const char *lender, uint64_t now_us,
		    kl_loan_ask_t *ask)
{
	loan_t *loan = loan_of(&share->borrowed, lender, false, now_us);
	uint64_t held = loan ? loan->share : 0;
	uint64_t need = kl_share_needed(share);
	uint64_t elsewhere =
		kl_share_effective(share) - held + pending_sum(share, now_us);
	uint64_t want = need > elsewhere ? need - elsewhere : 0;
	bool ending = want && held && loan->until_us < now_us + RENEW_US;
	bool surplus = want < held / 2;
	bool owed = loan && loan->owes_receipt;
	uint64_t pause = ASK_US;

	/*
	 * More than is held; or the same once more before it ends; or less,
	 * so that others get it sooner, and then a receipt for the less.
	 */
	if (want <= held && !ending && !surplus && !owed)
		return false;
	/*
	 * One that had no more to lend is asked less and less often, where few
	 * statements wait for the answer.
	 */
	if (loan && kl_share_sparse(share) && want > held && !ending && !owed &&
	    loan->pause_us > pause)
		pause = loan->pause_us;
	if (loan && now_us - loan->asked_us < pause)
		return false;
	loan = loan_of(&share->borrowed, lender, true, now_us);
	if (!loan)
		return false;
	loan->asked_us = now_us;
	loan->touched_us = now_us;
	loan->pending = want > held ? want - held : 0;
	loan->owes_receipt = false;
	ask->asked_us = now_us;
	ask->held = loan->sequence;
	ask->want = want;
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
	drop_grants(loan, ask->held, now_us);
	if (loan->grant_count == GRANTS)
		return false;
	own = owned_now(share);
	before = lent_to(loan, now_us);
	others = lent_sum(share) - before;
	/* Own demand first, and a little for the first statement to come. */
	keep = kl_share_needed(share);
	if (keep < own / 16)
		keep = own / 16;
	spare = own > others + keep ? own - others - keep : 0;
	grant->share = ask->want < spare ? ask->want : spare;
	grant->sequence = ++share->sequence;
	grant->asked_us = ask->asked_us;
	grant->duration_us = LOAN_US;
	grant->tokens = 0;
	loan->grants[loan->grant_count].sequence = grant->sequence;
	loan->grants[loan->grant_count].share = grant->share;
	loan->grants[loan->grant_count++].until_us = now_us + LENDER_US;
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
	if (grant->share > loan->share)
		loan->pause_us = ASK_US;
	else if (loan->pause_us < PAUSE_US)
		loan->pause_us = 2 * loan->pause_us + ASK_US;
	loan->pending = 0;
	loan->touched_us = now_us;
	loan->owes_receipt = grant->share < loan->share;
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

static loan_t *loan_of(loan_list_t *list, const char *peer, bool create,
		       uint64_t now_us)
{
	loan_t *loan;

	CK_LIST_FOREACH(loan, list, link) {
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
	CK_LIST_FOREACH(loan, &share->borrowed, link) {
		if (loan->until_us <= now_us)
			loan->share = 0;
	}
	CK_LIST_FOREACH(loan, &share->lent, link)
		drop_grants(loan, 0, now_us);
	prune(&share->borrowed, now_us);
	prune(&share->lent, now_us);
}

static void prune(loan_list_t *list, uint64_t now_us)
{
	loan_t *loan, *next;

	CK_LIST_FOREACH_SAFE(loan, list, link, next) {
		if (loan->touched_us + FORGET_US > now_us)
			continue;
		CK_LIST_REMOVE(loan, link);
		free(loan);
	}
}

/* The most that the borrower may be using: any of them may have come last. */
static uint64_t lent_to(const loan_t *loan, uint64_t now_us)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < loan->grant_count; i++) {
		const grant_t *grant = &loan->grants[i];

		if (grant->until_us > now_us && grant->share > most)
			most = grant->share;
	}
	return most;
}

/* Drops what ran out, and what the borrower has replaced by a later one. */
static void drop_grants(loan_t *loan, uint64_t held, uint64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < loan->grant_count; i++) {
		const grant_t grant = loan->grants[i];

		if (grant.until_us > now_us && grant.sequence >= held)
			loan->grants[kept++] = grant;
	}
	loan->grant_count = kept;
}

static uint64_t lent_sum(const kl_share_t *share)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH(loan, &share->lent, link)
		sum += lent_to(loan, share->now_us);
	return sum;
}

static uint64_t borrowed_sum(const kl_share_t *share)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH(loan, &share->borrowed, link) {
		if (loan->until_us > share->now_us)
			sum += loan->share;
	}
	return sum;
}

static uint64_t pending_sum(const kl_share_t *share, uint64_t now_us)
{
	uint64_t sum = 0;
	const loan_t *loan;

	CK_LIST_FOREACH(loan, &share->borrowed, link) {
		if (now_us - loan->asked_us < ASK_US)
			sum += loan->pending;
	}
	return sum;
}

static uint64_t owned_now(const kl_share_t *share)
{
	return share->now_us < share->owned_until_us ? share->owned : 0;
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
	CK_LIST_FOREACH(loan, &share->borrowed, link) {
		if (loan->share && loan->until_us > share->now_us &&
		    loan->until_us < until)
			until = loan->until_us;
	}
	share->ops->valid_until(share->purse, until);
}

static void free_loans(loan_list_t *list)
{
	loan_t *loan, *next;

	CK_LIST_FOREACH_SAFE(loan, list, link, next)
		free(loan);
}
