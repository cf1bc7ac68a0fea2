/*
 * Position controller: shares the log positions of primaries between VMs.
 *
 * A read that accepts data of a certain age may run on a replica that holds
 * what the primary had acknowledged that long ago.  A VM learns the primary's
 * position from replies to its own statements.  With many VMs each has few
 * statements for a service, and without a recent position its reads would all
 * go to the primary.  So it asks another VM of its failure domain.
 */
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"

/* Least time between two queries. */
#define QUERY_INTERVAL_US (100 * KL_MS)
/*
 * The shorter interval for first positions is used for this long, since there
 * may be no primary to report one.
 */
#define FIRST_QUERIES_US (500 * KL_MS)
/* Positions are asked for during this time after a read needed one. */
#define NEEDED_US (2 * KL_SEC)
/* A position is asked for again once it is older than this. */
#define REFRESH_US (300 * KL_MS)
/* Older positions are not passed on. */
#define POSITION_MAX_AGE_US (5 * KL_SEC)
/* An answer that takes longer is ignored. */
#define ANSWER_TIMEOUT_US (1 * KL_SEC)

/* What this VM knows of one service's primary. */
typedef struct entry {
	kl_primary_position_t position; /* first: its name is the index key */
	CK_STAILQ_ENTRY(entry) link;
	uint64_t needed_us;	  /* time when a read last needed it, or 0 */
	uint64_t first_needed_us; /* time when a read first needed it, or 0 */
} entry_t;

typedef struct position_state {
	CK_STAILQ_HEAD(, entry) entries;
	uint32_t count;
	kl_index_t *index; /* entries by service */
	uint64_t last_query_us;
} position_state_t;

static void handle_local(kl_node_t *node, position_state_t *state,
			 const kl_primary_position_t *position);
static void answer_query(kl_node_t *node, const position_state_t *state,
			 const kl_peer_message_t *query);
static bool handle_answer(kl_node_t *node, position_state_t *state,
			  const kl_peer_positions_t *answer);
static bool update_entry(entry_t *entry, const kl_primary_position_t *position);
static void send_query(kl_node_t *node, position_state_t *state);
static uint64_t query_interval_us(const kl_node_t *node,
				  const position_state_t *state);
static const kl_member_t *choose_peer(const kl_node_t *node);
static entry_t *find_entry(position_state_t *state, const char *service);
static void publish(kl_node_t *node, const position_state_t *state);

int kl_position_create(kl_node_t *node)
{
	position_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	node->state[KL_CONTROLLER_POSITION] = state;
	CK_STAILQ_INIT(&state->entries);
	state->index = kl_index_new(16);
	return state->index ? 0 : -KL_E_NOMEM;
}

void kl_position_destroy(kl_node_t *node)
{
	position_state_t *state = node->state[KL_CONTROLLER_POSITION];
	entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next)
		free(entry);
	kl_index_free(state->index);
	free(state);
}

void kl_position_step(kl_node_t *node, const kl_event_t *event)
{
	position_state_t *state = node->state[KL_CONTROLLER_POSITION];

	if (event->kind == KL_EVENT_POSITION)
		handle_local(node, state, event->position);
	else if (event->peer->kind == KL_PEER_POSITION_QUERY)
		answer_query(node, state, event->peer);
	else if (event->peer->kind == KL_PEER_POSITIONS &&
		 handle_answer(node, state, &event->peer->positions))
		publish(node, state);
}

/* Stores a position that this VM sampled, or notes that reads need one. */
static void handle_local(kl_node_t *node, position_state_t *state,
			 const kl_primary_position_t *position)
{
	entry_t *entry = find_entry(state, position->name.name);

	if (!entry)
		return;
	/* The engine knows its own samples, so nothing has to be published. */
	if (position->term) {
		update_entry(entry, position);
		return;
	}
	entry->needed_us = kl_node_now(node);
	if (!entry->first_needed_us)
		entry->first_needed_us = entry->needed_us;
	send_query(node, state);
}

static void answer_query(kl_node_t *node, const position_state_t *state,
			 const kl_peer_message_t *query)
{
	kl_peer_message_t answer = { .kind = KL_PEER_POSITIONS };
	kl_peer_positions_t *positions = &answer.positions;
	uint64_t now = kl_node_now(node);

	for (uint32_t i = 0; i < query->positions.count; i++) {
		const entry_t *entry = kl_index_get(
			state->index, query->positions.list[i].service);
		kl_peer_position_t *out = &positions->list[positions->count];
		uint64_t age_us;

		if (!entry || !entry->position.term)
			continue;
		age_us = now - entry->position.sampled_us;
		if (age_us > POSITION_MAX_AGE_US)
			continue;
		positions->count++;
		memcpy(out->service, entry->position.name.name, KL_NAME_MAX);
		out->group_change = entry->position.group_change;
		out->term = entry->position.term;
		out->number = entry->position.number;
		/* A tenth more, for clocks that run at unequal speeds. */
		out->age_us = age_us + age_us / 10;
	}
	if (!positions->count)
		return;
	positions->query_sent_us = query->positions.query_sent_us;
	memcpy(answer.from, node->self.vm, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, query->from,
				query->hello.host, query->hello.port, &answer);
}

