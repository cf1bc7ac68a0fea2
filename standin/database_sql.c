/*
 * Statements that the database stand-in understands: reads and writes of
 * tables with the columns k and v, transactions, and the functions kl_status,
 * kl_seal, kl_promote and kl_follow.  A regular expression recognizes each.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "standin/database.h"

typedef void (*statement_handler_t)(database_t *database,
				    transaction_t *transaction,
				    GMatchInfo *match, stmt_result_t *result);

typedef struct statement {
	const char *pattern;
	statement_handler_t handler;
	bool is_write; /* counts for the faults die_before and die_after */
	bool bypasses_slots; /* for health checks, kl_ functions and connection
				resets: they must not queue behind others */
	GRegex *regex;	     /* compiled from pattern at the first use */
} statement_t;

static void run_begin(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, stmt_result_t *result);
static void run_commit(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result);
static void run_rollback(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, stmt_result_t *result);
static void run_insert(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result);
static void run_update(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result);
static void run_increment(database_t *database, transaction_t *transaction,
			  GMatchInfo *match, stmt_result_t *result);
static void run_delete(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result);
static void run_select(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result);
static void run_count(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, stmt_result_t *result);
static void run_constant(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, stmt_result_t *result);
static void run_discard(database_t *database, transaction_t *transaction,
			GMatchInfo *match, stmt_result_t *result);
static void run_control(database_t *database, transaction_t *transaction,
			GMatchInfo *match, stmt_result_t *result);
static statement_t *find_statement(const char *sql, GMatchInfo **match);
static void buffer_or_append(database_t *database, transaction_t *transaction,
			     const char *key, const char *value,
			     stmt_result_t *result);
static char *table_key(GMatchInfo *match, int table_group, int key_group);
static const char *find_value(database_t *database,
			      const transaction_t *transaction,
			      const char *key);
static void set_error(transaction_t *transaction, stmt_result_t *result,
		      const char *sqlstate, const char *message);
static void set_single_row(stmt_result_t *result, const char *name,
			   const char *value);

/* A string literal; the group holds its contents. */
#define SQL_STRING "'((?:[^']|'')*)'"

static statement_t statements[] = {
	{ "^\\s*(?:begin|start transaction)( read only)?", run_begin, false,
	  false, NULL },
	{ "^\\s*(?:commit|end)", run_commit, true, false, NULL },
	{ "^\\s*(?:rollback|abort)", run_rollback, false, false, NULL },
	{ "^\\s*insert into (\\w+)(?: ?\\(k, v\\))? values "
	  "\\(" SQL_STRING ", ?" SQL_STRING "\\)",
	  run_insert, true, false, NULL },
	{ "^\\s*update (\\w+) set v = v \\+ 1 where k = " SQL_STRING,
	  run_increment, true, false, NULL },
	{ "^\\s*update (\\w+) set v = " SQL_STRING " where k = " SQL_STRING,
	  run_update, true, false, NULL },
	{ "^\\s*delete from (\\w+) where k = " SQL_STRING, run_delete, true,
	  false, NULL },
	{ "^\\s*select v from (\\w+) where k = " SQL_STRING, run_select, false,
	  false, NULL },
	{ "^\\s*select count\\(\\*\\) from (\\w+)", run_count, false, false,
	  NULL },
	{ "^\\s*select (\\d+)\\s*$", run_constant, false, true, NULL },
	{ "^\\s*discard all", run_discard, false, true, NULL },
	{ "^\\s*select kl_(status|seal|promote|follow)\\((\\d+)\\)",
	  run_control, false, true, NULL },
};

bool standin_bypasses_slots(const char *sql)
{
	GMatchInfo *match = NULL;
	statement_t *statement = find_statement(sql, &match);

	g_match_info_unref(match);
	return statement && statement->bypasses_slots;
}

bool standin_is_write(const char *sql)
{
	GMatchInfo *match = NULL;
	statement_t *statement = find_statement(sql, &match);

	g_match_info_unref(match);
	return statement && statement->is_write;
}

