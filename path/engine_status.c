/* Status queries to databases. */
#include "path/engine_internal.h"

/* The primary's status is queried when its newest position sample is older. */
#define PRIMARY_SAMPLE_US (700 * KL_MS)
/* No positions are sampled in a cluster without statements for this long. */
#define CLUSTER_UNUSED_US (10 * KL_SEC)

/* Queries the primary's log position if no recent reply has reported it. */
void kl_cluster_sample_primary(kl_cluster_t *cluster)
{
	kl_engine_t *engine = cluster->engine;
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);
	kl_endpoint_t *endpoint;

	if (!cluster->last_used_us ||
	    engine->now_us - cluster->last_used_us > CLUSTER_UNUSED_US ||
	    !kl_engine_primary_proven(engine, group) ||
	    engine->now_us - kl_log_samples_newest_us(
				     &cluster->position_samples) <
		    PRIMARY_SAMPLE_US)
		return;
	endpoint = kl_endpoint_find(cluster, group->primary);
	/*
	 * Without a sample reads go to the primary, which costs less than
	 * opening a connection for the query.  A primary that has left gets no
	 * reads, and replicas can serve them only with samples.
	 */
	if (endpoint && endpoint->accepts_stmts &&
	    (kl_endpoint_longest_idle(endpoint) ||
	     !kl_endpoint_may_start(endpoint)))
		kl_endpoint_query_status(endpoint, true);
}

/*
 * Queries an endpoint's status, unless a status query or a connection attempt
 * is in progress.  Opens a connection if none is idle.
 */
void kl_endpoint_query_status(kl_endpoint_t *endpoint, bool primary_proven)
{
	static const kl_conn_msg_t status = { .kind = KL_CONN_MSG_STATUS };
	kl_engine_t *engine = endpoint->cluster->engine;
	kl_conn_t *conn;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link) {
		if ((conn->stage == KL_CONN_DETACHED &&
		     conn->is_status_query) ||
		    conn->stage == KL_CONN_OPENING)
			return;
	}
	conn = kl_endpoint_longest_idle(endpoint);
	if (!conn) {
		if ((endpoint->open_conns < endpoint->conn_limit ||
		     endpoint->may_be_down) &&
		    kl_endpoint_may_connect(endpoint))
			kl_conn_open(endpoint,
				     endpoint->cluster->last_workspace);
		return;
	}
	if (kl_conn_send(conn, &status)) {
		kl_conn_close(conn);
		return;
	}
	conn->stage = KL_CONN_DETACHED;
	conn->is_status_query = true;
	conn->pending_replies = 1;
	conn->primary_proven = primary_proven;
	conn->sent_us = engine->now_us;
	conn->stage_since_us = engine->now_us;
}
