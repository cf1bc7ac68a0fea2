/**
 * @file
 * What kind of statement a text is, told conservatively.
 */
#ifndef KUMQUATLOFT_CLASSIFY_H
#define KUMQUATLOFT_CLASSIFY_H

#include <stdbool.h>

/** Kinds of statements. */
typedef enum kl_statement_kind {
	KL_STATEMENT_EMPTY,
	KL_STATEMENT_READ,  /**< certainly changes nothing */
	KL_STATEMENT_WRITE, /**< anything that is not certainly a read */
	KL_STATEMENT_BEGIN,
	KL_STATEMENT_BEGIN_READ_ONLY,
	KL_STATEMENT_COMMIT,
	KL_STATEMENT_ROLLBACK,
	KL_STATEMENT_SET_PROXY,	  /**< SET kumquatloft.NAME */
	KL_STATEMENT_SHOW_PROXY,  /**< SHOW kumquatloft.NAME */
	KL_STATEMENT_SET,	  /**< session state of the upstream */
	KL_STATEMENT_UNSUPPORTED, /**< not carried: COPY, LISTEN, PREPARE, ...
				   */
	KL_STATEMENT_COUNT
} kl_statement_kind_t;

/** A statement's kind and what goes with it. */
typedef struct kl_classification {
	kl_statement_kind_t kind;
	bool stateless;	  /**< leaves no session state behind */
	char setting[32]; /**< own setting */
	char value[80];	  /**< own setting */
} kl_classification_t;

/**
 * Classify a text.
 *
 * @param read_functions NULL-terminated names, in lower case, of further
 *                       functions without side effects; or NULL
 */
void kl_classify(const char *text, const char *const *read_functions,
		 kl_classification_t *out);

#endif
