/**
 * @file
 * The way of a request, from a caller's statement to its answer.
 *
 * A state machine without sockets and without a clock of its own: events go in
 * as calls, actions come out through kl_engine_ops_t, a table of function
 * pointers.  One thread drives one engine.  All times are microseconds of the
 * clock that is passed in.
 */
#ifndef KL_ENGINE_H
#define KL_ENGINE_H

#include "control/node.h"
#include "path/path.h"
#include "path/position.h"

typedef struct kl_engine kl_engine_t;
typedef struct kl_caller kl_caller_t;
typedef struct kl_channel kl_channel_t;

/** What a statement asks for. */
typedef enum kl_verb {
	KL_VERB_BEGIN,
	KL_VERB_BEGIN_READ, /**< a transaction that only reads */
	KL_VERB_COMMIT,
	KL_VERB_ROLLBACK,
	KL_VERB_READ,
	KL_VERB_WRITE,
	KL_VERB_SET,
	KL_VERB_PREPARE,
	KL_VERB_EXECUTE,
	KL_VERB_DEALLOCATE,
	KL_VERB_UNKNOWN,
	KL_VERB_COUNT
} kl_verb_t;

/** A statement, as the front end understood it. */
typedef struct kl_command {
	const char *id; /**< the caller's name for the request */
	const char *text;
	kl_verb_t verb;
	char name[KL_NAME_MAX]; /**< of a value or prepared statement */
	bool writes;		/**< a prepared statement that writes */
} kl_command_t;

/** A database's whole answer to one statement. */
typedef struct kl_outcome {
	int error;		/**< 0 or a negative kind */
	const char *bytes;	/**< rows and last line, as they came */
	size_t length;		/**< of the bytes */
	const char *row;	/**< first row's text, or NULL */
	char state;		/**< 'I', 'T' or 'E' */
	kl_position_t position; /**< end of the database's log */
} kl_outcome_t;

/** What is sent over an upstream connection. */
typedef struct kl_dispatch {
	enum {
		KL_DISPATCH_STATEMENT, /**< a caller's, unchanged */
		KL_DISPATCH_SETUP,     /**< session state carried over */
		KL_DISPATCH_RESET,     /**< drop session state */
		KL_DISPATCH_STATUS,    /**< ask for the position */
	} kind;
	const char *id;
	const char *text;
	kl_position_t since; /**< the log must hold it; term 0 for none */
} kl_dispatch_t;

/** Where and for whom an upstream connection is opened. */
typedef struct kl_channel_target {
	const char *host;
	uint16_t port;
	const char *service;
	const char *upstream;
	const char *workspace;
} kl_channel_target_t;

/** Actions. */
typedef struct kl_engine_ops {
	/** A caller is logged in. */
	void (*welcome)(void *context, void *front);
	/** A database's answer, as it came. */
	void (*result)(void *context, void *front, const kl_outcome_t *outcome);
	/** Done without a database. */
	void (*done)(void *context, void *front, char state);
	/** An error, after which the session goes on. */
	void (*refuse)(void *context, void *front, int error, char state);
	/** Whether nothing that the caller sent is left to be looked at. */
	bool (*quiet)(void *context, void *front);
	/** The session ends, with an error if it is not 0. */
	void (*end)(void *context, void *front, int error);
	/** @return a connection's handle, or NULL */
	void *(*open)(void *context, const kl_channel_target_t *target,
		      kl_channel_t *channel);
	/** @return 0, or -KL_E_UPSTREAM if nothing was sent */
	int (*send)(void *context, void *link, const kl_dispatch_t *dispatch);
	void (*close)(void *context, void *link);
	/** Tokens are wanted now. */
	void (*demand)(void *context);
	/** What requests meet at an upstream. */
	void (*traffic)(void *context, const kl_traffic_t *traffic);
	void (*decided)(void *context, const kl_decision_t *decision);
} kl_engine_ops_t;

/** What operators chose for the engine. */
typedef struct kl_engine_settings {
	kl_path_settings_t path;
	uint64_t statement_us;	/**< of a route that states no limit */
	uint64_t admit_wait_us; /**< for tokens */
	uint64_t connect_us;	/**< before a connection attempt is given up */
} kl_engine_settings_t;

/** How a statement ended. */
typedef enum kl_ending {
	KL_ENDING_SERVED,
	KL_ENDING_REFUSED, /**< it did not run */
	KL_ENDING_FAILED,  /**< it ran, or may have */
	KL_ENDING_COUNT
} kl_ending_t;

#define KL_LATENCIES 10 /**< classes of a statement's time */

/** Upper ends of the classes, milliseconds; the last one has none. */
extern const uint32_t kl_latencies_ms[KL_LATENCIES];

/** What an engine did, for metrics. */
typedef struct kl_engine_counts {
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t writes;
	uint64_t refused_rate;
	uint64_t refused_other;
	uint64_t unknown;
	uint64_t retries;
	uint64_t opened;
	uint64_t dropped;
	uint64_t admitted;
	uint64_t ended; /**< statements, all of those below */
	uint64_t latency[KL_ROUTE_KIND_COUNT][KL_ENDING_COUNT][KL_LATENCIES];
	uint64_t latency_us[KL_ROUTE_KIND_COUNT][KL_ENDING_COUNT]; /**< sums */
} kl_engine_counts_t;

kl_engine_t *kl_engine_new(const kl_engine_settings_t *settings,
			   const kl_engine_ops_t *ops, void *context,
			   kl_reader_t *reader);
void kl_engine_free(kl_engine_t *engine);

/** Time passes: deadlines, retries, idle connections. */
void kl_engine_tick(kl_engine_t *engine, uint64_t now_us);

/** A planned stop: idle sessions end, transactions have until then. */
void kl_engine_drain(kl_engine_t *engine, uint64_t now_us,
		     uint64_t transactions_until_us);

/** Whether something waits that a tick may move on. */
bool kl_engine_waits(const kl_engine_t *engine);

/** Sessions that are open. */
uint32_t kl_engine_callers(const kl_engine_t *engine);
const kl_engine_counts_t *kl_engine_counts(const kl_engine_t *engine);

/**
 * A caller logs in; answered by welcome() or end().
 *
 * @param key or "" if none was shown
 * @return NULL if the login was refused and the front end is gone
 */
kl_caller_t *kl_caller_new(kl_engine_t *engine, void *front,
			   const char *database, const char *key,
			   uint64_t now_us);

/** A caller's statement; one at a time. */
void kl_caller_command(kl_caller_t *caller, const kl_command_t *command,
		       uint64_t now_us);

/** A caller is gone; its handle is dead after this. */
void kl_caller_gone(kl_caller_t *caller, uint64_t now_us);

/** An upstream connection is ready for statements. */
void kl_channel_ready(kl_channel_t *channel, kl_position_t position,
		      uint64_t now_us);

/** A database's answer. */
void kl_channel_answered(kl_channel_t *channel, const kl_outcome_t *outcome,
			 uint64_t now_us);

/** A connection is lost or was refused; its handle is dead after this. */
void kl_channel_lost(kl_channel_t *channel, int error, uint64_t now_us);

#endif
