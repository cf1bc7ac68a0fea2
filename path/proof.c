#include "path/path.h"

static kl_proof_state_t lease_holds(const kl_view_t *view,
				    const kl_path_settings_t *settings,
				    const kl_group_t *group, uint64_t term,
				    const kl_vote_tally_t *tally);
static kl_proof_state_t majority_holds(const kl_view_t *view,
				       const kl_path_settings_t *settings,
				       const kl_group_t *group, uint64_t term,
				       const kl_vote_tally_t *tally);

const kl_proof_method_t kl_proof_methods[KL_PROOF_COUNT] = {
	[KL_PROOF_LEASE] = { "lease", false, lease_holds },
	[KL_PROOF_MAJORITY] = { "majority", true, majority_holds },
};

/*
 * Holds if the platform confirmed the group's record less than a lease ago.  A
 * promoter that started after that waits until such leases have expired before
 * it promotes.
 */
static kl_proof_state_t lease_holds(const kl_view_t *view,
				    const kl_path_settings_t *settings,
				    const kl_group_t *group, uint64_t term,
				    const kl_vote_tally_t *tally)
{
	(void)tally;
	if (!group || group->term > term)
		return KL_PROOF_FAILS;
	if (group->term == term &&
	    kl_primary_proven(view, group, settings->lease_us))
		return KL_PROOF_HOLDS;
	return KL_PROOF_UNDECIDED;
}

/*
 * Holds if a majority of the databases still accepts the term after the
 * statement ran.  A promoter seals a majority against older terms before it
 * promotes, so that no later term can have begun before the statement ran.
 */
static kl_proof_state_t majority_holds(const kl_view_t *view,
				       const kl_path_settings_t *settings,
				       const kl_group_t *group, uint64_t term,
				       const kl_vote_tally_t *tally)
{
	uint32_t majority = tally->databases / 2 + 1;
	(void)view;
	(void)settings;

	if (!group || group->term > term)
		return KL_PROOF_FAILS;
	if (tally->accepting >= majority)
		return KL_PROOF_HOLDS;
	if (tally->accepting + (tally->databases - tally->accepting -
				tally->refusing - tally->no_answer) <
	    majority)
		return KL_PROOF_FAILS;
	return KL_PROOF_UNDECIDED;
}
