/*
 * Load controller: shares the load of databases between failure domains.
 *
 * The engine reports this VM's own figures of the databases in its failure
 * domain.  While its reads wait there, it needs the figures of other domains to
 * decide whether sending some of them there is worthwhile.  So this VM asks one
 * random VM of each other domain.  A figure that is used is the median of the
 * last answers, so that a VM with wrong figures has little effect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/load_answers.h"

/* Least time between two queries. */
#define QUERY_INTERVAL_US (200 * KL_MS)
/* Loads are asked for during this time after they were last needed. */
#define NEEDED_US (500 * KL_MS)
/* Older figures are not passed on, and later answers are ignored. */
#define FIGURE_MAX_AGE_US KL_LOAD_ANSWER_MAX_AGE_US
/* A figure without changes for this long is removed. */
#define ENTRY_MAX_AGE_US (60 * KL_SEC)
/* Most other domains that are asked. */
#define DOMAINS_MAX 16

/* Figures of a database: this VM's own, or the last answers of others. */
typedef struct entry {
	kl_load_t load; /* first: its name is the index key */
	CK_STAILQ_ENTRY(entry) link;
	kl_load_report_t own; /* sampled_us 0: none */
	uint64_t others_needed_us;
	uint64_t changed_us;
	kl_load_answers_t answers;
} entry_t;

/* A VM chosen from those of a domain. */
typedef struct choice {
	const kl_member_t *member;
	uint32_t candidates;
} choice_t;

typedef struct load_state {
	CK_STAILQ_HEAD(, entry) entries;
	uint32_t count;
	kl_index_t *index; /* entries by "SERVICE/UPSTREAM" */
	uint64_t last_query_us;
} load_state_t;

static void handle_local(kl_node_t *node, load_state_t *state,
			 const kl_load_report_t *report);
static void send_query(kl_node_t *node, load_state_t *state);
static void add_services(const load_state_t *state, kl_peer_loads_t *query,
			 uint64_t now);
static bool names_service(const kl_peer_loads_t *query, const char *service);
static uint32_t choose_peers(const kl_node_t *node, choice_t *choices);
static void answer_query(kl_node_t *node, const load_state_t *state,
			 const kl_peer_message_t *query);
static bool handle_answer(kl_node_t *node, load_state_t *state,
			  const kl_peer_message_t *message);
static bool is_database_of(const kl_node_t *node, const char *from,
			   const kl_peer_load_t *load);
static void add_answer(entry_t *entry, const kl_peer_load_t *load,
		       uint64_t query_sent_us, uint64_t now);
static entry_t *find_entry(load_state_t *state, const char *service,
			   const char *upstream, uint64_t now);
static void remove_old(load_state_t *state, uint64_t now);
static void publish(kl_node_t *node, load_state_t *state);

int kl_load_create(kl_node_t *node)
{
	load_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	node->state[KL_CONTROLLER_LOAD] = state;
	CK_STAILQ_INIT(&state->entries);
	state->index = kl_index_new(16);
	return state->index ? 0 : -KL_E_NOMEM;
}

void kl_load_destroy(kl_node_t *node)
{
	load_state_t *state = node->state[KL_CONTROLLER_LOAD];
	entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next)
		free(entry);
	kl_index_free(state->index);
	free(state);
}

void kl_load_step(kl_node_t *node, const kl_event_t *event)
{
	load_state_t *state = node->state[KL_CONTROLLER_LOAD];

	if (event->kind == KL_EVENT_LOAD)
		handle_local(node, state, event->load);
	else if (event->peer->kind == KL_PEER_LOAD_QUERY)
		answer_query(node, state, event->peer);
	else if (event->peer->kind == KL_PEER_LOADS &&
		 handle_answer(node, state, event->peer))
		publish(node, state);
}

