/**
 * @file
 * The control thread: an event loop that runs the controllers and does their
 * I/O with peers, the platform and the databases.
 */
#ifndef KL_CONTROL_THREAD_H
#define KL_CONTROL_THREAD_H

#include "control/node.h"
#include "daemon/settings.h"

typedef struct kl_control_thread kl_control_thread_t;

/**
 * Start the control thread.  Its board may be read from then on.
 *
 * @param settings must outlive the thread
 * @return NULL if a port is in use or when out of memory
 */
kl_control_thread_t *kl_control_thread_new(const kl_settings_t *settings);

/** End the thread and free the board. */
void kl_control_thread_free(kl_control_thread_t *control);

/** @return the blackboard, owned by the control thread */
kl_board_t *kl_control_thread_board(kl_control_thread_t *control);

/** Report that a request waits for a replica or for rate tokens; any thread. */
void kl_control_thread_report_waiting_request(kl_control_thread_t *control);

/**
 * Report that statements run at, or wait for, upstreams that need permits; any
 * thread.
 */
void kl_control_thread_report_permits(kl_control_thread_t *control);

/**
 * Set what the control thread calls when permits arrived; it must not block.
 *
 * @param handler NULL: nothing; then no call is in progress on return
 */
void kl_control_thread_on_permits(kl_control_thread_t *control,
				  void (*handler)(void *context),
				  void *context);

/**
 * Report that clients of this VM use a service, so that its databases are
 * probed; any thread.
 */
void kl_control_thread_report_service_use(kl_control_thread_t *control,
					  const char *service);

/**
 * Report the outcome of requests to an upstream, a passive health check; any
 * thread.
 */
void kl_control_thread_report_check(kl_control_thread_t *control,
				    const kl_passive_check_t *check);

/**
 * Report a primary's log position, or with term 0 that reads need a newer one;
 * any thread.
 */
void kl_control_thread_report_position(kl_control_thread_t *control,
				       const kl_primary_position_t *position);

/** Begin a planned stop; any thread. */
void kl_control_thread_stop(kl_control_thread_t *control);

/**
 * @return number of slots recorded as owned by this VM, as of the last tick;
 *         from any thread
 */
uint32_t kl_control_thread_slots_owned(const kl_control_thread_t *control);

/** @return microseconds of CLOCK_BOOTTIME, which also runs during suspend */
uint64_t kl_clock_us(void);

#endif
