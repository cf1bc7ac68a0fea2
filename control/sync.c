/*
 * Keeps the platform's objects: asks the platform on behalf of its failure
 * domain or hears from peers, never installs a lower revision, and knows how
 * old the last confirmation is.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/sync_internal.h"

#define SELF_SERVE_US (1500 * KL_MS) /* unconfirmed so long: ask oneself */
#define ANSWER_US (1 * KL_SEC)	     /* an answer this late is given up */
#define WATCH_US (20 * KL_SEC)	     /* a watch this old is given up */
#define FEED_WATCH_US (12 * KL_SEC)  /* the same, with several feeds */
#define WATCH_START_US (700 * KL_MS) /* after the start of a process */
#define WATCH_PAUSE_US (100 * KL_MS) /* changes that come together */
#define RETRY_US (300 * KL_MS)	     /* after a list that failed */
#define FRESH_US (300 * KL_MS)	     /* a process is new for so long */
#define START_US (60 * KL_MS)	     /* between the first lists */

static void ask_for_all(kl_node_t *node, kl_sync_t *sync, uint64_t now);
static void ask_for_feeds(kl_node_t *node, kl_sync_t *sync, uint64_t now);
static void ask(kl_node_t *node, const kl_feed_state_t *feed,
		kl_platform_op_t op, kl_feed_t number, uint64_t now);
static void platform_answered(kl_node_t *node, kl_sync_t *sync,
			      kl_platform_answer_t *answer);
static bool starved(const kl_sync_t *sync, uint64_t now);
static uint64_t newest(const kl_feed_state_t *feed,
		       const kl_object_list_t *objects);
static uint64_t registered_since(const kl_node_t *node, kl_sync_t *sync);
static bool is_news(const kl_objects_t *old, const kl_feed_update_t *news);
static kl_index_t *index_newest(const kl_feed_update_t *news, size_t count);
static void keep_old(const kl_objects_t *old, kl_objects_t *objects,
		     const kl_feed_update_t *news, kl_index_t *newer,
		     kl_feed_state_t *feed);
static void take_new(kl_objects_t *objects, const kl_feed_update_t *news,
		     kl_index_t *newer);
static bool is_fresh(const kl_node_t *node, const kl_sync_t *sync,
		     uint64_t now);
static uint64_t list_pause(const kl_node_t *node, const kl_sync_t *sync,
			   kl_feed_t feed);
static void give_up_late(const kl_node_t *node, kl_feed_state_t *feed,
			 uint64_t now);

int kl_sync_create(kl_node_t *node)
{
	kl_sync_t *sync = calloc(1, sizeof(*sync));

	if (!sync)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&sync->fetched_objects);
	for (uint32_t i = 0; node->tuning.feed_count > 1 && i < KL_FEED_COUNT;
	     i++)
		sync->feeds[i].needs_list = true;
	node->state[KL_CONTROLLER_SYNC] = sync;
	return 0;
}

void kl_sync_destroy(kl_node_t *node)
{
	kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	kl_object_list_clear(&sync->fetched_objects);
	free(sync);
}

void kl_sync_step(kl_node_t *node, const kl_event_t *event)
{
	kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];
	uint64_t now = kl_node_now(node);

	switch (event->kind) {
	case KL_EVENT_TICK:
		if (node->tuning.feed_count > 1)
			ask_for_feeds(node, sync, now);
		else
			ask_for_all(node, sync, now);
		if (now - sync->last_hello_us >=
		    node->tuning.hello_interval_us) {
			sync->last_hello_us = now;
			kl_sync_hello_round(node, sync);
		}
		break;
	case KL_EVENT_PLATFORM:
		if (event->platform->owner == KL_CONTROLLER_SYNC)
			platform_answered(node, sync, event->platform);
		break;
	case KL_EVENT_PEER:
		if (event->peer->kind == KL_PEER_HELLO)
			kl_sync_handle_hello(node, sync, event->peer);
		else if (event->peer->kind == KL_PEER_FETCH)
			kl_sync_handle_fetch(node, sync, event->peer);
		else if (event->peer->kind == KL_PEER_DELTA)
			kl_sync_handle_delta(node, sync, event->peer);
		break;
	default:
		break;
	}
}

