/* Relays on the loopback that delay, reset, cut or silence connections. */
#include <arpa/inet.h>
#include <ck_queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/soak/soak.h"

#define DELAY_MS 120

/* One connection: the caller's side and the target's side. */
typedef struct pair {
	CK_LIST_ENTRY(pair) link;
	relay_t *relay;
	struct bufferevent *sides[2];
	struct event *late; /* moves what waits, while there is a delay */
	bool silent;
} pair_t;

struct relay {
	struct event_base *base;
	struct evconnlistener *listener;
	int target;
	relay_fault_t fault;
	CK_LIST_HEAD(, pair) pairs;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_read(struct bufferevent *from, void *arg);
static void on_late(evutil_socket_t fd, short what, void *arg);
static void on_event(struct bufferevent *from, short what, void *arg);
static void move(pair_t *pair, int side);
static void pair_free(pair_t *pair, bool reset);

relay_t *relay_new(struct event_base *base, int port, int target)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	relay_t *relay = calloc(1, sizeof(*relay));

	if (!relay)
		return NULL;
	relay->base = base;
	relay->target = target;
	CK_LIST_INIT(&relay->pairs);
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, SOAK_HOST, &address.sin_addr);
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

void relay_set(relay_t *relay, relay_fault_t fault)
{
	pair_t *pair, *next;

	relay->fault = fault == RELAY_RESET || fault == RELAY_SILENCE
			       ? RELAY_PASS
			       : fault;
	CK_LIST_FOREACH_SAFE(pair, &relay->pairs, link, next) {
		if (fault == RELAY_RESET) {
			pair_free(pair, true);
			continue;
		}
		pair->silent |= fault == RELAY_SILENCE;
		move(pair, 0);
		move(pair, 1);
	}
}

void relay_free(relay_t *relay)
{
	pair_t *pair, *next;

	if (!relay)
		return;
	CK_LIST_FOREACH_SAFE(pair, &relay->pairs, link, next)
		pair_free(pair, false);
	evconnlistener_free(relay->listener);
	free(relay);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	struct sockaddr_in target = { .sin_family = AF_INET };
	pair_t *pair = calloc(1, sizeof(*pair));
	relay_t *relay = arg;
	(void)listener;
	(void)address;
	(void)length;

	if (!pair) {
		evutil_closesocket(fd);
		return;
	}
	pair->relay = relay;
	pair->late = evtimer_new(relay->base, on_late, pair);
	pair->sides[0] = bufferevent_socket_new(
		relay->base, fd,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	pair->sides[1] = bufferevent_socket_new(
		relay->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	CK_LIST_INSERT_HEAD(&relay->pairs, pair, link);
	target.sin_port = htons((uint16_t)relay->target);
	inet_pton(AF_INET, SOAK_HOST, &target.sin_addr);
	for (int i = 0; i < 2; i++)
		bufferevent_setcb(pair->sides[i], on_read, NULL, on_event,
				  pair);
	if (bufferevent_socket_connect(pair->sides[1],
				       (struct sockaddr *)&target,
				       sizeof(target))) {
		pair_free(pair, true);
		return;
	}
	for (int i = 0; i < 2; i++)
		bufferevent_enable(pair->sides[i], EV_READ | EV_WRITE);
}

static void on_read(struct bufferevent *from, void *arg)
{
	static const struct timeval delay = { 0, DELAY_MS * 1000 };
	pair_t *pair = arg;

	if (pair->relay->fault != RELAY_DELAY)
		move(pair, from == pair->sides[1]);
	else if (!evtimer_pending(pair->late, NULL))
		evtimer_add(pair->late, &delay);
}

static void on_late(evutil_socket_t fd, short what, void *arg)
{
	pair_t *pair = arg;
	(void)fd;
	(void)what;

	move(pair, 0);
	move(pair, 1);
}

/* What came on one side goes out on the other, if it may. */
static void move(pair_t *pair, int side)
{
	struct evbuffer *input = bufferevent_get_input(pair->sides[side]);

	if (pair->silent)
		evbuffer_drain(input, evbuffer_get_length(input));
	else if (pair->relay->fault != RELAY_ONE_WAY || side == 0)
		bufferevent_write_buffer(pair->sides[!side], input);
}

static void on_event(struct bufferevent *from, short what, void *arg)
{
	pair_t *pair = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Nobody hears of an end behind a cut. */
	if (pair->silent) {
		bufferevent_disable(from, EV_READ | EV_WRITE);
		return;
	}
	move(pair, from == pair->sides[1]);
	bufferevent_flush(pair->sides[from == pair->sides[0]], EV_WRITE,
			  BEV_FINISHED);
	pair_free(pair, what & BEV_EVENT_ERROR);
}

static void pair_free(pair_t *pair, bool reset)
{
	static const struct linger at_once = { 1, 0 };

	CK_LIST_REMOVE(pair, link);
	event_free(pair->late);
	for (int i = 0; i < 2; i++) {
		evutil_socket_t fd = bufferevent_getfd(pair->sides[i]);
		struct evbuffer *out = bufferevent_get_output(pair->sides[i]);

		/* The last bytes of a side that ended in order. */
		if (!reset && fd >= 0 && evbuffer_get_length(out))
			evbuffer_write(out, fd);
		if (reset && fd >= 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
				   sizeof(at_once));
		bufferevent_free(pair->sides[i]);
	}
	free(pair);
}
