/*
 * Counts of usage between VMs: they must arrive unchanged, and malformed
 * messages must neither crash a VM nor yield more entries than fit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "peer/peer_codec.h"

#define INPUTS 100000 /* malformed messages of each test */
#define SEED 20261206
#define SAMPLE_MAX 8192 /* bytes */

static kl_peer_message_t counts_message(uint32_t count)
{
	kl_peer_message_t message = { .kind = KL_PEER_USAGE,
				      .from = "front-cork-a-1",
				      .usage = { .sequence = 7,
						 .incarnation = 1765000000,
						 .window = 353445120,
						 .clock_us = -2000000,
						 .count = count } };

	for (uint32_t i = 0; i < count; i++) {
		kl_peer_usage_count_t *entry = &message.usage.list[i];

		g_snprintf(entry->workspace, KL_NAME_MAX, "miny%u", i);
		entry->operations = 400 + i;
	}
	return message;
}

static kl_peer_message_t answer_message(void)
{
	kl_peer_message_t message = { .kind = KL_PEER_USAGE,
				      .from = "front-cork-a-2",
				      .usage = { .is_answer = true,
						 .sequence = 9,
						 .incarnation = 1765000000,
						 .received = 0x80000005u,
						 .clock_us = 1767225600123456,
						 .correction_us =
							 KL_CLOCK_UNKNOWN } };

	return message;
}

static void assert_round_trip(const kl_peer_message_t *message)
{
	char buffer[SAMPLE_MAX];
	kl_peer_message_t decoded;
	int length = kl_peer_encode(message, "10.0.0.1", 5, buffer, SAMPLE_MAX);

	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_string_equal(decoded.from, message->from);
	assert_memory_equal(&decoded.usage, &message->usage,
			    sizeof(decoded.usage));
	kl_peer_message_clear(&decoded);
}

static void counts_and_answers_arrive_unchanged(void **state)
{
	kl_peer_message_t message = counts_message(KL_PEER_USAGE_MAX);
	(void)state;

	assert_round_trip(&message);
	message = counts_message(0);
	assert_round_trip(&message);
	message = answer_message();
	assert_round_trip(&message);
}

/* Every prefix of a message is refused, whatever the entries it has. */
static void truncated_messages_are_refused(void **state)
{
	kl_peer_message_t message = counts_message(3);
	char buffer[SAMPLE_MAX];
	kl_peer_message_t decoded;
	int length =
		kl_peer_encode(&message, "10.0.0.1", 5, buffer, SAMPLE_MAX);
	(void)state;

	for (int cut = 0; cut < length; cut++) {
		char *copy = malloc((size_t)cut + 1);

		/* An allocation of its own lets the sanitizer see overruns. */
		memcpy(copy, buffer, (size_t)cut);
		assert_int_not_equal(
			kl_peer_decode(&decoded, copy, (size_t)cut), 0);
		kl_peer_message_clear(&decoded);
		free(copy);
	}
}

static void changed_messages_decode_safely(void **state)
{
	kl_peer_message_t samples[] = { counts_message(3), answer_message(),
					counts_message(KL_PEER_USAGE_MAX) };
	GRand *random = g_rand_new_with_seed(SEED);
	char buffer[SAMPLE_MAX];
	kl_peer_message_t decoded;
	(void)state;

	for (int i = 0; i < INPUTS; i++) {
		int length = kl_peer_encode(&samples[i % 3], "10.0.0.1", 5,
					    buffer, SAMPLE_MAX);
		char *copy = g_memdup2(buffer, (gsize)length);

		for (int k = g_rand_int_range(random, 1, 6); k; k--)
			copy[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int(random);
		if (!kl_peer_decode(&decoded, copy, (size_t)length)) {
			assert_in_range(decoded.usage.count, 0,
					KL_PEER_USAGE_MAX);
			for (uint32_t n = 0; n < decoded.usage.count; n++)
				assert_non_null(
					memchr(decoded.usage.list[n].workspace,
					       '\0', KL_NAME_MAX));
		}
		kl_peer_message_clear(&decoded);
		g_free(copy);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(counts_and_answers_arrive_unchanged),
		cmocka_unit_test(truncated_messages_are_refused),
		cmocka_unit_test(changed_messages_decode_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
