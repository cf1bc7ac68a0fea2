/*
 * Rate limit shared by many nodes: refills this node's token bucket, lends its
 * tokens and borrows those of other nodes for a limited time.
 */
#include <stdlib.h>
#include <string.h>

#include "control/share_internal.h"

/* The borrower counts a loan's duration from the time of its request. */
#define LOAN_DURATION_US 300000ull
/* The lender counts a tenth more, for clocks that run at unequal speeds. */
#define LENDER_DURATION_US 330000ull
/* The borrower stops using a loan this early, since it looks only at ticks. */
#define EXPIRY_MARGIN_US 30000ull
#define MAX_REFILL_US 1000000ull   /* longest time that one tick refills */
#define ANSWER_TIMEOUT_US 12000ull /* of a loan request */
#define MIN_BACKOFF_US 10000ull	   /* after a grant of too few tokens */
#define MAX_BACKOFF_US 100000ull   /* the backoff doubles up to this */
#define PEER_FORGET_US 10000000ull /* after the last request to or from it */
#define VALIDITY_US 100000ull /* tokens may be spent this long after a tick */

static peer_t *find_peer(kl_share_t *share, const char *name, bool create);
static void expire_loans(kl_share_t *share);
static void free_peer(peer_t *peer);
static bool add_loan(loan_list_t *list, uint64_t sequence, int64_t tokens,
		     uint64_t until_us);
static int64_t drop_expired_loans(loan_list_t *list, uint64_t now_us);
static int64_t drop_spent_tokens(loan_list_t *list, uint64_t max_sequence,
				 int64_t spent);
static int64_t sum_tokens(const loan_list_t *list, uint64_t max_sequence);
static void drop_spent_loans(kl_share_t *share);
static int64_t sum_requested(const kl_share_t *share, uint64_t now_us);
static int64_t whole_statements(int64_t tokens);
static int64_t own_cap(const kl_share_t *share);
static int64_t token_cap(const kl_share_t *share);
static void set_validity(kl_share_t *share);

kl_share_t *kl_share_new(const kl_bucket_ops_t *ops, void *bucket,
			 uint64_t now_us)
{
	kl_share_t *share = calloc(1, sizeof(*share));

	if (!share)
		return NULL;
	share->ops = ops;
	share->bucket = bucket;
	share->now_us = now_us;
	share->created_us = now_us;
	share->refilled_us = now_us;
	share->window_start_us = now_us;
	/*
	 * Starts above the sequences of an earlier process of this node, so
	 * that borrowers accept the new grants.
	 */
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
	share->ops->add(share->bucket, 0, token_cap(share));
}

void kl_share_set_owned(kl_share_t *share, uint64_t owned, uint64_t until_us)
{
	if (share->owned_ppm == owned && share->owned_until_us == until_us)
		return;
	share->owned_ppm = owned;
	share->owned_until_us = until_us;
	share->ops->add(share->bucket, 0, token_cap(share));
	set_validity(share);
}

void kl_share_credit_downtime(kl_share_t *share, uint64_t part,
			      uint64_t down_us)
{
	/* rate * KL_TOKENS_PER_STATEMENT * part / KL_SHARE_WHOLE_PPM * us / 1e6
	 */
	uint64_t tokens = share->rate * part / 1000 * down_us / 1000000;

	share->ops->add(share->bucket, (int64_t)tokens, token_cap(share));
}

void kl_share_credit_burst(kl_share_t *share, uint64_t part)
{
	uint64_t tokens = share->burst * part /
			  (KL_SHARE_WHOLE_PPM / KL_TOKENS_PER_STATEMENT);

	share->ops->add(share->bucket, (int64_t)tokens, token_cap(share));
}

void kl_share_tick(kl_share_t *share, uint64_t now_us)
{
	uint64_t elapsed, refill;

	if (now_us < share->now_us)
		return;
	share->now_us = now_us;
	expire_loans(share);
	elapsed = now_us - share->refilled_us;
	if (elapsed > MAX_REFILL_US)
		elapsed = MAX_REFILL_US;
	/* rate * KL_TOKENS_PER_STATEMENT * part / KL_SHARE_WHOLE_PPM * us / 1e6
	 */
	refill = share->rate * kl_share_usable_ppm(share) / 1000 * elapsed +
		 share->refill_remainder;
	share->refill_remainder = refill % 1000000;
	share->refilled_us = now_us;
	share->ops->add(share->bucket, (int64_t)(refill / 1000000),
			token_cap(share));
	set_validity(share);
}

bool kl_share_is_short(const kl_share_t *share, uint64_t now_us)
{
	int64_t waiting = (int64_t)share->backlog * KL_TOKENS_PER_STATEMENT;
	int64_t needed = kl_share_tokens_needed(share);
	int64_t available;

	if (!needed || !share->rate)
		return false;
	available = share->ops->available(share->bucket) +
		    sum_requested(share, now_us);
	/*
	 * Tokens for waiting statements are borrowed at once; those for
	 * statements to come only when a tenth is missing, to save messages.
	 */
	return available < waiting || available < needed * 9 / 10;
}

