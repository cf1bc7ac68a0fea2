#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "kumquatloft/token.h"

static uint32_t checksum(const kl_token_t *token, const char *workspace,
			 const char *service);

void kl_token_encode(const kl_token_t *token, const char *workspace,
		     const char *service, char text[KL_TOKEN_MAX])
{
	snprintf(text, KL_TOKEN_MAX, "1.%" PRIx64 ".%" PRIx64 ".%08x",
		 token->term, token->position,
		 checksum(token, workspace, service));
}

void kl_token_decode(kl_token_t *token, const char *workspace,
		     const char *service, const char *text)
{
	char expected[KL_TOKEN_MAX];

	memset(token, 0, sizeof(*token));
	if (!strcmp(text, "new")) {
		token->state = KL_TOKEN_NEW;
		return;
	}
	if (sscanf(text, "1.%" SCNx64 ".%" SCNx64 ".", &token->term,
		   &token->position) != 2)
		return;
	kl_token_encode(token, workspace, service, expected);
	if (!strcmp(expected, text))
		token->state = KL_TOKEN_KNOWN;
}

static uint32_t checksum(const kl_token_t *token, const char *workspace,
			 const char *service)
{
	char text[512];
	int length = snprintf(text, sizeof(text), "%s/%s/%" PRIu64 "/%" PRIu64,
			      workspace, service, token->term, token->position);

	return XXH32(text,
		     (size_t)length < sizeof(text) ? (size_t)length
						   : sizeof(text) - 1,
		     0);
}
