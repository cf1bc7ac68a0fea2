/**
 * @file
 * The types of the blackboard's sections.
 *
 * Times are microseconds of the node's monotonic clock, log positions are
 * bytes, rates are statements a second.
 */
#ifndef KL_SECTIONS_H
#define KL_SECTIONS_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/board.h"
#include "board/index.h"

#define KL_HOST_MAX 48	     /**< longest IP number as text, with its zero */
#define KL_KEY_HASH_BYTES 24 /**< bytes of a key's hash */
/**
 * Feeds of the platform's service: sets of objects that are listed and watched
 * together.  A service with one list for everything uses the first one only.
 */
typedef enum kl_feed {
	KL_FEED_TERMS,	   /**< records of groups, VMs; confirms the leases */
	KL_FEED_SLOTS,	   /**< owned parts */
	KL_FEED_CONFIG,	   /**< what operators wrote */
	KL_FEED_UPSTREAMS, /**< databases, as they register themselves */
	KL_FEED_MARKS,	   /**< failure domains that are taken out */
	KL_FEED_COUNT
} kl_feed_t;

#define KL_TERM_HISTORY_MAX 16 /**< newest terms kept of a group's history */

/** When the platform last confirmed the revision this node holds. */
typedef struct kl_confirmation {
	kl_snapshot_t base;
	uint64_t revision;
	uint64_t confirmed_us; /**< when the confirming question was asked */
} kl_confirmation_t;

/** One object of the platform's service. */
typedef struct kl_object {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_object) link;
	uint64_t version; /**< revision of its last change */
	kl_feed_t feed;
	char *body; /**< JSON text; "null" for a removed object */
} kl_object_t;

typedef CK_STAILQ_HEAD(kl_object_list, kl_object) kl_object_list_t;

/** Every object of the platform that concerns this system. */
typedef struct kl_objects {
	kl_snapshot_t base;
	uint64_t revision;			/**< sum of the feeds' ones */
	uint64_t feed_revisions[KL_FEED_COUNT]; /**< revision held of each feed
						 */
	kl_object_list_t list;
	kl_index_t *index;
} kl_objects_t;

/** What a plan may use. */
typedef struct kl_plan {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_plan) link;
	uint32_t max_connections; /**< over all VMs together */
	uint64_t rate;		  /**< statements a second over all VMs */
	uint64_t burst;		  /**< statements */
} kl_plan_t;

struct kl_workspace;

/** A key: only its hash is known. */
typedef struct kl_key {
	kl_named_t hash; /**< hexadecimal */
	CK_STAILQ_ENTRY(kl_key) link;
	CK_STAILQ_ENTRY(kl_key) config_link;
	char id[KL_NAME_MAX];
	bool withdrawn;
	struct kl_workspace *workspace;
} kl_key_t;

/** A customer: the unit of plans, keys and isolation. */
typedef struct kl_workspace {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_workspace) link;
	CK_STAILQ_HEAD(, kl_key) keys;
	const kl_plan_t *plan;
} kl_workspace_t;

struct kl_service;

/** One database of a service's group. */
typedef struct kl_upstream {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_upstream) link;
	char host[KL_HOST_MAX];
	char domain[KL_NAME_MAX];
	uint16_t port;
	bool leaving;		 /**< itself or its failure domain is marked */
	bool registered_primary; /**< it registered itself as primary */
	struct kl_service *service;
} kl_upstream_t;

/** A database service: one group of replicated databases. */
typedef struct kl_service {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_service) link;
	CK_STAILQ_HEAD(, kl_upstream) upstreams;
	uint32_t upstream_count;
	uint32_t upstream_connections; /**< scarce: of each database, over all
					  VMs */
	bool anonymous; /**< route open to all: no key is asked for */
	char anonymous_workspace[KL_NAME_MAX]; /**< whose plan open callers use
						*/
} kl_service_t;

/** What reads on a route must see. */
typedef enum kl_route_kind {
	KL_ROUTE_PRIMARY, /**< every acknowledged write */
	KL_ROUTE_BOUNDED, /**< every write older than the stated age */
	KL_ROUTE_SESSION, /**< the same, and the session's own writes */
	KL_ROUTE_KIND_COUNT
} kl_route_kind_t;

/** What callers name as their database, and how it is served. */
typedef struct kl_route_rule {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_route_rule) link;
	char service[KL_NAME_MAX];
	kl_route_kind_t kind;
	bool anonymous;		       /**< no key is asked for */
	uint32_t max_age_ms;	       /**< of the data that a read sees */
	uint32_t statement_timeout_ms; /**< of one statement */
	uint32_t target_latency_ms;    /**< latency objective of an operation */
	uint32_t priority;	       /**< 0 is the highest */
} kl_route_rule_t;

/** A VM, failure domain or upstream that operators marked as leaving. */
typedef struct kl_mark {
	kl_named_t name; /**< "vm/NAME", "domain/NAME" or "upstream/NAME" */
	CK_STAILQ_ENTRY(kl_mark) link;
} kl_mark_t;

