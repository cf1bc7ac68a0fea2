/**
 * @file
 * A connection to a database upstream, behind a table of function pointers.
 *
 * One statement is outstanding at a time.  A link never carries a caller's
 * key: it logs in as the proxy.
 */
#ifndef KL_LINK_H
#define KL_LINK_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/front.h"
#include "front/rows.h"

typedef struct kl_link kl_link_t;

/** One result of a statement. */
typedef struct kl_link_result {
	bool has_rows;
	const kl_rows_ops_t *ops;
	const void *rows;
	const char *tag;
	const char *sqlstate; /**< NULL for success */
	const char *text;     /**< of an error */
} kl_link_result_t;

/** What a link tells its owner. */
typedef struct kl_link_events {
	void (*ready)(void *owner); /**< connected */
	/** The whole answer; results are dead after the call. */
	void (*answered)(void *owner, const kl_link_result_t *results,
			 int count);
	void (*broken)(void *owner); /**< lost; only close() may follow */
} kl_link_events_t;

/** Where and as whom to connect. */
typedef struct kl_link_target {
	const char *host;
	uint16_t port;
	const char *database;
	const char *user;
} kl_link_target_t;

/** What a transport to upstreams can do. */
typedef struct kl_link_ops {
	const char *name;
	kl_link_t *(*open)(struct event_base *base,
			   const kl_link_target_t *target,
			   const kl_link_events_t *events, void *owner);
	/** @return 0 or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_link_t *link, const kl_query_t *query);
	/** Transaction state: 'I', 'T', 'E', or '?' if it is in doubt. */
	char (*transaction)(const kl_link_t *link);
	void (*close)(kl_link_t *link);
} kl_link_ops_t;

extern const kl_link_ops_t kl_link_pq;

#endif
