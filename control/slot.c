/*
 * The table of slots, which are equal parts of the workspaces' limits, each
 * owned by one VM: loads their records and tells which ones this VM may use.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/slot_internal.h"
#include "control/store_era.h"
#include "kumquatloft/share.h"

/* A slot is not used before the former owner's token loans have expired. */
#define TRANSFER_WAIT_US KL_SHARE_SETTLE_US
/* Least part of a workspace's burst that a slot stands for, statements. */
#define MIN_BURST_PER_SLOT 3

static void log_claim(kl_node_t *node, const slot_t *slot, const char *name);
static void lose_all(kl_slots_t *slots);
static bool decode_record(slot_t *slot, const char *body);
static bool reset_state(const kl_node_t *node, slot_t *slot, uint64_t version);
static bool belongs_to_earlier_process(const kl_node_t *node,
				       const slot_t *slot);
static bool is_usable(const kl_node_t *node, const kl_slots_t *slots,
		      const slot_t *slot);
static uint64_t claim_wait_us(const kl_node_t *node);

kl_slots_t *kl_slots_new(uint32_t count)
{
	kl_slots_t *slots = calloc(1, sizeof(*slots));

	if (!slots)
		return NULL;
	slots->count = count ? count : 1;
	slots->workspace_class_count = slots->count / KL_SLOTS_PER_CLASS;
	if (!slots->workspace_class_count)
		slots->workspace_class_count = 1;
	if (slots->workspace_class_count > KL_SLOT_CLASSES_MAX)
		slots->workspace_class_count = KL_SLOT_CLASSES_MAX;
	if (slots->count >
	    slots->workspace_class_count * KL_SLOTS_PER_CLASS_MAX)
		slots->count =
			slots->workspace_class_count * KL_SLOTS_PER_CLASS_MAX;
	slots->table = calloc(slots->count, sizeof(*slots->table));
	if (!slots->table) {
		free(slots);
		return NULL;
	}
	return slots;
}

void kl_slots_free(kl_slots_t *slots)
{
	if (!slots)
		return;
	free(slots->table);
	free(slots);
}

void kl_slots_load(kl_node_t *node, kl_slots_t *slots)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);

	memcpy(slots->self, node->self.vm, KL_NAME_MAX);
	if (!slots->incarnation)
		slots->incarnation = node->self.incarnation;
	if (!objects || objects->revision == slots->objects_revision)
		return;
	slots->objects_revision = objects->revision;
	if (!slots->first_load_us)
		slots->first_load_us = kl_node_now(node);
	for (uint32_t i = 0; i < slots->count; i++) {
		char name[KL_NAME_MAX];
		const kl_object_t *object;
		slot_t *slot = &slots->table[i];
		bool from_earlier_process, was_own;

		snprintf(name, sizeof(name), SLOT_PREFIX "%u", i);
		object = kl_index_get(objects->index, name);
		if (!object || object->version <= slot->record_version)
			continue;
		was_own = kl_slot_is_own(slots, slot);
		if (!was_own && slot->record_version &&
		    kl_version_era(object->version) >
			    kl_version_era(slot->record_version))
			slot->unused_until_us =
				kl_node_now(node) + claim_wait_us(node);
		from_earlier_process = reset_state(node, slot, object->version);
		slot->record_removed = !strcmp(object->body, "null");
		if (!decode_record(slot, object->body))
			slot->owner[0] = '\0';
		slot->from_earlier_process =
			from_earlier_process && kl_slot_is_own(slots, slot);
	}
}

void kl_slots_on_put_answer(kl_node_t *node, kl_slots_t *slots,
			    const kl_platform_answer_t *answer)
{
	uint32_t number = slots->count;
	bool created;
	slot_t *slot;

	if (sscanf(answer->name, SLOT_PREFIX "%u", &number) != 1 ||
	    number >= slots->count)
		return;
	slot = &slots->table[number];
	if (answer->error || !slot->update_is_claim ||
	    answer->call_sent_us != slot->update_sent_us ||
	    answer->revision <= slot->record_version)
		return;
	log_claim(node, slot, answer->name);
	created = !slot->record_version;
	slot->record_removed = false;
	slot->from_earlier_process = reset_state(node, slot, answer->revision);
	slot->created_here = created;
	memcpy(slot->owner, node->self.vm, KL_NAME_MAX);
	memcpy(slot->host, node->self.host, KL_HOST_MAX);
	slot->port = node->self.port;
	slot->incarnation = slots->incarnation;
	slot->revoked = false;
}

