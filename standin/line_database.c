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

#include "platform/line.h"
#include "standin/late_statements.h"
#include "standin/line_database.h"
#include "standin/store.h"

#define MAX_DATABASES 8
#define MAX_LOG_ENTRIES 65536
#define MAX_WORD_BYTES 64      /* of a key, value or name, with its NUL */
#define MAX_BUFFERED_WRITES 64 /* of one transaction */
#define MAX_COMMIT_WRITES 4    /* of one commit; further ones are dropped */
#define MAX_PREPARED 16	       /* prepared statements of one connection */
#define SERVICE_NAME "stand"

/*
 * A replaced primary accepts writes for this long after the promotion, unless
 * it receives STEPDOWN earlier.
 */
#define STEP_DOWN_DELAY_MS 1000

typedef struct write {
	char key[MAX_WORD_BYTES];
	char value[MAX_WORD_BYTES];
} write_t;

typedef struct commit {
	uint64_t committed_at_ms; /* CLOCK_MONOTONIC, milliseconds */
	uint64_t term;		  /* of the database at the commit */
	int by_replaced_primary;  /* another database was promoted before */
	int write_count;
	write_t writes[MAX_COMMIT_WRITES];
} commit_t;

typedef struct log_entry {
	const commit_t *commit;
} log_entry_t;

typedef struct database {
	char id[32];
	char host[48];
	char domain[32]; /* failure domain, "eN" for the N-th database */
	int port;
	int primary;
	int down;
	int lag_ms;	       /* replication delay, milliseconds */
	int responses_to_lose; /* next statements that get no response */
	uint64_t term;
	uint64_t replaced_at_ms; /* when another database was promoted while
				 this one was primary, or 0 */
	log_entry_t *log;	 /* entry 0 is unused */
	uint64_t log_length;	 /* index of the last entry, the position */
	struct evconnlistener *listener;
	CK_LIST_HEAD(, connection) connections;
} database_t;

typedef struct connection {
	CK_LIST_ENTRY(connection) link;
	database_t *database;
	struct bufferevent *stream;
	char workspace[MAX_WORD_BYTES];
	char state; /* 'I' idle, 'T' in a transaction, 'E' failed */
	int read_only;
	write_t writes[MAX_BUFFERED_WRITES];
	int write_count;
	char prepared_names[MAX_PREPARED][MAX_WORD_BYTES];
	int prepared_is_write[MAX_PREPARED];
	int prepare_count; /* PREPAREs so far; the oldest name is overwritten */
} connection_t;

/* A command and its handler; id is the statement's, for COMPLETE. */
typedef struct command_handler {
	const char *command;
	void (*handle)(connection_t *connection, const char *id,
		       char *arguments);
} command_handler_t;

static database_t databases[MAX_DATABASES];
static int database_count;
/* Commits of all databases, including those rolled back; 0 is unused. */
static commit_t commits[MAX_LOG_ENTRIES];
static uint64_t commit_count;

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void process_line(connection_t *connection, char *line);
static void handle_read(connection_t *connection, const char *id,
			char *arguments);
static void handle_write(connection_t *connection, const char *id,
			 char *arguments);
static void handle_begin(connection_t *connection, const char *id,
			 char *arguments);
static void handle_commit(connection_t *connection, const char *id,
			  char *arguments);
static void handle_rollback(connection_t *connection, const char *id,
			    char *arguments);
static void handle_set(connection_t *connection, const char *id,
		       char *arguments);
static void handle_prepare(connection_t *connection, const char *id,
			   char *arguments);
static void handle_execute(connection_t *connection, const char *id,
			   char *arguments);
static void handle_reset(connection_t *connection, const char *id,
			 char *arguments);
static void handle_status(connection_t *connection, const char *id,
			  char *arguments);
static void handle_stepdown(connection_t *connection, const char *id,
			    char *arguments);
static void send_complete(connection_t *connection, const char *id,
			  const char *row);
static void send_error(connection_t *connection, const char *code);
static void send_ready(connection_t *connection);
static void append_commit(connection_t *connection);
static void replicate(database_t *database);
static database_t *find_primary(void);
static void step_down_if_replaced(database_t *database);
static uint64_t current_position(database_t *database);
static database_t *find_database(const char *id);
static void register_database(const database_t *database);
static void close_connections(database_t *database);
static uint64_t now_ms(void);

