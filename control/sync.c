/*
 * Sync controller: keeps a copy of the platform's objects.  The watchers of
 * each failure domain list and watch the platform; the other VMs fetch changes
 * from peers.  A feed's revision never falls, and the controller records when
 * the platform last confirmed the copy.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/store_era.h"
#include "control/sync_internal.h"

/*
 * A VM that was not confirmed for this long, or for half of its lease if that
 * is longer, asks the platform itself.  Confirmations grow older by a hello
 * interval at each level of a domain's tree.
 */
#define CONFIRM_OVERDUE_US (1500 * KL_MS)
/* Lists and watches without an answer for this long are sent again. */
#define LIST_TIMEOUT_US (1 * KL_SEC)
#define WATCH_TIMEOUT_US (20 * KL_SEC)	    /* with a single feed */
#define FEED_WATCH_TIMEOUT_US (12 * KL_SEC) /* with several feeds */
/* Minimum time between watches, so that one answer brings many changes. */
#define WATCH_INTERVAL_US (100 * KL_MS)
#define LIST_RETRY_US (300 * KL_MS) /* after a failed list */
/* For this long after its start an unconfirmed VM lists without delay. */
#define STARTUP_US (300 * KL_MS)
#define STARTUP_LIST_US (200 * KL_MS) /* interval of these lists */

static void poll_single_feed(kl_node_t *node, kl_sync_t *sync, uint64_t now);
static void poll_feeds(kl_node_t *node, kl_sync_t *sync, uint64_t now);
static void send_call(kl_node_t *node, const kl_feed_state_t *feed,
		      kl_platform_op_t op, kl_feed_t feed_id, uint64_t now);
static void handle_answer(kl_node_t *node, kl_sync_t *sync,
			  kl_platform_answer_t *answer);
static void note_skipped(kl_node_t *node, kl_sync_t *sync,
			 const kl_platform_answer_t *answer);
static bool confirmation_overdue(const kl_node_t *node, const kl_sync_t *sync,
				 uint64_t now);
static bool may_call(const kl_feed_state_t *feed, bool overdue, uint64_t now);
static void note_failed_call(const kl_node_t *node, kl_sync_t *sync,
			     const kl_platform_answer_t *answer);
static uint64_t complete_revision(const kl_feed_state_t *feed,
				  const kl_platform_answer_t *answer);
static void update_watch_era(const kl_node_t *node, kl_sync_t *sync,
			     kl_feed_t feed_id, uint64_t now);
static bool is_starting(const kl_node_t *node, const kl_sync_t *sync,
			uint64_t now);
static uint64_t list_interval(const kl_node_t *node, const kl_sync_t *sync,
			      kl_feed_t feed);
static void expire_calls(const kl_node_t *node, kl_sync_t *sync,
			 kl_feed_t feed_id, uint64_t now);

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

	kl_sync_end_fetch(sync);
	free(sync);
}

