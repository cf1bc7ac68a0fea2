/**
 * @file
 * Declarations shared by the files of the promotion controller, which is used
 * where the platform promotes databases.
 */
#ifndef KL_PROMOTE_INTERNAL_H
#define KL_PROMOTE_INTERNAL_H

#include "control/failover_internal.h"

/** Acknowledgement of group records by a VM, taken from its hello messages. */
typedef struct kl_ack {
	CK_STAILQ_ENTRY(kl_ack) link;
	char vm[KL_NAME_MAX];
	uint64_t terms_revision; /**< revision of the terms that the VM holds */
	uint64_t incarnation;	 /**< of the process that sent the hello */
	uint64_t received_us;	 /**< when the hello was received */
} kl_ack_t;

typedef CK_STAILQ_HEAD(kl_acks, kl_ack) kl_acks_t;

/** A database's reply to a status query. */
typedef struct kl_status_reply {
	char upstream[KL_NAME_MAX];
	bool reported_primary;	/**< it reports that it is primary */
	uint64_t term;		/**< term that it serves */
	uint64_t log_term;	/**< term in which position was written */
	uint64_t position;	/**< end of its log, bytes */
	uint64_t query_sent_us; /**< when the query was sent */
} kl_status_reply_t;

/* A record counts as current for this long after its last confirmation. */
#define CONFIRMATION_MAX_AGE_US (1 * KL_SEC)

/**
 * The prober of rank N, one of the VMs that monitor the primary, waits N times
 * this long before it acts, so that probers rarely compete for the conditional
 * update.
 */
#define KL_PROMOTE_RANK_DELAY_US (150 * KL_MS)

/** A database that was registered. */
typedef struct kl_known_upstream {
	char name[KL_NAME_MAX];
	bool lapsed; /**< its registration is missing, and may come back */
} kl_known_upstream_t;

/** State of one service's failover where the platform promotes databases. */
typedef struct kl_promotion {
	kl_failover_t failover; /**< first: its name is the index key */
	CK_STAILQ_ENTRY(kl_promotion) link;
	/** Upstream at which requests fail, or "". */
	char failing_upstream[KL_NAME_MAX];
	uint64_t failing_since_us; /**< time since which they fail */
	/** failing_upstream refuses connections. */
	bool upstream_refuses_connections;
	/** Why this VM suspects the primary, or NULL. */
	const char *suspicion_reason;
	bool suspicion_logged;
	/** Time since which the primary is not registered, or 0. */
	uint64_t unregistered_since_us;
	/** Time since which the recorded primary denies that it leads, or 0. */
	uint64_t denied_since_us;
	/** Term that this VM claimed from a stable record, or 0. */
	uint64_t claimed_from_stable;
	bool claimed_to_leave; /**< because the primary leaves, though it works
				*/
	uint64_t fencing_completed_us; /**< when fencing was completed, or 0 */
	/** Time of this VM's last promotion call in any term, or 0. */
	uint64_t last_own_promotion_us;
	/** Time of the last promotion call for this record, or 0. */
	uint64_t last_promote_call_us;
	/** The platform accepted that call. */
	bool platform_accepted_promotion;
	/** The platform refused it since the candidate is not running. */
	bool candidate_not_running;
	bool registry_known; /**< the registrations were complete once */
	bool wait_logged;    /**< it was logged that this change waits */
	/** Candidate that was not promoted and is not chosen again, or "". */
	char failed_candidate[KL_NAME_MAX];
	/**
	 * Term that the new primary reports, or 0.  The databases' terms are
	 * not those of the record here.
	 */
	uint64_t new_primary_term;
	uint64_t last_step_down_call_us; /**< last calls to step down */
	/** Time of the last hellos to VMs that have not acknowledged. */
	uint64_t last_hello_sent_us;
	kl_status_reply_t replies[REPLIES_MAX]; /**< the last of each */
	uint32_t reply_count;
	uint32_t known_count; /**< of the array below */
	/** Databases that are registered, and those that may be again. */
	kl_known_upstream_t known[REPLIES_MAX];
} kl_promotion_t;

/** State of the promotion controller. */
typedef struct kl_promote_state {
	CK_STAILQ_HEAD(, kl_promotion) promotions;
	kl_index_t *index; /**< promotions by service name */
	kl_acks_t acks;	   /**< the last of each VM */
} kl_promote_state_t;

/** Arguments common to the functions of one controller step, per service. */
typedef struct kl_promote_ctx {
	kl_failover_ctx_t base;
	kl_promotion_t *promotion;
	const kl_acks_t *acks;
} kl_promote_ctx_t;

/**
 * Update the state from an event.
 *
 * @param now time of the event, microseconds
 */
void kl_promote_handle_event(kl_promote_state_t *state, const kl_event_t *event,
			     uint64_t now);

/** Find or create a service's state. @return NULL when out of memory */
kl_promotion_t *kl_promotion_get(kl_promote_state_t *state,
				 const char *service);

/** Add or update the acknowledgement of the VM that sent a hello. */
void kl_acks_update(kl_acks_t *acks, const kl_peer_message_t *hello,
		    uint64_t now);

/** Free all acknowledgements. */
void kl_acks_clear(kl_acks_t *acks);

/**
 * Whether no VM can act on an older version of the record any more.  Sends
 * hellos to the VMs whose acknowledgement is missing.
 */
bool kl_promote_fencing_is_complete(kl_promote_ctx_t *ctx);

