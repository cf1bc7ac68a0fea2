/* A caller's session: logged in, told apart by statement and state, waits. */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define LOGIN_US (1 * KL_SEC) /* a login waits for a configuration */

typedef void (*handler_t)(kl_caller_t *caller, const kl_command_t *command);

static void go_on(kl_caller_t *caller, const kl_command_t *command);
static void end_failed(kl_caller_t *caller, const kl_command_t *command);
static void keep(kl_caller_t *caller, const kl_command_t *command);
static void nothing(kl_caller_t *caller, const kl_command_t *command);
static void malformed(kl_caller_t *caller, const kl_command_t *command);
static bool is_configured(const kl_engine_t *engine);
static void observe(kl_caller_t *caller, int error);
static void finish(kl_caller_t *caller);
static bool ends_session(int error);

const uint32_t kl_latencies_ms[KL_LATENCIES] = {
	5, 10, 25, 50, 100, 200, 400, 800, 1600, UINT32_MAX
};

/* What a statement does in a session that is idle, in a transaction, or in a
 * transaction that failed. */
static const handler_t handlers[KL_VERB_COUNT][3] = {
	[KL_VERB_BEGIN] = { kl_caller_begin, malformed, malformed },
	[KL_VERB_BEGIN_READ] = { kl_caller_begin, malformed, malformed },
	[KL_VERB_COMMIT] = { malformed, go_on, end_failed },
	[KL_VERB_ROLLBACK] = { nothing, go_on, end_failed },
	[KL_VERB_READ] = { kl_caller_begin, go_on, malformed },
	[KL_VERB_WRITE] = { kl_caller_begin, go_on, malformed },
	[KL_VERB_SET] = { keep, keep, malformed },
	[KL_VERB_PREPARE] = { keep, keep, malformed },
	[KL_VERB_EXECUTE] = { kl_caller_begin, go_on, malformed },
	[KL_VERB_DEALLOCATE] = { keep, keep, malformed },
	[KL_VERB_UNKNOWN] = { malformed, malformed, malformed },
};

kl_caller_t *kl_caller_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us)
{
	kl_caller_t *caller = calloc(1, sizeof(*caller));
	int error;

	if (!caller)
		return NULL;
	kl_engine_enter(engine, now_us);
	caller->engine = engine;
	caller->front = front;
	caller->number = ++engine->numbers;
	caller->transaction = 'I';
	caller->idle_us = now_us;
	kl_state_init(&caller->state);
	CK_LIST_INSERT_HEAD(&engine->list, caller, link);
	engine->callers++;
	if (*key)
		kl_key_hash(key, caller->key_hash);
	error = kl_name_set(caller->database, database)
			? -KL_E_NOT_FOUND
			: kl_caller_log_in(caller);
	if (kl_caller_answer_login(caller, error))
		caller = NULL;
	kl_engine_leave(engine);
	return caller;
}

/* Whether the caller is gone. */
bool kl_caller_answer_login(kl_caller_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_decision_t refused = { .what = "login_refused",
				  .service = caller->database,
				  .reason = kl_answer_of(error)->name };

	if (error && !is_configured(engine) &&
	    engine->now - caller->idle_us < LOGIN_US) {
		kl_caller_wait(caller, KL_RUN_LOGIN);
		return false;
	}
	caller->run.stage = KL_RUN_NONE;
	if (!error) {
		engine->ops->welcome(engine->context, caller->front);
		return false;
	}
	engine->ops->decided(engine->context, &refused);
	kl_caller_end(caller, error);
	return true;
}

/* A process that has just begun knows no configuration yet. */
static bool is_configured(const kl_engine_t *engine)
{
	const kl_life_t *life = engine->scene.life;

	return life && life->phase != KL_PHASE_STARTING && engine->scene.terms;
}

int kl_caller_log_in(kl_caller_t *caller)
{
	const kl_scene_t *scene = &caller->engine->scene;
	const char *workspace;
	kl_bucket_t *bucket;
	int error;

	if (!scene->config || !scene->terms)
		return -KL_E_STALE_CONFIG;
	error = kl_caller_check_access(caller, &workspace);
	if (!error)
		kl_name_set(caller->workspace, workspace);
	bucket = error ? NULL : kl_caller_bucket(caller);
	/* Counted, so that the parts of the plan are kept while it is open. */
	caller->counted = bucket != NULL;
	if (bucket)
		ck_pr_inc_64(&bucket->sessions);
	return error;
}

