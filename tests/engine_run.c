/*
 * Runs a script on the engine with model databases and prints what happened;
 * the expected output stands beside the script.  docs/DEVELOPERS.md lists the
 * steps.
 */
#include <ck_pr.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/share.h"
#include "tests/engine_model.h"

#define WORDS 16
#define LINE 512

typedef void (*step_t)(char **words, int count);

static model_t *model;
static char routes[MODEL_NAMES][6][KL_NAME_MAX];
static uint32_t route_count;
static char keys[MODEL_NAMES][2][KL_NAME_MAX];
static uint32_t key_count;
static char primary[KL_NAME_MAX];
static char group_state;

static void step_db(char **words, int count);
static void step_set(char **words, int count);
static void step_route(char **words, int count);
static void step_drop(char **words, int count);
static void step_key(char **words, int count);
static void step_revoke(char **words, int count);
static void step_tokens(char **words, int count);
static void step_primary(char **words, int count);
static void step_lease(char **words, int count);
static void step_login(char **words, int count);
static void step_query(char **words, int count);
static void step_leave(char **words, int count);
static void step_load(char **words, int count);
static void step_report(char **words, int count);
static void step_run(char **words, int count);
static void step_drain(char **words, int count);
static void step_show(char **words, int count);
static void step_trace(char **words, int count);
static void publish(void);
static void publish_config(void);
static void publish_terms(void);
static void publish_shares(void);
static void destroy_shares(kl_snapshot_t *snapshot);

static const struct {
	const char *name;
	int least;
	step_t run;
} steps[] = {
	{ "db", 5, step_db },	      { "set", 3, step_set },
	{ "route", 5, step_route },   { "drop", 1, step_drop },
	{ "key", 2, step_key },	      { "revoke", 1, step_revoke },
	{ "tokens", 2, step_tokens }, { "primary", 1, step_primary },
	{ "lease", 1, step_lease },   { "login", 3, step_login },
	{ "query", 3, step_query },   { "leave", 1, step_leave },
	{ "load", 7, step_load },     { "report", 0, step_report },
	{ "run", 1, step_run },	      { "drain", 1, step_drain },
	{ "show", 1, step_show },     { "trace", 1, step_trace },
};

int main(int argc, char **argv)
{
	FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;
	char line[LINE];

	if (!file) {
		fprintf(stderr, "usage: engine_run SCRIPT\n");
		return 2;
	}
	model = model_new();
	while (fgets(line, sizeof(line), file)) {
		char *words[WORDS] = { NULL };
		char *place = NULL;
		char *word;
		int count = 0;
		bool known = false;

		line[strcspn(line, "\n")] = '\0';
		if (!line[0])
			continue;
		printf("%s%s\n", line[0] == '#' ? "" : "> ", line);
		if (line[0] == '#')
			continue;
		for (word = strtok_r(line, " ", &place); word && count < WORDS;
		     word = strtok_r(NULL, " ", &place))
			words[count++] = word;
		if (!count)
			continue;
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, words[0]) ||
			    count <= steps[i].least)
				continue;
			steps[i].run(words + 1, count - 1);
			known = true;
		}
		if (!known)
			printf("no such step\n");
	}
	fclose(file);
	model_free(model);
	return 0;
}

/* db NAME DOMAIN SLOTS CONNECTIONS WORK_MS, all of one service. */
static void step_db(char **words, int count)
{
	model_db_t *db = &model->dbs[model->db_count++];
	(void)count;

	kl_name_set(db->name, words[0]);
	kl_name_set(db->service, "s");
	kl_name_set(db->domain, words[1]);
	db->slots = (uint32_t)strtoul(words[2], NULL, 10);
	db->most = (uint32_t)strtoul(words[3], NULL, 10);
	db->work_us = strtoull(words[4], NULL, 10) * KL_MS;
	db->term = 1;
	publish();
}

/* set DB FIELD VALUE */
static void step_set(char **words, int count)
{
	model_db_t *db = model_db(model, words[0]);
	uint64_t value = strtoull(words[2], NULL, 10);
	(void)count;

	if (!db)
		return;
	if (!strcmp(words[1], "down"))
		db->down = value;
	else if (!strcmp(words[1], "silent"))
		db->silent = value;
	else if (!strcmp(words[1], "leaving"))
		db->leaving = value;
	else if (!strcmp(words[1], "absent"))
		db->absent = value;
	else if (!strcmp(words[1], "lag"))
		db->lag_us = value * KL_MS;
	else if (!strcmp(words[1], "work"))
		db->work_us = value * KL_MS;
	else if (!strcmp(words[1], "lose"))
		db->lose = (uint32_t)value;
	else if (!strcmp(words[1], "most"))
		db->most = (uint32_t)value;
	else if (!strcmp(words[1], "primary"))
		db->primary = value;
	else if (!strcmp(words[1], "term"))
		db->term = value;
	publish();
}

