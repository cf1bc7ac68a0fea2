#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "stand.h"

static void finish(void *arg)
{
	(void)arg;
	event_base_loopbreak(base);
}

/* A machine of the deployment, three of them. */
static void start_vms(void)
{
	vm_add("front-cork-a-1", "cork-a");
	vm_add("front-cork-b-1", "cork-b");
	vm_add("front-limerick-a-1", "limerick-a");
	for (int i = 0; i < vm_count; i++)
		vm_start(i);
}

static void kill_all(void *arg)
{
	(void)arg;
	for (int i = 0; i < vm_count; i++)
		vm_signal(i, SIGKILL);
}

static void start_all(void *arg)
{
	(void)arg;
	for (int i = 0; i < vm_count; i++)
		vm_start(i);
}

/* Whether a request succeeded. */
static int served(const request_t *r)
{
	return r->answered_s && !strncmp(r->answer, "COMPLETE", 8);
}

/* Counts requests sent in a span, and those that were served. */
static long count(double from_s, double to_s, int vm, long *served_count)
{
	long all = 0;

	*served_count = 0;
	for (long i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		if (r->sent_s < from_s || r->sent_s >= to_s ||
		    (vm >= 0 && r->vm != vm))
			continue;
		all++;
		*served_count += served(r);
	}
	return all;
}

static void send_read(client_t *client)
{
	client_send(client, "READ 1a4");
}

static void send_mixed(client_t *client)
{
	client_send(client, client->sends % 5 ? "READ 1a4" : "WRITE 1a4 xkq");
}

static void connect_all(void *arg)
{
	(void)arg;
	for (int i = 0; i < client_count; i++)
		if (!clients[i].stream)
			client_connect(&clients[i]);
}

/*
 * leave: clients leave in the middle of a transaction, while its statement
 * runs.  Without the trouble they leave once the statement is answered.
 */

#define LEAVE_KILL_S 14.0
#define LEAVE_BACK_S 14.8
#define LEAVE_FROM_S 16.0
#define LEAVE_UNTIL_S 26.0
#define LEAVERS_PER_VM 4
#define LEAVE_END_S 75.0
#define RECOVERY_S 12.0

static int left;

static void leave_reconnect(void *arg)
{
	if (now_s() < LEAVE_UNTIL_S)
		client_connect(arg);
}

static void leave(void *arg)
{
	client_t *client = arg;

	left++;
	client_close(client, 0);
	after(0.1, leave_reconnect, client);
}

static void leave_running(void *arg)
{
	client_t *client = arg;

	if (client->stream && client->waiting)
		leave(client);
}

static void send_and_leave(client_t *client)
{
	int step = client->step++ % 3;

	if (step == 0) {
		client_send(client, strcmp(client->database, "trade")
					    ? "BEGIN READ"
					    : "BEGIN");
	} else if (step == 2) {
		leave(client);
	} else if (trouble) {
		client->step = 0;
		client_send(client, "READ 1a4");
		after(0.01, leave_running, client);
	} else {
		client_send(client, "READ 1a4");
	}
}

static void connect_leavers(void *arg)
{
	(void)arg;
	for (int i = 0; i < client_count; i++)
		if (clients[i].next == send_and_leave)
			client_connect(&clients[i]);
}

static void connect_others(void *arg)
{
	(void)arg;
	for (int i = 0; i < client_count; i++)
		if (clients[i].next != send_and_leave)
			client_connect(&clients[i]);
}

static void leave_start(void)
{
	start_vms();
	for (int vm = 0; vm < vm_count; vm++) {
		for (int i = 0; i < 4; i++)
			client_add(vm, i % 2 ? "trade" : "browse", "key-one",
				   i % 2 ? send_mixed : send_read)
				->pause_ms = 100;
		for (int i = 0; i < LEAVERS_PER_VM; i++)
			client_add(vm, i % 2 ? "trade" : "browse", "key-one",
				   send_and_leave);
	}
	after(8, connect_others, NULL);
	after(LEAVE_KILL_S, kill_all, NULL);
	after(LEAVE_BACK_S, start_all, NULL);
	after(LEAVE_FROM_S, connect_leavers, NULL);
	after(LEAVE_END_S, finish, NULL);
}

static int leave_judge(void)
{
	long before_served, after_served;
	long before = count(8, LEAVE_KILL_S, -1, &before_served);
	long late = count(LEAVE_BACK_S + RECOVERY_S, LEAVE_END_S - 3, -1,
			  &after_served);

	note("%d clients left; served before: %ld of %ld; later than "
	     "recoveryS after the machines were back: %ld of %ld",
	     left, before_served, before, after_served, late);
	if (before < 50 || before_served * 4 < before || !late)
		return 2;
	return after_served * 4 < late;
}

/* stop: a planned stop while clients send one request after the other. */

