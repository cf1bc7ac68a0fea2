/* Notices to VMs that do not know yet that an upstream is contended. */
#include <ck_pr.h>
#include <string.h>

#include "control/permit_internal.h"

/* Longer than the interval of notices, for one that is late. */
#define VALID_US (1200 * KL_MS)

void kl_permit_notify(kl_node_t *node, const kl_permit_entry_t *entry,
		      kl_permit_outbox_t *outbox)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	kl_peer_message_t *message;
	kl_permit_grant_t *notice;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (!member->registered)
			continue;
		message = kl_permit_outbox_message(
			node, outbox, member->name.name, KL_PEER_PERMIT_GRANT);
		if (!message)
			continue;
		notice = &message->permit_grants
				  .list[message->permit_grants.count++];
		memset(notice, 0, sizeof(*notice));
		memcpy(notice->account, entry->name.name, KL_NAME_MAX);
		notice->contended = true;
	}
}

void kl_permit_accept_notice(kl_node_t *node, kl_permit_entry_t *entry,
			     const char *from)
{
	uint64_t until_us = kl_node_now(node) + VALID_US;
	kl_permit_account_t *account = entry->account;

	if (!strcmp(from, entry->asker.arbiter) &&
	    ck_pr_load_64(&account->contended_until_us) < until_us)
		ck_pr_store_64(&account->contended_until_us, until_us);
}
