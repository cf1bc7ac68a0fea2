/**
 * @file
 * JSON lines on standard error, through log4c.
 */
#ifndef KL_LOG_H
#define KL_LOG_H

#include "control/node.h"

/** Set up the log of this process. @param vm named in each line */
void kl_log_open(const char *vm, uint32_t lines);
void kl_log_close(void);

/** Write a decision's line.  Never give it a key or a statement's text. */
void kl_log_decision(const kl_decision_t *decision);

/** Write a plain line. */
void kl_log_event(const char *what, const char *text);

#endif
