/**
 * @file
 * A front end of the engine: what callers speak, behind a table of function
 * pointers.  It encodes and decodes; it decides nothing.
 */
#ifndef KL_ENGINE_FRONT_H
#define KL_ENGINE_FRONT_H

#include <event2/event.h>

#include "path/engine.h"

typedef struct kl_engine_front kl_engine_front_t;

/** What a front end tells its owner. */
typedef struct kl_engine_front_events {
	void (*login)(void *owner, kl_engine_front_t *front,
		      const char *database, const char *key);
	void (*statement)(void *owner, kl_engine_front_t *front,
			  const kl_parsed_stmt_t *command);
	/** The caller is gone; the front end is freed after this. */
	void (*closed)(void *owner, kl_engine_front_t *front);
} kl_engine_front_events_t;

/** What can be told to a front end. */
typedef struct kl_engine_front_ops {
	const char *name;
	kl_engine_front_t *(*open)(struct event_base *base, int socket,
				   const kl_engine_front_events_t *events,
				   void *owner);
	void (*accept_login)(kl_engine_front_t *front);
	void (*result)(kl_engine_front_t *front,
		       const kl_stmt_result_t *outcome);
	void (*complete)(kl_engine_front_t *front, char state);
	void (*error)(kl_engine_front_t *front, int error, char state);
	/** Whether nothing that the caller sent is left to be looked at. */
	bool (*input_empty)(const kl_engine_front_t *front);
	/** Send what is buffered, then close; closed() is not called. */
	void (*close)(kl_engine_front_t *front, int error);
} kl_engine_front_ops_t;

/** Keep a value with a front end, and get it back. */
void kl_engine_front_set_data(kl_engine_front_t *front, void *caller);
void *kl_engine_front_data(const kl_engine_front_t *front);

/** Lines of words. */
extern const kl_engine_front_ops_t kl_front_line;

#endif
