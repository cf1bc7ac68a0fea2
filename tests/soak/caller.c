/* Callers of the soak: sessions that write, read and remember. */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

#define BAKERS 10      /* of them two with the second key */
#define PRESSES 3      /* of a workspace that sends more than its rate */
#define PRESS_RATE 30  /* statements a second */
#define PRESS_BURST 30 /* statements */
#define STEPS 4	       /* statements of one operation */
#define OPERATION_MS 3500
#define AGAIN_MS 40	  /* before the next operation or connection */
#define SESSION_STEPS 25  /* operations of one session, at most */
#define AGE_US 2500000ull /* of the route's reads */
#define REVOKE_US 6000000ull

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

static void connect_caller(caller_t *caller);
static void later(caller_t *caller, int ms);
static void on_timer(evutil_socket_t fd, short what, void *arg);
static void on_read(struct bufferevent *stream, void *arg);
static void on_event(struct bufferevent *stream, short what, void *arg);
static void take_line(caller_t *caller, char *line);
static void begin(caller_t *caller);
static void choose(caller_t *caller);
static uint32_t floor_of(const caller_t *caller);
static void send_step(caller_t *caller);
static void step_done(caller_t *caller);
static void succeed(caller_t *caller);
static void end_session(caller_t *caller, const char *code);
static bool is_promise(const char *code);
static void judge_log(callers_t *callers, const char *log);
static void judge_attempts(callers_t *callers);
static void judge_doubts(callers_t *callers);
static void judge_rate(callers_t *callers, uint64_t window_us);
static attempt_t *attempt_of(const caller_t *caller, uint32_t number);

callers_t *callers_new(struct event_base *base, GRand *random)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->base = base;
	callers->random = random;
	callers->doubts = g_array_new(FALSE, TRUE, sizeof(doubt_t));
	callers->spans = g_array_new(FALSE, TRUE, sizeof(span_t));
	for (uint32_t i = 0; i < BAKERS + PRESSES; i++) {
		caller_t *caller = &callers->table[i];

		caller->all = callers;
		caller->number = i;
		caller->press = i >= BAKERS;
		caller->key = caller->press ? "key-press"
			      : i < 2	    ? "key-two"
					    : "key-one";
		caller->attempts = g_array_new(FALSE, TRUE, sizeof(attempt_t));
		g_array_set_size(caller->attempts, 1);
		caller->timer = evtimer_new(base, on_timer, caller);
		later(caller, AGAIN_MS);
	}
	return callers;
}

void callers_stop(callers_t *callers)
{
	callers->stopped = true;
}

void callers_settle(callers_t *callers)
{
	callers->settle_us = soak_now_us();
}

void callers_revoked(callers_t *callers, uint64_t from_us)
{
	callers->revoked_us = from_us;
}

void callers_free(callers_t *callers)
{
	for (uint32_t i = 0; i < BAKERS + PRESSES; i++) {
		caller_t *caller = &callers->table[i];

		if (caller->stream)
			bufferevent_free(caller->stream);
		event_free(caller->timer);
		g_array_unref(caller->attempts);
	}
	g_array_unref(callers->doubts);
	g_array_unref(callers->spans);
	g_free(callers);
}

