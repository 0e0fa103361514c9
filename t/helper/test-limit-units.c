#include <apr_general.h>
#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "calls/breaker.h"
#include "calls/budget.h"
#include "calls/crash-table.h"
#include "calls/limit-core.h"
#include "calls/limit-peers.h"
#include "calls/limit-share.h"
#include "calls/queue.h"

#define S APR_USEC_PER_SEC

/*
 * Unit tests of admission: shares, demand windows, token buckets, the fair
 * queue, the circuit breaker, the retry budget and the list of crash suspects.
 */

static double sum_of_shares(const struct share_claim *c, int count,
			    double level)
{
	double sum = 0;
	int i;

	for (i = 0; i < count; i++)
		sum += fmin(c[i].demand, c[i].weight * level);
	return sum;
}

START_TEST(level_divides_the_total)
{
	struct share_claim c[20];
	struct random r;
	double total, level;
	int iteration, i;

	random_seed(&r, 1);
	for (iteration = 0; iteration < 2000; iteration++) {
		for (i = 0; i < 20; i++) {
			c[i].weight = 1 + random_below(&r, 5);
			c[i].demand =
				random_below(&r, 3) ? random_unit(&r) * 100 : 0;
		}
		total = random_unit(&r) * 1000;
		level = share_max_min_level(c, 20, total);
		if (level < 0)
			ck_assert(sum_of_shares(c, 20, 1e9) <= total + 1e-6);
		else
			ck_assert_double_eq_tol(sum_of_shares(c, 20, level),
						total, 1e-6);
	}
}
END_TEST

/*
 * Each entry's value for another entry's demand may be out of date, but is
 * never below the demand that this other entry uses for itself.  The slices of
 * all entries together must then stay within the budget.
 */
START_TEST(slices_from_old_demands_stay_within_budget)
{
	double own[8], budget, others, sum;
	struct random r;
	int iteration, i, k;

	random_seed(&r, 2);
	for (iteration = 0; iteration < 20000; iteration++) {
		budget = 1 + random_unit(&r) * 100;
		for (i = 0; i < 8; i++)
			own[i] = random_unit(&r) *
				 (random_below(&r, 2) ? 100 : 5);
		sum = 0;
		for (i = 0; i < 8; i++) {
			others = 0;
			for (k = 0; k < 8; k++)
				if (k != i)
					others += own[k] +
						  random_unit(&r) * own[k];
			sum += share_slice(budget, own[i], others, 8);
		}
		ck_assert(sum <= budget * (1 + 1e-9));
	}
}
END_TEST

START_TEST(partitions_stay_within_max_total_ratio)
{
	static const double cut_off[] = { 0, 0.05, 0.1, 0.3 };
	int entries, a, b, k;
	double sum, bound;

	for (k = 0; k < 4; k++)
		for (entries = 2; entries <= 37; entries++)
			for (a = 0; a <= entries; a++)
				for (b = 0; a + b <= entries; b++) {
					sum = share_partition_ratio(
						a, entries, 1, cut_off[k]);
					sum += share_partition_ratio(
						b, entries, 0, cut_off[k]);
					sum += share_partition_ratio(
						entries - a - b, entries, 0,
						cut_off[k]);
					bound = share_max_total_ratio(
						entries, cut_off[k]);
					ck_assert(sum <= bound + 1e-9);
				}
}
END_TEST

START_TEST(codes_are_within_three_percent)
{
	double v;

	for (v = 0.2; v < 200000; v *= 1.01)
		ck_assert_double_eq_tol(
			limit_decode(limit_encode_demands(0, 0, v),
				     LIMIT_CONCURRENT) /
				v,
			1, 0.03);
	ck_assert_uint_eq(limit_encode_demands(0, 0, 0), 0);
}
END_TEST

START_TEST(demand_covers_the_last_second)
{
	struct demand_window w = { { 0 }, 0 };
	apr_time_t now;

	for (now = 50 * S; now < 52 * S; now += S / 100)
		demand_window_add(&w, 1, now);
	ck_assert_double_eq_tol(demand_window_rate(&w, 52 * S), 100, 1);
	ck_assert_double_eq_tol(demand_window_rate(&w, 52 * S + S / 2), 50, 10);
	ck_assert_double_eq(demand_window_rate(&w, 60 * S), 0);
}
END_TEST

