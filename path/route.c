#include <string.h>

#include "control/group_record.h"
#include "control/recorded_primary.h"
#include "path/path.h"

static void route_write(const kl_view_t *view,
			const kl_path_settings_t *settings,
			const kl_route_request_t *request,
			const kl_service_t *service, const kl_group_t *group,
			kl_route_choice_t *choice);
static void primary_has_left(const kl_service_t *service,
			     kl_route_choice_t *choice);
static void route_read(const kl_view_t *view,
		       const kl_path_settings_t *settings,
		       const kl_route_request_t *request,
		       const kl_service_t *service, const kl_group_t *group,
		       kl_route_choice_t *choice);
static bool replica_suits(const kl_view_t *view,
			  const kl_route_request_t *request,
			  const kl_group_t *group,
			  const kl_observation_t *observed);
static void wait_for_upstream(kl_route_choice_t *choice, const char *reason);

void kl_route_choose(const kl_view_t *view, const kl_path_settings_t *settings,
		     const kl_route_request_t *request,
		     kl_route_choice_t *choice)
{
	const kl_service_t *service;
	const kl_group_t *group;

	memset(choice, 0, sizeof(*choice));
	service = view->config ? kl_index_get(view->config->service_index,
					      request->service)
			       : NULL;
	if (!service) {
		choice->verdict = KL_VERDICT_REFUSE;
		choice->error = -KL_E_NOT_FOUND;
		choice->reason = "no_service";
		return;
	}
	group = view->terms ? kl_index_get(view->terms->index, request->service)
			    : NULL;
	if (!group) {
		wait_for_upstream(choice, "no_group");
		return;
	}
	choice->term = group->term;
	if (request->read_only)
		route_read(view, settings, request, service, group, choice);
	else
		route_write(view, settings, request, service, group, choice);
}

kl_cover_t kl_token_covered(const kl_token_t *token, const kl_group_t *group,
			    uint64_t term, uint64_t position)
{
	bool history_has_term = false;

	if (token->state == KL_TOKEN_NEW)
		return KL_COVER_YES;
	if (token->term > term)
		return KL_COVER_NOT_YET;
	/*
	 * The write is lost if a later term began at a position before its end.
	 */
	for (uint32_t i = 0; i < group->history_count; i++) {
		const kl_term_start_t *start = &group->history[i];

		history_has_term |= start->term <= token->term;
		if (start->term > token->term && start->term <= term &&
		    start->position < token->position)
			return KL_COVER_LOST;
	}
	/* The history no longer shows where the token's term ended. */
	if (!history_has_term && token->term < term)
		return KL_COVER_LOST;
	return position >= token->position ? KL_COVER_YES : KL_COVER_NOT_YET;
}

static void route_write(const kl_view_t *view,
			const kl_path_settings_t *settings,
			const kl_route_request_t *request,
			const kl_service_t *service, const kl_group_t *group,
			kl_route_choice_t *choice)
{
	const kl_observation_t *observed;

	if (!kl_primary_recorded(view->config, group)) {
		wait_for_upstream(choice, "changing_primary");
		return;
	}
	choice->upstream = kl_service_find_upstream(service, group->primary);
	if (!choice->upstream) {
		wait_for_upstream(choice, "no_primary");
		return;
	}
	if (kl_upstream_use(choice->upstream->leaving,
			    choice->upstream->leaving_after_us, view->now_us,
			    settings->leave_us) == KL_USE_NONE) {
		primary_has_left(service, choice);
		return;
	}
	observed =
		kl_health_find(view->health, request->service, group->primary);
	choice->verdict = KL_VERDICT_SEND;
	choice->reason = request->read_only ? "primary_read" : "write";
	choice->position = observed ? observed->position : 0;
}

