/* A statement on its connection: set up, sent, answered, lost or overdue. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define TRIES_MAX 6
#define STALE_IDLE_US (1500 * KL_MS) /* so long unused: asked first */
#define SETUP_US (300 * KL_MS)	     /* for the answers to a set-up */
#define BUSY_RETRY_US (8 * KL_MS)    /* after a full database */
#define LEAD_RETRY_US (50 * KL_MS)   /* after one that lost its role */

/* What becomes of a statement that certainly did not run. */
typedef struct retry_row {
	uint64_t pause_us;
	int error;
	bool breaks; /* the connection is of no use any more */
} retry_row_t;

static const retry_row_t retries[] = {
	{ BUSY_RETRY_US, -KL_E_NO_UPSTREAM, false },
	{ 0, -KL_E_LAGGING, false },
	{ LEAD_RETRY_US, -KL_E_READ_ONLY, false },
	{ LEAD_RETRY_US, -KL_E_MISROUTED, true },
	{ 0, -KL_E_NO_STATEMENT, true },
	{ BUSY_RETRY_US, -KL_E_CONNECTIONS, true },
};

static bool set_up(kl_caller_t *caller, kl_channel_t *channel);
static void send_statement(kl_caller_t *caller);
static void go_back(kl_caller_t *caller, int error, uint64_t pause_us);
static bool try_again(kl_caller_t *caller, const kl_outcome_t *outcome);
static bool commits(const kl_caller_t *caller, const kl_outcome_t *outcome);
static bool still_leads(const kl_caller_t *caller);
static void end_unknown(kl_caller_t *caller);
static void take_transaction(kl_caller_t *caller, const kl_outcome_t *outcome);
static void wait_longer(kl_caller_t *caller);
static uint64_t queue_until(const kl_caller_t *caller);
static void log_route(const kl_caller_t *caller);

void kl_run_on(kl_caller_t *caller, kl_channel_t *channel)
{
	caller->channel = channel;
	channel->caller = caller;
	caller->run.place = channel->place;
	caller->run.stage = KL_RUN_SETUP;
	caller->run.sent_us = caller->engine->now;
	if (set_up(caller, channel)) {
		kl_run_lost(caller);
		return;
	}
	if (!channel->setups)
		send_statement(caller);
}

/* Brings the connection to the session's state. @return whether it broke */
static bool set_up(kl_caller_t *caller, kl_channel_t *channel)
{
	static const kl_dispatch_t reset = { .kind = KL_DISPATCH_RESET };
	kl_session_state_t *state = &caller->state;
	const kl_state_entry_t *entry;
	bool other = channel->holder != caller->number;
	bool dirty = channel->version || channel->removed;
	bool stale = caller->engine->now - channel->since_us > STALE_IDLE_US;

	if (caller->transaction == 'I' &&
	    (stale || (other && dirty) ||
	     (!other && channel->removed != state->removed))) {
		if (kl_channel_send(channel, &reset))
			return true;
		channel->setups++;
		channel->version = 0;
	} else if (other) {
		channel->version = 0;
	}
	channel->holder = caller->number;
	channel->removed = state->removed;
	while ((entry = kl_state_missing(state, &channel->version))) {
		kl_dispatch_t dispatch = { .kind = KL_DISPATCH_SETUP,
					   .text = entry->text };

		if (kl_channel_send(channel, &dispatch))
			return true;
		channel->setups++;
	}
	return false;
}

static void send_statement(kl_caller_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_run_t *run = &caller->run;
	kl_channel_t *channel = caller->channel;
	const kl_group_t *group =
		kl_engine_group(engine, caller->route.service);
	bool leads = group && !strcmp(group->primary, run->place->name);
	kl_dispatch_t dispatch = { .kind = KL_DISPATCH_STATEMENT,
				   .id = run->id,
				   .text = run->text };

	channel->proven = leads && kl_engine_proven(engine, group);
	if (caller->transaction == 'I') {
		/* It may have changed while the connection was got ready. */
		if (!channel->proven &&
		    (kl_caller_needs_primary(caller) || !run->since.term)) {
			go_back(caller, 0, 0);
			return;
		}
		run->version = group ? group->version : 0;
		run->on_primary = channel->proven;
		if (!channel->proven)
			dispatch.since = run->since;
	}
	run->stage = KL_RUN_SENT;
	run->sent_us = engine->now;
	channel->sent_us = engine->now;
	if (kl_channel_send(channel, &dispatch)) {
		run->stage = KL_RUN_SETUP; /* nothing was sent */
		kl_run_lost(caller);
		return;
	}
	kl_place_sent(run->place);
	if (caller->transaction == 'I')
		log_route(caller);
}

