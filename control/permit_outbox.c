/* Gathers the messages of one step, so that each VM gets one of each kind. */
#include <stdlib.h>
#include <string.h>

#include "control/permit_internal.h"

static uint64_t next_stamp(const kl_node_t *node, kl_permit_outbox_t *outbox);
static bool is_full(const kl_peer_message_t *message);

kl_peer_message_t *kl_permit_outbox_message(const kl_node_t *node,
					    kl_permit_outbox_t *outbox,
					    const char *vm, kl_peer_kind_t kind)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member =
		members ? kl_index_get(members->index, vm) : NULL;
	kl_permit_outgoing_t *outgoing;

	if (!member)
		return NULL;
	CK_STAILQ_FOREACH(outgoing, &outbox->list, link) {
		if (outgoing->message.kind == kind &&
		    !strcmp(outgoing->vm, vm) && !is_full(&outgoing->message))
			return &outgoing->message;
	}
	outgoing = calloc(1, sizeof(*outgoing));
	if (!outgoing)
		return NULL;
	memcpy(outgoing->vm, member->name.name, KL_NAME_MAX);
	memcpy(outgoing->host, member->host, KL_HOST_MAX);
	outgoing->port = member->port;
	outgoing->message.kind = kind;
	memcpy(outgoing->message.from, node->self.vm, KL_NAME_MAX);
	memcpy(outgoing->message.hello.host, node->self.host, KL_HOST_MAX);
	outgoing->message.hello.port = node->self.port;
	if (kind == KL_PEER_PERMIT_REQUEST)
		outgoing->message.permit_requests.sent_us =
			next_stamp(node, outbox);
	outgoing->message.permit_grants.sent_us = kl_node_now(node);
	CK_STAILQ_INSERT_TAIL(&outbox->list, outgoing, link);
	return &outgoing->message;
}

void kl_permit_outbox_send(kl_node_t *node, kl_permit_outbox_t *outbox)
{
	kl_permit_outgoing_t *outgoing;

	while ((outgoing = CK_STAILQ_FIRST(&outbox->list))) {
		CK_STAILQ_REMOVE_HEAD(&outbox->list, link);
		node->ops->send_to_peer(node->ops_context, outgoing->vm,
					outgoing->host, outgoing->port,
					&outgoing->message);
		free(outgoing);
	}
}

/*
 * The time, raised so that it is later than the last one: an arbiter ignores a
 * request that isn't newer than another.
 */
static uint64_t next_stamp(const kl_node_t *node, kl_permit_outbox_t *outbox)
{
	uint64_t now = kl_node_now(node);

	if (now <= outbox->last_sent_us)
		now = outbox->last_sent_us + 1;
	outbox->last_sent_us = now;
	return now;
}

static bool is_full(const kl_peer_message_t *message)
{
	uint32_t count = message->kind == KL_PEER_PERMIT_REQUEST
				 ? message->permit_requests.count
				 : message->permit_grants.count;

	return count == KL_PEER_PERMITS_MAX;
}
