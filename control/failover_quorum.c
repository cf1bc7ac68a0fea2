/* Which VMs watch over a group, and whether most of them suspect its primary.
 */
#include <stdlib.h>
#include <string.h>

#include "control/failover_internal.h"
#include "control/prober.h"

#define SUSPECT_TTL_US (1200 * KL_MS) /* a peer's suspicion counts so long */

static void tell_suspicion(kl_failover_ctx_t *view);

/* Anew only when the members changed: every VM finds the same ones. */
void kl_failover_update_probers(kl_failover_ctx_t *view)
{
	const kl_member_t *table[KL_PROBERS_PER_GROUP];
	kl_failover_t *change = view->failover;

	if (change->members_version != view->members->version) {
		change->members_version = view->members->version;
		change->prober_rank = -1;
		change->prober_count = kl_prober_choose(
			view->members, view->service->name.name, table);
		for (uint32_t i = 0; i < change->prober_count; i++) {
			memcpy(change->probers[i], table[i]->name.name,
			       KL_NAME_MAX);
			if (!strcmp(change->probers[i], view->node->self.vm))
				change->prober_rank = (int)i;
		}
	}
	view->prober_rank = change->prober_rank;
}

void kl_failover_suspect(kl_failover_ctx_t *view)
{
	kl_failover_add_suspicion(view->failover, view->node->self.vm,
				  view->group->term, view->now);
	if (view->now - view->failover->suspicion_sent_us < RETRY_INTERVAL_US)
		return;
	view->failover->suspicion_sent_us = view->now;
	tell_suspicion(view);
}

bool kl_failover_has_quorum(const kl_failover_ctx_t *view)
{
	uint32_t count = view->failover->prober_count;
	uint32_t suspects = 0;
	const kl_suspicion_t *suspicion;

	CK_STAILQ_FOREACH(suspicion, &view->failover->suspicions, link) {
		if (suspicion->term != view->group->term ||
		    view->now - suspicion->received_us > SUSPECT_TTL_US)
			continue;
		for (uint32_t i = 0; i < count; i++)
			suspects += !strcmp(view->failover->probers[i],
					    suspicion->vm);
	}
	return suspects > count / 2;
}

void kl_failover_add_suspicion(kl_failover_t *change, const char *vm,
			       uint64_t term, uint64_t now)
{
	kl_suspicion_t *suspicion;

	if (!change)
		return;
	CK_STAILQ_FOREACH(suspicion, &change->suspicions, link) {
		if (!strcmp(suspicion->vm, vm))
			break;
	}
	if (!suspicion) {
		suspicion = calloc(1, sizeof(*suspicion));
		if (!suspicion)
			return;
		kl_name_set(suspicion->vm, vm);
		CK_STAILQ_INSERT_TAIL(&change->suspicions, suspicion, link);
	}
	suspicion->term = term;
	suspicion->received_us = now;
}

static void tell_suspicion(kl_failover_ctx_t *view)
{
	kl_peer_message_t message = { .kind = KL_PEER_SUSPECT,
				      .term = view->group->term };

	memcpy(message.from, view->node->self.vm, KL_NAME_MAX);
	memcpy(message.subject, view->service->name.name, KL_NAME_MAX);
	for (uint32_t i = 0; i < view->failover->prober_count; i++) {
		const kl_member_t *prober = kl_index_get(
			view->members->index, view->failover->probers[i]);

		if (!prober || (int)i == view->prober_rank)
			continue;
		view->node->ops->send_to_peer(view->node->ops_context,
					      prober->name.name, prober->host,
					      prober->port, &message);
	}
}
