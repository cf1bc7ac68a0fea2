/**
 * @file
 * Types and functions shared by the engine's files.
 */
#ifndef KL_ENGINE_INTERNAL_H
#define KL_ENGINE_INTERNAL_H

#include "path/engine.h"
#include "path/session_state.h"
#include "path/session_writes.h"
#include "path/stmt_queue.h"
#include "path/spill.h"

/** Stages of a client's statement. */
typedef enum kl_stmt_stage {
	KL_STMT_NONE,	       /**< there is no statement */
	KL_STMT_LOGIN,	       /**< a login waits for the first configuration */
	KL_STMT_WAIT_TOKENS,   /**< waits for tokens */
	KL_STMT_WAIT_UPSTREAM, /**< waits for a suitable upstream */
	KL_STMT_WAIT_CONN,     /**< queued for a connection to the upstream */
	KL_STMT_SETUP, /**< the session's state is replayed on its connection */
	KL_STMT_SENT,  /**< sent, not answered */
	KL_STMT_STAGE_COUNT
} kl_stmt_stage_t;

/** Stages of a pooled connection. */
typedef enum kl_conn_stage {
	KL_CONN_OPENING,
	KL_CONN_IDLE,
	KL_CONN_IN_USE,	  /**< a client uses it */
	KL_CONN_DETACHED, /**< waits for a reply that goes to no client */
	KL_CONN_STAGE_COUNT
} kl_conn_stage_t;

/** The settings of a route, copied when an operation begins. */
typedef struct kl_route_params {
	char service[KL_NAME_MAX];
	kl_route_kind_t kind;
	uint64_t max_age_us;	    /**< oldest data that a read may see */
	uint64_t stmt_timeout_us;   /**< time limit of a statement */
	uint64_t target_latency_us; /**< latency objective of an operation */
	uint32_t priority;	    /**< 0 is the highest */
} kl_route_params_t;

