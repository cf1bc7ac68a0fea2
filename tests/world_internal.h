/**
 * @file
 * Parts of the simulated cluster that its source files share.
 */
#ifndef KL_WORLD_INTERNAL_H
#define KL_WORLD_INTERNAL_H

#include "tests/world.h"

/* One-way delays between a VM and the platform or a database. */
#define PLATFORM_DELAY_US 2000
#define DATABASE_DELAY_US 1000
/* A call without an answer fails after this time. */
#define CALL_TIMEOUT_US 500000
#define CUT_OFF -1 /* partition of peer messages that nobody receives */
#define SILENT_CALL_US                                        \
	(10 * KL_SEC) /* a call that gets no answer ends then \
		       */

typedef enum world_event_kind {
	WORLD_EVENT_PEER_MESSAGE,
	WORLD_EVENT_PLATFORM_CALL,
	WORLD_EVENT_PLATFORM_ANSWER,
	WORLD_EVENT_DATABASE_CALL,
	WORLD_EVENT_DATABASE_ANSWER,
} world_event_kind_t;

/** A message in transit.  An answer reuses the event of its call. */
typedef struct world_event {
	uint64_t due_at_us; /**< time of delivery */
	uint64_t order;	    /**< of delivery among events due at one time */
	world_event_kind_t kind;
	vm_t *vm; /**< receiver of a message or an answer, sender of a call */
	/**
	 * Incarnation of the process that sent the call; a later process of the
	 * VM gets no answer to it.
	 */
	uint64_t sender_incarnation;
	int sender_partition; /**< of a peer message, at sending */
	kl_peer_message_t peer_message;
	kl_platform_call_t platform_call;
	char *call_body; /**< copy of platform_call.body */
	kl_platform_answer_t platform_answer;
	kl_object_list_t answer_objects;
	kl_database_answer_t database_answer;
} world_event_t;

/** Run a call of the platform and schedule its answer. */
void world_handle_platform_call(world_t *world, world_event_t *event);

/** Run a control call of a database and schedule its answer. */
void world_handle_database_call(world_t *world, world_event_t *event);

/** Let replicas follow their primary and apply writes older than their lag. */
void world_replicate(world_t *world);

/** @return feed that an object belongs to */
kl_feed_t world_feed_of_object(const world_t *world, const char *name);

/**
 * Begin a promotion that a VM asked the platform for.
 *
 * @param name the database
 * @param token fencing token: the term that the VM won
 * @return 0 or -KL_E_CONFLICT if the database is unknown or down
 */
int world_promote_database(world_t *world, const vm_t *vm, const char *name,
			   uint64_t token);

/** Let a primary that is recorded without a promotion use the new term. */
void world_adopt_record_term(world_t *world, const char *service);

/** Make databases primary whose promotion is due. */
void world_complete_promotions(world_t *world);

/** Report to each VM whether its clients' requests to each database fail. */
void world_report_passive_checks(world_t *world);

/** Create the list of the store's writes. */
GPtrArray *world_history_new(void);

/** Add the store's newest write to its history. */
void world_record_write(world_t *world, const char *name, const char *body);

/** Write again what a drill lost, once it is due. */
void world_rewrite_lost(world_t *world);
/** Create and free the tables of world.usage. */
void world_usage_init(world_usage_t *usage, uint32_t seed);
void world_usage_clear(world_usage_t *usage);

/** @return true time, microseconds since the start of 1970 */
int64_t world_true_us(const world_t *world);

/** Let databases begin operations for each VM's clients. */
void world_run_operations(world_t *world, uint64_t elapsed_us);

/**
 * Receive a report of usage.  A token that falls or is used by two VMs, two
 * different reports of a window, and holders in turn are violations.
 *
 * @return 0, or -KL_E_UNAVAILABLE without an answer
 */
int world_receive_report(world_t *world, vm_t *vm, uint64_t window,
			 uint64_t token, const char *body);

/** Freeze a VM that has stored a report, if the script asked for it. */
void world_report_stored(world_t *world, vm_t *vm, const char *name,
			 const char *body);

/** Queue an event for delivery in delay_us microseconds. */
void world_schedule(world_t *world, world_event_t *event, uint64_t delay_us);

/**
 * Let statements of a workload arrive, and admit, queue or refuse them.
 *
 * @param elapsed_us time since the last call, microseconds
 */
void world_run_workload(workload_t *workload, uint64_t elapsed_us);

/** Report to each VM that its clients use every service. */
void world_report_service_use(world_t *world);

/** Operations of the simulated VMs; the context is the vm_t. */
extern const kl_node_ops_t world_node_ops;

#endif
