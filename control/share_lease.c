#include <stdlib.h>
#include <string.h>

#include "control/share_internal.h"

#define LOAN_US 300000ull     /* tokens lent are void so long after the ask */
#define LENDER_US 330000ull   /* the lender's longer view, for drift */
#define EARLY_US 30000ull     /* given up so long before, between two ticks */
#define MINT_US 1000000ull    /* the longest time that is minted for at once */
#define ANSWER_US 12000ull    /* an answer is waited for */
#define ASK_US 10000ull	      /* first pause after a lender had nothing */
#define PAUSE_US 100000ull    /* the longest one */
#define FORGET_US 10000000ull /* a lender not asked so long is forgotten */
#define VALID_US 100000ull    /* tokens are spendable this long per tick */

static peer_t *peer_of(kl_share_t *share, const char *name, bool create);
static void expire(kl_share_t *share);
static void free_peer(peer_t *peer);
static bool add_batch(loan_list_t *list, uint64_t sequence, int64_t tokens,
		      uint64_t until_us);
static int64_t drop_void(loan_list_t *list, uint64_t now_us);
static int64_t drop_spent(loan_list_t *list, uint64_t upto, int64_t spent);
static int64_t sum_of(const loan_list_t *list, uint64_t upto);
static void settle_spent(kl_share_t *share);
static int64_t pending_sum(const kl_share_t *share, uint64_t now_us);
static int64_t whole(int64_t tokens);
static int64_t own_cap(const kl_share_t *share);
static int64_t cap_of(const kl_share_t *share);
static void set_validity(kl_share_t *share);

kl_share_t *kl_share_new(const kl_bucket_ops_t *ops, void *purse,
			 uint64_t now_us)
{
	kl_share_t *share = calloc(1, sizeof(*share));

	if (!share)
		return NULL;
	share->ops = ops;
	share->purse = purse;
	share->now_us = now_us;
	share->created_us = now_us;
	share->refilled_us = now_us;
	share->window_start_us = now_us;
	/* A new process must not meet its predecessor's grants. */
	share->grant_sequence = now_us;
	CK_LIST_INIT(&share->peers);
	return share;
}

void kl_share_free(kl_share_t *share)
{
	peer_t *peer, *next;

	if (!share)
		return;
	CK_LIST_FOREACH_SAFE(peer, &share->peers, link, next)
		free_peer(peer);
	free(share);
}

void kl_share_set_limit(kl_share_t *share, uint64_t rate, uint64_t burst)
{
	share->rate = rate;
	share->burst = burst;
	share->ops->add(share->purse, 0, cap_of(share));
}

void kl_share_set_owned(kl_share_t *share, uint64_t owned, uint64_t until_us)
{
	if (share->owned == owned && share->owned_until_us == until_us)
		return;
	share->owned = owned;
	share->owned_until_us = until_us;
	share->ops->add(share->purse, 0, cap_of(share));
	set_validity(share);
}

void kl_share_credit_downtime(kl_share_t *share, uint64_t part,
			      uint64_t down_us)
{
	/* rate * 1000 tokens * part / whole * us / 1e6 */
	uint64_t tokens = share->rate * part / 1000 * down_us / 1000000;

	share->ops->add(share->purse, (int64_t)tokens, cap_of(share));
}

void kl_share_tick(kl_share_t *share, uint64_t now_us)
{
	uint64_t elapsed, minted;

	if (now_us < share->now_us)
		return;
	share->now_us = now_us;
	expire(share);
	elapsed = now_us - share->refilled_us;
	if (elapsed > MINT_US)
		elapsed = MINT_US;
	/* rate * 1000 tokens * share / whole * us / 1e6 */
	minted = share->rate * kl_share_usable(share) / 1000 * elapsed +
		 share->refill_remainder;
	share->refill_remainder = minted % 1000000;
	share->refilled_us = now_us;
	share->ops->add(share->purse, (int64_t)(minted / 1000000),
			cap_of(share));
	set_validity(share);
}

bool kl_share_is_short(const kl_share_t *share, uint64_t now_us)
{
	int64_t waiting = (int64_t)share->backlog * KL_TOKENS_PER_STATEMENT;
	int64_t need = kl_share_tokens_needed(share);
	int64_t has;

	if (!need || !share->rate)
		return false;
	has = share->ops->available(share->purse) + pending_sum(share, now_us);
	/* What is fetched ahead comes in few messages. */
	return has < waiting || has < need * 9 / 10;
}

