/* Control calls to a database as calls of SQL functions. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "upstream/control_query.h"

/* Columns of the single row that each control function returns. */
enum {
	COLUMN_ROLE,
	COLUMN_TERM,
	COLUMN_MIN_TERM,
	COLUMN_POSITION,
	COLUMN_COUNT
};

static const char *const statements[KL_DATABASE_OP_COUNT] = {
	[KL_DATABASE_STATUS] = "SELECT kl_status(%" PRIu64 ")",
	[KL_DATABASE_SEAL] = "SELECT kl_seal(%" PRIu64 ")",
	[KL_DATABASE_PROMOTE] = "SELECT kl_promote(%" PRIu64 ")",
	[KL_DATABASE_FOLLOW] = "SELECT kl_follow(%" PRIu64 ")",
};

static uint64_t uint64_column(const kl_db_result_t *result, int column);

void kl_control_query_format(kl_database_op_t op, uint64_t term,
			     char text[KL_CONTROL_QUERY_MAX])
{
	snprintf(text, KL_CONTROL_QUERY_MAX, statements[op], term);
}

void kl_control_query_parse(const kl_db_result_t *results, int count,
			    kl_database_answer_t *answer)
{
	const kl_db_result_t *result = results;
	size_t length = 0;
	const char *role;

	answer->error = -KL_E_UPSTREAM;
	if (count != 1 || result->sqlstate || !result->has_rows ||
	    result->rows_ops->row_count(result->rows) != 1 ||
	    result->rows_ops->column_count(result->rows) != COLUMN_COUNT)
		return;
	role = result->rows_ops->value(result->rows, 0, COLUMN_ROLE, &length);
	if (!role)
		return;
	answer->error = 0;
	answer->reported_primary = !strcmp(role, "primary");
	answer->term = uint64_column(result, COLUMN_TERM);
	answer->min_term = uint64_column(result, COLUMN_MIN_TERM);
	answer->position = uint64_column(result, COLUMN_POSITION);
}

static uint64_t uint64_column(const kl_db_result_t *result, int column)
{
	size_t length = 0;
	const char *text =
		result->rows_ops->value(result->rows, 0, column, &length);

	return text ? strtoull(text, NULL, 10) : 0;
}
