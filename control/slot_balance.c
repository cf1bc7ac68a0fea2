/*
 * Balances the slots over the VMs: claims, releases and revokes them by
 * conditional updates of their records.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/prober.h"
#include "control/slot_internal.h"

/* An update of a slot without an answer for this long is sent again. */
#define UPDATE_RETRY_US (400 * KL_MS)
/* Delay of a claim by a VM that is less suitable; see claim_delay_us(). */
#define CLAIM_DELAY_US (1 * KL_SEC)
/*
 * A process that just started does not know all VMs yet, so that many of them
 * would claim the same slot.
 */
#define STARTUP_SETTLE_US (800 * KL_MS)
/* Slots are revoked when their owner has been unregistered for this long. */
#define REVOKE_AFTER_US (5 * KL_SEC)
#define MAX_UPDATES 3  /* updates of slots sent in one round */
#define MAX_DOMAINS 64 /* failure domains that are told apart */

/* State of one balancing round. */
typedef struct balance {
	uint32_t own_slot_count; /* slots that this process owns */
	uint32_t min_slots;	 /* even share of each VM, rounded down */
	uint32_t max_slots;	 /* the same rounded up; 0 when leaving */
	uint32_t update_count;	 /* updates sent in this round or unanswered */
	bool must_release_slot;	 /* this VM has to release a slot */
	uint32_t domain_count;	 /* failure domains with registered VMs */
	uint32_t domain_index; /* of this VM's domain, in the order of names */
} balance_t;

static uint64_t claim_delay_us(const kl_node_t *node, const kl_slots_t *slots,
			       uint32_t number, const balance_t *balance);
static bool is_confirmed(const kl_node_t *node, uint64_t now);
static bool is_claimable_by_any(const kl_slots_t *slots, const slot_t *slot);
static bool has_highest_rank(const kl_node_t *node, const kl_slots_t *slots,
			     uint32_t number, uint32_t max_slots);
static void count_domains(const kl_node_t *node, const kl_members_t *members,
			  balance_t *balance);
static void balance_slot(kl_node_t *node, kl_slots_t *slots, uint32_t number,
			 balance_t *balance);
static void put_record(kl_node_t *node, const kl_slots_t *slots, slot_t *slot,
		       uint32_t number, const char *owner, bool revoked);
static void find_missing_owners(kl_slots_t *slots, const kl_members_t *members,
				uint64_t now);
static void revoke_slots_of_missing(kl_node_t *node, kl_slots_t *slots,
				    const kl_members_t *members, uint64_t now);
static bool any_vm_below_min_slots(const kl_slots_t *slots,
				   const kl_members_t *members,
				   uint32_t min_slots);

void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);
	uint32_t active =
		members && members->active_count ? members->active_count : 1;
	uint32_t first = kl_node_random(node) % slots->count;
	uint32_t claimable = 0;
	balance_t balance = { 0 };

	if (!members || !is_confirmed(node, now))
		return;
	balance.min_slots = slots->count / active;
	balance.max_slots = leaving ? 0 : (slots->count + active - 1) / active;
	find_missing_owners(slots, members, now);
	if (!kl_slots_end_with_record(node))
		revoke_slots_of_missing(node, slots, members, now);
	for (uint32_t i = 0; i < slots->count; i++) {
		balance.own_slot_count +=
			kl_slot_is_own(slots, &slots->table[i]);
		claimable += kl_slot_is_claimable(node, slots, &slots->table[i],
						  now);
	}
	balance.must_release_slot =
		balance.own_slot_count > balance.max_slots ||
		(!leaving && !claimable &&
		 balance.own_slot_count > balance.min_slots &&
		 any_vm_below_min_slots(slots, members, balance.min_slots));
	count_domains(node, members, &balance);
	for (uint32_t n = 0;
	     n < slots->count && balance.update_count < MAX_UPDATES; n++) {
		uint32_t i = (first + n) % slots->count;
		slot_t *slot = &slots->table[i];

		if (is_claimable_by_any(slots, slot) &&
		    now - node->started_us < STARTUP_SETTLE_US)
			continue;
		if (!slot->claimable_since_us &&
		    kl_slot_is_claimable(node, slots, slot, now))
			slot->claimable_since_us = now;
		if (!slot->claimable_since_us || kl_slot_is_own(slots, slot) ||
		    now - slot->claimable_since_us >=
			    claim_delay_us(node, slots, i, &balance))
			balance_slot(node, slots, i, &balance);
	}
}

