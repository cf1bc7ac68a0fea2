/**
 * @file
 * One VM's control side: the table of controllers, driven by events.
 *
 * Controllers touch the blackboard alone.  Time, chance and outgoing messages
 * come through kl_node_ops_t, a table of function pointers, so that the daemon
 * and the scripted runs drive the same decisions.
 */
#ifndef KL_NODE_H
#define KL_NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "board/sections.h"
#include "control/peer_message.h"
#include "kumquatloft/kind.h"

#define KL_MS 1000ull	       /**< microseconds */
#define KL_SEC 1000000ull      /**< microseconds */
#define KL_PROBERS_PER_GROUP 5 /**< VMs that watch over one group */

/** The controllers, in the order in which data flows. */
typedef enum kl_controller_id {
	KL_CONTROLLER_SYNC,
	KL_CONTROLLER_CONFIG,
	KL_CONTROLLER_MEMBER,
	KL_CONTROLLER_TERMS,
	KL_CONTROLLER_HEALTH,
	KL_CONTROLLER_FAILOVER,
	KL_CONTROLLER_PROMOTE,
	KL_CONTROLLER_SHARE,
	KL_CONTROLLER_DRAIN,
	KL_CONTROLLER_COUNT
} kl_controller_id_t;

/** What can happen. */
typedef enum kl_event_kind {
	KL_EVENT_TICK,		  /**< time has passed */
	KL_EVENT_PEER,		  /**< a message from another VM */
	KL_EVENT_PLATFORM,	  /**< an answer of the platform */
	KL_EVENT_DATABASE,	  /**< an answer of a database */
	KL_EVENT_REQUEST_WAITING, /**< a request waits: look now */
	KL_EVENT_SERVICE_USED,	  /**< callers use a service here */
	KL_EVENT_STOP,		  /**< a planned stop begins */
	KL_EVENT_PASSIVE_CHECK,	  /**< what requests met at an upstream */
	KL_EVENT_COUNT
} kl_event_kind_t;

/** Calls of the platform's object API. */
typedef enum kl_platform_op {
	KL_PLATFORM_LIST,    /**< objects changed since a revision, at once */
	KL_PLATFORM_WATCH,   /**< the same, waiting for a change */
	KL_PLATFORM_PUT,     /**< conditional update */
	KL_PLATFORM_GET,     /**< one object */
	KL_PLATFORM_PROMOTE, /**< name a service's next primary */
	KL_PLATFORM_OP_COUNT
} kl_platform_op_t;

/** One call of the platform. */
typedef struct kl_platform_call {
	kl_platform_op_t op;
	kl_controller_id_t owner; /**< whom the answer goes to */
	uint64_t sent_us;
	kl_feed_t feed;		 /**< list, watch */
	uint64_t since_revision; /**< list, watch: revision held */
	char name[KL_NAME_MAX];	 /**< put, get; promote: the service */
	uint64_t version;	 /**< put: 0 to create; promote: the term */
	const char *body;	 /**< put: JSON text; promote: the upstream */
} kl_platform_call_t;

/** The platform's answer. */
typedef struct kl_platform_answer {
	kl_platform_op_t op;
	kl_controller_id_t owner;
	/**
	 * 0, -KL_E_CONFLICT, -KL_E_STALE_CONFIG for a history that is gone, or
	 * -KL_E_UNAVAILABLE for an unknown outcome.
	 */
	int error;
	kl_feed_t feed;
	bool full; /**< the objects are all there are in the feed */
	uint64_t call_sent_us;
	uint64_t revision;
	char name[KL_NAME_MAX];
	kl_object_list_t *objects; /**< the receiver may take entries off */
} kl_platform_answer_t;

/** Control calls of a database. */
typedef enum kl_database_op {
	KL_DATABASE_STATUS,
	KL_DATABASE_SEAL,    /**< refuse terms below the given one */
	KL_DATABASE_PROMOTE, /**< become primary of the term */
	KL_DATABASE_FOLLOW,  /**< become a replica in the term */
	KL_DATABASE_OP_COUNT
} kl_database_op_t;

/** One control call of a database. */
typedef struct kl_database_call {
	kl_database_op_t op;
	kl_controller_id_t owner;
	bool new_connection; /**< over a new connection */
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	uint64_t term;
	uint64_t sent_us;
} kl_database_call_t;

/** A database's answer: the call again, and its state. */
typedef struct kl_database_answer {
	kl_database_call_t call;
	int error;
	bool primary;
	uint64_t term;	   /**< it serves */
	uint64_t min_term; /**< lowest term it still accepts */
	uint64_t position; /**< end of its log */
	uint64_t log_term; /**< in which that position was written */
} kl_database_answer_t;

/** What requests met at an upstream. */
typedef struct kl_passive_check {
	const char *service;
	const char *upstream;
	uint64_t failing_since_us; /**< since when all fail, or 0 */
	bool refuses_connections;  /**< it refuses connections */
} kl_passive_check_t;

