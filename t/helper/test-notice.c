#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/admit.h"
#include "forward/listing.h"
#include "forward/target.h"
#include "forward/wire.h"
#include "platform/platform.h"

#define SECOND APR_USEC_PER_SEC
#define YEAR_S (365 * 24 * 3600.0)

/* Starts of processes are given in ms, and here agree with `now`. */
#define AT(us) (&(struct notice_time){ (us), (us) / 1000 })

/* Lists upstreams u0, u1, ... of a plain service; born[i] of 0 leaves one out. */
static void apply_list(struct target_table *t, const int *born, int count,
		       apr_time_t now)
{
	struct listing l = { .version = 1 };
	int i;

	l.items = calloc((size_t)count, sizeof(*l.items));
	for (i = 0; i < count; i++) {
		struct listed_upstream *u = &l.items[l.count];

		if (!born[i])
			continue;
		snprintf(u->id, sizeof(u->id), "u%d", i);
		snprintf(u->service, sizeof(u->service), "s");
		snprintf(u->address, sizeof(u->address), "10.0.0.%d:80", i + 1);
		snprintf(u->data_center, sizeof(u->data_center), "a");
		u->slots = 4;
		u->started_ms = born[i];
		l.count++;
	}
	target_apply_listing(t, &l, "a", now);
	free(l.items);
}

static struct target_choice choose(struct target_table *t, apr_time_t now)
{
	struct target_query q = { .service = "s" };
	struct target_choice c;
	struct random r;

	random_seed(&r, 7);
	target_choose(t, &q, now, &r, &c);
	return c;
}

START_TEST(leaving_ends_with_a_later_start_only)
{
	struct target_table t;

	target_table_init(&t);
	apply_list(&t, (int[]){ 500 }, 1, SECOND);
	target_record_leaving(&t, "u0", 500, AT(SECOND));
	ck_assert_int_eq(choose(&t, SECOND).index, -1);
	/* The same list, none, one that is older, and the same once more. */
	apply_list(&t, (int[]){ 500 }, 1, 2 * SECOND);
	ck_assert_str_eq(choose(&t, 2 * SECOND).reason, "upstreams-leaving");
	apply_list(&t, (int[]){ 0 }, 1, 30 * SECOND);
	apply_list(&t, (int[]){ 400 }, 1, 40 * SECOND);
	ck_assert_int_eq(choose(&t, 40 * SECOND).index, -1);
	apply_list(&t, (int[]){ 500 }, 1, 50 * SECOND);
	ck_assert_int_eq(choose(&t, 50 * SECOND).index, -1);
	apply_list(&t, (int[]){ 55000 }, 1, 60 * SECOND);
	ck_assert_int_eq(choose(&t, 60 * SECOND).index, 0);
	apply_list(&t, (int[]){ 500 }, 1, 70 * SECOND);
	ck_assert_int_eq(choose(&t, 70 * SECOND).index, -1);
	target_table_destroy(&t);
}
END_TEST

/* The list that names the start of the process that spoke comes after it. */
START_TEST(a_late_list_ends_no_notice)
{
	struct target_table t;

	target_table_init(&t);
	apply_list(&t, (int[]){ 500 }, 1, SECOND);
	target_record_leaving(&t, "u0", 500, AT(9 * SECOND));
	target_record_pause(&t, "u0", 500, 60, AT(9 * SECOND));
	apply_list(&t, (int[]){ 8000 }, 1, 10 * SECOND);
	ck_assert_int_eq(choose(&t, 10 * SECOND).index, -1);
	ck_assert(target_find(&t, "u0")->paused_until == 69 * SECOND);
	apply_list(&t, (int[]){ 12000 }, 1, 13 * SECOND);
	ck_assert_int_eq(choose(&t, 13 * SECOND).index, 0);
	target_table_destroy(&t);
}
END_TEST

