/* Callers of the soak test: sessions that read, write and record answers. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/caller_internal.h"

#define OPERATION_TIMEOUT_MS 3500 /* then the session is closed */
#define RETRY_DELAY_MS 40	  /* before the next operation or connection */
#define SESSION_OPERATIONS_END 25 /* a session has fewer operations */
#define ROUTE_MAX_AGE_US 2500000ull	/* maxStalenessMs of the route */
#define KEY_REFUSAL_LIMIT_US 6000000ull /* from withdrawal to refusal */

static void connect_caller(caller_t *caller);
static void schedule_timer(caller_t *caller, int ms);
static void on_timer(evutil_socket_t fd, short events, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short events, void *arg);
static void handle_line(caller_t *caller, char *line);
static void start_operation(caller_t *caller);
static void choose_operation(caller_t *caller);
static uint32_t oldest_allowed_write(const caller_t *caller);
static void send_statement(caller_t *caller);
static void finish_statement(caller_t *caller);
static void finish_operation(caller_t *caller);
static void end_session(caller_t *caller, const char *code);
static bool means_not_applied(const char *code);

callers_t *callers_new(struct event_base *base, GRand *random)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->base = base;
	callers->random = random;
	callers->stale_reads = g_array_new(FALSE, TRUE, sizeof(stale_read_t));
	callers->press_spans = g_array_new(FALSE, TRUE, sizeof(time_span_t));
	for (uint32_t i = 0; i < BAKERY_CALLERS + PRESS_CALLERS; i++) {
		caller_t *caller = &callers->table[i];

		caller->callers = callers;
		caller->index = i;
		caller->exceeds_rate = i >= BAKERY_CALLERS;
		caller->key = caller->exceeds_rate ? "key-press"
			      : i < 2		   ? "key-two"
						   : "key-one";
		caller->write_attempts =
			g_array_new(FALSE, TRUE, sizeof(write_attempt_t));
		g_array_set_size(caller->write_attempts, 1);
		caller->timer = evtimer_new(base, on_timer, caller);
		schedule_timer(caller, RETRY_DELAY_MS);
	}
	return callers;
}

void callers_stop(callers_t *callers)
{
	callers->stopped = true;
}

void callers_expect_service(callers_t *callers)
{
	callers->service_expected_us = soak_now_us();
}

void callers_key_withdrawn(callers_t *callers, uint64_t from_us)
{
	callers->key_withdrawn_us = from_us;
}

void callers_free(callers_t *callers)
{
	for (uint32_t i = 0; i < BAKERY_CALLERS + PRESS_CALLERS; i++) {
		caller_t *caller = &callers->table[i];

		if (caller->stream)
			bufferevent_free(caller->stream);
		event_free(caller->timer);
		g_array_unref(caller->write_attempts);
	}
	g_array_unref(callers->stale_reads);
	g_array_unref(callers->press_spans);
	g_free(callers);
}

