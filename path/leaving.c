#include "path/path.h"

kl_upstream_use_t kl_upstream_use(bool leaving, uint64_t leaving_after_us,
				  uint64_t now_us, uint64_t leave_us)
{
	if (!leaving)
		return KL_USE_ANY;
	if (!leaving_after_us || now_us > leaving_after_us + leave_us)
		return KL_USE_NONE;
	return KL_USE_STARTED;
}
