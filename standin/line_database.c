/*
 * Databases that speak the line protocol of platform/line.h.  All commits are
 * in one array; the log of each database refers to them.  Replication happens
 * when a database's position is needed: it copies the entries of the primary's
 * log that are older than the database's delay.
 */
#include <arpa/inet.h>
#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/line_database.h"
#include "standin/line_database_internal.h"
#include "standin/store.h"

#define MAX_DATABASES 8
#define MAX_LOG_ENTRIES 65536

/*
 * A replaced primary accepts writes for this long after the promotion, unless
 * it receives STEPDOWN earlier.
 */
#define STEP_DOWN_DELAY_MS 1000

static database_t databases[MAX_DATABASES];
static int database_count;
/* Commits of all databases, including those rolled back; 0 is unused. */
static commit_t commits[MAX_LOG_ENTRIES];
static uint64_t commit_count;

static void replicate(database_t *database);
static database_t *find_primary(void);
static database_t *find_database(const char *id);
static void register_database(const database_t *database);
static uint64_t now_ms(void);

int line_database_start(struct event_base *base, const char *host, int port,
			int registered_port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	database_t *database = &databases[database_count];

	snprintf(database->id, sizeof(database->id), "i-db%d",
		 database_count + 1);
	snprintf(database->domain, sizeof(database->domain), "e%d",
		 database_count + 1);
	snprintf(database->host, sizeof(database->host), "%s", host);
	database->port = registered_port;
	database->log = calloc(MAX_LOG_ENTRIES, sizeof(log_entry_t));
	database->primary = !database_count;
	database->term = 1;
	database->lag_ms = 20;
	CK_LIST_INIT(&database->connections);
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &address.sin_addr);
	database->listener = evconnlistener_new_bind(
		base, line_session_accept, database,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
		(struct sockaddr *)&address, sizeof(address));
	if (!database->listener)
		return -1;
	database_count++;
	register_database(database);
	return 0;
}

int line_database_promote(const char *id)
{
	database_t *database = find_database(id);
	uint64_t newest = 0;

	if (!database || database->down)
		return -1;
	if (database == find_primary())
		return 0;
	replicate(database);
	for (int i = 0; i < database_count; i++) {
		if (databases[i].term > newest)
			newest = databases[i].term;
		/* The old primary steps down later: STEP_DOWN_DELAY_MS. */
		if (databases[i].primary && !databases[i].replaced_at_ms)
			databases[i].replaced_at_ms = now_ms();
	}
	database->primary = 1;
	database->replaced_at_ms = 0;
	database->term = newest + 1;
	register_database(database);
	return 0;
}

int line_database_fault(const char *id, const char *name, int value)
{
	database_t *database = find_database(id);

	if (!database)
		return -1;
	if (!strcmp(name, "lag_ms")) {
		database->lag_ms = value;
	} else if (!strcmp(name, "lose")) {
		database->responses_to_lose = value;
	} else if (!strcmp(name, "down")) {
		/*
		 * Replication runs on demand: copy what the replicas would
		 * have received before the database goes down.
		 */
		for (int i = 0; i < database_count; i++)
			replicate(&databases[i]);
		database->down = value;
		if (value) {
			evconnlistener_disable(database->listener);
			line_session_close_all(database);
		} else {
			evconnlistener_enable(database->listener);
		}
	} else {
		return -1;
	}
	return 0;
}

static void register_database(const database_t *database)
{
	char address[64];

	snprintf(address, sizeof(address), "%s:%d", database->host,
		 database->port);
	store_put("servers", database->id,
		  json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:i}", "service",
			    SERVICE_NAME, "address", address, "zone",
			    database->domain, "configVersion", "v1", "slots", 5,
			    "state", "ready", "warmupLeftMs", 0, "dbRole",
			    database->primary ? "primary" : "replica",
			    "sequence", 1));
}

/* Commits the buffered writes. */
void line_database_commit(connection_t *connection)
{
	database_t *database = connection->database;
	commit_t *entry;

	if (!connection->write_count || commit_count + 1 >= MAX_LOG_ENTRIES)
		return;
	entry = &commits[++commit_count];
	entry->committed_at_ms = now_ms();
	entry->term = database->term;
	entry->by_replaced_primary = database->replaced_at_ms != 0;
	for (int i = 0; i < connection->write_count && i < MAX_COMMIT_WRITES;
	     i++)
		entry->writes[entry->write_count++] = connection->writes[i];
	database->log[++database->log_length].commit = entry;
	connection->write_count = 0;
}

/* The primary with the highest term, or NULL. */
static database_t *find_primary(void)
{
	database_t *newest = NULL;

	for (int i = 0; i < database_count; i++)
		if (databases[i].primary &&
		    (!newest || databases[i].term > newest->term))
			newest = &databases[i];
	return newest;
}

/*
 * Makes a primary a replica once STEP_DOWN_DELAY_MS have passed since its
 * replacement.  Called for each request, so that a primary that no client
 * reaches does not change.
 */
void line_database_check_replaced(database_t *database)
{
	if (!database->replaced_at_ms ||
	    now_ms() - database->replaced_at_ms < STEP_DOWN_DELAY_MS)
		return;
	database->primary = 0;
	database->replaced_at_ms = 0;
	register_database(database);
}

void line_database_step_down(database_t *database, uint64_t term)
{
	if (!database->primary || database->term >= term)
		return;
	database->primary = 0;
	replicate(database);
}

/* Copies the primary's log entries that are older than the delay. */
static void replicate(database_t *database)
{
	const database_t *source = find_primary();
	uint64_t common_length = 0;

	if (!source || database->primary || source == database || source->down)
		return;
	while (common_length < database->log_length &&
	       common_length < source->log_length &&
	       database->log[common_length + 1].commit ==
		       source->log[common_length + 1].commit)
		common_length++;
	/* Entries that the new primary does not have are rolled back. */
	if (database->term < source->term)
		database->log_length = common_length;
	database->term = source->term;
	while (database->log_length < source->log_length &&
	       source->log[database->log_length + 1].commit->committed_at_ms +
			       (uint64_t)database->lag_ms <=
		       now_ms()) {
		database->log[database->log_length + 1] =
			source->log[database->log_length + 1];
		database->log_length++;
	}
}

uint64_t line_database_position(database_t *database)
{
	replicate(database);
	return database->log_length;
}

void line_database_log(struct evbuffer *out)
{
	const database_t *source = find_primary();

	for (uint64_t n = 1; n <= commit_count; n++) {
		const commit_t *entry = &commits[n];
		int kept = 0;

		for (uint64_t i = 1; source && i <= source->log_length; i++)
			kept |= source->log[i].commit == entry;
		for (int i = 0; i < entry->write_count; i++)
			evbuffer_add_printf(
				out, "%s %s %s %s\n", entry->writes[i].key,
				entry->writes[i].value, kept ? "kept" : "lost",
				entry->by_replaced_primary ? "replaced"
							   : "leading");
	}
}

static database_t *find_database(const char *id)
{
	for (int i = 0; i < database_count; i++)
		if (!strcmp(databases[i].id, id))
			return &databases[i];
	return NULL;
}

static uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
