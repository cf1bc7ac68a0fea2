/*
 * Driver of the case "backlog": large configurations come in quick succession
 * while the machines' waiting watches are silent.
 *
 * backlog STORE RECORD TROUBLE FRONT...
 *
 * Exits with 1 if a machine that was in touch handled a request by an older
 * configuration too late, with 0 if none did, and with 2 if the case could not
 * run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "config.h"

#define MACHINES_MAX 8
#define MORE_ROUTES                                                           \
	3800		  /* a configuration of 0.8 MB; the store takes 1 MiB \
			   */
#define CHANGES 11	  /* of the 25 that a config_storm may have */
#define GAP_MS 60	  /* config_storm with gap_s 0.06 */
#define VALUE_MAX 1048576 /* maxValueBytes */
#define APPLY_MS 3000	  /* configApplyMs */
#define IN_TOUCH_MS 4000  /* stabilityWindowMs */
#define WATCHED_MS 14000  /* requests are sent for so long after the change */
#define INTERVAL_MS 250
#define BOTH_KEYS "\"key-one\",\"key-two\""

/* Stores all changes; the last one drops a key. @return its time, or -1 */
static int64_t store_changes(const char *store, char *const *bodies)
{
	int64_t next_ms = now_ms();

	for (int i = 0; i < CHANGES; i++) {
		if (next_ms > now_ms())
			pause_ms(next_ms - now_ms());
		next_ms += GAP_MS;
		if (!config_replace(store, bodies[i]))
			return -1;
	}
	return now_ms();
}

/* @return number of requests that an older configuration decided too late */
static int check(char **fronts, int count, int64_t acked_ms, int64_t silent_ms)
{
	char error[32];
	int broken = 0;

	for (int i = 0; i < count; i++) {
		int64_t sent_ms = now_ms();
		outcome_t outcome =
			ask_once(fronts[i], ROUTE, "key-two", "READ x", error);

		record("machine %d: a request with key-two, sent %lld ms after "
		       "it was dropped: %s %s",
		       i, (long long)(sent_ms - acked_ms),
		       outcome_names[outcome], error);
		if (outcome != OUTCOME_OK || sent_ms < acked_ms + APPLY_MS ||
		    sent_ms < silent_ms + IN_TOUCH_MS)
			continue;
		broken++;
		record("BROKEN machine %d: that request ran", i);
	}
	return broken;
}

int main(int argc, char **argv)
{
	char *bodies[CHANGES], *first;
	int count = argc - 4, broken = 0;
	int64_t silent_ms, acked_ms;

	if (count < 1 || count > MACHINES_MAX)
		return 2;
	record_open(argv[2]);
	first = config_body(1, BOTH_KEYS, MORE_ROUTES);
	for (int i = 0; i < CHANGES; i++) {
		bodies[i] = config_body(
			i + 2, i < CHANGES - 1 ? BOTH_KEYS : "\"key-one\"",
			MORE_ROUTES);
		if (!bodies[i] || strlen(bodies[i]) > VALUE_MAX)
			return 2;
	}
	if (!first || !config_create(argv[1], first) ||
	    !await_service((const char *const *)argv + 4, count, ROUTE,
			   "key-two"))
		return 2;
	record("%d machines serve; a configuration has %zu bytes", count,
	       strlen(first));
	free(first);
	pause_ms(IN_TOUCH_MS);
	silent_ms = now_ms();
	if (strcmp(argv[3], "0") != 0) {
		if (http_call(argv[1], "GET",
			      "/standin/fault?db=store&name=silent&value=1",
			      NULL) != 200)
			return 2;
		record("the connections of the waiting watches go silent");
	}
	acked_ms = store_changes(argv[1], bodies);
	if (acked_ms < 0)
		return 2;
	record("the last of %d changes is acknowledged: key-two is dropped",
	       CHANGES);
	while (now_ms() < acked_ms + WATCHED_MS) {
		broken += check(argv + 4, count, acked_ms, silent_ms);
		pause_ms(INTERVAL_MS);
	}
	for (int i = 0; i < CHANGES; i++)
		free(bodies[i]);
	record("%d requests broke the rule CONFIG", broken);
	return broken ? 1 : 0;
}