/* route NAME KIND AGE_MS TIMEOUT_MS TARGET_MS */
static void step_route(char **words, int count)
{
	for (int i = 0; i < 5 && i < count; i++)
		kl_name_set(routes[route_count][i], words[i]);
	route_count++;
	publish();
}

static void step_drop(char **words, int count)
{
	(void)count;
	for (uint32_t i = 0; i < route_count; i++)
		if (!strcmp(routes[i][0], words[0]))
			routes[i][0][0] = '\0';
	publish();
}

/* key WORKSPACE KEY */
static void step_key(char **words, int count)
{
	(void)count;
	kl_name_set(keys[key_count][0], words[0]);
	kl_name_set(keys[key_count++][1], words[1]);
	publish();
}

static void step_revoke(char **words, int count)
{
	(void)count;
	for (uint32_t i = 0; i < key_count; i++)
		if (!strcmp(keys[i][1], words[0]))
			keys[i][0][0] = '\0';
	publish();
}

/* tokens WORKSPACE COUNT: and no more than these */
static void step_tokens(char **words, int count)
{
	kl_bucket_t *bucket = NULL;
	(void)count;

	for (uint32_t i = 0; i < model->bucket_count; i++)
		if (!strcmp(model->buckets[i]->name.name, words[0]))
			bucket = model->buckets[i];
	if (!bucket) {
		bucket = calloc(1, sizeof(*bucket));
		kl_name_set(bucket->name.name, words[0]);
		bucket->valid_until_us = UINT64_MAX;
		model->buckets[model->bucket_count++] = bucket;
		publish_shares();
	}
	bucket->tokens_milli =
		strtoll(words[1], NULL, 10) * KL_TOKENS_PER_STATEMENT;
}

/* primary NAME [fencing]: as it is recorded */
static void step_primary(char **words, int count)
{
	kl_name_set(primary, words[0]);
	group_state = count > 1 ? 'f' : 's';
	model->version++;
	publish_terms();
	model_confirm(model);
}

static void step_lease(char **words, int count)
{
	(void)count;
	model->leased = !strcmp(words[0], "on");
	model_confirm(model);
}

static void step_login(char **words, int count)
{
	(void)count;
	model_login(model, words[0], words[1], words[2]);
}

/* query CALLER ID TEXT... */
static void step_query(char **words, int count)
{
	char text[LINE] = "";

	for (int i = 2; i < count; i++) {
		strcat(text, i > 2 ? " " : "");
		strcat(text, words[i]);
	}
	model_query(model, words[0], words[1], text);
}

static void step_leave(char **words, int count)
{
	(void)count;
	model_leave(model, words[0]);
}

/* load NAME ROUTE KEY A_SECOND FOR_MS AIM_MS TEXT */
static void step_load(char **words, int count)
{
	model_load_t *load = &model->loads[model->load_count++];

	kl_name_set(load->name, words[0]);
	kl_name_set(load->route, words[1]);
	kl_name_set(load->key, words[2]);
	load->every_us = KL_SEC / strtoull(words[3], NULL, 10);
	load->next_us = model->now;
	load->until_us = model->now + strtoull(words[4], NULL, 10) * KL_MS;
	load->aim_us = strtoull(words[5], NULL, 10) * KL_MS;
	snprintf(load->text, sizeof(load->text), "%s x%s", words[6],
		 count > 7 ? " y" : "");
}

static void step_report(char **words, int count)
{
	(void)words;
	(void)count;
	for (uint32_t i = 0; i < model->load_count; i++) {
		const model_load_t *load = &model->loads[i];

		printf("%s: asked %" PRIu64 " in aim %" PRIu64 " late %" PRIu64
		       " refused %" PRIu64 " unknown %" PRIu64
		       " longest refusal %" PRIu64 " ms\n",
		       load->name, load->asked, load->in_aim, load->late,
		       load->refused, load->unknown,
		       (uint64_t)(load->longest_refused_us / KL_MS));
	}
	for (uint32_t i = 0; i < model->db_count; i++) {
		const model_db_t *db = &model->dbs[i];

		printf("%s: ran %" PRIu64 " connections %" PRIu64
		       " turned off %" PRIu64 "\n",
		       db->name, db->ran, db->connected, db->turned_off);
	}
}

static void step_run(char **words, int count)
{
	(void)count;
	model_run(model, strtoull(words[0], NULL, 10));
}

/* drain MS: transactions may go on so long */
static void step_drain(char **words, int count)
{
	(void)count;
	kl_engine_drain(model->engine, model->now,
			model->now + strtoull(words[0], NULL, 10) * KL_MS);
}

static void step_show(char **words, int count)
{
	bool connections = !strcmp(words[0], "connections");
	(void)count;

	if (!strcmp(words[0], "sessions"))
		printf("%u sessions\n", kl_engine_client_count(model->engine));
	for (uint32_t i = 0; connections && i < model->db_count; i++)
		printf("%s: open %u\n", model->dbs[i].name, model->dbs[i].open);
}