static void connect_caller(caller_t *caller)
{
	callers_t *all = caller->all;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int vm = g_rand_int_range(all->random, 0, SOAK_VMS);

	address.sin_port = htons((uint16_t)(SOAK_FRONT_RELAY + vm));
	inet_pton(AF_INET, SOAK_HOST, &address.sin_addr);
	caller->ready = false;
	caller->session_acked = 0;
	caller->left = g_rand_int_range(all->random, 1, SESSION_STEPS);
	caller->primary = caller->press || g_rand_boolean(all->random);
	caller->stream = bufferevent_socket_new(
		all->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(caller->stream, on_read, NULL, on_event, caller);
	evbuffer_add_printf(bufferevent_get_output(caller->stream),
			    "STARTUP %s %s\r\n",
			    caller->primary ? "orders" : "stock", caller->key);
	bufferevent_enable(caller->stream, EV_READ | EV_WRITE);
	later(caller, OPERATION_MS);
	if (bufferevent_socket_connect(caller->stream,
				       (struct sockaddr *)&address,
				       sizeof(address)))
		end_session(caller, NULL);
}

static void later(caller_t *caller, int ms)
{
	struct timeval time = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(caller->timer, &time);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	caller_t *caller = arg;
	(void)fd;
	(void)what;

	if (!caller->stream && !caller->all->stopped)
		connect_caller(caller);
	else if (caller->stream && (caller->running || !caller->ready))
		end_session(caller, NULL);
	else if (caller->stream)
		begin(caller);
}

static void on_read(struct bufferevent *stream, void *arg)
{
	caller_t *caller = arg;
	char *line;

	while (caller->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF))) {
		take_line(caller, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (!(what & BEV_EVENT_CONNECTED))
		end_session(arg, NULL);
}

static void take_line(caller_t *caller, char *line)
{
	char item[32];

	if (g_str_has_prefix(line, "ROW ")) {
		snprintf(item, sizeof(item), "c%un", caller->number);
		caller->value = 0;
		if (g_str_has_prefix(line + 4, item))
			caller->value = (uint32_t)atoi(line + 4 + strlen(item));
		else if (strcmp(line + 4, "none")) {
			soak_violation("caller %u read \"%s\"", caller->number,
				       line + 4);
			caller->all->violations++;
		}
	} else if (g_str_has_prefix(line, "ERROR ")) {
		end_session(caller, line + 6);
	} else if (g_str_has_prefix(line, "READY ")) {
		if (caller->running)
			step_done(caller);
		else if (!caller->ready)
			later(caller, AGAIN_MS);
		caller->ready = true;
	}
}

static void begin(caller_t *caller)
{
	if (caller->all->stopped || !caller->left--) {
		end_session(caller, NULL);
		return;
	}
	choose(caller);
	caller->running = true;
	caller->step = 0;
	caller->began_us = soak_now_us();
	caller->floor = floor_of(caller);
	later(caller, OPERATION_MS);
	send_step(caller);
}

/* A read, a write, or a transaction that commits or not. */
static void choose(caller_t *caller)
{
	int chance = g_rand_int_range(caller->all->random, 0, 10);
	static const attempt_t unknown;
	uint32_t n = caller->attempts->len, c = caller->number;

	caller->writes = 0;
	caller->reads = caller->press || chance < 5;
	caller->rolls_back = chance == 9;
	if (caller->reads) {
		snprintf(caller->steps[0], sizeof(caller->steps[0]), "READ i%u",
			 c);
		caller->step_count = 1;
		return;
	}
	caller->writes = n;
	g_array_append_val(caller->attempts, unknown);
	caller->step_count = chance < 7 ? 1 : 3;
	snprintf(caller->steps[0], sizeof(caller->steps[0]), "BEGIN");
	snprintf(caller->steps[caller->step_count > 1],
		 sizeof(caller->steps[0]), "WRITE i%u c%un%u", c, c, n);
	snprintf(caller->steps[2], sizeof(caller->steps[0]), "%s",
		 caller->rolls_back ? "ROLLBACK" : "COMMIT");
}

/* The newest write that a read must show. */
static uint32_t floor_of(const caller_t *caller)
{
	uint64_t before = caller->began_us - AGE_US;

	if (caller->primary)
		return caller->highest_acked;
	for (uint32_t n = caller->highest_acked; n > caller->session_acked;
	     n--) {
		const attempt_t *attempt = attempt_of(caller, n);

		if (attempt->fate == FATE_ACKED && attempt->acked_us < before)
			return n;
	}
	return caller->session_acked;
}

static void send_step(caller_t *caller)
{
	evbuffer_add_printf(bufferevent_get_output(caller->stream),
			    "QUERY c%u-%u-%d %s\r\n", caller->number,
			    caller->attempts->len, caller->step,
			    caller->steps[caller->step]);
}

static void step_done(caller_t *caller)
{
	if (++caller->step < caller->step_count)
		send_step(caller);
	else
		succeed(caller);
}

static void succeed(caller_t *caller)
{
	callers_t *all = caller->all;
	span_t span = { caller->began_us, soak_now_us() };

	caller->running = false;
	caller->served_us = span.to_us;
	all->served++;
	if (all->revoked_us && caller->number < 2 &&
	    caller->began_us > all->revoked_us + REVOKE_US) {
		soak_violation("caller %u is served with a withdrawn key",
			       caller->number);
		all->violations++;
	}
	if (caller->press)
		g_array_append_val(all->spans, span);
	if (caller->reads && !caller->press && caller->value < caller->floor) {
		doubt_t doubt = { caller->number, caller->value,
				  caller->floor };

		g_array_append_val(all->doubts, doubt);
	}
	if (caller->writes) {
		attempt_t *attempt = attempt_of(caller, caller->writes);

		attempt->fate = caller->rolls_back ? FATE_REFUSED : FATE_ACKED;
		attempt->acked_us = span.to_us;
		if (!caller->rolls_back)
			caller->highest_acked = caller->session_acked =
				caller->writes;
	}
	later(caller, caller->press ? 1 : AGAIN_MS);
}

/* Ends with an error's code, or without an answer. */
static void end_session(caller_t *caller, const char *code)
{
	if (caller->running && caller->writes && code && is_promise(code))
		attempt_of(caller, caller->writes)->fate = FATE_REFUSED;
	caller->running = false;
	if (caller->stream)
		bufferevent_free(caller->stream);
	caller->stream = NULL;
	later(caller, AGAIN_MS);
}

static bool is_promise(const char *code)
{
	static const char *const promises[] = { "BUSY",	     "ABORTED",
						"LAGGING",   "READONLY",
						"MISROUTED", "CONNLIMIT" };

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++)
		if (g_str_has_prefix(code, promises[i]))
			return true;
	return false;
}

