/**
 * @file
 * Types and functions shared by the files of the controller load.
 */
#ifndef KL_LOAD_INTERNAL_H
#define KL_LOAD_INTERNAL_H

#include "control/controllers.h"
#include "control/load_answers.h"

/** Figures of a database: this VM's own, or the last answers of others. */
typedef struct kl_load_entry {
	kl_load_t load; /**< first: its name is the index key */
	CK_STAILQ_ENTRY(kl_load_entry) link;
	kl_load_report_t own;	   /**< sampled_us 0: none */
	uint64_t others_needed_us; /**< last time of such a report, or 0 */
	uint64_t changed_us;
	kl_load_answers_t answers;
	uint64_t answered_query_us; /**< time of the last query answered */
} kl_load_entry_t;

/** State of the controller. */
typedef struct kl_load_state {
	CK_STAILQ_HEAD(, kl_load_entry) entries;
	uint32_t count;
	kl_index_t *index; /**< entries by "SERVICE/UPSTREAM" */
	/** times of the last queries */
	uint64_t query_times_us[KL_LOAD_ANSWERS_MAX];
	uint32_t query_count;
	uint64_t last_query_us;
} kl_load_state_t;

/**
 * Ask one random other VM of each domain for the load of the services for which
 * it was needed lately, unless the last query is too recent.
 */
void kl_load_send_query(kl_node_t *node, kl_load_state_t *state);

/** Answer a query with this VM's own recent figures. */
void kl_load_answer_query(kl_node_t *node, const kl_load_state_t *state,
			  const kl_peer_message_t *query);

#endif
