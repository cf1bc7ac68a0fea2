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

static kl_conn_t *open_channel(kl_endpoint_t *place, const char *workspace);
static void lend_idle(kl_endpoint_t *place);
static bool is_pressed(const kl_endpoint_t *place);
static kl_conn_t *oldest_idle(const kl_endpoint_t *place);
static bool make_room(kl_endpoint_t *place);
static void give_back(kl_endpoint_t *place);
static uint32_t opening(const kl_endpoint_t *place, const char *workspace);
static void channel_free(kl_conn_t *channel);
static void tidy_place(kl_endpoint_t *place);
static void ask_primary(kl_engine_t *engine, kl_cluster_t *cluster);
static void ask_place(kl_endpoint_t *place, bool proven);
static void move_reads(kl_endpoint_t *place);
static bool is_spare(const kl_endpoint_t *place, uint64_t unused_us);
static bool overdue(const kl_conn_t *channel, uint64_t now);

kl_conn_t *kl_conn_find_idle(const kl_endpoint_t *place, const char *workspace)
{
	kl_conn_t *channel, *best = NULL;

	CK_STAILQ_FOREACH(channel, &place->conns, link) {
		if (channel->stage != KL_CONN_IDLE ||
		    strcmp(channel->workspace, workspace))
			continue;
		/* The one used last: the others may then be closed. */
		if (!best || channel->stage_since_us > best->stage_since_us)
			best = channel;
	}
	return best;
}

void kl_endpoint_enqueue(kl_endpoint_t *place, kl_client_t *caller)
{
	caller->stmt.stage = KL_STMT_WAIT_CONN;
	caller->stmt.endpoint = place;
	place->queue_length++;
	CK_STAILQ_INSERT_TAIL(&place->queue, caller, queue_link);
}

void kl_endpoint_dequeue(kl_client_t *caller)
{
	kl_endpoint_t *place = caller->stmt.endpoint;

	place->queue_length--;
	CK_STAILQ_REMOVE(&place->queue, caller, kl_client, queue_link);
}

/*
 * Gives idle connections to those that wait.  Where the queue is long the one
 * that came last goes first: it can still be in time, while those that waited
 * long would make all that follow late.
 */
static void lend_idle(kl_endpoint_t *place)
{
	kl_client_t *caller, *chosen;
	kl_conn_t *channel;

	while (place->running < place->window) {
		chosen = NULL;
		CK_STAILQ_FOREACH(caller, &place->queue, queue_link) {
			if (!kl_conn_find_idle(place, caller->workspace))
				continue;
			chosen = caller;
			if (!is_pressed(place))
				break;
		}
		if (!chosen)
			return;
		channel = kl_conn_find_idle(place, chosen->workspace);
		kl_endpoint_dequeue(chosen);
		channel->stage = KL_CONN_IN_USE;
		kl_stmt_run(chosen, channel);
	}
}

static bool is_pressed(const kl_endpoint_t *place)
{
	const kl_client_t *oldest = CK_STAILQ_FIRST(&place->queue);

	return oldest &&
	       place->cluster->engine->now_us - oldest->stmt.received_us >
		       oldest->route.target_us / PRESSED_PART;
}

/* Gives connections to those that wait, and opens what is lacking. */
void kl_endpoint_serve_queue(kl_endpoint_t *place)
{
	uint64_t now = place->cluster->engine->now_us;
	kl_client_t *caller, *next;
	uint32_t want = 0;

	lend_idle(place);
	if (is_pressed(place) ||
	    (place->queue_length && place->running >= place->window))
		place->last_long_wait_us = now;
	CK_STAILQ_FOREACH_SAFE(caller, &place->queue, queue_link, next) {
		want++;
		if (opening(place, caller->workspace) >= want ||
		    place->running + want > place->window ||
		    now - place->connect_failed_us < BACKOFF_US)
			continue;
		if (place->open_conns >= place->conn_cap && !make_room(place))
			continue;
		open_channel(place, caller->workspace);
	}
}

