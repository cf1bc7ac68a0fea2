/*
 * Feeds randomly changed input to the decoders, with a fixed seed.  They must
 * return and access no memory out of bounds, which the sanitizers check.
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

#include "control/controllers.h"
#include "control/group_record.h"
#include "control/document_check.h"
#include "peer/peer_codec.h"
#include "platform/documents.h"
#include "platform/format.h"
#include "platform/line.h"

#define INPUTS 100000 /* for each decoder */
#define SEED 20261204
#define INPUT_MAX 2048 /* bytes */

/* Change, remove or duplicate a few bytes, or truncate; returns the length. */
static size_t mutate(GRand *random, const char *from, size_t length, char *to)
{
	int changes = g_rand_int_range(random, 1, 6);

	memcpy(to, from, length);
	while (changes--) {
		size_t offset = length ? g_rand_int(random) % length : 0;

		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			if (length)
				to[offset] = (char)g_rand_int(random);
			break;
		case 1:
			if (length) {
				memmove(to + offset, to + offset + 1,
					length - offset - 1);
				length--;
			}
			break;
		case 2:
			if (length + 1 < INPUT_MAX) {
				memmove(to + offset + 1, to + offset,
					length - offset);
				length++;
			}
			break;
		default:
			if (g_rand_int_range(random, 0, 8) == 0)
				length = offset;
			break;
		}
	}
	to[length] = '\0';
	return length;
}

static void store_answers_decode_safely(void **state)
{
	static const char *const samples[] = {
		"{\"items\":[{\"meta\":{\"name\":\"main\",\"revision\":5},"
		"\"spec\":{\"routes\":[{\"database\":\"d\",\"service\":\"s\","
		"\"routeType\":\"primary\",\"timeoutMs\":5}],\"tenants\":["
		"{\"name\":\"w\",\"apiKeys\":[\"k\"],\"ratePerS\":5}]}}],"
		"\"hasMore\":true,\"storeRevision\":9}",
		"{\"events\":[{\"deleted\":true,\"object\":{\"meta\":{\"name\":"
		"\"i-1\",\"revision\":5},\"spec\":{\"service\":\"s\","
		"\"address\":\"10.0.0.9:80\",\"zone\":\"d\",\"state\":"
		"\"ready\"}}}],\"storeRevision\":9}",
	};
	GRand *random = g_rand_new_with_seed(SEED);
	char text[INPUT_MAX + 1];
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		const char *sample = samples[i % 2];
		kl_platform_call_t call = { .op = i % 2 ? KL_PLATFORM_WATCH
							: KL_PLATFORM_LIST,
					    .feed = (i / 2) % KL_FEED_COUNT };
		kl_platform_answer_t answer = { .error = -KL_E_UNAVAILABLE };
		kl_object_list_t objects;
		char after[KL_NAME_MAX] = "";
		kl_json_slice_t body = { text, 0 };

		CK_STAILQ_INIT(&objects);
		answer.objects = &objects;
		body.length = mutate(random, sample, strlen(sample), text);
		kl_format_objects.decode_response(&call, 200, body, &answer,
						  after);
		kl_object_list_clear(&objects);
	}
	g_rand_free(random);
}

/*
 * An entry with odd bytes, escapes and numbers inside its values, beside a
 * sound entry that must arrive.
 */
static void odd_entries_leave_the_sound_one(void **state)
{
	static const char *const pieces[] = { "\\ud83e", "\\u0000",  "\\\"",
					      "\\\\",	 "\xff\xfe", "\xc3" };
	GRand *random = g_rand_new_with_seed(SEED);
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		kl_platform_call_t call = { .op = i % 2 ? KL_PLATFORM_WATCH
							: KL_PLATFORM_LIST,
					    .feed = KL_FEED_UPSTREAMS };
		kl_platform_answer_t answer = { .error = -KL_E_UNAVAILABLE };
		kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
		const kl_object_t *object;
		bool sound_arrived = false;
		GString *odd = g_string_new(NULL), *text = g_string_new("{");
		char after[KL_NAME_MAX] = "";

		for (int k = g_rand_int_range(random, 0, 8); k; k--) {
			char byte = (char)g_rand_int(random);

			if (g_rand_boolean(random))
				g_string_append(odd,
						pieces[g_rand_int_range(
							random, 0,
							G_N_ELEMENTS(pieces))]);
			else if (byte != '"' && byte != '\\')
				g_string_append_c(odd, byte);
		}
		g_string_append_printf(text, "\"%s\":[%s",
				       i % 2 ? "events" : "items",
				       i % 2 ? "{\"object\":" : "");
		g_string_append(text, "{\"meta\":{\"name\":\"i-odd");
		if (g_rand_boolean(random))
			g_string_append_len(text, odd->str, (gssize)odd->len);
		g_string_append(text, "\",\"revision\":7},\"spec\":{\"state\":"
				      "\"");
		g_string_append_len(text, odd->str, (gssize)odd->len);
		g_string_append_printf(text, "\",\"slots\":%de%d}}",
				       g_rand_int_range(random, -9, 9),
				       g_rand_int_range(random, -999, 999));
		g_string_append_printf(
			text,
			"%s{\"meta\":{\"name\":\"i-1\",\"revision\":5},"
			"\"spec\":{\"service\":\"s\",\"address\":"
			"\"10.0.0.9:80\",\"zone\":\"d\",\"state\":"
			"\"ready\"}}%s],\"storeRevision\":9}",
			i % 2 ? "},{\"object\":" : ",", i % 2 ? "}" : "");
		answer.objects = &objects;
		kl_format_objects.decode_response(
			&call, 200, (kl_json_slice_t){ text->str, text->len },
			&answer, after);
		assert_int_equal(answer.error, 0);
		CK_STAILQ_FOREACH(object, &objects, link) {
			if (!strcmp(object->name.name, "upstream/i-1"))
				sound_arrived =
					strcmp(object->body, "null") != 0;
		}
		assert_true(sound_arrived);
		kl_object_list_clear(&objects);
		g_string_free(text, TRUE);
		g_string_free(odd, TRUE);
	}
	g_rand_free(random);
}

