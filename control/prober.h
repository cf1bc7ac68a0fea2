/**
 * @file
 * Which VMs watch over a group: the same answer on every VM.
 */
#ifndef KL_PROBER_H
#define KL_PROBER_H

#include "control/node.h"

/**
 * Choose a service's probers, spread over the failure domains.
 *
 * @param table receives up to KL_PROBERS_PER_GROUP members, first rank first
 * @return how many
 */
uint32_t kl_prober_choose(const kl_members_t *members, const char *service,
			  const kl_member_t *table[KL_PROBERS_PER_GROUP]);

/** This VM's rank among a service's probers. @return -1 if it is none */
int kl_prober_rank(const kl_node_t *node, const kl_members_t *members,
		   const char *service);

#endif
