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
#include "tests/world.h"

#define WORDS 16
#define LINE 1024
#define AWAIT_US (60 * KL_SEC)

typedef void (*step_t)(char **words, int count);

static world_t *world;
static int failed;

static void step_seed(char **words, int count);
static void step_vm(char **words, int count);
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
static void step_await(char **words, int count);
static void step_within(char **words, int count);
static void step_read(char **words, int count);
static void step_lag(char **words, int count);
static void step_take(char **words, int count);
static void step_load(char **words, int count);
static void step_loads(char **words, int count);
static void step_show(char **words, int count);
static void step_tune(char **words, int count);
static void step_log(char **words, int count);
static void step_auth(char **words, int count);
static void step_stop(char **words, int count);
static void step_violations(char **words, int count);
static void step_trap(char **words, int count);
static bool holds(char **words, int count);
static void set_side(const char *name, int side);
static uint64_t number(const char *text);
static const char *kind_name(int error);

static const struct {
	const char *name;
	int least;
	step_t run;
} steps[] = {
	{ "seed", 1, step_seed },
	{ "vm", 2, step_vm },
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
	{ "violations", 0, step_violations },
	{ "trap", 2, step_trap },
};

int main(int argc, char **argv)
{
	FILE *in = argc > 1 ? fopen(argv[1], "r") : stdin;
	char line[LINE];

	if (!in)
		return 2;
	world = world_new(1);
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
			failed = 1;
		}
	}
	if (world->violations)
		printf("violations: %llu\n",
		       (unsigned long long)world->violations);
	world_free(world);
	if (in != stdin)
		fclose(in);
	return failed;
}

static void step_seed(char **words, int count)
{
	(void)count;
	g_rand_set_seed(world->random, (guint32)number(words[0]));
}

static void step_vm(char **words, int count)
{
	(void)count;
	world_vm(world, words[0], words[1]);
}

static void step_db(char **words, int count)
{
	(void)count;
	world_db(world, words[0], words[1], words[2]);
}

static void step_service(char **words, int count)
{
	(void)count;
	world_service(world, words[0], (int)number(words[1]));
}

/* The words after the name are the document. */
static void step_doc(char **words, int count)
{
	GString *body = g_string_new(NULL);

	for (int i = 1; i < count; i++)
		g_string_append_printf(body, "%s%s", i > 1 ? " " : "",
				       words[i]);
	world_put(world, words[0], body->str);
	g_string_free(body, TRUE);
}

static void step_run(char **words, int count)
{
	(void)count;
	world_run(world, number(words[0]) * KL_MS);
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
	for (guint i = 0; i < world->vms->len; i++)
		((vm_t *)g_ptr_array_index(world->vms, i))->side = 0;
	for (guint i = 0; i < world->dbs->len; i++)
		((db_t *)g_ptr_array_index(world->dbs, i))->side = 0;
	world->platform_side = 0;
}

static void set_side(const char *name, int side)
{
	vm_t *vm = world_vm_of(world, name);
	db_t *db = world_db_of(world, name);

	if (vm)
		vm->side = side;
	if (db)
		db->side = side;
	if (!strcmp(name, "platform"))
		world->platform_side = side;
}

static void step_kill(char **words, int count)
{
	vm_t *vm = world_vm_of(world, words[0]);
	db_t *db = world_db_of(world, words[0]);
	(void)count;

	if (vm)
		world_vm_kill(vm);
	if (db)
		db->up = false;
}

static void step_start(char **words, int count)
{
	vm_t *vm = world_vm_of(world, words[0]);
	db_t *db = world_db_of(world, words[0]);
	(void)count;

	if (vm)
		world_vm_start(vm);
	if (db)
		db->up = true;
}

static void step_freeze(char **words, int count)
{
	(void)count;
	world_vm_of(world, words[0])->frozen = true;
}

static void step_thaw(char **words, int count)
{
	(void)count;
	world_vm_thaw(world_vm_of(world, words[0]));
}

static void step_platform(char **words, int count)
{
	if (!strcmp(words[0], "lose"))
		world->lose = count > 1 ? (int)number(words[1]) : 1;
	else
		world->platform_down = !strcmp(words[0], "down");
}

static void step_net(char **words, int count)
{
	(void)count;
	if (!strcmp(words[0], "loss"))
		world->loss_percent = (int)number(words[1]);
	else if (!strcmp(words[0], "double"))
		world->double_percent = (int)number(words[1]);
	else if (!strcmp(words[0], "jitter"))
		world->jitter_us = number(words[1]) * KL_MS;
}

static void step_list(char **words, int count)
{
	(void)count;
	world_list_vm(world_vm_of(world, words[0]), words[1]);
}

static void step_begin(char **words, int count)
{
	pending_t *pending = g_new0(pending_t, 1);
	int error = world_begin(world_vm_of(world, words[0]), words[1],
				words[2], pending);
	(void)count;

	if (error) {
		printf("%s: not run: %s\n", words[2], kind_name(error));
		g_free(pending);
		return;
	}
	printf("%s: run on %s in term %llu\n", words[2], pending->db->name,
	       (unsigned long long)pending->term);
	g_ptr_array_add(world->pendings, pending);
}

