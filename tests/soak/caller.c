/* Callers of the soak: sessions that write, read and remember. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/caller_internal.h"

#define OPERATION_MS 3500
#define AGAIN_MS 40	  /* before the next operation or connection */
#define SESSION_STEPS 25  /* operations of one session, at most */
#define AGE_US 2500000ull /* of the route's reads */
#define REVOKE_US 6000000ull

static void connect_caller(caller_t *caller);
static void later(caller_t *caller, int ms);
static void on_timer(evutil_socket_t fd, short what, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void take_line(caller_t *caller, char *line);
static void begin(caller_t *caller);
static void choose(caller_t *caller);
static uint32_t floor_of(const caller_t *caller);
static void send_step(caller_t *caller);
static void step_done(caller_t *caller);
static void succeed(caller_t *caller);
static void end_session(caller_t *caller, const char *code);
static bool is_promise(const char *code);

callers_t *callers_new(struct event_base *base, GRand *random)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->base = base;
	callers->random = random;
	callers->doubts = g_array_new(FALSE, TRUE, sizeof(doubt_t));
	callers->spans = g_array_new(FALSE, TRUE, sizeof(span_t));
	for (uint32_t i = 0; i < BAKERS + PRESSES; i++) {
		caller_t *caller = &callers->table[i];

		caller->all = callers;
		caller->number = i;
		caller->press = i >= BAKERS;
		caller->key = caller->press ? "key-press"
			      : i < 2	    ? "key-two"
					    : "key-one";
		caller->attempts = g_array_new(FALSE, TRUE, sizeof(attempt_t));
		g_array_set_size(caller->attempts, 1);
		caller->timer = evtimer_new(base, on_timer, caller);
		later(caller, AGAIN_MS);
	}
	return callers;
}

void callers_stop(callers_t *callers)
{
	callers->stopped = true;
}

void callers_settle(callers_t *callers)
{
	callers->settle_us = soak_now_us();
}

void callers_revoked(callers_t *callers, uint64_t from_us)
{
	callers->revoked_us = from_us;
}

void callers_free(callers_t *callers)
{
	for (uint32_t i = 0; i < BAKERS + PRESSES; i++) {
		caller_t *caller = &callers->table[i];

		if (caller->stream)
			bufferevent_free(caller->stream);
		event_free(caller->timer);
		g_array_unref(caller->attempts);
	}
	g_array_unref(callers->doubts);
	g_array_unref(callers->spans);
	g_free(callers);
}

