/**
 * @file
 * What the files of the engine share.
 */
#ifndef KL_ENGINE_INTERNAL_H
#define KL_ENGINE_INTERNAL_H

#include "path/engine.h"
#include "path/session_state.h"

/** Where a caller's statement stands. */
typedef enum kl_run_stage {
	KL_RUN_NONE,
	KL_RUN_LOGIN,	/**< waits for a configuration to check it by */
	KL_RUN_TOKENS,	/**< waits for tokens */
	KL_RUN_ROUTE,	/**< waits for an upstream that fits */
	KL_RUN_CHANNEL, /**< waits for a connection */
	KL_RUN_SETUP,	/**< its connection gets the session's state */
	KL_RUN_SENT,	/**< runs */
	KL_RUN_COUNT
} kl_run_stage_t;

/** What a pooled connection is doing. */
typedef enum kl_channel_stage {
	KL_CHANNEL_OPENING,
	KL_CHANNEL_IDLE,
	KL_CHANNEL_LEASED, /**< belongs to a caller */
	KL_CHANNEL_ASKING, /**< asks for the position */
	KL_CHANNEL_COUNT
} kl_channel_stage_t;

/** A route as it was when an operation began. */
typedef struct kl_terms_of_route {
	char service[KL_NAME_MAX];
	kl_route_kind_t kind;
	uint64_t max_age_us;
	uint64_t timeout_us;
	uint64_t target_us;
} kl_terms_of_route_t;

