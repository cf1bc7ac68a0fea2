/* What a simulated VM's control side calls: clock, messages, calls, log. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/store_era.h"
#include "tests/world_internal.h"

static uint64_t node_now(void *context);
static uint32_t node_random(void *context);
static void node_send_to_peer(void *context, const char *vm, const char *host,
			      uint16_t port, const kl_peer_message_t *message);
static void node_call_platform(void *context, const kl_platform_call_t *call);
static void node_call_database(void *context, const kl_database_call_t *call);
static void node_log_decision(void *context, const kl_decision_t *decision);
static void copy_objects(kl_object_list_t *to, const kl_object_list_t *from);
static bool is_too_large(const kl_peer_message_t *message);
static size_t message_size(const kl_peer_message_t *message);

const kl_node_ops_t world_node_ops = { node_now,	   node_random,
				       node_send_to_peer,  node_call_platform,
				       node_call_database, node_log_decision };

static uint64_t node_now(void *context)
{
	return ((vm_t *)context)->world->now_us;
}

static uint32_t node_random(void *context)
{
	return g_rand_int(((vm_t *)context)->random);
}

static void node_send_to_peer(void *context, const char *name, const char *host,
			      uint16_t port, const kl_peer_message_t *message)
{
	vm_t *vm = context;
	world_t *world = vm->world;
	int copies = 1;
	(void)name;
	(void)host;

	/* What can't be encoded is not sent. */
	if (is_too_large(message))
		return;
	vm->peer_messages_sent++;
	vm->load_messages_sent += message->kind == KL_PEER_LOAD_QUERY ||
				  message->kind == KL_PEER_LOADS;
	vm->peer_bytes_sent += message_size(message);
	if (message->kind == KL_PEER_USAGE)
		vm->usage_bytes_sent += message_size(message);
	if (g_rand_int_range(world->random, 0, 100) < world->peer_loss_percent)
		copies = 0;
	else if (g_rand_int_range(world->random, 0, 100) <
		 world->peer_duplicate_percent)
		copies = 2;
	while (copies--) {
		world_event_t *event = g_new0(world_event_t, 1);
		uint64_t delay_us = world->peer_delay_us;

		if (world->jitter_us)
			delay_us +=
				g_rand_int(world->random) % world->jitter_us;
		event->kind = WORLD_EVENT_PEER_MESSAGE;
		event->vm = g_ptr_array_index(world->vms, port - 1u);
		event->sender_partition =
			vm->peers_cut ? CUT_OFF : vm->partition;
		event->peer_message = *message;
		strcpy(event->peer_message.hello.host, "10.0.0.1");
		event->peer_message.hello.port = (uint16_t)vm->port;
		CK_STAILQ_INIT(&event->answer_objects);
		CK_STAILQ_INIT(&event->peer_message.delta.objects);
		if (kl_peer_has_objects(message->kind))
			copy_objects(&event->peer_message.delta.objects,
				     &message->delta.objects);
		world_schedule(world, event, delay_us);
	}
}

static void node_call_platform(void *context, const kl_platform_call_t *call)
{
	vm_t *vm = context;
	world_event_t *event = g_new0(world_event_t, 1);

	vm->platform_calls++;
	event->kind = WORLD_EVENT_PLATFORM_CALL;
	event->vm = vm;
	event->sender_incarnation = vm->node.self.incarnation;
	event->platform_call = *call;
	kl_store_era_remove(&event->platform_call);
	event->call_body = g_strdup(call->body);
	CK_STAILQ_INIT(&event->answer_objects);
	CK_STAILQ_INIT(&event->peer_message.delta.objects);
	world_schedule(vm->world, event, PLATFORM_DELAY_US);
}

static void node_call_database(void *context, const kl_database_call_t *call)
{
	vm_t *vm = context;
	world_event_t *event = g_new0(world_event_t, 1);

	vm->database_calls++;
	event->kind = WORLD_EVENT_DATABASE_CALL;
	event->vm = vm;
	event->sender_incarnation = vm->node.self.incarnation;
	event->database_answer.call = *call;
	CK_STAILQ_INIT(&event->answer_objects);
	CK_STAILQ_INIT(&event->peer_message.delta.objects);
	world_schedule(vm->world, event, DATABASE_DELAY_US);
}

static void node_log_decision(void *context, const kl_decision_t *decision)
{
	vm_t *vm = context;
	world_t *world = vm->world;

	if (!world->decision_log)
		return;
	if (decision->feed) {
		fprintf(world->decision_log, "%s: %s %s %s\n", vm->name,
			decision->name, decision->feed, decision->reason);
		return;
	}
	fprintf(world->decision_log, "%s: %s %s%s%s %s term %llu\n", vm->name,
		decision->name, decision->service ? decision->service : "",
		decision->upstream ? " " : "",
		decision->upstream ? decision->upstream : "",
		decision->reason ? decision->reason : "",
		(unsigned long long)decision->term);
}

static void copy_objects(kl_object_list_t *to, const kl_object_list_t *from)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, from, link) {
		kl_object_t *copy = kl_object_copy(object);

		CK_STAILQ_INSERT_TAIL(to, copy, link);
	}
}

static bool is_too_large(const kl_peer_message_t *message)
{
	const kl_object_t *object;

	if (!kl_peer_has_objects(message->kind))
		return false;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link) {
		if (strlen(object->body) > KL_OBJECT_WHOLE_MAX)
			return true;
	}
	return false;
}

/* Estimates the encoded size, bytes: a header and the objects of a delta. */
static size_t message_size(const kl_peer_message_t *message)
{
	const kl_object_t *object;
	size_t size = 132;

	for (uint32_t i = 0; i < message->usage.count; i++)
		size += 8 +
			(strlen(message->usage.list[i].workspace) + 3) / 4 * 4;

	if (!kl_peer_has_objects(message->kind))
		return size;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link)
		size += 24 + strlen(object->name.name) + strlen(object->body);
	return size;
}
