/*
 * Tests of the copy of the platform's objects across a restore of the store
 * from an older copy: late answers, and what a VM that was cut off holds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "control/store_era.h"
#include "tests/unit/stub_node.h"

static uint64_t watch_sent_us; /* of the last watch of marks */
static uint32_t mark_lists;    /* lists of marks sent */

static void op_platform(void *context, const kl_platform_call_t *call)
{
	(void)context;
	if (call->feed != KL_FEED_MARKS)
		return;
	mark_lists += call->op == KL_PLATFORM_LIST;
	if (call->op == KL_PLATFORM_WATCH)
		watch_sent_us = call->sent_us;
}

static const kl_node_ops_t ops = { stub_now,	stub_random,   stub_send,
				   op_platform, stub_database, stub_log };

static int start(void **state)
{
	return stub_node_start(state, &ops);
}

/* Delivers an answer with some objects, which it frees. */
static void deliver_objects(kl_node_t *node, kl_platform_op_t op,
			    kl_feed_t feed, uint64_t era, uint64_t revision,
			    kl_object_list_t *objects)
{
	kl_platform_answer_t answer = { .op = op,
					.owner = KL_CONTROLLER_SYNC,
					.feed = feed,
					.is_full_list = op == KL_PLATFORM_LIST,
					.revision = revision,
					.era = era,
					.call_sent_us =
						op == KL_PLATFORM_WATCH
							? watch_sent_us
							: now_us - KL_MS,
					.objects = objects };
	kl_event_t event = { .kind = KL_EVENT_PLATFORM, .platform = &answer };

	kl_store_era_add(&answer);
	kl_node_step(node, &event);
	kl_object_list_clear(objects);
}

/* Adds an object to a list, unless its name is NULL. */
static void add(kl_object_list_t *objects, const char *name, uint64_t version,
		uint64_t generation, const char *body)
{
	kl_object_t *object = name ? kl_object_new(name, version, body) : NULL;

	if (!object)
		return;
	object->generation = generation;
	CK_STAILQ_INSERT_TAIL(objects, object, link);
}

/* Delivers an answer with one mark, or with none if its name is NULL. */
static void deliver(kl_node_t *node, kl_platform_op_t op, uint64_t era,
		    uint64_t revision, const char *name, uint64_t version,
		    const char *body)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);

	add(&objects, name, version, 0, body);
	deliver_objects(node, op, KL_FEED_MARKS, era, revision, &objects);
}

/* Delivers a list with one object of a feed, or with none. */
static void deliver_one(kl_node_t *node, kl_feed_t feed, uint64_t era,
			uint64_t revision, const char *name, uint64_t version,
			uint64_t generation, const char *body)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);

	add(&objects, name, version, generation, body);
	deliver_objects(node, KL_PLATFORM_LIST, feed, era, revision, &objects);
}

static void deliver_list(kl_node_t *node, uint64_t era, uint64_t revision,
			 const char *name, uint64_t version, const char *body)
{
	deliver(node, KL_PLATFORM_LIST, era, revision, name, version, body);
}

static const char *body_of(const kl_node_t *node, const char *name)
{
	const kl_objects_t *objects = kl_node_get(node, KL_SECTION_OBJECTS);
	const kl_object_t *object =
		objects ? kl_index_get(objects->index, name) : NULL;

	return object ? object->body : "null";
}

static void hello(kl_node_t *node, uint64_t era, uint64_t first_revision)
{
	kl_peer_message_t message = { .kind = KL_PEER_HELLO,
				      .from = "b1",
				      .store_era = era,
				      .first_revisions = { first_revision } };
	kl_event_t event = { .kind = KL_EVENT_PEER, .peer = &message };

	kl_node_step(node, &event);
}

/* An answer that is late was read before the store was restored. */
static void answer_of_an_older_era_is_refused(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 1, 50, "mark/a", 40, "{\"v\":1}");
	deliver_list(node, 2, 45, "mark/a", 40, "{\"v\":1}");
	deliver_list(node, 1, 99, "mark/a", 98, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "{\"v\":1}");
	assert_int_equal(kl_sync_refused_era_count(node), 1);
	/* So is one of a store that lost its header. */
	deliver_list(node, 0, 99, "mark/a", 98, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "{\"v\":1}");
	assert_int_equal(kl_sync_era(node), 2);
}

/*
 * Guards against a VM that keeps an old mark for ever: it was cut off through
 * the drill, and lists the store before it hears from another VM.  What was
 * written again since has a lower revision than what it holds.
 */
