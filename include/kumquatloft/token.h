/**
 * @file
 * The session token: how far a session has written.
 */
#ifndef KUMQUATLOFT_TOKEN_H
#define KUMQUATLOFT_TOKEN_H

#include <stddef.h>
#include <stdint.h>

/** Room for a token's text, with its zero. */
#define KL_TOKEN_MAX 64

/** What is known of a session's writes. */
typedef enum kl_token_state {
	KL_TOKEN_UNKNOWN, /**< missing or mangled: reads go to the primary */
	KL_TOKEN_NEW,	  /**< the caller says it has written nothing */
	KL_TOKEN_KNOWN,	  /**< term and position below */
} kl_token_state_t;

/** How far a session has written in one service. */
typedef struct kl_token {
	kl_token_state_t state;
	uint64_t term;
	uint64_t position; /**< bytes of the log */
} kl_token_t;

/** Write a known token's text. */
void kl_token_encode(const kl_token_t *token, const char *workspace,
		     const char *service, char text[KL_TOKEN_MAX]);

/**
 * Read a token.  "new" is KL_TOKEN_NEW; anything that was not written for
 * this workspace and service is KL_TOKEN_UNKNOWN.
 */
void kl_token_decode(kl_token_t *token, const char *workspace,
		     const char *service, const char *text);

#endif
