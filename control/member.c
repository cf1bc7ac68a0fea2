/*
 * Who takes part: the platform's lagging list, the operators' marks and what
 * was heard from peers.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/prober.h"

#define REFRESH_US (400 * KL_MS)
#define REGISTER_US (500 * KL_MS) /* between two updates of the own record */
#define WATCH_US (400 * KL_MS)	  /* between two looks at the others */
#define ASK_US (1500 * KL_MS)	  /* a VM silent that long is asked */
#define HEARD_US (2500 * KL_MS)	  /* one heard in that time is in touch */
#define GONE_US (5 * KL_SEC)	/* one silent that long is taken off the list */
#define FORGET_US (30 * KL_SEC) /* then its record is kept that long */
#define SILENT_US (60 * KL_SEC) /* an unlisted VM is forgotten after this */

typedef struct known {
	kl_named_t name;
	CK_STAILQ_ENTRY(known) link;
	kl_member_t member;
	uint64_t version; /* of the list's object, 0 if only heard */
	char host_listed[KL_HOST_MAX];
} known_t;

typedef struct member_state {
	char self[KL_NAME_MAX];
	CK_STAILQ_HEAD(, known) list;
	kl_index_t *index;
	size_t count;
	uint64_t revision;
	uint64_t forgot_us;
	uint64_t published;
	uint64_t registered_us; /* own record last written */
	uint64_t watched_us;
	bool stopping;
	bool left; /* written as leaving */
	bool changed;
} member_state_t;

static void keep_registered(kl_node_t *node, member_state_t *state,
			    const kl_event_t *event, uint64_t now);
static void write_record(kl_node_t *node, const known_t *known,
			 const char *status);
static void watch_others(kl_node_t *node, member_state_t *state, uint64_t now);
static known_t *known_of(member_state_t *state, const char *name);
static void take_list(member_state_t *state, const kl_objects_t *objects,
		      uint64_t now);
static void take_entry(known_t *known, const kl_object_t *object, uint64_t now);
static void take_hello(member_state_t *state, const kl_peer_message_t *message,
		       uint64_t now);
static void forget(member_state_t *state, uint64_t now);
static void publish(kl_node_t *node, member_state_t *state);
static void insert_sorted(member_state_t *state, known_t *known);

int kl_member_create(kl_node_t *node)
{
	member_state_t *state = calloc(1, sizeof(*state));
	known_t *self;

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->list);
	state->index = kl_index_new(64);
	node->state[KL_CONTROLLER_MEMBER] = state;
	memcpy(state->self, node->self.vm, KL_NAME_MAX);
	self = known_of(state, node->self.vm);
	if (!self)
		return -KL_E_NOMEM;
	memcpy(self->member.domain, node->self.domain, KL_NAME_MAX);
	memcpy(self->member.host, node->self.host, KL_HOST_MAX);
	self->member.port = node->self.port;
	publish(node, state);
	return 0;
}

void kl_member_destroy(kl_node_t *node)
{
	member_state_t *state = node->state[KL_CONTROLLER_MEMBER];
	known_t *known, *next;

	CK_STAILQ_FOREACH_SAFE(known, &state->list, link, next)
		free(known);
	kl_index_free(state->index);
	free(state);
}

void kl_member_step(kl_node_t *node, const kl_event_t *event)
{
	member_state_t *state = node->state[KL_CONTROLLER_MEMBER];
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	uint64_t now = kl_node_now(node);

	if (event->kind == KL_EVENT_PEER && event->peer->kind == KL_PEER_HELLO)
		take_hello(state, event->peer, now);
	if (objects && objects->revision != state->revision) {
		state->revision = objects->revision;
		state->changed = true; /* marks may have changed as well */
		take_list(state, objects, now);
	}
	if (now - state->forgot_us >= REFRESH_US) {
		state->forgot_us = now;
		forget(state, now);
	}
	if (state->changed)
		publish(node, state);
	if (node->tuning.feed_count > 1) {
		keep_registered(node, state, event, now);
		watch_others(node, state, now);
	}
}

/*
 * Each VM is watched by one other.  One that is silent is asked, and taken off
 * the list if it stays silent, but not by a VM that may itself be cut off.
 */
static void watch_others(kl_node_t *node, member_state_t *state, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint32_t heard = 0, others = 0;
	known_t *known;

	if (now - state->watched_us < WATCH_US || !members)
		return;
	state->watched_us = now;
	CK_STAILQ_FOREACH(known, &state->list, link) {
		if (!known->member.registered ||
		    !strcmp(known->name.name, state->self))
			continue;
		others++;
		heard += now - known->member.last_message_us < HEARD_US;
	}
	CK_STAILQ_FOREACH(known, &state->list, link) {
		uint64_t silent = now - known->member.last_message_us;

		/* Most are in touch: whose turn it is need not be known. */
		if ((known->member.registered
			     ? silent <= ASK_US
			     : !known->member.unregistered_us) ||
		    !strcmp(known->name.name, state->self) ||
		    kl_prober_rank(node, members, known->name.name) != 0)
			continue;
		if (known->member.unregistered_us &&
		    now - known->member.unregistered_us > FORGET_US)
			write_record(node, known, NULL);
		else if (known->member.registered && silent > GONE_US &&
			 2 * heard >= others)
			write_record(node, known, "gone");
		else if (known->member.registered && silent > ASK_US)
			kl_sync_send_hello(node, &known->member);
	}
}

