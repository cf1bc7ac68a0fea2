/* Compares what callers saw with what the databases committed. */
#include <stdio.h>
#include <string.h>

#include "tests/soak/caller_internal.h"

#define PRESS_RATE 30  /* statements a second */
#define PRESS_BURST 30 /* statements */

static void judge_log(callers_t *callers, const char *log);
static void judge_attempts(callers_t *callers);
static void judge_doubts(callers_t *callers);
static void judge_rate(callers_t *callers, uint64_t window_us);

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
		attempt = soak_attempt(&callers->table[c], n);
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
			const attempt_t *attempt = soak_attempt(caller, n);
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
		const attempt_t *shown = soak_attempt(caller, doubt->value);

		for (uint32_t n = doubt->value + 1; n <= doubt->floor; n++) {
			const attempt_t *attempt = soak_attempt(caller, n);

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
