/**
 * @file
 * The blackboard: sections, each of which holds an immutable snapshot.
 *
 * A section has one writer.  Readers on any thread get the current snapshot
 * through a pointer that is protected by epochs (read-copy-update); a replaced
 * snapshot is destroyed once no reader can hold it.
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
	KL_SECTION_POSITIONS,	 /**< kl_positions_t, written by position */
	KL_SECTION_PERMITS,	 /**< kl_permits_t, written by permit */
	KL_SECTION_COUNT
} kl_section_t;

/** Base of every snapshot; the first member of each section's type. */
typedef struct kl_snapshot {
	ck_epoch_entry_t epoch_entry; /**< defers the destruction */
	void (*destroy)(struct kl_snapshot *snapshot);
	/**
	 * Rises with each publication of the section; set by
	 * kl_board_publish(). A new snapshot may have the address of an earlier
	 * one.
	 */
	uint64_t sequence;
} kl_snapshot_t;

typedef struct kl_board kl_board_t;
typedef struct kl_reader kl_reader_t;

/** Create an empty board. @return NULL when out of memory */
kl_board_t *kl_board_new(void);

/** Destroy the board and its snapshots; no reader may be active. */
void kl_board_free(kl_board_t *board);

/**
 * Register the calling thread as a reader.
 *
 * @return the registration, which kl_board_free() frees, or NULL when out of
 * memory
 */
kl_reader_t *kl_reader_new(kl_board_t *board);

/** Enter a read-side critical section; these nest. */
void kl_read_begin(kl_reader_t *reader);

/** Leave it; snapshots obtained inside must not be used any more. */
void kl_read_end(kl_reader_t *reader);

/**
 * Get a section's current snapshot, inside a read-side critical section.
 *
 * @return the snapshot, or NULL before the first publication
 */
const void *kl_board_get(const kl_reader_t *reader, kl_section_t section);

/**
 * Replace a section's snapshot, and schedule the old one for destruction.
 *
 * @param reader the registration of the writing thread
 * @param snapshot is owned by the board from now on
 */
void kl_board_publish(kl_reader_t *reader, kl_section_t section,
		      kl_snapshot_t *snapshot);

/** Destroy replaced snapshots that no reader can hold; never blocks. */
void kl_board_reclaim(kl_reader_t *reader);

#endif
