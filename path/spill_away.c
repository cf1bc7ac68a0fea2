/* Shares of a service's reads when no database in the domain can run them. */
#include "path/spill.h"

/* A share changes by at most this in a step. */
#define STEP_MAX (KL_SPILL_WHOLE / 16)
/*
 * Added to each wait as a part of the objective, so that short waits, which say
 * little, divide the reads evenly.
 */
#define BASE_DIVISOR 8

static uint64_t weight(const kl_spill_domain_t *domain, uint64_t objective_us);
static void approach(kl_spill_domain_t *domain, uint32_t target);

bool kl_spill_step_away(kl_spill_t *spill, uint64_t now_us)
{
	uint64_t objective_us = kl_spill_objective_us(spill);
	kl_spill_domain_t *domain;
	uint64_t sum = 0;

	if (!spill->away) {
		CK_STAILQ_FOREACH(domain, &spill->domains, link)
			domain->share = domain->credit = 0;
		spill->away = true;
	}
	if (now_us < spill->next_step_us)
		return false;
	spill->next_step_us = now_us + KL_SPILL_STEP_US;
	CK_STAILQ_FOREACH(domain, &spill->domains, link)
		sum += weight(domain, objective_us);
	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		uint64_t part = weight(domain, objective_us);

		if (part)
			approach(domain, (uint32_t)((double)part / (double)sum *
						    KL_SPILL_WHOLE));
		else
			domain->share = domain->credit = 0;
	}
	return true;
}

/* The part of the reads falls with the wait and the distance; 0: unknown. */
static uint64_t weight(const kl_spill_domain_t *domain, uint64_t objective_us)
{
	uint64_t cost_us = domain->wait_us + domain->distance_us +
			   objective_us / BASE_DIVISOR;

	/* The square, so that a full domain gets few. */
	return domain->known ? UINT64_MAX / 64 / (cost_us * cost_us + 1) : 0;
}

static void approach(kl_spill_domain_t *domain, uint32_t target)
{
	uint32_t lowest =
		domain->share > STEP_MAX ? domain->share - STEP_MAX : 0;

	/* The first shares are taken at once, since all reads must leave. */
	if (!domain->share ||
	    (target >= lowest && target <= domain->share + STEP_MAX))
		domain->share = target;
	else if (target < lowest)
		domain->share = lowest;
	else
		domain->share += STEP_MAX;
}

void kl_spill_come_home(kl_spill_t *spill)
{
	kl_spill_domain_t *domain;

	if (!spill->away)
		return;
	spill->away = false;
	CK_STAILQ_FOREACH(domain, &spill->domains, link)
		domain->share = domain->credit = 0;
}

kl_spill_domain_t *kl_spill_next_away(const kl_spill_t *spill)
{
	kl_spill_domain_t *domain, *next = NULL;

	CK_STAILQ_FOREACH(domain, &spill->domains, link) {
		if (domain->share &&
		    (!next || domain->credit + domain->share >
				      next->credit + next->share))
			next = domain;
	}
	return next;
}
