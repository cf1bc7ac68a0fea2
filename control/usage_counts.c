#include <stdlib.h>
#include <string.h>

#include "control/usage_counts.h"

#define EXPECTED_WORKSPACES 64

kl_usage_tally_t *kl_usage_tally_new(uint64_t window, const char *vm,
				     uint64_t incarnation)
{
	kl_usage_tally_t *tally = calloc(1, sizeof(*tally));

	if (!tally)
		return NULL;
	tally->index = kl_index_new(EXPECTED_WORKSPACES);
	if (!tally->index || kl_name_copy(tally->vm, vm)) {
		kl_index_free(tally->index);
		free(tally);
		return NULL;
	}
	CK_STAILQ_INIT(&tally->counts);
	tally->window = window;
	tally->incarnation = incarnation;
	return tally;
}

void kl_usage_tally_free(kl_usage_tally_t *tally)
{
	kl_usage_count_t *count, *next;

	if (!tally)
		return;
	CK_STAILQ_FOREACH_SAFE(count, &tally->counts, link, next)
		free(count);
	kl_index_free(tally->index);
	free(tally);
}

kl_usage_count_t *kl_usage_tally_get(kl_usage_tally_t *tally,
				     const char *workspace)
{
	kl_usage_count_t *count = kl_index_get(tally->index, workspace);

	if (count)
		return count;
	count = calloc(1, sizeof(*count));
	if (!count || kl_name_copy(count->workspace.name, workspace)) {
		free(count);
		return NULL;
	}
	CK_STAILQ_INSERT_TAIL(&tally->counts, count, link);
	kl_index_put(tally->index, &count->workspace);
	return count;
}

kl_usage_tally_t *kl_usage_tallies_get(kl_usage_tallies_t *tallies,
				       uint64_t window, const char *vm,
				       uint64_t incarnation)
{
	kl_usage_tally_t *tally;

	CK_STAILQ_FOREACH(tally, tallies, link) {
		if (tally->window == window &&
		    tally->incarnation == incarnation && !strcmp(tally->vm, vm))
			return tally;
	}
	tally = kl_usage_tally_new(window, vm, incarnation);
	if (tally)
		CK_STAILQ_INSERT_TAIL(tallies, tally, link);
	return tally;
}

void kl_usage_tallies_forget(kl_usage_tallies_t *tallies,
			     uint64_t before_window)
{
	kl_usage_tally_t *tally, *next;

	CK_STAILQ_FOREACH_SAFE(tally, tallies, link, next) {
		if (tally->window >= before_window)
			continue;
		CK_STAILQ_REMOVE(tallies, tally, kl_usage_tally, link);
		kl_usage_tally_free(tally);
	}
}

void kl_usage_tallies_sum(const kl_usage_tallies_t *tallies, uint64_t window,
			  kl_usage_tally_t *sum)
{
	const kl_usage_tally_t *tally;
	const kl_usage_count_t *count;

	CK_STAILQ_FOREACH(tally, tallies, link) {
		if (tally->window != window)
			continue;
		CK_STAILQ_FOREACH(count, &tally->counts, link) {
			kl_usage_count_t *total =
				kl_usage_tally_get(sum, count->workspace.name);

			if (total)
				total->operations += count->operations;
		}
	}
}
