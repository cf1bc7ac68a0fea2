#include <ctype.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "kumquatloft/classify.h"

/* Size of a word in bytes, with the final zero; longer words are truncated. */
#define WORD_MAX 48
#define PROXY_PREFIX "kumquatloft."

typedef enum lexeme_kind {
	LEXEME_END,
	LEXEME_WORD,
	LEXEME_STRING,
	LEXEME_OTHER,
} lexeme_kind_t;

typedef struct lexeme {
	lexeme_kind_t kind;
	char word[WORD_MAX]; /* in lower case */
	char other;	     /* character of LEXEME_OTHER */
	bool quoted;	     /* word in double quotes */
	const char *start;
	const char *end;
} lexeme_t;

typedef void (*classifier_t)(const char *rest, const char *const *functions,
			     kl_classification_t *out);

/* How a statement is classified by its first word. */
typedef struct leading_word {
	const char *word;
	classifier_t classify; /* classifies by what follows; may be NULL */
	kl_statement_kind_t kind;
	bool stateless;
} leading_word_t;

static const char *next_lexeme(const char *at, lexeme_t *lexeme);
static const char *skip_space(const char *at);
static const char *skip_quoted(const char *at, char quote, bool escapes);
static const char *skip_dollar_quoted(const char *at);
static void classify_query(const char *rest, const char *const *functions,
			   kl_classification_t *out);
static void classify_begin(const char *rest, const char *const *functions,
			   kl_classification_t *out);
static void classify_rollback(const char *rest, const char *const *functions,
			      kl_classification_t *out);
static void classify_set(const char *rest, const char *const *functions,
			 kl_classification_t *out);
static void classify_show(const char *rest, const char *const *functions,
			  kl_classification_t *out);
static void classify_end(const char *rest, const char *const *functions,
			 kl_classification_t *out);
static bool in_list(const char *word, const char *const *list);
static bool only_statement(const char *rest);

static const leading_word_t leading_words[] = {
	{ "select", classify_query, KL_STATEMENT_READ, true },
	{ "values", classify_query, KL_STATEMENT_READ, true },
	{ "table", classify_query, KL_STATEMENT_READ, true },
	{ "with", classify_query, KL_STATEMENT_READ, true },
	{ "show", classify_show, KL_STATEMENT_READ, true },
	{ "insert", NULL, KL_STATEMENT_WRITE, true },
	{ "update", NULL, KL_STATEMENT_WRITE, true },
	{ "delete", NULL, KL_STATEMENT_WRITE, true },
	{ "begin", classify_begin, KL_STATEMENT_BEGIN, true },
	{ "start", classify_begin, KL_STATEMENT_BEGIN, true },
	{ "commit", classify_end, KL_STATEMENT_COMMIT, true },
	{ "end", classify_end, KL_STATEMENT_COMMIT, true },
	{ "rollback", classify_rollback, KL_STATEMENT_ROLLBACK, true },
	{ "abort", classify_end, KL_STATEMENT_ROLLBACK, true },
	{ "set", classify_set, KL_STATEMENT_SET, false },
	{ "copy", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "listen", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "unlisten", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "prepare", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "execute", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "deallocate", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "declare", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "load", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "reset", NULL, KL_STATEMENT_UNSUPPORTED, true },
	{ "discard", NULL, KL_STATEMENT_UNSUPPORTED, true },
};

/* Words with which a query may write or lock rows. */
static const char *const write_words[] = { "insert", "update", "delete",
					   "merge",  "into",   "for",
					   "call",   NULL };

/* Words that may precede a parenthesis without being functions. */
static const char *const nonfunction_words[] = {
	"select", "from",    "where",  "and",	  "or",	    "not",
	"in",	  "exists",  "values", "as",	  "on",	    "using",
	"any",	  "all",     "some",   "union",	  "except", "intersect",
	"having", "by",	     "over",   "then",	  "else",   "when",
	"case",	  "join",    "with",   "lateral", "filter", "distinct",
	"like",	  "between", "limit",  "offset",  NULL
};

/* Functions without side effects. */
static const char *const pure_functions[] = {
	"count", "sum",	  "min",	"max",	      "avg",	 "coalesce",
	"lower", "upper", "length",	"substring",  "abs",	 "round",
	"now",	 "cast",  "extract",	"date_trunc", "nullif",	 "greatest",
	"least", "trim",  "replace",	"concat",     "array",	 "row",
	"floor", "ceil",  "string_agg", "array_agg",  "to_char", NULL
};

