/* Connections of the database stand-in. */
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "front/pg_codec.h"
#include "standin/database.h"

typedef struct peer {
	CK_LIST_ENTRY(peer) link;
	CK_STAILQ_ENTRY(peer) queued;
	database_t *database;
	struct bufferevent *socket;
	struct event *timer;
	transaction_t transaction;
	bool started;
	bool waiting; /* for a slot, its time in it, or a late answer */
	bool holds_slot;
	bool is_queued;
	bool silent;
	bool dead; /* freed when nothing works on it any more */
	bool extended;
	char *text; /* to run */
	char *prepared;
} peer_t;

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *socket, void *arg);
static void on_event(struct bufferevent *socket, short what, void *arg);
static void on_timer(evutil_socket_t fd, short what, void *arg);
static void step(peer_t *peer);
static bool take_startup(peer_t *peer);
static void take_message(peer_t *peer, kl_pg_message_t *message);
static void bind_values(peer_t *peer, kl_pg_message_t *message);
static void want_slot(peer_t *peer);
static void run(peer_t *peer);
static void answer(peer_t *peer, const outcome_t *outcome);
static void give_slot(peer_t *peer);
static void wait_us(peer_t *peer, uint64_t us);
static void peer_drop(peer_t *peer);
static void peer_free(peer_t *peer);
static int rows_columns(const void *rows);
static int rows_rows(const void *rows);
static const char *rows_name(const void *rows, int column);
static uint32_t rows_type(const void *rows, int column);
static int rows_format(const void *rows, int column);
static const char *rows_value(const void *rows, int row, int column,
			      size_t *length);

static const kl_rows_ops_t rows_ops = { rows_columns, rows_rows,   rows_name,
					rows_type,    rows_format, rows_value };

int standin_listen(database_t *database, const char *host)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons(database->port);
	inet_pton(AF_INET, host, &address.sin_addr);
	return evconnlistener_new_bind(
		       database->group->base, on_accept, database,
		       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
		       (struct sockaddr *)&address, sizeof(address))
		       ? 0
		       : -1;
}

void standin_cut(database_t *database)
{
	peer_t *peer;

	while ((peer = CK_LIST_FIRST(&database->peers)))
		peer_free(peer);
}

void standin_thaw(database_t *database)
{
	peer_t *peer, *next;

	CK_LIST_FOREACH_SAFE(peer, &database->peers, link, next)
		if (!peer->waiting)
			step(peer);
}

void standin_silence(database_t *database)
{
	peer_t *peer;

	CK_LIST_FOREACH(peer, &database->peers, link)
		peer->silent = true;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	database_t *database = arg;
	peer_t *peer;
	(void)listener;
	(void)address;
	(void)length;

	if (database->faults.cut) {
		evutil_closesocket(fd);
		return;
	}
	peer = calloc(1, sizeof(*peer));
	peer->database = database;
	peer->transaction.state = 'I';
	peer->transaction.changes = g_ptr_array_new_with_free_func(g_free);
	peer->socket = bufferevent_socket_new(database->group->base, fd,
					      BEV_OPT_CLOSE_ON_FREE);
	peer->timer = evtimer_new(database->group->base, on_timer, peer);
	CK_LIST_INSERT_HEAD(&database->peers, peer, link);
	bufferevent_setcb(peer->socket, on_read, NULL, on_event, peer);
	bufferevent_enable(peer->socket, EV_READ | EV_WRITE);
}

static void on_read(struct bufferevent *socket, void *arg)
{
	peer_t *peer = arg;
	(void)socket;

	if (!peer->waiting)
		step(peer);
}

static void on_event(struct bufferevent *socket, short what, void *arg)
{
	(void)socket;
	(void)what;
	peer_free(arg);
}

