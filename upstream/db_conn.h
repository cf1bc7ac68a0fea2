/**
 * @file
 * A connection to an upstream database for SQL statements, behind a table of
 * function pointers.
 *
 * One statement is outstanding at a time.  The connection logs in as the
 * proxy; a client's key never reaches the upstream.
 */
#ifndef KL_DB_CONN_H
#define KL_DB_CONN_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/front.h"
#include "front/rows.h"

typedef struct kl_db_conn kl_db_conn_t;

/** One result of a statement; a simple query may have several. */
typedef struct kl_db_result {
	bool has_rows;
	const kl_rows_ops_t *rows_ops; /**< functions that read `rows` */
	const void *rows;	 /**< result set, passed to the functions */
	const char *command_tag; /**< command tag, such as "INSERT 0 1" */
	const char *sqlstate;	 /**< five characters; NULL for success */
	const char *error_text;	 /**< message of an error */
} kl_db_result_t;

/** Callbacks of a connection. */
typedef struct kl_db_conn_events {
	void (*ready)(void *owner); /**< connected and logged in */
	/**
	 * The statement is finished.
	 *
	 * @param results valid until the callback returns
	 */
	void (*answered)(void *owner, const kl_db_result_t *results, int count);
	/** The connection is lost; only close() may be called on it. */
	void (*lost)(void *owner);
} kl_db_conn_events_t;

/** Address, database and user of a connection. */
typedef struct kl_db_conn_target {
	const char *host; /**< numeric IP address */
	uint16_t port;
	const char *database;
	const char *user;
} kl_db_conn_target_t;

/** A client library for upstream databases. */
typedef struct kl_db_conn_ops {
	const char *name;
	/** Start to connect. @return NULL if the attempt failed at once */
	kl_db_conn_t *(*open)(struct event_base *base,
			      const kl_db_conn_target_t *target,
			      const kl_db_conn_events_t *events, void *owner);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(kl_db_conn_t *conn, const kl_query_t *query);
	/**
	 * @return 'I' when idle, 'T' in a transaction, 'E' in a failed one,
	 *         '?' when the state is unknown
	 */
	char (*transaction_status)(const kl_db_conn_t *conn);
	/** Close the connection; may be called from a callback. */
	void (*close)(kl_db_conn_t *conn);
} kl_db_conn_ops_t;

/** PostgreSQL over libpq. */
extern const kl_db_conn_ops_t kl_db_conn_pq;

#endif
