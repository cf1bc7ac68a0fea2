/**
 * @file
 * Conditional edits of one document of the platform.
 */
#ifndef KL_CTL_EDIT_H
#define KL_CTL_EDIT_H

#include <jansson.h>

/**
 * Change a document.
 *
 * @param document as it stands, or null if there is none; borrowed
 * @param next receives the document to write, owned by the caller
 * @return 0 or a negative kind to give up with
 */
typedef int (*kl_edit_fn_t)(json_t *document, void *arg, json_t **next);

/**
 * Read, change and write a document; starts again when another edit came
 * first, and reads back when an answer was lost.
 *
 * @return 0 or a negative kind; -KL_E_UNAVAILABLE: the outcome is unknown
 */
int kl_edit_document(const char *url, const char *name, kl_edit_fn_t edit,
		     void *arg);

/** Read a document. @param document owned by the caller, null if none */
int kl_edit_read(const char *url, const char *name, json_t **document,
		 unsigned long long *version);

#endif