/* Logs from whom a slot was taken over, and why it could be. */
static void log_claim(kl_node_t *node, const slot_t *slot, const char *name)
{
	kl_decision_t decision = { .name = "slot_claimed",
				   .service = name,
				   .peer = slot->owner,
				   .reason = "free" };

	if (slot->revoked)
		decision.reason = "revoked";
	else if (slot->owner_missing_since_us)
		decision.reason = "owner_gone";
	else if (slot->owner[0])
		decision.reason = "restart";
	if (slot->owner_missing_since_us)
		decision.age_us =
			kl_node_now(node) - slot->owner_missing_since_us;
	node->ops->log_decision(node->ops_context, &decision);
}

/*
 * Claims that are under way are forgotten, too: their records name the
 * incarnation that has just ended.
 */
static void lose_all(kl_slots_t *slots)
{
	slots->incarnation++;
	for (uint32_t i = 0; i < slots->count; i++) {
		slots->table[i].update_sent_us = 0;
		slots->table[i].update_is_claim = false;
	}
}

/*
 * Resets the fields that describe one version of a slot's record, and stores
 * the new version.
 *
 * @return whether an earlier process at this address owned the old version
 */
static bool reset_state(const kl_node_t *node, slot_t *slot, uint64_t version)
{
	slot->record_version = version;
	slot->first_seen_us = kl_node_now(node);
	slot->owner_missing_since_us = 0;
	slot->claimable_since_us = 0;
	slot->update_sent_us = 0;
	slot->update_is_claim = false;
	slot->created_here = false;
	return belongs_to_earlier_process(node, slot);
}

/* Whether the owner was an earlier process at this VM's address. */
static bool belongs_to_earlier_process(const kl_node_t *node,
				       const slot_t *slot)
{
	return !slot->revoked && !strcmp(slot->owner, node->self.vm) &&
	       slot->incarnation < node->self.incarnation &&
	       !strcmp(slot->host, node->self.host) &&
	       slot->port == node->self.port;
}

kl_slot_set_t kl_slots_for_workspace(const kl_slots_t *slots,
				     const char *workspace, uint64_t burst)
{
	unsigned long long hash = kl_rendezvous_rank(workspace, "class");
	kl_slot_set_t set = {
		.class = (uint32_t)(hash % slots->workspace_class_count)
	};
	uint32_t class_size =
		(slots->count - set.class - 1) / slots->workspace_class_count +
		1;
	uint32_t first =
		(uint32_t)(hash / slots->workspace_class_count % class_size);

	set.count = burst / MIN_BURST_PER_SLOT < class_size
			    ? (uint32_t)(burst / MIN_BURST_PER_SLOT)
			    : class_size;
	if (!set.count)
		set.count = 1;
	/* Slots next to each other belong to different failure domains. */
	for (uint32_t i = 0; i < set.count; i++)
		set.mask |= 1ull << (first + i) % class_size;
	return set;
}

uint64_t kl_slots_scale_to_usable(const kl_node_t *node,
				  const kl_slots_t *slots, uint64_t limit)
{
	uint32_t usable = 0;

	for (uint32_t i = 0; i < slots->count; i++)
		usable += is_usable(node, slots, &slots->table[i]);
	return slots->count ? limit * usable / slots->count : 0;
}

uint64_t kl_slots_usable_mask(const kl_node_t *node, const kl_slots_t *slots,
			      uint32_t class)
{
	uint64_t mask = 0, bit = 1;

	for (uint32_t i = class;
	     i < slots->count && class < slots->workspace_class_count;
	     i += slots->workspace_class_count) {
		if (is_usable(node, slots, &slots->table[i]))
			mask |= bit;
		bit <<= 1;
	}
	return mask;
}

static bool is_usable(const kl_node_t *node, const kl_slots_t *slots,
		      const slot_t *slot)
{
	/*
	 * An earlier process at this address lent no tokens after it ended,
	 * which was at least min_downtime_us before this one started.
	 */
	uint64_t owned_since_us = slot->from_earlier_process
					  ? slots->first_load_us
					  : slot->first_seen_us;
	uint64_t unused_us =
		slot->from_earlier_process ? node->tuning.min_downtime_us : 0;

	return kl_slot_is_own(slots, slot) && !slot->revoked &&
	       kl_node_now(node) >= slot->unused_until_us &&
	       (slot->created_here ||
		kl_node_now(node) - owned_since_us + unused_us >=
			TRANSFER_WAIT_US);
}

