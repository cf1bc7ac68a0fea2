#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/prober.h"
#include "control/slot.h"
#include "kumquatloft/share.h"

#define PREFIX "slot/"
#define RETRY_US (400 * KL_MS) /* between two updates of one slot */
#define SETTLE_US KL_SHARE_SETTLE_US
#define PREFER_US (1 * KL_SEC) /* a free slot is left to others first */
#define ABSENT_US (5 * KL_SEC) /* unlisted so long: revoked */
#define UPDATES 3	       /* conditional updates of one round */
#define DOMAINS_MAX 64	       /* more are not told apart */
#define PART_BURST 3	       /* statements that a part holds, at least */

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

/* What one round of balancing has to do. */
typedef struct balance {
	uint32_t held;
	uint32_t floor;
	uint32_t ceiling;
	uint32_t updates;
	bool excess;
	uint32_t domains; /* failure domains with VMs */
	uint32_t turn;	  /* of this VM's one among them */
} balance_t;

struct kl_slots {
	uint32_t count;
	uint32_t classes;
	slot_t *table;
	char self[KL_NAME_MAX];
	uint64_t incarnation;
	uint64_t started_us; /* of this process */
	uint64_t revision;   /* of the objects read */
};

static bool decode(slot_t *slot, const char *body);
static bool note_change(const kl_node_t *node, slot_t *slot, uint64_t version);
static void write_slot(kl_node_t *node, slot_t *slot, uint32_t number,
		       const char *owner, bool revoked);
static bool is_usable(const kl_node_t *node, const kl_slots_t *slots,
		      const slot_t *slot);
static bool mine(const kl_slots_t *slots, const slot_t *slot);
static uint64_t claim_pause(const kl_node_t *node, const kl_slots_t *slots,
			    uint32_t number, const balance_t *balance);
static bool ranks_first(const kl_node_t *node, uint32_t number);
static void find_home(const kl_node_t *node, const kl_members_t *members,
		      balance_t *balance);
static void balance_slot(kl_node_t *node, kl_slots_t *slots, uint32_t number,
			 balance_t *balance);
static bool is_free(const kl_node_t *node, const slot_t *slot, uint64_t now);
static void revoke_absent(kl_node_t *node, kl_slots_t *slots,
			  const kl_members_t *members, uint64_t now);
static uint32_t owned_by(const kl_slots_t *slots, const char *vm);
static bool someone_lacks(const kl_slots_t *slots, const kl_members_t *members,
			  uint32_t floor);

kl_slots_t *kl_slots_new(uint32_t count)
{
	kl_slots_t *slots = calloc(1, sizeof(*slots));

	if (!slots)
		return NULL;
	slots->count = count ? count : 1;
	slots->classes = slots->count / KL_SLOT_PARTS;
	if (!slots->classes)
		slots->classes = 1;
	if (slots->classes > KL_SLOT_CLASSES)
		slots->classes = KL_SLOT_CLASSES;
	/* A class has a bit for each part. */
	if (slots->count > slots->classes * KL_SLOT_PARTS_MOST)
		slots->count = slots->classes * KL_SLOT_PARTS_MOST;
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

void kl_slots_read(kl_node_t *node, kl_slots_t *slots)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);

	memcpy(slots->self, node->self.vm, KL_NAME_MAX);
	slots->incarnation = node->self.incarnation;
	if (!objects || objects->revision == slots->revision)
		return;
	slots->revision = objects->revision;
	if (!slots->started_us)
		slots->started_us = kl_node_now(node);
	for (uint32_t i = 0; i < slots->count; i++) {
		char name[KL_NAME_MAX];
		const kl_object_t *object;
		slot_t *slot = &slots->table[i];
		bool earlier;

		snprintf(name, sizeof(name), PREFIX "%u", i);
		object = kl_index_get(objects->index, name);
		if (!object || object->version <= slot->version)
			continue;
		earlier = note_change(node, slot, object->version);
		if (!decode(slot, object->body))
			slot->owner[0] = '\0';
		slot->inherited = earlier && mine(slots, slot);
	}
}

