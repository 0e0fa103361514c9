#include <check.h>
#include <stdlib.h>

#include "weights/blob.h"
#include "weights/hint.h"
#include "weights/pace.h"

#define SECOND_US APR_USEC_PER_SEC

START_TEST(pace_keeps_the_rate)
{
	struct pace p;
	double sent = 0;
	apr_time_t now;

	pace_init(&p, 1000, 100, 0);
	for (now = 0; now < 10 * SECOND_US; now += 1000) {
		while (pace_level(&p, now) > 0) {
			pace_charge(&p, 250, now);
			sent += 250;
		}
	}
	ck_assert_double_ge(sent, 10000 - 250);
	ck_assert_double_le(sent, 10000 + 100 + 250);
}
END_TEST

/* The link's rate drops to an eighth during a distribution. */
START_TEST(transfer_window_shrinks_on_slow_link)
{
	struct transfer_window w;
	apr_time_t now = 10 * SECOND_US;
	int i;

	transfer_window_init(&w, 8);
	/* Eight transfers fill the queue of the full link for 0.27 s. */
	transfer_window_record(&w, 270 * 1000, now);
	ck_assert_int_eq(w.size, 4);
	/* Transfers in flight at that time do not shrink it again. */
	for (i = 0; i < 7; i++)
		transfer_window_record(&w, 270 * 1000, now + 100 * 1000);
	ck_assert_int_eq(w.size, 4);
	now += SECOND_US;
	transfer_window_record(&w, 135 * 1000, now);
	ck_assert_int_eq(w.size, 4);
	/* The link slows down. */
	transfer_window_record(&w, 900 * 1000, now);
	ck_assert_int_eq(w.size, 2);
	now += 600 * 1000;
	transfer_window_record(&w, 550 * 1000, now);
	ck_assert_int_eq(w.size, 1);
	now += 500 * 1000;
	transfer_window_record(&w, 450 * 1000, now);
	ck_assert_int_eq(w.size, 1);
	for (i = 0; i < 10; i++)
		transfer_window_record(&w, 40 * 1000, now + SECOND_US);
	ck_assert_int_eq(w.size, 8);
}
END_TEST

START_TEST(throttle_reduces_share_for_slow_calls)
{
	struct throttle throttle;
	apr_time_t now = SECOND_US;
	double share = 1;
	int i;

	throttle_init(&throttle);
	for (i = 0; i < 5; i++, now += SECOND_US)
		share = throttle_step(&throttle, 4, 2000, now);
	ck_assert_double_eq(share, 1);
	for (i = 0; i < 3; i++, now += SECOND_US)
		share = throttle_step(&throttle, 4, 3000, now);
	ck_assert_double_eq(share, 0.125);
	for (i = 0; i < 10; i++, now += SECOND_US)
		share = throttle_step(&throttle, 4, 2000, now);
	ck_assert_double_eq(share, 1);
}
END_TEST

START_TEST(hint_round_trip_and_malformed_input)
{
	u_int sent[3] = { 5, 0, 4000000000u }, entries[HINT_ENTRIES_MAX];
	struct weights_have h = { .epoch = 3, .start = 9, .total = 12 };
	struct weights_have got;
	char text[HINT_SIZE];

	h.entries.entries_val = sent;
	h.entries.entries_len = 3;
	hint_format(&h, text);
	ck_assert_int_eq(hint_parse(text, &got, entries), 0);
	ck_assert_uint_eq(got.start, 9);
	ck_assert_uint_eq(got.entries.entries_len, 3);
	ck_assert_uint_eq(entries[2], 4000000000u);
	ck_assert_int_eq(hint_parse("", &got, entries), -1);
	ck_assert_int_eq(hint_parse("abc 1 2", &got, entries), -1);
	text[66] = '\0';
	ck_assert_int_eq(hint_parse(text, &got, entries), -1);
}
END_TEST

START_TEST(blob_cache_stays_within_limit)
{
	struct blob_cache c;
	struct blob *b;
	int i;

	blob_cache_init(&c, 1000);
	for (i = 0; i < 600; i++) {
		b = blob_new(300);
		digest_of(&i, sizeof(i), &b->digest);
		blob_cache_add(&c, b);
		blob_release(b);
		ck_assert_uint_le(c.bytes, 1000);
	}
	i = 599;
	{
		struct digest d;

		digest_of(&i, sizeof(i), &d);
		b = blob_cache_find(&c, &d);
		ck_assert_ptr_nonnull(b);
		blob_release(b);
		blob_cache_remove(&c, &d);
		ck_assert_ptr_null(blob_cache_find(&c, &d));
	}
	blob_cache_destroy(&c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("weights-parts");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, pace_keeps_the_rate);
	tcase_add_test(tc, transfer_window_shrinks_on_slow_link);
	tcase_add_test(tc, throttle_reduces_share_for_slow_calls);
	tcase_add_test(tc, hint_round_trip_and_malformed_input);
	tcase_add_test(tc, blob_cache_stays_within_limit);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
