/* The blackboard, on the epoch reclamation of Concurrency Kit. */
#include <ck_pr.h>
#include <ck_queue.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "board/board.h"

#if defined(__SANITIZE_THREAD__)
#define KL_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define KL_TSAN 1
#endif
#endif

/*
 * ThreadSanitizer cannot see the ordering in Concurrency Kit's inline assembly,
 * so builds with it are told by these annotations.
 */
#ifdef KL_TSAN
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define tsan_acquire(p) __tsan_acquire((void *)(p))
#define tsan_release(p) __tsan_release((void *)(p))
#else
#define tsan_acquire(p) ((void)(p))
#define tsan_release(p) ((void)(p))
#endif

struct kl_reader {
	ck_epoch_record_t record;
	kl_board_t *board;
	CK_SLIST_ENTRY(kl_reader) link;
};

struct kl_board {
	ck_epoch_t epoch;
	kl_snapshot_t *sections[KL_SECTION_COUNT];
	/* Protects readers; not taken on the path of a request. */
	pthread_mutex_t readers_lock;
	CK_SLIST_HEAD(, kl_reader) readers;
};

#ifdef KL_TSAN
static ck_epoch_t *reclaim_epoch;
#endif

static void reclaim(ck_epoch_entry_t *entry);

CK_EPOCH_CONTAINER(kl_snapshot_t, epoch_entry, snapshot_of)

kl_board_t *kl_board_new(void)
{
	kl_board_t *board = calloc(1, sizeof(*board));

	if (!board)
		return NULL;
	ck_epoch_init(&board->epoch);
	pthread_mutex_init(&board->readers_lock, NULL);
	CK_SLIST_INIT(&board->readers);
	return board;
}

void kl_board_free(kl_board_t *board)
{
	kl_reader_t *reader, *next;

	if (!board)
		return;
	CK_SLIST_FOREACH_SAFE(reader, &board->readers, link, next)
	{
		ck_epoch_reclaim(&reader->record);
		free(reader);
	}
	for (int i = 0; i < KL_SECTION_COUNT; i++)
		if (board->sections[i])
			board->sections[i]->destroy(board->sections[i]);
	pthread_mutex_destroy(&board->readers_lock);
	free(board);
}

kl_reader_t *kl_reader_new(kl_board_t *board)
{
	kl_reader_t *reader = NULL;

	if (posix_memalign((void **)&reader, CK_MD_CACHELINE, sizeof(*reader)))
		return NULL;
	memset(reader, 0, sizeof(*reader));
	reader->board = board;
	ck_epoch_register(&board->epoch, &reader->record, NULL);
	pthread_mutex_lock(&board->readers_lock);
	CK_SLIST_INSERT_HEAD(&board->readers, reader, link);
	pthread_mutex_unlock(&board->readers_lock);
	return reader;
}

void kl_read_begin(kl_reader_t *reader)
{
	ck_epoch_begin(&reader->record, NULL);
}

void kl_read_end(kl_reader_t *reader)
{
	tsan_release(&reader->board->epoch);
	ck_epoch_end(&reader->record, NULL);
}

const void *kl_board_get(const kl_reader_t *reader, kl_section_t section)
{
	const void *snapshot =
		ck_pr_load_ptr(&reader->board->sections[section]);

	tsan_acquire(&reader->board->sections[section]);
	return snapshot;
}

void kl_board_publish(kl_reader_t *reader, kl_section_t section,
		      kl_snapshot_t *snapshot)
{
	kl_board_t *board = reader->board;
	kl_snapshot_t *old = board->sections[section];

	snapshot->sequence = old ? old->sequence + 1 : 1;
	tsan_release(&board->sections[section]);
	ck_pr_fence_store();
	ck_pr_store_ptr(&board->sections[section], snapshot);
	if (old) {
#ifdef KL_TSAN
		reclaim_epoch = &board->epoch;
#endif
		ck_epoch_call(&reader->record, &old->epoch_entry, reclaim);
	}
}

void kl_board_reclaim(kl_reader_t *reader)
{
	ck_epoch_poll(&reader->record);
}

static void reclaim(ck_epoch_entry_t *entry)
{
	kl_snapshot_t *snapshot = snapshot_of(entry);

#ifdef KL_TSAN
	tsan_acquire(reclaim_epoch);
#endif
	snapshot->destroy(snapshot);
}
