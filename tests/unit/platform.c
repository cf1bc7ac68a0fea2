/* The platform's formats: requests, answers, documents, lines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <event2/buffer.h>

#include "platform/documents.h"
#include "platform/format.h"
#include "platform/line.h"

static const kl_platform_endpoint_t place = { "http://p:1", "http://q:2",
					      "a1" };

static void request_of(kl_platform_call_t *call, const char *after,
		       kl_http_request_t *request)
{
	memset(request, 0, sizeof(*request));
	kl_format_objects.encode_request(&place, call, after, request);
}

static void requests_name_kind_and_revision(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_WATCH,
				    .feed = KL_FEED_CONFIG,
				    .since_revision = 530 };
	kl_http_request_t request;
	(void)state;

	request_of(&call, "", &request);
	assert_string_equal(
		request.url,
		"http://p:1/-/objects/config?watch=530&waitMs=3000");
	call.op = KL_PLATFORM_LIST;
	request_of(&call, "main", &request);
	assert_string_equal(request.url,
			    "http://p:1/-/objects/config?after=main");
}

static void records_are_created_replaced_and_removed(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .name = "group/orders",
				    .body = "{\"term\":2}" };
	kl_http_request_t request;
	(void)state;

	request_of(&call, "", &request);
	assert_string_equal(request.method, "POST");
	assert_string_equal(request.url,
			    "http://p:1/-/objects/kumquatloft-terms");
	assert_non_null(strstr(request.body, "\"name\":\"group.orders\""));
	free(request.body);
	call.version = 7;
	request_of(&call, "", &request);
	assert_string_equal(request.method, "PUT");
	assert_non_null(strstr(request.body, "\"revision\":7"));
	free(request.body);
	call.body = "null";
	request_of(&call, "", &request);
	assert_string_equal(request.method, "DELETE");
	assert_non_null(strstr(request.url, "group.orders?revision=7"));
}

static void a_promotion_carries_holder_and_token(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PROMOTE,
				    .name = "orders",
				    .version = 9,
				    .body = "i-1" };
	kl_http_request_t request;
	(void)state;

	request_of(&call, "", &request);
	assert_string_equal(request.url, "http://q:2/promote");
	assert_string_equal(request.headers[1], "Lease-Holder: a1");
	assert_string_equal(request.headers[2], "Fencing-Token: 9");
	assert_non_null(strstr(request.body, "\"id\":\"i-1\""));
	free(request.body);
}

/* Decodes an answer; the objects are left in the list. */
static bool answer_of(kl_platform_op_t op, kl_feed_t feed, long status,
		      const char *text, kl_platform_answer_t *answer,
		      kl_object_list_t *objects, char after[KL_NAME_MAX])
{
	kl_platform_call_t call = { .op = op, .feed = feed };
	json_t *json = json_loads(text, 0, NULL);
	bool more;

	memset(answer, 0, sizeof(*answer));
	CK_STAILQ_INIT(objects);
	answer->objects = objects;
	answer->error = -KL_E_UNAVAILABLE;
	after[0] = '\0';
	more = kl_format_objects.decode_response(&call, status, json, answer,
						 after);
	json_decref(json);
	return more;
}

static const kl_object_t *object_of(const kl_object_list_t *objects,
				    const char *name)
{
	const kl_object_t *object, *found = NULL;

	CK_STAILQ_FOREACH(object, objects, link) {
		if (!strcmp(object->name.name, name)) {
			assert_null(found);
			found = object;
		}
	}
	return found;
}

#define ITEM(name, revision, spec)                                     \
	"{\"meta\":{\"name\":\"" name "\",\"revision\":" revision "}," \
	"\"spec\":" spec "}"
#define SERVER                                                           \
	"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"d\"," \
	"\"state\":\"draining\",\"dbRole\":\"primary\"}"

static void a_list_comes_in_pages(void **state)
{
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	assert_true(answer_of(
		KL_PLATFORM_LIST, KL_FEED_UPSTREAMS, 200,
		"{\"items\":[" ITEM(
			"i-1", "5",
			SERVER) "],\"hasMore\":true,\"storeRevision\":9}",
		&answer, &objects, after));
	assert_string_equal(after, "i-1");
	assert_true(answer.full);
	assert_int_equal(answer.revision, 9);
	assert_non_null(strstr(object_of(&objects, "upstream/i-1")->body,
			       "\"leaving\":true"));
	kl_object_list_clear(&objects);
}

