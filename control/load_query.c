/* Queries for the load that other VMs see at databases, and answers. */
#include <string.h>

#include "control/load_internal.h"

/* Least time between two queries. */
#define QUERY_INTERVAL_US (200 * KL_MS)
/* Loads are asked for during this time after they were last needed. */
#define NEEDED_US (500 * KL_MS)
/* Most domains that are asked. */
#define DOMAINS_MAX 16

/* A VM chosen from those of a domain. */
typedef struct choice {
	const kl_member_t *member;
	uint32_t candidates;
} choice_t;

static void add_services(const kl_load_state_t *state, kl_peer_loads_t *query,
			 uint64_t now);
static bool names_service(const kl_peer_loads_t *query, const char *service);
static uint32_t choose_peers(const kl_node_t *node, choice_t *choices);

void kl_load_send_query(kl_node_t *node, kl_load_state_t *state)
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
	state->query_times_us[state->query_count++ % KL_LOAD_ANSWERS_MAX] = now;
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

/* Adds the services for which figures of others were needed lately. */
static void add_services(const kl_load_state_t *state, kl_peer_loads_t *query,
			 uint64_t now)
{
	const kl_load_entry_t *entry;

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

/* Chooses a random other VM of each domain. @return number of domains */
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
		    !strcmp(member->name.name, node->self.vm))
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

void kl_load_answer_query(kl_node_t *node, const kl_load_state_t *state,
			  const kl_peer_message_t *query)
{
	kl_peer_message_t answer = { .kind = KL_PEER_LOADS };
	kl_peer_loads_t *loads = &answer.loads;
	uint64_t now = kl_node_now(node);
	const kl_load_entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		kl_peer_load_t *out = &loads->list[loads->count];
		uint64_t age_us = now - entry->own.sampled_us;

		if (loads->count == KL_PEER_LOADS_MAX)
			break;
		if (!entry->own.sampled_us || !entry->own.upstream[0] ||
		    age_us > KL_LOAD_ANSWER_MAX_AGE_US ||
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
