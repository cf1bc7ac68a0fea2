/**
 * @file
 * Types and functions shared by the worker_*.c files.
 *
 * A worker is a thread with an event loop, the sessions that it serves and
 * the pools of upstream connections that these use.  Only the worker's own
 * thread touches them; other threads post messages to its inbox.
 *
 * All points in time are microseconds of kl_clock_us().
 */
#ifndef KL_WORKER_INTERNAL_H
#define KL_WORKER_INTERNAL_H

#include <ck_queue.h>
#include <event2/event.h>
#include <pthread.h>

#include "daemon/counter.h"
#include "daemon/database_call.h"
#include "daemon/inbox.h"
#include "daemon/listener.h"
#include "daemon/log.h"
#include "daemon/worker.h"
#include "front/front.h"
#include "kumquatloft/classify.h"
#include "path/fair.h"
#include "path/path.h"
#include "upstream/db_conn.h"

struct kl_session;
struct kl_pool_conn;

/** Stage of a session's current request. */
typedef enum kl_request_stage {
	KL_STAGE_IDLE,	   /**< no statement is in progress */
	KL_STAGE_ADMIT,	   /**< waits for rate tokens */
	KL_STAGE_ROUTE,	   /**< waits for an eligible upstream */
	KL_STAGE_QUEUE,	   /**< waits for a pooled connection */
	KL_STAGE_RUN,	   /**< the statement runs on a connection */
	KL_STAGE_POSITION, /**< queries the log position after a write */
	KL_STAGE_PROVE,	   /**< waits for proof that the term is current */
	KL_STAGE_COUNT
} kl_request_stage_t;

/** The statement that a session executes; a session has one at a time. */
typedef struct kl_request {
	kl_waiter_t waiter; /**< entry in a pool's fair queue */
	CK_STAILQ_ENTRY(kl_request) wait_link;	/**< in waiting_requests */
	CK_STAILQ_ENTRY(kl_request) proof_link; /**< in a round of the prover */
	struct kl_session *session;
	kl_request_stage_t stage;
	/** Incremented for each request, to recognize late answers. */
	uint64_t generation;
	kl_query_t query;
	char *text; /**< copy of the statement, which query refers to */
	kl_classification_t statement;
	uint64_t received_us; /**< time when the front end delivered it */
	uint64_t deadline_us;
	/** Time when the statement was sent, or the last proof round ended. */
	uint64_t step_started_us;
	uint64_t term;	 /**< term of the upstream that it was routed to */
	bool on_replica; /**< it was routed to a replica */
	char upstream[KL_NAME_MAX];	  /**< that it was routed to, or "" */
	char avoid_upstream[KL_NAME_MAX]; /**< upstream of the last failed
					      attempt, or "" */
	uint32_t failed_attempts;
	/** An attempt was sent and its answer was lost. */
	bool may_have_run;
	bool in_wait_list;
	/** Bucket that counts it as waiting for tokens, or NULL. */
	kl_bucket_t *waiting_in;
	uint64_t poll_pass; /**< poll_pass of the worker at its last visit */
	/** Its answer is held back until the term is proven current. */
	bool needs_proof;
	bool committed_write;	   /**< it was a write, or a commit of writes */
	kl_token_t written_token;  /**< session token after that write */
	struct kl_pool_conn *conn; /**< connection that it uses, or NULL */
} kl_request_t;

/** A client session. */
typedef struct kl_session {
	CK_LIST_ENTRY(kl_session) link;
	kl_message_t move_message; /**< carries it to another worker */
	struct kl_worker *worker;
	struct kl_worker *target_worker; /**< it moves there, or NULL */
	const kl_front_ops_t *front_ops;
	kl_front_t *front; /**< NULL once the client has disconnected */
	uint32_t id;	   /**< process id in the PostgreSQL protocol */
	uint32_t secret;   /**< a CancelRequest must contain it */
	char workspace[KL_NAME_MAX];
	char service[KL_NAME_MAX];
	char key_hash[2 * KL_KEY_HASH_BYTES + 1]; /**< hexadecimal, or "" */
	bool logged_in;
	/** Bucket that counts the session, or NULL. */
	kl_bucket_t *counted_in;
	bool closing;	     /**< unused */
	kl_token_t token;    /**< position that reads must cover */
	uint64_t max_age_us; /**< limit of the data's age in reads; 0: none */
	/** The client declared that its statements may be executed twice. */
	bool repeatable;
	/** 'I' for idle, 'T' in a transaction, 'E' in a failed one. */
	char transaction_status;
	bool transaction_read_only; /**< the open transaction is read-only */
	uint64_t transaction_term;  /**< term in which it was begun */
	struct kl_pool_conn *pinned_conn; /**< of the open transaction */
	kl_request_t request;
	uint64_t idle_since_us; /**< when the last statement was answered */
} kl_session_t;

