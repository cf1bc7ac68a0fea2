/*
 * Tests of the earliest time at which a change can have been stored.  A time
 * that is too late would let a VM use a database that leaves for too long.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "control/revision_time.h"

static void a_change_is_younger_than_the_last_lower_revision(void **state)
{
	kl_revision_times_t times = { 0 };
	(void)state;

	kl_revision_times_add(&times, 5, 100);
	kl_revision_times_add(&times, 7, 200);
	kl_revision_times_add(&times, 7, 300);
	assert_int_equal(kl_revision_times_before(&times, 5), 0);
	assert_int_equal(kl_revision_times_before(&times, 6), 100);
	assert_int_equal(kl_revision_times_before(&times, 7), 100);
	assert_int_equal(kl_revision_times_before(&times, 8), 300);
}

/* The store answers from an older state than this VM knows. */
static void an_answer_from_the_past_tells_nothing(void **state)
{
	kl_revision_times_t times = { 0 };
	(void)state;

	kl_revision_times_add(&times, 5, 100);
	kl_revision_times_seen(&times, 9);
	kl_revision_times_add(&times, 6, 500);
	assert_int_equal(kl_revision_times_before(&times, 8), 100);
	kl_revision_times_add(&times, 9, 600);
	assert_int_equal(kl_revision_times_before(&times, 10), 600);
}

/* A watch is answered long after it was sent. */
static void a_late_answer_hides_no_later_time(void **state)
{
	kl_revision_times_t times = { 0 };
	(void)state;

	kl_revision_times_add(&times, 5, 400);
	kl_revision_times_add(&times, 6, 100);
	assert_int_equal(kl_revision_times_before(&times, 6), 400);
	assert_int_equal(kl_revision_times_newest(&times)->time_us, 400);
}

static void what_is_forgotten_is_not_known(void **state)
{
	kl_revision_times_t times = { 0 };
	(void)state;

	for (uint64_t i = 1; i <= KL_REVISION_SAMPLES + 5; i++)
		kl_revision_times_add(&times, 10 * i, 100 * i);
	assert_int_equal(kl_revision_times_before(&times, 15), 0);
	assert_int_equal(kl_revision_times_before(&times, 65), 600);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			a_change_is_younger_than_the_last_lower_revision),
		cmocka_unit_test(an_answer_from_the_past_tells_nothing),
		cmocka_unit_test(a_late_answer_hides_no_later_time),
		cmocka_unit_test(what_is_forgotten_is_not_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
