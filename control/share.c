/*
 * Keeps this VM's part of every workspace's rate and burst in admission
 * buckets, and lends and borrows parts where the demand is.
 */
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "control/controllers.h"
#include "control/slot.h"

#define BALANCE_US (200 * KL_MS)
#define EAGER_US (1 * KL_SEC)  /* of a process: it looks at each tick */
#define SPREAD_US (3 * KL_SEC) /* a configuration is everywhere by then */
#define IDLE_TURNS 4 /* steps in which every idle workspace has its turn */

typedef struct account {
	kl_named_t name; /* the workspace */
	CK_STAILQ_ENTRY(account) link;
	kl_share_t *share;
	kl_bucket_t *bucket;
	uint64_t asked;
	uint64_t rate;
	uint64_t burst;
	kl_slot_set_t parts;
	/* The same of the configuration before, and when that ended. */
	uint64_t rate_before;
	uint64_t burst_before;
	kl_slot_set_t parts_before;
	uint64_t divided_us;
	uint32_t cursor; /* over its lenders */
	bool wanted;
	bool credited; /* with what its part missed while it was down */
} account_t;

typedef CK_STAILQ_HEAD(account_list, account) account_list_t;

/* An account is on the busy list, or on the idle one, which takes turns. */
typedef struct share_state {
	account_list_t busy;
	account_list_t idle;
	uint32_t count;
	kl_index_t *index;
	kl_slots_t *slots;
	uint64_t balanced_us;
	uint64_t revision; /* of the configuration taken in */
	uint64_t owned;	   /* over all classes */
	uint64_t usable[KL_SLOT_CLASSES_MAX]; /* parts of a class, a bit each */
} share_state_t;

static void take_config(kl_node_t *node, share_state_t *state, uint64_t owned);
static void take_parts(kl_node_t *node, share_state_t *state,
		       account_t *account, const kl_plan_t *plan);
static uint64_t share_of(const kl_slot_set_t *parts, uint64_t mask);
static uint64_t part_of(const kl_node_t *node, const share_state_t *state,
			const account_t *account);
static account_t *account_new(kl_node_t *node, share_state_t *state,
			      const char *name);
static void account_free(account_t *account);
static void run_accounts(kl_node_t *node, share_state_t *state, uint64_t until);
static void run_waiting(kl_node_t *node, share_state_t *state, uint64_t until);
static bool is_idle(const account_t *account);
static void run_account(kl_node_t *node, share_state_t *state,
			account_t *account, uint64_t until);
static void ask_lenders(kl_node_t *node, share_state_t *state,
			account_t *account, uint64_t now);
static void loan_message(kl_node_t *node, share_state_t *state,
			 const kl_peer_message_t *message);
static bool leaving(const kl_node_t *node);
static void publish(kl_node_t *node, share_state_t *state);
static void destroy(kl_snapshot_t *snapshot);
static void release(kl_bucket_t *bucket);
static int64_t purse_take(void *purse, int64_t max);
static void purse_put(void *purse, int64_t tokens, int64_t cap);
static int64_t purse_held(void *purse);
static void purse_valid_until(void *purse, uint64_t until_us);

static const kl_bucket_ops_t purse_ops = { purse_take, purse_put, purse_held,
					   purse_valid_until };

int kl_share_create(kl_node_t *node)
{
	share_state_t *state = calloc(1, sizeof(*state));

	if (!state)
		return -KL_E_NOMEM;
	CK_STAILQ_INIT(&state->busy);
	CK_STAILQ_INIT(&state->idle);
	state->index = kl_index_new(16);
	state->slots = kl_slots_new(node->tuning.slot_count);
	node->state[KL_CONTROLLER_SHARE] = state;
	return state->slots ? 0 : -KL_E_NOMEM;
}

void kl_share_destroy(kl_node_t *node)
{
	share_state_t *state = node->state[KL_CONTROLLER_SHARE];
	account_t *account, *next;

	CK_STAILQ_CONCAT(&state->busy, &state->idle);
	CK_STAILQ_FOREACH_SAFE(account, &state->busy, link, next)
		account_free(account);
	kl_index_free(state->index);
	kl_slots_free(state->slots);
	free(state);
}

