/*
 * Share controller: keeps an admission token bucket for each workspace.  This
 * VM's quota of a workspace is the part of its limits that the slots owned here
 * stand for; the bucket is refilled from it.  Short loans move tokens between
 * the VMs' buckets according to demand.
 */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/share_bucket.h"
#include "control/slot.h"

#define BALANCE_INTERVAL_US (200 * KL_MS) /* between rounds of balancing */
/* For this long after the process start every step balances the slots. */
#define STARTUP_US (1 * KL_SEC)
/* Longest time until a new configuration has reached every VM. */
#define CONFIG_PROPAGATION_US (3 * KL_SEC)
/* Every idle quota is updated once within this many steps. */
#define IDLE_ROUND_STEPS 4

/* This VM's part of one workspace's limits. */
typedef struct quota {
	kl_named_t name; /* the workspace's name */
	CK_STAILQ_ENTRY(quota) link;
	kl_share_t *share;
	kl_bucket_t *bucket;
	uint64_t last_arrival_count; /* statements, at the last update */
	uint64_t rate;		     /* of the plan, statements a second */
	uint64_t burst;		     /* of the plan, statements */
	kl_slot_set_t slots;	     /* among which the limits are divided */
	/* Limits and slots before the last change of slots. */
	uint64_t old_rate;
	uint64_t old_burst;
	kl_slot_set_t old_slots;
	uint64_t slots_changed_us; /* time of that change, or 0 */
	uint32_t next_lender;	   /* rises; selects the slot to borrow from */
	bool in_configuration;	   /* the workspace is in the configuration */
	/* Tokens for the time since the earlier process were added. */
	bool downtime_credited;
	/* Created slots whose part of the burst is or must not be credited. */
	uint64_t created_slots_handled;
} quota_t;

typedef CK_STAILQ_HEAD(quota_list, quota) quota_list_t;

/* The state of the share controller; a quota is on one of the two lists. */
typedef struct share_state {
	quota_list_t busy; /* updated at every step */
	quota_list_t idle; /* updated in turn, some at each step */
	uint32_t quota_count;
	kl_index_t *index;
	kl_slots_t *slot_table;
	uint64_t last_balance_us;
	uint64_t config_revision; /* of the configuration applied */
	/* Part of all slots that this VM may use, of KL_SHARE_WHOLE_PPM. */
	uint64_t usable_slots_ppm;
	uint64_t usable_masks[KL_SLOT_CLASSES_MAX]; /* usable slots, by class */
} share_state_t;

static void apply_config(kl_node_t *node, share_state_t *state,
			 uint64_t part_ppm);
static void assign_slots(kl_node_t *node, share_state_t *state, quota_t *quota,
			 const kl_plan_t *plan);
static uint64_t slots_part_ppm(const kl_slot_set_t *set, uint64_t mask);
static uint64_t usable_part_ppm(const kl_node_t *node,
				const share_state_t *state,
				const quota_t *quota);
static quota_t *quota_new(kl_node_t *node, share_state_t *state,
			  const char *name);
static void quota_free(quota_t *quota);
static void update_due_quotas(kl_node_t *node, share_state_t *state,
			      uint64_t lease_end_us);
static void update_waiting_quotas(kl_node_t *node, share_state_t *state,
				  uint64_t lease_end_us);
static bool quota_is_idle(const quota_t *quota);
static void update_quota(kl_node_t *node, share_state_t *state, quota_t *quota,
			 uint64_t lease_end_us);
static void credit_created_slots(const share_state_t *state, quota_t *quota);
static void request_loans(kl_node_t *node, share_state_t *state, quota_t *quota,
			  uint64_t now);
static void handle_loan_message(kl_node_t *node, share_state_t *state,
				const kl_peer_message_t *message);
static bool may_release_slots(const kl_node_t *node);
static void publish_buckets(kl_node_t *node, share_state_t *state);

