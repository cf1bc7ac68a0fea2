/*
 * The few statements of the database stand-in: rows (k, v) by key, and the
 * control calls.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "standin/database.h"

typedef void (*runner_t)(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, outcome_t *outcome);

typedef struct statement {
	const char *pattern;
	runner_t run;
	bool write;
	bool control;
	GRegex *regex;
} statement_t;

static void run_begin(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, outcome_t *outcome);
static void run_commit(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome);
static void run_rollback(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, outcome_t *outcome);
static void run_insert(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome);
static void run_update(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome);
static void run_increment(database_t *database, transaction_t *transaction,
			  GMatchInfo *match, outcome_t *outcome);
static void run_delete(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome);
static void run_select(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome);
static void run_count(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, outcome_t *outcome);
static void run_constant(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, outcome_t *outcome);
static void run_discard(database_t *database, transaction_t *transaction,
			GMatchInfo *match, outcome_t *outcome);
static void run_control(database_t *database, transaction_t *transaction,
			GMatchInfo *match, outcome_t *outcome);
static statement_t *statement_of(const char *text, GMatchInfo **match);
static void change(database_t *database, transaction_t *transaction,
		   const char *key, const char *value, outcome_t *outcome);
static char *key_of(GMatchInfo *match, int table, int key);
static const char *look_up(database_t *database,
			   const transaction_t *transaction, const char *key);
static void fail(transaction_t *transaction, outcome_t *outcome,
		 const char *sqlstate, const char *text);
static void one_row(outcome_t *outcome, const char *name, const char *value);

#define VALUE "'((?:[^']|'')*)'"

static statement_t statements[] = {
	{ "^\\s*(?:begin|start transaction)( read only)?", run_begin, false,
	  false, NULL },
	{ "^\\s*(?:commit|end)", run_commit, true, false, NULL },
	{ "^\\s*(?:rollback|abort)", run_rollback, false, false, NULL },
	{ "^\\s*insert into (\\w+)(?: ?\\(k, v\\))? values "
	  "\\(" VALUE ", ?" VALUE "\\)",
	  run_insert, true, false, NULL },
	{ "^\\s*update (\\w+) set v = v \\+ 1 where k = " VALUE, run_increment,
	  true, false, NULL },
	{ "^\\s*update (\\w+) set v = " VALUE " where k = " VALUE, run_update,
	  true, false, NULL },
	{ "^\\s*delete from (\\w+) where k = " VALUE, run_delete, true, false,
	  NULL },
	{ "^\\s*select v from (\\w+) where k = " VALUE, run_select, false,
	  false, NULL },
	{ "^\\s*select count\\(\\*\\) from (\\w+)", run_count, false, false,
	  NULL },
	{ "^\\s*select (\\d+)\\s*$", run_constant, false, true, NULL },
	{ "^\\s*discard all", run_discard, false, true, NULL },
	{ "^\\s*select kl_(status|seal|promote|follow)\\((\\d+)\\)",
	  run_control, false, true, NULL },
};

bool standin_is_control(const char *text)
{
	GMatchInfo *match = NULL;
	statement_t *statement = statement_of(text, &match);

	g_match_info_unref(match);
	return statement && statement->control;
}

bool standin_is_write(const char *text)
{
	GMatchInfo *match = NULL;
	statement_t *statement = statement_of(text, &match);

	g_match_info_unref(match);
	return statement && statement->write;
}

void standin_execute(database_t *database, transaction_t *transaction,
		     const char *text, outcome_t *outcome)
{
	GMatchInfo *match = NULL;
	statement_t *statement = statement_of(text, &match);

	memset(outcome, 0, sizeof(*outcome));
	if (!statement)
		fail(transaction, outcome, "42601", "no such statement here");
	else if (transaction->state == 'E' && statement->run != run_rollback &&
		 statement->run != run_commit)
		fail(transaction, outcome, "25P02",
		     "the transaction is aborted");
	else
		statement->run(database, transaction, match, outcome);
	if (match)
		g_match_info_unref(match);
}

static statement_t *statement_of(const char *text, GMatchInfo **match)
{
	for (size_t i = 0; i < sizeof(statements) / sizeof(*statements); i++) {
		statement_t *row = &statements[i];

		if (!row->regex)
			row->regex = g_regex_new(
				row->pattern,
				G_REGEX_CASELESS | G_REGEX_OPTIMIZE, 0, NULL);
		if (*match)
			g_match_info_unref(*match);
		if (g_regex_match(row->regex, text, 0, match))
			return row;
	}
	return NULL;
}

static void run_begin(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, outcome_t *outcome)
{
	char *mode = g_match_info_fetch(match, 1);
	(void)database;

	transaction->state = 'T';
	transaction->read_only = mode && *mode;
	g_free(mode);
	strcpy(outcome->tag, "BEGIN");
}

static void run_commit(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome)
{
	guint count = transaction->changes->len;
	(void)match;

	if (transaction->state == 'E') {
		run_rollback(database, transaction, match, outcome);
		return;
	}
	transaction->state = 'I';
	if (count &&
	    (!database->primary || database->sealed > database->term)) {
		g_ptr_array_set_size(transaction->changes, 0);
		outcome->sqlstate = "25006";
		outcome->text = "not the primary of its term";
		return;
	}
	for (guint i = 0; i < count; i += 2)
		standin_append(database,
			       g_ptr_array_index(transaction->changes, i),
			       g_ptr_array_index(transaction->changes, i + 1));
	g_ptr_array_set_size(transaction->changes, 0);
	strcpy(outcome->tag, "COMMIT");
}

static void run_rollback(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, outcome_t *outcome)
{
	(void)database;
	(void)match;
	g_ptr_array_set_size(transaction->changes, 0);
	transaction->state = 'I';
	strcpy(outcome->tag, "ROLLBACK");
}

static void run_insert(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome)
{
	char *key = key_of(match, 1, 2);
	char *value = g_match_info_fetch(match, 3);

	if (look_up(database, transaction, key))
		fail(transaction, outcome, "23505", "the key exists");
	else
		change(database, transaction, key, value, outcome);
	if (!outcome->sqlstate)
		strcpy(outcome->tag, "INSERT 0 1");
	g_free(key);
	g_free(value);
}

static void run_update(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome)
{
	char *key = key_of(match, 1, 3);
	char *value = g_match_info_fetch(match, 2);
	bool there = look_up(database, transaction, key) != NULL;

	if (there)
		change(database, transaction, key, value, outcome);
	if (!outcome->sqlstate)
		strcpy(outcome->tag, there ? "UPDATE 1" : "UPDATE 0");
	g_free(key);
	g_free(value);
}

static void run_increment(database_t *database, transaction_t *transaction,
			  GMatchInfo *match, outcome_t *outcome)
{
	char *key = key_of(match, 1, 2);
	const char *old = look_up(database, transaction, key);
	char value[32];

	snprintf(value, sizeof(value), "%lld", old ? atoll(old) + 1 : 1ll);
	change(database, transaction, key, value, outcome);
	if (!outcome->sqlstate)
		strcpy(outcome->tag, "UPDATE 1");
	g_free(key);
}

static void run_delete(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome)
{
	char *key = key_of(match, 1, 2);
	bool there = look_up(database, transaction, key) != NULL;

	if (there)
		change(database, transaction, key, NULL, outcome);
	if (!outcome->sqlstate)
		strcpy(outcome->tag, there ? "DELETE 1" : "DELETE 0");
	g_free(key);
}

static void run_select(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, outcome_t *outcome)
{
	char *key = key_of(match, 1, 2);
	const char *value = look_up(database, transaction, key);

	one_row(outcome, "v", value ? value : "");
	outcome->rows = value ? 1 : 0;
	strcpy(outcome->tag, value ? "SELECT 1" : "SELECT 0");
	g_free(key);
}

static void run_count(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, outcome_t *outcome)
{
	char *table = g_match_info_fetch(match, 1);
	char value[32];
	(void)transaction;

	snprintf(value, sizeof(value), "%" PRIu64,
		 standin_count(database, table));
	one_row(outcome, "count", value);
	g_free(table);
}

static void run_constant(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, outcome_t *outcome)
{
	char *value = g_match_info_fetch(match, 1);
	(void)database;
	(void)transaction;

	one_row(outcome, "constant", value);
	g_free(value);
}

static void run_discard(database_t *database, transaction_t *transaction,
			GMatchInfo *match, outcome_t *outcome)
{
	(void)database;
	(void)transaction;
	(void)match;
	strcpy(outcome->tag, "DISCARD ALL");
}

static void run_control(database_t *database, transaction_t *transaction,
			GMatchInfo *match, outcome_t *outcome)
{
	static const char names[4][32] = { "role", "term", "sealed",
					   "position" };
	char *what = g_match_info_fetch(match, 1);
	char *argument = g_match_info_fetch(match, 2);
	uint64_t term = strtoull(argument, NULL, 10);
	(void)transaction;

	if (!strcmp(what, "seal") && term > database->sealed)
		database->sealed = term;
	else if (!strcmp(what, "promote"))
		standin_promote(database, term);
	else if (!strcmp(what, "follow"))
		standin_follow(database, term);
	outcome->columns = 4;
	outcome->has_rows = true;
	outcome->rows = 1;
	memcpy(outcome->names, names, sizeof(names));
	strcpy(outcome->values[0], database->primary ? "primary" : "replica");
	snprintf(outcome->values[1], 256, "%" PRIu64, database->term);
	snprintf(outcome->values[2], 256, "%" PRIu64, database->sealed);
	snprintf(outcome->values[3], 256, "%u", database->log->len);
	strcpy(outcome->tag, "SELECT 1");
	g_free(what);
	g_free(argument);
}

static void change(database_t *database, transaction_t *transaction,
		   const char *key, const char *value, outcome_t *outcome)
{
	if (!database->primary || database->sealed > database->term ||
	    transaction->read_only) {
		fail(transaction, outcome, "25006",
		     "not the primary of its term, or read only");
		return;
	}
	if (transaction->state == 'I') {
		standin_append(database, key, value);
		return;
	}
	g_ptr_array_add(transaction->changes, g_strdup(key));
	g_ptr_array_add(transaction->changes, g_strdup(value));
}

static char *key_of(GMatchInfo *match, int table, int key)
{
	char *first = g_match_info_fetch(match, table);
	char *second = g_match_info_fetch(match, key);
	char *whole = g_strdup_printf("%s/%s", first, second);

	g_free(first);
	g_free(second);
	return whole;
}

/* A transaction sees its own changes. */
static const char *look_up(database_t *database,
			   const transaction_t *transaction, const char *key)
{
	for (guint i = transaction->changes->len; i >= 2; i -= 2)
		if (!strcmp(g_ptr_array_index(transaction->changes, i - 2),
			    key))
			return g_ptr_array_index(transaction->changes, i - 1);
	return standin_get(database, key);
}

static void fail(transaction_t *transaction, outcome_t *outcome,
		 const char *sqlstate, const char *text)
{
	if (transaction->state == 'T')
		transaction->state = 'E';
	outcome->sqlstate = sqlstate;
	outcome->text = text;
}

static void one_row(outcome_t *outcome, const char *name, const char *value)
{
	outcome->columns = 1;
	outcome->has_rows = true;
	outcome->rows = 1;
	snprintf(outcome->names[0], sizeof(outcome->names[0]), "%s", name);
	snprintf(outcome->values[0], sizeof(outcome->values[0]), "%s", value);
	strcpy(outcome->tag, "SELECT 1");
}
