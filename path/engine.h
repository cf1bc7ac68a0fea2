/**
 * @file
 * The engine takes statements from clients to databases and results back.
 *
 * It is a state machine without sockets and without a clock of its own.  Events
 * come in as function calls, and actions go out through kl_engine_ops_t, a
 * table of function pointers.  Each engine is driven by one thread.  All times
 * are microseconds of the clock that the calls pass in.
 */
#ifndef KL_ENGINE_H
#define KL_ENGINE_H

#include "control/node.h"
#include "path/path.h"
#include "path/upstream_time.h"
#include "path/position.h"

typedef struct kl_engine kl_engine_t;
/** A client's session. */
typedef struct kl_client kl_client_t;
/** A connection to a database. */
typedef struct kl_conn kl_conn_t;

/** Statement verbs. */
typedef enum kl_verb {
	KL_VERB_BEGIN,
	KL_VERB_BEGIN_READ, /**< BEGIN of a read-only transaction */
	KL_VERB_COMMIT,
	KL_VERB_ROLLBACK,
	KL_VERB_READ,
	KL_VERB_WRITE,
	KL_VERB_SET,
	KL_VERB_PREPARE,
	KL_VERB_EXECUTE,
	KL_VERB_DEALLOCATE,
	KL_VERB_UNKNOWN, /**< not recognized; refused */
	KL_VERB_COUNT
} kl_verb_t;

/** A statement as parsed by the front end. */
typedef struct kl_parsed_stmt {
	const char *id; /**< request id chosen by the client */
	const char *text;
	kl_verb_t verb;
	char name[KL_NAME_MAX]; /**< of the setting or prepared statement */
	bool writes;		/**< KL_VERB_PREPARE: the statement writes */
} kl_parsed_stmt_t;

/** A database's complete reply to one statement. */
typedef struct kl_stmt_result {
	int error;	       /**< 0 or a negative error code */
	const char *bytes;     /**< rows and final line, unchanged */
	size_t length;	       /**< of bytes */
	const char *first_row; /**< text of the first row, or NULL */
	/** 'I': idle, 'T': in a transaction, 'E': in a failed transaction */
	char transaction_status;
	/** end of the database's log; term 0 if unknown */
	kl_position_t log_end;
} kl_stmt_result_t;

/** A message to be sent over a connection to a database. */
typedef struct kl_conn_msg {
	enum {
		KL_CONN_MSG_STATEMENT, /**< a client's, unchanged */
		KL_CONN_MSG_SETUP,     /**< replays a session state entry */
		KL_CONN_MSG_RESET,     /**< drops the session state */
		KL_CONN_MSG_STATUS,    /**< queries the log position */
	} kind;
	const char *id; /**< of the client's request, or NULL */
	const char *text;
	/**
	 * a replica that lacks this position replies -KL_E_LAGGING; term 0:
	 * none is required
	 */
	kl_position_t min_position;
} kl_conn_msg_t;

/** The database that a connection leads to, and the workspace it serves. */
typedef struct kl_conn_target {
	const char *host;
	uint16_t port;
	const char *service;
	const char *upstream;
	const char *workspace;
} kl_conn_target_t;

