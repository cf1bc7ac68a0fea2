/* The PostgreSQL front end: connections, startup and replies. */
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "front/pg_front_internal.h"
#include "kumquatloft/kind.h"

#define LOGIN_TIMEOUT_S 10     /* without input before the login */
#define MESSAGE_TIMEOUT_S 30   /* without input within a message */
#define CLOSE_TIMEOUT_S 1      /* for the client to read the output and close */
#define READ_AHEAD_MAX 1048576 /* bytes buffered beyond the longest message */

static kl_front_t *pg_open(struct event_base *base, int socket,
			   const kl_front_events_t *events, void *owner);
static void pg_accept_login(kl_front_t *front, uint32_t id, uint32_t secret);
static void pg_parameter_status(kl_front_t *front, const char *name,
				const char *value);
static void pg_rows(kl_front_t *front, const kl_rows_ops_t *ops,
		    const void *rows);
static void pg_complete(kl_front_t *front, const char *tag);
static void pg_error(kl_front_t *front, const char *sqlstate, const char *text);
static void pg_fatal(kl_front_t *front, const char *sqlstate, const char *text);
static void pg_ready(kl_front_t *front, char transaction_status);
static void pg_hold_output(kl_front_t *front);
static void pg_release_output(kl_front_t *front);
static void pg_discard_output(kl_front_t *front);
static void pg_detach(kl_front_t *front);
static int pg_attach(kl_front_t *front, struct event_base *base);
static void pg_close(kl_front_t *front);
static bool pg_idle(const kl_front_t *front);
static void start_reading(kl_front_t *front);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void on_closing_read(struct bufferevent *stream, void *arg);
static void on_flushed(struct bufferevent *stream, void *arg);
static void read_messages(kl_front_t *front);
static void on_startup(kl_front_t *front, kl_pg_message_t *message);
static void on_cancel(kl_front_t *front, kl_pg_message_t *message);
static void on_password(kl_front_t *front, kl_pg_message_t *message);
static void on_terminate(kl_front_t *front);
static void read_options(kl_front_t *front, const char *options);
static void protocol_error(kl_front_t *front);
static void front_free(kl_front_t *front);

const kl_front_ops_t kl_front_pg = {
	.name = "postgresql",
	.open = pg_open,
	.accept_login = pg_accept_login,
	.parameter_status = pg_parameter_status,
	.rows = pg_rows,
	.complete = pg_complete,
	.error = pg_error,
	.fatal = pg_fatal,
	.ready = pg_ready,
	.hold_output = pg_hold_output,
	.release_output = pg_release_output,
	.discard_output = pg_discard_output,
	.detach = pg_detach,
	.attach = pg_attach,
	.close = pg_close,
	.idle = pg_idle,
};

static kl_front_t *pg_open(struct event_base *base, int socket,
			   const kl_front_events_t *events, void *owner)
{
	struct timeval login_timeout = { LOGIN_TIMEOUT_S, 0 };
	kl_front_t *front = calloc(1, sizeof(*front));

	if (!front)
		return NULL;
	front->stream =
		bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
	if (!front->stream) {
		free(front);
		return NULL;
	}
	front->events = events;
	front->owner = owner;
	front->transaction_status = 'I';
	front->held_output = evbuffer_new();
	front->detached_input = evbuffer_new();
	start_reading(front);
	bufferevent_set_timeouts(front->stream, &login_timeout, NULL);
	return front;
}

static void start_reading(kl_front_t *front)
{
	bufferevent_setcb(front->stream, on_read, NULL, on_event, front);
	bufferevent_setwatermark(front->stream, EV_READ, 0,
				 KL_PG_MESSAGE_MAX + READ_AHEAD_MAX);
	bufferevent_enable(front->stream, EV_READ | EV_WRITE);
}

static void pg_detach(kl_front_t *front)
{
	evbuffer_add_buffer(front->detached_input,
			    bufferevent_get_input(front->stream));
	front->detached_fd = bufferevent_getfd(front->stream);
	bufferevent_disable(front->stream, EV_READ | EV_WRITE);
	bufferevent_setfd(front->stream, -1);
	bufferevent_free(front->stream);
	front->stream = NULL;
}

static int pg_attach(kl_front_t *front, struct event_base *base)
{
	front->stream = bufferevent_socket_new(base, front->detached_fd,
					       BEV_OPT_CLOSE_ON_FREE);
	if (!front->stream)
		return -KL_E_NOMEM;
	evbuffer_add_buffer(bufferevent_get_input(front->stream),
			    front->detached_input);
	start_reading(front);
	return 0;
}

static void pg_hold_output(kl_front_t *front)
{
	front->holding_output = true;
}

static void pg_release_output(kl_front_t *front)
{
	front->holding_output = false;
	evbuffer_add_buffer(bufferevent_get_output(front->stream),
			    front->held_output);
}

static void pg_discard_output(kl_front_t *front)
{
	front->holding_output = false;
	evbuffer_drain(front->held_output,
		       evbuffer_get_length(front->held_output));
}

