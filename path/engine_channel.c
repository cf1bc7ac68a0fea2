/* Pooled connections, lent to statements; each belongs to one workspace. */
#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define ASK_US (500 * KL_MS)	   /* a question is given up after this */
#define ABANDON_US (3 * KL_SEC)	   /* so is what a caller left behind */
#define FRESH_US (700 * KL_MS)	   /* the primary is asked this often */
#define USED_US (10 * KL_SEC)	   /* a group unused so long isn't asked */
#define IDLE_US (300 * KL_MS)	   /* an unused connection is closed */
#define IDLE_MOST_US (20 * KL_SEC) /* also where statements waited */
#define CALM_US (1 * KL_SEC)	   /* none waited for so long */
#define SURPLUS_US (200 * KL_MS)   /* one beside others is */
#define GROW_US (150 * KL_MS)	   /* between two steps above that part */
#define LIMIT_US (1500 * KL_MS)	   /* none after the database had too many */
#define PRESSED_PART 4 /* of its objective that one may wait in order */
#define BACKOFF_US (30 * KL_MS) /* after a refused connection */

static kl_channel_t *open_channel(kl_place_t *place, const char *workspace);
static void lend_idle(kl_place_t *place);
static bool is_pressed(const kl_place_t *place);
static kl_channel_t *oldest_idle(const kl_place_t *place);
static bool make_room(kl_place_t *place);
static void give_back(kl_place_t *place);
static uint32_t opening(const kl_place_t *place, const char *workspace);
static void channel_free(kl_channel_t *channel);
static void tidy_place(kl_place_t *place);
static void ask_primary(kl_engine_t *engine, kl_cluster_t *cluster);
static void ask_place(kl_place_t *place, bool proven);
static void move_reads(kl_place_t *place);
static bool is_spare(const kl_place_t *place, uint64_t unused_us);
static bool overdue(const kl_channel_t *channel, uint64_t now);

kl_channel_t *kl_channel_idle(const kl_place_t *place, const char *workspace)
{
	kl_channel_t *channel, *best = NULL;

	CK_STAILQ_FOREACH(channel, &place->channels, link) {
		if (channel->stage != KL_CHANNEL_IDLE ||
		    strcmp(channel->workspace, workspace))
			continue;
		/* The one used last: the others may then be closed. */
		if (!best || channel->since_us > best->since_us)
			best = channel;
	}
	return best;
}

void kl_place_enqueue(kl_place_t *place, kl_caller_t *caller)
{
	caller->run.stage = KL_RUN_CHANNEL;
	caller->run.place = place;
	place->waiting++;
	CK_STAILQ_INSERT_TAIL(&place->queue, caller, queued);
}

void kl_place_dequeue(kl_caller_t *caller)
{
	kl_place_t *place = caller->run.place;

	place->waiting--;
	CK_STAILQ_REMOVE(&place->queue, caller, kl_caller, queued);
}

/*
 * Gives idle connections to those that wait.  Where the queue is long the one
 * that came last goes first: it can still be in time, while those that waited
 * long would make all that follow late.
 */
static void lend_idle(kl_place_t *place)
{
	kl_caller_t *caller, *chosen;
	kl_channel_t *channel;

	while (place->running < place->window) {
		chosen = NULL;
		CK_STAILQ_FOREACH(caller, &place->queue, queued) {
			if (!kl_channel_idle(place, caller->workspace))
				continue;
			chosen = caller;
			if (!is_pressed(place))
				break;
		}
		if (!chosen)
			return;
		channel = kl_channel_idle(place, chosen->workspace);
		kl_place_dequeue(chosen);
		channel->stage = KL_CHANNEL_LEASED;
		kl_run_on(chosen, channel);
	}
}

static bool is_pressed(const kl_place_t *place)
{
	const kl_caller_t *oldest = CK_STAILQ_FIRST(&place->queue);

	return oldest && place->cluster->engine->now - oldest->run.came_us >
				 oldest->route.target_us / PRESSED_PART;
}

