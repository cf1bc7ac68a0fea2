/* Compares what callers were told with what the databases committed. */
#include <stdio.h>
#include <string.h>

#include "tests/soak/caller_internal.h"

/* The limits of workspace press that stand_configure() sets. */
#define PRESS_RATE_PER_S 30
#define PRESS_BURST 30

static void match_commit_log(callers_t *callers, const char *log);
static void check_write_outcomes(callers_t *callers);
static void check_stale_reads(callers_t *callers);
static void check_rate_limit(callers_t *callers, uint64_t window_us);

int callers_check(callers_t *callers, const char *log)
{
	for (uint32_t i = 0; i < BAKERY_CALLERS + PRESS_CALLERS; i++) {
		if (callers->table[i].last_served_us >=
		    callers->service_expected_us)
			continue;
		soak_violation("caller %u completed no operation after the "
			       "recovery time",
			       i);
		callers->violations++;
	}
	match_commit_log(callers, log);
	check_write_outcomes(callers);
	check_stale_reads(callers);
	check_rate_limit(callers, 2000000);
	check_rate_limit(callers, 5000000);
	printf("%" G_GUINT64_FORMAT " operations served, %u stale reads "
	       "checked, %u statements served to the rate-limited workspace\n",
	       callers->operations_served, callers->stale_reads->len,
	       callers->press_spans->len);
	return callers->violations;
}

/*
 * Each line of the log is "iCALLER cCALLERnWRITE kept|lost leading|replaced":
 * a committed write, whether the last primary still has it, and whether a
 * replaced primary committed it.
 */
static void match_commit_log(callers_t *callers, const char *log)
{
	gchar **lines = g_strsplit(log, "\n", -1);

	for (uint32_t i = 0; lines[i] && *lines[i]; i++) {
		unsigned int caller_index, value_caller, write;
		char kept_text[8], role[16];
		write_attempt_t *attempt;

		if (sscanf(lines[i], "i%u c%un%u %7s %15s", &caller_index,
			   &value_caller, &write, kept_text, role) != 5 ||
		    caller_index != value_caller ||
		    caller_index >= BAKERY_CALLERS ||
		    write >= callers->table[caller_index].write_attempts->len) {
			soak_violation(
				"no caller sent the committed write \"%s\"",
				lines[i]);
			callers->violations++;
			continue;
		}
		attempt = soak_write_attempt(&callers->table[caller_index],
					     write);
		if (attempt->commit_index) {
			soak_violation(
				"write %u of caller %u was committed twice",
				write, caller_index);
			callers->violations++;
		}
		attempt->commit_index = i + 1;
		attempt->in_primary_log = !strcmp(kept_text, "kept");
		if (attempt->outcome == OUTCOME_ACKNOWLEDGED &&
		    strcmp(role, "leading")) {
			soak_violation("write %u of caller %u was acknowledged "
				       "by a replaced primary",
				       write, caller_index);
			callers->violations++;
		}
	}
	g_strfreev(lines);
}

static void check_write_outcomes(callers_t *callers)
{
	for (uint32_t caller_index = 0; caller_index < BAKERY_CALLERS;
	     caller_index++) {
		const caller_t *caller = &callers->table[caller_index];

		for (uint32_t write = 1; write < caller->write_attempts->len;
		     write++) {
			const write_attempt_t *attempt =
				soak_write_attempt(caller, write);
			const char *fault = NULL;

			if (attempt->outcome == OUTCOME_ACKNOWLEDGED &&
			    !attempt->commit_index)
				fault = "was acknowledged but never committed";
			if (attempt->outcome == OUTCOME_NOT_APPLIED &&
			    attempt->in_primary_log)
				fault = "was reported as not applied but is "
					"kept";
			if (!fault)
				continue;
			soak_violation("write %u of caller %u %s", write,
				       caller_index, fault);
			callers->violations++;
		}
	}
}

/*
 * A read may return an older write than it had to only if a change of primary
 * discarded the newer one, or if the one it returned was committed later.
 */
static void check_stale_reads(callers_t *callers)
{
	for (uint32_t i = 0; i < callers->stale_reads->len; i++) {
		const stale_read_t *stale_read =
			&g_array_index(callers->stale_reads, stale_read_t, i);
		const caller_t *caller =
			&callers->table[stale_read->caller_index];
		const write_attempt_t *returned =
			soak_write_attempt(caller, stale_read->returned_write);

		for (uint32_t write = stale_read->returned_write + 1;
		     write <= stale_read->required_write; write++) {
			const write_attempt_t *attempt =
				soak_write_attempt(caller, write);

			if (attempt->outcome != OUTCOME_ACKNOWLEDGED ||
			    !attempt->in_primary_log ||
			    attempt->commit_index < returned->commit_index)
				continue;
			soak_violation(
				"caller %u read write %u after write %u was "
				"acknowledged",
				stale_read->caller_index,
				stale_read->returned_write, write);
			callers->violations++;
			break;
		}
	}
}

/*
 * Counts only statements that started and ended inside the window, because
 * only these certainly ran in it.
 */
static void check_rate_limit(callers_t *callers, uint64_t window_us)
{
	uint64_t allowed = PRESS_RATE_PER_S * window_us / 1000000 + PRESS_BURST;

	for (uint32_t i = 0; i < callers->press_spans->len; i++) {
		uint64_t window_start_us =
			g_array_index(callers->press_spans, time_span_t, i)
				.start_us;
		uint64_t count = 0;

		for (uint32_t k = 0; k < callers->press_spans->len; k++) {
			const time_span_t *span = &g_array_index(
				callers->press_spans, time_span_t, k);

			count += span->start_us >= window_start_us &&
				 span->end_us <= window_start_us + window_us;
		}
		if (count <= allowed)
			continue;
		soak_violation(
			"%" G_GUINT64_FORMAT
			" statements of one workspace in %" G_GUINT64_FORMAT
			" us, at most %" G_GUINT64_FORMAT " are allowed",
			count, window_us, allowed);
		callers->violations++;
		return;
	}
}
