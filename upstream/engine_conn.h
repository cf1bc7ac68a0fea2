/**
 * @file
 * A connection of the engine to an upstream database, behind a table of
 * function pointers.
 *
 * Requests may be pipelined: results arrive in the order of the requests.
 */
#ifndef KL_ENGINE_CONN_H
#define KL_ENGINE_CONN_H

#include <event2/event.h>

#include "path/engine.h"

typedef struct kl_engine_conn kl_engine_conn_t;

/** Callbacks of a connection; never called from within open() or send(). */
typedef struct kl_engine_conn_events {
	/**
	 * Connected and logged in.
	 *
	 * @param position end of the database's log
	 */
	void (*ready)(void *owner, kl_position_t position);
	/**
	 * The oldest outstanding request is finished.
	 *
	 * @param result valid until the callback returns
	 */
	void (*answered)(void *owner, const kl_stmt_result_t *result);
	/** The connection is lost; it is freed when the callback returns. */
	void (*lost)(void *owner, int error);
} kl_engine_conn_events_t;

/** A protocol to upstream databases. */
typedef struct kl_engine_conn_ops {
	const char *name;
	/** Start to connect. @return NULL if the attempt failed at once */
	kl_engine_conn_t *(*open)(struct event_base *base,
				  const kl_conn_target_t *target,
				  const kl_engine_conn_events_t *events,
				  void *owner);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_engine_conn_t *conn, const kl_conn_msg_t *msg);
	/** Close the connection; may be called from ready() and answered(). */
	void (*close)(kl_engine_conn_t *conn);
} kl_engine_conn_ops_t;

/** The text line protocol of the users' platform. */
extern const kl_engine_conn_ops_t kl_engine_conn_line;

#endif