START_TEST(an_unknown_start_ends_no_notice)
{
	struct target_table t;

	target_table_init(&t);
	target_record_leaving(&t, "u0", 0, AT(SECOND));
	apply_list(&t, (int[]){ 500 }, 1, 2 * SECOND);
	ck_assert_int_eq(choose(&t, 2 * SECOND).index, -1);
	ck_assert(notice_find(&t.notices, "u0", 0));
	target_table_destroy(&t);
}
END_TEST

START_TEST(the_latest_end_of_several_pauses_counts)
{
	struct target_table t;

	target_table_init(&t);
	apply_list(&t, (int[]){ 500 }, 1, 0);
	target_record_pause(&t, "u0", 500, 2.5, AT(SECOND));
	target_record_pause(&t, "u0", 500, 0.2, AT(SECOND));
	ck_assert_str_eq(choose(&t, 3 * SECOND).reason, "upstreams-paused");
	ck_assert_int_eq(choose(&t, 3 * SECOND).paused_until,
			 SECOND + 2.5 * SECOND);
	ck_assert_int_eq(choose(&t, 3.5 * SECOND).index, 0);
	target_record_pause(&t, "u0", 500, 1, AT(4 * SECOND));
	target_record_pause(&t, "u0", 500, 9, AT(4 * SECOND));
	apply_list(&t, (int[]){ 0 }, 1, 5 * SECOND);
	apply_list(&t, (int[]){ 500 }, 1, 6 * SECOND);
	ck_assert_int_eq(choose(&t, 13 * SECOND - 1).index, -1);
	ck_assert_int_eq(choose(&t, 13 * SECOND).index, 0);
	target_table_destroy(&t);
}
END_TEST

START_TEST(a_pause_is_bounded)
{
	struct target_table t;

	target_table_init(&t);
	apply_list(&t, (int[]){ 500 }, 1, 0);
	target_record_pause(&t, "u0", 500, YEAR_S * 1e30, AT(0));
	ck_assert_int_eq(choose(&t, NOTICE_PAUSE_MAX_US - 1).index, -1);
	ck_assert_int_eq(choose(&t, NOTICE_PAUSE_MAX_US).index, 0);
	target_table_destroy(&t);
}
END_TEST

/* Pattern: a burst that ejected one upstream and made the others ask for time. */
START_TEST(an_ejected_upstream_is_not_used_during_its_pause)
{
	struct target_table t;
	struct target_choice c;

	target_table_init(&t);
	apply_list(&t, (int[]){ 500, 500, 500 }, 3, 0);
	target_find(&t, "u0")->health.ejected_until = 20 * SECOND;
	target_record_pause(&t, "u0", 500, 9, AT(0));
	target_record_pause(&t, "u1", 500, 4, AT(0));
	target_record_pause(&t, "u2", 500, 3, AT(0));
	c = choose(&t, SECOND);
	ck_assert_int_eq(c.index, -1);
	ck_assert_str_eq(c.reason, "upstreams-paused");
	ck_assert_int_eq(c.paused_until, 3 * SECOND);
	ck_assert(!c.is_unservable);
	ck_assert_int_eq(choose(&t, 3 * SECOND).index, 2);
	ck_assert_int_eq(choose(&t, 3 * SECOND).paused_until, 0);
	target_table_destroy(&t);
}
END_TEST