static void lower_first_revision_ends_the_withholding(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 1, 90, "mark/a", 80, "{\"v\":1}");
	deliver_list(node, 2, 78, "mark/a", 75, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "{\"v\":1}");
	mark_lists = 0;
	hello(node, 2, 72);
	stub_node_run(node, KL_SEC);
	assert_true(mark_lists > 0);
	deliver_list(node, 2, 79, "mark/a", 75, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "{\"v\":2}");
}

/* The same for one that was removed, and created again since. */
static void lower_first_revision_admits_what_was_created_again(void **state)
{
	kl_node_t *node = *state;

	deliver_list(node, 1, 90, "mark/b", 80, "{}");
	deliver_list(node, 2, 78, "mark/a", 75, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "null");
	hello(node, 2, 72);
	deliver_list(node, 2, 79, "mark/a", 75, "{\"v\":2}");
	assert_string_equal(body_of(node, "mark/a"), "{\"v\":2}");
}

/*
 * Guards against changes that are never seen: a watch that began before the
 * drill, after revision 90, is answered by the restored store with what follows
 * 90, but not with what it assigned from 73 on.
 */
static void watch_of_the_old_era_is_not_applied(void **state)
{
	kl_node_t *node = *state;

	stub_node_run(node, KL_SEC);
	deliver_list(node, 1, 90, "mark/a", 80, "{\"v\":1}");
	stub_node_run(node, KL_SEC);
	assert_true(watch_sent_us != 0);
	deliver(node, KL_PLATFORM_WATCH, 2, 95, "mark/c", 95, "{}");
	assert_string_equal(body_of(node, "mark/c"), "null");
	assert_int_equal(kl_sync_era(node), 2);
	mark_lists = 0;
	stub_node_run(node, KL_SEC);
	assert_true(mark_lists > 0);
}

/*
 * Guards against a newer version of the configuration that is taken for a part
 * of the copy: it was written before any VM had asked the restored store, so no
 * lower revision of the era is ever seen.
 */
static void higher_number_is_no_part_of_the_copy(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_CONFIG, 1, 90, "route/a", 80, 2, "{\"v\":2}");
	deliver_one(node, KL_FEED_CONFIG, 2, 72, "route/a", 72, 3, "{\"v\":3}");
	assert_string_equal(body_of(node, "route/a"), "{\"v\":3}");
}

/* The same for what the newer version lacks, and for what it adds. */
static void higher_number_removes_and_adds(void **state)
{
	kl_object_list_t objects = CK_STAILQ_HEAD_INITIALIZER(objects);
	kl_node_t *node = *state;

	add(&objects, "route/a", 80, 2, "{\"v\":2}");
	add(&objects, "route/b", 80, 2, "{\"v\":2}");
	deliver_objects(node, KL_PLATFORM_LIST, KL_FEED_CONFIG, 1, 90,
			&objects);
	add(&objects, "route/a", 72, 3, "{\"v\":2}");
	add(&objects, "route/c", 72, 3, "{\"v\":3}");
	deliver_objects(node, KL_PLATFORM_LIST, KL_FEED_CONFIG, 2, 72,
			&objects);
	assert_string_equal(body_of(node, "route/b"), "null");
	assert_string_equal(body_of(node, "route/c"), "{\"v\":3}");
}

/*
 * Guards against a configuration that goes back while lost versions are written
 * again one after the other, with revisions that the copy can't have.
 */
static void lower_number_is_older_whatever_its_revision(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_CONFIG, 1, 90, "route/a", 80, 5, "{\"v\":5}");
	deliver_one(node, KL_FEED_CONFIG, 2, 40, "route/a", 30, 3, "{\"v\":3}");
	deliver_one(node, KL_FEED_CONFIG, 2, 95, "route/a", 95, 4, "{\"v\":4}");
	assert_string_equal(body_of(node, "route/a"), "{\"v\":5}");
	deliver_one(node, KL_FEED_CONFIG, 2, 96, "route/a", 96, 5, "{\"v\":5}");
	deliver_one(node, KL_FEED_CONFIG, 2, 97, "route/a", 97, 6, "{\"v\":6}");
	assert_string_equal(body_of(node, "route/a"), "{\"v\":6}");
}

/* Guards against a database whose report that it leaves is ignored. */
static void later_report_of_a_database_is_accepted(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_UPSTREAMS, 1, 90, "upstream/p1", 80, 7,
		    "{\"leaving\":false}");
	deliver_one(node, KL_FEED_UPSTREAMS, 2, 72, "upstream/p1", 71, 9,
		    "{\"leaving\":true}");
	assert_string_equal(body_of(node, "upstream/p1"), "{\"leaving\":true}");
}

