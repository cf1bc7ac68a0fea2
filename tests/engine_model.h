/**
 * @file
 * Test harness for the request engine: a virtual clock, simulated databases,
 * simulated clients, and a blackboard whose contents a script sets.
 */
#ifndef KL_ENGINE_MODEL_H
#define KL_ENGINE_MODEL_H

#include "path/engine.h"

/** Most databases of a script; also most routes, keys, buckets and loads. */
#define MODEL_ITEMS_MAX 16

/** The service of databases and routes for which a script names none. */
#define MODEL_SERVICE "s"

typedef struct model_conn model_conn_t;

/** A simulated database. */
typedef struct model_db {
	char name[KL_NAME_MAX];
	char service[KL_NAME_MAX];
	char domain[KL_NAME_MAX]; /**< failure domain */
	bool primary;		  /**< accepts writes */
	bool down;    /**< refuses connections and breaks open ones */
	bool silent;  /**< accepts everything and answers nothing */
	bool leaving; /**< its registration says that it is shutting down */
	uint64_t leaving_since_us;
	bool absent;	/**< missing from the registry */
	uint32_t slots; /**< statements and handshakes processed at once */
	uint32_t busy_slots;
	uint32_t queue_max; /**< statements that wait for a slot; 0: any */
	uint32_t queue_length;
	uint64_t statements_refused; /**< for lack of room in that queue */
	uint32_t max_connections;
	uint32_t open_connections;
	uint32_t foreign_connections; /**< held by other VMs */
	uint64_t statement_us;	      /**< run time of one statement */
	uint64_t lag_us;	      /**< replication delay, if a replica */
	uint32_t answers_to_lose; /**< next answers whose connection breaks */
	uint64_t term;
	/** published as the wait that VMs of its domain see there */
	uint64_t figure_wait_us;
	uint64_t figure_sampled_us; /**< of that wait; 0: there is none */
	bool has_figure;	    /**< it is sampled again and again */
	uint64_t statements_run;
	uint64_t connections_accepted;
	uint64_t connections_rejected; /**< because of max_connections */
	CK_STAILQ_HEAD(, model_event) slot_queue; /**< waiting for a slot */
} model_db_t;

/** A mark that takes the databases of a failure domain out of service. */
typedef struct model_mark {
	char domain[KL_NAME_MAX];
	bool set;
	uint64_t set_at_us;   /**< acknowledged to the operator */
	uint64_t known_at_us; /**< earliest time that the VM knows, or 0 */
} model_mark_t;

/** A steady load of single statements, each in a session of its own. */
typedef struct model_load {
	char name[KL_NAME_MAX];
	char route[KL_NAME_MAX];
	char key[KL_NAME_MAX];
	char text[32];	      /**< the statement */
	uint64_t interval_us; /**< between the starts of two statements */
	uint64_t next_start_at_us;
	uint64_t end_at_us;
	uint64_t target_us; /**< latency objective, microseconds */
	/** Statements started; answered within the objective; answered later;
	 *  refused without having run; ended with an unknown outcome. */
	uint64_t started, within_target, late, refused, unknown;
	uint64_t longest_refusal_us; /**< longest time until a refusal */
} model_load_t;

/** The state of one script's run. */
typedef struct model {
	uint64_t now_us; /**< virtual clock */
	kl_board_t *board;
	kl_reader_t *writer; /**< publishes to the blackboard */
	kl_engine_t *engine;
	kl_engine_settings_t settings; /**< of the engine */
	bool trace; /**< print statements sent and health reports */
	/** arguments of the "route" steps; an empty name: it was dropped */
	char routes[MODEL_ITEMS_MAX][7][KL_NAME_MAX];
	char route_services[MODEL_ITEMS_MAX][KL_NAME_MAX];
	uint32_t route_count;
	/** workspace and key; no workspace: the key is withdrawn */
	char keys[MODEL_ITEMS_MAX][2][KL_NAME_MAX];
	uint32_t key_count;
	uint32_t vm_count; /**< VMs among which connections are divided */
	/** of MODEL_SERVICE; that of another one is its database with "primary"
	 */
	char recorded_primary[KL_NAME_MAX];
	bool fencing;  /**< state of the group's record; else it is stable */
	bool outdated; /**< a later record may be lost */
	model_mark_t marks[MODEL_ITEMS_MAX];
	uint32_t mark_count;
	bool lease_held; /**< confirmations of the group record are published */
	bool draining;
	uint64_t record_version;     /**< of the group record */
	uint64_t store_era;	     /**< rises when the store is restored */
	uint64_t positions_reported; /**< calls of report_position() */
	uint64_t positions_needed;   /**< the same without a position */
	uint64_t operations_counted; /**< calls of count_operation() */
	uint64_t loads_reported;     /**< calls of report_load() */
	uint64_t loads_needed;	     /**< those that need other domains' */
	model_db_t dbs[MODEL_ITEMS_MAX];
	uint32_t db_count;
	model_load_t loads[MODEL_ITEMS_MAX];
	uint32_t load_count;
	kl_bucket_t *buckets[MODEL_ITEMS_MAX];
	uint32_t bucket_count;
	CK_STAILQ_HEAD(, model_conn) conns;
	CK_STAILQ_HEAD(, model_event) events; /**< scheduled for later */
	uint64_t last_commit;		/**< number of the newest commit */
	uint64_t commit_times_us[4096]; /**< by commit number */
} model_t;

model_t *model_new(void);
void model_free(model_t *model);

/** Replace the engine by one with the model's settings; no client is there. */
void model_restart_engine(model_t *model);

/** Advance the virtual clock, one millisecond a step. */
void model_run(model_t *model, uint64_t ms);

/** Publish a confirmation of the group record, if the lease is held. */
void model_confirm(model_t *model);

/* engine_board.c: each publishes sections from the state above. */
void model_publish_config(model_t *model);
void model_publish_terms(model_t *model);
void model_publish_buckets(model_t *model);
/** Publish the primary's log position as another VM sampled it. */
void model_publish_position(model_t *model, uint64_t age_us);

/** Publish the figures of databases in other domains, as they are now. */
void model_publish_loads(model_t *model);

/* engine_look.c */
/** Print the results of all loads and statistics of all databases. */
void model_report(const model_t *model);
/** Print sessions, connections, counts, priorities, operations or spill. */
void model_show(const model_t *model, const char *what);

/** Number of commits made up to a time, microseconds. */
uint64_t model_commits_at(const model_t *model, uint64_t time_us);

/** Find a database by name. @return NULL if there is none */
model_db_t *model_db(model_t *model, const char *name);

/** Open the session of a client that the script controls by its name. */
void *model_client_login(model_t *model, const char *name, const char *route,
			 const char *key);

/** Send a statement of a client. */
void model_client_query(model_t *model, const char *name, const char *id,
			const char *text);

/** Send a statement of a client, behind those that are not answered yet. */
void model_client_send(const char *name, const char *id, const char *text);

/** Disconnect a client. */
void model_client_leave(model_t *model, const char *name);

#endif
