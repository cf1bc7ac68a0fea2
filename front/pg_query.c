/* Simple queries, and the unnamed extended statement up to its Sync. */
#include <stdlib.h>
#include <string.h>

#include "front/pg_front_internal.h"
#include "kumquatloft/kind.h"

typedef void (*handler_t)(kl_front_t *front, kl_pg_message_t *message);

static void on_simple(kl_front_t *front, kl_pg_message_t *message);
static void on_parse(kl_front_t *front, kl_pg_message_t *message);
static void on_bind(kl_front_t *front, kl_pg_message_t *message);
static void on_describe(kl_front_t *front, kl_pg_message_t *message);
static void on_execute(kl_front_t *front, kl_pg_message_t *message);
static void on_close(kl_front_t *front, kl_pg_message_t *message);
static void on_flush(kl_front_t *front, kl_pg_message_t *message);
static void on_sync(kl_front_t *front, kl_pg_message_t *message);
static void refuse(kl_front_t *front, int error);

static const struct {
	char type;
	handler_t handle;
} handlers[] = {
	{ 'Q', on_simple },   { 'P', on_parse },   { 'B', on_bind },
	{ 'D', on_describe }, { 'E', on_execute }, { 'C', on_close },
	{ 'H', on_flush },    { 'S', on_sync },
};

bool kl_pg_handle_message(kl_front_t *front, kl_pg_message_t *message)
{
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++) {
		if (handlers[i].type != message->type)
			continue;
		/* After an error all up to the next Sync is passed over. */
		if (!front->skip_to_sync || message->type == 'S')
			handlers[i].handle(front, message);
		return true;
	}
	return false;
}

static void on_simple(kl_front_t *front, kl_pg_message_t *message)
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
	if (*name || count > KL_PARAMETERS_MAX || front->have_parse) {
		refuse(front, -KL_E_UNSUPPORTED);
		return;
	}
	memset(front->types, 0, sizeof(front->types));
	for (int i = 0; i < count; i++)
		front->types[i] = kl_pg_read_int32(message);
	kl_pg_replace_string(&front->statement_text, text);
	front->have_parse = true;
}

static void on_bind(kl_front_t *front, kl_pg_message_t *message)
{
	const char *portal = kl_pg_read_string(message);
	const char *name = kl_pg_read_string(message);
	int formats = kl_pg_read_int16(message);
	int given[KL_PARAMETERS_MAX] = { 0 };

	if (message->overrun)
		return;
	if (*portal || *name || !front->statement_text || front->have_bind ||
	    formats > KL_PARAMETERS_MAX) {
		refuse(front, -KL_E_UNSUPPORTED);
		return;
	}
	for (int i = 0; i < formats; i++)
		given[i] = kl_pg_read_int16(message);
	front->parameter_count = kl_pg_read_int16(message);
	if (front->parameter_count > KL_PARAMETERS_MAX) {
		refuse(front, -KL_E_UNSUPPORTED);
		return;
	}
	for (int i = 0; i < front->parameter_count; i++) {
		int32_t length = (int32_t)kl_pg_read_int32(message);

		front->formats[i] = formats == 1 ? given[0] : given[i];
		front->values[i] = NULL;
		front->lengths[i] = 0;
		if (length < 0)
			continue;
		front->values[i] =
			(const char *)kl_pg_read_bytes(message, (size_t)length);
		front->lengths[i] = length;
	}
	front->result_format = 0;
	if (kl_pg_read_int16(message) >= 1)
		front->result_format = kl_pg_read_int16(message);
	if (message->overrun)
		return;
	kl_pg_message_free(&front->bind_message);
	front->bind_message = *message;
	message->payload = NULL;
	front->have_bind = true;
}

static void on_describe(kl_front_t *front, kl_pg_message_t *message)
{
	char what = (char)kl_pg_read_byte(message);

	if (what != 'P' || !front->have_bind)
		refuse(front, -KL_E_UNSUPPORTED);
	front->describe_seen = true;
}

static void on_execute(kl_front_t *front, kl_pg_message_t *message)
{
	const char *portal = kl_pg_read_string(message);
	uint32_t limit = kl_pg_read_int32(message);

	if (message->overrun)
		return;
	if (*portal || limit || !front->have_bind || front->have_execute) {
		refuse(front, -KL_E_UNSUPPORTED);
		return;
	}
	front->have_execute = true;
}

static void on_close(kl_front_t *front, kl_pg_message_t *message)
{
	(void)message;
	kl_pg_put_empty(kl_pg_output(front), '3');
}

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
			     .types = front->types,
			     .values = front->values,
			     .lengths = front->lengths,
			     .formats = front->formats,
			     .result_format = front->result_format };
	(void)message;

	if (front->skip_to_sync || !front->have_execute) {
		if (!front->skip_to_sync && front->have_parse) {
			kl_pg_put_empty(kl_pg_output(front), '1');
			if (front->have_bind)
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

/* Refuses one message of an extended query: nothing of it has run. */
static void refuse(kl_front_t *front, int error)
{
	const kl_error_info_t *answer = kl_error_info(error);

	kl_pg_put_error(kl_pg_output(front), answer->sqlstate, answer->text);
	front->skip_to_sync = true;
	kl_pg_reset_statement(front);
}

void kl_pg_reset_statement(kl_front_t *front)
{
	kl_pg_message_free(&front->bind_message);
	front->have_parse = false;
	front->have_bind = false;
	front->have_execute = false;
	front->describe_seen = false;
}