void kl_sync_step(kl_node_t *node, const kl_event_t *event)
{
	kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];
	uint64_t now = kl_node_now(node);

	switch (event->kind) {
	case KL_EVENT_TICK:
		kl_sync_end_kept_marks(node, sync, now);
		kl_sync_retry_fetch(node, sync);
		if (node->tuning.feed_count > 1)
			poll_feeds(node, sync, now);
		else
			poll_single_feed(node, sync, now);
		if (now - sync->last_hello_us >=
		    node->tuning.hello_interval_us) {
			sync->last_hello_us = now;
			kl_sync_hello_round(node, sync);
		}
		break;
	case KL_EVENT_PLATFORM:
		if (event->platform->owner == KL_CONTROLLER_SYNC)
			handle_answer(node, sync, event->platform);
		/* This VM is registered now, which the next list confirms. */
		else if (event->platform->owner == KL_CONTROLLER_MEMBER &&
			 !sync->has_confirmation)
			sync->feeds[KL_FEED_TERMS].next_list_us = now;
		break;
	case KL_EVENT_PEER:
		if (event->peer->kind == KL_PEER_HELLO)
			kl_sync_handle_hello(node, sync, event->peer);
		else if (event->peer->kind == KL_PEER_FETCH ||
			 event->peer->kind == KL_PEER_PART_FETCH)
			kl_sync_handle_fetch(node, sync, event->peer);
		else if (kl_peer_has_objects(event->peer->kind))
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

/* Lists and watches a platform that has one feed for all objects. */
static void poll_single_feed(kl_node_t *node, kl_sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	kl_feed_state_t *feed = &sync->feeds[KL_FEED_TERMS];
	bool watcher = !members || members->is_watcher;

	expire_calls(node, sync, KL_FEED_TERMS, now);
	if ((watcher || confirmation_overdue(node, sync, now)) &&
	    !feed->list_sent_us && now >= feed->next_list_us) {
		feed->list_sent_us = now;
		feed->next_list_us = now + node->tuning.confirm_interval_us;
		/* Keeps VMs that are no watchers from all calling at once. */
		if (!watcher)
			feed->next_list_us +=
				kl_node_random(node) % (2 * CONFIRM_OVERDUE_US);
		send_call(node, feed, KL_PLATFORM_LIST, KL_FEED_TERMS, now);
	}
	if (watcher && !feed->watch_sent_us && sync->has_confirmation) {
		feed->watch_sent_us = now;
		send_call(node, feed, KL_PLATFORM_WATCH, KL_FEED_TERMS, now);
	}
}

/*
 * Lists and watches a platform that has several feeds.  The feed of the terms
 * is listed at every interval, since a watch that brings no events does not
 * confirm that the copy is current.
 */
static void poll_feeds(kl_node_t *node, kl_sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	bool watcher = !members || members->is_watcher;
	bool overdue = confirmation_overdue(node, sync, now);

	kl_sync_list_overdue(node, sync);
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		kl_feed_state_t *feed = &sync->feeds[i];
		bool unproven = kl_feed_is_unproven(sync, i);
		bool due = feed->needs_list || unproven || i == KL_FEED_TERMS;

		expire_calls(node, sync, i, now);
		kl_feed_watch_waits(feed, now);
		if (!watcher && !overdue && !feed->needs_list &&
		    !kl_feed_is_overdue(sync, i, now))
			continue;
		if (due && !feed->list_sent_us && now >= feed->next_list_us &&
		    (i == KL_FEED_TERMS || may_call(feed, overdue, now))) {
			feed->list_sent_us = now;
			feed->next_list_us = now + list_interval(node, sync, i);
			if (!watcher && !is_starting(node, sync, now))
				feed->next_list_us += kl_node_random(node) %
						      (2 * CONFIRM_OVERDUE_US);
			send_call(node, feed, KL_PLATFORM_LIST, i, now);
		}
		update_watch_era(node, sync, i, now);
		/* Which VMs are watchers is known once all have registered. */
		if (now - node->started_us >= KL_WATCH_START_DELAY_US &&
		    feed->loaded && !feed->needs_list && !unproven &&
		    !feed->watch_sent_us && may_call(feed, overdue, now) &&
		    now >= feed->next_watch_us) {
			kl_feed_watch_sent(feed, now);
			feed->next_watch_us = now + WATCH_INTERVAL_US;
			send_call(node, feed, KL_PLATFORM_WATCH, i, now);
		}
	}
}

/*
 * A call that was refused is tried again soon while other VMs are confirmed,
 * since the store then serves somebody.  If none is, the list of the terms goes
 * on, and shows that the store is back.
 */
static bool may_call(const kl_feed_state_t *feed, bool overdue, uint64_t now)
{
	return !feed->refused || (!overdue && now >= feed->retry_us);
}

/*
 * A watch can't start at a version of an older era.  If another VM brought the
 * feed of the new era, this VM has every change up to its revision.
 */
static void update_watch_era(const kl_node_t *node, kl_sync_t *sync,
			     kl_feed_t feed_id, uint64_t now)
{
	kl_feed_state_t *feed = &sync->feeds[feed_id];

	if (!feed->loaded || feed->needs_list ||
	    kl_version_era(feed->watch_revision) == sync->era)
		return;
	if (kl_version_era(feed->revision) == sync->era)
		feed->watch_revision = feed->revision;
	else
		kl_sync_list_again(node, sync, feed_id, now);
}

/* A process that just started needs its first confirmation soon. */
static bool is_starting(const kl_node_t *node, const kl_sync_t *sync,
			uint64_t now)
{
	return !sync->has_confirmation && now - node->started_us < STARTUP_US;
}

static uint64_t list_interval(const kl_node_t *node, const kl_sync_t *sync,
			      kl_feed_t feed)
{
	if (feed != KL_FEED_TERMS)
		return LIST_RETRY_US;
	/* Before its first confirmation a VM serves nothing on a primary. */
	return sync->has_confirmation ? node->tuning.confirm_interval_us
				      : STARTUP_LIST_US;
}

