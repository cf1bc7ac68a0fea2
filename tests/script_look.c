/* Steps of a script that inspect the cluster or wait for a condition. */
#include <stdio.h>
#include <string.h>

#include "control/controllers.h"
#include "tests/script.h"

#define AWAIT_TIMEOUT_US (60 * KL_SEC)

static bool condition_holds(char **words, int count);
static uint32_t zero_load(const void *context, const char *name);

/* await CONDITION...: advances the clock until it holds, 60 s at most. */
static void show_position(vm_t *vm, const char *service);
static void show_leaving(vm_t *vm, const char *service, const char *name);
static void show_known(vm_t *vm, const char *service);

void step_await(char **words, int count)
{
	uint64_t start_us = script_world->now_us;

	while (!condition_holds(words, count) &&
	       script_world->now_us - start_us < AWAIT_TIMEOUT_US)
		world_run(script_world, 10 * KL_MS);
	printf("%s\n", condition_holds(words, count) ? "holds" : "never holds");
}

/* within MS CONDITION...: like await, for MS milliseconds at most. */
void step_within(char **words, int count)
{
	uint64_t limit_us = script_parse_number(words[0]) * KL_MS;
	uint64_t start_us = script_world->now_us;
	bool in_time;

	while (!condition_holds(words + 1, count - 1) &&
	       script_world->now_us - start_us < limit_us)
		world_run(script_world, 10 * KL_MS);
	in_time = condition_holds(words + 1, count - 1);
	printf("%s\n", in_time ? "in time" : "too late");
	fprintf(stderr, "%s: %llu ms\n", words[1],
		(unsigned long long)((script_world->now_us - start_us) /
				     KL_MS));
}

/* docs/DEVELOPERS.md lists the conditions. */
static bool condition_holds(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[1]);
	kl_view_t view = { 0 };
	pending_write_t pending;
	const char *proof;

	if (vm && vm->up)
		world_load_view(vm, &view);
	if (!strcmp(words[0], "writes"))
		return !world_begin_write(vm, words[2], "probe", &pending) &&
		       !world_confirm_write(&pending, &proof);
	if (!strcmp(words[0], "term")) {
		kl_group_t group = world_group_record(script_world, words[1]);

		return group.state == KL_GROUP_STABLE &&
		       group.term >= script_parse_number(words[2]);
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
		return view.lifecycle &&
		       view.lifecycle->phase == (!strcmp(words[2], "draining")
							 ? KL_PHASE_DRAINING
							 : KL_PHASE_SERVING);
	if (!strcmp(words[0], "slots"))
		return kl_share_owned_slot_count(&vm->node) ==
		       script_parse_number(words[2]);
	(void)count;
	printf("no such condition\n");
	script_failed = 1;
	return true;
}

/*
 * read VM SERVICE unknown|new|TERM.POSITION [age MS] [waited MS]
 *
 * Routes a read with a session token: an unknown one, a new session's or a
 * position.  age is the greatest age of data, waited the time since arrival.
 */
void step_read(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	kl_route_request_t request = { .service = words[1], .read_only = true };
	kl_view_t view;
	kl_route_choice_t choice;

	request.load = zero_load;
	if (!strcmp(words[2], "new")) {
		request.token.state = KL_TOKEN_NEW;
	} else if (strcmp(words[2], "unknown")) {
		unsigned long long term = 0, position = 0;

		sscanf(words[2], "%llu.%llu", &term, &position);
		request.token.state = KL_TOKEN_KNOWN;
		request.token.term = term;
		request.token.position = position;
	}
	for (int i = 3; i + 1 < count; i += 2) {
		if (!strcmp(words[i], "age"))
			request.max_age_us =
				script_parse_number(words[i + 1]) * KL_MS;
		else
			request.waited_us =
				script_parse_number(words[i + 1]) * KL_MS;
	}
	world_load_view(vm, &view);
	kl_route_choose(&view, &script_world->data_path_settings, &request,
			&choice);
	if (choice.verdict == KL_VERDICT_SEND)
		printf("%s %s\n", choice.on_replica ? "replica" : "primary",
		       choice.reason);
	else if (choice.verdict == KL_VERDICT_WAIT)
		printf("wait %s\n", choice.reason);
	else
		printf("refused %s\n", script_error_name(choice.error));
}

static uint32_t zero_load(const void *context, const char *name)
{
	(void)context;
	(void)name;
	return 0;
}

/* Prints whether an upstream leaves, as a VM knows it, and since when. */
static void show_leaving(vm_t *vm, const char *service, const char *name)
{
	const kl_config_t *config = kl_node_get(&vm->node, KL_SECTION_CONFIG);
	const kl_upstream_t *upstream = kl_service_find_upstream(
		kl_index_get(config->service_index, service), name);

	if (!upstream)
		printf("not registered\n");
	else if (!upstream->leaving)
		printf("in service\n");
	else if (!upstream->leaving_after_us)
		printf("leaving, not known since when\n");
	else
		printf("leaving for at most %llu ms\n",
		       (unsigned long long)((script_world->now_us -
					     upstream->leaving_after_us) /
					    KL_MS));
}

/*
 * show group SERVICE | db NAME | calls VM | slots VM | config VM | plan VM PLAN
 * | leaving VM SERVICE UPSTREAM | known VM SERVICE
 *
 * calls tells whether the VM called databases since the last "show calls".
 */
/* Prints the position on the blackboard of a VM, and its age. */
static void show_position(vm_t *vm, const char *service)
{
	const kl_positions_t *positions =
		kl_node_get(&vm->node, KL_SECTION_POSITIONS);
	const kl_primary_position_t *position =
		positions ? kl_index_get(positions->index, service) : NULL;

	if (!position)
		printf("none\n");
	else
		printf("%llu, %llu ms old\n",
		       (unsigned long long)position->number,
		       (unsigned long long)((script_world->now_us -
					     position->sampled_us) /
					    KL_MS));
}

