/*
 * Tests of the copy of the platform's objects: answers that arrive late or in
 * another order than they were read must not bring back what was removed, nor
 * hide what is new.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "tests/unit/stub_node.h"

static bool sent_full_list; /* the last delta was one */

static void op_send(void *context, const char *vm, const char *host,
		    uint16_t port, const kl_peer_message_t *message)
{
	(void)context;
	(void)vm;
	(void)host;
	(void)port;
	if (message->kind == KL_PEER_DELTA)
		sent_full_list = message->delta.is_full_list;
}

static void deliver_feed(kl_node_t *node, kl_feed_t feed, const char *prefix,
			 uint64_t revision, const char *text);

static const kl_node_ops_t ops = { stub_now,	  stub_random,	 op_send,
				   stub_platform, stub_database, stub_log };

static int start(void **state)
{
	return stub_node_start(state, &ops);
}

/*
 * Delivers a full list of upstreams, or of another feed, that was read at a
 * revision.  The words of text are names and versions: "i-1 5 i-2 7".  After a
 * version with "!" the object can't be read.
 */
static void deliver_list(kl_node_t *node, uint64_t revision, const char *text)
{
	deliver_feed(node, KL_FEED_UPSTREAMS, "upstream/", revision, text);
}

static void deliver_feed(kl_node_t *node, kl_feed_t feed, const char *prefix,
			 uint64_t revision, const char *text)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_platform_answer_t answer = { .op = KL_PLATFORM_LIST,
					.owner = KL_CONTROLLER_SYNC,
					.feed = feed,
					.is_full_list = true,
					.revision = revision,
					.call_sent_us = now_us - KL_MS,
					.objects = &objects };
	kl_event_t event = { .kind = KL_EVENT_PLATFORM, .platform = &answer };
	char *copy = strdup(text), *saved = NULL;
	char *word = strtok_r(copy, " ", &saved);

	while (word) {
		char name[KL_NAME_MAX];
		kl_object_t *object;

		snprintf(name, sizeof(name), "%s%s", prefix, word);
		word = strtok_r(NULL, " ", &saved);
		object = kl_object_new(name, strtoull(word, NULL, 10),
				       strchr(word, '!') ? "null" : "{}");
		object->unreadable = strchr(word, '!') != NULL;
		CK_STAILQ_INSERT_TAIL(&objects, object, link);
		word = strtok_r(NULL, " ", &saved);
	}
	kl_node_step(node, &event);
	kl_object_list_clear(&objects);
	free(copy);
}

static bool holds(const kl_node_t *node, const char *name)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_object_t *object =
		objects ? kl_index_get(objects->index, name) : NULL;

	return object && strcmp(object->body, "null") != 0;
}

static uint64_t held_revision(const kl_node_t *node)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);

	return objects->feed_revisions[KL_FEED_UPSTREAMS];
}

/*
 * Guards against a removed object that comes back: a list that was read before
 * the removal arrives after a newer one, on a VM that never had the object.
 */
static void late_list_does_not_restore_removed_objects(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 30, "i-1 25");
	deliver_list(node, 20, "i-1 5 i-old 15");
	assert_true(holds(node, "upstream/i-1"));
	assert_false(holds(node, "upstream/i-old"));
	assert_int_equal(held_revision(node), 25);
}

/* The object may also have been known, removed, and be in the late list. */
static void late_list_does_not_undo_a_removal(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 20, "i-1 5 i-old 15");
	deliver_list(node, 30, "i-1 5");
	deliver_list(node, 20, "i-1 5 i-old 15");
	assert_false(holds(node, "upstream/i-old"));
	deliver_list(node, 40, "i-1 5 i-old 35");
	assert_true(holds(node, "upstream/i-old"));
}

/*
 * Guards against a change that is never noticed: pages of one list are read at
 * different revisions.  An object of the last page is newer than the revision
 * of the first page, after which an object of the first page was added.
 */
static void revision_is_that_of_the_first_page(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 10, "i-1 5 i-9 14");
	assert_int_equal(held_revision(node), 10);
	deliver_list(node, 15, "i-1 5 i-2 12 i-9 14");
	assert_true(holds(node, "upstream/i-2"));
	assert_int_equal(held_revision(node), 14);
}

/* A database whose entry can't be read is not used until it can be. */
static void unreadable_upstream_is_not_used(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 10, "i-1 5 i-2 6!");
	assert_true(holds(node, "upstream/i-1"));
	assert_false(holds(node, "upstream/i-2"));
	deliver_list(node, 20, "i-1 11! i-2 12");
	assert_false(holds(node, "upstream/i-1"));
	assert_true(holds(node, "upstream/i-2"));
}

/* A record that can't be read must not look as if nobody owned the slot. */
static void unreadable_record_keeps_its_contents(void **state)
{
	kl_node_t *node = *state;

	deliver_feed(node, KL_FEED_SLOTS, "slot/", 10, "1 5 2 6!");
	assert_true(holds(node, "slot/1"));
	assert_false(holds(node, "slot/2"));
	deliver_feed(node, KL_FEED_SLOTS, "slot/", 20, "1 15! 2 16");
	assert_true(holds(node, "slot/1"));
	assert_true(holds(node, "slot/2"));
}

/* Whether the VM answers a fetch of the changes since a revision with all. */
static bool answers_with_all(kl_node_t *node, uint64_t since)
{
	kl_peer_message_t message = { .kind = KL_PEER_FETCH,
				      .from = "a2",
				      .fetch = { .feed = KL_FEED_UPSTREAMS,
						 .since_revision = since } };
	kl_event_t event = { .kind = KL_EVENT_PEER, .peer = &message };

	kl_node_step(node, &event);
	return sent_full_list;
}

/*
 * Guards against a removed route that another VM keeps: this VM was paused
 * while the object was created and removed, and has no trace of it.  Its
 * changes since a revision that it skipped must come as a full list.
 */
static void skipped_revisions_get_a_full_list(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 10, "i-1 10");
	deliver_list(node, 30, "i-1 10 i-2 30");
	assert_true(answers_with_all(node, 0));
	assert_false(answers_with_all(node, 10));
	assert_true(answers_with_all(node, 20));
	assert_false(answers_with_all(node, 30));
}

#define MANY_OBJECTS 2000

/*
 * Guards against a use after free: objects that are not newer than those held
 * are dropped, while the update's index is still searched.
 */
static void outdated_objects_are_dropped_safely(void **state)
{
	kl_node_t *node = *state;
	char *text = calloc(MANY_OBJECTS + 1, 16);
	size_t length = 0;

	for (int i = 0; i < MANY_OBJECTS; i++)
		length += (size_t)sprintf(text + length, "i-%d 5 ", i);
	deliver_list(node, 10, text);
	sprintf(text + length, "new 15");
	deliver_list(node, 20, text);
	assert_true(holds(node, "upstream/new"));
	assert_true(holds(node, "upstream/i-0"));
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			late_list_does_not_restore_removed_objects, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			late_list_does_not_undo_a_removal, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			revision_is_that_of_the_first_page, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(unreadable_upstream_is_not_used,
						start, stub_node_stop),
		cmocka_unit_test_setup_teardown(
			unreadable_record_keeps_its_contents, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			outdated_objects_are_dropped_safely, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			skipped_revisions_get_a_full_list, start,
			stub_node_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
