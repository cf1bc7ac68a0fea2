/* Permit accounts: their lifetime, and their counters of two threads. */
#include <ck_pr.h>
#include <stdlib.h>

#include "board/permit.h"

/* An upstream stays contended for this long after a sign of it. */
#define CONTENDED_US 1000000ull
/*
 * The answers of a second tell contention if their average is above half of the
 * objective.  A single late answer tells none: ordinary work takes a quarter of
 * the objective now and then.
 */
#define AVERAGE_US 1000000ull
#define AVERAGE_MIN_ANSWERS 5
#define LATE_PERMILLE 500

static bool is_late_on_average(kl_permit_account_t *account, uint64_t now_us,
			       uint64_t latency_us, uint64_t objective_us);
static void destroy_permits(kl_snapshot_t *snapshot);

kl_permit_account_t *kl_permit_account_new(const char *name)
{
	kl_permit_account_t *account = calloc(1, sizeof(*account));

	if (!account || kl_name_copy(account->name.name, name)) {
		free(account);
		return NULL;
	}
	account->references = 1;
	return account;
}

kl_permit_account_t *kl_permit_account_acquire(kl_permit_account_t *account)
{
	ck_pr_inc_32(&account->references);
	return account;
}

void kl_permit_account_release(kl_permit_account_t *account)
{
	bool last;

	/* Orders this thread's accesses before another thread's free(). */
	ck_pr_fence_release();
	ck_pr_dec_32_zero(&account->references, &last);
	if (!last)
		return;
	ck_pr_fence_acquire();
	free(account);
}

kl_permits_t *kl_permits_new(uint32_t count)
{
	kl_permits_t *permits = calloc(1, sizeof(*permits));

	if (!permits)
		return NULL;
	permits->base.destroy = destroy_permits;
	permits->index = kl_index_new(count);
	permits->accounts = calloc(count + 1, sizeof(kl_permit_account_t *));
	if (permits->index && permits->accounts)
		return permits;
	destroy_permits(&permits->base);
	return NULL;
}

void kl_permits_add(kl_permits_t *permits, kl_permit_account_t *account)
{
	permits->accounts[permits->count++] =
		kl_permit_account_acquire(account);
	kl_index_put(permits->index, &account->name);
}

static void destroy_permits(kl_snapshot_t *snapshot)
{
	kl_permits_t *permits = (kl_permits_t *)snapshot;

	for (uint32_t i = 0; i < permits->count; i++)
		kl_permit_account_release(permits->accounts[i]);
	kl_index_free(permits->index);
	free(permits->accounts);
	free(permits);
}

bool kl_permit_is_needed(const kl_permit_account_t *account, uint64_t now_us)
{
	return ck_pr_load_64(&account->contended_until_us) > now_us ||
	       ck_pr_load_64(&account->single_until_us) > now_us;
}

bool kl_permit_take(kl_permit_account_t *account, uint32_t level,
		    uint64_t now_us)
{
	uint64_t unused;

	if (!kl_permit_is_needed(account, now_us)) {
		ck_pr_inc_64(&account->running);
		return true;
	}
	if (ck_pr_load_64(&account->single_until_us) > now_us) {
		if (ck_pr_load_64(&account->running))
			return false;
		ck_pr_inc_64(&account->running);
		return true;
	}
	if (ck_pr_load_64(&account->valid_until_us) <= now_us)
		return false;
	/* Counted as running first: no report may miss the permit. */
	ck_pr_inc_64(&account->running);
	do {
		unused = ck_pr_load_64(&account->unused);
		if (!unused) {
			ck_pr_dec_64(&account->running);
			return false;
		}
	} while (!ck_pr_cas_64(&account->unused, unused, unused - 1));
	if (ck_pr_load_64(&account->wanted[level]))
		ck_pr_dec_64(&account->wanted[level]);
	return true;
}

bool kl_permit_set_use(kl_permit_account_t *account, const kl_permit_use_t *use)
{
	bool changed = ck_pr_load_64(&account->running) != use->running;

	ck_pr_store_64(&account->running, use->running);
	for (int i = 0; i < KL_PERMIT_LEVELS; i++) {
		changed |= ck_pr_load_64(&account->wanted[i]) != use->wanted[i];
		ck_pr_store_64(&account->wanted[i], use->wanted[i]);
	}
	return changed;
}

void kl_permit_count_answer(kl_permit_account_t *account, uint64_t now_us,
			    uint64_t latency_us, uint64_t objective_us,
			    bool busy)
{
	ck_pr_inc_64(&account->answered);
	ck_pr_add_64(&account->latency_sum_us, latency_us);
	if (is_late_on_average(account, now_us, latency_us, objective_us) ||
	    busy)
		kl_permit_note_contention(account, now_us);
}

static bool is_late_on_average(kl_permit_account_t *account, uint64_t now_us,
			       uint64_t latency_us, uint64_t objective_us)
{
	if (now_us - account->second_start_us > AVERAGE_US) {
		account->second_start_us = now_us;
		account->second_answers = 0;
		account->second_permille = 0;
	}
	if (objective_us) {
		account->second_answers++;
		account->second_permille += latency_us * 1000 / objective_us;
	}
	return account->second_answers >= AVERAGE_MIN_ANSWERS &&
	       account->second_permille >
		       LATE_PERMILLE * account->second_answers;
}

void kl_permit_note_contention(kl_permit_account_t *account, uint64_t now_us)
{
	uint64_t until_us = now_us + CONTENDED_US;

	ck_pr_store_64(&account->sign_us, now_us);
	if (ck_pr_load_64(&account->contended_until_us) < until_us)
		ck_pr_store_64(&account->contended_until_us, until_us);
}

void kl_permit_add_time(kl_permit_account_t *account, uint64_t time_us)
{
	ck_pr_add_64(&account->latency_sum_us, time_us);
}

void kl_permit_add(kl_permit_account_t *account, uint64_t permits)
{
	ck_pr_add_64(&account->unused, permits);
}

uint64_t kl_permit_keep(kl_permit_account_t *account, uint64_t max)
{
	uint64_t unused;

	do {
		unused = ck_pr_load_64(&account->unused);
		if (unused <= max)
			return unused;
	} while (!ck_pr_cas_64(&account->unused, unused, max));
	return max;
}
