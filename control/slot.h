/**
 * @file
 * Slots, each owned by one VM, recorded in the platform's service as objects
 * "slot/N".
 *
 * Workspaces are divided in classes by their names.  A slot is one of
 * KL_SLOT_PARTS equal parts of the limits of one class, and the parts of a
 * class lie in different failure domains as far as there are VMs for it: a part
 * must hold a statement's tokens, however many VMs and workspaces there are.
 */
#ifndef KL_SLOT_H
#define KL_SLOT_H

#include "control/node.h"

#define KL_SLOT_PARTS 6	   /**< of a class, if there are so many slots */
#define KL_SLOT_CLASSES 64 /**< at most */

typedef struct kl_slots kl_slots_t;

/** Create the table of slots. @return NULL when out of memory */
kl_slots_t *kl_slots_new(uint32_t count);
void kl_slots_free(kl_slots_t *slots);

/** Take in what the platform's objects say. */
void kl_slots_read(kl_node_t *node, kl_slots_t *slots);

/** Claim, release and revoke, a few conditional updates at a time. */
void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving);

/** The class of a workspace, below KL_SLOT_CLASSES. */
uint32_t kl_slots_class(const kl_slots_t *slots, const char *workspace);

/** The part of a whole over all classes that this VM may use now. */
uint64_t kl_slots_part(const kl_node_t *node, const kl_slots_t *slots,
		       uint64_t whole);

/** The parts of a class that this VM may use now, of KL_SHARE_WHOLE. */
uint64_t kl_slots_owned(const kl_node_t *node, const kl_slots_t *slots,
			uint32_t class);

/** Note how long another VM's process has been up. */
void kl_slots_heard(kl_node_t *node, kl_slots_t *slots, const char *vm,
		    uint64_t uptime_us);

/**
 * After a restart of all VMs at once nobody holds a loan of an earlier process,
 * and inherited parts need not wait for them to run out: find out.
 */
void kl_slots_settle(kl_node_t *node, kl_slots_t *slots);

/** The parts of a class that an earlier process at this address owned. */
uint64_t kl_slots_inherited(const kl_slots_t *slots, uint32_t class);

/** Slots that are recorded as this VM's, usable or not. */
uint32_t kl_slots_held(const kl_slots_t *slots);

/**
 * A VM that owns a part of a class, to borrow from.
 *
 * @param number of the part, from 0 on; they are taken in turns
 * @return NULL if it is this VM's own, or nobody's
 */
const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, uint32_t class,
				   uint32_t number);

#endif
