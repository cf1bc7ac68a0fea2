/**
 * @file
 * What kind of statement a text is, told conservatively.
 */
#ifndef KUMQUATLOFT_CLASSIFY_H
#define KUMQUATLOFT_CLASSIFY_H

#include <stdbool.h>

/** Kinds of statements. */
typedef enum kl_statement {
	KL_STATEMENT_EMPTY,
	KL_STATEMENT_READ,  /**< certainly changes nothing */
	KL_STATEMENT_WRITE, /**< anything that is not certainly a read */
	KL_STATEMENT_BEGIN,
	KL_STATEMENT_BEGIN_READ_ONLY,
	KL_STATEMENT_COMMIT,
	KL_STATEMENT_ROLLBACK,
	KL_STATEMENT_SET_OWN,  /**< SET kumquatloft.NAME */
	KL_STATEMENT_SHOW_OWN, /**< SHOW kumquatloft.NAME */
	KL_STATEMENT_SET,      /**< session state of the upstream */
	KL_STATEMENT_REFUSED,  /**< not carried: COPY, LISTEN, PREPARE, ... */
	KL_STATEMENT_COUNT
} kl_statement_t;

/** A statement's kind and what goes with it. */
typedef struct kl_classified {
	kl_statement_t kind;
	bool plain;	/**< leaves no session state behind */
	char name[32];	/**< own setting */
	char value[80]; /**< own setting */
} kl_classified_t;

/**
 * Classify a text.
 *
 * @param read_functions NULL-terminated names, in lower case, of further
 *                       functions without side effects; or NULL
 */
void kl_classify(const char *text, const char *const *read_functions,
		 kl_classified_t *out);

#endif
