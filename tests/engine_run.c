/*
 * Runs a script of tests/engine/ against an engine with simulated databases
 * and prints each step and what it caused.  The test compares this with the
 * expected output beside the script.  docs/DEVELOPERS.md lists the steps.
 */
#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/share.h"
#include "tests/engine_model.h"

/* From the end of transactions to the end of a planned stop, milliseconds. */
#define DRAIN_END_MS 2000
#define WORDS_MAX 16 /* of one step */
#define LINE_BYTES 512

typedef void (*step_handler_t)(char **args, int count);

static model_t *model;
static void step_db(char **args, int count);
static void step_set(char **args, int count);
static void set_leaving(model_db_t *db, bool leaving);
static void step_route(char **args, int count);
static void step_move(char **args, int count);
static void step_engine(char **args, int count);
static void step_drop(char **args, int count);
static void step_key(char **args, int count);
static void step_revoke(char **args, int count);
static void step_tokens(char **args, int count);
static void step_readd(char **args, int count);
static void step_primary(char **args, int count);
static void step_restored(char **args, int count);
static void step_lease(char **args, int count);
static void step_login(char **args, int count);
static void step_query(char **args, int count);
static void step_send(char **args, int count);
static void join_words(char **words, int count, char text[LINE_BYTES]);
static void step_leave(char **args, int count);
static void step_load(char **args, int count);
static void step_report(char **args, int count);
static void step_mark(char **args, int count);
static void step_run(char **args, int count);
static void step_drain(char **args, int count);
static void step_show(char **args, int count);
static void step_trace(char **args, int count);
static void step_vms(char **args, int count);
static void step_shared(char **args, int count);
static void step_figure(char **args, int count);

static const struct {
	const char *name;
	int min_args;
	step_handler_t handler;
} steps[] = {
	{ "db", 5, step_db },
	{ "set", 3, step_set },
	{ "route", 5, step_route },
	{ "move", 2, step_move },
	{ "drop", 1, step_drop },
	{ "key", 2, step_key },
	{ "revoke", 1, step_revoke },
	{ "tokens", 2, step_tokens },
	{ "primary", 1, step_primary },
	{ "lease", 1, step_lease },
	{ "login", 3, step_login },
	{ "query", 3, step_query },
	{ "send", 3, step_send },
	{ "leave", 1, step_leave },
	{ "load", 7, step_load },
	{ "report", 0, step_report },
	{ "run", 1, step_run },
	{ "drain", 1, step_drain },
	{ "show", 1, step_show },
	{ "trace", 1, step_trace },
	{ "vms", 1, step_vms },
	{ "shared", 1, step_shared },
	{ "readd", 1, step_readd },
	{ "mark", 2, step_mark },
	{ "restored", 0, step_restored },
	{ "engine", 2, step_engine },
	{ "figure", 2, step_figure },
};

int main(int argc, char **argv)
{
	FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;
	char line[LINE_BYTES];

	if (!file) {
		fprintf(stderr, "usage: engine_run SCRIPT\n");
		return 2;
	}
	model = model_new();
	while (fgets(line, sizeof(line), file)) {
		char *words[WORDS_MAX] = { NULL };
		char *saveptr = NULL;
		char *word;
		int count = 0;
		bool known = false;

		line[strcspn(line, "\n")] = '\0';
		if (!line[0])
			continue;
		printf("%s%s\n", line[0] == '#' ? "" : "> ", line);
		if (line[0] == '#')
			continue;
		for (word = strtok_r(line, " ", &saveptr);
		     word && count < WORDS_MAX;
		     word = strtok_r(NULL, " ", &saveptr))
			words[count++] = word;
		if (!count)
			continue;
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, words[0]) ||
			    count <= steps[i].min_args)
				continue;
			steps[i].handler(words + 1, count - 1);
			known = true;
		}
		if (!known)
			printf("unknown step or too few arguments\n");
	}
	fclose(file);
	model_free(model);
	return 0;
}

