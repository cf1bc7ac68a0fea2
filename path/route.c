#include <string.h>

#include "control/group_record.h"
#include "path/path.h"

static void route_write(const kl_view_t *scene, const kl_route_request_t *ask,
			const kl_service_t *service, const kl_group_t *group,
			kl_route_choice_t *route);
static void route_read(const kl_view_t *scene,
		       const kl_path_settings_t *settings,
		       const kl_route_request_t *ask,
		       const kl_service_t *service, const kl_group_t *group,
		       kl_route_choice_t *route);
static bool replica_fits(const kl_view_t *scene, const kl_route_request_t *ask,
			 const kl_group_t *group, const kl_observation_t *seen);
static void wait_or_refuse(kl_route_choice_t *route, const char *reason);

void kl_route_choose(const kl_view_t *scene, const kl_path_settings_t *settings,
		     const kl_route_request_t *ask, kl_route_choice_t *route)
{
	const kl_service_t *service;
	const kl_group_t *group;

	memset(route, 0, sizeof(*route));
	service = scene->config ? kl_index_get(scene->config->service_index,
					       ask->service)
				: NULL;
	if (!service) {
		route->verdict = KL_VERDICT_REFUSE;
		route->error = -KL_E_NOT_FOUND;
		route->reason = "no_service";
		return;
	}
	group = scene->terms ? kl_index_get(scene->terms->index, ask->service)
			     : NULL;
	if (!group) {
		wait_or_refuse(route, "no_group");
		return;
	}
	route->term = group->term;
	if (ask->read)
		route_read(scene, settings, ask, service, group, route);
	else
		route_write(scene, ask, service, group, route);
}

kl_cover_t kl_token_covered(const kl_token_t *token, const kl_group_t *group,
			    uint64_t term, uint64_t position)
{
	bool known = false;

	if (token->state == KL_TOKEN_NEW)
		return KL_COVER_YES;
	if (token->term > term)
		return KL_COVER_NOT_YET;
	/* Every later term must have begun at or after the written position. */
	for (uint32_t i = 0; i < group->history_count; i++) {
		const kl_term_start_t *fork = &group->history[i];

		known |= fork->term <= token->term;
		if (fork->term > token->term && fork->term <= term &&
		    fork->position < token->position)
			return KL_COVER_LOST;
	}
	/* So old that its term's end is forgotten: nothing can be promised. */
	if (!known && token->term < term)
		return KL_COVER_LOST;
	return position >= token->position ? KL_COVER_YES : KL_COVER_NOT_YET;
}

static void route_write(const kl_view_t *scene, const kl_route_request_t *ask,
			const kl_service_t *service, const kl_group_t *group,
			kl_route_choice_t *route)
{
	const kl_observation_t *seen;
	(void)ask;

	if (group->state != KL_GROUP_STABLE) {
		wait_or_refuse(route, "changing_primary");
		return;
	}
	route->upstream = kl_service_find_upstream(service, group->primary);
	if (!route->upstream) {
		wait_or_refuse(route, "no_primary");
		return;
	}
	seen = kl_health_find(scene->health, ask->service, group->primary);
	route->verdict = KL_VERDICT_SEND;
	route->reason = ask->read ? "primary_read" : "write";
	route->position = seen ? seen->position : 0;
}

static void route_read(const kl_view_t *scene,
		       const kl_path_settings_t *settings,
		       const kl_route_request_t *ask,
		       const kl_service_t *service, const kl_group_t *group,
		       kl_route_choice_t *route)
{
	const kl_upstream_t *upstream;
	uint64_t read_term = kl_group_replica_term(group);
	uint32_t best = UINT32_MAX;
	bool unknown = ask->token.state == KL_TOKEN_UNKNOWN;
	bool worth_waiting = false;

	if (!unknown && kl_token_covered(&ask->token, group, read_term,
					 UINT64_MAX) == KL_COVER_LOST) {
		route->verdict = KL_VERDICT_REFUSE;
		route->error = -KL_E_WRITE_LOST;
		route->reason = "write_lost";
		return;
	}
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		const kl_observation_t *seen = kl_health_find(
			scene->health, ask->service, upstream->name.name);
		uint32_t load;

		if (upstream->leaving || !seen || !seen->sampled_us ||
		    seen->failing_since_us || seen->term != read_term ||
		    !strcmp(upstream->name.name, group->primary) ||
		    (ask->avoid_upstream &&
		     !strcmp(ask->avoid_upstream, upstream->name.name)))
			continue;
		/* A replica that lags far more than that won't be in time. */
		worth_waiting |= seen->sampled_us - seen->caught_up_us <
				 2 * settings->read_wait_us;
		if (!replica_fits(scene, ask, group, seen))
			continue;
		load = 2 * ask->load(ask->context, upstream->name.name) +
		       !!strcmp(upstream->domain, settings->domain);
		if (load >= best)
			continue;
		best = load;
		route->verdict = KL_VERDICT_SEND;
		route->upstream = upstream;
		route->replica = true;
		route->reason = unknown ? "within_age" : "covers_session";
		route->term = seen->term;
		route->position = seen->position;
		route->age_us = scene->now_us - seen->caught_up_us;
	}
	if (route->upstream)
		return;
	/* A session that saw a later term than this VM knows of. */
	if (!unknown && ask->token.state == KL_TOKEN_KNOWN &&
	    ask->token.term > group->term) {
		wait_or_refuse(route, "term_behind");
		return;
	}
	if (worth_waiting && (!unknown || ask->max_age_us) &&
	    ask->waited_us < settings->read_wait_us) {
		wait_or_refuse(route, "replicas_lag");
		return;
	}
	route_write(scene, ask, service, group, route);
}

/* The session's writes must be there; a stated age must be kept as well. */
static bool replica_fits(const kl_view_t *scene, const kl_route_request_t *ask,
			 const kl_group_t *group, const kl_observation_t *seen)
{
	uint64_t age = scene->now_us - seen->caught_up_us;

	if (ask->max_age_us && (!seen->caught_up_us || age > ask->max_age_us))
		return false;
	if (ask->token.state == KL_TOKEN_UNKNOWN)
		return ask->max_age_us > 0;
	return kl_token_covered(&ask->token, group, seen->term,
				seen->position) == KL_COVER_YES;
}

static void wait_or_refuse(kl_route_choice_t *route, const char *reason)
{
	route->verdict = KL_VERDICT_WAIT;
	route->error = -KL_E_NO_UPSTREAM;
	route->reason = reason;
}