bool kl_share_request_loan(kl_share_t *share, const char *name, uint64_t now_us,
			   kl_loan_request_t *ask)
{
	int64_t lacking;
	peer_t *lender;

	if (!kl_share_is_short(share, now_us))
		return false;
	lacking = kl_share_tokens_needed(share) -
		  share->ops->available(share->purse) -
		  pending_sum(share, now_us);
	lender = peer_of(share, name, true);
	if (!lender || now_us - lender->request_sent_us < lender->backoff_us)
		return false;
	settle_spent(share);
	/* Until it gives some it counts as one that has none. */
	lender->backoff_us = 2 * lender->backoff_us + ASK_US;
	if (lender->backoff_us > PAUSE_US)
		lender->backoff_us = PAUSE_US;
	lender->request_sent_us = now_us;
	lender->last_used_us = now_us;
	lender->requested = whole(lacking + KL_TOKENS_PER_STATEMENT - 1);
	ask->sent_us = now_us;
	ask->wanted = lender->requested;
	ask->seen_sequence = lender->grant_sequence;
	ask->unspent = sum_of(&lender->borrowed, UINT64_MAX);
	return true;
}

bool kl_share_lend(kl_share_t *share, const char *name,
		   const kl_loan_request_t *ask, uint64_t now_us,
		   kl_loan_grant_t *grant)
{
	peer_t *borrower = peer_of(share, name, true);
	int64_t spare, out;

	if (!borrower || ask->wanted <= 0 || ask->unspent < 0)
		return false;
	borrower->last_used_us = now_us;
	out = sum_of(&borrower->lent, ask->seen_sequence);
	if (out > ask->unspent)
		share->lent_tokens -=
			drop_spent(&borrower->lent, ask->seen_sequence,
				   out - ask->unspent);
	kl_share_tick(share, now_us);
	/* Own demand first; and what is borrowed is not lent on. */
	spare = whole(share->ops->available(share->purse) -
		      kl_share_tokens_needed(share));
	if (spare > ask->wanted)
		spare = ask->wanted;
	if (spare < 0 || !kl_share_usable(share) || share->borrowed_tokens)
		spare = 0;
	grant->tokens = 0;
	grant->sequence = ++share->grant_sequence;
	grant->request_sent_us = ask->sent_us;
	grant->valid_for_us = LOAN_US;
	if (spare && add_batch(&borrower->lent, grant->sequence, spare,
			       now_us + LENDER_US)) {
		share->lent_tokens += spare;
		grant->tokens = share->ops->take(share->purse, spare);
	}
	share->ops->add(share->purse, 0, cap_of(share));
	return true;
}

void kl_share_accept_grant(kl_share_t *share, const char *name,
			   const kl_loan_grant_t *grant, uint64_t now_us)
{
	uint64_t until = grant->request_sent_us + grant->valid_for_us;
	peer_t *lender;

	kl_share_tick(share, now_us);
	lender = peer_of(share, name, false);
	/* An answer to a question of the future is not ours. */
	if (!lender || grant->request_sent_us > now_us ||
	    grant->request_sent_us < share->created_us ||
	    grant->sequence <= lender->grant_sequence)
		return;
	lender->grant_sequence = grant->sequence;
	/* One that gave less than it was asked for has no more now. */
	if (grant->tokens >= lender->requested)
		lender->backoff_us = 0;
	else if (grant->tokens > 0)
		lender->backoff_us = ASK_US;
	lender->requested = 0;
	if (grant->tokens <= 0 || until <= now_us + EARLY_US ||
	    !add_batch(&lender->borrowed, grant->sequence, grant->tokens,
		       until))
		return;
	share->borrowed_tokens += grant->tokens;
	share->ops->add(share->purse, grant->tokens, cap_of(share));
	set_validity(share);
}

uint64_t kl_share_usable(const kl_share_t *share)
{
	return share->now_us < share->owned_until_us ? share->owned : 0;
}