#define STOP_AT_S 14.0
#define GRACE_S 6.0
#define READY_MISSES_S 2.0
#define TIMEOUT_S 1.0

static void stop_vm(void *arg)
{
	(void)arg;
	if (trouble)
		vm_signal(0, SIGTERM);
}

static void kill_vm(void *arg)
{
	(void)arg;
	if (trouble && !vms[0].exited)
		vm_signal(0, SIGKILL);
}

/*
 * The platform asks each machine once a second whether it is ready; after two
 * misses new sessions go to other machines.
 */
static int stop_choose_vm(const client_t *client)
{
	if (trouble && now_s() > STOP_AT_S + READY_MISSES_S)
		return 1;
	return client->vm;
}

static void stop_start(void)
{
	start_vms();
	choose_vm = stop_choose_vm;
	for (int i = 0; i < 24; i++)
		client_add(0, i % 2 ? "trade" : "browse", "key-one", send_read);
	after(8, connect_all, NULL);
	after(STOP_AT_S, stop_vm, NULL);
	after(STOP_AT_S + GRACE_S, kill_vm, NULL);
	after(STOP_AT_S + GRACE_S + 3, finish, NULL);
}

static int stop_judge(void)
{
	long before_served, before = count(8, STOP_AT_S, 0, &before_served);
	int lost = 0;

	for (long i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		if (r->vm || !r->closed_s || !r->arrived_s ||
		    r->closed_s > STOP_AT_S + GRACE_S + 1 ||
		    r->closed_s - r->sent_s >= TIMEOUT_S)
			continue;
		/* The database was still at work in the last sixth of graceS.
		 */
		if (r->sent_s <= STOP_AT_S + 3 &&
		    (!r->run_s || r->run_s >= STOP_AT_S + GRACE_S * 5 / 6))
			continue;
		lost++;
		note("LOST %s: sent %.3f s after SIGTERM, at a database %.3f, "
		     "connection ended %.3f",
		     r->id, r->sent_s - STOP_AT_S, r->arrived_s - STOP_AT_S,
		     r->closed_s - STOP_AT_S);
	}
	note("served before: %ld of %ld; lost: %d", before_served, before,
	     lost);
	if (before_served < 100)
		return 2;
	return lost != 0;
}

/* entry: an entry of another writer, of which a text can't be read. */

#define ENTRY_AT_S 14.0
#define ENTRY_KILL_S 24.0

static void entry_put(void *arg)
{
	/* The version is cut in the middle of a pair of \\u escapes. */
	static const char *const forms[] = { "\"v2-\\ud83e\"", "\"v2-\xff\"",
					     "\"v2-\\u0000\"", "1e999" };
	const char *form = getenv("FORM");
	char spec[256];

	(void)arg;
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"probe\",\"address\":\"%s:9\",\"zone\":"
		 "\"cork-a\",\"state\":\"ready\",\"configVersion\":%s}",
		 ip_address(9, 9),
		 trouble ? forms[form ? atoi(form) : 0] : "\"v2-\"");
	store_put("servers", "probe-31", spec);
	note("another writer's entry is written: %s", spec);
}

static void entry_start(void)
{
	start_vms();
	for (int i = 0; i < 12; i++)
		client_add(i % 3, i % 2 ? "trade" : "browse", "key-one",
			   send_mixed)
			->pause_ms = 100;
	after(8, connect_all, NULL);
	after(ENTRY_AT_S, entry_put, NULL);
	after(ENTRY_KILL_S, kill_all, NULL);
	after(ENTRY_KILL_S + 0.8, start_all, NULL);
	after(ENTRY_KILL_S + 0.8 + RECOVERY_S + 20, finish, NULL);
}

static int entry_judge(void)
{
	double back_s = ENTRY_KILL_S + 0.8;
	long before_served, after_served, logins = 0;
	long before = count(8, ENTRY_KILL_S, -1, &before_served);
	long late = count(back_s + RECOVERY_S, 1e9, -1, &after_served);

	for (int i = 0; i < client_count; i++)
		logins += clients[i].errors;
	note("served before: %ld of %ld; later than recoveryS after: %ld of "
	     "%ld; failed logins: %ld",
	     before_served, before, after_served, late, logins);
	if (before < 50 || before_served * 4 < before)
		return 2;
	return late ? after_served * 4 < late : 1;
}

/* smuggle: a request with another one inside. */

