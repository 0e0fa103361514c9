#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "base/error.h"
#include "base/metric.h"
#include "base/random.h"
#include "base/schema.h"
#include "base/table.h"
#include "net/envelope.h"
#include "net/replay.h"

#include <apr_general.h>

START_TEST(table_get_fails_for_removed_row)
{
	struct table t;
	struct handle a, b;
	int v = 1;

	table_init(&t, "t", RANK_MEMBER, sizeof(v), 0);
	table_lock(&t);
	a = table_add(&t, &v);
	ck_assert_int_eq(table_remove(&t, a), 0);
	ck_assert_int_eq(table_remove(&t, a), -1);
	v = 2;
	b = table_add(&t, &v); /* reuses the slot */
	ck_assert_uint_eq(a.index, b.index);
	ck_assert_ptr_null(table_get(&t, a));
	ck_assert_int_eq(*(int *)table_get(&t, b), 2);
	table_unlock(&t);
	table_destroy(&t);
}
END_TEST

START_TEST(table_add_fails_at_limit)
{
	struct table t;
	int v = 1, i;

	table_init(&t, "t", RANK_MEMBER, sizeof(v), 20);
	table_lock(&t);
	for (i = 0; i < 20; i++)
		ck_assert(!handle_is_none(table_add(&t, &v)));
	ck_assert(handle_is_none(table_add(&t, &v)));
	table_unlock(&t);
	table_destroy(&t);
}
END_TEST

START_TEST(table_next_visits_each_row_once_during_removal)
{
	struct table t;
	struct handle h = HANDLE_NONE;
	int v, seen = 0, *row;

	table_init(&t, "t", RANK_MEMBER, sizeof(v), 0);
	table_lock(&t);
	for (v = 0; v < 100; v++)
		table_add(&t, &v);
	while ((row = table_next(&t, &h))) {
		seen++;
		if (*row % 2)
			table_remove(&t, h);
	}
	ck_assert_int_eq(seen, 100);
	ck_assert_uint_eq(t.count, 50);
	table_unlock(&t);
	table_destroy(&t);
}
END_TEST

START_TEST(histogram_quantile_is_within_a_sixteenth)
{
	struct metric *m = metric_histogram("test_us", "a");
	uint64_t v;

	for (v = 1; v <= 100000; v++)
		metric_record(m, v);
	ck_assert_uint_ge(metric_quantile(m, 0.5), 50000);
	ck_assert_uint_le(metric_quantile(m, 0.5), 50000 * 17 / 16);
	ck_assert_uint_ge(metric_quantile(m, 0.99), 99000);
	ck_assert_uint_le(metric_quantile(m, 0.99), 99000 * 17 / 16);
	metric_record(m, UINT64_MAX); /* clamps into the last bucket */
	ck_assert_int_eq(metric_value(m), 100001);
}
END_TEST

START_TEST(digest_parse_accepts_only_lower_case_hex)
{
	struct digest d, e;
	char hex[DIGEST_HEX_SIZE];

	digest_of("abc", 3, &d);
	digest_hex(&d, hex);
	ck_assert_str_eq(hex, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9c"
			      "b410ff61f20015ad");
	ck_assert_int_eq(digest_parse(hex, &e), 0);
	ck_assert(digest_equal(&d, &e));
	hex[0] = 'B';
	ck_assert_int_eq(digest_parse(hex, &e), -1);
	ck_assert_int_eq(digest_parse("ba", &e), -1);
	ck_assert_int_eq(digest_parse(NULL, &e), -1);
}
END_TEST

START_TEST(replay_window_accepts_each_number_once)
{
	static struct replay r;
	struct random rnd;
	static unsigned char seen[4096];
	int i;

	memset(&r, 0, sizeof(r));
	random_seed(&rnd, 7);
	ck_assert_int_eq(replay_check(&r, 5, 1), 0);
	ck_assert_int_eq(replay_check(&r, 5, 1), -1);
	ck_assert_int_eq(replay_check(&r, 6, 1), 0); /* another boot */
	for (i = 0; i < 100000; i++) {
		uint64_t n = 100 + (uint64_t)i / 64 + random_below(&rnd, 80);
		int fresh = !replay_check(&r, 9, n);

		ck_assert(!fresh || !seen[n]);
		seen[n] |= (unsigned char)fresh;
	}
}
END_TEST

