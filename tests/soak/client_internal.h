/**
 * @file
 * The clients of the soak test, and the answers that each one received.
 */
#ifndef KL_SOAK_CLIENT_INTERNAL_H
#define KL_SOAK_CLIENT_INTERNAL_H

#include "tests/soak/soak.h"

/* Clients of workspace bakery; the first two use the second key. */
#define BAKERY_CLIENTS 10
/* Clients of workspace press, which sends more than its rate. */
#define PRESS_CLIENTS 3
#define OPERATION_STATEMENTS_MAX 12 /* of a long transaction */

/* Outcome of a write by the answer that the client received. */
typedef enum outcome {
	OUTCOME_UNKNOWN, /* no answer, or an error that leaves the outcome open
			  */
	OUTCOME_ACKNOWLEDGED,
	OUTCOME_NOT_APPLIED, /* rolled back, or an error that rules out a commit
			      */
} outcome_t;

typedef struct write_attempt {
	outcome_t outcome;
	uint64_t acknowledged_at_us;
	bool in_primary_log;   /* the last primary still has it */
	uint32_t commit_index; /* line in the log of commits, from 1 on, or 0 */
} write_attempt_t;

/* A read that returned an older write than the route allows. */
typedef struct stale_read {
	uint32_t client_index;
	uint32_t returned_write;
	uint32_t required_write; /* oldest write that the read may return */
} stale_read_t;

typedef struct time_span {
	uint64_t start_us;
	uint64_t end_us;
} time_span_t;

typedef struct client {
	struct clients *clients;
	uint32_t index;
	const char *key;
	bool exceeds_rate; /* of workspace press */
	int vm;		   /* that the session is connected to */
	struct bufferevent *stream;
	struct event *timer;
	bool session_ready;  /* the login was answered with READY */
	bool primary_route;  /* the session uses the route to the primary */
	int operations_left; /* of this session */
	char statements[OPERATION_STATEMENTS_MAX][64];
	int statement_index, statement_count;
	bool operation_running;
	bool is_long; /* the operation pauses between its statements */
	bool pausing; /* the next statement follows after a pause */
	bool failed;  /* unused */
	bool is_read;
	uint32_t write_number; /* of this operation, or 0 if it is a read */
	bool rolls_back;
	uint32_t required_write; /* oldest write that the read may return */
	uint64_t operation_start_us;
	/* Number of the newest acknowledged write, of this session and of all
	   sessions of the client. */
	uint32_t session_acknowledged;
	uint32_t highest_acknowledged;
	uint32_t returned_write;    /* by the last row, or 0 */
	uint64_t last_served_at_us; /* when its last operation completed */
	GArray *write_attempts; /* write_attempt_t, by write number from 1 on */
} client_t;

struct clients {
	struct event_base *base;
	const char *host;
	GRand *random;
	client_t table[BAKERY_CLIENTS + PRESS_CLIENTS];
	GArray *stale_reads; /* stale_read_t, checked at the end */
	GArray *press_spans; /* time_span_t of the statements served to press */
	bool stopped;	     /* no further operations are started */
	bool short_only;     /* no long transactions are started */
	/* Each client must complete an operation after this time. */
	uint64_t service_expected_from_us;
	uint64_t key_withdrawn_at_us;
	int violations;
	uint64_t operations_served;
};

/** The attempt with this write number. */
write_attempt_t *soak_write_attempt(const client_t *client, uint32_t number);

#endif
