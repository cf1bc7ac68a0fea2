#include <stddef.h>

#include "control/revision_time.h"
#include "control/store_era.h"

static kl_revision_sample_t *newest_sample(kl_revision_times_t *times);

void kl_revision_times_add(kl_revision_times_t *times, uint64_t revision,
			   uint64_t time_us)
{
	kl_revision_sample_t *newest = newest_sample(times);

	if (revision < times->newest_revision)
		return;
	times->newest_revision = revision;
	/* A later time at which the revision was lower tells more. */
	if (newest && newest->time_us >= time_us)
		return;
	if (!newest || newest->revision != revision)
		newest = &times->samples[times->count++ % KL_REVISION_SAMPLES];
	newest->revision = revision;
	newest->time_us = time_us;
}

void kl_revision_times_seen(kl_revision_times_t *times, uint64_t revision)
{
	if (times->newest_revision < revision)
		times->newest_revision = revision;
}

uint64_t kl_revision_times_before(const kl_revision_times_t *times,
				  uint64_t revision)
{
	uint64_t before_us = 0;

	for (uint32_t i = 0; i < KL_REVISION_SAMPLES; i++) {
		const kl_revision_sample_t *sample = &times->samples[i];

		/* A restored store assigns the revisions of its copy again. */
		if (sample->revision < revision &&
		    kl_version_era(sample->revision) ==
			    kl_version_era(revision) &&
		    sample->time_us > before_us)
			before_us = sample->time_us;
	}
	return before_us;
}

const kl_revision_sample_t *
kl_revision_times_newest(const kl_revision_times_t *times)
{
	return newest_sample((kl_revision_times_t *)times);
}

static kl_revision_sample_t *newest_sample(kl_revision_times_t *times)
{
	return times->count ? &times->samples[(times->count - 1) %
					      KL_REVISION_SAMPLES]
			    : NULL;
}
