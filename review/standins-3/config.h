/**
 * @file
 * Configurations that the operator writes.
 */
#ifndef REVIEW_3_CONFIG_H
#define REVIEW_3_CONFIG_H

/** Route that the clients of a case use, to the databases' service. */
#define ROUTE "orders"

/**
 * Make the body that stores a configuration with the route and one tenant.
 *
 * @param keys JSON, the tenant's keys: "\"k1\",\"k2\""
 * @param more_routes number of further routes, each with about 210 bytes
 * @return to be freed
 */
char *config_body(int version, const char *keys, int more_routes);

/** The same, with a service whose commits have one synchronous replica. */
char *config_body_synced(int version, const char *keys);

/** Store a first configuration. @return whether the store accepted it */
int config_create(const char *store, const char *body);

/** Store the next one. @return whether the store accepted it */
int config_replace(const char *store, const char *body);

#endif
