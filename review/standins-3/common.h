/**
 * @file
 * What the drivers of the cases share: the record, calls of the store, and
 * sessions of clients.  All sockets block, with a timeout.
 */
#ifndef REVIEW_3_COMMON_H
#define REVIEW_3_COMMON_H

#include <stdbool.h>
#include <stdint.h>

#define ADDRESS_MAX 48 /**< bytes of an address with its port */

/** What became of a statement, as its client sees it. */
typedef enum outcome {
	OUTCOME_OK,	   /**< COMPLETE, with a database's signature */
	OUTCOME_LOGIN,	   /**< the login was refused */
	OUTCOME_STATEMENT, /**< the statement was refused */
	OUTCOME_NONE,	   /**< no complete answer */
} outcome_t;

/** Names of the outcomes. */
extern const char *const outcome_names[];

/** Time of a steady clock, milliseconds. */
int64_t now_ms(void);

/** Wait for a time. */
void pause_ms(int64_t ms);

/** Open the record, a file to which lines are added. */
void record_open(const char *path);

/** Add a line to the record, with the time since the start. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Connect to "IP:PORT". @return a socket, or -1 */
int dial(const char *address, int timeout_ms);

/**
 * Make an HTTP call.
 *
 * @param body NULL: none
 * @return the status, or -1 without an answer
 */
int http_call(const char *address, const char *method, const char *path,
	      const char *body);

/** Read a line of a session without its end. @return false at its end */
bool read_line(int session, char *line, int size);

/**
 * Open a session, run one statement in it and close it.
 *
 * @param error receives the code of an error, or ""
 */
outcome_t ask_once(const char *address, const char *database, const char *key,
		   const char *statement, char error[32]);

/**
 * Wait until a statement succeeds at each machine, and for a moment more.
 *
 * @return false if that takes too long
 */
bool await_service(const char *const *addresses, int count,
		   const char *database, const char *key);

#endif
