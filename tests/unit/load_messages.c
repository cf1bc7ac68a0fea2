/* Tests of the messages that bring the load of databases. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "kumquatloft/kind.h"
#include "peer/peer_codec.h"

#define INPUTS 100000
#define SEED 20261206

static int encode(char *buffer, size_t size, kl_peer_kind_t kind)
{
	kl_peer_message_t message = { .kind = kind,
				      .from = "a1",
				      .loads = { .query_sent_us = 5,
						 .count = KL_PEER_LOADS_MAX } };

	message.loads.list[0] =
		(kl_peer_load_t){ "orders", "i-1", UINT64_MAX, 7, 8 };
	message.loads.list[KL_PEER_LOADS_MAX - 1] =
		(kl_peer_load_t){ "stock", "i-2", 1, UINT32_MAX, 9 };
	return kl_peer_encode(&message, "127.0.0.1", 99, buffer, size);
}

/* Guards against fields that are lost or mixed up on the way. */
static void loads_survive_encoding(void **state)
{
	kl_peer_message_t decoded;
	char buffer[8192];
	int length = encode(buffer, sizeof(buffer), KL_PEER_LOADS);
	const kl_peer_load_t *list = decoded.loads.list;
	(void)state;

	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.kind, KL_PEER_LOADS);
	assert_string_equal(decoded.from, "a1");
	assert_int_equal(decoded.loads.query_sent_us, 5);
	assert_int_equal(decoded.loads.count, KL_PEER_LOADS_MAX);
	assert_string_equal(list[0].service, "orders");
	assert_string_equal(list[0].upstream, "i-1");
	assert_true(list[0].wait_us == UINT64_MAX);
	assert_int_equal(list[0].running, 7);
	assert_int_equal(list[0].age_us, 8);
	assert_string_equal(list[KL_PEER_LOADS_MAX - 1].upstream, "i-2");
	kl_peer_message_clear(&decoded);
}

/* Guards against a count of entries beyond the array of the message. */
static void too_many_entries_are_refused(void **state)
{
	static const char count[4] = { 0, 0, 0, KL_PEER_LOADS_MAX };
	kl_peer_message_t decoded;
	char buffer[8192];
	int length = encode(buffer, sizeof(buffer), KL_PEER_LOADS);
	char *at = memmem(buffer, (size_t)length, count, sizeof(count));
	(void)state;

	assert_non_null(at);
	at[3]++;
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length),
			 -KL_E_PROTOCOL);
	kl_peer_message_clear(&decoded);
}

/* Guards against access beyond a message that was changed on the way. */
static void malformed_loads_decode_safely(void **state)
{
	GRand *random = g_rand_new_with_seed(SEED);
	char sample[8192], text[8192];
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		size_t length = (size_t)encode(sample, sizeof(sample),
					       i % 2 ? KL_PEER_LOADS
						     : KL_PEER_LOAD_QUERY);
		int changes = g_rand_int_range(random, 1, 6);
		kl_peer_message_t decoded;

		memcpy(text, sample, length);
		while (changes--)
			text[g_rand_int(random) % length] =
				(char)g_rand_int(random);
		if (g_rand_int_range(random, 0, 8) == 0)
			length = g_rand_int(random) % length;
		if (kl_peer_decode(&decoded, text, length))
			continue;
		assert_true(decoded.loads.count <= KL_PEER_LOADS_MAX);
		kl_peer_message_clear(&decoded);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(loads_survive_encoding),
		cmocka_unit_test(too_many_entries_are_refused),
		cmocka_unit_test(malformed_loads_decode_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
