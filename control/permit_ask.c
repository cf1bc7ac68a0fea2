/* Requests permits from the arbiter of an upstream, and returns them. */
#include <ck_pr.h>
#include <string.h>

#include "control/permit_internal.h"

/*
 * A VM uses a permit for this long after it was sent: a tenth less than its
 * lifetime, for clocks that run at unequal speeds.
 */
#define USABLE_US (KL_PERMIT_LIFETIME_US - KL_PERMIT_LIFETIME_US / 10)
/* A request is repeated after this time without an answer. */
#define REPEAT_US (15 * KL_MS)
/* An arbiter that did not answer for this long is not used ... */
#define ANSWER_TIMEOUT_US (50 * KL_MS)
/* ... for this time. */
#define SILENT_PAUSE_US (1 * KL_SEC)
/* What is held or wanted is reported again before it would expire. */
#define REFRESH_US (100 * KL_MS)
#define REFRESH_MAX_US (1 * KL_SEC)
/* An upstream is contended for this long after a sign of it. */
#define CONTENDED_US (1 * KL_SEC)
/*
 * A round trip is measured again after this time, for clocks that run at
 * unequal speeds.
 */
#define ROUND_TRIP_MAX_AGE_US (10 * KL_SEC)
/* More permits in one grant are malformed. */
#define GRANT_MAX 1000

static void add_permits(kl_permit_account_t *account, uint64_t permits,
			uint64_t now_us, uint64_t valid_until_us);
static uint64_t measure_age(kl_permit_asker_t *asker, uint64_t sent_us,
			    const kl_permit_grant_t *grant, uint64_t now_us);
static void forget_told(kl_permit_asker_t *asker);
static void begin_pause(kl_node_t *node, kl_permit_entry_t *entry);
static void note_contention(kl_node_t *node, kl_permit_entry_t *entry);
static bool is_due(const kl_permit_entry_t *entry,
		   const kl_permit_request_t *request, uint64_t now_us);
static bool wants_any(const uint32_t wanted[KL_PERMIT_LEVELS]);
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
	bool wants;

	if (ck_pr_load_64(&account->single_until_us) > now)
		return;
	if (kl_permit_choose_arbiter(node, entry))
		forget_told(asker);
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
	wants = wants_any(request.wanted);
	/* One that is kept waiting hears of grants without asking for them. */
	request.wants_answer = wants && (!asker->kept_waiting ||
					 now - asker->heard_us >= REFRESH_US);
	message->permit_requests.list[message->permit_requests.count++] =
		request;
	asker->sent_us = message->permit_requests.sent_us;
	asker->held = request.held;
	memcpy(asker->wanted, request.wanted, sizeof(asker->wanted));
	if (!wants)
		asker->waiting_since_us = 0;
	else if (request.wants_answer && !asker->waiting_since_us)
		asker->waiting_since_us = now;
}

bool kl_permit_accept(kl_node_t *node, kl_permit_entry_t *entry,
		      const kl_peer_message_t *message,
		      const kl_permit_grant_t *grant)
{
	kl_permit_asker_t *asker = &entry->asker;
	kl_permit_account_t *account = entry->account;
	uint64_t now = kl_node_now(node), age_us;

	if (!grant->request_sent_us && grant->contended && !grant->permits) {
		kl_permit_accept_notice(node, entry, message->from);
		return false;
	}
	/*
	 * Ignores a grant of another VM, one whose request this process did not
	 * send, and a repeat.
	 */
	if (strcmp(message->from, asker->arbiter) ||
	    grant->request_sent_us > asker->sent_us ||
	    grant->request_sent_us < node->started_us ||
	    grant->sequence <= asker->seen_sequence ||
	    grant->permits > GRANT_MAX)
		return false;
	age_us = measure_age(asker, message->permit_grants.sent_us, grant, now);
	if (age_us >= USABLE_US)
		return false;
	asker->seen_sequence = grant->sequence;
	asker->heard_us = now;
	asker->refresh_us = grant->refresh_us < REFRESH_MAX_US
				    ? grant->refresh_us
				    : REFRESH_MAX_US;
	cover(asker->wanted, grant->permits);
	asker->held += grant->permits;
	if (grant->request_sent_us == asker->sent_us) {
		asker->waiting_since_us = 0;
		asker->kept_waiting = wants_any(asker->wanted);
	}
	if (grant->contended)
		ck_pr_store_64(&account->contended_until_us,
			       now + CONTENDED_US + asker->refresh_us);
	if (!grant->permits)
		return false;
	add_permits(account, grant->permits, now, now + USABLE_US - age_us);
	return true;
}