START_TEST(bucket_keeps_its_rate_and_depth)
{
	struct bucket b = { 0 };
	apr_time_t now = S;
	int consumed = 0;

	bucket_configure(&b, 10, 5, now);
	for (; now < 11 * S; now += S / 1000)
		if (bucket_has_amount(&b, 1, now)) {
			bucket_consume(&b, 1);
			consumed++;
		}
	ck_assert_int_ge(consumed, 104);
	ck_assert_int_le(consumed, 105);
	ck_assert_int_le(bucket_wait_time(&b, 1), S / 10);
	/*
	 * After an hour without requests it is full, but not above its depth.
	 */
	now += 3600 * S;
	for (consumed = 0; bucket_has_amount(&b, 1, now); consumed++)
		bucket_consume(&b, 1);
	ck_assert_int_eq(consumed, 5);
}
END_TEST

static int accept_any_flow(void *arg, int flow)
{
	(void)arg;
	(void)flow;
	return 1;
}

START_TEST(queue_serves_by_weight_then_priority)
{
	struct admission a[300];
	struct fair_queue q = { 0 };
	struct admission *picked;
	int i, from_first = 0, last = -1;

	memset(a, 0, sizeof(a));
	for (i = 0; i < 300; i++) {
		a[i].account_row.index = i < 200 ? 1 : 2;
		a[i].priority = i % 10;
		queue_push(&q, &a[i], i < 200 ? 3 : 1);
	}
	for (i = 0; i < 100; i++) {
		picked = queue_pick(&q, accept_any_flow, NULL);
		if (picked->account_row.index != 1)
			continue;
		from_first++;
		ck_assert_int_ge(picked->priority, last);
		last = picked->priority;
	}
	ck_assert_int_ge(from_first, 74);
	ck_assert_int_le(from_first, 76);
	queue_destroy(&q);
}
END_TEST

START_TEST(queue_serves_a_new_flow_next)
{
	struct admission a[102];
	struct fair_queue q = { 0 };
	int i;

	memset(a, 0, sizeof(a));
	for (i = 0; i < 102; i++) {
		a[i].account_row.index = i < 100 ? 1 : 2;
		if (i < 100)
			queue_push(&q, &a[i], 1);
	}
	for (i = 0; i < 50; i++)
		queue_pick(&q, accept_any_flow, NULL);
	queue_push(&q, &a[100], 1);
	queue_push(&q, &a[101], 1);
	ck_assert_ptr_eq(queue_pick(&q, accept_any_flow, NULL), &a[100]);
	queue_pick(&q, accept_any_flow, NULL);
	ck_assert_ptr_eq(queue_pick(&q, accept_any_flow, NULL), &a[101]);
	queue_remove(&q, &a[60]);
	for (i = 0; queue_pick(&q, accept_any_flow, NULL); i++)
		;
	ck_assert_int_eq(i, 48);
	queue_destroy(&q);
}
END_TEST

START_TEST(breaker_is_not_opened_by_a_silent_connection)
{
	struct breaker b = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		breaker_record(&b, BREAKER_SILENT, i * S);
	ck_assert(!breaker_is_open(&b, 100 * S));
	ck_assert_int_eq(breaker_allow(&b, 100 * S), BREAKER_ALLOW_PROBE);
	breaker_record(&b, BREAKER_ANSWERED, 101 * S);
	ck_assert_int_eq(breaker_allow(&b, 102 * S), BREAKER_ALLOW);
	breaker_record(&b, BREAKER_SILENT, 103 * S);
	breaker_record(&b, BREAKER_SILENT_NEW, 104 * S);
	ck_assert(breaker_is_open(&b, 104 * S));
}
END_TEST

