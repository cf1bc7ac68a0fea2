/*
 * Tests of what the documents take from the platform's objects that have them:
 * their generations and names.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "platform/documents.h"
#include "platform/format.h"

static uint64_t generation(kl_feed_t feed, const char *text)
{
	json_t *spec = json_loads(text, JSON_DECODE_ANY, NULL);
	uint64_t number = kl_platform_kinds[feed].generation(40, spec);

	json_decref(spec);
	return number;
}

/* Guards against a report of a new process that looks older than the last. */
static void reports_are_ordered_by_start_and_count(void **state)
{
	uint64_t first = generation(KL_FEED_UPSTREAMS,
				    "{\"born\":1796619313997,\"sequence\":1}");
	(void)state;

	assert_true(generation(KL_FEED_UPSTREAMS,
			       "{\"born\":1796619313997,\"sequence\":2}") >
		    first);
	assert_true(generation(KL_FEED_UPSTREAMS,
			       "{\"born\":1796619313998,\"sequence\":0}") >
		    generation(KL_FEED_UPSTREAMS, "{\"born\":1796619313997,"
						  "\"sequence\":900000000}"));
	/* Without the start the counts of two processes can't be compared. */
	assert_int_equal(generation(KL_FEED_UPSTREAMS, "{\"sequence\":9}"), 0);
	assert_int_equal(
		generation(KL_FEED_UPSTREAMS, "{\"born\":-1,\"sequence\":1}"),
		0);
	assert_int_equal(
		generation(KL_FEED_UPSTREAMS, "{\"born\":9e18,\"sequence\":1}"),
		0);
}

static void versions_are_ordered_by_number(void **state)
{
	(void)state;

	assert_int_equal(generation(KL_FEED_CONFIG, "{\"configVersion\":17}"),
			 17);
	assert_int_equal(generation(KL_FEED_CONFIG, "{\"configVersion\":-1}"),
			 0);
	assert_int_equal(generation(KL_FEED_CONFIG, "{}"), 0);
	assert_int_equal(generation(KL_FEED_MARKS, "{}"), 40);
}

/* All documents of an object get its generation, in lists and in watches. */
static void documents_have_the_generation_of_their_object(void **state)
{
	const char *list =
		"{\"storeRevision\":50,\"items\":[{\"meta\":{\"name\":\"main\","
		"\"revision\":40},\"spec\":{\"configVersion\":17,\"services\":["
		"{\"name\":\"s\",\"maxConns\":3}]}}]}";
	kl_platform_call_t call = { .op = KL_PLATFORM_LIST,
				    .feed = KL_FEED_CONFIG };
	kl_json_slice_t body = { list, strlen(list) };
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .objects = &objects };
	char after[KL_NAME_MAX] = "";
	const kl_object_t *object;
	uint32_t count = 0;
	(void)state;

	kl_format_objects.decode_response(&call, 200, body, &answer, after);
	CK_STAILQ_FOREACH(object, &objects, link) {
		assert_int_equal(object->generation, 17);
		count++;
	}
	assert_int_equal(count, 2); /* the service, and the limits */
	kl_object_list_clear(&objects);
}

/* Guards against a mark or a workspace that is ignored without a trace. */
static void names_that_are_too_long_are_counted(void **state)
{
	const char *list =
		"{\"storeRevision\":50,\"items\":[{\"meta\":{\"name\":"
		"\"a-failure-domain-whose-name-is-longer-than-it-may-be\","
		"\"revision\":40},\"spec\":{}},{\"meta\":{\"name\":\"d1\","
		"\"revision\":41},\"spec\":{}},{\"meta\":{\"revision\":42}}]}";
	kl_platform_call_t call = { .op = KL_PLATFORM_LIST,
				    .feed = KL_FEED_MARKS };
	kl_json_slice_t body = { list, strlen(list) };
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .objects = &objects };
	char after[KL_NAME_MAX] = "";
	(void)state;

	kl_format_objects.decode_response(&call, 200, body, &answer, after);
	assert_int_equal(answer.skipped, 2);
	assert_string_equal(CK_STAILQ_FIRST(&objects)->name.name,
			    "mark/databases/d1");
	kl_object_list_clear(&objects);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reports_are_ordered_by_start_and_count),
		cmocka_unit_test(versions_are_ordered_by_number),
		cmocka_unit_test(documents_have_the_generation_of_their_object),
		cmocka_unit_test(names_that_are_too_long_are_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
