/*
 * Tests of the platform's formats: HTTP requests and answers of the store,
 * documents decoded from its objects, and the line protocol.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <glib.h>

#include "platform/documents.h"
#include "platform/format.h"
#include "platform/line.h"

static const kl_platform_endpoint_t endpoint = { "http://p:1", "http://q:2",
						 "a1" };

static void encode_request(kl_platform_call_t *call, const char *after,
			   kl_http_request_t *request)
{
	memset(request, 0, sizeof(*request));
	kl_format_objects.encode_request(&endpoint, call, after, request);
}

static void list_and_watch_urls_name_kind_and_revision(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_WATCH,
				    .feed = KL_FEED_CONFIG,
				    .since_revision = 530 };
	kl_http_request_t request;
	(void)state;

	encode_request(&call, "", &request);
	assert_string_equal(
		request.url,
		"http://p:1/-/objects/config?watch=530&waitMs=2500");
	call.op = KL_PLATFORM_LIST;
	encode_request(&call, "main", &request);
	assert_string_equal(request.url,
			    "http://p:1/-/objects/config?after=main");
}

static void record_writes_use_post_put_and_delete(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PUT,
				    .name = "group/orders",
				    .body = "{\"term\":2}" };
	kl_http_request_t request;
	(void)state;

	encode_request(&call, "", &request);
	assert_string_equal(request.method, "POST");
	assert_string_equal(request.url,
			    "http://p:1/-/objects/kumquatloft-terms");
	assert_non_null(strstr(request.body, "\"name\":\"group.orders\""));
	free(request.body);
	call.version = 7;
	encode_request(&call, "", &request);
	assert_string_equal(request.method, "PUT");
	assert_non_null(strstr(request.body, "\"revision\":7"));
	free(request.body);
	call.body = "null";
	encode_request(&call, "", &request);
	assert_string_equal(request.method, "DELETE");
	assert_non_null(strstr(request.url, "group.orders?revision=7"));
}

static void promotion_carries_lease_holder_and_fencing_token(void **state)
{
	kl_platform_call_t call = { .op = KL_PLATFORM_PROMOTE,
				    .name = "orders",
				    .version = 9,
				    .body = "i-1" };
	kl_http_request_t request;
	(void)state;

	encode_request(&call, "", &request);
	assert_string_equal(request.url, "http://q:2/promote");
	assert_string_equal(request.headers[1], "Lease-Holder: a1");
	assert_string_equal(request.headers[2], "Fencing-Token: 9");
	assert_non_null(strstr(request.body, "\"id\":\"i-1\""));
	free(request.body);
}

/*
 * Decode an answer into a list of objects.
 *
 * after: set to the last name of this page if there is another one
 * returns whether there is another page
 */
static bool decode_answer(kl_platform_op_t op, kl_feed_t feed, long status,
			  const char *text, kl_platform_answer_t *answer,
			  kl_object_list_t *objects, char after[KL_NAME_MAX])
{
	kl_platform_call_t call = { .op = op, .feed = feed };
	kl_json_slice_t body = { text, strlen(text) };
	bool more;

	memset(answer, 0, sizeof(*answer));
	CK_STAILQ_INIT(objects);
	answer->objects = objects;
	answer->error = -KL_E_UNAVAILABLE;
	after[0] = '\0';
	more = kl_format_objects.decode_response(&call, status, body, answer,
						 after);
	return more;
}