/** Reset the state when the record has changed. */
void kl_promotion_reset(kl_promotion_t *promotion, const kl_group_t *group);

/** Store a database's answer to a status query. */
void kl_promotion_store_reply(kl_promotion_t *promotion,
			      const kl_database_answer_t *answer);

/** Find a database's last status reply. @return NULL if there is none */
const kl_status_reply_t *
kl_promotion_find_reply(const kl_promotion_t *promotion, const char *upstream);

/**
 * Query a database's status.
 *
 * @param new_connection use a new connection, to check a suspected database
 */
void kl_promote_query(kl_promote_ctx_t *ctx, const char *upstream,
		      bool new_connection);

/** Query the status of all databases of the service. */
void kl_promote_query_all(kl_promote_ctx_t *ctx);

/** Send a control call with a term to a database. */
void kl_promote_call_database(kl_promote_ctx_t *ctx,
			      const kl_upstream_t *upstream,
			      kl_database_op_t op, uint64_t term);

/**
 * Log a decision and send a conditional update of the group's record, unless
 * the last attempt was too recent.
 */
void kl_promote_write_record(kl_promote_ctx_t *ctx, kl_group_t *group,
			     const char *decision_name, const char *reason);

/* promote_rewrite.c */

/**
 * Write the group's record again if the store was restored from a copy with an
 * older one.
 *
 * @return whether the store has the record that is held, so that the next step
 *         may be taken
 */
bool kl_promote_rewrite(kl_promote_ctx_t *ctx);

/**
 * Begin a change of primary in which the databases tell which one leads.  Its
 * term is above any that was used after a record that the store lost.
 */
void kl_promote_claim_unknown(kl_promote_ctx_t *ctx, const char *reason);

/** Term of the next change, which no change that the store lost has used. */
uint64_t kl_promote_next_term(const kl_promote_ctx_t *ctx);

/** Term of a group's first record. */
uint64_t kl_promote_first_term(const kl_promote_ctx_t *ctx);

/* promote_leader.c */

/** What the databases tell of which one leads. */
typedef enum kl_leader {
	KL_LEADER_UNDECIDED, /**< too few have answered */
	KL_LEADER_FOUND,     /**< one leads in the newest term that is known */
	KL_LEADER_NONE,	     /**< none that answers does */
} kl_leader_t;

/**
 * Find the database that leads, for a record that names none.
 *
 * @param settled_us as for kl_promote_choose_candidate()
 * @param leader receives its name if there is one
 */
kl_leader_t kl_promote_find_leader(const kl_promote_ctx_t *ctx,
				   uint64_t settled_us, const char **leader);

/**
 * Whether the recorded primary denies that it leads, and this prober is the
 * next one to act on that.  Queries its status.
 */
bool kl_promote_primary_denies(kl_promote_ctx_t *ctx);

/* promote_registry.c */

/** Note which databases are registered. */
void kl_promote_note_registry(kl_promote_ctx_t *ctx);

/**
 * Whether every database of the service that may live is registered.  If not,
 * those that are missing count as silent: nothing may be chosen without them.
 * It takes no time unless registrations may have lapsed in an outage.
 *
 * @param must_be_known also false if this VM never saw them complete, so that
 *			it may have started in the outage
 */
bool kl_promote_registry_complete(kl_promote_ctx_t *ctx, bool must_be_known);

/* promote_suspect.c */

/**
 * Whether this VM considers the primary failed: it has not been registered for
 * some time, or all requests to it have failed for some time.
 */
bool kl_promote_primary_failed(kl_promote_ctx_t *ctx);

/** Whether the primary is leaving and another database isn't. */
bool kl_promote_primary_leaving(const kl_promote_ctx_t *ctx);

/**
 * Query the primary when another prober suspects it: this one may have no
 * requests of its own that show whether the primary works.
 */
void kl_promote_check_suspected(kl_promote_ctx_t *ctx);

/* promote_choose.c */

/**
 * Whether a planned change can't succeed now: no database that isn't leaving
 * answers, or none has the complete log.  Arguments as for
 * kl_promote_choose_candidate().
 */
bool kl_promote_no_successor(const kl_promote_ctx_t *ctx, uint64_t settled_us);

/** Whether a log ends in a later term, or later in the same term. */
bool kl_promote_has_newer_log(const kl_status_reply_t *reply,
			      const kl_status_reply_t *other);

/**
 * Whether a candidate lacks a part of the log that the old primary, which
 * answers, still has.
 *
 * @param planned the change is made only because the primary leaves
 */
bool kl_promote_waits_for_log(const kl_promote_ctx_t *ctx,
			      const kl_status_reply_t *candidate,
			      uint64_t settled_us, bool planned);

/** Tell once for a record why a change of primary waits, if it waits long. */
void kl_promote_log_wait(const kl_promote_ctx_t *ctx, uint64_t settled_us,
			 const char *reason);

/**
 * Choose the database to promote in a service with synchronous replication.
 * Arguments as for kl_promote_choose_candidate() and
 * kl_promote_waits_for_log().
 */
const char *kl_promote_choose_synced(const kl_promote_ctx_t *ctx,
				     uint64_t settled_us, bool planned);

/**
 * Choose the database to promote.
 *
 * @param settled_us time, in microseconds of the node's clock, by which all
 *                   requests sent before fencing was complete have ended
 * @return its name, or NULL if it is too early to choose
 */
const char *kl_promote_choose_candidate(kl_promote_ctx_t *ctx,
					uint64_t settled_us);

#endif
