/* Exchange of objects between VMs: hellos, fetches and deltas. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/sync_internal.h"
#include "control/tree.h"

#define FETCH_INTERVAL_US (200 * KL_MS) /* minimum time between fetches */

static bool find_newer_feed(const kl_sync_t *sync, kl_feed_t *feed);
static void send_fetch(kl_node_t *node, kl_sync_t *sync, const char *vm,
		       const char *host, uint16_t port);
static void start_fetch(kl_node_t *node, kl_sync_t *sync, const char *vm,
			const char *host, uint16_t port, kl_feed_t feed);
static void send_hello(kl_node_t *node, const kl_sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t echo_us,
		       bool wants_answer);

void kl_sync_handle_hello(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_peer_hello_t *hello = &message->hello;
	uint64_t now = kl_node_now(node);
	bool accepted = kl_sync_accept_message(node, sync, message);
	kl_feed_t feed;

	if (hello->wants_answer)
		send_hello(node, sync, message->from, hello->host, hello->port,
			   hello->sent_us, false);
	if (!accepted)
		return;
	if (now - sync->fetch_sent_us >= FETCH_INTERVAL_US) {
		memcpy(sync->fetch_vm_revisions, hello->feed_revisions,
		       sizeof(sync->fetch_vm_revisions));
		if (find_newer_feed(sync, &feed))
			start_fetch(node, sync, message->from, hello->host,
				    hello->port, feed);
	}
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
	if (hello->confirmation_age_us < hello->echo_us &&
	    hello->feed_revisions[KL_FEED_TERMS] ==
		    sync->feeds[KL_FEED_TERMS].revision)
		kl_sync_confirm(node, sync,
				hello->echo_us - hello->confirmation_age_us);
}

void kl_sync_send_hello(kl_node_t *node, const kl_member_t *member)
{
	send_hello(node, node->state[KL_CONTROLLER_SYNC], member->name.name,
		   member->host, member->port, 0, true);
}

/*
 * Finds the next feed of which the fetch VM has a higher revision, beginning
 * after the one that was fetched last: one that changes all the time, or whose
 * fetch fails, must not keep the others waiting.
 */
static bool find_newer_feed(const kl_sync_t *sync, kl_feed_t *feed)
{
	for (uint32_t i = 1; i <= KL_FEED_COUNT; i++) {
		kl_feed_t next = (sync->fetch.feed + i) % KL_FEED_COUNT;

		if (sync->fetch_vm_revisions[next] <=
		    sync->feeds[next].revision)
			continue;
		*feed = next;
		return true;
	}
	return false;
}

void kl_sync_handle_fetch(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_peer_fetch_t *fetch = &message->fetch;
	const kl_feed_state_t *feed = &sync->feeds[fetch->feed];
	kl_peer_message_t reply = { .kind = KL_PEER_DELTA };
	const kl_object_t *object;
	uint64_t since = fetch->since_revision;
	uint32_t skip = fetch->skip;
	size_t bytes = 0;

	kl_sync_accept_message(node, sync, message);
	if (!objects)
		return;
	reply.store_era = sync->era;
	memcpy(reply.from, node->self.vm, sizeof(reply.from));
	memcpy(reply.hello.host, node->self.host, sizeof(node->self.host));
	reply.hello.port = node->self.port;
	reply.delta.fetch = *fetch;
	reply.delta.revision = feed->revision;
	reply.delta.is_full_list = !kl_sync_knows_removals(feed, since);
	if (reply.delta.is_full_list)
		since = 0;
	CK_STAILQ_INIT(&reply.delta.objects);
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		kl_object_t *copy;

		if (object->feed != fetch->feed || object->version <= since)
			continue;
		if (skip) {
			skip--;
			continue;
		}
		bytes += strlen(object->body) + KL_NAME_MAX;
		if (bytes > KL_DELTA_BYTES_MAX &&
		    !CK_STAILQ_EMPTY(&reply.delta.objects)) {
			reply.delta.has_more = true;
			break;
		}
		copy = kl_object_copy(object);
		if (!copy)
			break;
		CK_STAILQ_INSERT_TAIL(&reply.delta.objects, copy, link);
	}
	node->ops->send_to_peer(node->ops_context, message->from,
				message->hello.host, message->hello.port,
				&reply);
	kl_object_list_clear(&reply.delta.objects);
}

void kl_sync_handle_delta(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_peer_delta_t *delta = &message->delta;
	const kl_peer_fetch_t *fetch = &delta->fetch;
	const kl_object_t *object;
	kl_feed_t feed;
	kl_feed_update_t update = { .source = "peer",
				    .peer = message->from,
				    .sent_us = sync->fetch_sent_us };

	if (!kl_sync_accept_message(node, sync, message) ||
	    strcmp(message->from, sync->fetch_vm) ||
	    fetch->feed != sync->fetch.feed ||
	    fetch->since_revision != sync->fetch.since_revision ||
	    fetch->skip != sync->fetch.skip ||
	    delta->revision <= sync->feeds[fetch->feed].revision)
		return;
	if (sync->fetch_revision && sync->fetch_revision != delta->revision) {
		/* The sender's copy changed between two deltas: start over. */
		start_fetch(node, sync, message->from, message->hello.host,
			    message->hello.port, fetch->feed);
		return;
	}
	sync->fetch_revision = delta->revision;
	CK_STAILQ_FOREACH(object, &delta->objects, link) {
		kl_object_t *copy = kl_object_copy(object);

		if (!copy)
			return;
		CK_STAILQ_INSERT_TAIL(&sync->fetched_objects, copy, link);
		sync->fetch.skip++;
	}
	if (delta->has_more) {
		send_fetch(node, sync, message->from, message->hello.host,
			   message->hello.port);
		return;
	}
	sync->fetch_sent_us = 0;
	sync->fetch_vm[0] = '\0';
	update.read_revision = update.revision = delta->revision;
	update.feed = fetch->feed;
	update.objects = &sync->fetched_objects;
	update.full = delta->is_full_list;
	if (kl_sync_apply(node, sync, &update))
		kl_sync_announce(node, sync);
	kl_object_list_clear(&sync->fetched_objects);
	if (find_newer_feed(sync, &feed))
		start_fetch(node, sync, message->from, message->hello.host,
			    message->hello.port, feed);
}

static void start_fetch(kl_node_t *node, kl_sync_t *sync, const char *vm,
			const char *host, uint16_t port, kl_feed_t feed)
{
	kl_object_list_clear(&sync->fetched_objects);
	sync->fetch.feed = feed;
	sync->fetch.since_revision = sync->feeds[feed].revision;
	sync->fetch.skip = 0;
	sync->fetch_revision = 0;
	send_fetch(node, sync, vm, host, port);
}

static void send_fetch(kl_node_t *node, kl_sync_t *sync, const char *vm,
		       const char *host, uint16_t port)
{
	kl_peer_message_t message = { .kind = KL_PEER_FETCH,
				      .store_era = sync->era,
				      .fetch = sync->fetch };

	sync->fetch_sent_us = kl_node_now(node);
	memcpy(sync->fetch_vm, vm, sizeof(sync->fetch_vm));
	memcpy(message.from, node->self.vm, sizeof(message.from));
	memcpy(message.hello.host, node->self.host, sizeof(node->self.host));
	message.hello.port = node->self.port;
	node->ops->send_to_peer(node->ops_context, vm, host, port, &message);
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
	hello->confirmation_age_us = sync->has_confirmation
					     ? now - sync->confirmed_us
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
