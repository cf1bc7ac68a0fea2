/* Shares of a service's reads that go to other failure domains. */
#include <stdlib.h>
#include <string.h>

#include "path/spill.h"

/*
 * Reads leave while the wait at home exceeds the objective divided by the
 * first, and return when it is below the objective divided by the second.
 * Shares do not rise in between, so that the shares don't oscillate.
 */
#define LEAVE_DIVISOR 4
#define RETURN_DIVISOR 8
/* The other domain's answer must be earlier by this part of the objective. */
#define GAIN_DIVISOR 16

/*
 * A share changes by a step that grows while it changes in one direction and
 * shrinks when the direction changes: a constant step either settles too late
 * in a burst, or makes the share oscillate.
 */
#define STEP_MIN (KL_SPILL_WHOLE / 128)
#define STEP_MAX (KL_SPILL_WHOLE / 8)
#define STEP_FIRST (KL_SPILL_WHOLE / 32)
#define STEP_GROWTH_DIVISOR 4 /* grows by a quarter */
#define STEP_SHRINK_DIVISOR 3 /* shrinks to a third */
/* Downwards a part of the share is added, since needless traffic costs. */
#define DOWN_DIVISOR 16
/*
 * Some reads always stay at home, since only their responses show that there
 * is capacity again.
 */
#define SHARE_MAX (KL_SPILL_WHOLE - KL_SPILL_WHOLE / 8)

/* The lowest objective is that of this period and of the one before. */
#define OBJECTIVE_PERIOD_US 2000000

static uint64_t remote_us(const kl_spill_domain_t *domain);
static void change_share(kl_spill_t *spill, kl_spill_domain_t *domain,
			 int direction);

void kl_spill_init(kl_spill_t *spill)
{
	memset(spill, 0, sizeof(*spill));
	CK_STAILQ_INIT(&spill->domains);
}

void kl_spill_clear(kl_spill_t *spill)
{
	kl_spill_domain_t *domain;

	while ((domain = CK_STAILQ_FIRST(&spill->domains))) {
		CK_STAILQ_REMOVE_HEAD(&spill->domains, link);
		free(domain);
	}
}

kl_spill_domain_t *kl_spill_domain(kl_spill_t *spill, const char *name)
{
	kl_spill_domain_t *domain;

	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		if (!strcmp(domain->name, name))
			return domain;
	}
	domain = calloc(1, sizeof(*domain));
	if (!domain || kl_name_copy(domain->name, name)) {
		free(domain);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&spill->domains, domain, link);
	return domain;
}

void kl_spill_note_objective(kl_spill_t *spill, uint64_t objective_us,
			     uint64_t now_us)
{
	if (now_us - spill->period_began_us > OBJECTIVE_PERIOD_US) {
		spill->last_objective_us = spill->objective_us;
		spill->objective_us = 0;
		spill->period_began_us = now_us;
	}
	if (!spill->objective_us || objective_us < spill->objective_us)
		spill->objective_us = objective_us;
}

uint64_t kl_spill_objective_us(const kl_spill_t *spill)
{
	if (!spill->last_objective_us ||
	    (spill->objective_us &&
	     spill->objective_us < spill->last_objective_us))
		return spill->objective_us;
	return spill->last_objective_us;
}

bool kl_spill_needs_figures(const kl_spill_t *spill, bool was_late)
{
	return was_late || kl_spill_share(spill);
}

/*
 * A share rises only while the wait does, and falls only while the wait does:
 * the averages show the effect of a step some steps later.
 */
bool kl_spill_step(kl_spill_t *spill, uint64_t home_wait_us, uint64_t now_us)
{
	uint64_t objective_us = kl_spill_objective_us(spill);
	bool rises = home_wait_us >= spill->last_wait_us;
	bool falls = home_wait_us <= spill->last_wait_us;
	kl_spill_domain_t *domain, *best = NULL;

	if (now_us < spill->next_step_us)
		return false;
	spill->next_step_us = now_us + KL_SPILL_STEP_US;
	spill->last_wait_us = home_wait_us;
	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		if (!domain->known) {
			domain->share = 0;
			domain->credit = 0;
			continue;
		}
		if ((falls && home_wait_us < objective_us / RETURN_DIVISOR) ||
		    remote_us(domain) >= home_wait_us ||
		    domain->wait_us > objective_us / LEAVE_DIVISOR)
			change_share(spill, domain, -1);
		else if (!best || remote_us(domain) < remote_us(best))
			best = domain;
	}
	if (best && objective_us && rises &&
	    home_wait_us > objective_us / LEAVE_DIVISOR &&
	    home_wait_us > remote_us(best) + objective_us / GAIN_DIVISOR)
		change_share(spill, best, 1);
	return true;
}

/* When a read that is sent there now would begin to run. */
static uint64_t remote_us(const kl_spill_domain_t *domain)
{
	return domain->wait_us + domain->round_trip_us;
}

static void change_share(kl_spill_t *spill, kl_spill_domain_t *domain,
			 int direction)
{
	uint32_t room = SHARE_MAX - kl_spill_share(spill);
	uint32_t down;

	if (domain->direction == direction)
		domain->step += domain->step / STEP_GROWTH_DIVISOR + 1;
	else
		domain->step /= STEP_SHRINK_DIVISOR;
	if (domain->step > STEP_MAX)
		domain->step = STEP_MAX;
	if (domain->step < STEP_MIN)
		domain->step = STEP_MIN;
	if (!domain->share)
		domain->step = STEP_FIRST;
	domain->direction = direction;
	down = domain->step + domain->share / DOWN_DIVISOR;
	if (direction > 0)
		domain->share += domain->step < room ? domain->step : room;
	else
		domain->share -= down < domain->share ? down : domain->share;
	if (!domain->share)
		domain->credit = 0;
}

kl_spill_domain_t *kl_spill_next(const kl_spill_t *spill)
{
	kl_spill_domain_t *domain, *next = NULL;

	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		if (domain->share &&
		    domain->credit + domain->share >= KL_SPILL_WHOLE &&
		    (!next || domain->credit > next->credit))
			next = domain;
	}
	return next;
}

kl_spill_domain_t *kl_spill_best(const kl_spill_t *spill)
{
	uint64_t limit_us = kl_spill_objective_us(spill) / RETURN_DIVISOR;
	kl_spill_domain_t *domain, *best = NULL;

	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		if (domain->known && remote_us(domain) < limit_us &&
		    (!best || remote_us(domain) < remote_us(best)))
			best = domain;
	}
	return best;
}

void kl_spill_sent(kl_spill_t *spill, kl_spill_domain_t *sent_to)
{
	kl_spill_domain_t *domain;

	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		domain->credit += domain->share;
		if (domain == sent_to)
			domain->credit -= domain->credit < KL_SPILL_WHOLE
						  ? domain->credit
						  : KL_SPILL_WHOLE;
		/* What was not sent in time is not made up for. */
		if (domain->credit > KL_SPILL_WHOLE)
			domain->credit = KL_SPILL_WHOLE;
	}
}

uint32_t kl_spill_share(const kl_spill_t *spill)
{
	const kl_spill_domain_t *domain;
	uint32_t share = 0;

	CK_STAILQ_FOREACH(domain, &spill->domains, link)
		share += domain->share;
	return share;
}
