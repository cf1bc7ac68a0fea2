/**
 * @file
 * A client for control calls of databases, on an event loop.  A call uses a
 * connection that is kept open, one per database, unless it asks for a new one.
 */
#ifndef KL_DATABASE_CALL_H
#define KL_DATABASE_CALL_H

#include <event2/event.h>

#include "control/node.h"
#include "upstream/control_conn.h"

typedef struct kl_database_client kl_database_client_t;

/**
 * Create a client.
 *
 * @param ops how to make the calls
 * @param user to log in as; must outlive the client
 * @param answered called once for each call, with an error if it failed or
 *                 timed out; it may be called from within the call itself
 * @return NULL when out of memory
 */
kl_database_client_t *kl_database_client_new(
	struct event_base *base, const kl_control_conn_ops_t *ops,
	const char *user,
	void (*answered)(void *context, const kl_database_answer_t *answer),
	void *context);

/** Close the connections; calls that are outstanding get no answer. */
void kl_database_client_free(kl_database_client_t *client);

/**
 * Start a call.  It fails with -KL_E_UNAVAILABLE if the database's kept
 * connection still runs another one.
 */
void kl_database_client_call(kl_database_client_t *client,
			     const kl_database_call_t *call);

#endif
