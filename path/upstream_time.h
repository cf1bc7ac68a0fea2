/**
 * @file
 * How much time of an upstream each workspace and each priority used recently,
 * and how fast the upstream works through waiting statements.
 *
 * These functions use no sockets and no clock.  All times are in microseconds.
 */
#ifndef KL_UPSTREAM_TIME_H
#define KL_UPSTREAM_TIME_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

/** Priorities that are told apart; lower ones count as the last of these. */
#define KL_PRIORITY_LEVELS 8

/** A workspace's use of the upstream. */
typedef struct kl_time_flow {
	CK_STAILQ_ENTRY(kl_time_flow) link;
	char workspace[KL_NAME_MAX];
	uint64_t weight;  /**< its part of the upstream's time is relative to it
			   */
	uint64_t used_us; /**< time of the upstream used recently */
	uint32_t waiting[KL_PRIORITY_LEVELS]; /**< waiting statements */
	uint32_t waiting_count;		      /**< the sum of these */
	uint64_t scan;	   /**< of the queue: the last one that reserved it */
	uint32_t reserved; /**< statements that this scan reserved */
	bool has_conn;	   /**< an idle connection, when a scan began */
} kl_time_flow_t;

/** The use of one upstream. */
typedef struct kl_upstream_time {
	CK_STAILQ_HEAD(, kl_time_flow) flows;
	kl_time_flow_t shared; /**< of workspaces without one: no memory */
	uint64_t used_us[KL_PRIORITY_LEVELS]; /**< the same by priority */
	/** mean time of a statement, moving average; 0: not known */
	uint64_t run_avg_us[KL_PRIORITY_LEVELS];
	uint32_t running;    /**< statements that run now */
	uint64_t updated_us; /**< time of the last update */
	uint64_t all_us;  /**< recent time, whether places were free or not */
	uint64_t full_us; /**< recent time in which no place was free */
	uint64_t full_run_us; /**< run time of what ended in that time */
	bool was_full;	      /**< no place was free before the last update */
	/** half of what was used is forgotten in this time */
	uint64_t half_life_us;
	uint64_t last_decay_us;
} kl_upstream_time_t;

/** A statement that runs, embedded in its connection. */
typedef struct kl_running_stmt {
	uint32_t priority;   /**< below KL_PRIORITY_LEVELS */
	uint64_t sent_us;    /**< when it was sent */
	uint64_t charged_us; /**< mean time that was charged for it then */
	bool not_run;	     /**< the database answered that it did not run */
} kl_running_stmt_t;

void kl_upstream_time_init(kl_upstream_time_t *time);

/** Free the flows; no statement may wait. */
void kl_upstream_time_clear(kl_upstream_time_t *time);

/** Find a workspace's flow, or add it; out of memory, get the shared one. */
kl_time_flow_t *kl_upstream_time_flow(kl_upstream_time_t *time,
				      const char *workspace);

/**
 * Account for the time since the last call; call it before each change.
 *
 * @param full statements waited since then, and all places were in use
 */
void kl_upstream_time_update(kl_upstream_time_t *time, bool full,
			     uint64_t now_us);

/**
 * Count a statement as running.  The mean time is charged at once, so that one
 * workspace does not get all places before its first statement ends.
 */
void kl_upstream_time_sent(kl_upstream_time_t *time, kl_running_stmt_t *running,
			   const char *workspace, uint32_t priority,
			   uint64_t now_us);

/**
 * End that count, and correct the charge by the time that it took: none if it
 * did not run.
 */
void kl_upstream_time_done(kl_upstream_time_t *time,
			   const kl_running_stmt_t *running,
			   const char *workspace, uint64_t now_us);

/** Mean time of a statement; of others if none of the priority ran. */
uint64_t kl_upstream_time_run_us(const kl_upstream_time_t *time,
				 uint32_t priority);

/**
 * Sum of the run times that the upstream works off in a time, from what it did
 * recently while no place was free.
 *
 * @param places statements that may run at once
 */
uint64_t kl_upstream_time_work_in(const kl_upstream_time_t *time,
				  uint64_t wait_us, uint32_t places);

/** Sum of the run times that the upstream could have worked off recently. */
uint64_t kl_upstream_time_capacity(const kl_upstream_time_t *time,
				   uint32_t places);

/** Time that all priorities together used. */
uint64_t kl_upstream_time_used(const kl_upstream_time_t *time);

#endif
