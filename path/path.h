/**
 * @file
 * What a request passes: authenticate, admit, choose an upstream, confirm.
 *
 * Decisions only: no sockets, no clock.  All of them are made inside a read
 * section of the blackboard.
 */
#ifndef KL_PATH_H
#define KL_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "board/sections.h"
#include "kumquatloft/kind.h"
#include "kumquatloft/token.h"

/** The sections that a request is decided by. */
typedef struct kl_view {
	const kl_confirmation_t *fresh;
	const kl_config_t *config;
	const kl_terms_t *terms;
	const kl_members_t *members;
	const kl_health_t *health;
	const kl_buckets_t *shares;
	const kl_lifecycle_t *life;
	uint64_t now_us;
} kl_view_t;

/** What operators chose for the path; microseconds. */
typedef struct kl_path_settings {
	uint64_t lease_us;	  /**< a confirmation proves a term so long */
	uint64_t read_wait_us;	  /**< a read waits for a replica, at most */
	uint64_t stale_after_us;  /**< unconfirmed configuration is refused
				       after this; 0 for never */
	char domain[KL_NAME_MAX]; /**< this VM's, preferred among equals */
} kl_path_settings_t;

/** Look at the blackboard inside a read section. */
void kl_view_load(kl_view_t *scene, const kl_reader_t *reader, uint64_t now_us);

/** Hash a key to the form that the configuration holds. */
void kl_key_hash(const char *key, char hex[2 * KL_KEY_HASH_BYTES + 1]);

/**
 * Check that a key belongs to a workspace and is in force.
 *
 * @param hash of the key, or "" on a route that is open to all
 * @return 0, -KL_E_AUTH, -KL_E_KEY_WITHDRAWN, -KL_E_NOT_FOUND,
 *         -KL_E_STALE_CONFIG
 */
int kl_authenticate(const kl_view_t *scene, const kl_path_settings_t *settings,
		    const char *hash, const char *workspace,
		    const char *service);

/**
 * Take a statement's tokens.
 *
 * @return 0 or -KL_E_RATE
 */
int kl_admit_statement(const kl_view_t *scene, kl_bucket_t *bucket);

/** Count a session in. @return 0 or -KL_E_CONNECTIONS */
int kl_admit_session(kl_bucket_t *bucket);
void kl_release_session(kl_bucket_t *bucket);

/** What to do with a request now. */
typedef enum kl_verdict {
	KL_VERDICT_SEND,
	KL_VERDICT_WAIT,   /**< look again soon */
	KL_VERDICT_REFUSE, /**< with the error given */
} kl_verdict_t;

/** A question to the router. */
typedef struct kl_route_request {
	const char *service;
	bool read;
	kl_token_t token;
	uint64_t max_age_us;	    /**< stated age, 0 for none */
	uint64_t waited_us;	    /**< since the request came */
	const char *avoid_upstream; /**< upstream that just failed, or NULL */
	/** Work in progress at an upstream; the least is preferred. */
	uint32_t (*load)(const void *context, const char *upstream);
	const void *context;
} kl_route_request_t;

/** The router's answer. */
typedef struct kl_route_choice {
	kl_verdict_t verdict;
	int error;
	const kl_upstream_t *upstream;
	const char *reason;
	bool replica;
	uint64_t term;
	uint64_t position; /**< known of the upstream */
	uint64_t age_us;   /**< of the data, as known */
} kl_route_choice_t;

/** Choose an upstream. */
void kl_route_choose(const kl_view_t *scene, const kl_path_settings_t *settings,
		     const kl_route_request_t *ask, kl_route_choice_t *route);

/** Whether a database's term and position cover a token. */
typedef enum kl_cover {
	KL_COVER_YES,
	KL_COVER_NOT_YET,
	KL_COVER_LOST, /**< a failover lost the write */
} kl_cover_t;

kl_cover_t kl_token_covered(const kl_token_t *token, const kl_group_t *group,
			    uint64_t term, uint64_t position);

/** Whether a proof that a term is current holds. */
typedef enum kl_proof_state {
	KL_PROOF_HOLDS,
	KL_PROOF_FAILS,	    /**< the term is over */
	KL_PROOF_UNDECIDED, /**< not proven this way */
} kl_proof_state_t;

/** Answers of a group's databases to "which terms do you accept?". */
typedef struct kl_vote_tally {
	uint32_t databases;
	uint32_t accepting; /**< still accept the term */
	uint32_t refusing;  /**< are sealed against it */
	uint32_t no_answer;
} kl_vote_tally_t;

/** One way to prove that a primary's term is current. */
typedef struct kl_proof_method {
	const char *name;
	bool asks_databases; /**< needs a tally begun after the statement ran */
	kl_proof_state_t (*check)(const kl_view_t *scene,
				  const kl_path_settings_t *settings,
				  const kl_group_t *group, uint64_t term,
				  const kl_vote_tally_t *tally);
} kl_proof_method_t;

/** The ways, cheapest first. */
typedef enum kl_proof_id {
	KL_PROOF_LEASE,
	KL_PROOF_MAJORITY,
	KL_PROOF_COUNT
} kl_proof_id_t;

extern const kl_proof_method_t kl_proof_methods[KL_PROOF_COUNT];

#endif
