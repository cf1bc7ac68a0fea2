/* Requests permits from the arbiter of an upstream, and returns them. */
#include <ck_pr.h>
#include <string.h>

#include "control/permit_internal.h"

/* A VM stops using permits this early, since it looks only at events. */
#define EXPIRY_MARGIN_US (30 * KL_MS)
/* A request is repeated after this time without an answer. */
#define REPEAT_US (15 * KL_MS)
/* An arbiter that did not answer for this long is not used ... */
#define ANSWER_TIMEOUT_US (50 * KL_MS)
/* ... for this time. */
#define SILENT_PAUSE_US (1 * KL_SEC)
/* What is held or wanted is reported again before it would expire. */
#define REFRESH_US (100 * KL_MS)
/*
 * A VM that uses an upstream without permits asks this often whether others
 * wait for them: only those who wait notice the contention.
 */
#define INQUIRY_US (1 * KL_SEC)
/* The upstream is contended for this long after its arbiter says so. */
#define CONTENDED_US (1 * KL_SEC)
/* More permits in one grant are malformed. */
#define GRANT_MAX 1000

static void choose_arbiter(const kl_node_t *node, kl_permit_entry_t *entry);
static void begin_pause(kl_node_t *node, kl_permit_entry_t *entry);
static void note_contention(kl_node_t *node, kl_permit_entry_t *entry);
static bool is_due(const kl_permit_entry_t *entry,
		   const kl_permit_request_t *request, uint64_t now_us);
static bool wants_any(const kl_permit_request_t *request);
static void read_account(kl_permit_account_t *account, uint64_t now_us,
			 kl_permit_request_t *request);
static void cover(uint32_t wanted[KL_PERMIT_LEVELS], uint64_t permits);

void kl_permit_ask(kl_node_t *node, kl_permit_entry_t *entry,
		   kl_permit_outbox_t *outbox)
{
	kl_permit_asker_t *asker = &entry->asker;
	kl_permit_account_t *account = entry->account;
	uint64_t now = kl_node_now(node);
	kl_peer_message_t *message;
	kl_permit_request_t request;
	bool is_needed = kl_permit_is_needed(account, now);

	if (ck_pr_load_64(&account->single_until_us) > now)
		return;
	choose_arbiter(node, entry);
	note_contention(node, entry);
	if (asker->waiting_since_us &&
	    now - asker->waiting_since_us > ANSWER_TIMEOUT_US) {
		begin_pause(node, entry);
		return;
	}
	read_account(account, now, &request);
	if (!is_due(entry, &request, now))
		return;
	message = kl_permit_outbox_message(node, outbox, asker->arbiter,
					   KL_PEER_PERMIT_REQUEST);
	if (!message)
		return;
	memcpy(request.account, entry->name.name, KL_NAME_MAX);
	request.seen_sequence = asker->seen_sequence;
	request.wants_answer = wants_any(&request) || !is_needed;
	message->permit_requests.list[message->permit_requests.count++] =
		request;
	asker->sent_us = message->permit_requests.sent_us;
	asker->answered = request.answered;
	asker->held = request.held;
	memcpy(asker->wanted, request.wanted, sizeof(asker->wanted));
	if (!wants_any(&request))
		asker->waiting_since_us = 0;
	else if (!asker->waiting_since_us)
		asker->waiting_since_us = now;
}

bool kl_permit_accept(kl_node_t *node, kl_permit_entry_t *entry,
		      const char *from, const kl_permit_grant_t *grant)
{
	kl_permit_asker_t *asker = &entry->asker;
	kl_permit_account_t *account = entry->account;
	uint64_t now = kl_node_now(node);
	uint64_t valid_until_us = grant->request_sent_us +
				  KL_PERMIT_LIFETIME_US - EXPIRY_MARGIN_US;

	/*
	 * Ignores a grant of another VM, one whose request this process did not
	 * send, one that came too late, and a repeat.
	 */
	if (strcmp(from, asker->arbiter) ||
	    grant->request_sent_us > asker->sent_us ||
	    grant->request_sent_us < node->started_us ||
	    valid_until_us <= now || grant->sequence <= asker->seen_sequence ||
	    grant->permits > GRANT_MAX)
		return false;
	asker->seen_sequence = grant->sequence;
	asker->heard_us = now;
	asker->waiting_since_us = 0;
	if (grant->contended)
		ck_pr_store_64(&account->contended_until_us,
			       now + CONTENDED_US);
	if (!grant->permits)
		return false;
	asker->held += grant->permits;
	cover(asker->wanted, grant->permits);
	if (ck_pr_load_64(&account->valid_until_us) <= now)
		kl_permit_keep(account, 0);
	if (ck_pr_load_64(&account->valid_until_us) < valid_until_us)
		ck_pr_store_64(&account->valid_until_us, valid_until_us);
	kl_permit_add(account, grant->permits);
	return true;
}

/*
 * Chooses the registered VM of the upstream's failure domain that ranks highest
 * for it, or of all VMs if the domain has none.
 */
