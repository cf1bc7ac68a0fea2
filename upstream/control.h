/**
 * @file
 * Control calls of databases, behind a table of function pointers.
 */
#ifndef KL_UPSTREAM_CONTROL_H
#define KL_UPSTREAM_CONTROL_H

#include <event2/event.h>

#include "control/node.h"
#include "path/position.h"

typedef struct kl_control_conn kl_control_conn_t;

/** What a database says of itself. */
typedef struct kl_database_state {
	int error;
	bool primary;
	uint64_t term;
	uint64_t min_term;     /**< lowest term that it still accepts */
	kl_position_t log_end; /**< end of its log */
} kl_database_state_t;

/** What a connection for control calls tells its owner. */
typedef struct kl_control_conn_events {
	void (*ready)(void *owner);
	void (*answered)(void *owner, const kl_database_state_t *state);
	/** Only close() may follow. */
	void (*lost)(void *owner, int error);
} kl_control_conn_events_t;

/** A way of making control calls. */
typedef struct kl_control_conn_ops {
	const char *name;
	kl_control_conn_t *(*open)(struct event_base *base,
				   const kl_database_call_t *call,
				   const char *user,
				   const kl_control_conn_events_t *events,
				   void *owner);
	/** @return 0 or an error if nothing was sent */
	int (*send)(kl_control_conn_t *control, const kl_database_call_t *call);
	void (*close)(kl_control_conn_t *control);
} kl_control_conn_ops_t;

/** Statements over libpq. */
extern const kl_control_conn_ops_t kl_control_conn_pq;
/** Lines of words. */
extern const kl_control_conn_ops_t kl_control_conn_line;

#endif
