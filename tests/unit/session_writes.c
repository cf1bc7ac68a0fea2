/* Tests of the log positions that a session keeps of its writes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "path/session_writes.h"

static bool add(kl_session_writes_t *writes, const char *service,
		uint64_t number)
{
	kl_position_t position = { number ? 1 : 0, number };

	return kl_session_writes_add(writes, service, position);
}

/* Returns the number of a known position, 0 for none, -1 if it is unknown. */
static int find(const kl_session_writes_t *writes, const char *service)
{
	kl_position_t position = { 0, 0 };

	switch (kl_session_writes_find(writes, service, &position)) {
	case KL_WRITE_NONE:
		return 0;
	case KL_WRITE_KNOWN:
		return (int)position.number;
	default:
		return -1;
	}
}

/* Guards against a write that another one, at another service, replaces. */
static void each_service_has_its_position(void **state)
{
	kl_session_writes_t writes;
	(void)state;

	kl_session_writes_init(&writes);
	assert_int_equal(find(&writes, "a"), 0);
	assert_true(add(&writes, "a", 7));
	assert_true(add(&writes, "b", 3));
	assert_int_equal(find(&writes, "a"), 7);
	assert_int_equal(find(&writes, "b"), 3);
	assert_true(add(&writes, "a", 9));
	assert_int_equal(find(&writes, "a"), 9);
	assert_int_equal(writes.count, 2);
	assert_int_equal(find(&writes, "c"), 0);
	kl_session_writes_clear(&writes);
}

/*
 * Guards against a session that grows without bound, and against a read that
 * misses what was forgotten for that: such a read needs the primary.
 */
static void forgotten_writes_may_be_anywhere(void **state)
{
	kl_session_writes_t writes;
	char service[KL_NAME_MAX];
	(void)state;

	kl_session_writes_init(&writes);
	for (int i = 0; i < KL_SESSION_WRITES_MAX; i++) {
		snprintf(service, sizeof(service), "s%d", i);
		assert_true(add(&writes, service, 10 + (uint64_t)i));
	}
	assert_true(add(&writes, "s0", 30));
	assert_int_equal(find(&writes, "new"), 0);
	/* The least recent write is that of s1. */
	assert_false(add(&writes, "new", 31));
	assert_int_equal(writes.count, KL_SESSION_WRITES_MAX);
	assert_int_equal(find(&writes, "s0"), 30);
	assert_int_equal(find(&writes, "new"), 31);
	assert_int_equal(find(&writes, "s1"), -1);
	assert_int_equal(find(&writes, "never"), -1);
	kl_session_writes_clear(&writes);
}

/* A database may acknowledge a commit without a position. */
static void write_without_a_position_is_unknown(void **state)
{
	kl_session_writes_t writes;
	(void)state;

	kl_session_writes_init(&writes);
	assert_true(add(&writes, "a", 7));
	assert_true(add(&writes, "a", 0));
	assert_int_equal(find(&writes, "a"), -1);
	kl_session_writes_clear(&writes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_service_has_its_position),
		cmocka_unit_test(forgotten_writes_may_be_anywhere),
		cmocka_unit_test(write_without_a_position_is_unknown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