/*
 * Whether this VM knows which VMs are registered.  An owner was registered when
 * it wrote a slot's record, and the record must be older than slot_lease_us
 * before another VM claims it as one of an owner that is gone.
 */
static bool is_confirmed(const kl_node_t *node, uint64_t now)
{
	const kl_confirmation_t *confirmation =
		kl_node_get(node, KL_SECTION_CONFIRMATION);

	return confirmation && (!kl_slots_end_with_record(node) ||
				now - confirmation->confirmed_us <
					node->tuning.slot_lease_us / 2);
}

/* Whether a slot, if it is claimable, may be claimed by any VM. */
static bool is_claimable_by_any(const kl_slots_t *slots, const slot_t *slot)
{
	return strcmp(slot->owner, slots->self) || slot->revoked;
}

/*
 * How long a slot must have been claimable before this VM claims it.  The slots
 * of one class are assigned to the failure domains in turn.  The first to claim
 * is the VM of the slot's domain with the highest rank, then the others of that
 * domain, then other VMs that have too few slots, then any VM.  The delays keep
 * a released slot from going back to the VM that released it, and most VMs from
 * competing for the same slot.
 */
static uint64_t claim_delay_us(const kl_node_t *node, const kl_slots_t *slots,
			       uint32_t number, const balance_t *balance)
{
	const slot_t *slot = &slots->table[number];
	bool below_min_slots = balance->own_slot_count < balance->min_slots ||
			       !balance->own_slot_count;

	/* An earlier process at this address owned the slot, or this one. */
	if (!is_claimable_by_any(slots, slot))
		return 0;
	if (!below_min_slots)
		return 2 * CLAIM_DELAY_US;
	if (number / slots->workspace_class_count % balance->domain_count !=
	    balance->domain_index)
		return CLAIM_DELAY_US;
	return has_highest_rank(node, slots, number, balance->max_slots)
		       ? 0
		       : CLAIM_DELAY_US / 2;
}

/*
 * Whether no VM of this failure domain that may own another slot ranks higher
 * for this one.
 */
static bool has_highest_rank(const kl_node_t *node, const kl_slots_t *slots,
			     uint32_t number, uint32_t max_slots)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	unsigned long long own_rank;
	const kl_member_t *member;
	char name[KL_NAME_MAX];

	snprintf(name, sizeof(name), SLOT_PREFIX "%u", number);
	own_rank = kl_rendezvous_rank(name, node->self.vm);
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->registered && !member->leaving &&
		    !strcmp(member->domain, node->self.domain) &&
		    kl_rendezvous_rank(name, member->name.name) > own_rank &&
		    kl_slots_owned_by(slots, member->name.name) < max_slots)
			return false;
	}
	return true;
}

/* Counts the failure domains and finds the index of this VM's domain. */
static void count_domains(const kl_node_t *node, const kl_members_t *members,
			  balance_t *balance)
{
	const char *domains[MAX_DOMAINS];
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		bool known = !member->registered;

		for (uint32_t i = 0; i < balance->domain_count; i++)
			known |= !strcmp(domains[i], member->domain);
		if (known || balance->domain_count == MAX_DOMAINS)
			continue;
		domains[balance->domain_count++] = member->domain;
		balance->domain_index +=
			strcmp(member->domain, node->self.domain) < 0;
	}
	if (!balance->domain_count)
		balance->domain_count = 1;
}

