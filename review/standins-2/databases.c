/* The databases: their logs, replication, promotion and faults. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "review/standins-2/group.h"

#define REPLICATE_MS 2 /* time between two rounds of replication */
/* A replaced primary steps down by itself after this time. */
#define STEP_DOWN_MS 1000

group_t group;

static int start_one(const char *host, int port, const char *prefix);
static void on_replicate(evutil_socket_t fd, short what, void *arg);
static void replicate(database_t *replica, const database_t *primary);

int databases_start(const char *host, int port, const char *prefix)
{
	struct timeval interval = { 0, REPLICATE_MS * 1000 };
	struct event *timer =
		event_new(group.base, -1, EV_PERSIST, on_replicate, NULL);
	int wanted = group.count;

	group.count = 0;
	while (group.count < wanted)
		if (start_one(host, port + 1 + group.count, prefix))
			return -1;
	group.databases[0].primary = true;
	return event_add(timer, &interval);
}

static int start_one(const char *host, int port, const char *prefix)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	database_t *database = &group.databases[group.count];

	snprintf(database->id, sizeof(database->id), "%s%d", prefix,
		 group.count + 1);
	database->term = 1;
	database->lag_ms = 20;
	database->log = calloc(COMMITS_MAX, sizeof(log_entry_t));
	CK_LIST_INIT(&database->sessions);
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &address.sin_addr);
	database->listener = evconnlistener_new_bind(
		group.base, session_accept, database,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
		(struct sockaddr *)&address, sizeof(address));
	if (!database->log || !database->listener)
		return -1;
	group.count++;
	return 0;
}

static void on_replicate(evutil_socket_t fd, short what, void *arg)
{
	database_t *primary = database_primary();
	(void)fd;
	(void)what;
	(void)arg;

	if (!primary)
		return;
	for (int i = 0; i < group.count; i++) {
		database_t *database = &group.databases[i];

		if (database->replaced_ms && !database->down &&
		    now_ms() - database->replaced_ms >= STEP_DOWN_MS)
			database_step_down(database, primary->term);
		if (!database->primary && !database->deaf && !database->down &&
		    !primary->down)
			replicate(database, primary);
	}
	sessions_check_sync(primary);
}

/* Copies what the primary has; what it does not have is rolled back. */
static void replicate(database_t *replica, const database_t *primary)
{
	uint64_t common = 0;

	while (common < replica->received && common < primary->received &&
	       replica->log[common + 1].commit ==
		       primary->log[common + 1].commit)
		common++;
	replica->received = common;
	replica->term = primary->term;
	while (replica->received < primary->received) {
		log_entry_t *entry = &replica->log[++replica->received];

		entry->commit = primary->log[replica->received].commit;
		entry->received_ms = now_ms();
	}
}

database_t *database_find(const char *id)
{
	for (int i = 0; i < group.count; i++)
		if (!strcmp(group.databases[i].id, id))
			return &group.databases[i];
	return NULL;
}

database_t *database_primary(void)
{
	database_t *newest = NULL;

	for (int i = 0; i < group.count; i++) {
		database_t *database = &group.databases[i];

		if (database->primary &&
		    (!newest || database->term > newest->term))
			newest = database;
	}
	return newest;
}

uint64_t database_applied(const database_t *database)
{
	uint64_t applied = database->received;

	if (database->primary)
		return applied;
	while (applied &&
	       now_ms() - database->log[applied].received_ms < database->lag_ms)
		applied--;
	return applied;
}

void database_commit(database_t *database, const commit_t *commit)
{
	commit_t *copy = &group.commits[group.commit_count];
	log_entry_t *entry;

	if (group.commit_count + 1 >= COMMITS_MAX)
		return;
	group.commit_count++;
	*copy = *commit;
	entry = &database->log[++database->received];
	entry->commit = copy;
	entry->received_ms = now_ms();
}

bool database_is_replicated(const database_t *primary, uint64_t position)
{
	for (int i = 0; i < group.count; i++) {
		const database_t *replica = &group.databases[i];

		if (!replica->primary && replica->received >= position &&
		    replica->log[position].commit ==
			    primary->log[position].commit)
			return true;
	}
	return false;
}

int database_promote(const char *id)
{
	database_t *database = database_find(id);
	database_t *primary = database_primary();

	if (!database || database->down)
		return -1;
	if (database == primary)
		return 0;
	if (primary) {
		primary->replaced_ms = now_ms();
		database->term = primary->term + 1;
	}
	database->primary = true;
	database->replaced_ms = 0;
	record("promoted %s term %llu position %llu", database->id,
	       (unsigned long long)database->term,
	       (unsigned long long)database->received);
	for (uint64_t n = 1; n <= database->received; n++)
		for (uint32_t i = 0; i < database->log[n].commit->write_count;
		     i++)
			record("promoted-log %s %s %s", database->id,
			       database->log[n].commit->writes[i].item,
			       database->log[n].commit->writes[i].data);
	return 0;
}

void database_step_down(database_t *database, uint64_t term)
{
	if (!database->primary || database->term >= term)
		return;
	database->primary = false;
	database->replaced_ms = 0;
	record("stepped-down %s", database->id);
}

int database_fault(const char *id, const char *name, int value)
{
	database_t *database = database_find(id);

	if (!database)
		return -1;
	record("fault %s %s %d", id, name, value);
	if (!strcmp(name, "deaf")) {
		database->deaf = value;
	} else if (!strcmp(name, "busy")) {
		database->busy = value;
	} else if (!strcmp(name, "lag_ms")) {
		database->lag_ms = (uint64_t)value;
	} else if (!strcmp(name, "down")) {
		database->down = value;
		if (value) {
			evconnlistener_disable(database->listener);
			sessions_close(database);
		} else {
			evconnlistener_enable(database->listener);
		}
	} else {
		return -1;
	}
	return 0;
}

uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
