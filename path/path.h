/**
 * @file
 * The decisions about a request: authentication, admission, choice of an
 * upstream, and proof that the primary's term was current.
 *
 * These functions use no sockets and no clock.  They are called inside a read
 * section of the blackboard.
 */
#ifndef KL_PATH_H
#define KL_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "board/sections.h"
#include "kumquatloft/kind.h"
#include "kumquatloft/token.h"

/**
 * The blackboard's sections as loaded within one read section; each is NULL
 * until it is first published.
 */
typedef struct kl_view {
	const kl_confirmation_t *confirmation;
	const kl_config_t *config;
	const kl_terms_t *terms;
	const kl_members_t *members;
	const kl_health_t *health;
	const kl_buckets_t *buckets;
	const kl_lifecycle_t *lifecycle;
	const kl_positions_t *positions;
	const kl_loads_t *loads;
	uint64_t now_us; /**< time of the decision, microseconds */
} kl_view_t;

/** Operators' settings for these decisions. */
typedef struct kl_path_settings {
	uint64_t lease_us; /**< how long a confirmed state proves the primary */
	uint64_t read_wait_us; /**< longest wait of a read for a replica */
	/**
	 * requests are refused if the configuration was last confirmed longer
	 * ago, microseconds; 0: they are never refused for that
	 */
	uint64_t stale_after_us;
	/**
	 * a leaving upstream gets no statement later than this after it began
	 * to leave, microseconds
	 */
	uint64_t leave_us;
	/** this VM's failure domain; upstreams in it are preferred */
	char domain[KL_NAME_MAX];
} kl_path_settings_t;

/**
 * Whether the recorded primary is proven to be the only one now: the record
 * shows it (control/recorded_primary.h), and this VM's lease on the records is
 * valid.
 *
 * @param group may be NULL
 */
bool kl_primary_proven(const kl_view_t *view, const kl_group_t *group,
		       uint64_t lease_us);

/** Which statements an upstream may get. */
typedef enum kl_upstream_use {
	KL_USE_ANY,
	/**
	 * It is leaving: only statements of open transactions, and of a primary
	 * what no other upstream can run.
	 */
	KL_USE_STARTED,
	KL_USE_NONE, /**< it has left, or may have */
} kl_upstream_use_t;

/**
 * Decide which statements an upstream may get now.  Every path asks this again
 * when it sends a statement, because the choice of the upstream may be old.
 *
 * @param leaving_after_us it leaves since no earlier than this; 0: not known,
 *			   so that its time may be over
 */
kl_upstream_use_t kl_upstream_use(bool leaving, uint64_t leaving_after_us,
				  uint64_t now_us, uint64_t leave_us);

/** Load the blackboard's sections; call it inside a read section. */
void kl_view_load(kl_view_t *view, const kl_reader_t *reader, uint64_t now_us);

/** Hash a key to the hexadecimal form that the configuration holds. */
void kl_key_hash(const char *key, char hex[2 * KL_KEY_HASH_BYTES + 1]);

/**
 * Check that a key belongs to a workspace and has not been withdrawn.
 *
 * @param hash of the key; ignored if the service allows anonymous clients in
 *             this workspace
 * @return 0, -KL_E_AUTH, -KL_E_KEY_WITHDRAWN, -KL_E_NOT_FOUND,
 *         -KL_E_STALE_CONFIG
 */
int kl_authenticate(const kl_view_t *view, const kl_path_settings_t *settings,
		    const char *hash, const char *workspace,
		    const char *service);

/**
 * Take a statement's tokens out of its workspace's bucket.
 *
 * @return 0 or -KL_E_RATE
 */
int kl_admit_statement(const kl_view_t *view, kl_bucket_t *bucket);

/**
 * Count a new session against this VM's part of the plan's connections.  The
 * caller keeps the bucket and passes it to kl_uncount_session(): a workspace
 * that is removed and added again has another bucket.
 *
 * @return 0 or -KL_E_CONNECTIONS
 */
int kl_admit_session(kl_bucket_t *bucket);

/**
 * Count a session that is open already.
 *
 * @param bucket may be NULL
 * @return the bucket, for kl_uncount_session()
 */
