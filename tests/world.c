#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/group_record.h"
#include "tests/world_internal.h"

static void spring_trap(world_t *world, const char *name, const char *body);
static uint64_t outlet_now(void *context);
static uint32_t outlet_random(void *context);
static void outlet_peer(void *context, const char *vm, const char *host,
			uint16_t port, const kl_peer_message_t *message);
static void outlet_platform(void *context, const kl_platform_call_t *call);
static void outlet_database(void *context, const kl_database_call_t *call);
static void outlet_decided(void *context, const kl_decision_t *decision);
static gint earlier(gconstpointer a, gconstpointer b, gpointer data);
static void arrive(world_t *world, happening_t *happening);
static void step_vm(vm_t *vm, happening_t *happening);
static void tick(world_t *world);
static void happening_free(happening_t *happening);
static void copy_objects(kl_object_list_t *to, const kl_object_list_t *from);
static size_t size_of(const kl_peer_message_t *message);

static const kl_node_ops_t outlet = { outlet_now,      outlet_random,
				      outlet_peer,     outlet_platform,
				      outlet_database, outlet_decided };

world_t *world_new(uint32_t seed)
{
	world_t *world = g_new0(world_t, 1);

	world->now = 1000 * KL_SEC;
	world->vms = g_ptr_array_new();
	world->dbs = g_ptr_array_new();
	world->loads = g_ptr_array_new();
	world->pendings = g_ptr_array_new_with_free_func(g_free);
	world->events = g_sequence_new(NULL);
	world->random = g_rand_new_with_seed(seed);
	world->objects = g_hash_table_new(g_str_hash, g_str_equal);
	world->delay_us = 1500;
	world->tick_us = 10 * KL_MS;
	world->ticked_us = world->now;
	world->admit_wait_us = 200 * KL_MS;
	kl_tuning_default(&world->tuning);
	world->path.lease_us = world->tuning.lease_duration_us;
	world->path.read_wait_us = 150 * KL_MS;
	return world;
}

void world_free(world_t *world)
{
	GSequenceIter *at;
	GHashTableIter iterator;
	gpointer value;

	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (vm->node.board)
			kl_node_stop(&vm->node);
		while (vm->held.length)
			happening_free(g_queue_pop_head(&vm->held));
		g_rand_free(vm->random);
		g_free(vm);
	}
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		g_array_free(db->log, TRUE);
		g_array_free(db->at, TRUE);
		g_free(db);
	}
	for (guint i = 0; i < world->loads->len; i++) {
		load_t *load = g_ptr_array_index(world->loads, i);

		g_queue_clear(&load->came);
		g_free(load);
	}
	for (at = g_sequence_get_begin_iter(world->events);
	     !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
		happening_free(g_sequence_get(at));
	g_hash_table_iter_init(&iterator, world->objects);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		kl_object_free(value);
	g_hash_table_destroy(world->objects);
	g_sequence_free(world->events);
	g_ptr_array_free(world->vms, TRUE);
	g_ptr_array_free(world->dbs, TRUE);
	g_ptr_array_free(world->loads, TRUE);
	g_ptr_array_free(world->pendings, TRUE);
	g_rand_free(world->random);
	g_free(world);
}

vm_t *world_vm(world_t *world, const char *name, const char *domain)
{
	vm_t *vm = g_new0(vm_t, 1);

	vm->world = world;
	kl_name_set(vm->name, name);
	kl_name_set(vm->domain, domain);
	vm->number = (int)world->vms->len + 1;
	vm->random = g_rand_new_with_seed(g_rand_int(world->random));
	g_queue_init(&vm->held);
	g_ptr_array_add(world->vms, vm);
	if (!world->promotes)
		world_list_vm(vm, "live");
	world_vm_start(vm);
	return vm;
}