/* Gives connections to those that wait, and opens what is lacking. */
void kl_place_serve(kl_place_t *place)
{
	uint64_t now = place->cluster->engine->now;
	kl_caller_t *caller, *next;
	uint32_t want = 0;

	lend_idle(place);
	if (is_pressed(place) ||
	    (place->waiting && place->running >= place->window))
		place->queued_us = now;
	CK_STAILQ_FOREACH_SAFE(caller, &place->queue, queued, next) {
		want++;
		if (opening(place, caller->workspace) >= want ||
		    place->running + want > place->window ||
		    now - place->refused_us < BACKOFF_US)
			continue;
		if (place->open >= place->cap && !make_room(place))
			continue;
		open_channel(place, caller->workspace);
	}
}

/*
 * Closes what another workspace left idle, or takes one more than this VM's
 * even part: others may not need theirs, and the database says when they do.
 */
static bool make_room(kl_place_t *place)
{
	uint64_t now = place->cluster->engine->now;
	kl_channel_t *channel = oldest_idle(place);

	if (channel) {
		kl_channel_drop(channel);
		return true;
	}
	if (place->cap >= place->most || now - place->grown_us < GROW_US ||
	    now - place->limited_us < LIMIT_US)
		return false;
	place->grown_us = now;
	place->cap++;
	return true;
}

/* The database has too many: back to what this VM has now. */
static void give_back(kl_place_t *place)
{
	place->limited_us = place->cluster->engine->now;
	place->refused_us = place->limited_us;
	place->cap = place->open > 1 ? place->open : 1;
}

static uint32_t opening(const kl_place_t *place, const char *workspace)
{
	const kl_channel_t *channel;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(channel, &place->channels, link)
		count += channel->stage == KL_CHANNEL_OPENING &&
			 !strcmp(channel->workspace, workspace);
	return count;
}

static kl_channel_t *oldest_idle(const kl_place_t *place)
{
	kl_channel_t *channel, *oldest = NULL;

	CK_STAILQ_FOREACH(channel, &place->channels, link) {
		if (channel->stage == KL_CHANNEL_IDLE &&
		    (!oldest || channel->since_us < oldest->since_us))
			oldest = channel;
	}
	return oldest;
}

static kl_channel_t *open_channel(kl_place_t *place, const char *workspace)
{
	kl_engine_t *engine = place->cluster->engine;
	kl_channel_t *channel = calloc(1, sizeof(*channel));
	kl_channel_target_t target = { place->host, place->port,
				       place->cluster->name, place->name,
				       workspace };

	if (!channel)
		return NULL;
	channel->place = place;
	channel->since_us = engine->now;
	kl_name_set(channel->workspace, workspace);
	channel->handle = engine->ops->open(engine->context, &target, channel);
	if (!channel->handle) {
		free(channel);
		place->refused_us = engine->now;
		return NULL;
	}
	engine->counts.opened++;
	place->open++;
	CK_STAILQ_INSERT_TAIL(&place->channels, channel, link);
	return channel;
}

int kl_channel_send(kl_channel_t *channel, const kl_dispatch_t *dispatch)
{
	kl_engine_t *engine = channel->place->cluster->engine;

	return engine->ops->send(engine->context, channel->handle, dispatch);
}

void kl_channel_release(kl_channel_t *channel)
{
	channel->caller = NULL;
	channel->stage = KL_CHANNEL_IDLE;
	channel->since_us = channel->place->cluster->engine->now;
	if (!channel->place->present)
		kl_channel_drop(channel);
	else
		kl_place_serve(channel->place);
}

