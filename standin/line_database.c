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

#include "platform/line.h"
#include "standin/line_database.h"
#include "standin/store.h"

#define DATABASES 8
#define LOG_MAX 65536
#define VALUE_MAX 64
#define WRITES_MAX 64 /* of one transaction */
#define SERVICE "stand"
#define REPLACED_MS 1000 /* a replaced primary goes on for so long */

typedef struct write {
	char item[VALUE_MAX];
	char data[VALUE_MAX];
} write_t;

/* One commit, when it was made, and in which term. */
typedef struct commit {
	uint64_t at_ms;
	uint64_t term;
	int replaced; /* its database had been replaced by then */
	int count;
	write_t writes[4];
} commit_t;

/* One place of a database's log. */
typedef struct log_entry {
	const commit_t *commit;
} log_entry_t;

typedef struct database {
	char id[32];
	char host[48];
	int port;
	int primary;
	int down;
	int lag_ms;
	int lose; /* answers */
	uint64_t term;
	uint64_t replaced_ms; /* another leads since then, or 0 */
	log_entry_t *log;     /* from 1 on */
	uint64_t count;
	struct evconnlistener *listener;
	CK_LIST_HEAD(, connection) connections;
} database_t;

typedef struct connection {
	CK_LIST_ENTRY(connection) link;
	database_t *database;
	struct bufferevent *stream;
	char workspace[VALUE_MAX];
	char state;
	int read_only;
	write_t writes[WRITES_MAX];
	int write_count;
	char prepared[16][VALUE_MAX]; /* names */
	int writes_prepared[16];
	int prepared_count;
} connection_t;

typedef struct handler {
	const char *word;
	void (*run)(connection_t *connection, const char *id, char *rest);
} handler_t;

static database_t databases[DATABASES];
static int database_count;
static commit_t commits[LOG_MAX]; /* of all databases, also those rolled back */
static uint64_t commit_count;

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void take_line(connection_t *connection, char *line);
static void do_read(connection_t *connection, const char *id, char *rest);
static void do_write(connection_t *connection, const char *id, char *rest);
static void do_begin(connection_t *connection, const char *id, char *rest);
static void do_commit(connection_t *connection, const char *id, char *rest);
static void do_rollback(connection_t *connection, const char *id, char *rest);
static void do_set(connection_t *connection, const char *id, char *rest);
static void do_prepare(connection_t *connection, const char *id, char *rest);
static void do_execute(connection_t *connection, const char *id, char *rest);
static void do_reset(connection_t *connection, const char *id, char *rest);
static void do_status(connection_t *connection, const char *id, char *rest);
static void do_stepdown(connection_t *connection, const char *id, char *rest);
static void complete(connection_t *connection, const char *id, const char *row);
static void fail(connection_t *connection, const char *code);
static void ready(connection_t *connection);
static void commit(connection_t *connection);
static void replicate(database_t *database);
static database_t *leader(void);
static void follow(database_t *database);
static uint64_t position(database_t *database);
static database_t *database_of(const char *id);
static void register_database(const database_t *database);
static void close_all(database_t *database);
static uint64_t now_ms(void);

static const handler_t handlers[] = {
	{ "READ", do_read },	     { "WRITE", do_write },
	{ "BEGIN", do_begin },	     { "COMMIT", do_commit },
	{ "ROLLBACK", do_rollback }, { "SET", do_set },
	{ "PREPARE", do_prepare },   { "EXECUTE", do_execute },
	{ "RESET", do_reset },	     { "STATUS", do_status },
	{ "STEPDOWN", do_stepdown },
};

int line_database_start(struct event_base *base, const char *host, int port,
			int known_port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	database_t *database = &databases[database_count];

	snprintf(database->id, sizeof(database->id), "i-db%d",
		 database_count + 1);
	snprintf(database->host, sizeof(database->host), "%s", host);
	database->port = known_port;
	database->log = calloc(LOG_MAX, sizeof(log_entry_t));
	database->primary = !database_count;
	database->term = 1;
	database->lag_ms = 20;
	CK_LIST_INIT(&database->connections);
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &address.sin_addr);
	database->listener = evconnlistener_new_bind(
		base, on_accept, database,
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
	database_t *database = database_of(id);
	uint64_t newest = 0;

	if (!database || database->down)
		return -1;
	if (database == leader())
		return 0;
	replicate(database);
	for (int i = 0; i < database_count; i++) {
		if (databases[i].term > newest)
			newest = databases[i].term;
		/* It goes on until it is told, or reaches the new one. */
		if (databases[i].primary && !databases[i].replaced_ms)
			databases[i].replaced_ms = now_ms();
	}
	database->primary = 1;
	database->replaced_ms = 0;
	database->term = newest + 1;
	register_database(database);
	return 0;
}