/*
 * Closes what another workspace left idle, or takes one more than this VM's
 * even part: others may not need theirs, and the database says when they do.
 */
static bool make_room(kl_endpoint_t *place)
{
	uint64_t now = place->cluster->engine->now_us;
	kl_conn_t *channel = oldest_idle(place);

	if (channel) {
		kl_conn_close(channel);
		return true;
	}
	if (place->conn_cap >= place->conn_max ||
	    now - place->cap_raised_us < GROW_US ||
	    now - place->db_full_us < LIMIT_US)
		return false;
	place->cap_raised_us = now;
	place->conn_cap++;
	return true;
}

/* The database has too many: back to what this VM has now. */
static void give_back(kl_endpoint_t *place)
{
	place->db_full_us = place->cluster->engine->now_us;
	place->connect_failed_us = place->db_full_us;
	place->conn_cap = place->open_conns > 1 ? place->open_conns : 1;
}

static uint32_t opening(const kl_endpoint_t *place, const char *workspace)
{
	const kl_conn_t *channel;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(channel, &place->conns, link)
		count += channel->stage == KL_CONN_OPENING &&
			 !strcmp(channel->workspace, workspace);
	return count;
}

static kl_conn_t *oldest_idle(const kl_endpoint_t *place)
{
	kl_conn_t *channel, *oldest = NULL;

	CK_STAILQ_FOREACH(channel, &place->conns, link) {
		if (channel->stage == KL_CONN_IDLE &&
		    (!oldest ||
		     channel->stage_since_us < oldest->stage_since_us))
			oldest = channel;
	}
	return oldest;
}

static kl_conn_t *open_channel(kl_endpoint_t *place, const char *workspace)
{
	kl_engine_t *engine = place->cluster->engine;
	kl_conn_t *channel = calloc(1, sizeof(*channel));
	kl_conn_target_t target = { place->host, place->port,
				    place->cluster->name, place->name,
				    workspace };

	if (!channel)
		return NULL;
	channel->endpoint = place;
	channel->stage_since_us = engine->now_us;
	kl_name_set(channel->workspace, workspace);
	channel->handle =
		engine->ops->conn_open(engine->context, &target, channel);
	if (!channel->handle) {
		free(channel);
		place->connect_failed_us = engine->now_us;
		return NULL;
	}
	engine->counts.conns_opened++;
	place->open_conns++;
	CK_STAILQ_INSERT_TAIL(&place->conns, channel, link);
	return channel;
}

int kl_conn_send(kl_conn_t *channel, const kl_conn_msg_t *dispatch)
{
	kl_engine_t *engine = channel->endpoint->cluster->engine;

	return engine->ops->conn_send(engine->context, channel->handle,
				      dispatch);
}

void kl_conn_release(kl_conn_t *channel)
{
	channel->client = NULL;
	channel->stage = KL_CONN_IDLE;
	channel->stage_since_us = channel->endpoint->cluster->engine->now_us;
	if (!channel->endpoint->in_use)
		kl_conn_close(channel);
	else
		kl_endpoint_serve_queue(channel->endpoint);
}

/* A caller leaves it: what it began is rolled back, what runs ends unheard. */
void kl_conn_abandon(kl_conn_t *channel, bool open_transaction)
{
	if (channel->client) {
		if (channel->client->stmt.stage == KL_STMT_SENT)
			kl_endpoint_stmt_done(channel->endpoint);
		channel->client->conn = NULL;
	}
	channel->client = NULL;
	channel->primary_proven = false;
	channel->stage_since_us = channel->endpoint->cluster->engine->now_us;
	if (open_transaction) {
		kl_conn_close(channel);
		return;
	}
	channel->stage = KL_CONN_DETACHED;
	channel->status_asked = false;
}

void kl_conn_close(kl_conn_t *channel)
{
	kl_engine_t *engine = channel->endpoint->cluster->engine;

	engine->counts.conns_closed++;
	engine->ops->conn_close(engine->context, channel->handle);
	channel_free(channel);
}

