/**
 * @file
 * The closed list of error kinds.
 *
 * Functions answer 0 or a negative kind.  One table gives for each kind its
 * name, the SQLSTATE a caller sees, the text, and whether it proves that the
 * statement did not run.
 */
#ifndef KUMQUATLOFT_KIND_H
#define KUMQUATLOFT_KIND_H

#include <stdbool.h>

/** Error kinds; a function returns the negative of one of these. */
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

/** One row of the table from kind to answer. */
typedef struct kl_error_info {
	const char *name;     /**< stable name, used in logs and counters */
	const char *sqlstate; /**< five characters for the caller */
	const char *text;     /**< message for the caller */
	bool not_run; /**< true if the statement certainly did not run */
} kl_error_info_t;

/**
 * Look up the answer to an error.
 *
 * @param error 0 or a negative kind; anything else is KL_E_INTERNAL
 * @return the row, never NULL
 */
const kl_error_info_t *kl_error_info(int error);

#endif
