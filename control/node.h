/**
 * @file
 * The control side of one VM: a table of controllers, driven by events.
 *
 * Controllers exchange data through the blackboard only.  The clock, random
 * numbers and outgoing calls come from kl_node_ops_t, a table of function
 * pointers, so that the daemon and the scripted tests run the same decisions.
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
#define KL_PROBERS_PER_GROUP 5 /**< most VMs that are probers of a group */

/** The controllers, in the order in which they run for an event. */
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
	KL_CONTROLLER_POSITION,
	KL_CONTROLLER_USAGE,
	KL_CONTROLLER_LOAD,
	KL_CONTROLLER_COUNT
} kl_controller_id_t;

/** Kinds of events. */
typedef enum kl_event_kind {
	KL_EVENT_TICK,		  /**< a timer tick */
	KL_EVENT_PEER,		  /**< a message from another VM */
	KL_EVENT_PLATFORM,	  /**< an answer from the platform */
	KL_EVENT_DATABASE,	  /**< an answer from a database */
	KL_EVENT_REQUEST_WAITING, /**< a request waits for data or tokens */
	KL_EVENT_SERVICE_USED,	  /**< a client used a service on this VM */
	KL_EVENT_STOP,		  /**< a planned stop of this process begins */
	KL_EVENT_PASSIVE_CHECK,	  /**< result of a passive health check */
	KL_EVENT_POSITION,	  /**< a primary's log position, or its lack */
	KL_EVENT_USAGE,		  /**< databases began to run operations */
	KL_EVENT_LOAD,		  /**< this VM's figures of a database */
	KL_EVENT_COUNT
} kl_event_kind_t;

/** Calls of the platform's object API. */
typedef enum kl_platform_op {
	KL_PLATFORM_LIST,    /**< objects changed since a revision, at once */
	KL_PLATFORM_WATCH,   /**< the same, answered once there is a change */
	KL_PLATFORM_PUT,     /**< conditional update of an object */
	KL_PLATFORM_GET,     /**< read an object */
	KL_PLATFORM_PROMOTE, /**< order a promotion */
	KL_PLATFORM_REPORT_USAGE, /**< report the operations of a window */
	KL_PLATFORM_OP_COUNT
} kl_platform_op_t;

/** A call of the platform. */
typedef struct kl_platform_call {
	kl_platform_op_t op;
	kl_controller_id_t owner; /**< receives the answer */
	uint64_t sent_us;	  /**< time of sending */
	kl_feed_t feed;		  /**< list, watch: the feed to read */
	/** List, watch: the changes since this version; 0: all objects. */
	uint64_t since_revision;
	char name[KL_NAME_MAX]; /**< of the object; promote: the service */
	/**
	 * Put: the object's version, 0 to create it; promote, report usage:
	 * the fencing token.
	 */
	uint64_t version;
	uint64_t window; /**< report usage: number of the usage window */
	/**
	 * Put: JSON text; promote: the upstream; report usage: JSON object
	 * with the operations of each workspace.
	 */
	const char *body;
} kl_platform_call_t;

/** The platform's answer to a call. */
typedef struct kl_platform_answer {
	kl_platform_op_t op;
	kl_controller_id_t owner; /**< the controller that sent the call */
	/**
	 * 0; -KL_E_CONFLICT if a put expected another version, or if the
	 * database to promote is not running; -KL_E_STALE_CONFIG if the
	 * platform no longer keeps the changes since the given revision;
	 * -KL_E_UNAVAILABLE if the outcome is unknown.
	 */
	int error;
	kl_feed_t feed;
	bool is_full_list; /**< objects has every object of the feed */
	/** The feed's only object can't be read, so there are no documents. */
	bool unreadable;
	/** Objects and documents left out, as their names can't be held. */
	uint32_t skipped;
	uint64_t call_sent_us; /**< time of sending of the call */
	/** Of the store, rises when it is restored from a copy; 0: none. */
	uint64_t era;
	/** The platform's, as a version; put: the new version. */
	uint64_t revision;
	char name[KL_NAME_MAX]; /**< as in the call */
	/** Objects listed, or changed; the receiver may move entries out. */
	kl_object_list_t *objects;
} kl_platform_answer_t;

/** Control calls of a database. */
typedef enum kl_database_op {
	KL_DATABASE_STATUS,  /**< report role, term and position */
	KL_DATABASE_SEAL,    /**< refuse terms below the given one */
	KL_DATABASE_PROMOTE, /**< become primary of the term */
	KL_DATABASE_FOLLOW,  /**< become a replica in the term */
	KL_DATABASE_OP_COUNT
} kl_database_op_t;