int kl_share_create(kl_node_t *node)
{
	share_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->busy);
	CK_STAILQ_INIT(&state->idle);
	state->index = kl_index_new(16);
	state->slot_table = kl_slots_new(node->tuning.slot_count);
	node->state[KL_CONTROLLER_SHARE] = state;
	return state->slot_table ? 0 : -KL_E_NOMEM;
}

void kl_share_destroy(kl_node_t *node)
{
	share_state_t *state = node->state[KL_CONTROLLER_SHARE];
	quota_t *quota, *next;

	CK_STAILQ_CONCAT(&state->busy, &state->idle);
	CK_STAILQ_FOREACH_SAFE(quota, &state->busy, link, next)
		quota_free(quota);
	kl_index_free(state->index);
	kl_slots_free(state->slot_table);
	free(state);
}

void kl_share_step(kl_node_t *node, const kl_event_t *event)
{
	share_state_t *state = node->state[KL_CONTROLLER_SHARE];
	const kl_confirmation_t *confirmation =
		kl_node_get(node, KL_SECTION_CONFIRMATION);
	uint64_t now = kl_node_now(node);
	uint64_t part_ppm, lease_end_us;

	if (event->kind == KL_EVENT_PEER &&
	    !kl_peer_has_objects(event->peer->kind)) {
		handle_loan_message(node, state, event->peer);
		return;
	}
	if (event->kind == KL_EVENT_PLATFORM &&
	    event->platform->owner == KL_CONTROLLER_SHARE)
		kl_slots_on_put_answer(node, state->slot_table,
				       event->platform);
	kl_slots_load(node, state->slot_table);
	kl_slots_check_registration(node, state->slot_table);
	/* A process that just started serves little until it owns slots. */
	if (now - state->last_balance_us >= BALANCE_INTERVAL_US ||
	    now - node->started_us < STARTUP_US) {
		state->last_balance_us = now;
		kl_slots_balance(node, state->slot_table,
				 may_release_slots(node));
	}
	part_ppm = kl_slots_scale_to_usable(node, state->slot_table,
					    KL_SHARE_WHOLE_PPM);
	for (uint32_t i = 0; i < KL_SLOT_CLASSES_MAX; i++)
		state->usable_masks[i] =
			kl_slots_usable_mask(node, state->slot_table, i);
	apply_config(node, state, part_ppm);

	lease_end_us = confirmation ? confirmation->confirmed_us +
					      node->tuning.slot_lease_us
				    : 0;
	if (event->kind == KL_EVENT_REQUEST_WAITING)
		update_waiting_quotas(node, state, lease_end_us);
	else
		update_due_quotas(node, state, lease_end_us);
}

bool kl_share_all_slots_created(const kl_node_t *node)
{
	const share_state_t *state = node->state[KL_CONTROLLER_SHARE];

	return kl_slots_all_created(state->slot_table);
}

uint32_t kl_share_owned_slot_count(const kl_node_t *node)
{
	const share_state_t *state = node->state[KL_CONTROLLER_SHARE];

	return kl_slots_owned(state->slot_table);
}

