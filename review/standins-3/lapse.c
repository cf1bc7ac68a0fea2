/*
 * Driver of the case "lapse": the primary of a service with one synchronous
 * replica crashes while the other replica receives nothing and the store is
 * down; the databases' entries lapse, and the second replica is back first.
 *
 * lapse STORE RECORD TROUBLE FRONT...
 *
 * Without trouble the store stays up and no entry lapses; the primary crashes
 * all the same.  Exits with 1 if an acknowledged commit is not in the log of
 * the database that was promoted, with 0 if all are, and with 2 if the case
 * could not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common.h"
#include "config.h"

#define MACHINES_MAX 8
#define WRITES_MAX 4096
#define DEAF_LAG_MS 1000000 /* the replica receives nothing */
/* Times from the moment at which the replica begins to receive nothing. */
#define DOWN_AT_MS 200	   /* the store is down from here on */
#define CRASH_AT_MS 3700   /* the primary crashes */
#define UP_AT_MS 4700	   /* the store is back, after 4.5 s */
#define DEAF_UNTIL_MS 6500 /* the replica receives again */
#define SECOND_BACK_MS                                                        \
	100		   /* from the store's return to that replica's entry \
			    */
#define FIRST_BACK_MS 1900 /* from it to the entry of the first replica */
#define END_AT_MS 16000
#define WRITE_INTERVAL_MS 20
#define IN_TOUCH_MS 4000 /* stabilityWindowMs */

/* The entry that a database writes of itself. */
#define ENTRY                                                              \
	"{\"meta\":{\"name\":\"i-db%d\"},\"spec\":{\"service\":\"stand\"," \
	"\"address\":\"%s:%d\",\"zone\":\"e%d\",\"configVersion\":\"v1\"," \
	"\"slots\":5,\"state\":\"ready\",\"warmupLeftMs\":0,"              \
	"\"dbRole\":\"replica\",\"sequence\":9}}"

static const char *store;
static char *acked[WRITES_MAX]; /* values whose commit was acknowledged */
static int acked_count;

static bool set_fault(const char *database, const char *name, int value)
{
	char path[128];

	snprintf(path, sizeof(path), "/standin/fault?db=%s&name=%s&value=%d",
		 database, name, value);
	record("%s: %s %d", database, name, value);
	return http_call(store, "GET", path, NULL) == 200;
}

static void end_entry(int number)
{
	char path[64];

	snprintf(path, sizeof(path), "/-/objects/servers/i-db%d", number);
	record("the entry of i-db%d has lapsed (%d)", number,
	       http_call(store, "DELETE", path, NULL));
}

static void write_entry(int number)
{
	const char *colon = strrchr(store, ':');
	char host[ADDRESS_MAX], body[512];

	snprintf(host, sizeof(host), "%.*s", (int)(colon - store), store);
	snprintf(body, sizeof(body), ENTRY, number, host,
		 (int)strtol(colon + 1, NULL, 10) + number, number);
	record("i-db%d writes its entry again (%d)", number,
	       http_call(store, "POST", "/-/objects/servers", body));
}

static void write_once(const char *front)
{
	static int number;
	char statement[64], value[24], error[32];
	outcome_t outcome;

	snprintf(value, sizeof(value), "v%d", ++number);
	snprintf(statement, sizeof(statement), "WRITE item%d %s", number,
		 value);
	outcome = ask_once(front, ROUTE, "key-1", statement, error);
	record("%s: %s %s", statement, outcome_names[outcome], error);
	if (outcome == OUTCOME_OK && acked_count < WRITES_MAX)
		acked[acked_count++] = strdup(value);
}

/* Writes through all machines in turn until a time has come. */
static void write_until(char **fronts, int count, int64_t until_ms)
{
	static int next;

	while (now_ms() < until_ms) {
		write_once(fronts[next++ % count]);
		pause_ms(WRITE_INTERVAL_MS);
	}
}

/*
 * Looks for acknowledged values in the list of all commits, which tells
 * whether the leading database has them.  @return number of lost ones, or -1
 */
static int count_lost(void)
{
	char line[256], value[64], kept[16];
	int session = dial(store, 5000), lost = 0;

	if (session < 0 ||
	    dprintf(session, "GET /standin/log HTTP/1.1\r\nHost: s\r\n"
			     "Connection: close\r\n\r\n") < 0)
		return -1;
	while (read_line(session, line, sizeof(line))) {
		if (sscanf(line, "%*63s %63s %15s", value, kept) != 2 ||
		    strcmp(kept, "lost") != 0)
			continue;
		for (int i = 0; i < acked_count; i++) {
			if (strcmp(acked[i], value) != 0)
				continue;
			lost++;
			record("BROKEN the acknowledged commit of %s is not "
			       "in the log of the promoted database",
			       value);
		}
	}
	close(session);
	return lost;
}

static void play(char **fronts, int count, bool trouble)
{
	int64_t start_ms = now_ms();

	set_fault("i-db3", "lag_ms", DEAF_LAG_MS);
	write_until(fronts, count, start_ms + DOWN_AT_MS);
	if (trouble)
		set_fault("store", "down", 1);
	write_until(fronts, count, start_ms + CRASH_AT_MS);
	record("%d commits were acknowledged", acked_count);
	set_fault("i-db1", "down", 1);
	write_until(fronts, count, start_ms + UP_AT_MS);
	if (trouble) {
		set_fault("store", "down", 0);
		for (int i = 1; i <= 3; i++)
			end_entry(i);
		pause_ms(SECOND_BACK_MS);
		write_entry(3);
		write_until(fronts, count, start_ms + UP_AT_MS + FIRST_BACK_MS);
		write_entry(2);
	}
	write_until(fronts, count, start_ms + DEAF_UNTIL_MS);
	set_fault("i-db3", "lag_ms", 20);
	write_until(fronts, count, start_ms + END_AT_MS);
}

int main(int argc, char **argv)
{
	int count = argc - 4, lost;
	char *body;

	if (count < 1 || count > MACHINES_MAX)
		return 2;
	store = argv[1];
	record_open(argv[2]);
	body = config_body_synced(1, "\"key-1\"");
	if (!body || !config_create(store, body) ||
	    !await_service((const char *const *)argv + 4, count, ROUTE,
			   "key-1"))
		return 2;
	free(body);
	/* Each commit is at the first replica when it is acknowledged. */
	if (!set_fault("i-db2", "lag_ms", 0))
		return 2;
	pause_ms(IN_TOUCH_MS);
	play(argv + 4, count, strcmp(argv[3], "0") != 0);
	lost = count_lost();
	record("%d acknowledged commits, %d of them lost", acked_count, lost);
	for (int i = 0; i < acked_count; i++)
		free(acked[i]);
	if (lost < 0 || !acked_count)
		return 2;
	return lost ? 1 : 0;
}
