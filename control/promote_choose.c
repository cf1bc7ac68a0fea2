/* Which database is promoted, and when nobody uses the old one any more. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/promote_internal.h"

#define GREET_US (80 * KL_MS)	 /* between two questions to a VM */
#define REPLIES_US (500 * KL_MS) /* for the slower replicas' answers */

static bool knows(const kl_promote_ctx_t *view, const kl_member_t *member);
static bool better(const kl_status_reply_t *reply,
		   const kl_status_reply_t *than);
static bool holds_all(const kl_status_reply_t *reply,
		      const kl_status_reply_t *old);

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
		kl_name_set(ack->vm, hello->from);
		CK_STAILQ_INSERT_TAIL(acks, ack, link);
	}
	/* Messages overtake each other; a new process begins anew. */
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

bool kl_promote_fence_done(kl_promote_ctx_t *view)
{
	kl_node_t *node = view->base.node;
	const kl_group_t *group = view->base.group;
	const kl_member_t *member;
	bool greet =
		view->base.now - view->promotion->hello_sent_us >= GREET_US;
	bool over = true;

	if (view->base.now - group->first_seen_us >=
	    kl_fencing_delay_us(&node->tuning))
		return true;
	/* Who registered before the record was written is in the same feed. */
	CK_STAILQ_FOREACH(member, &view->base.members->list, link) {
		bool gone = member->unregistered_us &&
			    view->base.now - member->unregistered_us >=
				    kl_fencing_delay_us(&node->tuning);

		if ((!member->registered && !member->unregistered_us) || gone ||
		    knows(view, member))
			continue;
		over = false;
		if (greet)
			kl_sync_send_hello(node, member);
	}
	if (greet)
		view->promotion->hello_sent_us = view->base.now;
	return over;
}

static bool knows(const kl_promote_ctx_t *view, const kl_member_t *member)
{
	const kl_ack_t *ack;

	if (!strcmp(member->name.name, view->base.node->self.vm))
		return true;
	CK_STAILQ_FOREACH(ack, view->acks, link) {
		if (!strcmp(ack->vm, member->name.name))
			return ack->terms_revision >= view->base.group->version;
	}
	return false;
}

void kl_promotion_reset(kl_promotion_t *promotion, const kl_group_t *group)
{
	kl_failover_t *change = &promotion->failover;

	change->record_version = group->version;
	change->record_term = group->term;
	change->triggered_us = 0;
	change->database_call_us = 0;
	change->record_write_us = 0;
	promotion->reply_count = 0;
	promotion->fence_done_us = 0;
	promotion->promote_call_us = 0;
	promotion->platform_accepted = false;
	promotion->candidate_not_running = false;
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
	reply->primary = answer->primary;
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

void kl_promote_query(kl_promote_ctx_t *view, const char *upstream, bool fresh)
{
	const kl_upstream_t *found =
		kl_service_find_upstream(view->base.service, upstream);
	kl_database_call_t call = { .op = KL_DATABASE_STATUS,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .new_connection = fresh,
				    .sent_us = view->base.now };

	if (!found)
		return;
	call.port = found->port;
	memcpy(call.service, view->base.service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, found->name.name, KL_NAME_MAX);
	memcpy(call.host, found->host, KL_HOST_MAX);
	view->base.node->ops->call_database(view->base.node->ops_context,
					    &call);
}

void kl_promote_query_all(kl_promote_ctx_t *view)
{
	const kl_upstream_t *upstream;

	CK_STAILQ_FOREACH(upstream, &view->base.service->upstreams, link)
		kl_promote_query(view, upstream->name.name, false);
}

void kl_promote_call_database(kl_promote_ctx_t *view,
			      const kl_upstream_t *upstream,
			      kl_database_op_t op, uint64_t term)
{
	kl_database_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_PROMOTE,
				    .port = upstream->port,
				    .term = term,
				    .sent_us = view->base.now };

	memcpy(call.service, view->base.service->name.name, KL_NAME_MAX);
	memcpy(call.upstream, upstream->name.name, KL_NAME_MAX);
	memcpy(call.host, upstream->host, KL_HOST_MAX);
	view->base.node->ops->call_database(view->base.node->ops_context,
					    &call);
}

const char *kl_promote_candidate(kl_promote_ctx_t *view, uint64_t settled_us)
{
	const kl_promotion_t *promotion = view->promotion;
	const char *primary = view->base.group->primary;
	const kl_status_reply_t *old =
		kl_promotion_find_reply(promotion, primary);
	const kl_status_reply_t *best = NULL;
	const kl_upstream_t *upstream;
	bool best_leaving = false, missing = false;
	uint64_t now = view->base.now;

	CK_STAILQ_FOREACH(upstream, &view->base.service->upstreams, link) {
		const kl_status_reply_t *reply =
			kl_promotion_find_reply(promotion, upstream->name.name);

		if (!strcmp(upstream->name.name, primary) ||
		    !strcmp(upstream->name.name, promotion->failed_candidate))
			continue;
		if (!reply) {
			missing |= !upstream->leaving;
			continue;
		}
		if (best && upstream->leaving != best_leaving
			    ? upstream->leaving
			    : best && !better(reply, best))
			continue;
		best = reply;
		best_leaving = upstream->leaving;
	}
	if (!best || now < settled_us)
		return NULL;
	if (missing && now < settled_us + REPLIES_US)
		return NULL;
	/* An old primary that answers has writes that must not be lost. */
	if (old && old->primary &&
	    now < settled_us + view->base.node->tuning.catch_up_timeout_us &&
	    (old->query_sent_us < settled_us || !holds_all(best, old)))
		return NULL;
	return best->upstream;
}

static bool better(const kl_status_reply_t *reply,
		   const kl_status_reply_t *than)
{
	if (reply->log_term != than->log_term)
		return reply->log_term > than->log_term;
	return reply->position > than->position;
}

static bool holds_all(const kl_status_reply_t *reply,
		      const kl_status_reply_t *old)
{
	return !better(old, reply);
}
