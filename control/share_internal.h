/**
 * @file
 * What the files of a node's part of one limit share.
 */
#ifndef KL_SHARE_INTERNAL_H
#define KL_SHARE_INTERNAL_H

#include <ck_queue.h>

#include "kumquatloft/share.h"

#define WINDOWS 2 /* the highest of so many windows counts */
#define GRANTS 8  /* unacknowledged ones of one borrower */

/* What a lender gave and the borrower may still use. */
typedef struct grant {
	uint64_t sequence;
	uint64_t share;
	uint64_t until_us;
} grant_t;

typedef struct loan {
	CK_LIST_ENTRY(loan) link;
	char peer[KL_SHARE_NAME];
	uint64_t share;
	uint64_t until_us;
	uint64_t sequence;

	uint64_t asked_us;
	uint64_t pause_us;	/* borrower: before it is asked for more */
	uint64_t touched_us;	/* own clock, of the last message */
	bool owes_receipt;	/* borrower: the lender still counts more */
	uint64_t pending;	/* borrower: asked for and not answered yet */
	grant_t grants[GRANTS]; /* lender: not known to be superseded */
	uint32_t grant_count;
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
	uint64_t remainder;	  /* of minting, below one token */
	uint64_t recent[WINDOWS]; /* statements a second, newest last */
	uint64_t mean;		  /* thousandths of a statement a second */
	uint64_t came;
	uint64_t demand_us;
	uint64_t backlog;
	uint64_t sequence;
	loan_list_t lent;
	loan_list_t borrowed;
};

/** The part that the demand asks for, of KL_SHARE_WHOLE. */
uint64_t kl_share_needed(const kl_share_t *share);

#endif
