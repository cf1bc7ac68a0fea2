/**
 * @file
 * What the files of the slots share.
 */
#ifndef KL_SLOT_INTERNAL_H
#define KL_SLOT_INTERNAL_H

#include "control/slot.h"

#define SLOT_PREFIX "slot/"

/* One part of the limits of a class, as recorded. */
typedef struct slot {
	char owner[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	uint64_t incarnation;
	bool revoked;
	uint64_t record_version;
	uint64_t first_seen_us;	   /* when this state was first seen */
	bool inherited;		   /* from an earlier process at this address */
	uint64_t released_version; /* version given up; not used up to it */
	uint64_t update_sent_us;   /* last conditional update */
	bool update_claims;	   /* it was a claim */
	uint64_t owner_missing_us; /* owner first seen unlisted, or 0 */
	uint64_t claimable_since_us; /* first seen without an owner, or 0 */
} slot_t;

struct kl_slots {
	uint32_t count;
	uint32_t classes;
	slot_t *table;
	char self[KL_NAME_MAX];
	uint64_t incarnation;
	uint64_t first_load_us;	   /* of this process */
	uint64_t objects_revision; /* of the objects read */
};

/** Whether this process owns a slot. */
bool kl_slot_is_own(const kl_slots_t *slots, const slot_t *slot);

/** Whether a slot may be claimed. */
bool kl_slot_is_claimable(const kl_node_t *node, const slot_t *slot,
			  uint64_t now);

/** How many slots are recorded as a VM's. */
uint32_t kl_slots_owned_by(const kl_slots_t *slots, const char *vm);

#endif
