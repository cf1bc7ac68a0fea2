/* Documents of upstreams that register themselves, of routes and of limits. */
#include <stdlib.h>
#include <string.h>

#include "control/document.h"

static const char *const route_kinds[KL_ROUTE_KIND_COUNT] = {
	[KL_ROUTE_PRIMARY] = "primary",
	[KL_ROUTE_BOUNDED] = "aged",
	[KL_ROUTE_SESSION] = "session",
};

static int parse_route_kind(const char *name);

bool kl_upstream_document_is_valid(json_t *json)
{
	const char *service, *host, *domain;
	int port, leaving, primary;

	return !json_unpack_ex(json, NULL, JSON_STRICT,
			       "{s:s,s:s,s:i,s:s,s:b,s:b}", "service", &service,
			       "host", &host, "port", &port, "domain", &domain,
			       "leaving", &leaving, "primary", &primary) &&
	       strlen(service) < KL_NAME_MAX && strlen(host) < KL_HOST_MAX &&
	       strlen(domain) < KL_NAME_MAX && port > 0 && port <= 65535;
}

void kl_upstream_document_add(kl_config_t *config,
			      const kl_document_t *document)
{
	uint64_t marked_after_us = 0;
	kl_upstream_t *upstream;
	kl_service_t *service;
	const char *service_name, *host, *domain;
	int port, leaving, primary;

	json_unpack(document->json, "{s:s,s:s,s:i,s:s,s:b,s:b}", "service",
		    &service_name, "host", &host, "port", &port, "domain",
		    &domain, "leaving", &leaving, "primary", &primary);
	service = kl_index_get(config->service_index, service_name);
	if (!service)
		return;
	upstream = calloc(1, sizeof(*upstream));
	if (!upstream)
		return;
	kl_name_copy(upstream->name.name, document->name);
	memcpy(upstream->host, host, strlen(host) + 1);
	kl_name_copy(upstream->domain, domain);
	upstream->port = (uint16_t)port;
	upstream->registered_primary = primary;
	upstream->version = document->version;
	upstream->leaving = leaving;
	upstream->leaving_after_us = document->leaving_after_us;
	if (kl_config_upstream_marked(config, document->name, domain,
				      &marked_after_us)) {
		if (!leaving || marked_after_us < upstream->leaving_after_us)
			upstream->leaving_after_us = marked_after_us;
		upstream->leaving = true;
	}
	upstream->service = service;
	service->upstream_count++;
	CK_STAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
}

bool kl_capacity_document_is_valid(json_t *json)
{
	int slots;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:i}", "slots",
			       &slots) &&
	       slots > 0;
}

void kl_capacity_document_add(kl_config_t *config,
			      const kl_document_t *document)
{
	kl_service_t *service;
	kl_upstream_t *upstream;
	int slots;

	json_unpack(document->json, "{s:i}", "slots", &slots);
	CK_STAILQ_FOREACH(service, &config->services, link) {
		CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
			if (!strcmp(upstream->name.name, document->name))
				upstream->execution_slots = (uint32_t)slots;
		}
	}
}

bool kl_replication_document_is_valid(json_t *json)
{
	int sync_replicas;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:i}",
			       "sync_replicas", &sync_replicas) &&
	       sync_replicas >= 0;
}

void kl_replication_document_add(kl_config_t *config,
				 const kl_document_t *document)
{
	kl_service_t *service =
		kl_index_get(config->service_index, document->name);
	int sync_replicas;

	json_unpack(document->json, "{s:i}", "sync_replicas", &sync_replicas);
	if (service)
		service->sync_replicas = (uint32_t)sync_replicas;
}

bool kl_route_document_is_valid(json_t *json)
{
	const char *service, *kind;
	int anonymous, max_age_ms, timeout_ms, target_ms, priority;

	return !json_unpack_ex(
		       json, NULL, JSON_STRICT, "{s:s,s:s,s:b,s:i,s:i,s:i,s:i}",
		       "service", &service, "kind", &kind, "open", &anonymous,
		       "max_age_ms", &max_age_ms, "timeout_ms", &timeout_ms,
		       "target_ms", &target_ms, "priority", &priority) &&
	       strlen(service) < KL_NAME_MAX &&
	       parse_route_kind(kind) < KL_ROUTE_KIND_COUNT &&
	       max_age_ms >= 0 && timeout_ms >= 0 && target_ms >= 0 &&
	       priority >= 0;
}

void kl_route_document_add(kl_config_t *config, const kl_document_t *document)
{
	kl_route_rule_t *route = calloc(1, sizeof(*route));
	const char *service, *kind;
	int anonymous, max_age_ms, timeout_ms, target_ms, priority;

	if (!route)
		return;
	json_unpack(document->json, "{s:s,s:s,s:b,s:i,s:i,s:i,s:i}", "service",
		    &service, "kind", &kind, "open", &anonymous, "max_age_ms",
		    &max_age_ms, "timeout_ms", &timeout_ms, "target_ms",
		    &target_ms, "priority", &priority);
	kl_name_copy(route->name.name, document->name);
	kl_name_copy(route->service, service);
	route->kind = parse_route_kind(kind);
	route->anonymous = anonymous;
	route->max_age_ms = (uint32_t)max_age_ms;
	route->statement_timeout_ms = (uint32_t)timeout_ms;
	route->target_latency_ms = (uint32_t)target_ms;
	route->priority = (uint32_t)priority;
	CK_STAILQ_INSERT_TAIL(&config->routes, route, link);
	kl_index_put(config->route_index, &route->name);
}

bool kl_limit_document_is_valid(json_t *json)
{
	int transaction_idle_ms;

	return !json_unpack_ex(json, NULL, JSON_STRICT, "{s:i}",
			       "transaction_idle_ms", &transaction_idle_ms) &&
	       transaction_idle_ms >= 0;
}

void kl_limit_document_add(kl_config_t *config, const kl_document_t *document)
{
	int transaction_idle_ms;

	json_unpack(document->json, "{s:i}", "transaction_idle_ms",
		    &transaction_idle_ms);
	config->transaction_idle_ms = (uint32_t)transaction_idle_ms;
}

static int parse_route_kind(const char *name)
{
	int kind = 0;

	while (kind < KL_ROUTE_KIND_COUNT && strcmp(name, route_kinds[kind]))
		kind++;
	return kind;
}
