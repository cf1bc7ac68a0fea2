/**
 * @file
 * Kinds of documents that make up the configuration.
 */
#ifndef KL_DOCUMENT_H
#define KL_DOCUMENT_H

#include <jansson.h>

#include "board/sections.h"

/** One kind: how its documents are named, checked and taken in. */
typedef struct kl_document_kind {
	const char *prefix;
	bool (*is_valid)(json_t *json);
	void (*add)(kl_config_t *config, const char *name, json_t *json);
} kl_document_kind_t;

/** A database that registered itself. */
bool kl_upstream_check(json_t *json);
void kl_upstream_build(kl_config_t *config, const char *name, json_t *json);

/** What callers name as their database. */
bool kl_route_check(json_t *json);
void kl_route_build(kl_config_t *config, const char *name, json_t *json);

/** Limits that hold for all routes. */
bool kl_limit_check(json_t *json);
void kl_limit_build(kl_config_t *config, const char *name, json_t *json);

#endif