/* An earlier one is from the copy, as long as the revision allows it. */
static void earlier_report_of_a_database_is_withheld(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_UPSTREAMS, 1, 90, "upstream/p1", 80, 7,
		    "{\"leaving\":true}");
	deliver_one(node, KL_FEED_UPSTREAMS, 2, 72, "upstream/p1", 71, 6,
		    "{\"leaving\":false}");
	assert_string_equal(body_of(node, "upstream/p1"), "{\"leaving\":true}");
}

/*
 * Guards against a mark that is ignored because the domain was marked before:
 * the mark that was removed returns with the copy in its own revision only.
 */
static void mark_of_another_revision_is_accepted(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_MARKS, 1, 70, "mark/a", 60, 60, "{}");
	deliver_one(node, KL_FEED_MARKS, 1, 90, NULL, 0, 0, NULL);
	deliver_one(node, KL_FEED_MARKS, 2, 72, "mark/a", 60, 60, "{}");
	assert_string_equal(body_of(node, "mark/a"), "null");
	deliver_one(node, KL_FEED_MARKS, 2, 73, "mark/a", 72, 72, "{}");
	assert_string_equal(body_of(node, "mark/a"), "{}");
}

/*
 * Guards against an evacuated domain that is used again: the store lost the
 * mark, and has so many later writes that the mark may also have been removed.
 */
static void lost_mark_stands_until_it_may_be_written_again(void **state)
{
	kl_node_t *node = *state;

	deliver_one(node, KL_FEED_MARKS, 1, 90, "mark/a", 80, 80, "{}");
	deliver_one(node, KL_FEED_MARKS, 2, 85, NULL, 0, 0, NULL);
	assert_string_equal(body_of(node, "mark/a"), "{}");
	stub_node_run(node, 19 * KL_SEC);
	deliver_one(node, KL_FEED_MARKS, 2, 86, NULL, 0, 0, NULL);
	assert_string_equal(body_of(node, "mark/a"), "{}");
	mark_lists = 0;
	stub_node_run(node, 2 * KL_SEC);
	assert_true(mark_lists > 0);
	deliver_one(node, KL_FEED_MARKS, 2, 87, NULL, 0, 0, NULL);
	assert_string_equal(body_of(node, "mark/a"), "null");
}

/* Lists the terms with this VM's own record: a list after the first confirms */
static void list_terms(kl_node_t *node, uint64_t era)
{
	stub_node_run(node, 20 * KL_MS);
	deliver_one(node, KL_FEED_TERMS, era, 90, "vm/a1", 80, 0,
		    "{\"domain\":\"d1\",\"host\":\"10.0.0.1\",\"port\":1,"
		    "\"incarnation\":0,\"state\":\"live\"}");
}

/*
 * Guards against a VM that reads from a replaced primary: it starts right after
 * the store was restored, has nothing from before, and finds a former term. The
 * other VMs write the newest one again in the first second.
 */
static void first_confirmation_waits_in_a_later_era(void **state)
{
	kl_node_t *node = *state;

	list_terms(node, 2);
	list_terms(node, 2);
	assert_null(kl_node_get(node, KL_SECTION_CONFIRMATION));
	stub_node_run(node, 900 * KL_MS);
	list_terms(node, 2);
	assert_null(kl_node_get(node, KL_SECTION_CONFIRMATION));
	stub_node_run(node, 200 * KL_MS);
	list_terms(node, 2);
	assert_non_null(kl_node_get(node, KL_SECTION_CONFIRMATION));
}

/* A store in its first era was never restored. */
static void first_confirmation_of_the_first_era_counts(void **state)
{
	kl_node_t *node = *state;

	list_terms(node, 1);
	list_terms(node, 1);
	assert_non_null(kl_node_get(node, KL_SECTION_CONFIRMATION));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			answer_of_an_older_era_is_refused, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			lower_first_revision_ends_the_withholding, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			lower_first_revision_admits_what_was_created_again,
			start, stub_node_stop),
		cmocka_unit_test_setup_teardown(
			watch_of_the_old_era_is_not_applied, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			higher_number_is_no_part_of_the_copy, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(higher_number_removes_and_adds,
						start, stub_node_stop),
		cmocka_unit_test_setup_teardown(
			lower_number_is_older_whatever_its_revision, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			later_report_of_a_database_is_accepted, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			earlier_report_of_a_database_is_withheld, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			mark_of_another_revision_is_accepted, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			first_confirmation_waits_in_a_later_era, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			first_confirmation_of_the_first_era_counts, start,
			stub_node_stop),
		cmocka_unit_test_setup_teardown(
			lost_mark_stands_until_it_may_be_written_again, start,
			stub_node_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