/** An upstream, as requests find it. */
typedef struct kl_place {
	CK_STAILQ_ENTRY(kl_place) link;
	struct kl_cluster *cluster;
	char name[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	char domain[KL_NAME_MAX];
	uint16_t port;
	bool present;	  /**< to be used */
	uint64_t gone_us; /**< no longer registered since then, or 0 */
	bool leaving;
	uint64_t leaving_us; /**< since when, or 0 */
	uint32_t cap;	     /**< connections that this VM may open now */
	uint32_t part;	     /**< the same, if every VM has as many */
	uint32_t most;	     /**< if every other VM has the least */
	uint64_t grown_us;   /**< when the cap last changed */
	uint64_t limited_us; /**< the database had too many then */
	uint32_t open;
	uint32_t running;	 /**< statements sent and not answered */
	uint32_t window;	 /**< statements that may run at once */
	uint32_t window_answers; /**< since the window last grew */
	uint64_t latency_us;	 /**< smoothed, of a statement */
	uint64_t narrowed_us;	 /**< when the window last shrank */
	uint64_t progress_us;	 /**< last answer, or first of what runs */
	bool doubted;		 /**< an answer is overdue: to be asked */
	uint32_t waiting;	 /**< statements that wait for a connection */
	uint64_t queued_us;	 /**< statements waited long then */
	uint64_t refused_us;	 /**< a connection was refused then */
	uint64_t failing_us;	 /**< since when all fails, or 0 */
	uint64_t tried_us;	 /**< last failure */
	bool refuses;		 /**< nobody listens there */
	uint64_t lagging_us;	 /**< it lacked a position then */
	uint64_t position_us;	 /**< when the position was heard */
	kl_position_t position;
	CK_STAILQ_HEAD(, kl_channel) channels;
	CK_STAILQ_HEAD(, kl_caller) queue; /**< in the order of coming */
} kl_place_t;

/** A service's group of databases. */
typedef struct kl_cluster {
	CK_STAILQ_ENTRY(kl_cluster) link;
	kl_engine_t *engine;
	char name[KL_NAME_MAX];
	uint64_t version; /**< of the record that the points belong to */
	uint64_t used_us; /**< last statement */
	char workspace[KL_NAME_MAX]; /**< of that statement */
	kl_points_t points;
	kl_position_t newest_term; /**< first position seen of it */
	CK_STAILQ_HEAD(, kl_place) places;
} kl_cluster_t;

/** A caller's statement on its way. */
typedef struct kl_run {
	kl_run_stage_t stage;
	char *id;
	char *text;
	kl_verb_t verb;
	bool writes;
	bool on_primary; /**< it was sent to the primary of the record */
	uint64_t came_us;
	uint64_t wait_until_us;	 /**< not sent by then: refused */
	uint64_t queue_until_us; /**< no connection by then: refused */
	uint64_t deadline_us;
	uint64_t retry_us; /**< not tried again before */
	uint64_t sent_us;
	uint64_t version; /**< of the group's record when it was sent */
	kl_position_t since;
	uint32_t tries;
	kl_place_t *place;
	kl_place_t *avoid;
	int last_error;	   /**< of the last try */
	bool counted;	   /**< among those that wait for tokens */
	bool admitted;	   /**< it has its tokens */
	uint64_t asked_us; /**< it first asked for them then, or 0 */
} kl_run_t;

/** A caller's session. */
struct kl_caller {
	CK_LIST_ENTRY(kl_caller) link;
	CK_STAILQ_ENTRY(kl_caller) queued;  /**< at a place */
	CK_LIST_ENTRY(kl_caller) looked_at; /**< by the next tick */
	bool looks;
	kl_engine_t *engine;
	void *front;
	uint64_t number;
	char database[KL_NAME_MAX];
	char workspace[KL_NAME_MAX];
	char key_hash[2 * KL_KEY_HASH + 1];
	kl_session_state_t state;
	bool counted; /**< among its workspace's sessions */
	char transaction;
	bool reads_only;	/**< the open transaction */
	bool wrote;		/**< the open transaction */
	uint64_t begun_version; /**< of the record, when it was begun */
	uint64_t idle_us;	/**< since when no statement runs */
	kl_terms_of_route_t route;
	kl_position_t written; /**< end of the session's own writes */
	char written_at[KL_NAME_MAX];
	kl_channel_t *channel;
	kl_run_t run;
};

/** A pooled connection; it belongs to one workspace. */
struct kl_channel {
	CK_STAILQ_ENTRY(kl_channel) link;
	kl_place_t *place;
	void *handle;
	char workspace[KL_NAME_MAX];
	kl_channel_stage_t stage;
	kl_caller_t *caller;
	uint64_t since_us; /**< of the stage */
	uint64_t sent_us;  /**< of the outstanding statement */
	bool asks;	   /**< ASKING for the position, not ending unheard */
	bool proven;	   /**< the primary's lease held when it was sent */
	uint32_t setups;   /**< answers that belong to no caller's statement */
	uint64_t holder;   /**< number of the session whose state it has */
	uint64_t version;  /**< of that state */
	uint64_t removed;  /**< of that state */
};

struct kl_engine {
	kl_engine_settings_t settings;
	const kl_engine_ops_t *ops;
	void *context;
	kl_reader_t *reader;
	uint64_t now;
	kl_scene_t scene; /**< valid inside a call of the engine */
	const void *seen_config;
	const void *seen_terms;
	const void *seen_members;
	uint64_t numbers;
	uint64_t tidied_us;
	uint64_t drain_until_us; /**< transactions end then; 0: no stop */
	uint64_t refuse_from_us; /**< what waits then is refused; 0: no stop */
	uint32_t callers;
	kl_engine_counts_t counts;
	CK_LIST_HEAD(, kl_caller) list;
	CK_LIST_HEAD(, kl_caller) waiting; /**< looked at by each tick */
	CK_STAILQ_HEAD(, kl_cluster) clusters;
};

/* engine.c */
void kl_engine_enter(kl_engine_t *engine, uint64_t now_us);
void kl_engine_leave(kl_engine_t *engine);
const kl_group_t *kl_engine_group(const kl_engine_t *engine,
				  const char *service);
/** Whether a group's primary is proven to be the only one now. */
bool kl_engine_proven(const kl_engine_t *engine, const kl_group_t *group);

/* engine_begin.c */
void kl_caller_begin(kl_caller_t *caller, const kl_command_t *command);

/* engine_caller.c */
int kl_caller_log_in(kl_caller_t *caller);
/** @return whether the caller is gone */
bool kl_caller_answer_login(kl_caller_t *caller, int error);
/** Whose the key is now, and whether the route asks for one. */
int kl_caller_check_access(const kl_caller_t *caller, const char **workspace);
int kl_caller_take_prepared(kl_caller_t *caller, const kl_command_t *command);
void kl_caller_stop_counting(kl_caller_t *caller);
kl_bucket_t *kl_caller_bucket(const kl_caller_t *caller);
void kl_caller_refuse(kl_caller_t *caller, int error);
void kl_caller_done(kl_caller_t *caller);
void kl_caller_pass(kl_caller_t *caller, const kl_outcome_t *outcome);
void kl_caller_end(kl_caller_t *caller, int error);
void kl_caller_look_again(kl_caller_t *caller);
void kl_caller_wait(kl_caller_t *caller, kl_run_stage_t stage);
void kl_caller_route(kl_caller_t *caller);
/** Whether only the primary may run a statement. */
bool kl_caller_needs_primary(const kl_caller_t *caller);

/* engine_run.c */
void kl_run_on(kl_caller_t *caller, kl_channel_t *channel);
void kl_run_answered(kl_caller_t *caller, const kl_outcome_t *outcome);
void kl_run_lost(kl_caller_t *caller);
void kl_run_overdue(kl_caller_t *caller);

/* engine_place.c */
void kl_places_refresh(kl_engine_t *engine);
kl_cluster_t *kl_cluster_of(kl_engine_t *engine, const char *service);
kl_place_t *kl_place_of(kl_cluster_t *cluster, const char *name);
void kl_place_good(kl_place_t *place);
void kl_place_bad(kl_place_t *place, bool refuses, uint64_t since_us);
/** Count a statement in, and out again. */
void kl_place_sent(kl_place_t *place);
void kl_place_done(kl_place_t *place);
/** Take in how long a statement took, beside its latency objective. */
void kl_place_took(kl_place_t *place, uint64_t took_us, uint64_t target_us);
/** Whether nothing was answered for long although something runs. */
bool kl_place_stalled(const kl_place_t *place);
void kl_place_answered(kl_place_t *place, const kl_channel_t *channel,
		       kl_position_t position);
/** Choose where a statement runs. @return NULL if nothing fits now */
kl_place_t *kl_place_choose(const kl_caller_t *caller);
void kl_places_free(kl_engine_t *engine);

/* engine_channel.c */
void kl_place_serve(kl_place_t *place);
void kl_place_enqueue(kl_place_t *place, kl_caller_t *caller);
void kl_place_dequeue(kl_caller_t *caller);
void kl_channel_release(kl_channel_t *channel);
void kl_channel_abandon(kl_channel_t *channel, bool open_transaction);
void kl_channel_drop(kl_channel_t *channel);
int kl_channel_send(kl_channel_t *channel, const kl_dispatch_t *dispatch);
kl_channel_t *kl_channel_idle(const kl_place_t *place, const char *workspace);
void kl_channels_tidy(kl_engine_t *engine);

#endif
