/* Lifetime of a workspace's admission bucket. */
#include <ck_pr.h>
#include <stdlib.h>

#include "board/sections.h"

kl_bucket_t *kl_bucket_new(const char *workspace)
{
	kl_bucket_t *bucket = calloc(1, sizeof(*bucket));

	if (!bucket)
		return NULL;
	kl_name_copy(bucket->name.name, workspace);
	bucket->references = 1;
	return bucket;
}

kl_bucket_t *kl_bucket_acquire(kl_bucket_t *bucket)
{
	ck_pr_inc_32(&bucket->references);
	return bucket;
}

void kl_bucket_release(kl_bucket_t *bucket)
{
	bool last;

	/* Orders this thread's accesses before another thread's free(). */
	ck_pr_fence_release();
	ck_pr_dec_32_zero(&bucket->references, &last);
	if (!last)
		return;
	ck_pr_fence_acquire();
	free(bucket);
}