void kl_classify(const char *text, const char *const *read_functions,
		 kl_classification_t *out)
{
	lexeme_t first;
	const char *rest = next_lexeme(text, &first);

	memset(out, 0, sizeof(*out));
	while (first.kind == LEXEME_OTHER && first.other == ';')
		rest = next_lexeme(rest, &first);
	out->kind = first.kind == LEXEME_END ? KL_STATEMENT_EMPTY
					     : KL_STATEMENT_WRITE;
	if (first.kind != LEXEME_WORD || first.quoted)
		return;
	for (size_t i = 0; i < sizeof(leading_words) / sizeof(*leading_words);
	     i++) {
		const leading_word_t *row = &leading_words[i];

		if (strcmp(row->word, first.word))
			continue;
		out->kind = row->kind;
		out->stateless = row->stateless;
		if (row->classify)
			row->classify(rest, read_functions, out);
		if (row->kind == KL_STATEMENT_WRITE && strchr(rest, '('))
			out->stateless = !strcmp(row->word, "insert") &&
					 only_statement(rest);
		return;
	}
}

static void classify_query(const char *rest, const char *const *functions,
			   kl_classification_t *out)
{
	lexeme_t lexeme, previous = { .kind = LEXEME_OTHER };

	for (rest = next_lexeme(rest, &lexeme); lexeme.kind != LEXEME_END;
	     previous = lexeme, rest = next_lexeme(rest, &lexeme)) {
		if (lexeme.kind == LEXEME_OTHER && lexeme.other == ';') {
			if (only_statement(lexeme.start))
				return;
			goto write;
		}
		if (lexeme.kind == LEXEME_WORD && !lexeme.quoted &&
		    in_list(lexeme.word, write_words))
			goto write;
		if (lexeme.kind != LEXEME_OTHER || lexeme.other != '(' ||
		    previous.kind != LEXEME_WORD)
			continue;
		if (!previous.quoted &&
		    (in_list(previous.word, nonfunction_words) ||
		     in_list(previous.word, pure_functions) ||
		     in_list(previous.word, functions)))
			continue;
		goto write;
	}
	return;
write:
	out->kind = KL_STATEMENT_WRITE;
	out->stateless = false;
}

static void classify_begin(const char *rest, const char *const *functions,
			   kl_classification_t *out)
{
	lexeme_t lexeme, previous = { .kind = LEXEME_OTHER };
	(void)functions;

	for (rest = next_lexeme(rest, &lexeme); lexeme.kind != LEXEME_END;
	     previous = lexeme, rest = next_lexeme(rest, &lexeme)) {
		if (lexeme.kind == LEXEME_OTHER && lexeme.other == ';') {
			if (!only_statement(lexeme.start)) {
				out->kind = KL_STATEMENT_WRITE;
				out->stateless = false;
			}
			return;
		}
		if (!strcmp(lexeme.word, "only") &&
		    !strcmp(previous.word, "read"))
			out->kind = KL_STATEMENT_BEGIN_READ_ONLY;
	}
}

static void classify_rollback(const char *rest, const char *const *functions,
			      kl_classification_t *out)
{
	lexeme_t lexeme;

	next_lexeme(rest, &lexeme);
	if (lexeme.kind == LEXEME_WORD && !strcmp(lexeme.word, "to"))
		out->kind = KL_STATEMENT_WRITE;
	else
		classify_end(rest, functions, out);
}

static void classify_end(const char *rest, const char *const *functions,
			 kl_classification_t *out)
{
	(void)functions;
	if (only_statement(rest))
		return;
	out->kind = KL_STATEMENT_WRITE;
	out->stateless = false;
}

static void classify_set(const char *rest, const char *const *functions,
			 kl_classification_t *out)
{
	lexeme_t name, sign, value;
	size_t length;
	(void)functions;

	rest = next_lexeme(rest, &name);
	if (!strcmp(name.word, "local") || !strcmp(name.word, "transaction") ||
	    !strcmp(name.word, "constraints")) {
		out->kind = KL_STATEMENT_WRITE;
		return;
	}
	rest = next_lexeme(rest, &sign);
	next_lexeme(rest, &value);
	snprintf(out->setting, sizeof(out->setting), "%.31s", name.word);
	if (strncmp(name.word, PROXY_PREFIX, strlen(PROXY_PREFIX)))
		return;
	out->kind = KL_STATEMENT_SET_PROXY;
	snprintf(out->setting, sizeof(out->setting), "%.31s",
		 name.word + strlen(PROXY_PREFIX));
	if (value.kind == LEXEME_END)
		return;
	length = (size_t)(value.end - value.start);
	if (value.kind == LEXEME_STRING && length >= 2) {
		value.start++;
		length -= 2;
	}
	if (length >= sizeof(out->value))
		length = sizeof(out->value) - 1;
	memcpy(out->value, value.start, length);
	out->value[length] = '\0';
}