/* db NAME DOMAIN SLOTS MAX_CONNECTIONS WORK_MS [SERVICE]: registers it */
static void step_db(char **args, int count)
{
	model_db_t *db = &model->dbs[model->db_count++];

	kl_name_copy(db->name, args[0]);
	kl_name_copy(db->service, count > 5 ? args[5] : MODEL_SERVICE);
	kl_name_copy(db->domain, args[1]);
	db->slots = (uint32_t)strtoul(args[2], NULL, 10);
	db->max_connections = (uint32_t)strtoul(args[3], NULL, 10);
	db->statement_us = strtoull(args[4], NULL, 10) * KL_MS;
	db->term = 1;
	model_publish_config(model);
}

/*
 * set DB PROPERTY VALUE: lag and work in milliseconds, lose as a number of
 * answers, queue as a number of statements, down, silent, leaving, absent and
 * primary as 0 or 1
 */
static void step_set(char **args, int count)
{
	model_db_t *db = model_db(model, args[0]);
	uint64_t value = strtoull(args[2], NULL, 10);
	(void)count;

	if (!db)
		return;
	if (!strcmp(args[1], "down"))
		db->down = value;
	else if (!strcmp(args[1], "silent"))
		db->silent = value;
	else if (!strcmp(args[1], "leaving"))
		set_leaving(db, value);
	else if (!strcmp(args[1], "absent"))
		db->absent = value;
	else if (!strcmp(args[1], "lag"))
		db->lag_us = value * KL_MS;
	else if (!strcmp(args[1], "work"))
		db->statement_us = value * KL_MS;
	else if (!strcmp(args[1], "lose"))
		db->answers_to_lose = (uint32_t)value;
	else if (!strcmp(args[1], "queue"))
		db->queue_max = (uint32_t)value;
	else if (!strcmp(args[1], "max_connections"))
		db->max_connections = (uint32_t)value;
	else if (!strcmp(args[1], "foreign"))
		db->foreign_connections = (uint32_t)value;
	else if (!strcmp(args[1], "primary"))
		db->primary = value;
	else if (!strcmp(args[1], "term"))
		db->term = value;
	model_publish_config(model);
}

static void set_leaving(model_db_t *db, bool leaving)
{
	db->leaving = leaving;
	db->leaving_since_us = model->now_us;
}

/* route NAME KIND MAX_AGE_MS TIMEOUT_MS TARGET_MS [open|keys [PRIORITY]] */
static void step_route(char **args, int count)
{
	for (int i = 0; i < 7 && i < count; i++)
		kl_name_copy(model->routes[model->route_count][i], args[i]);
	kl_name_copy(model->route_services[model->route_count], MODEL_SERVICE);
	model->route_count++;
	model_publish_config(model);
}

/* move ROUTE SERVICE: the route leads to another service from now on */
static void step_move(char **args, int count)
{
	(void)count;
	for (uint32_t i = 0; i < model->route_count; i++)
		if (!strcmp(model->routes[i][0], args[0]))
			kl_name_copy(model->route_services[i], args[1]);
	model_publish_config(model);
}

/* engine SETTING VALUE: a new engine has this setting; before any login */
static void step_engine(char **args, int count)
{
	bool value = strtoul(args[1], NULL, 10);
	(void)count;

	if (!strcmp(args[0], "priority_queues"))
		model->settings.priority_queues = value;
	else if (!strcmp(args[0], "domain_spill"))
		model->settings.domain_spill = value;
	else if (!strcmp(args[0], "position_wait_ms"))
		model->settings.position_wait_us =
			strtoul(args[1], NULL, 10) * KL_MS;
	else
		printf("unknown setting\n");
	model_restart_engine(model);
}

/* drop ROUTE: removes it from the configuration */
static void step_drop(char **args, int count)
{
	(void)count;
	for (uint32_t i = 0; i < model->route_count; i++)
		if (!strcmp(model->routes[i][0], args[0]))
			model->routes[i][0][0] = '\0';
	model_publish_config(model);
}

