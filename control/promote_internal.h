/**
 * @file
 * What the files of the promotion controller share.
 */
#ifndef KL_PROMOTE_INTERNAL_H
#define KL_PROMOTE_INTERNAL_H

#include "control/failover_internal.h"

/** What a VM said that it knows of the records. */
typedef struct kl_ack {
	CK_STAILQ_ENTRY(kl_ack) link;
	char vm[KL_NAME_MAX];
	uint64_t terms_revision; /**< of the terms */
	uint64_t incarnation;	 /**< of the process that said so */
	uint64_t received_us;
} kl_ack_t;

typedef CK_STAILQ_HEAD(kl_acks, kl_ack) kl_acks_t;

/** A database's answer to a question for its state. */
typedef struct kl_status_reply {
	char upstream[KL_NAME_MAX];
	bool primary;
	uint64_t term;
	uint64_t log_term;
	uint64_t position;
	uint64_t query_sent_us;
} kl_status_reply_t;

/** What is known of one service's change of primary. */
typedef struct kl_promotion {
	kl_failover_t failover; /**< begins with the service's name */
	CK_STAILQ_ENTRY(kl_promotion) link;
	char failing_upstream[KL_NAME_MAX]; /**< upstream that requests fail at,
					       or "" */
	uint64_t failing_since_us;	    /**< since when */
	bool connection_refused;	    /**< nobody listens there */
	uint64_t unregistered_since_us; /**< the primary isn't registered since,
					   or 0 */
	uint64_t fence_done_us;		/**< when the fence was over, or 0 */
	uint64_t promote_call_us; /**< last call of the platform's promotion */
	bool platform_accepted;	  /**< the platform took it */
	bool candidate_not_running;	    /**< the candidate isn't there */
	char failed_candidate[KL_NAME_MAX]; /**< candidate that failed, or "" */
	uint64_t
		new_primary_term; /**< the databases' term of the new primary */
	uint64_t step_down_us;	  /**< last order to step down */
	uint64_t hello_sent_us;	  /**< last question to those that lack */
	kl_status_reply_t replies[REPLIES_MAX];
	uint32_t reply_count;
} kl_promotion_t;

/** What the controller keeps. */
typedef struct kl_promote_state {
	CK_STAILQ_HEAD(, kl_promotion) promotions;
	kl_index_t *index;
	kl_acks_t acks;
} kl_promote_state_t;

/** What one step sees. */
typedef struct kl_promote_ctx {
	kl_failover_ctx_t base;
	kl_promotion_t *promotion;
	const kl_acks_t *acks;
} kl_promote_ctx_t;

/** Take in what happened. */
void kl_promote_handle_event(kl_promote_state_t *state, const kl_event_t *event,
			     uint64_t now);

/** The state of a service's change. @return NULL when out of memory */
kl_promotion_t *kl_promotion_get(kl_promote_state_t *state,
				 const char *service);

void kl_acks_update(kl_acks_t *acks, const kl_peer_message_t *hello,
		    uint64_t now);
void kl_acks_clear(kl_acks_t *acks);

/** Whether no VM acts on an older record any more; asks those that lack. */
bool kl_promote_fence_done(kl_promote_ctx_t *view);

/** Begin anew with another state of the record. */
void kl_promotion_reset(kl_promotion_t *promotion, const kl_group_t *group);

/** Take in a database's answer. */
void kl_promotion_store_reply(kl_promotion_t *promotion,
			      const kl_database_answer_t *answer);

/** @return NULL if the database did not answer */
const kl_status_reply_t *
kl_promotion_find_reply(const kl_promotion_t *promotion, const char *upstream);

/** Ask a database for its state; over a new connection if it is suspected. */
void kl_promote_query(kl_promote_ctx_t *view, const char *upstream, bool fresh);
void kl_promote_query_all(kl_promote_ctx_t *view);

/** Send an order to a database. */
void kl_promote_call_database(kl_promote_ctx_t *view,
			      const kl_upstream_t *upstream,
			      kl_database_op_t op, uint64_t term);

/**
 * The best database to promote.
 *
 * @param settled_us when all that was sent before the fence has ended
 * @return its name, or NULL to wait
 */
const char *kl_promote_candidate(kl_promote_ctx_t *view, uint64_t settled_us);

#endif
