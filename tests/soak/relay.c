/*
 * Relays on the loopback that delay or reset connections, hold back replies, or
 * drop all data.
 */
#include <arpa/inet.h>
#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/soak/soak.h"

#define DELAY_MS 120 /* by which RELAY_DELAY forwards data later */

/* A connection: side 0 to the program that connected, side 1 to the target. */
typedef struct connection {
	CK_LIST_ENTRY(connection) link;
	relay_t *relay;
	struct bufferevent *sides[2];
	struct event *delay_timer; /* forwards what RELAY_DELAY held back */
	bool blackholed;	   /* drop all further data */
} connection_t;

struct relay {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_in target;
	relay_fault_t fault;
	CK_LIST_HEAD(, connection) connections;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *from, void *arg);
static void on_delay_timer(evutil_socket_t fd, short events, void *arg);
static void on_event(struct bufferevent *from, short events, void *arg);
static void forward(connection_t *connection, int side);
static void connection_free(connection_t *connection, bool reset);

relay_t *relay_new(struct event_base *base, const char *host, int port,
		   int target_port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	relay_t *relay = calloc(1, sizeof(*relay));

	if (!relay)
		return NULL;
	relay->base = base;
	CK_LIST_INIT(&relay->connections);
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &address.sin_addr);
	relay->target = address;
	relay->target.sin_port = htons((uint16_t)target_port);
	relay->listener = evconnlistener_new_bind(
		base, on_accept, relay,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		128, (struct sockaddr *)&address, sizeof(address));
	if (relay->listener)
		return relay;
	free(relay);
	return NULL;
}

void relay_set_fault(relay_t *relay, relay_fault_t fault)
{
	connection_t *connection, *next;

	relay->fault = fault == RELAY_RESET || fault == RELAY_BLACKHOLE
			       ? RELAY_FORWARD
			       : fault;
	CK_LIST_FOREACH_SAFE(connection, &relay->connections, link, next) {
		if (fault == RELAY_RESET || fault == RELAY_REFUSE) {
			connection_free(connection, true);
			continue;
		}
		connection->blackholed |= fault == RELAY_BLACKHOLE;
		forward(connection, 0);
		forward(connection, 1);
	}
}

void relay_free(relay_t *relay)
{
	connection_t *connection, *next;

	if (!relay)
		return;
	CK_LIST_FOREACH_SAFE(connection, &relay->connections, link, next)
		connection_free(connection, false);
	evconnlistener_free(relay->listener);
	free(relay);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	connection_t *connection = calloc(1, sizeof(*connection));
	relay_t *relay = arg;
	(void)listener;
	(void)address;
	(void)length;

	if (!connection || relay->fault == RELAY_REFUSE) {
		free(connection);
		evutil_closesocket(fd);
		return;
	}
	connection->relay = relay;
	connection->delay_timer =
		evtimer_new(relay->base, on_delay_timer, connection);
	connection->sides[0] = bufferevent_socket_new(
		relay->base, fd,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	connection->sides[1] = bufferevent_socket_new(
		relay->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	CK_LIST_INSERT_HEAD(&relay->connections, connection, link);
	for (int i = 0; i < 2; i++)
		bufferevent_setcb(connection->sides[i], on_read, NULL, on_event,
				  connection);
	if (bufferevent_socket_connect(connection->sides[1],
				       (struct sockaddr *)&relay->target,
				       sizeof(relay->target))) {
		connection_free(connection, true);
		return;
	}
	for (int i = 0; i < 2; i++)
		bufferevent_enable(connection->sides[i], EV_READ | EV_WRITE);
}

static void on_read(struct bufferevent *from, void *arg)
{
	static const struct timeval delay = { 0, DELAY_MS * 1000 };
	connection_t *connection = arg;

	if (connection->relay->fault != RELAY_DELAY)
		forward(connection, from == connection->sides[1]);
	else if (!evtimer_pending(connection->delay_timer, NULL))
		evtimer_add(connection->delay_timer, &delay);
}

static void on_delay_timer(evutil_socket_t fd, short events, void *arg)
{
	connection_t *connection = arg;
	(void)fd;
	(void)events;

	forward(connection, 0);
	forward(connection, 1);
}

/* Forwards the input of one side to the other, unless a fault forbids it. */
static void forward(connection_t *connection, int side)
{
	struct evbuffer *input = bufferevent_get_input(connection->sides[side]);

	if (connection->blackholed)
		evbuffer_drain(input, evbuffer_get_length(input));
	else if (connection->relay->fault != RELAY_HOLD_REPLIES || side == 0)
		bufferevent_write_buffer(connection->sides[!side], input);
}

static void on_event(struct bufferevent *from, short events, void *arg)
{
	connection_t *connection = arg;

	if (events & BEV_EVENT_CONNECTED)
		return;
	/* The other side of a blackholed connection must not see its end. */
	if (connection->blackholed) {
		bufferevent_disable(from, EV_READ | EV_WRITE);
		return;
	}
	forward(connection, from == connection->sides[1]);
	bufferevent_flush(connection->sides[from == connection->sides[0]],
			  EV_WRITE, BEV_FINISHED);
	connection_free(connection, events & BEV_EVENT_ERROR);
}

static void connection_free(connection_t *connection, bool reset)
{
	static const struct linger reset_on_close = { 1, 0 };

	CK_LIST_REMOVE(connection, link);
	event_free(connection->delay_timer);
	for (int i = 0; i < 2; i++) {
		evutil_socket_t fd = bufferevent_getfd(connection->sides[i]);
		struct evbuffer *out =
			bufferevent_get_output(connection->sides[i]);

		/* Send the last bytes before an orderly close. */
		if (!reset && fd >= 0 && evbuffer_get_length(out))
			evbuffer_write(out, fd);
		if (reset && fd >= 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
				   sizeof(reset_on_close));
		bufferevent_free(connection->sides[i]);
	}
	free(connection);
}
