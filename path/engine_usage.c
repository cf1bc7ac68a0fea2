/*
 * Counts the operations that databases begin to run, for usage reports.  An
 * operation is counted once the reply to its first statement, or the loss of
 * that reply, shows that it may have run.
 */
#include "path/engine_internal.h"

static bool did_not_run(int error);

/* An operation begins with a statement that is sent outside a transaction. */
void kl_usage_stmt_sent(kl_conn_t *conn)
{
	if (conn->client && conn->client->transaction_status == 'I')
		conn->uncounted_since_us = conn->sent_us;
}

void kl_usage_stmt_ended(kl_conn_t *conn, int error)
{
	kl_engine_t *engine = conn->endpoint->cluster->engine;
	uint64_t sent_us = conn->uncounted_since_us;

	conn->uncounted_since_us = 0;
	if (sent_us && !did_not_run(error))
		engine->ops->count_operation(engine->context, conn->workspace,
					     sent_us);
}

/* Whether a reply says that the database did not begin the statement. */
static bool did_not_run(int error)
{
	static const int errors[] = { -KL_E_NO_UPSTREAM, -KL_E_NO_STATEMENT,
				      -KL_E_LAGGING,	 -KL_E_READ_ONLY,
				      -KL_E_MISROUTED,	 -KL_E_CONNECTIONS };

	for (size_t i = 0; i < sizeof(errors) / sizeof(*errors); i++)
		if (errors[i] == error)
			return true;
	return false;
}
