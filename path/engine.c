#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define TIDY_US (50 * KL_MS) /* between two looks at deadlines and links */
#define REFUSE_US                                                   \
	(300 * KL_MS) /* after transactions: nothing waits any more \
		       */

static void look_at_waiting(kl_engine_t *engine);
static void look_at_callers(kl_engine_t *engine);
static bool waits_in_vain(const kl_client_t *caller);
static bool ends_now(const kl_client_t *caller);

kl_engine_t *kl_engine_new(const kl_engine_settings_t *settings,
			   const kl_engine_ops_t *ops, void *context,
			   kl_reader_t *reader)
{
	kl_engine_t *engine = calloc(1, sizeof(*engine));

	if (!engine)
		return NULL;
	engine->settings = *settings;
	engine->ops = ops;
	engine->context = context;
	engine->reader = reader;
	CK_LIST_INIT(&engine->clients);
	CK_LIST_INIT(&engine->waiting);
	CK_STAILQ_INIT(&engine->clusters);
	return engine;
}

void kl_engine_free(kl_engine_t *engine)
{
	kl_client_t *caller;

	if (!engine)
		return;
	kl_engine_enter(engine, engine->now_us);
	while ((caller = CK_LIST_FIRST(&engine->clients)))
		kl_client_end_session(caller, 0);
	kl_endpoints_free(engine);
	kl_engine_exit(engine);
	free(engine);
}

void kl_engine_enter(kl_engine_t *engine, uint64_t now_us)
{
	engine->now_us = now_us;
	kl_read_begin(engine->reader);
	kl_view_load(&engine->view, engine->reader, now_us);
	if (engine->view.config != engine->seen_config ||
	    engine->view.terms != engine->seen_terms ||
	    engine->view.members != engine->seen_members)
		kl_endpoints_refresh(engine);
}

void kl_engine_exit(kl_engine_t *engine)
{
	kl_read_end(engine->reader);
}

void kl_engine_tick(kl_engine_t *engine, uint64_t now_us)
{
	kl_engine_enter(engine, now_us);
	look_at_waiting(engine);
	if (now_us - engine->last_sweep_us >= TIDY_US) {
		engine->last_sweep_us = now_us;
		kl_endpoints_refresh(engine);
		look_at_callers(engine);
		kl_conns_sweep(engine);
	}
	kl_engine_exit(engine);
}

void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us)
{
	kl_engine_enter(engine, now_us);
	engine->drain_until_us = transactions_until_us;
	engine->refuse_from_us = transactions_until_us + REFUSE_US;
	look_at_callers(engine);
	kl_engine_exit(engine);
}

bool kl_engine_has_waiting(const kl_engine_t *engine)
{
	return !CK_LIST_EMPTY(&engine->waiting);
}

uint32_t kl_engine_client_count(const kl_engine_t *engine)
{
	return engine->client_count;
}

const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine)
{
	return &engine->counts;
}

const kl_group_t *kl_engine_find_group(const kl_engine_t *engine,
				       const char *service)
{
	const kl_terms_t *terms = engine->view.terms;

	return terms ? kl_index_get(terms->index, service) : NULL;
}

bool kl_engine_primary_proven(const kl_engine_t *engine,
			      const kl_group_t *group)
{
	return group && group->state == KL_GROUP_STABLE &&
	       kl_lease_valid(engine->view.fresh, engine->view.terms,
			      engine->now_us, engine->settings.path.lease_us);
}

static void look_at_waiting(kl_engine_t *engine)
{
	CK_LIST_HEAD(, kl_client) looked_at;
	kl_client_t *caller;

	/* Those that go on waiting are put on the list anew. */
	CK_LIST_INIT(&looked_at);
	while ((caller = CK_LIST_FIRST(&engine->waiting))) {
		CK_LIST_REMOVE(caller, waiting_link);
		CK_LIST_INSERT_HEAD(&looked_at, caller, waiting_link);
	}
	while ((caller = CK_LIST_FIRST(&looked_at))) {
		CK_LIST_REMOVE(caller, waiting_link);
		caller->on_waiting_list = false;
		kl_client_recheck(caller);
	}
}

static void look_at_callers(kl_engine_t *engine)
{
	uint64_t idle = engine->view.config
				? engine->view.config->transaction_idle_ms
				: 0;
	kl_client_t *caller, *next;

	CK_LIST_FOREACH_SAFE(caller, &engine->clients, link, next) {
		bool resting = caller->stmt.stage == KL_STMT_NONE;

		if (waits_in_vain(caller))
			kl_client_refuse(caller, -KL_E_DRAINING);
		else if (!resting)
			kl_stmt_check_deadlines(caller);
		else if (ends_now(caller))
			kl_client_end_session(caller, 0);
		else if (caller->txn_state == 'T' && caller->conn && idle &&
			 engine->now_us - caller->idle_since_us > idle * KL_MS)
			kl_conn_abandon(caller->conn, true);
	}
}

/* What has not been sent when this process is about to end never will be. */
static bool waits_in_vain(const kl_client_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	kl_stmt_stage_t stage = caller->stmt.stage;

	return engine->refuse_from_us &&
	       engine->now_us >= engine->refuse_from_us &&
	       (stage == KL_STMT_WAIT_TOKENS ||
		stage == KL_STMT_WAIT_UPSTREAM || stage == KL_STMT_WAIT_CONN);
}

/* At a planned stop: at once, or when the transaction's time is over. */
static bool ends_now(const kl_client_t *caller)
{
	const kl_engine_t *engine = caller->engine;

	if (!engine->drain_until_us)
		return false;
	if (engine->now_us >= engine->drain_until_us)
		return true;
	return caller->txn_state == 'I' &&
	       engine->ops->input_empty(engine->context, caller->front);
}
