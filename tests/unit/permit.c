/*
 * The arbiter's decision, and the encoding of requests and grants of permits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "board/permit.h"
#include "control/permit_grant.h"
#include "control/permit_limit.h"
#include "peer/peer_codec.h"

#define INPUTS 100000 /* for each kind */
#define SEED 20261206
#define DATAGRAM_MAX 4096

/* Reports and requests of a VM; returns the permits granted to it. */
static uint32_t request(kl_permit_pool_t *pool, const char *vm, uint64_t now_us,
			uint32_t held, uint32_t wanted, uint64_t seen)
{
	kl_permit_request_t request = { .held = held,
					.wanted = { wanted },
					.seen_sequence = seen };
	kl_permit_grant_t grant;
	const char *to;
	uint32_t permits = 0;

	kl_permit_pool_request(pool, vm, now_us, &request, now_us);
	kl_permit_pool_decide(pool, now_us);
	while ((to = kl_permit_pool_next_answer(pool, now_us, &grant))) {
		if (!strcmp(to, vm))
			permits += grant.permits;
	}
	return permits;
}

/* Guards against more permits than the limit, however often a VM asks. */
static void limit_holds_for_repeated_requests(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(4, 1);
	uint32_t granted = 0;
	(void)state;

	for (uint64_t i = 0; i < 20; i++)
		granted += request(pool, "a", 1000 + i, 0, 10, 0);
	assert_int_equal(granted, kl_permit_pool_limit(pool));
	assert_int_equal(request(pool, "b", 2000, 0, 10, 0), 0);
	assert_int_equal(kl_permit_pool_outstanding(pool),
			 kl_permit_pool_limit(pool));
	kl_permit_pool_free(pool);
}

/* Guards against a request that was delayed and undoes a newer one. */
static void older_request_changes_nothing(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(4, 1);
	kl_permit_request_t late = { .held = 0 };
	(void)state;

	request(pool, "a", 2000, 4, 0, 0);
	assert_false(kl_permit_pool_request(pool, "a", 1999, &late, 3000));
	assert_false(kl_permit_pool_request(pool, "a", 2000, &late, 3000));
	kl_permit_pool_decide(pool, 3000);
	assert_int_equal(kl_permit_pool_outstanding(pool), 4);
	kl_permit_pool_free(pool);
}

/* Guards against permits that a dead VM keeps, or loses too early. */
static void permits_end_without_reports(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(1, 1);
	(void)state;

	assert_int_equal(request(pool, "a", 1000, 0, 2, 0), 2);
	assert_int_equal(request(pool, "b", 300000, 0, 5, 0), 0);
	assert_int_equal(request(pool, "b", 332000, 0, 5, 0), 2);
	assert_int_equal(kl_permit_pool_take_expired(pool), 2);
	kl_permit_pool_free(pool);
}

/* Guards against a VM that gets permits twice before another gets one. */
static void vms_take_turns(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(2, 1);
	(void)state;

	assert_int_equal(request(pool, "a", 1000, 0, 9, 0), 3);
	request(pool, "b", 2000, 0, 9, 0);
	/* The VM a returns two of its three, and b is next. */
	assert_int_equal(request(pool, "a", 3000, 1, 9, UINT64_MAX), 1);
	assert_int_equal(kl_permit_pool_outstanding(pool), 3);
	kl_permit_pool_free(pool);
}

/* Guards against less urgent work that gets a permit first. */
static void urgent_work_goes_first(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(2, 1);
	kl_permit_request_t urgent = { .wanted = { 0, 1 } };
	kl_permit_request_t other = { .wanted = { 0, 0, 0, 4 } };
	kl_permit_request_t one_less = { .held = 2 };
	kl_permit_grant_t grant;
	(void)state;

	request(pool, "full", 1000, 3, 0, 0);
	kl_permit_pool_request(pool, "a", 2000, &other, 2000);
	kl_permit_pool_request(pool, "b", 2000, &urgent, 2000);
	kl_permit_pool_request(pool, "full", 3000, &one_less, 3000);
	kl_permit_pool_decide(pool, 3000);
	assert_string_equal(kl_permit_pool_next_answer(pool, 3000, &grant),
			    "b");
	assert_int_equal(grant.permits, 1);
	assert_null(kl_permit_pool_next_answer(pool, 3000, &grant));
	kl_permit_pool_free(pool);
}

