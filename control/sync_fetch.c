/*
 * Exchange of objects between VMs.  A VM that hears of a newer feed fetches the
 * changes, one delta after the other.  An object that is too large for a delta
 * comes in parts, which are requested one by one.
 *
 *   hello ──► FETCH ──► DELTA ──► FETCH with more to skip ──► ... ──► applied
 *                 └───► PART ──► PART_FETCH with the offset ──► ...
 *
 * VMs of earlier versions don't know parts.  They send and get none, and large
 * objects don't reach them from other VMs.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/store_era.h"
#include "control/sync_internal.h"
#include "kumquatloft/kind.h"

#define FETCH_INTERVAL_US (200 * KL_MS) /* minimum time between fetches */
/*
 * A fetch that has brought something already is sent again if it gets no
 * answer, up to this number of times; others begin anew with the next hello.
 */
#define FETCH_RETRY_US (100 * KL_MS)
#define FETCH_RETRIES_MAX 6

/*
 * A feed that other VMs have newer, and that did not change here for so long,
 * is listed from the store; VMs do so at different times.
 */
#define FETCH_OVERDUE_US (1 * KL_SEC)
#define FETCH_OVERDUE_SPREAD_US (500 * KL_MS)

static bool find_newer_feed(const kl_sync_t *sync, kl_feed_t *feed);
static bool add_object(kl_peer_message_t *reply, const kl_object_t *object,
		       size_t *bytes);
static bool add_part(kl_peer_message_t *reply, const kl_object_t *object);
static bool is_awaited(const kl_sync_t *sync, const kl_peer_message_t *message);
static int take_objects(kl_sync_t *sync, const kl_peer_message_t *message);
static int take_part(kl_sync_t *sync, const kl_peer_message_t *message);
static kl_object_t *new_part(kl_sync_t *sync, const kl_peer_message_t *message);
static void add_fetched(kl_sync_t *sync, kl_object_t *object, size_t bytes);
static void apply_fetched(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);
static void refuse_fetched(kl_node_t *node, kl_sync_t *sync,
			   const kl_peer_message_t *message, int error);
static void start_fetch(kl_node_t *node, kl_sync_t *sync,
			const kl_peer_message_t *sender, kl_feed_t feed);
static void send_fetch(kl_node_t *node, kl_sync_t *sync);

void kl_sync_note_newer(const kl_node_t *node, kl_sync_t *sync,
			const kl_peer_message_t *hello)
{
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		kl_feed_state_t *feed = &sync->feeds[i];
		uint64_t revision = hello->hello.feed_revisions[i];

		if (revision <= feed->revision ||
		    revision <= feed->told_revision)
			continue;
		if (feed->told_revision <= feed->revision)
			feed->behind_since_us = kl_node_now(node);
		feed->told_revision = revision;
	}
}

void kl_sync_list_overdue(kl_node_t *node, kl_sync_t *sync)
{
	uint64_t now = kl_node_now(node);

	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		kl_feed_state_t *feed = &sync->feeds[i];
		kl_decision_t decision = {
			.name = "feed_overdue",
			.feed = kl_feed_name(i),
			.position = kl_version_revision(feed->told_revision),
			.age_us = now - feed->behind_since_us
		};

		if (feed->told_revision <= feed->revision ||
		    now < feed->behind_since_us + FETCH_OVERDUE_US ||
		    feed->needs_list)
			continue;
		feed->needs_list = true;
		feed->next_list_us =
			now + kl_node_random(node) % FETCH_OVERDUE_SPREAD_US;
		feed->told_revision = 0; /* until it is told again */
		node->ops->log_decision(node->ops_context, &decision);
	}
}

void kl_sync_fetch_newer(kl_node_t *node, kl_sync_t *sync,
			 const kl_peer_message_t *hello)
{
	kl_feed_t feed;

	if (kl_node_now(node) - sync->fetch_sent_us < FETCH_INTERVAL_US)
		return;
	memcpy(sync->fetch_vm_revisions, hello->hello.feed_revisions,
	       sizeof(sync->fetch_vm_revisions));
	if (find_newer_feed(sync, &feed))
		start_fetch(node, sync, hello, feed);
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
		uint64_t revision = sync->fetch_vm_revisions[next];

		if (revision <= sync->feeds[next].revision ||
		    revision == sync->feeds[next].refused_revision)
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
	kl_peer_message_t reply = { .kind = KL_PEER_DELTA,
				    .part = message->part };
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
		if (object->feed != fetch->feed || object->version <= since)
			continue;
		if (skip) {
			skip--;
			continue;
		}
		if (!add_object(&reply, object, &bytes)) {
			reply.delta.has_more = true;
			break;
		}
	}
	node->ops->send_to_peer(node->ops_context, message->from,
				message->hello.host, message->hello.port,
				&reply);
	kl_object_list_clear(&reply.delta.objects);
}

