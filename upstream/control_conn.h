/**
 * @file
 * A connection for control calls to a database (status, seal, promote,
 * follow), behind a table of function pointers.
 */
#ifndef KL_UPSTREAM_CONTROL_H
#define KL_UPSTREAM_CONTROL_H

#include <event2/event.h>

#include "control/node.h"
#include "path/position.h"

typedef struct kl_control_conn kl_control_conn_t;

/** State that a database reports in answer to a control call. */
typedef struct kl_database_state {
	int error; /**< 0 or a negative kl_error_t; the rest is valid if 0 */
	bool primary;
	uint64_t term;	       /**< term in which the database serves */
	uint64_t min_term;     /**< lowest term that it still accepts */
	kl_position_t log_end; /**< end of its log */
} kl_database_state_t;

/** Callbacks of a connection. */
typedef struct kl_control_conn_events {
	void (*ready)(void *owner); /**< connected and logged in */
	/** @param state valid until the callback returns */
	void (*answered)(void *owner, const kl_database_state_t *state);
	/** The connection is lost; only close() may be called on it. */
	void (*lost)(void *owner, int error);
} kl_control_conn_events_t;

/** A protocol for control calls. */
typedef struct kl_control_conn_ops {
	const char *name;
	/**
	 * Start to connect to the database that a call is for.
	 *
	 * @param user user name to log in with
	 * @return NULL if the attempt failed at once
	 */
	kl_control_conn_t *(*open)(struct event_base *base,
				   const kl_database_call_t *call,
				   const char *user,
				   const kl_control_conn_events_t *events,
				   void *owner);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_control_conn_t *conn, const kl_database_call_t *call);
	void (*close)(kl_control_conn_t *conn);
} kl_control_conn_ops_t;

/** SQL function calls over libpq. */
extern const kl_control_conn_ops_t kl_control_conn_pq;
/** The text line protocol of the users' platform. */
extern const kl_control_conn_ops_t kl_control_conn_line;

#endif
