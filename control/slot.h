/**
 * @file
 * Slots, each owned by one VM, recorded in the platform's service as objects
 * "slot/N".
 *
 * Workspaces are divided in classes by their names.  A slot is one of
 * KL_SLOTS_PER_CLASS parts of the limits of one class, and the parts of a class
 * lie in different failure domains as far as there are VMs for it.  A workspace
 * with a small burst uses some of the parts only: each must hold the tokens of
 * a few statements, however many VMs and workspaces there are.
 */
#ifndef KL_SLOT_H
#define KL_SLOT_H

#include "control/node.h"

#define KL_SLOTS_PER_CLASS 6	  /**< of a class, if there are so many slots */
#define KL_SLOTS_PER_CLASS_MAX 64 /**< of a class */
#define KL_SLOT_CLASSES_MAX 64	  /**< at most */

typedef struct kl_slots kl_slots_t;

/** Create the table of slots. @return NULL when out of memory */
kl_slots_t *kl_slots_new(uint32_t count);
void kl_slots_free(kl_slots_t *slots);

/** Take in what the platform's objects say. */
void kl_slots_load(kl_node_t *node, kl_slots_t *slots);

/** A claim was accepted: it need not wait for the news of it. */
void kl_slots_put_answered(kl_node_t *node, kl_slots_t *slots,
			   const kl_platform_answer_t *answer);

/** Claim, release and revoke, a few conditional updates at a time. */
void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving);

/** The equal parts that a workspace's limit is divided in. */
typedef struct kl_slot_set {
	uint32_t class; /**< below KL_SLOT_CLASSES_MAX */
	uint32_t count;
	uint64_t mask; /**< of those of its class, a bit each */
} kl_slot_set_t;

/** Find a workspace's parts. @param burst statements */
kl_slot_set_t kl_slots_for_workspace(const kl_slots_t *slots,
				     const char *workspace, uint64_t burst);

/** The part of a whole over all classes that this VM may use now. */
uint64_t kl_slots_portion(const kl_node_t *node, const kl_slots_t *slots,
			  uint64_t whole);

/** The parts of a class that this VM may use now, a bit each. */
uint64_t kl_slots_usable_mask(const kl_node_t *node, const kl_slots_t *slots,
			      uint32_t class);

/** The same, of those that an earlier process at this address owned. */
uint64_t kl_slots_inherited_mask(const kl_slots_t *slots, uint32_t class);

/** Slots that are recorded as this VM's, usable or not. */
uint32_t kl_slots_owned(const kl_slots_t *slots);

/**
 * A VM that owns a part of a class, to borrow from.
 *
 * @param number of the part, from 0 on
 * @return NULL if it is this VM's own, or nobody's
 */
const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, uint32_t class,
				   uint32_t number);

#endif