START_TEST(breaker_allows_one_probe_at_a_time)
{
	struct breaker b = { 0 };
	apr_time_t now = S;
	int i;

	for (i = 0; i < BREAKER_FAILURES_MAX; i++)
		breaker_record(&b, BREAKER_FAILED, now);
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_DENY);
	now += BREAKER_OPEN_MIN_US;
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_ALLOW_PROBE);
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_DENY);
	breaker_record(&b, BREAKER_FAILED, now);
	ck_assert_int_eq(breaker_allow(&b, now + BREAKER_OPEN_MIN_US),
			 BREAKER_DENY);
	now += 2 * BREAKER_OPEN_MIN_US;
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_ALLOW_PROBE);
	/* A lost probe does not keep the breaker open for ever. */
	now += BREAKER_PROBE_TIMEOUT_US;
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_ALLOW_PROBE);
	breaker_record(&b, BREAKER_ANSWERED, now);
	ck_assert_int_eq(breaker_allow(&b, now), BREAKER_ALLOW);
}
END_TEST

START_TEST(retries_stay_below_a_tenth_of_calls)
{
	struct retry_budget b;
	int i, retries = 0;

	retry_budget_init(&b);
	for (i = 0; i < 10000; i++) {
		retry_budget_earn(&b, "a");
		while (retry_budget_consume(&b, "a"))
			retries++;
		ck_assert(retries <=
			  0.1 * (i + 1) + RETRY_INITIAL_CREDIT + 1e-6);
	}
	ck_assert_int_ge(retries, 999);
	ck_assert(retry_budget_consume(&b, "other"));
	retry_budget_destroy(&b);
}
END_TEST

START_TEST(suspects_run_one_at_a_time)
{
	apr_time_t now = 100 * S;
	struct crash_list c;
	struct digest fps[2];
	int retry = 0;

	crash_init(&c);
	crash_fingerprint("a", "/p", "cause", 5, &fps[0]);
	crash_fingerprint("a", "/p", "other", 5, &fps[1]);
	crash_record_death(&c, "u1", 1, fps, 2, now);
	ck_assert(!crash_begin_run(&c, &fps[0], "u2", now, &retry));
	now += CRASH_PROPAGATION_US;
	ck_assert(!crash_begin_run(&c, &fps[0], "u1", now, &retry));
	ck_assert(crash_begin_run(&c, &fps[0], "u2", now, &retry));
	ck_assert(!crash_begin_run(&c, &fps[1], "u2", now, &retry));
	ck_assert_int_eq(retry, 1);
	crash_end_run(&c, &fps[0], "u2", 0, now);
	crash_record_death(&c, "u2", 1, fps, 1, now);
	ck_assert(crash_is_quarantined(&c, &fps[0], now + 300 * S, &retry));
	/* A repeated request renews the quarantine of its fingerprint. */
	ck_assert(crash_is_quarantined(&c, &fps[0], now + 800 * S, &retry));
	ck_assert(!crash_is_quarantined(&c, &fps[1], now, &retry));
	ck_assert(crash_begin_run(&c, &fps[1], "u2", now, &retry));
	crash_end_run(&c, &fps[1], "u2", 1, now + S);
	ck_assert_int_eq(crash_verdict(&c, &fps[1], now + S, &retry),
			 CRASH_CLEAR);
	crash_destroy(&c);
}
END_TEST

START_TEST(crash_list_is_bounded_and_keeps_quarantined)
{
	apr_time_t now = 100 * S;
	struct digest quarantined, fp;
	struct crash_list c;
	int i;

	crash_init(&c);
	crash_fingerprint("a", "/p", "cause", 5, &quarantined);
	crash_record_death(&c, "u1", 1, &quarantined, 1, now);
	crash_record_death(&c, "u2", 1, &quarantined, 1, now + S);
	for (i = 0; i < 3 * CRASH_SUSPECTS_MAX; i++) {
		crash_fingerprint("a", "/p", &i, sizeof(i), &fp);
		crash_record_death(&c, "u3", i, &fp, 1, now + 2 * S + i);
	}
	ck_assert_uint_le(c.rows.count, CRASH_SUSPECTS_MAX);
	ck_assert(crash_is_quarantined(&c, &quarantined, now + 10 * S, NULL));
	crash_destroy(&c);
}
END_TEST

/* Reports count pools of different sizes, named after kind. */
static void report_pools(struct limit_core *c, const char *kind, int count,
			 int slots)
{
	struct pool_report *reports = calloc((size_t)count, sizeof(*reports));
	int i;

	for (i = 0; i < count; i++) {
		snprintf(reports[i].name, sizeof(reports[i].name), "%s-%d",
			 kind, i);
		reports[i].slots = slots + i;
	}
	limit_core_apply_reports(c, reports, count);
	free(reports);
}

