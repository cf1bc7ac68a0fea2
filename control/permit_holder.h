/**
 * @file
 * What an arbiter knows of one VM: the permits that it has, and those that it
 * wants.
 */
#ifndef KL_PERMIT_HOLDER_H
#define KL_PERMIT_HOLDER_H

#include <ck_queue.h>

#include "control/peer_message.h"

/** Answers with permits that a VM has not confirmed; more wait for a report. */
#define KL_PERMIT_UNSEEN_MAX 16

/** Permits granted by one answer that the VM has not confirmed. */
typedef struct kl_permit_unseen {
	uint64_t sequence;
	uint64_t granted_us;
	uint32_t permits;
} kl_permit_unseen_t;

/** A VM that reported or requested lately. */
typedef struct kl_permit_holder {
	CK_STAILQ_ENTRY(kl_permit_holder) link;
	char name[KL_NAME_MAX];
	uint64_t sent_us;	     /**< of its newest request, by its clock */
	uint64_t heard_us;	     /**< arrival of that request */
	kl_permit_request_t request; /**< less what was granted since */
	kl_permit_unseen_t unseen[KL_PERMIT_UNSEEN_MAX]; /**< oldest first */
	uint32_t unseen_count;
	uint32_t pending; /**< permits granted and not yet sent */
	bool answer_due;
	uint64_t last_turn; /**< number of its last grant, for round-robin */
} kl_permit_holder_t;

/**
 * Take in a report.  It confirms the grants up to the sequence that it names:
 * the VM has got them, or will ignore them, and reports those that it holds.
 */
void kl_permit_holder_report(kl_permit_holder_t *holder, uint64_t sent_us,
			     const kl_permit_request_t *request,
			     uint64_t now_us);

/** Note that the pending permits are sent with an answer. */
void kl_permit_holder_answered(kl_permit_holder_t *holder, uint64_t sequence,
			       uint64_t now_us);

/** Let its permits expire. @return number of permits that expired */
uint32_t kl_permit_holder_expire(kl_permit_holder_t *holder, uint64_t now_us);

/** Number of permits that it may use. */
uint32_t kl_permit_holder_sum(const kl_permit_holder_t *holder);

/** Whether it wants permits. */
bool kl_permit_holder_wants(const kl_permit_holder_t *holder);

/** Whether it may get permits: it confirms those that it got. */
bool kl_permit_holder_may_get(const kl_permit_holder_t *holder,
			      uint64_t now_us);

#endif