/** Actions of the engine, provided by its owner. */
typedef struct kl_engine_ops {
	/** The login is accepted. */
	void (*accept_login)(void *context, void *front);
	/** Send a database's reply to the client. */
	void (*send_result)(void *context, void *front,
			    const kl_stmt_result_t *result);
	/** Report success of a statement that needed no database. */
	void (*send_complete)(void *context, void *front, char txn_state);
	/** Send an error; the session continues. */
	void (*send_error)(void *context, void *front, int error,
			   char txn_state);
	/** Whether the client has sent nothing that is not processed yet. */
	bool (*input_empty)(void *context, void *front);
	/** End the session, after sending an error if it is not 0. */
	void (*end_session)(void *context, void *front, int error);
	/** Open a connection to a database. @return its handle, or NULL */
	void *(*conn_open)(void *context, const kl_conn_target_t *target,
			   kl_conn_t *conn);
	/** Send a message. @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*conn_send)(void *context, void *handle,
			 const kl_conn_msg_t *message);
	/** Close a connection, after which no event may be passed for it. */
	void (*conn_close)(void *context, void *handle);
	/** A statement waits for tokens. */
	void (*tokens_needed)(void *context);
	/** Report whether requests to an upstream fail. */
	void (*report_health)(void *context, const kl_passive_check_t *check);
	/**
	 * Report a primary's log position for other VMs, or with term 0 that
	 * reads need a newer one.
	 */
	void (*report_position)(void *context,
				const kl_primary_position_t *position);
	/**
	 * Count an operation of a workspace that a database began to run.
	 *
	 * @param sent_us when its first statement was sent
	 */
	void (*count_operation)(void *context, const char *workspace,
				uint64_t sent_us);
	/**
	 * Report the load of a database in this failure domain for other VMs;
	 * called only with the setting domain_spill.
	 */
	void (*report_load)(void *context, const kl_load_report_t *report);
	/** Write a decision to the log. */
	void (*log_decision)(void *context, const kl_decision_t *decision);
} kl_engine_ops_t;

/** Operators' settings. */
typedef struct kl_engine_settings {
	kl_path_settings_t data_path;
	uint64_t statement_timeout_us; /**< for routes without a timeout */
	uint64_t admit_wait_us; /**< longest wait of a statement for tokens */
	uint64_t connect_timeout_us; /**< time limit of a connection attempt */
	bool priority_queues; /**< order waiting statements by priority */
	/** longest wait of a read for the primary's log position; 0: none */
	uint64_t position_wait_us;
	bool domain_spill; /**< send reads to other failure domains */
} kl_engine_settings_t;

/** How a statement ended. */
typedef enum kl_stmt_end {
	KL_STMT_END_SERVED,  /**< it succeeded */
	KL_STMT_END_REFUSED, /**< it did not run */
	KL_STMT_END_FAILED,  /**< it failed, and ran or may have run */
	KL_STMT_END_COUNT
} kl_stmt_end_t;

/** Number of buckets of a latency histogram. */
#define KL_LATENCY_BUCKETS 10

/** Upper bounds of the buckets, milliseconds; the last bucket has none. */
extern const uint32_t kl_latency_bounds_ms[KL_LATENCY_BUCKETS];

/** Statements of one priority; these counters never decrease. */
typedef struct kl_priority_counts {
	uint64_t served;    /**< statements that succeeded */
	uint64_t refused;   /**< statements that did not run */
	uint64_t queued_us; /**< time that statements waited for connections */
} kl_priority_counts_t;

/** Counters for the metrics; they never decrease. */
typedef struct kl_engine_counts {
	uint64_t reads_replica; /**< reads sent to a replica */
	uint64_t reads_primary; /**< reads sent to the primary */
	uint64_t writes;	/**< writes and read-write transactions */
	uint64_t refused_rate;	/**< statements refused for lack of tokens */
	uint64_t refused_other; /**< statements refused for another reason */
	/** errors after which a statement may have run */
	uint64_t unknown_outcomes;
	uint64_t retries;	/**< tries of statements after the first one */
	uint64_t conns_opened;	/**< connections to databases */
	uint64_t conns_closed;	/**< connections to databases closed or lost */
	uint64_t admitted;	/**< operations that got their tokens */
	uint64_t stmts_leaving; /**< statements sent to leaving upstreams */
	/** writes whose log position a session did not keep */
	uint64_t writes_forgotten;
	/** reads sent to another failure domain, counted with domain_spill */
	uint64_t reads_spilled_load;	 /**< for the load of this domain */
	uint64_t reads_spilled_position; /**< its databases lack the position */
	uint64_t reads_spilled_failure;	 /**< it has no usable replica */
	uint64_t finished; /**< statements in the histograms below */
	/** number of statements in each bucket */
	uint64_t latency_counts[KL_ROUTE_KIND_COUNT][KL_STMT_END_COUNT]
			       [KL_LATENCY_BUCKETS];
	/** sums of the latencies */
	uint64_t latency_sums_us[KL_ROUTE_KIND_COUNT][KL_STMT_END_COUNT];
	kl_priority_counts_t priorities[KL_PRIORITY_LEVELS];
} kl_engine_counts_t;

