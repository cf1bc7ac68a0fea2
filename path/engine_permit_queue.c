/* Queued statements that take permits, and connections that open under them. */
#include <string.h>

#include "board/permit.h"
#include "path/engine_internal.h"

static kl_client_t *choose_queued(const kl_endpoint_t *endpoint);
static bool open_under_permit(kl_client_t *client);
static kl_client_t *find_waiting(const kl_conn_t *conn);
static bool has_room(const kl_endpoint_t *endpoint);

bool kl_stmt_take_permit(kl_client_t *client)
{
	kl_engine_t *engine = client->engine;
	kl_permit_account_t *account = client->stmt.endpoint->permits;

	if (!account ||
	    kl_permit_take(account, kl_permit_level(client), engine->now_us))
		return true;
	if (!client->stmt.waited_for_permit)
		engine->counts.permit_waits++;
	client->stmt.waited_for_permit = true;
	return false;
}

bool kl_permits_are_needed(const kl_endpoint_t *endpoint)
{
	return endpoint->permits &&
	       kl_permit_is_needed(endpoint->permits,
				   endpoint->cluster->engine->now_us);
}

void kl_permits_serve_queue(kl_endpoint_t *endpoint)
{
	kl_client_t *client;
	kl_conn_t *conn;

	while (has_room(endpoint) && (client = choose_queued(endpoint)) &&
	       kl_stmt_take_permit(client)) {
		conn = kl_conn_find_idle(endpoint, client->workspace);
		if (conn)
			kl_conn_assign(conn, client);
		else if (!open_under_permit(client))
			return;
	}
}

bool kl_permits_conn_ready(kl_conn_t *conn)
{
	kl_client_t *client;
	uint64_t now_us;

	if (!conn->has_permit)
		return false;
	now_us = conn->endpoint->cluster->engine->now_us;
	if (conn->endpoint->permits)
		kl_permit_add_time(conn->endpoint->permits,
				   now_us - conn->stage_since_us);
	client = find_waiting(conn);
	conn->has_permit = false;
	if (!client)
		return false;
	client->stmt.has_permit = false;
	if (!kl_endpoint_may_start(conn->endpoint))
		return false;
	conn->stage_since_us = now_us;
	kl_conn_assign(conn, client);
	return true;
}

void kl_permits_conn_lost(kl_conn_t *conn)
{
	kl_client_t *client;

	if (!conn->has_permit)
		return;
	client = find_waiting(conn);
	if (client)
		client->stmt.has_permit = false;
}

uint32_t kl_permit_level(const kl_client_t *client)
{
	return client->route.priority < KL_PERMIT_LEVELS
		       ? client->route.priority
		       : KL_PERMIT_LEVELS - 1;
}

/*
 * Chooses the queued statement that gets the next permit: the most urgent one,
 * of these one with an idle connection, which saves the slot's time for opening
 * one, and of these the oldest, or the newest after a long wait.
 */
static kl_client_t *choose_queued(const kl_endpoint_t *endpoint)
{
	bool may_open = kl_endpoint_may_open(endpoint);
	bool newest_first = kl_endpoint_has_long_wait(endpoint);
	uint32_t rank, best_rank = UINT32_MAX;
	kl_client_t *client, *best = NULL;

	CK_STAILQ_FOREACH(client, &endpoint->queue, queue_link) {
		bool has_idle = !client->stmt.has_permit &&
				kl_conn_find_idle(endpoint, client->workspace);

		if (client->stmt.has_permit || (!has_idle && !may_open))
			continue;
		rank = 2 * kl_permit_level(client) + !has_idle;
		if (rank > best_rank || (rank == best_rank && !newest_first))
			continue;
		best = client;
		best_rank = rank;
	}
	return best;
}

/* Opens a connection for a statement that has a permit. */
static bool open_under_permit(kl_client_t *client)
{
	kl_conn_t *conn =
		kl_endpoint_open_conn(client->stmt.endpoint, client->workspace);

	if (!conn)
		return false;
	conn->has_permit = true;
	client->stmt.has_permit = true;
	return true;
}

/*
 * Finds a queued statement of a connection's workspace, one that waits for such
 * a connection if there is any.
 */
static kl_client_t *find_waiting(const kl_conn_t *conn)
{
	kl_client_t *client, *other = NULL;

	CK_STAILQ_FOREACH(client, &conn->endpoint->queue, queue_link) {
		if (strcmp(client->workspace, conn->workspace))
			continue;
		if (client->stmt.has_permit)
			return client;
		if (!other)
			other = client;
	}
	return other;
}

/* Whether this VM's window allows one more statement. */
static bool has_room(const kl_endpoint_t *endpoint)
{
	return endpoint->running_stmts + kl_permits_count_opening(endpoint) <
	       endpoint->stmt_window;
}

uint32_t kl_permits_count_opening(const kl_endpoint_t *endpoint)
{
	const kl_conn_t *conn;
	uint32_t count = 0;

	CK_STAILQ_FOREACH(conn, &endpoint->conns, link)
		count += conn->has_permit;
	return count;
}
