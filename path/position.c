#include <string.h>

#include "path/position.h"

#define SPACING_US 40000 /* between two points that are kept */

static const kl_log_sample_t *at(const kl_log_samples_t *points,
				 uint32_t index);

int kl_position_compare(kl_position_t a, kl_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

void kl_log_samples_add(kl_log_samples_t *points, kl_position_t position,
			uint64_t asked_us)
{
	kl_log_sample_t *point;

	if (points->count &&
	    asked_us < kl_log_samples_newest_us(points) + SPACING_US)
		return;
	if (points->count == KL_LOG_SAMPLES_MAX) {
		points->oldest = (points->oldest + 1) % KL_LOG_SAMPLES_MAX;
		points->count--;
	}
	point = &points->ring[(points->oldest + points->count) %
			      KL_LOG_SAMPLES_MAX];
	point->position = position;
	point->asked_us = asked_us;
	points->count++;
}

void kl_log_samples_clear(kl_log_samples_t *points)
{
	memset(points, 0, sizeof(*points));
}

bool kl_log_samples_find(const kl_log_samples_t *points, uint64_t time_us,
			 kl_position_t *position)
{
	for (uint32_t i = 0; i < points->count; i++) {
		const kl_log_sample_t *point = at(points, i);

		if (point->asked_us < time_us)
			continue;
		*position = point->position;
		return true;
	}
	return false;
}

uint64_t kl_log_samples_newest_us(const kl_log_samples_t *points)
{
	return points->count ? at(points, points->count - 1)->asked_us : 0;
}

static const kl_log_sample_t *at(const kl_log_samples_t *points, uint32_t index)
{
	return &points->ring[(points->oldest + index) % KL_LOG_SAMPLES_MAX];
}