/* Where the platform lists no VMs they write their own records. */
static void keep_registered(kl_node_t *node, member_state_t *state,
			    const kl_event_t *event, uint64_t now)
{
	bool listed = kl_sync_last_list_us(node, KL_FEED_TERMS) != 0;
	const known_t *self = kl_index_get(state->index, state->self);

	state->stopping |= event->kind == KL_EVENT_STOP;
	if (!listed || (now - state->registered_us < REGISTER_US &&
			!(state->stopping && !state->left)))
		return;
	if (!self || (self->member.registered &&
		      self->member.leaving == state->stopping &&
		      self->member.port == node->self.port &&
		      !strcmp(self->host_listed, node->self.host)))
		return;
	state->registered_us = now;
	state->left = state->stopping;
	write_record(node, self, state->stopping ? "leaving" : "ready");
}

/* NULL removes the record. */
static void write_record(kl_node_t *node, const known_t *known,
			 const char *status)
{
	bool self = !strcmp(known->name.name, node->self.vm);
	const kl_member_t *member = &known->member;
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .owner = KL_CONTROLLER_MEMBER,
				    .sent_us = kl_node_now(node),
				    .version = known->version };
	json_t *json = json_pack("{s:s,s:s,s:i,s:s}", "domain",
				 self ? node->self.domain : member->domain,
				 "host", self ? node->self.host : member->host,
				 "port", self ? node->self.port : member->port,
				 "state", status ? status : "");
	char *body = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (body && snprintf(call.name, sizeof(call.name), "vm/%s",
			     known->name.name) < (int)sizeof(call.name)) {
		call.body = status ? body : "null";
		node->ops->call_platform(node->ops_context, &call);
	}
	free(body);
}

static known_t *known_of(member_state_t *state, const char *name)
{
	known_t *known = kl_index_get(state->index, name);

	if (known || !*name)
		return known;
	known = calloc(1, sizeof(*known));
	if (!known || kl_name_set(known->name.name, name)) {
		free(known);
		return NULL;
	}
	known->member.name = known->name;
	insert_sorted(state, known);
	state->count++;
	kl_index_put(state->index, &known->name);
	state->changed = true;
	return known;
}

static void take_list(member_state_t *state, const kl_objects_t *objects,
		      uint64_t now)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, &objects->list, link) {
		known_t *known;

		if (strncmp(object->name.name, "vm/", 3))
			continue;
		known = kl_index_get(state->index, object->name.name + 3);
		/* Of a VM that went before this one came there is no address.
		 */
		if (!known && strcmp(object->body, "null"))
			known = known_of(state, object->name.name + 3);
		if (!known || known->version == object->version)
			continue;
		known->version = object->version;
		take_entry(known, object, now);
		state->changed = true;
	}
}

static void take_entry(known_t *known, const kl_object_t *object, uint64_t now)
{
	json_t *json = json_loads(object->body, JSON_DECODE_ANY, NULL);
	const char *domain, *host, *state;
	int port;

	known->member.registered = false;
	known->member.leaving = false;
	known->member.last_message_us = 0;
	known->host_listed[0] = '\0';
	if (!json_unpack(json, "{s:s,s:s,s:i,s:s}", "domain", &domain, "host",
			 &host, "port", &port, "state", &state) &&
	    strlen(host) < KL_HOST_MAX &&
	    !kl_name_set(known->member.domain, domain)) {
		memcpy(known->member.host, host, strlen(host) + 1);
		memcpy(known->host_listed, host, strlen(host) + 1);
		known->member.port = (uint16_t)port;
		known->member.registered = strcmp(state, "gone") != 0;
		known->member.leaving = !strcmp(state, "leaving");
		known->member.unregistered_us =
			known->member.registered ? 0 : now;
		known->member.last_message_us = now;
	}
	json_decref(json);
}

static void take_hello(member_state_t *state, const kl_peer_message_t *message,
		       uint64_t now)
{
	known_t *known = known_of(state, message->from);

	if (!known)
		return;
	known->member.last_message_us = now;
	if (known->member.registered)
		return;
	memcpy(known->member.domain, message->hello.domain, KL_NAME_MAX);
	memcpy(known->member.host, message->hello.host, KL_HOST_MAX);
	known->member.port = message->hello.port;
}

static void forget(member_state_t *state, uint64_t now)
{
	known_t *known, *next;

	CK_STAILQ_FOREACH_SAFE(known, &state->list, link, next) {
		if (!strcmp(known->name.name, state->self) ||
		    known->member.registered ||
		    now - known->member.last_message_us < SILENT_US)
			continue;
		kl_index_remove(state->index, known->name.name);
		CK_STAILQ_REMOVE(&state->list, known, known, link);
		free(known);
		state->count--;
		state->changed = true;
	}
}

static void publish(kl_node_t *node, member_state_t *state)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	kl_members_t *members = kl_members_new(state->count);
	const kl_member_t *member;
	known_t *known;
	uint32_t position = 0;

	if (!members)
		return;
	CK_STAILQ_FOREACH(known, &state->list, link) {
		kl_member_t *copy = malloc(sizeof(*copy));

		if (!copy)
			break;
		*copy = known->member;
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
	members->watcher = false;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (strcmp(member->domain, node->self.domain))
			continue;
		if (!strcmp(member->name.name, node->self.vm))
			members->watcher =
				position < node->tuning.watchers_per_domain;
		position++;
	}
	state->changed = false;
	members->version = ++state->published;
	kl_node_publish(node, KL_SECTION_MEMBERS, &members->base);
}

/* In the order of names, so that every VM draws the same tree. */
static void insert_sorted(member_state_t *state, known_t *known)
{
	known_t *entry, *before = NULL;

	CK_STAILQ_FOREACH(entry, &state->list, link) {
		if (strcmp(entry->name.name, known->name.name) > 0)
			break;
		before = entry;
	}
	if (before)
		CK_STAILQ_INSERT_AFTER(&state->list, before, known, link);
	else
		CK_STAILQ_INSERT_HEAD(&state->list, known, link);
}