kl_bucket_t *kl_count_session(kl_bucket_t *bucket);

/** Remove a session from the count. @param counted_in may be NULL */
void kl_uncount_session(kl_bucket_t *counted_in);

/** Count a statement that waits for tokens. @return the bucket */
kl_bucket_t *kl_count_waiting(kl_bucket_t *bucket);

/** Remove a statement from that count. @param counted_in may be NULL */
void kl_uncount_waiting(kl_bucket_t *counted_in);

/** Result of routing a request. */
typedef enum kl_verdict {
	KL_VERDICT_SEND,   /**< send it to the upstream chosen */
	KL_VERDICT_WAIT,   /**< route it again soon */
	KL_VERDICT_REFUSE, /**< reply with the error */
} kl_verdict_t;

/** A request to be routed. */
typedef struct kl_route_request {
	const char *service;
	bool read_only;	  /**< the request changes no data */
	kl_token_t token; /**< the session's last write, to be visible */
	/** oldest data that the client accepts, microseconds; 0: not stated */
	uint64_t max_age_us;
	uint64_t waited_us;	    /**< time since the request arrived */
	const char *avoid_upstream; /**< replica not to choose, or NULL */
	/**
	 * Get the number of statements in progress at an upstream; the upstream
	 * with the fewest is preferred.
	 */
	uint32_t (*load)(const void *context, const char *upstream);
	const void *context; /**< passed to load() */
} kl_route_request_t;

/** Result of routing, and why. */
typedef struct kl_route_choice {
	kl_verdict_t verdict;
	int error; /**< for a refusal, or a wait that takes too long */
	const kl_upstream_t *upstream; /**< for KL_VERDICT_SEND */
	const char *reason;	       /**< for the log */
	bool on_replica;	       /**< the upstream is a replica */
	uint64_t term;		       /**< term of the upstream */
	uint64_t position;	       /**< log position it last reported */
	uint64_t age_us;	       /**< upper bound of the replica's lag */
} kl_route_choice_t;

/** Choose the upstream for a request. */
void kl_route_choose(const kl_view_t *view, const kl_path_settings_t *settings,
		     const kl_route_request_t *request,
		     kl_route_choice_t *choice);

/** Whether a database has a session's last write. */
typedef enum kl_cover {
	KL_COVER_YES,
	KL_COVER_NOT_YET, /**< not replicated to it yet */
	KL_COVER_LOST,	  /**< lost in a failover, or too old to tell */
} kl_cover_t;

/**
 * Check whether a database has the write that a token stands for.
 *
 * @param group recorded state, with the history of terms
 * @param term, position of the database
 */
kl_cover_t kl_token_covered(const kl_token_t *token, const kl_group_t *group,
			    uint64_t term, uint64_t position);

/** Result of one method of proving that a term is current. */
typedef enum kl_proof_state {
	KL_PROOF_HOLDS,	    /**< the term is current */
	KL_PROOF_FAILS,	    /**< not current, or no longer provable */
	KL_PROOF_UNDECIDED, /**< this method cannot tell */
} kl_proof_state_t;

/** How many of a group's databases still accept a term. */
typedef struct kl_vote_tally {
	uint32_t databases; /**< databases that were queried */
	uint32_t accepting; /**< of these: still accept the term */
	uint32_t refusing;  /**< of these: sealed against the term */
	uint32_t no_answer; /**< of these: gave no reply, or an error */
} kl_vote_tally_t;

/** A method of proving that a primary's term is current. */
typedef struct kl_proof_method {
	const char *name;
	/** check() needs a tally of queries sent after the statement ran */
	bool needs_tally;
	kl_proof_state_t (*check)(const kl_view_t *view,
				  const kl_path_settings_t *settings,
				  const kl_group_t *group, uint64_t term,
				  const kl_vote_tally_t *tally);
} kl_proof_method_t;

/** The methods, cheapest first. */
typedef enum kl_proof_id {
	KL_PROOF_LEASE,
	KL_PROOF_MAJORITY,
	KL_PROOF_COUNT
} kl_proof_id_t;

extern const kl_proof_method_t kl_proof_methods[KL_PROOF_COUNT];

#endif
