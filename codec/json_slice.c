/*
 * Strings are skipped with their escapes, and brackets are counted, so that
 * nesting takes no stack.
 */
#include <string.h>

#include "codec/json_slice.h"

/* A position in a text. */
typedef struct cursor {
	const char *next;
	const char *end;
} cursor_t;

static void skip_space(cursor_t *cursor);
static bool skip_char(cursor_t *cursor, char expected);
static void skip_string(cursor_t *cursor);
static kl_json_slice_t take_value(cursor_t *cursor);

kl_json_slice_t kl_json_slice_member(kl_json_slice_t object, const char *name)
{
	static const kl_json_slice_t none;
	cursor_t cursor = { object.text, object.text + object.length };
	size_t name_length = strlen(name);

	if (!object.text || !skip_char(&cursor, '{'))
		return none;
	while (cursor.next < cursor.end) {
		kl_json_slice_t key = take_value(&cursor), value;

		if (!key.length || !skip_char(&cursor, ':'))
			return none;
		value = take_value(&cursor);
		if (!value.length)
			return none;
		/* The key has its quotes. */
		if (key.length == name_length + 2 &&
		    !memcmp(key.text + 1, name, name_length))
			return value;
		if (!skip_char(&cursor, ','))
			return none;
	}
	return none;
}

kl_json_slice_t kl_json_slice_next(kl_json_slice_t array,
				   kl_json_slice_t previous)
{
	static const kl_json_slice_t none;
	cursor_t cursor = { array.text, array.text + array.length };
	kl_json_slice_t element;

	if (!array.text || !skip_char(&cursor, '['))
		return none;
	if (previous.text) {
		cursor.next = previous.text + previous.length;
		if (!skip_char(&cursor, ','))
			return none;
	}
	element = take_value(&cursor);
	return element.length ? element : none;
}

json_t *kl_json_slice_decode(kl_json_slice_t slice)
{
	if (!slice.text)
		return NULL;
	return json_loadb(slice.text, slice.length, JSON_DECODE_ANY, NULL);
}

static void skip_space(cursor_t *cursor)
{
	while (cursor->next < cursor->end &&
	       (*cursor->next == ' ' || *cursor->next == '\t' ||
		*cursor->next == '\r' || *cursor->next == '\n'))
		cursor->next++;
}

static bool skip_char(cursor_t *cursor, char expected)
{
	skip_space(cursor);
	if (cursor->next == cursor->end || *cursor->next != expected)
		return false;
	cursor->next++;
	return true;
}

/* Skips a string; the cursor is at its first quote. */
static void skip_string(cursor_t *cursor)
{
	cursor->next++;
	while (cursor->next < cursor->end && *cursor->next != '"') {
		if (*cursor->next == '\\' && cursor->next + 1 < cursor->end)
			cursor->next++;
		cursor->next++;
	}
	if (cursor->next < cursor->end)
		cursor->next++;
}

/* Takes the value at the cursor; its length is 0 if there is none. */
static kl_json_slice_t take_value(cursor_t *cursor)
{
	kl_json_slice_t value;
	size_t depth = 0;

	skip_space(cursor);
	value.text = cursor->next;
	while (cursor->next < cursor->end) {
		char byte = *cursor->next;

		if (byte == '"') {
			skip_string(cursor);
		} else if (byte == '{' || byte == '[') {
			depth++;
			cursor->next++;
		} else if (byte == '}' || byte == ']') {
			if (!depth)
				break;
			depth--;
			cursor->next++;
		} else if (!depth && (byte == ',' || byte == ':')) {
			break;
		} else {
			cursor->next++;
		}
	}
	value.length = (size_t)(cursor->next - value.text);
	return value;
}
