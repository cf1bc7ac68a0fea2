/**
 * @file
 * What the files of the failover controller share.
 */
#ifndef KL_FAILOVER_INTERNAL_H
#define KL_FAILOVER_INTERNAL_H

#include "control/node.h"

#define RETRY_INTERVAL_US (200 * KL_MS) /* between two tries of one step */
#define REPLIES_MAX 16			/* databases of one group */

typedef struct kl_suspicion {
	CK_STAILQ_ENTRY(kl_suspicion) link;
	char vm[KL_NAME_MAX];
	uint64_t term;
	uint64_t received_us;
} kl_suspicion_t;

typedef struct kl_seal_reply {
	char upstream[KL_NAME_MAX];
	uint64_t min_term;
	uint64_t term;
	uint64_t position;
} kl_seal_reply_t;

typedef struct kl_failover {
	kl_named_t name; /* the service */
	CK_STAILQ_ENTRY(kl_failover) link;
	CK_STAILQ_HEAD(, kl_suspicion) suspicions;
	uint64_t triggered_us; /* quorum reached, or 0 */
	uint64_t suspicion_sent_us;
	uint64_t database_call_us; /* last database calls */
	uint64_t record_write_us;  /* last conditional update */
	uint64_t record_version;   /* of the record the replies belong to */
	uint64_t record_term;	   /* of that record */
	uint64_t
		members_version; /* version that the probers were chosen from */
	char probers[KL_PROBERS_PER_GROUP][KL_NAME_MAX];
	uint32_t prober_count;
	int prober_rank; /* of this VM among them, or -1 */
	kl_seal_reply_t replies[REPLIES_MAX];
	uint32_t reply_count;
	bool candidate_promoted;
} kl_failover_t;

/* What one step sees. */
typedef struct kl_failover_ctx {
	kl_node_t *node;
	const kl_service_t *service;
	const kl_group_t *group;
	const kl_members_t *members;
	const kl_health_t *health;
	kl_failover_t *failover;
	uint64_t now;
	int prober_rank;
} kl_failover_ctx_t;

/** Choose the probers, anew only when the members changed. */
void kl_failover_update_probers(kl_failover_ctx_t *view);

/** Note this VM's suspicion and tell the other probers. */
void kl_failover_suspect(kl_failover_ctx_t *view);

/** Whether a majority of the probers suspects the primary now. */
bool kl_failover_has_quorum(const kl_failover_ctx_t *view);

/** Take in a suspicion. */
void kl_failover_add_suspicion(kl_failover_t *change, const char *vm,
			       uint64_t term, uint64_t now);

/** Start a control call in the record's term. */
void kl_failover_call_database(kl_failover_ctx_t *view, kl_database_op_t op,
			       const kl_upstream_t *upstream);

/** Seal the databases that have not answered yet, or only one of them. */
void kl_failover_seal(kl_failover_ctx_t *view, const char *only);

/** Whether a fit replica holds all that the sealed old primary holds. */
bool kl_failover_caught_up(const kl_failover_ctx_t *view,
			   const kl_seal_reply_t *old);

/** The best of a sealed majority. @return NULL without a majority */
const kl_seal_reply_t *kl_failover_candidate(const kl_failover_ctx_t *view);

/** A database's answer to its sealing. @return NULL if none came */
const kl_seal_reply_t *kl_failover_find_reply(const kl_failover_t *change,
					      const char *upstream);

/** Take in an answer of a database. */
void kl_failover_handle_reply(kl_failover_t *change,
			      const kl_database_answer_t *answer);

#endif