static void expire_calls(const kl_node_t *node, kl_sync_t *sync,
			 kl_feed_t feed_id, uint64_t now)
{
	kl_feed_state_t *feed = &sync->feeds[feed_id];
	uint64_t watch_timeout_us = node->tuning.feed_count > 1
					    ? FEED_WATCH_TIMEOUT_US
					    : WATCH_TIMEOUT_US;

	if (feed->list_sent_us && now - feed->list_sent_us > LIST_TIMEOUT_US)
		feed->list_sent_us = 0;
	if (feed->watch_sent_us &&
	    now - feed->watch_sent_us > watch_timeout_us) {
		kl_feed_call_failed(sync, feed_id, now, feed->watch_sent_us);
		feed->watch_sent_us = 0;
	}
}

static bool confirmation_overdue(const kl_node_t *node, const kl_sync_t *sync,
				 uint64_t now)
{
	uint64_t overdue_us = node->tuning.lease_duration_us / 2;
	uint64_t since_us = sync->confirmed_us;

	if (overdue_us < CONFIRM_OVERDUE_US)
		overdue_us = CONFIRM_OVERDUE_US;
	/* None counts before the newest era has settled. */
	if (since_us < sync->settled_us)
		since_us = sync->settled_us;
	return !sync->has_confirmation || now > since_us + overdue_us;
}

static void send_call(kl_node_t *node, const kl_feed_state_t *feed,
		      kl_platform_op_t op, kl_feed_t feed_id, uint64_t now)
{
	bool full = node->tuning.feed_count > 1 && op == KL_PLATFORM_LIST;
	kl_platform_call_t call = { .op = op,
				    .owner = KL_CONTROLLER_SYNC,
				    .sent_us = now,
				    .feed = feed_id,
				    .since_revision =
					    full ? 0 : feed->watch_revision };

	node->ops->call_platform(node->ops_context, &call);
}

void kl_sync_list_again(const kl_node_t *node, kl_sync_t *sync, kl_feed_t feed,
			uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	kl_feed_state_t *state = &sync->feeds[feed];

	state->needs_list = true;
	state->refused = false;
	state->list_sent_us = 0;
	state->watch_sent_us = 0;
	state->next_list_us = now;
	/* The others can fetch it from their peers meanwhile. */
	if (members && !members->is_watcher && sync->has_confirmation)
		state->next_list_us +=
			kl_node_random(node) % (2 * CONFIRM_OVERDUE_US);
}

uint64_t kl_sync_era(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->era;
}

bool kl_sync_started_restored(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->first_era > KL_FIRST_ERA;
}

uint64_t kl_sync_first_revision(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->first_revisions[0];
}

uint64_t kl_sync_refused_era_count(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->refused_era_count;
}

uint64_t kl_sync_skipped_count(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->skipped_count;
}

uint64_t kl_sync_refused_fetch_count(const kl_node_t *node)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return sync->refused_fetch_count;
}

static void handle_answer(kl_node_t *node, kl_sync_t *sync,
			  kl_platform_answer_t *answer)
{
	kl_feed_state_t *feed = &sync->feeds[answer->feed];
	kl_feed_update_t update = { .feed = answer->feed,
				    .objects = answer->objects,
				    .read_revision = answer->revision,
				    .full = answer->is_full_list,
				    .has_every_change = !answer->is_full_list,
				    .source = answer->op == KL_PLATFORM_LIST
						      ? "list"
						      : "watch",
				    .sent_us = answer->call_sent_us };
	bool is_watch = answer->op == KL_PLATFORM_WATCH &&
			answer->call_sent_us == feed->watch_sent_us;
	bool is_list = answer->op == KL_PLATFORM_LIST &&
		       answer->call_sent_us == feed->list_sent_us;

	if (is_list)
		feed->list_sent_us = 0;
	if (is_watch)
		feed->watch_sent_us = 0;
	if ((is_list || is_watch) && answer->error)
		note_failed_call(node, sync, answer);
	if (!kl_sync_accept_answer(node, sync, answer))
		return;
	/* A watch that was given up when the era rose lacks changes. */
	if (sync->era && answer->op == KL_PLATFORM_WATCH && !is_watch)
		return;
	if (answer->error == -KL_E_STALE_CONFIG)
		feed->needs_list = true;
	note_skipped(node, sync, answer);
	if (answer->unreadable)
		kl_sync_log_unreadable(node, answer->feed, "",
				       answer->revision);
	if (answer->error)
		return;
	if (answer->op == KL_PLATFORM_LIST) {
		for (uint32_t i = 0; i < KL_FEED_COUNT; i++)
			sync->feeds[i].refused = false;
		feed->needs_list = false;
		if (answer->is_full_list)
			feed->last_list_us = answer->call_sent_us;
	}
	kl_feed_answered(feed, answer->call_sent_us);
	kl_revision_times_add(&sync->revision_times, answer->revision,
			      answer->call_sent_us);
	if (answer->revision > feed->watch_revision)
		feed->watch_revision = answer->revision;
	update.revision = answer->revision;
	if (node->tuning.feed_count > 1)
		update.revision = complete_revision(feed, answer);
	if (kl_sync_apply(node, sync, &update))
		kl_sync_announce(node, sync);
	/* Confirms only if the copy is at the revision of the answer. */
	if (answer->feed != KL_FEED_TERMS)
		return;
	if (answer->op == KL_PLATFORM_LIST)
		kl_sync_note_store(node, sync, answer->call_sent_us);
	/* The list is newer than its request, and so is what it names. */
	if (answer->is_full_list)
		kl_sync_update_registration(node, sync, answer->call_sent_us);
	if (answer->is_full_list || feed->revision >= answer->revision)
		kl_sync_confirm(node, sync, answer->call_sent_us);
}

