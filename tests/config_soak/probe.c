/*
 * Probes: sessions that are opened at a certain VM, not through a relay.  Each
 * logs in with a route and a key, sends some reads with pauses between them,
 * and ends.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#include "tests/config_soak/config_soak.h"

#define PROBES_PER_VM 5
#define ANSWER_TIMEOUT_MS 2500
#define SESSION_PAUSE_MS 40 /* between two sessions of a probe */
#define READ_PAUSE_MIN_MS 50
#define READ_PAUSE_END_MS 900
#define READS_END 12 /* a session has fewer reads */

typedef struct probe {
	probes_t *probes;
	struct bufferevent *stream;
	struct event *timer;
	config_request_t request; /* that waits for its answer */
	bool waiting;
	bool got_row;
	int incarnation; /* of the VM's process at the login */
	int reads_left;
} probe_t;

struct probes {
	struct event_base *base;
	const fleet_t *fleet;
	history_t *history;
	GRand *random;
	probe_t table[CONFIG_VMS * PROBES_PER_VM];
};

static void open_session(probe_t *probe);
static void end_session(probe_t *probe);
static void send_request(probe_t *probe, const char *text);
static void finish_request(probe_t *probe, config_effect_t effect);
static void schedule(probe_t *probe, int ms);
static void on_timer(evutil_socket_t fd, short events, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short events, void *arg);
static void handle_line(probe_t *probe, const char *line);
static config_effect_t error_effect(const char *code);

probes_t *probes_new(struct event_base *base, const fleet_t *fleet,
		     history_t *history, GRand *random)
{
	probes_t *probes = g_new0(probes_t, 1);

	probes->base = base;
	probes->fleet = fleet;
	probes->history = history;
	probes->random = random;
	for (int i = 0; i < CONFIG_VMS * PROBES_PER_VM; i++) {
		probe_t *probe = &probes->table[i];

		probe->probes = probes;
		probe->request.vm = i % CONFIG_VMS;
		probe->timer = evtimer_new(base, on_timer, probe);
		schedule(probe, SESSION_PAUSE_MS);
	}
	return probes;
}

void probes_free(probes_t *probes)
{
	for (int i = 0; i < CONFIG_VMS * PROBES_PER_VM; i++) {
		end_session(&probes->table[i]);
		event_free(probes->table[i].timer);
	}
	g_free(probes);
}

static void open_session(probe_t *probe)
{
	probes_t *probes = probe->probes;
	config_request_t *request = &probe->request;
	struct sockaddr_in address = { .sin_family = AF_INET };
	char login[64];

	address.sin_port = htons((uint16_t)(SOAK_LISTEN_PORT + request->vm));
	inet_pton(AF_INET, probes->fleet->host, &address.sin_addr);
	history_choose(probes->history, probes->random, &request->route,
		       &request->key);
	probe->incarnation = history_incarnation(probes->history, request->vm);
	probe->reads_left = g_rand_int_range(probes->random, 0, READS_END);
	probe->stream = bufferevent_socket_new(probes->base, -1,
					       BEV_OPT_CLOSE_ON_FREE |
						       BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(probe->stream, on_read, NULL, on_event, probe);
	bufferevent_enable(probe->stream, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(probe->stream,
				       (struct sockaddr *)&address,
				       sizeof(address))) {
		end_session(probe);
		return;
	}
	snprintf(login, sizeof(login), "STARTUP r%d key%d\r\n", request->route,
		 request->key);
	request->is_login = true;
	send_request(probe, login);
}

static void end_session(probe_t *probe)
{
	if (probe->stream)
		bufferevent_free(probe->stream);
	probe->stream = NULL;
	probe->waiting = false;
	schedule(probe, SESSION_PAUSE_MS);
}

static void send_request(probe_t *probe, const char *text)
{
	probe->waiting = true;
	probe->got_row = false;
	probe->request.sent_us = soak_now_us();
	bufferevent_write(probe->stream, text, strlen(text));
	schedule(probe, ANSWER_TIMEOUT_MS);
}

/* Checks what the answer shows of the process that the session began with. */
static void finish_request(probe_t *probe, config_effect_t effect)
{
	config_request_t *request = &probe->request;
	history_t *history = probe->probes->history;

	if (!probe->waiting)
		return;
	probe->waiting = false;
	request->answered_us = soak_now_us();
	request->effect = effect;
	if (probe->incarnation == history_incarnation(history, request->vm))
		history_check(history, request);
}

static void schedule(probe_t *probe, int ms)
{
	struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(probe->timer, &delay);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	probe_t *probe = arg;
	(void)fd;
	(void)events;

	if (!probe->stream)
		open_session(probe);
	else if (probe->waiting || !probe->reads_left--)
		end_session(probe);
	else {
		probe->request.is_login = false;
		send_request(probe, "QUERY probe READ i1\r\n");
	}
}

static void on_read(struct bufferevent *stream, void *arg)
{
	probe_t *probe = arg;
	char *line;

	while (probe->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF))) {
		handle_line(probe, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short events, void *arg)
{
	(void)stream;
	if (!(events & BEV_EVENT_CONNECTED))
		end_session(arg);
}

static void handle_line(probe_t *probe, const char *line)
{
	if (g_str_has_prefix(line, "ROW ")) {
		probe->got_row = true;
	} else if (g_str_has_prefix(line, "ERROR ")) {
		finish_request(probe, error_effect(line + 6));
		end_session(probe);
	} else if (g_str_has_prefix(line, "READY ")) {
		finish_request(probe, probe->got_row ? EFFECT_SERVED
						     : EFFECT_ACCEPTED);
		schedule(probe, g_rand_int_range(probe->probes->random,
						 READ_PAUSE_MIN_MS,
						 READ_PAUSE_END_MS));
	}
}

static config_effect_t error_effect(const char *code)
{
	if (g_str_has_prefix(code, "UNKNOWNDB"))
		return EFFECT_UNKNOWN_DATABASE;
	if (g_str_has_prefix(code, "AUTHFAIL"))
		return EFFECT_REFUSED_KEY;
	return EFFECT_NONE;
}
