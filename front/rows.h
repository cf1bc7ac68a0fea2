/**
 * @file
 * Access to a result set, whichever library produced it.
 */
#ifndef KL_ROWS_H
#define KL_ROWS_H

#include <stddef.h>
#include <stdint.h>

/** Functions that read a result set; rows and columns count from 0. */
typedef struct kl_rows_ops {
	int (*column_count)(const void *rows); /**< number of columns */
	int (*row_count)(const void *rows);    /**< number of rows */
	const char *(*column_name)(const void *rows, int column);
	uint32_t (*column_type)(const void *rows, int column); /**< type OID */
	/** @return 0 for text, 1 for binary */
	int (*column_format)(const void *rows, int column);
	/**
	 * @param length receives the bytes of the value
	 * @return the value, or NULL for SQL NULL
	 */
	const char *(*value)(const void *rows, int row, int column,
			     size_t *length);
} kl_rows_ops_t;

#endif