/**
 * Create an engine.
 *
 * @param context passed to ops
 * @param reader of the blackboard, for use by the engine's thread
 * @return NULL when out of memory
 */
kl_engine_t *kl_engine_new(const kl_engine_settings_t *settings,
			   const kl_engine_ops_t *ops, void *context,
			   kl_reader_t *reader);

/** End all sessions, close all connections and free the engine. */
void kl_engine_free(kl_engine_t *engine);

/** Handle expired deadlines, due retries and idle connections. */
void kl_engine_tick(kl_engine_t *engine, uint64_t now_us);

/**
 * Begin a planned stop: idle sessions end now, others when they become idle.
 * No operation is taken that might not end in time; it is refused as not run.
 *
 * @param transactions_until_us time from which operations are refused, and
 *        transactions that are still open end
 * @param end_us time at which statements that still run are given up
 */
void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us, uint64_t end_us);

/** Whether logins or statements wait that the next tick checks again. */
bool kl_engine_has_waiting_stmts(const kl_engine_t *engine);

/** Number of open sessions. */
uint32_t kl_engine_client_count(const kl_engine_t *engine);

/** What an engine holds now; all is 0 once the clients are gone. */
typedef struct kl_engine_gauges {
	uint64_t sessions;	/**< open sessions */
	uint64_t waiting_stmts; /**< waiting for an upstream or for tokens */
	uint64_t queued_stmts;	/**< waiting for a connection */
	uint64_t running_stmts; /**< sent to a database and not answered */
} kl_engine_gauges_t;

/**
 * Highest share of a service's reads that goes to other failure domains for the
 * load of this one, thousandths.
 */
uint32_t kl_engine_spill_share(const kl_engine_t *engine);

/** Count what the engine holds now. */
void kl_engine_get_gauges(const kl_engine_t *engine,
			  kl_engine_gauges_t *gauges);

/** Get the counters, valid as long as the engine. */
const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine);

/**
 * Handle a client's login; accept_login() or end_session() answers it.
 *
 * @param front handle of the client's connection, passed to ops
 * @param database name that the client gave
 * @param key that the client gave, or ""
 * @return NULL if the login was refused and end_session() called, or when out
 *         of memory
 */
kl_client_t *kl_client_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us);

/**
 * Handle a client's statement.  The next one may be passed after this one has
 * been answered.
 */
void kl_client_statement(kl_client_t *client, const kl_parsed_stmt_t *parsed,
			 uint64_t now_us);

/** Handle the loss of a client's connection; the client is freed. */
void kl_client_disconnected(kl_client_t *client, uint64_t now_us);

/**
 * Handle the success of a connection attempt.
 *
 * @param position end of the database's log
 */
void kl_conn_ready(kl_conn_t *conn, kl_position_t position, uint64_t now_us);

/** Handle a database's reply; replies come in the order of the messages. */
void kl_conn_answered(kl_conn_t *conn, const kl_stmt_result_t *result,
		      uint64_t now_us);

/**
 * Handle a connection that was lost or refused; it is freed.
 *
 * @param error -KL_E_CONNECTIONS: the database has too many connections;
 *              -KL_E_UPSTREAM during an attempt: it refused the connection
 */
void kl_conn_lost(kl_conn_t *conn, int error, uint64_t now_us);

#endif
