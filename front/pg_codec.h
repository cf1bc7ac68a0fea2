/**
 * @file
 * The server side of PostgreSQL protocol 3.0: reads the client's messages and
 * writes the server's.
 *
 * Lengths in messages are checked before they are used.
 */
#ifndef KL_PG_CODEC_H
#define KL_PG_CODEC_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/rows.h"

#define KL_PG_STARTUP_MAX 10000	   /**< bytes of a startup message */
#define KL_PG_MESSAGE_MAX 16777216 /**< bytes of any other message */

/** Protocol version of a startup message, and codes in its place. */
#define KL_PG_PROTOCOL_3 196608
#define KL_PG_CANCEL_REQUEST 80877102
#define KL_PG_SSL_REQUEST 80877103
#define KL_PG_GSSENC_REQUEST 80877104

/** A message of the client; kl_pg_message_free() frees the payload. */
typedef struct kl_pg_message {
	char type; /**< 0 for a startup message */
	unsigned char *payload;
	size_t length; /**< bytes of the payload */
	size_t offset; /**< bytes of the payload that have been read */
	bool overrun;  /**< a read went past the end of the payload */
} kl_pg_message_t;

/**
 * Read one message from a buffer.
 *
 * @param startup whether a startup message, which has no type, is expected
 * @return 1 if *message is filled, 0 if more bytes are needed,
 *         -KL_E_PROTOCOL, -KL_E_NOMEM
 */
int kl_pg_read_message(struct evbuffer *in, bool startup,
		       kl_pg_message_t *message);
void kl_pg_message_free(kl_pg_message_t *message);

/**
 * Read the next value of a message.  Past the end of the payload they return
 * 0, "" or NULL and set the message's overrun flag.
 */
uint32_t kl_pg_read_int32(kl_pg_message_t *message);
uint16_t kl_pg_read_int16(kl_pg_message_t *message);
uint8_t kl_pg_read_byte(kl_pg_message_t *message);
const char *kl_pg_read_string(kl_pg_message_t *message);
const unsigned char *kl_pg_read_bytes(kl_pg_message_t *message, size_t length);

/** Append a message to a buffer. */
void kl_pg_put_auth(struct evbuffer *out, uint32_t code);
void kl_pg_put_param_status(struct evbuffer *out, const char *name,
			    const char *value);
void kl_pg_put_backend_key(struct evbuffer *out, uint32_t pid, uint32_t secret);
void kl_pg_put_ready(struct evbuffer *out, char transaction_status);
void kl_pg_put_error(struct evbuffer *out, const char *sqlstate,
		     const char *text);
void kl_pg_put_fatal(struct evbuffer *out, const char *sqlstate,
		     const char *text);
/** Append a RowDescription message. */
void kl_pg_put_row_desc(struct evbuffer *out, const kl_rows_ops_t *ops,
			const void *rows);
/** Append a DataRow message for each row. */
void kl_pg_put_data_rows(struct evbuffer *out, const kl_rows_ops_t *ops,
			 const void *rows);
void kl_pg_put_complete(struct evbuffer *out, const char *tag);
/** Append a message without payload: type 'I', '1', '2', '3' or 'n'. */
void kl_pg_put_empty(struct evbuffer *out, char type);

#endif
