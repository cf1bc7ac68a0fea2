/**
 * @file
 * Error codes.
 *
 * Functions return 0 or the negative of a code.  A table holds each code's
 * name, the SQLSTATE and message that a client receives, and whether the error
 * proves that the statement did not run.
 */
#ifndef KUMQUATLOFT_KIND_H
#define KUMQUATLOFT_KIND_H

#include <stdbool.h>

/** Error codes; functions return the negative of one of them. */
typedef enum kl_error {
	KL_OK = 0,
	KL_E_AUTH,
	KL_E_KEY_WITHDRAWN,
	KL_E_RATE,
	KL_E_CONNECTIONS,
	KL_E_NO_UPSTREAM,
	KL_E_DEADLINE,
	KL_E_UNKNOWN_OUTCOME,
	KL_E_REPLACED,
	KL_E_WRITE_LOST,
	KL_E_UNSUPPORTED,
	KL_E_PROTOCOL,
	KL_E_DRAINING,
	KL_E_STALE_CONFIG,
	KL_E_UPSTREAM,
	KL_E_READ_ONLY,
	KL_E_NOT_FOUND,
	KL_E_CONFLICT,
	KL_E_UNAVAILABLE,
	KL_E_INVALID,
	KL_E_TIMEOUT,
	KL_E_NOMEM,
	KL_E_INTERNAL,
	KL_E_LAGGING,
	KL_E_MISROUTED,
	KL_E_NO_STATEMENT,
	KL_E_ABORTED,
	KL_ERROR_COUNT
} kl_error_t;

/** Properties of an error code. */
typedef struct kl_error_info {
	const char *name;     /**< stable name, used in log lines and metrics */
	const char *sqlstate; /**< sent to the client; five characters */
	const char *text;     /**< message sent to the client */
	bool not_run;	      /**< the statement certainly did not run */
} kl_error_info_t;

/**
 * Look up an error code.
 *
 * @param error 0 or a negative code; any other number is taken for
 *              -KL_E_INTERNAL
 * @return the table's entry, never NULL
 */
const kl_error_info_t *kl_error_info(int error);

#endif
