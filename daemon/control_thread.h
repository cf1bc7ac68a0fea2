/**
 * @file
 * The thread that runs the table of controllers.
 */
#ifndef KL_CONTROL_THREAD_H
#define KL_CONTROL_THREAD_H

#include "control/node.h"
#include "daemon/settings.h"

typedef struct kl_control_thread kl_control_thread_t;

/** Start the thread; the board is usable at once. @return NULL on failure */
kl_control_thread_t *kl_control_thread_new(const kl_settings_t *settings);
void kl_control_thread_free(kl_control_thread_t *control);

kl_board_t *kl_control_thread_board(kl_control_thread_t *control);

/** From any thread: a request waits for a position or for tokens. */
void kl_control_thread_demand(kl_control_thread_t *control);

/** From any thread: callers use a service on this VM. */
void kl_control_thread_interest(kl_control_thread_t *control,
				const char *service);

/** From any thread: what requests met at an upstream. */
void kl_control_thread_traffic(kl_control_thread_t *control,
			       const kl_passive_check_t *traffic);

/** From any thread: begin a planned stop. */
void kl_control_thread_stop(kl_control_thread_t *control);

/** Slots still recorded as this VM's, as of the last tick. */
uint32_t kl_control_thread_slots(const kl_control_thread_t *control);

/** Microseconds of the monotonic clock. */
uint64_t kl_clock_us(void);

#endif
