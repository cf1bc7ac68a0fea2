/**
 * @file
 * What the files that move a request along share.
 */
#ifndef KL_WORKER_REQUEST_H
#define KL_WORKER_REQUEST_H

#include "daemon/worker_internal.h"

#define ATTEMPTS_MAX 3 /**< runs of one statement that may be repeated */

/** Whether it may go to a replica. */
bool kl_request_is_read(const kl_request_t *request);

/** Whether running it twice does no harm. */
bool kl_request_is_idempotent(const kl_request_t *request);

/** Whether it is a COMMIT or ROLLBACK. */
bool kl_request_ends_transaction(const kl_request_t *request);

/** Answer with an error in place of what was kept back. */
void kl_request_fail(kl_request_t *request, int error);

/** Put it with those that are looked at again. */
void kl_request_wait(kl_request_t *request, kl_request_stage_t stage);

/** Take it off those that are looked at again. */
void kl_request_stop_waiting(kl_request_t *request);

/** Take its tokens. @return 0, or -KL_E_RATE to wait; any other refusal has
 * been answered */
int kl_request_take_tokens(kl_request_t *request);

/** Go on with its tokens taken. */
void kl_request_dispatch(kl_request_t *request);

/** Refuse it for its rate. */
void kl_request_refuse_rate(kl_request_t *request);

/** Choose an upstream and queue for it. */
void kl_request_route(kl_request_t *request);

/** Try each way of proving its term; a tally is there if one was asked for. */
void kl_request_prove_term(kl_request_t *request, const kl_vote_tally_t *tally);

/** Drop its connection. */
void kl_request_drop_conn(kl_request_t *request);

#endif
