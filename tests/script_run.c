/*
 * Runs a script on the simulated cluster and prints each step and its result.
 * The expected output of tests/scripts/NAME.in is NAME.out.
 * docs/DEVELOPERS.md lists the steps.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "kumquatloft/share.h"
#include "tests/script.h"

#define MAX_WORDS 16
#define MAX_LINE 1024

typedef void (*step_t)(char **words, int count);

world_t *script_world;
int script_failed;

static void step_seed(char **words, int count);
static void step_vm(char **words, int count);
static void step_fleet(char **words, int count);
static void step_crowd(char **words, int count);
static void step_db(char **words, int count);
static void step_service(char **words, int count);
static void step_doc(char **words, int count);
static void step_run(char **words, int count);
static void step_cut(char **words, int count);
static void step_heal(char **words, int count);
static void step_kill(char **words, int count);
static void step_start(char **words, int count);
static void step_freeze(char **words, int count);
static void step_thaw(char **words, int count);
static void step_net(char **words, int count);
static void step_register(char **words, int count);
static void step_begin(char **words, int count);
static void step_confirm(char **words, int count);
static void step_write(char **words, int count);
static void step_lag(char **words, int count);
static void step_admit(char **words, int count);
static void step_load(char **words, int count);
static void step_tune(char **words, int count);
static void step_log(char **words, int count);
static void step_stop(char **words, int count);
static void step_leaves(char **words, int count);
static void step_crash_on(char **words, int count);
static void set_running(const char *name, bool running);
static void set_partition(const char *name, int partition);

static const struct {
	const char *name;
	int min_arguments;
	step_t run;
} steps[] = {
	{ "seed", 1, step_seed },
	{ "vm", 2, step_vm },
	{ "fleet", 2, step_fleet },
	{ "crowd", 2, step_crowd },
	{ "db", 3, step_db },
	{ "service", 2, step_service },
	{ "doc", 2, step_doc },
	{ "keys", 4, step_keys },
	{ "run", 1, step_run },
	{ "cut", 1, step_cut },
	{ "heal", 0, step_heal },
	{ "kill", 1, step_kill },
	{ "start", 1, step_start },
	{ "freeze", 1, step_freeze },
	{ "thaw", 1, step_thaw },
	{ "platform", 1, step_platform },
	{ "net", 2, step_net },
	{ "register", 2, step_register },
	{ "begin", 3, step_begin },
	{ "confirm", 1, step_confirm },
	{ "write", 2, step_write },
	{ "await", 2, step_await },
	{ "within", 3, step_within },
	{ "read", 3, step_read },
	{ "lag", 2, step_lag },
	{ "admit", 3, step_admit },
	{ "load", 3, step_load },
	{ "loads", 0, step_loads },
	{ "show", 2, step_show },
	{ "tune", 2, step_tune },
	{ "log", 1, step_log },
	{ "auth", 4, step_auth },
	{ "stop", 1, step_stop },
	{ "leaves", 1, step_leaves },
	{ "violations", 0, step_violations },
	{ "crash_on", 2, step_crash_on },
	{ "era", 1, step_era },
	{ "drill", 2, step_drill },
	{ "unreported", 2, step_unreported },
	{ "fails", 2, step_fails },
	{ "peerless", 2, step_peerless },
	{ "refuse", 2, step_refuse },
	{ "silent", 3, step_silent },
	{ "cut_watches", 0, step_cut_watches },
	{ "sample", 2, step_sample },
	{ "operations", 2, step_operations },
	{ "clock", 2, step_clock },
	{ "reporting", 1, step_reporting },
	{ "holder", 1, step_holder },
	{ "reports", 0, step_reports },
	{ "figure", 4, step_figure },
};

int main(int argc, char **argv)
{
	FILE *script = argc > 1 ? fopen(argv[1], "r") : stdin;
	char line[MAX_LINE];

	if (!script)
		return 2;
	script_world = world_new(1);
	while (fgets(line, sizeof(line), script)) {
		char *words[MAX_WORDS] = { NULL };
		char *save = NULL;
		int count = 0;
		bool found = false;

		line[strcspn(line, "\n")] = '\0';
		if (line[strspn(line, " ")] == '\0' || *line == '#')
			continue;
		printf("> %s\n", line);
		for (char *word = strtok_r(line, " ", &save);
		     word && count < MAX_WORDS;
		     word = strtok_r(NULL, " ", &save))
			words[count++] = word;
		if (!words[0])
			continue;
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, words[0]) ||
			    count - 1 < steps[i].min_arguments)
				continue;
			steps[i].run(words + 1, count - 1);
			found = true;
		}
		if (!found) {
			printf("no such step\n");
			script_failed = 1;
		}
	}
	if (script_world->violations)
		printf("violations: %llu\n",
		       (unsigned long long)script_world->violations);
	world_free(script_world);
	if (script != stdin)
		fclose(script);
	return script_failed;
}

static void step_seed(char **words, int count)
{
	(void)count;
	g_rand_set_seed(script_world->random,
			(guint32)script_parse_number(words[0]));
}

static void step_vm(char **words, int count)
{
	(void)count;
	world_add_vm(script_world, words[0], words[1]);
}

/* fleet VMS DOMAINS: adds VMs v0... in domains d0... by turns. */
static void step_fleet(char **words, int count)
{
	int vms = (int)script_parse_number(words[0]);
	int domains = (int)script_parse_number(words[1]);
	(void)count;

	for (int i = 0; i < vms; i++) {
		char name[KL_NAME_MAX], domain[KL_NAME_MAX];

		snprintf(name, sizeof(name), "v%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_add_vm(script_world, name, domain);
	}
}

/* crowd WORKSPACES RATE: see world_add_workspaces(). */
static void step_crowd(char **words, int count)
{
	(void)count;
	world_add_workspaces(script_world, (int)script_parse_number(words[0]),
			     (int)script_parse_number(words[1]));
}

static void step_db(char **words, int count)
{
	(void)count;
	world_add_db(script_world, words[0], words[1], words[2]);
}

static void step_service(char **words, int count)
{
	(void)count;
	world_put_service(script_world, words[0],
			  (int)script_parse_number(words[1]));
}

/* doc NAME JSON...: writes an object to the platform's store. */
static void step_doc(char **words, int count)
{
	GString *body = g_string_new(NULL);

	for (int i = 1; i < count; i++)
		g_string_append_printf(body, "%s%s", i > 1 ? " " : "",
				       words[i]);
	world_put_object(script_world, words[0], body->str);
	g_string_free(body, TRUE);
}

/* run MS: advances the clock. */
static void step_run(char **words, int count)
{
	(void)count;
	world_run(script_world, script_parse_number(words[0]) * KL_MS);
}

/* cut NAME...: partitions VMs, databases or the platform from all others. */
static void step_cut(char **words, int count)
{
	for (int i = 0; i < count; i++)
		set_partition(words[i], 1);
}

static void step_heal(char **words, int count)
{
	(void)words;
	(void)count;
	for (guint i = 0; i < script_world->vms->len; i++)
		((vm_t *)g_ptr_array_index(script_world->vms, i))->partition =
			0;
	for (guint i = 0; i < script_world->dbs->len; i++)
		((db_t *)g_ptr_array_index(script_world->dbs, i))->partition =
			0;
	script_world->platform_partition = 0;
}

static void set_partition(const char *name, int partition)
{
	vm_t *vm = world_find_vm(script_world, name);
	db_t *db = world_find_db(script_world, name);

	if (vm)
		vm->partition = partition;
	if (db)
		db->partition = partition;
	if (!strcmp(name, "platform"))
		script_world->platform_partition = partition;
}

/* The name "all" stands for every VM. */
static void set_running(const char *name, bool running)
{
	vm_t *vm = world_find_vm(script_world, name);
	db_t *db = world_find_db(script_world, name);

	for (guint i = 0; !strcmp(name, "all") && i < script_world->vms->len;
	     i++) {
		vm = g_ptr_array_index(script_world->vms, i);
		set_running(vm->name, running);
	}
	if (!strcmp(name, "all"))
		return;
	if (vm && running)
		world_start_vm(vm);
	else if (vm)
		world_kill_vm(vm);
	if (db)
		db->up = running;
}

static void step_kill(char **words, int count)
{
	(void)count;
	set_running(words[0], false);
}

static void step_start(char **words, int count)
{
	(void)count;
	set_running(words[0], true);
}

static void step_freeze(char **words, int count)
{
	(void)count;
	world_find_vm(script_world, words[0])->frozen = true;
}

static void step_thaw(char **words, int count)
{
	(void)count;
	world_thaw_vm(world_find_vm(script_world, words[0]));
}

/* net loss PERCENT | double PERCENT | jitter MS */
static void step_net(char **words, int count)
{
	(void)count;
	if (!strcmp(words[0], "loss"))
		script_world->peer_loss_percent =
			(int)script_parse_number(words[1]);
	else if (!strcmp(words[0], "double"))
		script_world->peer_duplicate_percent =
			(int)script_parse_number(words[1]);
	else if (!strcmp(words[0], "jitter"))
		script_world->jitter_us = script_parse_number(words[1]) * KL_MS;
}

/* register VM STATE: writes the VM's object; the state gone deletes it. */
static void step_register(char **words, int count)
{
	(void)count;
	world_register_vm(world_find_vm(script_world, words[0]), words[1]);
}

/* begin VM SERVICE ID: runs a write without acknowledging it. */
static void step_begin(char **words, int count)
{
	pending_write_t *pending = g_new0(pending_write_t, 1);
	int error = world_begin_write(world_find_vm(script_world, words[0]),
				      words[1], words[2], pending);
	(void)count;

	if (error) {
		printf("%s: not run: %s\n", words[2], script_error_name(error));
		g_free(pending);
		return;
	}
	printf("%s: run on %s in term %llu\n", words[2], pending->db->name,
	       (unsigned long long)pending->term);
	g_ptr_array_add(script_world->pending_writes, pending);
}

/* confirm ID: acknowledges the write if its term is proven. */
static void step_confirm(char **words, int count)
{
	(void)count;
	for (guint i = 0; i < script_world->pending_writes->len; i++) {
		pending_write_t *pending =
			g_ptr_array_index(script_world->pending_writes, i);
		uint64_t violations = script_world->violations;
		const char *proof = "";
		int error;

		if (strcmp(pending->id, words[0]))
			continue;
		error = world_confirm_write(pending, &proof);
		if (error)
			printf("%s: %s\n", words[0], script_error_name(error));
		else
			printf("%s: acknowledged by %s%s\n", words[0], proof,
			       script_world->violations > violations
				       ? ", but the primary was replaced"
				       : "");
		return;
	}
}

/* write VM SERVICE: begin and confirm at once. */
static void step_write(char **words, int count)
{
	static const char id[] = "write";
	char *begin[] = { words[0], words[1], (char *)id };
	char *confirm[] = { (char *)id };

	(void)count;
	for (guint i = 0; i < script_world->pending_writes->len; i++) {
		pending_write_t *pending =
			g_ptr_array_index(script_world->pending_writes, i);

		if (!strcmp(pending->id, id)) {
			g_ptr_array_remove_index(script_world->pending_writes,
						 i);
			break;
		}
	}
	step_begin(begin, 3);
	step_confirm(confirm, 1);
}

/* lag DB MS: sets how much later it applies writes as a replica. */
static void step_lag(char **words, int count)
{
	(void)count;
	world_find_db(script_world, words[0])->lag_us =
		script_parse_number(words[1]) * KL_MS;
}

/* admit VM WORKSPACE COUNT: how many of COUNT statements get tokens now. */
static void step_admit(char **words, int count)
{
	(void)count;
	printf("admitted %llu\n",
	       (unsigned long long)world_admit(
		       world_find_vm(script_world, words[0]), words[1],
		       script_parse_number(words[2])));
}

/* load VM WORKSPACE RATE: sets the statements a second from now on. */
static void step_load(char **words, int count)
{
	(void)count;
	world_set_workload(script_world, world_find_vm(script_world, words[0]),
			   words[1], script_parse_number(words[2]));
}

/*
 * tune NAME MS
 *
 * path_lease, stale_after and quiet, which is a flag, take effect at once; the
 * others only on VMs started later.  The number after promotes is ignored.
 */
static void step_tune(char **words, int count)
{
	uint64_t us = script_parse_number(words[1]) * KL_MS;
	(void)count;

	if (!strcmp(words[0], "lease"))
		script_world->tuning.lease_duration_us = us;
	else if (!strcmp(words[0], "path_lease"))
		script_world->data_path_settings.lease_us = us;
	else if (!strcmp(words[0], "slot_lease"))
		script_world->tuning.slot_lease_us = us;
	else if (!strcmp(words[0], "confirm"))
		script_world->tuning.confirm_interval_us = us;
	else if (!strcmp(words[0], "suspect"))
		script_world->tuning.suspect_after_us = us;
	else if (!strcmp(words[0], "first_position"))
		script_world->tuning.first_position_interval_us = us;
	else if (!strcmp(words[0], "min_downtime"))
		script_world->tuning.min_downtime_us = us;
	else if (!strcmp(words[0], "stale_after"))
		script_world->data_path_settings.stale_after_us = us;
	else if (!strcmp(words[0], "quiet"))
		script_world->services_unused = us != 0;
	else if (!strcmp(words[0], "usage_window"))
		script_world->tuning.usage_window_us = us;
	else if (!strcmp(words[0], "usage_delay"))
		script_world->tuning.usage_delay_us = us;
	else if (!strcmp(words[0], "promotes"))
		world_use_platform_promotion(script_world);
}

static void step_log(char **words, int count)
{
	(void)count;
	script_world->decision_log = !strcmp(words[0], "on") ? stdout : NULL;
}

/* leaves DB: the database registers itself as leaving. */
static void step_leaves(char **words, int count)
{
	db_t *db = world_find_db(script_world, words[0]);
	(void)count;

	if (!db)
		return;
	db->leaving = true;
	world_register_databases(script_world, db->service);
}

/* stop VM: begins a planned stop. */
static void step_stop(char **words, int count)
{
	kl_event_t stop = { .kind = KL_EVENT_STOP };
	(void)count;

	kl_node_step(&world_find_vm(script_world, words[0])->node, &stop);
}

/*
 * crash_on STATE NAME: the VM or database crashes when a group record that
 * contains STATE is stored.
 */
static void step_crash_on(char **words, int count)
{
	(void)count;
	kl_name_copy(script_world->crash_on_state, words[0]);
	kl_name_copy(script_world->crash_target, words[1]);
}

uint64_t script_parse_number(const char *text)
{
	return strtoull(text, NULL, 10);
}

const char *script_error_name(int error)
{
	return kl_error_info(error)->name;
}
