/*
 * Three databases of one service: a primary and two replicas, with the line
 * protocol.  Reads, writes and commits take a slot for their working time.  A
 * replica holds a commit 20 ms after the primary.
 */
#include <arpa/inet.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define COMMITS_MAX 200000
#define REPLICA_LAG_S 0.02
#define QUEUE_MAX 40

typedef struct commit {
	char id[64];
	int database;
	double at_s;
} commit_t;

typedef struct db_conn {
	struct db_conn *next;
	database_t *database;
	struct bufferevent *stream;
	int started, busy; /* a statement runs or waits for a slot */
	char state;
	int wrote;
	char id[64], text[2048];
	struct event *timer;
	struct db_conn *queue_next;
	int queued;
	struct {
		char name[32];
		int writes;
	} prepared[16];
	int prepare_count;
} db_conn_t;

database_t databases[DATABASES];
static db_conn_t *queues[DATABASES];
static int queue_lengths[DATABASES];
static commit_t *commits;
static uint64_t commit_count;

static void on_read(struct bufferevent *stream, void *arg);
static void start_next(database_t *database);

static int number(const database_t *database)
{
	return (int)(database - databases);
}

/* The end of the log that a database holds. */
static uint64_t position(const database_t *database)
{
	double now = now_s();
	uint64_t n = commit_count;

	if (database->primary)
		return n;
	while (n && commits[n].at_s + REPLICA_LAG_S > now)
		n--;
	return n;
}

static void ready(db_conn_t *conn)
{
	evbuffer_add_printf(bufferevent_get_output(conn->stream),
			    "READY %c %llu.%llu\r\n", conn->state,
			    (unsigned long long)conn->database->term,
			    (unsigned long long)position(conn->database));
}

static void complete(db_conn_t *conn, const char *row)
{
	struct evbuffer *out = bufferevent_get_output(conn->stream);

	if (row)
		evbuffer_add_printf(out, "ROW %s\r\n", row);
	if (strcmp(conn->id, "-"))
		evbuffer_add_printf(out, "COMPLETE %s.%s\r\n",
				    conn->database->id, conn->id);
	else
		evbuffer_add_printf(out, "COMPLETE -\r\n");
	ready(conn);
}

static void fail(db_conn_t *conn, const char *code)
{
	evbuffer_add_printf(bufferevent_get_output(conn->stream),
			    "ERROR %s %s\r\n", code, conn->database->id);
	if (conn->state == 'T')
		conn->state = 'E';
	ready(conn);
}

static void conn_free(db_conn_t *conn)
{
	database_t *database = conn->database;
	db_conn_t **at;

	for (at = (db_conn_t **)&database->conns; *at; at = &(*at)->next) {
		if (*at == conn) {
			*at = conn->next;
			break;
		}
	}
	if (conn->queued) {
		for (at = &queues[number(database)]; *at;
		     at = &(*at)->queue_next) {
			if (*at == conn) {
				*at = conn->queue_next;
				queue_lengths[number(database)]--;
				break;
			}
		}
	} else if (conn->busy) {
		database->running--;
	}
	bufferevent_free(conn->stream);
	event_free(conn->timer);
	free(conn);
	start_next(database);
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		conn_free(arg);
}

static void commit(db_conn_t *conn)
{
	commit_t *c = &commits[++commit_count];

	snprintf(c->id, sizeof(c->id), "%s", conn->id);
	c->database = number(conn->database);
	c->at_s = now_s();
}

/* Runs a read, write or commit. */
static void execute(db_conn_t *conn)
{
	database_t *database = conn->database;
	char word[32] = "";
	request_t *request = request_find(conn->id);
	int writes;

	if (request && !request->runs++)
		request->run_s = now_s();
	sscanf(conn->text, "%31s", word);
	if (!strcmp(word, "EXECUTE")) {
		char name[32] = "";

		sscanf(conn->text, "%*s %31s", name);
		strcpy(word, "");
		for (int i = 0; i < conn->prepare_count && i < 16; i++)
			if (!strcmp(conn->prepared[i].name, name))
				strcpy(word, conn->prepared[i].writes ? "WRITE"
								      : "READ");
		if (!*word) {
			fail(conn, "NOSTMT");
			return;
		}
	}
	writes = !strcmp(word, "WRITE");
	if (writes && !database->primary) {
		fail(conn, "READONLY");
		return;
	}
	if (writes)
		conn->wrote = 1;
	if (conn->wrote &&
	    ((writes && conn->state == 'I') || !strcmp(word, "COMMIT"))) {
		commit(conn);
		conn->wrote = 0;
	}
	if (!strcmp(word, "COMMIT"))
		conn->state = 'I';
	complete(conn, !strcmp(word, "READ") ? "qhzkwmtrbelo" : NULL);
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	db_conn_t *conn = arg;
	database_t *database = conn->database;
	(void)fd;
	(void)what;

	conn->busy = 0;
	database->running--;
	execute(conn);
	start_next(database);
	on_read(conn->stream, conn);
}

