/* The simulated cluster: VMs, the event queue and the clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/group_record.h"
#include "tests/world_internal.h"

static void crash_on_group_state(world_t *world, const char *name,
				 const char *body);
static gint compare_events(gconstpointer a, gconstpointer b, gpointer data);
static void deliver_event(world_t *world, world_event_t *event);
static void handle_event(vm_t *vm, world_event_t *event);
static void run_tick(world_t *world);
static void event_free(world_event_t *event);

world_t *world_new(uint32_t seed)
{
	world_t *world = g_new0(world_t, 1);

	world->now_us = 1000 * KL_SEC;
	world->vms = g_ptr_array_new();
	world->dbs = g_ptr_array_new();
	world->workloads = g_ptr_array_new();
	world->gates = g_ptr_array_new();
	world->stmts = g_ptr_array_new_with_free_func(g_free);
	world->pending_writes = g_ptr_array_new_with_free_func(g_free);
	world->events = g_sequence_new(NULL);
	world->random = g_rand_new_with_seed(seed);
	world->objects = g_hash_table_new(g_str_hash, g_str_equal);
	world->peer_delay_us = 1500;
	world->tick_interval_us = 10 * KL_MS;
	world->last_tick_at_us = world->now_us;
	world->admission_timeout_us = 200 * KL_MS;
	kl_tuning_default(&world->tuning);
	world->data_path_settings.lease_us = world->tuning.lease_duration_us;
	world->data_path_settings.leave_us = 4 * KL_SEC;
	world->data_path_settings.read_wait_us = 150 * KL_MS;
	return world;
}

void world_free(world_t *world)
{
	GSequenceIter *event_iterator;
	GHashTableIter iterator;
	gpointer value;

	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (vm->node.board)
			kl_node_stop(&vm->node);
		while (vm->frozen_events.length)
			event_free(g_queue_pop_head(&vm->frozen_events));
		g_rand_free(vm->random);
		g_free(vm);
	}
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		g_array_free(db->log, TRUE);
		g_queue_clear(&db->queue);
		g_array_free(db->written_at_us, TRUE);
		g_free(db);
	}
	for (guint i = 0; i < world->workloads->len; i++) {
		workload_t *workload = g_ptr_array_index(world->workloads, i);

		g_queue_clear(&workload->queued_arrivals_ms);
		g_free(workload);
	}
	for (guint i = 0; i < world->gates->len; i++)
		world_free_gate(g_ptr_array_index(world->gates, i));
	for (event_iterator = g_sequence_get_begin_iter(world->events);
	     !g_sequence_iter_is_end(event_iterator);
	     event_iterator = g_sequence_iter_next(event_iterator))
		event_free(g_sequence_get(event_iterator));
	g_hash_table_iter_init(&iterator, world->objects);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		kl_object_free(value);
	g_hash_table_destroy(world->objects);
	g_sequence_free(world->events);
	g_ptr_array_free(world->vms, TRUE);
	g_ptr_array_free(world->dbs, TRUE);
	g_ptr_array_free(world->workloads, TRUE);
	g_ptr_array_free(world->gates, TRUE);
	g_ptr_array_free(world->stmts, TRUE);
	g_ptr_array_free(world->pending_writes, TRUE);
	g_rand_free(world->random);
	g_free(world);
}

vm_t *world_add_vm(world_t *world, const char *name, const char *domain)
{
	vm_t *vm = g_new0(vm_t, 1);

	vm->world = world;
	kl_name_copy(vm->name, name);
	kl_name_copy(vm->domain, domain);
	vm->port = (int)world->vms->len + 1;
	vm->random = g_rand_new_with_seed(g_rand_int(world->random));
	g_queue_init(&vm->frozen_events);
	g_ptr_array_add(world->vms, vm);
	if (!world->platform_promotes)
		world_register_vm(vm, "live");
	world_start_vm(vm);
	return vm;
}

void world_start_vm(vm_t *vm)
{
	kl_node_t *node = &vm->node;
	const vm_t *first = g_ptr_array_index(vm->world->vms, 0);

	if (node->board)
		kl_node_stop(node); /* the process has crashed */
	memset(node, 0, sizeof(*node));
	kl_name_copy(node->self.vm, vm->name);
	kl_name_copy(node->self.domain, vm->domain);
	strcpy(node->self.host, "10.0.0.1");
	node->self.port = (uint16_t)vm->port;
	node->self.incarnation = vm->world->now_us;
	node->tuning = vm->world->tuning;
	node->ops = &world_node_ops;
	node->ops_context = vm;
	CK_SLIST_INIT(&node->seeds);
	if (first != vm) {
		static kl_seed_t seed;

		strcpy(seed.host, "10.0.0.1");
		seed.port = (uint16_t)first->port;
		CK_SLIST_INSERT_HEAD(&node->seeds, &seed, link);
	}
	if (kl_node_start(node))
		abort();
	vm->up = true;
	vm->frozen = false;
}