static void channel_free(kl_conn_t *channel)
{
	kl_endpoint_t *place = channel->endpoint;

	if (channel->client)
		channel->client->conn = NULL;
	CK_STAILQ_REMOVE(&place->conns, channel, kl_conn, link);
	place->open_conns--;
	free(channel);
}

void kl_conn_ready(kl_conn_t *channel, kl_position_t position, uint64_t now_us)
{
	kl_engine_t *engine = channel->endpoint->cluster->engine;

	kl_engine_enter(engine, now_us);
	kl_endpoint_answered(channel->endpoint, channel, position);
	kl_conn_release(channel);
	kl_engine_exit(engine);
}

void kl_conn_answered(kl_conn_t *channel, const kl_stmt_result_t *outcome,
		      uint64_t now_us)
{
	kl_engine_t *engine = channel->endpoint->cluster->engine;
	kl_client_t *caller = channel->client;

	kl_engine_enter(engine, now_us);
	kl_endpoint_answered(channel->endpoint, channel, outcome->log_end);
	if (channel->pending_setups)
		channel->pending_setups--;
	if (caller && caller->stmt.stage != KL_STMT_NONE) {
		kl_stmt_answered(caller, outcome);
	} else if (!caller && !channel->pending_setups) {
		if (outcome->txn_state == 'I')
			kl_conn_release(channel);
		else
			kl_conn_close(channel);
	}
	kl_engine_exit(engine);
}

void kl_conn_lost(kl_conn_t *channel, int error, uint64_t now_us)
{
	kl_endpoint_t *place = channel->endpoint;
	kl_engine_t *engine = place->cluster->engine;
	kl_client_t *caller = channel->client;
	bool opened = channel->stage != KL_CONN_OPENING;

	kl_engine_enter(engine, now_us);
	engine->counts.conns_closed++;
	/* Of one that worked only this connection is known to be lost. */
	if (error != -KL_E_CONNECTIONS && !opened)
		kl_endpoint_failed(place, error == -KL_E_UPSTREAM, now_us);
	else if (opened)
		place->suspect = true;
	channel_free(channel);
	if (error == -KL_E_CONNECTIONS)
		give_back(place);
	if (caller)
		kl_stmt_conn_lost(caller);
	else if (!opened && error != -KL_E_CONNECTIONS)
		place->connect_failed_us = now_us;
	kl_engine_exit(engine);
}

void kl_conns_sweep(kl_engine_t *engine)
{
	kl_cluster_t *cluster;
	kl_endpoint_t *place;

	CK_STAILQ_FOREACH(cluster, &engine->clusters, link) {
		CK_STAILQ_FOREACH(place, &cluster->endpoints, link)
			tidy_place(place);
		ask_primary(engine, cluster);
	}
}

static void tidy_place(kl_endpoint_t *place)
{
	uint64_t now = place->cluster->engine->now_us;
	kl_conn_t *channel, *next;
	kl_client_t *caller, *after;

	CK_STAILQ_FOREACH_SAFE(channel, &place->conns, link, next) {
		uint64_t since = now - channel->stage_since_us;
		bool idle = channel->stage == KL_CONN_IDLE;

		if (overdue(channel, now)) {
			if (channel->stage == KL_CONN_OPENING)
				place->connect_failed_us = now;
			if (channel->stage == KL_CONN_OPENING ||
			    channel->status_asked)
				kl_endpoint_failed(place, false,
						   channel->stage_since_us);
			kl_conn_close(channel);
		} else if (idle && is_spare(place, since)) {
			kl_conn_close(channel);
		}
	}
	if (place->failing_since_us)
		move_reads(place);
	if (place->in_use && (place->suspect || kl_endpoint_stalled(place)))
		ask_place(place, false);
	if (place->conn_cap > place->conn_share &&
	    CK_STAILQ_EMPTY(&place->queue) &&
	    place->open_conns < place->conn_cap)
		place->conn_cap--;
	if (place->conn_cap < place->conn_share &&
	    now - place->db_full_us > LIMIT_US)
		place->conn_cap = place->conn_share;
	/* What waits at a place that fails may find another one. */
	if (place->failing_since_us || !place->in_use) {
		CK_STAILQ_FOREACH_SAFE(caller, &place->queue, queue_link,
				       after) {
			kl_endpoint_dequeue(caller);
			caller->stmt.avoid_upstream = place;
			caller->stmt.endpoint = NULL;
			kl_client_wait(caller, KL_STMT_WAIT_UPSTREAM);
		}
	}
	if (!CK_STAILQ_EMPTY(&place->queue))
		kl_endpoint_serve_queue(place);
}

