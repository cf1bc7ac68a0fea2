/**
 * @file
 * Slots: equal parts of the workspaces' limits, each owned by one VM.
 *
 * A VM admits statements and connections of a workspace up to the parts that it
 * owns, its quota, and borrows tokens from the owners of other slots when it is
 * short of them.  The owner of a slot is recorded on the platform as the object
 * "slot/N".  Workspaces are hashed by name into classes, and the limits of a
 * class are divided among its KL_SLOTS_PER_CLASS slots.  The slots of a class
 * are owned in different failure domains as far as there are VMs for it.  A
 * workspace with a small burst uses only some slots of its class, because each
 * must hold the tokens of a few statements however many VMs and workspaces
 * there are.
 */
#ifndef KL_SLOT_H
#define KL_SLOT_H

#include "control/node.h"

/** Usual number of slots of a class; more if there are many slots. */
#define KL_SLOTS_PER_CLASS 6
/** Most slots of a class, since a set of slots has a bit for each. */
#define KL_SLOTS_PER_CLASS_MAX 64
/** Most classes of workspaces. */
#define KL_SLOT_CLASSES_MAX 64

typedef struct kl_slots kl_slots_t;

/**
 * Create the table of slots.
 *
 * @param count number of slots of all VMs together
 * @return the table or NULL when out of memory
 */
kl_slots_t *kl_slots_new(uint32_t count);
void kl_slots_free(kl_slots_t *slots);

/** Load the records of the slots from the blackboard if they changed. */
void kl_slots_load(kl_node_t *node, kl_slots_t *slots);

/**
 * Apply the platform's answer to an update of a slot: a claim that succeeded is
 * used without waiting for the changed object to arrive.
 */
void kl_slots_on_put_answer(kl_node_t *node, kl_slots_t *slots,
			    const kl_platform_answer_t *answer);

/**
 * Claim, release and revoke slots, a few conditional updates at a time.
 *
 * @param leaving release all slots of this VM
 */
void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving);

/**
 * Give up all slots of this process if its VM's record was marked gone: others
 * may claim them, so it must not use them when it is registered again.
 */
void kl_slots_check_registration(kl_node_t *node, kl_slots_t *slots);

/** The slots among which one workspace's limits are divided equally. */
typedef struct kl_slot_set {
	uint32_t class; /**< class of the workspace, from 0 */
	uint32_t count; /**< number of slots in the set */
	uint64_t mask;	/**< bit i is the i-th slot of the class */
} kl_slot_set_t;

/** Find the slots of a workspace. @param burst of its plan, statements */
kl_slot_set_t kl_slots_for_workspace(const kl_slots_t *slots,
				     const char *workspace, uint64_t burst);

/** Scale a total by the fraction of all slots that this VM may use now. */
uint64_t kl_slots_scale_to_usable(const kl_node_t *node,
				  const kl_slots_t *slots, uint64_t total);

/** The slots of a class that this VM may use now, as the bits of a set. */
uint64_t kl_slots_usable_mask(const kl_node_t *node, const kl_slots_t *slots,
			      uint32_t class);

/**
 * This VM's slots of a class that an earlier process at its address owned, as
 * the bits of a set.
 */
uint64_t kl_slots_inherited_mask(const kl_slots_t *slots, uint32_t class);

/**
 * This VM's slots of a class that no VM owned before this process, as the bits
 * of a set.
 */
uint64_t kl_slots_created_mask(const kl_slots_t *slots, uint32_t class);

/** Whether every slot has had an owner, ever since the fleet's first start. */
bool kl_slots_all_created(const kl_slots_t *slots);

/** Number of slots recorded as this VM's, usable or not. */
uint32_t kl_slots_owned(const kl_slots_t *slots);

/**
 * Find the VM that owns a slot of a class, to borrow tokens from.
 *
 * @param number of the slot within the class, from 0
 * @return NULL if the slot is this VM's own, revoked, or has no known owner
 */
const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, uint32_t class,
				   uint32_t number);

#endif
