/**
 * @file
 * The control calls of a database as statements, and their answers.
 */
#ifndef KL_CONTROL_QUERY_H
#define KL_CONTROL_QUERY_H

#include "control/node.h"
#include "upstream/link.h"

/** Room for a control statement. */
#define KL_CONTROL_QUERY_MAX 64

/** Write the statement of a control call. */
void kl_control_query_format(kl_database_op_t op, uint64_t term,
			     char text[KL_CONTROL_QUERY_MAX]);

/** Read an answer; sets error, primary, term, sealed and position. */
void kl_control_query_parse(const kl_db_result_t *results, int count,
			    kl_database_answer_t *answer);

#endif
