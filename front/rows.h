/**
 * @file
 * A result, whatever brought it.
 */
#ifndef KL_ROWS_H
#define KL_ROWS_H

#include <stddef.h>
#include <stdint.h>

/** How to read a result. */
typedef struct kl_rows_ops {
	int (*column_count)(const void *rows);
	int (*row_count)(const void *rows);
	const char *(*column_name)(const void *rows, int column);
	uint32_t (*column_type)(const void *rows, int column);
	int (*column_format)(const void *rows, int column);
	/** @return NULL for SQL NULL */
	const char *(*value)(const void *rows, int row, int column,
			     size_t *length);
} kl_rows_ops_t;

#endif
