/**
 * @file
 * Records the statements that reach a database of an evacuated failure domain
 * too late.  This is what the databases see, whatever the proxies know.
 */
#ifndef KL_STANDIN_LATE_STATEMENTS_H
#define KL_STANDIN_LATE_STATEMENTS_H

#include <event2/buffer.h>

/** Limit from the evacuation's acknowledgement, milliseconds. */
#define EVACUATION_LIMIT_MS 5000

/**
 * Record a statement that arrived now, if it is late.
 *
 * @param id the client's, "-" for a statement of the proxy itself
 * @param state of the transaction, 'I' if there is none
 */
void late_statements_check(const char *id, const char *database,
			   const char *domain, char state);

/**
 * Print the late statements, a line each: "ID DATABASE STATE AGE_MS TIME_US",
 * with the evacuation's age and the monotonic time of arrival.
 */
void late_statements_print(struct evbuffer *out);

#endif
