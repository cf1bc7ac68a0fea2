/**
 * @file
 * Declarations shared by the files of the failover controller.  The promotion
 * controller uses the parts that don't depend on how databases are promoted.
 *
 * To seal a database is to make it refuse requests of terms below a given one:
 * an old primary that is sealed accepts no more writes.  The probers of a group
 * are introduced in control/prober.h.
 */
#ifndef KL_FAILOVER_INTERNAL_H
#define KL_FAILOVER_INTERNAL_H

#include "control/node.h"

/** Minimum time between attempts of the same action. */
#define RETRY_INTERVAL_US (200 * KL_MS)

/** Most databases of one group whose replies are kept. */
#define REPLIES_MAX 16

/** A VM's last report that it suspects the primary to have failed. */
typedef struct kl_suspicion {
	CK_STAILQ_ENTRY(kl_suspicion) link;
	char vm[KL_NAME_MAX];
	uint64_t term; /**< term whose primary is suspected */
	/** When this VM received the report, or noted its own suspicion. */
	uint64_t received_us;
} kl_suspicion_t;

/** A database's reply to a seal call. */
typedef struct kl_seal_reply {
	char upstream[KL_NAME_MAX];
	uint64_t min_term; /**< lowest term that the database accepts */
	uint64_t term;	   /**< term that it serves */
	uint64_t position; /**< end of its log, bytes */
} kl_seal_reply_t;

/**
 * State of one service's failover.  What belongs to one version of the group's
 * record is reset when the record changes.
 */
typedef struct kl_failover {
	kl_named_t name; /**< the service's name */
	CK_STAILQ_ENTRY(kl_failover) link;
	CK_STAILQ_HEAD(, kl_suspicion) suspicions;
	/**
	 * When the condition for writing the next record was first met, or 0.
	 * Probers of lower rank start their delay here.
	 */
	uint64_t triggered_us;
	/** Time of the last report of a suspicion to the other probers. */
	uint64_t last_suspicion_sent_us;
	uint64_t last_database_call_us; /**< time of the last control calls */
	uint64_t last_record_write_us;	/**< time of the last update, or 0 */
	uint64_t record_version;	/**< version of the record in use */
	uint64_t record_term;		/**< term of that record */
	uint64_t members_version; /**< of the list that probers is taken from */
	char probers[KL_PROBERS_PER_GROUP][KL_NAME_MAX]; /**< names, by rank */
	uint32_t prober_count;
	int prober_rank; /**< index of this VM among the probers, or -1 */
	kl_seal_reply_t replies[REPLIES_MAX]; /**< of the recorded term */
	uint32_t reply_count;
	/** The candidate answered that it serves record_term as primary. */
	bool candidate_promoted;
} kl_failover_t;

/** Arguments common to the functions of one controller step, per service. */
typedef struct kl_failover_ctx {
	kl_node_t *node;
	const kl_service_t *service;
	const kl_group_t *group; /**< the service's record */
	const kl_members_t *members;
	const kl_health_t *health;
	kl_failover_t *failover;
	uint64_t now;	 /**< start of the step, microseconds */
	int prober_rank; /**< index of this VM among the probers, or -1 */
} kl_failover_ctx_t;

/** Choose the service's probers again if the member list has changed. */
void kl_failover_update_probers(kl_failover_ctx_t *ctx);

/**
 * Record that this VM suspects the primary to have failed, and report it to the
 * other probers.
 */
void kl_failover_report_suspicion(kl_failover_ctx_t *ctx);

/**
 * Whether a majority of the probers suspects the primary of the recorded term.
 * Reports that have expired don't count.
 */
bool kl_failover_has_quorum(const kl_failover_ctx_t *ctx);

/**
 * Add a VM's suspicion, or update the one it reported earlier.
 *
 * @param failover may be NULL; the suspicion is then dropped
 * @param vm the VM that suspects the primary
 * @param term term whose primary is suspected
 * @param now time of receipt, microseconds
 */
void kl_failover_add_suspicion(kl_failover_t *failover, const char *vm,
			       uint64_t term, uint64_t now);

/** Send a control call with the record's term over a new connection. */
void kl_failover_call_database(kl_failover_ctx_t *ctx, kl_database_op_t op,
			       const kl_upstream_t *upstream);

/**
 * Send seal calls to the databases that have not replied yet.
 *
 * @param only_upstream the one database to seal, or NULL for all
 */
void kl_failover_seal(kl_failover_ctx_t *ctx, const char *only_upstream);

/**
 * Whether a healthy replica that is not leaving has the complete log of the
 * sealed old primary.
 *
 * @param old_primary the old primary's reply to its seal call
 */
bool kl_failover_caught_up(const kl_failover_ctx_t *ctx,
			   const kl_seal_reply_t *old_primary);

/**
 * Choose the database to promote among those that were sealed.
 *
 * @return its reply, or NULL unless a majority of the group is sealed
 */
const kl_seal_reply_t *
kl_failover_choose_candidate(const kl_failover_ctx_t *ctx);

/** Find a database's reply to its seal call. @return NULL if there is none */
const kl_seal_reply_t *kl_failover_find_reply(const kl_failover_t *failover,
					      const char *upstream);

/** Process a database's answer to a seal or promote call. */
void kl_failover_handle_reply(kl_failover_t *failover,
			      const kl_database_answer_t *answer);

#endif