static void route_read(const kl_view_t *view,
		       const kl_path_settings_t *settings,
		       const kl_route_request_t *request,
		       const kl_service_t *service, const kl_group_t *group,
		       kl_route_choice_t *choice)
{
	const kl_upstream_t *upstream;
	uint64_t read_term = kl_group_replica_term(group);
	uint32_t lowest_cost = UINT32_MAX;
	bool token_unknown = request->token.state == KL_TOKEN_UNKNOWN;
	bool worth_waiting = false;

	if (!token_unknown &&
	    kl_token_covered(&request->token, group, read_term, UINT64_MAX) ==
		    KL_COVER_LOST) {
		choice->verdict = KL_VERDICT_REFUSE;
		choice->error = -KL_E_WRITE_LOST;
		choice->reason = "write_lost";
		return;
	}
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		const kl_observation_t *observed = kl_health_find(
			view->health, request->service, upstream->name.name);
		uint32_t cost;

		if (kl_upstream_use(upstream->leaving,
				    upstream->leaving_after_us, view->now_us,
				    settings->leave_us) != KL_USE_ANY ||
		    !observed || !observed->sampled_us ||
		    observed->failing_since_us || observed->term != read_term ||
		    !strcmp(upstream->name.name, group->primary) ||
		    (request->avoid_upstream &&
		     !strcmp(request->avoid_upstream, upstream->name.name)))
			continue;
		/* A replica that lags more is unlikely to catch up in time. */
		worth_waiting |=
			observed->sampled_us - observed->caught_up_until_us <
			2 * settings->read_wait_us;
		if (!replica_suits(view, request, group, observed))
			continue;
		cost = 2 * request->load(request->context,
					 upstream->name.name) +
		       !!strcmp(upstream->domain, settings->domain);
		if (cost >= lowest_cost)
			continue;
		lowest_cost = cost;
		choice->verdict = KL_VERDICT_SEND;
		choice->upstream = upstream;
		choice->on_replica = true;
		choice->reason =
			token_unknown ? "within_age" : "covers_session";
		choice->term = observed->term;
		choice->position = observed->position;
		choice->age_us = view->now_us - observed->caught_up_until_us;
	}
	if (choice->upstream)
		return;
	/* The session's last write is in a later term than this VM knows. */
	if (!token_unknown && request->token.state == KL_TOKEN_KNOWN &&
	    request->token.term > group->term) {
		wait_for_upstream(choice, "term_behind");
		return;
	}
	if (worth_waiting && (!token_unknown || request->max_age_us) &&
	    request->waited_us < settings->read_wait_us) {
		wait_for_upstream(choice, "replicas_lag");
		return;
	}
	route_write(view, settings, request, service, group, choice);
}

/* Waits for another primary, or refuses if no database could become one. */
static void primary_has_left(const kl_service_t *service,
			     kl_route_choice_t *choice)
{
	const kl_upstream_t *upstream;

	choice->upstream = NULL;
	wait_for_upstream(choice, "primary_has_left");
	CK_STAILQ_FOREACH(upstream, &service->upstreams, link) {
		if (!upstream->leaving)
			return;
	}
	choice->verdict = KL_VERDICT_REFUSE;
}

/*
 * Whether a replica's data is at most as old as the client accepts and holds
 * the session's writes, if they are known.
 */
static bool replica_suits(const kl_view_t *view,
			  const kl_route_request_t *request,
			  const kl_group_t *group,
			  const kl_observation_t *observed)
{
	uint64_t age = view->now_us - observed->caught_up_until_us;

	if (request->max_age_us &&
	    (!observed->caught_up_until_us || age > request->max_age_us))
		return false;
	if (request->token.state == KL_TOKEN_UNKNOWN)
		return request->max_age_us > 0;
	return kl_token_covered(&request->token, group, observed->term,
				observed->position) == KL_COVER_YES;
}

static void wait_for_upstream(kl_route_choice_t *choice, const char *reason)
{
	choice->verdict = KL_VERDICT_WAIT;
	choice->error = -KL_E_NO_UPSTREAM;
	choice->reason = reason;
}