/* Find an object, and check that the list holds only one of this name. */
static const kl_object_t *find_object(const kl_object_list_t *objects,
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

#define OBJECT_JSON(name, revision, spec)                              \
	"{\"meta\":{\"name\":\"" name "\",\"revision\":" revision "}," \
	"\"spec\":" spec "}"
#define UPSTREAM_SPEC_JSON                                               \
	"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"d\"," \
	"\"state\":\"draining\",\"dbRole\":\"primary\"}"
#define EVENT_JSON(deleted, object) \
	"{\"deleted\":" deleted ",\"object\":" object "}"
#define LISTED_JSON OBJECT_JSON("i-1", "5", UPSTREAM_SPEC_JSON)
#define REMOVED_JSON EVENT_JSON("true", OBJECT_JSON("d1", "5", "{}"))
#define CREATED_JSON EVENT_JSON("false", OBJECT_JSON("d1", "11", "{}"))

static void list_page_is_decoded(void **state)
{
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	assert_true(decode_answer(KL_PLATFORM_LIST, KL_FEED_UPSTREAMS, 200,
				  "{\"items\":[" LISTED_JSON "],"
				  "\"hasMore\":true,\"storeRevision\":9}",
				  &answer, &objects, after));
	assert_string_equal(after, "i-1");
	assert_true(answer.is_full_list);
	assert_int_equal(answer.revision, 9);
	assert_non_null(strstr(find_object(&objects, "upstream/i-1")->body,
			       "\"leaving\":true"));
	kl_object_list_clear(&objects);
}

static void removals_carry_the_store_revision(void **state)
{
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	decode_answer(KL_PLATFORM_WATCH, KL_FEED_MARKS, 200,
		      "{\"events\":[" REMOVED_JSON "],\"storeRevision\":12}",
		      &answer, &objects, after);
	assert_string_equal(find_object(&objects, "mark/databases/d1")->body,
			    "null");
	assert_int_equal(find_object(&objects, "mark/databases/d1")->version,
			 12);
	kl_object_list_clear(&objects);
	/* An object that is removed and created again in one answer exists. */
	decode_answer(KL_PLATFORM_WATCH, KL_FEED_MARKS, 200,
		      "{\"events\":[" REMOVED_JSON "," CREATED_JSON
		      "],\"storeRevision\":12}",
		      &answer, &objects, after);
	assert_string_not_equal(
		find_object(&objects, "mark/databases/d1")->body, "null");
	kl_object_list_clear(&objects);
}

#define ODD_FORMS 8 /* of odd_value() */
#define DEEP_NESTING 100000
#define LONG_TEXT_BYTES 1000000

/* The value of a member that makes an entry unreadable, or odd; to be freed. */
static char *odd_value(int form)
{
	static const char *const values[] = {
		"\"v\\ud83e\"",		"\"v\xff\"", "\"v\\u0000\"", "1e999",
		"99999999999999999999", "\"\""
	};
	char *text;

	if (form < (int)(sizeof(values) / sizeof(*values)))
		return strdup(values[form]);
	if (form == ODD_FORMS - 1) {
		text = calloc(1, LONG_TEXT_BYTES + 3);
		memset(text, 'x', LONG_TEXT_BYTES + 2);
		text[0] = text[LONG_TEXT_BYTES + 1] = '"';
		return text;
	}
	text = calloc(1, 2 * DEEP_NESTING + 1);
	memset(text, '[', DEEP_NESTING);
	memset(text + DEEP_NESTING, ']', DEEP_NESTING);
	return text;
}

/*
 * Guards against one odd entry of another writer that ends a feed: the sound
 * entries beside it must arrive, in a list and in a watch.
 */
static void odd_entries_cost_only_themselves(void **state)
{
	static const kl_platform_op_t ops[] = { KL_PLATFORM_LIST,
						KL_PLATFORM_WATCH };
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	for (int i = 0; i < 2 * ODD_FORMS; i++) {
		char *value = odd_value(i / 2);
		char *text;

		text = g_strdup_printf(
			i % 2 ? "{\"events\":[{\"object\":%s},{\"object\":"
				"{\"meta\":{\"name\":\"i-odd\",\"revision\":7},"
				"\"spec\":{\"configVersion\":%s}}},"
				"{\"object\":%s}],\"storeRevision\":9}"
			      : "{\"items\":[%s,{\"meta\":{\"name\":"
				"\"i-odd\",\"revision\":7},\"spec\":"
				"{\"configVersion\":%s}},%s],\"hasMore\":false,"
				"\"storeRevision\":9}",
			LISTED_JSON, value,
			OBJECT_JSON("i-2", "6", UPSTREAM_SPEC_JSON));
		decode_answer(ops[i % 2], KL_FEED_UPSTREAMS, 200, text, &answer,
			      &objects, after);
		assert_int_equal(answer.error, 0);
		assert_int_equal(answer.revision, 9);
		assert_string_not_equal(
			find_object(&objects, "upstream/i-1")->body, "null");
		assert_string_not_equal(
			find_object(&objects, "upstream/i-2")->body, "null");
		assert_string_equal(
			find_object(&objects, "upstream/i-odd")->body, "null");
		kl_object_list_clear(&objects);
		g_free(text);
		free(value);
	}
}

/* A configuration that can't be read must not remove the one in force. */
static void unreadable_configuration_is_no_empty_one(void **state)
{
	static const char object[] =
		OBJECT_JSON("main", "7", "{\"routes\":[1e999]}");
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	char *text =
		g_strdup_printf("{\"items\":[%s],\"storeRevision\":9}", object);
	(void)state;

	decode_answer(KL_PLATFORM_LIST, KL_FEED_CONFIG, 200, text, &answer,
		      &objects, after);
	assert_int_equal(answer.error, -KL_E_INVALID);
	g_free(text);
	text = g_strdup_printf(
		"{\"events\":[{\"object\":%s}],\"storeRevision\":9}", object);
	decode_answer(KL_PLATFORM_WATCH, KL_FEED_CONFIG, 200, text, &answer,
		      &objects, after);
	assert_int_equal(answer.error, 0);
	assert_true(answer.unreadable);
	assert_false(answer.is_full_list);
	g_free(text);
	/* Another object of the kind is nothing to read. */
	decode_answer(KL_PLATFORM_LIST, KL_FEED_CONFIG, 200,
		      "{\"items\":[" OBJECT_JSON(
			      "other", "7", "1e999") "],\"storeRevision\":9}",
		      &answer, &objects, after);
	assert_int_equal(answer.error, 0);
	assert_false(answer.unreadable);
}

/* Guards against pages that repeat for ever. */
static void page_without_a_name_ends_the_list(void **state)
{
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	assert_false(decode_answer(KL_PLATFORM_LIST, KL_FEED_UPSTREAMS, 200,
				   "{\"items\":[{\"meta\":{\"name\":"
				   "\"\\u0000\"}}],\"hasMore\":true,"
				   "\"storeRevision\":9}",
				   &answer, &objects, after));
	assert_int_equal(answer.error, -KL_E_PROTOCOL);
}

static void http_statuses_map_to_errors(void **state)
{
	static const struct {
		long status;
		int error;
	} cases[] = {
		{ 404, -KL_E_NOT_FOUND },    { 409, -KL_E_CONFLICT },
		{ 410, -KL_E_STALE_CONFIG }, { 429, -KL_E_UNAVAILABLE },
		{ 503, -KL_E_UNAVAILABLE },  { 200, -KL_E_UNAVAILABLE },
	};
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	char after[KL_NAME_MAX];
	(void)state;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		decode_answer(KL_PLATFORM_WATCH, KL_FEED_CONFIG,
			      cases[i].status, "{\"error\":\"no\"}", &answer,
			      &objects, after);
		assert_int_equal(answer.error, cases[i].error);
	}
}

