/*
 * Whether the databases' registrations are complete.  They lapse while the
 * store is away, and are back some time after its return, if the database
 * lives.  This VM knows that the store is there from its own lists of the terms
 * and from those that other VMs tell of.
 */
#include "control/controllers.h"
#include "control/sync_internal.h"

/*
 * A registration lapses after three heartbeats without an answer of the store;
 * an outage that lasts for less than two ends none.
 */
#define STORE_AWAY_US (2 * KL_SEC)
/* While registrations may be missing, a shorter one delays their return. */
#define STORE_AWAY_AGAIN_US (1200 * KL_MS)
/* Registrations that lapsed are back by then. */
#define REGISTRY_RETURN_US (2500 * KL_MS)

void kl_sync_note_store(const kl_node_t *node, kl_sync_t *sync,
			uint64_t answered_us)
{
	uint64_t now = kl_node_now(node);
	uint64_t away_us = now < sync->registry_complete_us
				   ? STORE_AWAY_AGAIN_US
				   : STORE_AWAY_US;

	if (answered_us <= sync->store_answered_us)
		return;
	if (answered_us - sync->store_answered_us > away_us)
		sync->registry_complete_us = now + REGISTRY_RETURN_US;
	sync->store_answered_us = answered_us;
}

uint64_t kl_sync_registry_complete_us(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];
	uint64_t now = kl_node_now(node);

	return !sync->store_answered_us ||
			       now - sync->store_answered_us > STORE_AWAY_US ||
			       now < sync->registry_complete_us
		       ? 0
		       : sync->registry_complete_us;
}
