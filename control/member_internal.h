/**
 * @file
 * Declarations shared by the files of the member controller.
 */
#ifndef KL_MEMBER_INTERNAL_H
#define KL_MEMBER_INTERNAL_H

#include "control/controllers.h"

/** A VM counts as out of touch this long after its last message. */
#define KL_IN_TOUCH_US (2500 * KL_MS)
/** A mistaken mark by a lonely VM keeps it from others for this long. */
#define KL_LONELY_PAUSE_US (60 * KL_SEC)

/** A VM that this one knows from its record or from a hello. */
typedef struct kl_vm_entry {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_vm_entry) link;
	kl_member_t member;
	uint64_t record_version; /* 0 for a VM known from hellos only */
	bool record_removed;	 /* so that it can only be created */
	char registered_host[KL_HOST_MAX]; /* host in the record, or "" */
	/* time of the first hello by a check after its last message, or 0 */
	uint64_t unanswered_since_us;
	bool marked_while_lonely; /* by this VM, see mark_while_lonely() */
} kl_vm_entry_t;

/** State of the member controller. */
typedef struct kl_member_state {
	char self[KL_NAME_MAX];
	CK_STAILQ_HEAD(, kl_vm_entry) list; /* in the order of names */
	kl_index_t *index;
	size_t count;
	uint64_t objects_revision; /* of the objects applied */
	uint64_t last_forget_us;
	uint64_t published_version; /* of the members published last */
	uint64_t last_register_us;  /* last update of this VM's record */
	uint64_t last_check_us;
	uint64_t in_touch_since_us; /* with at least half of the others, or 0 */
	uint64_t lonely_since_us;   /* in touch with fewer since then, or 0 */
	uint64_t last_lonely_mark_us;
	uint64_t lonely_pause_until_us;
	bool stopping;	      /* a planned stop has begun */
	bool leaving_written; /* this VM's record was set to "leaving" */
	bool members_changed; /* since the last publication */
} kl_member_state_t;

/** Write a VM's record; status is its "state", or NULL to remove it. */
void kl_member_put_record(kl_node_t *node, const kl_vm_entry_t *vm,
			  const char *status);

/** Check the other VMs, and mark those gone that are silent. */
void kl_member_check_peers(kl_node_t *node, kl_member_state_t *state,
			   uint64_t now);

#endif
