/**
 * @file
 * Finds members and elements in a JSON text without decoding it.  A library
 * refuses a text as a whole if any part can't be read: bytes that are not
 * UTF-8, numbers out of range, too much nesting.  With slices each part is
 * decoded by itself.
 */
#ifndef KL_JSON_SLICE_H
#define KL_JSON_SLICE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** A value in a JSON text; the text belongs to the caller. */
typedef struct kl_json_slice {
	const char *text; /**< NULL: no value */
	size_t length;	  /**< bytes */
} kl_json_slice_t;

/**
 * Find a member of an object.
 *
 * @return its value; without a text if there is none, or if the slice is not
 *         an object
 */
kl_json_slice_t kl_json_slice_member(kl_json_slice_t object, const char *name);

/**
 * Find the next element of an array.
 *
 * @param previous the element before it; without a text for the first one
 * @return without a text if there is none, or if the slice is not an array
 */
kl_json_slice_t kl_json_slice_next(kl_json_slice_t array,
				   kl_json_slice_t previous);

/** Decode a slice. @return NULL if it can't be read */
json_t *kl_json_slice_decode(kl_json_slice_t slice);

#endif