/** A pooled upstream connection. */
typedef struct kl_pool_conn {
	CK_STAILQ_ENTRY(kl_pool_conn) link;
	struct kl_pool *pool;
	kl_db_conn_t *handle;
	kl_session_t *session; /**< session that uses it, or NULL */
	uint64_t generation; /**< generation of the request that it executes */
	bool connected;	     /**< the connection is established */
	bool idle;	     /**< it may be handed to a request */
	bool reset_pending;  /**< the answer to DISCARD ALL is outstanding */
	bool needs_reset;    /**< it may hold session state: DISCARD ALL is
				  due before another session uses it */
	bool keepalive_pending; /**< the answer to a keepalive is outstanding */
	uint64_t state_since_us; /**< time when its state last changed */
} kl_pool_conn_t;

/** A worker's connections to one upstream. */
typedef struct kl_pool {
	CK_STAILQ_ENTRY(kl_pool) link;
	struct kl_worker *worker;
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	bool leaving; /**< as in kl_upstream_t */
	uint64_t leaving_after_us;
	uint32_t max_conns;  /**< limit of conn_count for new connections */
	uint32_t conn_count; /**< its connections, established or not */
	uint32_t busy_conns; /**< connections in use by sessions */
	uint64_t connect_failed_us; /**< time of the last failed attempt */
	uint64_t last_used_us;	    /**< time of the last kl_pool_enqueue() */
	uint64_t use_reported_us;   /**< time of the last report of use */
	/** Moving average of the time that a session holds a connection. */
	uint64_t avg_conn_use_us;
	kl_fair_queue_t *fair_queue; /**< requests that wait for a connection */
	CK_STAILQ_HEAD(, kl_pool_conn) conns;
} kl_pool_t;

/** One worker thread. */
typedef struct kl_worker {
	kl_workers_t *workers;
	uint32_t index; /**< index in the table of workers */
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	kl_listener_t *listener;
	kl_inbox_t *inbox;
	kl_reader_t *reader;
	CK_LIST_HEAD(, kl_session) sessions;
	/** The wait list: requests that are polled on every tick. */
	CK_STAILQ_HEAD(, kl_request) waiting_requests;
	CK_STAILQ_HEAD(, kl_pool) pools;
	struct kl_prover *prover;
	uint64_t last_sweep_us;	   /**< of sessions and pools */
	uint64_t checked_us;	   /**< unused */
	uint64_t next_session_seq; /**< sequence number of the next session */
	uint64_t poll_pass; /**< number of passes over the wait list so far */
	/** planned stop: time when open transactions are ended; else 0 */
	uint64_t transactions_until_us;
	/** planned stop: deadline of all requests; else 0 */
	uint64_t drain_end_us;
} kl_worker_t;

/** All worker threads of the process. */
struct kl_workers {
	const kl_settings_t *settings;
	kl_control_thread_t *control;
	kl_path_settings_t path_settings;
	const char **read_functions;
	uint32_t count;
	uint64_t session_count; /**< number of open sessions; atomic */
	uint32_t draining;	/**< 1 once a planned stop began; atomic */
	kl_worker_t *table;
};

/* worker.c */

/**
 * Begin a planned stop.
 *
 * @param transactions_until_us time when transactions that are still open end
 * @param end_us time by which each request is answered
 */
void kl_worker_drain(kl_worker_t *worker, uint64_t transactions_until_us,
		     uint64_t end_us);

/** Whether a planned stop no longer lets transactions go on. */
bool kl_worker_transactions_ended(const kl_worker_t *worker, uint64_t now_us);

/* worker_session.c */

/** Create a session for an accepted connection. */
void kl_session_accept(kl_worker_t *worker, int socket);

/** Close the front end, with an error unless it is 0, and free the session. */
void kl_session_close(kl_session_t *session, int error);

/** Abort the session's request, release its resources and free it. */
void kl_session_free(kl_session_t *session);

/** Roll the open transaction back by closing its connection. */
void kl_session_end_transaction(kl_session_t *session);

