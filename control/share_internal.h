/**
 * @file
 * Declarations shared by the files that implement kl_share_t.
 */
#ifndef KL_SHARE_INTERNAL_H
#define KL_SHARE_INTERNAL_H

#include <ck_queue.h>

#include "kumquatloft/share.h"

/* Number of last demand windows; the highest rate in them is the peak. */
#define DEMAND_WINDOWS 2

/* Tokens lent or borrowed under one grant. */
typedef struct loan {
	CK_STAILQ_ENTRY(loan) link;
	uint64_t sequence;   /* of the grant; a lender numbers its grants */
	int64_t tokens;	     /* tokens not known to be spent */
	uint64_t expires_us; /* end of the loan, by this node's clock */
} loan_t;

typedef CK_STAILQ_HEAD(loan_list, loan) loan_list_t;

/* Another node, as lender and as borrower. */
typedef struct peer {
	CK_LIST_ENTRY(peer) link;
	char name[KL_SHARE_NAME_MAX];
	uint64_t last_used_us;	  /* time of the last request to or from it */
	loan_list_t lent;	  /* loans to the peer, oldest first */
	loan_list_t borrowed;	  /* loans from the peer, oldest first */
	uint64_t grant_sequence;  /* of the newest grant received from it */
	uint64_t request_sent_us; /* time of the last loan request to it */
	uint64_t backoff_us;	  /* least time until the next request */
	int64_t requested_tokens; /* tokens requested and not answered yet */
} peer_t;

struct kl_share {
	const kl_bucket_ops_t *ops;
	void *bucket;
	uint64_t rate;		   /* statements a second over all nodes */
	uint64_t burst;		   /* statements over all nodes */
	uint64_t owned_ppm;	   /* part of the limit owned here */
	uint64_t owned_until_us;   /* that part is usable until then */
	uint64_t now_us;	   /* time of the last tick */
	uint64_t created_us;	   /* time of kl_share_new() */
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

/** Part of the limit usable now: owned_ppm, or 0 after owned_until_us. */
uint64_t kl_share_usable_ppm(const kl_share_t *share);

/** Tokens for the waiting statements and for those expected soon. */
int64_t kl_share_tokens_needed(const kl_share_t *share);

#endif
