/**
 * @file
 * What the files of a node's part of one limit share.
 */
#ifndef KL_SHARE_INTERNAL_H
#define KL_SHARE_INTERNAL_H

#include <ck_queue.h>

#include "kumquatloft/share.h"

#define DEMAND_WINDOWS 2 /* the highest of so many windows counts */

/* Tokens that changed hands and are void from a time on. */
typedef struct loan {
	CK_STAILQ_ENTRY(loan) link;
	uint64_t sequence; /* of the grant */
	int64_t tokens;	   /* not known to be spent */
	uint64_t expires_us;
} loan_t;

typedef CK_STAILQ_HEAD(batch_list, loan) loan_list_t;

/* Another node, as lender and as borrower. */
typedef struct peer {
	CK_LIST_ENTRY(peer) link;
	char name[KL_SHARE_NAME_MAX];
	uint64_t last_used_us;
	loan_list_t lent;     /* it may still spend them; oldest first */
	loan_list_t borrowed; /* part of the purse until then; oldest first */
	uint64_t grant_sequence; /* of the newest grant that it sent */
	uint64_t request_sent_us;
	uint64_t backoff_us; /* before it is asked again */
	int64_t requested;   /* asked for and not answered yet */
} peer_t;

struct kl_share {
	const kl_bucket_ops_t *ops;
	void *purse;
	uint64_t rate;
	uint64_t burst;
	uint64_t owned;
	uint64_t owned_until_us;
	uint64_t now_us;
	uint64_t created_us;
	uint64_t refilled_us;
	uint64_t refill_remainder;	       /* of minting, below one token */
	uint64_t window_rates[DEMAND_WINDOWS]; /* statements a second, newest
						  last */
	uint64_t mean_rate_milli; /* thousandths of a statement a second */
	uint64_t window_arrivals;
	uint64_t window_start_us;
	uint64_t backlog;
	uint64_t grant_sequence;
	int64_t lent_tokens;
	int64_t borrowed_tokens;
	CK_LIST_HEAD(, peer) peers;
};

/** The part owned and in force. */
uint64_t kl_share_usable(const kl_share_t *share);

/** Tokens wanted for what waits, and for what is about to come. */
int64_t kl_share_tokens_needed(const kl_share_t *share);

#endif
