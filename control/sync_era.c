/*
 * The store's era: learns it from answers and messages, and refuses those of an
 * older one.
 */
#include "control/store_era.h"
#include "control/sync_internal.h"

/*
 * A message may raise the era by at most this, since the store's answers are
 * refused once a later era is known.
 */
#define PEER_ERA_RISE_MAX 8
/*
 * Confirmations of a new era count this long after this VM learned of it: the
 * newest terms that any VM holds are written again by then.  A VM whose lease
 * had ended may have missed a term, and waits longer; it served no writes.
 */
#define ERA_GRACE_US (1 * KL_SEC)
#define ERA_GRACE_LAPSED_US (3 * KL_SEC)

/*
 * For this long after a drill a mark that the store lacks stands, unless its
 * removal is seen: operators write lost marks again in this time.
 */
#define MARK_KEEP_US (20 * KL_SEC)

static void adopt_era(kl_node_t *node, kl_sync_t *sync, uint64_t era);
static void list_all(kl_node_t *node, kl_sync_t *sync);
static void add_first_revision(kl_sync_t *sync, uint32_t age,
			       uint64_t revision);

bool kl_sync_accept_answer(kl_node_t *node, kl_sync_t *sync,
			   const kl_platform_answer_t *answer)
{
	kl_decision_t decision = { .name = "era_refused",
				   .reason = "answer",
				   .feed = kl_feed_name(answer->feed),
				   .position = answer->era };

	/* Without an answer of the store the era is not known. */
	if (!answer->era && answer->error)
		return true;
	if (answer->era < sync->era) {
		sync->refused_era_count++;
		node->ops->log_decision(node->ops_context, &decision);
		return false;
	}
	if (answer->era > sync->era) {
		adopt_era(node, sync, answer->era);
		list_all(node, sync);
		/* It began in the old era, and lacks changes of the new one. */
		if (answer->op == KL_PLATFORM_WATCH)
			return false;
	}
	if (answer->era && !answer->error)
		add_first_revision(sync, 0,
				   kl_version_revision(answer->revision));
	return true;
}

bool kl_sync_accept_message(kl_node_t *node, kl_sync_t *sync,
			    const kl_peer_message_t *message)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	uint64_t difference = sync->era - message->store_era;

	if (sync->era && message->store_era > sync->era + PEER_ERA_RISE_MAX) {
		sync->refused_era_count++;
		return false;
	}
	if (message->store_era > sync->era) {
		adopt_era(node, sync, message->store_era);
		if (members && members->is_watcher)
			list_all(node, sync);
		difference = 0;
	}
	for (uint32_t i = 0; i < KL_STORE_ERAS; i++)
		if (message->first_revisions[i] &&
		    i + difference < KL_STORE_ERAS)
			add_first_revision(sync, (uint32_t)(i + difference),
					   message->first_revisions[i]);
	sync->refused_era_count += difference != 0;
	return difference == 0;
}

static void adopt_era(kl_node_t *node, kl_sync_t *sync, uint64_t era)
{
	kl_decision_t decision = { .name = "era_rose",
				   .reason = sync->era ? "store_restored"
						       : "first",
				   .position = era };
	uint64_t missed = era - sync->era;
	uint64_t now = kl_node_now(node);
	bool lapsed = !sync->has_confirmation ||
		      now - sync->confirmed_us > node->tuning.lease_duration_us;

	for (uint32_t i = KL_STORE_ERAS; i-- > 0;)
		sync->first_revisions[i] =
			i >= missed ? sync->first_revisions[i - missed] : 0;
	if (sync->era)
		sync->settled_us =
			now + (lapsed ? ERA_GRACE_LAPSED_US : ERA_GRACE_US);
	else if (era > KL_FIRST_ERA)
		sync->settled_us = now + ERA_GRACE_US;
	if (sync->era) {
		sync->marks_kept_until_us = now + MARK_KEEP_US;
		sync->keeps_marks = true;
	}
	if (!sync->era)
		sync->first_era = era;
	sync->had_lease_at_restore = sync->era && !lapsed;
	sync->era = era;
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++)
		sync->feeds[i].has_withheld = false;
	kl_sync_end_fetch(sync); /* a delta that is on its way is older */
	node->ops->log_decision(node->ops_context, &decision);
}

/* A watcher lists the marks again; the other VMs learn from it what is gone. */
void kl_sync_end_kept_marks(kl_node_t *node, kl_sync_t *sync, uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);

	if (!sync->keeps_marks || now < sync->marks_kept_until_us)
		return;
	sync->keeps_marks = false;
	if (!members || members->is_watcher)
		sync->feeds[KL_FEED_MARKS].needs_list = true;
}

/* Feeds that were not loaded yet are being listed already. */
static void list_all(kl_node_t *node, kl_sync_t *sync)
{
	uint64_t now = kl_node_now(node);

	for (uint32_t i = 0; i < KL_FEED_COUNT; i++)
		if (sync->feeds[i].loaded)
			kl_sync_list_again(node, sync, i, now);
}

/*
 * Lowers the known first revision of an era.  Objects that were withheld may
 * then be newer than the copy, so their feeds are listed again.
 */
static void add_first_revision(kl_sync_t *sync, uint32_t age, uint64_t revision)
{
	uint64_t *first = &sync->first_revisions[age];

	if (!revision)
		revision = 1; /* 0 stands for none */
	if (*first && *first <= revision)
		return;
	*first = revision;
	for (uint32_t i = 0; i < KL_FEED_COUNT; i++) {
		sync->feeds[i].needs_list |= sync->feeds[i].has_withheld;
		sync->feeds[i].has_withheld = false;
	}
}
