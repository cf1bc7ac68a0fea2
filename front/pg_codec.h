/**
 * @file
 * The server half of the PostgreSQL protocol 3.0: messages in and out.
 *
 * Every length is checked before it is believed.
 */
#ifndef KL_PG_CODEC_H
#define KL_PG_CODEC_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/rows.h"

#define KL_PG_STARTUP_MAX 10000	   /**< bytes of a startup message */
#define KL_PG_MESSAGE_MAX 16777216 /**< bytes of any other message */

/** Codes in the place of a startup message's version. */
#define KL_PG_PROTOCOL_3 196608
#define KL_PG_CANCEL_REQUEST 80877102
#define KL_PG_SSL_REQUEST 80877103
#define KL_PG_GSSENC_REQUEST 80877104

/** A message taken off a buffer; payload is freed by kl_pg_message_free(). */
typedef struct kl_pg_message {
	char type; /**< 0 for a startup message */
	unsigned char *payload;
	size_t length;
	size_t offset; /**< read so far */
	bool overrun;  /**< something was read past the end */
} kl_pg_message_t;

/**
 * Take one message off a buffer.
 *
 * @param startup whether a startup message (without a type) is expected
 * @return 1 if *message is filled, 0 if more bytes are needed,
 *         -KL_E_PROTOCOL, -KL_E_NOMEM
 */
int kl_pg_read_message(struct evbuffer *in, bool startup,
		       kl_pg_message_t *message);
void kl_pg_message_free(kl_pg_message_t *message);

/** Read from a message; past the end they give 0 or "" and set bad. */
uint32_t kl_pg_read_int32(kl_pg_message_t *message);
uint16_t kl_pg_read_int16(kl_pg_message_t *message);
uint8_t kl_pg_read_byte(kl_pg_message_t *message);
const char *kl_pg_read_string(kl_pg_message_t *message);
const unsigned char *kl_pg_read_bytes(kl_pg_message_t *message, size_t length);

/** Append messages to a buffer. */
void kl_pg_put_auth(struct evbuffer *out, uint32_t kind);
void kl_pg_put_param_status(struct evbuffer *out, const char *name,
			    const char *value);
void kl_pg_put_backend_key(struct evbuffer *out, uint32_t pid, uint32_t secret);
void kl_pg_put_ready(struct evbuffer *out, char transaction);
void kl_pg_put_error(struct evbuffer *out, const char *sqlstate,
		     const char *text);
void kl_pg_put_fatal(struct evbuffer *out, const char *sqlstate,
		     const char *text);
void kl_pg_put_row_desc(struct evbuffer *out, const kl_rows_ops_t *ops,
			const void *rows);
void kl_pg_put_data_rows(struct evbuffer *out, const kl_rows_ops_t *ops,
			 const void *rows);
void kl_pg_put_complete(struct evbuffer *out, const char *tag);
/** A message without payload: 'I', '1', '2', '3', 'n'. */
void kl_pg_put_empty(struct evbuffer *out, char type);

#endif
