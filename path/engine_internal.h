/**
 * @file
 * What the files of the engine share.
 */
#ifndef KL_ENGINE_INTERNAL_H
#define KL_ENGINE_INTERNAL_H

#include "path/engine.h"
#include "path/session_state.h"

/** Where a caller's statement stands. */
typedef enum kl_stmt_stage {
	KL_STMT_NONE,
	KL_STMT_LOGIN,	       /**< waits for a configuration to check it by */
	KL_STMT_WAIT_TOKENS,   /**< waits for tokens */
	KL_STMT_WAIT_UPSTREAM, /**< waits for an upstream that fits */
	KL_STMT_WAIT_CONN,     /**< waits for a connection */
	KL_STMT_SETUP,	       /**< its connection gets the session's state */
	KL_STMT_SENT,	       /**< runs */
	KL_STMT_STAGE_COUNT
} kl_stmt_stage_t;

/** What a pooled connection is doing. */
typedef enum kl_conn_stage {
	KL_CONN_OPENING,
	KL_CONN_IDLE,
	KL_CONN_IN_USE,	  /**< belongs to a caller */
	KL_CONN_DETACHED, /**< asks for the position */
	KL_CONN_STAGE_COUNT
} kl_conn_stage_t;

/** A route as it was when an operation began. */
typedef struct kl_route_params {
	char service[KL_NAME_MAX];
	kl_route_kind_t kind;
	uint64_t max_age_us;
	uint64_t timeout_us;
	uint64_t target_us;
} kl_route_params_t;

