/* Classification, tokens, keys, fair queues, error kinds. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "kumquatloft/classify.h"
#include "path/fair.h"
#include "path/path.h"

static kl_statement_kind_t kind_of(const char *text)
{
	kl_classification_t out;

	kl_classify(text, NULL, &out);
	return out.kind;
}

static void only_certain_reads_are_reads(void **state)
{
	static const char *const reads[] = {
		"SELECT 1",
		"select v from t where k = 'for update'",
		"  /* for update */ SELECT count(*) FROM t;",
		"-- insert\nSELECT a FROM t WHERE b IN (1, 2)",
		"WITH x AS (SELECT 1) SELECT * FROM x",
		"VALUES (1), (2)",
		"SHOW server_version",
		"SELECT \"update\" FROM t",
		"SELECT $$; delete from t$$",
		"SELECT E'\\'; delete from t'",
	};
	static const char *const writes[] = {
		"INSERT INTO t VALUES (1)",
		"SELECT v FROM t FOR UPDATE",
		"SELECT v FROM t FOR SHARE",
		"SELECT nextval('s')",
		"SELECT \"count\"(1) FROM t",
		"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
		"SELECT 1; DELETE FROM t",
		"SELECT 1; SELECT 2",
		"SELECT * INTO t2 FROM t",
		"CREATE TABLE t (k text)",
		"SELECT '\\'; DELETE FROM t --'",
		"EXPLAIN ANALYZE DELETE FROM t",
		"ROLLBACK TO SAVEPOINT a",
		"COMMIT; DELETE FROM t",
	};
	(void)state;

	for (size_t i = 0; i < sizeof(reads) / sizeof(*reads); i++)
		assert_int_equal(kind_of(reads[i]), KL_STATEMENT_READ);
	for (size_t i = 0; i < sizeof(writes) / sizeof(*writes); i++)
		assert_int_equal(kind_of(writes[i]), KL_STATEMENT_WRITE);
}

static void transactions_and_settings_are_told_apart(void **state)
{
	static const char *const functions[] = { "price_of", NULL };
	kl_classification_t out;
	(void)state;

	assert_int_equal(kind_of("BEGIN"), KL_STATEMENT_BEGIN);
	assert_int_equal(kind_of("start transaction read only"),
			 KL_STATEMENT_BEGIN_READ_ONLY);
	assert_int_equal(kind_of("COMMIT;"), KL_STATEMENT_COMMIT);
	assert_int_equal(kind_of("ROLLBACK"), KL_STATEMENT_ROLLBACK);
	assert_int_equal(kind_of("COPY t FROM stdin"),
			 KL_STATEMENT_UNSUPPORTED);
	assert_int_equal(kind_of("  ;; "), KL_STATEMENT_EMPTY);
	kl_classify("SET kumquatloft.session = 'new'", NULL, &out);
	assert_int_equal(out.kind, KL_STATEMENT_SET_PROXY);
	assert_string_equal(out.setting, "session");
	assert_string_equal(out.value, "new");
	kl_classify("SELECT price_of('x')", NULL, &out);
	assert_int_equal(out.kind, KL_STATEMENT_WRITE);
	kl_classify("SELECT price_of('x')", functions, &out);
	assert_int_equal(out.kind, KL_STATEMENT_READ);
}

static void tokens_are_bound_to_workspace_and_service(void **state)
{
	kl_token_t token = { KL_TOKEN_KNOWN, 3, 4711 };
	kl_token_t again;
	char text[KL_TOKEN_MAX];
	(void)state;

	kl_token_encode(&token, "bakery", "orders", text);
	kl_token_decode(&again, "bakery", "orders", text);
	assert_int_equal(again.state, KL_TOKEN_KNOWN);
	assert_int_equal(again.term, 3);
	assert_int_equal(again.position, 4711);
	kl_token_decode(&again, "press", "orders", text);
	assert_int_equal(again.state, KL_TOKEN_UNKNOWN);
	for (size_t i = 0; text[i]; i++) {
		char mangled[KL_TOKEN_MAX];

		strcpy(mangled, text);
		mangled[i] ^= 1;
		kl_token_decode(&again, "bakery", "orders", mangled);
		assert_int_equal(again.state, KL_TOKEN_UNKNOWN);
	}
	kl_token_decode(&again, "bakery", "orders", "new");
	assert_int_equal(again.state, KL_TOKEN_NEW);
}