void kl_slots_written(kl_node_t *node, kl_slots_t *slots,
		      const kl_platform_answer_t *answer)
{
	uint32_t number = slots->count;
	slot_t *slot;

	if (sscanf(answer->name, PREFIX "%u", &number) != 1 ||
	    number >= slots->count)
		return;
	slot = &slots->table[number];
	if (answer->error || !slot->claims ||
	    answer->asked_us != slot->write_us ||
	    answer->revision <= slot->version)
		return;
	slot->inherited = note_change(node, slot, answer->revision);
	memcpy(slot->owner, node->self.vm, KL_NAME_MAX);
	memcpy(slot->host, node->self.host, KL_HOST_MAX);
	slot->port = node->self.port;
	slot->incarnation = node->self.incarnation;
	slot->revoked = false;
}

/* @return whether an earlier process at this address owned it */
static bool note_change(const kl_node_t *node, slot_t *slot, uint64_t version)
{
	slot->version = version;
	slot->seen_us = kl_node_now(node);
	slot->absent_us = 0;
	slot->free_us = 0;
	slot->write_us = 0;
	slot->claims = false;
	return is_free(node, slot, slot->seen_us) && slot->owner[0];
}

kl_parts_t kl_slots_parts(const kl_slots_t *slots, const char *workspace,
			  uint64_t burst)
{
	unsigned long long rank = kl_rank(workspace, "class");
	kl_parts_t parts = { .class = (uint32_t)(rank % slots->classes) };
	uint32_t all = (slots->count - parts.class - 1) / slots->classes + 1;
	uint32_t first = (uint32_t)(rank / slots->classes % all);

	parts.count =
		burst / PART_BURST < all ? (uint32_t)(burst / PART_BURST) : all;
	if (!parts.count)
		parts.count = 1;
	/* Neighbours lie in different failure domains. */
	for (uint32_t i = 0; i < parts.count; i++)
		parts.mask |= 1ull << (first + i) % all;
	return parts;
}

uint64_t kl_slots_part(const kl_node_t *node, const kl_slots_t *slots,
		       uint64_t whole)
{
	uint32_t usable = 0;

	for (uint32_t i = 0; i < slots->count; i++)
		usable += is_usable(node, slots, &slots->table[i]);
	return whole * usable / slots->count;
}

uint64_t kl_slots_usable(const kl_node_t *node, const kl_slots_t *slots,
			 uint32_t class)
{
	uint64_t mask = 0, bit = 1;

	for (uint32_t i = class; i < slots->count && class < slots->classes;
	     i += slots->classes) {
		if (is_usable(node, slots, &slots->table[i]))
			mask |= bit;
		bit <<= 1;
	}
	return mask;
}

static bool is_usable(const kl_node_t *node, const kl_slots_t *slots,
		      const slot_t *slot)
{
	/* An earlier process here lent nothing after it had ended. */
	uint64_t since = slot->inherited ? slots->started_us : slot->seen_us;
	uint64_t before = slot->inherited ? node->tuning.down_us : 0;

	return mine(slots, slot) && !slot->revoked &&
	       kl_node_now(node) - since + before >= SETTLE_US;
}

uint64_t kl_slots_inherited(const kl_slots_t *slots, uint32_t class)
{
	uint64_t mask = 0, bit = 1;

	for (uint32_t i = class; i < slots->count; i += slots->classes) {
		if (mine(slots, &slots->table[i]) && slots->table[i].inherited)
			mask |= bit;
		bit <<= 1;
	}
	return mask;
}

uint32_t kl_slots_held(const kl_slots_t *slots)
{
	return owned_by(slots, slots->self);
}

