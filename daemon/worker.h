/**
 * @file
 * The worker threads, which serve clients that speak the PostgreSQL protocol:
 * their sessions and requests, and the pools of upstream connections.
 */
#ifndef KL_WORKER_H
#define KL_WORKER_H

#include "daemon/control_thread.h"
#include "daemon/settings.h"

typedef struct kl_workers kl_workers_t;

/**
 * Listen and start the threads.
 *
 * @param settings must outlive the workers, as must control
 * @return NULL if the port is in use or when out of memory
 */
kl_workers_t *kl_workers_new(const kl_settings_t *settings,
			     kl_control_thread_t *control);

/** Stop accepting connections; sessions end as they become idle. */
void kl_workers_drain(kl_workers_t *workers);

/** @return number of open sessions; from any thread */
uint64_t kl_workers_sessions(const kl_workers_t *workers);

/** End the threads; sessions that are still open are closed. */
void kl_workers_free(kl_workers_t *workers);

#endif
