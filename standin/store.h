/**
 * @file
 * In-memory stand-in for the platform's object store.  It serves objects by
 * kind and name under /-/objects/, with conditional updates and watches.
 */
#ifndef KL_STANDIN_STORE_H
#define KL_STANDIN_STORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

/** Serve the store on an HTTP server, as its general callback. */
void store_serve(struct evhttp *http, struct event_base *base);

/**
 * Create or replace an object, whatever its revision.
 *
 * @param spec the store takes over the reference
 */
void store_put(const char *kind, const char *name, json_t *spec);

/**
 * Time since an object was created, milliseconds.
 *
 * @return -1 if it does not exist
 */
int64_t store_age_ms(const char *kind, const char *name);

/** Delete an object; no effect if it does not exist. */
void store_remove(const char *kind, const char *name);

/**
 * Set a fault: "down" (all requests are answered with HTTP 503 while the value
 * is not 0), "compact" (the history up to now is dropped, once), "silent" (the
 * watches that wait now never get an answer, but their connections stay open),
 * "era" (answers have the header Store-Era with the value), "drill" (the store
 * is restored from a copy that is that many milliseconds old, and its era rises
 * by 1) or "rewrite_ms" (so long after a drill the lost changes of operators
 * and databases are made again).
 *
 * @return 0, or -1 if there is no such fault
 */
int store_set_fault(const char *name, int value);

#endif