void kl_sync_request_list(kl_node_t *node, kl_feed_t feed)
{
	kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	sync->feeds[feed].needs_list = true;
}

uint64_t kl_sync_last_list_us(const kl_node_t *node, kl_feed_t feed)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->feeds[feed].last_list_us;
}

/* One list for everything. */
static void ask_for_all(kl_node_t *node, kl_sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	kl_feed_state_t *feed = &sync->feeds[KL_FEED_TERMS];
	bool watcher = !members || members->watcher;

	give_up_late(node, feed, now);
	if ((watcher || starved(sync, now)) && !feed->list_sent_us &&
	    now >= feed->next_list_us) {
		feed->list_sent_us = now;
		feed->next_list_us = now + node->tuning.confirm_interval_us;
		/* Those who merely starve must not come all at once. */
		if (!watcher)
			feed->next_list_us +=
				kl_node_random(node) % (2 * SELF_SERVE_US);
		ask(node, feed, KL_PLATFORM_LIST, KL_FEED_TERMS, now);
	}
	if (watcher && !feed->watch_sent_us && sync->confirmed) {
		feed->watch_sent_us = now;
		ask(node, feed, KL_PLATFORM_WATCH, KL_FEED_TERMS, now);
	}
}

/*
 * A list for each feed.  The one of the terms is asked for over and over: a
 * watch that brings nothing doesn't prove that there is nothing.
 */
static void ask_for_feeds(kl_node_t *node, kl_sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	bool watcher = !members || members->watcher;

	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		kl_feed_state_t *feed = &sync->feeds[i];
		bool due = feed->needs_list || i == KL_FEED_TERMS;

		give_up_late(node, feed, now);
		if (!watcher && !starved(sync, now) && !feed->needs_list)
			continue;
		if (due && !feed->list_sent_us && now >= feed->next_list_us) {
			feed->list_sent_us = now;
			feed->next_list_us = now + list_pause(node, sync, i);
			if (!watcher && !is_fresh(node, sync, now))
				feed->next_list_us += kl_node_random(node) %
						      (2 * SELF_SERVE_US);
			ask(node, feed, KL_PLATFORM_LIST, i, now);
		}
		/* Who watches is known once the others are there. */
		if (now - node->started_us >= WATCH_START_US && feed->loaded &&
		    !feed->needs_list && !feed->watch_sent_us &&
		    now >= feed->next_watch_us) {
			feed->watch_sent_us = now;
			feed->next_watch_us = now + WATCH_PAUSE_US;
			ask(node, feed, KL_PLATFORM_WATCH, i, now);
		}
	}
}

/* A process that has just begun wants its first confirmation at once. */
static bool is_fresh(const kl_node_t *node, const kl_sync_t *sync, uint64_t now)
{
	return !sync->confirmed && now - node->started_us < FRESH_US;
}

static uint64_t list_pause(const kl_node_t *node, const kl_sync_t *sync,
			   kl_feed_t feed)
{
	if (feed != KL_FEED_TERMS)
		return RETRY_US;
	/* A fresh VM serves nothing on a primary before it is confirmed. */
	return sync->confirmed ? node->tuning.confirm_interval_us : START_US;
}

static void give_up_late(const kl_node_t *node, kl_feed_state_t *feed,
			 uint64_t now)
{
	uint64_t watch = node->tuning.feed_count > 1 ? FEED_WATCH_US : WATCH_US;

	if (feed->list_sent_us && now - feed->list_sent_us > ANSWER_US)
		feed->list_sent_us = 0;
	if (feed->watch_sent_us && now - feed->watch_sent_us > watch)
		feed->watch_sent_us = 0;
}

static bool starved(const kl_sync_t *sync, uint64_t now)
{
	return !sync->confirmed || now - sync->confirmed_us > SELF_SERVE_US;
}

