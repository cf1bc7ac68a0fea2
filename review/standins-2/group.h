/**
 * @file
 * Stand-in for the databases of one service: a primary and replicas that speak
 * the line protocol, in one process.
 */
#ifndef REVIEW_GROUP_H
#define REVIEW_GROUP_H

#include <ck_queue.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>

#define DATABASES_MAX 4
#define COMMITS_MAX 16384
#define WORD_MAX 64	 /* bytes of an item or its data, with the NUL */
#define TXN_WRITES_MAX 8 /* writes of one transaction */

/** One write of a commit. */
typedef struct write {
	char item[WORD_MAX];
	char data[WORD_MAX];
} write_t;

/** A commit, shared by the logs that have it. */
typedef struct commit {
	write_t writes[TXN_WRITES_MAX];
	uint32_t write_count;
} commit_t;

/** An entry of a database's log; its index is the position. */
typedef struct log_entry {
	const commit_t *commit;
	uint64_t received_ms; /**< when this database received it */
} log_entry_t;

/** A database. */
typedef struct database {
	char id[32];
	bool primary;
	bool down; /**< crashed: refuses connections, keeps its log */
	bool deaf; /**< receives no commits */
	bool busy; /**< answers BUSY to what would take a slot */
	uint64_t lag_ms;
	uint64_t term;
	uint64_t replaced_ms; /**< when another one was promoted, or 0 */
	log_entry_t *log;     /**< entry 0 is unused */
	uint64_t received;    /**< index of the last entry */
	struct evconnlistener *listener;
	CK_LIST_HEAD(, session) sessions;
} database_t;

/** A connection to a database. */
typedef struct session {
	CK_LIST_ENTRY(session) link;
	database_t *database;
	struct bufferevent *stream;
	struct event *work_timer; /**< of the statement that runs */
	struct evbuffer *answer;  /**< of that statement */
	char state;		  /**< 'I', 'T' or 'E' */
	bool read_only;
	bool working;
	uint64_t sync_position; /**< commit that a replica must receive, or 0 */
	commit_t txn;		/**< writes of the open transaction */
} session_t;

/** All databases of the service. */
typedef struct group {
	struct event_base *base;
	const char *service;
	bool sync;	  /**< commits wait until a replica has them */
	uint64_t work_ms; /**< time that a read, a write or a COMMIT takes */
	database_t databases[DATABASES_MAX];
	int count;
	commit_t commits[COMMITS_MAX];
	uint64_t commit_count;
} group_t;

extern group_t group;

/* databases.c */
/** Start the databases on the ports after port. @return 0 or -1 */
int databases_start(const char *host, int port, const char *prefix);
/** Find a database by its id. @return NULL if there is none */
database_t *database_find(const char *id);
/** The primary of the newest term, whether it is up or not. */
database_t *database_primary(void);
/** Index of the last entry that a database has applied. */
uint64_t database_applied(const database_t *database);
/** Append a commit to the primary's log. */
void database_commit(database_t *database, const commit_t *commit);
/** Whether a replica has received the primary's log up to a position. */
bool database_is_replicated(const database_t *primary, uint64_t position);
/** Promote a database. @return 0, or -1 if it does not run */
int database_promote(const char *id);
/** STEPDOWN: make a primary of a lower term a replica. */
void database_step_down(database_t *database, uint64_t term);
/** Set a fault. @return 0, or -1 if it is not known */
int database_fault(const char *id, const char *name, int value);
/** Milliseconds of a steady clock. */
uint64_t now_ms(void);

/* sessions.c */
/** Callback of a database's listener; its argument is the database. */
void session_accept(struct evconnlistener *listener, evutil_socket_t fd,
		    struct sockaddr *address, int length, void *arg);
/** Close all connections of a database. */
void sessions_close(database_t *database);
/** Send the answers of commits that a replica has received by now. */
void sessions_check_sync(database_t *database);

/* main.c */
/** Write a line to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
