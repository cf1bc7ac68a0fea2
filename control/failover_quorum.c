/* Chooses a group's probers and counts those that suspect its primary. */
#include <stdlib.h>
#include <string.h>

#include "control/failover_internal.h"
#include "control/prober.h"

/* A suspicion counts for this long after it was received. */
#define SUSPICION_TTL_US (1200 * KL_MS)

/* A VM whose record was marked gone registers again within this time. */
#define RETURN_US (3 * KL_SEC)

static uint32_t count_recently_gone(const kl_failover_ctx_t *ctx);
static void send_suspicion(kl_failover_ctx_t *ctx);

/* VMs with the same member list choose the same probers. */
void kl_failover_update_probers(kl_failover_ctx_t *ctx)
{
	const kl_member_t *chosen[KL_PROBERS_PER_GROUP];
	kl_failover_t *failover = ctx->failover;

	if (failover->members_version != ctx->members->version) {
		failover->members_version = ctx->members->version;
		failover->prober_rank = -1;
		failover->prober_count = kl_prober_choose(
			ctx->members, ctx->service->name.name, chosen);
		for (uint32_t i = 0; i < failover->prober_count; i++) {
			memcpy(failover->probers[i], chosen[i]->name.name,
			       KL_NAME_MAX);
			if (!strcmp(failover->probers[i], ctx->node->self.vm))
				failover->prober_rank = (int)i;
		}
	}
	ctx->prober_rank = failover->prober_rank;
}

void kl_failover_report_suspicion(kl_failover_ctx_t *ctx)
{
	kl_failover_add_suspicion(ctx->failover, ctx->node->self.vm,
				  ctx->group->term, ctx->now);
	if (ctx->now - ctx->failover->last_suspicion_sent_us <
	    RETRY_INTERVAL_US)
		return;
	ctx->failover->last_suspicion_sent_us = ctx->now;
	send_suspicion(ctx);
}

bool kl_failover_has_quorum(const kl_failover_ctx_t *ctx)
{
	uint32_t count = ctx->failover->prober_count;
	uint32_t all = count + count_recently_gone(ctx);
	uint32_t suspecting = 0;
	const kl_suspicion_t *suspicion;

	CK_STAILQ_FOREACH(suspicion, &ctx->failover->suspicions, link) {
		if (suspicion->term != ctx->group->term ||
		    ctx->now - suspicion->received_us > SUSPICION_TTL_US)
			continue;
		for (uint32_t i = 0; i < count; i++)
			suspecting += !strcmp(ctx->failover->probers[i],
					      suspicion->vm);
	}
	return suspecting > all / 2;
}

/* Counts VMs that may register again: they count against a suspicion. */
static uint32_t count_recently_gone(const kl_failover_ctx_t *ctx)
{
	const kl_member_t *member;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(member, &ctx->members->list, link)
		count += !member->registered && member->unregistered_since_us &&
			 ctx->now - member->unregistered_since_us < RETURN_US;
	return count < KL_PROBERS_PER_GROUP ? count : KL_PROBERS_PER_GROUP;
}

void kl_failover_add_suspicion(kl_failover_t *failover, const char *vm,
			       uint64_t term, uint64_t now)
{
	kl_suspicion_t *suspicion;

	if (!failover)
		return;
	CK_STAILQ_FOREACH(suspicion, &failover->suspicions, link) {
		if (!strcmp(suspicion->vm, vm))
			break;
	}
	if (!suspicion) {
		suspicion = calloc(1, sizeof(*suspicion));
		if (!suspicion)
			return;
		kl_name_copy(suspicion->vm, vm);
		CK_STAILQ_INSERT_TAIL(&failover->suspicions, suspicion, link);
	}
	suspicion->term = term;
	suspicion->received_us = now;
}

static void send_suspicion(kl_failover_ctx_t *ctx)
{
	kl_peer_message_t message = { .kind = KL_PEER_SUSPECT,
				      .term = ctx->group->term };

	memcpy(message.from, ctx->node->self.vm, KL_NAME_MAX);
	memcpy(message.subject, ctx->service->name.name, KL_NAME_MAX);
	for (uint32_t i = 0; i < ctx->failover->prober_count; i++) {
		const kl_member_t *prober = kl_index_get(
			ctx->members->index, ctx->failover->probers[i]);

		if (!prober || (int)i == ctx->prober_rank)
			continue;
		ctx->node->ops->send_to_peer(ctx->node->ops_context,
					     prober->name.name, prober->host,
					     prober->port, &message);
	}
}
