/**
 * @file
 * A front end for SQL clients, behind a table of function pointers.
 *
 * It decodes the client's messages and encodes the replies; the worker that
 * owns it takes the decisions.  One query is outstanding at a time: the front
 * end handles the next message after ready().
 */
#ifndef KL_FRONT_H
#define KL_FRONT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/rows.h"

#define KL_PARAMETERS_MAX 256 /**< parameters of one statement */

/** What a client sent to log in. */
typedef struct kl_login {
	const char *workspace; /**< the user name of the startup message */
	const char *service;   /**< the database name of the startup message */
	const char *key;       /**< the password */
	const char *session_token; /**< session token, or "" */
	const char *max_age;	/**< limit of the age of data in reads, or "" */
	const char *repeatable; /**< "on", "off" or "" */
} kl_login_t;

/** A statement to run. */
typedef struct kl_query {
	const char *text;
	bool extended;	       /**< extended protocol; sets the fields below */
	int parameter_count;   /**< entries of the arrays below */
	const uint32_t *types; /**< parameter type OIDs; 0: unspecified */
	const char *const *values; /**< of the parameters; NULL: SQL NULL */
	const int *lengths;	   /**< bytes of the values */
	const int *formats;	   /**< of the values: 0 for text, 1 binary */
	int result_format;	   /**< 0 for text, 1 for binary */
} kl_query_t;

/** Callbacks of a front end; their arguments are valid until they return. */
typedef struct kl_front_events {
	void (*login)(void *owner, const kl_login_t *login);
	void (*query)(void *owner, const kl_query_t *query);
	/** A request to cancel the query of another connection. */
	void (*cancel)(void *owner, uint32_t id, uint32_t secret);
	/** The connection has ended; the front end must not be used. */
	void (*closed)(void *owner);
} kl_front_events_t;

typedef struct kl_front kl_front_t;

/** A client protocol. */
typedef struct kl_front_ops {
	const char *name;
	/**
	 * Create a front end for an accepted connection.
	 *
	 * @param socket closed with the front end
	 * @return NULL when out of memory
	 */
	kl_front_t *(*open)(struct event_base *base, int socket,
			    const kl_front_events_t *events, void *owner);
	/**
	 * Accept the login and let the client send queries.
	 *
	 * @param id, secret identify the connection in a cancel request
	 */
	void (*accept_login)(kl_front_t *front, uint32_t id, uint32_t secret);
	/** Report the value of a parameter of the session. */
	void (*parameter_status)(kl_front_t *front, const char *name,
				 const char *value);
	/** Send a result set. */
	void (*rows)(kl_front_t *front, const kl_rows_ops_t *ops,
		     const void *rows);
	/** @param tag command tag, or "" for an empty query */
	void (*complete)(kl_front_t *front, const char *tag);
	void (*error)(kl_front_t *front, const char *sqlstate,
		      const char *text);
	/** Send an error; the owner closes the front end after it. */
	void (*fatal)(kl_front_t *front, const char *sqlstate,
		      const char *text);
	/**
	 * The query is finished: let the client send the next one.
	 *
	 * @param transaction_status 'I' when idle, 'T' in a transaction, 'E'
	 *                           in a failed one
	 */
	void (*ready)(kl_front_t *front, char transaction_status);
	/** Hold output back until it is released or discarded. */
	void (*hold_output)(kl_front_t *front);
	void (*release_output)(kl_front_t *front);
	void (*discard_output)(kl_front_t *front);
	/** Remove the front end from its event loop; attach() must follow. */
	void (*detach)(kl_front_t *front);
	/** @return 0 or -KL_E_NOMEM */
	int (*attach)(kl_front_t *front, struct event_base *base);
	/** Send the pending output, then close; closed() is not called. */
	void (*close)(kl_front_t *front);
	/** Whether the client is logged in and no query is running. */
	bool (*idle)(const kl_front_t *front);
} kl_front_ops_t;

/** PostgreSQL protocol 3.0. */
extern const kl_front_ops_t kl_front_pg;

#endif
