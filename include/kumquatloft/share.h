/**
 * @file
 * A limit shared exactly by many nodes: owned parts, and tokens lent.
 *
 * Each node mints the tokens of the part of a workspace's rate that it owns.
 * A node without tokens draws some from an owner: the owner takes them out of
 * its own before it sends them, and they are void after a short time, which the
 * owner counts a tenth longer.  Until then, or until it hears that they are
 * spent, it holds as much less of the burst.
 * So no window admits more than burst + rate * window over all nodes, whatever
 * messages are lost, doubled or late: a lost message loses tokens.  No I/O, no
 * clock: the embedding program passes times and carries the messages.
 */
#ifndef KUMQUATLOFT_SHARE_H
#define KUMQUATLOFT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** The whole, in the unit of shares. */
#define KL_SHARE_WHOLE_PPM 1000000u
/** Tokens of one statement. */
#define KL_TOKENS_PER_STATEMENT 1000
/** Longest node name, with its zero. */
#define KL_SHARE_NAME_MAX 64

typedef struct kl_share kl_share_t;

/** Where the tokens are kept, so that other threads can take some. */
typedef struct kl_bucket_ops {
	/** Set aside up to max tokens. @return how many were taken */
	int64_t (*take)(void *purse, int64_t max);
	/** Add tokens, then cut down to cap. */
	void (*add)(void *purse, int64_t tokens, int64_t cap);
	/** @return tokens held now */
	int64_t (*available)(void *purse);
	/** Tokens may be spent until then, microseconds. */
	void (*set_valid_until)(void *purse, uint64_t until_us);
} kl_bucket_ops_t;

/** A borrower's question. */
typedef struct kl_loan_request {
	uint64_t sent_us;	/**< borrower's clock at sending */
	int64_t wanted;		/**< tokens */
	uint64_t seen_sequence; /**< newest grant of this lender that came */
	int64_t unspent;	/**< of it and those before it */
} kl_loan_request_t;

/** A lender's answer. */
typedef struct kl_loan_grant {
	uint64_t request_sent_us; /**< echo of the question */
	uint64_t sequence;	  /**< rises with each grant of a lender */
	int64_t tokens; /**< to be added once; 0 if it has none to spare */
	uint64_t valid_for_us; /**< from asked_us on the borrower's clock */
} kl_loan_grant_t;

/**
 * Create a node's part of one limit.
 *
 * @param ops, purse where tokens are kept; must outlive the share
 * @param now_us the node's clock, microseconds
 * @return NULL when out of memory
 */
kl_share_t *kl_share_new(const kl_bucket_ops_t *ops, void *purse,
			 uint64_t now_us);

/** Free a share; tokens that it lent simply run out. */
void kl_share_free(kl_share_t *share);

/**
 * Set the limit: statements a second and statements of burst.  Tokens above
 * the new cap are dropped.
 */
void kl_share_set_limit(kl_share_t *share, uint64_t rate, uint64_t burst);

/**
 * Set the part owned, of KL_SHARE_WHOLE_PPM, and until when it may be used. The
 * caller guarantees that all nodes' owned parts never exceed the whole, and
 * that a part changes hands only KL_SHARE_SETTLE_US after its last use.
 */
void kl_share_set_owned(kl_share_t *share, uint64_t owned, uint64_t until_us);

/** Tokens that a former owner of a part lent are void after this time. */
#define KL_SHARE_SETTLE_US 400000ull

/**
 * Add what nobody minted for a part while its owner was down.
 *
 * @param part of KL_SHARE_WHOLE_PPM
 */
void kl_share_credit_downtime(kl_share_t *share, uint64_t part,
			      uint64_t down_us);

/** Let time pass: loans run out, tokens are minted. */
void kl_share_tick(kl_share_t *share, uint64_t now_us);

/** Tell how many statements came in since the last call, and the backlog. */
void kl_share_add_demand(kl_share_t *share, uint64_t now_us, uint64_t came,
			 uint64_t backlog);

/** Whether more tokens are wanted than are held and asked for. */
bool kl_share_is_short(const kl_share_t *share, uint64_t now_us);

/**
 * Whether to ask a lender, and for what.
 *
 * @return true if the question in *ask should be sent to lender
 */
bool kl_share_request_loan(kl_share_t *share, const char *lender,
			   uint64_t now_us, kl_loan_request_t *ask);

/**
 * Answer a question.
 *
 * @return true if *grant should be sent back
 */
bool kl_share_lend(kl_share_t *share, const char *borrower,
		   const kl_loan_request_t *ask, uint64_t now_us,
		   kl_loan_grant_t *grant);

/** Take in a grant; doubles and late ones change nothing. */
void kl_share_accept_grant(kl_share_t *share, const char *lender,
			   const kl_loan_grant_t *grant, uint64_t now_us);

/** Whether nothing is lent, borrowed or asked for. */
bool kl_share_idle(const kl_share_t *share);

#endif