static void apply_config(kl_node_t *node, share_state_t *state,
			 uint64_t part_ppm)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_workspace_t *workspace;
	quota_t *quota, *next;
	bool changed = false;

	if (!config || (config->revision == state->config_revision &&
			part_ppm == state->usable_slots_ppm))
		return;
	state->config_revision = config->revision;
	state->usable_slots_ppm = part_ppm;
	/* The update that follows sorts them into busy and idle ones again. */
	CK_STAILQ_CONCAT(&state->busy, &state->idle);
	CK_STAILQ_FOREACH(quota, &state->busy, link)
		quota->in_configuration = false;
	CK_STAILQ_FOREACH(workspace, &config->workspaces, link) {
		const char *name = workspace->name.name;
		const kl_plan_t *plan = workspace->plan;
		bool is_new;

		quota = kl_index_get(state->index, name);
		is_new = !quota;
		if (is_new) {
			quota = quota_new(node, state, name);
			changed = true;
		}
		if (!quota)
			continue;
		quota->in_configuration = true;
		kl_share_set_limit(quota->share, plan ? plan->rate : 0,
				   plan ? plan->burst : 0);
		assign_slots(node, state, quota, plan);
		if (is_new)
			quota->created_slots_handled = kl_slots_created_mask(
				state->slot_table, quota->slots.class);
		ck_pr_store_64(&quota->bucket->max_sessions,
			       kl_slots_scale_to_usable(
				       node, state->slot_table,
				       plan ? plan->max_connections : 0));
	}
	CK_STAILQ_FOREACH_SAFE(quota, &state->busy, link, next) {
		if (quota->in_configuration)
			continue;
		kl_index_remove(state->index, quota->name.name);
		CK_STAILQ_REMOVE(&state->busy, quota, quota, link);
		state->quota_count--;
		quota_free(quota);
		changed = true;
	}
	if (changed)
		publish_buckets(node, state);
}

/* Sets the slots of a quota, and keeps the old ones if they differ. */
static void assign_slots(kl_node_t *node, share_state_t *state, quota_t *quota,
			 const kl_plan_t *plan)
{
	uint64_t burst = plan ? plan->burst : 0;
	kl_slot_set_t set = kl_slots_for_workspace(state->slot_table,
						   quota->name.name, burst);

	if (set.mask != quota->slots.mask) {
		quota->old_slots = quota->slots;
		quota->old_rate = quota->rate;
		quota->old_burst = quota->burst;
		quota->slots = set;
		quota->slots_changed_us = kl_node_now(node);
	}
	quota->rate = plan ? plan->rate : 0;
	quota->burst = burst;
}

/* Returns the part of a limit, of KL_SHARE_WHOLE_PPM, for the masked slots. */
static uint64_t slots_part_ppm(const kl_slot_set_t *set, uint64_t mask)
{
	uint64_t count = (uint64_t)__builtin_popcountll(set->mask & mask);

	return KL_SHARE_WHOLE_PPM * count / set->count;
}

/*
 * Until a change of slots has reached every VM, other VMs may still divide the
 * limit among the old slots.  In that time this VM uses the lower of its old
 * and its new part, so that the sum over all VMs exceeds neither limit.
 */
static uint64_t usable_part_ppm(const kl_node_t *node,
				const share_state_t *state,
				const quota_t *quota)
{
	uint64_t mask = state->usable_masks[quota->slots.class];
	uint64_t new_part_ppm = slots_part_ppm(&quota->slots, mask);
	uint64_t old_part_ppm, part_ppm = new_part_ppm;

	if (!quota->old_slots.count ||
	    kl_node_now(node) - quota->slots_changed_us > CONFIG_PROPAGATION_US)
		return new_part_ppm;
	old_part_ppm = slots_part_ppm(&quota->old_slots, mask);
	if (quota->rate &&
	    old_part_ppm * quota->old_rate / quota->rate < part_ppm)
		part_ppm = old_part_ppm * quota->old_rate / quota->rate;
	if (quota->burst &&
	    old_part_ppm * quota->old_burst / quota->burst < part_ppm)
		part_ppm = old_part_ppm * quota->old_burst / quota->burst;
	return part_ppm;
}

static quota_t *quota_new(kl_node_t *node, share_state_t *state,
			  const char *name)
{
	quota_t *quota = calloc(1, sizeof(*quota));
	kl_bucket_t *bucket = kl_bucket_new(name);

	if (!quota || !bucket)
		goto fail;
	quota->name = bucket->name;
	quota->bucket = bucket;
	quota->next_lender = kl_node_random(node);
	quota->share = kl_share_new(&kl_bucket_ops, bucket, kl_node_now(node));
	if (!quota->share)
		goto fail;
	CK_STAILQ_INSERT_TAIL(&state->busy, quota, link);
	state->quota_count++;
	kl_index_put(state->index, &quota->name);
	return quota;
fail:
	free(bucket);
	free(quota);
	return NULL;
}

