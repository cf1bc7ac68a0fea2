/*
 * Keeps the platform's objects: asks the platform on behalf of its failure
 * domain or hears from peers, never installs a lower revision, and knows how
 * old the last confirmation is.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"

#define SELF_SERVE_US (1500 * KL_MS) /* unconfirmed so long: ask oneself */
#define ANSWER_US (1 * KL_SEC)	     /* an answer this late is given up */
#define WATCH_US (20 * KL_SEC)	     /* a watch this old is given up */
#define FETCH_US (200 * KL_MS)	     /* between two fetches */
#define FANOUT 4		     /* children in a failure domain's tree */

typedef struct sync {
	uint64_t revision;
	uint64_t confirmed_us;
	bool confirmed;
	uint64_t list_us; /* when the outstanding list was asked, or 0 */
	uint64_t next_list_us;
	uint64_t watch_us; /* when the outstanding watch was asked, or 0 */
	uint64_t hello_us;
	uint64_t fetch_us;
	char fetch_from[KL_NAME_MAX];
	kl_object_list_t pending; /* of an unfinished fetch */
	uint64_t pending_since;
} sync_t;

static void ask_platform(kl_node_t *node, sync_t *sync, uint64_t now);
static void platform_answered(kl_node_t *node, sync_t *sync,
			      kl_platform_answer_t *answer);
static void hello_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message);
static void fetch_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message);
static void delta_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message);
static void send_fetch(kl_node_t *node, sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t since);
static void send_hello(kl_node_t *node, const sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t echo_us,
		       bool wants_answer);
static void greet(kl_node_t *node, sync_t *sync);
static void spread(kl_node_t *node, const sync_t *sync);
static bool install(kl_node_t *node, sync_t *sync, kl_object_list_t *changed,
		    uint64_t revision);
static void confirm(kl_node_t *node, sync_t *sync, uint64_t asked_us);
static uint32_t domain_position(const kl_node_t *node,
				const kl_members_t *members,
				const kl_member_t **table, uint32_t *count);

int kl_sync_create(kl_node_t *node)
{
	sync_t *sync = calloc(1, sizeof(*sync));

	if (!sync)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&sync->pending);
	node->state[KL_CONTROLLER_SYNC] = sync;
	return 0;
}

void kl_sync_destroy(kl_node_t *node)
{
	sync_t *sync = node->state[KL_CONTROLLER_SYNC];

	kl_object_list_clear(&sync->pending);
	free(sync);
}

void kl_sync_step(kl_node_t *node, const kl_event_t *event)
{
	sync_t *sync = node->state[KL_CONTROLLER_SYNC];
	uint64_t now = kl_node_now(node);

	switch (event->kind) {
	case KL_EVENT_TICK:
		ask_platform(node, sync, now);
		if (now - sync->hello_us >= node->tuning.hello_us) {
			sync->hello_us = now;
			greet(node, sync);
		}
		break;
	case KL_EVENT_PLATFORM:
		if (event->platform->owner == KL_CONTROLLER_SYNC)
			platform_answered(node, sync, event->platform);
		break;
	case KL_EVENT_PEER:
		if (event->peer->kind == KL_PEER_HELLO)
			hello_came(node, sync, event->peer);
		else if (event->peer->kind == KL_PEER_FETCH)
			fetch_came(node, sync, event->peer);
		else if (event->peer->kind == KL_PEER_DELTA)
			delta_came(node, sync, event->peer);
		break;
	default:
		break;
	}
}

static void ask_platform(kl_node_t *node, sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	bool watcher = !members || members->watcher;
	bool starved =
		!sync->confirmed || now - sync->confirmed_us > SELF_SERVE_US;
	kl_platform_call_t call = { .owner = KL_CONTROLLER_SYNC,
				    .asked_us = now,
				    .since = sync->revision };

	if (sync->list_us && now - sync->list_us > ANSWER_US)
		sync->list_us = 0;
	if (sync->watch_us && now - sync->watch_us > WATCH_US)
		sync->watch_us = 0;
	if ((watcher || starved) && !sync->list_us &&
	    now >= sync->next_list_us) {
		sync->list_us = now;
		sync->next_list_us = now + node->tuning.confirm_us;
		/* Those who merely starve must not come all at once. */
		if (!watcher)
			sync->next_list_us +=
				kl_node_random(node) % (2 * SELF_SERVE_US);
		call.op = KL_PLATFORM_LIST;
		node->outlet->platform(node->context, &call);
	}
	if (watcher && !sync->watch_us && sync->confirmed) {
		sync->watch_us = now;
		call.op = KL_PLATFORM_WATCH;
		node->outlet->platform(node->context, &call);
	}
}

