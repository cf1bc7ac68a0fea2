#include <string.h>

#include "control/prober.h"

static uint32_t in_domain(const kl_member_t *const *table, uint32_t count,
			  const kl_member_t *member);

uint32_t kl_prober_choose(const kl_members_t *members, const char *service,
			  const kl_member_t *table[KL_PROBERS_PER_GROUP])
{
	const kl_member_t *member;
	uint32_t count = 0;

	while (count < KL_PROBERS_PER_GROUP) {
		const kl_member_t *best = NULL;
		uint32_t best_same = 0;
		unsigned long long best_rank = 0;

		CK_STAILQ_FOREACH(member, &members->list, link) {
			unsigned long long rank;
			uint32_t same;
			bool taken = false;

			if (!member->registered || member->leaving)
				continue;
			for (uint32_t i = 0; i < count; i++)
				taken |= table[i] == member;
			if (taken)
				continue;
			same = in_domain(table, count, member);
			rank = kl_rendezvous_rank(service, member->name.name);
			if (best && (same > best_same ||
				     (same == best_same && rank < best_rank)))
				continue;
			best = member;
			best_same = same;
			best_rank = rank;
		}
		if (!best)
			break;
		table[count++] = best;
	}
	return count;
}

int kl_prober_rank(const kl_node_t *node, const kl_members_t *members,
		   const char *service)
{
	const kl_member_t *table[KL_PROBERS_PER_GROUP];
	uint32_t count = kl_prober_choose(members, service, table);

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(table[i]->name.name, node->self.vm))
			return (int)i;
	return -1;
}

static uint32_t in_domain(const kl_member_t *const *table, uint32_t count,
			  const kl_member_t *member)
{
	uint32_t same = 0;

	for (uint32_t i = 0; i < count; i++)
		same += !strcmp(table[i]->domain, member->domain);
	return same;
}
