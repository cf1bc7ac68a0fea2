/* Compares the answers to clients with the writes that databases committed. */
#include <stdio.h>
#include <string.h>

#include "tests/soak/client_internal.h"

/* The limits of workspace press that stand_configure() sets. */
#define PRESS_RATE_PER_S 30
#define PRESS_BURST 30

static void match_commit_log(clients_t *clients, const char *log);
static void check_write_outcomes(clients_t *clients);
static void check_stale_reads(clients_t *clients);
static void check_rate_limit(clients_t *clients, uint64_t window_us);

int clients_check(clients_t *clients, const char *log)
{
	for (uint32_t i = 0; i < BAKERY_CLIENTS + PRESS_CLIENTS; i++) {
		if (clients->table[i].last_served_at_us >=
		    clients->service_expected_from_us)
			continue;
		soak_violation("client %u completed no operation after the "
			       "recovery time",
			       i);
		clients->violations++;
	}
	match_commit_log(clients, log);
	check_write_outcomes(clients);
	check_stale_reads(clients);
	check_rate_limit(clients, 2000000);
	check_rate_limit(clients, 5000000);
	printf("%" G_GUINT64_FORMAT " operations served, %u stale reads "
	       "checked, %u statements served to the rate-limited workspace\n",
	       clients->operations_served, clients->stale_reads->len,
	       clients->press_spans->len);
	return clients->violations;
}

/*
 * Each line of the log is "iCLIENT cCLIENTnWRITE kept|lost leading|replaced":
 * a committed write, whether the last primary still has it, and whether a
 * replaced primary committed it.
 */
static void match_commit_log(clients_t *clients, const char *log)
{
	gchar **lines = g_strsplit(log, "\n", -1);

	for (uint32_t i = 0; lines[i] && *lines[i]; i++) {
		unsigned int client_index, value_client, write;
		char kept_text[8], role[16];
		write_attempt_t *attempt;

		if (sscanf(lines[i], "i%u c%un%u %7s %15s", &client_index,
			   &value_client, &write, kept_text, role) != 5 ||
		    client_index != value_client ||
		    client_index >= BAKERY_CLIENTS ||
		    write >= clients->table[client_index].write_attempts->len) {
			soak_violation(
				"no client sent the committed write \"%s\"",
				lines[i]);
			clients->violations++;
			continue;
		}
		attempt = soak_write_attempt(&clients->table[client_index],
					     write);
		if (attempt->commit_index) {
			soak_violation(
				"write %u of client %u was committed twice",
				write, client_index);
			clients->violations++;
		}
		attempt->commit_index = i + 1;
		attempt->in_primary_log = !strcmp(kept_text, "kept");
		if (attempt->outcome == OUTCOME_ACKNOWLEDGED &&
		    strcmp(role, "leading")) {
			soak_violation("write %u of client %u was acknowledged "
				       "by a replaced primary",
				       write, client_index);
			clients->violations++;
		}
	}
	g_strfreev(lines);
}

static void check_write_outcomes(clients_t *clients)
{
	for (uint32_t client_index = 0; client_index < BAKERY_CLIENTS;
	     client_index++) {
		const client_t *client = &clients->table[client_index];

		for (uint32_t write = 1; write < client->write_attempts->len;
		     write++) {
			const write_attempt_t *attempt =
				soak_write_attempt(client, write);
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
			soak_violation("write %u of client %u %s", write,
				       client_index, fault);
			clients->violations++;
		}
	}
}

/*
 * A read may return an older write than it had to only if a change of primary
 * discarded the newer one, or if the one it returned was committed later.
 */
static void check_stale_reads(clients_t *clients)
{
	for (uint32_t i = 0; i < clients->stale_reads->len; i++) {
		const stale_read_t *stale_read =
			&g_array_index(clients->stale_reads, stale_read_t, i);
		const client_t *client =
			&clients->table[stale_read->client_index];
		const write_attempt_t *returned =
			soak_write_attempt(client, stale_read->returned_write);

		for (uint32_t write = stale_read->returned_write + 1;
		     write <= stale_read->required_write; write++) {
			const write_attempt_t *attempt =
				soak_write_attempt(client, write);

			if (attempt->outcome != OUTCOME_ACKNOWLEDGED ||
			    !attempt->in_primary_log ||
			    attempt->commit_index < returned->commit_index)
				continue;
			soak_violation(
				"client %u read write %u after write %u was "
				"acknowledged",
				stale_read->client_index,
				stale_read->returned_write, write);
			clients->violations++;
			break;
		}
	}
}

/*
 * Counts only statements that started and ended inside the window, because
 * only these certainly ran in it.
 */
static void check_rate_limit(clients_t *clients, uint64_t window_us)
{
	uint64_t allowed = PRESS_RATE_PER_S * window_us / 1000000 + PRESS_BURST;

	for (uint32_t i = 0; i < clients->press_spans->len; i++) {
		uint64_t window_start_us =
			g_array_index(clients->press_spans, time_span_t, i)
				.start_us;
		uint64_t count = 0;

		for (uint32_t k = 0; k < clients->press_spans->len; k++) {
			const time_span_t *span = &g_array_index(
				clients->press_spans, time_span_t, k);

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
		clients->violations++;
		return;
	}
}
