/**
 * @file
 * The session token: the log position of a session's last write.
 */
#ifndef KUMQUATLOFT_TOKEN_H
#define KUMQUATLOFT_TOKEN_H

#include <stddef.h>
#include <stdint.h>

/** Size of a token's text in bytes, including the terminating zero. */
#define KL_TOKEN_MAX 64

/** What a token says about a session's writes. */
typedef enum kl_token_state {
	KL_TOKEN_UNKNOWN, /**< missing or invalid: reads go to the primary */
	KL_TOKEN_NEW,	  /**< the client states that it has written nothing */
	KL_TOKEN_KNOWN,	  /**< term and position are valid */
} kl_token_state_t;

/** Log position of a session's last write to one service. */
typedef struct kl_token {
	kl_token_state_t state;
	uint64_t term;	   /**< term in which it was acknowledged */
	uint64_t position; /**< end of the write in the log, bytes */
} kl_token_t;

/**
 * Write a token's text.
 *
 * @param token to encode; its state is KL_TOKEN_KNOWN
 * @param workspace, service included in the token's checksum
 * @param text filled in
 */
void kl_token_encode(const kl_token_t *token, const char *workspace,
		     const char *service, char text[KL_TOKEN_MAX]);

/**
 * Parse a token's text.
 *
 * "new" gives the state KL_TOKEN_NEW.  A text that kl_token_encode() did not
 * write for the same workspace and service gives KL_TOKEN_UNKNOWN.
 */
void kl_token_decode(kl_token_t *token, const char *workspace,
		     const char *service, const char *text);

#endif
