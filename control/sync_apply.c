/*
 * Applies an update of a feed to the copy of the platform's objects.  An update
 * may be older than the copy, since answers overtake each other.
 */
#include <stdlib.h>
#include <string.h>

#include "control/store_era.h"
#include "control/sync_internal.h"

static void drop_removed_objects(const kl_objects_t *old,
				 const kl_feed_state_t *feed,
				 const kl_feed_update_t *update);
static bool is_withheld(const kl_object_t *object,
			const kl_feed_update_t *update);
static void keep_unreadable_objects(kl_node_t *node, const kl_objects_t *old,
				    const kl_feed_update_t *update);
static void set_generations(const kl_objects_t *old, kl_feed_update_t *update);
static bool has_changes(const kl_sync_t *sync, const kl_objects_t *old,
			const kl_feed_update_t *update);
static kl_index_t *index_newest(const kl_feed_update_t *update, size_t count);
static void
copy_unchanged_objects(const kl_sync_t *sync, const kl_objects_t *old,
		       kl_objects_t *objects, const kl_feed_update_t *update,
		       kl_index_t *changed_index, kl_feed_state_t *feed);
static void move_changed_objects(kl_objects_t *objects,
				 const kl_feed_update_t *update,
				 kl_index_t *changed_index,
				 const kl_revision_times_t *revision_times);
static void log_update(kl_node_t *node, const kl_feed_state_t *feed,
		       const kl_feed_update_t *update);

bool kl_sync_apply(kl_node_t *node, kl_sync_t *sync, kl_feed_update_t *update)
{
	const kl_objects_t *old = kl_node_get(node, KL_SECTION_OBJECTS);
	kl_feed_state_t *feed = &sync->feeds[update->feed];
	kl_index_t *changed_index;
	kl_objects_t *objects;
	size_t count = 64;
	const kl_object_t *object;

	if (feed->loaded && node->tuning.feed_count > 1)
		drop_removed_objects(old, feed, update);
	keep_unreadable_objects(node, old, update);
	set_generations(old, update);
	kl_sync_withhold(node, sync, old, update);
	if (feed->loaded && update->revision <= feed->revision &&
	    (node->tuning.feed_count == 1 || !has_changes(sync, old, update)))
		return false;
	if (old) {
		CK_STAILQ_FOREACH(object, &old->list, link)
			count++;
	}
	objects = kl_objects_new(count);
	if (!objects || !objects->index)
		return false;
	feed->revision = update->revision;
	feed->loaded = true;
	feed->behind_since_us = kl_node_now(node);
	kl_revision_times_seen(&sync->revision_times, update->read_revision);
	changed_index = index_newest(update, count);
	if (old)
		copy_unchanged_objects(sync, old, objects, update,
				       changed_index, feed);
	move_changed_objects(objects, update, changed_index,
			     &sync->revision_times);
	kl_index_free(changed_index);
	kl_sync_offer_withheld(sync, objects, update);
	kl_sync_add_known_revision(feed, update);
	log_update(node, feed, update);
	for (int i = 0; i < KL_FEED_COUNT; i++) {
		objects->feed_revisions[i] = sync->feeds[i].revision;
		objects->revision += sync->feeds[i].revision;
	}
	kl_node_publish(node, KL_SECTION_OBJECTS, &objects->base);
	return true;
}

/*
 * Drops objects of an update that were removed since it was read.  This VM has
 * every change up to the feed's revision, so an object that is not newer, and
 * that it does not hold, was removed before this VM got its first list.
 */
static void drop_removed_objects(const kl_objects_t *old,
				 const kl_feed_state_t *feed,
				 const kl_feed_update_t *update)
{
	kl_object_t *object, *next;

	CK_STAILQ_FOREACH_SAFE(object, update->objects, link, next) {
		if (object->version > feed->revision ||
		    is_withheld(object, update) ||
		    (old && kl_index_get(old->index, object->name.name)))
			continue;
		CK_STAILQ_REMOVE(update->objects, object, kl_object, link);
		kl_object_free(object);
	}
}

/* Whether the VM that sent an object holds it, though the store lost it. */
static bool is_withheld(const kl_object_t *object,
			const kl_feed_update_t *update)
{
	return kl_version_era(object->version) <
	       kl_version_era(update->read_revision);
}

/*
 * A record that can't be read keeps its last contents; one that was never read
 * is left out.  An upstream is taken as removed, so that it is not used, and a
 * mark stands whatever is in it.
 */
static void keep_unreadable_objects(kl_node_t *node, const kl_objects_t *old,
				    const kl_feed_update_t *update)
{
	kl_object_t *object, *next;

	CK_STAILQ_FOREACH_SAFE(object, update->objects, link, next) {
		const kl_object_t *held =
			old ? kl_index_get(old->index, object->name.name)
			    : NULL;
		char *body;

		if (!object->unreadable)
			continue;
		if (!held || held->version < object->version)
			kl_sync_log_unreadable(node, update->feed,
					       object->name.name,
					       object->version);
		if (update->feed != KL_FEED_TERMS &&
		    update->feed != KL_FEED_SLOTS)
			continue;
		body = held ? strdup(held->body) : NULL;
		if (body) {
			free(object->body);
			object->body = body;
			continue;
		}
		CK_STAILQ_REMOVE(update->objects, object, kl_object, link);
		kl_object_free(object);
	}
}

