/*
 * What of a new era of the store is not accepted, because the store was
 * restored from a copy that is older than what this VM holds.
 */
#include <stdlib.h>
#include <string.h>

#include "control/group_record.h"
#include "control/store_era.h"
#include "control/sync_internal.h"

#define GROUP_PREFIX "group/"

static bool is_group(const kl_object_t *object);
static uint64_t newest_generation(const kl_objects_t *objects, kl_feed_t feed);
static void withhold_configuration(kl_node_t *node, kl_sync_t *sync,
				   const kl_objects_t *old,
				   const kl_feed_update_t *update);
static void keep_newer_records(kl_node_t *node, const kl_sync_t *sync,
			       const kl_objects_t *old,
			       const kl_feed_update_t *update);
static void add_missing_records(const kl_sync_t *sync, const kl_objects_t *old,
				const kl_feed_update_t *update);
static bool is_newest_record(const kl_sync_t *sync, const kl_object_t *held);
static const kl_object_t *find(const kl_object_list_t *list, const char *name);
static bool record_is_ahead(const char *body, const char *other_body);
static void set_body(kl_object_t *object, const char *text);
static void log_object(kl_node_t *node, const char *event,
		       const kl_object_t *object, kl_feed_t feed);

static bool is_group(const kl_object_t *object)
{
	return !strncmp(object->name.name, GROUP_PREFIX, strlen(GROUP_PREFIX));
}

bool kl_sync_replaces(const kl_sync_t *sync, const kl_object_t *object,
		      const kl_object_t *held)
{
	return object->version > held->version ||
	       (kl_sync_is_configuration(held->feed) &&
		kl_sync_is_outdated(sync, held->feed, held, object->version,
				    object->generation) &&
		strcmp(object->body, held->body) != 0);
}

/*
 * All objects that the store has were read in its new era, so one of an older
 * era is not there.  Every list of the era has the changes up to its first
 * revision, which is at least that of the copy.
 */
void kl_sync_offer_withheld(kl_sync_t *sync, const kl_objects_t *objects,
			    const kl_feed_update_t *update)
{
	uint64_t first = kl_store_version(sync->era, sync->first_revisions[0]);
	kl_feed_state_t *feed = &sync->feeds[update->feed];
	bool holds_lost = false;
	const kl_object_t *object;

	if (!update->full || !kl_sync_is_configuration(update->feed) ||
	    update->read_revision < first)
		return;
	CK_STAILQ_FOREACH(object, &objects->list, link)
		holds_lost |= object->feed == update->feed &&
			      kl_version_era(object->version) < sync->era;
	if (!holds_lost)
		return;
	if (feed->revision < first)
		feed->revision = first;
	/* They are in no list of changes, so others need a full one. */
	feed->known_range_count = 0;
}

void kl_sync_withhold(kl_node_t *node, kl_sync_t *sync, const kl_objects_t *old,
		      const kl_feed_update_t *update)
{
	if (!sync->era || !old || !sync->feeds[update->feed].loaded)
		return;
	if (kl_sync_is_configuration(update->feed))
		withhold_configuration(node, sync, old, update);
	if (update->feed != KL_FEED_TERMS)
		return;
	keep_newer_records(node, sync, old, update);
	if (update->full)
		add_missing_records(sync, old, update);
}

/*
 * Takes objects out of an update that are from an older copy than what is held.
 * One that is not held was removed, if this VM's copy was complete beyond it.
 */
static void withhold_configuration(kl_node_t *node, kl_sync_t *sync,
				   const kl_objects_t *old,
				   const kl_feed_update_t *update)
{
	kl_feed_state_t *feed = &sync->feeds[update->feed];
	uint64_t newest = newest_generation(old, update->feed);
	kl_object_t *object, *next;

	CK_STAILQ_FOREACH_SAFE(object, update->objects, link, next) {
		const kl_object_t *held =
			kl_index_get(old->index, object->name.name);

		if (!kl_sync_is_outdated(sync, update->feed, object,
					 held ? held->version : feed->revision,
					 held ? held->generation : newest) ||
		    (held && !strcmp(held->body, object->body)))
			continue;
		if (!feed->has_withheld)
			log_object(node, "object_withheld", object,
				   update->feed);
		feed->has_withheld = true;
		if (!held) {
			/* Keeps that it was removed, and until when. */
			set_body(object, "null");
			object->version = feed->revision;
			continue;
		}
		CK_STAILQ_REMOVE(update->objects, object, kl_object, link);
		kl_object_free(object);
	}
}

