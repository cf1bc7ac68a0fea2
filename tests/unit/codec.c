/* Tests of the PostgreSQL and peer message codecs with malformed input. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "front/pg_codec.h"
#include "kumquatloft/kind.h"
#include "control/store_era.h"
#include "peer/peer_codec.h"

static int read_message(const void *bytes, size_t length, bool startup,
			kl_pg_message_t *message)
{
	struct evbuffer *in = evbuffer_new();
	int result;

	evbuffer_add(in, bytes, length);
	result = kl_pg_read_message(in, startup, message);
	evbuffer_free(in);
	return result;
}

static void incomplete_messages_need_more_bytes(void **state)
{
	kl_pg_message_t message;
	(void)state;

	assert_int_equal(read_message("Q", 1, false, &message), 0);
	assert_int_equal(read_message("Q\0\0\0\010abc", 8, false, &message), 0);
	assert_int_equal(read_message("\0\0", 2, true, &message), 0);
}

static void invalid_lengths_are_protocol_errors(void **state)
{
	kl_pg_message_t message;
	(void)state;

	assert_int_equal(read_message("Q\0\0\0\003", 5, false, &message),
			 -KL_E_PROTOCOL);
	assert_int_equal(read_message("Q\377\377\377\377", 5, false, &message),
			 -KL_E_PROTOCOL);
	assert_int_equal(read_message("\0\1\0\0\0\0\0\0", 8, true, &message),
			 -KL_E_PROTOCOL);
	assert_int_equal(read_message("\0\0\0\4", 4, true, &message),
			 -KL_E_PROTOCOL);
}

static void reading_past_the_end_sets_overrun(void **state)
{
	kl_pg_message_t message;
	(void)state;

	assert_int_equal(read_message("B\0\0\0\007abc", 8, false, &message), 1);
	assert_string_equal(kl_pg_read_string(&message), "");
	assert_true(message.overrun);
	assert_int_equal(kl_pg_read_int32(&message), 0);
	assert_null(kl_pg_read_bytes(&message, 1));
	kl_pg_message_free(&message);
	assert_int_equal(read_message("B\0\0\0\006ab", 7, false, &message), 1);
	assert_null(kl_pg_read_bytes(&message, SIZE_MAX));
	kl_pg_message_free(&message);
}

static void positions_survive_encoding(void **state)
{
	kl_peer_message_t message = {
		.kind = KL_PEER_POSITIONS,
		.from = "a1",
		.positions = { .query_sent_us = 5,
			       .count = KL_PEER_POSITIONS_MAX }
	};
	kl_peer_position_t *last =
		&message.positions.list[KL_PEER_POSITIONS_MAX - 1];
	kl_peer_message_t decoded;
	char buffer[4096];
	int length;
	(void)state;

	*last = (kl_peer_position_t){ "orders", 1, 2, 3, 4 };
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.kind, KL_PEER_POSITIONS);
	assert_memory_equal(&decoded.positions, &message.positions,
			    sizeof(message.positions));
	kl_peer_message_clear(&decoded);
}

/* A VM of an earlier version sends hellos without the extension. */
static void hello_extension_may_be_missing(void **state)
{
	kl_peer_message_t message = { .kind = KL_PEER_HELLO,
				      .from = "a1",
				      .hello = { .incarnation = 3,
						 .store_revision = 8,
						 .store_revision_age_us = 9 } };
	size_t extension_length = 2 * sizeof(uint64_t);
	kl_peer_message_t decoded;
	char buffer[4096];
	int length;
	(void)state;

	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.hello.store_revision, 8);
	assert_int_equal(decoded.hello.store_revision_age_us, 9);
	kl_peer_message_clear(&decoded);
	assert_int_equal(kl_peer_decode(&decoded, buffer,
					(size_t)length - extension_length),
			 0);
	assert_int_equal(decoded.hello.incarnation, 3);
	assert_int_equal(decoded.hello.store_revision, 0);
	kl_peer_message_clear(&decoded);
}

