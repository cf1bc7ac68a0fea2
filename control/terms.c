/* Decodes the groups' records among the platform's objects. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/group_record.h"
#include "control/store_era.h"

#define GROUP_PREFIX "group/"

static uint64_t change_of(const kl_group_t *group);
static bool may_be_outdated(const kl_group_t *group, const kl_object_t *object);

int kl_terms_create(kl_node_t *node)
{
	(void)node;
	return 0;
}

void kl_terms_destroy(kl_node_t *node)
{
	(void)node;
}

void kl_terms_step(kl_node_t *node, const kl_event_t *event)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_terms_t *old_terms = kl_node_get(node, KL_SECTION_TERMS);
	kl_terms_t *terms = kl_terms_new(16);
	const kl_object_t *object;
	(void)event;

	if (!terms)
		return;
	terms->revision = objects->feed_revisions[KL_FEED_TERMS];
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		const char *name = object->name.name;
		const kl_group_t *old_group;
		kl_group_t *group;

		if (strncmp(name, GROUP_PREFIX, strlen(GROUP_PREFIX)))
			continue;
		name += strlen(GROUP_PREFIX);
		old_group =
			old_terms ? kl_index_get(old_terms->index, name) : NULL;
		group = calloc(1, sizeof(*group));
		if (!group)
			break;
		if (old_group && old_group->version == object->version) {
			*group = *old_group; /* keeps first_seen_us */
		} else if (kl_group_decode(group, object->body)) {
			free(group);
			continue;
		} else {
			kl_name_copy(group->name.name, name);
			group->version = object->version;
			group->change = change_of(group);
			group->first_seen_us = kl_node_now(node);
		}
		group->store_is_behind = object->store_is_behind;
		group->may_be_outdated = may_be_outdated(group, object);
		CK_STAILQ_INSERT_TAIL(&terms->groups, group, link);
		kl_index_put(terms->index, &group->name);
	}
	kl_node_publish(node, KL_SECTION_TERMS, &terms->base);
}

/*
 * Whether the record is from before the store was restored, and this VM can't
 * tell that no later one was lost.
 */
static bool may_be_outdated(const kl_group_t *group, const kl_object_t *object)
{
	return !kl_group_is_of_era(group, kl_version_era(object->version)) &&
	       !object->held_under_lease;
}

/*
 * A store with eras may write a record again under another version.  Each state
 * is recorded once in a term: FENCING, PROMOTING, STABLE.
 */
static uint64_t change_of(const kl_group_t *group)
{
	uint64_t steps = group->term * (KL_GROUP_STATE_COUNT + 1) +
			 kl_group_progress(group);

	/* Newer than any version of a store that had no eras yet. */
	return kl_version_era(group->version) ? kl_store_version(1, steps)
					      : group->version;
}