static void on_read(struct bufferevent *stream, void *arg)
{
	(void)stream;
	read_messages(arg);
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	kl_front_t *front = arg;
	(void)stream;
	(void)what;

	if (front->phase != PHASE_CLOSING)
		front->events->closed(front->owner);
	front_free(front);
}

/* Handles messages until one is incomplete or a query is running. */
static void read_messages(kl_front_t *front)
{
	struct evbuffer *in = bufferevent_get_input(front->stream);
	struct timeval message_timeout = { MESSAGE_TIMEOUT_S, 0 };

	while (front->phase == PHASE_STARTUP ||
	       front->phase == PHASE_PASSWORD || front->phase == PHASE_READY) {
		phase_t phase = front->phase;
		kl_pg_message_t message;
		int result = kl_pg_read_message(in, phase == PHASE_STARTUP,
						&message);

		if (result < 0) {
			protocol_error(front);
			return;
		}
		if (!result) {
			bool incomplete = evbuffer_get_length(in) > 0;

			if (phase == PHASE_READY)
				bufferevent_set_timeouts(
					front->stream,
					incomplete ? &message_timeout : NULL,
					NULL);
			return;
		}
		if (phase == PHASE_STARTUP) {
			on_startup(front, &message);
		} else if (phase == PHASE_PASSWORD) {
			on_password(front, &message);
		} else {
			if (message.type == 'X') {
				kl_pg_message_free(&message);
				on_terminate(front);
				return;
			}
			if (!kl_pg_handle_message(front, &message)) {
				kl_pg_message_free(&message);
				protocol_error(front);
				return;
			}
		}
		if (message.overrun && front->phase != PHASE_CLOSING)
			protocol_error(front);
		kl_pg_message_free(&message);
	}
}

static void on_startup(kl_front_t *front, kl_pg_message_t *message)
{
	uint32_t version = kl_pg_read_int32(message);

	if (version == KL_PG_SSL_REQUEST || version == KL_PG_GSSENC_REQUEST) {
		evbuffer_add(kl_pg_output(front), "N", 1);
		return;
	}
	if (version == KL_PG_CANCEL_REQUEST) {
		on_cancel(front, message);
		return;
	}
	if (version >> 16 != 3) {
		protocol_error(front);
		return;
	}
	while (!message->overrun && message->offset + 1 < message->length) {
		const char *name = kl_pg_read_string(message);
		const char *value = kl_pg_read_string(message);

		if (!strcmp(name, "user"))
			kl_pg_replace_string(&front->user, value);
		else if (!strcmp(name, "database"))
			kl_pg_replace_string(&front->database, value);
		else if (!strcmp(name, "options"))
			read_options(front, value);
	}
	if (!front->user) {
		protocol_error(front);
		return;
	}
	if (!front->database)
		kl_pg_replace_string(&front->database, front->user);
	kl_pg_put_auth(kl_pg_output(front), 3);
	front->phase = PHASE_PASSWORD;
}

/* Parses the words of "options": -c kumquatloft.NAME=VALUE. */
static void read_options(kl_front_t *front, const char *options)
{
	static const char prefix[] = "kumquatloft.";
	char *copy = strdup(options);
	char *strtok_state = NULL;
	char *word;

	for (word = strtok_r(copy, " ", &strtok_state); word;
	     word = strtok_r(NULL, " ", &strtok_state)) {
		char *value;

		if (!strncmp(word, "-c", 2) && word[2])
			word += 2;
		if (strncmp(word, prefix, strlen(prefix)))
			continue;
		word += strlen(prefix);
		value = strchr(word, '=');
		if (!value)
			continue;
		*value++ = '\0';
		if (!strcmp(word, "session"))
			kl_pg_replace_string(&front->session_token, value);
		else if (!strcmp(word, "max_age"))
			kl_pg_replace_string(&front->max_age, value);
		else if (!strcmp(word, "repeatable"))
			kl_pg_replace_string(&front->repeatable, value);
	}
	free(copy);
}

static void on_cancel(kl_front_t *front, kl_pg_message_t *message)
{
	uint32_t id = kl_pg_read_int32(message);
	uint32_t secret = kl_pg_read_int32(message);

	if (!message->overrun)
		front->events->cancel(front->owner, id, secret);
	front->events->closed(front->owner);
	pg_close(front);
}

static void on_password(kl_front_t *front, kl_pg_message_t *message)
{
	kl_login_t login = {
		.workspace = front->user,
		.service = front->database,
		.session_token =
			front->session_token ? front->session_token : "",
		.max_age = front->max_age ? front->max_age : "",
		.repeatable = front->repeatable ? front->repeatable : "",
	};

	if (message->type != 'p') {
		protocol_error(front);
		return;
	}
	login.key = kl_pg_read_string(message);
	if (message->overrun)
		return;
	front->phase = PHASE_LOGIN;
	front->events->login(front->owner, &login);
}

static void on_terminate(kl_front_t *front)
{
	front->events->closed(front->owner);
	front_free(front);
}

