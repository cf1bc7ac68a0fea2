/**
 * @file
 * What the files of the worker share.
 */
#ifndef KL_WORKER_INTERNAL_H
#define KL_WORKER_INTERNAL_H

#include <ck_queue.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <pthread.h>

#include "daemon/counter.h"
#include "daemon/database_call.h"
#include "daemon/inbox.h"
#include "daemon/log.h"
#include "daemon/worker.h"
#include "front/front.h"
#include "kumquatloft/classify.h"
#include "path/fair.h"
#include "path/path.h"
#include "upstream/link.h"

struct kl_session;
struct kl_pool_conn;

/** Where a request stands. */
typedef enum kl_request_stage {
	KL_STAGE_IDLE,
	KL_STAGE_ADMIT,	   /**< waits for tokens */
	KL_STAGE_ROUTE,	   /**< waits for an upstream that fits */
	KL_STAGE_QUEUE,	   /**< waits for a connection */
	KL_STAGE_RUN,	   /**< runs on its connection */
	KL_STAGE_POSITION, /**< asks how far the write went */
	KL_STAGE_PROVE,	   /**< waits for the proof of the term */
	KL_STAGE_COUNT
} kl_request_stage_t;

/** A statement on its way; one to a session. */
typedef struct kl_request {
	kl_waiter_t waiter;
	CK_STAILQ_ENTRY(kl_request) wait_link;
	CK_STAILQ_ENTRY(kl_request) proof_link;
	struct kl_session *session;
	kl_request_stage_t stage;
	uint64_t generation; /**< rises with each request of the session */
	kl_query_t query;
	char *text;
	kl_classification_t statement;
	uint64_t received_us;
	uint64_t deadline_us;
	uint64_t step_started_us; /**< sent to the upstream */
	uint64_t term;		  /**< of the route taken */
	bool on_replica;
	char upstream[KL_NAME_MAX];
	char avoid_upstream[KL_NAME_MAX];
	uint32_t failed_attempts;
	bool in_wait_list;
	uint64_t poll_pass; /**< of looking again, to visit each once */
	bool needs_proof;
	bool wrote;
	kl_token_t written_token; /**< position after the write */
	struct kl_pool_conn *conn;
} kl_request_t;

/** A caller's session. */
typedef struct kl_session {
	CK_LIST_ENTRY(kl_session) link;
	kl_message_t move_message; /**< to move to another worker */
	struct kl_worker *worker;
	struct kl_worker
		*target_worker; /**< where it is about to move, or NULL */
	const kl_front_ops_t *front_ops;
	kl_front_t *front;
	uint32_t id;
	uint32_t secret;
	char workspace[KL_NAME_MAX];
	char service[KL_NAME_MAX];
	char key_hash[2 * KL_KEY_HASH_BYTES + 1];
	bool logged_in;
	bool counted_in_bucket;
	bool closing;
	kl_token_t token;
	uint64_t max_age_us;
	bool repeatable;
	char transaction_state;	    /**< 'I', 'T' or 'E' */
	bool transaction_read_only; /**< the open transaction is */
	uint64_t transaction_term;
	struct kl_pool_conn *pinned_conn; /**< of the open transaction */
	kl_request_t request;
} kl_session_t;

/** A pooled upstream connection. */
typedef struct kl_pool_conn {
	CK_STAILQ_ENTRY(kl_pool_conn) link;
	struct kl_pool *pool;
	kl_db_conn_t *handle;
	kl_session_t *session; /**< that holds it */
	uint64_t generation;   /**< request that it runs for */
	bool connected;
	bool idle;
	bool reset_pending;	/**< answers go to nobody until it is clean */
	bool dirty;		/**< session state may be left on it */
	bool keepalive_pending; /**< a keepalive is out */
	uint64_t state_since_us;
} kl_pool_conn_t;

