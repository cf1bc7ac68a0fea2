/**
 * @file
 * The arbiter's decision: which VMs get the permits of one upstream.
 *
 * It uses no messages and no clock.  Permits end when their VM no longer
 * reports them, or when the VM has been silent for KL_PERMIT_LIFETIME_US.
 */
#ifndef KL_PERMIT_GRANT_H
#define KL_PERMIT_GRANT_H

#include "control/peer_message.h"

/** A VM uses permits for this long after it last reported them. */
#define KL_PERMIT_LIFETIME_US 300000ull

/** The permits of one upstream, at its arbiter. */
typedef struct kl_permit_pool kl_permit_pool_t;

/**
 * Create a pool.
 *
 * @param slots statements that the upstream executes at once
 * @return NULL when out of memory
 */
kl_permit_pool_t *kl_permit_pool_new(uint32_t slots, uint64_t now_us);

void kl_permit_pool_free(kl_permit_pool_t *pool);

/** Set the number of statements that the upstream executes at once. */
void kl_permit_pool_set_slots(kl_permit_pool_t *pool, uint32_t slots);

/**
 * Take in what a VM reports and requests.
 *
 * @param sent_us the VM's clock at sending
 * @return false if the request is a repeat, or older than another one
 */
bool kl_permit_pool_request(kl_permit_pool_t *pool, const char *vm,
			    uint64_t sent_us,
			    const kl_permit_request_t *request,
			    uint64_t now_us);

/** Let permits expire, adapt their number, and grant those that are free. */
void kl_permit_pool_decide(kl_permit_pool_t *pool, uint64_t now_us);

/**
 * Get the next answer to be sent, until there is none.
 *
 * @param grant filled in, without the name of the account
 * @return the VM to which it goes, or NULL
 */
const char *kl_permit_pool_next_answer(kl_permit_pool_t *pool, uint64_t now_us,
				       kl_permit_grant_t *grant);

/** Whether all VMs are to be told now that the upstream is contended. */
bool kl_permit_pool_notice_is_due(kl_permit_pool_t *pool, uint64_t now_us);

/** Number of permits that expired since the last call. */
uint32_t kl_permit_pool_take_expired(kl_permit_pool_t *pool);

/** Number of permits that VMs may use now. */
uint32_t kl_permit_pool_outstanding(const kl_permit_pool_t *pool);

/** Most permits that may be outstanding now. */
uint32_t kl_permit_pool_limit(const kl_permit_pool_t *pool);

#endif
