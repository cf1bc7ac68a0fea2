/**
 * @file
 * The check of configuration documents, for tools that write them.
 */
#ifndef KL_DOCUMENT_CHECK_H
#define KL_DOCUMENT_CHECK_H

#include <stdbool.h>

/**
 * Whether a configuration document is valid, by the same check as in the config
 * controller.  JSON null, which stands for a removed object, is valid.
 */
bool kl_document_check(const char *name, const char *body);

#endif
