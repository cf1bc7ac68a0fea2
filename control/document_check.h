/**
 * @file
 * Names and checks of the platform objects.
 */
#ifndef KL_DOCUMENT_CHECK_H
#define KL_DOCUMENT_CHECK_H

#include <stdbool.h>

/**
 * Whether a configuration document is good, by the same check that decides
 * what comes in force; null, for a removed object, is good.
 */
bool kl_document_check(const char *name, const char *body);

#endif