void kl_run_answered(kl_caller_t *caller, const kl_outcome_t *outcome)
{
	kl_run_t *run = &caller->run;
	kl_outcome_t answer = *outcome;

	if (run->stage == KL_RUN_SETUP) {
		if (outcome->error && caller->transaction == 'I') {
			kl_channel_drop(caller->channel);
			go_back(caller, 0, 0);
		} else if (!caller->channel->setups) {
			send_statement(caller);
		}
		return;
	}
	kl_place_done(run->place);
	kl_place_took(run->place, caller->engine->now - run->sent_us,
		      caller->route.target_us);
	if (outcome->error && caller->transaction == 'I' &&
	    outcome->state == 'I' && try_again(caller, outcome))
		return;
	if (commits(caller, outcome)) {
		if (!still_leads(caller)) {
			end_unknown(caller);
			return;
		}
		caller->written = outcome->position;
		memcpy(caller->written_at, caller->route.service, KL_NAME_MAX);
	}
	take_transaction(caller, outcome);
	if (caller->transaction == 'I') {
		kl_channel_t *channel = caller->channel;

		caller->channel = NULL;
		kl_channel_release(channel);
	}
	if (answer.error)
		kl_caller_refuse(caller, answer.error);
	else
		kl_caller_pass(caller, &answer);
}

/* Whether the answer says that something was written for good. */
static bool commits(const kl_caller_t *caller, const kl_outcome_t *outcome)
{
	const kl_run_t *run = &caller->run;

	if (outcome->error)
		return false;
	if (caller->transaction == 'I')
		return run->writes && outcome->state == 'I';
	return caller->transaction == 'T' && run->verb == KL_VERB_COMMIT &&
	       caller->wrote;
}

/* Whether the primary that ran it is proven to be the primary still. */
static bool still_leads(const kl_caller_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	const kl_group_t *group =
		kl_engine_group(engine, caller->route.service);
	uint64_t version = caller->transaction == 'I' ? caller->run.version
						      : caller->begun_version;

	return kl_engine_proven(engine, group) && group->version == version;
}

static void end_unknown(kl_caller_t *caller)
{
	kl_channel_t *channel = caller->channel;

	caller->channel = NULL;
	caller->transaction = 'I';
	kl_channel_release(channel);
	kl_caller_refuse(caller, -KL_E_REPLACED);
}

static void take_transaction(kl_caller_t *caller, const kl_outcome_t *outcome)
{
	kl_run_t *run = &caller->run;

	if (caller->transaction == 'I' && outcome->state != 'I')
		caller->begun_version = run->version;
	if (caller->transaction == 'T' && run->writes && !outcome->error)
		caller->wrote = true;
	caller->transaction = outcome->state;
}

/* Sends it elsewhere, or to the same place later. */
static bool try_again(kl_caller_t *caller, const kl_outcome_t *outcome)
{
	kl_run_t *run = &caller->run;
	kl_engine_t *engine = caller->engine;
	const retry_row_t *row = NULL;
	bool reads = !run->writes;

	for (size_t i = 0; i < sizeof(retries) / sizeof(*retries); i++)
		if (retries[i].error == outcome->error)
			row = &retries[i];
	if (!row && !(reads && outcome->error == -KL_E_UPSTREAM))
		return false;
	if (outcome->error == -KL_E_LAGGING)
		run->place->lagging_us = engine->now;
	if (++run->tries >= TRIES_MAX || engine->now >= run->wait_until_us)
		return false;
	run->avoid = run->place;
	if (row && row->breaks) {
		kl_channel_drop(caller->channel);
	} else {
		kl_channel_t *channel = caller->channel;

		caller->channel = NULL;
		kl_channel_release(channel);
	}
	engine->counts.retries++;
	go_back(caller, outcome->error, row ? row->pause_us : 0);
	return true;
}

/* Back to the choice of an upstream. */
static void go_back(kl_caller_t *caller, int error, uint64_t pause_us)
{
	kl_channel_t *channel = caller->channel;

	caller->channel = NULL;
	if (channel)
		kl_channel_release(channel);
	caller->run.place = NULL;
	caller->run.last_error = error;
	caller->run.retry_us = caller->engine->now + pause_us;
	/* By the next tick: what was released must be served first. */
	kl_caller_wait(caller, KL_RUN_ROUTE);
}

