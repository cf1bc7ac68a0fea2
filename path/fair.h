/**
 * @file
 * Fair queues: waiting requests of one upstream, served by deficit round
 * robin over workspaces, charged by the database time that they used.
 */
#ifndef KL_FAIR_H
#define KL_FAIR_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

/** A waiting entry, embedded in a request. */
typedef struct kl_waiter {
	CK_STAILQ_ENTRY(kl_waiter) link;
	bool queued;
	struct kl_flow *flow;
} kl_waiter_t;

typedef struct kl_fair_queue kl_fair_queue_t;

kl_fair_queue_t *kl_fair_queue_new(void);
void kl_fair_queue_free(kl_fair_queue_t *fair);

/** Queue a waiter for its workspace. @return 0 or -KL_E_NOMEM */
int kl_fair_queue_push(kl_fair_queue_t *fair, const char *workspace,
		       kl_waiter_t *waiter);

/** Take the next waiter off. @return NULL if none waits */
kl_waiter_t *kl_fair_queue_pop(kl_fair_queue_t *fair);

/** Take a given waiter off, for a deadline or a caller that left. */
void kl_fair_queue_remove(kl_fair_queue_t *fair, kl_waiter_t *waiter);

/** Charge a workspace for database time, microseconds. */
void kl_fair_queue_charge(kl_fair_queue_t *fair, const char *workspace,
			  uint64_t used_us);

/** Waiters of one workspace. */
uint32_t kl_fair_queue_waiting(const kl_fair_queue_t *fair,
			       const char *workspace);

/** Workspaces with waiters. */
uint32_t kl_fair_queue_active(const kl_fair_queue_t *fair);

#endif
