/* Hellos, with which VMs tell each other their revisions. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/sync_internal.h"
#include "control/tree.h"

static void send_hello(kl_node_t *node, const kl_sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t echo_us,
		       bool wants_answer);

void kl_sync_handle_hello(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_peer_hello_t *hello = &message->hello;
	uint64_t now = kl_node_now(node), current_us;
	bool accepted = kl_sync_accept_message(node, sync, message);

	if (hello->wants_answer)
		send_hello(node, sync, message->from, hello->host, hello->port,
			   hello->sent_us, false);
	if (!accepted)
		return;
	kl_sync_note_newer(node, sync, message);
	kl_sync_fetch_newer(node, sync, message);
	if (!hello->echo_us || hello->echo_us > now)
		return;
	/*
	 * Ages are taken off the time at which this VM sent its own hello, so a
	 * late answer cannot make what it brings appear newer than it is.
	 */
	if (hello->store_revision &&
	    hello->store_revision_age_us < hello->echo_us)
		kl_revision_times_add(
			&sync->revision_times, hello->store_revision,
			hello->echo_us - hello->store_revision_age_us);
	if (hello->confirmation_age_us >= hello->echo_us)
		return;
	current_us = hello->echo_us - hello->confirmation_age_us;
	kl_sync_note_store(node, sync, current_us);
	kl_sync_note_current(sync, message, current_us);
	if (hello->feed_revisions[KL_FEED_TERMS] ==
	    sync->feeds[KL_FEED_TERMS].revision)
		kl_sync_confirm(node, sync, current_us);
}

void kl_sync_send_hello(kl_node_t *node, const kl_member_t *member)
{
	send_hello(node, node->state[KL_CONTROLLER_SYNC], member->name.name,
		   member->host, member->port, 0, true);
}

static void send_hello(kl_node_t *node, const kl_sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t echo_us,
		       bool wants_answer)
{
	kl_peer_message_t message = { .kind = KL_PEER_HELLO,
				      .store_era = sync->era };
	kl_peer_hello_t *hello = &message.hello;
	const kl_revision_sample_t *sample =
		kl_revision_times_newest(&sync->revision_times);
	uint64_t now = kl_node_now(node);

	memcpy(message.from, node->self.vm, sizeof(message.from));
	memcpy(hello->domain, node->self.domain, sizeof(hello->domain));
	memcpy(hello->host, node->self.host, sizeof(hello->host));
	hello->port = node->self.port;
	hello->incarnation = node->self.incarnation;
	hello->wants_answer = wants_answer;
	hello->sent_us = now;
	hello->echo_us = echo_us;
	for (int i = 0; i < KL_FEED_COUNT; i++)
		hello->feed_revisions[i] = sync->feeds[i].revision;
	hello->confirmation_age_us =
		sync->has_confirmation ? now - kl_sync_current_us(node, sync)
				       : KL_AGE_UNCONFIRMED;
	memcpy(message.first_revisions, sync->first_revisions,
	       sizeof(message.first_revisions));
	if (sample) {
		hello->store_revision = sample->revision;
		hello->store_revision_age_us = now - sample->time_us;
	}
	node->ops->send_to_peer(node->ops_context, vm, host, port, &message);
}

void kl_sync_hello_round(kl_node_t *node, kl_sync_t *sync)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	const kl_member_t *parent;
	kl_seed_t *seed;
	uint32_t chosen;

	if (!members || members->count < 2) {
		CK_SLIST_FOREACH(seed, &node->seeds, link)
		{
			if (seed->port != node->self.port ||
			    strcmp(seed->host, node->self.host))
				send_hello(node, sync, "", seed->host,
					   seed->port, 0, true);
		}
		return;
	}
	parent = kl_tree_parent(node, members);
	if (parent)
		send_hello(node, sync, parent->name.name, parent->host,
			   parent->port, 0, true);
	chosen = kl_node_random(node) % members->count;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (chosen--)
			continue;
		if (strcmp(member->name.name, node->self.vm) &&
		    member != parent)
			send_hello(node, sync, member->name.name, member->host,
				   member->port, 0, true);
		break;
	}
}

void kl_sync_announce(kl_node_t *node, const kl_sync_t *sync)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	uint32_t chosen, member_index = 0;

	if (!members || members->count < 2)
		return;
	for (member = kl_tree_next_child(node, members, NULL); member;
	     member = kl_tree_next_child(node, members, member))
		send_hello(node, sync, member->name.name, member->host,
			   member->port, 0, false);
	chosen = kl_node_random(node) % members->count;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if ((member_index++ == chosen || member_index == chosen + 1) &&
		    strcmp(member->name.name, node->self.vm))
			send_hello(node, sync, member->name.name, member->host,
				   member->port, 0, false);
	}
}
