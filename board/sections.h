/**
 * @file
 * The types of the blackboard's sections, and of what they contain.
 *
 * Times are microseconds of the node's monotonic clock, log positions are
 * bytes, and rates are statements a second.
 */
#ifndef KL_SECTIONS_H
#define KL_SECTIONS_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/board.h"
#include "board/index.h"

#define KL_HOST_MAX 48	     /**< size of an IP address as text, with NUL */
#define KL_KEY_HASH_BYTES 24 /**< size of a key's hash */

/**
 * Change feeds of the platform's service: sets of objects that are listed and
 * watched together.  A service with a single list uses the first feed only.
 */
typedef enum kl_feed {
	KL_FEED_TERMS,	   /**< groups and VMs; its lists renew leases */
	KL_FEED_SLOTS,	   /**< records of the slots' owners */
	KL_FEED_CONFIG,	   /**< documents written by operators */
	KL_FEED_UPSTREAMS, /**< databases that register themselves */
	KL_FEED_MARKS,	   /**< failure domains being evacuated */
	KL_FEED_COUNT
} kl_feed_t;

/** Name of a feed in log lines, the status and metrics. */
const char *kl_feed_name(kl_feed_t feed);

#define KL_TERM_HISTORY_MAX 16 /**< newest terms kept for a group */

/**
 * The platform's last confirmation that the terms held here are current.  It is
 * this VM's lease on them, which expires some time after confirmed_us.
 */
typedef struct kl_confirmation {
	kl_snapshot_t base;
	uint64_t revision;     /**< confirmed revision of the feed of terms */
	uint64_t confirmed_us; /**< when the confirming request was sent */
} kl_confirmation_t;

/** An object of the platform's service. */
typedef struct kl_object {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_object) link;
	/** Of its last change: the store's era and revision. */
	uint64_t version;
	/**
	 * Orders the contents of one writer across a restore of the store; 0:
	 * not known.  A removed object keeps that of what was removed.
	 */
	uint64_t generation;
	/** That change was stored no earlier than this; 0: not known. */
	uint64_t changed_after_us;
	kl_feed_t feed;
	bool unreadable; /**< it exists, but its contents can't be read */
	/** The store was restored from a copy, and has older contents. */
	bool store_is_behind;
	/**
	 * A group's record: the store lost no later one when it was restored,
	 * since this VM held the newest one under a valid lease then.
	 */
	bool held_under_lease;
	char *body; /**< JSON text; "null" for a removed object */
} kl_object_t;

typedef CK_STAILQ_HEAD(kl_object_list, kl_object) kl_object_list_t;

/** The copy of the platform's objects that this system uses. */
typedef struct kl_objects {
	kl_snapshot_t base;
	uint64_t revision;			/**< sum of feed_revisions */
	uint64_t feed_revisions[KL_FEED_COUNT]; /**< held here, by feed */
	kl_object_list_t list;
	kl_index_t *index;
} kl_objects_t;

/** The limits of a workspace, each over all VMs together. */
typedef struct kl_plan {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_plan) link;
	uint32_t max_connections; /**< open client connections */
	uint64_t rate;		  /**< statements a second */
	uint64_t burst;		  /**< most statements at once */
} kl_plan_t;

struct kl_workspace;

/** A workspace's key, known by its hash only. */
typedef struct kl_key {
	kl_named_t hash;		     /**< in hexadecimal */
	CK_STAILQ_ENTRY(kl_key) link;	     /**< in the workspace's list */
	CK_STAILQ_ENTRY(kl_key) config_link; /**< in the configuration's list */
	char id[KL_NAME_MAX]; /**< name by which operators refer to the key */
	bool withdrawn;	      /**< clients are refused with this key */
	struct kl_workspace *workspace;
} kl_key_t;

/** A customer: the unit that plans, keys and isolation apply to. */
typedef struct kl_workspace {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_workspace) link;
	CK_STAILQ_HEAD(, kl_key) keys;
	const kl_plan_t *plan;
} kl_workspace_t;

struct kl_service;

/** A database of a service's group. */
typedef struct kl_upstream {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_upstream) link;
	char host[KL_HOST_MAX];
	char domain[KL_NAME_MAX];
	uint16_t port;
	bool leaving; /**< registered as leaving, or marked */
	/** It became so no earlier than this; 0: not known. */
	uint64_t leaving_after_us;
	bool registered_primary; /**< according to its registration */
	uint64_t version;	 /**< of its registration; 0: not known */
	/** statements that it executes at once; 0: not known */
	uint32_t execution_slots;
	struct kl_service *service;
} kl_upstream_t;

