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

typedef struct kl_db_conn kl_db_conn_t;

/** One result of a statement. */
typedef struct kl_db_result {
	bool has_rows;
	const kl_rows_ops_t *rows_ops;
	const void *rows;
	const char *command_tag;
	const char *sqlstate;	/**< NULL for success */
	const char *error_text; /**< of an error */
} kl_db_result_t;

/** What a link tells its owner. */
typedef struct kl_db_conn_events {
	void (*ready)(void *owner); /**< connected */
	/** The whole answer; results are dead after the call. */
	void (*answered)(void *owner, const kl_db_result_t *results, int count);
	void (*lost)(void *owner); /**< lost; only close() may follow */
} kl_db_conn_events_t;

/** Where and as whom to connect. */
typedef struct kl_db_conn_target {
	const char *host;
	uint16_t port;
	const char *database;
	const char *user;
} kl_db_conn_target_t;

/** What a transport to upstreams can do. */
typedef struct kl_db_conn_ops {
	const char *name;
	kl_db_conn_t *(*open)(struct event_base *base,
			      const kl_db_conn_target_t *target,
			      const kl_db_conn_events_t *events, void *owner);
	/** @return 0 or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_db_conn_t *link, const kl_query_t *query);
	/** Transaction state: 'I', 'T', 'E', or '?' if it is in doubt. */
	char (*transaction_status)(const kl_db_conn_t *link);
	void (*close)(kl_db_conn_t *link);
} kl_db_conn_ops_t;

extern const kl_db_conn_ops_t kl_db_conn_pq;

#endif