void standin_execute_statement(database_t *database, transaction_t *transaction,
			       const char *sql, stmt_result_t *result)
{
	GMatchInfo *match = NULL;
	statement_t *statement = find_statement(sql, &match);

	memset(result, 0, sizeof(*result));
	if (!statement)
		set_error(transaction, result, "42601",
			  "statement not supported by the stand-in");
	else if (transaction->state == 'E' &&
		 statement->handler != run_rollback &&
		 statement->handler != run_commit)
		set_error(transaction, result, "25P02",
			  "the transaction is aborted");
	else
		statement->handler(database, transaction, match, result);
	if (match)
		g_match_info_unref(match);
}

static statement_t *find_statement(const char *sql, GMatchInfo **match)
{
	for (size_t i = 0; i < sizeof(statements) / sizeof(*statements); i++) {
		statement_t *row = &statements[i];

		if (!row->regex)
			row->regex = g_regex_new(
				row->pattern,
				G_REGEX_CASELESS | G_REGEX_OPTIMIZE, 0, NULL);
		if (*match)
			g_match_info_unref(*match);
		if (g_regex_match(row->regex, sql, 0, match))
			return row;
	}
	return NULL;
}

static void run_begin(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, stmt_result_t *result)
{
	char *mode = g_match_info_fetch(match, 1);
	(void)database;

	transaction->state = 'T';
	transaction->read_only = mode && *mode;
	g_free(mode);
	strcpy(result->tag, "BEGIN");
}

static void run_commit(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result)
{
	guint count = transaction->changes->len;
	(void)match;

	if (transaction->state == 'E') {
		run_rollback(database, transaction, match, result);
		return;
	}
	transaction->state = 'I';
	if (count &&
	    (!database->primary || database->min_write_term > database->term)) {
		g_ptr_array_set_size(transaction->changes, 0);
		result->sqlstate = "25006";
		result->error_message = "not the primary of its term";
		return;
	}
	for (guint i = 0; i < count; i += 2)
		standin_append_change(
			database, g_ptr_array_index(transaction->changes, i),
			g_ptr_array_index(transaction->changes, i + 1));
	g_ptr_array_set_size(transaction->changes, 0);
	strcpy(result->tag, "COMMIT");
}

static void run_rollback(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, stmt_result_t *result)
{
	(void)database;
	(void)match;
	g_ptr_array_set_size(transaction->changes, 0);
	transaction->state = 'I';
	strcpy(result->tag, "ROLLBACK");
}

static void run_insert(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result)
{
	char *key = table_key(match, 1, 2);
	char *value = g_match_info_fetch(match, 3);

	if (find_value(database, transaction, key))
		set_error(transaction, result, "23505", "the key exists");
	else
		buffer_or_append(database, transaction, key, value, result);
	if (!result->sqlstate)
		strcpy(result->tag, "INSERT 0 1");
	g_free(key);
	g_free(value);
}

static void run_update(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result)
{
	char *key = table_key(match, 1, 3);
	char *value = g_match_info_fetch(match, 2);
	bool exists = find_value(database, transaction, key) != NULL;

	if (exists)
		buffer_or_append(database, transaction, key, value, result);
	if (!result->sqlstate)
		strcpy(result->tag, exists ? "UPDATE 1" : "UPDATE 0");
	g_free(key);
	g_free(value);
}

static void run_increment(database_t *database, transaction_t *transaction,
			  GMatchInfo *match, stmt_result_t *result)
{
	char *key = table_key(match, 1, 2);
	const char *old = find_value(database, transaction, key);
	char value[32];

	snprintf(value, sizeof(value), "%lld", old ? atoll(old) + 1 : 1ll);
	buffer_or_append(database, transaction, key, value, result);
	if (!result->sqlstate)
		strcpy(result->tag, "UPDATE 1");
	g_free(key);
}

static void run_delete(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result)
{
	char *key = table_key(match, 1, 2);
	bool exists = find_value(database, transaction, key) != NULL;

	if (exists)
		buffer_or_append(database, transaction, key, NULL, result);
	if (!result->sqlstate)
		strcpy(result->tag, exists ? "DELETE 1" : "DELETE 0");
	g_free(key);
}

static void run_select(database_t *database, transaction_t *transaction,
		       GMatchInfo *match, stmt_result_t *result)
{
	char *key = table_key(match, 1, 2);
	const char *value = find_value(database, transaction, key);

	set_single_row(result, "v", value ? value : "");
	result->row_count = value ? 1 : 0;
	strcpy(result->tag, value ? "SELECT 1" : "SELECT 0");
	g_free(key);
}

