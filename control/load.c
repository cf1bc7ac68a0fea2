/*
 * Load controller: shares the load of databases between failure domains.
 *
 * The engine reports this VM's own figures of the databases in its failure
 * domain.  While its reads are late there, it needs the figures of other VMs to
 * decide whether sending some of them elsewhere is worthwhile.  So this VM asks
 * one random VM of each domain, its own included since each VM has few
 * statements.  A figure that is used is the median of the
 * last answers, so that a VM with wrong figures has little effect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/load_internal.h"

/* A figure without changes for this long is removed. */
#define ENTRY_MAX_AGE_US (60 * KL_SEC)
/* A longer wait is a wrong figure: no statement waits for so long. */
#define WAIT_MAX_US (600 * KL_SEC)

static void handle_local(kl_node_t *node, kl_load_state_t *state,
			 const kl_load_report_t *report);
static bool handle_answer(kl_node_t *node, kl_load_state_t *state,
			  const kl_peer_message_t *message);
static bool is_own_query(const kl_load_state_t *state, uint64_t sent_us);
static bool is_database_of(const kl_node_t *node, const char *from,
			   const kl_peer_load_t *load);
static void add_answer(kl_load_entry_t *entry, const kl_peer_load_t *load,
		       uint64_t query_sent_us, uint64_t now);
static kl_load_entry_t *find_entry(kl_load_state_t *state, const char *service,
				   const char *upstream, uint64_t now);
static void remove_old(kl_load_state_t *state, uint64_t now);
static void publish(kl_node_t *node, kl_load_state_t *state);

int kl_load_create(kl_node_t *node)
{
	kl_load_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	node->state[KL_CONTROLLER_LOAD] = state;
	CK_STAILQ_INIT(&state->entries);
	state->index = kl_index_new(16);
	return state->index ? 0 : -KL_E_NOMEM;
}

void kl_load_destroy(kl_node_t *node)
{
	kl_load_state_t *state = node->state[KL_CONTROLLER_LOAD];
	kl_load_entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next)
		free(entry);
	kl_index_free(state->index);
	free(state);
}

void kl_load_step(kl_node_t *node, const kl_event_t *event)
{
	kl_load_state_t *state = node->state[KL_CONTROLLER_LOAD];

	if (event->kind == KL_EVENT_LOAD)
		handle_local(node, state, event->load);
	else if (event->peer->kind == KL_PEER_LOAD_QUERY)
		kl_load_answer_query(node, state, event->peer);
	else if (event->peer->kind == KL_PEER_LOADS &&
		 handle_answer(node, state, event->peer))
		publish(node, state);
}

/* Stores this VM's figures, and asks other domains if they are needed. */
static void handle_local(kl_node_t *node, kl_load_state_t *state,
			 const kl_load_report_t *report)
{
	uint64_t now = kl_node_now(node);
	kl_load_entry_t *entry =
		find_entry(state, report->service, report->upstream, now);

	if (!entry)
		return;
	entry->own = *report;
	entry->changed_us = now;
	if (!report->others_needed)
		return;
	entry->others_needed_us = now;
	kl_load_send_query(node, state);
}

/* @return whether a recent figure was learned */
static bool handle_answer(kl_node_t *node, kl_load_state_t *state,
			  const kl_peer_message_t *message)
{
	const kl_peer_loads_t *answer = &message->loads;
	uint64_t now = kl_node_now(node);
	bool changed = false;

	if (!is_own_query(state, answer->query_sent_us) ||
	    now - answer->query_sent_us > KL_LOAD_ANSWER_MAX_AGE_US)
		return false;
	for (uint32_t i = 0; i < answer->count; i++) {
		const kl_peer_load_t *load = &answer->list[i];
		kl_load_entry_t *entry;

		if (load->age_us > KL_LOAD_ANSWER_MAX_AGE_US ||
		    load->age_us >= answer->query_sent_us ||
		    load->wait_us > WAIT_MAX_US ||
		    !is_database_of(node, message->from, load))
			continue;
		entry = find_entry(state, load->service, load->upstream, now);
		/* One answer to a query counts, however often it arrives. */
		if (!entry || entry->answered_query_us >= answer->query_sent_us)
			continue;
		add_answer(entry, load, answer->query_sent_us, now);
		changed = true;
	}
	return changed;
}

static bool is_own_query(const kl_load_state_t *state, uint64_t sent_us)
{
	for (uint32_t i = 0; i < KL_LOAD_ANSWERS_MAX; i++)
		if (sent_us && state->query_times_us[i] == sent_us)
			return true;
	return false;
}

/* Whether a VM reports a database of its own domain. */
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

	return member && upstream && !strcmp(member->domain, upstream->domain);
}

static void add_answer(kl_load_entry_t *entry, const kl_peer_load_t *load,
		       uint64_t query_sent_us, uint64_t now)
{
	uint64_t round_trip_us = now - query_sent_us;

	kl_load_answers_add(&entry->answers, load->wait_us,
			    query_sent_us - load->age_us);
	entry->answered_query_us = query_sent_us;
	entry->changed_us = now;
	entry->load.running = load->running;
	if (!entry->load.round_trip_us ||
	    round_trip_us < entry->load.round_trip_us)
		entry->load.round_trip_us = round_trip_us;
}

/* Finds the entry of a database, or adds one. @return NULL if it can't */
static kl_load_entry_t *find_entry(kl_load_state_t *state, const char *service,
				   const char *upstream, uint64_t now)
{
	char name[KL_NAME_MAX * 2];
	kl_load_entry_t *entry;

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

static void remove_old(kl_load_state_t *state, uint64_t now)
{
	kl_load_entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next) {
		if (now - entry->changed_us <= ENTRY_MAX_AGE_US)
			continue;
		CK_STAILQ_REMOVE(&state->entries, entry, kl_load_entry, link);
		kl_index_remove(state->index, entry->load.name.name);
		state->count--;
		free(entry);
	}
}

static void publish(kl_node_t *node, kl_load_state_t *state)
{
	uint64_t now = kl_node_now(node);
	kl_loads_t *loads;
	kl_load_entry_t *entry;

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
