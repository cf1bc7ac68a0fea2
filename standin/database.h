/**
 * @file
 * The database stand-in: one process holds a group of databases.
 */
#ifndef KL_STANDIN_DATABASE_H
#define KL_STANDIN_DATABASE_H

#include <ck_queue.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** One change in a log; shared by the logs that hold it. */
typedef struct entry {
	uint64_t term;
	uint64_t written_us;
	char *key;   /* "table/key" */
	char *value; /* NULL for a removal */
} entry_t;

/** Switches for faults of one database. */
typedef struct faults {
	int frozen;	/* nothing is answered until it is 0 again */
	int cut;	/* connections are closed and new ones refused */
	int isolated;	/* no replication to or from it */
	int die_before; /* so many writes: cut before they run */
	int die_after;	/* so many writes: cut after they ran, unanswered */
	int late_ms;	/* the next answer comes this much later */
	int silent;	/* set: connections open now go silent for good */
	int lag_ms;	/* replication delay */
} faults_t;

struct group;

/** One database. */
typedef struct database {
	char name[64];
	struct group *group;
	uint16_t port;
	bool primary;
	uint64_t term;
	uint64_t sealed;
	GPtrArray *log;	    /* of entry_t */
	GHashTable *tables; /* "table/key" to value */
	faults_t faults;
	uint64_t running; /* statements that hold a slot */
	uint64_t served;
	CK_STAILQ_HEAD(, peer) queue; /* wait for a slot */
	CK_LIST_HEAD(, peer) peers;
} database_t;

/** A group and its settings. */
typedef struct group {
	struct event_base *base;
	int count;
	database_t *databases;
	int slots;	/* statements that a database executes at once */
	int exec_us;	/* time of a statement in its slot */
	int connect_ms; /* time of a new connection */
	FILE *capture;	/* every byte received */
} group_t;

/* database_store.c */
uint64_t standin_now_us(void);
void standin_append(database_t *database, const char *key, const char *value);
void standin_replicate(group_t *group);
void standin_promote(database_t *database, uint64_t term);
void standin_follow(database_t *database, uint64_t term);
const char *standin_get(const database_t *database, const char *key);
uint64_t standin_count(const database_t *database, const char *table);

/* database_session.c */
int standin_listen(database_t *database, const char *host);
void standin_cut(database_t *database);
void standin_thaw(database_t *database);
void standin_silence(database_t *database);

/* database_sql.c */

/** What a statement gives: a tag, or an error, or one row of columns. */
typedef struct outcome {
	const char *sqlstate; /* NULL for success */
	const char *text;
	char tag[64];
	int columns;
	bool has_rows;
	int rows; /* 0 or 1 */
	char names[4][32];
	char values[4][256];
} outcome_t;

/** A transaction's buffered changes. */
typedef struct transaction {
	char state; /* 'I', 'T', 'E' */
	bool read_only;
	GPtrArray *changes; /* key, value pairs */
} transaction_t;

bool standin_is_control(const char *text);
bool standin_is_write(const char *text);
void standin_execute(database_t *database, transaction_t *transaction,
		     const char *text, outcome_t *outcome);

#endif