static void classify_show(const char *rest, const char *const *functions,
			  kl_classification_t *out)
{
	lexeme_t name;
	const char *after = next_lexeme(rest, &name);

	if (!strncmp(name.word, PROXY_PREFIX, strlen(PROXY_PREFIX))) {
		out->kind = KL_STATEMENT_SHOW_PROXY;
		snprintf(out->setting, sizeof(out->setting), "%.31s",
			 name.word + strlen(PROXY_PREFIX));
		return;
	}
	classify_query(after, functions, out);
}

static bool only_statement(const char *rest)
{
	lexeme_t lexeme;
	bool ended = false;

	for (rest = next_lexeme(rest, &lexeme); lexeme.kind != LEXEME_END;
	     rest = next_lexeme(rest, &lexeme)) {
		if (lexeme.kind == LEXEME_OTHER && lexeme.other == ';')
			ended = true;
		else if (ended)
			return false;
	}
	return true;
}

static bool in_list(const char *word, const char *const *list)
{
	for (; list && *list; list++)
		if (!strcmp(word, *list))
			return true;
	return false;
}

static const char *next_lexeme(const char *at, lexeme_t *lexeme)
{
	size_t length = 0;

	at = skip_space(at);
	memset(lexeme, 0, sizeof(*lexeme));
	lexeme->start = at;
	if (!*at) {
		lexeme->end = at;
		return at;
	}
	if (isalpha((unsigned char)*at) || *at == '_' || *at & 0x80) {
		const char *start = at;

		while (isalnum((unsigned char)*at) || *at == '_' ||
		       *at == '.' || *at == '$' || *at & 0x80) {
			if (length < WORD_MAX - 1)
				lexeme->word[length++] =
					(char)tolower((unsigned char)*at);
			at++;
		}
		/* Only the prefix E allows backslash escapes. */
		if (*at == '\'' && at - start == 1) {
			at = skip_quoted(at + 1, '\'', tolower(*start) == 'e');
			lexeme->kind = LEXEME_STRING;
		} else {
			lexeme->kind = LEXEME_WORD;
		}
	} else if (*at == '\'' || *at == '"') {
		lexeme->quoted = *at == '"';
		lexeme->kind = lexeme->quoted ? LEXEME_WORD : LEXEME_STRING;
		at = skip_quoted(at + 1, *at, false);
	} else if (*at == '$' && skip_dollar_quoted(at) != at) {
		at = skip_dollar_quoted(at);
		lexeme->kind = LEXEME_STRING;
	} else {
		lexeme->kind = LEXEME_OTHER;
		lexeme->other = *at++;
	}
	lexeme->end = at;
	return at;
}

static const char *skip_space(const char *at)
{
	int depth;

	for (;;) {
		if (isspace((unsigned char)*at)) {
			at++;
		} else if (at[0] == '-' && at[1] == '-') {
			while (*at && *at != '\n')
				at++;
		} else if (at[0] == '/' && at[1] == '*') {
			depth = 0;
			do {
				if (at[0] == '/' && at[1] == '*') {
					depth++;
					at += 2;
				} else if (at[0] == '*' && at[1] == '/') {
					depth--;
					at += 2;
				} else {
					at++;
				}
			} while (*at && depth);
		} else {
			return at;
		}
	}
}

static const char *skip_quoted(const char *at, char quote, bool escapes)
{
	for (; *at; at++) {
		bool escaped = escapes && *at == '\\' && at[1];
		bool doubled = *at == quote && at[1] == quote;

		if (escaped || doubled)
			at++;
		else if (*at == quote)
			return at + 1;
	}
	return at;
}

static const char *skip_dollar_quoted(const char *at)
{
	const char *tag = at;
	const char *end = at + 1;
	size_t length;

	while (isalnum((unsigned char)*end) || *end == '_')
		end++;
	if (*end != '$' || isdigit((unsigned char)tag[1]))
		return at;
	length = (size_t)(end - tag) + 1;
	for (end++; *end; end++)
		if (!strncmp(end, tag, length))
			return end + length;
	return end;
}