/** The connections to one upstream. */
typedef struct kl_pool {
	CK_STAILQ_ENTRY(kl_pool) link;
	struct kl_worker *worker;
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	uint32_t max_conns;
	uint32_t conn_count;
	uint32_t busy_conns;
	uint64_t connect_failed_us; /**< the last try to connect failed then */
	uint64_t last_used_us;	    /**< when a statement last came */
	uint64_t interest_sent_us; /**< when the control thread last heard of it
				    */
	uint64_t avg_hold_us;	   /**< smoothed time of a statement */
	kl_fair_queue_t *fair_queue;
	CK_STAILQ_HEAD(, kl_pool_conn) conns;
} kl_pool_t;

/** One worker thread. */
typedef struct kl_worker {
	kl_workers_t *workers;
	uint32_t index;
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	struct evconnlistener *listener;
	kl_inbox_t *inbox;
	kl_reader_t *reader;
	CK_LIST_HEAD(, kl_session) sessions;
	CK_STAILQ_HEAD(, kl_request) waiting_requests;
	CK_STAILQ_HEAD(, kl_pool) pools;
	struct kl_prover *prover;
	uint64_t last_sweep_us;
	uint64_t checked_us;
	uint64_t next_session_seq;
	uint64_t poll_pass;
} kl_worker_t;

struct kl_workers {
	const kl_settings_t *settings;
	kl_control_thread_t *control;
	kl_path_settings_t path_settings;
	const char **read_functions;
	uint32_t count;
	uint64_t session_count; /* atomic */
	uint32_t draining;	/* atomic */
	kl_worker_t *table;
};

/* worker_session.c */
void kl_session_accept(kl_worker_t *worker, int socket);
void kl_session_close(kl_session_t *session, int error);
void kl_session_free(kl_session_t *session);
void kl_session_sweep_all(kl_worker_t *worker, const kl_view_t *scene);
kl_bucket_t *kl_session_bucket(const kl_session_t *session,
			       const kl_view_t *scene);
bool kl_session_set_option(kl_session_t *session, const char *name,
			   const char *value);
void kl_session_show_option(kl_session_t *session, const char *name);

/* worker_request.c */
void kl_request_start(kl_session_t *session, const kl_query_t *query);
void kl_request_abort(kl_request_t *request);
void kl_request_execute(kl_request_t *request, kl_pool_conn_t *lease);
void kl_request_answered(kl_request_t *request, const kl_db_result_t *results,
			 int count);
void kl_request_conn_lost(kl_request_t *request);
void kl_request_reroute(kl_request_t *request);
void kl_request_on_tally(kl_request_t *request, const kl_vote_tally_t *tally);
void kl_request_poll_waiting(kl_worker_t *worker);
void kl_request_expire_all(kl_worker_t *worker);
void kl_request_cancel(kl_request_t *request);

/* worker_answer.c */
void kl_answer_error(kl_request_t *request, int error);
void kl_answer_sqlstate(kl_request_t *request, const char *sqlstate,
			const char *text);
void kl_answer_command_tag(kl_request_t *request, const char *tag);
void kl_answer_results(kl_request_t *request, const kl_db_result_t *results,
		       int count);
void kl_answer_finish(kl_request_t *request);

/* worker_pool.c */
kl_pool_t *kl_pool_find_or_add(kl_worker_t *worker,
			       const kl_upstream_t *upstream);
void kl_pool_enqueue(kl_pool_t *pool, kl_request_t *request);
void kl_pool_release(kl_pool_conn_t *lease);
void kl_pool_drop(kl_pool_conn_t *lease);
uint32_t kl_pool_load(const void *worker, const char *upstream);
void kl_pool_maintain_all(kl_worker_t *worker, const kl_view_t *scene);
void kl_pool_free(kl_pool_t *pool);

/* worker_prove.c */
struct kl_prover *kl_prover_new(kl_worker_t *worker);
void kl_prover_free(struct kl_prover *prover);
void kl_prover_submit(struct kl_prover *prover, kl_request_t *request);
void kl_prover_cancel(struct kl_prover *prover, kl_request_t *request);

#endif
