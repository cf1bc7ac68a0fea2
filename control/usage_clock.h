/**
 * @file
 * True time, by which usage windows begin and end.
 *
 * It is the wall clock at the start of the process plus the monotonic clock
 * since then, so that later steps of the wall clock have no effect.  A VM may
 * have started with a wrong clock.  So each VM measures how far its clock is
 * from the reporter's, and the reporter takes the median of all as true.
 */
#ifndef KL_USAGE_CLOCK_H
#define KL_USAGE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/** Most VMs whose clocks the median is taken of. */
#define KL_USAGE_CLOCKS_MAX 512

/** This VM's clock.  All times are microseconds. */
typedef struct kl_usage_clock {
	int64_t wall_offset_us; /**< this VM's wall clock minus node's clock */
	/** This VM's wall clock minus the reporter's, or KL_CLOCK_UNKNOWN. */
	int64_t reporter_offset_us;
	/** True time minus this VM's wall clock, or KL_CLOCK_UNKNOWN. */
	int64_t correction_us;
} kl_usage_clock_t;

/** @return this VM's wall clock, without correction */
int64_t kl_usage_clock_wall(const kl_usage_clock_t *clock, uint64_t node_us);

/** @return true time; the wall clock as long as no correction is known */
int64_t kl_usage_clock_true(const kl_usage_clock_t *clock, uint64_t node_us);

/**
 * Take over the correction from the reporter's answer.
 *
 * @param sent_us node's clock at sending of the counts that are answered
 * @param now_us node's clock at receipt
 * @param reporter_us the reporter's wall clock
 * @param reporter_correction_us see kl_peer_usage_t
 */
void kl_usage_clock_adopt(kl_usage_clock_t *clock, uint64_t sent_us,
			  uint64_t now_us, int64_t reporter_us,
			  int64_t reporter_correction_us);

/**
 * As reporter: take the median of the VMs' clocks as true.
 *
 * @param offsets wall clocks minus this VM's; its own, 0, is among them
 * @param count number of offsets, at least 1; the function sorts them
 */
void kl_usage_clock_take_median(kl_usage_clock_t *clock, int64_t *offsets,
				uint32_t count);

#endif
