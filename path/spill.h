/**
 * @file
 * Decides which part of a service's reads goes to other failure domains.
 *
 * Pure functions without sockets and clock.  All times are microseconds of the
 * clock that the caller passes in.  The limits are parts of the latency
 * objective of the reads; docs/design/spill.md has the reasons.
 */
#ifndef KL_SPILL_H
#define KL_SPILL_H

#include <ck_queue.h>
#include <stdbool.h>
#include <stdint.h>

#include "board/index.h"

/** The share that stands for all reads. */
#define KL_SPILL_WHOLE 1024
/** Time between two changes of the shares. */
#define KL_SPILL_STEP_US 200000
/** Figures of another domain are not used when they are older than this. */
#define KL_SPILL_FIGURE_MAX_AGE_US 1000000

/** The wait at a database, seen by one VM. */
typedef struct kl_wait {
	uint32_t average_ppm;	 /**< of the objectives, of a million */
	uint64_t last_sample_us; /**< time of the last statement, or 0 */
	uint64_t last_late_us;	 /**< time of the last late one, or 0 */
} kl_wait_t;

/**
 * Add a statement that was answered, from when its database was chosen until
 * the reply.  What exceeds a third of its objective counts as its wait.  It is
 * late above half of the objective.
 */
void kl_wait_add(kl_wait_t *wait, uint64_t response_us, uint64_t objective_us,
		 uint64_t now_us);

/**
 * Add a statement that the database or the queue refused: it is late, and the
 * objective counts as its wait.
 */
void kl_wait_add_refused(kl_wait_t *wait, uint64_t now_us);

/**
 * Whether the wait is known: there was a statement in the last 2 s, or none
 * for so long that the database is not used by this VM and has no wait.
 */
bool kl_wait_is_known(const kl_wait_t *wait, uint64_t now_us);

/**
 * Expected wait of a statement with an objective; 0 if there was no statement
 * in the last 2 s.
 */
uint64_t kl_wait_expected(const kl_wait_t *wait, uint64_t objective_us,
			  uint64_t now_us);

/**
 * Limit the wait that this VM sees by the one that others of its domain see at
 * the same database: with few statements a single slow one looks like load.
 */
uint64_t kl_wait_pooled(uint64_t own_us, uint64_t others_us);

/** Whether there was a late statement in the last second. */
bool kl_wait_was_late(const kl_wait_t *wait, uint64_t now_us);

/** Another failure domain, as a destination of a service's reads. */
typedef struct kl_spill_domain {
	CK_STAILQ_ENTRY(kl_spill_domain) link;
	char name[KL_NAME_MAX];
	uint32_t share; /**< part of the reads, of KL_SPILL_WHOLE */
	uint32_t step;	/**< size of the last step */
	int direction;	/**< of that change: 1 up, -1 down, 0: none yet */
	/** reads owed to the domain, of KL_SPILL_WHOLE each */
	uint32_t credit;
	bool known;		/**< the figures below are recent */
	uint64_t wait_us;	/**< expected wait at its best database */
	uint64_t round_trip_us; /**< round trip to the domain */
} kl_spill_domain_t;

/** The shares of one service. */
typedef struct kl_spill {
	CK_STAILQ_HEAD(, kl_spill_domain) domains;
	uint64_t next_step_us;
	uint64_t last_wait_us; /**< wait at home at the last step */
	/** lowest objective noted in the last period and in this one */
	uint64_t last_objective_us;
	uint64_t objective_us;
	uint64_t period_began_us;
} kl_spill_t;

/** Begin without domains. */
void kl_spill_init(kl_spill_t *spill);

/** Free the domains. */
void kl_spill_clear(kl_spill_t *spill);

/** Find a domain, or add it with a share of 0. @return NULL: out of memory */
kl_spill_domain_t *kl_spill_domain(kl_spill_t *spill, const char *name);

/**
 * Note the latency objective of a read that may leave; the lowest one sets the
 * limits.
 */
void kl_spill_note_objective(kl_spill_t *spill, uint64_t objective_us,
			     uint64_t now_us);

/** Lowest latency objective noted lately; 0: none. */
uint64_t kl_spill_objective_us(const kl_spill_t *spill);

/**
 * Whether figures of other VMs are needed: a statement of this VM was late at
 * home in the last second, or reads leave now.
 */
bool kl_spill_needs_figures(const kl_spill_t *spill, bool was_late);

/**
 * Change the shares by one step, if one is due.  The caller has updated the
 * figures of all domains.
 *
 * @param home_wait_us expected wait at the best database of this domain
 * @return whether a step was due
 */
bool kl_spill_step(kl_spill_t *spill, uint64_t home_wait_us, uint64_t now_us);

/**
 * Tell where the next read goes, without counting it.
 *
 * @return the other domain, or NULL: it stays at home
 */
kl_spill_domain_t *kl_spill_next(const kl_spill_t *spill);

/**
 * Tell where a read goes that a database at home had no room for.
 *
 * @return a domain with spare capacity, or NULL if none is known
 */
kl_spill_domain_t *kl_spill_best(const kl_spill_t *spill);

/** Count a read that was sent to a domain; NULL: it stayed at home. */
void kl_spill_sent(kl_spill_t *spill, kl_spill_domain_t *domain);

/** Sum of the shares, of KL_SPILL_WHOLE. */
uint32_t kl_spill_share(const kl_spill_t *spill);

#endif