/* key WORKSPACE KEY: gives the key to the workspace */
static void step_key(char **args, int count)
{
	uint32_t i = 0;
	(void)count;

	while (i < model->key_count && strcmp(model->keys[i][1], args[1]))
		i++;
	kl_name_copy(model->keys[i][0], args[0]);
	kl_name_copy(model->keys[i][1], args[1]);
	model->key_count += i == model->key_count;
	model_publish_config(model);
}

/* revoke KEY: withdraws it */
static void step_revoke(char **args, int count)
{
	(void)count;
	for (uint32_t i = 0; i < model->key_count; i++)
		if (!strcmp(model->keys[i][1], args[0]))
			model->keys[i][0][0] = '\0';
	model_publish_config(model);
}

/* tokens WORKSPACE COUNT: sets its token bucket, which nothing refills */
static void step_tokens(char **args, int count)
{
	kl_bucket_t *bucket = NULL;
	(void)count;

	for (uint32_t i = 0; i < model->bucket_count; i++)
		if (!strcmp(model->buckets[i]->name.name, args[0]))
			bucket = model->buckets[i];
	if (!bucket) {
		bucket = kl_bucket_new(args[0]);
		bucket->valid_until_us = UINT64_MAX;
		model->buckets[model->bucket_count++] = bucket;
		model_publish_buckets(model);
	}
	bucket->tokens_milli =
		strtoll(args[1], NULL, 10) * KL_TOKENS_PER_STATEMENT;
}

/* readd WORKSPACE: it is removed and added again, with an empty bucket */
static void step_readd(char **args, int count)
{
	(void)count;
	for (uint32_t i = 0; i < model->bucket_count; i++) {
		kl_bucket_t *old = model->buckets[i];

		if (strcmp(old->name.name, args[0]))
			continue;
		model->buckets[i] = kl_bucket_new(args[0]);
		model->buckets[i]->valid_until_us = UINT64_MAX;
		model_publish_buckets(model);
		kl_bucket_release(old);
	}
}

/*
 * primary NAME [fencing|outdated]: a new version of the group record names it;
 * an outdated one is from before a restore of the store
 */
static void step_primary(char **args, int count)
{
	kl_name_copy(model->recorded_primary, args[0]);
	model->fencing = count > 1 && !strcmp(args[1], "fencing");
	model->outdated = count > 1 && !strcmp(args[1], "outdated");
	model->record_version++;
	model_publish_terms(model);
	model_confirm(model);
}

/* lease on|off: whether confirmations of the group record continue */
/* The store was restored from a copy that has the same record of the group. */
static void step_restored(char **args, int count)
{
	(void)args;
	(void)count;
	model->store_era++;
	model_publish_terms(model);
	model_confirm(model);
}

static void step_lease(char **args, int count)
{
	(void)count;
	model->lease_held = !strcmp(args[0], "on");
	model_confirm(model);
}

/* login CLIENT ROUTE KEY */
static void step_login(char **args, int count)
{
	(void)count;
	model_client_login(model, args[0], args[1], args[2]);
}

/* query CLIENT ID TEXT... */
static void step_query(char **args, int count)
{
	char text[LINE_BYTES];

	join_words(args + 2, count - 2, text);
	model_client_query(model, args[0], args[1], text);
}

/* send CLIENT ID TEXT...: does not wait for the answer to the last statement */
static void step_send(char **args, int count)
{
	char text[LINE_BYTES];

	join_words(args + 2, count - 2, text);
	model_client_send(args[0], args[1], text);
}

static void join_words(char **words, int count, char text[LINE_BYTES])
{
	*text = '\0';
	for (int i = 0; i < count; i++) {
		strcat(text, i ? " " : "");
		strcat(text, words[i]);
	}
}

/* leave CLIENT: disconnects it */
static void step_leave(char **args, int count)
{
	(void)count;
	model_client_leave(model, args[0]);
}

