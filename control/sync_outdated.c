/*
 * Tells what a restored store has from its older copy from what was written
 * there since.  Revisions alone can't: the lowest one that any VM saw of an era
 * may have later writes than the copy.  The generation of an object tells it
 * where its writer gives one.
 */
#include <string.h>

#include "control/store_era.h"
#include "control/sync_internal.h"

/* What two generations tell of the contents of a feed's object. */
typedef enum kl_order {
	KL_ORDER_UNKNOWN, /* nothing */
	KL_ORDER_OLDER,	  /* they are older than what is held */
	KL_ORDER_NEWER,	  /* they were written after what is held */
} kl_order_t;

static kl_order_t compare_numbers(uint64_t generation, uint64_t held);
static kl_order_t compare_counts(uint64_t generation, uint64_t held);
static kl_order_t compare_revisions(uint64_t generation, uint64_t held);
static kl_order_t compare(kl_feed_t feed, uint64_t generation, uint64_t held);
static uint64_t first_revision_after(const kl_sync_t *sync, uint64_t version);

/* Feeds of what operators and databases write, and write again after a drill */
static kl_order_t (*const comparisons[KL_FEED_COUNT])(uint64_t generation,
						      uint64_t held) = {
	[KL_FEED_CONFIG] = compare_numbers,
	[KL_FEED_UPSTREAMS] = compare_counts,
	[KL_FEED_MARKS] = compare_revisions,
};

bool kl_sync_is_configuration(kl_feed_t feed)
{
	return comparisons[feed] != NULL;
}

/* Versions that operators number: a lower number is never written later. */
static kl_order_t compare_numbers(uint64_t generation, uint64_t held)
{
	if (generation == held)
		return KL_ORDER_UNKNOWN;
	return generation < held ? KL_ORDER_OLDER : KL_ORDER_NEWER;
}

/* Reports of a database, whose clock may step back between two starts. */
static kl_order_t compare_counts(uint64_t generation, uint64_t held)
{
	return generation > held ? KL_ORDER_NEWER : KL_ORDER_UNKNOWN;
}

/*
 * Marks, by the revision in which they were created.  If it is not that of the
 * mark that was removed, this one was created since, or the VM never saw it:
 * then too it stands until its removal is written again.
 */
static kl_order_t compare_revisions(uint64_t generation, uint64_t held)
{
	return generation != held ? KL_ORDER_NEWER : KL_ORDER_UNKNOWN;
}

static kl_order_t compare(kl_feed_t feed, uint64_t generation, uint64_t held)
{
	if (!generation || !held)
		return KL_ORDER_UNKNOWN;
	return comparisons[feed](generation, held);
}

/*
 * The lowest revision that was seen in the eras after that of a version.  What
 * has a higher one in these eras is not from a copy of that version's era.
 */
static uint64_t first_revision_after(const kl_sync_t *sync, uint64_t version)
{
	uint64_t lowest = UINT64_MAX;

	for (uint64_t i = 0;
	     i < KL_STORE_ERAS && i < sync->era - kl_version_era(version); i++)
		if (sync->first_revisions[i] &&
		    sync->first_revisions[i] < lowest)
			lowest = sync->first_revisions[i];
	return lowest;
}

bool kl_sync_is_outdated(const kl_sync_t *sync, kl_feed_t feed,
			 const kl_object_t *object, uint64_t held_version,
			 uint64_t held_generation)
{
	uint64_t revision = kl_version_revision(object->version);

	if (kl_version_era(held_version) >= kl_version_era(object->version))
		return false;
	switch (compare(feed, object->generation, held_generation)) {
	case KL_ORDER_OLDER:
		return true;
	case KL_ORDER_NEWER:
		return false;
	default:
		return revision < kl_version_revision(held_version) &&
		       revision <= first_revision_after(sync, held_version);
	}
}

bool kl_sync_is_lost(const kl_sync_t *sync, const kl_object_t *held,
		     const kl_feed_update_t *update)
{
	if (held->store_is_behind)
		return true;
	if (!kl_sync_is_configuration(held->feed) ||
	    kl_version_era(held->version) >=
		    kl_version_era(update->read_revision))
		return false;
	/* One object of the store has the whole feed. */
	if (held->feed == KL_FEED_CONFIG && update->generation &&
	    held->generation)
		return update->generation < held->generation;
	/* A mark too few breaks a bound, one too many does not. */
	if (held->feed == KL_FEED_MARKS && sync->keeps_marks)
		return true;
	return kl_version_revision(held->version) >
	       first_revision_after(sync, held->version);
}