/* Adds an object to a reply. @return false if it belongs into the next one */
static bool add_object(kl_peer_message_t *reply, const kl_object_t *object,
		       size_t *bytes)
{
	size_t length = strlen(object->body);
	bool is_first = CK_STAILQ_EMPTY(&reply->delta.objects);
	kl_object_t *copy;

	if (reply->kind == KL_PEER_PART)
		return false;
	if (is_first && (reply->part.offset || length > KL_OBJECT_WHOLE_MAX))
		return add_part(reply, object);
	*bytes += length + KL_NAME_MAX;
	if (!is_first && *bytes > KL_DELTA_BYTES_MAX)
		return false;
	copy = kl_object_copy(object);
	if (!copy)
		return false;
	CK_STAILQ_INSERT_TAIL(&reply->delta.objects, copy, link);
	return true;
}

/*
 * Adds a part of an object to a reply that has nothing else.  One that begins
 * behind the object's end is empty; the revision has changed then.
 *
 * returns whether it is the last part
 */
static bool add_part(kl_peer_message_t *reply, const kl_object_t *object)
{
	size_t size = strlen(object->body);
	size_t offset = reply->part.offset < size ? reply->part.offset : size;
	kl_object_t *copy =
		kl_object_new(object->name.name, object->version, "");
	char *body = strndup(object->body + offset, KL_DELTA_BYTES_MAX);
	bool is_last = size - offset <= KL_DELTA_BYTES_MAX;

	reply->kind = KL_PEER_PART;
	reply->part.size = (uint32_t)size;
	if (!copy || !body) {
		kl_object_free(copy);
		free(body);
		return false;
	}
	free(copy->body);
	copy->body = body;
	copy->generation = object->generation;
	CK_STAILQ_INSERT_TAIL(&reply->delta.objects, copy, link);
	return is_last;
}

void kl_sync_handle_delta(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_peer_delta_t *delta = &message->delta;
	int error;

	if (!kl_sync_accept_message(node, sync, message) ||
	    !is_awaited(sync, message))
		return;
	if (sync->fetch_revision && sync->fetch_revision != delta->revision) {
		/* The sender's copy changed between two deltas: start over. */
		start_fetch(node, sync, message, delta->fetch.feed);
		return;
	}
	sync->fetch_revision = delta->revision;
	sync->fetch_retries = 0;
	error = message->kind == KL_PEER_PART ? take_part(sync, message)
					      : take_objects(sync, message);
	if (error)
		refuse_fetched(node, sync, message, error);
	else if (delta->has_more || sync->part)
		send_fetch(node, sync);
	else
		apply_fetched(node, sync, message);
}

/* Whether a message answers the outstanding fetch, which it did not before. */
static bool is_awaited(const kl_sync_t *sync, const kl_peer_message_t *message)
{
	const kl_peer_fetch_t *fetch = &message->delta.fetch;

	return !strcmp(message->from, sync->fetch_vm) &&
	       fetch->feed == sync->fetch.feed &&
	       fetch->since_revision == sync->fetch.since_revision &&
	       fetch->skip == sync->fetch.skip &&
	       (message->kind != KL_PEER_PART ||
		message->part.offset == sync->part_length) &&
	       message->delta.revision > sync->feeds[fetch->feed].revision;
}

/* Takes whole objects. @return 0, or a negative kl_error_t */
static int take_objects(kl_sync_t *sync, const kl_peer_message_t *message)
{
	const kl_object_t *object;

	if (sync->part)
		return -KL_E_PROTOCOL;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link) {
		size_t bytes = strlen(object->body);
		kl_object_t *copy;

		if (sync->fetched_bytes + bytes > KL_FETCH_BYTES_MAX)
			return -KL_E_INVALID;
		copy = kl_object_copy(object);
		if (!copy)
			return -KL_E_NOMEM;
		add_fetched(sync, copy, bytes);
	}
	return 0;
}

/* Takes the next part of an object. @return 0, or a negative kl_error_t */
static int take_part(kl_sync_t *sync, const kl_peer_message_t *message)
{
	const kl_object_t *object = CK_STAILQ_FIRST(&message->delta.objects);
	size_t length = object ? strlen(object->body) : 0;

	if (!sync->part)
		sync->part = new_part(sync, message);
	if (!sync->part)
		return -KL_E_INVALID;
	if (message->part.size != sync->part_size || !length ||
	    length > sync->part_size - sync->part_length ||
	    strcmp(object->name.name, sync->part->name.name))
		return -KL_E_PROTOCOL;
	memcpy(sync->part->body + sync->part_length, object->body, length + 1);
	sync->part_length += (uint32_t)length;
	if (sync->part_length < sync->part_size)
		return 0;
	add_fetched(sync, sync->part, sync->part_size);
	sync->part = NULL;
	sync->part_length = 0;
	return 0;
}

