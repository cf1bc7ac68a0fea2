/*
 * Versions of the configuration, and the check of what VMs show of them.
 *
 * A VM in touch handles a request that was sent APPLY_US after a version was
 * acknowledged as this version or a newer one allows.  A process that showed
 * the effect of a version never goes back to an older one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/config_soak/config_soak.h"

#define APPLY_US 3000000ull	    /* configApplyMs */
#define ROLLBACK_SLACK_US 250000ull /* rollbackSlackMs */
#define STABILITY_US 4000000ull	    /* stabilityWindowMs */
#define CHANGES_MAX 4		    /* routes and keys of one version */
#define RECENT 5		    /* changes that probes prefer */
#define RECENT_PERCENT 75	    /* how often they do */
#define BULK_ODDS 12		    /* one version in this many changes them */
#define BULK_ROUTES_END 600	    /* routes that nobody uses */
#define NO_WORKSPACE (-1)

/* A route, as a version of the configuration has it. */
typedef struct route {
	bool present;
	bool open; /* needs no key */
	bool idle; /* leads to a service without databases */
} route_t;

typedef struct version {
	route_t routes[CONFIG_ROUTES];
	int key_owners[CONFIG_KEYS]; /* a workspace or NO_WORKSPACE */
	int bulk_routes;
	uint64_t sent_us;
	uint64_t acknowledged_us;
} version_t;

typedef struct vm_state {
	int disruptions;	    /* going on now */
	uint64_t last_disrupted_us; /* when the last one began or ended */
	int incarnation;
	guint seen_version; /* index; the process showed its effect */
	uint64_t seen_at_us;
} vm_state_t;

struct history {
	GRand *random;
	GArray *versions; /* version_t */
	int recent_routes[RECENT], recent_keys[RECENT];
	guint recent_route_count, recent_key_count;
	vm_state_t vms[CONFIG_VMS];
	guint checked, decided, violations;
};

static void change_route(history_t *history, version_t *version);
static void change_key(history_t *history, version_t *version);
static char *version_body(const version_t *version, guint number);
static bool allows(const version_t *version, const config_request_t *request);
static guint oldest_allowed_version(const history_t *history,
				    const config_request_t *request);
static void report_violation(const history_t *history,
			     const config_request_t *request, guint oldest,
			     guint newest);

history_t *history_new(GRand *random)
{
	history_t *history = g_new0(history_t, 1);
	version_t first = { .bulk_routes = 0 };

	history->random = random;
	history->versions = g_array_new(FALSE, TRUE, sizeof(version_t));
	for (int i = 0; i < CONFIG_ROUTES; i++)
		first.routes[i].present = i % 2 == 0;
	for (int i = 0; i < CONFIG_KEYS; i++)
		first.key_owners[i] =
			i % 2 ? NO_WORKSPACE : i / 2 % CONFIG_WORKSPACES;
	first.sent_us = first.acknowledged_us = soak_now_us();
	g_array_append_val(history->versions, first);
	return history;
}

void history_free(history_t *history)
{
	g_array_unref(history->versions);
	g_free(history);
}

char *history_body(const history_t *history)
{
	guint newest = history->versions->len - 1;

	return version_body(
		&g_array_index(history->versions, version_t, newest), newest);
}

void history_change(history_t *history)
{
	version_t next = g_array_index(history->versions, version_t,
				       history->versions->len - 1);
	int changes = g_rand_int_range(history->random, 1, CHANGES_MAX + 1);
	char *body;

	while (changes--) {
		if (g_rand_boolean(history->random))
			change_route(history, &next);
		else
			change_key(history, &next);
	}
	if (!g_rand_int_range(history->random, 0, BULK_ODDS))
		next.bulk_routes =
			g_rand_int_range(history->random, 0, BULK_ROUTES_END);
	body = version_body(&next, history->versions->len);
	next.sent_us = soak_now_us();
	/* The store does nothing for a request that it answers with 503. */
	if (stand_put_configuration(body)) {
		next.acknowledged_us = soak_now_us();
		g_array_append_val(history->versions, next);
	}
	free(body);
}