static void a_hot_workspace_waits_for_the_others(void **state)
{
	kl_fair_queue_t *fair = kl_fair_queue_new();
	kl_waiter_t hot[50] = { 0 };
	kl_waiter_t small[5] = { 0 };
	int small_at[5] = { 0 };
	int got = 0;
	(void)state;

	for (int i = 0; i < 50; i++)
		kl_fair_queue_push(fair, "hot", &hot[i]);
	for (int i = 0; i < 5; i++)
		kl_fair_queue_push(fair, "small", &small[i]);
	for (int turn = 0; turn < 55; turn++) {
		kl_waiter_t *waiter = kl_fair_queue_pop(fair);
		bool is_small = waiter >= small && waiter < small + 5;

		assert_non_null(waiter);
		kl_fair_queue_charge(fair, is_small ? "small" : "hot", 1000);
		if (is_small)
			small_at[got++] = turn;
	}
	assert_null(kl_fair_queue_pop(fair));
	assert_int_equal(got, 5);
	assert_true(small_at[4] < 12);
	kl_fair_queue_free(fair);
}

static void long_statements_are_charged_for(void **state)
{
	kl_fair_queue_t *fair = kl_fair_queue_new();
	kl_waiter_t slow[40] = { 0 };
	kl_waiter_t quick[40] = { 0 };
	int quick_served = 0;
	(void)state;

	for (int i = 0; i < 40; i++) {
		kl_fair_queue_push(fair, "slow", &slow[i]);
		kl_fair_queue_push(fair, "quick", &quick[i]);
	}
	for (int turn = 0; turn < 30; turn++) {
		kl_waiter_t *waiter = kl_fair_queue_pop(fair);
		bool is_quick = waiter >= quick && waiter < quick + 40;

		kl_fair_queue_charge(fair, is_quick ? "quick" : "slow",
				     is_quick ? 1000 : 10000);
		quick_served += is_quick;
	}
	/* By time, not by number: about ten quick ones to a slow one. */
	assert_true(quick_served >= 24);
	kl_fair_queue_free(fair);
}

static void removed_waiters_are_never_served(void **state)
{
	kl_fair_queue_t *fair = kl_fair_queue_new();
	kl_waiter_t waiters[3] = { 0 };
	(void)state;

	for (int i = 0; i < 3; i++)
		kl_fair_queue_push(fair, "w", &waiters[i]);
	kl_fair_queue_remove(fair, &waiters[1]);
	kl_fair_queue_remove(fair, &waiters[1]);
	assert_ptr_equal(kl_fair_queue_pop(fair), &waiters[0]);
	assert_ptr_equal(kl_fair_queue_pop(fair), &waiters[2]);
	assert_null(kl_fair_queue_pop(fair));
	assert_int_equal(kl_fair_queue_active(fair), 0);
	kl_fair_queue_free(fair);
}

static void every_kind_has_an_answer(void **state)
{
	(void)state;
	for (int kind = 0; kind < KL_ERROR_COUNT; kind++) {
		const kl_error_info_t *answer = kl_error_info(-kind);

		assert_non_null(answer->name);
		assert_int_equal(strlen(answer->sqlstate), 5);
		/* "not run" is said where it is certain, and only there. */
		if (strstr(answer->text, "not run"))
			assert_true(answer->not_run);
		if (!answer->not_run)
			assert_null(strstr(answer->text, "not run"));
	}
	assert_ptr_equal(kl_error_info(-1000), kl_error_info(-KL_E_INTERNAL));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(only_certain_reads_are_reads),
		cmocka_unit_test(transactions_and_settings_are_told_apart),
		cmocka_unit_test(tokens_are_bound_to_workspace_and_service),
		cmocka_unit_test(a_hot_workspace_waits_for_the_others),
		cmocka_unit_test(long_statements_are_charged_for),
		cmocka_unit_test(removed_waiters_are_never_served),
		cmocka_unit_test(every_kind_has_an_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
