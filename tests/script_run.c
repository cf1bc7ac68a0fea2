/*
 * Runs a script on the library with a virtual clock and prints what happened;
 * the expected output stands beside the script.  docs/DEVELOPERS.md lists the
 * steps.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "kumquatloft/share.h"
#include "tests/script.h"

#define WORDS 16
#define LINE 1024

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
static void step_platform(char **words, int count);
static void step_net(char **words, int count);
static void step_list(char **words, int count);
static void step_begin(char **words, int count);
static void step_confirm(char **words, int count);
static void step_write(char **words, int count);
static void step_lag(char **words, int count);
static void step_take(char **words, int count);
static void step_load(char **words, int count);
static void step_tune(char **words, int count);
static void step_log(char **words, int count);
static void step_stop(char **words, int count);
static void step_leaves(char **words, int count);
static void step_trap(char **words, int count);
static void set_running(const char *name, bool running);
static void set_side(const char *name, int side);

static const struct {
	const char *name;
	int least;
	step_t run;
} steps[] = {
	{ "seed", 1, step_seed },
	{ "vm", 2, step_vm },
	{ "fleet", 2, step_fleet },
	{ "crowd", 2, step_crowd },
	{ "db", 3, step_db },
	{ "service", 2, step_service },
	{ "doc", 2, step_doc },
	{ "run", 1, step_run },
	{ "cut", 1, step_cut },
	{ "heal", 0, step_heal },
	{ "kill", 1, step_kill },
	{ "start", 1, step_start },
	{ "freeze", 1, step_freeze },
	{ "thaw", 1, step_thaw },
	{ "platform", 1, step_platform },
	{ "net", 2, step_net },
	{ "list", 2, step_list },
	{ "begin", 3, step_begin },
	{ "confirm", 1, step_confirm },
	{ "write", 2, step_write },
	{ "await", 2, step_await },
	{ "within", 3, step_within },
	{ "read", 3, step_read },
	{ "lag", 2, step_lag },
	{ "take", 3, step_take },
	{ "load", 3, step_load },
	{ "loads", 0, step_loads },
	{ "show", 2, step_show },
	{ "tune", 2, step_tune },
	{ "log", 1, step_log },
	{ "auth", 4, step_auth },
	{ "stop", 1, step_stop },
	{ "leaves", 1, step_leaves },
	{ "violations", 0, step_violations },
	{ "trap", 2, step_trap },
};

int main(int argc, char **argv)
{
	FILE *in = argc > 1 ? fopen(argv[1], "r") : stdin;
	char line[LINE];

	if (!in)
		return 2;
	script_world = world_new(1);
	while (fgets(line, sizeof(line), in)) {
		char *words[WORDS] = { NULL };
		char *save = NULL;
		int count = 0;
		bool known = false;

		line[strcspn(line, "\n")] = '\0';
		if (line[strspn(line, " ")] == '\0' || *line == '#')
			continue;
		printf("> %s\n", line);
		for (char *word = strtok_r(line, " ", &save);
		     word && count < WORDS; word = strtok_r(NULL, " ", &save))
			words[count++] = word;
		if (!words[0])
			continue;
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, words[0]) ||
			    count - 1 < steps[i].least)
				continue;
			steps[i].run(words + 1, count - 1);
			known = true;
		}
		if (!known) {
			printf("no such step\n");
			script_failed = 1;
		}
	}
	if (script_world->violations)
		printf("violations: %llu\n",
		       (unsigned long long)script_world->violations);
	world_free(script_world);
	if (in != stdin)
		fclose(in);
	return script_failed;
}

static void step_seed(char **words, int count)
{
	(void)count;
	g_rand_set_seed(script_world->random, (guint32)script_number(words[0]));
}

static void step_vm(char **words, int count)
{
	(void)count;
	world_vm(script_world, words[0], words[1]);
}

/* So many VMs in so many failure domains. */
static void step_fleet(char **words, int count)
{
	int vms = (int)script_number(words[0]);
	int domains = (int)script_number(words[1]);
	(void)count;

	for (int i = 0; i < vms; i++) {
		char name[KL_NAME_MAX], domain[KL_NAME_MAX];

		snprintf(name, sizeof(name), "v%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_vm(script_world, name, domain);
	}
}

/* So many workspaces with so many statements a second. */
static void step_crowd(char **words, int count)
{
	(void)count;
	world_crowd(script_world, (int)script_number(words[0]),
		    (int)script_number(words[1]));
}

static void step_db(char **words, int count)
{
	(void)count;
	world_db(script_world, words[0], words[1], words[2]);
}

static void step_service(char **words, int count)
{
	(void)count;
	world_service(script_world, words[0], (int)script_number(words[1]));
}

/* The words after the name are the document. */
static void step_doc(char **words, int count)
{
	GString *body = g_string_new(NULL);

	for (int i = 1; i < count; i++)
		g_string_append_printf(body, "%s%s", i > 1 ? " " : "",
				       words[i]);
	world_put(script_world, words[0], body->str);
	g_string_free(body, TRUE);
}

static void step_run(char **words, int count)
{
	(void)count;
	world_run(script_world, script_number(words[0]) * KL_MS);
}

/* Those named are cut off from all others, but not from each other. */
static void step_cut(char **words, int count)
{
	for (int i = 0; i < count; i++)
		set_side(words[i], 1);
}

static void step_heal(char **words, int count)
{
	(void)words;
	(void)count;
	for (guint i = 0; i < script_world->vms->len; i++)
		((vm_t *)g_ptr_array_index(script_world->vms, i))->side = 0;
	for (guint i = 0; i < script_world->dbs->len; i++)
		((db_t *)g_ptr_array_index(script_world->dbs, i))->side = 0;
	script_world->platform_side = 0;
}

static void set_side(const char *name, int side)
{
	vm_t *vm = world_vm_of(script_world, name);
	db_t *db = world_db_of(script_world, name);

	if (vm)
		vm->side = side;
	if (db)
		db->side = side;
	if (!strcmp(name, "platform"))
		script_world->platform_side = side;
}

/* "all" names every VM. */
static void set_running(const char *name, bool running)
{
	vm_t *vm = world_vm_of(script_world, name);
	db_t *db = world_db_of(script_world, name);

	for (guint i = 0; !strcmp(name, "all") && i < script_world->vms->len;
	     i++) {
		vm = g_ptr_array_index(script_world->vms, i);
		set_running(vm->name, running);
	}
	if (!strcmp(name, "all"))
		return;
	if (vm && running)
		world_vm_start(vm);
	else if (vm)
		world_vm_kill(vm);
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
	world_vm_of(script_world, words[0])->frozen = true;
}

static void step_thaw(char **words, int count)
{
	(void)count;
	world_vm_thaw(world_vm_of(script_world, words[0]));
}

static void step_platform(char **words, int count)
{
	if (!strcmp(words[0], "lose"))
		script_world->lose =
			count > 1 ? (int)script_number(words[1]) : 1;
	else
		script_world->platform_down = !strcmp(words[0], "down");
}

static void step_net(char **words, int count)
{
	(void)count;
	if (!strcmp(words[0], "loss"))
		script_world->loss_percent = (int)script_number(words[1]);
	else if (!strcmp(words[0], "double"))
		script_world->double_percent = (int)script_number(words[1]);
	else if (!strcmp(words[0], "jitter"))
		script_world->jitter_us = script_number(words[1]) * KL_MS;
}

static void step_list(char **words, int count)
{
	(void)count;
	world_list_vm(world_vm_of(script_world, words[0]), words[1]);
}

static void step_begin(char **words, int count)
{
	pending_t *pending = g_new0(pending_t, 1);
	int error = world_begin(world_vm_of(script_world, words[0]), words[1],
				words[2], pending);
	(void)count;

	if (error) {
		printf("%s: not run: %s\n", words[2], script_kind_name(error));
		g_free(pending);
		return;
	}
	printf("%s: run on %s in term %llu\n", words[2], pending->db->name,
	       (unsigned long long)pending->term);
	g_ptr_array_add(script_world->pendings, pending);
}

static void step_confirm(char **words, int count)
{
	(void)count;
	for (guint i = 0; i < script_world->pendings->len; i++) {
		pending_t *pending =
			g_ptr_array_index(script_world->pendings, i);
		uint64_t violations = script_world->violations;
		const char *proof = "";
		int error;

		if (strcmp(pending->id, words[0]))
			continue;
		error = world_confirm(pending, &proof);
		if (error)
			printf("%s: %s\n", words[0], script_kind_name(error));
		else
			printf("%s: acknowledged by %s%s\n", words[0], proof,
			       script_world->violations > violations
				       ? ", but the primary was replaced"
				       : "");
		return;
	}
}

static void step_write(char **words, int count)
{
	static const char id[] = "write";
	char *begin[] = { words[0], words[1], (char *)id };
	char *confirm[] = { (char *)id };

	(void)count;
	for (guint i = 0; i < script_world->pendings->len; i++) {
		pending_t *pending =
			g_ptr_array_index(script_world->pendings, i);

		if (!strcmp(pending->id, id)) {
			g_ptr_array_remove_index(script_world->pendings, i);
			break;
		}
	}
	step_begin(begin, 3);
	step_confirm(confirm, 1);
}

static void step_lag(char **words, int count)
{
	(void)count;
	world_db_of(script_world, words[0])->lag_us =
		script_number(words[1]) * KL_MS;
}

static void step_take(char **words, int count)
{
	(void)count;
	printf("admitted %llu\n", (unsigned long long)world_take(
					  world_vm_of(script_world, words[0]),
					  words[1], script_number(words[2])));
}

static void step_load(char **words, int count)
{
	(void)count;
	world_load(script_world, world_vm_of(script_world, words[0]), words[1],
		   script_number(words[2]));
}

/* tune NAME MS: of VMs started from now on, but path_lease at once. */
static void step_tune(char **words, int count)
{
	uint64_t us = script_number(words[1]) * KL_MS;
	(void)count;

	if (!strcmp(words[0], "lease"))
		script_world->tuning.lease_duration_us = us;
	else if (!strcmp(words[0], "path_lease"))
		script_world->path.lease_us = us;
	else if (!strcmp(words[0], "hold"))
		script_world->tuning.slot_lease_us = us;
	else if (!strcmp(words[0], "down"))
		script_world->tuning.min_downtime_us = us;
	else if (!strcmp(words[0], "stale_after"))
		script_world->path.stale_after_us = us;
	else if (!strcmp(words[0], "quiet"))
		script_world->quiet = us != 0;
	else if (!strcmp(words[0], "promotes"))
		world_promotes(script_world);
}

static void step_log(char **words, int count)
{
	(void)count;
	script_world->out = !strcmp(words[0], "on") ? stdout : NULL;
}

/* A database registers itself as leaving. */
static void step_leaves(char **words, int count)
{
	db_t *db = world_db_of(script_world, words[0]);
	(void)count;

	if (!db)
		return;
	db->leaving = true;
	world_register(script_world, db->service);
}

static void step_stop(char **words, int count)
{
	kl_event_t stop = { .kind = KL_EVENT_STOP };
	(void)count;

	kl_node_step(&world_vm_of(script_world, words[0])->node, &stop);
}

/* trap STATE NAME: it dies the moment a group's record shows the state. */
static void step_trap(char **words, int count)
{
	(void)count;
	kl_name_set(script_world->trap_state, words[0]);
	kl_name_set(script_world->trap_name, words[1]);
}

uint64_t script_number(const char *text)
{
	return strtoull(text, NULL, 10);
}

const char *script_kind_name(int error)
{
	return kl_error_info(error)->name;
}
