/*
 * Statements that VMs send to a database with execution slots, through their
 * accounts of permits.  A VM's worker is reduced to what concerns permits.
 */
#include <stdlib.h>
#include <string.h>

#include "board/permit.h"
#include "tests/world_internal.h"

#define DB_DELAY_US 200	 /* one way between a VM and a database */
#define WAKE_DELAY_US 20 /* between the threads of a VM */
#define DB_QUEUE_MAX 32	 /* statements queued in a database */
#define OBJECTIVE_US (150 * KL_MS)
#define DEADLINE_US (800 * KL_MS) /* a VM refuses what waited for longer */

/** A statement of a VM. */
typedef struct stmt {
	world_gate_t *gate;
	uint64_t incarnation; /**< of the process that took it */
	uint64_t arrived_us;
	uint64_t sent_us;
	uint32_t level;
	bool busy; /**< refused by the database */
} stmt_t;

static void arrive(world_t *world, void *data);
static void serve(world_t *world, void *data);
static void tell_control(world_t *world, void *data);
static void reach_db(world_t *world, void *data);
static void finish_in_db(world_t *world, void *data);
static void answer(world_t *world, void *data);
static void begin_in_db(world_t *world, stmt_t *stmt);
static bool send_one(world_gate_t *gate, uint32_t level);
static kl_permit_account_t *find_account(world_gate_t *gate);
static void publish_use(world_gate_t *gate);
static void account_time(world_t *world, db_t *db);
static void call_later(world_t *world, uint64_t delay_us,
		       void (*run)(world_t *world, void *data), void *data);
static bool is_running(const vm_t *vm);

world_gate_t *world_find_gate(world_t *world, vm_t *vm, db_t *db)
{
	world_gate_t *gate;

	for (guint i = 0; i < world->gates->len; i++) {
		gate = g_ptr_array_index(world->gates, i);
		if (gate->vm == vm && gate->db == db)
			return gate;
	}
	gate = g_new0(world_gate_t, 1);
	gate->vm = vm;
	gate->db = db;
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		g_queue_init(&gate->waiting[i]);
	g_ptr_array_add(world->gates, gate);
	return gate;
}

void world_offer(world_t *world, vm_t *vm, db_t *db, double rate,
		 uint32_t level)
{
	world_gate_t *gate = world_find_gate(world, vm, db);
	bool was_idle = gate->rate[level] <= 0;

	gate->rate[level] = rate;
	if (!was_idle || rate <= 0)
		return;
	gate->arrivals[level].gate = gate;
	gate->arrivals[level].level = level;
	call_later(world,
		   (uint64_t)(g_rand_double(world->random) * KL_SEC / rate),
		   arrive, &gate->arrivals[level]);
}

void world_reset_slot_counts(world_t *world, db_t *db)
{
	account_time(world, db);
	memset(&db->slot_counts, 0, sizeof(db->slot_counts));
	db->counted_since_us = world->now_us;
}

void world_free_gate(world_gate_t *gate)
{
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		g_queue_clear(&gate->waiting[i]);
	g_free(gate);
}

/* A statement arrives at a VM, which is the first of a new operation. */
static void arrive(world_t *world, void *data)
{
	world_arrival_t *arrival = data;
	world_gate_t *gate = arrival->gate;
	double rate = gate->rate[arrival->level];
	stmt_t *stmt;

	if (rate <= 0)
		return;
	call_later(world,
		   (uint64_t)(2 * g_rand_double(world->random) * KL_SEC / rate),
		   arrive, arrival);
	if (!is_running(gate->vm))
		return;
	stmt = g_new0(stmt_t, 1);
	g_ptr_array_add(world->stmts, stmt);
	stmt->gate = gate;
	stmt->level = arrival->level;
	stmt->arrived_us = world->now_us;
	stmt->incarnation = gate->vm->node.self.incarnation;
	account_time(world, gate->db);
	gate->db->waiting++;
	g_queue_push_tail(&gate->waiting[arrival->level], stmt);
	serve(world, gate);
}

/* Sends what may be sent, as a worker does at the end of an event. */
static void serve(world_t *world, void *data)
{
	world_gate_t *gate = data;

	if (!is_running(gate->vm))
		return;
	if (gate->incarnation != gate->vm->node.self.incarnation) {
		gate->incarnation = gate->vm->node.self.incarnation;
		gate->running = 0;
	}
	account_time(world, gate->db);
	for (uint32_t level = 0; level < KL_PERMIT_LEVELS; level++) {
		GQueue *queue = &gate->waiting[level];
		stmt_t *stmt;

		while ((stmt = g_queue_peek_head(queue)) &&
		       (world->now_us - stmt->arrived_us > DEADLINE_US ||
			stmt->incarnation != gate->incarnation)) {
			g_queue_pop_head(queue);
			gate->db->waiting--;
			gate->db->slot_counts.dropped++;
		}
		while (queue->length && send_one(gate, level))
			;
		if (queue->length)
			break;
	}
	publish_use(gate);
}