/* Stores this VM's figures, and asks other domains if they are needed. */
static void handle_local(kl_node_t *node, load_state_t *state,
			 const kl_load_report_t *report)
{
	uint64_t now = kl_node_now(node);
	entry_t *entry =
		find_entry(state, report->service, report->upstream, now);

	if (!entry)
		return;
	entry->own = *report;
	entry->changed_us = now;
	if (!report->others_needed)
		return;
	entry->others_needed_us = now;
	send_query(node, state);
}

static void send_query(kl_node_t *node, load_state_t *state)
{
	kl_peer_message_t query = { .kind = KL_PEER_LOAD_QUERY };
	choice_t choices[DOMAINS_MAX];
	uint64_t now = kl_node_now(node);
	uint32_t count;

	if (now - state->last_query_us < QUERY_INTERVAL_US)
		return;
	add_services(state, &query.loads, now);
	count = choose_peers(node, choices);
	if (!query.loads.count || !count)
		return;
	state->last_query_us = now;
	query.loads.query_sent_us = now;
	memcpy(query.from, node->self.vm, KL_NAME_MAX);
	memcpy(query.hello.host, node->self.host, KL_HOST_MAX);
	query.hello.port = node->self.port;
	for (uint32_t i = 0; i < count; i++) {
		const kl_member_t *peer = choices[i].member;

		node->ops->send_to_peer(node->ops_context, peer->name.name,
					peer->host, peer->port, &query);
	}
}

/* Adds the services for which the load of other domains was needed lately. */
static void add_services(const load_state_t *state, kl_peer_loads_t *query,
			 uint64_t now)
{
	const entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (query->count == KL_PEER_LOADS_MAX)
			return;
		if (!entry->others_needed_us ||
		    now - entry->others_needed_us > NEEDED_US ||
		    names_service(query, entry->own.service))
			continue;
		memcpy(query->list[query->count++].service, entry->own.service,
		       KL_NAME_MAX);
	}
}

static bool names_service(const kl_peer_loads_t *query, const char *service)
{
	for (uint32_t i = 0; i < query->count; i++)
		if (!strcmp(query->list[i].service, service))
			return true;
	return false;
}

/* Chooses a random VM of each other domain. @return number of domains */
static uint32_t choose_peers(const kl_node_t *node, choice_t *choices)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_member_t *member;
	uint32_t count = 0;

	if (!members)
		return 0;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		uint32_t i = 0;

		if (!member->registered ||
		    !strcmp(member->domain, node->self.domain))
			continue;
		while (i < count &&
		       strcmp(choices[i].member->domain, member->domain))
			i++;
		if (i == DOMAINS_MAX)
			continue;
		if (i == count)
			choices[count++] = (choice_t){ .candidates = 0 };
		if (kl_node_random(node) % ++choices[i].candidates == 0)
			choices[i].member = member;
	}
	return count;
}

static void answer_query(kl_node_t *node, const load_state_t *state,
			 const kl_peer_message_t *query)
{
	kl_peer_message_t answer = { .kind = KL_PEER_LOADS };
	kl_peer_loads_t *loads = &answer.loads;
	uint64_t now = kl_node_now(node);
	const entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		kl_peer_load_t *out = &loads->list[loads->count];
		uint64_t age_us = now - entry->own.sampled_us;

		if (loads->count == KL_PEER_LOADS_MAX)
			break;
		if (!entry->own.sampled_us || !entry->own.upstream[0] ||
		    age_us > FIGURE_MAX_AGE_US ||
		    !names_service(&query->loads, entry->own.service))
			continue;
		loads->count++;
		memcpy(out->service, entry->own.service, KL_NAME_MAX);
		memcpy(out->upstream, entry->own.upstream, KL_NAME_MAX);
		out->wait_us = entry->own.wait_us;
		out->running = entry->own.running;
		/* A tenth more, for clocks that run at unequal speeds. */
		out->age_us = age_us + age_us / 10;
	}
	if (!loads->count)
		return;
	loads->query_sent_us = query->loads.query_sent_us;
	memcpy(answer.from, node->self.vm, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, query->from,
				query->hello.host, query->hello.port, &answer);
}

