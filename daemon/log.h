/**
 * @file
 * The log: JSON lines on standard output, written through log4c.
 */
#ifndef KL_LOG_H
#define KL_LOG_H

#include "control/node.h"

/**
 * Set up the log of this process.
 *
 * @param vm name of this VM, which each line contains
 * @param lines_per_second limit for each kind of decision; lines above it are
 *                         dropped, and their number is logged
 */
void kl_log_open(const char *vm, uint32_t lines_per_second);

/** Close the log; lines that are logged later are lost. */
void kl_log_close(void);

/** Log a decision.  It must not contain a key or a statement's text. */
void kl_log_decision(const kl_decision_t *decision);

/**
 * Log a call of the platform that failed.
 *
 * @param duration_us time from the call to the answer, microseconds
 */
void kl_log_platform_error(const kl_platform_answer_t *answer,
			   uint64_t duration_us);

/** Log an event with a text.  Events have no rate limit. */
void kl_log_event(const char *event, const char *text);

#endif