static void invalid_registrations_decode_to_null(void **state)
{
	static const char *const specs[] = {
		"null",
		"7",
		"{}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9\",\"zone\":\"d\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:0\",\"zone\":\"d\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:65616\",\"zone\":"
		"\"d\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:4294967376\","
		"\"zone\":\"d\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80x\",\"zone\":"
		"\"d\","
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
							    false, spec);
		assert_string_equal(CK_STAILQ_FIRST(&objects)->body, "null");
		kl_object_list_clear(&objects);
		json_decref(spec);
	}
}

static void configuration_decodes_to_documents(void **state)
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
	kl_platform_kinds[KL_FEED_CONFIG].decode(&objects, "main", 9, false,
						 spec);
	assert_non_null(strstr(find_object(&objects, "route/db1")->body,
			       "\"kind\":\"session\""));
	assert_non_null(find_object(&objects, "service/s"));
	assert_non_null(
		strstr(find_object(&objects, "plan/w")->body, "\"rate\":5"));
	assert_non_null(
		strstr(find_object(&objects, "limit/all")->body, "3000"));
	/* No document holds the key itself. */
	CK_STAILQ_FOREACH(object, &objects, link)
		assert_null(strstr(object->body, "secret"));
	kl_object_list_clear(&objects);
	json_decref(spec);
}

static void statements_are_parsed(void **state)
{
	static const struct {
		const char *text;
		const char *name;
		kl_verb_t verb;
		bool writes;
	} cases[] = {
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

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		kl_parsed_stmt_t command = { 0 };

		kl_line_parse_statement(cases[i].text, &command);
		assert_int_equal(command.verb, cases[i].verb);
		assert_string_equal(command.name, cases[i].name);
		assert_int_equal(command.writes, cases[i].writes);
	}
}

static void error_codes_and_positions_are_converted(void **state)
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
	/* These codes tell a client that its statement did not run. */
	for (int kind = 1; kind < KL_ERROR_COUNT; kind++) {
		const char *code = kl_line_error_code(-kind);
		bool says_not_run =
			!strcmp(code, "BUSY") || !strcmp(code, "LAGGING") ||
			!strcmp(code, "ABORTED") || !strcmp(code, "CONNLIMIT");

		assert_true(!says_not_run || kl_error_info(-kind)->not_run);
	}
}

/*
 * Guards against one request that becomes two: a database may take a line feed
 * inside a text for the end of a line.
 */
static void lines_end_with_crlf_only(void **state)
{
	struct evbuffer *buffer = evbuffer_new();
	bool too_long;
	size_t length;
	char *line;
	(void)state;

	evbuffer_add_printf(buffer, "ROW a b\r\nWRITE a\nWRITE b\r\npart\n");
	line = kl_line_read(buffer, &length, &too_long);
	assert_string_equal(line, "ROW a b");
	assert_true(kl_line_is_plain(line, length));
	free(line);
	line = kl_line_read(buffer, &length, &too_long);
	assert_string_equal(line, "WRITE a\nWRITE b");
	assert_false(kl_line_is_plain(line, length));
	free(line);
	assert_false(kl_line_is_plain("a\rb", 3));
	assert_false(kl_line_is_plain("a\0b", 3));
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
		cmocka_unit_test(list_and_watch_urls_name_kind_and_revision),
		cmocka_unit_test(record_writes_use_post_put_and_delete),
		cmocka_unit_test(
			promotion_carries_lease_holder_and_fencing_token),
		cmocka_unit_test(list_page_is_decoded),
		cmocka_unit_test(removals_carry_the_store_revision),
		cmocka_unit_test(odd_entries_cost_only_themselves),
		cmocka_unit_test(unreadable_configuration_is_no_empty_one),
		cmocka_unit_test(page_without_a_name_ends_the_list),
		cmocka_unit_test(http_statuses_map_to_errors),
		cmocka_unit_test(invalid_registrations_decode_to_null),
		cmocka_unit_test(configuration_decodes_to_documents),
		cmocka_unit_test(statements_are_parsed),
		cmocka_unit_test(error_codes_and_positions_are_converted),
		cmocka_unit_test(lines_end_with_crlf_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
