/*
 * Tests of fetches whose objects come in parts: what is too large, repeated or
 * makes no sense.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "tests/unit/stub_node.h"

static kl_peer_message_t last_fetch; /* the last message sent to b1 */
static uint32_t fetches;	     /* fetches of either kind sent */
static uint32_t config_lists;	     /* lists of the configuration sent */

static void op_send(void *context, const char *vm, const char *host,
		    uint16_t port, const kl_peer_message_t *message)
{
	(void)context;
	(void)vm;
	(void)host;
	(void)port;
	if (message->kind != KL_PEER_FETCH &&
	    message->kind != KL_PEER_PART_FETCH)
		return;
	last_fetch = *message;
	fetches++;
}

static void op_platform(void *context, const kl_platform_call_t *call)
{
	(void)context;
	config_lists +=
		call->op == KL_PLATFORM_LIST && call->feed == KL_FEED_CONFIG;
}

static const kl_node_ops_t ops = { stub_now,	stub_random,   op_send,
				   op_platform, stub_database, stub_log };

static int start(void **state)
{
	fetches = 0;
	config_lists = 0;
	return stub_node_start(state, &ops);
}

static void step(kl_node_t *node, kl_peer_message_t *message)
{
	kl_event_t event = { .kind = KL_EVENT_PEER, .peer = message };

	strcpy(message->from, "b1");
	strcpy(message->hello.host, "10.0.0.2");
	message->hello.port = 2;
	kl_node_step(node, &event);
	kl_object_list_clear(&message->delta.objects);
}

/* The VM b1 tells that it has a revision of the configuration. */
static void hello(kl_node_t *node, uint64_t revision)
{
	kl_peer_message_t message = { .kind = KL_PEER_HELLO };

	CK_STAILQ_INIT(&message.delta.objects);
	message.hello.feed_revisions[KL_FEED_CONFIG] = revision;
	step(node, &message);
}

/* Lists a configuration without any object, so that the feed is loaded. */
static void list_empty(kl_node_t *node)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .op = KL_PLATFORM_LIST,
					.owner = KL_CONTROLLER_SYNC,
					.feed = KL_FEED_CONFIG,
					.is_full_list = true,
					.revision = 3,
					.call_sent_us = now_us - KL_MS,
					.objects = &objects };
	kl_event_t event = { .kind = KL_EVENT_PLATFORM, .platform = &answer };

	kl_node_step(node, &event);
}

/* Answers the last fetch with a part of the object "route/a". */
static void part(kl_node_t *node, uint64_t revision, uint32_t offset,
		 uint32_t size, const char *text)
{
	kl_peer_message_t message = {
		.kind = KL_PEER_PART,
		.part = { .offset = offset, .size = size },
		.delta = { .fetch = last_fetch.fetch, .revision = revision }
	};
	kl_object_t *object = kl_object_new("route/a", revision, text);

	CK_STAILQ_INIT(&message.delta.objects);
	CK_STAILQ_INSERT_TAIL(&message.delta.objects, object, link);
	step(node, &message);
}

static const char *body(const kl_node_t *node)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_object_t *object =
		objects ? kl_index_get(objects->index, "route/a") : NULL;

	return object ? object->body : "none";
}

static void parts_are_joined_and_repeated_ones_ignored(void **state)
{
	kl_node_t *node = *state;

	hello(node, 7);
	assert_int_equal(last_fetch.kind, KL_PEER_FETCH);
	part(node, 7, 0, 9, "{\"a\"");
	assert_int_equal(last_fetch.kind, KL_PEER_PART_FETCH);
	assert_int_equal(last_fetch.part.offset, 4);
	fetches = 0;
	part(node, 7, 0, 9, "{\"a\"");
	assert_int_equal(fetches, 0);
	part(node, 7, 4, 9, ":123}");
	assert_string_equal(body(node), "{\"a\":123}");
}

/* Guards against a fetch that a lost message ends for good. */
static void lost_part_is_requested_again(void **state)
{
	kl_node_t *node = *state;

	hello(node, 7);
	part(node, 7, 0, 9, "{\"a\"");
	fetches = 0;
	stub_node_run(node, 250 * KL_MS);
	assert_int_equal(fetches, 2);
	part(node, 7, 4, 9, ":123}");
	assert_string_equal(body(node), "{\"a\":123}");
}

/*
 * Guards against a VM that grows by what another one sends, and against one
 * that fetches what it refused again and again.
 */
static void too_large_object_is_read_from_the_store(void **state)
{
	kl_node_t *node = *state;

	hello(node, 7);
	config_lists = 0;
	part(node, 7, 0, KL_OBJECT_BYTES_MAX + 1, "{");
	assert_int_equal(kl_sync_refused_fetch_count(node), 1);
	stub_node_run(node, 500 * KL_MS);
	assert_true(config_lists > 0);
	fetches = 0;
	hello(node, 7);
	assert_int_equal(fetches, 0);
	hello(node, 8);
	assert_int_equal(fetches, 1);
}

/*
 * Guards against a VM that stays behind for good because another one tells of
 * changes and does not bring them, as one of an earlier version may.
 */
static void feed_that_no_vm_brings_is_read_from_the_store(void **state)
{
	kl_node_t *node = *state;

	list_empty(node);
	config_lists = 0;
	hello(node, 7);
	stub_node_run(node, 900 * KL_MS);
	assert_int_equal(config_lists, 0);
	stub_node_run(node, 700 * KL_MS);
	assert_true(config_lists > 0);
	/* Once, as long as nobody tells of it again. */
	list_empty(node);
	config_lists = 0;
	stub_node_run(node, 5 * KL_SEC);
	assert_int_equal(config_lists, 0);
}

static void part_that_makes_no_sense_ends_the_fetch(void **state)
{
	static const struct {
		uint32_t size;
		const char *text;
	} parts[] = { { 8, ":1}" }, { 9, "" }, { 9, ":1234567890}" } };
	kl_node_t *node = *state;

	for (uint32_t i = 0; i < 3; i++) {
		hello(node, 7 + i);
		part(node, 7 + i, 0, 9, "{\"a\"");
		part(node, 7 + i, 4, parts[i].size, parts[i].text);
		assert_int_equal(kl_sync_refused_fetch_count(node), i + 1);
		assert_string_equal(body(node), "none");
	}
}

/* The sender's object may be replaced while its parts are fetched. */
static void new_revision_begins_the_fetch_again(void **state)
{
	kl_node_t *node = *state;

	hello(node, 7);
	part(node, 7, 0, 9, "{\"a\"");
	part(node, 8, 4, 9, ":999}");
	assert_int_equal(last_fetch.kind, KL_PEER_FETCH);
	assert_int_equal(last_fetch.part.offset, 0);
	part(node, 8, 0, 7, "{\"b\":1}");
	assert_string_equal(body(node), "{\"b\":1}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			parts_are_joined_and_repeated_ones_ignored, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(lost_part_is_requested_again,
						start, stub_node_stop),
		cmocka_unit_test_setup_teardown(
			too_large_object_is_read_from_the_store, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			feed_that_no_vm_brings_is_read_from_the_store, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			part_that_makes_no_sense_ends_the_fetch, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			new_revision_begins_the_fetch_again, start,
			stub_node_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
