/**
 * @file
 * Stand-ins for the replicated databases of one service, which speak the line
 * protocol of platform/line.h.
 */
#ifndef KL_STANDIN_LINE_DATABASE_H
#define KL_STANDIN_LINE_DATABASE_H

#include <event2/buffer.h>
#include <event2/event.h>

/**
 * Start a database and register it in the store.  The first one started is
 * the primary.
 *
 * @param port TCP port to listen on
 * @param registered_port port in the store's entry; differs from port if
 *        clients connect through a relay
 * @return 0, or -1 if the port cannot be bound
 */
int line_database_start(struct event_base *base, const char *host, int port,
			int registered_port);

/**
 * Print the writes of all commits, one a line: key, value, "kept" if the
 * commit is in the current primary's log or else "lost", and "leading", or
 * "replaced" if the database committed it after another was promoted.
 */
void line_database_log(struct evbuffer *out);

/**
 * Make a database the primary of the next term.
 *
 * @return 0, also if it is the primary already; -1 if it is unknown or down
 */
int line_database_promote(const char *id);

/**
 * Inject a fault: "down" (refuses connections; 0 ends it), "lag_ms"
 * (replication delay, milliseconds) or "lose" (number of next statements that
 * run, but whose connection is closed instead of a response).
 *
 * @return 0, or -1 if the database or the fault is unknown
 */
int line_database_fault(const char *id, const char *name, int value);

#endif
