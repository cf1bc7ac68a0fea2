/* Clients of the soak test: sessions that read, write and record answers. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/client_internal.h"

#define OPERATION_TIMEOUT_MS 3500 /* then the session is closed */
/*
 * Pause in a long transaction: shorter than the configured limit of an idle
 * transaction, and long enough that it outlasts the limit of an evacuation.
 */
#define LONG_PAUSE_MS 700
#define LONG_ODDS 3	  /* one transaction in this many is a long one */
#define RETRY_DELAY_MS 40 /* before the next operation or connection */
#define SESSION_OPERATIONS_END 25	/* a session has fewer operations */
#define ROUTE_MAX_AGE_US 2500000ull	/* maxStalenessMs of the route */
#define KEY_REFUSAL_LIMIT_US 6000000ull /* from withdrawal to refusal */

static void connect_client(client_t *client);
static void schedule_timer(client_t *client, int ms);
static void on_timer(evutil_socket_t fd, short events, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short events, void *arg);
static void handle_line(client_t *client, char *line);
static void start_operation(client_t *client);
static void choose_operation(client_t *client);
static uint32_t oldest_allowed_write(const client_t *client);
static void send_statement(client_t *client);
static void finish_statement(client_t *client);
static void finish_operation(client_t *client);
static void end_session(client_t *client, const char *code);
static bool means_not_applied(const char *code);

clients_t *clients_new(struct event_base *base, const char *host, GRand *random)
{
	clients_t *clients = g_new0(clients_t, 1);

	clients->base = base;
	clients->host = host;
	clients->random = random;
	clients->stale_reads = g_array_new(FALSE, TRUE, sizeof(stale_read_t));
	clients->press_spans = g_array_new(FALSE, TRUE, sizeof(time_span_t));
	for (uint32_t i = 0; i < BAKERY_CLIENTS + PRESS_CLIENTS; i++) {
		client_t *client = &clients->table[i];

		client->clients = clients;
		client->index = i;
		client->exceeds_rate = i >= BAKERY_CLIENTS;
		client->key = client->exceeds_rate ? "key-press"
			      : i < 2		   ? "key-two"
						   : "key-one";
		client->write_attempts =
			g_array_new(FALSE, TRUE, sizeof(write_attempt_t));
		g_array_set_size(client->write_attempts, 1);
		client->timer = evtimer_new(base, on_timer, client);
		schedule_timer(client, RETRY_DELAY_MS);
	}
	return clients;
}

void clients_stop(clients_t *clients)
{
	clients->stopped = true;
}

void clients_end_long_operations(clients_t *clients)
{
	clients->short_only = true;
}

void clients_expect_service(clients_t *clients)
{
	clients->service_expected_from_us = soak_now_us();
}

void clients_key_withdrawn(clients_t *clients, uint64_t from_us)
{
	clients->key_withdrawn_at_us = from_us;
}

void clients_free(clients_t *clients)
{
	for (uint32_t i = 0; i < BAKERY_CLIENTS + PRESS_CLIENTS; i++) {
		client_t *client = &clients->table[i];

		if (client->stream)
			bufferevent_free(client->stream);
		event_free(client->timer);
		g_array_unref(client->write_attempts);
	}
	g_array_unref(clients->stale_reads);
	g_array_unref(clients->press_spans);
	g_free(clients);
}

