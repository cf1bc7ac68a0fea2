#include <string.h>

#include "daemon/tuning.h"
#include "platform/duties.h"

/* Interval of queries for a first log position, if reads wait for it. */
#define FIRST_POSITION_INTERVAL_US 20000

void kl_tuning_fill(kl_tuning_t *tuning, const kl_settings_t *settings)
{
	kl_tuning_default(tuning);
	tuning->lease_duration_us = settings->lease_ms * KL_MS;
	tuning->confirm_interval_us = settings->confirm_ms * KL_MS;
	tuning->probe_interval_us = settings->probe_ms * KL_MS;
	tuning->suspect_after_us = settings->suspect_ms * KL_MS;
	if (settings->position_wait_ms)
		tuning->first_position_interval_us = FIRST_POSITION_INTERVAL_US;
	tuning->slot_lease_us = settings->share_hold_s * KL_SEC;
	tuning->slot_count = settings->slots;
	tuning->min_downtime_us = settings->down_ms * KL_MS;
	tuning->duties = kl_duties_parse(settings->duties);
	tuning->usage_window_us = settings->usage_window_s * KL_SEC;
	tuning->usage_delay_us = settings->usage_delay_s * KL_SEC;
	if (strcmp(settings->platform_format, "native")) {
		tuning->feed_count = KL_FEED_COUNT;
		tuning->watchers_per_domain = 1;
		tuning->platform_promotes = true;
	}
}