/** An upstream, with its connections and its queue of statements. */
typedef struct kl_endpoint {
	CK_STAILQ_ENTRY(kl_endpoint) link;
	struct kl_cluster *cluster;
	char name[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	char domain[KL_NAME_MAX];
	uint16_t port;
	/** cleared when it has been missing from the registry for too long */
	bool accepts_stmts;
	/** time when it was first missing from the registry, or 0 */
	uint64_t unregistered_since_us;
	/** statements that the database executes at once; 0: not known */
	uint32_t execution_slots;
	bool leaving;		  /**< operators take it out of service */
	uint64_t leaving_seen_us; /**< when leaving was last set here */
	/** It leaves since no earlier than this; 0: not known. */
	uint64_t leaving_after_us;

	/** current limit of this VM's connections to the database */
	uint32_t conn_limit;
	/** the database's connections divided by the number of VMs */
	uint32_t even_conn_share;
	/** upper bound of conn_limit, for when other VMs need few */
	uint32_t conn_limit_max;
	/** time when conn_limit was last raised above the even share */
	uint64_t last_limit_raise_us;
	/** time of the last refusal because of too many connections */
	uint64_t last_db_full_us;
	uint32_t open_conns; /**< connections open or being opened */

	uint32_t running_stmts;	 /**< statements sent and not answered */
	uint32_t stmt_window;	 /**< statements that may run at once */
	uint32_t window_replies; /**< replies since the window changed */
	uint64_t latency_avg_us; /**< moving average over statements */
	kl_wait_t wait;		 /**< what operations that begin there wait */
	uint64_t last_window_shrink_us; /**< when the window last shrank */
	/**
	 * time of the last reply, or when a statement was last sent while none
	 * was running
	 */
	uint64_t last_progress_us;
	bool may_be_down;	 /**< to be checked by a status query */
	uint64_t connect_avg_us; /**< mean time until a connection is open */
	/** time when a queued statement was last found to wait long */
	uint64_t last_long_wait_us;

	/** time of the last failed connection attempt */
	uint64_t last_connect_failure_us;
	/** time of the first failure since the last success, or 0 */
	uint64_t failing_since_us;
	uint64_t last_failure_us; /**< time of the last of these failures */
	bool refuses_conns;	  /**< connection attempts are refused */
	/** time when it last refused a read for lack of a position */
	uint64_t last_lagging_us;
	uint64_t last_position_us; /**< time of the last position report */
	kl_position_t position;	   /**< end of its log in that report */
	CK_STAILQ_HEAD(, kl_conn) conns;
	kl_stmt_queue_t queue; /**< statements that wait for a connection */
} kl_endpoint_t;

/** The databases of a service. */
typedef struct kl_cluster {
	CK_STAILQ_ENTRY(kl_cluster) link;
	kl_engine_t *engine;
	char name[KL_NAME_MAX];
	uint64_t group_change; /**< of the record that the samples belong to */
	uint64_t last_used_us; /**< time of the last statement */
	char last_workspace[KL_NAME_MAX];  /**< workspace of that statement */
	kl_log_samples_t position_samples; /**< log positions of the primary */
	/** times of the last calls of report_position(), with and without one
	 */
	uint64_t last_position_report_us;
	uint64_t last_position_need_us;
	kl_spill_t spill; /**< reads that go to other failure domains */
	uint64_t last_load_report_us; /**< last calls of report_load() */
	/** first position reported in the newest term */
	kl_position_t newest_term_first_position;
	CK_STAILQ_HEAD(, kl_endpoint) endpoints;
} kl_cluster_t;

/** A client's statement in progress. */
typedef struct kl_stmt {
	kl_stmt_stage_t stage;
	char *id; /**< request id chosen by the client */
	char *text;
	kl_verb_t verb;
	bool writes;
	bool on_primary;      /**< sent to the recorded, proven primary */
	uint64_t received_us; /**< time of arrival */
	/* At each of these times the statement fails if: */
	uint64_t route_deadline_us; /**< no upstream was chosen */
	uint64_t queue_deadline_us; /**< it got no connection */
	uint64_t deadline_us;	    /**< the database did not reply */
	/** time by which it is to be answered: the objective, or later */
	uint64_t answer_due_us;
	uint64_t retry_at_us;  /**< time before which no upstream is chosen */
	uint64_t sent_us;      /**< when it was sent, or its set-up began */
	uint64_t group_change; /**< of the group's record at sent_us */
	uint64_t chosen_us;    /**< when its upstream was chosen */
	/**
	 * log position that a replica must have; term 0: only the primary is
	 * suitable
	 */
	kl_position_t min_position;
	uint32_t failed_attempts;      /**< tries that failed */
	kl_endpoint_t *endpoint;       /**< upstream chosen */
	kl_endpoint_t *avoid_endpoint; /**< that of the last failed try */
	int last_error;		       /**< of the last failed try, or 0 */
	/** bucket that counts it as waiting for tokens, or NULL */
	kl_bucket_t *waiting_bucket;
	bool admitted; /**< it took its tokens */
	/** time of the first try to take tokens, or 0 */
	uint64_t tokens_requested_us;
} kl_stmt_t;

/** A client's session. */
struct kl_client {
	CK_LIST_ENTRY(kl_client) link;
	kl_queued_stmt_t queued;  /**< its statement, in an upstream's queue */
	uint64_t queued_since_us; /**< when it was queued */
	CK_LIST_ENTRY(kl_client) waiting_link; /**< in engine->waiting */
	bool on_waiting_list;		       /**< it is in that list */
	kl_engine_t *engine;
	void *front;		    /**< handle of the client's connection */
	uint64_t session_number;    /**< unique in this engine */
	char database[KL_NAME_MAX]; /**< name given at login: the route */
	/** workspace of the client's key, or "-" without a key */
	char workspace[KL_NAME_MAX];
	char key_hash[2 * KL_KEY_HASH_BYTES + 1]; /**< hexadecimal */
	kl_session_state_t state;
	/** bucket that counts the session, or NULL */
	kl_bucket_t *session_bucket;
	char transaction_status; /**< 'I', 'T' or 'E', as in kl_stmt_result_t */
	bool txn_read_only;	 /**< the open transaction is read-only */
	bool txn_wrote;		 /**< the open transaction has written */
	uint64_t txn_group_change; /**< of the group's record at BEGIN */
	uint64_t idle_since_us;	   /**< when the last statement was answered */
	kl_route_params_t route;
	kl_session_writes_t writes; /**< log positions of its last writes */
	kl_conn_t *conn;	    /**< connection that it uses, or NULL */
	kl_stmt_t stmt;
};

/** A pooled connection to a database, used by one workspace only. */
struct kl_conn {
	CK_STAILQ_ENTRY(kl_conn) link;
	kl_endpoint_t *endpoint;
	void *handle; /**< from conn_open() */
	char workspace[KL_NAME_MAX];
	kl_conn_stage_t stage;
	kl_client_t *client;	 /**< client that uses it, or NULL */
	uint64_t stage_since_us; /**< when the stage began */
	uint64_t sent_us;	 /**< when the last statement was sent */
	/** when the first statement of an operation was sent that is not
	 * answered and so not counted yet, or 0 */
	uint64_t uncounted_since_us;
	bool is_status_query; /**< KL_CONN_DETACHED: for a status reply */
	bool runs_stmt;	      /**< counted in the endpoint's running_stmts */
	/** that statement, as its queue counts it */
	kl_running_stmt_t running;
	/** its upstream was proven to be the primary at sent_us */
	bool primary_proven;
	/** replies to set-up, reset and status messages not yet received */
	uint32_t pending_replies;
	uint64_t state_session_number; /**< session whose state was replayed */
	uint64_t state_version;	       /**< version of that state */
	uint64_t state_removals;       /**< number of removals in that state */
};

struct kl_engine {
	kl_engine_settings_t settings;
	const kl_engine_ops_t *ops;
	void *context;
	kl_reader_t *reader;
	uint64_t now_us; /**< time passed to the current call */
	kl_view_t view;	 /**< valid only inside a call of the engine */
	/**
	 * sequences of the snapshots that the clusters and endpoints were last
	 * updated from; 0: of none
	 */
	uint64_t seen_config;
	uint64_t seen_terms;
	uint64_t seen_members;
	uint64_t last_session_number;
	uint64_t last_sweep_us; /**< time of the last periodic work */
	/** planned stop: time when open transactions are ended; else 0 */
	uint64_t drain_until_us;
	/** time when statements that still run are given up, or 0 */
	uint64_t drain_end_us;
	/** planned stop: time when waiting statements are refused; else 0 */
	uint64_t refuse_from_us;
	uint32_t client_count; /**< number of open sessions */
	kl_engine_counts_t counts;
	CK_LIST_HEAD(, kl_client) clients;
	/** clients that each tick checks again */
	CK_LIST_HEAD(, kl_client) waiting;
	CK_STAILQ_HEAD(, kl_cluster) clusters;
};

/* engine.c */
/** Whether the sections changed that clusters and endpoints depend on. */
bool kl_engine_is_outdated(const kl_engine_t *engine);
/** Note that these have been updated from the current sections. */
void kl_engine_set_updated(kl_engine_t *engine);
/** Begin a call: enter a read section, update the endpoints if needed. */
void kl_engine_enter(kl_engine_t *engine, uint64_t now_us);
/** End a call: leave the read section. */
void kl_engine_exit(kl_engine_t *engine);
/** Find a service's group record. @return NULL if there is none */
const kl_group_t *kl_engine_find_group(const kl_engine_t *engine,
				       const char *service);
/** Whether the lease proves that a group's recorded primary is the only one. */
bool kl_engine_primary_proven(const kl_engine_t *engine,
			      const kl_group_t *group);

/* engine_drain.c */
/** Set the times of a planned stop, see kl_engine_drain(). */
void kl_drain_begin(kl_engine_t *engine, uint64_t transactions_until_us,
		    uint64_t end_us);
/** Whether a planned stop takes no statements any more. */
bool kl_drain_time_is_over(const kl_engine_t *engine);
/** Whether a planned stop might cut off an operation that begins now. */
bool kl_drain_starts_too_late(const kl_client_t *client);
/** Whether a planned stop refuses the client's waiting statement. */
bool kl_drain_refuses_waiting(const kl_client_t *client);
/**
 * Whether a planned stop ends a session after an error was sent to it, so that
 * its client goes to another VM in place of asking again.
 */
bool kl_drain_ends_refused(const kl_client_t *client, int error);
/** Whether a planned stop ends a session that runs no statement. */
bool kl_drain_ends_idle(const kl_client_t *client);

/* engine_begin.c */
/** Start an operation with its first statement. */
void kl_client_begin_op(kl_client_t *client, const kl_parsed_stmt_t *parsed);

/* engine_client.c */
/** Check a login; count the session if valid. @return 0 or a negative error */
int kl_client_check_login(kl_client_t *client);
/** Reply to a login, or let it wait. @return whether the client was freed */
bool kl_client_answer_login(kl_client_t *client, int error);
/**
 * Make a session one of a workspace, for its next operations, and count it in
 * the bucket that this workspace has now.  No transaction may be open.
 */
void kl_client_set_workspace(kl_client_t *client, const char *workspace);
/**
 * Check that the client's key is valid, or its route open to anonymous clients.
 *
 * @param workspace set to the key's workspace, or to "-" without a valid key
 */
int kl_client_check_access(const kl_client_t *client, const char **workspace);
/** Set whether a statement writes. @return 0 or -KL_E_NO_STATEMENT */
int kl_client_resolve_writes(kl_client_t *client,
			     const kl_parsed_stmt_t *parsed);
/** Remove the statement from the bucket's count of waiting statements. */
void kl_client_uncount_waiting(kl_client_t *client);
/** The admission bucket of the client's workspace, or NULL. */
kl_bucket_t *kl_client_bucket(const kl_client_t *client);
/**
 * The error for a statement that can't be answered in time.  It says that the
 * statement did not run, unless an earlier try may have run.
 */
int kl_client_late_error(const kl_client_t *client);
/** Reply to the statement with an error; some errors end the session. */
void kl_client_refuse(kl_client_t *client, int error);
/** Report the statement's success, without a database's reply. */
void kl_client_complete(kl_client_t *client);
/** Pass a database's reply to the client. */
void kl_client_send_result(kl_client_t *client, const kl_stmt_result_t *result);
/** End the session, with an error if it is not 0, and free the client. */
void kl_client_end_session(kl_client_t *client, int error);
/** Retry the login or the statement that waits; called by each tick. */
void kl_client_recheck(kl_client_t *client);
/** Let the statement wait in a stage until the next tick. */
void kl_client_wait(kl_client_t *client, kl_stmt_stage_t stage);
/** Choose an upstream, take tokens and queue the statement for it. */
void kl_client_route(kl_client_t *client);
/** Whether only the primary may run the statement. */
bool kl_client_needs_primary(const kl_client_t *client);

/* engine_run.c */
/** Replay the session's state on a connection, then run the statement. */
void kl_stmt_run(kl_client_t *client, kl_conn_t *conn);
/** Handle a reply on the connection that the client uses. */
void kl_stmt_answered(kl_client_t *client, const kl_stmt_result_t *result);
/** Handle the loss of the connection that the client uses. */
void kl_stmt_conn_lost(kl_client_t *client);
/** Check the deadlines of the client's statement. */
void kl_stmt_check_deadlines(kl_client_t *client);

/* engine_endpoint.c */
/** Update the clusters and endpoints from the blackboard. */
void kl_endpoints_refresh(kl_engine_t *engine);
/** Find a service's cluster. @return NULL if there is none */
kl_cluster_t *kl_cluster_find(kl_engine_t *engine, const char *service);
/** Find an endpoint by its upstream's name. @return NULL if there is none */
kl_endpoint_t *kl_endpoint_find(kl_cluster_t *cluster, const char *name);
/** Record that the database replied, which ends a failure. */
void kl_endpoint_succeeded(kl_endpoint_t *endpoint);
/**
 * Record that the database is up, though it runs no statement: it refused a
 * connection because it has too many.
 */
void kl_endpoint_is_alive(kl_endpoint_t *endpoint);
/**
 * Record a failure of the upstream and report it.
 *
 * @param refuses_conns a connection attempt was refused
 * @param since_us time when the failure began
 */
void kl_endpoint_failed(kl_endpoint_t *endpoint, bool refuses_conns,
			uint64_t failing_since_us);
/** Adapt the statement window to a latency and the latency objective. */
void kl_endpoint_add_latency(kl_endpoint_t *endpoint, uint64_t latency_us,
			     uint64_t target_latency_us);
/** Whether statements run but none has been answered for a while. */
bool kl_endpoint_stalled(const kl_endpoint_t *endpoint);
/** Record a reply and the end of the database's log that it reports. */
void kl_endpoint_answered(kl_endpoint_t *endpoint, const kl_conn_t *conn,
			  kl_position_t position);
/** Report a sampled position of the cluster's primary for other VMs. */
void kl_cluster_report_position(kl_cluster_t *cluster, kl_position_t position,
				uint64_t sampled_us);
/**
 * Add the position of the primary that other VMs reported to the samples, and
 * ask for a newer one if the samples are old.
 */
void kl_cluster_update_samples(kl_cluster_t *cluster);
/**
 * Whether a new operation may be sent to an endpoint now; only what needs the
 * primary may go to a primary that leaves.
 */
bool kl_endpoint_may_start(const kl_endpoint_t *endpoint);
/** Whether a statement of an open transaction may be sent to it now. */
bool kl_endpoint_may_continue(const kl_endpoint_t *endpoint);
/** Whether a replica, or the proven primary, may run the client's read now. */
bool kl_endpoint_is_candidate(const kl_client_t *client,
			      const kl_endpoint_t *endpoint,
			      const kl_endpoint_t *primary);
/** Find the primary if it is usable and proven to be the only one, or NULL. */
kl_endpoint_t *kl_endpoint_proven_primary(const kl_client_t *client,
					  kl_cluster_t *cluster);
/** Choose the endpoint for a statement. @return NULL if none is suitable now */
kl_endpoint_t *kl_endpoint_choose(const kl_client_t *client);
/** Close all connections and free the clusters and endpoints. */
void kl_endpoints_free(kl_engine_t *engine);

/* engine_spill.c */
/**
 * Choose the failure domain for a read that a replica may run.
 *
 * @return the domain's name, or NULL: any, by the costs of the endpoints
 */
const char *kl_client_read_domain(const kl_client_t *client,
				  kl_cluster_t *cluster,
				  const kl_endpoint_t *primary);
/** Note which endpoint was chosen for a statement, before it is queued. */
void kl_stmt_note_choice(kl_client_t *client, kl_endpoint_t *endpoint);
/**
 * Move a read that waits long for a database at home to a domain with spare
 * capacity, if one is known.
 *
 * @return whether it left its queue, to choose an upstream at the next tick
 */
bool kl_stmt_leave_queue(kl_client_t *client);
/** Note how long the client's statement took until its reply. */
void kl_stmt_note_reply(const kl_client_t *client,
			const kl_stmt_result_t *result);
/** Note that the statement was refused, or left a queue, for lack of capacity.
 */
void kl_stmt_note_overload(const kl_client_t *client);
/** Periodic work: update the shares, report the load of databases. */
void kl_spills_sweep(kl_engine_t *engine);

/* engine_conn.c */
/** Give idle connections to queued statements, and open more if needed. */
void kl_endpoint_serve_queue(kl_endpoint_t *endpoint);
/** Make a connection idle, for use by other statements. */
void kl_conn_release(kl_conn_t *conn);
/**
 * Count the statement that was sent on a connection as running at its endpoint.
 * The count ends with kl_conn_stmt_done() or with the connection.
 */
void kl_conn_stmt_sent(kl_conn_t *conn);
/**
 * End the count of a statement that was answered, if there is one.
 *
 * @param error of the reply; 0 also if no reply will arrive
 */
void kl_conn_stmt_done(kl_conn_t *conn, int error);
/**
 * Detach a connection from its client.  If a transaction may be open, the
 * connection is closed, which rolls it back.  Else the connection becomes idle
 * after the outstanding reply, which no client gets.
 */
void kl_conn_abandon(kl_conn_t *conn, bool open_transaction);
/** Close and free a connection. */
void kl_conn_close(kl_conn_t *conn);
/** Send a message. @return 0, or an error if nothing was sent */
int kl_conn_send(kl_conn_t *conn, const kl_conn_msg_t *message);
/** Whether the last failed attempt to connect is long enough ago. */
bool kl_endpoint_may_connect(const kl_endpoint_t *endpoint);
/** Open a connection. @return NULL if that failed at once */
kl_conn_t *kl_conn_open(kl_endpoint_t *endpoint, const char *workspace);
/** Find the connection that has been idle longest. @return NULL: none is */
kl_conn_t *kl_endpoint_longest_idle(const kl_endpoint_t *endpoint);
/** Find an idle connection of a workspace. @return NULL if there is none */
kl_conn_t *kl_conn_find_idle(const kl_endpoint_t *endpoint,
			     const char *workspace);
/**
 * Periodic work: close connections that timed out or are no longer needed,
 * query the status of databases, move statements away from failing endpoints.
 */
void kl_conns_sweep(kl_engine_t *engine);

/* engine_queue.c */
/** The order of waiting statements that the settings choose. */
const kl_stmt_order_t *kl_engine_stmt_order(const kl_engine_t *engine);
/** The priority of the client's route, below KL_PRIORITY_LEVELS. */
uint32_t kl_client_priority(const kl_client_t *client);
/** Queue the client's statement for a connection. */
void kl_endpoint_enqueue(kl_endpoint_t *endpoint, kl_client_t *client);
/** Remove the client's statement from its queue. */
void kl_endpoint_dequeue(kl_client_t *client);
/** Whether the client's statement would be answered too late at an endpoint. */
bool kl_endpoint_is_too_late(kl_endpoint_t *endpoint, kl_client_t *client);
/**
 * Most statements that this VM runs at an endpoint at once; the order by
 * priority needs them to wait here, not inside the database.
 *
 * @param most allowed whatever the database's slots are
 */
uint32_t kl_endpoint_window_max(const kl_endpoint_t *endpoint, uint32_t most);
/** Choose a queued statement whose workspace has an idle connection. */
kl_client_t *kl_endpoint_choose_queued(kl_endpoint_t *endpoint);
/**
 * Refuse the queued statements whose time is over; the order by arrival leaves
 * this to the sweep of the clients.
 */
void kl_queues_check_deadlines(kl_engine_t *engine);
/** Whether the next tick has queued statements to check. */
bool kl_queues_need_check(const kl_engine_t *engine);
/**
 * Whether another workspace's idle connection may be closed for one of this
 * workspace.  In the order by priority only if it has none for its operations,
 * because each new connection takes time of the database.
 */
bool kl_endpoint_may_replace(const kl_endpoint_t *endpoint,
			     const char *workspace);
/** Note the time that it took to open a connection. */
void kl_endpoint_connected(kl_endpoint_t *endpoint, uint64_t connect_us);
/** Tell the queue that the connection's statement was sent. */
void kl_endpoint_stmt_sent(kl_conn_t *conn);
/** Tell the queue that it ended. */
void kl_endpoint_stmt_done(kl_conn_t *conn);
/* engine_usage.c */
/** Note that a statement was sent, which may begin an operation. */
void kl_usage_stmt_sent(kl_conn_t *conn);
/** Count the operation that the last statement began, if it may have run. */
void kl_usage_stmt_ended(kl_conn_t *conn, int error);

/* engine_status.c */
/** Query the primary's log position if no recent reply has reported it. */
void kl_cluster_sample_primary(kl_cluster_t *cluster);
/**
 * Query an endpoint's status, unless a status query or a connection attempt is
 * in progress.  Opens a connection if none is idle.
 *
 * @param primary_proven the upstream is proven to be the primary now
 */
void kl_endpoint_query_status(kl_endpoint_t *endpoint, bool primary_proven);

#endif