static int encode_era_delta(char *buffer, size_t size, uint64_t era)
{
	kl_peer_message_t message = {
		.kind = KL_PEER_DELTA,
		.store_era = era,
		.delta = { .fetch = { .since_revision =
					      kl_store_version(2, 5) },
			   .revision = kl_store_version(3, 4) }
	};
	kl_object_t *object =
		kl_object_new("mark/a", kl_store_version(2, 9), "{}");
	int length;

	CK_STAILQ_INIT(&message.delta.objects);
	CK_STAILQ_INSERT_TAIL(&message.delta.objects, object, link);
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer, size);
	kl_object_list_clear(&message.delta.objects);
	return length;
}

/*
 * A VM of an earlier version reads plain revisions, and sends no eras: what it
 * sends must not look newer than any era.
 */
static void eras_follow_the_message(void **state)
{
	kl_peer_message_t decoded;
	char buffer[4096];
	int length = encode_era_delta(buffer, sizeof(buffer), 3);
	/* The era and three versions, with the lengths of both lists. */
	size_t era_length = sizeof(uint64_t) * (1 + KL_STORE_ERAS + 3) +
			    2 * sizeof(uint32_t);
	(void)state;

	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.store_era, 3);
	assert_int_equal(decoded.delta.fetch.since_revision,
			 kl_store_version(2, 5));
	assert_int_equal(decoded.delta.revision, kl_store_version(3, 4));
	assert_int_equal(CK_STAILQ_FIRST(&decoded.delta.objects)->version,
			 kl_store_version(2, 9));
	kl_peer_message_clear(&decoded);
	assert_int_equal(
		kl_peer_decode(&decoded, buffer, (size_t)length - era_length),
		0);
	assert_int_equal(decoded.store_era, 0);
	assert_int_equal(decoded.delta.revision, 4);
	assert_int_equal(CK_STAILQ_FIRST(&decoded.delta.objects)->version, 9);
	kl_peer_message_clear(&decoded);
}

/*
 * Guards against a VM that can't tell a newer version from the copy, because
 * another VM brought it what it holds.
 */
static void generations_follow_the_eras(void **state)
{
	kl_peer_message_t message = { .kind = KL_PEER_DELTA, .store_era = 3 };
	kl_peer_message_t decoded;
	char buffer[4096];
	int length;
	(void)state;

	CK_STAILQ_INIT(&message.delta.objects);
	for (int i = 0; i < 2; i++) {
		kl_object_t *object =
			kl_object_new(i ? "route/b" : "route/a", 7, "{}");

		object->generation = i ? 12 : 0;
		CK_STAILQ_INSERT_TAIL(&message.delta.objects, object, link);
	}
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	kl_peer_message_clear(&message);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(CK_STAILQ_FIRST(&decoded.delta.objects)->generation,
			 0);
	assert_int_equal(
		CK_STAILQ_NEXT(CK_STAILQ_FIRST(&decoded.delta.objects), link)
			->generation,
		12);
	kl_peer_message_clear(&decoded);
	/* Fewer generations than objects. */
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length - 8),
			 -KL_E_PROTOCOL);
	kl_peer_message_clear(&decoded);
}

static void parts_survive_encoding(void **state)
{
	kl_peer_message_t message = {
		.kind = KL_PEER_PART,
		.store_era = 2,
		.part = { .offset = 8000, .size = 98000 },
		.delta = { .fetch = { .feed = KL_FEED_CONFIG, .skip = 3 },
			   .revision = kl_store_version(2, 9),
			   .has_more = true }
	};
	kl_object_t *object =
		kl_object_new("workspace/a", kl_store_version(2, 8), "[1,");
	kl_peer_message_t decoded;
	char buffer[4096];
	int length;
	(void)state;

	CK_STAILQ_INIT(&message.delta.objects);
	CK_STAILQ_INSERT_TAIL(&message.delta.objects, object, link);
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	kl_peer_message_clear(&message);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.kind, KL_PEER_PART);
	assert_int_equal(decoded.part.offset, 8000);
	assert_int_equal(decoded.part.size, 98000);
	assert_int_equal(decoded.delta.fetch.skip, 3);
	assert_int_equal(decoded.delta.revision, kl_store_version(2, 9));
	assert_true(decoded.delta.has_more);
	object = CK_STAILQ_FIRST(&decoded.delta.objects);
	assert_string_equal(object->body, "[1,");
	assert_int_equal(object->version, kl_store_version(2, 8));
	kl_peer_message_clear(&decoded);
	message.kind = KL_PEER_PART_FETCH;
	message.fetch.since_revision = kl_store_version(1, 5);
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_int_equal(decoded.part.offset, 8000);
	assert_int_equal(decoded.fetch.since_revision, kl_store_version(1, 5));
	kl_peer_message_clear(&decoded);
}

