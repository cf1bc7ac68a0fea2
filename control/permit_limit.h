/**
 * @file
 * How many permits of an upstream may be outstanding: as many as it has slots,
 * and an allowance for those that are under way in messages.
 *
 * It uses no messages and no clock.
 */
#ifndef KL_PERMIT_LIMIT_H
#define KL_PERMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** State of the adaptation. */
typedef struct kl_permit_limit {
	uint32_t slots;	    /**< statements that the upstream runs at once */
	uint32_t allowance; /**< permits beyond the slots */
	bool is_short;	    /**< set when VMs wait; cleared by each interval */
	uint64_t interval_start_us;
	uint64_t interval_latency_us; /**< of the statements answered in it */
	/** moving average of the statements inside, in hundredths */
	uint64_t inside_percent;
} kl_permit_limit_t;

/** Set the initial allowance. */
void kl_permit_limit_init(kl_permit_limit_t *limit, uint32_t slots,
			  uint64_t now_us);

/** Add latencies of statements that were answered, microseconds. */
void kl_permit_limit_add(kl_permit_limit_t *limit, uint64_t latency_us);

/**
 * Adapt the allowance at the end of each interval: fewer permits while
 * statements queue inside the database, more while slots are idle and VMs wait.
 */
void kl_permit_limit_adapt(kl_permit_limit_t *limit, uint64_t now_us);

#endif
