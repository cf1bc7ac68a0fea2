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
	kl_bucket_acquire(bucket);
	return 0;
}

kl_bucket_t *kl_count_session(kl_bucket_t *bucket)
{
	if (!bucket)
		return NULL;
	ck_pr_inc_64(&bucket->open_sessions);
	return kl_bucket_acquire(bucket);
}

void kl_uncount_session(kl_bucket_t *counted_in)
{
	if (!counted_in)
		return;
	ck_pr_dec_64(&counted_in->open_sessions);
	kl_bucket_release(counted_in);
}

kl_bucket_t *kl_count_waiting(kl_bucket_t *bucket)
{
	ck_pr_inc_64(&bucket->waiting_statements);
	return kl_bucket_acquire(bucket);
}

void kl_uncount_waiting(kl_bucket_t *counted_in)
{
	if (!counted_in)
		return;
	ck_pr_dec_64(&counted_in->waiting_statements);
	kl_bucket_release(counted_in);
}