static void start(db_conn_t *conn)
{
	double s = conn->database->work_ms / 1e3;
	struct timeval delay = { (int)s, (int)((s - (int)s) * 1e6) };

	conn->queued = 0;
	conn->database->running++;
	evtimer_add(conn->timer, &delay);
}

static void start_next(database_t *database)
{
	db_conn_t **queue = &queues[number(database)];

	while (*queue && database->running < database->slots) {
		db_conn_t *conn = *queue;

		*queue = conn->queue_next;
		queue_lengths[number(database)]--;
		start(conn);
	}
}

static void enqueue(db_conn_t *conn)
{
	database_t *database = conn->database;
	db_conn_t **at = &queues[number(database)];

	if (queue_lengths[number(database)] >= QUEUE_MAX) {
		fail(conn, "BUSY");
		return;
	}
	conn->busy = conn->queued = 1;
	conn->queue_next = NULL;
	while (*at)
		at = &(*at)->queue_next;
	*at = conn;
	queue_lengths[number(database)]++;
	start_next(database);
}

static void handle_query(db_conn_t *conn, char *rest)
{
	database_t *database = conn->database;
	char *text = strchr(rest, ' ');
	request_t *request;
	char word[32] = "";

	if (!text) {
		fail(conn, "MALFORMED");
		return;
	}
	*text++ = '\0';
	snprintf(conn->id, sizeof(conn->id), "%s", rest);
	request = request_find(conn->id);
	if (!strncmp(text, "SINCE ", 6)) {
		unsigned long long term = 0, n = 0;

		sscanf(text + 6, "%llu.%llu", &term, &n);
		if (term > database->term || n > position(database)) {
			fail(conn, "LAGGING");
			return;
		}
		text = strchr(text + 6, ' ');
		text = text ? text + 1 : "";
	}
	snprintf(conn->text, sizeof(conn->text), "%s", text);
	sscanf(text, "%31s", word);
	if (strcmp(conn->id, "-")) {
		database->statements++;
		database->last_statement_s = now_s();
		if (!request)
			note("UNSENT database %s got id '%s' text '%s', which "
			     "no client sent",
			     database->id, conn->id, text);
		else if (strcmp(request->text, text))
			note("CHANGED database %s got id %s with text '%s'",
			     database->id, conn->id, text);
		if (request && !request->arrived_s)
			request->arrived_s = now_s();
	}
	if (conn->state == 'E' && strcmp(word, "ROLLBACK")) {
		fail(conn, "MALFORMED");
		return;
	}
	if (!strcmp(word, "READ") || !strcmp(word, "WRITE") ||
	    !strcmp(word, "EXECUTE") || !strcmp(word, "COMMIT")) {
		enqueue(conn);
	} else if (!strcmp(word, "BEGIN")) {
		if (!database->primary && strcmp(text, "BEGIN READ")) {
			fail(conn, "READONLY");
			return;
		}
		conn->state = 'T';
		complete(conn, NULL);
	} else if (!strcmp(word, "ROLLBACK")) {
		conn->state = 'I';
		conn->wrote = 0;
		complete(conn, NULL);
	} else if (!strcmp(word, "PREPARE")) {
		char name[32] = "", kind[32] = "";

		sscanf(text, "%*s %31s %31s", name, kind);
		snprintf(conn->prepared[conn->prepare_count % 16].name, 32,
			 "%s", name);
		conn->prepared[conn->prepare_count++ % 16].writes =
			!strcmp(kind, "WRITE");
		complete(conn, NULL);
	} else if (!strcmp(word, "RESET")) {
		conn->prepare_count = 0;
		memset(conn->prepared, 0, sizeof(conn->prepared));
		complete(conn, NULL);
	} else if (!strcmp(word, "SET")) {
		complete(conn, NULL);
	} else if (!strcmp(word, "STATUS") || !strcmp(word, "STEPDOWN")) {
		char row[96];
		unsigned long long term = 0;

		sscanf(text, "%*s %llu", &term);
		if (*word == 'S' && word[3] == 'P' && database->primary &&
		    database->term < term) {
			database->primary = 0;
			database->term = term;
			database_register(database);
		}
		snprintf(row, sizeof(row), "%s %llu %llu.%llu 0 0 %d 0",
			 database->primary ? "primary" : "replica",
			 (unsigned long long)database->term,
			 (unsigned long long)database->term,
			 (unsigned long long)position(database),
			 database->running);
		complete(conn, row);
	} else {
		fail(conn, "MALFORMED");
	}
}