static void ask(kl_node_t *node, const kl_feed_state_t *feed,
		kl_platform_op_t op, kl_feed_t number, uint64_t now)
{
	bool whole = node->tuning.feed_count > 1 && op == KL_PLATFORM_LIST;
	kl_platform_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_SYNC,
				    .sent_us = now,
				    .feed = number,
				    .since_revision =
					    whole ? 0 : feed->watch_revision };

	node->ops->call_platform(node->ops_context, &call);
}

static void platform_answered(kl_node_t *node, kl_sync_t *sync,
			      kl_platform_answer_t *answer)
{
	kl_feed_state_t *feed = &sync->feeds[answer->feed];
	uint64_t watch = node->tuning.feed_count > 1 ? FEED_WATCH_US : WATCH_US;
	kl_feed_update_t news = { .feed = answer->feed,
				  .objects = answer->objects,
				  .read_revision = answer->revision,
				  .full = answer->full };

	if (answer->op == KL_PLATFORM_LIST &&
	    answer->call_sent_us == feed->list_sent_us)
		feed->list_sent_us = 0;
	if (answer->op == KL_PLATFORM_WATCH &&
	    answer->call_sent_us == feed->watch_sent_us) {
		feed->watch_sent_us = 0;
		/* A refused watch is asked again with the next list. */
		if (answer->error)
			feed->watch_sent_us =
				kl_node_now(node) - watch + ANSWER_US;
	}
	if (answer->error == -KL_E_STALE_CONFIG)
		feed->needs_list = true;
	if (answer->error)
		return;
	if (answer->op == KL_PLATFORM_LIST) {
		feed->needs_list = false;
		if (answer->full)
			feed->last_list_us = answer->call_sent_us;
	}
	if (answer->revision > feed->watch_revision)
		feed->watch_revision = answer->revision;
	news.revision = answer->revision;
	if (node->tuning.feed_count > 1)
		news.revision = newest(feed, answer->objects);
	if (kl_sync_apply(node, sync, &news))
		kl_sync_announce(node, sync);
	/* The answer proves its revision; holding less proves nothing. */
	if (answer->feed == KL_FEED_TERMS &&
	    (answer->full || feed->revision >= answer->revision))
		kl_sync_confirm(node, sync, answer->call_sent_us);
}

/*
 * With several feeds a feed's revision is that of its newest object: the
 * platform's own one rises with changes of other feeds too, and VMs that hold
 * the same would not see that they do.
 */
static uint64_t newest(const kl_feed_state_t *feed,
		       const kl_object_list_t *objects)
{
	uint64_t revision = feed->revision;
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, objects, link) {
		if (object->version > revision)
			revision = object->version;
	}
	return revision;
}

bool kl_sync_apply(kl_node_t *node, kl_sync_t *sync,
		   const kl_feed_update_t *news)
{
	const kl_objects_t *old = kl_node_get(node, KL_SECTION_OBJECTS);
	kl_feed_state_t *feed = &sync->feeds[news->feed];
	kl_index_t *newer;
	kl_objects_t *objects;
	size_t count = 64;
	const kl_object_t *object;

	if (feed->loaded &&
	    (node->tuning.feed_count > 1 ? !is_news(old, news)
					 : news->revision <= feed->revision))
		return false;
	if (old) {
		CK_STAILQ_FOREACH(object, &old->list, link)
			count++;
	}
	objects = kl_objects_new(count);
	if (!objects || !objects->index)
		return false;
	feed->revision = news->revision;
	if (!feed->loaded)
		feed->min_delta_revision = news->full ? news->revision : 0;
	feed->loaded = true;
	newer = index_newest(news, count);
	if (old)
		keep_old(old, objects, news, newer, feed);
	take_new(objects, news, newer);
	kl_index_free(newer);
	for (int i = 0; i < KL_FEED_COUNT; i++) {
		objects->feed_revisions[i] = sync->feeds[i].revision;
		objects->revision += sync->feeds[i].revision;
	}
	kl_node_publish(node, KL_SECTION_OBJECTS, &objects->base);
	return true;
}

