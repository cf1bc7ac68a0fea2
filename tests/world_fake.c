/* The simulated platform's object store, and the simulated databases. */
#include <stdio.h>
#include <string.h>

#include "control/store_era.h"
#include "tests/world_internal.h"

/* A watch that waits looks for changes so often. */
#define WATCH_POLL_US (50 * KL_MS)

static uint64_t silent_call_us(const kl_platform_call_t *call);
static uint64_t watch_us(const kl_platform_call_t *call);
static uint64_t stored_version(const world_t *world, const kl_object_t *object);
static void list_changed_objects(world_t *world, const kl_platform_call_t *call,
				 kl_object_list_t *list);
static void run_database_call(db_t *db, world_t *world,
			      const kl_database_call_t *call);
static void follow_primary(world_t *world, db_t *db, db_t *primary);

void world_handle_platform_call(world_t *world, world_event_t *event)
{
	const kl_platform_call_t *call = &event->platform_call;
	kl_platform_answer_t *answer = &event->platform_answer;
	const kl_object_t *object =
		g_hash_table_lookup(world->objects, call->name);
	uint64_t delay_us = PLATFORM_DELAY_US;

	answer->op = call->op;
	answer->owner = call->owner;
	answer->call_sent_us = call->sent_us;
	answer->feed = call->feed;
	kl_name_copy(answer->name, call->name);
	event->kind = WORLD_EVENT_PLATFORM_ANSWER;
	if (event->vm->silent_feeds >> call->feed & 1 &&
	    (call->op == KL_PLATFORM_LIST || call->op == KL_PLATFORM_WATCH)) {
		answer->error = -KL_E_UNAVAILABLE;
		world_schedule(world, event, silent_call_us(call));
		return;
	}
	if ((event->vm->refused &&
	     world->now_us - call->sent_us < WATCH_POLL_US) ||
	    (call->op == KL_PLATFORM_WATCH &&
	     call->sent_us <= world->watches_cut_us)) {
		answer->error = -KL_E_UNAVAILABLE;
		world_schedule(world, event, PLATFORM_DELAY_US);
		return;
	}
	if (world->platform_down || event->vm->platform_cut ||
	    event->vm->partition != world->platform_partition) {
		answer->error = -KL_E_UNAVAILABLE;
		world_schedule(world, event, CALL_TIMEOUT_US);
		return;
	}
	if (call->op == KL_PLATFORM_PROMOTE) {
		answer->error = world_promote_database(
			world, event->vm, event->call_body, call->version);
	} else if (call->op == KL_PLATFORM_REPORT_USAGE) {
		answer->error =
			world_receive_report(world, event->vm, call->window,
					     call->version, event->call_body);
		if (answer->error)
			delay_us = CALL_TIMEOUT_US;
	} else if (call->op == KL_PLATFORM_PUT) {
		world->platform_writes++;
		if (stored_version(world, object) != call->version) {
			answer->error = -KL_E_CONFLICT;
		} else {
			world_put_object(world, call->name, event->call_body);
			world_report_stored(world, event->vm, call->name,
					    event->call_body);
			if (world->put_answers_to_lose > 0) {
				world->put_answers_to_lose--;
				answer->error = -KL_E_UNAVAILABLE;
				delay_us = CALL_TIMEOUT_US;
			}
		}
	} else if (call->op == KL_PLATFORM_WATCH &&
		   call->since_revision > world->revision) {
		world->platform_reads++;
		answer->error = -KL_E_STALE_CONFIG;
	} else {
		world->platform_reads++;
		list_changed_objects(world, call, &event->answer_objects);
		/* A watch without changes is tried again until it times out. */
		if (call->op == KL_PLATFORM_WATCH &&
		    CK_STAILQ_EMPTY(&event->answer_objects) &&
		    (world->platform_promotes ||
		     call->since_revision >= world->revision) &&
		    world->now_us - call->sent_us < watch_us(call)) {
			event->kind = WORLD_EVENT_PLATFORM_CALL;
			world->platform_reads--;
			world_schedule(world, event, WATCH_POLL_US);
			return;
		}
		answer->is_full_list = world->platform_promotes &&
				       call->op == KL_PLATFORM_LIST;
	}
	answer->revision = world->revision;
	answer->era = world->era;
	answer->objects = &event->answer_objects;
	kl_store_era_add(answer);
	/* Jitter lets answers overtake each other. */
	if (world->jitter_us)
		delay_us += g_rand_int(world->random) % world->jitter_us;
	world_schedule(world, event, delay_us);
}

/*
 * Version that an update must expect.  A platform with feeds forgets an object
 * that is removed, so that it can only be created again.
 */
static uint64_t stored_version(const world_t *world, const kl_object_t *object)
{
	if (!object ||
	    (world->platform_promotes && !strcmp(object->body, "null")))
		return 0;
	return object->version;
}