/*
 * load NAME ROUTE KEY PER_SECOND DURATION_MS TARGET_MS VERB [WORD]: sends the
 * statement "VERB x" or "VERB x WORD" at a fixed rate; the word work=MS sets
 * its run time
 */
static void step_load(char **args, int count)
{
	model_load_t *load = &model->loads[model->load_count++];

	kl_name_copy(load->name, args[0]);
	kl_name_copy(load->route, args[1]);
	kl_name_copy(load->key, args[2]);
	load->interval_us = KL_SEC / strtoull(args[3], NULL, 10);
	load->next_start_at_us = model->now_us;
	load->end_at_us = model->now_us + strtoull(args[4], NULL, 10) * KL_MS;
	load->target_us = strtoull(args[5], NULL, 10) * KL_MS;
	snprintf(load->text, sizeof(load->text), "%s x%s%s", args[6],
		 count > 7 ? " " : "", count > 7 ? args[7] : "");
}

/*
 * mark DOMAIN AGE_MS [unknown] | mark DOMAIN off: its databases are taken out
 * of service since AGE_MS, which the VM learns now; "unknown": without the age
 */
static void step_mark(char **args, int count)
{
	model_mark_t *mark = NULL;

	for (uint32_t i = 0; i < model->mark_count; i++)
		if (!strcmp(model->marks[i].domain, args[0]))
			mark = &model->marks[i];
	if (!mark) {
		mark = &model->marks[model->mark_count++];
		kl_name_copy(mark->domain, args[0]);
	}
	mark->set = strcmp(args[1], "off") != 0;
	mark->set_at_us = model->now_us - strtoull(args[1], NULL, 10) * KL_MS;
	mark->known_at_us = count > 2 ? 0 : mark->set_at_us;
	model_publish_config(model);
}

/* run MS: advances the clock */
static void step_run(char **args, int count)
{
	(void)count;
	model_run(model, strtoull(args[0], NULL, 10));
}

/*
 * drain MS [END_MS]: planned stop; open transactions may go on for MS, and
 * statements that still run are given up after END_MS
 */
static void step_drain(char **args, int count)
{
	uint64_t until_us = model->now_us + strtoull(args[0], NULL, 10) * KL_MS;
	uint64_t end_us =
		count > 1 ? model->now_us + strtoull(args[1], NULL, 10) * KL_MS
			  : until_us + DRAIN_END_MS * KL_MS;

	kl_engine_drain(model->engine, model->now_us, until_us, end_us);
}

/* trace on|off: whether to print what is sent to databases */
static void step_trace(char **args, int count)
{
	(void)count;
	model->trace = !strcmp(args[0], "on");
}

/* vms N: number of VMs in service, this one included */
static void step_vms(char **args, int count)
{
	(void)count;
	model->vm_count = (uint32_t)strtoul(args[0], NULL, 10);
	model_publish_config(model);
}

/* shared AGE_MS: another VM sampled the primary's position that long ago */
static void step_shared(char **args, int count)
{
	(void)count;
	model_publish_position(model, strtoull(args[0], NULL, 10) * KL_MS);
}

/*
 * figure DB WAIT_MS | figure DB off: what VMs of its domain say of its load;
 * "off": they say nothing new
 */
static void step_figure(char **args, int count)
{
	model_db_t *db = model_db(model, args[0]);
	(void)count;

	if (!db)
		return;
	db->has_figure = strcmp(args[1], "off") != 0;
	if (db->has_figure)
		db->figure_wait_us = strtoull(args[1], NULL, 10) * KL_MS;
}

/* report: results of all loads and statistics of all databases */
static void step_report(char **args, int count)
{
	(void)args;
	(void)count;
	model_report(model);
}

/* show sessions|connections|counts|priorities|operations|spill */
static void step_show(char **args, int count)
{
	(void)count;
	model_show(model, args[0]);
}