static void step_trace(char **words, int count)
{
	(void)count;
	model->trace = !strcmp(words[0], "on");
}

static void publish(void)
{
	publish_config();
	kl_board_reclaim(model->writer);
}

static void publish_config(void)
{
	static const char *const kinds[] = { "primary", "aged", "session" };
	kl_config_t *config = kl_config_new(64);
	kl_service_t *service = calloc(1, sizeof(*service));
	kl_members_t *members = kl_members_new(4);
	kl_lifecycle_t *life = kl_lifecycle_new(KL_PHASE_SERVING);

	kl_name_set(service->name.name, "s");
	CK_STAILQ_INIT(&service->upstreams);
	CK_STAILQ_INSERT_TAIL(&config->services, service, link);
	kl_index_put(config->service_index, &service->name);
	for (uint32_t i = 0; i < model->db_count; i++) {
		const model_db_t *db = &model->dbs[i];
		kl_upstream_t *upstream = calloc(1, sizeof(*upstream));

		service->upstream_connections = db->most;
		if (db->absent) {
			free(upstream);
			continue;
		}
		kl_name_set(upstream->name.name, db->name);
		kl_name_set(upstream->domain, db->domain);
		strcpy(upstream->host, "10.0.0.1");
		upstream->port = (uint16_t)(1000 + i);
		upstream->leaving = db->leaving;
		upstream->service = service;
		service->upstream_count++;
		CK_STAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
	}
	for (uint32_t i = 0; i < route_count; i++) {
		kl_route_rule_t *route = calloc(1, sizeof(*route));

		kl_name_set(route->name.name, routes[i][0]);
		kl_name_set(route->service, "s");
		for (int k = 0; k < KL_ROUTE_KIND_COUNT; k++)
			if (!strcmp(routes[i][1], kinds[k]))
				route->kind = k;
		route->max_age_ms = (uint32_t)atoi(routes[i][2]);
		route->statement_timeout_ms = (uint32_t)atoi(routes[i][3]);
		route->target_latency_ms = (uint32_t)atoi(routes[i][4]);
		CK_STAILQ_INSERT_TAIL(&config->routes, route, link);
		if (route->name.name[0])
			kl_index_put(config->route_index, &route->name);
	}
	for (uint32_t i = 0; i < key_count; i++) {
		kl_workspace_t *workspace = calloc(1, sizeof(*workspace));
		kl_key_t *key = calloc(1, sizeof(*key));
		char hash[2 * KL_KEY_HASH_BYTES + 1];

		kl_name_set(workspace->name.name, keys[i][0]);
		CK_STAILQ_INIT(&workspace->keys);
		CK_STAILQ_INSERT_TAIL(&config->workspaces, workspace, link);
		kl_key_hash(keys[i][1], hash);
		kl_name_set(key->hash.name, hash);
		key->workspace = workspace;
		key->withdrawn = !keys[i][0][0];
		CK_STAILQ_INSERT_TAIL(&config->keys, key, config_link);
		kl_index_put(config->key_index, &key->hash);
	}
	members->active_count = 1;
	kl_board_publish(model->writer, KL_SECTION_CONFIG, &config->base);
	kl_board_publish(model->writer, KL_SECTION_MEMBERS, &members->base);
	kl_board_publish(model->writer, KL_SECTION_LIFECYCLE, &life->base);
}

static void publish_terms(void)
{
	kl_terms_t *terms = kl_terms_new(4);
	kl_group_t *group = calloc(1, sizeof(*group));

	terms->revision = model->version;
	kl_name_set(group->name.name, "s");
	kl_name_set(group->primary, primary);
	group->version = model->version;
	group->term = model->version;
	group->state = group_state == 's' ? KL_GROUP_STABLE : KL_GROUP_FENCING;
	CK_STAILQ_INSERT_TAIL(&terms->groups, group, link);
	kl_index_put(terms->index, &group->name);
	kl_board_publish(model->writer, KL_SECTION_TERMS, &terms->base);
	kl_board_reclaim(model->writer);
}

static void publish_shares(void)
{
	kl_buckets_t *shares = calloc(1, sizeof(*shares));

	shares->base.destroy = destroy_shares;
	shares->index = kl_index_new(MODEL_NAMES);
	for (uint32_t i = 0; i < model->bucket_count; i++)
		kl_index_put(shares->index, &model->buckets[i]->name);
	kl_board_publish(model->writer, KL_SECTION_BUCKETS, &shares->base);
	kl_board_reclaim(model->writer);
}

static void destroy_shares(kl_snapshot_t *snapshot)
{
	kl_buckets_t *shares = (kl_buckets_t *)snapshot;

	kl_index_free(shares->index);
	free(shares);
}
