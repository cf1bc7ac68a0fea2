/* The fakes of the platform and of the databases. */
#include <stdio.h>
#include <string.h>

#include "tests/world_internal.h"

static void list_changed(world_t *world, const kl_platform_call_t *call,
			 kl_object_list_t *list);
static void run_control(db_t *db, world_t *world,
			const kl_database_call_t *call);
static void follow(db_t *db, db_t *source);

void world_platform_asked(world_t *world, happening_t *happening)
{
	const kl_platform_call_t *call = &happening->call;
	kl_platform_answer_t *answer = &happening->answer;
	const kl_object_t *object =
		g_hash_table_lookup(world->objects, call->name);
	uint64_t delay = PLATFORM_US;

	answer->op = call->op;
	answer->owner = call->owner;
	answer->call_sent_us = call->sent_us;
	answer->feed = call->feed;
	kl_name_set(answer->name, call->name);
	happening->kind = HAPPENING_PLATFORM;
	if (world->platform_down ||
	    happening->vm->side != world->platform_side) {
		answer->error = -KL_E_UNAVAILABLE;
		world_happen(world, happening, TIMEOUT_US);
		return;
	}
	if (call->op == KL_PLATFORM_PROMOTE) {
		answer->error = world_promote(world, happening->vm,
					      happening->body, call->version);
	} else if (call->op == KL_PLATFORM_PUT) {
		world->writes++;
		if ((object ? object->version : 0) != call->version) {
			answer->error = -KL_E_CONFLICT;
		} else {
			world_put(world, call->name, happening->body);
			if (world->lose > 0) {
				world->lose--;
				answer->error = -KL_E_UNAVAILABLE;
				delay = TIMEOUT_US;
			}
		}
	} else {
		world->reads++;
		/* A watch here looks again every so often. */
		if (call->op == KL_PLATFORM_WATCH &&
		    call->since_revision >= world->revision &&
		    world->now - call->sent_us < 10 * KL_SEC) {
			happening->kind = HAPPENING_PLATFORM_ASK;
			world->reads--;
			world_happen(world, happening, 50 * KL_MS);
			return;
		}
		list_changed(world, call, &happening->objects);
		answer->full = world->promotes && call->op == KL_PLATFORM_LIST;
	}
	answer->revision = world->revision;
	/* Answers overtake each other as messages do. */
	if (world->jitter_us)
		delay += g_rand_int(world->random) % world->jitter_us;
	world_happen(world, happening, delay);
}

static void list_changed(world_t *world, const kl_platform_call_t *call,
			 kl_object_list_t *list)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->objects);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const kl_object_t *object = value;
		kl_object_t *copy, *entry, *before = NULL;

		if (object->version <= call->since_revision ||
		    world_feed(world, object->name.name) != call->feed ||
		    (world->promotes && call->op == KL_PLATFORM_LIST &&
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

void world_database_asked(world_t *world, happening_t *happening)
{
	kl_database_answer_t *answer = &happening->database;
	db_t *db = g_ptr_array_index(world->dbs, answer->call.port - 1u);

	happening->kind = HAPPENING_DATABASE;
	if (!db->up || db->side != happening->vm->side) {
		answer->error = -KL_E_UNAVAILABLE;
		world_happen(world, happening, TIMEOUT_US);
		return;
	}
	run_control(db, world, &answer->call);
	answer->primary = db->primary;
	answer->term = db->term;
	answer->min_term = db->sealed;
	answer->position = db->log->len;
	world_happen(world, happening, DATABASE_US);
}

static void run_control(db_t *db, world_t *world,
			const kl_database_call_t *call)
{
	db_t *source = world_source_of(world, db->service);

	if (call->op == KL_DATABASE_SEAL && call->term > db->sealed) {
		db->sealed = call->term;
	} else if (call->op == KL_DATABASE_PROMOTE &&
		   call->term >= db->sealed && call->term >= db->term) {
		db->primary = true;
		db->term = call->term;
		db->sealed = call->term;
	} else if (call->op == KL_DATABASE_FOLLOW && source && source != db &&
		   source->term == call->term && source->side == db->side) {
		follow(db, source);
	}
}

void world_replicate(world_t *world)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);
		db_t *source = world_source_of(world, db->service);

		if (!source || db == source || db->primary || !db->up ||
		    !source->up || db->side != source->side ||
		    db->sealed > source->term || db->term > source->term)
			continue;
		if (db->term < source->term)
			follow(db, source);
		while (db->log->len < source->log->len) {
			guint next = db->log->len;
			uint64_t at = g_array_index(source->at, uint64_t, next);

			if (at + db->lag_us > world->now)
				break;
			g_array_append_val(
				db->log,
				g_array_index(source->log, uint64_t, next));
			g_array_append_val(db->at, at);
		}
	}
}

db_t *world_source_of(world_t *world, const char *service)
{
	db_t *best = NULL;

	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, service) && db->primary &&
		    (!best || db->term > best->term))
			best = db;
	}
	return best;
}

/* Drops what the source does not have. */
static void follow(db_t *db, db_t *source)
{
	guint same = 0;

	while (same < db->log->len && same < source->log->len &&
	       g_array_index(db->log, uint64_t, same) ==
		       g_array_index(source->log, uint64_t, same))
		same++;
	g_array_set_size(db->log, same);
	g_array_set_size(db->at, same);
	db->primary = false;
	db->term = source->term;
	if (db->sealed < db->term)
		db->sealed = db->term;
}