/* Adds or removes a route, or changes its service or whether it is open. */
static void change_route(history_t *history, version_t *version)
{
	int index = g_rand_int_range(history->random, 0, CONFIG_ROUTES);
	route_t *route = &version->routes[index];
	int choice = g_rand_int_range(history->random, 0, 4);

	history->recent_routes[history->recent_route_count++ % RECENT] = index;
	if (!route->present || choice < 2)
		route->present = !route->present;
	else if (choice == 2)
		route->idle = !route->idle;
	else
		route->open = !route->open;
}

/* Adds or removes a key, or gives it to another workspace. */
static void change_key(history_t *history, version_t *version)
{
	int index = g_rand_int_range(history->random, 0, CONFIG_KEYS);
	int *owner = &version->key_owners[index];

	history->recent_keys[history->recent_key_count++ % RECENT] = index;
	if (*owner != NO_WORKSPACE && g_rand_int_range(history->random, 0, 4))
		*owner = NO_WORKSPACE;
	else
		*owner =
			g_rand_int_range(history->random, 0, CONFIG_WORKSPACES);
}

static char *version_body(const version_t *version, guint number)
{
	GString *body =
		g_string_new("{\"meta\":{\"name\":\"main\"},\"spec\":{");
	const char *separator = "";

	g_string_append_printf(body, "\"configVersion\":%u,\"routes\":[",
			       number);
	for (int i = 0; i < CONFIG_ROUTES + version->bulk_routes; i++) {
		const route_t *route = &version->routes[i];
		bool bulk = i >= CONFIG_ROUTES;

		if (!bulk && !route->present)
			continue;
		g_string_append_printf(
			body,
			"%s{\"name\":\"n%d\",\"database\":\"%s%d\","
			"\"routeType\":\"bounded_staleness\","
			"\"maxStalenessMs\":60000,\"timeoutMs\":1000,"
			"\"targetLatencyMs\":400,\"priority\":1,"
			"\"service\":\"%s\",\"public\":%s}",
			separator, i, bulk ? "bulk" : "r", i,
			!bulk && route->idle ? "idle" : "stand",
			!bulk && route->open ? "true" : "false");
		separator = ",";
	}
	g_string_append(body, "],\"services\":[{\"name\":\"stand\","
			      "\"maxConns\":30},{\"name\":\"idle\","
			      "\"maxConns\":30}],\"limits\":"
			      "{\"txIdleMs\":3000},\"tenants\":[");
	for (int i = 0; i < CONFIG_WORKSPACES; i++) {
		g_string_append_printf(body,
				       "%s{\"name\":\"w%d\",\"ratePerS\":5000,"
				       "\"burst\":5000,\"apiKeys\":[",
				       i ? "," : "", i);
		separator = "";
		for (int k = 0; k < CONFIG_KEYS; k++) {
			if (version->key_owners[k] != i)
				continue;
			g_string_append_printf(body, "%s\"key%d\"", separator,
					       k);
			separator = ",";
		}
		g_string_append(body, "]}");
	}
	g_string_append(body, "]}}");
	return g_string_free(body, FALSE);
}

void history_choose(const history_t *history, GRand *random, int *route,
		    int *key)
{
	*route = g_rand_int_range(random, 0, CONFIG_ROUTES);
	*key = g_rand_int_range(random, 0, CONFIG_KEYS);
	if (g_rand_int_range(random, 0, 100) < RECENT_PERCENT)
		*route = history->recent_routes[g_rand_int_range(random, 0,
								 RECENT)];
	if (g_rand_int_range(random, 0, 100) < RECENT_PERCENT)
		*key = history->recent_keys[g_rand_int_range(random, 0,
							     RECENT)];
}

