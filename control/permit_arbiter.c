/* Which VM is the arbiter of an upstream. */
#include <string.h>

#include "control/permit_internal.h"

bool kl_permit_choose_arbiter(const kl_node_t *node, kl_permit_entry_t *entry)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	kl_permit_asker_t *asker = &entry->asker;
	const kl_member_t *member, *best = NULL;
	unsigned long long best_rank = 0;
	bool best_near = false;

	if (!members || members->base.sequence == asker->members_sequence)
		return false;
	asker->members_sequence = members->base.sequence;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		bool near = !strcmp(member->domain, entry->domain);
		unsigned long long rank;

		if (!member->registered || (best_near && !near))
			continue;
		rank = kl_rendezvous_rank(entry->name.name, member->name.name);
		if (best && near == best_near && rank <= best_rank)
			continue;
		best = member;
		best_near = near;
		best_rank = rank;
	}
	if (!strcmp(asker->arbiter, best ? best->name.name : ""))
		return false;
	kl_name_copy(asker->arbiter, best ? best->name.name : "");
	asker->sent_us = 0;
	return true;
}