bool kl_share_request_loan(kl_share_t *share, const char *name, uint64_t now_us,
			   kl_loan_request_t *request)
{
	int64_t shortfall;
	peer_t *lender;

	if (!kl_share_is_short(share, now_us))
		return false;
	shortfall = kl_share_tokens_needed(share) -
		    share->ops->available(share->bucket) -
		    sum_requested(share, now_us);
	lender = find_peer(share, name, true);
	if (!lender || now_us - lender->request_sent_us < lender->backoff_us)
		return false;
	drop_spent_loans(share);
	/* Grows until a grant resets it: a lost answer counts as a refusal. */
	lender->backoff_us = 2 * lender->backoff_us + MIN_BACKOFF_US;
	if (lender->backoff_us > MAX_BACKOFF_US)
		lender->backoff_us = MAX_BACKOFF_US;
	lender->request_sent_us = now_us;
	lender->last_used_us = now_us;
	lender->requested_tokens =
		whole_statements(shortfall + KL_TOKENS_PER_STATEMENT - 1);
	request->sent_us = now_us;
	request->wanted = lender->requested_tokens;
	request->seen_sequence = lender->grant_sequence;
	request->unspent = sum_tokens(&lender->borrowed, UINT64_MAX);
	return true;
}

bool kl_share_lend(kl_share_t *share, const char *name,
		   const kl_loan_request_t *request, uint64_t now_us,
		   kl_loan_grant_t *grant)
{
	peer_t *borrower = find_peer(share, name, true);
	int64_t spare, outstanding;

	if (!borrower || request->wanted <= 0 || request->unspent < 0)
		return false;
	borrower->last_used_us = now_us;
	outstanding = sum_tokens(&borrower->lent, request->seen_sequence);
	if (outstanding > request->unspent)
		share->lent_tokens -= drop_spent_tokens(
			&borrower->lent, request->seen_sequence,
			outstanding - request->unspent);
	kl_share_tick(share, now_us);
	/* This node's own demand comes first; borrowed tokens aren't lent. */
	spare = whole_statements(share->ops->available(share->bucket) -
				 kl_share_tokens_needed(share));
	if (spare > request->wanted)
		spare = request->wanted;
	if (spare < 0 || !kl_share_usable_ppm(share) || share->borrowed_tokens)
		spare = 0;
	grant->tokens = 0;
	grant->sequence = ++share->grant_sequence;
	grant->request_sent_us = request->sent_us;
	grant->valid_for_us = LOAN_DURATION_US;
	if (spare && add_loan(&borrower->lent, grant->sequence, spare,
			      now_us + LENDER_DURATION_US)) {
		share->lent_tokens += spare;
		grant->tokens = share->ops->take(share->bucket, spare);
	}
	share->ops->add(share->bucket, 0, token_cap(share));
	return true;
}

void kl_share_accept_grant(kl_share_t *share, const char *name,
			   const kl_loan_grant_t *grant, uint64_t now_us)
{
	uint64_t expires_us = grant->request_sent_us + grant->valid_for_us;
	peer_t *lender;

	kl_share_tick(share, now_us);
	lender = find_peer(share, name, false);
	/*
	 * Ignores a grant whose request this process did not send, and one
	 * that was received already.
	 */
	if (!lender || grant->request_sent_us > now_us ||
	    grant->request_sent_us < share->created_us ||
	    grant->sequence <= lender->grant_sequence)
		return;
	lender->grant_sequence = grant->sequence;
	/* A lender that granted less than was requested has no more now. */
	if (grant->tokens >= lender->requested_tokens)
		lender->backoff_us = 0;
	else if (grant->tokens > 0)
		lender->backoff_us = MIN_BACKOFF_US;
	lender->requested_tokens = 0;
	if (grant->tokens <= 0 || expires_us <= now_us + EXPIRY_MARGIN_US ||
	    !add_loan(&lender->borrowed, grant->sequence, grant->tokens,
		      expires_us))
		return;
	share->borrowed_tokens += grant->tokens;
	share->ops->add(share->bucket, grant->tokens, token_cap(share));
	set_validity(share);
}

uint64_t kl_share_usable_ppm(const kl_share_t *share)
{
	return share->now_us < share->owned_until_us ? share->owned_ppm : 0;
}

static peer_t *find_peer(kl_share_t *share, const char *name, bool create)
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
 * Drops expired loans, and peers that have been unused for PEER_FORGET_US.
 * Peers are kept that long for their grant sequence, without which a duplicated
 * grant would count twice.
 */
static void expire_loans(kl_share_t *share)
{
	peer_t *peer, *next;

	CK_LIST_FOREACH_SAFE(peer, &share->peers, link, next) {
		share->lent_tokens -=
			drop_expired_loans(&peer->lent, share->now_us);
		share->borrowed_tokens -= drop_expired_loans(
			&peer->borrowed, share->now_us + EXPIRY_MARGIN_US);
		if (share->now_us - peer->last_used_us < PEER_FORGET_US)
			continue;
		CK_LIST_REMOVE(peer, link);
		free_peer(peer);
	}
}

