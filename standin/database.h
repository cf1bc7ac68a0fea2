/**
 * @file
 * Stand-in for a group of replicated databases, all in one process.
 *
 * Each database has a log of changes and the tables that result from it.  The
 * primary with the highest term appends to its log; the others copy the log
 * after a configurable delay.
 */
#ifndef KL_STANDIN_DATABASE_H
#define KL_STANDIN_DATABASE_H

#include <ck_queue.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * One change in a log.  A replica's log points to the entries of the primary's
 * log, so that equal pointers mean equal history.
 */
typedef struct log_entry {
	uint64_t term;		/**< term of the primary that wrote it */
	uint64_t written_at_us; /**< time of the write, CLOCK_MONOTONIC */
	char *key;		/**< "table/key" */
	char *value;		/**< NULL if the change deletes the key */
} log_entry_t;

/** Injected faults of one database; 0 switches a fault off. */
typedef struct faults {
	int frozen;	/**< if set, no input is processed and no replication
			     goes to or from it */
	int cut;	/**< if set, connections are closed, also new ones, and
			     no replication goes to or from it */
	int isolated;	/**< if set, no replication to or from it */
	int die_before; /**< number of next writes whose connection is closed
			     before the write runs */
	int die_after;	/**< number of next writes whose connection is closed
			     after the write ran, without a response */
	int late_ms;	/**< the next statement runs this much later,
			     milliseconds; goes back to 0 then */
	int silent;	/**< if set, the connections open now never get another
			     response; goes back to 0 by itself */
	int lag_ms;	/**< replication delay, milliseconds */
} faults_t;

struct group;

/** One database of the group. */
typedef struct database {
	char name[64];
	struct group *group;
	uint16_t port; /**< TCP port of the PostgreSQL protocol */
	bool primary;
	uint64_t term; /**< set by kl_promote and kl_follow */
	/** A primary of a lower term accepts no writes (kl_seal sets it). */
	uint64_t min_write_term;
	GPtrArray *log;	    /**< of log_entry_t; its length is the position */
	GHashTable *tables; /**< value by "table/key" */
	faults_t faults;
	uint64_t running_statements;  /**< statements that hold a slot now */
	uint64_t executed_statements; /**< since the start */
	/** Connections that wait for a slot, the oldest first. */
	CK_STAILQ_HEAD(, connection) slot_queue;
	CK_LIST_HEAD(, connection) connections;
} database_t;

/** The group of databases and the settings that they share. */
typedef struct group {
	struct event_base *base;
	int database_count;
	database_t *databases;
	int slots;	/**< statements that a database executes at once */
	int exec_us;	/**< execution time of a statement, microseconds; with 0
			     statements need no slot */
	int connect_ms; /**< time to accept a connection, milliseconds */
	FILE *capture;	/**< receives the payloads of all client messages, or
			     NULL */
} group_t;

/* database_store.c */

/** @return CLOCK_MONOTONIC, microseconds */
uint64_t standin_now_us(void);

/** Append a change to the log and apply it; value NULL deletes the key. */
void standin_append_change(database_t *database, const char *key,
			   const char *value);

/** Copy to each replica the log entries older than its replication delay. */
void standin_replicate(group_t *group);

/** Make a database primary; ignored if its term or seal is higher. */
void standin_promote(database_t *database, uint64_t term);

/**
 * Make a database a replica of the primary of a term.  Log entries that the
 * primary does not have are dropped.  Ignored if the term has no primary, or
 * if one of the two is isolated.
 */
void standin_follow(database_t *database, uint64_t term);

/** @return the value of "table/key", or NULL */
const char *standin_get_value(const database_t *database, const char *key);

uint64_t standin_count_rows(const database_t *database, const char *table);

/* database_session.c */

/** Accept connections on an IPv4 address. @return 0, or -1 */
int standin_listen(database_t *database, const char *host);

/** Close all connections of a database. */
void standin_close_connections(database_t *database);

/** Process the input that arrived while the database was frozen. */
void standin_resume(database_t *database);

/** Answer nothing any more on the connections that are open now. */
void standin_silence_connections(database_t *database);

/* database_sql.c */

/** Result of a statement: an error, or a command tag and at most one row. */
typedef struct stmt_result {
	const char *sqlstate;	   /**< NULL for success */
	const char *error_message; /**< set together with sqlstate */
	char tag[64];		   /**< command tag, as "INSERT 0 1" */
	int column_count;
	bool has_rows; /**< whether the statement returns a row set */
	int row_count; /**< 0 or 1 */
	char column_names[4][32];
	char values[4][256];
} stmt_result_t;

/** Transaction of one connection. */
typedef struct transaction {
	char state; /**< as in ReadyForQuery: 'I' idle, 'T' in a transaction,
			 'E' failed */
	bool read_only;
	GPtrArray *changes; /**< buffered until COMMIT: key, value, key, ... */
} transaction_t;

/** @return whether a statement runs at once, without waiting for a slot */
bool standin_bypasses_slots(const char *sql);

/** @return whether a statement may change the log; true for COMMIT */
bool standin_is_write(const char *sql);

/** Execute a statement.  Unknown statements give SQLSTATE 42601. */
void standin_execute_statement(database_t *database, transaction_t *transaction,
			       const char *sql, stmt_result_t *result);

#endif