void history_disrupted(history_t *history, int vm, bool begins)
{
	for (int i = 0; i < CONFIG_VMS; i++) {
		if (vm >= 0 && vm != i)
			continue;
		history->vms[i].disruptions += begins ? 1 : -1;
		history->vms[i].last_disrupted_us = soak_now_us();
	}
}

void history_restarted(history_t *history, int vm)
{
	history->vms[vm].incarnation++;
	history->vms[vm].seen_version = 0;
	history->vms[vm].last_disrupted_us = soak_now_us();
}

int history_incarnation(const history_t *history, int vm)
{
	return history->vms[vm].incarnation;
}

void history_check(history_t *history, const config_request_t *request)
{
	vm_state_t *vm = &history->vms[request->vm];
	guint oldest = oldest_allowed_version(history, request);
	guint newest = history->versions->len - 1;

	if (request->effect == EFFECT_NONE)
		return;
	while (newest &&
	       g_array_index(history->versions, version_t, newest).sent_us >
		       request->answered_us)
		newest--;
	history->checked++;
	history->decided += oldest > 0;
	for (guint i = oldest; i <= newest; i++) {
		if (!allows(&g_array_index(history->versions, version_t, i),
			    request))
			continue;
		if (i > vm->seen_version) {
			vm->seen_version = i;
			vm->seen_at_us = request->answered_us;
		}
		return;
	}
	history->violations++;
	report_violation(history, request, oldest, newest);
}

/* Index of the oldest version by which the request may be handled. */
static guint oldest_allowed_version(const history_t *history,
				    const config_request_t *request)
{
	const vm_state_t *vm = &history->vms[request->vm];
	bool in_touch = !vm->disruptions &&
			vm->last_disrupted_us + STABILITY_US < request->sent_us;
	guint oldest = 0;

	if (vm->seen_at_us + ROLLBACK_SLACK_US < request->sent_us)
		oldest = vm->seen_version;
	for (guint i = history->versions->len - 1; in_touch && i > oldest; i--)
		if (g_array_index(history->versions, version_t, i)
				    .acknowledged_us +
			    APPLY_US <
		    request->sent_us)
			return i;
	return oldest;
}

/* Whether a request may have this effect on a VM that has the version. */
static bool allows(const version_t *version, const config_request_t *request)
{
	const route_t *route = &version->routes[request->route];
	bool key_known = version->key_owners[request->key] != NO_WORKSPACE;
	bool accepted = route->present && (route->open || key_known);

	switch (request->effect) {
	case EFFECT_UNKNOWN_DATABASE:
		return !route->present;
	case EFFECT_REFUSED_KEY:
		return route->present && !accepted;
	case EFFECT_ACCEPTED:
		return accepted;
	case EFFECT_SERVED:
		return accepted && !route->idle;
	default:
		return true;
	}
}

static void report_violation(const history_t *history,
			     const config_request_t *request, guint oldest,
			     guint newest)
{
	static const char *const effects[] = { "refused as unknown database",
					       "refused for its key",
					       "accepted", "served" };
	guint last_allowing = oldest;
	uint64_t acknowledged_us;

	while (last_allowing &&
	       !allows(&g_array_index(history->versions, version_t,
				      last_allowing),
		       request))
		last_allowing--;
	acknowledged_us =
		g_array_index(history->versions, version_t, last_allowing + 1)
			.acknowledged_us;
	soak_violation(
		"vm%d, route r%d, key%d: %s %s, as only version %u or "
		"older allows; version %u was acknowledged %.2f s "
		"before it was sent (%u to %u were allowed)",
		request->vm, request->route, request->key,
		request->is_login ? "login" : "read", effects[request->effect],
		last_allowing, last_allowing + 1,
		((double)request->sent_us - (double)acknowledged_us) / 1e6,
		oldest, newest);
}

int history_report(const history_t *history)
{
	printf("%u versions, %u answers, %u of them after a version that was "
	       "due\n",
	       history->versions->len, history->checked, history->decided);
	return (int)history->violations;
}