static void smuggle_next(client_t *client)
{
	static const char hidden[] = "QUERY 5c0eaaaaaaaaaaaa WRITE 1a4 abc\n"
				     "QUERY 5c0ebbbbbbbbbbbb WRITE 2b5 def\r\n";
	static const char plain[] = "QUERY 5c0eaaaaaaaaaaaa WRITE 1a4 abc "
				    "QUERY 5c0ebbbbbbbbbbbb WRITE 2b5 def\r\n";
	const char *line = trouble ? hidden : plain;

	if (client->sends == 10) {
		client_send_raw(client, "5c0eaaaaaaaaaaaa", line, strlen(line));
		snprintf(requests[client->request].text, 96, "%.*s",
			 (int)strlen(line) - 2 - 23, line + 23);
	} else {
		client_send(client, "READ 1a4");
	}
}

static void smuggle_start(void)
{
	start_vms();
	client_add(0, "trade", "key-one", smuggle_next)->pause_ms = 100;
	after(8, connect_all, NULL);
	after(14, finish, NULL);
}

/* Whether the record has a line with this word. */
static int recorded(const char *word)
{
	FILE *file = fopen(getenv("RECORD"), "r");
	char line[512];
	int found = 0;

	while (file && fgets(line, sizeof(line), file))
		found |= strstr(line, word) != NULL;
	if (file)
		fclose(file);
	return found;
}

static int smuggle_judge(void)
{
	if (clients[0].sends < 11)
		return 2;
	return recorded(" UNSENT ") || recorded(" CHANGED ");
}

/* token: a promotion call that was held up arrives after a later one. */

static int holder = -1;

static void token_first(void *arg)
{
	(void)arg;
	database_down(&databases[0], 1);
	note("database 0 crashes");
}

static void token_back(void *arg)
{
	(void)arg;
	for (int i = 0; i < DATABASES; i++) {
		if (!databases[i].down)
			continue;
		database_down(&databases[i], 0);
		note("database %d is back, as a %s", i,
		     databases[i].primary ? "primary" : "replica");
	}
}

static void token_release(void *arg)
{
	(void)arg;
	if (holder >= 0)
		promote_link_hold(holder, 0);
	note("the link is whole again");
}

static void token_second(void *arg)
{
	(void)arg;
	for (int i = 0; i < DATABASES; i++) {
		if (!databases[i].primary || databases[i].down)
			continue;
		note("database %d crashes", i);
		database_down(&databases[i], 1);
		return;
	}
}

static void token_cut(void *arg)
{
	(void)arg;
	for (int i = 0; i < vm_count; i++)
		if (promotion_count &&
		    !strcmp(vms[i].name,
			    promotions[promotion_count - 1].holder))
			holder = i;
	if (holder < 0)
		return;
	note("%s is cut off from the promotion call", vms[holder].name);
	if (trouble)
		promote_link_hold(holder, 1);
}

static void token_start(void)
{
	start_vms();
	for (int i = 0; i < 9; i++)
		client_add(i % 3, "trade", "key-one", send_mixed)->pause_ms =
			50;
	after(8, connect_all, NULL);
	after(12, token_first, NULL);
	after(18, token_back, NULL);
	after(24, token_cut, NULL);
	after(24.2, token_second, NULL);
	after(29.5, token_release, NULL);
	after(31, token_back, NULL);
	after(40, finish, NULL);
}

static int token_judge(void)
{
	long long seen = 0;
	int lower = 0;

	for (int i = 0; i < promotion_count; i++) {
		if (promotions[i].token < seen) {
			note("LOWER token %lld by %s after %lld",
			     promotions[i].token, promotions[i].holder, seen);
			lower++;
		}
		if (promotions[i].token > seen)
			seen = promotions[i].token;
	}
	if (promotion_count < 2 || holder < 0)
		return 2;
	return lower != 0;
}

/* majority: most machines are lost for good, then the primary crashes. */

static void majority_kill(void *arg)
{
	(void)arg;
	for (int i = 1; trouble && i < vm_count; i++)
		vm_signal(i, SIGKILL);
}

static void majority_crash(void *arg)
{
	(void)arg;
	note("database 0 crashes");
	database_down(&databases[0], 1);
}

static void majority_start(void)
{
	start_vms();
	for (int i = 0; i < 6; i++)
		client_add(0, "trade", "key-one", send_mixed)->pause_ms = 50;
	after(8, connect_all, NULL);
	after(14, majority_kill, NULL);
	after(24, majority_crash, NULL);
	after(80, finish, NULL);
}

static int majority_judge(void)
{
	long served_count, all = count(40, 77, 0, &served_count);

	note("served from 16 s after the crash on: %ld of %ld", served_count,
	     all);
	return all ? served_count * 4 < all : 2;
}

/* The last two have no folder of their own; see REPORT.md. */
const case_t cases[] = {
	{ "entry", entry_start, entry_judge },
	{ "leave", leave_start, leave_judge },
	{ "stop", stop_start, stop_judge },
	{ "token", token_start, token_judge },
	{ "smuggle", smuggle_start, smuggle_judge },
	{ "majority", majority_start, majority_judge },
	{ NULL, NULL, NULL },
};