/** End idle sessions whose access was withdrawn; on a drain, all idle ones. */
void kl_session_sweep_all(kl_worker_t *worker, const kl_view_t *view);

/** @return the bucket of the session's workspace, or NULL */
kl_bucket_t *kl_session_bucket(const kl_session_t *session,
			       const kl_view_t *view);

/* session_setting.c */

/** Set kumquatloft.NAME. @return false if the name or value is invalid */
bool kl_session_set_option(kl_session_t *session, const char *name,
			   const char *value);

/** Answer SHOW kumquatloft.NAME. */
void kl_session_show_option(kl_session_t *session, const char *name);

/* worker_request.c */

/** Classify a statement and answer, execute or queue it. */
void kl_request_start(kl_session_t *session, const kl_query_t *query);

/** Bring a request's deadline forward to the end of a planned stop. */
void kl_request_limit_deadline(kl_request_t *request);

/** Route the request again on the next tick, to another upstream. */
void kl_request_reroute(kl_request_t *request);

/* worker_run.c */

/** Send the request's statement over a connection. */
void kl_request_execute(kl_request_t *request, kl_pool_conn_t *conn);

/** Handle the answer to the statement or query last sent for the request. */
void kl_request_answered(kl_request_t *request, const kl_db_result_t *results,
			 int count);

/** The request's connection is lost: retry, or answer with an error. */
void kl_request_conn_lost(kl_request_t *request);

/** Handle the databases' answers to a majority round. */
void kl_request_on_tally(kl_request_t *request, const kl_vote_tally_t *tally);

/* worker_wait.c */

/** Retry each request in the worker's wait list, or fail it on a timeout. */
void kl_request_poll_waiting(kl_worker_t *worker);

/**
 * Fail requests that were queued, executed or proven beyond their deadline, and
 * retry statements that got no answer within silent_ms.
 */
void kl_request_expire_all(kl_worker_t *worker);

/** Fail a request that has not been sent; one that was sent continues. */
void kl_request_cancel(kl_request_t *request);

/** Drop a request without an answer, for a session that ends. */
void kl_request_abort(kl_request_t *request);

/* worker_answer.c: all functions but kl_answer_results() end the request. */

/** Answer with a negative kl_error_t; some errors also end the session. */
void kl_answer_error(kl_request_t *request, int error);

/** Answer with an SQLSTATE and a message. */
void kl_answer_sqlstate(kl_request_t *request, const char *sqlstate,
			const char *text);

/** Answer with a command tag and no rows. */
void kl_answer_command_tag(kl_request_t *request, const char *tag);

/** Pass an upstream's results to the front end. */
void kl_answer_results(kl_request_t *request, const kl_db_result_t *results,
		       int count);

/** End the request: the front end may read the next statement. */
void kl_answer_finish(kl_request_t *request);

/* worker_pool.c */

/** Find or create the pool of an upstream. @return NULL when out of memory */
kl_pool_t *kl_pool_find_or_add(kl_worker_t *worker,
			       const kl_upstream_t *upstream);

/** Queue a request; kl_request_execute() is called once it has a connection. */
void kl_pool_enqueue(kl_pool_t *pool, kl_request_t *request);

/** Whether a pool's upstream was leaving and gets no statements any more. */
bool kl_pool_has_left(const kl_pool_t *pool);

/** Return a connection that a session no longer needs to its pool. */
void kl_pool_release_conn(kl_pool_conn_t *conn);

/** Close a connection and free it. */
void kl_pool_drop_conn(kl_pool_conn_t *conn);

/**
 * @param context a kl_request_t
 * @return number of connections to the upstream in use by the worker's sessions
 */
uint32_t kl_pool_busy_conns(const void *context, const char *upstream);

/** Apply the configuration and the timeouts to the worker's pools. */
void kl_pool_maintain_all(kl_worker_t *worker, const kl_view_t *view);

void kl_pool_free(kl_pool_t *pool);

/* worker_prove.c */
struct kl_prover *kl_prover_new(kl_worker_t *worker);
void kl_prover_free(struct kl_prover *prover);

/**
 * Ask the databases which terms they accept; kl_request_on_tally() is called
 * with their answers.
 */
void kl_prover_submit(struct kl_prover *prover, kl_request_t *request);

/** Withdraw a request; kl_request_on_tally() is not called for it. */
void kl_prover_cancel(struct kl_prover *prover, kl_request_t *request);

#endif