/* A caller leaves it: what it began is rolled back, what runs ends unheard. */
void kl_channel_abandon(kl_channel_t *channel, bool open_transaction)
{
	if (channel->caller) {
		if (channel->caller->run.stage == KL_RUN_SENT)
			kl_place_done(channel->place);
		channel->caller->channel = NULL;
	}
	channel->caller = NULL;
	channel->proven = false;
	channel->since_us = channel->place->cluster->engine->now;
	if (open_transaction) {
		kl_channel_drop(channel);
		return;
	}
	channel->stage = KL_CHANNEL_ASKING;
	channel->asks = false;
}

void kl_channel_drop(kl_channel_t *channel)
{
	kl_engine_t *engine = channel->place->cluster->engine;

	engine->counts.dropped++;
	engine->ops->close(engine->context, channel->handle);
	channel_free(channel);
}

static void channel_free(kl_channel_t *channel)
{
	kl_place_t *place = channel->place;

	if (channel->caller)
		channel->caller->channel = NULL;
	CK_STAILQ_REMOVE(&place->channels, channel, kl_channel, link);
	place->open--;
	free(channel);
}

void kl_channel_ready(kl_channel_t *channel, kl_position_t position,
		      uint64_t now_us)
{
	kl_engine_t *engine = channel->place->cluster->engine;

	kl_engine_enter(engine, now_us);
	kl_place_answered(channel->place, channel, position);
	kl_channel_release(channel);
	kl_engine_leave(engine);
}

void kl_channel_answered(kl_channel_t *channel, const kl_outcome_t *outcome,
			 uint64_t now_us)
{
	kl_engine_t *engine = channel->place->cluster->engine;
	kl_caller_t *caller = channel->caller;

	kl_engine_enter(engine, now_us);
	kl_place_answered(channel->place, channel, outcome->position);
	if (channel->setups)
		channel->setups--;
	if (caller && caller->run.stage != KL_RUN_NONE) {
		kl_run_answered(caller, outcome);
	} else if (!caller && !channel->setups) {
		if (outcome->state == 'I')
			kl_channel_release(channel);
		else
			kl_channel_drop(channel);
	}
	kl_engine_leave(engine);
}

void kl_channel_lost(kl_channel_t *channel, int error, uint64_t now_us)
{
	kl_place_t *place = channel->place;
	kl_engine_t *engine = place->cluster->engine;
	kl_caller_t *caller = channel->caller;
	bool opened = channel->stage != KL_CHANNEL_OPENING;

	kl_engine_enter(engine, now_us);
	engine->counts.dropped++;
	/* Of one that worked only this connection is known to be lost. */
	if (error != -KL_E_CONNECTIONS && !opened)
		kl_place_bad(place, error == -KL_E_UPSTREAM, now_us);
	else if (opened)
		place->doubted = true;
	channel_free(channel);
	if (error == -KL_E_CONNECTIONS)
		give_back(place);
	if (caller)
		kl_run_lost(caller);
	else if (!opened && error != -KL_E_CONNECTIONS)
		place->refused_us = now_us;
	kl_engine_leave(engine);
}

void kl_channels_tidy(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_place_t *place;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(place, &cluster->places, link)
			tidy_place(place);
		ask_primary(engine, cluster);
	}
}

static void tidy_place(kl_place_t *place)
{
	uint64_t now = place->cluster->engine->now;
	kl_channel_t *channel, *next;
	kl_caller_t *caller, *after;

	CK_STAILQ_FOREACH_SAFE(channel, &place->channels, link, next) {
		uint64_t since = now - channel->since_us;
		bool idle = channel->stage == KL_CHANNEL_IDLE;

		if (overdue(channel, now)) {
			if (channel->stage == KL_CHANNEL_OPENING)
				place->refused_us = now;
			if (channel->stage == KL_CHANNEL_OPENING ||
			    channel->asks)
				kl_place_bad(place, false, channel->since_us);
			kl_channel_drop(channel);
		} else if (idle && is_spare(place, since)) {
			kl_channel_drop(channel);
		}
	}
	if (place->failing_us)
		move_reads(place);
	if (place->present && (place->doubted || kl_place_stalled(place)))
		ask_place(place, false);
	if (place->cap > place->part && CK_STAILQ_EMPTY(&place->queue) &&
	    place->open < place->cap)
		place->cap--;
	if (place->cap < place->part && now - place->limited_us > LIMIT_US)
		place->cap = place->part;
	/* What waits at a place that fails may find another one. */
	if (place->failing_us || !place->present) {
		CK_STAILQ_FOREACH_SAFE(caller, &place->queue, queued, after) {
			kl_place_dequeue(caller);
			caller->run.avoid = place;
			caller->run.place = NULL;
			kl_caller_wait(caller, KL_RUN_ROUTE);
		}
	}
	if (!CK_STAILQ_EMPTY(&place->queue))
		kl_place_serve(place);
}

