#include <stdlib.h>
#include <string.h>

#include "path/engine_internal.h"

#define TIDY_US (50 * KL_MS) /* between two looks at deadlines and links */
#define REFUSE_US                                                   \
	(300 * KL_MS) /* after transactions: nothing waits any more \
		       */

static void look_at_waiting(kl_engine_t *engine);
static void look_at_callers(kl_engine_t *engine);
static bool waits_in_vain(const kl_caller_t *caller);
static bool ends_now(const kl_caller_t *caller);

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
	CK_LIST_INIT(&engine->list);
	CK_LIST_INIT(&engine->waiting);
	CK_STAILQ_INIT(&engine->clusters);
	return engine;
}

void kl_engine_free(kl_engine_t *engine)
{
	kl_caller_t *caller;

	if (!engine)
		return;
	kl_engine_enter(engine, engine->now);
	while ((caller = CK_LIST_FIRST(&engine->list)))
		kl_caller_end(caller, 0);
	kl_places_free(engine);
	kl_engine_leave(engine);
	free(engine);
}

void kl_engine_enter(kl_engine_t *engine, uint64_t now_us)
{
	engine->now = now_us;
	kl_read_begin(engine->reader);
	kl_scene_look(&engine->scene, engine->reader, now_us);
	if (engine->scene.config != engine->seen_config ||
	    engine->scene.terms != engine->seen_terms ||
	    engine->scene.members != engine->seen_members)
		kl_places_refresh(engine);
}

void kl_engine_leave(kl_engine_t *engine)
{
	kl_read_end(engine->reader);
}

void kl_engine_tick(kl_engine_t *engine, uint64_t now_us)
{
	kl_engine_enter(engine, now_us);
	look_at_waiting(engine);
	if (now_us - engine->tidied_us >= TIDY_US) {
		engine->tidied_us = now_us;
		kl_places_refresh(engine);
		look_at_callers(engine);
		kl_channels_tidy(engine);
	}
	kl_engine_leave(engine);
}

void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us)
{
	kl_engine_enter(engine, now_us);
	engine->drain_until_us = transactions_until_us;
	engine->refuse_from_us = transactions_until_us + REFUSE_US;
	look_at_callers(engine);
	kl_engine_leave(engine);
}

bool kl_engine_waits(const kl_engine_t *engine)
{
	return !CK_LIST_EMPTY(&engine->waiting);
}

uint32_t kl_engine_callers(const kl_engine_t *engine)
{
	return engine->callers;
}

const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine)
{
	return &engine->counts;
}

const kl_group_t *kl_engine_group(const kl_engine_t *engine,
				  const char *service)
{
	const kl_terms_t *terms = engine->scene.terms;

	return terms ? kl_index_get(terms->index, service) : NULL;
}

bool kl_engine_proven(const kl_engine_t *engine, const kl_group_t *group)
{
	return group && group->state == KL_GROUP_STABLE &&
	       kl_lease_valid(engine->scene.fresh, engine->scene.terms,
			      engine->now, engine->settings.path.lease_us);
}

static void look_at_waiting(kl_engine_t *engine)
{
	CK_LIST_HEAD(, kl_caller) looked_at;
	kl_caller_t *caller;

	/* Those that go on waiting are put on the list anew. */
	CK_LIST_INIT(&looked_at);
	while ((caller = CK_LIST_FIRST(&engine->waiting))) {
		CK_LIST_REMOVE(caller, looked_at);
		CK_LIST_INSERT_HEAD(&looked_at, caller, looked_at);
	}
	while ((caller = CK_LIST_FIRST(&looked_at))) {
		CK_LIST_REMOVE(caller, looked_at);
		caller->looks = false;
		kl_caller_look_again(caller);
	}
}

static void look_at_callers(kl_engine_t *engine)
{
	uint64_t idle = engine->scene.config
				? engine->scene.config->transaction_idle_ms
				: 0;
	kl_caller_t *caller, *next;

	CK_LIST_FOREACH_SAFE(caller, &engine->list, link, next) {
		bool resting = caller->run.stage == KL_RUN_NONE;

		if (waits_in_vain(caller))
			kl_caller_refuse(caller, -KL_E_DRAINING);
		else if (!resting)
			kl_run_overdue(caller);
		else if (ends_now(caller))
			kl_caller_end(caller, 0);
		else if (caller->transaction == 'T' && caller->channel &&
			 idle && engine->now - caller->idle_us > idle * KL_MS)
			kl_channel_abandon(caller->channel, true);
	}
}

/* What has not been sent when this process is about to end never will be. */
static bool waits_in_vain(const kl_caller_t *caller)
{
	const kl_engine_t *engine = caller->engine;
	kl_run_stage_t stage = caller->run.stage;

	return engine->refuse_from_us &&
	       engine->now >= engine->refuse_from_us &&
	       (stage == KL_RUN_TOKENS || stage == KL_RUN_ROUTE ||
		stage == KL_RUN_CHANNEL);
}

/* At a planned stop: at once, or when the transaction's time is over. */
static bool ends_now(const kl_caller_t *caller)
{
	const kl_engine_t *engine = caller->engine;

	if (!engine->drain_until_us)
		return false;
	if (engine->now >= engine->drain_until_us)
		return true;
	return caller->transaction == 'I' &&
	       engine->ops->quiet(engine->context, caller->front);
}