/** A control call of a database. */
typedef struct kl_database_call {
	kl_database_op_t op;
	kl_controller_id_t owner; /**< receives the answer */
	bool new_connection; /**< use a new connection, to test connecting */
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	uint64_t term;	  /**< seal, promote, follow: the term to apply */
	uint64_t sent_us; /**< time of sending */
} kl_database_call_t;

/** A database's answer to a control call. */
typedef struct kl_database_answer {
	kl_database_call_t call;
	int error;	       /**< 0 or a negative error kind */
	bool reported_primary; /**< the database reports that it is primary */
	uint64_t term;	       /**< term that the database serves */
	uint64_t min_term;     /**< lowest term that it accepts */
	uint64_t position;     /**< end of its log, bytes */
	uint64_t log_term;     /**< term in which that position was written */
} kl_database_answer_t;

/** Result of a passive health check: the outcome of clients' requests. */
typedef struct kl_passive_check {
	const char *service;
	const char *upstream;
	/** Time since which all requests to the upstream failed, or 0. */
	uint64_t failing_since_us;
	/** A connection was refused since the last successful request. */
	bool refuses_connections;
} kl_passive_check_t;

/** Operations of a workspace that databases began at about the same time. */
typedef struct kl_usage_sample {
	CK_STAILQ_ENTRY(kl_usage_sample) link;
	char workspace[KL_NAME_MAX];
	uint64_t began_us; /**< node's clock */
	uint32_t operations;
} kl_usage_sample_t;

typedef CK_STAILQ_HEAD(kl_usage_samples, kl_usage_sample) kl_usage_samples_t;

/** This VM's own figures of a database in its failure domain. */
typedef struct kl_load_report {
	char service[KL_NAME_MAX];
	/** empty: the domain has no database of the service */
	char upstream[KL_NAME_MAX];
	uint64_t wait_us;    /**< expected wait of a statement */
	uint32_t running;    /**< statements of this VM running there */
	uint64_t sampled_us; /**< time of the report */
	bool others_needed;  /**< figures of other VMs are needed, too */
} kl_load_report_t;

/** An event; which members are set depends on the kind. */
typedef struct kl_event {
	kl_event_kind_t kind;
	const kl_peer_message_t *peer;
	kl_platform_answer_t *platform;
	const kl_database_answer_t *database;
	const char *service; /**< of KL_EVENT_SERVICE_USED */
	const kl_passive_check_t *passive_check;
	/** Of KL_EVENT_POSITION; term 0: reads need a newer one. */
	const kl_primary_position_t *position;
	const kl_usage_samples_t *usage; /**< of KL_EVENT_USAGE */
	const kl_load_report_t *load;	 /**< of KL_EVENT_LOAD */
} kl_event_t;

/** A log record of a decision; members that don't apply are 0. */
typedef struct kl_decision {
	const char *name;
	const char *request; /**< identifier given by the client, or NULL */
	const char *workspace;
	const char *service;
	const char *upstream;
	const char *reason;
	const char *feed; /**< name of a feed of the platform's objects */
	const char *peer; /**< VM that the data came from */
	/** Version of the operators' configuration that was in force. */
	uint64_t config_version;
	uint64_t term;
	uint64_t position;
	uint64_t age_us; /**< age of the data, or duration of the operation */
} kl_decision_t;

/** Operations of the embedding program; calls return before their answer. */
typedef struct kl_node_ops {
	/** Monotonic clock, microseconds. */
	uint64_t (*now_us)(void *context);
	uint32_t (*random)(void *context);
	/** Send a message to a VM; it may be lost, duplicated or late. */
	void (*send_to_peer)(void *context, const char *vm, const char *host,
			     uint16_t port, const kl_peer_message_t *message);
	/** Send a call to the platform; answered by KL_EVENT_PLATFORM. */
	void (*call_platform)(void *context, const kl_platform_call_t *call);
	/** Send a call to a database; answered by KL_EVENT_DATABASE. */
	void (*call_database)(void *context, const kl_database_call_t *call);
	/** Write a decision to the log. */
	void (*log_decision)(void *context, const kl_decision_t *decision);
} kl_node_ops_t;

