/* Log positions of primaries that this VM shares with others. */
#include <string.h>

#include "path/engine_internal.h"

/* Least time between two reports of a cluster's position. */
#define REPORT_INTERVAL_US (100 * KL_MS)
/*
 * The same for the first positions after a start: reads wait for them, and each
 * interval doubles the number of VMs that have one.
 */
#define FIRST_REPORT_INTERVAL_US (20 * KL_MS)
/* Reads need a newer sample when the newest one is older than this. */
#define SAMPLE_OLD_US (400 * KL_MS)

void kl_cluster_report_position(kl_cluster_t *cluster, kl_position_t position,
				uint64_t sampled_us)
{
	kl_engine_t *engine = cluster->engine;
	kl_primary_position_t report = { .group_change = cluster->group_change,
					 .term = position.term,
					 .number = position.number,
					 .sampled_us = sampled_us };

	if (engine->now_us - cluster->last_position_report_us <
	    REPORT_INTERVAL_US)
		return;
	cluster->last_position_report_us = engine->now_us;
	memcpy(report.name.name, cluster->name, KL_NAME_MAX);
	engine->ops->report_position(engine->context, &report);
}

void kl_cluster_update_samples(kl_cluster_t *cluster)
{
	kl_engine_t *engine = cluster->engine;
	const kl_positions_t *positions = engine->view.positions;
	const kl_group_t *group = kl_engine_find_group(engine, cluster->name);
	const kl_primary_position_t *shared =
		positions ? kl_index_get(positions->index, cluster->name)
			  : NULL;
	kl_primary_position_t need = { .term = 0 };
	uint64_t interval_us = REPORT_INTERVAL_US;

	/* A position of another primary says nothing about this one. */
	if (shared && shared->term && group &&
	    group->state == KL_GROUP_STABLE &&
	    group->change == cluster->group_change &&
	    group->change == shared->group_change) {
		kl_position_t position = { shared->term, shared->number };

		kl_log_samples_add(&cluster->position_samples, position,
				   shared->sampled_us);
	}
	if (engine->settings.position_wait_us &&
	    !cluster->position_samples.count)
		interval_us = FIRST_REPORT_INTERVAL_US;
	if (engine->now_us - kl_log_samples_newest_us(
				     &cluster->position_samples) <
		    SAMPLE_OLD_US ||
	    engine->now_us - cluster->last_position_need_us < interval_us)
		return;
	cluster->last_position_need_us = engine->now_us;
	memcpy(need.name.name, cluster->name, KL_NAME_MAX);
	engine->ops->report_position(engine->context, &need);
}