void world_vm_start(vm_t *vm)
{
	kl_node_t *node = &vm->node;
	const vm_t *first = g_ptr_array_index(vm->world->vms, 0);

	memset(node, 0, sizeof(*node));
	kl_name_set(node->self.vm, vm->name);
	kl_name_set(node->self.domain, vm->domain);
	strcpy(node->self.host, "10.0.0.1");
	node->self.port = (uint16_t)vm->number;
	node->self.incarnation = vm->world->now;
	node->tuning = vm->world->tuning;
	node->ops = &outlet;
	node->ops_context = vm;
	CK_SLIST_INIT(&node->seeds);
	if (first != vm) {
		static kl_seed_t seed;

		strcpy(seed.host, "10.0.0.1");
		seed.port = (uint16_t)first->number;
		CK_SLIST_INSERT_HEAD(&node->seeds, &seed, link);
	}
	if (kl_node_start(node))
		abort();
	vm->up = true;
	vm->frozen = false;
}

void world_vm_kill(vm_t *vm)
{
	kl_node_stop(&vm->node);
	vm->up = false;
	while (vm->held.length)
		happening_free(g_queue_pop_head(&vm->held));
}

void world_vm_thaw(vm_t *vm)
{
	vm->frozen = false;
	while (vm->held.length) {
		happening_t *happening = g_queue_pop_head(&vm->held);

		step_vm(vm, happening);
		happening_free(happening);
	}
}

void world_list_vm(vm_t *vm, const char *state)
{
	char name[KL_NAME_MAX * 2];
	char *body = g_strdup_printf("{\"domain\":\"%s\",\"host\":\"10.0.0.1\""
				     ",\"port\":%d,\"state\":\"%s\"}",
				     vm->domain, vm->number, state);

	snprintf(name, sizeof(name), "vm/%s", vm->name);
	world_put(vm->world, name, strcmp(state, "gone") ? body : "null");
	g_free(body);
}

db_t *world_db(world_t *world, const char *service, const char *name,
	       const char *domain)
{
	db_t *db = g_new0(db_t, 1);

	kl_name_set(db->service, service);
	kl_name_set(db->name, name);
	kl_name_set(db->domain, domain);
	db->up = true;
	db->primary = !world_source_of(world, service);
	db->term = 1;
	db->sealed = 1;
	db->log = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	db->at = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	db->lag_us = 20 * KL_MS;
	g_ptr_array_add(world->dbs, db);
	return db;
}

void world_service(world_t *world, const char *service, int connections)
{
	GString *body = g_string_new("{\"upstreams\":[");
	char name[KL_NAME_MAX * 2];
	bool first = true;

	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (strcmp(db->service, service) || world->promotes)
			continue;
		g_string_append_printf(
			body,
			"%s{\"name\":\"%s\",\"host\":\"10.0.0.2\","
			"\"port\":%u,\"domain\":\"%s\"}",
			first ? "" : ",", db->name, i + 1, db->domain);
		first = false;
	}
	g_string_append_printf(body, "],\"connections\":%d}", connections);
	snprintf(name, sizeof(name), "service/%s", service);
	world_put(world, name, body->str);
	g_string_free(body, TRUE);
	if (world->promotes)
		world_register(world, service);
}

static void spring_trap(world_t *world, const char *name, const char *body)
{
	vm_t *vm = world_vm_of(world, world->trap_name);
	db_t *db = world_db_of(world, world->trap_name);

	if (!world->trap_state[0] || strncmp(name, "group/", 6) ||
	    !strstr(body, world->trap_state))
		return;
	world->trap_state[0] = '\0';
	if (vm)
		vm->up = false; /* the node is freed with the world */
	if (db)
		db->up = false;
}

void world_put(world_t *world, const char *name, const char *body)
{
	kl_object_t *old = g_hash_table_lookup(world->objects, name);
	kl_object_t *new = kl_object_new(name, ++world->revision, body);

	g_hash_table_replace(world->objects, new->name.name, new);
	kl_object_free(old);
	spring_trap(world, name, body);
}