/** Identity of this VM and process. */
typedef struct kl_identity {
	char vm[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	char host[KL_HOST_MAX]; /**< address at which peers' messages arrive */
	uint16_t port;		/**< UDP port of the same */
	uint64_t incarnation;	/**< rises with each process start on the VM */
	/** Wall clock at the process start, minus the node's clock; us. */
	int64_t wall_offset_us;
} kl_identity_t;

/** Duties that the platform assigns to the fleet; bits. */
typedef enum kl_duty {
	KL_DUTY_PROMOTE = 1 << 0,      /**< promote databases */
	KL_DUTY_REPORT_USAGE = 1 << 1, /**< report usage by workspace */
} kl_duty_t;

/** Parameters of the control side. */
typedef struct kl_tuning {
	uint64_t confirm_interval_us; /**< between requests to confirm terms */
	uint64_t hello_interval_us;   /**< between rounds of hellos to peers */
	/** How long a confirmation of the terms is a lease on them. */
	uint64_t lease_duration_us;
	uint64_t probe_interval_us;    /**< between connect probes */
	uint64_t position_interval_us; /**< between position probes */
	/**
	 * between queries of other VMs for the first log position of a service;
	 * 0: as for later ones
	 */
	uint64_t first_position_interval_us;
	/** A primary that fails for this long is suspected. */
	uint64_t suspect_after_us;
	/**
	 * A VM may use the slots that it owns for this long after the last
	 * confirmation of the terms.
	 */
	uint64_t slot_lease_us;
	/**
	 * Shortest time between the end of a process and the start of the next
	 * one at its address.
	 */
	uint64_t min_downtime_us;
	/** Longest wait for replicas, after fencing, in a change of primary. */
	uint64_t catch_up_timeout_us;
	uint32_t slot_count;	      /**< slots of all VMs together */
	uint32_t watchers_per_domain; /**< VMs that list and watch the feeds */
	uint32_t feed_count; /**< change feeds that the platform offers */
	/**
	 * Databases are promoted by calls of the platform, not by control calls
	 * of the databases.
	 */
	bool platform_promotes;
	uint32_t duties;	  /**< bits of kl_duty_t */
	uint64_t usage_window_us; /**< length of a usage window; 0: off */
	/** A window's report is due this long after its end. */
	uint64_t usage_delay_us;
} kl_tuning_t;

/** Address of a peer to contact while no other VM is known. */
typedef struct kl_seed {
	CK_SLIST_ENTRY(kl_seed) link;
	char host[KL_HOST_MAX];
	uint16_t port;
} kl_seed_t;

typedef CK_SLIST_HEAD(, kl_seed) kl_seed_list_t;

/** The control side of one VM. */
typedef struct kl_node {
	kl_identity_t self;
	kl_tuning_t tuning;
	kl_seed_list_t seeds;
	const kl_node_ops_t *ops;
	void *ops_context; /**< passed to ops */
	kl_board_t *board;
	kl_reader_t *reader; /**< of the control thread */
	uint64_t started_us; /**< time of kl_node_start() */
	/** Number of KL_EVENT_REQUEST_WAITING so far. */
	uint64_t waiting_event_count;
	/** Bits of kl_section_t that the running controller published. */
	uint64_t published_sections;
	void *state[KL_CONTROLLER_COUNT]; /**< private to each controller */
} kl_node_t;

/** A row of the table of controllers. */
typedef struct kl_controller {
	const char *name;
	uint32_t wake_events;	/**< bits of kl_event_kind_t that wake it */
	uint32_t wake_sections; /**< bits of kl_section_t that wake it */
	int output_section; /**< the kl_section_t that it publishes, or -1 */
	int (*create)(kl_node_t *node);
	void (*step)(kl_node_t *node, const kl_event_t *event);
	void (*destroy)(kl_node_t *node);
} kl_controller_t;

/** Set the default parameters. */
void kl_tuning_default(kl_tuning_t *tuning);

/**
 * How long a promoter waits after it wrote a record, unless fencing completes
 * earlier: after this time every older lease has expired.  Microseconds.
 */
uint64_t kl_fencing_delay_us(const kl_tuning_t *tuning);

/**
 * Create the blackboard and the controllers.
 *
 * @param node with self, tuning, seeds, ops and ops_context filled in
 * @return 0 or -KL_E_NOMEM
 */
int kl_node_start(kl_node_t *node);

/** Run the controllers that an event wakes, and those that they wake. */
void kl_node_step(kl_node_t *node, const kl_event_t *event);

/** Destroy the controllers and the blackboard. */
void kl_node_stop(kl_node_t *node);

/** For controllers: publish a section; the board takes the snapshot over. */
void kl_node_publish(kl_node_t *node, kl_section_t section,
		     kl_snapshot_t *snapshot);

/** For controllers: get the current snapshot of a section, or NULL. */
const void *kl_node_get(const kl_node_t *node, kl_section_t section);

uint64_t kl_node_now(const kl_node_t *node);
uint32_t kl_node_random(const kl_node_t *node);

/** Whether the platform confirmed the terms held less than lease_us ago. */
bool kl_lease_valid(const kl_confirmation_t *confirmation,
		    const kl_terms_t *terms, uint64_t now_us,
		    uint64_t lease_us);

extern const kl_controller_t kl_controllers[KL_CONTROLLER_COUNT];

#endif
