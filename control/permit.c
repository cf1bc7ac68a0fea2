/*
 * Permit controller: the VMs share the execution slots of each database.
 *
 * For each upstream one VM is the arbiter.  While an upstream is contended, a
 * VM requests a permit from it before it sends an operation's first statement.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/permit_internal.h"

typedef struct permit_state {
	CK_STAILQ_HEAD(, kl_permit_entry) entries;
	uint32_t count;
	kl_index_t *index;	  /* entries by name */
	uint64_t config_sequence; /* of the CONFIG applied */
	kl_permit_outbox_t outbox;
} permit_state_t;

static void apply_config(kl_node_t *node, permit_state_t *state);
static bool apply_upstream(permit_state_t *state,
			   const kl_upstream_t *upstream);
static bool remove_missing(permit_state_t *state);
static void entry_free(kl_permit_entry_t *entry);
static void publish(kl_node_t *node, permit_state_t *state);
static void handle_message(kl_node_t *node, permit_state_t *state,
			   const kl_peer_message_t *message);
static void handle_requests(kl_node_t *node, permit_state_t *state,
			    const kl_peer_message_t *message);
static void handle_grants(kl_node_t *node, permit_state_t *state,
			  const kl_peer_message_t *message);
static void arbitrate(kl_node_t *node, permit_state_t *state,
		      kl_permit_entry_t *entry);
static void update_all(kl_node_t *node, permit_state_t *state, bool arbitrates);
static void deliver_own(kl_node_t *node, permit_state_t *state);

int kl_permit_create(kl_node_t *node)
{
	permit_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	node->state[KL_CONTROLLER_PERMIT] = state;
	CK_STAILQ_INIT(&state->entries);
	CK_STAILQ_INIT(&state->outbox.list);
	state->index = kl_index_new(16);
	return state->index ? 0 : -KL_E_NOMEM;
}

void kl_permit_destroy(kl_node_t *node)
{
	permit_state_t *state = node->state[KL_CONTROLLER_PERMIT];
	kl_permit_entry_t *entry, *next;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next)
		entry_free(entry);
	kl_index_free(state->index);
	free(state);
}

void kl_permit_step(kl_node_t *node, const kl_event_t *event)
{
	permit_state_t *state = node->state[KL_CONTROLLER_PERMIT];

	if (!node->tuning.slot_permits)
		return;
	if (event->kind == KL_EVENT_TICK || event->kind == KL_EVENT_PERMITS)
		update_all(node, state, event->kind == KL_EVENT_TICK);
	else if (event->kind == KL_EVENT_PEER)
		handle_message(node, state, event->peer);
	apply_config(node, state);
	deliver_own(node, state);
	kl_permit_outbox_send(node, &state->outbox);
}

/* Keeps an entry for each upstream whose execution slots are known. */
static void apply_config(kl_node_t *node, permit_state_t *state)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_service_t *service;
	const kl_upstream_t *upstream;
	kl_permit_entry_t *entry;
	bool changed = false;

	if (!config || config->base.sequence == state->config_sequence)
		return;
	state->config_sequence = config->base.sequence;
	CK_STAILQ_FOREACH(entry, &state->entries, link)
		entry->in_configuration = false;
	CK_STAILQ_FOREACH(service, &config->services, link) {
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			if (upstream->execution_slots)
				changed |= apply_upstream(state, upstream);
		}
	}
	changed |= remove_missing(state);
	if (changed)
		publish(node, state);
}

/* @return whether an entry was added */
static bool apply_upstream(permit_state_t *state, const kl_upstream_t *upstream)
{
	char name[KL_NAME_MAX * 2];
	kl_permit_entry_t *entry;
	bool is_new;

	snprintf(name, sizeof(name), "%s/%s", upstream->service->name.name,
		 upstream->name.name);
	entry = kl_index_get(state->index, name);
	is_new = !entry;
	if (is_new) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			return false;
		entry->account = kl_permit_account_new(name);
		if (!entry->account) {
			free(entry);
			return false;
		}
		entry->name = entry->account->name;
		CK_STAILQ_INSERT_TAIL(&state->entries, entry, link);
		state->count++;
		kl_index_put(state->index, &entry->name);
	}
	entry->in_configuration = true;
	entry->slots = upstream->execution_slots;
	memcpy(entry->domain, upstream->domain, KL_NAME_MAX);
	if (entry->pool)
		kl_permit_pool_set_slots(entry->pool, entry->slots);
	return is_new;
}

/* @return whether an entry was removed */
static bool remove_missing(permit_state_t *state)
{
	kl_permit_entry_t *entry, *next;
	bool removed = false;

	CK_STAILQ_FOREACH_SAFE(entry, &state->entries, link, next) {
		if (entry->in_configuration)
			continue;
		kl_index_remove(state->index, entry->name.name);
		CK_STAILQ_REMOVE(&state->entries, entry, kl_permit_entry, link);
		state->count--;
		entry_free(entry);
		removed = true;
	}
	return removed;
}

