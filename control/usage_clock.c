#include <stdlib.h>

#include "control/peer_message.h"
#include "control/usage_clock.h"

/*
 * Answers that took longer are not used: half of the time is the error of the
 * measured offset.
 */
#define ROUND_TRIP_MAX_US 100000

static int compare_offsets(const void *a, const void *b);

int64_t kl_usage_clock_wall(const kl_usage_clock_t *clock, uint64_t node_us)
{
	return (int64_t)node_us + clock->wall_offset_us;
}

int64_t kl_usage_clock_true(const kl_usage_clock_t *clock, uint64_t node_us)
{
	int64_t wall_us = kl_usage_clock_wall(clock, node_us);

	if (clock->correction_us == KL_CLOCK_UNKNOWN)
		return wall_us;
	return wall_us + clock->correction_us;
}

void kl_usage_clock_adopt(kl_usage_clock_t *clock, uint64_t sent_us,
			  uint64_t now_us, int64_t reporter_us,
			  int64_t reporter_correction_us)
{
	uint64_t round_trip_us = now_us - sent_us;

	if (now_us < sent_us || round_trip_us > ROUND_TRIP_MAX_US)
		return;
	clock->reporter_offset_us =
		kl_usage_clock_wall(clock, sent_us + round_trip_us / 2) -
		reporter_us;
	if (reporter_correction_us != KL_CLOCK_UNKNOWN)
		clock->correction_us =
			reporter_correction_us - clock->reporter_offset_us;
}

void kl_usage_clock_take_median(kl_usage_clock_t *clock, int64_t *offsets,
				uint32_t count)
{
	qsort(offsets, count, sizeof(*offsets), compare_offsets);
	clock->correction_us = offsets[(count - 1) / 2];
}

static int compare_offsets(const void *a, const void *b)
{
	int64_t first = *(const int64_t *)a;
	int64_t second = *(const int64_t *)b;

	return (first > second) - (first < second);
}