/** One thing that happened. */
typedef struct kl_event {
	kl_event_kind_t kind;
	const kl_peer_message_t *peer;
	kl_platform_answer_t *platform;
	const kl_database_answer_t *database;
	const char *service; /**< interest */
	const kl_passive_check_t *passive_check;
} kl_event_t;

/** A decision, for the log. */
typedef struct kl_decision {
	const char *name;
	const char *request; /**< the caller's name for it, or NULL */
	const char *workspace;
	const char *service;
	const char *upstream;
	const char *reason;
	uint64_t term;
	uint64_t position;
	uint64_t age_us;
} kl_decision_t;

/** Everything a controller reaches beyond the blackboard. */
typedef struct kl_node_ops {
	uint64_t (*now_us)(void *context);
	uint32_t (*random)(void *context);
	void (*send_to_peer)(void *context, const char *vm, const char *host,
			     uint16_t port, const kl_peer_message_t *message);
	void (*call_platform)(void *context, const kl_platform_call_t *call);
	void (*call_database)(void *context, const kl_database_call_t *call);
	void (*log_decision)(void *context, const kl_decision_t *decision);
} kl_node_ops_t;

/** Who this VM is. */
typedef struct kl_identity {
	char vm[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	uint64_t incarnation; /**< rises with each start */
} kl_identity_t;

/** Times and counts of the control side; microseconds. */
typedef struct kl_tuning {
	uint64_t confirm_interval_us; /**< between two confirmations asked */
	uint64_t hello_interval_us;   /**< between two messages to peers */
	uint64_t lease_duration_us; /**< a confirmation proves a term so long */
	uint64_t probe_interval_us; /**< between probes over new connections */
	uint64_t position_interval_us; /**< between position probes under demand
					*/
	uint64_t suspect_after_us;     /**< failing this long is suspicious */
	uint64_t slot_lease_us;	  /**< owned parts stay usable unconfirmed */
	uint64_t min_downtime_us; /**< a process is down at least so long before
				the next one starts at its address */
	uint64_t
		catch_up_timeout_us; /**< a planned change waits for replicas */
	uint32_t slot_count;	     /**< owned parts of every limit */
	uint32_t watchers_per_domain; /**< VMs of a domain that ask the platform
					 for it */
	uint32_t feed_count;	      /**< of the platform's service in use */
	bool platform_promotes; /**< databases don't take promotion calls */
} kl_tuning_t;

/** Seeds: peers to ask before any list is known. */
typedef struct kl_seed {
	CK_SLIST_ENTRY(kl_seed) link;
	char host[KL_HOST_MAX];
	uint16_t port;
} kl_seed_t;

typedef CK_SLIST_HEAD(, kl_seed) kl_seed_list_t;

/** One VM's control side. */
typedef struct kl_node {
	kl_identity_t self;
	kl_tuning_t tuning;
	kl_seed_list_t seeds;
	const kl_node_ops_t *ops;
	void *ops_context;
	kl_board_t *board;
	kl_reader_t *reader;
	uint64_t started_us;	/**< when this process began */
	uint64_t waiting_count; /**< bumped by workers that wait for a position
				 */
	uint64_t published_sections; /**< sections published since the last
					event, bits */
	void *state[KL_CONTROLLER_COUNT];
} kl_node_t;

/** One row of the table of controllers. */
typedef struct kl_controller {
	const char *name;
	uint32_t wake_events;	/**< bits of kl_event_kind_t */
	uint32_t wake_sections; /**< bits of kl_section_t that wake it */
	int output_section;	/**< its kl_section_t, or -1 */
	int (*create)(kl_node_t *node);
	void (*step)(kl_node_t *node, const kl_event_t *event);
	void (*destroy)(kl_node_t *node);
} kl_controller_t;

/** Fill in the usual times. */
void kl_tuning_default(kl_tuning_t *tuning);

/** Time a promoter waits: every older proof has run out by then. */
uint64_t kl_fencing_delay_us(const kl_tuning_t *tuning);

/**
 * Set up the controllers.
 *
 * @param node with self, tuning, seeds, outlet and context filled in
 * @return 0 or -KL_E_NOMEM
 */
int kl_node_start(kl_node_t *node);

/** Run the controllers that the event concerns. */
void kl_node_step(kl_node_t *node, const kl_event_t *event);

/** Free the controllers and the blackboard. */
void kl_node_stop(kl_node_t *node);

/** For controllers: publish the section that the controller writes. */
void kl_node_publish(kl_node_t *node, kl_section_t section,
		     kl_snapshot_t *snapshot);

/** For controllers: get a section. */
const void *kl_node_get(const kl_node_t *node, kl_section_t section);

uint64_t kl_node_now(const kl_node_t *node);
uint32_t kl_node_random(const kl_node_t *node);

/** Whether the platform confirmed the terms held, at most lease_us ago. */
bool kl_lease_valid(const kl_confirmation_t *fresh, const kl_terms_t *terms,
		    uint64_t now_us, uint64_t lease_us);

extern const kl_controller_t kl_controllers[KL_CONTROLLER_COUNT];

#endif
