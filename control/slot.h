/**
 * @file
 * Slots: equal parts of every limit, each owned by one VM, recorded in the
 * platform's service as objects "slot/N".
 */
#ifndef KL_SLOT_H
#define KL_SLOT_H

#include "control/node.h"

typedef struct kl_slots kl_slots_t;

/** Create the table of slots. @return NULL when out of memory */
kl_slots_t *kl_slots_new(uint32_t count);
void kl_slots_free(kl_slots_t *slots);

/** Take in what the platform's objects say. */
void kl_slots_read(kl_node_t *node, kl_slots_t *slots);

/** Claim, release and revoke, a few conditional updates at a time. */
void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving);

/** The part of a whole that this VM may use now, rounded down. */
uint64_t kl_slots_part(const kl_node_t *node, const kl_slots_t *slots,
		       uint64_t whole);

/** Note how long another VM's process has been up. */
void kl_slots_heard(kl_node_t *node, kl_slots_t *slots, const char *vm,
		    uint64_t uptime_us);

/**
 * After a restart of all VMs at once nobody holds a loan of an earlier process,
 * and inherited parts need not wait for them to run out: find out.
 */
void kl_slots_settle(kl_node_t *node, kl_slots_t *slots);

/** The part of a whole that an earlier process at this address owned. */
uint64_t kl_slots_inherited(const kl_slots_t *slots, uint64_t whole);

/** Slots that are recorded as this VM's, usable or not. */
uint32_t kl_slots_held(const kl_slots_t *slots);

/**
 * The next VM that owns slots, to borrow from.
 *
 * @param near only one of this VM's own failure domain
 * @param cursor where to go on, kept by the caller
 */
const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, bool near,
				   uint32_t *cursor);

#endif