void world_run(world_t *world, uint64_t us)
{
	uint64_t until = world->now + us;

	for (;;) {
		GSequenceIter *at = g_sequence_get_begin_iter(world->events);
		happening_t *next =
			g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
		uint64_t ticks = world->ticked_us + world->tick_us;

		if ((!next || next->at > ticks) && ticks <= until) {
			world->now = ticks;
			tick(world);
			continue;
		}
		if (!next || next->at > until)
			break;
		if (next->at > world->now)
			world->now = next->at;
		g_sequence_remove(at);
		arrive(world, next);
	}
	world->now = until;
}

vm_t *world_vm_of(world_t *world, const char *name)
{
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

db_t *world_db_of(world_t *world, const char *name)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->name, name))
			return db;
	}
	return NULL;
}

const kl_group_t *world_group(vm_t *vm, const char *service)
{
	const kl_terms_t *terms = kl_node_get(&vm->node, KL_SECTION_TERMS);

	return terms ? kl_index_get(terms->index, service) : NULL;
}

kl_group_t world_recorded(world_t *world, const char *service)
{
	char name[KL_NAME_MAX * 2];
	kl_group_t group = { 0 };
	const kl_object_t *object;

	snprintf(name, sizeof(name), "group/%s", service);
	object = g_hash_table_lookup(world->objects, name);
	if (object)
		kl_group_decode(&group, object->body);
	return group;
}

void world_scene(vm_t *vm, kl_view_t *scene)
{
	kl_view_load(scene, vm->node.reader, vm->world->now);
}

static uint64_t outlet_now(void *context)
{
	return ((vm_t *)context)->world->now;
}

static uint32_t outlet_random(void *context)
{
	return g_rand_int(((vm_t *)context)->random);
}

static void outlet_peer(void *context, const char *name, const char *host,
			uint16_t port, const kl_peer_message_t *message)
{
	vm_t *vm = context;
	world_t *world = vm->world;
	int copies = 1;
	(void)name;
	(void)host;

	vm->messages++;
	vm->message_bytes += size_of(message);
	if (g_rand_int_range(world->random, 0, 100) < world->loss_percent)
		copies = 0;
	else if (g_rand_int_range(world->random, 0, 100) <
		 world->double_percent)
		copies = 2;
	while (copies--) {
		happening_t *happening = g_new0(happening_t, 1);
		uint64_t delay = world->delay_us;

		if (world->jitter_us)
			delay += g_rand_int(world->random) % world->jitter_us;
		happening->kind = HAPPENING_PEER;
		happening->vm = g_ptr_array_index(world->vms, port - 1u);
		happening->from_side = vm->side;
		happening->peer = *message;
		strcpy(happening->peer.hello.host, "10.0.0.1");
		happening->peer.hello.port = (uint16_t)vm->number;
		CK_STAILQ_INIT(&happening->objects);
		CK_STAILQ_INIT(&happening->peer.delta.objects);
		if (message->kind == KL_PEER_DELTA)
			copy_objects(&happening->peer.delta.objects,
				     &message->delta.objects);
		world_happen(world, happening, delay);
	}
}

static void outlet_platform(void *context, const kl_platform_call_t *call)
{
	vm_t *vm = context;
	happening_t *happening = g_new0(happening_t, 1);

	vm->calls++;
	happening->kind = HAPPENING_PLATFORM_ASK;
	happening->vm = vm;
	happening->incarnation = vm->node.self.incarnation;
	happening->call = *call;
	happening->body = g_strdup(call->body);
	CK_STAILQ_INIT(&happening->objects);
	CK_STAILQ_INIT(&happening->peer.delta.objects);
	world_happen(vm->world, happening, PLATFORM_US);
}

static void outlet_database(void *context, const kl_database_call_t *call)
{
	vm_t *vm = context;
	happening_t *happening = g_new0(happening_t, 1);

	vm->database_calls++;
	happening->kind = HAPPENING_DATABASE_ASK;
	happening->vm = vm;
	happening->incarnation = vm->node.self.incarnation;
	happening->database.call = *call;
	CK_STAILQ_INIT(&happening->objects);
	CK_STAILQ_INIT(&happening->peer.delta.objects);
	world_happen(vm->world, happening, DATABASE_US);
}