/* Guards against slots that stay idle, and against a queue that stays long. */
static void limit_follows_statements_inside(void **state)
{
	kl_permit_limit_t limit;
	uint64_t now_us = 1;
	(void)state;

	kl_permit_limit_init(&limit, 4, now_us);
	for (int i = 0; i < 50; i++) {
		now_us += 100000;
		limit.is_short = true;
		kl_permit_limit_add(&limit, 3 * 100000); /* 3 are inside */
		kl_permit_limit_adapt(&limit, now_us);
	}
	assert_int_equal(limit.allowance, 8);
	for (int i = 0; i < 50; i++) {
		now_us += 100000;
		limit.is_short = true;
		kl_permit_limit_add(&limit, 9 * 100000); /* 9 are inside */
		kl_permit_limit_adapt(&limit, now_us);
	}
	assert_int_equal(limit.allowance, 0);
	for (int i = 0; i < 50; i++) {
		now_us += 100000;
		kl_permit_limit_adapt(&limit, now_us); /* none wait */
	}
	assert_int_equal(limit.allowance, 0);
}

/* Guards against a malformed request that takes all permits for ever. */
static void absurd_numbers_are_bounded(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(4, 1);
	(void)state;

	request(pool, "a", 1000, UINT32_MAX, UINT32_MAX, UINT64_MAX);
	assert_in_range(kl_permit_pool_outstanding(pool), 1, 1000);
	assert_int_equal(request(pool, "b", 400000, 0, 1, 0), 1);
	kl_permit_pool_free(pool);
}

static void fill_message(kl_peer_message_t *message, kl_peer_kind_t kind)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
	strcpy(message->from, "vm-1");
	CK_STAILQ_INIT(&message->delta.objects);
	message->permit_requests.sent_us = 5;
	message->permit_requests.count = 2;
	message->permit_grants.sent_us = 6;
	message->permit_grants.count = 2;
	for (int i = 0; i < 2; i++) {
		kl_permit_request_t *request =
			&message->permit_requests.list[i];
		kl_permit_grant_t *grant = &message->permit_grants.list[i];

		strcpy(request->account, i ? "orders/p1" : "stock/p2");
		request->held = 3;
		request->wanted[7] = 2;
		request->seen_sequence = 77;
		request->answered = 12;
		request->latency_sum_us = 1234567;
		request->wants_answer = true;
		request->contended = true;
		strcpy(grant->account, "orders/p1");
		grant->sequence = 78;
		grant->request_sent_us = 4;
		grant->permits = 2;
		grant->contended = true;
		grant->refresh_us = 100000;
	}
}

/*
 * Guards against an upstream that counts as contended because of single answers
 * that took a third of their objective, and against contention that is missed.
 */
static void single_late_answers_are_no_contention(void **state)
{
	kl_permit_account_t *account = kl_permit_account_new("orders/p1");
	uint64_t now = 1000000;
	(void)state;

	for (int i = 0; i < 20; i++, now += 10000)
		kl_permit_count_answer(account, now, 50000, 150000, false);
	kl_permit_count_answer(account, now, 140000, 150000, false);
	assert_false(kl_permit_is_needed(account, now));
	now += 2000000;
	for (int i = 0; i < 5; i++)
		kl_permit_count_answer(account, now, 80000, 150000, false);
	assert_true(kl_permit_is_needed(account, now));
	now += 2000000;
	assert_false(kl_permit_is_needed(account, now));
	kl_permit_count_answer(account, now, 100, 150000, true);
	assert_true(kl_permit_is_needed(account, now));
	kl_permit_account_release(account);
}