/* Whose the key is now, and whether the route asks for one. */
int kl_caller_check_access(const kl_caller_t *caller, const char **workspace)
{
	const kl_config_t *config = caller->engine->scene.config;
	const kl_route_rule_t *route;
	const kl_key_t *key;

	*workspace = "-";
	if (!config)
		return -KL_E_STALE_CONFIG;
	route = kl_index_get(config->route_index, caller->database);
	if (!route)
		return -KL_E_NOT_FOUND;
	key = kl_index_get(config->key_index, caller->key_hash);
	if (key && !key->withdrawn)
		*workspace = key->workspace->name.name;
	else if (!route->open)
		return -KL_E_AUTH;
	return 0;
}

void kl_caller_command(kl_caller_t *caller, const kl_command_t *command,
		       uint64_t now_us)
{
	kl_engine_t *engine = caller->engine;
	kl_run_t *run = &caller->run;
	int state = caller->transaction == 'I'	 ? 0
		    : caller->transaction == 'T' ? 1
						 : 2;

	kl_engine_enter(engine, now_us);
	memset(run, 0, sizeof(*run));
	run->id = strdup(command->id);
	run->text = strdup(command->text);
	run->verb = command->verb;
	run->came_us = now_us;
	run->stage = KL_RUN_ROUTE;
	if (run->id && run->text)
		handlers[command->verb][state](caller, command);
	else
		kl_caller_end(caller, -KL_E_NOMEM);
	kl_engine_leave(engine);
}

void kl_caller_gone(kl_caller_t *caller, uint64_t now_us)
{
	kl_engine_t *engine = caller->engine;

	kl_engine_enter(engine, now_us);
	caller->front = NULL;
	kl_caller_end(caller, 0);
	kl_engine_leave(engine);
}

int kl_caller_take_prepared(kl_caller_t *caller, const kl_command_t *command)
{
	const kl_state_entry_t *prepared;

	caller->run.writes = command->verb == KL_VERB_WRITE;
	if (command->verb != KL_VERB_EXECUTE)
		return 0;
	prepared = kl_state_prepared(&caller->state, command->name);
	if (!prepared)
		return -KL_E_NO_STATEMENT;
	caller->run.writes = prepared->writes;
	return 0;
}

void kl_caller_stop_counting(kl_caller_t *caller)
{
	kl_bucket_t *bucket = kl_caller_bucket(caller);

	if (caller->run.counted && bucket && ck_pr_load_64(&bucket->waiting))
		ck_pr_dec_64(&bucket->waiting);
	caller->run.counted = false;
}

/* A further statement of a transaction. */
static void go_on(kl_caller_t *caller, const kl_command_t *command)
{
	kl_run_t *run = &caller->run;
	const char *workspace;
	int error = kl_caller_check_access(caller, &workspace);

	if (!error && strcmp(workspace, caller->workspace))
		error = -KL_E_AUTH;
	/* Of a route that was dropped the transaction may end. */
	if (error == -KL_E_NOT_FOUND)
		error = 0;
	if (!error && !caller->channel) {
		caller->transaction = 'E';
		error = -KL_E_ABORTED;
		if (command->verb == KL_VERB_ROLLBACK) {
			caller->transaction = 'I';
			kl_caller_done(caller);
			return;
		}
		if (command->verb == KL_VERB_COMMIT)
			caller->transaction = 'I';
	}
	if (!error) {
		error = kl_caller_take_prepared(caller, command);
		if (error) {
			/* Never to be committed by a later statement. */
			kl_channel_abandon(caller->channel, true);
			caller->transaction = 'E';
		}
	}
	if (error) {
		kl_caller_refuse(caller, error);
		return;
	}
	run->place = caller->channel->place;
	run->deadline_us = run->came_us + caller->route.timeout_us;
	kl_run_on(caller, caller->channel);
}

/* COMMIT or ROLLBACK of a transaction that failed. */
static void end_failed(kl_caller_t *caller, const kl_command_t *command)
{
	kl_run_t *run = &caller->run;

	if (caller->channel) {
		run->place = caller->channel->place;
		run->deadline_us = run->came_us + caller->route.timeout_us;
		kl_run_on(caller, caller->channel);
		return;
	}
	caller->transaction = 'I';
	if (command->verb == KL_VERB_ROLLBACK)
		kl_caller_done(caller);
	else
		kl_caller_refuse(caller, -KL_E_ABORTED);
}