/* Guards against versions of an era that the sender does not know itself. */
static void malformed_eras_of_messages_are_refused(void **state)
{
	kl_peer_message_t decoded;
	char buffer[4096];
	int length = encode_era_delta(buffer, sizeof(buffer), 2);
	(void)state;

	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length),
			 -KL_E_PROTOCOL);
	kl_peer_message_clear(&decoded);
	length = encode_era_delta(buffer, sizeof(buffer), KL_ERA_MAX + 1);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length),
			 -KL_E_PROTOCOL);
	kl_peer_message_clear(&decoded);
}

static void peer_messages_survive_encoding(void **state)
{
	kl_peer_message_t message = { .kind = KL_PEER_DELTA };
	kl_peer_message_t decoded;
	char buffer[KL_PEER_DATAGRAM_MAX];
	kl_object_t *object = kl_object_new("plan/gold", 7, "{\"rate\":1}");
	int length;
	(void)state;

	strcpy(message.from, "a1");
	message.delta.fetch.since_revision = 3;
	message.delta.revision = 9;
	CK_STAILQ_INIT(&message.delta.objects);
	CK_STAILQ_INSERT_TAIL(&message.delta.objects, object, link);
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, buffer, (size_t)length), 0);
	assert_string_equal(decoded.from, "a1");
	assert_int_equal(decoded.hello.port, 99);
	assert_int_equal(decoded.delta.revision, 9);
	object = CK_STAILQ_FIRST(&decoded.delta.objects);
	assert_non_null(object);
	assert_string_equal(object->name.name, "plan/gold");
	assert_int_equal(object->version, 7);
	kl_peer_message_clear(&decoded);
	kl_peer_message_clear(&message);
}

static void corrupt_datagrams_are_refused_or_decoded_safely(void **state)
{
	kl_peer_message_t message = { .kind = KL_PEER_LOAN_REQUEST };
	kl_peer_message_t decoded;
	char buffer[KL_PEER_DATAGRAM_MAX];
	GRand *random = g_rand_new_with_seed(20261204);
	int length, refused = 0;
	(void)state;

	strcpy(message.from, "a1");
	strcpy(message.subject, "bakery");
	length = kl_peer_encode(&message, "127.0.0.1", 99, buffer,
				sizeof(buffer));
	assert_true(length > 0);
	for (int i = 0; i < 20000; i++) {
		char corrupt[KL_PEER_DATAGRAM_MAX];
		size_t part_length =
			(size_t)g_rand_int_range(random, 0, length + 1);

		memcpy(corrupt, buffer, (size_t)length);
		for (int n = g_rand_int_range(random, 0, 4); n > 0; n--)
			corrupt[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int(random);
		refused += kl_peer_decode(&decoded, corrupt, part_length) != 0;
		kl_peer_message_clear(&decoded);
	}
	assert_true(refused > 1000);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(incomplete_messages_need_more_bytes),
		cmocka_unit_test(invalid_lengths_are_protocol_errors),
		cmocka_unit_test(reading_past_the_end_sets_overrun),
		cmocka_unit_test(peer_messages_survive_encoding),
		cmocka_unit_test(hello_extension_may_be_missing),
		cmocka_unit_test(positions_survive_encoding),
		cmocka_unit_test(eras_follow_the_message),
		cmocka_unit_test(generations_follow_the_eras),
		cmocka_unit_test(parts_survive_encoding),
		cmocka_unit_test(malformed_eras_of_messages_are_refused),
		cmocka_unit_test(
			corrupt_datagrams_are_refused_or_decoded_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