/* Logs that an answer has entries that can't be held, once for a list. */
static void note_skipped(kl_node_t *node, kl_sync_t *sync,
			 const kl_platform_answer_t *answer)
{
	kl_feed_state_t *feed = &sync->feeds[answer->feed];
	kl_decision_t decision = { .name = "entries_skipped",
				   .reason = "name",
				   .feed = kl_feed_name(answer->feed),
				   .position = kl_version_revision(
					   answer->revision) };

	if (answer->skipped == feed->skipped_last)
		return;
	feed->skipped_last = answer->skipped;
	sync->skipped_count += answer->skipped;
	if (answer->skipped)
		node->ops->log_decision(node->ops_context, &decision);
}

/*
 * After a failed watch, or a failed list of an urgent feed.  With several feeds
 * one without an answer is followed by a list at once, or changes would be
 * missed for longer than its duration.  One that was refused waits as
 * may_call() says, or for the next successful list of any feed.  A single feed
 * waits for LIST_TIMEOUT_US.
 */
static void note_failed_call(const kl_node_t *node, kl_sync_t *sync,
			     const kl_platform_answer_t *answer)
{
	bool is_watch = answer->op == KL_PLATFORM_WATCH;
	uint64_t now = kl_node_now(node);

	if (node->tuning.feed_count == 1 && is_watch)
		sync->feeds[answer->feed].watch_sent_us =
			now - WATCH_TIMEOUT_US + LIST_TIMEOUT_US;
	else if (node->tuning.feed_count > 1 &&
		 answer->error == -KL_E_UNAVAILABLE &&
		 (is_watch || kl_feed_is_urgent(answer->feed)))
		kl_feed_call_failed(sync, answer->feed, now,
				    answer->call_sent_us);
}

/*
 * With several feeds the revision of a feed is that of its newest object.  The
 * platform's revision also rises with changes of other feeds, so VMs with equal
 * copies of a feed could not tell that they are equal.  Later pages of a list
 * may have newer objects than its first page, whose revision the answer has:
 * up to that one the copy is complete.
 */
static uint64_t complete_revision(const kl_feed_state_t *feed,
				  const kl_platform_answer_t *answer)
{
	uint64_t revision = 0;
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, answer->objects, link) {
		if (object->version > revision)
			revision = object->version;
	}
	if (revision > answer->revision)
		revision = answer->revision;
	return revision > feed->revision ? revision : feed->revision;
}

/*
 * With several feeds a promoter waits for the leases of the registered VMs
 * only, so a confirmation from before this VM was registered must not count.
 */
void kl_sync_confirm(kl_node_t *node, kl_sync_t *sync, uint64_t sent_us)
{
	kl_confirmation_t *confirmation;

	if ((sync->has_confirmation && sent_us <= sync->confirmed_us) ||
	    sent_us < sync->settled_us)
		return;
	kl_sync_update_registration(node, sync, kl_node_now(node));
	if (node->tuning.feed_count > 1 &&
	    (!sync->registered_us || sent_us < sync->registered_us))
		return;
	sync->has_confirmation = true;
	sync->confirmed_us = sent_us;
	confirmation = kl_confirmation_new(sync->feeds[KL_FEED_TERMS].revision,
					   sent_us);
	if (confirmation)
		kl_node_publish(node, KL_SECTION_CONFIRMATION,
				&confirmation->base);
}