static void step_confirm(char **words, int count)
{
	(void)count;
	for (guint i = 0; i < world->pendings->len; i++) {
		pending_t *pending = g_ptr_array_index(world->pendings, i);
		uint64_t violations = world->violations;
		const char *proof = "";
		int error;

		if (strcmp(pending->id, words[0]))
			continue;
		error = world_confirm(pending, &proof);
		if (error)
			printf("%s: %s\n", words[0], kind_name(error));
		else
			printf("%s: acknowledged by %s%s\n", words[0], proof,
			       world->violations > violations
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
	for (guint i = 0; i < world->pendings->len; i++) {
		pending_t *pending = g_ptr_array_index(world->pendings, i);

		if (!strcmp(pending->id, id)) {
			g_ptr_array_remove_index(world->pendings, i);
			break;
		}
	}
	step_begin(begin, 3);
	step_confirm(confirm, 1);
}

/* await CONDITION...: runs until it holds. */
static void step_await(char **words, int count)
{
	uint64_t start = world->now;

	while (!holds(words, count) && world->now - start < AWAIT_US)
		world_run(world, 10 * KL_MS);
	printf("%s\n", holds(words, count) ? "holds" : "never holds");
}

/* within MS CONDITION...: the same against a bound. */
static void step_within(char **words, int count)
{
	uint64_t bound = number(words[0]) * KL_MS;
	uint64_t start = world->now;
	bool good;

	while (!holds(words + 1, count - 1) && world->now - start < bound)
		world_run(world, 10 * KL_MS);
	good = holds(words + 1, count - 1);
	printf("%s\n", good ? "in time" : "too late");
	fprintf(stderr, "%s: %llu ms\n", words[1],
		(unsigned long long)((world->now - start) / KL_MS));
}

/* Conditions: "writes VM SERVICE", "term SERVICE N", "revision VM", ... */
static bool holds(char **words, int count)
{
	vm_t *vm = world_vm_of(world, words[1]);
	kl_scene_t scene = { 0 };
	pending_t pending;
	const char *proof;

	if (vm && vm->up)
		world_scene(vm, &scene);
	if (!strcmp(words[0], "writes"))
		return !world_begin(vm, words[2], "probe", &pending) &&
		       !world_confirm(&pending, &proof);
	if (!strcmp(words[0], "term")) {
		kl_group_t group = world_recorded(world, words[1]);

		return group.state == KL_GROUP_STABLE &&
		       group.term >= number(words[2]);
	}
	if (!strcmp(words[0], "revision")) {
		for (guint i = 0; i < world->vms->len; i++) {
			const kl_config_t *config;

			vm = g_ptr_array_index(world->vms, i);
			if (!vm->up || vm->frozen)
				continue;
			config = kl_node_get(&vm->node, KL_SECTION_CONFIG);
			if (!config || config->revision < number(words[1]))
				return false;
		}
		return true;
	}
	if (!strcmp(words[0], "current")) {
		const kl_config_t *config = scene.config;

		return config && config->revision == world->revision;
	}
	if (!strcmp(words[0], "everywhere")) {
		for (guint i = 0; i < world->vms->len; i++) {
			const kl_config_t *config;

			vm = g_ptr_array_index(world->vms, i);
			if (!vm->up || vm->frozen)
				continue;
			config = kl_node_get(&vm->node, KL_SECTION_CONFIG);
			if (!config || config->revision < world->revision)
				return false;
		}
		return true;
	}
	if (!strcmp(words[0], "phase"))
		return scene.life &&
		       scene.life->phase == (!strcmp(words[2], "draining")
						     ? KL_PHASE_DRAINING
						     : KL_PHASE_SERVING);
	if (!strcmp(words[0], "slots"))
		return kl_share_slots_held(&vm->node) == number(words[2]);
	(void)count;
	printf("no such condition\n");
	failed = 1;
	return true;
}

/* read VM SERVICE unknown|new|TERM.POSITION [age MS] [waited MS] */
static void step_read(char **words, int count)
{
	vm_t *vm = world_vm_of(world, words[0]);
	kl_route_ask_t ask = { .service = words[1], .read = true };
	kl_scene_t scene;
	kl_route_t route;
	extern uint32_t script_load(const void *context, const char *name);

	ask.load = script_load;
	if (!strcmp(words[2], "new")) {
		ask.token.state = KL_TOKEN_NEW;
	} else if (strcmp(words[2], "unknown")) {
		unsigned long long term = 0, position = 0;

		sscanf(words[2], "%llu.%llu", &term, &position);
		ask.token.state = KL_TOKEN_KNOWN;
		ask.token.term = term;
		ask.token.position = position;
	}
	for (int i = 3; i + 1 < count; i += 2) {
		if (!strcmp(words[i], "age"))
			ask.max_age_us = number(words[i + 1]) * KL_MS;
		else
			ask.waited_us = number(words[i + 1]) * KL_MS;
	}
	world_scene(vm, &scene);
	kl_route(&scene, &world->path, &ask, &route);
	if (route.verdict == KL_VERDICT_GO)
		printf("%s %s\n", route.replica ? "replica" : "primary",
		       route.reason);
	else if (route.verdict == KL_VERDICT_WAIT)
		printf("wait %s\n", route.reason);
	else
		printf("refused %s\n", kind_name(route.error));
}

uint32_t script_load(const void *context, const char *name);
uint32_t script_load(const void *context, const char *name)
{
	(void)context;
	(void)name;
	return 0;
}

static void step_lag(char **words, int count)
{
	(void)count;
	world_db_of(world, words[0])->lag_us = number(words[1]) * KL_MS;
}

static void step_take(char **words, int count)
{
	(void)count;
	printf("admitted %llu\n",
	       (unsigned long long)world_take(world_vm_of(world, words[0]),
					      words[1], number(words[2])));
}

static void step_load(char **words, int count)
{
	(void)count;
	world_load(world, world_vm_of(world, words[0]), words[1],
		   number(words[2]));
}

/* loads: admitted and refused since the last time, over all VMs. */
static void step_loads(char **words, int count)
{
	uint64_t admitted = 0, refused = 0;
	(void)words;
	(void)count;

	for (guint i = 0; i < world->loads->len; i++) {
		load_t *load = g_ptr_array_index(world->loads, i);

		admitted += load->admitted;
		refused += load->refused;
		load->admitted = 0;
		load->refused = 0;
	}
	printf("admitted %llu refused %llu\n", (unsigned long long)admitted,
	       (unsigned long long)refused);
}

static void step_show(char **words, int count)
{
	vm_t *vm = world_vm_of(world, words[1]);
	(void)count;

	if (!strcmp(words[0], "group")) {
		kl_group_t group = world_recorded(world, words[1]);
		static const char *const states[] = { "stable", "fencing",
						      "promoting" };

		printf("term %llu %s primary %s\n",
		       (unsigned long long)group.term, states[group.state],
		       group.primary);
	} else if (!strcmp(words[0], "db")) {
		db_t *db = world_db_of(world, words[1]);

		printf("%s term %llu sealed %llu position %u\n",
		       db->primary ? "primary" : "replica",
		       (unsigned long long)db->term,
		       (unsigned long long)db->sealed, db->log->len);
	} else if (!strcmp(words[0], "calls")) {
		printf("%s\n",
		       vm->database_calls ? "asks databases" : "asks none");
		vm->database_calls = 0;
	} else if (!strcmp(words[0], "slots")) {
		printf("%u\n", kl_share_slots_held(&vm->node));
	} else if (!strcmp(words[0], "config")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);

		printf("refused documents %u\n", config->refused);
	} else if (!strcmp(words[0], "plan")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);
		const kl_plan_t *plan =
			kl_index_get(config->plan_index, words[2]);

		printf("rate %llu\n",
		       (unsigned long long)(plan ? plan->rate : 0));
	}
}