static void connect_caller(caller_t *caller)
{
	callers_t *all = caller->all;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int vm = g_rand_int_range(all->random, 0, SOAK_VMS);

	address.sin_port = htons((uint16_t)(SOAK_FRONT_RELAY + vm));
	inet_pton(AF_INET, SOAK_HOST, &address.sin_addr);
	caller->ready = false;
	caller->session_acked = 0;
	caller->left = g_rand_int_range(all->random, 1, SESSION_STEPS);
	caller->primary = caller->press || g_rand_boolean(all->random);
	caller->stream = bufferevent_socket_new(
		all->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(caller->stream, on_read, NULL, on_event, caller);
	evbuffer_add_printf(bufferevent_get_output(caller->stream),
			    "STARTUP %s %s\r\n",
			    caller->primary ? "orders" : "stock", caller->key);
	bufferevent_enable(caller->stream, EV_READ | EV_WRITE);
	later(caller, OPERATION_MS);
	if (bufferevent_socket_connect(caller->stream,
				       (struct sockaddr *)&address,
				       sizeof(address)))
		end_session(caller, NULL);
}

static void later(caller_t *caller, int ms)
{
	struct timeval time = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(caller->timer, &time);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *caller = arg;
	(void)fd;
	(void)what;

	if (!caller->stream && !caller->all->stopped)
		connect_caller(caller);
	else if (caller->stream && (caller->running || !caller->ready))
		end_session(caller, NULL);
	else if (caller->stream)
		begin(caller);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	caller_t *caller = arg;
	char *line;

	while (caller->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF))) {
		take_line(caller, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (!(what & BEV_EVENT_CONNECTED))
		end_session(arg, NULL);
}

static void take_line(caller_t *caller, char *line)
{
	char item[32];

	if (g_str_has_prefix(line, "ROW ")) {
		snprintf(item, sizeof(item), "c%un", caller->number);
		caller->value = 0;
		if (g_str_has_prefix(line + 4, item))
			caller->value = (uint32_t)atoi(line + 4 + strlen(item));
		else if (strcmp(line + 4, "none")) {
			soak_violation("caller %u read \"%s\"", caller->number,
				       line + 4);
			caller->all->violations++;
		}
	} else if (g_str_has_prefix(line, "ERROR ")) {
		end_session(caller, line + 6);
	} else if (g_str_has_prefix(line, "READY ")) {
		if (caller->running)
			step_done(caller);
		else if (!caller->ready)
			later(caller, AGAIN_MS);
		caller->ready = true;
	}
}

static void begin(caller_t *caller)
{
	if (caller->all->stopped || !caller->left--) {
		end_session(caller, NULL);
		return;
	}
	choose(caller);
	caller->running = true;
	caller->step = 0;
	caller->began_us = soak_now_us();
	caller->floor = floor_of(caller);
	later(caller, OPERATION_MS);
	send_step(caller);
}

/* A read, a write, or a transaction that commits or not. */
static void choose(caller_t *caller)
{
	int chance = g_rand_int_range(caller->all->random, 0, 10);
	static const attempt_t unknown;
	uint32_t n = caller->attempts->len, c = caller->number;

	caller->writes = 0;
	caller->reads = caller->press || chance < 5;
	caller->rolls_back = chance == 9;
	if (caller->reads) {
		snprintf(caller->steps[0], sizeof(caller->steps[0]), "READ i%u",
			 c);
		caller->step_count = 1;
		return;
	}
	caller->writes = n;
	g_array_append_val(caller->attempts, unknown);
	caller->step_count = chance < 7 ? 1 : 3;
	snprintf(caller->steps[0], sizeof(caller->steps[0]), "BEGIN");
	snprintf(caller->steps[caller->step_count > 1],
		 sizeof(caller->steps[0]), "WRITE i%u c%un%u", c, c, n);
	snprintf(caller->steps[2], sizeof(caller->steps[0]), "%s",
		 caller->rolls_back ? "ROLLBACK" : "COMMIT");
}

/* The newest write that a read must show. */
static uint32_t floor_of(const caller_t *caller)
{
	uint64_t before = caller->began_us - AGE_US;

	if (caller->primary)
		return caller->highest_acked;
	for (uint32_t n = caller->highest_acked; n > caller->session_acked;
	     n--) {
		const attempt_t *attempt = soak_attempt(caller, n);

		if (attempt->fate == FATE_ACKED && attempt->acked_us < before)
			return n;
	}
	return caller->session_acked;
}

static void send_step(caller_t *caller)
{
	evbuffer_add_printf(bufferevent_get_output(caller->stream),
			    "QUERY c%u-%u-%d %s\r\n", caller->number,
			    caller->attempts->len, caller->step,
			    caller->steps[caller->step]);
}

static void step_done(caller_t *caller)
{
	if (++caller->step < caller->step_count)
		send_step(caller);
	else
		succeed(caller);
}

static void succeed(caller_t *caller)
{
	callers_t *all = caller->all;
	span_t span = { caller->began_us, soak_now_us() };

	caller->running = false;
	caller->served_us = span.to_us;
	all->served++;
	if (all->revoked_us && caller->number < 2 &&
	    caller->began_us > all->revoked_us + REVOKE_US) {
		soak_violation("caller %u is served with a withdrawn key",
			       caller->number);
		all->violations++;
	}
	if (caller->press)
		g_array_append_val(all->spans, span);
	if (caller->reads && !caller->press && caller->value < caller->floor) {
		doubt_t doubt = { caller->number, caller->value,
				  caller->floor };

		g_array_append_val(all->doubts, doubt);
	}
	if (caller->writes) {
		attempt_t *attempt = soak_attempt(caller, caller->writes);

		attempt->fate = caller->rolls_back ? FATE_REFUSED : FATE_ACKED;
		attempt->acked_us = span.to_us;
		if (!caller->rolls_back)
			caller->highest_acked = caller->session_acked =
				caller->writes;
	}
	later(caller, caller->press ? 1 : AGAIN_MS);
}

/* Ends with an error's code, or without an answer. */
static void end_session(caller_t *caller, const char *code)
{
	if (caller->running && caller->writes && code && is_promise(code))
		soak_attempt(caller, caller->writes)->fate = FATE_REFUSED;
	caller->running = false;
	if (caller->stream)
		bufferevent_free(caller->stream);
	caller->stream = NULL;
	later(caller, AGAIN_MS);
}

static bool is_promise(const char *code)
{
	static const char *const promises[] = { "BUSY",	     "ABORTED",
						"LAGGING",   "READONLY",
						"MISROUTED", "CONNLIMIT" };

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++)
		if (g_str_has_prefix(code, promises[i]))
			return true;
	return false;
}

attempt_t *soak_attempt(const caller_t *caller, uint32_t number)
{
	return &g_array_index(caller->attempts, attempt_t, number);
}
