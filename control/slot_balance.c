/*
 * Which VM owns which slots: claims, releases and revocations by conditional
 * updates of their records.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/prober.h"
#include "control/slot_internal.h"

#define RETRY_US (400 * KL_MS) /* between two updates of one slot */
#define PREFER_US (1 * KL_SEC) /* a free slot is left to others first */
#define ABSENT_US (5 * KL_SEC) /* unlisted so long: revoked */
#define UPDATES 3	       /* conditional updates of one round */
#define DOMAINS_MAX 64	       /* more are not told apart */

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

static uint64_t claim_pause(const kl_node_t *node, const kl_slots_t *slots,
			    uint32_t number, const balance_t *balance);
static bool ranks_first(const kl_node_t *node, uint32_t number);
static void find_home(const kl_node_t *node, const kl_members_t *members,
		      balance_t *balance);
static void balance_slot(kl_node_t *node, kl_slots_t *slots, uint32_t number,
			 balance_t *balance);
static void write_slot(kl_node_t *node, slot_t *slot, uint32_t number,
		       const char *owner, bool revoked);
static void revoke_absent(kl_node_t *node, kl_slots_t *slots,
			  const kl_members_t *members, uint64_t now);
static bool someone_lacks(const kl_slots_t *slots, const kl_members_t *members,
			  uint32_t floor);

void kl_slots_balance(kl_node_t *node, kl_slots_t *slots, bool leaving)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);
	uint32_t live =
		members && members->active_count ? members->active_count : 1;
	uint32_t first = kl_node_random(node) % slots->count;
	uint32_t free_slots = 0;
	balance_t balance = { 0 };

	if (!members || !kl_node_get(node, KL_SECTION_CONFIRMATION))
		return;
	balance.floor = slots->count / live;
	balance.ceiling = leaving ? 0 : (slots->count + live - 1) / live;
	revoke_absent(node, slots, members, now);
	for (uint32_t i = 0; i < slots->count; i++) {
		balance.held += kl_slot_is_own(slots, &slots->table[i]);
		free_slots += kl_slot_is_claimable(node, &slots->table[i], now);
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

		if (!slot->claimable_since_us &&
		    kl_slot_is_claimable(node, slot, now))
			slot->claimable_since_us = now;
		if (!slot->claimable_since_us || kl_slot_is_own(slots, slot) ||
		    now - slot->claimable_since_us >=
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

	snprintf(name, sizeof(name), SLOT_PREFIX "%u", number);
	own = kl_rendezvous_rank(name, node->self.vm);
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->registered && !member->leaving &&
		    !strcmp(member->domain, node->self.domain) &&
		    kl_rendezvous_rank(name, member->name.name) > own)
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
		bool known = !member->registered;

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

	if (slot->update_sent_us && now - slot->update_sent_us < RETRY_US) {
		balance->updates += !kl_slot_is_own(slots, slot);
	} else if (balance->held < balance->ceiling &&
		   kl_slot_is_claimable(node, slot, now)) {
		write_slot(node, slot, number, node->self.vm, false);
		balance->held++;
		balance->updates++;
	} else if (balance->excess && kl_slot_is_own(slots, slot)) {
		/* Given up before asking: the answer may be lost. */
		slot->released_version = slot->record_version;
		write_slot(node, slot, number, "", false);
		balance->held--;
		balance->updates++;
		balance->excess = balance->held > balance->ceiling;
	} else if (slot->released_version == slot->record_version &&
		   slot->released_version &&
		   !strcmp(slot->owner, node->self.vm)) {
		write_slot(node, slot, number, "", false);
		balance->updates++;
	}
}

static void write_slot(kl_node_t *node, slot_t *slot, uint32_t number,
		       const char *owner, bool revoked)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_SHARE,
				    .sent_us = kl_node_now(node),
				    .version = slot->record_version };
	json_t *json;
	char *body;

	slot->update_sent_us = call.sent_us;
	slot->update_claims = *owner && !revoked;
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
	snprintf(call.name, sizeof(call.name), SLOT_PREFIX "%u", number);
	call.body = body;
	node->ops->call_platform(node->ops_context, &call);
	free(body);
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
		    (owner && owner->registered)) {
			slot->owner_missing_us = 0;
			continue;
		}
		if (!slot->owner_missing_us)
			slot->owner_missing_us = now;
		snprintf(name, sizeof(name), SLOT_PREFIX "%u", i);
		if (now - slot->owner_missing_us < ABSENT_US ||
		    (slot->update_sent_us &&
		     now - slot->update_sent_us < RETRY_US) ||
		    kl_prober_rank(node, members, name) != 0)
			continue;
		write_slot(node, slot, i, slot->owner, true);
	}
}

static bool someone_lacks(const kl_slots_t *slots, const kl_members_t *members,
			  uint32_t floor)
{
	const kl_member_t *member;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (member->registered && !member->leaving &&
		    kl_slots_owned_by(slots, member->name.name) < floor)
			return true;
	}
	return false;
}