static const command_handler_t handlers[] = {
	{ "READ", handle_read },	 { "WRITE", handle_write },
	{ "BEGIN", handle_begin },	 { "COMMIT", handle_commit },
	{ "ROLLBACK", handle_rollback }, { "SET", handle_set },
	{ "PREPARE", handle_prepare },	 { "EXECUTE", handle_execute },
	{ "RESET", handle_reset },	 { "STATUS", handle_status },
	{ "STEPDOWN", handle_stepdown },
};

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
			close_connections(database);
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
		/* Requests with the id "-" are the proxy's own. */
		int drop_response = database->responses_to_lose &&
				    !strncmp(line, "QUERY ", 6) &&
				    line[6] != '-';

		process_line(connection, line);
		free(line);
		if (!drop_response)
			continue;
		/* The statement ran; the client gets no response. */
		database->responses_to_lose--;
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

static void close_connections(database_t *database)
{
	connection_t *connection, *next;

	CK_LIST_FOREACH_SAFE(connection, &database->connections, link, next)
		on_event(connection->stream, 0, connection);
}

static void process_line(connection_t *connection, char *line)
{
	char *arguments = line;
	const char *command = kl_line_next_word(&arguments);
	const char *id;

	if (!strcmp(command, "STARTUP")) {
		const char *service = kl_line_next_word(&arguments);
		const char *workspace = kl_line_next_word(&arguments);
		const char *expected_id = kl_line_next_word(&arguments);

		step_down_if_replaced(connection->database);
		snprintf(connection->workspace, MAX_WORD_BYTES, "%s",
			 workspace);
		if (strcmp(service, SERVICE_NAME) ||
		    (*expected_id &&
		     strcmp(expected_id, connection->database->id)))
			send_error(connection, "MISROUTED");
		else
			send_ready(connection);
		return;
	}
	step_down_if_replaced(connection->database);
	id = kl_line_next_word(&arguments);
	late_statements_check(id, connection->database->id,
			      connection->database->domain, connection->state);
	command = kl_line_next_word(&arguments);
	if (!strcmp(command, "SINCE")) {
		kl_position_t required =
			kl_line_parse_position(kl_line_next_word(&arguments));

		if (required.term > connection->database->term ||
		    required.number > current_position(connection->database)) {
			send_error(connection, "LAGGING");
			return;
		}
		command = kl_line_next_word(&arguments);
	}
	if (connection->state == 'E' && strcmp(command, "ROLLBACK")) {
		send_error(connection, "MALFORMED");
		return;
	}
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++) {
		if (strcmp(handlers[i].command, command))
			continue;
		handlers[i].handle(connection, id, arguments);
		return;
	}
	send_error(connection, "MALFORMED");
}

static void handle_read(connection_t *connection, const char *id,
			char *arguments)
{
	uint64_t end = current_position(connection->database);
	const log_entry_t *log = connection->database->log;
	const char *key = kl_line_next_word(&arguments);
	const char *found = "none";

	for (uint64_t n = 1; n <= end; n++)
		for (int i = 0; i < log[n].commit->write_count; i++)
			if (!strcmp(log[n].commit->writes[i].key, key))
				found = log[n].commit->writes[i].value;
	for (int i = 0; i < connection->write_count; i++)
		if (!strcmp(connection->writes[i].key, key))
			found = connection->writes[i].value;
	send_complete(connection, id, found);
}

