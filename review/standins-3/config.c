#include <stdio.h>
#include <stdlib.h>

#include "common.h"
#include "config.h"

#define HEAD                                                                   \
	"{\"meta\":{\"name\":\"main\"},\"spec\":{\"configVersion\":%d,"        \
	"\"services\":[{\"name\":\"stand\",\"maxConns\":32,\"syncReplicas\":%" \
	"d}],"                                                                 \
	"\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"bakery\","    \
	"\"apiKeys\":[%s],\"ratePerS\":1000,\"burst\":1000}],"                 \
	"\"routes\":[{\"database\":\"" ROUTE                                   \
	"\",\"routeType\":\"primary\",\"timeoutMs\":1000,"                     \
	"\"targetLatencyMs\":200,\"priority\":1,\"service\":\"stand\","        \
	"\"public\":false}"
#define FURTHER                                                         \
	",{\"name\":\"r-%06d\",\"database\":\"db%06d\",\"pathPrefix\":" \
	"\"/\",\"routeType\":\"bounded_staleness\",\"timeoutMs\":3000," \
	"\"targetLatencyMs\":800,\"priority\":2,\"service\":\"stand\"," \
	"\"attempts\":2,\"maxStalenessMs\":1500,\"public\":false}"
#define TAIL "]}}"
#define ROUTE_MAX 320 /* bytes of a further route */

static char *make_body(int version, const char *keys, int sync_replicas,
		       int more_routes)
{
	size_t size = sizeof(HEAD) + 256 + (size_t)more_routes * ROUTE_MAX;
	char *body = malloc(size);
	int length;

	if (!body)
		return NULL;
	length = snprintf(body, size, HEAD, version, sync_replicas, keys);
	for (int i = 0; i < more_routes; i++)
		length += snprintf(body + length, size - (size_t)length,
				   FURTHER, i, i);
	snprintf(body + length, size - (size_t)length, TAIL);
	return body;
}

char *config_body(int version, const char *keys, int more_routes)
{
	return make_body(version, keys, 0, more_routes);
}

char *config_body_synced(int version, const char *keys)
{
	return make_body(version, keys, 1, 0);
}

int config_create(const char *store, const char *body)
{
	return http_call(store, "POST", "/-/objects/config", body) == 200;
}

int config_replace(const char *store, const char *body)
{
	return http_call(store, "PUT", "/-/objects/config/main", body) == 200;
}
