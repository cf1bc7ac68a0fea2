/*
 * Member controller: publishes which VMs take part.  It combines their records
 * on the platform, which may lag, the operators' marks and the peers' hellos.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/member_internal.h"
#include "control/tree.h"

/*
 * Minimum times between passes that forget VMs and check the parent, and
 * between updates of this VM's record.
 */
#define FORGET_INTERVAL_US (400 * KL_MS)
#define REGISTER_INTERVAL_US (500 * KL_MS)
/* An unregistered VM is forgotten this long after its last message. */
#define FORGET_AFTER_US (60 * KL_SEC)

static void register_self(kl_node_t *node, kl_member_state_t *state,
			  const kl_event_t *event, uint64_t now);
static kl_vm_entry_t *find_or_add(kl_member_state_t *state, const char *name);
static void apply_records(kl_member_state_t *state, const kl_objects_t *objects,
			  uint64_t now);
static void apply_record(kl_vm_entry_t *vm, const kl_object_t *object,
			 uint64_t now);
static void apply_hello(kl_member_state_t *state,
			const kl_peer_message_t *message, uint64_t now);
static void forget_silent_vms(kl_member_state_t *state, uint64_t now);
static void publish_members(kl_node_t *node, kl_member_state_t *state);
static bool must_watch(const kl_node_t *node, const kl_member_state_t *state,
		       const kl_members_t *members);
static void insert_sorted(kl_member_state_t *state, kl_vm_entry_t *vm);

int kl_member_create(kl_node_t *node)
{
	kl_member_state_t *state = calloc(1, sizeof(*state));
	kl_vm_entry_t *self;

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->list);
	state->index = kl_index_new(64);
	node->state[KL_CONTROLLER_MEMBER] = state;
	memcpy(state->self, node->self.vm, KL_NAME_MAX);
	self = find_or_add(state, node->self.vm);
	if (!self)
		return -KL_E_NOMEM;
	memcpy(self->member.domain, node->self.domain, KL_NAME_MAX);
	memcpy(self->member.host, node->self.host, KL_HOST_MAX);
	self->member.port = node->self.port;
	publish_members(node, state);
	return 0;
}

void kl_member_destroy(kl_node_t *node)
{
	kl_member_state_t *state = node->state[KL_CONTROLLER_MEMBER];
	kl_vm_entry_t *vm, *next;

	CK_STAILQ_FOREACH_SAFE(vm, &state->list, link, next)
		free(vm);
	kl_index_free(state->index);
	free(state);
}

void kl_member_step(kl_node_t *node, const kl_event_t *event)
{
	kl_member_state_t *state = node->state[KL_CONTROLLER_MEMBER];
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);

	if (event->kind == KL_EVENT_PEER && event->peer->kind == KL_PEER_HELLO)
		apply_hello(state, event->peer, now);
	if (objects && objects->revision != state->objects_revision) {
		state->objects_revision = objects->revision;
		state->members_changed = true; /* the marks may have changed */
		apply_records(state, objects, now);
	}
	if (now - state->last_forget_us >= FORGET_INTERVAL_US) {
		state->last_forget_us = now;
		forget_silent_vms(state, now);
		state->members_changed |=
			members &&
			members->is_watcher != must_watch(node, state, members);
	}
	if (state->members_changed)
		publish_members(node, state);
	if (node->tuning.feed_count > 1) {
		register_self(node, state, event, now);
		kl_member_check_peers(node, state, now);
	}
}

/* Updates this VM's record when it differs from the VM's state. */
static void register_self(kl_node_t *node, kl_member_state_t *state,
			  const kl_event_t *event, uint64_t now)
{
	bool terms_listed = kl_sync_last_list_us(node, KL_FEED_TERMS) != 0;
	const kl_vm_entry_t *self = kl_index_get(state->index, state->self);

	state->stopping |= event->kind == KL_EVENT_STOP;
	if (!terms_listed ||
	    (now - state->last_register_us < REGISTER_INTERVAL_US &&
	     !(state->stopping && !state->leaving_written)))
		return;
	if (!self || (self->member.registered &&
		      self->member.leaving == state->stopping &&
		      self->member.port == node->self.port &&
		      !strcmp(self->registered_host, node->self.host)))
		return;
	state->last_register_us = now;
	state->leaving_written = state->stopping;
	kl_member_put_record(node, self, state->stopping ? "leaving" : "ready");
}

void kl_member_put_record(kl_node_t *node, const kl_vm_entry_t *vm,
			  const char *status)
{
	bool self = !strcmp(vm->name.name, node->self.vm);
	const kl_member_t *member = &vm->member;
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_MEMBER,
				    .sent_us = kl_node_now(node),
				    .version = vm->record_removed
						       ? 0
						       : vm->record_version };
	json_t *json = json_pack("{s:s,s:s,s:i,s:s}", "domain",
				 self ? node->self.domain : member->domain,
				 "host", self ? node->self.host : member->host,
				 "port", self ? node->self.port : member->port,
				 "state", status ? status : "");
	char *body = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (body && snprintf(call.name, sizeof(call.name), "vm/%s",
			     vm->name.name) < (int)sizeof(call.name)) {
		call.body = status ? body : "null";
		node->ops->call_platform(node->ops_context, &call);
	}
	free(body);
}

static kl_vm_entry_t *find_or_add(kl_member_state_t *state, const char *name)
{
	kl_vm_entry_t *vm = kl_index_get(state->index, name);

	if (vm || !*name)
		return vm;
	vm = calloc(1, sizeof(*vm));
	if (!vm || kl_name_copy(vm->name.name, name)) {
		free(vm);
		return NULL;
	}
	vm->member.name = vm->name;
	insert_sorted(state, vm);
	state->count++;
	kl_index_put(state->index, &vm->name);
	state->members_changed = true;
	return vm;
}

