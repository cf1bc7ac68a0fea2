/**
 * @file
 * A front end of the engine, behind a table of function pointers.
 *
 * It decodes the client's messages and encodes the replies; the engine takes
 * the decisions.  One statement is outstanding at a time.
 */
#ifndef KL_ENGINE_FRONT_H
#define KL_ENGINE_FRONT_H

#include <event2/event.h>

#include "path/engine.h"

typedef struct kl_engine_front kl_engine_front_t;

/** Callbacks of a front end; their arguments are valid until they return. */
typedef struct kl_engine_front_events {
	void (*login)(void *owner, kl_engine_front_t *front,
		      const char *database, const char *key);
	void (*statement)(void *owner, kl_engine_front_t *front,
			  const kl_parsed_stmt_t *stmt);
	/** The connection has ended; front is freed when this returns. */
	void (*closed)(void *owner, kl_engine_front_t *front);
} kl_engine_front_events_t;

/** A client protocol.  A transaction state is 'I', 'T' or 'E'. */
typedef struct kl_engine_front_ops {
	const char *name;
	/**
	 * Create a front end for an accepted connection.
	 *
	 * @param socket closed with the front end
	 * @return NULL when out of memory
	 */
	kl_engine_front_t *(*open)(struct event_base *base, int socket,
				   const kl_engine_front_events_t *events,
				   void *owner);
	/** Accept the login and let the client send statements. */
	void (*accept_login)(kl_engine_front_t *front);
	/** Send a database's result as it is. */
	void (*result)(kl_engine_front_t *front,
		       const kl_stmt_result_t *stmt_result);
	/** Report success of a statement that needed no database. */
	void (*complete)(kl_engine_front_t *front, char txn_state);
	/** Report an error; the session continues. */
	void (*error)(kl_engine_front_t *front, int error, char txn_state);
	/** Whether all received input of the client has been handled. */
	bool (*input_empty)(const kl_engine_front_t *front);
	/**
	 * Send the pending output, then close; closed() is not called.
	 *
	 * @param error reported to the client before, unless it is 0
	 */
	void (*close)(kl_engine_front_t *front, int error);
} kl_engine_front_ops_t;

/** Set and get a pointer that the owner keeps in a front end. */
void kl_engine_front_set_data(kl_engine_front_t *front, void *user_data);
void *kl_engine_front_data(const kl_engine_front_t *front);

/** The text line protocol of the users' platform. */
extern const kl_engine_front_ops_t kl_front_line;

#endif
