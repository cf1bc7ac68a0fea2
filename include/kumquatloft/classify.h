/**
 * @file
 * Conservative classification of SQL statements.
 */
#ifndef KUMQUATLOFT_CLASSIFY_H
#define KUMQUATLOFT_CLASSIFY_H

#include <stdbool.h>

/** Statement kinds. */
typedef enum kl_statement_kind {
	KL_STATEMENT_EMPTY,
	KL_STATEMENT_READ,  /**< certainly has no side effects */
	KL_STATEMENT_WRITE, /**< everything that is not certainly a read */
	KL_STATEMENT_BEGIN,
	KL_STATEMENT_BEGIN_READ_ONLY,
	KL_STATEMENT_COMMIT,
	KL_STATEMENT_ROLLBACK,
	KL_STATEMENT_SET_PROXY,	  /**< SET kumquatloft.NAME */
	KL_STATEMENT_SHOW_PROXY,  /**< SHOW kumquatloft.NAME */
	KL_STATEMENT_SET,	  /**< SET of an upstream's setting */
	KL_STATEMENT_UNSUPPORTED, /**< not supported: COPY, LISTEN, ... */
	KL_STATEMENT_COUNT
} kl_statement_kind_t;

/** Result of a classification. */
typedef struct kl_classification {
	kl_statement_kind_t kind;
	bool stateless;	  /**< leaves no session state on the connection */
	char setting[32]; /**< name of a setting, truncated */
	char value[80];	  /**< SET kumquatloft.NAME: unquoted value */
} kl_classification_t;

/**
 * Classify the text of a statement.
 *
 * @param text one or more statements; several are classified as a write
 * @param read_functions names, in lower case, of functions without side
 *                       effects beyond the built-in list; ends with NULL, or
 *                       is NULL itself
 * @param out receives the result
 */
void kl_classify(const char *text, const char *const *read_functions,
		 kl_classification_t *out);

#endif