/* Guards against VMs that never hear that others find an upstream contended. */
static void sign_of_one_vm_is_announced_once_a_second(void **state)
{
	kl_permit_pool_t *pool = kl_permit_pool_new(4, 1);
	kl_permit_request_t sign = { .held = 1, .contended = true };
	(void)state;

	request(pool, "a", 5000000, 1, 0, 0);
	assert_false(kl_permit_pool_notice_is_due(pool, 5000000));
	kl_permit_pool_request(pool, "a", 5000001, &sign, 5000001);
	assert_true(kl_permit_pool_notice_is_due(pool, 5000001));
	assert_false(kl_permit_pool_notice_is_due(pool, 5500000));
	kl_permit_pool_request(pool, "a", 5900000, &sign, 5900000);
	assert_true(kl_permit_pool_notice_is_due(pool, 6100000));
	assert_false(kl_permit_pool_notice_is_due(pool, 7200000));
	kl_permit_pool_free(pool);
}

/* Guards against a field that is not sent, or is taken for another. */
static void messages_arrive_as_sent(void **state)
{
	kl_peer_message_t message, decoded;
	char datagram[DATAGRAM_MAX];
	int length;
	(void)state;

	fill_message(&message, KL_PEER_PERMIT_REQUEST);
	length = kl_peer_encode(&message, "10.0.0.1", 5, datagram,
				sizeof(datagram));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, datagram, (size_t)length), 0);
	assert_memory_equal(&decoded.permit_requests, &message.permit_requests,
			    sizeof(message.permit_requests));
	fill_message(&message, KL_PEER_PERMIT_GRANT);
	length = kl_peer_encode(&message, "10.0.0.1", 5, datagram,
				sizeof(datagram));
	assert_true(length > 0);
	assert_int_equal(kl_peer_decode(&decoded, datagram, (size_t)length), 0);
	assert_memory_equal(&decoded.permit_grants, &message.permit_grants,
			    sizeof(message.permit_grants));
}

/* Guards against a decoder that reads or writes beyond its input or output. */
static void malformed_messages_decode_safely(void **state)
{
	static const kl_peer_kind_t kinds[] = { KL_PEER_PERMIT_REQUEST,
						KL_PEER_PERMIT_GRANT };
	GRand *random = g_rand_new_with_seed(SEED);
	kl_peer_message_t message, decoded;
	char sample[DATAGRAM_MAX], *datagram;
	(void)state;

	for (int i = 0; i < 2 * INPUTS; i++) {
		int length, changes = g_rand_int_range(random, 1, 6);

		fill_message(&message, kinds[i % 2]);
		length = kl_peer_encode(&message, "10.0.0.1", 5, sample,
					sizeof(sample));
		assert_true(length > 0);
		while (changes--)
			sample[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int(random);
		if (g_rand_boolean(random))
			length = g_rand_int_range(random, 0, length);
		/* An allocation of its own, so that sanitizers see its end. */
		datagram = g_memdup2(sample, (gsize)length + 1);
		if (!kl_peer_decode(&decoded, datagram, (size_t)length)) {
			assert_in_range(decoded.permit_requests.count, 0,
					KL_PEER_PERMITS_MAX);
			assert_in_range(decoded.permit_grants.count, 0,
					KL_PEER_PERMITS_MAX);
			kl_peer_message_clear(&decoded);
		}
		g_free(datagram);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_holds_for_repeated_requests),
		cmocka_unit_test(older_request_changes_nothing),
		cmocka_unit_test(permits_end_without_reports),
		cmocka_unit_test(vms_take_turns),
		cmocka_unit_test(urgent_work_goes_first),
		cmocka_unit_test(limit_follows_statements_inside),
		cmocka_unit_test(absurd_numbers_are_bounded),
		cmocka_unit_test(single_late_answers_are_no_contention),
		cmocka_unit_test(sign_of_one_vm_is_announced_once_a_second),
		cmocka_unit_test(messages_arrive_as_sent),
		cmocka_unit_test(malformed_messages_decode_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