/* A read that was lost with its database gets time for another one. */
static void wait_longer(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;
	uint64_t until = caller->engine->now + caller->route.target_us;

	if (until > run->deadline_us)
		until = run->deadline_us;
	if (until > run->wait_until_us)
		run->wait_until_us = until;
	if (until > run->queue_until_us)
		run->queue_until_us = until;
}

/* Its connection is gone. */
void kl_run_lost(kl_caller_t *caller)
{
	kl_run_t *run = &caller->run;
	bool sent = run->stage == KL_RUN_SENT;
	char before = caller->transaction;

	if (sent)
		kl_place_done(run->place);
	if (caller->channel)
		kl_channel_drop(caller->channel);
	caller->channel = NULL;
	if (run->stage == KL_RUN_NONE)
		return; /* The next statement hears of it. */
	if (sent && !run->writes)
		wait_longer(caller);
	if (before == 'I') {
		if (sent && run->writes) {
			kl_caller_refuse(caller, -KL_E_UNKNOWN_OUTCOME);
		} else if (++run->tries < TRIES_MAX &&
			   caller->engine->now < run->wait_until_us) {
			run->avoid = run->place;
			caller->engine->counts.retries++;
			go_back(caller, sent ? -KL_E_UPSTREAM : 0, 0);
		} else {
			kl_caller_refuse(caller, sent ? -KL_E_UPSTREAM
						      : -KL_E_NO_UPSTREAM);
		}
		return;
	}
	caller->transaction = 'E';
	if (run->verb == KL_VERB_ROLLBACK) {
		caller->transaction = 'I';
		kl_caller_done(caller);
		return;
	}
	if (run->verb == KL_VERB_COMMIT) {
		caller->transaction = 'I';
		kl_caller_refuse(caller, sent && before == 'T' && caller->wrote
						 ? -KL_E_UNKNOWN_OUTCOME
						 : -KL_E_ABORTED);
		return;
	}
	kl_caller_refuse(caller, -KL_E_ABORTED);
}

/* So long that the statement can still be in time once it is sent. */
static uint64_t queue_until(const kl_caller_t *caller)
{
	const kl_run_t *run = &caller->run;
	uint64_t whole = run->queue_until_us - run->came_us;
	uint64_t needs = run->place->latency_us + run->place->latency_us / 4;

	if (needs > whole - whole / 4)
		needs = whole - whole / 4;
	return run->queue_until_us - needs;
}

/* Looks at the deadlines of what waits, is set up or runs. */
void kl_run_overdue(kl_caller_t *caller)
{
	kl_engine_t *engine = caller->engine;
	kl_run_t *run = &caller->run;
	char before = caller->transaction;

	if (run->stage == KL_RUN_CHANNEL &&
	    engine->now >= queue_until(caller)) {
		kl_caller_refuse(caller, -KL_E_DEADLINE);
		return;
	}
	if (run->stage == KL_RUN_SETUP &&
	    engine->now - run->sent_us > SETUP_US) {
		run->place->doubted = true;
		kl_run_lost(caller);
		return;
	}
	if (run->stage != KL_RUN_SENT || engine->now < run->deadline_us)
		return;
	run->place->doubted = true;
	kl_place_done(run->place);
	kl_channel_drop(caller->channel);
	caller->channel = NULL;
	if (before == 'I' || run->verb == KL_VERB_COMMIT ||
	    run->verb == KL_VERB_ROLLBACK)
		caller->transaction = 'I';
	else
		caller->transaction = 'E';
	kl_caller_refuse(caller, before == 'T' && run->verb == KL_VERB_COMMIT &&
						 caller->wrote
					 ? -KL_E_UNKNOWN_OUTCOME
					 : -KL_E_TIMEOUT);
}

static void log_route(const kl_caller_t *caller)
{
	kl_engine_t *engine = caller->engine;
	const kl_run_t *run = &caller->run;
	kl_decision_t decision = { .what = "route",
				   .request = run->id,
				   .workspace = caller->workspace,
				   .service = caller->route.service,
				   .upstream = run->place->name,
				   .reason = run->on_primary ? "primary"
							     : "replica",
				   .term = run->since.term,
				   .position = run->since.number,
				   .age_us = engine->now - run->came_us };

	if (!run->on_primary)
		engine->counts.reads_replica++;
	else if (run->writes || run->verb == KL_VERB_BEGIN)
		engine->counts.writes++;
	else
		engine->counts.reads_primary++;
	engine->ops->decided(engine->context, &decision);
}