static void step(peer_t *peer)
{
	struct evbuffer *in = bufferevent_get_input(peer->socket);
	database_t *database = peer->database;
	kl_pg_message_t message;

	while (!peer->waiting && !peer->silent && !database->faults.frozen) {
		if (!peer->started) {
			if (!take_startup(peer))
				return;
			continue;
		}
		if (kl_pg_read_message(in, false, &message) != 1)
			return;
		if (database->group->capture)
			fwrite(message.payload, 1, message.length,
			       database->group->capture);
		if (message.type == 'X') {
			kl_pg_message_free(&message);
			peer_drop(peer);
			return;
		}
		take_message(peer, &message);
		kl_pg_message_free(&message);
	}
}

static bool take_startup(peer_t *peer)
{
	struct evbuffer *in = bufferevent_get_input(peer->socket);
	struct evbuffer *out = bufferevent_get_output(peer->socket);
	group_t *group = peer->database->group;
	kl_pg_message_t message;
	uint32_t version;

	if (kl_pg_read_message(in, true, &message) != 1)
		return false;
	if (group->capture)
		fwrite(message.payload, 1, message.length, group->capture);
	version = kl_pg_read_int32(&message);
	kl_pg_message_free(&message);
	if (version == KL_PG_SSL_REQUEST || version == KL_PG_GSSENC_REQUEST) {
		evbuffer_add(out, "N", 1);
		return true;
	}
	peer->started = true;
	wait_us(peer, (uint64_t)group->connect_ms * 1000);
	return true;
}

static void take_message(peer_t *peer, kl_pg_message_t *message)
{
	struct evbuffer *out = bufferevent_get_output(peer->socket);

	switch (message->type) {
	case 'Q':
		g_free(peer->text);
		peer->text = g_strdup(kl_pg_read_string(message));
		peer->extended = false;
		want_slot(peer);
		break;
	case 'P':
		kl_pg_read_string(message);
		g_free(peer->prepared);
		peer->prepared = g_strdup(kl_pg_read_string(message));
		kl_pg_put_empty(out, '1');
		break;
	case 'B':
		bind_values(peer, message);
		kl_pg_put_empty(out, '2');
		break;
	case 'S':
		kl_pg_put_ready(out, peer->transaction.state);
		break;
	case 'E':
		peer->extended = true;
		want_slot(peer);
		break;
	default:
		break;
	}
}

/* Puts text values in the place of $1, $2, ... */
static void bind_values(peer_t *peer, kl_pg_message_t *message)
{
	GString *text = g_string_new(peer->prepared);
	int formats, count;

	kl_pg_read_string(message);
	kl_pg_read_string(message);
	formats = kl_pg_read_int16(message);
	for (int i = 0; i < formats; i++)
		kl_pg_read_int16(message);
	count = kl_pg_read_int16(message);
	for (int i = 0; i < count; i++) {
		uint32_t length = kl_pg_read_int32(message);
		const unsigned char *bytes = kl_pg_read_bytes(message, length);
		char mark[16];
		char *value;

		if (!bytes)
			break;
		snprintf(mark, sizeof(mark), "$%d", i + 1);
		value = g_strdup_printf("'%.*s'", (int)length,
					(const char *)bytes);
		g_string_replace(text, mark, value, 0);
		g_free(value);
	}
	g_free(peer->text);
	peer->text = g_string_free(text, FALSE);
}

static void want_slot(peer_t *peer)
{
	database_t *database = peer->database;
	group_t *group = database->group;

	if (standin_is_control(peer->text) || !group->exec_us) {
		run(peer);
		return;
	}
	if (database->running >= (uint64_t)group->slots) {
		peer->waiting = true;
		peer->is_queued = true;
		CK_STAILQ_INSERT_TAIL(&database->queue, peer, queued);
		return;
	}
	database->running++;
	peer->holds_slot = true;
	wait_us(peer, (uint64_t)group->exec_us);
}

static void wait_us(peer_t *peer, uint64_t us)
{
	struct timeval delay = { (time_t)(us / 1000000),
				 (suseconds_t)(us % 1000000) };

	peer->waiting = true;
	evtimer_add(peer->timer, &delay);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	peer_t *peer = arg;
	(void)fd;
	(void)what;

	if (peer->dead) {
		peer_free(peer);
		return;
	}
	peer->waiting = false;
	if (peer->text) {
		run(peer);
	} else {
		struct evbuffer *out = bufferevent_get_output(peer->socket);

		kl_pg_put_auth(out, 0);
		kl_pg_put_param_status(out, "server_version", "15.0");
		kl_pg_put_param_status(out, "client_encoding", "UTF8");
		kl_pg_put_backend_key(out, 1, 1);
		kl_pg_put_ready(out, 'I');
		step(peer);
	}
}