void kl_share_step(kl_node_t *node, const kl_event_t *event)
{
	share_state_t *state = node->state[KL_CONTROLLER_SHARE];
	const kl_confirmation_t *fresh =
		kl_node_get(node, KL_SECTION_CONFIRMATION);
	uint64_t now = kl_node_now(node);
	uint64_t owned, until;

	if (event->kind == KL_EVENT_PEER &&
	    event->peer->kind != KL_PEER_DELTA) {
		loan_message(node, state, event->peer);
		return;
	}
	if (event->kind == KL_EVENT_PLATFORM &&
	    event->platform->owner == KL_CONTROLLER_SHARE)
		kl_slots_put_answered(node, state->slots, event->platform);
	kl_slots_load(node, state->slots);
	/* A fresh process wants its slots at once. */
	if (now - state->balanced_us >= BALANCE_US ||
	    now - node->started_us < EAGER_US) {
		state->balanced_us = now;
		kl_slots_balance(node, state->slots, leaving(node));
	}
	owned = kl_slots_portion(node, state->slots, KL_SHARE_WHOLE_PPM);
	for (uint32_t i = 0; i < KL_SLOT_CLASSES_MAX; i++)
		state->usable[i] = kl_slots_usable_mask(node, state->slots, i);
	take_config(node, state, owned);

	until = fresh ? fresh->confirmed_us + node->tuning.slot_lease_us : 0;
	if (event->kind == KL_EVENT_REQUEST_WAITING)
		run_waiting(node, state, until);
	else
		run_accounts(node, state, until);
}

uint32_t kl_share_slots_owned(const kl_node_t *node)
{
	const share_state_t *state = node->state[KL_CONTROLLER_SHARE];

	return kl_slots_owned(state->slots);
}

static void take_config(kl_node_t *node, share_state_t *state, uint64_t owned)
{
	const kl_config_t *config = kl_node_get(node, KL_SECTION_CONFIG);
	const kl_workspace_t *workspace;
	account_t *account, *next;
	bool changed = false;

	if (!config ||
	    (config->revision == state->revision && owned == state->owned))
		return;
	state->revision = config->revision;
	state->owned = owned;
	/* All are looked at, and sorted out anew by the next step. */
	CK_STAILQ_CONCAT(&state->busy, &state->idle);
	CK_STAILQ_FOREACH(account, &state->busy, link)
		account->wanted = false;
	CK_STAILQ_FOREACH(workspace, &config->workspaces, link) {
		const char *name = workspace->name.name;
		const kl_plan_t *plan = workspace->plan;

		account = kl_index_get(state->index, name);
		if (!account) {
			account = account_new(node, state, name);
			changed = true;
		}
		if (!account)
			continue;
		account->wanted = true;
		kl_share_set_limit(account->share, plan ? plan->rate : 0,
				   plan ? plan->burst : 0);
		take_parts(node, state, account, plan);
		ck_pr_store_64(
			&account->bucket->session_cap,
			kl_slots_portion(node, state->slots,
					 plan ? plan->max_connections : 0));
	}
	CK_STAILQ_FOREACH_SAFE(account, &state->busy, link, next) {
		if (account->wanted)
			continue;
		kl_index_remove(state->index, account->name.name);
		CK_STAILQ_REMOVE(&state->busy, account, account, link);
		state->count--;
		account_free(account);
		changed = true;
	}
	if (changed)
		publish(node, state);
}

static void take_parts(kl_node_t *node, share_state_t *state,
		       account_t *account, const kl_plan_t *plan)
{
	uint64_t burst = plan ? plan->burst : 0;
	kl_slot_set_t parts =
		kl_slots_for_workspace(state->slots, account->name.name, burst);

	if (parts.mask != account->parts.mask) {
		account->parts_before = account->parts;
		account->rate_before = account->rate;
		account->burst_before = account->burst;
		account->parts = parts;
		account->divided_us = kl_node_now(node);
	}
	account->rate = plan ? plan->rate : 0;
	account->burst = burst;
}

/* The share of a limit that some parts of its class make. */
static uint64_t share_of(const kl_slot_set_t *parts, uint64_t mask)
{
	uint64_t count = (uint64_t)__builtin_popcountll(parts->mask & mask);

	return KL_SHARE_WHOLE_PPM * count / parts->count;
}

/*
 * While VMs may still divide the limit in other parts, no more than this VM's
 * part was before: all together keep within the old limit or the new one.
 */
static uint64_t part_of(const kl_node_t *node, const share_state_t *state,
			const account_t *account)
{
	uint64_t mask = state->usable[account->parts.class];
	uint64_t owned = share_of(&account->parts, mask);
	uint64_t before, least = owned;

	if (!account->parts_before.count ||
	    kl_node_now(node) - account->divided_us > SPREAD_US)
		return owned;
	before = share_of(&account->parts_before, mask);
	if (account->rate &&
	    before * account->rate_before / account->rate < least)
		least = before * account->rate_before / account->rate;
	if (account->burst &&
	    before * account->burst_before / account->burst < least)
		least = before * account->burst_before / account->burst;
	return least;
}