/* Finds the newest generation; a removal keeps that of what it removes. */
static void set_generations(const kl_objects_t *old, kl_feed_update_t *update)
{
	kl_object_t *object;

	update->generation = 0;
	CK_STAILQ_FOREACH(object, update->objects, link) {
		const kl_object_t *held =
			old ? kl_index_get(old->index, object->name.name)
			    : NULL;

		if (held && !object->generation &&
		    !strcmp(object->body, "null"))
			object->generation = held->generation;
		if (object->generation > update->generation)
			update->generation = object->generation;
	}
}

void kl_sync_log_unreadable(kl_node_t *node, kl_feed_t feed, const char *name,
			    uint64_t version)
{
	kl_decision_t decision = { .name = "entry_unreadable",
				   .reason = name,
				   .feed = kl_feed_name(feed),
				   .position = kl_version_revision(version) };

	node->ops->log_decision(node->ops_context, &decision);
}

/*
 * Logs that the copy of a feed changed.  Changes of terms and slots are logged
 * as the decisions that caused them.
 */
static void log_update(kl_node_t *node, const kl_feed_state_t *feed,
		       const kl_feed_update_t *update)
{
	kl_decision_t decision = {
		.name = "feed_updated",
		.reason = update->source,
		.feed = kl_feed_name(update->feed),
		.peer = update->peer,
		.position = kl_version_revision(feed->revision),
		.age_us = update->sent_us ? kl_node_now(node) - update->sent_us
					  : 0
	};

	if (update->feed != KL_FEED_TERMS && update->feed != KL_FEED_SLOTS)
		node->ops->log_decision(node->ops_context, &decision);
}

/* Whether an update has newer objects, or lacks objects that are held. */
static bool has_changes(const kl_sync_t *sync, const kl_objects_t *old,
			const kl_feed_update_t *update)
{
	const kl_object_t *object;
	uint32_t old_count = 0, new_count = 0;

	CK_STAILQ_FOREACH(object, update->objects, link) {
		const kl_object_t *held =
			kl_index_get(old->index, object->name.name);

		if (!held || kl_sync_replaces(sync, object, held))
			return true;
		new_count += strcmp(object->body, "null") != 0;
	}
	if (!update->full)
		return false;
	CK_STAILQ_FOREACH(object, &old->list, link)
		old_count += object->feed == update->feed &&
			     object->version <= update->read_revision &&
			     strcmp(object->body, "null") &&
			     !kl_sync_is_lost(sync, object, update);
	return old_count > new_count;
}

/* Indexes the newest version of each object of an update. */
static kl_index_t *index_newest(const kl_feed_update_t *update, size_t count)
{
	kl_index_t *changed_index = kl_index_new(count);
	kl_object_t *entry;

	CK_STAILQ_FOREACH(entry, update->objects, link) {
		kl_object_t *other =
			kl_index_get(changed_index, entry->name.name);

		entry->feed = update->feed;
		if (other && other->version < entry->version)
			kl_index_remove(changed_index, entry->name.name);
		if (!other || other->version < entry->version)
			kl_index_put(changed_index, &entry->name);
	}
	return changed_index;
}

/*
 * Copies the objects that an update has no newer version of.  Those that a full
 * list lacks become removed ones, with the body "null".
 */
static void
copy_unchanged_objects(const kl_sync_t *sync, const kl_objects_t *old,
		       kl_objects_t *objects, const kl_feed_update_t *update,
		       kl_index_t *changed_index, kl_feed_state_t *feed)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, &old->list, link) {
		const kl_object_t *other =
			kl_index_get(changed_index, object->name.name);
		bool removed = update->full && object->feed == update->feed &&
			       !other &&
			       object->version <= update->read_revision &&
			       strcmp(object->body, "null") &&
			       !kl_sync_is_lost(sync, object, update);
		kl_object_t *copy;

		if (other && kl_sync_replaces(sync, other, object))
			continue;
		copy = kl_object_new(object->name.name,
				     removed ? update->read_revision
					     : object->version,
				     removed ? "null" : object->body);
		if (!copy)
			continue;
		if (copy->version > feed->revision &&
		    object->feed == update->feed)
			feed->revision = copy->version;
		copy->feed = object->feed;
		copy->generation = object->generation;
		copy->store_is_behind = object->store_is_behind;
		copy->held_under_lease = object->held_under_lease;
		copy->changed_after_us = object->changed_after_us;
		CK_STAILQ_INSERT_TAIL(&objects->list, copy, link);
		kl_index_put(objects->index, &copy->name);
	}
}

static void move_changed_objects(kl_objects_t *objects,
				 const kl_feed_update_t *update,
				 kl_index_t *changed_index,
				 const kl_revision_times_t *revision_times)
{
	kl_object_list_t outdated = CK_STAILQ_HEAD_INITIALIZER(outdated);
	kl_object_t *entry;

	while ((entry = CK_STAILQ_FIRST(update->objects))) {
		CK_STAILQ_REMOVE_HEAD(update->objects, link);
		/* The index may still compare names with an outdated entry. */
		if (kl_index_get(changed_index, entry->name.name) != entry ||
		    kl_index_get(objects->index, entry->name.name)) {
			CK_STAILQ_INSERT_TAIL(&outdated, entry, link);
			continue;
		}
		entry->changed_after_us = kl_revision_times_before(
			revision_times, entry->version);
		CK_STAILQ_INSERT_TAIL(&objects->list, entry, link);
		kl_index_put(objects->index, &entry->name);
	}
	kl_object_list_clear(&outdated);
}
