#include "daemon/counter.h"
#include "daemon/spill_metrics.h"

void kl_spill_publish(const kl_engine_t *engine,
		      const kl_engine_counts_t *published)
{
	const kl_engine_counts_t *now = kl_engine_counts(engine);

	kl_counter_add(KL_COUNTER_SPILLED_LOAD,
		       now->reads_spilled_load - published->reads_spilled_load);
	kl_counter_add(KL_COUNTER_SPILLED_POSITION,
		       now->reads_spilled_position -
			       published->reads_spilled_position);
	kl_counter_add(KL_COUNTER_SPILLED_FAILURE,
		       now->reads_spilled_failure -
			       published->reads_spilled_failure);
	kl_gauge_set(KL_GAUGE_SPILL_SHARE, kl_engine_spill_share(engine));
}