/* Longest wait of a watch without changes, as in the daemon. */
static uint64_t watch_us(const kl_platform_call_t *call)
{
	static const uint64_t short_watches_us[KL_FEED_COUNT] = {
		[KL_FEED_CONFIG] = 2500 * KL_MS,
		[KL_FEED_UPSTREAMS] = 4 * KL_SEC,
		[KL_FEED_MARKS] = 2500 * KL_MS,
	};

	return short_watches_us[call->feed] ? short_watches_us[call->feed]
					    : 10 * KL_SEC;
}

/*
 * Time after which a call without an answer ends, as in the daemon: the watches
 * of urgent feeds are short.
 */
static uint64_t silent_call_us(const kl_platform_call_t *call)
{
	static const uint64_t watches_us[KL_FEED_COUNT] = {
		[KL_FEED_CONFIG] = 3300 * KL_MS,
		[KL_FEED_UPSTREAMS] = 4800 * KL_MS,
		[KL_FEED_MARKS] = 3300 * KL_MS,
	};

	return call->op == KL_PLATFORM_WATCH && watches_us[call->feed]
		       ? watches_us[call->feed]
		       : SILENT_CALL_US;
}

static void list_changed_objects(world_t *world, const kl_platform_call_t *call,
				 kl_object_list_t *list)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->objects);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const kl_object_t *object = value;
		kl_object_t *copy, *entry, *before = NULL;

		if (object->version <= call->since_revision ||
		    world_feed_of_object(world, object->name.name) !=
			    call->feed ||
		    (world->platform_promotes && call->op == KL_PLATFORM_LIST &&
		     !strcmp(object->body, "null")))
			continue;
		copy = kl_object_new(object->name.name, object->version,
				     object->body);
		CK_STAILQ_FOREACH(entry, list, link) {
			if (entry->version > copy->version)
				break;
			before = entry;
		}
		if (before)
			CK_STAILQ_INSERT_AFTER(list, before, copy, link);
		else
			CK_STAILQ_INSERT_HEAD(list, copy, link);
	}
}

void world_handle_database_call(world_t *world, world_event_t *event)
{
	kl_database_answer_t *answer = &event->database_answer;
	db_t *db = g_ptr_array_index(world->dbs, answer->call.port - 1u);

	event->kind = WORLD_EVENT_DATABASE_ANSWER;
	if (!db->up || db->partition != event->vm->partition) {
		answer->error = -KL_E_UNAVAILABLE;
		world_schedule(world, event, CALL_TIMEOUT_US);
		return;
	}
	run_database_call(db, world, &answer->call);
	answer->reported_primary = db->is_primary;
	answer->term = db->term;
	answer->min_term = db->min_accepted_term;
	answer->position = db->log->len;
	world_schedule(world, event, DATABASE_DELAY_US);
}

static void run_database_call(db_t *db, world_t *world,
			      const kl_database_call_t *call)
{
	db_t *primary = world_current_primary(world, db->service);

	if (call->op == KL_DATABASE_SEAL &&
	    call->term > db->min_accepted_term) {
		db->min_accepted_term = call->term;
	} else if (call->op == KL_DATABASE_PROMOTE &&
		   call->term >= db->min_accepted_term &&
		   call->term >= db->term) {
		db->is_primary = true;
		db->term = call->term;
		db->min_accepted_term = call->term;
	} else if (call->op == KL_DATABASE_FOLLOW && primary && primary != db &&
		   primary->term == call->term &&
		   primary->partition == db->partition) {
		follow_primary(world, db, primary);
	}
}

void world_replicate(world_t *world)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);
		db_t *primary = world_current_primary(world, db->service);

		if (!primary || db == primary || db->is_primary || !db->up ||
		    !primary->up || db->partition != primary->partition ||
		    db->min_accepted_term > primary->term ||
		    db->term > primary->term)
			continue;
		if (db->term < primary->term)
			follow_primary(world, db, primary);
		while (db->log->len < primary->log->len) {
			guint next = db->log->len;
			uint64_t written_us = g_array_index(
				primary->written_at_us, uint64_t, next);

			if (written_us + db->lag_us > world->now_us)
				break;
			g_array_append_val(
				db->log,
				g_array_index(primary->log, uint64_t, next));
			g_array_append_val(db->written_at_us, written_us);
		}
	}
}

db_t *world_current_primary(world_t *world, const char *service)
{
	db_t *highest = NULL;

	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, service) && db->is_primary &&
		    (!highest || db->term > highest->term))
			highest = db;
	}
	return highest;
}

/* Becomes a replica; truncates its log where it differs from the primary. */
static void follow_primary(world_t *world, db_t *db, db_t *primary)
{
	bool was_primary = db->is_primary;
	guint common = 0;

	while (common < db->log->len && common < primary->log->len &&
	       g_array_index(db->log, uint64_t, common) ==
		       g_array_index(primary->log, uint64_t, common))
		common++;
	g_array_set_size(db->log, common);
	g_array_set_size(db->written_at_us, common);
	db->is_primary = false;
	db->term = primary->term;
	if (db->min_accepted_term < db->term)
		db->min_accepted_term = db->term;
	if (was_primary && world->platform_promotes)
		world_register_database(world, db);
}