static void a_removal_is_newer_than_what_it_removes(void **state)
{
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	answer_of(KL_PLATFORM_WATCH, KL_FEED_MARKS, 200,
		  "{\"events\":[{\"deleted\":true,\"object\":" ITEM(
			  "d1", "5", "{}") "}],\"storeRevision\":12}",
		  &answer, &objects, after);
	assert_string_equal(object_of(&objects, "mark/databases/d1")->body,
			    "null");
	assert_int_equal(object_of(&objects, "mark/databases/d1")->version, 12);
	kl_object_list_clear(&objects);
	/* Removed and there again within one answer: it is there. */
	answer_of(
		KL_PLATFORM_WATCH, KL_FEED_MARKS, 200,
		"{\"events\":[{\"deleted\":true,\"object\":" ITEM(
			"d1", "5", "{}") "},{\"deleted\":false,"
					 "\"object\":" ITEM("d1", "11",
							    "{}") "}],"
								  "\"storeRevis"
								  "ion\":12}",
		&answer, &objects, after);
	assert_string_not_equal(object_of(&objects, "mark/databases/d1")->body,
				"null");
	kl_object_list_clear(&objects);
}

static void refusals_are_told_apart(void **state)
{
	static const struct {
		long status;
		int error;
	} rows[] = {
		{ 404, -KL_E_NOT_FOUND },    { 409, -KL_E_CONFLICT },
		{ 410, -KL_E_STALE_CONFIG }, { 429, -KL_E_UNAVAILABLE },
		{ 503, -KL_E_UNAVAILABLE },  { 200, -KL_E_UNAVAILABLE },
	};
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	for (size_t i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		answer_of(KL_PLATFORM_WATCH, KL_FEED_CONFIG, rows[i].status,
			  "{\"error\":\"no\"}", &answer, &objects, after);
		assert_int_equal(answer.error, rows[i].error);
	}
}

static void bad_registrations_name_no_database(void **state)
{
	static const char *const specs[] = {
		"null",
		"7",
		"{}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9\",\"zone\":\"d\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:0\",\"zone\":\"d\","
		"\"state\":\"ready\"}",
		"{\"service\":5,\"address\":\"10.0.0.9:80\",\"zone\":\"d\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"d\","
		"\"state\":\"asleep\"}",
	};
	(void)state;

	for (size_t i = 0; i < sizeof(specs) / sizeof(*specs); i++) {
		json_t *spec = json_loads(specs[i], JSON_DECODE_ANY, NULL);
		kl_object_list_t objects;

		CK_STAILQ_INIT(&objects);
		kl_platform_kinds[KL_FEED_UPSTREAMS].decode(&objects, "i-1", 3,
							    spec);
		assert_string_equal(CK_STAILQ_FIRST(&objects)->body, "null");
		kl_object_list_clear(&objects);
		json_decref(spec);
	}
}

static void a_configuration_becomes_documents(void **state)
{
	json_t *spec = json_loads(
		"{\"configVersion\":4,\"routes\":[{\"database\":\"db1\","
		"\"routeType\":\"read_your_writes\",\"service\":\"s\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":400,\"priority\":2,"
		"\"maxStalenessMs\":2500,\"public\":false},{\"database\":5}],"
		"\"services\":[{\"name\":\"s\",\"maxConns\":32}],"
		"\"limits\":{\"txIdleMs\":3000},\"tenants\":[{\"name\":\"w\","
		"\"apiKeys\":[\"secret\"],\"ratePerS\":5,\"burst\":6}]}",
		0, NULL);
	kl_object_list_t objects;
	const kl_object_t *object;
	(void)state;

	CK_STAILQ_INIT(&objects);
	kl_platform_kinds[KL_FEED_CONFIG].decode(&objects, "main", 9, spec);
	assert_non_null(strstr(object_of(&objects, "route/db1")->body,
			       "\"kind\":\"session\""));
	assert_non_null(object_of(&objects, "service/s"));
	assert_non_null(
		strstr(object_of(&objects, "plan/w")->body, "\"rate\":5"));
	assert_non_null(strstr(object_of(&objects, "limit/all")->body, "3000"));
	/* The key itself goes no further. */
	CK_STAILQ_FOREACH(object, &objects, link)
		assert_null(strstr(object->body, "secret"));
	kl_object_list_clear(&objects);
	json_decref(spec);
}

