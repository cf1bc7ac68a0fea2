/* Whether the objects held here name this VM as registered. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "control/sync_internal.h"

static bool is_registered(const kl_node_t *node);

void kl_sync_update_registration(const kl_node_t *node, kl_sync_t *sync,
				 uint64_t seen_us)
{
	if (!is_registered(node))
		sync->registered_us = 0;
	else if (!sync->registered_us)
		sync->registered_us = seen_us;
}

/*
 * Whether the objects held here have this VM's record.  The member list may be
 * a step older than the objects.
 */
static bool is_registered(const kl_node_t *node)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	char name[KL_NAME_MAX + sizeof("vm/")];
	const kl_object_t *object;
	const char *state;
	json_t *json;
	bool registered;

	snprintf(name, sizeof(name), "vm/%s", node->self.vm);
	object = objects ? kl_index_get(objects->index, name) : NULL;
	if (!object)
		return false;
	json = json_loads(object->body, JSON_DECODE_ANY, NULL);
	registered = !json_unpack(json, "{s:s}", "state", &state) &&
		     strcmp(state, "gone") != 0;
	json_decref(json);
	return registered;
}