static account_t *account_new(kl_node_t *node, share_state_t *state,
			      const char *name)
{
	account_t *account = calloc(1, sizeof(*account));
	kl_bucket_t *bucket = calloc(1, sizeof(*bucket));

	if (!account || !bucket)
		goto fail;
	kl_name_set(account->name.name, name);
	bucket->name = account->name;
	bucket->references = 1;
	account->bucket = bucket;
	account->cursor = kl_node_random(node);
	account->share = kl_share_new(&purse_ops, bucket, kl_node_now(node));
	if (!account->share)
		goto fail;
	CK_STAILQ_INSERT_TAIL(&state->busy, account, link);
	state->count++;
	kl_index_put(state->index, &account->name);
	return account;
fail:
	free(bucket);
	free(account);
	return NULL;
}

static void account_free(account_t *account)
{
	kl_share_free(account->share);
	ck_pr_store_64(&account->bucket->valid_until_us, 0);
	release(account->bucket);
	free(account);
}

/*
 * Busy ones at each tick; of the idle ones so many that all have had their turn
 * before their tokens cease to be valid.
 */
static void run_accounts(kl_node_t *node, share_state_t *state, uint64_t until)
{
	uint32_t turns = state->count / IDLE_TURNS + 1;
	account_list_t busy;
	account_t *account;

	CK_STAILQ_INIT(&busy);
	CK_STAILQ_CONCAT(&busy, &state->busy);
	while (turns-- && (account = CK_STAILQ_FIRST(&state->idle))) {
		CK_STAILQ_REMOVE_HEAD(&state->idle, link);
		CK_STAILQ_INSERT_TAIL(&busy, account, link);
	}
	while ((account = CK_STAILQ_FIRST(&busy))) {
		CK_STAILQ_REMOVE_HEAD(&busy, link);
		run_account(node, state, account, until);
		if (is_idle(account))
			CK_STAILQ_INSERT_TAIL(&state->idle, account, link);
		else
			CK_STAILQ_INSERT_TAIL(&state->busy, account, link);
	}
}

/* Those that a request waits for, at once. */
static void run_waiting(kl_node_t *node, share_state_t *state, uint64_t until)
{
	account_t *account;

	CK_STAILQ_FOREACH(account, &state->busy, link) {
		if (ck_pr_load_64(&account->bucket->waiting))
			run_account(node, state, account, until);
	}
	CK_STAILQ_FOREACH(account, &state->idle, link) {
		if (ck_pr_load_64(&account->bucket->waiting))
			run_account(node, state, account, until);
	}
}

static bool is_idle(const account_t *account)
{
	return !ck_pr_load_64(&account->bucket->waiting) &&
	       kl_share_idle(account->share);
}

static void run_account(kl_node_t *node, share_state_t *state,
			account_t *account, uint64_t until)
{
	uint64_t owned = part_of(node, state, account);
	kl_bucket_t *bucket = account->bucket;
	uint64_t now = kl_node_now(node);
	uint64_t asked = ck_pr_load_64(&bucket->arrived);
	uint64_t waiting = ck_pr_load_64(&bucket->waiting);

	kl_share_tick(account->share, now);
	kl_share_set_owned(account->share, owned, until);
	if (owned && !account->credited) {
		account->credited = true;
		kl_share_credit_downtime(
			account->share,
			share_of(&account->parts,
				 kl_slots_inherited_mask(state->slots,
							 account->parts.class)),
			node->tuning.min_downtime_us);
	}
	kl_share_add_demand(account->share, now, asked - account->asked,
			    waiting);
	account->asked = asked;
	ask_lenders(node, state, account, now);
}

/* Owners of its own failure domain first: they are near, and enough mostly. */
static void ask_lenders(kl_node_t *node, share_state_t *state,
			account_t *account, uint64_t now)
{
	for (uint32_t i = 0; i < 2 * KL_SLOTS_PER_CLASS_MAX; i++) {
		uint32_t number = account->cursor++ % KL_SLOTS_PER_CLASS_MAX;
		kl_peer_message_t message = { .kind = KL_PEER_LOAN_REQUEST };
		const kl_member_t *lender;
		bool near;

		if (!(account->parts.mask >> number & 1))
			continue;
		if (!kl_share_is_short(account->share, now))
			return;
		lender = kl_slots_lender(node, state->slots,
					 account->parts.class, number);
		if (!lender)
			continue;
		near = !strcmp(lender->domain, node->self.domain);
		if (near != (i < KL_SLOTS_PER_CLASS_MAX) ||
		    !kl_share_request_loan(account->share, lender->name.name,
					   now, &message.ask))
			continue;
		memcpy(message.from, node->self.vm, KL_NAME_MAX);
		memcpy(message.subject, account->name.name, KL_NAME_MAX);
		memcpy(message.hello.host, node->self.host, KL_HOST_MAX);
		message.hello.port = node->self.port;
		node->ops->send_to_peer(node->ops_context, lender->name.name,
					lender->host, lender->port, &message);
	}
}