int line_database_fault(const char *id, const char *name, int value)
{
	database_t *database = database_of(id);

	if (!database)
		return -1;
	if (!strcmp(name, "lag_ms")) {
		database->lag_ms = value;
	} else if (!strcmp(name, "lose")) {
		database->lose = value;
	} else if (!strcmp(name, "down")) {
		/* What was received until then is there. */
		for (int i = 0; i < database_count; i++)
			replicate(&databases[i]);
		database->down = value;
		if (value) {
			evconnlistener_disable(database->listener);
			close_all(database);
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
			    SERVICE, "address", address, "zone", "d1",
			    "configVersion", "v1", "slots", 5, "state", "ready",
			    "warmupLeftMs", 0, "dbRole",
			    database->primary ? "primary" : "replica",
			    "sequence", 1));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	connection_t *connection = calloc(1, sizeof(*connection));
	(void)address;
	(void)length;

	if (!connection)
		return;
	connection->database = database;
	connection->state = 'I';
	connection->stream = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->stream, on_read, NULL, on_event,
			  connection);
	bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
	CK_LIST_INSERT_HEAD(&database->connections, connection, link);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	connection_t *connection = arg;
	bool too_long;
	size_t length;
	char *line;

	while ((line = kl_line_read(bufferevent_get_input(stream), &length,
				    &too_long))) {
		database_t *database = connection->database;
		int lost = database->lose && !strncmp(line, "QUERY ", 6) &&
			   line[6] != '-';

		take_line(connection, line);
		free(line);
		if (!lost)
			continue;
		/* It ran, and nobody hears of it. */
		database->lose--;
		CK_LIST_REMOVE(connection, link);
		bufferevent_free(stream);
		free(connection);
		return;
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	connection_t *connection = arg;
	(void)what;

	CK_LIST_REMOVE(connection, link);
	bufferevent_free(stream);
	free(connection);
}

static void close_all(database_t *database)
{
	connection_t *connection, *next;

	CK_LIST_FOREACH_SAFE(connection, &database->connections, link, next)
		on_event(connection->stream, 0, connection);
}

static void take_line(connection_t *connection, char *line)
{
	char *rest = line;
	const char *word = kl_line_next_word(&rest);
	const char *id;

	if (!strcmp(word, "STARTUP")) {
		const char *service = kl_line_next_word(&rest);
		const char *workspace = kl_line_next_word(&rest);
		const char *expected = kl_line_next_word(&rest);

		follow(connection->database);
		snprintf(connection->workspace, VALUE_MAX, "%s", workspace);
		if (strcmp(service, SERVICE) ||
		    (*expected && strcmp(expected, connection->database->id)))
			fail(connection, "MISROUTED");
		else
			ready(connection);
		return;
	}
	follow(connection->database);
	id = kl_line_next_word(&rest);
	word = kl_line_next_word(&rest);
	if (!strcmp(word, "SINCE")) {
		kl_position_t since =
			kl_line_parse_position(kl_line_next_word(&rest));

		if (since.term > connection->database->term ||
		    since.number > position(connection->database)) {
			fail(connection, "LAGGING");
			return;
		}
		word = kl_line_next_word(&rest);
	}
	if (connection->state == 'E' && strcmp(word, "ROLLBACK")) {
		fail(connection, "MALFORMED");
		return;
	}
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++) {
		if (strcmp(handlers[i].word, word))
			continue;
		handlers[i].run(connection, id, rest);
		return;
	}
	fail(connection, "MALFORMED");
}

static void do_read(connection_t *connection, const char *id, char *rest)
{
	uint64_t end = position(connection->database);
	const log_entry_t *log = connection->database->log;
	const char *item = kl_line_next_word(&rest);
	const char *found = "none";

	for (uint64_t n = 1; n <= end; n++)
		for (int i = 0; i < log[n].commit->count; i++)
			if (!strcmp(log[n].commit->writes[i].item, item))
				found = log[n].commit->writes[i].data;
	for (int i = 0; i < connection->write_count; i++)
		if (!strcmp(connection->writes[i].item, item))
			found = connection->writes[i].data;
	complete(connection, id, found);
}

static void do_write(connection_t *connection, const char *id, char *rest)
{
	write_t *entry = &connection->writes[connection->write_count];

	if (!connection->database->primary || connection->read_only) {
		fail(connection, "READONLY");
		return;
	}
	snprintf(entry->item, VALUE_MAX, "%s", kl_line_next_word(&rest));
	snprintf(entry->data, VALUE_MAX, "%s", kl_line_next_word(&rest));
	if (connection->write_count < WRITES_MAX - 1)
		connection->write_count++;
	if (connection->state == 'I')
		commit(connection);
	complete(connection, id, NULL);
}

static void do_begin(connection_t *connection, const char *id, char *rest)
{
	connection->read_only = !strcmp(kl_line_next_word(&rest), "READ");
	if (!connection->read_only && !connection->database->primary) {
		fail(connection, "READONLY");
		return;
	}
	connection->state = 'T';
	complete(connection, id, NULL);
}

static void do_commit(connection_t *connection, const char *id, char *rest)
{
	(void)rest;
	if (connection->write_count && !connection->database->primary) {
		fail(connection, "READONLY");
		return;
	}
	commit(connection);
	connection->state = 'I';
	connection->read_only = 0;
	complete(connection, id, NULL);
}

