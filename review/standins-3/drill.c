/*
 * Driver of the case "drill": the primary crashes and is replaced, and comes
 * back as a replica that lags; then the store is restored from a copy of before
 * that, while all machines are killed and started again.
 *
 * drill STORE RECORD TROUBLE WRITER READER
 *
 * WRITER and READER are machines; the script kills all machines when this
 * program prints "kill", and starts them at "start".  Without trouble the store
 * stays as it is.  The last line is "end N": 1 if a read on a primary route ran
 * on a log that lacks an acknowledged commit, 0 if none did, 2 if the case
 * could not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common.h"
#include "config.h"

#define KEY "key-1"
#define TIMEOUT_MS 1500
#define IN_TOUCH_MS 4000 /* stabilityWindowMs */
#define LAG_MS 3000	 /* of the former primary, as a replica: 150 x 20 ms */
#define DOWN_MIN_MS 1500 /* the crashed database is back at the earliest */
#define REPORT_MS 1200	 /* from its return to its report */
#define AFTER_MS 500	 /* from its return to the drill */
#define COPY_BEFORE_MS 500 /* from the copy to the crash */
#define AWAY_MS 500	   /* the store is away */
#define WATCHED_MS 20000
#define INTERVAL_MS 5
#define READS 5		  /* after each write */
#define RECOVERY_MS 12000 /* recoveryS */
#define LINE_MAX_BYTES 256
/* The entry that i-db1 writes of itself. */
#define ENTRY                                                             \
	"{\"meta\":{\"name\":\"i-db1\"},\"spec\":{\"service\":\"stand\"," \
	"\"address\":\"%s:%d\",\"zone\":\"e1\",\"configVersion\":\"v1\"," \
	"\"slots\":5,\"state\":\"ready\",\"warmupLeftMs\":0,"             \
	"\"dbRole\":\"replica\",\"sequence\":9}}"

static const char *store;
static int64_t acked_number; /* of the newest acknowledged write */

static bool set_fault(const char *database, const char *name, int value)
{
	char path[128];

	snprintf(path, sizeof(path), "/standin/fault?db=%s&name=%s&value=%d",
		 database, name, value);
	record("%s: %s %d", database, name, value);
	return http_call(store, "GET", path, NULL) == 200;
}

/* i-db1 reports that it is a replica. */
static bool report_replica(void)
{
	const char *colon = strrchr(store, ':');
	char host[ADDRESS_MAX], body[512];

	snprintf(host, sizeof(host), "%.*s", (int)(colon - store), store);
	snprintf(body, sizeof(body), ENTRY, host,
		 (int)strtol(colon + 1, NULL, 10) + 1);
	record("i-db1 reports that it is a replica");
	return http_call(store, "PUT", "/-/objects/servers/i-db1", body) == 200;
}

/* Tells the script what to do with the machines. */
static void tell(const char *word)
{
	record("%s all machines", word);
	puts(word);
	fflush(stdout);
}

static bool write_once(const char *front)
{
	static int number;
	char statement[64], error[32];

	snprintf(statement, sizeof(statement), "WRITE x v%d", ++number);
	if (ask_once(front, ROUTE, KEY, statement, error) != OUTCOME_OK) {
		record("%s is refused: %s", statement, error);
		return false;
	}
	acked_number = number;
	return true;
}

/* Reads lines up to READY. @return whether it came; row: the last ROW */
static bool read_answer(int session, char *row, char *complete)
{
	char line[LINE_MAX_BYTES];

	while (read_line(session, line, sizeof(line))) {
		if (!strncmp(line, "ROW ", 4))
			strcpy(row, line + 4);
		else if (!strncmp(line, "COMPLETE ", 9))
			strcpy(complete, line + 9);
		else if (!strncmp(line, "READY ", 6))
			return true;
		else
			return false;
	}
	return false;
}

/*
 * Reads the value in a session of its own.
 *
 * @return its number, or -1 if the read was not served
 */