static void platform_answered(kl_node_t *node, sync_t *sync,
			      kl_platform_answer_t *answer)
{
	if (answer->op == KL_PLATFORM_LIST && answer->asked_us == sync->list_us)
		sync->list_us = 0;
	if (answer->op == KL_PLATFORM_WATCH &&
	    answer->asked_us == sync->watch_us) {
		sync->watch_us = 0;
		/* A refused watch is asked again with the next list. */
		if (answer->error)
			sync->watch_us =
				kl_node_now(node) - WATCH_US + ANSWER_US;
	}
	if (answer->error)
		return;
	if (install(node, sync, answer->objects, answer->revision))
		spread(node, sync);
	/* The answer proves its revision; holding less proves nothing. */
	if (sync->revision >= answer->revision)
		confirm(node, sync, answer->asked_us);
}

static void hello_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message)
{
	const kl_peer_hello_t *hello = &message->hello;
	uint64_t now = kl_node_now(node);

	if (hello->wants_answer)
		send_hello(node, sync, message->from, hello->host, hello->port,
			   hello->ping_us, false);
	if (hello->revision > sync->revision &&
	    now - sync->fetch_us >= FETCH_US)
		send_fetch(node, sync, message->from, hello->host, hello->port,
			   sync->revision);
	/*
	 * The age counts from this VM's own question: however late the answer
	 * is, the confirmation is no older than that.
	 */
	if (hello->echo_us && hello->echo_us <= now &&
	    hello->age_us < hello->echo_us && hello->revision == sync->revision)
		confirm(node, sync, hello->echo_us - hello->age_us);
}

static void fetch_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	kl_peer_message_t reply = { .kind = KL_PEER_DELTA };
	const kl_object_t *object;
	size_t bytes = 0;

	if (!objects)
		return;
	memcpy(reply.from, node->self.vm, sizeof(reply.from));
	reply.delta.since = message->since;
	reply.delta.revision = sync->revision;
	CK_STAILQ_INIT(&reply.delta.objects);
	/* The list is kept in the order of versions. */
	CK_STAILQ_FOREACH(object, &objects->list, link) {
		kl_object_t *copy;

		if (object->version <= message->since)
			continue;
		bytes += strlen(object->body) + KL_NAME_MAX;
		if (bytes > KL_DELTA_BYTES &&
		    !CK_STAILQ_EMPTY(&reply.delta.objects)) {
			reply.delta.more = true;
			break;
		}
		copy = kl_object_new(object->name.name, object->version,
				     object->body);
		if (!copy)
			break;
		CK_STAILQ_INSERT_TAIL(&reply.delta.objects, copy, link);
		reply.delta.revision = object->version;
	}
	if (!reply.delta.more)
		reply.delta.revision = sync->revision;
	node->outlet->peer(node->context, message->from, message->hello.host,
			   message->hello.port, &reply);
	kl_object_list_clear(&reply.delta.objects);
}

static void delta_came(kl_node_t *node, sync_t *sync,
		       const kl_peer_message_t *message)
{
	const kl_peer_delta_t *delta = &message->delta;
	const kl_object_t *object;

	if (strcmp(message->from, sync->fetch_from) ||
	    delta->since != sync->pending_since ||
	    delta->revision <= sync->revision)
		return;
	CK_STAILQ_FOREACH(object, &delta->objects, link) {
		kl_object_t *copy = kl_object_new(
			object->name.name, object->version, object->body);

		if (!copy)
			return;
		CK_STAILQ_INSERT_TAIL(&sync->pending, copy, link);
	}
	if (delta->more) {
		send_fetch(node, sync, message->from, message->hello.host,
			   message->hello.port, delta->revision);
		return;
	}
	sync->fetch_us = 0;
	sync->fetch_from[0] = '\0';
	if (install(node, sync, &sync->pending, delta->revision))
		spread(node, sync);
	kl_object_list_clear(&sync->pending);
}

static void send_fetch(kl_node_t *node, sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t since)
{
	kl_peer_message_t message = { .kind = KL_PEER_FETCH, .since = since };

	if (since == sync->revision)
		kl_object_list_clear(&sync->pending);
	sync->fetch_us = kl_node_now(node);
	sync->pending_since = since;
	memcpy(sync->fetch_from, vm, sizeof(sync->fetch_from));
	memcpy(message.from, node->self.vm, sizeof(message.from));
	memcpy(message.hello.host, node->self.host, sizeof(node->self.host));
	message.hello.port = node->self.port;
	node->outlet->peer(node->context, vm, host, port, &message);
}

static void send_hello(kl_node_t *node, const sync_t *sync, const char *vm,
		       const char *host, uint16_t port, uint64_t echo_us,
		       bool wants_answer)
{
	kl_peer_message_t message = { .kind = KL_PEER_HELLO };
	kl_peer_hello_t *hello = &message.hello;
	uint64_t now = kl_node_now(node);

	memcpy(message.from, node->self.vm, sizeof(message.from));
	memcpy(hello->domain, node->self.domain, sizeof(hello->domain));
	memcpy(hello->host, node->self.host, sizeof(hello->host));
	hello->port = node->self.port;
	hello->incarnation = node->self.incarnation;
	hello->wants_answer = wants_answer;
	hello->ping_us = now;
	hello->echo_us = echo_us;
	hello->revision = sync->revision;
	hello->age_us =
		sync->confirmed ? now - sync->confirmed_us : KL_AGE_NEVER;
	node->outlet->peer(node->context, vm, host, port, &message);
}