static void do_rollback(connection_t *connection, const char *id, char *rest)
{
	(void)rest;
	connection->write_count = 0;
	connection->state = 'I';
	connection->read_only = 0;
	complete(connection, id, NULL);
}

static void do_set(connection_t *connection, const char *id, char *rest)
{
	(void)rest;
	complete(connection, id, NULL);
}

static void do_prepare(connection_t *connection, const char *id, char *rest)
{
	int n = connection->prepared_count++ % 16;

	snprintf(connection->prepared[n], VALUE_MAX, "%s",
		 kl_line_next_word(&rest));
	connection->writes_prepared[n] =
		!strcmp(kl_line_next_word(&rest), "WRITE");
	complete(connection, id, NULL);
}

static void do_execute(connection_t *connection, const char *id, char *rest)
{
	const char *name = kl_line_next_word(&rest);

	for (int i = 0; i < 16; i++) {
		if (strcmp(connection->prepared[i], name) || !*name)
			continue;
		if (connection->writes_prepared[i])
			do_write(connection, id, rest);
		else
			do_read(connection, id, rest);
		return;
	}
	fail(connection, "NOSTMT");
}

static void do_reset(connection_t *connection, const char *id, char *rest)
{
	(void)rest;
	memset(connection->prepared, 0, sizeof(connection->prepared));
	complete(connection, id, NULL);
}

static void do_status(connection_t *connection, const char *id, char *rest)
{
	database_t *database = connection->database;
	char row[128];
	(void)rest;

	snprintf(row, sizeof(row),
		 "%s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 %d 0 0",
		 database->primary ? "primary" : "replica", database->term,
		 database->term, position(database), database->lag_ms);
	complete(connection, id, row);
}

static void do_stepdown(connection_t *connection, const char *id, char *rest)
{
	database_t *database = connection->database;
	uint64_t term = strtoull(kl_line_next_word(&rest), NULL, 10);

	if (database->primary && database->term < term) {
		database->primary = 0;
		replicate(database);
	}
	do_status(connection, id, rest);
}

static void commit(connection_t *connection)
{
	database_t *database = connection->database;
	commit_t *entry;

	if (!connection->write_count || commit_count + 1 >= LOG_MAX)
		return;
	entry = &commits[++commit_count];
	entry->at_ms = now_ms();
	entry->term = database->term;
	entry->replaced = database->replaced_ms != 0;
	for (int i = 0; i < connection->write_count && i < 4; i++)
		entry->writes[entry->count++] = connection->writes[i];
	database->log[++database->count].commit = entry;
	connection->write_count = 0;
}

static void complete(connection_t *connection, const char *id, const char *row)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (row)
		evbuffer_add_printf(output, "ROW %s\r\n", row);
	evbuffer_add_printf(output, "COMPLETE %s.%s\r\n",
			    connection->database->id, id);
	ready(connection);
}

static void fail(connection_t *connection, const char *code)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "ERROR %s %s\r\n", code, connection->database->id);
	if (connection->state == 'T')
		connection->state = 'E';
	ready(connection);
}

static void ready(connection_t *connection)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
			    connection->state, connection->database->term,
			    position(connection->database));
}

/* The one that leads the newest term. */
static database_t *leader(void)
{
	database_t *newest = NULL;

	for (int i = 0; i < database_count; i++)
		if (databases[i].primary &&
		    (!newest || databases[i].term > newest->term))
			newest = &databases[i];
	return newest;
}

/* A replaced primary hears of it a while later, unless it is cut off. */
static void follow(database_t *database)
{
	if (!database->replaced_ms ||
	    now_ms() - database->replaced_ms < REPLACED_MS)
		return;
	database->primary = 0;
	database->replaced_ms = 0;
	register_database(database);
}

/* A replica has of the leader's log what is older than its lag. */
static void replicate(database_t *database)
{
	const database_t *from = leader();
	uint64_t same = 0;

	if (!from || database->primary || from == database || from->down)
		return;
	while (same < database->count && same < from->count &&
	       database->log[same + 1].commit == from->log[same + 1].commit)
		same++;
	/* What the leader never had is rolled back. */
	if (database->term < from->term)
		database->count = same;
	database->term = from->term;
	while (database->count < from->count &&
	       from->log[database->count + 1].commit->at_ms +
			       (uint64_t)database->lag_ms <=
		       now_ms()) {
		database->log[database->count + 1] =
			from->log[database->count + 1];
		database->count++;
	}
}

static uint64_t position(database_t *database)
{
	replicate(database);
	return database->count;
}

void line_database_log(struct evbuffer *out)
{
	const database_t *from = leader();

	for (uint64_t n = 1; n <= commit_count; n++) {
		const commit_t *entry = &commits[n];
		int kept = 0;

		for (uint64_t i = 1; from && i <= from->count; i++)
			kept |= from->log[i].commit == entry;
		for (int i = 0; i < entry->count; i++)
			evbuffer_add_printf(
				out, "%s %s %s %s\n", entry->writes[i].item,
				entry->writes[i].data, kept ? "kept" : "lost",
				entry->replaced ? "replaced" : "leading");
	}
}

static database_t *database_of(const char *id)
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