/** A database service: a group of replicated databases. */
typedef struct kl_service {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_service) link;
	CK_STAILQ_HEAD(, kl_upstream) upstreams;
	uint32_t upstream_count;
	/** Most connections to each database from all VMs together. */
	uint32_t max_upstream_connections;
	/** Replicas that have a commit before it is acknowledged; 0: none. */
	uint32_t sync_replicas;
	bool anonymous;			       /**< clients need no key */
	char anonymous_workspace[KL_NAME_MAX]; /**< whose plan applies */
} kl_service_t;

/** Consistency of the reads on a route. */
typedef enum kl_route_kind {
	KL_ROUTE_PRIMARY, /**< they see every acknowledged write */
	KL_ROUTE_BOUNDED, /**< they see every write older than max_age_ms */
	KL_ROUTE_SESSION, /**< also the writes of their own session */
	KL_ROUTE_KIND_COUNT
} kl_route_kind_t;

/** A database name that clients connect to, and how it is served. */
typedef struct kl_route_rule {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_route_rule) link;
	char service[KL_NAME_MAX];
	kl_route_kind_t kind;
	bool anonymous;		       /**< clients need no key */
	uint32_t max_age_ms;	       /**< staleness bound of a read */
	uint32_t statement_timeout_ms; /**< deadline of a statement */
	uint32_t target_latency_ms;    /**< latency objective of a statement */
	uint32_t priority;	       /**< 0 is the highest */
} kl_route_rule_t;

/** A VM, failure domain or upstream that operators marked as leaving. */
typedef struct kl_mark {
	/**
	 * "vm/NAME", "upstream/NAME", "domain/NAME", or "databases/NAME" for
	 * the databases of a failure domain
	 */
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_mark) link;
	uint64_t set_after_us; /**< it was set no earlier; 0: not known */
} kl_mark_t;

/** The configuration in force. */
typedef struct kl_config {
	kl_snapshot_t base;
	uint64_t revision; /**< of the objects that it was built from */
	uint64_t version;  /**< of the newest object of KL_FEED_CONFIG */
	/** Number of documents whose newest version is invalid. */
	uint32_t refused_document_count;
	/** A transaction that is idle for this long is aborted; 0: never. */
	uint32_t transaction_idle_ms;
	CK_STAILQ_HEAD(, kl_plan) plans;
	CK_STAILQ_HEAD(, kl_workspace) workspaces;
	CK_STAILQ_HEAD(, kl_service) services;
	CK_STAILQ_HEAD(, kl_route_rule) routes;
	CK_STAILQ_HEAD(, kl_mark) marks;
	CK_STAILQ_HEAD(, kl_key) keys;
	kl_index_t *plan_index;
	kl_index_t *workspace_index;
	kl_index_t *service_index;
	kl_index_t *route_index;
	kl_index_t *key_index;
	kl_index_t *mark_index;
} kl_config_t;

/** States of a group in a change of primary. */
typedef enum kl_group_state {
	KL_GROUP_STABLE,    /**< the primary serves its term */
	KL_GROUP_FENCING,   /**< a promoter has the term; older leases expire */
	KL_GROUP_PROMOTING, /**< the candidate to promote is recorded */
	KL_GROUP_STATE_COUNT
} kl_group_state_t;

/** The start of a term in the log. */
typedef struct kl_term_start {
	uint64_t term;
	uint64_t position; /**< first position of the term */
} kl_term_start_t;

/** The recorded state of a service's group of databases. */
typedef struct kl_group {
	kl_named_t name; /**< the service's name */
	CK_STAILQ_ENTRY(kl_group) link;
	uint64_t version; /**< of the record, for conditional updates */
	/**
	 * Rises with each change of the record, and is equal on all VMs; not
	 * changed by a store that is restored from a copy with the same record.
	 */
	uint64_t change;
	uint64_t term; /**< of the primary, or of the failover under way */
	kl_group_state_t state;
	/**
	 * The primary or, while promoting, the candidate; "" while nobody knows
	 * which database leads.
	 */
	char primary[KL_NAME_MAX];
	char promoter[KL_NAME_MAX]; /**< VM that carries the failover out */
	kl_term_start_t history[KL_TERM_HISTORY_MAX]; /**< oldest term first */
	uint32_t history_count;
	uint64_t first_seen_us; /**< when this VM first saw this version */
	uint64_t era; /**< of the store when it was written; 0: not known */
	bool store_is_behind; /**< as in kl_object_t */
	/**
	 * It is from before the store was restored, and a later record may be
	 * lost: it does not show which database leads.
	 */
	bool may_be_outdated;
} kl_group_t;

