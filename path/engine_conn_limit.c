/* The limit of a VM's connections to a database, and when one may be opened. */
#include "path/engine_internal.h"

/* Time between two raises of the connection limit above the even share. */
#define LIMIT_RAISE_INTERVAL_US (150 * KL_MS)
/* No connection is opened for this long after a failed attempt. */
#define CONNECT_BACKOFF_US (30 * KL_MS)

static bool may_raise_limit(const kl_endpoint_t *endpoint);
static bool allow_new_conn(kl_endpoint_t *endpoint);

kl_conn_t *kl_endpoint_open_conn(kl_endpoint_t *endpoint, const char *workspace)
{
	if (endpoint->open_conns >= endpoint->conn_limit &&
	    !allow_new_conn(endpoint))
		return NULL;
	return kl_conn_open(endpoint, workspace);
}

bool kl_endpoint_may_open(const kl_endpoint_t *endpoint)
{
	return kl_endpoint_may_connect(endpoint) &&
	       (endpoint->open_conns < endpoint->conn_limit ||
		kl_endpoint_longest_idle(endpoint) ||
		may_raise_limit(endpoint));
}

bool kl_endpoint_may_connect(const kl_endpoint_t *endpoint)
{
	return endpoint->cluster->engine->now_us -
		       endpoint->last_connect_failure_us >=
	       CONNECT_BACKOFF_US;
}

/*
 * Allows one more connection when the limit is reached: closes the connection
 * that has been idle longest, or raises the limit above this VM's even share.
 * Other VMs may not need their shares; if they do, the database refuses the
 * connection.
 */
static bool allow_new_conn(kl_endpoint_t *endpoint)
{
	kl_conn_t *conn = kl_endpoint_longest_idle(endpoint);

	if (conn) {
		kl_conn_close(conn);
		return true;
	}
	if (!may_raise_limit(endpoint))
		return false;
	endpoint->last_limit_raise_us = endpoint->cluster->engine->now_us;
	endpoint->conn_limit++;
	return true;
}

static bool may_raise_limit(const kl_endpoint_t *endpoint)
{
	uint64_t now_us = endpoint->cluster->engine->now_us;

	return endpoint->conn_limit < endpoint->conn_limit_max &&
	       now_us - endpoint->last_limit_raise_us >=
		       LIMIT_RAISE_INTERVAL_US &&
	       now_us - endpoint->last_db_full_us >= DB_FULL_HOLD_US;
}

/* Lowers the limit to the open connections: the database allows no more. */
void kl_endpoint_lower_limit(kl_endpoint_t *endpoint)
{
	endpoint->last_db_full_us = endpoint->cluster->engine->now_us;
	endpoint->last_connect_failure_us = endpoint->last_db_full_us;
	endpoint->conn_limit =
		endpoint->open_conns > 1 ? endpoint->open_conns : 1;
}
