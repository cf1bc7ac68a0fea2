/**
 * @file
 * The way of a request, from a caller's statement to its answer.
 *
 * A state machine without sockets and without a clock of its own: events go in
 * as calls, actions come out through kl_engine_ops_t, a table of function
 * pointers.  One thread drives one engine.  All times are microseconds of the
 * clock that is passed in.
 */
#ifndef KL_ENGINE_H
#define KL_ENGINE_H

#include "control/node.h"
#include "path/path.h"
#include "path/position.h"

typedef struct kl_engine kl_engine_t;
typedef struct kl_client kl_client_t;
typedef struct kl_conn kl_conn_t;

/** What a statement asks for. */
typedef enum kl_verb {
	KL_VERB_BEGIN,
	KL_VERB_BEGIN_READ, /**< a transaction that only reads */
	KL_VERB_COMMIT,
	KL_VERB_ROLLBACK,
	KL_VERB_READ,
	KL_VERB_WRITE,
	KL_VERB_SET,
	KL_VERB_PREPARE,
	KL_VERB_EXECUTE,
	KL_VERB_DEALLOCATE,
	KL_VERB_UNKNOWN,
	KL_VERB_COUNT
} kl_verb_t;

/** A statement, as the front end understood it. */
typedef struct kl_parsed_stmt {
	const char *id; /**< the caller's name for the request */
	const char *text;
	kl_verb_t verb;
	char name[KL_NAME_MAX]; /**< of a value or prepared statement */
	bool writes;		/**< a prepared statement that writes */
} kl_parsed_stmt_t;

/** A database's whole answer to one statement. */
typedef struct kl_stmt_result {
	int error;	       /**< 0 or a negative kind */
	const char *bytes;     /**< rows and last line, as they came */
	size_t length;	       /**< of the bytes */
	const char *first_row; /**< first row's text, or NULL */
	char txn_state;	       /**< 'I', 'T' or 'E' */
	kl_position_t log_end; /**< end of the database's log */
} kl_stmt_result_t;

/** What is sent over an upstream connection. */
typedef struct kl_conn_msg {
	enum {
		KL_CONN_MSG_STATEMENT, /**< a caller's, unchanged */
		KL_CONN_MSG_SETUP,     /**< session state carried over */
		KL_CONN_MSG_RESET,     /**< drop session state */
		KL_CONN_MSG_STATUS,    /**< ask for the position */
	} kind;
	const char *id;
	const char *text;
	kl_position_t
		min_position; /**< the log must hold it; term 0 for none */
} kl_conn_msg_t;

/** Where and for whom an upstream connection is opened. */
typedef struct kl_conn_target {
	const char *host;
	uint16_t port;
	const char *service;
	const char *upstream;
	const char *workspace;
} kl_conn_target_t;

/** Actions. */
typedef struct kl_engine_ops {
	/** A caller is logged in. */
	void (*accept_login)(void *context, void *front);
	/** A database's answer, as it came. */
	void (*result)(void *context, void *front,
		       const kl_stmt_result_t *outcome);
	/** Done without a database. */
	void (*complete)(void *context, void *front, char state);
	/** An error, after which the session goes on. */
	void (*send_error)(void *context, void *front, int error, char state);
	/** Whether nothing that the caller sent is left to be looked at. */
	bool (*input_empty)(void *context, void *front);
	/** The session ends, with an error if it is not 0. */
	void (*end_session)(void *context, void *front, int error);
	/** @return a connection's handle, or NULL */
	void *(*conn_open)(void *context, const kl_conn_target_t *target,
			   kl_conn_t *channel);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*conn_send)(void *context, void *link,
			 const kl_conn_msg_t *dispatch);
	void (*conn_close)(void *context, void *link);
	/** Tokens are wanted now. */
	void (*tokens_needed)(void *context);
	/** What requests meet at an upstream. */
	void (*report_health)(void *context, const kl_passive_check_t *traffic);
	void (*log_decision)(void *context, const kl_decision_t *decision);
} kl_engine_ops_t;

/** What operators chose for the engine. */
typedef struct kl_engine_settings {
	kl_path_settings_t path;
	uint64_t statement_timeout_us; /**< of a route that states no limit */
	uint64_t admit_wait_us;	       /**< for tokens */
	uint64_t connect_timeout_us;   /**< before a connection attempt is given
					  up */
} kl_engine_settings_t;

/** How a statement ended. */
typedef enum kl_stmt_end {
	KL_STMT_END_SERVED,
	KL_STMT_END_REFUSED, /**< it did not run */
	KL_STMT_END_FAILED,  /**< it ran, or may have */
	KL_STMT_END_COUNT
} kl_stmt_end_t;

#define KL_LATENCY_BUCKETS 10 /**< classes of a statement's time */

/** Upper ends of the classes, milliseconds; the last one has none. */
extern const uint32_t kl_latency_bounds_ms[KL_LATENCY_BUCKETS];

/** What an engine did, for metrics. */
typedef struct kl_engine_counts {
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t writes;
	uint64_t refused_rate;
	uint64_t refused_other;
	uint64_t unknown_outcomes;
	uint64_t retries;
	uint64_t conns_opened;
	uint64_t conns_closed;
	uint64_t admitted;
	uint64_t finished; /**< statements, all of those below */
	uint64_t latency_counts[KL_ROUTE_KIND_COUNT][KL_STMT_END_COUNT]
			       [KL_LATENCY_BUCKETS];
	uint64_t latency_sums_us[KL_ROUTE_KIND_COUNT]
				[KL_STMT_END_COUNT]; /**< sums */
} kl_engine_counts_t;

kl_engine_t *kl_engine_new(const kl_engine_settings_t *settings,
			   const kl_engine_ops_t *ops, void *context,
			   kl_reader_t *reader);
void kl_engine_free(kl_engine_t *engine);

/** Time passes: deadlines, retries, idle connections. */
void kl_engine_tick(kl_engine_t *engine, uint64_t now_us);

/** A planned stop: idle sessions end, transactions have until then. */
void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us);

/** Whether something waits that a tick may move on. */
bool kl_engine_has_waiting(const kl_engine_t *engine);

/** Sessions that are open. */
uint32_t kl_engine_client_count(const kl_engine_t *engine);
const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine);

/**
 * A caller logs in; answered by welcome() or end().
 *
 * @param key or "" if none was shown
 * @return NULL if the login was refused and the front end is gone
 */
kl_client_t *kl_client_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us);

/** A caller's statement; one at a time. */
void kl_client_statement(kl_client_t *caller, const kl_parsed_stmt_t *command,
			 uint64_t now_us);

/** A caller is gone; its handle is dead after this. */
void kl_client_disconnected(kl_client_t *caller, uint64_t now_us);

/** An upstream connection is ready for statements. */
void kl_conn_ready(kl_conn_t *channel, kl_position_t position, uint64_t now_us);

/** A database's answer. */
void kl_conn_answered(kl_conn_t *channel, const kl_stmt_result_t *outcome,
		      uint64_t now_us);

/** A connection is lost or was refused; its handle is dead after this. */
void kl_conn_lost(kl_conn_t *channel, int error, uint64_t now_us);

#endif