/** The recorded states of all groups. */
typedef struct kl_terms {
	kl_snapshot_t base;
	uint64_t revision; /**< of the feed of terms that was decoded */
	CK_STAILQ_HEAD(, kl_group) groups;
	kl_index_t *index;
} kl_terms_t;

/** A VM of the system. */
typedef struct kl_member {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_member) link;
	char domain[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;	 /**< UDP port for messages of peers */
	bool registered; /**< its record exists and isn't marked gone */
	/** When its record was first seen marked gone, or 0. */
	uint64_t unregistered_since_us;
	bool leaving; /**< its record says so, or it is marked */
	/** Last message from it that was received before the publication. */
	uint64_t last_message_us;
} kl_member_t;

/** The VMs of the system. */
typedef struct kl_members {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_member) list;
	uint64_t version; /**< rises with each publication */
	uint32_t count;	  /**< VMs in the list */
	/** Those that are not leaving, and registered or this VM. */
	uint32_t active_count;
	kl_index_t *index;
	/** This VM lists and watches the platform's feeds for its domain. */
	bool is_watcher;
	/** The VM of its domain that tells this one of changes, or "". */
	char parent[KL_NAME_MAX];
} kl_members_t;

/** The observed state of a database. */
typedef struct kl_observation {
	kl_named_t name; /**< "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(kl_observation) link;
	bool reported_primary; /**< the database reports that it is primary */
	uint64_t term;	       /**< term that it serves, as reported */
	uint64_t position;     /**< end of its log, as reported, bytes */
	uint64_t sampled_us;   /**< when the probe that it answered was sent */
	/** The database has all data that the primary had at this time. */
	uint64_t caught_up_until_us;
	/** Time of the first failed connect probe since a success, or 0. */
	uint64_t failing_since_us;
	uint32_t consecutive_failures; /**< failed connect probes in a row */
} kl_observation_t;

/** The observed states of all databases. */
typedef struct kl_health {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_observation) list;
	kl_index_t *index;
} kl_health_t;

/** This VM's admission token bucket for a workspace. */
typedef struct kl_bucket {
	kl_named_t name; /**< the workspace's name */
	CK_STAILQ_ENTRY(kl_bucket) link;
	int64_t tokens_milli;	     /**< thousandths of a statement; atomic */
	uint64_t valid_until_us;     /**< no token may be taken later; atomic */
	uint64_t arrived_statements; /**< statements so far; atomic */
	uint64_t refused_statements; /**< statements refused so far; atomic */
	uint64_t waiting_statements; /**< statements that wait for tokens;
					atomic */
	uint64_t open_sessions;	     /**< open client connections; atomic */
	uint64_t max_sessions;	     /**< most sessions on this VM; atomic */
	uint32_t references;	     /**< see kl_bucket_acquire(); atomic */
} kl_bucket_t;

/** Create an empty bucket with one reference. @return NULL: out of memory */
kl_bucket_t *kl_bucket_new(const char *workspace);

/**
 * Take a reference; whoever has one already, or reads the bucket on the board
 * inside a read section, may call this.
 */
kl_bucket_t *kl_bucket_acquire(kl_bucket_t *bucket);

/** Drop a reference, and free the bucket with the last one. */
void kl_bucket_release(kl_bucket_t *bucket);

/** The admission buckets of all workspaces. */
typedef struct kl_buckets {
	kl_snapshot_t base;
	kl_index_t *index; /**< buckets by workspace name */
	uint32_t count;	   /**< entries of buckets */
	kl_bucket_t **buckets;
} kl_buckets_t;

/** Phases of the lifecycle of this process. */
typedef enum kl_phase {
	KL_PHASE_STARTING,
	KL_PHASE_SERVING,
	KL_PHASE_DRAINING,
	KL_PHASE_COUNT
} kl_phase_t;

/** The lifecycle of this process. */
typedef struct kl_lifecycle {
	kl_snapshot_t base;
	kl_phase_t phase;
} kl_lifecycle_t;

