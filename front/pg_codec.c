/* Messages of the server side of PostgreSQL protocol 3.0. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "front/pg_codec.h"
#include "kumquatloft/kind.h"

#define COLUMN_BYTES 18 /* of a column in RowDescription, without its name */

static void put_error_message(struct evbuffer *out, const char *severity,
			      const char *sqlstate, const char *text);
static void put_header(struct evbuffer *out, char type, size_t payload);
static void put_int32(struct evbuffer *out, uint32_t value);
static void put_int16(struct evbuffer *out, uint16_t value);
static void put_string(struct evbuffer *out, const char *text);

int kl_pg_read_message(struct evbuffer *in, bool startup,
		       kl_pg_message_t *message)
{
	size_t header_length = startup ? 4 : 5;
	size_t limit = startup ? KL_PG_STARTUP_MAX : KL_PG_MESSAGE_MAX;
	unsigned char bytes[5];
	uint32_t length;

	if (evbuffer_copyout(in, bytes, header_length) <
	    (ev_ssize_t)header_length)
		return 0;
	memcpy(&length, bytes + header_length - 4, 4);
	length = ntohl(length);
	if (length < 4 || length > limit || (startup && length < 8))
		return -KL_E_PROTOCOL;
	if (evbuffer_get_length(in) < header_length - 4 + length)
		return 0;
	memset(message, 0, sizeof(*message));
	message->type = startup ? 0 : (char)bytes[0];
	message->length = length - 4;
	message->payload = malloc(message->length + 1);
	if (!message->payload)
		return -KL_E_NOMEM;
	evbuffer_drain(in, header_length);
	evbuffer_remove(in, message->payload, message->length);
	message->payload[message->length] = '\0';
	return 1;
}

void kl_pg_message_free(kl_pg_message_t *message)
{
	free(message->payload);
	message->payload = NULL;
}

const unsigned char *kl_pg_read_bytes(kl_pg_message_t *message, size_t length)
{
	const unsigned char *bytes = message->payload + message->offset;

	if (message->overrun || length > message->length - message->offset) {
		message->overrun = true;
		return NULL;
	}
	message->offset += length;
	return bytes;
}

uint32_t kl_pg_read_int32(kl_pg_message_t *message)
{
	const unsigned char *bytes = kl_pg_read_bytes(message, 4);
	uint32_t value = 0;

	if (bytes)
		memcpy(&value, bytes, 4);
	return ntohl(value);
}

uint16_t kl_pg_read_int16(kl_pg_message_t *message)
{
	const unsigned char *bytes = kl_pg_read_bytes(message, 2);
	uint16_t value = 0;

	if (bytes)
		memcpy(&value, bytes, 2);
	return ntohs(value);
}

uint8_t kl_pg_read_byte(kl_pg_message_t *message)
{
	const unsigned char *bytes = kl_pg_read_bytes(message, 1);

	return bytes ? *bytes : 0;
}

const char *kl_pg_read_string(kl_pg_message_t *message)
{
	const char *text = (const char *)message->payload + message->offset;
	const char *end;

	if (message->overrun)
		return "";
	end = memchr(text, '\0', message->length - message->offset);
	if (!end) {
		message->overrun = true;
		return "";
	}
	message->offset += (size_t)(end - text) + 1;
	return text;
}

void kl_pg_put_auth(struct evbuffer *out, uint32_t code)
{
	put_header(out, 'R', 4);
	put_int32(out, code);
}

void kl_pg_put_param_status(struct evbuffer *out, const char *name,
			    const char *value)
{
	put_header(out, 'S', strlen(name) + strlen(value) + 2);
	put_string(out, name);
	put_string(out, value);
}

void kl_pg_put_backend_key(struct evbuffer *out, uint32_t pid, uint32_t secret)
{
	put_header(out, 'K', 8);
	put_int32(out, pid);
	put_int32(out, secret);
}

void kl_pg_put_ready(struct evbuffer *out, char transaction_status)
{
	put_header(out, 'Z', 1);
	evbuffer_add(out, &transaction_status, 1);
}

void kl_pg_put_error(struct evbuffer *out, const char *sqlstate,
		     const char *text)
{
	put_error_message(out, "ERROR", sqlstate, text);
}

void kl_pg_put_fatal(struct evbuffer *out, const char *sqlstate,
		     const char *text)
{
	put_error_message(out, "FATAL", sqlstate, text);
}

static void put_error_message(struct evbuffer *out, const char *severity,
			      const char *sqlstate, const char *text)
{
	const struct {
		char field;
		const char *value;
	} fields[] = { { 'S', severity },
		       { 'V', severity },
		       { 'C', sqlstate },
		       { 'M', text } };
	size_t count = sizeof(fields) / sizeof(*fields);
	size_t payload = 1;

	for (size_t i = 0; i < count; i++)
		payload += strlen(fields[i].value) + 2;
	put_header(out, 'E', payload);
	for (size_t i = 0; i < count; i++) {
		evbuffer_add(out, &fields[i].field, 1);
		put_string(out, fields[i].value);
	}
	evbuffer_add(out, "", 1);
}

void kl_pg_put_row_desc(struct evbuffer *out, const kl_rows_ops_t *ops,
			const void *rows)
{
	int columns = ops->column_count(rows);
	size_t payload = 2;

	for (int i = 0; i < columns; i++)
		payload += strlen(ops->column_name(rows, i)) + 1 + COLUMN_BYTES;
	put_header(out, 'T', payload);
	put_int16(out, (uint16_t)columns);
	for (int i = 0; i < columns; i++) {
		put_string(out, ops->column_name(rows, i));
		put_int32(out, 0); /* table OID: none */
		put_int16(out, 0); /* attribute number */
		put_int32(out, ops->column_type(rows, i));
		put_int16(out, (uint16_t)-1); /* type size: variable */
		put_int32(out, (uint32_t)-1); /* type modifier: none */
		put_int16(out, (uint16_t)ops->column_format(rows, i));
	}
}

void kl_pg_put_data_rows(struct evbuffer *out, const kl_rows_ops_t *ops,
			 const void *rows)
{
	int columns = ops->column_count(rows);
	int count = ops->row_count(rows);
	size_t length;

	for (int row = 0; row < count; row++) {
		size_t payload = 2;

		for (int i = 0; i < columns; i++) {
			length = 0;
			ops->value(rows, row, i, &length);
			payload += 4 + length;
		}
		put_header(out, 'D', payload);
		put_int16(out, (uint16_t)columns);
		for (int i = 0; i < columns; i++) {
			const char *value;

			length = 0;
			value = ops->value(rows, row, i, &length);
			put_int32(out, value ? (uint32_t)length : (uint32_t)-1);
			if (value)
				evbuffer_add(out, value, length);
		}
	}
}

void kl_pg_put_complete(struct evbuffer *out, const char *tag)
{
	put_header(out, 'C', strlen(tag) + 1);
	put_string(out, tag);
}

void kl_pg_put_empty(struct evbuffer *out, char type)
{
	put_header(out, type, 0);
}

static void put_header(struct evbuffer *out, char type, size_t payload)
{
	evbuffer_add(out, &type, 1);
	put_int32(out, (uint32_t)payload + 4);
}

static void put_int32(struct evbuffer *out, uint32_t value)
{
	value = htonl(value);
	evbuffer_add(out, &value, 4);
}

static void put_int16(struct evbuffer *out, uint16_t value)
{
	value = htons(value);
	evbuffer_add(out, &value, 2);
}

static void put_string(struct evbuffer *out, const char *text)
{
	evbuffer_add(out, text, strlen(text) + 1);
}
