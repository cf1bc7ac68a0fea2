/**
 * @file
 * A client that makes control calls to databases (status, seal, promote,
 * follow) on an event loop.  One connection per database is kept open for the
 * calls; a call that asks for it gets a new connection of its own.
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
 * @param ops protocol of the calls
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
 * Start a call.  It fails with -KL_E_UNAVAILABLE if the connection that is kept
 * open to the database is still in use by another call.
 */
void kl_database_client_call(kl_database_client_t *client,
			     const kl_database_call_t *call);

#endif