/* @return whether a recent figure was learned */
static bool handle_answer(kl_node_t *node, load_state_t *state,
			  const kl_peer_message_t *message)
{
	const kl_peer_loads_t *answer = &message->loads;
	uint64_t now = kl_node_now(node);
	bool changed = false;

	if (answer->query_sent_us > now ||
	    now - answer->query_sent_us > FIGURE_MAX_AGE_US)
		return false;
	for (uint32_t i = 0; i < answer->count; i++) {
		const kl_peer_load_t *load = &answer->list[i];
		entry_t *entry;

		if (load->age_us > FIGURE_MAX_AGE_US ||
		    load->age_us >= answer->query_sent_us ||
		    !is_database_of(node, message->from, load))
			continue;
		entry = find_entry(state, load->service, load->upstream, now);
		if (!entry)
			continue;
		add_answer(entry, load, answer->query_sent_us, now);
		changed = true;
	}
	return changed;
}

/* Whether a VM of another domain reports a database of its own domain. */
static bool is_database_of(const kl_node_t *node, const char *from,
			   const kl_peer_load_t *load)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_member_t *member =
		members ? kl_index_get(members->index, from) : NULL;
	const kl_service_t *service =
		config ? kl_index_get(config->service_index, load->service)
		       : NULL;
	const kl_upstream_t *upstream =
		service ? kl_service_find_upstream(service, load->upstream)
			: NULL;

	return member && upstream &&
	       !strcmp(member->domain, upstream->domain) &&
	       strcmp(member->domain, node->self.domain) != 0;
}

static void add_answer(entry_t *entry, const kl_peer_load_t *load,
		       uint64_t query_sent_us, uint64_t now)
{
	uint64_t round_trip_us = now - query_sent_us;

	kl_load_answers_add(&entry->answers, load->wait_us,
			    query_sent_us - load->age_us);
	entry->changed_us = now;
	entry->load.running = load->running;
	if (!entry->load.round_trip_us ||
	    round_trip_us < entry->load.round_trip_us)
		entry->load.round_trip_us = round_trip_us;
}

/* Finds the entry of a database, or adds one. @return NULL if it can't */
static entry_t *find_entry(load_state_t *state, const char *service,
			   const char *upstream, uint64_t now)
{
	char name[KL_NAME_MAX * 2];
	entry_t *entry;

	snprintf(name, sizeof(name), "%s/%s", service, upstream);
	entry = kl_index_get(state->index, name);
	if (entry)
		return entry;
	remove_old(state, now);
	entry = calloc(1, sizeof(*entry));
	if (!entry || kl_name_copy(entry->load.name.name, name)) {
		free(entry);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&state->entries, entry, link);
	state->count++;
	kl_index_put(state->index, &entry->load.name);
	return entry;
}

static void remove_old(load_state_t *state, uint64_t now)
{
	entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next) {
		if (now - entry->changed_us <= ENTRY_MAX_AGE_US)
			continue;
		CK_STAILQ_REMOVE(&state->entries, entry, entry, link);
		kl_index_remove(state->index, entry->load.name.name);
		state->count--;
		free(entry);
	}
}

static void publish(kl_node_t *node, load_state_t *state)
{
	uint64_t now = kl_node_now(node);
	kl_loads_t *loads;
	entry_t *entry;

	loads = kl_loads_new(state->count);
	if (!loads)
		return;
	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		kl_load_t *copy;

		entry->load.answers = kl_load_answers_median(
			&entry->answers, now, &entry->load.wait_us,
			&entry->load.sampled_us);
		if (!entry->load.answers)
			continue;
		copy = calloc(1, sizeof(*copy));
		if (!copy)
			break;
		*copy = entry->load;
		CK_STAILQ_INSERT_TAIL(&loads->list, copy, link);
		kl_index_put(loads->index, &copy->name);
	}
	kl_node_publish(node, KL_SECTION_LOADS, &loads->base);
}