static void outlet_decided(void *context, const kl_decision_t *decision)
{
	vm_t *vm = context;
	world_t *world = vm->world;

	if (!world->out)
		return;
	fprintf(world->out, "%s: %s %s%s%s %s term %llu\n", vm->name,
		decision->name, decision->service ? decision->service : "",
		decision->upstream ? " " : "",
		decision->upstream ? decision->upstream : "",
		decision->reason ? decision->reason : "",
		(unsigned long long)decision->term);
}

void world_happen(world_t *world, happening_t *happening, uint64_t in_us)
{
	happening->at = world->now + in_us;
	happening->order = world->order++;
	g_sequence_insert_sorted(world->events, happening, earlier, NULL);
}

static gint earlier(gconstpointer a, gconstpointer b, gpointer data)
{
	const happening_t *first = a;
	const happening_t *second = b;
	(void)data;

	if (first->at != second->at)
		return first->at < second->at ? -1 : 1;
	return first->order < second->order ? -1 : 1;
}

static void arrive(world_t *world, happening_t *happening)
{
	vm_t *vm = happening->vm;
	bool late = happening->kind != HAPPENING_PEER &&
		    (!vm->up ||
		     vm->node.self.incarnation != happening->incarnation);

	switch (happening->kind) {
	case HAPPENING_PLATFORM_ASK:
		world_platform_asked(world, happening);
		return;
	case HAPPENING_DATABASE_ASK:
		world_database_asked(world, happening);
		return;
	case HAPPENING_PEER:
		late |= !vm->up || vm->side != happening->from_side;
		break;
	default:
		break;
	}
	if (late) {
		happening_free(happening);
	} else if (vm->frozen) {
		g_queue_push_tail(&vm->held, happening);
	} else {
		step_vm(vm, happening);
		happening_free(happening);
	}
}

static void step_vm(vm_t *vm, happening_t *happening)
{
	kl_event_t event = { .peer = &happening->peer,
			     .platform = &happening->answer,
			     .database = &happening->database };

	happening->answer.objects = &happening->objects;
	event.kind = happening->kind == HAPPENING_PEER ? KL_EVENT_PEER
		     : happening->kind == HAPPENING_PLATFORM
			     ? KL_EVENT_PLATFORM
			     : KL_EVENT_DATABASE;
	kl_node_step(&vm->node, &event);
}

static void tick(world_t *world)
{
	uint64_t elapsed = world->now - world->ticked_us;
	kl_event_t event = { .kind = KL_EVENT_TICK };

	world->ticked_us = world->now;
	world_replicate(world);
	if (world->promotes) {
		world_finish_promotions(world);
		world_tell_traffic(world);
	}
	if (!world->quiet && world->now - world->interest_us >= KL_SEC) {
		world->interest_us = world->now;
		world_tell_interest(world);
	}
	for (guint i = 0; i < world->loads->len; i++)
		world_run_load(g_ptr_array_index(world->loads, i), elapsed);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (vm->up && !vm->frozen)
			kl_node_step(&vm->node, &event);
	}
}

static void happening_free(happening_t *happening)
{
	kl_object_list_clear(&happening->objects);
	kl_object_list_clear(&happening->peer.delta.objects);
	g_free(happening->body);
	g_free(happening);
}

static void copy_objects(kl_object_list_t *to, const kl_object_list_t *from)
{
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, from, link) {
		kl_object_t *copy = kl_object_new(
			object->name.name, object->version, object->body);

		CK_STAILQ_INSERT_TAIL(to, copy, link);
	}
}

/* About the bytes that the message has on the wire. */
static size_t size_of(const kl_peer_message_t *message)
{
	const kl_object_t *object;
	size_t size = 132;

	if (message->kind != KL_PEER_DELTA)
		return size;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link)
		size += 24 + strlen(object->name.name) + strlen(object->body);
	return size;
}
