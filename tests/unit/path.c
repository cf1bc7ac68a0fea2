/* Tests of statement classification, tokens, fair queues and errors. */
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

static void statements_not_surely_reads_are_writes(void **state)
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

static void transaction_and_setting_statements_are_classified(void **state)
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

static void session_tokens_reject_other_workspaces_and_changes(void **state)
{
	kl_token_t token = { KL_TOKEN_KNOWN, 3, 4711 };
	kl_token_t decoded;
	char text[KL_TOKEN_MAX];
	(void)state;

	kl_token_encode(&token, "bakery", "orders", text);
	kl_token_decode(&decoded, "bakery", "orders", text);
	assert_int_equal(decoded.state, KL_TOKEN_KNOWN);
	assert_int_equal(decoded.term, 3);
	assert_int_equal(decoded.position, 4711);
	kl_token_decode(&decoded, "press", "orders", text);
	assert_int_equal(decoded.state, KL_TOKEN_UNKNOWN);
	for (size_t i = 0; text[i]; i++) {
		char changed[KL_TOKEN_MAX];

		strcpy(changed, text);
		changed[i] ^= 1;
		kl_token_decode(&decoded, "bakery", "orders", changed);
		assert_int_equal(decoded.state, KL_TOKEN_UNKNOWN);
	}
	kl_token_decode(&decoded, "bakery", "orders", "new");
	assert_int_equal(decoded.state, KL_TOKEN_NEW);
}

static void hot_workspace_does_not_delay_others(void **state)
{
	kl_fair_queue_t *queue = kl_fair_queue_new();
	kl_waiter_t hot[50] = { 0 };
	kl_waiter_t small[5] = { 0 };
	int small_turns[5] = { 0 };
	int small_count = 0;
	(void)state;

	for (int i = 0; i < 50; i++)
		kl_fair_queue_push(queue, "hot", &hot[i]);
	for (int i = 0; i < 5; i++)
		kl_fair_queue_push(queue, "small", &small[i]);
	for (int turn = 0; turn < 55; turn++) {
		kl_waiter_t *waiter = kl_fair_queue_pop(queue);
		bool is_small = waiter >= small && waiter < small + 5;

		assert_non_null(waiter);
		kl_fair_queue_charge(queue, is_small ? "small" : "hot", 1000);
		if (is_small)
			small_turns[small_count++] = turn;
	}
	assert_null(kl_fair_queue_pop(queue));
	assert_int_equal(small_count, 5);
	assert_true(small_turns[4] < 12);
	kl_fair_queue_free(queue);
}

static void fair_queue_shares_database_time(void **state)
{
	kl_fair_queue_t *queue = kl_fair_queue_new();
	kl_waiter_t slow[40] = { 0 };
	kl_waiter_t quick[40] = { 0 };
	int quick_served = 0;
	(void)state;

	for (int i = 0; i < 40; i++) {
		kl_fair_queue_push(queue, "slow", &slow[i]);
		kl_fair_queue_push(queue, "quick", &quick[i]);
	}
	for (int turn = 0; turn < 30; turn++) {
		kl_waiter_t *waiter = kl_fair_queue_pop(queue);
		bool is_quick = waiter >= quick && waiter < quick + 40;

		kl_fair_queue_charge(queue, is_quick ? "quick" : "slow",
				     is_quick ? 1000 : 10000);
		quick_served += is_quick;
	}
	/* Equal database time: about ten quick statements to a slow one. */
	assert_true(quick_served >= 24);
	kl_fair_queue_free(queue);
}

static void removed_waiters_are_never_served(void **state)
{
	kl_fair_queue_t *queue = kl_fair_queue_new();
	kl_waiter_t waiters[3] = { 0 };
	(void)state;

	for (int i = 0; i < 3; i++)
		kl_fair_queue_push(queue, "w", &waiters[i]);
	kl_fair_queue_remove(queue, &waiters[1]);
	kl_fair_queue_remove(queue, &waiters[1]);
	assert_ptr_equal(kl_fair_queue_pop(queue), &waiters[0]);
	assert_ptr_equal(kl_fair_queue_pop(queue), &waiters[2]);
	assert_null(kl_fair_queue_pop(queue));
	assert_int_equal(kl_fair_queue_workspace_count(queue), 0);
	kl_fair_queue_free(queue);
}

static void every_error_has_name_and_sqlstate(void **state)
{
	(void)state;
	for (int kind = 0; kind < KL_ERROR_COUNT; kind++) {
		const kl_error_info_t *info = kl_error_info(-kind);

		assert_non_null(info->name);
		assert_int_equal(strlen(info->sqlstate), 5);
		/* A text says "not run" only if that is certain. */
		if (strstr(info->text, "not run"))
			assert_true(info->not_run);
		if (!info->not_run)
			assert_null(strstr(info->text, "not run"));
	}
	assert_ptr_equal(kl_error_info(-1000), kl_error_info(-KL_E_INTERNAL));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(statements_not_surely_reads_are_writes),
		cmocka_unit_test(
			transaction_and_setting_statements_are_classified),
		cmocka_unit_test(
			session_tokens_reject_other_workspaces_and_changes),
		cmocka_unit_test(hot_workspace_does_not_delay_others),
		cmocka_unit_test(fair_queue_shares_database_time),
		cmocka_unit_test(removed_waiters_are_never_served),
		cmocka_unit_test(every_error_has_name_and_sqlstate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
