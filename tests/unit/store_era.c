/*
 * Tests of the versions of the platform's objects: a store that is restored
 * from a copy assigns revisions again, and any version of its new era must be
 * newer than all of the old one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "control/store_era.h"

static void new_era_is_newer_than_the_old_one(void **state)
{
	uint64_t old = kl_store_version(1, 1000000);
	uint64_t new = kl_store_version(2, 3);
	(void)state;

	assert_true(new > old);
	assert_int_equal(kl_version_era(new), 2);
	assert_int_equal(kl_version_revision(new), 3);
}

/* A store without the header is handled as before there were eras. */
static void version_without_an_era_is_the_revision(void **state)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .revision = 9, .objects = &objects };
	(void)state;

	kl_store_era_add(&answer);
	assert_int_equal(answer.revision, 9);
	assert_int_equal(kl_store_version(0, 9), 9);
}

/* The store knows plain revisions; the version of a promotion is a term. */
static void calls_carry_plain_revisions(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .version = kl_store_version(4, 7),
				    .since_revision = kl_store_version(4, 6) };
	(void)state;

	kl_store_era_remove(&call);
	assert_int_equal(call.version, 7);
	assert_int_equal(call.since_revision, 6);
	call.op = KL_PLATFORM_PROMOTE;
	call.version = UINT64_MAX;
	kl_store_era_remove(&call);
	assert_int_equal(call.version, UINT64_MAX);
}

/* Guards against a malformed header that raises the era of the whole fleet. */
static void malformed_eras_are_refused(void **state)
{
	static const char *const malformed[] = {
		"",   "0",	 "-1",
		"+1", "x",	 "1x",
		" 1", "1048576", "99999999999999999999999"
	};
	uint64_t era = 0;
	(void)state;

	for (size_t i = 0; i < sizeof(malformed) / sizeof(*malformed); i++)
		assert_int_equal(kl_store_era_parse(malformed[i], &era),
				 -KL_E_PROTOCOL);
	assert_int_equal(era, 0);
	assert_int_equal(kl_store_era_parse("1048575", &era), 0);
	assert_int_equal(era, KL_ERA_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_era_is_newer_than_the_old_one),
		cmocka_unit_test(version_without_an_era_is_the_revision),
		cmocka_unit_test(calls_carry_plain_revisions),
		cmocka_unit_test(malformed_eras_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
