/**
 * @file
 * Receipt of usage reports, as the platform does it.
 */
#ifndef KL_STANDIN_USAGE_REPORTS_H
#define KL_STANDIN_USAGE_REPORTS_H

#include <event2/http.h>

/**
 * Serve reports under /usage, and under /standin/usage what was wrong with them
 * and all that were accepted.
 */
void usage_reports_serve(struct evhttp *http);

/**
 * Set a fault: "down" (reports are answered with HTTP 503 while the value is
 * not 0) or "lose" (that many reports are accepted, but answered with 503).
 *
 * @return 0, or -1 if there is no such fault
 */
int usage_reports_set_fault(const char *name, int value);

#endif
