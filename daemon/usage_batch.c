#include <stdlib.h>
#include <string.h>

#include "daemon/usage_batch.h"

/* Operations that began within this time share a sample. */
#define SAMPLE_SPAN_US (20 * KL_MS)

void kl_usage_batch_add(kl_usage_samples_t *batch, const char *workspace,
			uint64_t began_us)
{
	kl_usage_sample_t *sample;

	CK_STAILQ_FOREACH(sample, batch, link) {
		if (began_us >= sample->began_us &&
		    began_us - sample->began_us < SAMPLE_SPAN_US &&
		    !strcmp(sample->workspace, workspace)) {
			sample->operations++;
			return;
		}
	}
	sample = calloc(1, sizeof(*sample));
	if (!sample || kl_name_copy(sample->workspace, workspace)) {
		free(sample);
		return;
	}
	sample->began_us = began_us;
	sample->operations = 1;
	CK_STAILQ_INSERT_TAIL(batch, sample, link);
}

void kl_usage_batch_clear(kl_usage_samples_t *batch)
{
	kl_usage_sample_t *sample;

	while ((sample = CK_STAILQ_FIRST(batch))) {
		CK_STAILQ_REMOVE_HEAD(batch, link);
		free(sample);
	}
}
