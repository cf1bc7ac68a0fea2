/**
 * @file
 * Counts of operations by usage window, process and workspace.
 *
 * The counts of a process in a window never fall, so the highest one that is
 * known of it is the newest.  A count that arrives twice, or late, changes
 * nothing.
 */
#ifndef KL_USAGE_COUNTS_H
#define KL_USAGE_COUNTS_H

#include "control/node.h"

/** The operations of a workspace. */
typedef struct kl_usage_count {
	kl_named_t workspace;
	CK_STAILQ_ENTRY(kl_usage_count) link;
	uint64_t operations;
	/** Own counts: in the last message that had them. */
	uint64_t sent_operations;
	uint64_t acknowledged_operations; /**< own counts */
	/** Own counts: number of that message until it is answered, or 0. */
	uint32_t sent_sequence;
} kl_usage_count_t;

/** The counts of one process, or of all, in one window. */
typedef struct kl_usage_tally {
	CK_STAILQ_ENTRY(kl_usage_tally) link;
	uint64_t window;
	char vm[KL_NAME_MAX];
	uint64_t incarnation; /**< of the process */
	CK_STAILQ_HEAD(, kl_usage_count) counts;
	kl_index_t *index; /**< counts by workspace */
} kl_usage_tally_t;

typedef CK_STAILQ_HEAD(kl_usage_tallies, kl_usage_tally) kl_usage_tallies_t;

/** Create an empty tally. @return NULL when out of memory */
kl_usage_tally_t *kl_usage_tally_new(uint64_t window, const char *vm,
				     uint64_t incarnation);

/** Free a tally. */
void kl_usage_tally_free(kl_usage_tally_t *tally);

/** Find or add a workspace's count. @return NULL when out of memory */
kl_usage_count_t *kl_usage_tally_get(kl_usage_tally_t *tally,
				     const char *workspace);

/** Find or add the tally of a process. @return NULL when out of memory */
kl_usage_tally_t *kl_usage_tallies_get(kl_usage_tallies_t *tallies,
				       uint64_t window, const char *vm,
				       uint64_t incarnation);

/** Free the tallies of all windows before one; UINT64_MAX: all. */
void kl_usage_tallies_forget(kl_usage_tallies_t *tallies,
			     uint64_t before_window);

/** Add the counts of a window to a tally. */
void kl_usage_tallies_sum(const kl_usage_tallies_t *tallies, uint64_t window,
			  kl_usage_tally_t *sum);

#endif