static void free_peer(peer_t *peer)
{
	drop_expired_loans(&peer->lent, UINT64_MAX);
	drop_expired_loans(&peer->borrowed, UINT64_MAX);
	free(peer);
}

static bool add_loan(loan_list_t *list, uint64_t sequence, int64_t tokens,
		     uint64_t until_us)
{
	loan_t *loan = calloc(1, sizeof(*loan));

	if (!loan)
		return false;
	loan->sequence = sequence;
	loan->tokens = tokens;
	loan->expires_us = until_us;
	CK_STAILQ_INSERT_TAIL(list, loan, link);
	return true;
}

/*
 * Drops the loans that expired by now_us.  The list is in the order of expiry,
 * since that is the order of the requests.  @return tokens dropped
 */
static int64_t drop_expired_loans(loan_list_t *list, uint64_t now_us)
{
	loan_t *loan;
	int64_t sum = 0;

	while ((loan = CK_STAILQ_FIRST(list)) && loan->expires_us <= now_us) {
		sum += loan->tokens;
		CK_STAILQ_REMOVE_HEAD(list, link);
		free(loan);
	}
	return sum;
}

/*
 * Takes spent tokens off the loans up to max_sequence, the oldest first.
 * @return tokens taken off
 */
static int64_t drop_spent_tokens(loan_list_t *list, uint64_t max_sequence,
				 int64_t spent)
{
	int64_t remaining = spent;
	loan_t *loan;

	while (remaining > 0 && (loan = CK_STAILQ_FIRST(list)) &&
	       loan->sequence <= max_sequence) {
		if (loan->tokens > remaining) {
			loan->tokens -= remaining;
			return spent;
		}
		remaining -= loan->tokens;
		CK_STAILQ_REMOVE_HEAD(list, link);
		free(loan);
	}
	return spent - remaining;
}

/* Tokens of the loans up to max_sequence. */
static int64_t sum_tokens(const loan_list_t *list, uint64_t max_sequence)
{
	const loan_t *loan;
	int64_t sum = 0;

	CK_STAILQ_FOREACH(loan, list, link) {
		if (loan->sequence <= max_sequence)
			sum += loan->tokens;
	}
	return sum;
}

/*
 * Takes the tokens that were spent off the borrowed loans: those by which the
 * bucket is below its cap.  The bucket is cut to the lower cap here, before the
 * next loan request reports the spending to a lender.
 */
static void drop_spent_loans(kl_share_t *share)
{
	int64_t spent = token_cap(share) - share->ops->available(share->bucket);
	peer_t *peer;

	spent = spent < share->borrowed_tokens ? spent : share->borrowed_tokens;
	CK_LIST_FOREACH(peer, &share->peers, link) {
		int64_t dropped;

		if (spent <= 0)
			break;
		dropped = drop_spent_tokens(&peer->borrowed, UINT64_MAX, spent);
		spent -= dropped;
		share->borrowed_tokens -= dropped;
	}
	share->ops->add(share->bucket, 0, token_cap(share));
}

/* Tokens of the loan requests that may still be answered. */
static int64_t sum_requested(const kl_share_t *share, uint64_t now_us)
{
	const peer_t *peer;
	int64_t sum = 0;

	CK_LIST_FOREACH(peer, &share->peers, link) {
		if (now_us - peer->request_sent_us < ANSWER_TIMEOUT_US)
			sum += peer->requested_tokens;
	}
	return sum;
}

/* Rounds down to the tokens of whole statements. */
static int64_t whole_statements(int64_t tokens)
{
	return tokens - tokens % KL_TOKENS_PER_STATEMENT;
}

/* The part of the burst that this node owns, less what it has lent. */
static int64_t own_cap(const kl_share_t *share)
{
	int64_t own_burst =
		(int64_t)(share->burst * kl_share_usable_ppm(share) /
			  (KL_SHARE_WHOLE_PPM / KL_TOKENS_PER_STATEMENT));

	return own_burst > share->lent_tokens ? own_burst - share->lent_tokens
					      : 0;
}

static int64_t token_cap(const kl_share_t *share)
{
	return own_cap(share) + share->borrowed_tokens;
}

/*
 * Tokens may be spent until the next tick is overdue, or until the owned part
 * or a borrowed loan expires.
 */
static void set_validity(kl_share_t *share)
{
	uint64_t valid_until_us = share->now_us + VALIDITY_US;
	const peer_t *peer;

	if (share->owned_ppm && share->owned_until_us < valid_until_us)
		valid_until_us = share->owned_until_us;
	CK_LIST_FOREACH(peer, &share->peers, link) {
		const loan_t *loan = CK_STAILQ_FIRST(&peer->borrowed);

		if (loan && loan->expires_us < valid_until_us)
			valid_until_us = loan->expires_us;
	}
	share->ops->set_valid_until(share->bucket, valid_until_us);
}