static bool is_news(const kl_objects_t *old, const kl_feed_update_t *news)
{
	const kl_object_t *object;
	uint32_t had = 0, has = 0;

	CK_STAILQ_FOREACH(object, news->objects, link) {
		const kl_object_t *held =
			kl_index_get(old->index, object->name.name);

		if (!held || held->version < object->version)
			return true;
		has += strcmp(object->body, "null") != 0;
	}
	if (!news->full)
		return false;
	CK_STAILQ_FOREACH(object, &old->list, link)
		had += object->feed == news->feed &&
		       object->version <= news->read_revision &&
		       strcmp(object->body, "null");
	return had > has;
}

static kl_index_t *index_newest(const kl_feed_update_t *news, size_t count)
{
	kl_index_t *newer = kl_index_new(count);
	kl_object_t *entry;

	CK_STAILQ_FOREACH(entry, news->objects, link) {
		kl_object_t *other = kl_index_get(newer, entry->name.name);

		entry->feed = news->feed;
		if (other && other->version < entry->version)
			kl_index_remove(newer, entry->name.name);
		if (!other || other->version < entry->version)
			kl_index_put(newer, &entry->name);
	}
	return newer;
}

/* Copies what stays; what a whole list lacks is marked as removed. */
static void keep_old(const kl_objects_t *old, kl_objects_t *objects,
		     const kl_feed_update_t *news, kl_index_t *newer,
		     kl_feed_state_t *feed)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, &old->list, link) {
		const kl_object_t *other =
			kl_index_get(newer, object->name.name);
		bool gone = news->full && object->feed == news->feed &&
			    !other && object->version <= news->read_revision &&
			    strcmp(object->body, "null");
		kl_object_t *copy;

		if (other && other->version > object->version)
			continue;
		copy = kl_object_new(object->name.name,
				     gone ? news->read_revision
					  : object->version,
				     gone ? "null" : object->body);
		if (!copy)
			continue;
		if (copy->version > feed->revision &&
		    object->feed == news->feed)
			feed->revision = copy->version;
		copy->feed = object->feed;
		CK_STAILQ_INSERT_TAIL(&objects->list, copy, link);
		kl_index_put(objects->index, &copy->name);
	}
}

static void take_new(kl_objects_t *objects, const kl_feed_update_t *news,
		     kl_index_t *newer)
{
	kl_object_t *entry;

	while ((entry = CK_STAILQ_FIRST(news->objects))) {
		CK_STAILQ_REMOVE_HEAD(news->objects, link);
		if (kl_index_get(newer, entry->name.name) != entry ||
		    kl_index_get(objects->index, entry->name.name)) {
			kl_object_free(entry);
			continue;
		}
		CK_STAILQ_INSERT_TAIL(&objects->list, entry, link);
		kl_index_put(objects->index, &entry->name);
	}
}

/*
 * With several feeds a promoter counts on the VMs that are registered: what
 * was confirmed before this VM was one of them is of no use.
 */
void kl_sync_confirm(kl_node_t *node, kl_sync_t *sync, uint64_t asked_us)
{
	kl_confirmation_t *fresh;

	if (sync->confirmed && asked_us <= sync->confirmed_us)
		return;
	if (node->tuning.feed_count > 1 &&
	    asked_us < registered_since(node, sync))
		return;
	sync->confirmed = true;
	sync->confirmed_us = asked_us;
	fresh = kl_confirmation_new(sync->feeds[KL_FEED_TERMS].revision,
				    asked_us);
	if (fresh)
		kl_node_publish(node, KL_SECTION_CONFIRMATION, &fresh->base);
}

/* Since when this VM's record stands; it may be taken off and put back. */
static uint64_t registered_since(const kl_node_t *node, kl_sync_t *sync)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *self =
		members ? kl_index_get(members->index, node->self.vm) : NULL;

	if (!self || !self->registered) {
		sync->registered_us = 0;
		return UINT64_MAX;
	}
	if (!sync->registered_us)
		sync->registered_us = kl_node_now(node);
	return sync->registered_us;
}
