/**
 * @file
 * The steps of a request, shared by worker_request.c, worker_run.c and
 * worker_wait.c.
 */
#ifndef KL_WORKER_REQUEST_H
#define KL_WORKER_REQUEST_H

#include "daemon/worker_internal.h"

#define ATTEMPTS_MAX 3 /**< limit of attempts at an idempotent statement */

/** Whether the statement is a read, which a replica may execute. */
bool kl_request_is_read(const kl_request_t *request);

/** Whether the statement may be executed twice. */
bool kl_request_is_idempotent(const kl_request_t *request);

/** Whether the statement is a COMMIT or ROLLBACK. */
bool kl_request_ends_transaction(const kl_request_t *request);

/** Discard the answer that is held back, if any, and answer with an error. */
void kl_request_fail(kl_request_t *request, int error);

/** Add the request to the worker's wait list, which is polled on every tick. */
void kl_request_wait(kl_request_t *request, kl_request_stage_t stage);

/** Remove the request from the wait list, if it is there. */
void kl_request_stop_waiting(kl_request_t *request);

/**
 * Check access and take the statement's tokens from its workspace's bucket.
 *
 * @return 0, or -KL_E_RATE to wait; any other error has been answered
 */
int kl_request_take_tokens(kl_request_t *request);

/** Execute the request on the open transaction's connection, or route it. */
void kl_request_dispatch(kl_request_t *request);

/** Answer that the workspace's rate is exceeded, and count the refusal. */
void kl_request_refuse_rate(kl_request_t *request);

/** Choose an upstream and queue the request for a connection to it. */
void kl_request_route(kl_request_t *request);

/**
 * Prove that the request's term is current, then release its answer.
 *
 * @param tally answers of a majority round; NULL to try only the proofs that
 *              need none, and to start a round if these are undecided
 */
void kl_request_prove_term(kl_request_t *request, const kl_vote_tally_t *tally);

/** Close the request's connection, if it has one. */
void kl_request_drop_conn(kl_request_t *request);

#endif