static void balance_slot(kl_node_t *node, kl_slots_t *slots, uint32_t number,
			 balance_t *balance)
{
	uint64_t now = kl_node_now(node);
	slot_t *slot = &slots->table[number];

	if (slot->update_sent_us &&
	    now - slot->update_sent_us < UPDATE_RETRY_US) {
		balance->update_count += !kl_slot_is_own(slots, slot);
	} else if (balance->own_slot_count < balance->max_slots &&
		   kl_slot_is_claimable(node, slots, slot, now)) {
		put_record(node, slots, slot, number, node->self.vm, false);
		balance->own_slot_count++;
		balance->update_count++;
	} else if (balance->must_release_slot && kl_slot_is_own(slots, slot)) {
		/* Stops using the slot first: the answer may be lost. */
		slot->released_version = slot->record_version;
		put_record(node, slots, slot, number, "", false);
		balance->own_slot_count--;
		balance->update_count++;
		balance->must_release_slot =
			balance->own_slot_count > balance->max_slots;
	} else if (!strcmp(slot->owner, slots->self) &&
		   !kl_slot_is_own(slots, slot) &&
		   (slot->released_version == slot->record_version ||
		    kl_slot_is_claimable(node, slots, slot, now))) {
		/* Released without an answer, or lost and not needed again. */
		put_record(node, slots, slot, number, "", false);
		balance->update_count++;
	}
}

static void put_record(kl_node_t *node, const kl_slots_t *slots, slot_t *slot,
		       uint32_t number, const char *owner, bool revoked)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_SHARE,
				    .sent_us = kl_node_now(node),
				    .version = slot->record_removed
						       ? 0
						       : slot->record_version };
	json_t *json;
	char *body;

	slot->update_sent_us = call.sent_us;
	slot->update_is_claim = *owner && !revoked;
	json = json_pack(
		"{s:s,s:I,s:s,s:i,s:b}", "owner", owner, "incarnation",
		(json_int_t)(revoked ? slot->incarnation : slots->incarnation),
		"host", revoked ? slot->host : node->self.host, "port",
		revoked ? slot->port : node->self.port, "revoked", revoked);
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (!body)
		return;
	snprintf(call.name, sizeof(call.name), SLOT_PREFIX "%u", number);
	call.body = body;
	node->ops->call_platform(node->ops_context, &call);
	free(body);
}

/* Notes since when the owners of slots have not been registered. */
static void find_missing_owners(kl_slots_t *slots, const kl_members_t *members,
				uint64_t now)
{
	for (uint32_t i = 0; i < slots->count; i++) {
		slot_t *slot = &slots->table[i];
		const kl_member_t *owner =
			kl_index_get(members->index, slot->owner);

		if (!slot->owner[0] || !strcmp(slot->owner, slots->self) ||
		    (owner && owner->registered))
			slot->owner_missing_since_us = 0;
		else if (!slot->owner_missing_since_us)
			slot->owner_missing_since_us = now;
	}
}

/* Revokes slots without a registered owner; the first prober of each acts. */
static void revoke_slots_of_missing(kl_node_t *node, kl_slots_t *slots,
				    const kl_members_t *members, uint64_t now)
{
	for (uint32_t i = 0; i < slots->count; i++) {
		slot_t *slot = &slots->table[i];
		char name[KL_NAME_MAX];

		if (!slot->owner_missing_since_us || slot->revoked ||
		    now - slot->owner_missing_since_us < REVOKE_AFTER_US ||
		    (slot->update_sent_us &&
		     now - slot->update_sent_us < UPDATE_RETRY_US))
			continue;
		snprintf(name, sizeof(name), SLOT_PREFIX "%u", i);
		if (kl_prober_rank(node, members, name) == 0)
			put_record(node, slots, slot, i, slot->owner, true);
	}
}

/* Whether any active VM owns fewer slots than min_slots. */
static bool any_vm_below_min_slots(const kl_slots_t *slots,
				   const kl_members_t *members,
				   uint32_t min_slots)
{
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->registered && !member->leaving &&
		    kl_slots_owned_by(slots, member->name.name) < min_slots)
			return true;
	}
	return false;
}
