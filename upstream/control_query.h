/**
 * @file
 * SQL statements for control calls to a database, and their results.
 */
#ifndef KL_CONTROL_QUERY_H
#define KL_CONTROL_QUERY_H

#include "control/node.h"
#include "upstream/db_conn.h"

/** Bytes of the longest control statement, with its terminating zero. */
#define KL_CONTROL_QUERY_MAX 64

/** Write the SQL statement of a control call. */
void kl_control_query_format(kl_database_op_t op, uint64_t term,
			     char text[KL_CONTROL_QUERY_MAX]);

/**
 * Read the result of a control statement.
 *
 * Sets error, primary, term, min_term and position of the answer.  The error
 * is -KL_E_UPSTREAM if the database returned an error or an unexpected result.
 */
void kl_control_query_parse(const kl_db_result_t *results, int count,
			    kl_database_answer_t *answer);

#endif
