/*
 * Token buckets of workspaces: the control thread refills them, and the workers
 * take tokens at the same time.
 */
#include <ck_pr.h>
#include <stdlib.h>

#include "control/share_bucket.h"

static void destroy_buckets(kl_snapshot_t *snapshot);
static int64_t bucket_take(void *arg, int64_t max);
static void bucket_add(void *arg, int64_t tokens, int64_t cap);
static int64_t bucket_available(void *arg);
static void bucket_set_valid_until(void *arg, uint64_t until_us);

const kl_bucket_ops_t kl_bucket_ops = { bucket_take, bucket_add,
					bucket_available,
					bucket_set_valid_until };

kl_buckets_t *kl_buckets_new(uint32_t count)
{
	kl_buckets_t *buckets = calloc(1, sizeof(*buckets));

	if (!buckets)
		return NULL;
	buckets->base.destroy = destroy_buckets;
	buckets->index = kl_index_new(count);
	buckets->buckets = calloc(count + 1, sizeof(kl_bucket_t *));
	if (buckets->index && buckets->buckets)
		return buckets;
	destroy_buckets(&buckets->base);
	return NULL;
}

void kl_buckets_add(kl_buckets_t *buckets, kl_bucket_t *bucket)
{
	buckets->buckets[buckets->count++] = kl_bucket_acquire(bucket);
	kl_index_put(buckets->index, &bucket->name);
}

static void destroy_buckets(kl_snapshot_t *snapshot)
{
	kl_buckets_t *buckets = (kl_buckets_t *)snapshot;

	for (uint32_t i = 0; i < buckets->count; i++)
		kl_bucket_release(buckets->buckets[i]);
	kl_index_free(buckets->index);
	free(buckets->buckets);
	free(buckets);
}

static int64_t bucket_take(void *arg, int64_t max)
{
	kl_bucket_t *bucket = arg;
	uint64_t *tokens = (uint64_t *)&bucket->tokens_milli;
	uint64_t held, taken;

	do {
		held = ck_pr_load_64(tokens);
		taken = held < (uint64_t)max ? held : (uint64_t)max;
	} while (!ck_pr_cas_64(tokens, held, held - taken));
	return (int64_t)taken;
}

static void bucket_add(void *arg, int64_t tokens_added, int64_t cap)
{
	kl_bucket_t *bucket = arg;
	uint64_t *tokens = (uint64_t *)&bucket->tokens_milli;
	uint64_t held, sum;

	do {
		held = ck_pr_load_64(tokens);
		sum = held + (uint64_t)tokens_added;
		if (sum > (uint64_t)cap)
			sum = (uint64_t)cap;
	} while (sum != held && !ck_pr_cas_64(tokens, held, sum));
}

static int64_t bucket_available(void *arg)
{
	kl_bucket_t *bucket = arg;

	return (int64_t)ck_pr_load_64((uint64_t *)&bucket->tokens_milli);
}

static void bucket_set_valid_until(void *arg, uint64_t until_us)
{
	kl_bucket_t *bucket = arg;

	ck_pr_store_64(&bucket->valid_until_us, until_us);
}
