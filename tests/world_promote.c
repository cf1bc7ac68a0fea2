/*
 * Simulation of a platform that promotes databases: objects come in feeds,
 * databases register themselves, promotion is a call of the platform, and VMs
 * learn of failed databases from their clients' requests.
 */
#include <stdio.h>
#include <string.h>

#include "tests/world_internal.h"

/* Time from a promotion call until the database is primary. */
#define PROMOTION_DURATION_US (600 * KL_MS)
/* A database must be unreachable this long before it is reported as failing. */
#define FAILURE_NOTICE_US (300 * KL_MS)
/* A VM whose promotion another VM's followed must not promote for this long. */
#define PROMOTER_LEASE_US (3 * KL_SEC)

static bool promotes_in_turn(world_t *world, db_t *db, const char *vm);
static bool can_reach(const vm_t *vm, const db_t *db);

void world_use_platform_promotion(world_t *world)
{
	world->platform_promotes = true;
	world->tuning.feed_count = KL_FEED_COUNT;
	world->tuning.platform_promotes = true;
	world->tuning.watchers_per_domain = 1;
	world->tuning.duties = KL_DUTY_PROMOTE | KL_DUTY_REPORT_USAGE;
}

kl_feed_t world_feed_of_object(const world_t *world, const char *name)
{
	static const struct {
		const char *prefix;
		kl_feed_t feed;
	} prefixes[] = {
		{ "group/", KL_FEED_TERMS },	    { "vm/", KL_FEED_TERMS },
		{ "slot/", KL_FEED_SLOTS },	    { "mark/", KL_FEED_MARKS },
		{ "upstream/", KL_FEED_UPSTREAMS }, { "usage/", KL_FEED_SLOTS },
	};

	for (size_t i = 0; world->platform_promotes &&
			   i < sizeof(prefixes) / sizeof(*prefixes);
	     i++)
		if (!strncmp(name, prefixes[i].prefix,
			     strlen(prefixes[i].prefix)))
			return prefixes[i].feed;
	return world->platform_promotes ? KL_FEED_CONFIG : KL_FEED_TERMS;
}

void world_register_databases(world_t *world, const char *service)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, service))
			world_register_database(world, db);
	}
}

void world_register_database(world_t *world, const db_t *db)
{
	char name[2 * KL_NAME_MAX];
	guint number = 0;
	char *body;

	while (g_ptr_array_index(world->dbs, number) != db)
		number++;
	body = g_strdup_printf("{\"service\":\"%s\",\"host\":\"10.0.0.2\","
			       "\"port\":%u,\"domain\":\"%s\","
			       "\"leaving\":%s,\"primary\":%s}",
			       db->service, number + 1, db->domain,
			       db->leaving ? "true" : "false",
			       db->is_primary ? "true" : "false");
	snprintf(name, sizeof(name), "upstream/%s", db->name);
	world_put_object(world, name, body);
	g_free(body);
}

/* A fencing token that falls, or that two VMs use, is a violation. */
int world_promote_database(world_t *world, const vm_t *vm, const char *name,
			   uint64_t token)
{
	db_t *db = world_find_db(world, name);
	bool in_turn = false;

	if (!db || !db->up)
		return -KL_E_CONFLICT;
	if (token < db->fencing_token ||
	    (token == db->fencing_token &&
	     strcmp(db->fencing_token_vm, vm->name))) {
		world->violations++;
		if (world->decision_log)
			fprintf(world->decision_log,
				"violation: fencing token %llu of %s after "
				"%llu\n",
				(unsigned long long)token, vm->name,
				(unsigned long long)db->fencing_token);
	}
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *other = g_ptr_array_index(world->dbs, i);

		if (strcmp(other->service, db->service))
			continue;
		in_turn |= promotes_in_turn(world, other, vm->name);
		other->fencing_token = token;
		kl_name_copy(other->fencing_token_vm, vm->name);
	}
	if (in_turn) {
		world->violations++;
		if (world->decision_log)
			fprintf(world->decision_log,
				"violation: %s promotes again, in turn with "
				"another VM\n",
				vm->name);
	}
	if (db->is_primary) {
		/* A primary takes on the term of the newest promotion call. */
		db->term = token;
		db->min_accepted_term = token;
	} else if (!db->promotion_due_at_us) {
		db->promotion_due_at_us = world->now_us + PROMOTION_DURATION_US;
		db->promotion_term = token;
	}
	return 0;
}

/*
 * Databases have terms of their own there, which the record does not name.  The
 * simulated ones use the record's, so a primary that is recorded again, without
 * a promotion, takes its new term on.
 */
void world_adopt_record_term(world_t *world, const char *service)
{
	kl_group_t group = world_group_record(world, service);
	db_t *db = world_find_db(world, group.primary);

	if (!db || !db->is_primary || group.state != KL_GROUP_STABLE ||
	    db->term >= group.term)
		return;
	db->term = group.term;
	db->min_accepted_term = group.term;
}

/*
 * Records a promotion call in one database's state.
 *
 * @return whether the VM promoted before another VM did, less than
 *         PROMOTER_LEASE_US ago
 */
static bool promotes_in_turn(world_t *world, db_t *db, const char *vm)
{
	bool in_turn =
		!strcmp(db->replaced_promoter, vm) &&
		world->now_us - db->replaced_promoter_us < PROMOTER_LEASE_US;

	if (strcmp(db->fencing_token_vm, vm)) {
		kl_name_copy(db->replaced_promoter, db->fencing_token_vm);
		db->replaced_promoter_us = db->last_promotion_us;
	}
	db->last_promotion_us = world->now_us;
	return in_turn;
}

void world_complete_promotions(world_t *world)
{
	for (guint i = 0; i < world->dbs->len; i++) {
		db_t *db = g_ptr_array_index(world->dbs, i);

		if (!db->promotion_due_at_us ||
		    world->now_us < db->promotion_due_at_us)
			continue;
		db->promotion_due_at_us = 0;
		if (!db->up)
			continue;
		db->is_primary = true;
		db->term = db->promotion_term;
		db->min_accepted_term = db->term;
		world_register_database(world, db);
	}
}

/* A failure is reported only FAILURE_NOTICE_US after it began. */
void world_report_passive_checks(world_t *world)
{
	for (guint v = 0; v < world->vms->len; v++) {
		vm_t *vm = g_ptr_array_index(world->vms, v);

		for (guint i = 0; i < world->dbs->len; i++) {
			const db_t *db = g_ptr_array_index(world->dbs, i);
			kl_passive_check_t check = { .service = db->service,
						     .upstream = db->name };
			kl_event_t event = { .kind = KL_EVENT_PASSIVE_CHECK,
					     .passive_check = &check };

			if (!vm->up || vm->frozen || db->unreported ||
			    i >= WORLD_CHECKED_DBS)
				continue;
			if (can_reach(vm, db))
				vm->unreachable_since_us[i] = 0;
			else if (!vm->unreachable_since_us[i])
				vm->unreachable_since_us[i] = world->now_us;
			if (vm->unreachable_since_us[i] &&
			    world->now_us - vm->unreachable_since_us[i] <
				    FAILURE_NOTICE_US)
				continue;
			check.failing_since_us = vm->unreachable_since_us[i];
			kl_node_step(&vm->node, &event);
		}
	}
}

static bool can_reach(const vm_t *vm, const db_t *db)
{
	return db->up && db->partition == vm->partition;
}
