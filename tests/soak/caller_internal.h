/**
 * @file
 * What each caller of the soak test was told.
 */
#ifndef KL_SOAK_CALLER_INTERNAL_H
#define KL_SOAK_CALLER_INTERNAL_H

#include "tests/soak/soak.h"

/* Callers of workspace bakery; the first two use the second key. */
#define BAKERY_CALLERS 10
/* Callers of workspace press, which sends more than its rate. */
#define PRESS_CALLERS 3
#define OPERATION_STATEMENTS_MAX 4 /* BEGIN, WRITE and COMMIT are three */

/* Outcome of a write, as the caller was told. */
typedef enum outcome {
	OUTCOME_UNKNOWN, /* no answer, or an error that leaves it open */
	OUTCOME_ACKNOWLEDGED,
	OUTCOME_NOT_APPLIED, /* rolled back, or an error that rules it out */
} outcome_t;

typedef struct write_attempt {
	outcome_t outcome;
	uint64_t acknowledged_us;
	bool in_primary_log;   /* the last primary still has it */
	uint32_t commit_index; /* line in the log of commits, from 1 on, or 0 */
} write_attempt_t;

/* A read that returned an older write than the route allows. */
typedef struct stale_read {
	uint32_t caller_index;
	uint32_t returned_write;
	uint32_t required_write; /* this one or a newer one was due */
} stale_read_t;

typedef struct time_span {
	uint64_t start_us;
	uint64_t end_us;
} time_span_t;

typedef struct caller {
	struct callers *callers;
	uint32_t index;
	const char *key;
	bool exceeds_rate; /* of workspace press */
	struct bufferevent *stream;
	struct event *timer;
	bool session_ready;
	bool primary_route;  /* the session uses the route to the primary */
	int operations_left; /* of this session */
	char statements[OPERATION_STATEMENTS_MAX][64];
	int statement_index, statement_count;
	bool operation_running;
	bool failed;
	bool is_read;
	uint32_t write_number; /* of this operation, or 0 if it is a read */
	bool rolls_back;
	uint32_t required_write; /* oldest write that the read may return */
	uint64_t operation_start_us;
	uint32_t session_acknowledged; /* newest write of this session */
	uint32_t highest_acknowledged; /* newest write of all sessions */
	uint32_t returned_write;       /* by the last row, or 0 */
	uint64_t last_served_us;
	GArray *write_attempts; /* write_attempt_t, by write number from 1 on */
} caller_t;

struct callers {
	struct event_base *base;
	GRand *random;
	caller_t table[BAKERY_CALLERS + PRESS_CALLERS];
	GArray *stale_reads; /* stale_read_t, checked at the end */
	GArray *press_spans; /* time_span_t of the statements served to press */
	bool stopped;
	uint64_t service_expected_us;
	uint64_t key_withdrawn_us;
	int violations;
	uint64_t operations_served;
};

/** The attempt with this write number. */
write_attempt_t *soak_write_attempt(const caller_t *caller, uint32_t number);

#endif
