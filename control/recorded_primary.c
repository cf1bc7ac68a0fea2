#include "control/recorded_primary.h"

bool kl_primary_denied(const kl_config_t *config, const kl_group_t *group)
{
	const kl_service_t *service =
		config ? kl_index_get(config->service_index, group->name.name)
		       : NULL;
	const kl_upstream_t *upstream =
		service ? kl_service_find_upstream(service, group->primary)
			: NULL;

	/* A record that the store lacks is newer than the store's version. */
	return upstream && !group->store_is_behind &&
	       !upstream->registered_primary &&
	       upstream->version > group->version;
}

bool kl_primary_recorded(const kl_config_t *config, const kl_group_t *group)
{
	return group && group->state == KL_GROUP_STABLE &&
	       !group->may_be_outdated && !kl_primary_denied(config, group);
}
