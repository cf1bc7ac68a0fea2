#include <string.h>

#include "path/position.h"

#define SPACING_US 40000 /* between two points that are kept */

static const kl_point_t *at(const kl_points_t *points, uint32_t index);

int kl_position_compare(kl_position_t a, kl_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

void kl_points_add(kl_points_t *points, kl_position_t position,
		   uint64_t asked_us)
{
	kl_point_t *point;

	if (points->count && asked_us < kl_points_newest(points) + SPACING_US)
		return;
	if (points->count == KL_POINTS) {
		points->first = (points->first + 1) % KL_POINTS;
		points->count--;
	}
	point = &points->table[(points->first + points->count) % KL_POINTS];
	point->position = position;
	point->asked_us = asked_us;
	points->count++;
}

void kl_points_clear(kl_points_t *points)
{
	memset(points, 0, sizeof(*points));
}

bool kl_points_since(const kl_points_t *points, uint64_t time_us,
		     kl_position_t *position)
{
	for (uint32_t i = 0; i < points->count; i++) {
		const kl_point_t *point = at(points, i);

		if (point->asked_us < time_us)
			continue;
		*position = point->position;
		return true;
	}
	return false;
}

uint64_t kl_points_newest(const kl_points_t *points)
{
	return points->count ? at(points, points->count - 1)->asked_us : 0;
}

static const kl_point_t *at(const kl_points_t *points, uint32_t index)
{
	return &points->table[(points->first + index) % KL_POINTS];
}
