/**
 * @file
 * A fair queue of the requests that wait for one upstream: deficit round robin
 * over the workspaces, charged by the database time that each has used.
 */
#ifndef KL_FAIR_H
#define KL_FAIR_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

/** A queue entry, embedded in a request. */
typedef struct kl_waiter {
	CK_STAILQ_ENTRY(kl_waiter) link;
	bool queued;	      /**< the waiter is in a queue */
	struct kl_flow *flow; /**< waiters of the same workspace */
} kl_waiter_t;

/** The queue of one upstream. */
typedef struct kl_fair_queue kl_fair_queue_t;

/** Create an empty queue. @return NULL when out of memory */
kl_fair_queue_t *kl_fair_queue_new(void);

/** Free a queue; the entries stay with their owners. */
void kl_fair_queue_free(kl_fair_queue_t *queue);

/** Append a waiter to its workspace's queue. @return 0 or -KL_E_NOMEM */
int kl_fair_queue_push(kl_fair_queue_t *queue, const char *workspace,
		       kl_waiter_t *waiter);

/** Remove the next waiter to serve. @return NULL if the queue is empty */
kl_waiter_t *kl_fair_queue_pop(kl_fair_queue_t *queue);

/** Remove a given waiter; nothing happens if it is not queued. */
void kl_fair_queue_remove(kl_fair_queue_t *queue, kl_waiter_t *waiter);

/** Charge a workspace for the database time that it used, microseconds. */
void kl_fair_queue_charge(kl_fair_queue_t *queue, const char *workspace,
			  uint64_t used_us);

/** Number of waiters of a workspace. */
uint32_t kl_fair_queue_waiter_count(const kl_fair_queue_t *queue,
				    const char *workspace);

/** Number of workspaces that have waiters. */
uint32_t kl_fair_queue_workspace_count(const kl_fair_queue_t *queue);

#endif