static void connect_client(client_t *client)
{
	clients_t *clients = client->clients;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int vm = g_rand_int_range(clients->random, 0, SOAK_VMS);

	client->vm = vm;
	address.sin_port = htons((uint16_t)(SOAK_LISTEN_RELAY_PORT + vm));
	inet_pton(AF_INET, clients->host, &address.sin_addr);
	client->session_ready = false;
	client->session_acknowledged = 0;
	client->operations_left =
		g_rand_int_range(clients->random, 1, SESSION_OPERATIONS_END);
	client->primary_route =
		client->exceeds_rate || g_rand_boolean(clients->random);
	client->stream = bufferevent_socket_new(
		clients->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(client->stream, on_read, NULL, on_event, client);
	evbuffer_add_printf(
		bufferevent_get_output(client->stream), "STARTUP %s %s\r\n",
		client->primary_route ? "orders" : "stock", client->key);
	bufferevent_enable(client->stream, EV_READ | EV_WRITE);
	schedule_timer(client, OPERATION_TIMEOUT_MS);
	if (bufferevent_socket_connect(client->stream,
				       (struct sockaddr *)&address,
				       sizeof(address)))
		end_session(client, NULL);
}

static void schedule_timer(client_t *client, int ms)
{
	struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(client->timer, &delay);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	client_t *client = arg;
	(void)fd;
	(void)events;

	if (!client->stream && !client->clients->stopped) {
		connect_client(client);
	} else if (client->stream && client->pausing) {
		client->pausing = false;
		schedule_timer(client, OPERATION_TIMEOUT_MS);
		send_statement(client);
	} else if (client->stream &&
		   (client->operation_running || !client->session_ready)) {
		end_session(client, NULL);
	} else if (client->stream) {
		start_operation(client);
	}
}

static void on_read(struct bufferevent *stream, void *arg)
{
	client_t *client = arg;
	char *line;

	while (client->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF))) {
		handle_line(client, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short events, void *arg)
{
	(void)stream;
	if (!(events & BEV_EVENT_CONNECTED))
		end_session(arg, NULL);
}

static void handle_line(client_t *client, char *line)
{
	char value_prefix[32];

	if (g_str_has_prefix(line, "ROW ")) {
		snprintf(value_prefix, sizeof(value_prefix), "c%un",
			 client->index);
		client->returned_write = 0;
		if (g_str_has_prefix(line + 4, value_prefix))
			client->returned_write =
				(uint32_t)atoi(line + 4 + strlen(value_prefix));
		else if (strcmp(line + 4, "none")) {
			soak_violation(
				"client %u read \"%s\", which it never wrote",
				client->index, line + 4);
			client->clients->violations++;
		}
	} else if (g_str_has_prefix(line, "ERROR ")) {
		end_session(client, line + 6);
	} else if (g_str_has_prefix(line, "READY ")) {
		if (client->operation_running)
			finish_statement(client);
		else if (!client->session_ready)
			schedule_timer(client, RETRY_DELAY_MS);
		client->session_ready = true;
	}
}

static void start_operation(client_t *client)
{
	if (client->clients->stopped || !client->operations_left--) {
		end_session(client, NULL);
		return;
	}
	choose_operation(client);
	client->operation_running = true;
	client->pausing = false;
	client->statement_index = 0;
	client->operation_start_us = soak_now_us();
	client->required_write = oldest_allowed_write(client);
	schedule_timer(client, OPERATION_TIMEOUT_MS);
	send_statement(client);
}

/* Five in ten are reads, two writes, three transactions; one rolls back. */
static void choose_operation(client_t *client)
{
	int choice = g_rand_int_range(client->clients->random, 0, 10);
	static const write_attempt_t unknown;
	uint32_t write = client->write_attempts->len,
		 client_index = client->index;

	client->write_number = 0;
	client->is_long = false;
	client->is_read = client->exceeds_rate || choice < 5;
	client->rolls_back = choice == 9;
	if (client->is_read) {
		snprintf(client->statements[0], sizeof(client->statements[0]),
			 "READ i%u", client_index);
		client->statement_count = 1;
		return;
	}
	client->write_number = write;
	g_array_append_val(client->write_attempts, unknown);
	client->statement_count = choice < 7 ? 1 : 3;
	snprintf(client->statements[0], sizeof(client->statements[0]), "BEGIN");
	snprintf(client->statements[client->statement_count > 1],
		 sizeof(client->statements[0]), "WRITE i%u c%un%u",
		 client_index, client_index, write);
	client->is_long =
		client->statement_count > 1 && !client->clients->short_only &&
		!g_rand_int_range(client->clients->random, 0, LONG_ODDS);
	if (client->is_long)
		client->statement_count = OPERATION_STATEMENTS_MAX;
	for (int i = 2; i < client->statement_count; i++)
		snprintf(client->statements[i], sizeof(client->statements[0]),
			 "READ i%u", client_index);
	if (client->statement_count > 1)
		snprintf(client->statements[client->statement_count - 1],
			 sizeof(client->statements[0]), "%s",
			 client->rolls_back ? "ROLLBACK" : "COMMIT");
}

/*
 * The oldest write of this client that a read may return: the newest
 * acknowledged one on the primary; else the newest one of this session, or
 * of any session if it is older than the allowed staleness.
 */
static uint32_t oldest_allowed_write(const client_t *client)
{
	uint64_t before = client->operation_start_us - ROUTE_MAX_AGE_US;

	if (client->primary_route)
		return client->highest_acknowledged;
	for (uint32_t write = client->highest_acknowledged;
	     write > client->session_acknowledged; write--) {
		const write_attempt_t *attempt =
			soak_write_attempt(client, write);

		if (attempt->outcome == OUTCOME_ACKNOWLEDGED &&
		    attempt->acknowledged_at_us < before)
			return write;
	}
	return client->session_acknowledged;
}

static void send_statement(client_t *client)
{
	evbuffer_add_printf(bufferevent_get_output(client->stream),
			    "QUERY v%d-c%u-%u-%d %s\r\n", client->vm,
			    client->index, client->write_attempts->len,
			    client->statement_index,
			    client->statements[client->statement_index]);
}

static void finish_statement(client_t *client)
{
	if (++client->statement_index == client->statement_count) {
		finish_operation(client);
	} else if (client->is_long) {
		client->pausing = true;
		schedule_timer(client, LONG_PAUSE_MS);
	} else {
		send_statement(client);
	}
}

static void finish_operation(client_t *client)
{
	clients_t *clients = client->clients;
	time_span_t span = { client->operation_start_us, soak_now_us() };

	client->operation_running = false;
	client->last_served_at_us = span.end_us;
	clients->operations_served++;
	if (clients->key_withdrawn_at_us && client->index < 2 &&
	    client->operation_start_us >
		    clients->key_withdrawn_at_us + KEY_REFUSAL_LIMIT_US) {
		soak_violation("client %u is still served with a withdrawn key",
			       client->index);
		clients->violations++;
	}
	if (client->exceeds_rate)
		g_array_append_val(clients->press_spans, span);
	if (client->is_read && !client->exceeds_rate &&
	    client->returned_write < client->required_write) {
		stale_read_t stale_read = { client->index,
					    client->returned_write,
					    client->required_write };

		g_array_append_val(clients->stale_reads, stale_read);
	}
	if (client->write_number) {
		write_attempt_t *attempt =
			soak_write_attempt(client, client->write_number);

		attempt->outcome = client->rolls_back ? OUTCOME_NOT_APPLIED
						      : OUTCOME_ACKNOWLEDGED;
		attempt->acknowledged_at_us = span.end_us;
		if (!client->rolls_back)
			client->highest_acknowledged =
				client->session_acknowledged =
					client->write_number;
	}
	schedule_timer(client, client->exceeds_rate ? 1 : RETRY_DELAY_MS);
}

/* Closes the session after an error with this code, or NULL if none came. */
static void end_session(client_t *client, const char *code)
{
	if (client->operation_running && client->write_number && code &&
	    means_not_applied(code))
		soak_write_attempt(client, client->write_number)->outcome =
			OUTCOME_NOT_APPLIED;
	client->operation_running = false;
	client->pausing = false;
	if (client->stream)
		bufferevent_free(client->stream);
	client->stream = NULL;
	schedule_timer(client, RETRY_DELAY_MS);
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

write_attempt_t *soak_write_attempt(const client_t *client, uint32_t number)
{
	return &g_array_index(client->write_attempts, write_attempt_t, number);
}
