/* Steps of a script about usage reports. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/usage_record.h"
#include "tests/script.h"

static vm_t *find_holder(void);

/* operations RATE WORKSPACES: databases run operations for all VMs' clients. */
void step_operations(char **words, int count)
{
	(void)count;
	script_world->usage.rate = script_parse_number(words[0]);
	script_world->usage.workspaces =
		(uint32_t)script_parse_number(words[1]);
}

/* clock VM MS: its next process starts with a wall clock that is wrong. */
void step_clock(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	(void)count;

	if (vm)
		vm->clock_error_us = strtoll(words[1], NULL, 10) * 1000;
}

/*
 * reporting up | down | lose COUNT: the platform's endpoint of reports; lose
 * drops answers to calls that it accepted.
 */
void step_reporting(char **words, int count)
{
	if (!strcmp(words[0], "lose"))
		script_world->usage.answers_to_lose =
			count > 1 ? (int)script_parse_number(words[1]) : 1;
	else
		script_world->usage.down = !strcmp(words[0], "down");
}

/*
 * holder kill | restart | freeze | thaw | cut | storeless: the VM that the
 * record names; thaw: all that are frozen; storeless: the platform turns it
 * away. holder freeze_on_store | freeze_on_call: it freezes when it has stored
 * the next report, or when the platform has received that.
 */
void step_holder(char **words, int count)
{
	vm_t *holder = find_holder();
	(void)count;

	for (guint i = 0;
	     !strcmp(words[0], "thaw") && i < script_world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(script_world->vms, i);

		if (vm->frozen)
			world_thaw_vm(vm);
	}
	if (!strcmp(words[0], "freeze_on_store"))
		script_world->usage.freeze_on_store = true;
	if (!strcmp(words[0], "freeze_on_call"))
		script_world->usage.freeze_on_call = true;
	if (!holder)
		return;
	if (!strcmp(words[0], "kill"))
		world_kill_vm(holder);
	if (!strcmp(words[0], "restart")) {
		world_kill_vm(holder);
		world_start_vm(holder);
	}
	if (!strcmp(words[0], "storeless"))
		holder->platform_cut = true;
	if (!strcmp(words[0], "cut"))
		holder->partition = 1;
	if (!strcmp(words[0], "freeze"))
		holder->frozen = true;
}

static vm_t *find_holder(void)
{
	const kl_object_t *object =
		g_hash_table_lookup(script_world->objects, KL_USAGE_RECORD);
	kl_usage_record_t record = { 0 };
	vm_t *holder = NULL;

	if (object && !kl_usage_record_decode(&record, object->body))
		holder = world_find_vm(script_world, record.holder);
	kl_usage_record_clear(&record);
	return holder;
}

/* reports: what the platform got; the cost goes to standard error. */
void step_reports(char **words, int count)
{
	world_usage_verdict_t verdict;
	guint vms = script_world->vms->len;
	uint64_t bytes = 0, all_bytes = 0, late = 0, missed = 0;
	(void)words;
	(void)count;

	if (!vms)
		return;
	world_judge_reports(script_world, &verdict);
	for (guint i = 0; i < vms; i++) {
		vm_t *vm = g_ptr_array_index(script_world->vms, i);
		const kl_usage_t *usage =
			vm->up ? kl_node_get(&vm->node, KL_SECTION_USAGE)
			       : NULL;

		bytes += vm->usage_bytes_sent;
		all_bytes += vm->peer_bytes_sent;
		late += usage ? usage->late_operations : 0;
		missed += usage ? usage->windows_missed : 0;
	}
	printf("windows: %u right, %u wrong, %u missing, %u late; holders %llu;"
	       " counted as late %s, windows missed %llu\n",
	       verdict.right, verdict.wrong, verdict.missing,
	       script_world->usage.late_reports,
	       (unsigned long long)script_world->usage.token,
	       late ? "some" : "none", (unsigned long long)missed);
	fprintf(stderr, "bytes a VM: %llu in usage messages, %llu in all\n",
		(unsigned long long)(bytes / vms),
		(unsigned long long)(all_bytes / vms));
}
