/*
 * How long ago a feed's copy is known to have been current.  Each feed has a
 * time of its own, since a list or a confirmation of another feed tells nothing
 * of it.  Three things renew it:
 *
 * - an answer to a list of the feed, as of the time of the request;
 * - a watch that waits: the store would have told of a change.  If it fails, it
 *   may have been refused, or its connection may have been lost all the time,
 *   and then it told nothing.  The feed is then listed before a watch counts
 *   again;
 * - another VM that has no newer revision and was current itself.  A hello has
 *   one age for the confirmation and the urgent feeds, that of the oldest.
 *
 * A VM whose urgent feed is overdue asks the store itself, watcher or not.
 */
#include <string.h>

#include "control/controllers.h"
#include "control/sync_internal.h"

/*
 * An urgent feed is overdue when it was last known to be current so long ago.
 * Ages grow by a hello interval at each level of a domain's tree.
 */
#define CURRENT_MAX_AGE_US (2300 * KL_MS)
/* A watch that was refused has failed by then. */
#define WATCH_ACCEPTED_US (100 * KL_MS)
/* A call that was refused is tried again after so long, then twice that. */
#define RETRY_US (100 * KL_MS)
#define RETRY_MAX_US (1600 * KL_MS)
/*
 * A call that fails later than this got no answer, as on a connection that was
 * lost without a reset; one that fails sooner was refused, or cut off.
 */
#define REFUSED_US (2 * KL_SEC)

/* What operators and databases write, with a bound on its use. */
static const bool urgent_feeds[KL_FEED_COUNT] = {
	[KL_FEED_CONFIG] = true,
	[KL_FEED_UPSTREAMS] = true,
	[KL_FEED_MARKS] = true,
};

bool kl_feed_is_urgent(kl_feed_t feed)
{
	return urgent_feeds[feed];
}

void kl_feed_watch_sent(kl_feed_state_t *feed, uint64_t now)
{
	feed->watch_sent_us = now;
	feed->current_before_us = feed->current_us;
}

void kl_feed_watch_waits(kl_feed_state_t *feed, uint64_t now)
{
	if (!feed->proven || !feed->watch_sent_us ||
	    now - feed->watch_sent_us < WATCH_ACCEPTED_US)
		return;
	feed->current_us = now;
	feed->current_from[0] = '\0';
}

void kl_feed_call_failed(kl_sync_t *sync, kl_feed_t feed_id, uint64_t now,
			 uint64_t sent_us)
{
	kl_feed_state_t *feed = &sync->feeds[feed_id];
	uint64_t delay_us = RETRY_US;

	feed->proven = false;
	if (feed->current_us > feed->current_before_us)
		feed->current_us = feed->current_before_us;
	feed->refused = now - sent_us < REFUSED_US;
	if (!feed->refused)
		return;
	for (uint32_t i = 0; i < feed->refused_count && delay_us < RETRY_MAX_US;
	     i++)
		delay_us *= 2;
	feed->refused_count++;
	feed->retry_us = now + delay_us;
}

void kl_feed_answered(kl_feed_state_t *feed, uint64_t sent_us)
{
	feed->proven = true;
	feed->refused_count = 0;
	if (sent_us <= feed->current_us)
		return;
	feed->current_us = sent_us;
	feed->current_from[0] = '\0';
}

bool kl_feed_is_unproven(const kl_sync_t *sync, kl_feed_t feed)
{
	return urgent_feeds[feed] && !sync->feeds[feed].proven;
}

bool kl_feed_is_overdue(const kl_sync_t *sync, kl_feed_t feed, uint64_t now)
{
	uint64_t since_us = sync->feeds[feed].current_us;

	/* Other VMs tell nothing before the newest era has settled. */
	if (since_us < sync->settled_us)
		since_us = sync->settled_us;
	return urgent_feeds[feed] && now > since_us + CURRENT_MAX_AGE_US;
}

uint64_t kl_sync_current_us(const kl_node_t *node, const kl_sync_t *sync)
{
	uint64_t current_us = sync->confirmed_us;

	/* The lists of a process that starts count until it may watch. */
	if (node->tuning.feed_count == 1 ||
	    kl_node_now(node) - node->started_us <
		    KL_WATCH_START_DELAY_US + WATCH_ACCEPTED_US)
		return current_us;
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++)
		if (urgent_feeds[i] && sync->feeds[i].current_us < current_us)
			current_us = sync->feeds[i].current_us;
	return current_us;
}

void kl_sync_note_current(kl_sync_t *sync, const kl_peer_message_t *hello,
			  uint64_t current_us)
{
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		kl_feed_state_t *feed = &sync->feeds[i];
		bool is_source = !strcmp(feed->current_from, hello->from);

		if (!urgent_feeds[i] || !feed->loaded ||
		    feed->revision < hello->hello.feed_revisions[i])
			continue;
		/* A VM that takes back what it told was wrong before. */
		if (current_us < feed->current_us && !is_source)
			continue;
		feed->current_us = current_us;
		memcpy(feed->current_from, hello->from, KL_NAME_MAX);
	}
}

uint64_t kl_sync_feed_age_us(const kl_node_t *node, kl_feed_t feed)
{
	const kl_sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	return kl_node_now(node) - sync->feeds[feed].current_us;
}