/* @return whether a newer position was learned */
static bool handle_answer(kl_node_t *node, position_state_t *state,
			  const kl_peer_positions_t *answer)
{
	uint64_t now = kl_node_now(node);
	bool changed = false;

	if (answer->query_sent_us > now ||
	    now - answer->query_sent_us > ANSWER_TIMEOUT_US)
		return false;
	for (uint32_t i = 0; i < answer->count; i++) {
		const kl_peer_position_t *in = &answer->list[i];
		entry_t *entry = kl_index_get(state->index, in->service);
		kl_primary_position_t position = {
			.group_change = in->group_change,
			.term = in->term,
			.number = in->number,
			.sampled_us = answer->query_sent_us - in->age_us
		};

		if (entry && in->term && in->age_us < answer->query_sent_us)
			changed |= update_entry(entry, &position);
	}
	return changed;
}

/* Stores a position if it is newer. @return whether it was */
static bool update_entry(entry_t *entry, const kl_primary_position_t *position)
{
	kl_primary_position_t *held = &entry->position;

	if (position->group_change < held->group_change ||
	    (position->group_change == held->group_change &&
	     position->sampled_us <= held->sampled_us))
		return false;
	held->group_change = position->group_change;
	held->term = position->term;
	held->number = position->number;
	held->sampled_us = position->sampled_us;
	return true;
}

/* Asks a VM for the positions that reads needed lately and that are old. */
static void send_query(kl_node_t *node, position_state_t *state)
{
	kl_peer_message_t query = { .kind = KL_PEER_POSITION_QUERY };
	kl_peer_positions_t *positions = &query.positions;
	uint64_t now = kl_node_now(node);
	const kl_member_t *peer;
	entry_t *entry;

	if (now - state->last_query_us < query_interval_us(node, state))
		return;
	peer = choose_peer(node);
	if (!peer)
		return;
	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (positions->count == KL_PEER_POSITIONS_MAX)
			break;
		if (!entry->needed_us || now - entry->needed_us > NEEDED_US ||
		    now - entry->position.sampled_us < REFRESH_US)
			continue;
		memcpy(positions->list[positions->count++].service,
		       entry->position.name.name, KL_NAME_MAX);
	}
	if (!positions->count)
		return;
	state->last_query_us = now;
	positions->query_sent_us = now;
	memcpy(query.from, node->self.vm, KL_NAME_MAX);
	memcpy(query.hello.host, node->self.host, KL_HOST_MAX);
	query.hello.port = node->self.port;
	node->ops->send_to_peer(node->ops_context, peer->name.name, peer->host,
				peer->port, &query);
}

/* Returns a shorter interval while a service's first position is missing. */
static uint64_t query_interval_us(const kl_node_t *node,
				  const position_state_t *state)
{
	uint64_t first_us = node->tuning.first_position_interval_us;
	uint64_t now = kl_node_now(node);
	const entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (first_us && entry->first_needed_us &&
		    !entry->position.term &&
		    now - entry->first_needed_us < FIRST_QUERIES_US)
			return first_us;
	}
	return QUERY_INTERVAL_US;
}

/* Chooses a random other VM of this failure domain. @return NULL if alone */
static const kl_member_t *choose_peer(const kl_node_t *node)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member, *chosen = NULL;
	uint32_t candidates = 0;

	if (!members)
		return NULL;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (!member->registered ||
		    strcmp(member->domain, node->self.domain) ||
		    !strcmp(member->name.name, node->self.vm))
			continue;
		if (kl_node_random(node) % ++candidates == 0)
			chosen = member;
	}
	return chosen;
}

/* Finds the entry of a service, or adds one. @return NULL: out of memory */
static entry_t *find_entry(position_state_t *state, const char *service)
{
	entry_t *entry = kl_index_get(state->index, service);

	if (entry)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (!entry || kl_name_copy(entry->position.name.name, service)) {
		free(entry);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->entries, entry, link);
	state->count++;
	kl_index_put(state->index, &entry->position.name);
	return entry;
}

static void publish(kl_node_t *node, const position_state_t *state)
{
	kl_positions_t *positions = kl_positions_new(state->count);
	const entry_t *entry;

	if (!positions)
		return;
	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		kl_primary_position_t *copy = calloc(1, sizeof(*copy));

		if (!copy)
			break;
		*copy = entry->position;
		CK_STAILQ_INSERT_TAIL(&positions->list, copy, link);
		kl_index_put(positions->index, &copy->name);
	}
	kl_node_publish(node, KL_SECTION_POSITIONS, &positions->base);
}
