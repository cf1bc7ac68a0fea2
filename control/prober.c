#include <string.h>

#include "control/prober.h"

static uint32_t count_same_domain(const kl_member_t *const *probers,
				  uint32_t count, const kl_member_t *member);

uint32_t kl_prober_choose(const kl_members_t *members, const char *subject,
			  const kl_member_t *probers[KL_PROBERS_PER_GROUP])
{
	const kl_member_t *member;
	uint32_t count = 0;

	while (count < KL_PROBERS_PER_GROUP) {
		const kl_member_t *best = NULL;
		uint32_t best_same_domain = 0;
		unsigned long long best_hash = 0;

		/*
		 * Prefers the failure domain with the fewest probers so far,
		 * then the VM with the highest hash.
		 */
		CK_STAILQ_FOREACH(member, &members->list, link) {
			unsigned long long hash;
			uint32_t same_domain;
			bool taken = false;

			if (!member->registered || member->leaving)
				continue;
			for (uint32_t i = 0; i < count; i++)
				taken |= probers[i] == member;
			if (taken)
				continue;
			same_domain = count_same_domain(probers, count, member);
			hash = kl_rendezvous_rank(subject, member->name.name);
			if (best && (same_domain > best_same_domain ||
				     (same_domain == best_same_domain &&
				      hash < best_hash)))
				continue;
			best = member;
			best_same_domain = same_domain;
			best_hash = hash;
		}
		if (!best)
			break;
		probers[count++] = best;
	}
	return count;
}

int kl_prober_rank(const kl_node_t *node, const kl_members_t *members,
		   const char *subject)
{
	const kl_member_t *probers[KL_PROBERS_PER_GROUP];
	uint32_t count = kl_prober_choose(members, subject, probers);

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(probers[i]->name.name, node->self.vm))
			return (int)i;
	return -1;
}

/* Number of probers chosen so far that are in a member's failure domain. */
static uint32_t count_same_domain(const kl_member_t *const *probers,
				  uint32_t count, const kl_member_t *member)
{
	uint32_t same_domain = 0;

	for (uint32_t i = 0; i < count; i++)
		same_domain += !strcmp(probers[i]->domain, member->domain);
	return same_domain;
}
