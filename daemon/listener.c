#include <arpa/inet.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "daemon/listener.h"
#include "daemon/log.h"

#define LISTEN_BACKLOG 512
#define ACCEPT_PAUSE_US 100000 /* after an accept that failed */
/*
 * Descriptors kept from client sessions: this part of the process's limit, but
 * at least so many.
 */
#define RESERVED_DESCRIPTORS_DIVISOR 4
#define RESERVED_DESCRIPTORS_MIN 40

struct kl_listener {
	struct evconnlistener *sockets;
	struct event *pause_timer; /* ends a pause of accepting */
	bool stopped;
	void (*accepted)(void *owner, int socket);
	void *owner;
};

static void on_accept(struct evconnlistener *sockets, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_accept_error(struct evconnlistener *sockets, void *arg);
static void on_pause_end(evutil_socket_t fd, short what, void *arg);

kl_listener_t *kl_listener_new(struct event_base *base, const char *host,
			       uint16_t port, bool shared,
			       void (*accepted)(void *owner, int socket),
			       void *owner)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	kl_listener_t *listener = calloc(1, sizeof(*listener));

	if (!listener)
		return NULL;
	listener->accepted = accepted;
	listener->owner = owner;
	listener->pause_timer = evtimer_new(base, on_pause_end, listener);
	address.sin_port = htons(port);
	inet_pton(AF_INET, host, &address.sin_addr);
	listener->sockets = evconnlistener_new_bind(
		base, on_accept, listener,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE |
			(shared ? LEV_OPT_REUSEABLE_PORT : 0),
		LISTEN_BACKLOG, (struct sockaddr *)&address, sizeof(address));
	if (!listener->pause_timer || !listener->sockets)
		goto fail;
	evconnlistener_set_error_cb(listener->sockets, on_accept_error);
	return listener;
fail:
	kl_listener_free(listener);
	return NULL;
}

void kl_listener_stop(kl_listener_t *listener)
{
	listener->stopped = true;
	evconnlistener_disable(listener->sockets);
}

void kl_listener_free(kl_listener_t *listener)
{
	if (!listener)
		return;
	if (listener->sockets)
		evconnlistener_free(listener->sockets);
	if (listener->pause_timer)
		event_free(listener->pause_timer);
	free(listener);
}

uint64_t kl_listener_max_sessions(void)
{
	struct rlimit limit;
	rlim_t reserved;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return UINT64_MAX;
	reserved = limit.rlim_cur / RESERVED_DESCRIPTORS_DIVISOR;
	if (reserved < RESERVED_DESCRIPTORS_MIN)
		reserved = RESERVED_DESCRIPTORS_MIN;
	return limit.rlim_cur > reserved ? limit.rlim_cur - reserved : 1;
}

static void on_accept(struct evconnlistener *sockets, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	kl_listener_t *listener = arg;
	(void)sockets;
	(void)address;
	(void)length;

	listener->accepted(listener->owner, fd);
}

/*
 * Without a pause, accepting would be tried again at once, and without end, as
 * long as the process has no free descriptor.
 */
static void on_accept_error(struct evconnlistener *sockets, void *arg)
{
	static const struct timeval pause = { 0, ACCEPT_PAUSE_US };
	kl_listener_t *listener = arg;

	kl_log_event("accept_failed",
		     "no connection can be accepted; accepting is paused");
	evconnlistener_disable(sockets);
	evtimer_add(listener->pause_timer, &pause);
}

static void on_pause_end(evutil_socket_t fd, short what, void *arg)
{
	kl_listener_t *listener = arg;
	(void)fd;
	(void)what;

	if (!listener->stopped)
		evconnlistener_enable(listener->sockets);
}