static void quota_free(quota_t *quota)
{
	kl_share_free(quota->share);
	ck_pr_store_64(&quota->bucket->valid_until_us, 0);
	kl_bucket_release(quota->bucket);
	free(quota);
}

/*
 * Updates every busy quota, and so many of the idle ones that each has its turn
 * before the validity of its tokens ends.
 */
static void update_due_quotas(kl_node_t *node, share_state_t *state,
			      uint64_t lease_end_us)
{
	uint32_t idle_turns = state->quota_count / IDLE_ROUND_STEPS + 1;
	quota_list_t busy;
	quota_t *quota;

	CK_STAILQ_INIT(&busy);
	CK_STAILQ_CONCAT(&busy, &state->busy);
	while (idle_turns-- && (quota = CK_STAILQ_FIRST(&state->idle))) {
		CK_STAILQ_REMOVE_HEAD(&state->idle, link);
		CK_STAILQ_INSERT_TAIL(&busy, quota, link);
	}
	while ((quota = CK_STAILQ_FIRST(&busy))) {
		CK_STAILQ_REMOVE_HEAD(&busy, link);
		update_quota(node, state, quota, lease_end_us);
		if (quota_is_idle(quota))
			CK_STAILQ_INSERT_TAIL(&state->idle, quota, link);
		else
			CK_STAILQ_INSERT_TAIL(&state->busy, quota, link);
	}
}

/* Updates the quotas that requests wait for, without waiting for a tick. */
static void update_waiting_quotas(kl_node_t *node, share_state_t *state,
				  uint64_t lease_end_us)
{
	quota_t *quota;

	CK_STAILQ_FOREACH(quota, &state->busy, link) {
		if (ck_pr_load_64(&quota->bucket->waiting_statements))
			update_quota(node, state, quota, lease_end_us);
	}
	CK_STAILQ_FOREACH(quota, &state->idle, link) {
		if (ck_pr_load_64(&quota->bucket->waiting_statements))
			update_quota(node, state, quota, lease_end_us);
	}
}

static bool quota_is_idle(const quota_t *quota)
{
	return !ck_pr_load_64(&quota->bucket->waiting_statements) &&
	       kl_share_idle(quota->share);
}

static void update_quota(kl_node_t *node, share_state_t *state, quota_t *quota,
			 uint64_t lease_end_us)
{
	uint64_t part_ppm = usable_part_ppm(node, state, quota);
	kl_bucket_t *bucket = quota->bucket;
	uint64_t now = kl_node_now(node);
	uint64_t arrivals = ck_pr_load_64(&bucket->arrived_statements);
	uint64_t waiting = ck_pr_load_64(&bucket->waiting_statements);

	kl_share_tick(quota->share, now);
	kl_share_set_owned(quota->share, part_ppm, lease_end_us);
	if (part_ppm && !quota->downtime_credited) {
		quota->downtime_credited = true;
		kl_share_credit_downtime(
			quota->share,
			slots_part_ppm(
				&quota->slots,
				kl_slots_inherited_mask(state->slot_table,
							quota->slots.class)),
			node->tuning.min_downtime_us);
	}
	credit_created_slots(state, quota);
	kl_share_add_demand(quota->share, now,
			    arrivals - quota->last_arrival_count, waiting);
	quota->last_arrival_count = arrivals;
	request_loans(node, state, quota, now);
}

/*
 * A slot that no VM owned before starts with its whole part of the burst, so
 * that the first statements of a new fleet are admitted.  That is safe only for
 * quotas that are older than the slot: a workspace that was removed and added
 * again may have spent its burst.
 */
static void credit_created_slots(const share_state_t *state, quota_t *quota)
{
	uint64_t created =
		kl_slots_created_mask(state->slot_table, quota->slots.class) &
		~quota->created_slots_handled;

	if (!created)
		return;
	quota->created_slots_handled |= created;
	kl_share_credit_burst(quota->share,
			      slots_part_ppm(&quota->slots, created));
}

