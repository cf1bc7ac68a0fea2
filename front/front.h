/**
 * @file
 * A front end: what callers speak, behind a table of function pointers.
 *
 * The worker behind it decides; the front end only encodes.  One query is
 * outstanding at a time: the front end reads on after ready().
 */
#ifndef KL_FRONT_H
#define KL_FRONT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/rows.h"

#define KL_PARAMETERS_MAX 256 /**< of one statement */

/** Who a caller says it is. */
typedef struct kl_login {
	const char *workspace;
	const char *service;
	const char *key;
	const char *session_token; /**< token, or "" */
	const char *max_age;	   /**< stated age, or "" */
	const char *repeatable;	   /**< mark, or "" */
} kl_login_t;

/** A statement to run. */
typedef struct kl_query {
	const char *text;
	bool extended; /**< the values below go with it */
	int parameter_count;
	const uint32_t *types;
	const char *const *values;
	const int *lengths;
	const int *formats;
	int result_format;
} kl_query_t;

/** What a front end tells the worker. */
typedef struct kl_front_events {
	void (*login)(void *owner, const kl_login_t *login);
	void (*query)(void *owner, const kl_query_t *query);
	void (*cancel)(void *owner, uint32_t id, uint32_t secret);
	void (*closed)(void *owner); /**< the front end is gone after this */
} kl_front_events_t;

typedef struct kl_front kl_front_t;

/** What a worker tells a front end. */
typedef struct kl_front_ops {
	const char *name;
	kl_front_t *(*open)(struct event_base *base, int socket,
			    const kl_front_events_t *events, void *owner);
	void (*accept_login)(kl_front_t *front, uint32_t id, uint32_t secret);
	void (*parameter_status)(kl_front_t *front, const char *name,
				 const char *value);
	void (*rows)(kl_front_t *front, const kl_rows_ops_t *ops,
		     const void *rows);
	void (*complete)(kl_front_t *front, const char *tag);
	void (*error)(kl_front_t *front, const char *sqlstate,
		      const char *text);
	/** An error after which the front end is closed. */
	void (*fatal)(kl_front_t *front, const char *sqlstate,
		      const char *text);
	void (*ready)(kl_front_t *front, char transaction);
	/** Keep what follows back until release() or discard(). */
	void (*hold_output)(kl_front_t *front);
	void (*release_output)(kl_front_t *front);
	void (*discard_output)(kl_front_t *front);
	/** Take the front end off its loop; only attach() may follow. */
	void (*detach)(kl_front_t *front);
	int (*attach)(kl_front_t *front, struct event_base *base);
	/** Send what is buffered, then close; closed() is not called. */
	void (*close)(kl_front_t *front);
	/** Whether no query runs. */
	bool (*idle)(const kl_front_t *front);
} kl_front_ops_t;

extern const kl_front_ops_t kl_front_pg;

#endif
