/* Steps of a script that look at the world, and wait for what they see. */
#include <stdio.h>
#include <string.h>

#include "control/controllers.h"
#include "tests/script.h"

#define AWAIT_US (60 * KL_SEC)

static bool holds(char **words, int count);
static uint32_t no_load(const void *context, const char *name);

/* await CONDITION...: runs until it holds. */
void step_await(char **words, int count)
{
	uint64_t start = script_world->now;

	while (!holds(words, count) && script_world->now - start < AWAIT_US)
		world_run(script_world, 10 * KL_MS);
	printf("%s\n", holds(words, count) ? "holds" : "never holds");
}

/* within MS CONDITION...: the same against a bound. */
void step_within(char **words, int count)
{
	uint64_t bound = script_number(words[0]) * KL_MS;
	uint64_t start = script_world->now;
	bool good;

	while (!holds(words + 1, count - 1) &&
	       script_world->now - start < bound)
		world_run(script_world, 10 * KL_MS);
	good = holds(words + 1, count - 1);
	printf("%s\n", good ? "in time" : "too late");
	fprintf(stderr, "%s: %llu ms\n", words[1],
		(unsigned long long)((script_world->now - start) / KL_MS));
}

/* Conditions: docs/DEVELOPERS.md lists them. */
static bool holds(char **words, int count)
{
	vm_t *vm = world_vm_of(script_world, words[1]);
	kl_view_t scene = { 0 };
	pending_t pending;
	const char *proof;

	if (vm && vm->up)
		world_scene(vm, &scene);
	if (!strcmp(words[0], "writes"))
		return !world_begin(vm, words[2], "probe", &pending) &&
		       !world_confirm(&pending, &proof);
	if (!strcmp(words[0], "term")) {
		kl_group_t group = world_recorded(script_world, words[1]);

		return group.state == KL_GROUP_STABLE &&
		       group.term >= script_number(words[2]);
	}
	if (!strcmp(words[0], "everywhere")) {
		for (guint i = 0; i < script_world->vms->len; i++) {
			const kl_config_t *config;

			vm = g_ptr_array_index(script_world->vms, i);
			if (!vm->up || vm->frozen)
				continue;
			config = kl_node_get(&vm->node, KL_SECTION_CONFIG);
			if (!config ||
			    config->revision < script_world->revision)
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
		return kl_share_slots_owned(&vm->node) ==
		       script_number(words[2]);
	(void)count;
	printf("no such condition\n");
	script_failed = 1;
	return true;
}

/* read VM SERVICE unknown|new|TERM.POSITION [age MS] [waited MS] */
void step_read(char **words, int count)
{
	vm_t *vm = world_vm_of(script_world, words[0]);
	kl_route_request_t ask = { .service = words[1], .read = true };
	kl_view_t scene;
	kl_route_choice_t route;

	ask.load = no_load;
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
			ask.max_age_us = script_number(words[i + 1]) * KL_MS;
		else
			ask.waited_us = script_number(words[i + 1]) * KL_MS;
	}
	world_scene(vm, &scene);
	kl_route_choose(&scene, &script_world->path, &ask, &route);
	if (route.verdict == KL_VERDICT_SEND)
		printf("%s %s\n", route.replica ? "replica" : "primary",
		       route.reason);
	else if (route.verdict == KL_VERDICT_WAIT)
		printf("wait %s\n", route.reason);
	else
		printf("refused %s\n", script_kind_name(route.error));
}

static uint32_t no_load(const void *context, const char *name)
{
	(void)context;
	(void)name;
	return 0;
}

void step_show(char **words, int count)
{
	vm_t *vm = world_vm_of(script_world, words[1]);
	(void)count;

	if (!strcmp(words[0], "group")) {
		kl_group_t group = world_recorded(script_world, words[1]);
		static const char *const states[] = { "stable", "fencing",
						      "promoting" };

		printf("term %llu %s primary %s\n",
		       (unsigned long long)group.term, states[group.state],
		       group.primary);
	} else if (!strcmp(words[0], "db")) {
		db_t *db = world_db_of(script_world, words[1]);

		printf("%s term %llu sealed %llu position %u\n",
		       db->primary ? "primary" : "replica",
		       (unsigned long long)db->term,
		       (unsigned long long)db->sealed, db->log->len);
	} else if (!strcmp(words[0], "calls")) {
		printf("%s\n",
		       vm->database_calls ? "asks databases" : "asks none");
		vm->database_calls = 0;
	} else if (!strcmp(words[0], "slots")) {
		printf("%u\n", kl_share_slots_owned(&vm->node));
	} else if (!strcmp(words[0], "config")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);

		printf("refused documents %u\n", config->refused_documents);
	} else if (!strcmp(words[0], "plan")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);
		const kl_plan_t *plan =
			kl_index_get(config->plan_index, words[2]);

		printf("rate %llu\n",
		       (unsigned long long)(plan ? plan->rate : 0));
	}
}

/* auth VM WORKSPACE SERVICE HASH */
void step_auth(char **words, int count)
{
	kl_view_t scene;
	(void)count;

	world_scene(world_vm_of(script_world, words[0]), &scene);
	printf("%s\n",
	       script_kind_name(kl_authenticate(&scene, &script_world->path,
						words[3], words[1], words[2])));
}

void step_violations(char **words, int count)
{
	(void)words;
	(void)count;
	printf("%llu\n", (unsigned long long)script_world->violations);
}

/* loads: admitted and refused since the last time, over all VMs. */
void step_loads(char **words, int count)
{
	uint64_t admitted = 0, refused = 0;
	(void)words;
	(void)count;

	for (guint i = 0; i < script_world->loads->len; i++) {
		load_t *load = g_ptr_array_index(script_world->loads, i);

		admitted += load->admitted;
		refused += load->refused;
		load->admitted = 0;
		load->refused = 0;
	}
	printf("admitted %llu refused %llu\n", (unsigned long long)admitted,
	       (unsigned long long)refused);
}