/*
 * Requests the tokens that are short from owners of the workspace's slots.  The
 * first pass asks lenders of this VM's failure domain, which are nearest and
 * mostly have enough; the second pass asks the others.
 */
static void request_loans(kl_node_t *node, share_state_t *state, quota_t *quota,
			  uint64_t now)
{
	for (uint32_t i = 0; i < 2 * KL_SLOTS_PER_CLASS_MAX; i++) {
		uint32_t number = quota->next_lender++ % KL_SLOTS_PER_CLASS_MAX;
		kl_peer_message_t message = { .kind = KL_PEER_LOAN_REQUEST };
		const kl_member_t *lender;
		bool same_domain;

		if (!(quota->slots.mask >> number & 1))
			continue;
		if (!kl_share_is_short(quota->share, now))
			return;
		lender = kl_slots_lender(node, state->slot_table,
					 quota->slots.class, number);
		if (!lender)
			continue;
		same_domain = !strcmp(lender->domain, node->self.domain);
		if (same_domain != (i < KL_SLOTS_PER_CLASS_MAX) ||
		    !kl_share_request_loan(quota->share, lender->name.name, now,
					   &message.loan_request))
			continue;
		memcpy(message.from, node->self.vm, KL_NAME_MAX);
		memcpy(message.subject, quota->name.name, KL_NAME_MAX);
		memcpy(message.hello.host, node->self.host, KL_HOST_MAX);
		message.hello.port = node->self.port;
		node->ops->send_to_peer(node->ops_context, lender->name.name,
					lender->host, lender->port, &message);
	}
}

static void handle_loan_message(kl_node_t *node, share_state_t *state,
				const kl_peer_message_t *message)
{
	quota_t *quota = kl_index_get(state->index, message->subject);
	kl_peer_message_t reply = { .kind = KL_PEER_LOAN_GRANT };
	uint64_t now = kl_node_now(node);

	if (!quota || (message->kind != KL_PEER_LOAN_GRANT &&
		       message->kind != KL_PEER_LOAN_REQUEST))
		return;
	if (message->kind == KL_PEER_LOAN_GRANT) {
		kl_share_accept_grant(quota->share, message->from,
				      &message->loan_grant, now);
		/* If the grant fell short, another lender may have more. */
		request_loans(node, state, quota, now);
		return;
	}
	if (!kl_share_lend(quota->share, message->from, &message->loan_request,
			   now, &reply.loan_grant))
		return;
	memcpy(reply.from, node->self.vm, KL_NAME_MAX);
	memcpy(reply.subject, message->subject, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, message->from,
				message->hello.host, message->hello.port,
				&reply);
}

/*
 * Whether a draining VM may give up its slots: not while it has sessions, whose
 * statements need the tokens.
 */
static bool may_release_slots(const kl_node_t *node)
{
	const kl_lifecycle_t *lifecycle =
		kl_node_get(node, KL_SECTION_LIFECYCLE);
	const kl_buckets_t *buckets = kl_node_get(node, KL_SECTION_BUCKETS);
	uint64_t sessions = 0;

	if (!lifecycle || lifecycle->phase != KL_PHASE_DRAINING)
		return false;
	for (uint32_t i = 0; buckets && i < buckets->count; i++)
		sessions += ck_pr_load_64(&buckets->buckets[i]->open_sessions);
	return !sessions;
}

static void publish_buckets(kl_node_t *node, share_state_t *state)
{
	kl_buckets_t *buckets = kl_buckets_new(state->quota_count);
	quota_t *quota;

	if (!buckets)
		return;
	CK_STAILQ_FOREACH(quota, &state->busy, link)
		kl_buckets_add(buckets, quota->bucket);
	kl_node_publish(node, KL_SECTION_BUCKETS, &buckets->base);
}
