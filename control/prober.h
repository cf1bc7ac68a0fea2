/**
 * @file
 * Choice of probers: the VMs that monitor one subject for all VMs.
 *
 * The probers of a service's group monitor its databases; a majority of them
 * decides that the primary has failed, and they carry out the failover in the
 * order of their ranks.  The first prober of a VM marks its record gone when
 * the VM is silent; the first prober of a slot revokes it when its owner is
 * gone.  VMs with the same member list choose the same probers.
 */
#ifndef KL_PROBER_H
#define KL_PROBER_H

#include "control/node.h"

/**
 * Choose the probers of a subject by rendezvous hashing, spread over the
 * failure domains.
 *
 * @param subject name of a service, a VM or a slot
 * @param probers receives up to KL_PROBERS_PER_GROUP members, in order of rank
 * @return number of probers
 */
uint32_t kl_prober_choose(const kl_members_t *members, const char *subject,
			  const kl_member_t *probers[KL_PROBERS_PER_GROUP]);

/** This VM's rank among a subject's probers. @return -1 if it isn't one */
int kl_prober_rank(const kl_node_t *node, const kl_members_t *members,
		   const char *subject);

#endif
