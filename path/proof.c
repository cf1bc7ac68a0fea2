#include "control/node.h"
#include "path/path.h"

static kl_proof_state_t lease_holds(const kl_view_t *scene,
				    const kl_path_settings_t *settings,
				    const kl_group_t *group, uint64_t term,
				    const kl_vote_tally_t *tally);
static kl_proof_state_t majority_holds(const kl_view_t *scene,
				       const kl_path_settings_t *settings,
				       const kl_group_t *group, uint64_t term,
				       const kl_vote_tally_t *tally);

const kl_proof_method_t kl_proof_methods[KL_PROOF_COUNT] = {
	[KL_PROOF_LEASE] = { "lease", false, lease_holds },
	[KL_PROOF_MAJORITY] = { "majority", true, majority_holds },
};

/*
 * The platform confirmed this very state a short while ago, and a promoter
 * that came since waits longer than the confirmation is good for.
 */
static kl_proof_state_t lease_holds(const kl_view_t *scene,
				    const kl_path_settings_t *settings,
				    const kl_group_t *group, uint64_t term,
				    const kl_vote_tally_t *tally)
{
	(void)tally;
	if (!group || group->term > term)
		return KL_PROOF_FAILS;
	if (group->term == term && group->state == KL_GROUP_STABLE &&
	    kl_lease_valid(scene->fresh, scene->terms, scene->now_us,
			   settings->lease_us))
		return KL_PROOF_HOLDS;
	return KL_PROOF_UNDECIDED;
}

/*
 * A promoter seals a majority before it promotes: while a majority accepts
 * the term after the statement ran, no later one has begun.
 */
static kl_proof_state_t majority_holds(const kl_view_t *scene,
				       const kl_path_settings_t *settings,
				       const kl_group_t *group, uint64_t term,
				       const kl_vote_tally_t *tally)
{
	uint32_t majority = tally->databases / 2 + 1;
	(void)scene;
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