static void loan_message(kl_node_t *node, share_state_t *state,
			 const kl_peer_message_t *message)
{
	account_t *account = kl_index_get(state->index, message->subject);
	kl_peer_message_t reply = { .kind = KL_PEER_LOAN_GRANT };
	uint64_t now = kl_node_now(node);

	if (!account || (message->kind != KL_PEER_LOAN_GRANT &&
			 message->kind != KL_PEER_LOAN_REQUEST))
		return;
	if (message->kind == KL_PEER_LOAN_GRANT) {
		kl_share_accept_grant(account->share, message->from,
				      &message->grant, now);
		/* What one could not give another may have. */
		ask_lenders(node, state, account, now);
		return;
	}
	if (!kl_share_lend(account->share, message->from, &message->ask, now,
			   &reply.grant))
		return;
	memcpy(reply.from, node->self.vm, KL_NAME_MAX);
	memcpy(reply.subject, message->subject, KL_NAME_MAX);
	node->ops->send_to_peer(node->ops_context, message->from,
				message->hello.host, message->hello.port,
				&reply);
}

/* Parts are kept while open sessions may still need them. */
static bool leaving(const kl_node_t *node)
{
	const kl_lifecycle_t *life = kl_node_get(node, KL_SECTION_LIFECYCLE);
	const kl_buckets_t *shares = kl_node_get(node, KL_SECTION_BUCKETS);
	uint64_t sessions = 0;

	if (!life || life->phase != KL_PHASE_DRAINING)
		return false;
	for (uint32_t i = 0; shares && i < shares->count; i++)
		sessions += ck_pr_load_64(&shares->buckets[i]->sessions);
	return !sessions;
}

static void publish(kl_node_t *node, share_state_t *state)
{
	kl_buckets_t *shares = calloc(1, sizeof(*shares));
	account_t *account;
	if (!shares)
		return;
	shares->base.destroy = destroy;
	shares->index = kl_index_new(state->count);
	shares->buckets = calloc(state->count + 1, sizeof(kl_bucket_t *));
	if (!shares->index || !shares->buckets) {
		destroy(&shares->base);
		return;
	}
	CK_STAILQ_FOREACH(account, &state->busy, link) {
		account->bucket->references++;
		shares->buckets[shares->count++] = account->bucket;
		kl_index_put(shares->index, &account->bucket->name);
	}
	kl_node_publish(node, KL_SECTION_BUCKETS, &shares->base);
}

static void destroy(kl_snapshot_t *snapshot)
{
	kl_buckets_t *shares = (kl_buckets_t *)snapshot;

	for (uint32_t i = 0; i < shares->count; i++)
		release(shares->buckets[i]);
	kl_index_free(shares->index);
	free(shares->buckets);
	free(shares);
}

static void release(kl_bucket_t *bucket)
{
	if (!--bucket->references)
		free(bucket);
}

static int64_t purse_take(void *purse, int64_t max)
{
	kl_bucket_t *bucket = purse;
	uint64_t *tokens = (uint64_t *)&bucket->tokens_milli;
	uint64_t held, taken;

	do {
		held = ck_pr_load_64(tokens);
		taken = held < (uint64_t)max ? held : (uint64_t)max;
	} while (!ck_pr_cas_64(tokens, held, held - taken));
	return (int64_t)taken;
}

static void purse_put(void *purse, int64_t more, int64_t cap)
{
	kl_bucket_t *bucket = purse;
	uint64_t *tokens = (uint64_t *)&bucket->tokens_milli;
	uint64_t held, sum;

	do {
		held = ck_pr_load_64(tokens);
		sum = held + (uint64_t)more;
		if (sum > (uint64_t)cap)
			sum = (uint64_t)cap;
	} while (sum != held && !ck_pr_cas_64(tokens, held, sum));
}

static int64_t purse_held(void *purse)
{
	kl_bucket_t *bucket = purse;

	return (int64_t)ck_pr_load_64((uint64_t *)&bucket->tokens_milli);
}

static void purse_valid_until(void *purse, uint64_t until_us)
{
	kl_bucket_t *bucket = purse;

	ck_pr_store_64(&bucket->valid_until_us, until_us);
}