static peer_t *peer_of(kl_share_t *share, const char *name, bool create)
{
	peer_t *peer;

	CK_LIST_FOREACH(peer, &share->peers, link) {
		if (!strcmp(peer->name, name))
			return peer;
	}
	if (!create || strlen(name) >= KL_SHARE_NAME_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	strcpy(peer->name, name);
	peer->last_used_us = share->now_us;
	CK_STAILQ_INIT(&peer->lent);
	CK_STAILQ_INIT(&peer->borrowed);
	CK_LIST_INSERT_HEAD(&share->peers, peer, link);
	return peer;
}

/*
 * Loans run out.  Peers stay a while for their numbers, without which a doubled
 * message would count twice.
 */
static void expire(kl_share_t *share)
{
	peer_t *peer, *next;

	CK_LIST_FOREACH_SAFE(peer, &share->peers, link, next) {
		share->lent_tokens -= drop_void(&peer->lent, share->now_us);
		share->borrowed_tokens -=
			drop_void(&peer->borrowed, share->now_us + EARLY_US);
		if (share->now_us - peer->last_used_us < FORGET_US)
			continue;
		CK_LIST_REMOVE(peer, link);
		free_peer(peer);
	}
}

static void free_peer(peer_t *peer)
{
	drop_void(&peer->lent, UINT64_MAX);
	drop_void(&peer->borrowed, UINT64_MAX);
	free(peer);
}

static bool add_batch(loan_list_t *list, uint64_t sequence, int64_t tokens,
		      uint64_t until_us)
{
	loan_t *batch = calloc(1, sizeof(*batch));

	if (!batch)
		return false;
	batch->sequence = sequence;
	batch->tokens = tokens;
	batch->expires_us = until_us;
	CK_STAILQ_INSERT_TAIL(list, batch, link);
	return true;
}

/* Those of one lender come in the order of its questions, and so of their
 * ends. */
static int64_t drop_void(loan_list_t *list, uint64_t now_us)
{
	loan_t *batch;
	int64_t sum = 0;

	while ((batch = CK_STAILQ_FIRST(list)) && batch->expires_us <= now_us) {
		sum += batch->tokens;
		CK_STAILQ_REMOVE_HEAD(list, link);
		free(batch);
	}
	return sum;
}

/* Up to that grant, the oldest first. @return tokens no longer counted */
static int64_t drop_spent(loan_list_t *list, uint64_t upto, int64_t spent)
{
	int64_t left = spent;
	loan_t *batch;

	while (left > 0 && (batch = CK_STAILQ_FIRST(list)) &&
	       batch->sequence <= upto) {
		if (batch->tokens > left) {
			batch->tokens -= left;
			return spent;
		}
		left -= batch->tokens;
		CK_STAILQ_REMOVE_HEAD(list, link);
		free(batch);
	}
	return spent - left;
}

static int64_t sum_of(const loan_list_t *list, uint64_t upto)
{
	const loan_t *batch;
	int64_t sum = 0;

	CK_STAILQ_FOREACH(batch, list, link) {
		if (batch->sequence <= upto)
			sum += batch->tokens;
	}
	return sum;
}

/*
 * What the purse holds less than its own part and the loans would let it was
 * spent; the cap is cut before the lenders hear of it.
 */
static void settle_spent(kl_share_t *share)
{
	int64_t spent = cap_of(share) - share->ops->available(share->purse);
	peer_t *peer;

	spent = spent < share->borrowed_tokens ? spent : share->borrowed_tokens;
	CK_LIST_FOREACH(peer, &share->peers, link) {
		int64_t dropped;

		if (spent <= 0)
			break;
		dropped = drop_spent(&peer->borrowed, UINT64_MAX, spent);
		spent -= dropped;
		share->borrowed_tokens -= dropped;
	}
	share->ops->add(share->purse, 0, cap_of(share));
}

static int64_t pending_sum(const kl_share_t *share, uint64_t now_us)
{
	const peer_t *peer;
	int64_t sum = 0;

	CK_LIST_FOREACH(peer, &share->peers, link) {
		if (now_us - peer->request_sent_us < ANSWER_US)
			sum += peer->requested;
	}
	return sum;
}

/* Tokens of whole statements. */
static int64_t whole(int64_t tokens)
{
	return tokens - tokens % KL_TOKENS_PER_STATEMENT;
}

static int64_t own_cap(const kl_share_t *share)
{
	int64_t part =
		(int64_t)(share->burst * kl_share_usable(share) /
			  (KL_SHARE_WHOLE_PPM / KL_TOKENS_PER_STATEMENT));

	return part > share->lent_tokens ? part - share->lent_tokens : 0;
}

static int64_t cap_of(const kl_share_t *share)
{
	return own_cap(share) + share->borrowed_tokens;
}

static void set_validity(kl_share_t *share)
{
	uint64_t until = share->now_us + VALID_US;
	const peer_t *peer;

	if (share->owned && share->owned_until_us < until)
		until = share->owned_until_us;
	CK_LIST_FOREACH(peer, &share->peers, link) {
		const loan_t *batch = CK_STAILQ_FIRST(&peer->borrowed);

		if (batch && batch->expires_us < until)
			until = batch->expires_us;
	}
	share->ops->set_valid_until(share->purse, until);
}
