/**
 * @file
 * Stand-in databases that speak lines of words: one service, replicated.
 */
#ifndef KL_STANDIN_LINE_DATABASE_H
#define KL_STANDIN_LINE_DATABASE_H

#include <event2/buffer.h>
#include <event2/event.h>

/**
 * Start a database; the first one leads.
 *
 * @param known_port the one that it registers, where a relay may stand
 * @return 0, or -1
 */
int line_database_start(struct event_base *base, const char *host, int port,
			int known_port);

/**
 * Write all commits, a line a write: item, data, "kept" by the leader or
 * "lost", made while "leading" or after the database was "replaced".
 */
void line_database_log(struct evbuffer *out);

/** Let one lead the next term, as the platform was told. @return 0, or -1 */
int line_database_promote(const char *id);

/** Set a fault: down, lag_ms, lose. @return 0, or -1 */
int line_database_fault(const char *id, const char *name, int value);

#endif
