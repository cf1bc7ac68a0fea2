/*
 * Decides when fencing is complete and which database is promoted, and keeps
 * the acknowledgements and status replies that these decisions need.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"

/* Minimum time between rounds of hellos to VMs without acknowledgement. */
#define HELLO_INTERVAL_US (80 * KL_MS)

/* How long to wait for the status replies of slower replicas. */
#define REPLIES_WAIT_US (500 * KL_MS)

/*
 * How long a planned change waits for the first reply of a database that does
 * not leave: a busy one replies late.
 */
#define NO_SUCCESSOR_WAIT_US (1500 * KL_MS)

/* How long a planned change waits for a replica with the complete log. */
#define PLANNED_CATCH_UP_US (5 * KL_SEC)

/* A choice that waits for longer than this is reported. */
#define LOG_WAIT_US (1 * KL_SEC)

/* The old primary works if it replied to a query that is no older. */
#define PRIMARY_REPLY_MAX_AGE_US (1 * KL_SEC)

static bool may_lack_members(const kl_promote_ctx_t *ctx);
static bool has_acked(const kl_promote_ctx_t *ctx, const kl_member_t *member);
static bool old_primary_works(const kl_promote_ctx_t *ctx);
static bool is_planned(const kl_promote_ctx_t *ctx);
static bool has_complete_log(const kl_status_reply_t *reply,
			     const kl_status_reply_t *old_primary);

void kl_acks_update(kl_acks_t *acks, const kl_peer_message_t *hello,
		    uint64_t now)
{
	kl_ack_t *ack;

	CK_STAILQ_FOREACH(ack, acks, link) {
		if (!strcmp(ack->vm, hello->from))
			break;
	}
	if (!ack) {
		ack = calloc(1, sizeof(*ack));
		if (!ack)
			return;
		kl_name_copy(ack->vm, hello->from);
		CK_STAILQ_INSERT_TAIL(acks, ack, link);
	}
	/*
	 * Hellos may arrive out of order.  A new process of the VM may hold a
	 * lower revision than the earlier one.
	 */
	if (hello->hello.incarnation < ack->incarnation)
		return;
	if (hello->hello.incarnation > ack->incarnation ||
	    hello->hello.feed_revisions[KL_FEED_TERMS] > ack->terms_revision)
		ack->terms_revision =
			hello->hello.feed_revisions[KL_FEED_TERMS];
	ack->incarnation = hello->hello.incarnation;
	ack->received_us = now;
}

void kl_acks_clear(kl_acks_t *acks)
{
	kl_ack_t *ack;

	while ((ack = CK_STAILQ_FIRST(acks))) {
		CK_STAILQ_REMOVE_HEAD(acks, link);
		free(ack);
	}
}

bool kl_promote_fencing_is_complete(kl_promote_ctx_t *ctx)
{
	kl_node_t *node = ctx->base.node;
	const kl_group_t *group = ctx->base.group;
	const kl_member_t *member;
	bool send_hello = ctx->base.now - ctx->promotion->last_hello_sent_us >=
			  HELLO_INTERVAL_US;
	bool done = true;

	if (ctx->base.now - group->first_seen_us >=
	    kl_fencing_delay_us(&node->tuning))
		return true;
	if (may_lack_members(ctx))
		return false;
	/*
	 * Members and records come in the same feed, so every VM that
	 * registered before the record was written is in this list.
	 */
	CK_STAILQ_FOREACH(member, &ctx->base.members->list, link) {
		bool expired = member->unregistered_since_us &&
			       ctx->base.now - member->unregistered_since_us >=
				       kl_fencing_delay_us(&node->tuning);

		if ((!member->registered && !member->unregistered_since_us) ||
		    expired || has_acked(ctx, member))
			continue;
		done = false;
		if (send_hello)
			kl_sync_send_hello(node, member);
	}
	if (send_hello)
		ctx->promotion->last_hello_sent_us = ctx->base.now;
	return done;
}

/*
 * Whether a VM that holds a lease may be unknown here: the store lost its
 * registration, and this process started only then.  If no record names the
 * primary, the databases tell of one that such a VM uses, too.
 */
static bool may_lack_members(const kl_promote_ctx_t *ctx)
{
	const kl_node_t *node = ctx->base.node;

	return kl_sync_started_restored(node) && *ctx->base.group->primary &&
	       ctx->base.now - node->started_us <
		       kl_fencing_delay_us(&node->tuning);
}

