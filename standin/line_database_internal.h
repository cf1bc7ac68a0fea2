/**
 * @file
 * Types and functions shared by the databases and their connections.
 */
#ifndef KL_STANDIN_LINE_DATABASE_INTERNAL_H
#define KL_STANDIN_LINE_DATABASE_INTERNAL_H

#include <ck_queue.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdint.h>

#define MAX_WORD_BYTES 64      /* of a key, value or name, with its NUL */
#define MAX_BUFFERED_WRITES 64 /* of one transaction */
#define MAX_COMMIT_WRITES 4    /* of one commit; further ones are dropped */
#define MAX_PREPARED 16	       /* prepared statements of one connection */
#define SERVICE_NAME "stand"

typedef struct write {
	char key[MAX_WORD_BYTES];
	char value[MAX_WORD_BYTES];
} write_t;

typedef struct commit {
	uint64_t committed_at_ms; /* CLOCK_MONOTONIC, milliseconds */
	uint64_t term;		  /* of the database at the commit */
	int by_replaced_primary;  /* another database was promoted before */
	int write_count;
	write_t writes[MAX_COMMIT_WRITES];
} commit_t;

typedef struct log_entry {
	const commit_t *commit;
} log_entry_t;

typedef struct database {
	char id[32];
	char host[48];
	char domain[32]; /* failure domain, "eN" for the N-th database */
	int port;
	int primary;
	int down;
	int lag_ms;	       /* replication delay, milliseconds */
	int responses_to_lose; /* next statements that get no response */
	uint64_t term;
	uint64_t replaced_at_ms; /* when another database was promoted while
				 this one was primary, or 0 */
	log_entry_t *log;	 /* entry 0 is unused */
	uint64_t log_length;	 /* index of the last entry, the position */
	struct evconnlistener *listener;
	CK_LIST_HEAD(, connection) connections;
} database_t;

typedef struct connection {
	CK_LIST_ENTRY(connection) link;
	database_t *database;
	struct bufferevent *stream;
	char workspace[MAX_WORD_BYTES];
	char state; /* 'I' idle, 'T' in a transaction, 'E' failed */
	int read_only;
	write_t writes[MAX_BUFFERED_WRITES];
	int write_count;
	char prepared_names[MAX_PREPARED][MAX_WORD_BYTES];
	int prepared_is_write[MAX_PREPARED];
	int prepare_count; /* PREPAREs so far; the oldest name is overwritten */
} connection_t;

/* line_database.c */
/** Commit the writes of a connection's transaction. */
void line_database_commit(connection_t *connection);
/** The end of a database's log, after it received what is due. */
uint64_t line_database_position(database_t *database);
/**
 * Make a replaced primary a replica once its time is over.  Called for each
 * request, so that a primary that no client reaches does not change.
 */
void line_database_check_replaced(database_t *database);
/** STEPDOWN: a primary of a lower term becomes a replica. */
void line_database_step_down(database_t *database, uint64_t term);

/* line_session.c */
/** Callback of a database's listener. */
void line_session_accept(struct evconnlistener *listener, evutil_socket_t fd,
			 struct sockaddr *address, int length, void *arg);
/** Close all connections of a database. */
void line_session_close_all(database_t *database);

#endif