/* tune NAME MS: of VMs started from now on, but path_lease at once. */
static void step_tune(char **words, int count)
{
	uint64_t us = number(words[1]) * KL_MS;
	(void)count;

	if (!strcmp(words[0], "lease"))
		world->tuning.lease_us = us;
	else if (!strcmp(words[0], "path_lease"))
		world->path.lease_us = us;
	else if (!strcmp(words[0], "hold"))
		world->tuning.share_hold_us = us;
	else if (!strcmp(words[0], "stale_after"))
		world->path.stale_after_us = us;
	else if (!strcmp(words[0], "quiet"))
		world->quiet = us != 0;
}

static void step_log(char **words, int count)
{
	(void)count;
	world->out = !strcmp(words[0], "on") ? stdout : NULL;
}

/* auth VM WORKSPACE SERVICE HASH */
static void step_auth(char **words, int count)
{
	kl_scene_t scene;
	(void)count;

	world_scene(world_vm_of(world, words[0]), &scene);
	printf("%s\n", kind_name(kl_authenticate(&scene, &world->path, words[3],
						 words[1], words[2])));
}

static void step_stop(char **words, int count)
{
	kl_event_t stop = { .kind = KL_EVENT_STOP };
	(void)count;

	kl_node_step(&world_vm_of(world, words[0])->node, &stop);
}

static void step_violations(char **words, int count)
{
	(void)words;
	(void)count;
	printf("%llu\n", (unsigned long long)world->violations);
}

/* trap STATE NAME: it dies the moment a group's record shows the state. */
static void step_trap(char **words, int count)
{
	(void)count;
	kl_name_set(world->trap_state, words[0]);
	kl_name_set(world->trap_name, words[1]);
}

static uint64_t number(const char *text)
{
	return strtoull(text, NULL, 10);
}

static const char *kind_name(int error)
{
	return kl_answer_of(error)->name;
}
