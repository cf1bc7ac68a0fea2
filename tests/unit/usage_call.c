/*
 * What the platform gets of usage reports, and the names of duties.  Guards
 * against other names or headers than those of its protocol.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "platform/duties.h"
#include "platform/format.h"

static const kl_platform_call_t report = {
	.op = KL_PLATFORM_REPORT_USAGE,
	.name = "usage/report",
	.version = 12,
	.window = 353445120,
	.body = "{\"dewu331\":412,\"miny420\":412}"
};

static void a_report_has_the_token_and_its_holder(void **state)
{
	const kl_platform_endpoint_t endpoint = { "http://store",
						  "http://duties",
						  "front-cork-a-1" };
	kl_http_request_t request = { 0 };
	(void)state;

	kl_format_objects.encode_request(&endpoint, &report, "", &request);
	assert_string_equal(request.method, "POST");
	assert_string_equal(request.url, "http://duties/usage");
	assert_string_equal(request.headers[0],
			    "Content-Type: application/json");
	assert_string_equal(request.headers[1], "Lease-Holder: front-cork-a-1");
	assert_string_equal(request.headers[2], "Fencing-Token: 12");
	assert_string_equal(request.body, "{\"windowId\":353445120,\"counts\":"
					  "{\"dewu331\":412,\"miny420\":412}}");
	free(request.body);
}

static int decode(long status)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .error = -KL_E_UNAVAILABLE,
					.objects = &objects };
	char last_name[KL_NAME_MAX] = "";
	kl_json_slice_t body = { NULL, 0 };

	kl_format_objects.decode_response(&report, status, body, &answer,
					  last_name);
	return answer.error;
}

static void only_200_ends_a_report(void **state)
{
	(void)state;
	assert_int_equal(decode(200), 0);
	assert_int_equal(decode(409), -KL_E_CONFLICT);
	assert_int_equal(decode(503), -KL_E_UNAVAILABLE);
}

static void duties_are_known_by_the_platforms_names(void **state)
{
	(void)state;
	assert_int_equal(kl_duties_parse(""), 0);
	assert_int_equal(kl_duties_parse("failover"), KL_DUTY_PROMOTE);
	assert_int_equal(kl_duties_parse("usage_report"), KL_DUTY_REPORT_USAGE);
	assert_int_equal(kl_duties_parse("failover, usage_report,"),
			 KL_DUTY_PROMOTE | KL_DUTY_REPORT_USAGE);
	assert_int_equal(kl_duties_parse("usage_reports,usage,x"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_report_has_the_token_and_its_holder),
		cmocka_unit_test(only_200_ends_a_report),
		cmocka_unit_test(duties_are_known_by_the_platforms_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