/* Whether a VM is known to hold the current record. */
static bool has_acked(const kl_promote_ctx_t *ctx, const kl_member_t *member)
{
	const kl_ack_t *ack;

	if (!strcmp(member->name.name, ctx->base.node->self.vm))
		return true;
	CK_STAILQ_FOREACH(ack, ctx->acks, link) {
		if (!strcmp(ack->vm, member->name.name))
			return ack->terms_revision >= ctx->base.group->version;
	}
	return false;
}

void kl_promotion_reset(kl_promotion_t *promotion, const kl_group_t *group)
{
	kl_failover_t *failover = &promotion->failover;

	failover->record_version = group->version;
	failover->record_term = group->term;
	failover->triggered_us = 0;
	failover->last_database_call_us = 0;
	failover->last_record_write_us = 0;
	promotion->reply_count = 0;
	promotion->fencing_completed_us = 0;
	promotion->last_promote_call_us = 0;
	promotion->platform_accepted_promotion = false;
	promotion->candidate_not_running = false;
	promotion->denied_since_us = 0;
	promotion->wait_logged = false;
	if (group->state == KL_GROUP_STABLE)
		promotion->failed_candidate[0] = '\0';
	else
		promotion->new_primary_term = 0;
}

void kl_promotion_store_reply(kl_promotion_t *promotion,
			      const kl_database_answer_t *answer)
{
	kl_status_reply_t *reply = (kl_status_reply_t *)kl_promotion_find_reply(
		promotion, answer->call.upstream);

	if (!reply) {
		if (promotion->reply_count == REPLIES_MAX)
			return;
		reply = &promotion->replies[promotion->reply_count++];
		memcpy(reply->upstream, answer->call.upstream, KL_NAME_MAX);
	}
	reply->reported_primary = answer->reported_primary;
	reply->term = answer->term;
	reply->log_term = answer->log_term;
	reply->position = answer->position;
	reply->query_sent_us = answer->call.sent_us;
}

const kl_status_reply_t *
kl_promotion_find_reply(const kl_promotion_t *promotion, const char *upstream)
{
	for (uint32_t i = 0; i < promotion->reply_count; i++)
		if (!strcmp(promotion->replies[i].upstream, upstream))
			return &promotion->replies[i];
	return NULL;
}

void kl_promote_query(kl_promote_ctx_t *ctx, const char *upstream,
		      bool new_connection)
{
	const kl_upstream_t *target =
		kl_service_find_upstream(ctx->base.service, upstream);
	kl_database_call_t call = { .op = KL_DATABASE_STATUS,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .new_connection = new_connection,
				    .sent_us = ctx->base.now };

	if (!target)
		return;
	call.port = target->port;
	memcpy(call.service, ctx->base.service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, target->name.name, KL_NAME_MAX);
	memcpy(call.host, target->host, KL_HOST_MAX);
	ctx->base.node->ops->call_database(ctx->base.node->ops_context, &call);
}

void kl_promote_query_all(kl_promote_ctx_t *ctx)
{
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link)
		kl_promote_query(ctx, upstream->name.name, false);
}

void kl_promote_call_database(kl_promote_ctx_t *ctx,
			      const kl_upstream_t *upstream,
			      kl_database_op_t op, uint64_t term)
{
	kl_database_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .port = upstream->port,
				    .term = term,
				    .sent_us = ctx->base.now };

	memcpy(call.service, ctx->base.service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	ctx->base.node->ops->call_database(ctx->base.node->ops_context, &call);
}

static bool old_primary_works(const kl_promote_ctx_t *ctx)
{
	const kl_status_reply_t *reply = kl_promotion_find_reply(
		ctx->promotion, ctx->base.group->primary);

	return reply && reply->reported_primary &&
	       ctx->base.now - reply->query_sent_us < PRIMARY_REPLY_MAX_AGE_US;
}

/* Whether the change is made only because the primary leaves. */
static bool is_planned(const kl_promote_ctx_t *ctx)
{
	const kl_promotion_t *promotion = ctx->promotion;

	return promotion->claimed_to_leave &&
	       promotion->claimed_from_stable == ctx->base.group->term &&
	       old_primary_works(ctx);
}

