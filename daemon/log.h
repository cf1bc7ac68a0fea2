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
 * @param vm named in each line
 * @param lines_per_second limit for each kind of decision; lines above it are
 *                         dropped and counted
 */
void kl_log_open(const char *vm, uint32_t lines_per_second);

/** Close the log; lines written later are lost. */
void kl_log_close(void);

/** Write a decision.  It must not contain a key or a statement's text. */
void kl_log_decision(const kl_decision_t *decision);

/** Write an event with a text.  Events are not limited in number. */
void kl_log_event(const char *event, const char *text);

#endif
