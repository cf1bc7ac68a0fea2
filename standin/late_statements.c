#include <ck_queue.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "standin/late_statements.h"
#include "standin/store.h"

#define ID_BYTES 64

typedef struct late_statement {
	CK_STAILQ_ENTRY(late_statement) link;
	char id[ID_BYTES];
	char database[ID_BYTES];
	char state;
	int64_t age_ms;
	gint64 arrived_us;
} late_statement_t;

static CK_STAILQ_HEAD(, late_statement)
	late_statements = CK_STAILQ_HEAD_INITIALIZER(late_statements);

void late_statements_check(const char *id, const char *database,
			   const char *domain, char state)
{
	int64_t age_ms = store_age_ms("evacuations", domain);
	late_statement_t *statement;

	if (!strcmp(id, "-") || age_ms <= EVACUATION_LIMIT_MS)
		return;
	statement = calloc(1, sizeof(*statement));
	if (!statement)
		abort();
	g_strlcpy(statement->id, id, ID_BYTES);
	g_strlcpy(statement->database, database, ID_BYTES);
	statement->state = state;
	statement->age_ms = age_ms;
	statement->arrived_us = g_get_monotonic_time();
	CK_STAILQ_INSERT_TAIL(&late_statements, statement, link);
}

void late_statements_print(struct evbuffer *out)
{
	const late_statement_t *statement;

	CK_STAILQ_FOREACH(statement, &late_statements, link)
		evbuffer_add_printf(out, "%s %s %c %" PRId64 " %" PRId64 "\n",
				    statement->id, statement->database,
				    statement->state, statement->age_ms,
				    (int64_t)statement->arrived_us);
}
