/**
 * @file
 * The blackboard: typed sections, each an immutable snapshot.
 *
 * A section has one writer.  Readers on any thread see a section through an
 * epoch-protected pointer; replaced snapshots are destroyed once no reader
 * can hold them.
 */
#ifndef KL_BOARD_H
#define KL_BOARD_H

#include <ck_epoch.h>
#include <stdint.h>

/** The sections of the blackboard. */
typedef enum kl_section {
	KL_SECTION_CONFIRMATION, /**< kl_confirmation_t, written by sync */
	KL_SECTION_OBJECTS,	 /**< kl_objects_t, written by sync */
	KL_SECTION_CONFIG,	 /**< kl_config_t, written by config */
	KL_SECTION_TERMS,	 /**< kl_terms_t, written by terms */
	KL_SECTION_MEMBERS,	 /**< kl_members_t, written by member */
	KL_SECTION_HEALTH,	 /**< kl_health_t, written by health */
	KL_SECTION_BUCKETS,	 /**< kl_buckets_t, written by share */
	KL_SECTION_LIFECYCLE,	 /**< kl_lifecycle_t, written by drain */
	KL_SECTION_COUNT
} kl_section_t;

/** Head of every snapshot; the first member of each section's type. */
typedef struct kl_snapshot {
	ck_epoch_entry_t epoch_entry;
	void (*destroy)(struct kl_snapshot *snapshot);
} kl_snapshot_t;

typedef struct kl_board kl_board_t;
typedef struct kl_reader kl_reader_t;

/** Create an empty board. @return NULL when out of memory */
kl_board_t *kl_board_new(void);

/** Destroy the board and every snapshot; no reader may be active. */
void kl_board_free(kl_board_t *board);

/**
 * Register the calling thread as a reader; the board owns the registration
 * and frees it with itself.
 *
 * @return NULL when out of memory
 */
kl_reader_t *kl_reader_new(kl_board_t *board);

/** Enter a read section; sections nest. */
void kl_read_begin(kl_reader_t *reader);

/** Leave a read section; pointers got inside are dead after it. */
void kl_read_end(kl_reader_t *reader);

/**
 * Get a section's current snapshot inside a read section.
 *
 * @return the snapshot, or NULL before the first publication
 */
const void *kl_board_get(const kl_reader_t *reader, kl_section_t section);

/**
 * Replace a section's snapshot; ownership passes to the board.
 *
 * @param reader the writer's own registration, outside of a read section
 */
void kl_board_publish(kl_reader_t *reader, kl_section_t section,
		      kl_snapshot_t *snapshot);

/** Destroy replaced snapshots that no reader holds; never blocks. */
void kl_board_reclaim(kl_reader_t *reader);

#endif
