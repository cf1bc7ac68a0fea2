/* Planned stop: which statements are refused, and which sessions end. */
#include "path/engine_internal.h"

/*
 * At a planned stop waiting statements are refused this long after the open
 * transactions were ended.
 */
#define DRAIN_REFUSE_US (300 * KL_MS)
/* A session that was idle for this long is ended at a planned stop. */
#define DRAIN_IDLE_US (50 * KL_MS)

void kl_drain_begin(kl_engine_t *engine, uint64_t transactions_until_us,
		    uint64_t end_us)
{
	engine->drain_until_us = transactions_until_us;
	engine->drain_end_us = end_us;
	engine->refuse_from_us = transactions_until_us + DRAIN_REFUSE_US;
}

bool kl_drain_time_is_over(const kl_engine_t *engine)
{
	return engine->drain_until_us &&
	       engine->now_us >= engine->drain_until_us;
}

bool kl_drain_starts_too_late(const kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;

	return kl_drain_time_is_over(engine) ||
	       (engine->drain_until_us &&
		engine->now_us + client->route.stmt_timeout_us >
			engine->drain_end_us);
}

bool kl_drain_refuses_waiting(const kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;
	kl_stmt_stage_t stage = client->stmt.stage;

	return engine->refuse_from_us &&
	       engine->now_us >= engine->refuse_from_us &&
	       (stage == KL_STMT_WAIT_TOKENS ||
		stage == KL_STMT_WAIT_UPSTREAM || stage == KL_STMT_WAIT_CONN);
}

/* What the client has sent behind the statement is refused first. */
bool kl_drain_ends_refused(const kl_client_t *client, int error)
{
	const kl_engine_t *engine = client->engine;

	return (error == -KL_E_DRAINING || kl_drain_time_is_over(engine)) &&
	       engine->ops->input_empty(engine->context, client->front);
}

bool kl_drain_ends_idle(const kl_client_t *client)
{
	const kl_engine_t *engine = client->engine;

	if (!engine->drain_until_us ||
	    !engine->ops->input_empty(engine->context, client->front))
		return false;
	if (engine->now_us >= engine->drain_end_us)
		return true;
	/* A client that has just got its answer may be sending a request. */
	return engine->now_us - client->idle_since_us >= DRAIN_IDLE_US &&
	       (client->transaction_status == 'I' ||
		kl_drain_time_is_over(engine));
}
