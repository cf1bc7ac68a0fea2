/*
 * Two nodes enforce one limit of 100 statements per second with a burst of 20.
 * The embedding program provides the transport (here: two local variables) and
 * the clock; the library makes the decisions.
 */
#include <stdio.h>

#include <kumquatloft/share.h>

typedef struct bucket {
	int64_t tokens;
	uint64_t valid_until_us;
} bucket_t;

static int64_t take(void *arg, int64_t max)
{
	bucket_t *bucket = arg;
	int64_t taken = bucket->tokens < max ? bucket->tokens : max;

	bucket->tokens -= taken;
	return taken;
}

static void add(void *arg, int64_t tokens, int64_t capacity)
{
	bucket_t *bucket = arg;

	bucket->tokens += tokens;
	if (bucket->tokens > capacity)
		bucket->tokens = capacity;
}

static int64_t available(void *arg)
{
	return ((bucket_t *)arg)->tokens;
}

static void set_valid_until(void *arg, uint64_t until_us)
{
	((bucket_t *)arg)->valid_until_us = until_us;
}

static int spend(bucket_t *bucket, uint64_t now_us, int wanted)
{
	int spent = 0;

	while (spent < wanted && bucket->tokens >= KL_TOKENS_PER_STATEMENT &&
	       now_us < bucket->valid_until_us) {
		bucket->tokens -= KL_TOKENS_PER_STATEMENT;
		spent++;
	}
	return spent;
}

int main(void)
{
	static const kl_bucket_ops_t ops = { take, add, available,
					     set_valid_until };
	bucket_t buckets[2] = { { 0, 0 }, { 0, 0 } };
	kl_share_t *shares[2];
	int admitted[2] = { 0, 0 };
	uint64_t now_us = 1000000;

	for (int i = 0; i < 2; i++) {
		shares[i] = kl_share_new(&ops, &buckets[i], now_us);
		kl_share_set_limit(shares[i], 100, 20);
		kl_share_set_owned(shares[i], KL_SHARE_WHOLE_PPM / 2,
				   UINT64_MAX);
	}
	/* All clients use node 0 and send it 80 statements per second. */
	for (int tick = 0; tick < 1000; tick++, now_us += 10000) {
		kl_loan_request_t request;
		kl_loan_grant_t grant;
		int arrived = tick % 5 != 0;
		int spent;

		for (int i = 0; i < 2; i++)
			kl_share_tick(shares[i], now_us);
		spent = spend(&buckets[0], now_us, arrived);
		admitted[0] += spent;
		kl_share_add_demand(shares[0], now_us, (uint64_t)arrived,
				    (uint64_t)(arrived - spent));
		if (kl_share_request_loan(shares[0], "one", now_us, &request) &&
		    kl_share_lend(shares[1], "zero", &request, now_us, &grant))
			kl_share_accept_grant(shares[0], "one", &grant, now_us);
	}
	printf("node 0 owns half of 100 a second and admitted %d of 800 in "
	       "10 s\n",
	       admitted[0]);
	for (int i = 0; i < 2; i++)
		kl_share_free(shares[i]);
	return admitted[0] < 780 || admitted[0] > 1020;
}
