/**
 * @file
 * Shared by the source files of the PostgreSQL front end.
 */
#ifndef KL_PG_FRONT_INTERNAL_H
#define KL_PG_FRONT_INTERNAL_H

#include <event2/bufferevent.h>

#include "front/front.h"
#include "front/pg_codec.h"

typedef enum phase {
	PHASE_STARTUP,	/* waits for the startup message */
	PHASE_PASSWORD, /* waits for the password message */
	PHASE_LOGIN,	/* the worker checks the login */
	PHASE_READY,	/* waits for a query */
	PHASE_BUSY,	/* a query is running */
	PHASE_CLOSING,	/* waits for the client to close */
} phase_t;

struct kl_front {
	struct bufferevent *stream;
	struct evbuffer *held_output;	 /* until it is released */
	struct evbuffer *detached_input; /* bytes read before a detach */
	bool holding_output;
	int detached_fd; /* socket, between pg_detach() and pg_attach() */
	const kl_front_events_t *events;
	void *owner;
	phase_t phase;
	/* Startup parameters; NULL if not given. */
	char *user;
	char *database;
	char *session_token;
	char *max_age;
	char *repeatable;
	bool extended_query; /* the running query uses the extended protocol */
	bool describe_received;
	bool skip_to_sync;   /* ignore messages, as an extended query failed */
	bool parse_received; /* and ParseComplete not yet sent */
	bool bind_received;
	bool execute_received;
	char *statement_text;
	int parameter_count;
	uint32_t parameter_types[KL_PARAMETERS_MAX];
	kl_pg_message_t bind_message; /* parameter_values point into it */
	const char *parameter_values[KL_PARAMETERS_MAX];
	int parameter_lengths[KL_PARAMETERS_MAX];
	int parameter_formats[KL_PARAMETERS_MAX];
	int result_format;
	char transaction_status; /* as of the last ready() */
};

/** Handle a message after the login. @return false if its type is unknown */
bool kl_pg_handle_message(kl_front_t *front, kl_pg_message_t *message);

/** Discard the extended query that is being received. */
void kl_pg_reset_statement(kl_front_t *front);

/** Buffer for messages to the client. */
struct evbuffer *kl_pg_output(kl_front_t *front);

/** Replace an allocated string by a copy of value. */
void kl_pg_replace_string(char **string, const char *value);

#endif