static void choose_arbiter(const kl_node_t *node, kl_permit_entry_t *entry)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	kl_permit_asker_t *asker = &entry->asker;
	const kl_member_t *member, *best = NULL;
	unsigned long long best_rank = 0;
	bool best_near = false;

	if (!members || members->base.sequence == asker->members_sequence)
		return;
	asker->members_sequence = members->base.sequence;
	CK_STAILQ_FOREACH(member, &members->list, link) {
		bool near = !strcmp(member->domain, entry->domain);
		unsigned long long rank;

		if (!member->registered || (best_near && !near))
			continue;
		rank = kl_rendezvous_rank(entry->name.name, member->name.name);
		if (best && near == best_near && rank <= best_rank)
			continue;
		best = member;
		best_near = near;
		best_rank = rank;
	}
	if (!strcmp(asker->arbiter, best ? best->name.name : ""))
		return;
	kl_name_copy(asker->arbiter, best ? best->name.name : "");
	asker->seen_sequence = 0;
	asker->sent_us = 0;
	asker->waiting_since_us = 0;
	asker->held = 0;
	memset(asker->wanted, 0, sizeof(asker->wanted));
}

/* Runs one statement at a time for a while, since no arbiter answers. */
static void begin_pause(kl_node_t *node, kl_permit_entry_t *entry)
{
	kl_permit_asker_t *asker = &entry->asker;
	uint64_t now = kl_node_now(node);
	kl_decision_t decision = { .name = "arbiter_silent",
				   .upstream = entry->name.name,
				   .reason = "one statement at a time",
				   .peer = asker->arbiter,
				   .age_us = now - asker->waiting_since_us };

	asker->waiting_since_us = 0;
	asker->held = 0;
	memset(asker->wanted, 0, sizeof(asker->wanted));
	kl_permit_keep(entry->account, 0);
	ck_pr_store_64(&entry->account->single_until_us, now + SILENT_PAUSE_US);
	/* It stays contended until the arbiter has been asked again. */
	ck_pr_store_64(&entry->account->contended_until_us,
		       now + SILENT_PAUSE_US + CONTENDED_US);
	node->ops->count_permits(node->ops_context, KL_PERMIT_UNANSWERED, 1);
	node->ops->log_decision(node->ops_context, &decision);
	node->ops->permits_changed(node->ops_context);
}

static void note_contention(kl_node_t *node, kl_permit_entry_t *entry)
{
	bool is_contended =
		kl_permit_is_needed(entry->account, kl_node_now(node));
	kl_decision_t decision = { .name = "upstream_contended",
				   .upstream = entry->name.name,
				   .peer = entry->asker.arbiter };

	if (is_contended && !entry->asker.was_contended)
		node->ops->log_decision(node->ops_context, &decision);
	entry->asker.was_contended = is_contended;
}

/* Whether the arbiter has to be told something now. */
static bool is_due(const kl_permit_entry_t *entry,
		   const kl_permit_request_t *request, uint64_t now_us)
{
	const kl_permit_asker_t *asker = &entry->asker;
	uint64_t since_us =
		now_us > asker->sent_us ? now_us - asker->sent_us : 0;

	if (!asker->arbiter[0])
		return false;
	if (!kl_permit_is_needed(entry->account, now_us))
		return request->answered != asker->answered &&
		       since_us >= INQUIRY_US;
	if (request->held != asker->held ||
	    memcmp(request->wanted, asker->wanted, sizeof(asker->wanted)))
		return true;
	if (wants_any(request))
		return since_us >=
		       (asker->waiting_since_us ? REPEAT_US : REFRESH_US);
	return request->held && since_us >= REFRESH_US;
}

static bool wants_any(const kl_permit_request_t *request)
{
	uint32_t sum = 0;

	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		sum += request->wanted[i];
	return sum > 0;
}

/*
 * Reads what the VM holds and wants, and takes back permits that nothing waits
 * for or that have expired.  The unused permits are read before the running
 * statements, so that one that is taken meanwhile is counted.
 */
static void read_account(kl_permit_account_t *account, uint64_t now_us,
			 kl_permit_request_t *request)
{
	uint64_t unused, sum = 0;

	memset(request, 0, sizeof(*request));
	for (int i = 0; i < KL_PERMIT_LEVELS; i++) {
		request->wanted[i] =
			(uint32_t)ck_pr_load_64(&account->wanted[i]);
		sum += request->wanted[i];
	}
	if (ck_pr_load_64(&account->valid_until_us) <= now_us)
		sum = 0;
	unused = kl_permit_keep(account, sum);
	ck_pr_fence_load();
	request->held = (uint32_t)(unused + ck_pr_load_64(&account->running));
	cover(request->wanted, unused);
	request->answered = ck_pr_load_64(&account->answered);
	request->latency_sum_us = ck_pr_load_64(&account->latency_sum_us);
}

/* Takes permits off what is wanted, the most urgent first. */
static void cover(uint32_t wanted[KL_PERMIT_LEVELS], uint64_t permits)
{
	for (int i = 0; i < KL_PERMIT_LEVELS; i++) {
		uint32_t taken =
			permits < wanted[i] ? (uint32_t)permits : wanted[i];

		wanted[i] -= taken;
		permits -= taken;
	}
}
