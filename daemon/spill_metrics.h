/**
 * @file
 * Metrics of reads that an engine sends to other failure domains.
 */
#ifndef KL_SPILL_METRICS_H
#define KL_SPILL_METRICS_H

#include "path/engine.h"

/** Set the gauge, and add what was counted since the published counts. */
void kl_spill_publish(const kl_engine_t *engine,
		      const kl_engine_counts_t *published);

#endif
