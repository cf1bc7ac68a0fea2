/* Derives every group's recorded state from the platform's objects. */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/group_record.h"

#define PREFIX "group/"

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
	const kl_terms_t *old = kl_node_get(node, KL_SECTION_TERMS);
	kl_terms_t *terms = kl_terms_new(16);
	const kl_object_t *object;
	(void)event;

	if (!terms)
		return;
	terms->revision = objects->feed_revisions[KL_FEED_TERMS];
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		const char *name = object->name.name;
		const kl_group_t *before;
		kl_group_t *group;

		if (strncmp(name, PREFIX, strlen(PREFIX)))
			continue;
		name += strlen(PREFIX);
		before = old ? kl_index_get(old->index, name) : NULL;
		group = calloc(1, sizeof(*group));
		if (!group)
			break;
		if (before && before->version == object->version) {
			*group = *before;
		} else if (kl_group_decode(group, object->body)) {
			free(group);
			continue;
		} else {
			kl_name_set(group->name.name, name);
			group->version = object->version;
			group->first_seen_us = kl_node_now(node);
		}
		CK_STAILQ_INSERT_TAIL(&terms->groups, group, link);
		kl_index_put(terms->index, &group->name);
	}
	kl_node_publish(node, KL_SECTION_TERMS, &terms->base);
}
