/*
 * Driver of the case "watch-cut": keys are replaced while the store turns the
 * first machine of each zone away, just after waiting watches were cut off.
 *
 * watch-cut STORE RELAY RECORD TROUBLE FRONT...
 *
 * RELAY is the pipe of the relay's commands.  A FRONT that is the first of its
 * zone ends with an asterisk.  Exits with 1 if a machine that was in touch
 * handled a request by an older configuration too late, with 0 if none did,
 * and with 2 if the case could not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "config.h"

#define MACHINES_MAX 32
#define ROUNDS 4
#define BEFORE_CUT_MS 3200   /* from the turning away to the cut */
#define BEFORE_CHANGE_MS 100 /* from the cut to the new configuration */
#define WATCHED_MS 5300	     /* requests are sent for so long after it */
#define INTERVAL_MS 100	     /* between two rounds of requests */
#define BETWEEN_MS 6000	     /* between two rounds of the case */
#define APPLY_MS 3000	     /* configApplyMs */
#define IN_TOUCH_MS 4000     /* stabilityWindowMs */

static char addresses[MACHINES_MAX][ADDRESS_MAX];
static bool first_of_zone[MACHINES_MAX];
static int machines;

/* Turns the first machine of each zone away, or serves them all again. */
static void turn_away(FILE *relay, bool away)
{
	for (int i = 0; i < machines; i++)
		if (first_of_zone[i])
			fprintf(relay, "%s %d\n", away ? "busy" : "pass", i);
	fflush(relay);
	record("the store %s the first machine of each zone",
	       away ? "turns away" : "serves");
}

/*
 * Sends requests with the old and the new key to all machines in touch.
 * @return number of those that an older configuration decided too late
 */
static int check_all(int64_t acked_ms, int version)
{
	char old_key[16], new_key[16], error[32];
	int broken = 0;

	snprintf(old_key, sizeof(old_key), "key-%d", version - 1);
	snprintf(new_key, sizeof(new_key), "key-%d", version);
	for (int i = 0; i < machines; i++) {
		int64_t sent_ms = now_ms();
		outcome_t outcome;

		if (first_of_zone[i])
			continue;
		outcome =
			ask_once(addresses[i], ROUTE, old_key, "READ x", error);
		if (outcome == OUTCOME_OK && sent_ms > acked_ms + APPLY_MS) {
			broken++;
			record("BROKEN machine %d: a request with the dropped "
			       "%s, sent %lld ms after version %d was "
			       "acknowledged, %s",
			       i, old_key, (long long)(sent_ms - acked_ms),
			       version, outcome_names[outcome]);
		}
		sent_ms = now_ms();
		outcome =
			ask_once(addresses[i], ROUTE, new_key, "READ x", error);
		if (outcome == OUTCOME_LOGIN && !strcmp(error, "AUTHFAIL") &&
		    sent_ms > acked_ms + APPLY_MS) {
			broken++;
			record("BROKEN machine %d: a request with the new %s, "
			       "sent %lld ms after version %d was "
			       "acknowledged: %s %s",
			       i, new_key, (long long)(sent_ms - acked_ms),
			       version, outcome_names[outcome], error);
		}
	}
	return broken;
}

/* @return number of broken requests, or -1 if the store refused a change */
static int run_round(const char *store, FILE *relay, bool trouble, int version)
{
	char key[16];
	char *body;
	int64_t acked_ms;
	int broken = 0, stored;

	if (trouble)
		turn_away(relay, true);
	pause_ms(BEFORE_CUT_MS);
	fputs("cut\n", relay);
	fflush(relay);
	record("the store cuts off the watches that wait");
	pause_ms(BEFORE_CHANGE_MS);
	snprintf(key, sizeof(key), "\"key-%d\"", version);
	body = config_body(version, key, 0);
	stored = body && config_replace(store, body);
	free(body);
	acked_ms = now_ms();
	if (!stored)
		return -1;
	record("version %d is acknowledged: key-%d replaces key-%d", version,
	       version, version - 1);
	while (now_ms() < acked_ms + WATCHED_MS) {
		broken += check_all(acked_ms, version);
		pause_ms(INTERVAL_MS);
	}
	if (trouble)
		turn_away(relay, false);
	return broken;
}

static void read_fronts(int count, char **fronts)
{
	for (int i = 0; i < count && i < MACHINES_MAX; i++) {
		char *star = strchr(fronts[i], '*');

		first_of_zone[i] = star != NULL;
		snprintf(addresses[i], ADDRESS_MAX, "%.*s",
			 (int)strcspn(fronts[i], "*"), fronts[i]);
		machines++;
	}
}

int main(int argc, char **argv)
{
	const char *list[MACHINES_MAX];
	int broken = 0;
	bool trouble;
	FILE *relay;
	char *body;

	if (argc < 6)
		return 2;
	relay = fopen(argv[2], "w");
	record_open(argv[3]);
	trouble = strcmp(argv[4], "0") != 0;
	read_fronts(argc - 5, argv + 5);
	for (int i = 0; i < machines; i++)
		list[i] = addresses[i];
	body = config_body(1, "\"key-1\"", 0);
	if (!relay || !body || !config_create(argv[1], body) ||
	    !await_service(list, machines, ROUTE, "key-1"))
		return 2;
	free(body);
	record("%d machines serve", machines);
	pause_ms(IN_TOUCH_MS);
	for (int i = 0; i < ROUNDS; i++) {
		int count = run_round(argv[1], relay, trouble, i + 2);

		if (count < 0)
			return 2;
		broken += count;
		pause_ms(BETWEEN_MS);
	}
	record("%d requests broke the rule CONFIG", broken);
	return broken ? 1 : 0;
}