uint64_t kl_slots_created_mask(const kl_slots_t *slots, uint32_t class)
{
	uint64_t mask = 0, bit = 1;

	for (uint32_t i = class; i < slots->count;
	     i += slots->workspace_class_count) {
		if (kl_slot_is_own(slots, &slots->table[i]) &&
		    slots->table[i].created_here)
			mask |= bit;
		bit <<= 1;
	}
	return mask;
}

uint64_t kl_slots_inherited_mask(const kl_slots_t *slots, uint32_t class)
{
	uint64_t mask = 0, bit = 1;

	for (uint32_t i = class; i < slots->count;
	     i += slots->workspace_class_count) {
		if (kl_slot_is_own(slots, &slots->table[i]) &&
		    slots->table[i].from_earlier_process)
			mask |= bit;
		bit <<= 1;
	}
	return mask;
}

bool kl_slots_all_created(const kl_slots_t *slots)
{
	for (uint32_t i = 0; i < slots->count; i++)
		if (!slots->table[i].record_version)
			return false;
	return true;
}

uint32_t kl_slots_owned(const kl_slots_t *slots)
{
	return kl_slots_owned_by(slots, slots->self);
}

const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, uint32_t class,
				   uint32_t number)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint32_t i = class + number * slots->workspace_class_count;
	const slot_t *slot;

	if (!members || i >= slots->count)
		return NULL;
	slot = &slots->table[i];
	if (!slot->owner[0] || slot->revoked ||
	    !strcmp(slot->owner, slots->self))
		return NULL;
	return kl_index_get(members->index, slot->owner);
}

static bool decode_record(slot_t *slot, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	const char *owner, *host;
	json_int_t incarnation;
	int port, revoked;
	bool valid = !json_unpack(json, "{s:s,s:I,s:s,s:i,s:b}", "owner",
				  &owner, "incarnation", &incarnation, "host",
				  &host, "port", &port, "revoked", &revoked) &&
		     strlen(host) < KL_HOST_MAX &&
		     !kl_name_copy(slot->owner, owner);

	if (valid) {
		memcpy(slot->host, host, strlen(host) + 1);
		slot->port = (uint16_t)port;
		slot->incarnation = (uint64_t)incarnation;
		slot->revoked = revoked;
	}
	json_decref(json);
	return valid;
}

bool kl_slot_is_own(const kl_slots_t *slots, const slot_t *slot)
{
	return !strcmp(slot->owner, slots->self) &&
	       slot->incarnation == slots->incarnation &&
	       slot->record_version > slot->released_version;
}

void kl_slots_check_registration(kl_node_t *node, kl_slots_t *slots)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *self =
		members ? kl_index_get(members->index, node->self.vm) : NULL;
	bool registered = self && self->registered;
	kl_decision_t decision = { .name = "slots_lost",
				   .reason = "unregistered" };

	if (kl_slots_end_with_record(node) && slots->was_registered &&
	    !registered) {
		lose_all(slots);
		node->ops->log_decision(node->ops_context, &decision);
	}
	slots->was_registered = registered;
}

bool kl_slots_end_with_record(const kl_node_t *node)
{
	return node->tuning.feed_count > 1;
}

/*
 * The owner of a slot may use it for slot_lease_us after its last confirmation,
 * by its own clock, which may run slower by a tenth.
 */
static uint64_t claim_wait_us(const kl_node_t *node)
{
	return node->tuning.slot_lease_us + node->tuning.slot_lease_us / 10;
}

/*
 * A VM whose record is gone gets no confirmation, and gives its slots up when
 * it learns of it.
 */
bool kl_slot_is_claimable(const kl_node_t *node, const kl_slots_t *slots,
			  const slot_t *slot, uint64_t now)
{
	uint64_t lease_us = claim_wait_us(node);

	if (!slot->owner[0])
		return true;
	if (slot->revoked)
		return now - slot->first_seen_us > lease_us;
	if (slot->owner_missing_since_us && kl_slots_end_with_record(node))
		return now - slot->owner_missing_since_us > lease_us;
	return belongs_to_earlier_process(node, slot) ||
	       (!strcmp(slot->owner, slots->self) &&
		slot->incarnation < slots->incarnation);
}

uint32_t kl_slots_owned_by(const kl_slots_t *slots, const char *vm)
{
	uint32_t owned = 0;

	for (uint32_t i = 0; i < slots->count; i++)
		owned += !strcmp(slots->table[i].owner, vm);
	return owned;
}