static void handle_write(connection_t *connection, const char *id,
			 char *arguments)
{
	write_t *entry = &connection->writes[connection->write_count];

	if (!connection->database->primary || connection->read_only) {
		send_error(connection, "READONLY");
		return;
	}
	snprintf(entry->key, MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	snprintf(entry->value, MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	if (connection->write_count < MAX_BUFFERED_WRITES - 1)
		connection->write_count++;
	if (connection->state == 'I')
		append_commit(connection);
	send_complete(connection, id, NULL);
}

static void handle_begin(connection_t *connection, const char *id,
			 char *arguments)
{
	connection->read_only = !strcmp(kl_line_next_word(&arguments), "READ");
	if (!connection->read_only && !connection->database->primary) {
		send_error(connection, "READONLY");
		return;
	}
	connection->state = 'T';
	send_complete(connection, id, NULL);
}

static void handle_commit(connection_t *connection, const char *id,
			  char *arguments)
{
	(void)arguments;
	if (connection->write_count && !connection->database->primary) {
		send_error(connection, "READONLY");
		return;
	}
	append_commit(connection);
	connection->state = 'I';
	connection->read_only = 0;
	send_complete(connection, id, NULL);
}

static void handle_rollback(connection_t *connection, const char *id,
			    char *arguments)
{
	(void)arguments;
	connection->write_count = 0;
	connection->state = 'I';
	connection->read_only = 0;
	send_complete(connection, id, NULL);
}

static void handle_set(connection_t *connection, const char *id,
		       char *arguments)
{
	(void)arguments;
	send_complete(connection, id, NULL);
}

static void handle_prepare(connection_t *connection, const char *id,
			   char *arguments)
{
	int n = connection->prepare_count++ % MAX_PREPARED;

	snprintf(connection->prepared_names[n], MAX_WORD_BYTES, "%s",
		 kl_line_next_word(&arguments));
	connection->prepared_is_write[n] =
		!strcmp(kl_line_next_word(&arguments), "WRITE");
	send_complete(connection, id, NULL);
}

static void handle_execute(connection_t *connection, const char *id,
			   char *arguments)
{
	const char *name = kl_line_next_word(&arguments);

	for (int i = 0; i < MAX_PREPARED; i++) {
		if (strcmp(connection->prepared_names[i], name) || !*name)
			continue;
		if (connection->prepared_is_write[i])
			handle_write(connection, id, arguments);
		else
			handle_read(connection, id, arguments);
		return;
	}
	send_error(connection, "NOSTMT");
}

static void handle_reset(connection_t *connection, const char *id,
			 char *arguments)
{
	(void)arguments;
	memset(connection->prepared_names, 0,
	       sizeof(connection->prepared_names));
	send_complete(connection, id, NULL);
}

static void handle_status(connection_t *connection, const char *id,
			  char *arguments)
{
	database_t *database = connection->database;
	char row[128];
	(void)arguments;

	snprintf(row, sizeof(row),
		 "%s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 %d 0 0",
		 database->primary ? "primary" : "replica", database->term,
		 database->term, current_position(database), database->lag_ms);
	send_complete(connection, id, row);
}

/* STEPDOWN TERM: a primary of a lower term becomes a replica. */
static void handle_stepdown(connection_t *connection, const char *id,
			    char *arguments)
{
	database_t *database = connection->database;
	uint64_t term = strtoull(kl_line_next_word(&arguments), NULL, 10);

	if (database->primary && database->term < term) {
		database->primary = 0;
		replicate(database);
	}
	handle_status(connection, id, arguments);
}

/* Commits the buffered writes. */
static void append_commit(connection_t *connection)
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

static void send_complete(connection_t *connection, const char *id,
			  const char *row)
{
	struct evbuffer *output = bufferevent_get_output(connection->stream);

	if (row)
		evbuffer_add_printf(output, "ROW %s\r\n", row);
	evbuffer_add_printf(output, "COMPLETE %s.%s\r\n",
			    connection->database->id, id);
	send_ready(connection);
}

static void send_error(connection_t *connection, const char *code)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "ERROR %s %s\r\n", code, connection->database->id);
	if (connection->state == 'T')
		connection->state = 'E';
	send_ready(connection);
}

static void send_ready(connection_t *connection)
{
	evbuffer_add_printf(bufferevent_get_output(connection->stream),
			    "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
			    connection->state, connection->database->term,
			    current_position(connection->database));
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
static void step_down_if_replaced(database_t *database)
{
	if (!database->replaced_at_ms ||
	    now_ms() - database->replaced_at_ms < STEP_DOWN_DELAY_MS)
		return;
	database->primary = 0;
	database->replaced_at_ms = 0;
	register_database(database);
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

static uint64_t current_position(database_t *database)
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
