/*
 * Tests of the order of waiting statements, without an engine.  One statement
 * runs at a time, for 10 ms, and all workspaces have idle connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "path/stmt_queue.h"

#define MS 1000U
#define RUN_US (10 * MS)
#define STMTS_MAX 256

static kl_stmt_queue_t queue;
static kl_queued_stmt_t stmts[STMTS_MAX];
static uint32_t stmt_count;
static uint64_t now_us;

static bool always(const void *context, const char *workspace)
{
	(void)context;
	(void)workspace;
	return true;
}

static int set_up(void **state)
{
	(void)state;
	kl_stmt_queue_init(&queue, &kl_stmt_order_priority);
	memset(stmts, 0, sizeof(stmts));
	stmt_count = 0;
	now_us = 1000 * MS;
	return 0;
}

static int clean_up(void **state)
{
	(void)state;
	kl_stmt_queue_clear(&queue);
	return 0;
}

static kl_queued_stmt_t *make(const char *workspace, uint64_t weight,
			      uint32_t priority, uint64_t wait_ms)
{
	kl_queued_stmt_t *stmt = &stmts[stmt_count++];

	stmt->workspace = workspace;
	stmt->weight = weight;
	stmt->priority = priority;
	stmt->received_us = now_us;
	stmt->target_us = wait_ms * MS;
	stmt->deadline_us = now_us + wait_ms * MS;
	stmt->limit_us = stmt->deadline_us;
	return stmt;
}

static kl_queued_stmt_t *push(const char *workspace, uint64_t weight,
			      uint32_t priority, uint64_t wait_ms)
{
	kl_queued_stmt_t *stmt = make(workspace, weight, priority, wait_ms);

	kl_stmt_queue_set_places(&queue, 1, queue.time.running);
	kl_stmt_queue_push(&queue, stmt, now_us);
	return stmt;
}

/* Runs the statement that is first. @return it, or NULL */
static kl_queued_stmt_t *run_next(void)
{
	kl_queue_offer_t offer = { .now_us = now_us,
				   .places = 1,
				   .has_conn = always,
				   .may_replace = always };
	kl_queued_stmt_t *stmt = queue.order->choose(&queue, &offer);
	kl_running_stmt_t running;

	if (!stmt)
		return NULL;
	kl_stmt_queue_remove(&queue, stmt, now_us);
	kl_stmt_queue_sent(&queue, &running, stmt->workspace, stmt->priority,
			   now_us);
	now_us += RUN_US;
	kl_stmt_queue_set_places(&queue, 1, 1);
	kl_stmt_queue_done(&queue, &running, stmt->workspace, now_us);
	return stmt;
}

/* A kind that is more urgent than all others would wait for them. */
static void urgent_statements_go_first(void **state)
{
	kl_queued_stmt_t *late = push("a", 1, 2, 900);
	kl_queued_stmt_t *urgent = push("a", 1, 0, 900);
	kl_queued_stmt_t *middle = push("a", 1, 1, 900);
	(void)state;

	assert_ptr_equal(run_next(), urgent);
	/* Nothing of the least urgent priority has run: its floor. */
	assert_ptr_equal(run_next(), late);
	assert_ptr_equal(run_next(), middle);
	assert_null(run_next());
}

/* A statement would miss its deadline behind one that has more time. */
static void earlier_deadlines_go_first(void **state)
{
	kl_queued_stmt_t *later = push("a", 1, 0, 900);
	kl_queued_stmt_t *earlier = push("a", 1, 0, 300);
	(void)state;

	assert_ptr_equal(run_next(), earlier);
	assert_ptr_equal(run_next(), later);
}

/* Serving what is late would make the others late, too. */
static void late_statements_go_last_and_newest_first(void **state)
{
	kl_queued_stmt_t *older = push("a", 1, 0, 20);
	kl_queued_stmt_t *old = push("a", 1, 0, 30);
	kl_queued_stmt_t *fresh;
	(void)state;

	now_us += 50 * MS;
	fresh = push("a", 1, 0, 900);
	assert_ptr_equal(run_next(), fresh);
	assert_ptr_equal(run_next(), old);
	assert_ptr_equal(run_next(), older);
}

/* A plan with three times the rate gets three times the time. */
static void workspaces_get_time_by_weight(void **state)
{
	uint32_t runs_of_large = 0;
	(void)state;

	for (int i = 0; i < 80; i++) {
		push("large", 300, 0, 9000);
		push("small", 100, 0, 9000);
	}
	for (int i = 0; i < 80; i++)
		runs_of_large += !strcmp(run_next()->workspace, "large");
	assert_in_range(runs_of_large, 58, 62);
}

/* The least urgent kind would starve behind an endless more urgent one. */
static void least_urgent_gets_a_tenth(void **state)
{
	uint32_t runs_of_lowest = 0;
	(void)state;

	for (int i = 0; i < 110; i++) {
		push("a", 1, 0, 9000);
		push("a", 1, 7, 9000);
	}
	for (int i = 0; i < 100; i++)
		runs_of_lowest += run_next()->priority == 7;
	assert_in_range(runs_of_lowest, 10, 11);
}

/* Statements that wait in vain keep clients from trying elsewhere. */
static void hopeless_statements_are_refused_at_once(void **state)
{
	kl_running_stmt_t running;
	(void)state;

	for (int i = 0; i < 40; i++)
		push("a", 1, 1, 9000);
	for (int i = 0; i < 20; i++)
		run_next();
	kl_stmt_queue_sent(&queue, &running, "a", 1, now_us);
	kl_stmt_queue_set_places(&queue, 1, 1);
	/* 20 statements of 10 ms wait, and a third of the time is kept. */
	assert_true(kl_stmt_too_late(&queue, make("a", 1, 1, 250), now_us));
	assert_false(kl_stmt_too_late(&queue, make("a", 1, 1, 450), now_us));
	assert_true(kl_stmt_too_late(&queue, make("b", 1, 2, 60), now_us));
	/* They are less urgent, or of a workspace that has used its part. */
	assert_false(kl_stmt_too_late(&queue, make("a", 1, 0, 60), now_us));
	assert_false(kl_stmt_too_late(&queue, make("b", 1, 1, 60), now_us));
	kl_stmt_queue_done(&queue, &running, "a", now_us);
}

/* The memory of each workspace that was ever seen would add up. */
static void idle_workspaces_are_forgotten(void **state)
{
	(void)state;

	push("a", 1, 0, 100);
	run_next();
	assert_non_null(CK_STAILQ_FIRST(&queue.time.flows));
	now_us += 100 * 100 * MS;
	kl_upstream_time_update(&queue.time, false, now_us);
	assert_null(CK_STAILQ_FIRST(&queue.time.flows));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, clean_up)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(urgent_statements_go_first),
		TEST(earlier_deadlines_go_first),
		TEST(late_statements_go_last_and_newest_first),
		TEST(workspaces_get_time_by_weight),
		TEST(least_urgent_gets_a_tenth),
		TEST(hopeless_statements_are_refused_at_once),
		TEST(idle_workspaces_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
