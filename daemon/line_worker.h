/**
 * @file
 * The thread that drives the engine: callers and databases that speak lines.
 */
#ifndef KL_LINE_WORKER_H
#define KL_LINE_WORKER_H

#include "daemon/control_thread.h"
#include "daemon/settings.h"

typedef struct kl_line_worker kl_line_worker_t;

/** Listen and start the thread. @return NULL on failure */
kl_line_worker_t *kl_line_worker_new(const kl_settings_t *settings,
				     kl_control_thread_t *control);

/** Begin a planned stop: idle sessions end, open transactions go on. */
void kl_line_worker_drain(kl_line_worker_t *worker);

/** Accept no more callers. */
void kl_line_worker_stop_accept(kl_line_worker_t *worker);

/** Sessions that are still open. */
uint64_t kl_line_worker_sessions(const kl_line_worker_t *worker);

/** End the thread, cutting what is still open. */
void kl_line_worker_free(kl_line_worker_t *worker);

#endif