static void on_read(struct bufferevent *stream, void *arg)
{
	db_conn_t *conn = arg;
	char *line, *rest;

	while (!conn->busy &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		rest = strchr(line, ' ');
		rest = rest ? rest + 1 : line + strlen(line);
		if (!strncmp(line, "STARTUP ", 8)) {
			char service[32] = "", who[32] = "", id[32] = "";

			sscanf(rest, "%31s %31s %31s", service, who, id);
			if (strcmp(service, "stock-ledger") ||
			    (*id && strcmp(id, conn->database->id)))
				fail(conn, "MISROUTED");
			else
				ready(conn);
			conn->started = 1;
		} else if (!strncmp(line, "QUERY ", 6)) {
			handle_query(conn, rest);
		} else if (!strncmp(line, "TERMINATE", 9)) {
			free(line);
			conn_free(conn);
			return;
		} else {
			fail(conn, "MALFORMED");
		}
		free(line);
	}
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	db_conn_t *conn = calloc(1, sizeof(*conn));
	(void)listener;
	(void)address;
	(void)length;

	conn->database = database;
	conn->state = 'I';
	conn->stream = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->timer = evtimer_new(base, on_done, conn);
	conn->next = (db_conn_t *)database->conns;
	database->conns = (struct db_conn *)conn;
	bufferevent_setcb(conn->stream, on_read, NULL, on_event, conn);
	bufferevent_enable(conn->stream, EV_READ | EV_WRITE);
}

void database_register(database_t *database)
{
	static const char *const zones[] = { "cork-a", "cork-b", "limerick-a" };
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"stock-ledger\",\"address\":\"%s:%d\","
		 "\"zone\":\"%s\",\"configVersion\":\"v1\",\"slots\":%d,"
		 "\"state\":\"%s\",\"warmupLeftMs\":0,\"dbRole\":\"%s\","
		 "\"sequence\":%llu,\"born\":1}",
		 ip_address(2, number(database) + 1), database->port,
		 zones[number(database)], database->slots,
		 database->draining ? "draining" : "ready",
		 database->primary ? "primary" : "replica",
		 (unsigned long long)++database->sequence);
	store_put("servers", database->id, spec);
}

static void on_beat(void *arg)
{
	database_t *database = arg;

	if (!database->down)
		database_register(database);
	after(1.2, on_beat, arg);
}

void databases_start(void)
{
	commits = calloc(COMMITS_MAX, sizeof(*commits));
	for (int i = 0; i < DATABASES; i++) {
		database_t *database = &databases[i];
		struct sockaddr_in address = { .sin_family = AF_INET };
		socklen_t length = sizeof(address);
		char ip[24];

		snprintf(database->id, sizeof(database->id), "i-7f3a91c%d", i);
		snprintf(ip, sizeof(ip), "%s", ip_address(2, i + 1));
		database->primary = i == 0;
		database->term = 1;
		database->slots = 5;
		database->work_ms = 20;
		inet_pton(AF_INET, ip, &address.sin_addr);
		database->listener = evconnlistener_new_bind(
			base, on_accept, database, LEV_OPT_CLOSE_ON_FREE, 64,
			(struct sockaddr *)&address, sizeof(address));
		if (!database->listener)
			exit(2);
		getsockname(evconnlistener_get_fd(database->listener),
			    (struct sockaddr *)&address, &length);
		database->port = ntohs(address.sin_port);
		database_register(database);
		after(1.2, on_beat, database);
	}
}

static void lead(void *arg)
{
	database_t *database = arg;
	uint64_t newest = 0;

	if (database->down)
		return;
	for (int i = 0; i < DATABASES; i++) {
		if (databases[i].term > newest)
			newest = databases[i].term;
		if (databases[i].primary && &databases[i] != database) {
			databases[i].primary = 0;
			if (!databases[i].down)
				database_register(&databases[i]);
		}
	}
	database->primary = 1;
	for (int i = 0; i < DATABASES; i++)
		databases[i].term = newest + 1;
	note("database %s leads term %llu", database->id,
	     (unsigned long long)newest + 1);
	database_register(database);
}

int database_promote(const char *id)
{
	for (int i = 0; i < DATABASES; i++) {
		if (strcmp(databases[i].id, id))
			continue;
		if (databases[i].down)
			return 409;
		if (!databases[i].primary)
			after(0.3, lead, &databases[i]);
		return 200;
	}
	return 409;
}

void database_down(database_t *database, int down)
{
	database->down = down;
	if (down) {
		evconnlistener_disable(database->listener);
		while (database->conns)
			conn_free((db_conn_t *)database->conns);
	} else {
		evconnlistener_enable(database->listener);
		database_register(database);
	}
}