int callers_judge(callers_t *callers, const char *log)
{
	for (uint32_t i = 0; i < BAKERS + PRESSES; i++) {
		if (callers->table[i].served_us >= callers->settle_us)
			continue;
		soak_violation("caller %u isn't served after the faults", i);
		callers->violations++;
	}
	judge_log(callers, log);
	judge_attempts(callers);
	judge_doubts(callers);
	judge_rate(callers, 2000000);
	judge_rate(callers, 5000000);
	printf("%" G_GUINT64_FORMAT " operations served, %u reads looked at "
	       "again, %u statements of the workspace at its rate\n",
	       callers->served, callers->doubts->len, callers->spans->len);
	return callers->violations;
}

/* What the databases have, in the order of the commits. */
static void judge_log(callers_t *callers, const char *log)
{
	gchar **lines = g_strsplit(log, "\n", -1);

	for (uint32_t i = 0; lines[i] && *lines[i]; i++) {
		unsigned int c, same, n;
		char kept[8], leading[16];
		attempt_t *attempt;

		if (sscanf(lines[i], "i%u c%un%u %7s %15s", &c, &same, &n, kept,
			   leading) != 5 ||
		    c != same || c >= BAKERS ||
		    n >= callers->table[c].attempts->len) {
			soak_violation("nobody sent \"%s\"", lines[i]);
			callers->violations++;
			continue;
		}
		attempt = attempt_of(&callers->table[c], n);
		if (attempt->commit) {
			soak_violation("write %u of caller %u ran twice", n, c);
			callers->violations++;
		}
		attempt->commit = i + 1;
		attempt->kept = !strcmp(kept, "kept");
		if (attempt->fate == FATE_ACKED && strcmp(leading, "leading")) {
			soak_violation("write %u of caller %u was acknowledged "
				       "by a replaced primary",
				       n, c);
			callers->violations++;
		}
	}
	g_strfreev(lines);
}

static void judge_attempts(callers_t *callers)
{
	for (uint32_t c = 0; c < BAKERS; c++) {
		const caller_t *caller = &callers->table[c];

		for (uint32_t n = 1; n < caller->attempts->len; n++) {
			const attempt_t *attempt = attempt_of(caller, n);
			const char *what = NULL;

			if (attempt->fate == FATE_ACKED && !attempt->commit)
				what = "was acknowledged and did not run";
			if (attempt->fate == FATE_REFUSED && attempt->kept)
				what = "was refused and is kept";
			if (!what)
				continue;
			soak_violation("write %u of caller %u %s", n, c, what);
			callers->violations++;
		}
	}
}

/*
 * A read may show less than was acknowledged only where a change of primary
 * rolled that back, or where what it shows was committed later.
 */
static void judge_doubts(callers_t *callers)
{
	for (uint32_t i = 0; i < callers->doubts->len; i++) {
		const doubt_t *doubt =
			&g_array_index(callers->doubts, doubt_t, i);
		const caller_t *caller = &callers->table[doubt->caller];
		const attempt_t *shown = attempt_of(caller, doubt->value);

		for (uint32_t n = doubt->value + 1; n <= doubt->floor; n++) {
			const attempt_t *attempt = attempt_of(caller, n);

			if (attempt->fate != FATE_ACKED || !attempt->kept ||
			    attempt->commit < shown->commit)
				continue;
			soak_violation("caller %u read %u after %u was "
				       "acknowledged",
				       doubt->caller, doubt->value, n);
			callers->violations++;
			break;
		}
	}
}

/* Statements that began and ended inside a window ran inside it. */
static void judge_rate(callers_t *callers, uint64_t window_us)
{
	uint64_t most = PRESS_RATE * window_us / 1000000 + PRESS_BURST;

	for (uint32_t i = 0; i < callers->spans->len; i++) {
		uint64_t from =
			g_array_index(callers->spans, span_t, i).from_us;
		uint64_t count = 0;

		for (uint32_t k = 0; k < callers->spans->len; k++) {
			const span_t *span =
				&g_array_index(callers->spans, span_t, k);

			count += span->from_us >= from &&
				 span->to_us <= from + window_us;
		}
		if (count <= most)
			continue;
		soak_violation("%" G_GUINT64_FORMAT
			       " statements in %" G_GUINT64_FORMAT
			       " us, %" G_GUINT64_FORMAT " are allowed",
			       count, window_us, most);
		callers->violations++;
		return;
	}
}

static attempt_t *attempt_of(const caller_t *caller, uint32_t number)
{
	return &g_array_index(caller->attempts, attempt_t, number);
}
