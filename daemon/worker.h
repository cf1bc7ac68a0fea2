/**
 * @file
 * The worker threads: callers' sessions, their requests, upstream pools.
 */
#ifndef KL_WORKER_H
#define KL_WORKER_H

#include "daemon/control_thread.h"
#include "daemon/settings.h"

typedef struct kl_workers kl_workers_t;

/** Listen and start the threads. @return NULL on failure */
kl_workers_t *kl_workers_new(const kl_settings_t *settings,
			     kl_control_thread_t *control);

/** Stop taking new connections; sessions end as they become idle. */
void kl_workers_drain(kl_workers_t *workers);

/** Sessions that are still open. */
uint64_t kl_workers_sessions(const kl_workers_t *workers);

/** End the threads, cutting what is still open. */
void kl_workers_free(kl_workers_t *workers);

#endif
