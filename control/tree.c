/*
 * The order of names makes the tree: the first VMs of a domain are its roots,
 * the next ones their children, and so on.  VMs that are gone have no place, or
 * nobody would watch, or tell their children, in their stead.
 */
#include <string.h>

#include "control/tree.h"

#define FANOUT 4 /* children of a VM */

static bool has_place(const kl_node_t *node, const kl_member_t *member);
static uint32_t own_rank(const kl_node_t *node, const kl_members_t *members);

const kl_member_t *kl_tree_parent(const kl_node_t *node,
				  const kl_members_t *members)
{
	uint32_t roots = node->tuning.watchers_per_domain;
	uint32_t rank = own_rank(node, members);
	uint32_t skipped = 0;
	const kl_member_t *member;

	if (rank < roots)
		return NULL;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (has_place(node, member) &&
		    skipped++ == (rank - roots) / FANOUT)
			return member;
	}
	return NULL;
}

const kl_member_t *kl_tree_next_child(const kl_node_t *node,
				      const kl_members_t *members,
				      const kl_member_t *previous)
{
	uint32_t first = node->tuning.watchers_per_domain +
			 own_rank(node, members) * FANOUT;
	bool after_previous = !previous;
	const kl_member_t *member;
	uint32_t rank = 0;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (!has_place(node, member))
			continue;
		if (after_previous && rank >= first && rank < first + FANOUT)
			return member;
		after_previous |= member == previous;
		rank++;
	}
	return NULL;
}

/* Whether a VM has a place in the tree of this VM's failure domain. */
static bool has_place(const kl_node_t *node, const kl_member_t *member)
{
	return !strcmp(member->domain, node->self.domain) &&
	       (member->registered ||
		!strcmp(member->name.name, node->self.vm));
}

static uint32_t own_rank(const kl_node_t *node, const kl_members_t *members)
{
	const kl_member_t *member;
	uint32_t rank = 0;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (!strcmp(member->name.name, node->self.vm))
			break;
		rank += has_place(node, member);
	}
	return rank;
}
