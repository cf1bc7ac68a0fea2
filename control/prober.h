/**
 * @file
 * Choice of the VMs that probe a group.  VMs with the same member list choose
 * the same ones.
 */
#ifndef KL_PROBER_H
#define KL_PROBER_H

#include "control/node.h"

/**
 * Choose a service's probers by rendezvous hashing, spread over the failure
 * domains.
 *
 * @param probers receives up to KL_PROBERS_PER_GROUP members, in order of rank
 * @return number of probers
 */
uint32_t kl_prober_choose(const kl_members_t *members, const char *service,
			  const kl_member_t *probers[KL_PROBERS_PER_GROUP]);

/** This VM's rank among a service's probers. @return -1 if it isn't one */
int kl_prober_rank(const kl_node_t *node, const kl_members_t *members,
		   const char *service);

#endif
