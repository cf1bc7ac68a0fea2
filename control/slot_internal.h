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
	uint64_t version;
	uint64_t seen_us;   /* when this state was first seen */
	bool inherited;	    /* from an earlier process at this address */
	uint64_t dropped;   /* version given up; not used up to it */
	uint64_t write_us;  /* last conditional update */
	bool claims;	    /* it was a claim */
	uint64_t absent_us; /* owner first seen unlisted, or 0 */
	uint64_t free_us;   /* first seen without an owner, or 0 */
} slot_t;

struct kl_slots {
	uint32_t count;
	uint32_t classes;
	slot_t *table;
	char self[KL_NAME_MAX];
	uint64_t incarnation;
	uint64_t started_us; /* of this process */
	uint64_t revision;   /* of the objects read */
};

/** Whether this process owns a slot. */
bool kl_slot_mine(const kl_slots_t *slots, const slot_t *slot);

/** Whether a slot may be claimed. */
bool kl_slot_free(const kl_node_t *node, const slot_t *slot, uint64_t now);

/** How many slots are recorded as a VM's. */
uint32_t kl_slots_of(const kl_slots_t *slots, const char *vm);

#endif
