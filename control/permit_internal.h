/**
 * @file
 * Declarations shared by the files of the permit controller.
 */
#ifndef KL_PERMIT_INTERNAL_H
#define KL_PERMIT_INTERNAL_H

#include "board/permit.h"
#include "control/node.h"
#include "control/permit_grant.h"

/** A message of this step; those of one kind to one VM are merged. */
typedef struct kl_permit_outgoing {
	CK_STAILQ_ENTRY(kl_permit_outgoing) link;
	char vm[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	kl_peer_message_t message;
} kl_permit_outgoing_t;

/** The messages of this step. */
typedef struct kl_permit_outbox {
	CK_STAILQ_HEAD(, kl_permit_outgoing) list;
	uint64_t last_sent_us; /**< of the newest request; no two are equal */
} kl_permit_outbox_t;

/** What this VM last told an upstream's arbiter, and heard from it. */
typedef struct kl_permit_asker {
	char arbiter[KL_NAME_MAX]; /**< or "" if there is none */
	uint64_t members_sequence; /**< of the MEMBERS it was chosen from */
	uint64_t sent_us;	   /**< time of the last request, or 0 */
	/** Time of the first request not answered yet, or 0. */
	uint64_t waiting_since_us;
	uint64_t heard_us;	/**< time of the last answer */
	uint64_t seen_sequence; /**< of the newest grant */
	uint32_t held;		/**< as told to the arbiter, and its grants */
	uint32_t wanted[KL_PERMIT_LEVELS]; /**< less what it granted since */
	bool was_contended;		   /**< as of the last update */
	/** The arbiter has answered, and cannot grant all that is wanted. */
	bool kept_waiting;
	uint64_t refresh_us; /**< interval of reports, set by the arbiter */
	/**
	 * Shortest round trip, when it was measured, and the difference of the
	 * clocks that its answer showed.
	 */
	uint64_t round_trip_us;
	uint64_t round_trip_at_us; /**< or 0 */
	int64_t clock_difference_us;
} kl_permit_asker_t;

/** An upstream: this VM's account, and its pool where it is the arbiter. */
typedef struct kl_permit_entry {
	kl_named_t name; /**< "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(kl_permit_entry) link;
	char domain[KL_NAME_MAX]; /**< of the upstream */
	uint32_t slots;
	bool in_configuration;
	kl_permit_account_t *account;
	kl_permit_asker_t asker;
	kl_permit_pool_t *pool; /**< NULL until another VM asks */
} kl_permit_entry_t;

/** Find or add the message of a kind to a VM. @return NULL if that failed */
kl_peer_message_t *kl_permit_outbox_message(const kl_node_t *node,
					    kl_permit_outbox_t *outbox,
					    const char *vm,
					    kl_peer_kind_t kind);

/** Send the messages of this step. */
void kl_permit_outbox_send(kl_node_t *node, kl_permit_outbox_t *outbox);

/**
 * Choose the arbiter after the members changed: the registered VM of the
 * upstream's failure domain that ranks highest for it, or of all VMs if the
 * domain has none.
 *
 * @return whether it is another one than before
 */
bool kl_permit_choose_arbiter(const kl_node_t *node, kl_permit_entry_t *entry);

/** Arbiter: tell all VMs that an upstream is contended. */
void kl_permit_notify(kl_node_t *node, const kl_permit_entry_t *entry,
		      kl_permit_outbox_t *outbox);

/** Take in such a notice, unless it comes from another VM. */
void kl_permit_accept_notice(kl_node_t *node, kl_permit_entry_t *entry,
			     const char *from);

/** Tell the arbiter what changed, and request permits that are wanted. */
void kl_permit_ask(kl_node_t *node, kl_permit_entry_t *entry,
		   kl_permit_outbox_t *outbox);

/** Take in an arbiter's answer. @return whether statements may be tried */
bool kl_permit_accept(kl_node_t *node, kl_permit_entry_t *entry,
		      const kl_peer_message_t *message,
		      const kl_permit_grant_t *grant);

#endif
