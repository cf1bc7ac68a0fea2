/**
 * @file
 * Declarations shared by the files that implement kl_share_t.
 */
#ifndef KL_SHARE_INTERNAL_H
#define KL_SHARE_INTERNAL_H

#include <ck_queue.h>

#include "kumquatloft/share.h"

#define DEMAND_WINDOWS 2 /* demand windows of which the highest rate counts */

/* Tokens lent or borrowed under one grant. */
typedef struct loan {
	CK_STAILQ_ENTRY(loan) link;
	uint64_t sequence;   /* of the grant, rises with each one of a lender */
	int64_t tokens;	     /* those not reported as spent */
	uint64_t expires_us; /* end of the loan, by this node's clock */
} loan_t;

typedef CK_STAILQ_HEAD(batch_list, loan) loan_list_t;

/* Another node, as lender and as borrower. */
typedef struct peer {
	CK_LIST_ENTRY(peer) link;
	char name[KL_SHARE_NAME_MAX];
	uint64_t last_used_us;	  /* last loan request to or from it */
	loan_list_t lent;	  /* loans to the peer, oldest first */
	loan_list_t borrowed;	  /* loans from the peer, oldest first */
	uint64_t grant_sequence;  /* of the newest grant received from it */
	uint64_t request_sent_us; /* time of the last loan request to it */
	uint64_t backoff_us;	  /* before the next request to it */
	int64_t requested;	  /* tokens requested and not answered yet */
} peer_t;

struct kl_share {
	const kl_bucket_ops_t *ops;
	void *bucket;
	uint64_t rate;		 /* statements a second over all nodes */
	uint64_t burst;		 /* statements over all nodes */
	uint64_t owned;		 /* part of the limit, of KL_SHARE_WHOLE_PPM */
	uint64_t owned_until_us; /* the part must not be used later */
	uint64_t now_us;	 /* time of the last tick */
	uint64_t created_us;
	uint64_t refilled_us;	   /* the bucket is refilled up to this time */
	uint64_t refill_remainder; /* millionths of a token not yet added */
	uint64_t window_rates[DEMAND_WINDOWS]; /* statements a second */
	uint64_t mean_rate_milli; /* thousandths of a statement a second */
	uint64_t window_arrivals; /* statements in the current window */
	uint64_t window_start_us; /* start of the current window */
	uint64_t backlog;	  /* statements that wait for tokens */
	uint64_t grant_sequence;  /* of the newest grant sent */
	int64_t lent_tokens;	  /* tokens of all loans to peers */
	int64_t borrowed_tokens;  /* tokens of all loans from peers */
	CK_LIST_HEAD(, peer) peers;
};

/** The owned part, or 0 once owned_until_us has passed. */
uint64_t kl_share_usable(const kl_share_t *share);

/** Tokens that the waiting statements and the expected ones need. */
int64_t kl_share_tokens_needed(const kl_share_t *share);

#endif