/*
 * Where statements waited lately each new connection takes a slot from them:
 * there only what is above an even part is closed.
 */
static bool is_spare(const kl_place_t *place, uint64_t unused_us)
{
	uint64_t now = place->cluster->engine->now;

	if (!place->present || unused_us > IDLE_MOST_US)
		return true;
	if (now - place->queued_us < CALM_US)
		return unused_us > SURPLUS_US && place->open > place->part;
	return unused_us > (place->open > 1 ? SURPLUS_US : IDLE_US);
}

static bool overdue(const kl_channel_t *channel, uint64_t now)
{
	const kl_engine_t *engine = channel->place->cluster->engine;
	uint64_t since = now - channel->since_us;

	if (channel->stage == KL_CHANNEL_OPENING)
		return since > engine->settings.connect_us;
	if (channel->stage == KL_CHANNEL_ASKING)
		return since > (channel->asks ? ASK_US : ABANDON_US);
	return false;
}

/* Keeps what is known of the primary fresh where no traffic does. */
static void ask_primary(kl_engine_t *engine, kl_cluster_t *cluster)
{
	const kl_group_t *group = kl_engine_group(engine, cluster->name);
	kl_place_t *place;

	if (!cluster->used_us || engine->now - cluster->used_us > USED_US ||
	    !kl_engine_proven(engine, group) ||
	    engine->now - kl_points_newest(&cluster->points) < FRESH_US)
		return;
	place = kl_place_of(cluster, group->primary);
	/* A connection for this alone costs more than the next read there. */
	if (place && place->present && oldest_idle(place))
		ask_place(place, true);
}

/* One question at a time; its answer, or its silence, tells of the place. */
static void ask_place(kl_place_t *place, bool proven)
{
	static const kl_dispatch_t status = { .kind = KL_DISPATCH_STATUS };
	kl_engine_t *engine = place->cluster->engine;
	kl_channel_t *channel;

	CK_STAILQ_FOREACH(channel, &place->channels, link) {
		if ((channel->stage == KL_CHANNEL_ASKING && channel->asks) ||
		    channel->stage == KL_CHANNEL_OPENING)
			return;
	}
	channel = oldest_idle(place);
	if (!channel) {
		if ((place->open < place->cap || place->doubted) &&
		    engine->now - place->refused_us > BACKOFF_US)
			open_channel(place, place->cluster->workspace);
		return;
	}
	if (kl_channel_send(channel, &status)) {
		kl_channel_drop(channel);
		return;
	}
	channel->stage = KL_CHANNEL_ASKING;
	channel->asks = true;
	channel->setups = 1;
	channel->proven = proven;
	channel->sent_us = engine->now;
	channel->since_us = engine->now;
}

/* What runs at a place that fails and does no harm twice runs elsewhere. */
static void move_reads(kl_place_t *place)
{
	kl_channel_t *channel, *next;

	CK_STAILQ_FOREACH_SAFE(channel, &place->channels, link, next) {
		kl_caller_t *caller = channel->caller;

		if (!caller || caller->transaction != 'I' ||
		    caller->run.stage != KL_RUN_SENT || caller->run.writes)
			continue;
		kl_run_lost(caller);
	}
}