START_TEST(one_that_turned_the_request_away_counts_as_paused)
{
	struct target_query q = { .service = "s" };
	struct target_choice c;
	struct target_table t;
	struct random r;

	random_seed(&r, 7);
	target_table_init(&t);
	apply_list(&t, (int[]){ 500, 500 }, 2, 0);
	target_record_pause(&t, "u0", 500, 2, AT(0));
	target_record_pause(&t, "u1", 500, 6, AT(0));
	q.excluded[q.excluded_count++] = "u0";
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert_int_eq(c.paused_until, 2 * SECOND);
	target_choose(&t, &q, 3 * SECOND, &r, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert_int_eq(c.paused_until, 6 * SECOND);
	target_table_destroy(&t);
}
END_TEST

START_TEST(the_oldest_notice_makes_room)
{
	struct target_table t;
	char id[16];
	int i;

	target_table_init(&t);
	for (i = 0; i <= NOTICES_MAX; i++) {
		snprintf(id, sizeof(id), "u%d", i);
		target_record_leaving(&t, id, 500, AT((i + 1) * SECOND));
	}
	ck_assert(!notice_find(&t.notices, "u0", 500));
	for (i = 1; i <= NOTICES_MAX; i++) {
		snprintf(id, sizeof(id), "u%d", i);
		ck_assert(notice_find(&t.notices, id, 500)->is_leaving);
	}
	target_table_destroy(&t);
}
END_TEST

START_TEST(callers_return_spread_after_the_end_of_a_pause)
{
	int i, ms, least = 1 << 30, most = 0;
	struct random r;

	random_seed(&r, 3);
	for (i = 0; i < 1000; i++) {
		ms = admit_retry_after_pause_ms(4 * SECOND, &r);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	ck_assert_int_ge(least, 4000);
	ck_assert_int_ge(most - least, 700);
	ck_assert_int_gt(admit_retry_after_pause_ms(-SECOND, &r), 0);
}
END_TEST

static struct answer_head parse(const char *name, const char *const *values)
{
	struct answer_head a = { 0 };

	for (; *values; values++)
		platform_wire_ops.parse_answer_header(name, *values, &a);
	return a;
}

#define PARSE(name, ...) parse(name, (const char *const[]){ __VA_ARGS__, NULL })

START_TEST(retry_after_is_seconds_with_decimals)
{
	static const char *const malformed[] = {
		"",    "-1",   "soon",	"1e9", "inf",
		"nan", "0x10", "1.2.3", ".",   "Wed, 21 Oct 2026 07:28:00 GMT"
	};
	struct answer_head a;
	size_t i;

	a = PARSE("retry-after", "1.25 ");
	ck_assert_double_eq(a.retry_after_s, 1.25);
	ck_assert(!a.is_malformed);
	a = PARSE("Retry-After", "0");
	ck_assert_double_eq(a.retry_after_s, 0);
	ck_assert(!a.is_malformed);
	a = PARSE("Retry-After", "3", "1");
	ck_assert_double_eq(a.retry_after_s, 3);
	for (i = 0; i < sizeof(malformed) / sizeof(*malformed); i++) {
		a = PARSE("Retry-After", malformed[i]);
		ck_assert_double_eq(a.retry_after_s, 0);
		ck_assert_msg(a.is_malformed, "'%s'", malformed[i]);
	}
}
END_TEST

START_TEST(leaving_is_announced_by_one_value_only)
{
	struct answer_head a = PARSE("server-leaving", "1");

	ck_assert(a.is_leaving && !a.is_malformed);
	a = PARSE("Server-Leaving", "0");
	ck_assert(!a.is_leaving && a.is_malformed);
	a = PARSE("Server-Leaving", "true");
	ck_assert(!a.is_leaving && a.is_malformed);
	a = PARSE("Server-Leaving", "1", "0");
	ck_assert(a.is_leaving && a.is_malformed);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("notice");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, leaving_ends_with_a_later_start_only);
	tcase_add_test(tc, a_late_list_ends_no_notice);
	tcase_add_test(tc, an_unknown_start_ends_no_notice);
	tcase_add_test(tc, the_latest_end_of_several_pauses_counts);
	tcase_add_test(tc, a_pause_is_bounded);
	tcase_add_test(tc, an_ejected_upstream_is_not_used_during_its_pause);
	tcase_add_test(tc, one_that_turned_the_request_away_counts_as_paused);
	tcase_add_test(tc, the_oldest_notice_makes_room);
	tcase_add_test(tc, callers_return_spread_after_the_end_of_a_pause);
	tcase_add_test(tc, retry_after_is_seconds_with_decimals);
	tcase_add_test(tc, leaving_is_announced_by_one_value_only);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
