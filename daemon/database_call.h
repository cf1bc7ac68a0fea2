/**
 * @file
 * Control calls of databases on an event loop: over a new connection each, or
 * over one kept connection per database.
 */
#ifndef KL_DATABASE_CALL_H
#define KL_DATABASE_CALL_H

#include <event2/event.h>

#include "control/node.h"
#include "upstream/control.h"

typedef struct kl_database_client kl_database_client_t;

/** @param answered called on the loop for each call, in time or not */
kl_database_client_t *kl_database_client_new(
	struct event_base *base, const kl_control_conn_ops_t *ops,
	const char *user,
	void (*answered)(void *context, const kl_database_answer_t *answer),
	void *context);
void kl_database_client_free(kl_database_client_t *caller);

/** Start a call. */
void kl_database_client_call(kl_database_client_t *caller,
			     const kl_database_call_t *call);

#endif
