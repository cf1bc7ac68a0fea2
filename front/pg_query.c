/* Simple queries, and extended queries that use the unnamed statement. */
#include <stdlib.h>
#include <string.h>

#include "front/pg_front_internal.h"
#include "kumquatloft/kind.h"

typedef void (*handler_t)(kl_front_t *front, kl_pg_message_t *message);

static void on_query(kl_front_t *front, kl_pg_message_t *message);
static void on_parse(kl_front_t *front, kl_pg_message_t *message);
static void on_bind(kl_front_t *front, kl_pg_message_t *message);
static void on_describe(kl_front_t *front, kl_pg_message_t *message);
static void on_execute(kl_front_t *front, kl_pg_message_t *message);
static void on_close(kl_front_t *front, kl_pg_message_t *message);
static void on_flush(kl_front_t *front, kl_pg_message_t *message);
static void on_sync(kl_front_t *front, kl_pg_message_t *message);
static void reject_query(kl_front_t *front, int error);

static const struct {
	char type;
	handler_t handle;
} handlers[] = {
	{ 'Q', on_query },    { 'P', on_parse },   { 'B', on_bind },
	{ 'D', on_describe }, { 'E', on_execute }, { 'C', on_close },
	{ 'H', on_flush },    { 'S', on_sync },
};

bool kl_pg_handle_message(kl_front_t *front, kl_pg_message_t *message)
{
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++) {
		if (handlers[i].type != message->type)
			continue;
		/* After an error everything up to Sync is skipped. */
		if (!front->skip_to_sync || message->type == 'S')
			handlers[i].handle(front, message);
		return true;
	}
	return false;
}

static void on_query(kl_front_t *front, kl_pg_message_t *message)
{
	kl_query_t query = { .text = kl_pg_read_string(message) };

	if (message->overrun)
		return;
	front->extended_query = false;
	front->phase = PHASE_BUSY;
	front->events->query(front->owner, &query);
}

static void on_parse(kl_front_t *front, kl_pg_message_t *message)
{
	const char *name = kl_pg_read_string(message);
	const char *text = kl_pg_read_string(message);
	int count = kl_pg_read_int16(message);

	if (message->overrun)
		return;
	if (*name || count > KL_PARAMETERS_MAX || front->parse_received) {
		reject_query(front, -KL_E_UNSUPPORTED);
		return;
	}
	memset(front->parameter_types, 0, sizeof(front->parameter_types));
	for (int i = 0; i < count; i++)
		front->parameter_types[i] = kl_pg_read_int32(message);
	kl_pg_replace_string(&front->statement_text, text);
	front->parse_received = true;
}

static void on_bind(kl_front_t *front, kl_pg_message_t *message)
{
	const char *portal = kl_pg_read_string(message);
	const char *name = kl_pg_read_string(message);
	int format_count = kl_pg_read_int16(message);
	int format_codes[KL_PARAMETERS_MAX] = { 0 };

	if (message->overrun)
		return;
	if (*portal || *name || !front->statement_text ||
	    front->bind_received || format_count > KL_PARAMETERS_MAX) {
		reject_query(front, -KL_E_UNSUPPORTED);
		return;
	}
	for (int i = 0; i < format_count; i++)
		format_codes[i] = kl_pg_read_int16(message);
	front->parameter_count = kl_pg_read_int16(message);
	if (front->parameter_count > KL_PARAMETERS_MAX) {
		reject_query(front, -KL_E_UNSUPPORTED);
		return;
	}
	for (int i = 0; i < front->parameter_count; i++) {
		int32_t length = (int32_t)kl_pg_read_int32(message);

		front->parameter_formats[i] =
			format_count == 1 ? format_codes[0] : format_codes[i];
		front->parameter_values[i] = NULL;
		front->parameter_lengths[i] = 0;
		if (length < 0)
			continue;
		front->parameter_values[i] =
			(const char *)kl_pg_read_bytes(message, (size_t)length);
		front->parameter_lengths[i] = length;
	}
	front->result_format = 0;
	if (kl_pg_read_int16(message) >= 1)
		front->result_format = kl_pg_read_int16(message);
	if (message->overrun)
		return;
	kl_pg_message_free(&front->bind_message);
	front->bind_message = *message;
	message->payload = NULL;
	front->bind_received = true;
}

static void on_describe(kl_front_t *front, kl_pg_message_t *message)
{
	char target = (char)kl_pg_read_byte(message);

	if (target != 'P' || !front->bind_received)
		reject_query(front, -KL_E_UNSUPPORTED);
	front->describe_received = true;
}

static void on_execute(kl_front_t *front, kl_pg_message_t *message)
{
	const char *portal = kl_pg_read_string(message);
	uint32_t row_limit = kl_pg_read_int32(message);

	if (message->overrun)
		return;
	if (*portal || row_limit || !front->bind_received ||
	    front->execute_received) {
		reject_query(front, -KL_E_UNSUPPORTED);
		return;
	}
	front->execute_received = true;
}

static void on_close(kl_front_t *front, kl_pg_message_t *message)
{
	(void)message;
	kl_pg_put_empty(kl_pg_output(front), '3');
}

/* Ignored: the replies to Parse, Bind and Execute are sent after Sync. */
static void on_flush(kl_front_t *front, kl_pg_message_t *message)
{
	(void)front;
	(void)message;
}

static void on_sync(kl_front_t *front, kl_pg_message_t *message)
{
	kl_query_t query = { .text = front->statement_text,
			     .extended = true,
			     .parameter_count = front->parameter_count,
			     .types = front->parameter_types,
			     .values = front->parameter_values,
			     .lengths = front->parameter_lengths,
			     .formats = front->parameter_formats,
			     .result_format = front->result_format };
	(void)message;

	if (front->skip_to_sync || !front->execute_received) {
		if (!front->skip_to_sync && front->parse_received) {
			kl_pg_put_empty(kl_pg_output(front), '1');
			if (front->bind_received)
				kl_pg_put_empty(kl_pg_output(front), '2');
		}
		front->skip_to_sync = false;
		kl_pg_reset_statement(front);
		kl_pg_put_ready(kl_pg_output(front), front->transaction_status);
		return;
	}
	front->extended_query = true;
	front->phase = PHASE_BUSY;
	front->events->query(front->owner, &query);
}

/* Rejects an extended query that has not been executed. */
static void reject_query(kl_front_t *front, int error)
{
	const kl_error_info_t *info = kl_error_info(error);

	kl_pg_put_error(kl_pg_output(front), info->sqlstate, info->text);
	front->skip_to_sync = true;
	kl_pg_reset_statement(front);
}

void kl_pg_reset_statement(kl_front_t *front)
{
	kl_pg_message_free(&front->bind_message);
	front->parse_received = false;
	front->bind_received = false;
	front->execute_received = false;
	front->describe_received = false;
}
