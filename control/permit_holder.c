/* The permits that one VM has of one upstream, as its arbiter knows. */
#include "control/permit_grant.h"
#include "control/permit_holder.h"

/* The arbiter counts a tenth more, for clocks that run at unequal speeds. */
#define ARBITER_LIFETIME_US (KL_PERMIT_LIFETIME_US + KL_PERMIT_LIFETIME_US / 10)
/*
 * A VM that has not confirmed a grant for this long gets no further one: it may
 * be dead.  One that is alive reports what it holds more often.
 */
#define UNCONFIRMED_US 150000ull
/* No VM runs more statements at an upstream; larger numbers are malformed. */
#define HELD_MAX 1000

static uint32_t sum_unseen(const kl_permit_holder_t *holder);
static void keep_unseen(kl_permit_holder_t *holder, uint64_t after_sequence,
			uint64_t after_us);

void kl_permit_holder_report(kl_permit_holder_t *holder, uint64_t sent_us,
			     const kl_permit_request_t *request,
			     uint64_t now_us)
{
	holder->sent_us = sent_us;
	holder->heard_us = now_us;
	holder->request = *request;
	holder->answer_due |= request->wants_answer;
	if (holder->request.held > HELD_MAX)
		holder->request.held = HELD_MAX;
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		if (holder->request.wanted[i] > HELD_MAX)
			holder->request.wanted[i] = HELD_MAX;
	keep_unseen(holder, request->seen_sequence, 0);
}

void kl_permit_holder_answered(kl_permit_holder_t *holder, uint64_t sequence,
			       uint64_t now_us)
{
	if (holder->pending)
		holder->unseen[holder->unseen_count++] =
			(kl_permit_unseen_t){ sequence, now_us,
					      holder->pending };
	holder->pending = 0;
	holder->answer_due = false;
}

uint32_t kl_permit_holder_expire(kl_permit_holder_t *holder, uint64_t now_us)
{
	uint32_t before = kl_permit_holder_sum(holder);

	if (now_us < ARBITER_LIFETIME_US)
		return 0;
	keep_unseen(holder, 0, now_us - ARBITER_LIFETIME_US);
	if (now_us - holder->heard_us >= ARBITER_LIFETIME_US)
		holder->request.held = 0;
	return before - kl_permit_holder_sum(holder);
}

uint32_t kl_permit_holder_sum(const kl_permit_holder_t *holder)
{
	return holder->request.held + sum_unseen(holder) + holder->pending;
}

bool kl_permit_holder_wants(const kl_permit_holder_t *holder)
{
	for (int i = 0; i < KL_PERMIT_LEVELS; i++)
		if (holder->request.wanted[i])
			return true;
	return false;
}

bool kl_permit_holder_may_get(const kl_permit_holder_t *holder, uint64_t now_us)
{
	return !holder->unseen_count ||
	       (holder->unseen_count < KL_PERMIT_UNSEEN_MAX &&
		now_us - holder->unseen[0].granted_us < UNCONFIRMED_US);
}

static uint32_t sum_unseen(const kl_permit_holder_t *holder)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < holder->unseen_count; i++)
		sum += holder->unseen[i].permits;
	return sum;
}

/* Keeps the grants that are later than a sequence and a time. */
static void keep_unseen(kl_permit_holder_t *holder, uint64_t after_sequence,
			uint64_t after_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < holder->unseen_count; i++) {
		const kl_permit_unseen_t *grant = &holder->unseen[i];

		if (grant->sequence > after_sequence &&
		    grant->granted_us > after_us)
			holder->unseen[kept++] = *grant;
	}
	holder->unseen_count = kept;
}
