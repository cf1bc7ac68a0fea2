/**
 * @file
 * The kinds of documents that make up the configuration.
 */
#ifndef KL_DOCUMENT_H
#define KL_DOCUMENT_H

#include <jansson.h>

#include "board/sections.h"

/** A kind of document: the prefix of its names, its check and its builder. */
typedef struct kl_document_kind {
	const char *prefix; /**< of the object names, with the slash */
	/** Whether a document is valid. */
	bool (*is_valid)(json_t *json);
	/** Add a valid document to a configuration; name lacks the prefix. */
	void (*add)(kl_config_t *config, const char *name, json_t *json);
} kl_document_kind_t;

/** "upstream/": a database that registered itself. */
bool kl_upstream_document_is_valid(json_t *json);
void kl_upstream_document_add(kl_config_t *config, const char *name,
			      json_t *json);

/** "route/": a database name that clients connect to. */
bool kl_route_document_is_valid(json_t *json);
void kl_route_document_add(kl_config_t *config, const char *name, json_t *json);

/** "limit/": limits that apply to all routes. */
bool kl_limit_document_is_valid(json_t *json);
void kl_limit_document_add(kl_config_t *config, const char *name, json_t *json);

#endif