START_TEST(envelope_mac_covers_every_field)
{
	struct envelope_request e = { .sender = "a",
				      .sender_boot = 1,
				      .target_boot = 2,
				      .sequence = 3,
				      .kind = 4 };
	struct rpc_keys keys = { "current-key-0000", "" };
	struct rpc_keys rotated = { "next-key-0000000", "current-key-0000" };
	struct rpc_keys wrong = { "wrong-key-000000", "" };
	struct digest mac;

	e.body.body_val = "xyz";
	e.body.body_len = 3;
	ck_assert_int_eq(envelope_request_sign(&e, keys.current, &mac), 0);
	ck_assert_int_eq(envelope_request_verify(&e, &keys), 0);
	ck_assert_int_eq(envelope_request_verify(&e, &rotated), 0);
	ck_assert_int_eq(envelope_request_verify(&e, &wrong), -1);
	e.sequence++;
	ck_assert_int_eq(envelope_request_verify(&e, &keys), -1);
	e.sequence--;
	e.target_boot++;
	ck_assert_int_eq(envelope_request_verify(&e, &keys), -1);
	e.target_boot--;
	e.body.body_len = 2;
	ck_assert_int_eq(envelope_request_verify(&e, &keys), -1);
	e.body.body_len = 3;
	e.mac.mac_len = 31;
	ck_assert_int_eq(envelope_request_verify(&e, &keys), -1);
}
END_TEST

static const struct schema_field inner_fields[] = {
	{ "rate", SCHEMA_INTEGER, SCHEMA_REQUIRED, 1, 10, "calls a second" },
	SCHEMA_END
};

static const struct schema_field test_fields[] = {
	{ "name", SCHEMA_STRING, SCHEMA_REQUIRED | SCHEMA_NAME },
	{ "limits", SCHEMA_ARRAY, 0, 0, 2, NULL, inner_fields },
	SCHEMA_END
};

START_TEST(schema_check_lists_every_fault_with_its_path)
{
	struct fault_list l = { 0 };
	json_t *o = json_loads("{\"nmae\":1,\"limits\":[{\"rate\":11},{},{}]}",
			       0, NULL);

	schema_check(test_fields, o, "", &l);
	ck_assert_uint_eq(l.count, 6);
	ck_assert_str_eq(l.lines[0],
			 "nmae: unknown field; did you mean \"name\"?");
	ck_assert_str_eq(l.lines[1], "limits: expected 0 to 2 elements");
	ck_assert_str_eq(l.lines[2],
			 "limits[0].rate: 11 is out of range: expected 1 to 10 "
			 "calls a second");
	ck_assert_str_eq(l.lines[5], "name: is required");
	fault_list_clear(&l);
	json_decref(o);
}
END_TEST

START_TEST(error_set_stores_step_and_peer)
{
	struct error e = ERROR_INIT;

	ck_assert_int_eq(
		error_set(&e, ERROR_TIMEOUT, "fetch", "a1", "%d ms", 5), -1);
	ck_assert_str_eq(e.step, "fetch");
	ck_assert_str_eq(e.peer, "a1");
	ck_assert_str_eq(e.text, "5 ms");
	ck_assert_str_eq(error_code_name(e.code), "timeout");
	ck_assert_int_eq(error_set(NULL, ERROR_TIMEOUT, "", "", "x"), -1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *t = tcase_create("base");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, table_get_fails_for_removed_row);
	tcase_add_test(t, table_add_fails_at_limit);
	tcase_add_test(t, table_next_visits_each_row_once_during_removal);
	tcase_add_test(t, histogram_quantile_is_within_a_sixteenth);
	tcase_add_test(t, digest_parse_accepts_only_lower_case_hex);
	tcase_add_test(t, replay_window_accepts_each_number_once);
	tcase_add_test(t, envelope_mac_covers_every_field);
	tcase_add_test(t, schema_check_lists_every_fault_with_its_path);
	tcase_add_test(t, error_set_stores_step_and_peer);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
