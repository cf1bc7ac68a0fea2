/*
 * Two nodes share one limit of 100 statements a second and a burst of 20.
 * The embedding program brings its own transport (here: two local variables)
 * and its own clock; the library decides.
 */
#include <stdio.h>

#include <kumquatloft/share.h>

typedef struct purse {
	int64_t tokens;
	uint64_t valid_until_us;
} purse_t;

static int64_t take(void *arg, int64_t max)
{
	purse_t *purse = arg;
	int64_t taken = purse->tokens < max ? purse->tokens : max;

	purse->tokens -= taken;
	return taken;
}

static void put(void *arg, int64_t tokens, int64_t cap)
{
	purse_t *purse = arg;

	purse->tokens += tokens;
	if (purse->tokens > cap)
		purse->tokens = cap;
}

static int64_t held(void *arg)
{
	return ((purse_t *)arg)->tokens;
}

static void valid_until(void *arg, uint64_t until_us)
{
	((purse_t *)arg)->valid_until_us = until_us;
}

static int spend(purse_t *purse, uint64_t now_us, int wanted)
{
	int spent = 0;

	while (spent < wanted && purse->tokens >= KL_TOKENS_PER_STATEMENT &&
	       now_us < purse->valid_until_us) {
		purse->tokens -= KL_TOKENS_PER_STATEMENT;
		spent++;
	}
	return spent;
}

int main(void)
{
	static const kl_bucket_ops_t ops = { take, put, held, valid_until };
	purse_t purses[2] = { { 0, 0 }, { 0, 0 } };
	kl_share_t *shares[2];
	int admitted[2] = { 0, 0 };
	uint64_t now_us = 1000000;

	for (int i = 0; i < 2; i++) {
		shares[i] = kl_share_new(&ops, &purses[i], now_us);
		kl_share_set_limit(shares[i], 100, 20);
		kl_share_set_owned(shares[i], KL_SHARE_WHOLE_PPM / 2,
				   UINT64_MAX);
	}
	/* All callers come to node 0, with 80 statements a second. */
	for (int tick = 0; tick < 1000; tick++, now_us += 10000) {
		kl_loan_request_t ask;
		kl_loan_grant_t grant;
		int came = tick % 5 != 0;
		int done;

		for (int i = 0; i < 2; i++)
			kl_share_tick(shares[i], now_us);
		done = spend(&purses[0], now_us, came);
		admitted[0] += done;
		kl_share_add_demand(shares[0], now_us, (uint64_t)came,
				    (uint64_t)(came - done));
		if (kl_share_request_loan(shares[0], "one", now_us, &ask) &&
		    kl_share_lend(shares[1], "zero", &ask, now_us, &grant))
			kl_share_accept_grant(shares[0], "one", &grant, now_us);
	}
	printf("node 0 owns half of 100 a second and admitted %d of 800 in "
	       "10 s\n",
	       admitted[0]);
	for (int i = 0; i < 2; i++)
		kl_share_free(shares[i]);
	return admitted[0] < 780 || admitted[0] > 1020;
}
