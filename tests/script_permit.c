/* Steps of a script about the execution slots of databases. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/script.h"

static double measure(db_t *db, const char *name);
static uint64_t sum_messages(void);

/* slots DB SLOTS WORK_US: its execution slots and mean work of a statement. */
void step_slots(char **words, int count)
{
	db_t *db = world_find_db(script_world, words[0]);
	char name[2 * KL_NAME_MAX], body[32];
	(void)count;

	db->slots = (uint32_t)script_parse_number(words[1]);
	db->work_us = script_parse_number(words[2]);
	snprintf(name, sizeof(name), "capacity/%s", db->name);
	snprintf(body, sizeof(body), "{\"slots\":%u}", db->slots);
	world_put_object(script_world, name, body);
}

/*
 * offer FROM-TO DB RATE [PRIORITY]: statements a second that the VMs vFROM to
 * vTO together send to a database, in equal parts
 */
void step_offer(char **words, int count)
{
	int from = 0, to = 0;
	db_t *db = world_find_db(script_world, words[1]);
	double rate = atof(words[2]);
	uint32_t level =
		count > 3 ? (uint32_t)script_parse_number(words[3]) : 0;

	sscanf(words[0], "%d-%d", &from, &to);
	for (int i = from; i <= to; i++)
		world_offer(script_world,
			    g_ptr_array_index(script_world->vms, (guint)i), db,
			    rate / (to - from + 1), level);
}

/* count DB: begins to count what happens there, and peer messages. */
void step_count(char **words, int count)
{
	(void)count;
	world_reset_slot_counts(script_world,
				world_find_db(script_world, words[0]));
	for (guint i = 0; i < script_world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(script_world->vms, i);

		vm->peer_messages_sent = 0;
		for (int k = 0; k < KL_PERMIT_EVENT_COUNT; k++)
			vm->permit_events[k] = 0;
	}
	for (guint i = 0; i < script_world->gates->len; i++)
		((world_gate_t *)g_ptr_array_index(script_world->gates, i))
			->served = 0;
}

/*
 * bounds DB NAME<NUMBER|NAME>NUMBER...: whether figures since the last count
 * are within bounds; the figures go to standard error.
 */
void step_bounds(char **words, int count)
{
	db_t *db = world_find_db(script_world, words[0]);

	for (int i = 1; i < count; i++) {
		size_t length = strcspn(words[i], "<>");
		bool is_max = words[i][length] == '<';
		char *name = g_strndup(words[i], length);
		double bound = atof(words[i] + length + 1);
		double figure = measure(db, name);

		printf("%s %s\n", words[i],
		       (is_max ? figure <= bound : figure >= bound) ? "holds"
								    : "fails");
		fprintf(stderr, "%s %.3f\n", name, figure);
		g_free(name);
	}
}

/* A figure of a database since the last count; "vmN": served for VM N. */
static double measure(db_t *db, const char *name)
{
	const slot_counts_t *counts = &db->slot_counts;
	uint64_t now = script_world->now_us;
	double slot_us = (double)(now - db->counted_since_us) * db->slots;
	double vms = script_world->vms->len;

	if (!strcmp(name, "queued")) /* inside the database, for each slot */
		return (double)counts->queued_us / slot_us;
	if (!strcmp(name, "idle")) /* of slots while VMs have work, percent */
		return 100.0 * (double)counts->idle_us / slot_us;
	if (!strcmp(name, "busy"))
		return (double)counts->busy;
	if (!strcmp(name, "dropped"))
		return (double)counts->dropped;
	if (!strcmp(name, "served"))
		return (double)counts->served;
	if (!strcmp(name, "used")) /* of the capacity, percent */
		return 100.0 * (double)(counts->served * db->work_us) / slot_us;
	if (!strncmp(name, "level", 5))
		return (double)counts->served_by_level[atoi(name + 5)];
	if (!strncmp(name, "vm", 2))
		return (double)world_find_gate(
			       script_world,
			       g_ptr_array_index(script_world->vms,
						 (guint)atoi(name + 2)),
			       db)
			->served;
	if (!strcmp(name, "messages")) /* a second for each VM */
		return (double)sum_messages() * KL_SEC / vms /
		       (double)(now - db->counted_since_us);
	printf("no such figure\n");
	script_failed = 1;
	return 0;
}

static uint64_t sum_messages(void)
{
	uint64_t sum = 0;

	for (guint i = 0; i < script_world->vms->len; i++)
		sum += ((vm_t *)g_ptr_array_index(script_world->vms, i))
			       ->peer_messages_sent;
	return sum;
}

/* permits NAME: events of permits since the last count, on all VMs. */
void step_permits(char **words, int count)
{
	static const char *const names[KL_PERMIT_EVENT_COUNT] = {
		[KL_PERMIT_GRANTED] = "granted",
		[KL_PERMIT_EXPIRED] = "expired",
		[KL_PERMIT_UNANSWERED] = "unanswered",
	};
	uint64_t sum = 0;
	(void)count;

	for (int k = 0; k < KL_PERMIT_EVENT_COUNT; k++) {
		if (strcmp(names[k], words[0]))
			continue;
		for (guint i = 0; i < script_world->vms->len; i++)
			sum += ((vm_t *)g_ptr_array_index(script_world->vms, i))
				       ->permit_events[k];
	}
	printf("%s\n", sum ? "some" : "none");
	fprintf(stderr, "%s %llu\n", words[0], (unsigned long long)sum);
}