static int64_t read_once(const char *front, char *complete)
{
	static int number;
	char row[LINE_MAX_BYTES] = "";
	int session = dial(front, TIMEOUT_MS);
	int64_t value = -1;

	if (session < 0)
		return -1;
	if (dprintf(session, "STARTUP " ROUTE " " KEY "\r\n") > 0 &&
	    read_answer(session, row, complete) &&
	    dprintf(session, "QUERY r%d READ x\r\n", ++number) > 0 &&
	    read_answer(session, row, complete) && row[0] == 'v')
		value = strtoll(row + 1, NULL, 10);
	close(session);
	return value;
}

/*
 * Writes at one machine and reads at the other.
 *
 * @return number of stale reads
 */
static int watch(const char *writer, const char *reader, int64_t for_ms)
{
	int64_t start_ms = now_ms();
	char complete[LINE_MAX_BYTES] = "";
	int stale = 0, served = 0, late_writes = 0, late_served = 0;

	while (now_ms() < start_ms + for_ms) {
		bool is_late = now_ms() > start_ms + RECOVERY_MS;
		bool ok = write_once(writer);

		late_writes += is_late;
		late_served += is_late && ok;
		for (int i = 0; i < READS; i++) {
			int64_t acked = acked_number;
			int64_t value = read_once(reader, complete);

			served += value >= 0;
			if (value >= 0 && value < acked) {
				stale++;
				record("BROKEN the read %s ran on a log that "
				       "ends with v%lld, v%lld was "
				       "acknowledged before it",
				       complete, (long long)value,
				       (long long)acked);
			}
			pause_ms(INTERVAL_MS);
		}
	}
	record("%d reads served, %d of them stale", served, stale);
	if (late_writes)
		record("%d of %d writes served later than recoveryS",
		       late_served, late_writes);
	return stale;
}

/* The primary crashes and is replaced. @return time of the crash, or -1 */
static int64_t replace_primary(const char *writer)
{
	int64_t crash_ms = now_ms();

	set_fault("i-db1", "down", 1);
	while (!write_once(writer)) {
		if (now_ms() > crash_ms + 10000)
			return -1;
		pause_ms(20);
	}
	record("another primary serves");
	while (now_ms() < crash_ms + DOWN_MIN_MS)
		pause_ms(INTERVAL_MS);
	set_fault("i-db1", "down", 0);
	pause_ms(REPORT_MS);
	if (!report_replica() || !set_fault("i-db1", "lag_ms", LAG_MS))
		return -1;
	return crash_ms;
}

static int play(const char *writer, const char *reader, bool trouble)
{
	int64_t crash_ms;
	int stale;

	for (int i = 0; i < 20; i++)
		write_once(writer);
	crash_ms = replace_primary(writer);
	if (crash_ms < 0)
		return -1;
	stale = watch(writer, reader, AFTER_MS);
	if (trouble)
		set_fault("store", "down", 1);
	tell("kill");
	pause_ms(AWAY_MS);
	if (trouble) {
		set_fault("store", "drill",
			  (int)(now_ms() - crash_ms) + COPY_BEFORE_MS);
		set_fault("store", "down", 0);
	}
	tell("start");
	return stale + watch(writer, reader, WATCHED_MS);
}

int main(int argc, char **argv)
{
	const char *fronts[2];
	char *body;
	int stale;

	if (argc != 6)
		return 2;
	store = argv[1];
	record_open(argv[2]);
	fronts[0] = argv[4];
	fronts[1] = argv[5];
	body = config_body(1, "\"" KEY "\"", 0);
	if (!body || !config_create(store, body) ||
	    !await_service(fronts, 2, ROUTE, KEY)) {
		puts("end 2");
		return 0;
	}
	free(body);
	pause_ms(IN_TOUCH_MS);
	stale = play(argv[4], argv[5], strcmp(argv[3], "0") != 0);
	record("%d stale reads", stale);
	printf("end %d\n", stale < 0 ? 2 : stale > 0);
	return 0;
}