static void run(peer_t *peer)
{
	database_t *database = peer->database;
	faults_t *faults = &database->faults;
	bool write = standin_is_write(peer->text);
	outcome_t outcome;

	if (faults->frozen || peer->silent) {
		/* Held with its slot until the thaw; silent ones for good. */
		if (!peer->silent)
			wait_us(peer, 1000);
		return;
	}
	if (write && faults->die_before > 0) {
		faults->die_before--;
		peer_drop(peer);
		return;
	}
	if (faults->late_ms > 0 && !standin_is_control(peer->text)) {
		uint64_t late = (uint64_t)faults->late_ms * 1000;

		faults->late_ms = 0;
		wait_us(peer, late);
		return;
	}
	standin_execute(database, &peer->transaction, peer->text, &outcome);
	database->served++;
	if (write && faults->die_after > 0) {
		faults->die_after--;
		peer_drop(peer);
		return;
	}
	give_slot(peer);
	answer(peer, &outcome);
	step(peer);
}

static void answer(peer_t *peer, const outcome_t *outcome)
{
	struct evbuffer *out = bufferevent_get_output(peer->socket);

	g_free(peer->text);
	peer->text = NULL;
	if (outcome->sqlstate) {
		kl_pg_put_error(out, outcome->sqlstate, outcome->text);
	} else {
		if (outcome->has_rows) {
			kl_pg_put_row_desc(out, &rows_ops, outcome);
			kl_pg_put_data_rows(out, &rows_ops, outcome);
		} else if (peer->extended) {
			kl_pg_put_empty(out, 'n');
		}
		kl_pg_put_complete(out, outcome->tag);
	}
	if (!peer->extended)
		kl_pg_put_ready(out, peer->transaction.state);
}

static void give_slot(peer_t *peer)
{
	database_t *database = peer->database;
	peer_t *next;

	if (!peer->holds_slot)
		return;
	peer->holds_slot = false;
	database->running--;
	next = CK_STAILQ_FIRST(&database->queue);
	if (!next)
		return;
	CK_STAILQ_REMOVE_HEAD(&database->queue, queued);
	next->is_queued = false;
	next->holds_slot = true;
	database->running++;
	wait_us(next, (uint64_t)database->group->exec_us);
}

static void peer_drop(peer_t *peer)
{
	peer->dead = true;
	bufferevent_setcb(peer->socket, NULL, NULL, NULL, NULL);
	shutdown(bufferevent_getfd(peer->socket), SHUT_RDWR);
	wait_us(peer, 0);
}

static void peer_free(peer_t *peer)
{
	database_t *database = peer->database;

	if (peer->is_queued)
		CK_STAILQ_REMOVE(&database->queue, peer, peer, queued);
	give_slot(peer);
	CK_LIST_REMOVE(peer, link);
	bufferevent_free(peer->socket);
	event_free(peer->timer);
	g_ptr_array_free(peer->transaction.changes, TRUE);
	g_free(peer->text);
	g_free(peer->prepared);
	free(peer);
}

static int rows_columns(const void *rows)
{
	return ((const outcome_t *)rows)->columns;
}

static int rows_rows(const void *rows)
{
	return ((const outcome_t *)rows)->rows;
}

static const char *rows_name(const void *rows, int column)
{
	return ((const outcome_t *)rows)->names[column];
}

static uint32_t rows_type(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 25; /* text */
}

static int rows_format(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 0;
}

static const char *rows_value(const void *rows, int row, int column,
			      size_t *length)
{
	const outcome_t *outcome = rows;
	(void)row;

	*length = strlen(outcome->values[column]);
	return outcome->values[column];
}