static void connect_caller(caller_t *caller)
{
	callers_t *callers = caller->callers;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int vm = g_rand_int_range(callers->random, 0, SOAK_VMS);

	address.sin_port = htons((uint16_t)(SOAK_LISTEN_RELAY_PORT + vm));
	inet_pton(AF_INET, SOAK_HOST, &address.sin_addr);
	caller->session_ready = false;
	caller->session_acknowledged = 0;
	caller->operations_left =
		g_rand_int_range(callers->random, 1, SESSION_OPERATIONS_END);
	caller->primary_route =
		caller->exceeds_rate || g_rand_boolean(callers->random);
	caller->stream = bufferevent_socket_new(
		callers->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(caller->stream, on_read, NULL, on_event, caller);
	evbuffer_add_printf(
		bufferevent_get_output(caller->stream), "STARTUP %s %s\r\n",
		caller->primary_route ? "orders" : "stock", caller->key);
	bufferevent_enable(caller->stream, EV_READ | EV_WRITE);
	schedule_timer(caller, OPERATION_TIMEOUT_MS);
	if (bufferevent_socket_connect(caller->stream,
				       (struct sockaddr *)&address,
				       sizeof(address)))
		end_session(caller, NULL);
}

static void schedule_timer(caller_t *caller, int ms)
{
	struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(caller->timer, &delay);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	caller_t *caller = arg;
	(void)fd;
	(void)events;

	if (!caller->stream && !caller->callers->stopped)
		connect_caller(caller);
	else if (caller->stream &&
		 (caller->operation_running || !caller->session_ready))
		end_session(caller, NULL);
	else if (caller->stream)
		start_operation(caller);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	caller_t *caller = arg;
	char *line;

	while (caller->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF))) {
		handle_line(caller, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short events, void *arg)
{
	(void)stream;
	if (!(events & BEV_EVENT_CONNECTED))
		end_session(arg, NULL);
}

static void handle_line(caller_t *caller, char *line)
{
	char value_prefix[32];

	if (g_str_has_prefix(line, "ROW ")) {
		snprintf(value_prefix, sizeof(value_prefix), "c%un",
			 caller->index);
		caller->returned_write = 0;
		if (g_str_has_prefix(line + 4, value_prefix))
			caller->returned_write =
				(uint32_t)atoi(line + 4 + strlen(value_prefix));
		else if (strcmp(line + 4, "none")) {
			soak_violation(
				"caller %u read \"%s\", which it never wrote",
				caller->index, line + 4);
			caller->callers->violations++;
		}
	} else if (g_str_has_prefix(line, "ERROR ")) {
		end_session(caller, line + 6);
	} else if (g_str_has_prefix(line, "READY ")) {
		if (caller->operation_running)
			finish_statement(caller);
		else if (!caller->session_ready)
			schedule_timer(caller, RETRY_DELAY_MS);
		caller->session_ready = true;
	}
}

static void start_operation(caller_t *caller)
{
	if (caller->callers->stopped || !caller->operations_left--) {
		end_session(caller, NULL);
		return;
	}
	choose_operation(caller);
	caller->operation_running = true;
	caller->statement_index = 0;
	caller->operation_start_us = soak_now_us();
	caller->required_write = oldest_allowed_write(caller);
	schedule_timer(caller, OPERATION_TIMEOUT_MS);
	send_statement(caller);
}

/* Five in ten are reads, two writes, three transactions; one rolls back. */
static void choose_operation(caller_t *caller)
{
	int choice = g_rand_int_range(caller->callers->random, 0, 10);
	static const write_attempt_t unknown;
	uint32_t write = caller->write_attempts->len,
		 caller_index = caller->index;

	caller->write_number = 0;
	caller->is_read = caller->exceeds_rate || choice < 5;
	caller->rolls_back = choice == 9;
	if (caller->is_read) {
		snprintf(caller->statements[0], sizeof(caller->statements[0]),
			 "READ i%u", caller_index);
		caller->statement_count = 1;
		return;
	}
	caller->write_number = write;
	g_array_append_val(caller->write_attempts, unknown);
	caller->statement_count = choice < 7 ? 1 : 3;
	snprintf(caller->statements[0], sizeof(caller->statements[0]), "BEGIN");
	snprintf(caller->statements[caller->statement_count > 1],
		 sizeof(caller->statements[0]), "WRITE i%u c%un%u",
		 caller_index, caller_index, write);
	snprintf(caller->statements[2], sizeof(caller->statements[0]), "%s",
		 caller->rolls_back ? "ROLLBACK" : "COMMIT");
}

/*
 * The oldest write of this caller that a read may return: the newest
 * acknowledged one on the primary; else the newest one of this session, or
 * of any session if it is older than the allowed staleness.
 */
static uint32_t oldest_allowed_write(const caller_t *caller)
{
	uint64_t before = caller->operation_start_us - ROUTE_MAX_AGE_US;

	if (caller->primary_route)
		return caller->highest_acknowledged;
	for (uint32_t write = caller->highest_acknowledged;
	     write > caller->session_acknowledged; write--) {
		const write_attempt_t *attempt =
			soak_write_attempt(caller, write);

		if (attempt->outcome == OUTCOME_ACKNOWLEDGED &&
		    attempt->acknowledged_us < before)
			return write;
	}
	return caller->session_acknowledged;
}

static void send_statement(caller_t *caller)
{
	evbuffer_add_printf(bufferevent_get_output(caller->stream),
			    "QUERY c%u-%u-%d %s\r\n", caller->index,
			    caller->write_attempts->len,
			    caller->statement_index,
			    caller->statements[caller->statement_index]);
}

static void finish_statement(caller_t *caller)
{
	if (++caller->statement_index < caller->statement_count)
		send_statement(caller);
	else
		finish_operation(caller);
}

static void finish_operation(caller_t *caller)
{
	callers_t *callers = caller->callers;
	time_span_t span = { caller->operation_start_us, soak_now_us() };

	caller->operation_running = false;
	caller->last_served_us = span.end_us;
	callers->operations_served++;
	if (callers->key_withdrawn_us && caller->index < 2 &&
	    caller->operation_start_us >
		    callers->key_withdrawn_us + KEY_REFUSAL_LIMIT_US) {
		soak_violation("caller %u is still served with a withdrawn key",
			       caller->index);
		callers->violations++;
	}
	if (caller->exceeds_rate)
		g_array_append_val(callers->press_spans, span);
	if (caller->is_read && !caller->exceeds_rate &&
	    caller->returned_write < caller->required_write) {
		stale_read_t stale_read = { caller->index,
					    caller->returned_write,
					    caller->required_write };

		g_array_append_val(callers->stale_reads, stale_read);
	}
	if (caller->write_number) {
		write_attempt_t *attempt =
			soak_write_attempt(caller, caller->write_number);

		attempt->outcome = caller->rolls_back ? OUTCOME_NOT_APPLIED
						      : OUTCOME_ACKNOWLEDGED;
		attempt->acknowledged_us = span.end_us;
		if (!caller->rolls_back)
			caller->highest_acknowledged =
				caller->session_acknowledged =
					caller->write_number;
	}
	schedule_timer(caller, caller->exceeds_rate ? 1 : RETRY_DELAY_MS);
}

/* Closes the session after an error with this code, or NULL if none came. */
static void end_session(caller_t *caller, const char *code)
{
	if (caller->operation_running && caller->write_number && code &&
	    means_not_applied(code))
		soak_write_attempt(caller, caller->write_number)->outcome =
			OUTCOME_NOT_APPLIED;
	caller->operation_running = false;
	if (caller->stream)
		bufferevent_free(caller->stream);
	caller->stream = NULL;
	schedule_timer(caller, RETRY_DELAY_MS);
}

/* Whether the error guarantees that nothing of the operation was applied. */
static bool means_not_applied(const char *code)
{
	static const char *const codes[] = { "BUSY",	  "ABORTED",
					     "LAGGING",	  "READONLY",
					     "MISROUTED", "CONNLIMIT" };

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (g_str_has_prefix(code, codes[i]))
			return true;
	return false;
}

write_attempt_t *soak_write_attempt(const caller_t *caller, uint32_t number)
{
	return &g_array_index(caller->write_attempts, write_attempt_t, number);
}