static struct limit_pool *find_pool(struct limit_core *c, const char *name)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		if (!strcmp(c->pools[i].name, name))
			return &c->pools[i];
	return NULL;
}

static void ignore_decision(struct admission *a, enum admit_outcome outcome,
			    int retry_after_ms, const char *reason)
{
}

static struct admission make_call(const char *target)
{
	struct admission a = { .decided = ignore_decision };

	snprintf(a.account, sizeof(a.account), "adubo");
	snprintf(a.target, sizeof(a.target), "%s", target);
	return a;
}

static struct limit_core *create_core(void)
{
	struct account_spec account = { .name = "adubo", .share = 1 };
	struct document d = { .revision = 1,
			      .accounts = &account,
			      .account_count = 1 };
	struct limit_core *c = malloc(sizeof(*c));

	limit_core_init(c, "e-1", 1);
	limit_core_configure(c, &d, S);
	return c;
}

START_TEST(more_pools_than_places_leave_the_windows_alone)
{
	struct limit_core *c = create_core();
	struct limit_decisions out = { NULL, NULL };
	struct admission calls[3 * LIMIT_POOLS_MAX];
	int i;

	report_pools(c, "m", 2 * LIMIT_POOLS_MAX, 4);
	limit_core_tick(c, S, &out);
	ck_assert_int_eq(find_pool(c, "m-0")->slots, 4);
	ck_assert_int_eq(find_pool(c, "m-0")->window, 4);
	/* Calls to a model without a place take no slot of another's. */
	for (i = 0; i < 3 * LIMIT_POOLS_MAX; i++) {
		calls[i] = make_call("m-120");
		limit_core_admit(c, &calls[i], S, &out);
		ck_assert_int_eq(calls[i].outcome, ADMIT_GRANTED);
	}
	ck_assert_int_eq(find_pool(c, "m-0")->running, 0);
	for (i = 0; i < 3 * LIMIT_POOLS_MAX; i++)
		limit_core_finish(c, &calls[i], 0, 2 * S, &out);
	limit_core_destroy(c);
	free(c);
}
END_TEST

START_TEST(pools_without_calls_and_reports_give_way)
{
	struct limit_core *c = create_core();
	struct limit_decisions out = { NULL, NULL };
	struct admission call = make_call("old-3");

	report_pools(c, "old", LIMIT_POOLS_MAX, 4);
	limit_core_admit(c, &call, S, &out);
	report_pools(c, "new", LIMIT_POOLS_MAX / 2, 8);
	limit_core_tick(c, S, &out);
	ck_assert_ptr_nonnull(find_pool(c, "new-0"));
	ck_assert_ptr_nonnull(find_pool(c, "new-31"));
	ck_assert_int_eq(find_pool(c, "new-31")->slots, 8 + 31);
	/* The one with a call stays until the call ends. */
	ck_assert_int_eq(find_pool(c, "old-3")->running, 1);
	limit_core_finish(c, &call, 0, 2 * S, &out);
	ck_assert_int_eq(find_pool(c, "old-3")->running, 0);
	limit_core_destroy(c);
	free(c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("limits");
	TCase *t = tcase_create("limits");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, level_divides_the_total);
	tcase_add_test(t, slices_from_old_demands_stay_within_budget);
	tcase_add_test(t, partitions_stay_within_max_total_ratio);
	tcase_add_test(t, codes_are_within_three_percent);
	tcase_add_test(t, demand_covers_the_last_second);
	tcase_add_test(t, bucket_keeps_its_rate_and_depth);
	tcase_add_test(t, queue_serves_by_weight_then_priority);
	tcase_add_test(t, queue_serves_a_new_flow_next);
	tcase_add_test(t, more_pools_than_places_leave_the_windows_alone);
	tcase_add_test(t, pools_without_calls_and_reports_give_way);
	tcase_add_test(t, breaker_is_not_opened_by_a_silent_connection);
	tcase_add_test(t, breaker_allows_one_probe_at_a_time);
	tcase_add_test(t, retries_stay_below_a_tenth_of_calls);
	tcase_add_test(t, suspects_run_one_at_a_time);
	tcase_add_test(t, crash_list_is_bounded_and_keeps_quarantined);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
