#include <ck_pr.h>

#include "kumquatloft/share.h"
#include "path/path.h"

int kl_admit_statement(const kl_view_t *view, kl_bucket_t *bucket)
{
	uint64_t *tokens = (uint64_t *)&bucket->tokens_milli;
	uint64_t held;

	if (view->now_us >= ck_pr_load_64(&bucket->valid_until_us))
		return -KL_E_RATE;
	do {
		held = ck_pr_load_64(tokens);
		if (held < KL_TOKENS_PER_STATEMENT)
			return -KL_E_RATE;
	} while (!ck_pr_cas_64(tokens, held, held - KL_TOKENS_PER_STATEMENT));
	return 0;
}

int kl_admit_session(kl_bucket_t *bucket)
{
	uint64_t cap = ck_pr_load_64(&bucket->max_sessions);
	uint64_t open;

	do {
		open = ck_pr_load_64(&bucket->open_sessions);
		if (open >= cap)
			return -KL_E_CONNECTIONS;
	} while (!ck_pr_cas_64(&bucket->open_sessions, open, open + 1));
	return 0;
}

void kl_release_session(kl_bucket_t *bucket)
{
	ck_pr_dec_64(&bucket->open_sessions);
}
