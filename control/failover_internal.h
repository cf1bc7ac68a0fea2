/**
 * @file
 * What the files of the failover controller share.
 */
#ifndef KL_FAILOVER_INTERNAL_H
#define KL_FAILOVER_INTERNAL_H

#include "control/node.h"

#define RETRY_US (200 * KL_MS) /* between two tries of one step */
#define REPLIES 16	       /* databases of one group */

typedef struct suspicion {
	CK_STAILQ_ENTRY(suspicion) link;
	char vm[KL_NAME_MAX];
	uint64_t term;
	uint64_t heard_us;
} suspicion_t;

typedef struct reply {
	char upstream[KL_NAME_MAX];
	uint64_t sealed;
	uint64_t term;
	uint64_t position;
} reply_t;

typedef struct change {
	kl_named_t name; /* the service */
	CK_STAILQ_ENTRY(change) link;
	CK_STAILQ_HEAD(, suspicion) suspicions;
	uint64_t suspect_us; /* quorum reached, or 0 */
	uint64_t told_us;
	uint64_t sent_us;  /* last database calls */
	uint64_t write_us; /* last conditional update */
	uint64_t version;  /* of the record the replies belong to */
	uint64_t term;	   /* of that record */
	uint64_t members;  /* version that the probers were chosen from */
	char probers[KL_PROBERS][KL_NAME_MAX];
	uint32_t prober_count;
	int rank; /* of this VM among them, or -1 */
	reply_t replies[REPLIES];
	uint32_t reply_count;
	bool promoted;
} change_t;

/* What one step sees. */
typedef struct view {
	kl_node_t *node;
	const kl_service_t *service;
	const kl_group_t *group;
	const kl_members_t *members;
	const kl_health_t *health;
	change_t *change;
	uint64_t now;
	int rank;
} view_t;

/** Choose the probers, anew only when the members changed. */
void kl_failover_choose_probers(view_t *view);

/** Note this VM's suspicion and tell the other probers. */
void kl_failover_suspect(view_t *view);

/** Whether a majority of the probers suspects the primary now. */
bool kl_failover_quorum(const view_t *view);

/** Take in a suspicion. */
void kl_failover_note(change_t *change, const char *vm, uint64_t term,
		      uint64_t now);

/** Start a control call in the record's term. */
void kl_failover_call(view_t *view, kl_database_op_t op,
		      const kl_upstream_t *upstream);

/** Seal the databases that have not answered yet, or only one of them. */
void kl_failover_seal(view_t *view, const char *only);

/** Whether a fit replica holds all that the sealed old primary holds. */
bool kl_failover_caught_up(const view_t *view, const reply_t *old);

/** The best of a sealed majority. @return NULL without a majority */
const reply_t *kl_failover_choose(const view_t *view);

/** A database's answer to its sealing. @return NULL if none came */
const reply_t *kl_failover_reply_of(const change_t *change,
				    const char *upstream);

/** Take in an answer of a database. */
void kl_failover_take_reply(change_t *change,
			    const kl_database_answer_t *answer);

#endif