static void add_permits(kl_permit_account_t *account, uint64_t permits,
			uint64_t now_us, uint64_t valid_until_us)
{
	uint64_t held_until_us = ck_pr_load_64(&account->valid_until_us);

	if (held_until_us <= now_us)
		kl_permit_keep(account, 0);
	if (held_until_us < valid_until_us)
		ck_pr_store_64(&account->valid_until_us, valid_until_us);
	kl_permit_add(account, permits);
}

/*
 * Returns how long ago a grant was sent, at most: how much later it came than
 * the answer with the shortest round trip, and that round trip.
 */
static uint64_t measure_age(kl_permit_asker_t *asker, uint64_t sent_us,
			    const kl_permit_grant_t *grant, uint64_t now_us)
{
	int64_t difference = (int64_t)(now_us - sent_us), age;
	uint64_t round_trip_us = now_us > grant->request_sent_us
					 ? now_us - grant->request_sent_us
					 : 0;
	bool is_answer = asker->waiting_since_us &&
			 grant->request_sent_us == asker->sent_us;

	if (is_answer &&
	    (!asker->round_trip_at_us ||
	     round_trip_us <= asker->round_trip_us ||
	     now_us - asker->round_trip_at_us > ROUND_TRIP_MAX_AGE_US)) {
		asker->round_trip_us = round_trip_us;
		asker->round_trip_at_us = now_us;
		asker->clock_difference_us = difference;
	}
	if (!asker->round_trip_at_us)
		return round_trip_us;
	age = (int64_t)((uint64_t)difference -
			(uint64_t)asker->clock_difference_us +
			asker->round_trip_us);
	return age > 0 ? (uint64_t)age : 0;
}

/* Begins anew with an arbiter, which has to be told everything. */
static void forget_told(kl_permit_asker_t *asker)
{
	asker->waiting_since_us = 0;
	asker->seen_sequence = 0;
	asker->round_trip_at_us = 0;
	asker->kept_waiting = false;
	asker->held = 0;
	asker->refresh_us = REFRESH_US;
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

	/*
	 * The sequence, too: an arbiter whose host started again counts from a
	 * lower number.  Its earlier grants have expired when the pause ends.
	 */
	forget_told(asker);
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

/*
 * Whether the arbiter has to be told something now.  A VM that is kept waiting
 * tells further demand with its next message.
 */
static bool is_due(const kl_permit_entry_t *entry,
		   const kl_permit_request_t *request, uint64_t now_us)
{
	const kl_permit_asker_t *asker = &entry->asker;
	uint64_t since_us =
		now_us > asker->sent_us ? now_us - asker->sent_us : 0;

	if (!asker->arbiter[0])
		return false;
	if (!kl_permit_is_needed(entry->account, now_us))
		return false;
	if (request->held != asker->held ||
	    wants_any(request->wanted) != wants_any(asker->wanted))
		return true;
	if (request->held && since_us >= REFRESH_US)
		return true;
	if (asker->waiting_since_us && since_us >= REPEAT_US)
		return true;
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		if (request->wanted[i] != asker->wanted[i] &&
		    (!asker->kept_waiting || !asker->wanted[i]))
			return true;
	return wants_any(request->wanted) && since_us >= asker->refresh_us;
}

static bool wants_any(const uint32_t wanted[KL_PERMIT_LEVELS])
{
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		if (wanted[i])
			return true;
	return false;
}

/*
 * Reads what the VM holds and wants, and takes back permits that nothing waits
 * for or that have expired.  The unused permits are read before the running
 * statements, so that one that is taken meanwhile is counted.
 */
static void read_account(kl_permit_account_t *account, uint64_t now_us,
			 kl_permit_request_t *request)
{
	uint64_t unused, sign_us, sum = 0;

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
	sign_us = ck_pr_load_64(&account->sign_us);
	request->contended = sign_us && sign_us + CONTENDED_US > now_us;
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
