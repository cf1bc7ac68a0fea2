/**
 * @file
 * The thread that runs the request engine for the line protocol of
 * platform/line.h: it serves clients and calls databases that use this
 * protocol.
 */
#ifndef KL_LINE_WORKER_H
#define KL_LINE_WORKER_H

#include "daemon/control_thread.h"
#include "daemon/settings.h"

typedef struct kl_line_worker kl_line_worker_t;

/**
 * Listen and start the thread.
 *
 * @param settings must outlive the worker, as must control
 * @return NULL if the port is in use or when out of memory
 */
kl_line_worker_t *kl_line_worker_new(const kl_settings_t *settings,
				     kl_control_thread_t *control);

/**
 * Begin a planned stop: idle sessions end, and open transactions may continue
 * for the time of the setting transaction_grace_ms.
 */
void kl_line_worker_drain(kl_line_worker_t *worker);

/** Stop listening. */
void kl_line_worker_stop_accept(kl_line_worker_t *worker);

/** @return number of open sessions, as of the last tick; from any thread */
uint64_t kl_line_worker_sessions(const kl_line_worker_t *worker);

/** End the thread; sessions that are still open are closed. */
void kl_line_worker_free(kl_line_worker_t *worker);

#endif