/* @return whether a statement was sent */
static bool send_one(world_gate_t *gate, uint32_t level)
{
	world_t *world = gate->vm->world;
	kl_permit_account_t *account = find_account(gate);
	stmt_t *stmt;

	if (account && !kl_permit_take(account, level, world->now_us))
		return false;
	stmt = g_queue_pop_head(&gate->waiting[level]);
	gate->db->waiting--;
	gate->running++;
	stmt->sent_us = world->now_us;
	call_later(world, DB_DELAY_US, reach_db, stmt);
	return true;
}

static void publish_use(world_gate_t *gate)
{
	world_t *world = gate->vm->world;
	kl_permit_account_t *account = find_account(gate);
	kl_permit_use_t use = { .running = gate->running };

	if (!account)
		return;
	if (kl_permit_is_needed(account, world->now_us)) {
		for (int i = 0; i < KL_PERMIT_LEVELS; i++)
			use.wanted[i] = gate->waiting[i].length;
	}
	if (!kl_permit_set_use(account, &use) ||
	    !kl_permit_is_needed(account, world->now_us) ||
	    gate->vm->permits_told)
		return;
	gate->vm->permits_told = true;
	call_later(world, WAKE_DELAY_US, tell_control, gate->vm);
}

static void tell_control(world_t *world, void *data)
{
	vm_t *vm = data;
	kl_event_t event = { .kind = KL_EVENT_PERMITS };
	(void)world;

	vm->permits_told = false;
	if (is_running(vm))
		kl_node_step(&vm->node, &event);
}

void world_permits_changed(vm_t *vm)
{
	for (guint i = 0; i < vm->world->gates->len; i++) {
		world_gate_t *gate = g_ptr_array_index(vm->world->gates, i);

		if (gate->vm == vm)
			call_later(vm->world, WAKE_DELAY_US, serve, gate);
	}
}

static void reach_db(world_t *world, void *data)
{
	stmt_t *stmt = data;
	db_t *db = stmt->gate->db;

	account_time(world, db);
	if (db->busy_slots < db->slots) {
		begin_in_db(world, stmt);
	} else if (db->queue.length < DB_QUEUE_MAX) {
		g_queue_push_tail(&db->queue, stmt);
	} else {
		stmt->busy = true;
		db->slot_counts.busy++;
		call_later(world, DB_DELAY_US, answer, stmt);
	}
}

/* Between half and one and a half times the mean work. */
static void begin_in_db(world_t *world, stmt_t *stmt)
{
	db_t *db = stmt->gate->db;
	double part = 0.5 + g_rand_double(world->random);

	db->busy_slots++;
	call_later(world, (uint64_t)(part * (double)db->work_us), finish_in_db,
		   stmt);
}

static void finish_in_db(world_t *world, void *data)
{
	stmt_t *stmt = data;
	db_t *db = stmt->gate->db;

	account_time(world, db);
	db->busy_slots--;
	db->slot_counts.served++;
	if (stmt->level < KL_PERMIT_LEVELS)
		db->slot_counts.served_by_level[stmt->level]++;
	if (db->queue.length)
		begin_in_db(world, g_queue_pop_head(&db->queue));
	call_later(world, DB_DELAY_US, answer, stmt);
}

static void answer(world_t *world, void *data)
{
	stmt_t *stmt = data;
	world_gate_t *gate = stmt->gate;
	kl_permit_account_t *account;

	if (is_running(gate->vm) && stmt->incarnation == gate->incarnation) {
		account = find_account(gate);
		gate->running--;
		gate->served += !stmt->busy;
		if (account)
			kl_permit_count_answer(account, world->now_us,
					       world->now_us - stmt->sent_us,
					       OBJECTIVE_US, stmt->busy);
		serve(world, gate);
	}
}

static kl_permit_account_t *find_account(world_gate_t *gate)
{
	const kl_permits_t *permits =
		kl_node_get(&gate->vm->node, KL_SECTION_PERMITS);
	char *name =
		g_strdup_printf("%s/%s", gate->db->service, gate->db->name);
	kl_permit_account_t *account =
		permits ? kl_index_get(permits->index, name) : NULL;

	g_free(name);
	return account;
}

/* Adds the time since the last change to the sums of a database. */
static void account_time(world_t *world, db_t *db)
{
	uint64_t elapsed_us = world->now_us - db->changed_us;
	uint32_t idle = db->slots - db->busy_slots;

	db->changed_us = world->now_us;
	if (idle > db->waiting)
		idle = db->waiting;
	db->slot_counts.queued_us += db->queue.length * elapsed_us;
	db->slot_counts.idle_us += idle * elapsed_us;
}

static void call_later(world_t *world, uint64_t delay_us,
		       void (*run)(world_t *world, void *data), void *data)
{
	world_event_t *event = g_new0(world_event_t, 1);

	event->kind = WORLD_EVENT_CALL;
	event->run = run;
	event->run_data = data;
	CK_STAILQ_INIT(&event->answer_objects);
	CK_STAILQ_INIT(&event->peer_message.delta.objects);
	world_schedule(world, event, delay_us);
}

static bool is_running(const vm_t *vm)
{
	return vm->up && !vm->frozen;
}
