/**
 * @file
 * What a worker and the permit controller do with a permit account.  All
 * functions may run on both threads at the same time, except that only one
 * worker uses an account.
 */
#ifndef KL_PERMIT_H
#define KL_PERMIT_H

#include "board/sections.h"

/** What the statements of a worker do at an upstream. */
typedef struct kl_permit_use {
	uint64_t running; /**< given a connection and not answered */
	uint64_t wanted[KL_PERMIT_LEVELS]; /**< waiting, by priority */
} kl_permit_use_t;

/** Create an account with one reference. @return NULL: out of memory */
kl_permit_account_t *kl_permit_account_new(const char *name);

/** Take a reference, as kl_bucket_acquire(). */
kl_permit_account_t *kl_permit_account_acquire(kl_permit_account_t *account);

/** Drop a reference, and free the account with the last one. */
void kl_permit_account_release(kl_permit_account_t *account);

/** Create a snapshot for up to count accounts. @return NULL: out of memory */
kl_permits_t *kl_permits_new(uint32_t count);

/** Add an account to a snapshot, which takes a reference. */
void kl_permits_add(kl_permits_t *permits, kl_permit_account_t *account);

/** Whether a new operation needs a permit now. */
bool kl_permit_is_needed(const kl_permit_account_t *account, uint64_t now_us);

/**
 * Worker: begin a new operation, with a permit if one is needed.
 *
 * @param level of its priority, below KL_PERMIT_LEVELS
 * @return false if it has to wait for a permit
 */
bool kl_permit_take(kl_permit_account_t *account, uint32_t level,
		    uint64_t now_us);

/** Worker: state what its statements do now. @return whether that changed */
bool kl_permit_set_use(kl_permit_account_t *account,
		       const kl_permit_use_t *use);

/**
 * Worker: count an answered statement.  The upstream is contended if it refused
 * the statement as busy, or if the answers of a second took more than half of
 * their objectives on average.
 */
void kl_permit_count_answer(kl_permit_account_t *account, uint64_t now_us,
			    uint64_t latency_us, uint64_t objective_us,
			    bool busy);

/** Worker: note a sign that the upstream is contended. */
void kl_permit_note_contention(kl_permit_account_t *account, uint64_t now_us);

/** Worker: add the time that a connection took to open under a permit. */
void kl_permit_add_time(kl_permit_account_t *account, uint64_t time_us);

/** Controller: add permits that were granted. */
void kl_permit_add(kl_permit_account_t *account, uint64_t permits);

/** Controller: take back the permits above max. @return unused permits left */
uint64_t kl_permit_keep(kl_permit_account_t *account, uint64_t max);

#endif