static void apply_records(kl_member_state_t *state, const kl_objects_t *objects,
			  uint64_t now)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, &objects->list, link) {
		kl_vm_entry_t *vm;

		if (strncmp(object->name.name, "vm/", 3))
			continue;
		vm = kl_index_get(state->index, object->name.name + 3);
		/* A removed record has no address to add a VM with. */
		if (!vm && strcmp(object->body, "null"))
			vm = find_or_add(state, object->name.name + 3);
		if (!vm || vm->record_version == object->version)
			continue;
		vm->record_version = object->version;
		apply_record(vm, object, now);
		if (vm->marked_while_lonely && vm->member.registered) {
			vm->marked_while_lonely = false;
			state->lonely_pause_until_us = now + KL_LONELY_PAUSE_US;
		}
		state->members_changed = true;
	}
}

static void apply_record(kl_vm_entry_t *vm, const kl_object_t *object,
			 uint64_t now)
{
	json_t *json = json_loads(object->body, JSON_DECODE_ANY, NULL);
	const char *domain, *host, *state;
	int port;

	vm->record_removed = !strcmp(object->body, "null");
	vm->member.last_message_us = 0;
	/* A restored store lost it; the VM may still use its lease. */
	if (vm->record_removed && vm->member.registered) {
		vm->member.unregistered_since_us = now;
		vm->member.last_message_us = now;
	}
	vm->member.registered = false;
	vm->member.leaving = false;
	vm->registered_host[0] = '\0';
	if (!json_unpack(json, "{s:s,s:s,s:i,s:s}", "domain", &domain, "host",
			 &host, "port", &port, "state", &state) &&
	    strlen(host) < KL_HOST_MAX &&
	    !kl_name_copy(vm->member.domain, domain)) {
		memcpy(vm->member.host, host, strlen(host) + 1);
		memcpy(vm->registered_host, host, strlen(host) + 1);
		vm->member.port = (uint16_t)port;
		vm->member.registered = strcmp(state, "gone") != 0;
		vm->member.leaving = !strcmp(state, "leaving");
		vm->member.unregistered_since_us =
			vm->member.registered ? 0 : now;
		vm->member.last_message_us = now;
	}
	json_decref(json);
}

static void apply_hello(kl_member_state_t *state,
			const kl_peer_message_t *message, uint64_t now)
{
	kl_vm_entry_t *vm = find_or_add(state, message->from);

	if (!vm)
		return;
	vm->member.last_message_us = now;
	if (vm->member.registered)
		return;
	memcpy(vm->member.domain, message->hello.domain, KL_NAME_MAX);
	memcpy(vm->member.host, message->hello.host, KL_HOST_MAX);
	vm->member.port = message->hello.port;
}

/* Forgets unregistered VMs that have been silent for FORGET_AFTER_US. */
static void forget_silent_vms(kl_member_state_t *state, uint64_t now)
{
	kl_vm_entry_t *vm, *next;

	CK_STAILQ_FOREACH_SAFE(vm, &state->list, link, next) {
		if (!strcmp(vm->name.name, state->self) ||
		    vm->member.registered ||
		    now - vm->member.last_message_us < FORGET_AFTER_US)
			continue;
		kl_index_remove(state->index, vm->name.name);
		CK_STAILQ_REMOVE(&state->list, vm, kl_vm_entry, link);
		free(vm);
		state->count--;
		state->members_changed = true;
	}
}

static void publish_members(kl_node_t *node, kl_member_state_t *state)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	kl_members_t *members = kl_members_new(state->count);
	kl_vm_entry_t *vm;

	if (!members)
		return;
	CK_STAILQ_FOREACH(vm, &state->list, link) {
		kl_member_t *copy = malloc(sizeof(*copy));

		if (!copy)
			break;
		*copy = vm->member;
		if (config &&
		    (kl_config_marked(config, "vm", copy->name.name) ||
		     kl_config_marked(config, "domain", copy->domain)))
			copy->leaving = true;
		CK_STAILQ_INSERT_TAIL(&members->list, copy, link);
		members->count++;
		members->active_count +=
			!copy->leaving &&
			(copy->registered ||
			 !strcmp(copy->name.name, node->self.vm));
		kl_index_put(members->index, &copy->name);
	}
	members->is_watcher = must_watch(node, state, members);
	state->members_changed = false;
	members->version = ++state->published_version;
	kl_node_publish(node, KL_SECTION_MEMBERS, &members->base);
}

/*
 * Whether this VM watches the platform: as a root of its domain's tree, or
 * while its parent is silent and so would not tell it of a change.
 */
static bool must_watch(const kl_node_t *node, const kl_member_state_t *state,
		       const kl_members_t *members)
{
	const kl_member_t *parent = kl_tree_parent(node, members);
	const kl_vm_entry_t *vm =
		parent ? kl_index_get(state->index, parent->name.name) : NULL;

	return !vm ||
	       kl_node_now(node) - vm->member.last_message_us > KL_IN_TOUCH_US;
}

/* Keeps the order of names, so that every VM builds the same tree. */
static void insert_sorted(kl_member_state_t *state, kl_vm_entry_t *vm)
{
	kl_vm_entry_t *entry, *previous = NULL;

	CK_STAILQ_FOREACH(entry, &state->list, link) {
		if (strcmp(entry->name.name, vm->name.name) > 0)
			break;
		previous = entry;
	}
	if (previous)
		CK_STAILQ_INSERT_AFTER(&state->list, previous, vm, link);
	else
		CK_STAILQ_INSERT_HEAD(&state->list, vm, link);
}