/* The newest of a feed that is one object of the store; 0 for other feeds. */
static uint64_t newest_generation(const kl_objects_t *objects, kl_feed_t feed)
{
	uint64_t newest = 0;
	const kl_object_t *object;

	if (feed != KL_FEED_CONFIG)
		return 0;
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		if (object->feed == feed && object->generation > newest)
			newest = object->generation;
	}
	return newest;
}

/*
 * Replaces the records of groups that are behind those held.  They keep the
 * store's version, so that they can be written again conditionally.
 */
static void keep_newer_records(kl_node_t *node, const kl_sync_t *sync,
			       const kl_objects_t *old,
			       const kl_feed_update_t *update)
{
	kl_object_t *object;

	CK_STAILQ_FOREACH(object, update->objects, link) {
		const kl_object_t *held =
			kl_index_get(old->index, object->name.name);

		if (!held || !is_group(object) ||
		    held->version >= object->version ||
		    (!held->store_is_behind &&
		     kl_version_era(held->version) ==
			     kl_version_era(object->version)) ||
		    record_is_ahead(object->body, held->body))
			continue;
		object->held_under_lease = is_newest_record(sync, held);
		if (!record_is_ahead(held->body, object->body))
			continue;
		log_object(node, "record_behind", object, update->feed);
		set_body(object, held->body);
		object->store_is_behind = true;
	}
}

/*
 * Whether no later record than the one held was written before the store was
 * restored.  A change of primary waits for the acknowledgement or for the lease
 * of each VM, so none was over while this VM held a stable record under a valid
 * lease.  Of a change under way this VM may have missed the last steps.
 */
static bool is_newest_record(const kl_sync_t *sync, const kl_object_t *held)
{
	kl_group_t group = { 0 };

	if (kl_version_era(held->version) == sync->era)
		return held->held_under_lease;
	return sync->had_lease_at_restore &&
	       !kl_group_decode(&group, held->body) &&
	       group.state == KL_GROUP_STABLE &&
	       (held->held_under_lease ||
		kl_group_is_of_era(&group, kl_version_era(held->version)));
}

/* Adds the records that the store lost; revision 0 lets them be created. */
static void add_missing_records(const kl_sync_t *sync, const kl_objects_t *old,
				const kl_feed_update_t *update)
{
	uint64_t era = kl_version_era(update->read_revision);
	const kl_object_t *held;

	CK_STAILQ_FOREACH(held, &old->list, link) {
		kl_object_t *object;

		if (!is_group(held) || !strcmp(held->body, "null") ||
		    kl_version_era(held->version) >= era ||
		    find(update->objects, held->name.name))
			continue;
		object = kl_object_new(held->name.name,
				       kl_store_version(era, 0), held->body);
		if (!object)
			return;
		object->store_is_behind = true;
		object->held_under_lease = is_newest_record(sync, held);
		CK_STAILQ_INSERT_TAIL(update->objects, object, link);
	}
}

static const kl_object_t *find(const kl_object_list_t *list, const char *name)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, list, link)
		if (!strcmp(object->name.name, name))
			return object;
	return NULL;
}

/* Whether a group's record is of a later step than another one. */
static bool record_is_ahead(const char *body, const char *other_body)
{
	kl_group_t group = { 0 }, other = { 0 };

	if (kl_group_decode(&group, body))
		return false;
	if (kl_group_decode(&other, other_body))
		return true;
	return group.term > other.term ||
	       (group.term == other.term &&
		kl_group_progress(&group) > kl_group_progress(&other));
}

static void set_body(kl_object_t *object, const char *text)
{
	char *body = strdup(text);

	if (!body)
		return;
	free(object->body);
	object->body = body;
}

static void log_object(kl_node_t *node, const char *event,
		       const kl_object_t *object, kl_feed_t feed)
{
	kl_decision_t decision = { .name = event,
				   .reason = object->name.name,
				   .feed = kl_feed_name(feed),
				   .position = kl_version_revision(
					   object->version) };

	node->ops->log_decision(node->ops_context, &decision);
}