/* Session state is kept here and carried over when it is needed. */
static void keep(kl_caller_t *caller, const kl_command_t *command)
{
	int error;

	if (command->verb == KL_VERB_DEALLOCATE)
		error = kl_state_drop(&caller->state, command->name);
	else
		error = kl_state_set(
			&caller->state,
			command->verb == KL_VERB_SET ? KL_STATE_VALUE
						     : KL_STATE_PREPARED,
			command->name, command->writes, command->text);
	if (error)
		kl_caller_refuse(caller, error);
	else
		kl_caller_done(caller);
}

static void nothing(kl_caller_t *caller, const kl_command_t *command)
{
	(void)command;
	kl_caller_done(caller);
}

static void malformed(kl_caller_t *caller, const kl_command_t *command)
{
	(void)command;
	kl_caller_refuse(caller, -KL_E_PROTOCOL);
}

void kl_caller_refuse(kl_caller_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_run_t *run = &caller->run;
	kl_decision_t refused = { .what = "refused",
				  .request = run->id,
				  .workspace = caller->workspace,
				  .service = caller->route.service,
				  .upstream =
					  run->place ? run->place->name : "",
				  .reason = kl_answer_of(error)->name,
				  .position = run->since.number,
				  .age_us = engine->now - run->came_us };

	if (error == -KL_E_RATE)
		engine->counts.refused_rate++;
	else if (kl_answer_of(error)->not_run)
		engine->counts.refused_other++;
	else
		engine->counts.unknown++;
	engine->ops->decided(engine->context, &refused);
	observe(caller, error);
	finish(caller);
	if (ends_session(error)) {
		kl_caller_end(caller, error);
		return;
	}
	engine->ops->refuse(engine->context, caller->front, error,
			    caller->transaction);
}

void kl_caller_done(kl_caller_t *caller)
{
	kl_engine_t *engine = caller->engine;

	finish(caller);
	engine->ops->done(engine->context, caller->front, caller->transaction);
}

void kl_caller_pass(kl_caller_t *caller, const kl_outcome_t *outcome)
{
	kl_engine_t *engine = caller->engine;

	observe(caller, 0);
	finish(caller);
	engine->ops->result(engine->context, caller->front, outcome);
}

/* Statements that reach a database, by kind of route and by their end. */
static void observe(kl_caller_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_engine_counts_t *counts = &engine->counts;
	kl_route_kind_t kind = caller->route.kind;
	kl_ending_t ending = !error			    ? KL_ENDING_SERVED
			     : kl_answer_of(error)->not_run ? KL_ENDING_REFUSED
							    : KL_ENDING_FAILED;
	uint64_t took = engine->now - caller->run.came_us;
	int place = 0;

	while (place < KL_LATENCIES - 1 &&
	       took > kl_latencies_ms[place] * KL_MS)
		place++;
	counts->ended++;
	counts->latency[kind][ending][place]++;
	counts->latency_us[kind][ending] += took;
}

static void finish(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;

	kl_caller_stop_counting(caller);
	if (caller->looks)
		CK_LIST_REMOVE(caller, looked_at);
	caller->looks = false;
	if (run->stage == KL_RUN_CHANNEL)
		kl_place_dequeue(caller);
	run->stage = KL_RUN_NONE;
	caller->idle_us = caller->engine->now;
	free(run->id);
	free(run->text);
	run->id = NULL;
	run->text = NULL;
}

void kl_caller_end(kl_caller_t *caller, int error)
{
	kl_engine_t *engine = caller->engine;
	kl_bucket_t *bucket;
	bool sent = caller->run.stage == KL_RUN_SENT ||
		    caller->run.stage == KL_RUN_SETUP;

	finish(caller);
	if (caller->channel)
		kl_channel_abandon(caller->channel,
				   !sent || caller->transaction != 'I');
	if (caller->front)
		engine->ops->end(engine->context, caller->front, error);
	bucket = caller->counted ? kl_caller_bucket(caller) : NULL;
	if (bucket && ck_pr_load_64(&bucket->sessions))
		kl_leave_session(bucket);
	kl_state_clear(&caller->state);
	CK_LIST_REMOVE(caller, link);
	engine->callers--;
	free(caller);
}

static bool ends_session(int error)
{
	return error == -KL_E_AUTH || error == -KL_E_KEY_WITHDRAWN;
}
