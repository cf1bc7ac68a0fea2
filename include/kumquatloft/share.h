/**
 * @file
 * A rate limit that many nodes enforce together without ever exceeding it.
 *
 * Each node owns a part of the limit and adds tokens to its bucket at that part
 * of the rate.  A node that is short of tokens borrows some from an owner.  The
 * owner removes them from its own bucket before it sends them.  They expire
 * after a short time.  The owner counts them as lent for a tenth longer,
 * because the clocks may drift.  Until they expire, or the borrower reports
 * them as spent, the owner lowers the capacity of its own bucket by their
 * number.
 *
 * Therefore all nodes together admit at most burst + rate * window statements
 * in any window of time, even if messages are lost, duplicated or delayed: a
 * lost message only loses tokens.
 *
 * The functions do no I/O and read no clock: the embedding program passes the
 * time and transmits the messages.  Tokens are counted in thousandths of a
 * statement.
 */
#ifndef KUMQUATLOFT_SHARE_H
#define KUMQUATLOFT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** The whole limit; parts of it are given in parts per million. */
#define KL_SHARE_WHOLE_PPM 1000000u
/** Number of tokens that one statement takes. */
#define KL_TOKENS_PER_STATEMENT 1000
/** Size of a node's name in bytes, including the terminating zero. */
#define KL_SHARE_NAME_MAX 64

/** One node's part of one limit. */
typedef struct kl_share kl_share_t;

/**
 * The token bucket, provided by the embedding program.  Other threads may take
 * tokens from it at any time.
 */
typedef struct kl_bucket_ops {
	/** Remove up to max tokens. @return number of tokens removed */
	int64_t (*take)(void *bucket, int64_t max);
	/** Add tokens, then drop those above the capacity. */
	void (*add)(void *bucket, int64_t tokens, int64_t capacity);
	/** @return number of tokens in the bucket */
	int64_t (*available)(void *bucket);
	/** Set the time from which on no tokens may be spent, microseconds. */
	void (*set_valid_until)(void *bucket, uint64_t until_us);
} kl_bucket_ops_t;

/** A request for tokens, from a borrower to a lender. */
typedef struct kl_loan_request {
	uint64_t sent_us;	/**< time of sending, borrower's clock */
	int64_t wanted;		/**< number of tokens */
	uint64_t seen_sequence; /**< newest grant received from this lender */
	int64_t unspent; /**< tokens left of that grant and earlier ones */
} kl_loan_request_t;

/** A lender's reply. */
typedef struct kl_loan_grant {
	uint64_t request_sent_us; /**< sending time copied from the request */
	uint64_t sequence; /**< increases with each grant of this lender */
	int64_t tokens;	   /**< number of tokens lent; 0 if none are spare */
	uint64_t valid_for_us; /**< lifetime, from request_sent_us on */
} kl_loan_grant_t;

/**
 * Create a node's part of one limit.
 *
 * @param ops functions of the bucket; must outlive the share
 * @param bucket passed to these functions
 * @param now_us the node's clock, microseconds
 * @return NULL when out of memory
 */
kl_share_t *kl_share_new(const kl_bucket_ops_t *ops, void *bucket,
			 uint64_t now_us);

/** Free a share; tokens that it lent expire by themselves. */
void kl_share_free(kl_share_t *share);

/**
 * Set the limit.  Tokens above the bucket's new capacity are dropped.
 *
 * @param rate statements per second, over all nodes
 * @param burst statements, over all nodes
 */
void kl_share_set_limit(kl_share_t *share, uint64_t rate, uint64_t burst);

/**
 * Set the part of the limit that this node owns.
 *
 * The embedding program must ensure that the parts of all nodes never exceed
 * the whole, and that a part gets a new owner only KL_SHARE_SETTLE_US after the
 * old one last used it.
 *
 * @param owned_ppm part of the limit, parts per million
 * @param until_us time until which the part may be used, microseconds
 */
void kl_share_set_owned(kl_share_t *share, uint64_t owned_ppm,
			uint64_t until_us);

/**
 * Time from a former owner's last use of a part until all tokens that it lent
 * have expired, microseconds.
 */
#define KL_SHARE_SETTLE_US 400000ull

/**
 * Add the tokens that a part of the rate would have given while its owner was
 * down.
 *
 * @param part_ppm the part, parts per million
 * @param down_us how long the owner was down, microseconds
 */
void kl_share_credit_downtime(kl_share_t *share, uint64_t part_ppm,
			      uint64_t down_us);

/**
 * Add the tokens that a part of the burst stands for.  Allowed once, when the
 * part comes into existence: no node may have owned it before.
 *
 * @param part_ppm the part, parts per million
 */
void kl_share_credit_burst(kl_share_t *share, uint64_t part_ppm);

/** Advance the time: expire loans and add tokens at the owned rate. */
void kl_share_tick(kl_share_t *share, uint64_t now_us);

/**
 * Report the demand, from which the number of tokens to borrow is derived.
 *
 * @param arrived statements that arrived since the last call
 * @param backlog statements that wait for tokens now
 */
void kl_share_add_demand(kl_share_t *share, uint64_t now_us, uint64_t arrived,
			 uint64_t backlog);

/** Whether the demand exceeds the tokens that the node has or has requested. */
bool kl_share_is_short(const kl_share_t *share, uint64_t now_us);

/**
 * Prepare a request for tokens to one lender, unless no tokens are needed or
 * that lender was sent a request a short while ago.
 *
 * @param request filled in
 * @return whether *request should be sent to the lender
 */
bool kl_share_request_loan(kl_share_t *share, const char *lender,
			   uint64_t now_us, kl_loan_request_t *request);

/**
 * Handle a borrower's request: lend what this node can spare.
 *
 * @param grant filled in
 * @return whether *grant should be sent back
 */
bool kl_share_lend(kl_share_t *share, const char *borrower,
		   const kl_loan_request_t *request, uint64_t now_us,
		   kl_loan_grant_t *grant);

/** Add a grant's tokens.  Duplicate and late grants are ignored. */
void kl_share_accept_grant(kl_share_t *share, const char *lender,
			   const kl_loan_grant_t *grant, uint64_t now_us);

/**
 * Whether the share needs no frequent ticks: nothing is lent or borrowed, and
 * no statements arrived lately or wait.
 */
bool kl_share_idle(const kl_share_t *share);

#endif
