/*
 * A relay between each machine and the platform's store.  It stands for a store
 * that turns some machines away and serves the others, and that cuts off
 * watches which wait.
 *
 * relay HOST FIRST_PORT COUNT STORE_PORT: machine N (from 0) calls the store at
 * FIRST_PORT + N.  Commands come on standard input, one a line:
 *
 *   busy N   new calls of the machine get 503, and those that wait end
 *   pass N   the machine is served again
 *   cut      the watches of all machines that wait now end without an answer
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MACHINES_MAX 64
#define REFUSAL                                              \
	"HTTP/1.1 503 Service Unavailable\r\nContent-Type: " \
	"application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"

/* A machine's connection, and the one to the store that carries it on. */
typedef struct pair {
	struct pair *next;
	struct bufferevent *near;
	struct bufferevent *far;
	int machine;
	int is_watch; /* its newest request is a watch */
} pair_t;

static struct event_base *base;
static struct sockaddr_in store;
static int busy[MACHINES_MAX];
static pair_t *pairs;

static void pair_free(pair_t *pair)
{
	pair_t **place = &pairs;

	while (*place != pair)
		place = &(*place)->next;
	*place = pair->next;
	bufferevent_free(pair->near);
	if (pair->far)
		bufferevent_free(pair->far);
	free(pair);
}

static void end_pairs(int machine, int only_watches)
{
	pair_t *pair, *next;

	for (pair = pairs; pair; pair = next) {
		next = pair->next;
		if ((machine < 0 || pair->machine == machine) &&
		    (!only_watches || pair->is_watch))
			pair_free(pair);
	}
}

static void on_far_read(struct bufferevent *stream, void *arg)
{
	pair_t *pair = arg;

	/* The watch has been answered. */
	pair->is_watch = 0;
	bufferevent_read_buffer(stream, bufferevent_get_output(pair->near));
}

static void on_near_read(struct bufferevent *stream, void *arg)
{
	pair_t *pair = arg;
	struct evbuffer *input = bufferevent_get_input(stream);

	if (busy[pair->machine]) {
		evbuffer_drain(input, evbuffer_get_length(input));
		bufferevent_write(stream, REFUSAL, strlen(REFUSAL));
		return;
	}
	pair->is_watch = evbuffer_search(input, "watch=", 6, NULL).pos >= 0;
	bufferevent_read_buffer(stream, bufferevent_get_output(pair->far));
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		pair_free(arg);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	pair_t *pair = calloc(1, sizeof(*pair));
	(void)listener;
	(void)address;
	(void)length;

	if (!pair) {
		evutil_closesocket(fd);
		return;
	}
	pair->machine = *(int *)arg;
	pair->near = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->far = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	pair->next = pairs;
	pairs = pair;
	bufferevent_setcb(pair->near, on_near_read, NULL, on_event, pair);
	bufferevent_setcb(pair->far, on_far_read, NULL, on_event, pair);
	bufferevent_enable(pair->near, EV_READ | EV_WRITE);
	bufferevent_enable(pair->far, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(pair->far, (struct sockaddr *)&store,
				       sizeof(store)))
		pair_free(pair);
}

static void on_command(struct bufferevent *stream, void *arg)
{
	struct evbuffer *input = bufferevent_get_input(stream);
	char *line;
	(void)arg;

	while ((line = evbuffer_readln(input, NULL, EVBUFFER_EOL_LF))) {
		const char *space = strchr(line, ' ');
		long machine = space ? strtol(space, NULL, 10) : -1;

		if (machine >= MACHINES_MAX)
			machine = -1;
		if (!strcmp(line, "cut")) {
			end_pairs(-1, 1);
		} else if (machine >= 0) {
			busy[machine] = !strncmp(line, "busy", 4);
			if (busy[machine])
				end_pairs((int)machine, 0);
		}
		free(line);
	}
}

static void on_command_end(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	(void)what;
	event_base_loopexit(arg, NULL);
}

int main(int argc, char **argv)
{
	static int numbers[MACHINES_MAX];
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct bufferevent *commands;
	long first_port, count;

	if (argc != 5)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	first_port = strtol(argv[2], NULL, 10);
	count = strtol(argv[3], NULL, 10);
	inet_pton(AF_INET, argv[1], &address.sin_addr);
	store = address;
	store.sin_port = htons((uint16_t)strtol(argv[4], NULL, 10));
	for (int i = 0; i < count && i < MACHINES_MAX; i++) {
		numbers[i] = i;
		address.sin_port = htons((uint16_t)(first_port + i));
		if (!evconnlistener_new_bind(
			    base, on_accept, &numbers[i],
			    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
			    (struct sockaddr *)&address, sizeof(address)))
			return 1;
	}
	evutil_make_socket_nonblocking(0);
	commands = bufferevent_socket_new(base, 0, 0);
	bufferevent_setcb(commands, on_command, NULL, on_command_end, base);
	bufferevent_enable(commands, EV_READ);
	event_base_dispatch(base);
	return 0;
}