/* Makes room for an object whose first part has come; NULL if it is refused. */
static kl_object_t *new_part(kl_sync_t *sync, const kl_peer_message_t *message)
{
	const kl_object_t *object = CK_STAILQ_FIRST(&message->delta.objects);
	uint32_t size = message->part.size;
	kl_object_t *part;
	char *body;

	if (!object || size > KL_OBJECT_BYTES_MAX ||
	    sync->fetched_bytes + size > KL_FETCH_BYTES_MAX)
		return NULL;
	part = kl_object_copy(object);
	body = part ? malloc(size + 1) : NULL;
	if (!body) {
		kl_object_free(part);
		return NULL;
	}
	free(part->body);
	part->body = body;
	*body = '\0';
	sync->part_size = size;
	return part;
}

static void add_fetched(kl_sync_t *sync, kl_object_t *object, size_t bytes)
{
	CK_STAILQ_INSERT_TAIL(&sync->fetched_objects, object, link);
	sync->fetched_bytes += bytes;
	sync->fetch.skip++;
}

static void apply_fetched(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message)
{
	const kl_peer_delta_t *delta = &message->delta;
	kl_feed_update_t update = { .feed = delta->fetch.feed,
				    .objects = &sync->fetched_objects,
				    .revision = delta->revision,
				    .read_revision = delta->revision,
				    .full = delta->is_full_list,
				    .source = "peer",
				    .peer = message->from,
				    .sent_us = sync->fetch_sent_us };
	kl_feed_t feed;

	if (kl_sync_apply(node, sync, &update))
		kl_sync_announce(node, sync);
	kl_sync_end_fetch(sync);
	if (find_newer_feed(sync, &feed))
		start_fetch(node, sync, message, feed);
}

/*
 * Gives a fetch up that can't be held in memory, or makes no sense.  The store
 * is asked instead, and that revision of the feed is not fetched again.
 */
static void refuse_fetched(kl_node_t *node, kl_sync_t *sync,
			   const kl_peer_message_t *message, int error)
{
	const kl_peer_delta_t *delta = &message->delta;
	kl_feed_state_t *feed = &sync->feeds[delta->fetch.feed];
	kl_decision_t decision = {
		.name = "fetch_refused",
		.reason = error == -KL_E_INVALID ? "too_large"
						 : kl_error_info(error)->name,
		.feed = kl_feed_name(delta->fetch.feed),
		.peer = message->from,
		.position = kl_version_revision(delta->revision)
	};

	feed->refused_revision = delta->revision;
	feed->needs_list = true;
	sync->refused_fetch_count++;
	node->ops->log_decision(node->ops_context, &decision);
	kl_sync_end_fetch(sync);
}

void kl_sync_retry_fetch(kl_node_t *node, kl_sync_t *sync)
{
	bool has_progress = sync->fetch.skip || sync->part;

	if (!*sync->fetch_vm || !has_progress ||
	    kl_node_now(node) - sync->fetch_sent_us < FETCH_RETRY_US)
		return;
	if (sync->fetch_retries++ < FETCH_RETRIES_MAX)
		send_fetch(node, sync);
	else
		kl_sync_end_fetch(sync);
}

void kl_sync_end_fetch(kl_sync_t *sync)
{
	sync->fetch_vm[0] = '\0';
	sync->fetch_sent_us = 0;
	sync->fetch_retries = 0;
	sync->fetch_revision = 0;
	sync->fetched_bytes = 0;
	kl_object_list_clear(&sync->fetched_objects);
	kl_object_free(sync->part);
	sync->part = NULL;
	sync->part_length = 0;
}

static void start_fetch(kl_node_t *node, kl_sync_t *sync,
			const kl_peer_message_t *sender, kl_feed_t feed)
{
	kl_sync_end_fetch(sync);
	sync->fetch.feed = feed;
	sync->fetch.since_revision = sync->feeds[feed].revision;
	sync->fetch.skip = 0;
	memcpy(sync->fetch_vm, sender->from, sizeof(sync->fetch_vm));
	memcpy(sync->fetch_host, sender->hello.host, sizeof(sync->fetch_host));
	sync->fetch_port = sender->hello.port;
	send_fetch(node, sync);
}

static void send_fetch(kl_node_t *node, kl_sync_t *sync)
{
	kl_peer_message_t message = { .kind = sync->part ? KL_PEER_PART_FETCH
							 : KL_PEER_FETCH,
				      .store_era = sync->era,
				      .fetch = sync->fetch,
				      .part = { .offset = sync->part_length } };

	sync->fetch_sent_us = kl_node_now(node);
	memcpy(message.from, node->self.vm, sizeof(message.from));
	memcpy(message.hello.host, node->self.host, sizeof(node->self.host));
	message.hello.port = node->self.port;
	node->ops->send_to_peer(node->ops_context, sync->fetch_vm,
				sync->fetch_host, sync->fetch_port, &message);
}
