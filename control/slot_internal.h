/**
 * @file
 * Declarations shared by the files that implement kl_slots_t.
 */
#ifndef KL_SLOT_INTERNAL_H
#define KL_SLOT_INTERNAL_H

#include "control/slot.h"

#define SLOT_PREFIX "slot/"

/* The record of a slot, and what this VM knows about it. */
typedef struct slot {
	char owner[KL_NAME_MAX]; /* VM that owns the slot, or "" */
	char host[KL_HOST_MAX];	 /* of the owner */
	uint16_t port;		 /* of the owner */
	uint64_t incarnation;	 /* of the owner */
	bool revoked; /* the owner must stop using it once it learns so */
	bool record_removed;	 /* so that it can only be created */
	uint64_t record_version; /* last seen, for conditional updates */
	uint64_t first_seen_us;	 /* when this version was first seen */
	/*
	 * Not usable until then: the store was restored from a copy, and
	 * another VM may have owned the slot since.
	 */
	uint64_t unused_until_us;
	bool from_earlier_process; /* owned before by an earlier process at this
				      address */
	bool created_here; /* this process created the record: no VM has ever
			      used or lent its tokens */
	uint64_t released_version; /* newest version that this VM released */
	uint64_t update_sent_us;   /* last update sent for this version, or 0 */
	bool update_is_claim;	   /* that update claims the slot */
	/* Time since which the owner is not registered, or 0. */
	uint64_t owner_missing_since_us;
	uint64_t claimable_since_us; /* since when it may be claimed, or 0 */
} slot_t;

struct kl_slots {
	uint32_t count;			/* slots of all VMs together */
	uint32_t workspace_class_count; /* classes that workspaces are hashed
					   into */
	slot_t *table; /* slot i is of class i % workspace_class_count */
	char self[KL_NAME_MAX]; /* this VM */
	/*
	 * Of this process; it rises when the process loses its slots, so that
	 * their records no longer name it.
	 */
	uint64_t incarnation;
	bool was_registered;	   /* this VM's record, when last checked */
	uint64_t first_load_us;	   /* when the records were first loaded */
	uint64_t objects_revision; /* of the objects that were loaded last */
};

/** Whether this process owns a slot and has not released it. */
bool kl_slot_is_own(const kl_slots_t *slots, const slot_t *slot);

/** Whether a slot may be claimed now. */
bool kl_slot_is_claimable(const kl_node_t *node, const kl_slots_t *slots,
			  const slot_t *slot, uint64_t now);

/**
 * Whether a VM whose record is marked gone gets no confirmation, so that its
 * slots need not be revoked.
 */
bool kl_slots_end_with_record(const kl_node_t *node);

/** Number of slots recorded as a VM's. */
uint32_t kl_slots_owned_by(const kl_slots_t *slots, const char *vm);

#endif
