/**
 * @file
 * A connection of the engine to a database, behind a table of function
 * pointers.  Answers come in the order of what was sent.
 */
#ifndef KL_ENGINE_LINK_H
#define KL_ENGINE_LINK_H

#include <event2/event.h>

#include "path/engine.h"

typedef struct kl_engine_conn kl_engine_conn_t;

/** What a link tells its owner; never from within open() or send(). */
typedef struct kl_engine_conn_events {
	void (*ready)(void *owner, kl_position_t position);
	void (*answered)(void *owner, const kl_stmt_result_t *outcome);
	/** The link is freed after this. */
	void (*lost)(void *owner, int error);
} kl_engine_conn_events_t;

/** What a transport to databases can do. */
typedef struct kl_engine_conn_ops {
	const char *name;
	kl_engine_conn_t *(*open)(struct event_base *base,
				  const kl_conn_target_t *target,
				  const kl_engine_conn_events_t *events,
				  void *owner);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_engine_conn_t *link, const kl_conn_msg_t *dispatch);
	void (*close)(kl_engine_conn_t *link);
} kl_engine_conn_ops_t;

/** Lines of words. */
extern const kl_engine_conn_ops_t kl_engine_conn_line;

#endif