void world_kill_vm(vm_t *vm)
{
	kl_node_stop(&vm->node);
	vm->up = false;
	while (vm->frozen_events.length)
		event_free(g_queue_pop_head(&vm->frozen_events));
}

void world_thaw_vm(vm_t *vm)
{
	vm->frozen = false;
	while (vm->frozen_events.length) {
		world_event_t *event = g_queue_pop_head(&vm->frozen_events);

		handle_event(vm, event);
		event_free(event);
	}
}

void world_register_vm(vm_t *vm, const char *state)
{
	char name[KL_NAME_MAX * 2];
	char *body = g_strdup_printf("{\"domain\":\"%s\",\"host\":\"10.0.0.1\""
				     ",\"port\":%d,\"state\":\"%s\"}",
				     vm->domain, vm->port, state);

	snprintf(name, sizeof(name), "vm/%s", vm->name);
	world_put_object(vm->world, name,
			 strcmp(state, "gone") ? body : "null");
	g_free(body);
}

db_t *world_add_db(world_t *world, const char *service, const char *name,
		   const char *domain)
{
	db_t *db = g_new0(db_t, 1);

	kl_name_copy(db->service, service);
	kl_name_copy(db->name, name);
	kl_name_copy(db->domain, domain);
	db->up = true;
	db->is_primary = !world_current_primary(world, service);
	db->term = 1;
	db->min_accepted_term = 1;
	db->log = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	db->written_at_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	db->lag_us = 20 * KL_MS;
	g_ptr_array_add(world->dbs, db);
	return db;
}

void world_put_service(world_t *world, const char *service, int conn_limit)
{
	GString *body = g_string_new("{\"upstreams\":[");
	char name[KL_NAME_MAX * 2];
	bool first = true;

	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (strcmp(db->service, service) || world->platform_promotes)
			continue;
		g_string_append_printf(
			body,
			"%s{\"name\":\"%s\",\"host\":\"10.0.0.2\","
			"\"port\":%u,\"domain\":\"%s\"}",
			first ? "" : ",", db->name, i + 1, db->domain);
		first = false;
	}
	g_string_append_printf(body, "],\"connections\":%d}", conn_limit);
	snprintf(name, sizeof(name), "service/%s", service);
	world_put_object(world, name, body->str);
	g_string_free(body, TRUE);
	if (world->platform_promotes)
		world_register_databases(world, service);
}

/* Crashes crash_target when a stored group record has crash_on_state. */
static void crash_on_group_state(world_t *world, const char *name,
				 const char *body)
{
	vm_t *vm = world_find_vm(world, world->crash_target);
	db_t *db = world_find_db(world, world->crash_target);

	if (!world->crash_on_state[0] || strncmp(name, "group/", 6) ||
	    !strstr(body, world->crash_on_state))
		return;
	world->crash_on_state[0] = '\0';
	if (vm)
		vm->up = false; /* world_free() stops the node */
	if (db)
		db->up = false;
}

void world_put_object(world_t *world, const char *name, const char *body)
{
	kl_object_t *old = g_hash_table_lookup(world->objects, name);
	kl_object_t *new = kl_object_new(name, ++world->revision, body);

	g_hash_table_replace(world->objects, new->name.name, new);
	kl_object_free(old);
	crash_on_group_state(world, name, body);
	if (world->platform_promotes && !strncmp(name, "group/", 6))
		world_adopt_record_term(world, name + 6);
}

