/*
 * Usage in the simulated cluster: operations that the databases run for the
 * VMs' clients, and the platform's receipt of the VMs' reports.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/world_internal.h"

/* A VM whose duty another VM took over must not call for this long. */
#define DUTY_LEASE_US (3 * KL_SEC)
#define TOLERANCE_PERCENT 5

static void run_operation(vm_t *vm, uint32_t workspace);
static void count_violation(world_t *world, const char *vm, const char *what);
static bool is_within_tolerance(world_t *world, uint64_t window,
				const char *body);
static uint64_t operations_run(world_t *world, uint64_t window,
			       uint32_t workspace);

void world_usage_init(world_usage_t *usage, uint32_t seed)
{
	usage->random = g_rand_new_with_seed(seed);
	usage->operations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->reports = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
}

void world_usage_clear(world_usage_t *usage)
{
	g_rand_free(usage->random);
	g_hash_table_destroy(usage->operations);
	g_hash_table_destroy(usage->reports);
}

int64_t world_true_us(const world_t *world)
{
	return (int64_t)world->now_us + WORLD_EPOCH_US;
}

void world_run_operations(world_t *world, uint64_t elapsed_us)
{
	world_usage_t *usage = &world->usage;

	if (!usage->workspaces)
		return;
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);
		double expected = (double)usage->rate * (double)elapsed_us /
				  (double)KL_SEC / world->vms->len;

		/* Arrivals are random, but evenly divided over the VMs. */
		vm->operation_credit +=
			2 * expected * g_rand_double(usage->random);
		while (vm->operation_credit >= 1) {
			vm->operation_credit--;
			if (vm->up && !vm->frozen)
				run_operation(vm, g_rand_int(usage->random) %
							  usage->workspaces);
		}
	}
}

/* A database begins an operation, and the VM's engine counts it. */
static void run_operation(vm_t *vm, uint32_t workspace)
{
	world_t *world = vm->world;
	uint64_t window =
		(uint64_t)world_true_us(world) / world->tuning.usage_window_us;
	char *key = g_strdup_printf("%" PRIu64 "/w%u", window, workspace);
	uint64_t *count = g_hash_table_lookup(world->usage.operations, key);
	kl_usage_sample_t sample = { .began_us = world->now_us,
				     .operations = 1 };
	kl_usage_samples_t samples = CK_STAILQ_HEAD_INITIALIZER(samples);
	kl_event_t event = { .kind = KL_EVENT_USAGE, .usage = &samples };

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(world->usage.operations, g_strdup(key),
				    count);
	}
	g_free(key);
	++*count;
	snprintf(sample.workspace, KL_NAME_MAX, "w%u", workspace);
	CK_STAILQ_INSERT_TAIL(&samples, &sample, link);
	kl_node_step(&vm->node, &event);
}

int world_receive_report(world_t *world, vm_t *vm, uint64_t window,
			 uint64_t token, const char *body)
{
	world_usage_t *usage = &world->usage;
	const char *held;

	if (usage->down)
		return -KL_E_UNAVAILABLE;
	if (token < usage->token)
		count_violation(world, vm->name, "a lower token");
	else if (token == usage->token && strcmp(usage->holder, vm->name))
		count_violation(world, vm->name, "another VM's token");
	if (strcmp(usage->holder, vm->name)) {
		if (!strcmp(usage->previous_holder, vm->name) &&
		    world->now_us - usage->previous_holder_us < DUTY_LEASE_US)
			count_violation(world, vm->name, "in turn");
		kl_name_copy(usage->previous_holder, usage->holder);
		usage->previous_holder_us = usage->holder_us;
		kl_name_copy(usage->holder, vm->name);
	}
	usage->token = token;
	usage->holder_us = world->now_us;
	held = g_hash_table_lookup(usage->reports, &window);
	if (held && strcmp(held, body))
		count_violation(world, vm->name, "two reports of a window");
	if (!held) {
		g_hash_table_insert(usage->reports,
				    g_memdup2(&window, sizeof(window)),
				    g_strdup(body));
		usage->late_reports +=
			world_true_us(world) >
			(int64_t)((window + 1) * world->tuning.usage_window_us +
				  world->tuning.usage_delay_us);
		if (!usage->first_window)
			usage->first_window = window;
	}
	vm->frozen |= usage->freeze_on_call;
	usage->freeze_on_call = false;
	if (usage->answers_to_lose <= 0)
		return 0;
	usage->answers_to_lose--;
	return -KL_E_UNAVAILABLE;
}

void world_report_stored(world_t *world, vm_t *vm, const char *name,
			 const char *body)
{
	if (!world->usage.freeze_on_store || strncmp(name, "usage/", 6) != 0 ||
	    !strstr(body, "\"answered\":false"))
		return;
	world->usage.freeze_on_store = false;
	vm->frozen = true;
}

static void count_violation(world_t *world, const char *vm, const char *what)
{
	world->violations++;
	if (world->decision_log)
		fprintf(world->decision_log,
			"violation: %s reports usage with %s\n", vm, what);
}

void world_judge_reports(world_t *world, world_usage_verdict_t *verdict)
{
	const kl_tuning_t *tuning = &world->tuning;
	uint64_t now_us = (uint64_t)world_true_us(world);
	uint64_t end; /* of the windows whose reports are due by now */

	memset(verdict, 0, sizeof(*verdict));
	if (!tuning->usage_window_us)
		return;
	end = (now_us - tuning->usage_delay_us) / tuning->usage_window_us;
	for (uint64_t window = world->usage.first_window;
	     window && window < end; window++) {
		const char *body =
			g_hash_table_lookup(world->usage.reports, &window);

		if (!body)
			verdict->missing++;
		else if (is_within_tolerance(world, window, body))
			verdict->right++;
		else
			verdict->wrong++;
	}
}

static bool is_within_tolerance(world_t *world, uint64_t window,
				const char *body)
{
	json_t *counts = json_loads(body, 0, NULL);
	bool within = true;

	for (uint32_t i = 0; i < world->usage.workspaces; i++) {
		char name[KL_NAME_MAX];
		int64_t run = (int64_t)operations_run(world, window, i);
		int64_t reported, error;

		snprintf(name, sizeof(name), "w%u", i);
		reported = json_integer_value(json_object_get(counts, name));
		error = reported > run ? reported - run : run - reported;
		if (error * 100 > run * TOLERANCE_PERCENT) {
			within = false;
			fprintf(stderr,
				"window %" PRIu64 " %s: run %" PRId64
				" reported %" PRId64 "\n",
				window, name, run, reported);
		}
	}
	json_decref(counts);
	return within;
}

static uint64_t operations_run(world_t *world, uint64_t window,
			       uint32_t workspace)
{
	char *key = g_strdup_printf("%" PRIu64 "/w%u", window, workspace);
	const uint64_t *count =
		g_hash_table_lookup(world->usage.operations, key);

	g_free(key);
	return count ? *count : 0;
}
