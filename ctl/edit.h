/**
 * @file
 * Conditional edits of one document of the platform.
 */
#ifndef KL_CTL_EDIT_H
#define KL_CTL_EDIT_H

#include <jansson.h>

/**
 * Compute the new contents of a document.
 *
 * @param document current contents, or JSON null if there is no document; must
 *                 not be changed
 * @param updated receives the new contents, freed by the caller
 * @return 0, or a negative kl_error_t to abort the edit
 */
typedef int (*kl_edit_fn_t)(json_t *document, void *arg, json_t **updated);

/**
 * Read, change and write a document.  After a conflict with another edit the
 * document is read again and the change is made on top of it.  After a write
 * without an answer the document is read to see whether it took effect.
 *
 * @param url base URL of the platform's object API
 * @return 0 or a negative kl_error_t; -KL_E_UNAVAILABLE: the outcome is unknown
 */
int kl_edit_document(const char *url, const char *name, kl_edit_fn_t edit,
		     void *arg);

/**
 * Read a document.
 *
 * @param document receives the contents, freed by the caller, or JSON null if
 *                 there is no document
 * @param version receives the version, 0 if there is no document
 * @return 0 or a negative kl_error_t
 */
int kl_edit_read(const char *url, const char *name, json_t **document,
		 unsigned long long *version);

#endif
