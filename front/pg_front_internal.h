/**
 * @file
 * What the files of the PostgreSQL front end share.
 */
#ifndef KL_PG_FRONT_INTERNAL_H
#define KL_PG_FRONT_INTERNAL_H

#include <event2/bufferevent.h>

#include "front/front.h"
#include "front/pg_codec.h"

typedef enum phase {
	PHASE_STARTUP,
	PHASE_PASSWORD,
	PHASE_LOGIN, /* the worker looks at the login */
	PHASE_READY,
	PHASE_BUSY, /* a query runs */
	PHASE_CLOSING,
} phase_t;

struct kl_front {
	struct bufferevent *stream;
	struct evbuffer *held_output;	 /* answers kept back */
	struct evbuffer *detached_input; /* bytes read before a detach */
	bool holding_output;
	int detached_fd;
	const kl_front_events_t *events;
	void *owner;
	phase_t phase;
	char *user;
	char *database;
	char *session_token;
	char *max_age;
	char *repeatable;
	bool extended_query; /* the running query came by Sync */
	bool describe_seen;
	bool skip_to_sync; /* after an error, until Sync */
	bool have_parse;
	bool have_bind;
	bool have_execute;
	char *statement_text;
	int parameter_count;
	uint32_t types[KL_PARAMETERS_MAX];
	kl_pg_message_t bind_message; /* owns the values */
	const char *values[KL_PARAMETERS_MAX];
	int lengths[KL_PARAMETERS_MAX];
	int formats[KL_PARAMETERS_MAX];
	int result_format;
	char transaction_status;
};

/** Handle a message of a logged-in caller. @return false: no such type */
bool kl_pg_handle_message(kl_front_t *front, kl_pg_message_t *message);

/** Forget the extended statement that is being put together. */
void kl_pg_reset_statement(kl_front_t *front);

/** Where messages to the caller go. */
struct evbuffer *kl_pg_output(kl_front_t *front);

/** Replace a text field by a copy of value. */
void kl_pg_replace_string(char **field, const char *value);

#endif
