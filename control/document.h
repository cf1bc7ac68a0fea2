/**
 * @file
 * The kinds of documents that make up the configuration.
 */
#ifndef KL_DOCUMENT_H
#define KL_DOCUMENT_H

#include <jansson.h>

#include "board/sections.h"

/** A valid document. */
typedef struct kl_document {
	const char *name; /**< without the prefix of its kind */
	json_t *json;
	uint64_t version; /**< of its object */
	/** It says "leaving" since no earlier than this; 0: not known. */
	uint64_t leaving_after_us;
} kl_document_t;

/** A kind of document: the prefix of its names, its check and its builder. */
typedef struct kl_document_kind {
	const char *prefix; /**< of the object names, with the slash */
	/** Whether a document is valid. */
	bool (*is_valid)(json_t *json);
	/** Add a document to a configuration. */
	void (*add)(kl_config_t *config, const kl_document_t *document);
	/**
	 * An object of this kind may be lost and come back, so what is known of
	 * it stays.
	 */
	bool may_lapse;
} kl_document_kind_t;

/** "upstream/": a database that registered itself. */
bool kl_upstream_document_is_valid(json_t *json);
void kl_upstream_document_add(kl_config_t *config,
			      const kl_document_t *document);

/** "capacity/": the execution slots of an upstream. */
bool kl_capacity_document_is_valid(json_t *json);
void kl_capacity_document_add(kl_config_t *config,
			      const kl_document_t *document);

/** "replication/": how a service's databases replicate. */
bool kl_replication_document_is_valid(json_t *json);
void kl_replication_document_add(kl_config_t *config,
				 const kl_document_t *document);

/** "route/": a database name that clients connect to. */
bool kl_route_document_is_valid(json_t *json);
void kl_route_document_add(kl_config_t *config, const kl_document_t *document);

/** "limit/": limits that apply to all routes. */
bool kl_limit_document_is_valid(json_t *json);
void kl_limit_document_add(kl_config_t *config, const kl_document_t *document);

#endif