void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);
	uint32_t live = members && members->live ? members->live : 1;
	uint32_t first = kl_node_random(node) % slots->count;
	uint32_t free_slots = 0;
	balance_t balance = { 0 };

	if (!members || !kl_node_get(node, KL_SECTION_FRESH))
		return;
	balance.floor = slots->count / live;
	balance.ceiling = leaving ? 0 : (slots->count + live - 1) / live;
	revoke_absent(node, slots, members, now);
	for (uint32_t i = 0; i < slots->count; i++) {
		balance.held += mine(slots, &slots->table[i]);
		free_slots += is_free(node, &slots->table[i], now);
	}
	balance.excess =
		balance.held > balance.ceiling ||
		(!leaving && !free_slots && balance.held > balance.floor &&
		 someone_lacks(slots, members, balance.floor));
	find_home(node, members, &balance);
	for (uint32_t n = 0; n < slots->count && balance.updates < UPDATES;
	     n++) {
		uint32_t i = (first + n) % slots->count;
		slot_t *slot = &slots->table[i];

		if (!slot->free_us && is_free(node, slot, now))
			slot->free_us = now;
		if (!slot->free_us || mine(slots, slot) ||
		    now - slot->free_us >=
			    claim_pause(node, slots, i, &balance))
			balance_slot(node, slots, i, &balance);
	}
}

/*
 * Parts of one class go to the failure domains by turns.  First the VM of the
 * slot's domain that ranks highest takes it, then others of the domain, then
 * others that lack some, then anyone: what one gives up must not come back to
 * it, and few should try at once.
 */
static uint64_t claim_pause(const kl_node_t *node, const kl_slots_t *slots,
			    uint32_t number, const balance_t *balance)
{
	const slot_t *slot = &slots->table[number];
	bool lacks = balance->held < balance->floor || !balance->held;

	/* What an earlier process at this address had. */
	if (slot->owner[0] && !slot->revoked)
		return 0;
	if (!lacks)
		return 2 * PREFER_US;
	if (number / slots->classes % balance->domains != balance->turn)
		return PREFER_US;
	return ranks_first(node, number) ? 0 : PREFER_US / 2;
}

/* Among the VMs of this one's failure domain. */
static bool ranks_first(const kl_node_t *node, uint32_t number)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	unsigned long long own;
	const kl_member_t *member;
	char name[KL_NAME_MAX];

	snprintf(name, sizeof(name), PREFIX "%u", number);
	own = kl_rank(name, node->self.vm);
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->listed && !member->leaving &&
		    !strcmp(member->domain, node->self.domain) &&
		    kl_rank(name, member->name.name) > own)
			return false;
	}
	return true;
}

static void find_home(const kl_node_t *node, const kl_members_t *members,
		      balance_t *balance)
{
	const char *domains[DOMAINS_MAX];
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		bool known = !member->listed;

		for (uint32_t i = 0; i < balance->domains; i++)
			known |= !strcmp(domains[i], member->domain);
		if (known || balance->domains == DOMAINS_MAX)
			continue;
		domains[balance->domains++] = member->domain;
		balance->turn += strcmp(member->domain, node->self.domain) < 0;
	}
	if (!balance->domains)
		balance->domains = 1;
}

static void balance_slot(kl_node_t *node, kl_slots_t *slots, uint32_t number,
			 balance_t *balance)
{
	uint64_t now = kl_node_now(node);
	slot_t *slot = &slots->table[number];

	if (slot->write_us && now - slot->write_us < RETRY_US) {
		balance->updates += !mine(slots, slot);
	} else if (balance->held < balance->ceiling &&
		   is_free(node, slot, now)) {
		write_slot(node, slot, number, node->self.vm, false);
		balance->held++;
		balance->updates++;
	} else if (balance->excess && mine(slots, slot)) {
		/* Given up before asking: the answer may be lost. */
		slot->dropped = slot->version;
		write_slot(node, slot, number, "", false);
		balance->held--;
		balance->updates++;
		balance->excess = balance->held > balance->ceiling;
	} else if (slot->dropped == slot->version && slot->dropped &&
		   !strcmp(slot->owner, node->self.vm)) {
		write_slot(node, slot, number, "", false);
		balance->updates++;
	}
}

const kl_member_t *kl_slots_lender(const kl_node_t *node,
				   const kl_slots_t *slots, uint32_t class,
				   uint32_t number)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint32_t i = class + number * slots->classes;
	const slot_t *slot;

	if (!members || i >= slots->count)
		return NULL;
	slot = &slots->table[i];
	if (!slot->owner[0] || slot->revoked ||
	    !strcmp(slot->owner, slots->self))
		return NULL;
	return kl_index_get(members->index, slot->owner);
}

