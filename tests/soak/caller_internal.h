/**
 * @file
 * What the callers of the soak remember.
 */
#ifndef KL_SOAK_CALLER_INTERNAL_H
#define KL_SOAK_CALLER_INTERNAL_H

#include "tests/soak/soak.h"

#define BAKERS 10 /* of them two with the second key */
#define PRESSES 3 /* of a workspace that sends more than its rate */
#define STEPS 4	  /* statements of one operation */

/* What became of a write. */
typedef enum fate {
	FATE_OPEN, /* unknown */
	FATE_ACKED,
	FATE_REFUSED, /* "nothing is kept" */
} fate_t;

typedef struct attempt {
	fate_t fate;
	uint64_t acked_us;
	bool kept;	 /* in the leader's log */
	uint32_t commit; /* place among all commits, from 1 on */
} attempt_t;

/* A read that returned less than was acknowledged before it. */
typedef struct doubt {
	uint32_t caller;
	uint32_t value;
	uint32_t floor;
} doubt_t;

typedef struct span {
	uint64_t from_us;
	uint64_t to_us;
} span_t;

typedef struct caller {
	struct callers *all;
	uint32_t number;
	const char *key;
	bool press;
	struct bufferevent *stream;
	struct event *timer;
	bool ready;
	bool primary; /* the route of this session */
	int left;     /* operations */
	char steps[STEPS][64];
	int step, step_count;
	bool running;
	bool failed;
	bool reads;
	uint32_t writes; /* number of the write, or 0 */
	bool rolls_back;
	uint32_t floor;
	uint64_t began_us;
	uint32_t session_acked;
	uint32_t highest_acked;
	uint32_t value; /* read */
	uint64_t served_us;
	GArray *attempts; /* attempt_t, by number */
} caller_t;

struct callers {
	struct event_base *base;
	GRand *random;
	caller_t table[BAKERS + PRESSES];
	GArray *doubts;
	GArray *spans; /* of the presses' statements that were served */
	bool stopped;
	uint64_t settle_us;
	uint64_t revoked_us;
	int violations;
	uint64_t served;
};

/** An attempt to write, by its number. */
attempt_t *soak_attempt(const caller_t *caller, uint32_t number);

#endif