/*
 * Where statements waited lately each new connection takes a slot from them:
 * there only what is above an even part is closed.
 */
static bool is_spare(const kl_endpoint_t *place, uint64_t unused_us)
{
	uint64_t now = place->cluster->engine->now_us;

	if (!place->in_use || unused_us > IDLE_MOST_US)
		return true;
	if (now - place->last_long_wait_us < CALM_US)
		return unused_us > SURPLUS_US &&
		       place->open_conns > place->conn_share;
	return unused_us > (place->open_conns > 1 ? SURPLUS_US : IDLE_US);
}

static bool overdue(const kl_conn_t *channel, uint64_t now)
{
	const kl_engine_t *engine = channel->endpoint->cluster->engine;
	uint64_t since = now - channel->stage_since_us;

	if (channel->stage == KL_CONN_OPENING)
		return since > engine->settings.connect_timeout_us;
	if (channel->stage == KL_CONN_DETACHED)
		return since > (channel->status_asked ? ASK_US : ABANDON_US);
	return false;
}

/* Keeps what is known of the primary fresh where no traffic does. */
static void ask_primary(kl_engine_t *engine, kl_cluster_t *cluster)
{
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);
	kl_endpoint_t *place;

	if (!cluster->last_used_us ||
	    engine->now_us - cluster->last_used_us > USED_US ||
	    !kl_engine_primary_proven(engine, group) ||
	    engine->now_us - kl_log_samples_newest_us(&cluster->samples) <
		    FRESH_US)
		return;
	place = kl_endpoint_find(cluster, group->primary);
	/* A connection for this alone costs more than the next read there. */
	if (place && place->in_use && oldest_idle(place))
		ask_place(place, true);
}

/* One question at a time; its answer, or its silence, tells of the place. */
static void ask_place(kl_endpoint_t *place, bool proven)
{
	static const kl_conn_msg_t status = { .kind = KL_CONN_MSG_STATUS };
	kl_engine_t *engine = place->cluster->engine;
	kl_conn_t *channel;

	CK_STAILQ_FOREACH(channel, &place->conns, link) {
		if ((channel->stage == KL_CONN_DETACHED &&
		     channel->status_asked) ||
		    channel->stage == KL_CONN_OPENING)
			return;
	}
	channel = oldest_idle(place);
	if (!channel) {
		if ((place->open_conns < place->conn_cap || place->suspect) &&
		    engine->now_us - place->connect_failed_us > BACKOFF_US)
			open_channel(place, place->cluster->last_workspace);
		return;
	}
	if (kl_conn_send(channel, &status)) {
		kl_conn_close(channel);
		return;
	}
	channel->stage = KL_CONN_DETACHED;
	channel->status_asked = true;
	channel->pending_setups = 1;
	channel->primary_proven = proven;
	channel->sent_us = engine->now_us;
	channel->stage_since_us = engine->now_us;
}

/* What runs at a place that fails and does no harm twice runs elsewhere. */
static void move_reads(kl_endpoint_t *place)
{
	kl_conn_t *channel, *next;

	CK_STAILQ_FOREACH_SAFE(channel, &place->conns, link, next) {
		kl_client_t *caller = channel->client;

		if (!caller || caller->txn_state != 'I' ||
		    caller->stmt.stage != KL_STMT_SENT || caller->stmt.writes)
			continue;
		kl_stmt_conn_lost(caller);
	}
}