/** The configuration in force. */
typedef struct kl_config {
	kl_snapshot_t base;
	uint64_t revision;
	uint32_t refused_documents; /**< documents whose last good form stays */
	uint32_t transaction_idle_ms; /**< an idle one is ended, 0: never */
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

/** States of a group's change of primary. */
typedef enum kl_group_state {
	KL_GROUP_STABLE,    /**< the primary serves its term */
	KL_GROUP_FENCING,   /**< the term is won; older proofs run out */
	KL_GROUP_PROMOTING, /**< the candidate is chosen and recorded */
	KL_GROUP_STATE_COUNT
} kl_group_state_t;

/** Where a term began in the log. */
typedef struct kl_term_start {
	uint64_t term;
	uint64_t position; /**< first position of the term */
} kl_term_start_t;

/** The recorded state of a service's database group. */
typedef struct kl_group {
	kl_named_t name; /**< the service's name */
	CK_STAILQ_ENTRY(kl_group) link;
	uint64_t version; /**< for conditional updates */
	uint64_t term;
	kl_group_state_t state;
	char primary[KL_NAME_MAX];  /**< of the term, or the candidate */
	char promoter[KL_NAME_MAX]; /**< VM that won the term */
	kl_term_start_t history[KL_TERM_HISTORY_MAX];
	uint32_t history_count;
	uint64_t first_seen_us; /**< when this VM first saw this state */
} kl_group_t;

/** Every group's recorded state. */
typedef struct kl_terms {
	kl_snapshot_t base;
	uint64_t revision;
	CK_STAILQ_HEAD(, kl_group) groups;
	kl_index_t *index;
} kl_terms_t;

/** A VM of the system. */
typedef struct kl_member {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_member) link;
	char domain[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;		  /**< peers' UDP port */
	bool registered;	  /**< the platform lists it */
	uint64_t unregistered_us; /**< it was taken off the list then, or 0 */
	bool leaving;		  /**< listed as leaving, or marked */
	uint64_t last_message_us; /**< last message from it when published */
} kl_member_t;

/** Who takes part. */
typedef struct kl_members {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_member) list;
	uint64_t version; /**< rises with each publication */
	uint32_t count;
	uint32_t active_count; /**< listed and not leaving, this VM included */
	kl_index_t *index;
	bool watcher; /**< this VM asks the platform for its domain */
} kl_members_t;

/** What is known of one database. */
typedef struct kl_observation {
	kl_named_t name; /**< "SERVICE/UPSTREAM" */
	CK_STAILQ_ENTRY(kl_observation) link;
	bool primary;	     /**< it says that it is */
	uint64_t term;	     /**< it says that it serves */
	uint64_t position;   /**< it says that it holds */
	uint64_t sampled_us; /**< when the answered question was asked */
	uint64_t
		caught_up_us; /**< the replica holds all the primary had then */
	uint64_t failing_since_us; /**< first failure since the last success, or
				      0 */
	uint32_t consecutive_failures;
} kl_observation_t;

/** What is known of the databases. */
typedef struct kl_health {
	kl_snapshot_t base;
	CK_STAILQ_HEAD(, kl_observation) list;
	kl_index_t *index;
} kl_health_t;

/** This VM's admission bucket of one workspace. */
typedef struct kl_bucket {
	kl_named_t name;
	CK_STAILQ_ENTRY(kl_bucket) link;
	int64_t tokens_milli;	 /**< thousandths of a statement; atomic */
	uint64_t valid_until_us; /**< microseconds; atomic */
	uint64_t arrived;	 /**< statements that came; atomic */
	uint64_t refused;	 /**< of them refused here; atomic */
	uint64_t waiting;	 /**< of them waiting for tokens; atomic */
	uint64_t sessions;	 /**< open client connections; atomic */
	uint64_t session_cap;	 /**< this VM's part of them; atomic */
	uint32_t references;	 /**< snapshots that hold it; control thread */
} kl_bucket_t;

/** Index of the admission buckets. */
typedef struct kl_buckets {
	kl_snapshot_t base;
	kl_index_t *index;
	uint32_t count;
	kl_bucket_t **buckets;
} kl_buckets_t;

/** Phases of this VM's life. */
typedef enum kl_phase {
	KL_PHASE_STARTING,
	KL_PHASE_SERVING,
	KL_PHASE_DRAINING,
	KL_PHASE_COUNT
} kl_phase_t;

/** This VM's life. */
typedef struct kl_lifecycle {
	kl_snapshot_t base;
	kl_phase_t phase;
} kl_lifecycle_t;

/** Create an object with a copy of its body. @return NULL on no memory */
kl_object_t *kl_object_new(const char *name, uint64_t version,
			   const char *body);

/** Free one object. */
void kl_object_free(kl_object_t *object);

/** Free a list's objects and leave it empty. */
void kl_object_list_clear(kl_object_list_t *list);

/** Create empty snapshots of each type; NULL when out of memory. */
kl_objects_t *kl_objects_new(size_t expected);
kl_config_t *kl_config_new(size_t expected);
kl_terms_t *kl_terms_new(size_t expected);
kl_members_t *kl_members_new(size_t expected);
kl_health_t *kl_health_new(size_t expected);
kl_confirmation_t *kl_confirmation_new(uint64_t revision,
				       uint64_t confirmed_us);
kl_lifecycle_t *kl_lifecycle_new(kl_phase_t phase);

/** Whether operators marked "KIND/NAME" as leaving. */
bool kl_config_marked(const kl_config_t *config, const char *kind,
		      const char *name);

/** Find an upstream of a service. @return NULL if there is none */
const kl_upstream_t *kl_service_find_upstream(const kl_service_t *service,
					      const char *name);

/** Find what is known of an upstream. @return NULL if nothing is */
const kl_observation_t *kl_health_find(const kl_health_t *health,
				       const char *service,
				       const char *upstream);

#endif