/* Asks the parent in the domain's tree, and one VM of the whole fleet. */
static void greet(kl_node_t *node, sync_t *sync)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	const kl_member_t *parent = NULL;
	kl_seed_t *seed;
	uint32_t pick, position = 0, count;

	if (!members || members->count < 2) {
		CK_SLIST_FOREACH(seed, &node->seeds, link)
		{
			if (seed->port != node->self.port ||
			    strcmp(seed->host, node->self.host))
				send_hello(node, sync, "", seed->host,
					   seed->port, 0, true);
		}
		return;
	}
	position = domain_position(node, members, NULL, &count);
	if (position >= KL_ROOTS) {
		const kl_member_t *table[count + 1];

		domain_position(node, members, table, &count);
		parent = table[(position - KL_ROOTS) / FANOUT];
		send_hello(node, sync, parent->name.name, parent->host,
			   parent->port, 0, true);
	}
	pick = kl_node_random(node) % members->count;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (pick--)
			continue;
		if (strcmp(member->name.name, node->self.vm) &&
		    member != parent)
			send_hello(node, sync, member->name.name, member->host,
				   member->port, 0, true);
		break;
	}
}

/* Tells the children and a few others at once that there is news. */
static void spread(kl_node_t *node, const sync_t *sync)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	uint32_t position, count, index = 0;

	if (!members || members->count < 2)
		return;
	position = domain_position(node, members, NULL, &count);
	const kl_member_t *table[count + 1];
	domain_position(node, members, table, &count);
	for (uint32_t i = 0; i < FANOUT; i++) {
		uint32_t child = KL_ROOTS + position * FANOUT + i;

		if (child < count)
			send_hello(node, sync, table[child]->name.name,
				   table[child]->host, table[child]->port, 0,
				   false);
	}
	uint32_t first = kl_node_random(node) % members->count;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if ((index++ == first || index == first + 1) &&
		    strcmp(member->name.name, node->self.vm))
			send_hello(node, sync, member->name.name, member->host,
				   member->port, 0, false);
	}
}

/* This VM's place among the listed VMs of its domain, in order of names. */
static uint32_t domain_position(const kl_node_t *node,
				const kl_members_t *members,
				const kl_member_t **table, uint32_t *count)
{
	const kl_member_t *member;
	uint32_t position = 0;

	*count = 0;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (strcmp(member->domain, node->self.domain))
			continue;
		if (!strcmp(member->name.name, node->self.vm))
			position = *count;
		if (table)
			table[*count] = member;
		(*count)++;
	}
	return position;
}

/* Publishes a new set of objects; true if the revision rose. */
static bool install(kl_node_t *node, sync_t *sync, kl_object_list_t *changed,
		    uint64_t revision)
{
	const kl_objects_t *old = kl_node_get(node, KL_SECTION_OBJECTS);
	kl_objects_t *new;
	const kl_object_t *object;
	kl_object_t *entry, *copy;
	size_t count = 64;

	if (revision <= sync->revision && old)
		return false;
	if (old) {
		CK_STAILQ_FOREACH(object, &old->list, link)
			count++;
	}
	new = kl_objects_new(count);
	if (!new || !new->index)
		return false;
	new->revision = revision;
	kl_index_t *newer = kl_index_new(count);
	CK_STAILQ_FOREACH(entry, changed, link) {
		kl_object_t *other = kl_index_get(newer, entry->name.name);

		if (other && other->version < entry->version)
			kl_index_remove(newer, entry->name.name);
		if (!other || other->version < entry->version)
			kl_index_put(newer, &entry->name);
	}
	if (old) {
		CK_STAILQ_FOREACH(object, &old->list, link) {
			const kl_object_t *other =
				kl_index_get(newer, object->name.name);

			if (other && other->version > object->version)
				continue;
			copy = kl_object_new(object->name.name, object->version,
					     object->body);
			CK_STAILQ_INSERT_TAIL(&new->list, copy, link);
			kl_index_put(new->index, &copy->name);
		}
	}
	while ((entry = CK_STAILQ_FIRST(changed))) {
		CK_STAILQ_REMOVE_HEAD(changed, link);
		if (kl_index_get(newer, entry->name.name) != entry ||
		    kl_index_get(new->index, entry->name.name)) {
			kl_object_free(entry);
			continue;
		}
		CK_STAILQ_INSERT_TAIL(&new->list, entry, link);
		kl_index_put(new->index, &entry->name);
	}
	kl_index_free(newer);
	sync->revision = revision;
	kl_node_publish(node, KL_SECTION_OBJECTS, &new->base);
	return true;
}

static void confirm(kl_node_t *node, sync_t *sync, uint64_t asked_us)
{
	kl_fresh_t *fresh;

	if (sync->confirmed && asked_us <= sync->confirmed_us)
		return;
	sync->confirmed = true;
	sync->confirmed_us = asked_us;
	fresh = kl_fresh_new(sync->revision, asked_us);
	if (fresh)
		kl_node_publish(node, KL_SECTION_FRESH, &fresh->base);
}