static void lines_of_clients_and_databases_parse_safely(void **state)
{
	static const char *const samples[] = {
		"QUERY 5c0e7a21d94b36f8 SINCE 3.1207 READ 1a4\r\n",
		"PREPARE s1 WRITE q2c\r\nEXECUTE s1 1a4 xkqpwnzd\r\n",
		"READY E 3.1209\r\nERROR READONLY i-7f3a91c2\r\n",
		"ROW replica 3 3.1209 0 12 2 17\r\n",
	};
	GRand *random = g_rand_new_with_seed(SEED);
	struct evbuffer *buffer = evbuffer_new();
	char text[INPUT_MAX + 1];
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		const char *sample = samples[i % 4];
		size_t length = mutate(random, sample, strlen(sample), text);
		bool too_long;
		char *line;

		evbuffer_add(buffer, text, length);
		while ((line = kl_line_read(buffer, &length, &too_long))) {
			kl_parsed_stmt_t command = { 0 };
			char *rest = line;

			kl_line_parse_statement(line, &command);
			assert_in_range(command.verb, 0, KL_VERB_COUNT - 1);
			kl_line_parse_position(line);
			while (*kl_line_next_word(&rest))
				;
			kl_line_parse_error_code(line);
			free(line);
		}
		evbuffer_drain(buffer, evbuffer_get_length(buffer));
	}
	evbuffer_free(buffer);
	g_rand_free(random);
}

static void documents_and_records_decode_safely(void **state)
{
	static const char *const names[] = { "route/r", "upstream/u", "limit/l",
					     "plan/p", "workspace/w" };
	static const char *const samples[] = {
		"{\"service\":\"s\",\"kind\":\"aged\",\"open\":true,"
		"\"max_age_ms\":5,\"timeout_ms\":5,\"target_ms\":5,"
		"\"priority\":1}",
		"{\"service\":\"s\",\"host\":\"10.0.0.1\",\"port\":5,"
		"\"domain\":\"d\",\"leaving\":false,\"primary\":true}",
		"{\"transaction_idle_ms\":3000}",
		"{\"connections\":5,\"rate\":5,\"burst\":5}",
		"{\"plan\":\"p\",\"keys\":[{\"id\":\"a\",\"hash\":\"b\","
		"\"withdrawn\":false}]}",
	};
	static const char record[] =
		"{\"term\":2,\"state\":\"fencing\",\"primary\":\"p\","
		"\"promoter\":\"v\",\"history\":[[1,2]]}";
	GRand *random = g_rand_new_with_seed(SEED);
	char text[INPUT_MAX + 1];
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		kl_group_t group;

		mutate(random, samples[i % 5], strlen(samples[i % 5]), text);
		kl_document_check(names[i % 5], text);
		mutate(random, record, strlen(record), text);
		kl_group_decode(&group, text);
	}
	g_rand_free(random);
}

static void peer_messages_decode_safely(void **state)
{
	kl_peer_message_t message = {
		.from = "vm-1",
		.subject = "bakery",
		.store_era = 2,
		.hello = { .domain = "d", .host = "10.0.0.1" },
		.positions = { .count = 2,
			       .list = { { .service = "orders", .term = 1 },
					 { .service = "stock" } } }
	};
	kl_peer_message_t decoded;
	GRand *random = g_rand_new_with_seed(SEED);
	char sample[INPUT_MAX], text[INPUT_MAX + 1];
	(void)state;

	CK_STAILQ_INIT(&message.delta.objects);
	for (int i = 0; i < INPUTS; i++) {
		size_t mutated;
		int length;

		message.kind = i % KL_PEER_KIND_COUNT;
		length = kl_peer_encode(&message, "10.0.0.1", 5, sample,
					INPUT_MAX);
		assert_true(length > 0);
		mutated = mutate(random, sample, (size_t)length, text);
		if (!kl_peer_decode(&decoded, text, mutated))
			kl_peer_message_clear(&decoded);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(store_answers_decode_safely),
		cmocka_unit_test(odd_entries_leave_the_sound_one),
		cmocka_unit_test(lines_of_clients_and_databases_parse_safely),
		cmocka_unit_test(documents_and_records_decode_safely),
		cmocka_unit_test(peer_messages_decode_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
