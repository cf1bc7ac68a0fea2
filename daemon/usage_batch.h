/**
 * @file
 * Operations of workspaces that a worker counted since it last reported them to
 * the control thread.  Used by one thread.
 */
#ifndef KL_USAGE_BATCH_H
#define KL_USAGE_BATCH_H

#include "control/node.h"

/**
 * Count an operation that a database began to run.
 *
 * @param began_us microseconds of the node's clock
 */
void kl_usage_batch_add(kl_usage_samples_t *batch, const char *workspace,
			uint64_t began_us);

/** Free the samples of a list and leave it empty. */
void kl_usage_batch_clear(kl_usage_samples_t *batch);

#endif
