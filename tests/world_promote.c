/*
 * The fakes where the platform promotes: feeds instead of one list, databases
 * that register themselves, promotions as calls of the platform, and VMs that
 * hear from their callers which databases fail.
 */
#include <stdio.h>
#include <string.h>

#include "tests/world_internal.h"

#define PROMOTE_US (600 * KL_MS) /* before the new primary leads */
#define BROKEN_US (300 * KL_MS)	 /* callers notice a silent primary */

static void register_database(world_t *world, const db_t *db, guint number);
static bool reaches(const vm_t *vm, const db_t *db);

void world_promotes(world_t *world)
{
	world->promotes = true;
	world->tuning.feed_count = KL_FEED_COUNT;
	world->tuning.platform_promotes = true;
	world->tuning.watchers_per_domain = 1;
}

kl_feed_t world_feed(const world_t *world, const char *name)
{
	static const struct {
		const char *prefix;
		kl_feed_t feed;
	} rows[] = {
		{ "group/", KL_FEED_TERMS },	    { "vm/", KL_FEED_TERMS },
		{ "slot/", KL_FEED_SLOTS },	    { "mark/", KL_FEED_MARKS },
		{ "upstream/", KL_FEED_UPSTREAMS },
	};

	for (size_t i = 0; world->promotes && i < sizeof(rows) / sizeof(*rows);
	     i++)
		if (!strncmp(name, rows[i].prefix, strlen(rows[i].prefix)))
			return rows[i].feed;
	return world->promotes ? KL_FEED_CONFIG : KL_FEED_TERMS;
}

void world_register(world_t *world, const char *service)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, service))
			register_database(world, db, i);
	}
}

static void register_database(world_t *world, const db_t *db, guint number)
{
	char name[2 * KL_NAME_MAX];
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"host\":\"10.0.0.2\",\"port\":%u,"
		"\"domain\":\"%s\",\"leaving\":%s,\"primary\":%s}",
		db->service, number + 1, db->domain,
		db->leaving ? "true" : "false", db->primary ? "true" : "false");

	snprintf(name, sizeof(name), "upstream/%s", db->name);
	world_put(world, name, body);
	g_free(body);
}

/* The token must never fall, and no two VMs may use the same one. */
int world_promote(world_t *world, const vm_t *vm, const char *name,
		  uint64_t token)
{
	db_t *db = world_db_of(world, name);

	if (!db || !db->up)
		return -KL_E_CONFLICT;
	if (token < db->token ||
	    (token == db->token && strcmp(db->token_holder, vm->name))) {
		world->violations++;
		if (world->out)
			fprintf(world->out, "token %llu of %s after %llu\n",
				(unsigned long long)token, vm->name,
				(unsigned long long)db->token);
	}
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *other = g_ptr_array_index(world->dbs, i);

		if (strcmp(other->service, db->service))
			continue;
		other->token = token;
		kl_name_set(other->token_holder, vm->name);
	}
	if (db->primary) {
		/* Here a database's term is that of the newest order. */
		db->term = token;
		db->sealed = token;
	} else if (!db->promoted_us) {
		db->promoted_us = world->now + PROMOTE_US;
		db->promoted_term = token;
	}
	return 0;
}

void world_finish_promotions(world_t *world)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!db->promoted_us || world->now < db->promoted_us)
			continue;
		db->promoted_us = 0;
		if (!db->up)
			continue;
		db->primary = true;
		db->term = db->promoted_term;
		db->sealed = db->term;
		register_database(world, db, i);
	}
}

/* What its callers meet at the primaries, for each VM. */
void world_tell_traffic(world_t *world)
{
	for (guint v = 0; v < world->vms->len; v++) {
		vm_t *vm = g_ptr_array_index(world->vms, v);

		for (guint i = 0; i < world->dbs->len; i++) {
			const db_t *db = g_ptr_array_index(world->dbs, i);
			kl_passive_check_t traffic = { .service = db->service,
						       .upstream = db->name };
			kl_event_t event = { .kind = KL_EVENT_PASSIVE_CHECK,
					     .passive_check = &traffic };

			if (!vm->up || vm->frozen || i >= WORLD_DBS)
				continue;
			if (reaches(vm, db))
				vm->failing_us[i] = 0;
			else if (!vm->failing_us[i])
				vm->failing_us[i] = world->now;
			if (vm->failing_us[i] &&
			    world->now - vm->failing_us[i] < BROKEN_US)
				continue;
			traffic.failing_since_us = vm->failing_us[i];
			kl_node_step(&vm->node, &event);
		}
	}
}

static bool reaches(const vm_t *vm, const db_t *db)
{
	return db->up && db->side == vm->side;
}
