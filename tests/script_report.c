/* Steps by which a VM's worker reports to its controllers. */
#include <stdlib.h>

#include "tests/script.h"

/* unreported DB 0|1: whether VMs report whether requests to it fail. */
void step_unreported(char **words, int count)
{
	db_t *db = world_find_db(script_world, words[0]);
	(void)count;

	if (db)
		db->unreported = atoi(words[1]) != 0;
}

/* fails VM DB: the VM's requests to the database begin to fail. */
void step_fails(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	const db_t *db = world_find_db(script_world, words[1]);
	kl_passive_check_t check = { .failing_since_us = script_world->now_us };
	kl_event_t event = { .kind = KL_EVENT_PASSIVE_CHECK,
			     .passive_check = &check };
	(void)count;

	if (!vm || !db)
		return;
	check.service = db->service;
	check.upstream = db->name;
	kl_node_step(&vm->node, &event);
}

/*
 * sample VM SERVICE [NUMBER]: the VM's statements report the primary's log
 * position now; without NUMBER its reads need a position.
 */
void step_sample(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	kl_primary_position_t position = { .group_change = 1,
					   .sampled_us = script_world->now_us };
	kl_event_t event = { .kind = KL_EVENT_POSITION, .position = &position };

	kl_name_copy(position.name.name, words[1]);
	if (count > 2) {
		position.term = 1;
		position.number = script_parse_number(words[2]);
	}
	kl_node_step(&vm->node, &event);
}

/*
 * figure VM SERVICE UPSTREAM WAIT_MS [needed]: its engine reports a database of
 * its domain, and whether it needs the figures of other domains
 */
void step_figure(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	kl_load_report_t report = { .wait_us = script_parse_number(words[3]) *
					       KL_MS,
				    .sampled_us = script_world->now_us,
				    .others_needed = count > 4 };
	kl_event_t event = { .kind = KL_EVENT_LOAD, .load = &report };

	kl_name_copy(report.service, words[1]);
	kl_name_copy(report.upstream, words[2]);
	kl_node_step(&vm->node, &event);
}
