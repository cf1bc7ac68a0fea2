#include "control/node.h"
#include "control/recorded_primary.h"
#include "path/path.h"

bool kl_primary_proven(const kl_view_t *view, const kl_group_t *group,
		       uint64_t lease_us)
{
	return kl_primary_recorded(view->config, group) &&
	       kl_lease_valid(view->confirmation, view->terms, view->now_us,
			      lease_us);
}
