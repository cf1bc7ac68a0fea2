/*
 * Tests of the blackboard and of a thread's inbox under concurrent use (also
 * run with ThreadSanitizer), and of the name index.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <event2/thread.h>
#include <pthread.h>
#include <stdatomic.h>

#include "board/sections.h"
#include "daemon/inbox.h"

#define THREADS 4
#define SNAPSHOTS 20000
#define MESSAGES 1000 /* that each thread posts */

/* A snapshot whose two values are equal as long as it is valid. */
typedef struct pair {
	kl_snapshot_t base;
	uint64_t first;
	uint64_t second;
} pair_t;

static atomic_int destroyed;
static atomic_bool done;

static void destroy_pair(kl_snapshot_t *snapshot)
{
	pair_t *pair = (pair_t *)snapshot;

	/* A reader that still uses it sees a torn pair. */
	pair->first = 1;
	pair->second = 2;
	atomic_fetch_add(&destroyed, 1);
	free(pair);
}

/* Count snapshots that are torn or older than the one before. */
static void *read_pairs(void *arg)
{
	kl_board_t *board = arg;
	kl_reader_t *reader = kl_reader_new(board);
	uint64_t faults = 0, last = 0;

	while (!atomic_load(&done)) {
		const pair_t *pair;

		kl_read_begin(reader);
		pair = kl_board_get(reader, KL_SECTION_CONFIRMATION);
		if (pair) {
			faults += pair->first != pair->second;
			faults += pair->first < last;
			last = pair->first;
		}
		kl_read_end(reader);
	}
	return (void *)(uintptr_t)faults;
}

static void readers_see_complete_snapshots_in_order(void **state)
{
	kl_board_t *board = kl_board_new();
	kl_reader_t *writer = kl_reader_new(board);
	pthread_t threads[THREADS];
	void *faults;
	(void)state;

	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, read_pairs, board);
	for (uint64_t i = 1; i <= SNAPSHOTS; i++) {
		pair_t *pair = calloc(1, sizeof(*pair));

		pair->base.destroy = destroy_pair;
		pair->first = pair->second = i + 10;
		kl_board_publish(writer, KL_SECTION_CONFIRMATION, &pair->base);
		kl_board_reclaim(writer);
	}
	atomic_store(&done, true);
	for (int i = 0; i < THREADS; i++) {
		pthread_join(threads[i], &faults);
		assert_int_equal((uintptr_t)faults, 0);
	}
	kl_board_free(board);
	assert_int_equal(atomic_load(&destroyed), SNAPSHOTS);
}

typedef struct counted_message {
	kl_message_t message;
	struct event_base *base;
} counted_message_t;

static void handle_counted(void *owner, kl_message_t *message)
{
	int *handled = owner;
	counted_message_t *counted = (counted_message_t *)message;

	if (handled && ++*handled == THREADS * MESSAGES)
		event_base_loopbreak(counted->base);
	free(message);
}

typedef struct post_job {
	kl_inbox_t *inbox;
	struct event_base *base;
} post_job_t;

static void *post_messages(void *arg)
{
	post_job_t *job = arg;

	for (int i = 0; i < MESSAGES; i++) {
		counted_message_t *counted = calloc(1, sizeof(*counted));

		counted->message.handler = handle_counted;
		counted->base = job->base;
		kl_inbox_post(job->inbox, &counted->message);
	}
	return NULL;
}

static void keep_pair(kl_snapshot_t *snapshot)
{
	(void)snapshot;
}

/* A snapshot may get the address of one that was freed. */
static void new_snapshots_are_told_from_old_ones(void **state)
{
	kl_board_t *board = kl_board_new();
	kl_reader_t *writer = kl_reader_new(board);
	pair_t reused = { .base = { .destroy = keep_pair } };
	pair_t other = { .base = { .destroy = keep_pair } };
	uint64_t sequence;
	(void)state;

	kl_board_publish(writer, KL_SECTION_CONFIG, &reused.base);
	sequence = reused.base.sequence;
	kl_board_publish(writer, KL_SECTION_CONFIG, &other.base);
	kl_board_reclaim(writer);
	kl_board_publish(writer, KL_SECTION_CONFIG, &reused.base);
	assert_true(reused.base.sequence > sequence);
	kl_board_free(board);
}

static void every_message_is_handled_once(void **state)
{
	struct event_base *base;
	pthread_t threads[THREADS];
	post_job_t job;
	int handled = 0;
	(void)state;

	evthread_use_pthreads();
	base = event_base_new();
	job.base = base;
	job.inbox = kl_inbox_new(base, &handled);
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, post_messages, &job);
	event_base_dispatch(base);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(handled, THREADS * MESSAGES);
	kl_inbox_free(job.inbox);
	event_base_free(base);
}

static void index_finds_names_and_rejects_duplicates(void **state)
{
	kl_index_t *index = kl_index_new(1);
	kl_named_t entries[200];
	char name[KL_NAME_MAX + 1];
	(void)state;

	for (int i = 0; i < 200; i++) {
		snprintf(entries[i].name, KL_NAME_MAX, "n%d", i);
		assert_int_equal(kl_index_put(index, &entries[i]), 0);
	}
	assert_int_not_equal(kl_index_put(index, &entries[7]), 0);
	assert_ptr_equal(kl_index_get(index, "n150"), &entries[150]);
	assert_ptr_equal(kl_index_remove(index, "n150"), &entries[150]);
	assert_null(kl_index_get(index, "n150"));
	memset(name, 'x', KL_NAME_MAX);
	name[KL_NAME_MAX] = '\0';
	assert_null(kl_index_get(index, name));
	kl_index_free(index);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(readers_see_complete_snapshots_in_order),
		cmocka_unit_test(new_snapshots_are_told_from_old_ones),
		cmocka_unit_test(every_message_is_handled_once),
		cmocka_unit_test(index_finds_names_and_rejects_duplicates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