static void protocol_error(kl_front_t *front)
{
	const kl_error_info_t *info = kl_error_info(-KL_E_PROTOCOL);

	kl_pg_put_fatal(kl_pg_output(front), info->sqlstate, info->text);
	front->events->closed(front->owner);
	pg_close(front);
}

static void pg_accept_login(kl_front_t *front, uint32_t id, uint32_t secret)
{
	struct evbuffer *out = kl_pg_output(front);

	kl_pg_put_auth(out, 0);
	kl_pg_put_param_status(out, "server_version", "15.0");
	kl_pg_put_param_status(out, "server_encoding", "UTF8");
	kl_pg_put_param_status(out, "client_encoding", "UTF8");
	kl_pg_put_param_status(out, "DateStyle", "ISO, MDY");
	kl_pg_put_param_status(out, "integer_datetimes", "on");
	kl_pg_put_param_status(out, "standard_conforming_strings", "on");
	kl_pg_put_backend_key(out, id, secret);
	kl_pg_put_ready(out, 'I');
	bufferevent_set_timeouts(front->stream, NULL, NULL);
	front->phase = PHASE_READY;
}

static void pg_parameter_status(kl_front_t *front, const char *name,
				const char *value)
{
	kl_pg_put_param_status(kl_pg_output(front), name, value);
}

static void pg_rows(kl_front_t *front, const kl_rows_ops_t *ops,
		    const void *rows)
{
	struct evbuffer *out = kl_pg_output(front);

	if (front->extended_query) {
		kl_pg_put_empty(out, '1');
		kl_pg_put_empty(out, '2');
		front->parse_received = false;
	}
	if (!front->extended_query || front->describe_received)
		kl_pg_put_row_desc(out, ops, rows);
	kl_pg_put_data_rows(out, ops, rows);
}

static void pg_complete(kl_front_t *front, const char *tag)
{
	struct evbuffer *out = kl_pg_output(front);

	if (front->extended_query && front->parse_received) {
		kl_pg_put_empty(out, '1');
		kl_pg_put_empty(out, '2');
		if (front->describe_received)
			kl_pg_put_empty(out, 'n');
	}
	if (*tag)
		kl_pg_put_complete(out, tag);
	else
		kl_pg_put_empty(out, 'I');
}

static void pg_error(kl_front_t *front, const char *sqlstate, const char *text)
{
	kl_pg_put_error(kl_pg_output(front), sqlstate, text);
}

static void pg_fatal(kl_front_t *front, const char *sqlstate, const char *text)
{
	kl_pg_put_fatal(kl_pg_output(front), sqlstate, text);
}

static void pg_ready(kl_front_t *front, char transaction_status)
{
	front->transaction_status = transaction_status;
	kl_pg_put_ready(kl_pg_output(front), transaction_status);
	kl_pg_reset_statement(front);
	if (front->phase != PHASE_BUSY)
		return;
	front->phase = PHASE_READY;
	/* The event loop handles buffered input, which avoids recursion. */
	bufferevent_trigger(front->stream, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

/*
 * Closing a socket with unread input resets the connection, and the client may
 * lose the last reply.  So the output is shut down first and input discarded
 * until the client closes or is silent for CLOSE_TIMEOUT_S.
 */
static void pg_close(kl_front_t *front)
{
	struct timeval close_timeout = { CLOSE_TIMEOUT_S, 0 };

	front->phase = PHASE_CLOSING;
	if (front->holding_output)
		pg_discard_output(front);
	bufferevent_setcb(front->stream, on_closing_read, on_flushed, on_event,
			  front);
	bufferevent_set_timeouts(front->stream, &close_timeout, &close_timeout);
	bufferevent_enable(front->stream, EV_READ | EV_WRITE);
	if (!evbuffer_get_length(bufferevent_get_output(front->stream)))
		bufferevent_trigger(front->stream, EV_WRITE,
				    BEV_OPT_DEFER_CALLBACKS);
}

static void on_closing_read(struct bufferevent *stream, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(stream);
	(void)arg;

	evbuffer_drain(in, evbuffer_get_length(in));
}

static bool pg_idle(const kl_front_t *front)
{
	return front->phase == PHASE_READY;
}

static void on_flushed(struct bufferevent *stream, void *arg)
{
	(void)arg;
	shutdown(bufferevent_getfd(stream), SHUT_WR);
}

static void front_free(kl_front_t *front)
{
	bufferevent_free(front->stream);
	evbuffer_free(front->held_output);
	evbuffer_free(front->detached_input);
	kl_pg_message_free(&front->bind_message);
	free(front->user);
	free(front->database);
	free(front->session_token);
	free(front->max_age);
	free(front->repeatable);
	free(front->statement_text);
	free(front);
}

void kl_pg_replace_string(char **string, const char *value)
{
	free(*string);
	*string = strdup(value);
}

struct evbuffer *kl_pg_output(kl_front_t *front)
{
	return front->holding_output ? front->held_output
				     : bufferevent_get_output(front->stream);
}
