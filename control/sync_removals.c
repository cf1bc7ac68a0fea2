/* The revisions of a feed since which this VM knows every removal. */
#include "control/sync_internal.h"

void kl_sync_add_known_revision(kl_feed_state_t *feed,
				const kl_feed_update_t *update)
{
	uint32_t count = feed->known_range_count;
	kl_revision_range_t *newest =
		&feed->known_ranges[(count - 1) % KL_KNOWN_RANGES];

	if (!update->has_every_change || !count) {
		newest = &feed->known_ranges[count % KL_KNOWN_RANGES];
		newest->first = update->has_every_change ? 0 : feed->revision;
		feed->known_range_count++;
	}
	newest->last = feed->revision;
}

bool kl_sync_knows_removals(const kl_feed_state_t *feed, uint64_t since)
{
	for (uint32_t i = 0; i < KL_KNOWN_RANGES && i < feed->known_range_count;
	     i++)
		if (since >= feed->known_ranges[i].first &&
		    since <= feed->known_ranges[i].last)
			return true;
	return false;
}