/** An upstream, as requests find it. */
typedef struct kl_endpoint {
	CK_STAILQ_ENTRY(kl_endpoint) link;
	struct kl_cluster *cluster;
	char name[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	char domain[KL_NAME_MAX];
	uint16_t port;
	bool in_use;		  /**< to be used */
	uint64_t unregistered_us; /**< no longer registered since then, or 0 */
	bool leaving;
	uint64_t leaving_since_us; /**< since when, or 0 */
	uint32_t conn_cap;	   /**< connections that this VM may open now */
	uint32_t conn_share;	   /**< the same, if every VM has as many */
	uint32_t conn_max;	   /**< if every other VM has the least */
	uint64_t cap_raised_us;	   /**< when the cap last changed */
	uint64_t db_full_us;	   /**< the database had too many then */
	uint32_t open_conns;
	uint32_t running;	   /**< statements sent and not answered */
	uint32_t window;	   /**< statements that may run at once */
	uint32_t window_answers;   /**< since the window last grew */
	uint64_t latency_avg_us;   /**< smoothed, of a statement */
	uint64_t window_shrunk_us; /**< when the window last shrank */
	uint64_t last_progress_us; /**< last answer, or first of what runs */
	bool suspect;		   /**< an answer is overdue: to be asked */
	uint32_t queue_length;	   /**< statements that wait for a connection */
	uint64_t last_long_wait_us; /**< statements waited long then */
	uint64_t connect_failed_us; /**< a connection was refused then */
	uint64_t failing_since_us;  /**< since when all fails, or 0 */
	uint64_t last_failure_us;   /**< last failure */
	bool refuses_conns;	    /**< nobody listens there */
	uint64_t last_lagging_us;   /**< it lacked a position then */
	uint64_t position_seen_us;  /**< when the position was heard */
	kl_position_t position;
	CK_STAILQ_HEAD(, kl_conn) conns;
	CK_STAILQ_HEAD(, kl_client) queue; /**< in the order of coming */
} kl_endpoint_t;

/** A service's group of databases. */
typedef struct kl_cluster {
	CK_STAILQ_ENTRY(kl_cluster) link;
	kl_engine_t *engine;
	char name[KL_NAME_MAX];
	uint64_t group_version; /**< of the record that the points belong to */
	uint64_t last_used_us;	/**< last statement */
	char last_workspace[KL_NAME_MAX]; /**< of that statement */
	kl_log_samples_t samples;
	kl_position_t newest_term_start; /**< first position seen of it */
	CK_STAILQ_HEAD(, kl_endpoint) endpoints;
} kl_cluster_t;

/** A caller's statement on its way. */
typedef struct kl_stmt {
	kl_stmt_stage_t stage;
	char *id;
	char *text;
	kl_verb_t verb;
	bool writes;
	bool on_primary; /**< it was sent to the primary of the record */
	uint64_t received_us;
	uint64_t route_deadline_us; /**< not sent by then: refused */
	uint64_t queue_deadline_us; /**< no connection by then: refused */
	uint64_t deadline_us;
	uint64_t retry_at_us; /**< not tried again before */
	uint64_t sent_us;
	uint64_t group_version; /**< of the group's record when it was sent */
	kl_position_t min_position;
	uint32_t failed_attempts;
	kl_endpoint_t *endpoint;
	kl_endpoint_t *avoid_upstream;
	int last_error;		  /**< of the last try */
	bool waiting_counted;	  /**< among those that wait for tokens */
	bool admitted;		  /**< it has its tokens */
	uint64_t tokens_asked_us; /**< it first asked for them then, or 0 */
} kl_stmt_t;

/** A caller's session. */
struct kl_client {
	CK_LIST_ENTRY(kl_client) link;
	CK_STAILQ_ENTRY(kl_client) queue_link; /**< at a place */
	CK_LIST_ENTRY(kl_client) waiting_link; /**< by the next tick */
	bool on_waiting_list;
	kl_engine_t *engine;
	void *front;
	uint64_t session_number;
	char database[KL_NAME_MAX];
	char workspace[KL_NAME_MAX];
	char key_hash[2 * KL_KEY_HASH_BYTES + 1];
	kl_session_state_t state;
	bool session_counted; /**< among its workspace's sessions */
	char txn_state;
	bool txn_read_only;	    /**< the open transaction */
	bool txn_wrote;		    /**< the open transaction */
	uint64_t txn_group_version; /**< of the record, when it was begun */
	uint64_t idle_since_us;	    /**< since when no statement runs */
	kl_route_params_t route;
	kl_position_t last_write; /**< end of the session's own writes */
	char last_write_service[KL_NAME_MAX];
	kl_conn_t *conn;
	kl_stmt_t stmt;
};

/** A pooled connection; it belongs to one workspace. */
struct kl_conn {
	CK_STAILQ_ENTRY(kl_conn) link;
	kl_endpoint_t *endpoint;
	void *handle;
	char workspace[KL_NAME_MAX];
	kl_conn_stage_t stage;
	kl_client_t *client;
	uint64_t stage_since_us; /**< of the stage */
	uint64_t sent_us;	 /**< of the outstanding statement */
	bool status_asked;   /**< ASKING for the position, not ending unheard */
	bool primary_proven; /**< the primary's lease held when it was sent */
	uint32_t pending_setups; /**< answers that belong to no caller's
				    statement */
	uint64_t state_session; /**< number of the session whose state it has */
	uint64_t state_version; /**< of that state */
	uint64_t state_removals; /**< of that state */
};

struct kl_engine {
	kl_engine_settings_t settings;
	const kl_engine_ops_t *ops;
	void *context;
	kl_reader_t *reader;
	uint64_t now_us;
	kl_view_t view; /**< valid inside a call of the engine */
	const void *seen_config;
	const void *seen_terms;
	const void *seen_members;
	uint64_t last_session_number;
	uint64_t last_sweep_us;
	uint64_t drain_until_us; /**< transactions end then; 0: no stop */
	uint64_t refuse_from_us; /**< what waits then is refused; 0: no stop */
	uint32_t client_count;
	kl_engine_counts_t counts;
	CK_LIST_HEAD(, kl_client) clients;
	CK_LIST_HEAD(, kl_client) waiting; /**< looked at by each tick */
	CK_STAILQ_HEAD(, kl_cluster) clusters;
};

/* engine.c */
void kl_engine_enter(kl_engine_t *engine, uint64_t now_us);
void kl_engine_exit(kl_engine_t *engine);
const kl_group_t *kl_engine_find_group(const kl_engine_t *engine,
				       const char *service);
/** Whether a group's primary is proven to be the only one now. */
bool kl_engine_primary_proven(const kl_engine_t *engine,
			      const kl_group_t *group);

/* engine_begin.c */
void kl_client_begin_op(kl_client_t *caller, const kl_parsed_stmt_t *command);

/* engine_caller.c */
int kl_client_check_login(kl_client_t *caller);
/** @return whether the caller is gone */
bool kl_client_answer_login(kl_client_t *caller, int error);
/** Whose the key is now, and whether the route asks for one. */
int kl_client_check_access(const kl_client_t *caller, const char **workspace);
int kl_client_resolve_writes(kl_client_t *caller,
			     const kl_parsed_stmt_t *command);
void kl_client_uncount_waiting(kl_client_t *caller);
kl_bucket_t *kl_client_bucket(const kl_client_t *caller);
void kl_client_refuse(kl_client_t *caller, int error);
void kl_client_complete(kl_client_t *caller);
void kl_client_send_result(kl_client_t *caller,
			   const kl_stmt_result_t *outcome);
void kl_client_end_session(kl_client_t *caller, int error);
void kl_client_recheck(kl_client_t *caller);
void kl_client_wait(kl_client_t *caller, kl_stmt_stage_t stage);
void kl_client_route(kl_client_t *caller);
/** Whether only the primary may run a statement. */
bool kl_client_needs_primary(const kl_client_t *caller);

/* engine_run.c */
void kl_stmt_run(kl_client_t *caller, kl_conn_t *channel);
void kl_stmt_answered(kl_client_t *caller, const kl_stmt_result_t *outcome);
void kl_stmt_conn_lost(kl_client_t *caller);
void kl_stmt_check_deadlines(kl_client_t *caller);

/* engine_place.c */
void kl_endpoints_refresh(kl_engine_t *engine);
kl_cluster_t *kl_cluster_find(kl_engine_t *engine, const char *service);
kl_endpoint_t *kl_endpoint_find(kl_cluster_t *cluster, const char *name);
void kl_endpoint_succeeded(kl_endpoint_t *place);
void kl_endpoint_failed(kl_endpoint_t *place, bool refuses, uint64_t since_us);
/** Count a statement in, and out again. */
void kl_endpoint_stmt_sent(kl_endpoint_t *place);
void kl_endpoint_stmt_done(kl_endpoint_t *place);
/** Take in how long a statement took, beside its latency objective. */
void kl_endpoint_add_latency(kl_endpoint_t *place, uint64_t took_us,
			     uint64_t target_us);
/** Whether nothing was answered for long although something runs. */
bool kl_endpoint_stalled(const kl_endpoint_t *place);
void kl_endpoint_answered(kl_endpoint_t *place, const kl_conn_t *channel,
			  kl_position_t position);
/** Choose where a statement runs. @return NULL if nothing fits now */
kl_endpoint_t *kl_endpoint_choose(const kl_client_t *caller);
void kl_endpoints_free(kl_engine_t *engine);

/* engine_channel.c */
void kl_endpoint_serve_queue(kl_endpoint_t *place);
void kl_endpoint_enqueue(kl_endpoint_t *place, kl_client_t *caller);
void kl_endpoint_dequeue(kl_client_t *caller);
void kl_conn_release(kl_conn_t *channel);
void kl_conn_abandon(kl_conn_t *channel, bool open_transaction);
void kl_conn_close(kl_conn_t *channel);
int kl_conn_send(kl_conn_t *channel, const kl_conn_msg_t *dispatch);
kl_conn_t *kl_conn_find_idle(const kl_endpoint_t *place, const char *workspace);
void kl_conns_sweep(kl_engine_t *engine);

#endif