/**
 * Log position that a group's primary reported while its lease was valid, to
 * this VM or another.  The log up to it holds every commit that was
 * acknowledged before sampled_us.
 */
typedef struct kl_primary_position {
	kl_named_t name; /**< of the service */
	CK_STAILQ_ENTRY(kl_primary_position) link;
	uint64_t group_change; /**< of the record that names the primary */
	uint64_t term;	       /**< of the log position; 0 if none is known */
	uint64_t number;       /**< of the log position */
	uint64_t sampled_us;   /**< by this VM's clock, never too late */
} kl_primary_position_t;

/** The newest known log position of each service's primary. */
typedef struct kl_positions {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_primary_position) list;
	kl_index_t *index;
} kl_positions_t;

/** Usage reports, as this VM knows them. */
typedef struct kl_usage {
	kl_snapshot_t base;
	char holder[KL_NAME_MAX];  /**< VM that holds the duty, or "" */
	uint64_t token;		   /**< fencing token of the holder */
	uint64_t last_window;	   /**< last one whose report was decided */
	bool is_holder;		   /**< this VM holds the duty */
	uint64_t windows_reported; /**< by this process */
	uint64_t windows_missed;   /**< skipped or not accepted in time */
	uint64_t windows_repeated; /**< calls that repeated a report */
	/** Operations that came too late for the report of their window. */
	uint64_t late_operations;
	/** Messages with counts that were old, or repeated. */
	uint64_t ignored_messages;
} kl_usage_t;

/**
 * The load of a database of another failure domain, as VMs of that domain see
 * it.
 */
typedef struct kl_load {
	kl_named_t name; /**< "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(kl_load) link;
	uint64_t wait_us;	/**< expected wait of a statement; a median */
	uint32_t running;	/**< statements running, as one VM reported */
	uint32_t answers;	/**< answers that the median was taken from */
	uint64_t sampled_us;	/**< by this VM's clock, never too late */
	uint64_t round_trip_us; /**< shortest one to VMs of that domain */
} kl_load_t;

/** The known loads of databases, as other VMs report them. */
typedef struct kl_loads {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_load) list;
	kl_index_t *index;
} kl_loads_t;

/** Create an object with a copy of body. @return NULL when out of memory */
kl_object_t *kl_object_new(const char *name, uint64_t version,
			   const char *body);

/**
 * Copy what identifies an object: its name, version, generation and body.
 *
 * @return NULL when out of memory
 */
kl_object_t *kl_object_copy(const kl_object_t *object);

/** Free an object; NULL is allowed. */
void kl_object_free(kl_object_t *object);

/** Free the objects of a list and leave it empty. */
void kl_object_list_clear(kl_object_list_t *list);

/**
 * Create an empty snapshot.
 *
 * @param expected number of entries to size the indexes for
 * @return NULL when out of memory
 */
kl_objects_t *kl_objects_new(size_t expected);
kl_config_t *kl_config_new(size_t expected);
kl_terms_t *kl_terms_new(size_t expected);
kl_members_t *kl_members_new(size_t expected);
kl_health_t *kl_health_new(size_t expected);
kl_positions_t *kl_positions_new(size_t expected);
kl_loads_t *kl_loads_new(size_t expected);
kl_confirmation_t *kl_confirmation_new(uint64_t revision,
				       uint64_t confirmed_us);
kl_lifecycle_t *kl_lifecycle_new(kl_phase_t phase);
/** Create a copy of a section's contents. */
kl_usage_t *kl_usage_new(const kl_usage_t *contents);

/** Whether operators marked "KIND/NAME" as leaving. */
bool kl_config_marked(const kl_config_t *config, const char *kind,
		      const char *name);

/**
 * Whether operators marked an upstream, or its failure domain, as leaving.
 *
 * @param after_us set to the earliest time at which this can have been; 0: not
 *                 known
 */
bool kl_config_upstream_marked(const kl_config_t *config, const char *upstream,
			       const char *domain, uint64_t *after_us);

/** Find an upstream of a service by name. @return the upstream or NULL */
const kl_upstream_t *kl_service_find_upstream(const kl_service_t *service,
					      const char *name);

/** Find the observed state of an upstream. @return the state or NULL */
const kl_observation_t *kl_health_find(const kl_health_t *health,
				       const char *service,
				       const char *upstream);

#endif