static void entry_free(kl_permit_entry_t *entry)
{
	kl_permit_account_release(entry->account);
	kl_permit_pool_free(entry->pool);
	free(entry);
}

static void publish(kl_node_t *node, permit_state_t *state)
{
	kl_permits_t *permits = kl_permits_new(state->count);
	kl_permit_entry_t *entry;

	if (!permits)
		return;
	CK_STAILQ_FOREACH(entry, &state->entries, link)
		kl_permits_add(permits, entry->account);
	kl_node_publish(node, KL_SECTION_PERMITS, &permits->base);
}

static void handle_message(kl_node_t *node, permit_state_t *state,
			   const kl_peer_message_t *message)
{
	if (message->kind == KL_PEER_PERMIT_REQUEST)
		handle_requests(node, state, message);
	else if (message->kind == KL_PEER_PERMIT_GRANT)
		handle_grants(node, state, message);
}

static void handle_requests(kl_node_t *node, permit_state_t *state,
			    const kl_peer_message_t *message)
{
	const kl_peer_permit_requests_t *requests = &message->permit_requests;
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t now = kl_node_now(node);

	if (!members || !kl_index_get(members->index, message->from))
		return;
	for (uint32_t i = 0; i < requests->count; i++) {
		const kl_permit_request_t *request = &requests->list[i];
		kl_permit_entry_t *entry =
			kl_index_get(state->index, request->account);

		if (!entry)
			continue;
		if (!entry->pool)
			entry->pool = kl_permit_pool_new(entry->slots, now);
		if (!entry->pool ||
		    !kl_permit_pool_request(entry->pool, message->from,
					    requests->sent_us, request, now))
			continue;
		arbitrate(node, state, entry);
	}
}

static void handle_grants(kl_node_t *node, permit_state_t *state,
			  const kl_peer_message_t *message)
{
	const kl_peer_permit_grants_t *grants = &message->permit_grants;
	bool changed = false;

	for (uint32_t i = 0; i < grants->count; i++) {
		kl_permit_entry_t *entry =
			kl_index_get(state->index, grants->list[i].account);

		if (entry)
			changed |= kl_permit_accept(node, entry, message,
						    &grants->list[i]);
	}
	if (changed)
		node->ops->permits_changed(node->ops_context);
}

/* Grants the permits that are free, and queues the answers. */
static void arbitrate(kl_node_t *node, permit_state_t *state,
		      kl_permit_entry_t *entry)
{
	uint64_t now = kl_node_now(node);
	uint32_t granted = 0, expired;
	kl_permit_grant_t grant;
	const char *vm;

	kl_permit_pool_decide(entry->pool, now);
	while ((vm = kl_permit_pool_next_answer(entry->pool, now, &grant))) {
		kl_peer_message_t *message = kl_permit_outbox_message(
			node, &state->outbox, vm, KL_PEER_PERMIT_GRANT);

		if (!message)
			continue;
		granted += grant.permits;
		memcpy(grant.account, entry->name.name, KL_NAME_MAX);
		message->permit_grants.list[message->permit_grants.count++] =
			grant;
	}
	if (kl_permit_pool_notice_is_due(entry->pool, now))
		kl_permit_notify(node, entry, &state->outbox);
	expired = kl_permit_pool_take_expired(entry->pool);
	if (granted)
		node->ops->count_permits(node->ops_context, KL_PERMIT_GRANTED,
					 granted);
	if (expired)
		node->ops->count_permits(node->ops_context, KL_PERMIT_EXPIRED,
					 expired);
}

static void update_all(kl_node_t *node, permit_state_t *state, bool arbitrates)
{
	kl_permit_entry_t *entry;

	CK_STAILQ_FOREACH(entry, &state->entries, link) {
		if (arbitrates && entry->pool)
			arbitrate(node, state, entry);
		kl_permit_ask(node, entry, &state->outbox);
	}
}

/* Handles messages to this VM itself, whose answers may join the others. */
static void deliver_own(kl_node_t *node, permit_state_t *state)
{
	kl_permit_outgoing_t *outgoing, *next;
	bool found;

	do {
		found = false;
		CK_STAILQ_FOREACH_SAFE(outgoing, &state->outbox.list, link,
				       next) {
			if (strcmp(outgoing->vm, node->self.vm))
				continue;
			CK_STAILQ_REMOVE(&state->outbox.list, outgoing,
					 kl_permit_outgoing, link);
			handle_message(node, state, &outgoing->message);
			free(outgoing);
			found = true;
			break;
		}
	} while (found);
}
