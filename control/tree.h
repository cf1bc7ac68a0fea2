/**
 * @file
 * The tree in which the VMs of a failure domain announce changes to each other.
 * Its roots watch the platform; every other VM has a parent.
 */
#ifndef KL_TREE_H
#define KL_TREE_H

#include "control/node.h"

/**
 * Find this VM's parent: the VM that announces changes to it.
 *
 * @return NULL if this VM is a root
 */
const kl_member_t *kl_tree_parent(const kl_node_t *node,
				  const kl_members_t *members);

/**
 * Find the next child of this VM.
 *
 * @param previous the child before it, or NULL for the first one
 * @return NULL if there is none
 */
const kl_member_t *kl_tree_next_child(const kl_node_t *node,
				      const kl_members_t *members,
				      const kl_member_t *previous);

#endif