static void run_count(database_t *database, transaction_t *transaction,
		      GMatchInfo *match, stmt_result_t *result)
{
	char *table = g_match_info_fetch(match, 1);
	char value[32];
	(void)transaction;

	snprintf(value, sizeof(value), "%" PRIu64,
		 standin_count_rows(database, table));
	set_single_row(result, "count", value);
	g_free(table);
}

static void run_constant(database_t *database, transaction_t *transaction,
			 GMatchInfo *match, stmt_result_t *result)
{
	char *value = g_match_info_fetch(match, 1);
	(void)database;
	(void)transaction;

	set_single_row(result, "constant", value);
	g_free(value);
}

static void run_discard(database_t *database, transaction_t *transaction,
			GMatchInfo *match, stmt_result_t *result)
{
	(void)database;
	(void)transaction;
	(void)match;
	strcpy(result->tag, "DISCARD ALL");
}

static void run_control(database_t *database, transaction_t *transaction,
			GMatchInfo *match, stmt_result_t *result)
{
	static const char names[4][32] = { "role", "term", "sealed",
					   "position" };
	char *function = g_match_info_fetch(match, 1);
	char *argument = g_match_info_fetch(match, 2);
	uint64_t term = strtoull(argument, NULL, 10);
	(void)transaction;

	if (!strcmp(function, "seal") && term > database->min_write_term)
		database->min_write_term = term;
	else if (!strcmp(function, "promote"))
		standin_promote(database, term);
	else if (!strcmp(function, "follow"))
		standin_follow(database, term);
	result->column_count = 4;
	result->has_rows = true;
	result->row_count = 1;
	memcpy(result->column_names, names, sizeof(names));
	strcpy(result->values[0], database->primary ? "primary" : "replica");
	snprintf(result->values[1], 256, "%" PRIu64, database->term);
	snprintf(result->values[2], 256, "%" PRIu64, database->min_write_term);
	snprintf(result->values[3], 256, "%u", database->log->len);
	strcpy(result->tag, "SELECT 1");
	g_free(function);
	g_free(argument);
}

/* Buffers a change until COMMIT; outside a transaction it is committed now. */
static void buffer_or_append(database_t *database, transaction_t *transaction,
			     const char *key, const char *value,
			     stmt_result_t *result)
{
	if (!database->primary || database->min_write_term > database->term ||
	    transaction->read_only) {
		set_error(transaction, result, "25006",
			  "not the primary of its term, or read only");
		return;
	}
	if (transaction->state == 'I') {
		standin_append_change(database, key, value);
		return;
	}
	g_ptr_array_add(transaction->changes, g_strdup(key));
	g_ptr_array_add(transaction->changes, g_strdup(value));
}

/* Joins two groups of a match to "table/key". */
static char *table_key(GMatchInfo *match, int table_group, int key_group)
{
	char *table_name = g_match_info_fetch(match, table_group);
	char *row_key = g_match_info_fetch(match, key_group);
	char *joined = g_strdup_printf("%s/%s", table_name, row_key);

	g_free(table_name);
	g_free(row_key);
	return joined;
}

/* Reads the transaction's own changes first, the newest before the others. */
static const char *find_value(database_t *database,
			      const transaction_t *transaction, const char *key)
{
	for (guint i = transaction->changes->len; i >= 2; i -= 2)
		if (!strcmp(g_ptr_array_index(transaction->changes, i - 2),
			    key))
			return g_ptr_array_index(transaction->changes, i - 1);
	return standin_get_value(database, key);
}

static void set_error(transaction_t *transaction, stmt_result_t *result,
		      const char *sqlstate, const char *message)
{
	if (transaction->state == 'T')
		transaction->state = 'E';
	result->sqlstate = sqlstate;
	result->error_message = message;
}

static void set_single_row(stmt_result_t *result, const char *name,
			   const char *value)
{
	result->column_count = 1;
	result->has_rows = true;
	result->row_count = 1;
	snprintf(result->column_names[0], sizeof(result->column_names[0]), "%s",
		 name);
	snprintf(result->values[0], sizeof(result->values[0]), "%s", value);
	strcpy(result->tag, "SELECT 1");
}