bool kl_promote_no_successor(const kl_promote_ctx_t *ctx, uint64_t settled_us)
{
	const kl_upstream_t *upstream;
	uint64_t now = ctx->base.now;

	if (!is_planned(ctx) || now < settled_us + NO_SUCCESSOR_WAIT_US)
		return false;
	if (now >= settled_us + PLANNED_CATCH_UP_US)
		return true;
	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		if (!upstream->leaving &&
		    strcmp(upstream->name.name, ctx->base.group->primary) &&
		    kl_promotion_find_reply(ctx->promotion,
					    upstream->name.name))
			return false;
	}
	return true;
}

/*
 * A database that is not leaving is preferred to one that is; among them the
 * most recent log wins.  A planned change gains nothing by promoting another
 * one that leaves.
 */
const char *kl_promote_choose_candidate(kl_promote_ctx_t *ctx,
					uint64_t settled_us)
{
	const kl_promotion_t *promotion = ctx->promotion;
	const char *primary = ctx->base.group->primary;
	const kl_status_reply_t *best = NULL;
	const kl_upstream_t *upstream;
	bool best_leaving = false, replies_missing = false;
	bool planned = is_planned(ctx);
	const char *leader;
	uint64_t now = ctx->base.now;

	if (!kl_promote_registry_complete(
		    ctx, ctx->base.service->sync_replicas || !*primary)) {
		kl_promote_log_wait(ctx, settled_us, "registrations_missing");
		return NULL;
	}
	if (!*primary) {
		switch (kl_promote_find_leader(ctx, settled_us, &leader)) {
		case KL_LEADER_FOUND:
			return leader;
		case KL_LEADER_UNDECIDED:
			return NULL;
		default:
			break;
		}
	}
	if (ctx->base.service->sync_replicas)
		return kl_promote_choose_synced(ctx, settled_us, planned);
	CK_STAILQ_FOREACH(upstream, &ctx->base.service->upstreams, link) {
		const kl_status_reply_t *reply =
			kl_promotion_find_reply(promotion, upstream->name.name);

		if (!strcmp(upstream->name.name, primary) ||
		    !strcmp(upstream->name.name, promotion->failed_candidate) ||
		    (upstream->leaving && planned))
			continue;
		if (!reply) {
			replies_missing |= !upstream->leaving;
			continue;
		}
		if (best && upstream->leaving != best_leaving
			    ? upstream->leaving
			    : best && !kl_promote_has_newer_log(reply, best))
			continue;
		best = reply;
		best_leaving = upstream->leaving;
	}
	if (!best || now < settled_us)
		return NULL;
	if (replies_missing && now < settled_us + REPLIES_WAIT_US)
		return NULL;
	if (kl_promote_waits_for_log(ctx, best, settled_us, planned))
		return NULL;
	return best->upstream;
}

/*
 * While the old primary answers, a candidate must have all of its log, so that
 * no writes are lost; in a planned change without a limit here.
 */
bool kl_promote_waits_for_log(const kl_promote_ctx_t *ctx,
			      const kl_status_reply_t *candidate,
			      uint64_t settled_us, bool planned)
{
	const kl_status_reply_t *old_primary = kl_promotion_find_reply(
		ctx->promotion, ctx->base.group->primary);
	uint64_t limit_us =
		settled_us + ctx->base.node->tuning.catch_up_timeout_us;

	return old_primary && old_primary->reported_primary &&
	       (planned || ctx->base.now < limit_us) &&
	       (old_primary->query_sent_us < settled_us ||
		!has_complete_log(candidate, old_primary));
}

bool kl_promote_has_newer_log(const kl_status_reply_t *reply,
			      const kl_status_reply_t *other)
{
	if (reply->log_term != other->log_term)
		return reply->log_term > other->log_term;
	return reply->position > other->position;
}

/* Whether a database's log is complete compared with the old primary's. */
static bool has_complete_log(const kl_status_reply_t *reply,
			     const kl_status_reply_t *old_primary)
{
	return !kl_promote_has_newer_log(old_primary, reply);
}

void kl_promote_log_wait(const kl_promote_ctx_t *ctx, uint64_t settled_us,
			 const char *reason)
{
	const kl_node_t *node = ctx->base.node;
	kl_decision_t decision = { .name = "promotion_waits",
				   .service = ctx->base.service->name.name,
				   .reason = reason,
				   .term = ctx->base.group->term };

	if (ctx->promotion->wait_logged ||
	    ctx->base.now < settled_us + LOG_WAIT_US)
		return;
	ctx->promotion->wait_logged = true;
	decision.age_us = ctx->base.now - settled_us;
	node->ops->log_decision(node->ops_context, &decision);
}
