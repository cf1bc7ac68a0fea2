#include <string.h>

#include "path/position.h"

/* Shortest time between two samples, microseconds. */
#define SAMPLE_SPACING_US 40000

static const kl_log_sample_t *sample_at(const kl_log_samples_t *samples,
					uint32_t index);

int kl_position_compare(kl_position_t a, kl_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

void kl_log_samples_add(kl_log_samples_t *samples, kl_position_t position,
			uint64_t query_sent_us)
{
	kl_log_sample_t *sample;

	if (samples->count &&
	    query_sent_us <
		    kl_log_samples_newest_us(samples) + SAMPLE_SPACING_US)
		return;
	if (samples->count == KL_LOG_SAMPLES_MAX) {
		samples->oldest = (samples->oldest + 1) % KL_LOG_SAMPLES_MAX;
		samples->count--;
	}
	sample = &samples->ring[(samples->oldest + samples->count) %
				KL_LOG_SAMPLES_MAX];
	sample->position = position;
	sample->query_sent_us = query_sent_us;
	samples->count++;
}

void kl_log_samples_clear(kl_log_samples_t *samples)
{
	memset(samples, 0, sizeof(*samples));
}

bool kl_log_samples_find(const kl_log_samples_t *samples, uint64_t time_us,
			 kl_position_t *position)
{
	for (uint32_t i = 0; i < samples->count; i++) {
		const kl_log_sample_t *sample = sample_at(samples, i);

		if (sample->query_sent_us < time_us)
			continue;
		*position = sample->position;
		return true;
	}
	return false;
}

uint64_t kl_log_samples_newest_us(const kl_log_samples_t *samples)
{
	return samples->count
		       ? sample_at(samples, samples->count - 1)->query_sent_us
		       : 0;
}

static const kl_log_sample_t *sample_at(const kl_log_samples_t *samples,
					uint32_t index)
{
	return &samples->ring[(samples->oldest + index) % KL_LOG_SAMPLES_MAX];
}
