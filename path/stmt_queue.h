/**
 * @file
 * The statements that wait for a connection to one upstream: which of them gets
 * the next one, and which can't be answered in time.
 *
 * There are two orders.  kl_stmt_order_arrival serves the oldest statement
 * first, and the newest one after a long wait.  kl_stmt_order_priority serves
 * by the priority of the route, then by the time of the upstream that the
 * workspace used recently, then by deadline.
 *
 * These functions use no sockets and no clock.  All times are in microseconds.
 */
#ifndef KL_STMT_QUEUE_H
#define KL_STMT_QUEUE_H

#include "path/upstream_time.h"

/** Part of the upstream's time that the least urgent waiting priority gets. */
#define KL_QUEUE_FLOOR_DIVISOR 10
/**
 * A statement needs its mean run time and this part of it more to be answered
 * in time.
 */
#define KL_RUN_RESERVE_DIVISOR 4

struct kl_client;

/** A waiting statement, embedded in its client. */
typedef struct kl_queued_stmt {
	CK_STAILQ_ENTRY(kl_queued_stmt) link;
	struct kl_client *client;
	const char *workspace;
	uint64_t weight;      /**< of the workspace: its plan's rate; above 0 */
	uint64_t received_us; /**< time of arrival */
	uint64_t target_us;   /**< latency objective */
	uint64_t deadline_us; /**< it is to be answered by then */
	uint64_t limit_us;    /**< it is refused if it can't be answered by then
			       */
	uint32_t priority;    /**< below KL_PRIORITY_LEVELS */
	/* Set by the queue: */
	uint32_t conns_needed; /**< connections for it and those before it */
	uint64_t scan;	       /**< number of the last scan that reserved it */
	kl_time_flow_t *flow;  /**< of its workspace */
} kl_queued_stmt_t;

/** What is known when a statement is chosen. */
typedef struct kl_queue_offer {
	uint64_t now_us;
	/** statements that can be given an idle or a new connection now */
	uint32_t places;
	/** connections that can be opened without closing one */
	uint32_t new_conns;
	uint64_t connect_us; /**< time that opening a connection takes */
	/** Whether a workspace has an idle connection. */
	bool (*has_conn)(const void *context, const char *workspace);
	/** Whether another workspace's connection may be closed for it. */
	bool (*may_replace)(const void *context, const char *workspace);
	const void *context; /**< reserved to these */
} kl_queue_offer_t;

typedef struct kl_stmt_queue kl_stmt_queue_t;

/** An order of waiting statements. */
typedef struct kl_stmt_order {
	bool tracks_usage; /**< it needs the queue's time */
	/** Choose a statement for an idle connection. @return NULL: none */
	kl_queued_stmt_t *(*choose)(kl_stmt_queue_t *queue,
				    const kl_queue_offer_t *offer);
	/**
	 * Get the statement after another one, in the order in which
	 * connections are opened for them.
	 *
	 * @param previous NULL: get the first one
	 */
	kl_queued_stmt_t *(*next)(kl_stmt_queue_t *queue,
				  kl_queued_stmt_t *previous, uint64_t now_us);
	/**
	 * Whether a statement that is not queued yet can't be expected to be
	 * answered before its deadline.
	 */
	bool (*too_late)(kl_stmt_queue_t *queue, const kl_queued_stmt_t *stmt,
			 uint64_t now_us);
	/**
	 * Time before its deadline at which a waiting statement must be sent.
	 *
	 * @param latency_us mean latency at the upstream
	 */
	uint64_t (*reserve_us)(const kl_stmt_queue_t *queue,
			       const kl_queued_stmt_t *stmt,
			       uint64_t latency_us);
} kl_stmt_order_t;

/** The function too_late() of the order by priority. */
bool kl_stmt_too_late(kl_stmt_queue_t *queue, const kl_queued_stmt_t *stmt,
		      uint64_t now_us);

extern const kl_stmt_order_t kl_stmt_order_arrival;
extern const kl_stmt_order_t kl_stmt_order_priority;

/** The queue of one upstream. */
struct kl_stmt_queue {
	const kl_stmt_order_t *order;
	CK_STAILQ_HEAD(, kl_queued_stmt) stmts; /**< in order of arrival */
	uint32_t length;
	uint32_t waiting[KL_PRIORITY_LEVELS];  /**< statements by priority */
	uint64_t scan;			       /**< number of the last scan */
	uint32_t reserved[KL_PRIORITY_LEVELS]; /**< what this scan reserved */
	/** statements that may run at once; all of them are in use */
	uint32_t places;
	bool full;
	kl_upstream_time_t time;
};

void kl_stmt_queue_init(kl_stmt_queue_t *queue, const kl_stmt_order_t *order);

/** Forget the workspaces; no statement may be queued. */
void kl_stmt_queue_clear(kl_stmt_queue_t *queue);

/**
 * Set how many statements may run at the upstream at once.
 *
 * @param in_use places of running statements and of opening connections
 */
void kl_stmt_queue_set_places(kl_stmt_queue_t *queue, uint32_t places,
			      uint32_t in_use);

/** Append a statement, described by its fields up to priority. */
void kl_stmt_queue_push(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt,
			uint64_t now_us);

void kl_stmt_queue_remove(kl_stmt_queue_t *queue, kl_queued_stmt_t *stmt,
			  uint64_t now_us);

/** Note that a statement was sent, of the queue or of an open transaction. */
void kl_stmt_queue_sent(kl_stmt_queue_t *queue, kl_running_stmt_t *running,
			const char *workspace, uint32_t priority,
			uint64_t now_us);

/** Note that it ended. */
void kl_stmt_queue_done(kl_stmt_queue_t *queue,
			const kl_running_stmt_t *running, const char *workspace,
			uint64_t now_us);

/** Whether a statement waits for long, by its latency objective. */
bool kl_queued_stmt_waits_long(const kl_queued_stmt_t *stmt, uint64_t now_us);

/** Whether the oldest statement waits for long. */
bool kl_stmt_queue_waits_long(const kl_stmt_queue_t *queue, uint64_t now_us);

#endif