static bool decode(slot_t *slot, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	const char *owner, *host;
	json_int_t incarnation;
	int port, revoked;
	bool good = !json_unpack(json, "{s:s,s:I,s:s,s:i,s:b}", "owner", &owner,
				 "incarnation", &incarnation, "host", &host,
				 "port", &port, "revoked", &revoked) &&
		    strlen(host) < KL_HOST_MAX &&
		    !kl_name_set(slot->owner, owner);

	if (good) {
		memcpy(slot->host, host, strlen(host) + 1);
		slot->port = (uint16_t)port;
		slot->incarnation = (uint64_t)incarnation;
		slot->revoked = revoked;
	}
	json_decref(json);
	return good;
}

static void write_slot(kl_node_t *node, slot_t *slot, uint32_t number,
		       const char *owner, bool revoked)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_SHARE,
				    .asked_us = kl_node_now(node),
				    .version = slot->version };
	json_t *json;
	char *body;

	slot->write_us = call.asked_us;
	slot->claims = *owner && !revoked;
	json = json_pack("{s:s,s:I,s:s,s:i,s:b}", "owner", owner, "incarnation",
			 (json_int_t)(revoked ? slot->incarnation
					      : node->self.incarnation),
			 "host", revoked ? slot->host : node->self.host, "port",
			 revoked ? slot->port : node->self.port, "revoked",
			 revoked);
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (!body)
		return;
	snprintf(call.name, sizeof(call.name), PREFIX "%u", number);
	call.body = body;
	node->outlet->platform(node->context, &call);
	free(body);
}

static bool mine(const kl_slots_t *slots, const slot_t *slot)
{
	return !strcmp(slot->owner, slots->self) &&
	       slot->incarnation == slots->incarnation &&
	       slot->version > slot->dropped;
}

/*
 * Nobody's; or revoked for longer than its owner may use it unconfirmed; or
 * left by an earlier process at this very address, which cannot be alive.
 */
static bool is_free(const kl_node_t *node, const slot_t *slot, uint64_t now)
{
	uint64_t hold = node->tuning.share_hold_us;

	if (!slot->owner[0])
		return true;
	if (slot->revoked)
		return now - slot->seen_us > hold + hold / 10;
	return !strcmp(slot->owner, node->self.vm) &&
	       slot->incarnation < node->self.incarnation &&
	       !strcmp(slot->host, node->self.host) &&
	       slot->port == node->self.port;
}

static void revoke_absent(kl_node_t *node, kl_slots_t *slots,
			  const kl_members_t *members, uint64_t now)
{
	for (uint32_t i = 0; i < slots->count; i++) {
		slot_t *slot = &slots->table[i];
		const kl_member_t *owner =
			kl_index_get(members->index, slot->owner);
		char name[KL_NAME_MAX];

		if (!slot->owner[0] || slot->revoked ||
		    !strcmp(slot->owner, node->self.vm) ||
		    (owner && owner->listed)) {
			slot->absent_us = 0;
			continue;
		}
		if (!slot->absent_us)
			slot->absent_us = now;
		snprintf(name, sizeof(name), PREFIX "%u", i);
		if (now - slot->absent_us < ABSENT_US ||
		    (slot->write_us && now - slot->write_us < RETRY_US) ||
		    kl_prober_rank(node, members, name) != 0)
			continue;
		write_slot(node, slot, i, slot->owner, true);
	}
}

static uint32_t owned_by(const kl_slots_t *slots, const char *vm)
{
	uint32_t owned = 0;

	for (uint32_t i = 0; i < slots->count; i++)
		owned += !strcmp(slots->table[i].owner, vm);
	return owned;
}

static bool someone_lacks(const kl_slots_t *slots, const kl_members_t *members,
			  uint32_t floor)
{
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->listed && !member->leaving &&
		    owned_by(slots, member->name.name) < floor)
			return true;
	}
	return false;
}