static void statements_are_understood(void **state)
{
	static const struct {
		const char *text;
		const char *name;
		kl_verb_t verb;
		bool writes;
	} rows[] = {
		{ "READ 1a4", "", KL_VERB_READ, false },
		{ "BEGIN", "", KL_VERB_BEGIN, false },
		{ "BEGIN READ", "", KL_VERB_BEGIN_READ, false },
		{ "BEGIN SOON", "", KL_VERB_UNKNOWN, false },
		{ "SET colour blue", "colour", KL_VERB_SET, false },
		{ "SET", "", KL_VERB_UNKNOWN, false },
		{ "PREPARE s1 WRITE q2c", "s1", KL_VERB_PREPARE, true },
		{ "PREPARE s1 READ q2c", "s1", KL_VERB_PREPARE, false },
		{ "EXECUTE s1 1a4 x", "s1", KL_VERB_EXECUTE, false },
		{ "SINCE 3.4 READ 1a4", "", KL_VERB_UNKNOWN, false },
		{ "READER", "", KL_VERB_UNKNOWN, false },
		{ "", "", KL_VERB_UNKNOWN, false },
	};
	(void)state;

	for (size_t i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		kl_parsed_stmt_t command = { 0 };

		kl_line_parse_statement(rows[i].text, &command);
		assert_int_equal(command.verb, rows[i].verb);
		assert_string_equal(command.name, rows[i].name);
		assert_int_equal(command.writes, rows[i].writes);
	}
}

static void codes_and_positions(void **state)
{
	(void)state;

	assert_string_equal(kl_line_error_code(-KL_E_RATE), "BUSY");
	assert_string_equal(kl_line_error_code(-KL_E_REPLACED), "INDOUBT");
	assert_string_equal(kl_line_error_code(-KL_E_INTERNAL), "INDOUBT");
	assert_int_equal(kl_line_parse_error_code("LAGGING"), -KL_E_LAGGING);
	assert_int_equal(kl_line_parse_error_code("NEWS"), -KL_E_UPSTREAM);
	assert_int_equal(kl_line_parse_position("3.1207").term, 3);
	assert_int_equal(kl_line_parse_position("3.1207").number, 1207);
	assert_int_equal(kl_line_parse_position("-").term, 0);
	/* A code that promises "not run" stands for a kind that is so. */
	for (int kind = 1; kind < KL_ERROR_COUNT; kind++) {
		const char *code = kl_line_error_code(-kind);
		bool promises =
			!strcmp(code, "BUSY") || !strcmp(code, "LAGGING") ||
			!strcmp(code, "ABORTED") || !strcmp(code, "CONNLIMIT");

		assert_true(!promises || kl_error_info(-kind)->not_run);
	}
}

static void lines_end_with_either_ending(void **state)
{
	struct evbuffer *buffer = evbuffer_new();
	bool too_long;
	size_t length;
	char *line;
	(void)state;

	evbuffer_add_printf(buffer, "ROW a b\r\nREADY I -\npart");
	line = kl_line_read(buffer, &length, &too_long);
	assert_string_equal(line, "ROW a b");
	free(line);
	line = kl_line_read(buffer, &length, &too_long);
	assert_string_equal(line, "READY I -");
	free(line);
	assert_null(kl_line_read(buffer, &length, &too_long));
	assert_false(too_long);
	for (int i = 0; i < 1100; i++)
		evbuffer_add_printf(buffer, "%01000d", 0);
	assert_null(kl_line_read(buffer, &length, &too_long));
	assert_true(too_long);
	evbuffer_free(buffer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_name_kind_and_revision),
		cmocka_unit_test(records_are_created_replaced_and_removed),
		cmocka_unit_test(a_promotion_carries_holder_and_token),
		cmocka_unit_test(a_list_comes_in_pages),
		cmocka_unit_test(a_removal_is_newer_than_what_it_removes),
		cmocka_unit_test(refusals_are_told_apart),
		cmocka_unit_test(bad_registrations_name_no_database),
		cmocka_unit_test(a_configuration_becomes_documents),
		cmocka_unit_test(statements_are_understood),
		cmocka_unit_test(codes_and_positions),
		cmocka_unit_test(lines_end_with_either_ending),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