void world_run(world_t *world, uint64_t duration_us)
{
	uint64_t end_us = world->now_us + duration_us;

	for (;;) {
		GSequenceIter *iterator =
			g_sequence_get_begin_iter(world->events);
		world_event_t *next = g_sequence_iter_is_end(iterator)
					      ? NULL
					      : g_sequence_get(iterator);
		uint64_t next_tick_us =
			world->last_tick_at_us + world->tick_interval_us;

		if ((!next || next->due_at_us > next_tick_us) &&
		    next_tick_us <= end_us) {
			world->now_us = next_tick_us;
			run_tick(world);
			continue;
		}
		if (!next || next->due_at_us > end_us)
			break;
		if (next->due_at_us > world->now_us)
			world->now_us = next->due_at_us;
		g_sequence_remove(iterator);
		deliver_event(world, next);
	}
	world->now_us = end_us;
}

vm_t *world_find_vm(world_t *world, const char *name)
{
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

db_t *world_find_db(world_t *world, const char *name)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->name, name))
			return db;
	}
	return NULL;
}

const kl_group_t *world_vm_group(vm_t *vm, const char *service)
{
	const kl_terms_t *terms = kl_node_get(&vm->node, KL_SECTION_TERMS);

	return terms ? kl_index_get(terms->index, service) : NULL;
}

kl_group_t world_group_record(world_t *world, const char *service)
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

void world_load_view(vm_t *vm, kl_view_t *view)
{
	kl_view_load(view, vm->node.reader, vm->world->now_us);
}

void world_schedule(world_t *world, world_event_t *event, uint64_t delay_us)
{
	event->due_at_us = world->now_us + delay_us;
	event->order = world->next_event_order++;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const world_event_t *first = a;
	const world_event_t *second = b;
	(void)data;

	if (first->due_at_us != second->due_at_us)
		return first->due_at_us < second->due_at_us ? -1 : 1;
	return first->order < second->order ? -1 : 1;
}

/*
 * Calls run even if the process that sent them has ended.  Answers to such a
 * process and peer messages across a partition are dropped.
 */
static void deliver_event(world_t *world, world_event_t *event)
{
	vm_t *vm = event->vm;
	bool dropped;

	if (event->kind == WORLD_EVENT_CALL) {
		event->run(world, event->run_data);
		event_free(event);
		return;
	}
	dropped = event->kind != WORLD_EVENT_PEER_MESSAGE &&
		  (!vm->up ||
		   vm->node.self.incarnation != event->sender_incarnation);

	switch (event->kind) {
	case WORLD_EVENT_PLATFORM_CALL:
		world_handle_platform_call(world, event);
		return;
	case WORLD_EVENT_DATABASE_CALL:
		world_handle_database_call(world, event);
		return;
	case WORLD_EVENT_PEER_MESSAGE:
		dropped |= !vm->up || vm->peers_cut ||
			   vm->partition != event->sender_partition;
		break;
	default:
		break;
	}
	if (dropped) {
		event_free(event);
	} else if (vm->frozen) {
		g_queue_push_tail(&vm->frozen_events, event);
	} else {
		handle_event(vm, event);
		event_free(event);
	}
}

static void handle_event(vm_t *vm, world_event_t *event)
{
	kl_event_t node_event = { .peer = &event->peer_message,
				  .platform = &event->platform_answer,
				  .database = &event->database_answer };

	event->platform_answer.objects = &event->answer_objects;
	node_event.kind = event->kind == WORLD_EVENT_PEER_MESSAGE
				  ? KL_EVENT_PEER
			  : event->kind == WORLD_EVENT_PLATFORM_ANSWER
				  ? KL_EVENT_PLATFORM
				  : KL_EVENT_DATABASE;
	kl_node_step(&vm->node, &node_event);
}

static void run_tick(world_t *world)
{
	uint64_t elapsed_us = world->now_us - world->last_tick_at_us;
	kl_event_t node_event = { .kind = KL_EVENT_TICK };

	world->last_tick_at_us = world->now_us;
	world_replicate(world);
	if (world->platform_promotes) {
		world_complete_promotions(world);
		world_report_passive_checks(world);
	}
	if (!world->services_unused &&
	    world->now_us - world->last_service_use_at_us >= KL_SEC) {
		world->last_service_use_at_us = world->now_us;
		world_report_service_use(world);
	}
	for (guint i = 0; i < world->workloads->len; i++)
		world_run_workload(g_ptr_array_index(world->workloads, i),
				   elapsed_us);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		if (vm->up && !vm->frozen)
			kl_node_step(&vm->node, &node_event);
	}
}

static void event_free(world_event_t *event)
{
	kl_object_list_clear(&event->answer_objects);
	kl_object_list_clear(&event->peer_message.delta.objects);
	g_free(event->call_body);
	g_free(event);
}