/* Prints a group as a VM knows it. */
static void show_known(vm_t *vm, const char *service)
{
	const kl_group_t *group = world_vm_group(vm, service);

	if (group)
		printf("term %llu primary %s\n",
		       (unsigned long long)group->term, group->primary);
	else
		printf("not known\n");
}

/* Prints the load of a database on the blackboard of a VM. */
static void show_figure(vm_t *vm, const char *name)
{
	const kl_loads_t *loads = kl_node_get(&vm->node, KL_SECTION_LOADS);
	const kl_load_t *load = loads ? kl_index_get(loads->index, name) : NULL;

	if (!load)
		printf("none\n");
	else
		printf("wait %llu ms of %u answers, %llu ms away, %llu ms "
		       "old\n",
		       (unsigned long long)(load->wait_us / KL_MS),
		       load->answers,
		       (unsigned long long)(load->round_trip_us / KL_MS),
		       (unsigned long long)((script_world->now_us -
					     load->sampled_us) /
					    KL_MS));
}

void step_show(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[1]);
	(void)count;

	if (!strcmp(words[0], "group")) {
		kl_group_t group = world_group_record(script_world, words[1]);
		static const char *const states[] = { "stable", "fencing",
						      "promoting" };

		printf("term %llu %s primary %s\n",
		       (unsigned long long)group.term, states[group.state],
		       group.primary);
	} else if (!strcmp(words[0], "db")) {
		db_t *db = world_find_db(script_world, words[1]);

		printf("%s term %llu sealed %llu position %u\n",
		       db->is_primary ? "primary" : "replica",
		       (unsigned long long)db->term,
		       (unsigned long long)db->min_accepted_term, db->log->len);
	} else if (!strcmp(words[0], "known")) {
		show_known(vm, words[2]);
	} else if (!strcmp(words[0], "calls")) {
		printf("%s\n",
		       vm->database_calls ? "asks databases" : "asks none");
		vm->database_calls = 0;
	} else if (!strcmp(words[0], "slots")) {
		printf("%u\n", kl_share_owned_slot_count(&vm->node));
	} else if (!strcmp(words[0], "leaving")) {
		show_leaving(vm, words[2], words[3]);
	} else if (!strcmp(words[0], "config")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);

		printf("refused documents %u\n",
		       config->refused_document_count);
	} else if (!strcmp(words[0], "platform")) {
		printf("reads %llu writes %llu\n",
		       (unsigned long long)script_world->platform_reads,
		       (unsigned long long)script_world->platform_writes);
		script_world->platform_reads = 0;
		script_world->platform_writes = 0;
	} else if (!strcmp(words[0], "position")) {
		show_position(vm, words[2]);
	} else if (!strcmp(words[0], "messages")) {
		printf("%llu\n", (unsigned long long)vm->load_messages_sent);
		vm->load_messages_sent = 0;
	} else if (!strcmp(words[0], "figure")) {
		show_figure(vm, words[2]);
	} else if (!strcmp(words[0], "plan")) {
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);
		const kl_plan_t *plan =
			kl_index_get(config->plan_index, words[2]);

		printf("rate %llu\n",
		       (unsigned long long)(plan ? plan->rate : 0));
	}
}

/* auth VM WORKSPACE SERVICE HASH: HASH is the one of an API key. */
void step_auth(char **words, int count)
{
	kl_view_t view;
	(void)count;

	world_load_view(world_find_vm(script_world, words[0]), &view);
	printf("%s\n", script_error_name(kl_authenticate(
			       &view, &script_world->data_path_settings,
			       words[3], words[1], words[2])));
}

void step_violations(char **words, int count)
{
	(void)words;
	(void)count;
	printf("%llu\n", (unsigned long long)script_world->violations);
}

/* loads: statements admitted and refused on all VMs since the last loads. */
void step_loads(char **words, int count)
{
	uint64_t admitted = 0, refused = 0;
	(void)words;
	(void)count;

	for (guint i = 0; i < script_world->workloads->len; i++) {
		workload_t *workload =
			g_ptr_array_index(script_world->workloads, i);

		admitted += workload->admitted;
		refused += workload->refused;
		workload->admitted = 0;
		workload->refused = 0;
	}
	printf("admitted %llu refused %llu\n", (unsigned long long)admitted,
	       (unsigned long long)refused);
}

/* peerless VM 0|1: whether it sends and receives no messages of other VMs */
void step_peerless(char **words, int count)
{
	(void)count;
	world_find_vm(script_world, words[0])->peers_cut = words[1][0] == '1';
}

/* refuse VM 0|1: whether the platform turns its new calls away at once */
void step_refuse(char **words, int count)
{
	(void)count;
	world_find_vm(script_world, words[0])->refused = words[1][0] == '1';
}

/* silent VM FEED 0|1: whether its lists and watches of a feed get no answer */
void step_silent(char **words, int count)
{
	vm_t *vm = world_find_vm(script_world, words[0]);
	(void)count;

	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		if (strcmp(kl_feed_name(i), words[1]) != 0)
			continue;
		vm->silent_feeds &= ~(1u << i);
		vm->silent_feeds |= (uint32_t)(words[2][0] == '1') << i;
	}
}

/* cut_watches: the watches that wait at the platform fail */
void step_cut_watches(char **words, int count)
{
	(void)words;
	(void)count;
	script_world->watches_cut_us = script_world->now_us;
}
