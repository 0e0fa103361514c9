#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/document.h"
#include "forward/admit.h"
#include "forward/decide.h"
#include "forward/health.h"
#include "forward/repeats.h"
#include "forward/report-wire.h"
#include "forward/report.h"
#include "forward/target.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL

/* decide.c */

static const struct attempt_context once = {
	.runs_max = 1, .attempts = 1, .runs = 1, .has_budget = 1, .has_time = 1
};
static const struct attempt_context repeatable = { .is_repeatable = 1,
						   .runs_max = 2,
						   .attempts = 1,
						   .runs = 1,
						   .has_budget = 1,
						   .has_time = 1 };

START_TEST(request_that_may_have_run_is_never_reported_not_run)
{
	struct attempt_result lost = { .status = 0 };
	struct attempt_result refused = { .status = 503,
					  .is_complete = 1,
					  .is_not_run = 1 };
	struct attempt_result unsent = { .is_unsent = 1 };
	struct attempt_context s = once;

	ck_assert_int_eq(attempt_decide_next(&lost, &s), NEXT_UNKNOWN);
	ck_assert_int_eq(attempt_decide_next(&refused, &s), NEXT_NOT_RUN);
	ck_assert_int_eq(attempt_decide_next(&unsent, &s), NEXT_RETRY);
	/* An earlier attempt may have run: this refusal proves nothing. */
	s.may_have_run = 1;
	ck_assert_int_eq(attempt_decide_next(&refused, &s), NEXT_UNKNOWN);
	s.may_have_run = 0;
	lost.is_timed_out = 1;
	ck_assert_int_eq(attempt_decide_next(&lost, &s), NEXT_TIMEOUT);
	unsent.is_timed_out = 1;
	ck_assert_int_eq(attempt_decide_next(&unsent, &s), NEXT_NOT_RUN);
}
END_TEST

START_TEST(suspect_is_not_retried_after_its_connection_broke)
{
	struct attempt_result cut = { .is_cut = 1 };
	struct attempt_result refused = { .status = 503,
					  .is_complete = 1,
					  .is_not_run = 1 };
	struct attempt_result unsent = { .is_unsent = 1 };
	struct attempt_context s = repeatable;

	ck_assert_int_eq(attempt_decide_next(&cut, &s), NEXT_RETRY);
	s.is_suspect = 1;
	ck_assert_int_eq(attempt_decide_next(&cut, &s), NEXT_UNKNOWN);
	ck_assert_int_eq(attempt_decide_next(&refused, &s), NEXT_RETRY);
	ck_assert_int_eq(attempt_decide_next(&unsent, &s), NEXT_RETRY);
	cut.is_answer_started = 1;
	s.is_resumable = 1;
	ck_assert_int_eq(attempt_decide_next(&cut, &s), NEXT_TRUNCATED);
	s.is_suspect = 0;
	ck_assert_int_eq(attempt_decide_next(&cut, &s), NEXT_RESUME);
}
END_TEST

START_TEST(non_repeatable_request_is_not_retried_after_unknown_outcome)
{
	struct attempt_result e = { .status = 0 };
	struct attempt_context s = once;

	s.runs_max = 5;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	e.status = 200; /* truncated before the caller received a byte */
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	e.is_mismatched = 1;
	e.is_complete = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_RETRY);
}
END_TEST

START_TEST(retries_stop_at_run_limit_and_budget)
{
	struct attempt_result e = { .status = 0 };
	struct attempt_context s = repeatable;

	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_RETRY);
	s.has_budget = 0;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	s.runs = 2;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	s.has_time = 0;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_UNKNOWN);
	/* The upstream's own error is returned when no retry is left. */
	s = repeatable;
	s.runs = 2;
	e.status = 500;
	e.is_complete = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_DONE);
}
END_TEST

START_TEST(stream_is_resumed_or_truncated)
{
	struct attempt_result e = { .status = 200, .is_answer_started = 1 };
	struct attempt_context s = repeatable;

	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_TRUNCATED);
	s.is_resumable = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_RESUME);
	e.is_complete = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_DONE);
	s.is_caller_disconnected = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_DISCONNECTED);
}
END_TEST

/*
 * A close ends an answer only where the caller was promised nothing better: it
 * is no proof for the last chunk of a stream that began in chunks.
 */
START_TEST(close_does_not_complete_a_stream_in_chunks)
{
	struct attempt_result e = { .status = 200,
				    .is_answer_started = 1,
				    .is_complete = 1 };
	struct attempt_context s = repeatable;

	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_DONE);
	s.is_end_promised = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_TRUNCATED);
	s.is_resumable = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_RESUME);
	e.is_end_marked = 1;
	ck_assert_int_eq(attempt_decide_next(&e, &s), NEXT_DONE);
}
END_TEST

START_TEST(moved_stream_is_resumed_after_refusal)
{
	struct attempt_result moved = { .status = 200,
					.is_answer_started = 1,
					.is_canceled = 1 };
	struct attempt_result refused = { .status = 503,
					  .is_answer_started = 1,
					  .is_not_run = 1 };
	struct attempt_context s = repeatable;

	s.is_resumable = 1;
	s.runs = attempt_count_runs(0, &moved);
	ck_assert_int_eq(attempt_decide_next(&moved, &s), NEXT_RESUME);
	s.attempts = 2;
	s.runs = attempt_count_runs(s.runs, &refused);
	ck_assert_int_eq(attempt_decide_next(&refused, &s), NEXT_RESUME);
	/* Two attempts that may have run are the maximum of the route. */
	s.attempts = 3;
	s.runs = attempt_count_runs(s.runs, &moved);
	ck_assert_int_eq(attempt_decide_next(&moved, &s), NEXT_TRUNCATED);
}
END_TEST

/* health.c */

START_TEST(partly_failing_upstream_is_ejected_and_readmitted)
{
	struct health h = { 0 };
	apr_time_t now = SECOND;
	int i, ejections = 0;

	for (i = 0; i < 40 && !ejections; i++)
		ejections += health_record_outcome(
			&h, i % 5 < 3 ? HEALTH_FAILED : HEALTH_ANSWERED, now);
	ck_assert_int_eq(ejections, 1);
	ck_assert_int_eq(health_can_send(&h, now), 0);
	now += HEALTH_EJECT_MIN_US;
	/* Probing: one request at a time until a few have succeeded. */
	ck_assert_int_eq(health_can_send(&h, now), 1);
	health_record_start(&h, now);
	ck_assert_int_eq(health_can_send(&h, now), 0);
	for (i = 0; i < HEALTH_PROBE_SUCCESSES; i++)
		health_record_outcome(&h, HEALTH_ANSWERED, now);
	ck_assert_int_eq(h.is_probing, 0);
	ck_assert_int_eq(health_can_send(&h, now), 1);
}
END_TEST

START_TEST(rare_failures_do_not_eject)
{
	struct health h = { 0 };
	int i;

	for (i = 0; i < 400; i++)
		ck_assert_int_eq(health_record_outcome(&h,
						       i % 7 ? HEALTH_ANSWERED
							     : HEALTH_FAILED,
						       SECOND),
				 0);
}
END_TEST

START_TEST(unresponsive_upstream_is_ejected_at_once_with_backoff)
{
	struct health h = { 0 };
	apr_time_t now = SECOND;

	ck_assert_int_eq(health_record_outcome(&h, HEALTH_UNRESPONSIVE, now),
			 1);
	now += HEALTH_EJECT_MIN_US;
	ck_assert_int_eq(health_can_send(&h, now), 1);
	health_record_start(&h, now);
	ck_assert_int_eq(health_record_outcome(&h, HEALTH_UNRESPONSIVE, now),
			 1);
	ck_assert_int_eq(health_can_send(&h, now + HEALTH_EJECT_MIN_US), 0);
	ck_assert_int_eq(health_can_send(&h, now + 2 * HEALTH_EJECT_MIN_US), 1);
}
END_TEST

/* repeats.c */

/*
 * Entries that start at once, before they know of each other, exceeded the
 * fleet's budget of retries, as each took the whole slack.
 */
START_TEST(entry_that_starts_has_a_small_share_of_the_slack)
{
	struct service_retry_budget b = { .ratio = 0.2,
					  .slack = 128,
					  .window_s = 10 };
	apr_time_t start = 100 * SECOND;
	int i;

	b.entry_count =
		retry_budget_assume_entries(1, 1, start, start + SECOND);
	ck_assert_int_eq(retry_budget_remaining(&b, "s", start + SECOND), 0);
	/* Its own requests give it retries nevertheless. */
	for (i = 0; i < 7; i++)
		retry_budget_count_request(&b, "s", start + SECOND);
	ck_assert_int_eq(retry_budget_remaining(&b, "s", start + SECOND), 1);
	b.entry_count =
		retry_budget_assume_entries(600, 1, start, start + SECOND);
	ck_assert_int_eq(b.entry_count, 600);
	b.entry_count =
		retry_budget_assume_entries(2, 1, start, start + 6 * SECOND);
	ck_assert_int_eq(
		retry_budget_remaining(&b, "other", start + 6 * SECOND), 48);
	/* There are no others to learn of. */
	b.entry_count =
		retry_budget_assume_entries(1, 0, start, start + SECOND);
	ck_assert_int_eq(b.entry_count, 1);
}
END_TEST

/*
 * Returns by how much the retries of entries that start at once exceed their
 * budget, in the worst window. For 4 s each knows only itself. All retry each
 * request several times.
 */
static double start_at_once(int entries, int requests_s)
{
	enum { ENTRIES_MAX = 260, SPAN = 20, WINDOW = 10, TRIES = 4 };
	static struct service_retry_budget b[ENTRIES_MAX];
	double over[SPAN] = { 0 }, sum, worst = -1e9;
	apr_time_t now, start = 100 * SECOND;
	int i, s, n;

	for (i = 0; i < entries; i++)
		b[i] = (struct service_retry_budget){ .ratio = 0.2,
						      .window_s = WINDOW,
						      .slack = 102 };
	for (s = 0; s < SPAN; s++)
		for (i = 0; i < entries; i++)
			for (n = 0; n < requests_s * TRIES; n++) {
				now = start + s * SECOND +
				      n * SECOND / (requests_s * TRIES);
				b[i].entry_count = retry_budget_assume_entries(
					s < 4 ? 1 : entries, 1, start, now);
				if (n % TRIES == 0) {
					retry_budget_count_request(&b[i], "a",
								   now);
					over[s] -= 0.2;
				}
				over[s] += retry_budget_try_consume(&b[i], "a",
								    now);
			}
	for (s = 1 - WINDOW; s + WINDOW <= SPAN; s++) {
		sum = -102;
		for (n = s < 0 ? 0 : s; n < s + WINDOW; n++)
			sum += over[n];
		worst = sum > worst ? sum : worst;
	}
	return worst;
}

/*
 * Fleets of more entries than were assumed exceeded the budget of retries in the
 * seconds after all had started at once.
 */
START_TEST(entries_that_start_at_once_keep_retry_budget)
{
	static const int fleets[] = { 2, 7, 33, 64, 98, 140, 260 };
	static const int rates[] = { 1, 2, 10, 40 };
	double over;
	size_t i, k;

	for (i = 0; i < sizeof(fleets) / sizeof(*fleets); i++)
		for (k = 0; k < sizeof(rates) / sizeof(*rates); k++) {
			over = start_at_once(fleets[i], rates[k]);
			ck_assert_msg(over <= 0,
				      "%d entries, %d requests/s: %.1f over",
				      fleets[i], rates[k], over);
		}
}
END_TEST

START_TEST(entries_together_keep_retry_budget_in_any_window)
{
	enum { ENTRIES = 7, SPAN = 40 };
	static struct service_retry_budget b[ENTRIES];
	int requests[SPAN] = { 0 }, repeats[SPAN] = { 0 };
	int i, s, n, from;

	for (i = 0; i < ENTRIES; i++)
		b[i] = (struct service_retry_budget){ .ratio = 0.2,
						      .window_s = 10,
						      .slack = 100,
						      .entry_count = ENTRIES };
	for (s = 0; s < SPAN; s++)
		for (i = 0; i < ENTRIES; i++)
			for (n = 0; n < 20; n++) {
				apr_time_t now =
					(s + 100) * SECOND + n * 40 * MS;

				retry_budget_count_request(&b[i], "a", now);
				requests[s]++;
				repeats[s] += retry_budget_try_consume(
					&b[i], "a", now);
				repeats[s] += retry_budget_try_consume(
					&b[i], "a", now);
			}
	for (from = 0; from + 10 <= SPAN; from++) {
		int asked = 0, retried = 0;

		for (s = from; s < from + 10; s++) {
			asked += requests[s];
			retried += repeats[s];
		}
		ck_assert_int_le(retried, asked / 5 + 100);
	}
	ck_assert_int_gt(repeats[0], 0);
}
END_TEST

/* admit.c */

START_TEST(late_request_leaves_slots_to_requests_in_time)
{
	struct admit_input in = { .service_objective_ms = 300,
				  .route_objective_ms = 400,
				  .typical_first_event_us = 100 * MS,
				  .first_event_us = 100 * MS,
				  .slots = 16 };

	in.load = 15;
	ck_assert_int_eq(admit_decide(&in), ADMIT_IN_TIME);
	in.elapsed_ms = 700;
	ck_assert_int_eq(admit_decide(&in), ADMIT_REFUSED);
	in.load = 8;
	ck_assert_int_eq(admit_decide(&in), ADMIT_LATE);
	in.elapsed_ms = 0;
	in.load = 20;
	in.backlog_us = 400 * MS;
	ck_assert_int_eq(admit_decide(&in), ADMIT_REFUSED);
	in.backlog_us = 40 * MS;
	ck_assert_int_eq(admit_decide(&in), ADMIT_IN_TIME);
}
END_TEST

START_TEST(retry_delays_are_spread_within_time_left)
{
	struct random r;
	int i, ms, low = 1 << 30, high = 0;

	random_seed(&r, 5);
	for (i = 0; i < 1000; i++) {
		ms = admit_retry_after_ms(200 * MS, 6 * SECOND, &r);
		ck_assert_int_ge(ms, 150);
		ck_assert_int_le(ms, 2000);
		low = ms < low ? ms : low;
		high = ms > high ? ms : high;
	}
	ck_assert_int_gt(high - low, 1000);
}
END_TEST

/*
 * No upstream can serve for some seconds. Callers that retry early are refused
 * again, so the retry delay uses most of the time allowed.
 */
START_TEST(retry_delays_are_maximal_while_no_upstream_can_serve)
{
	struct random r;
	int i, ms;

	random_seed(&r, 6);
	for (i = 0; i < 1000; i++) {
		ms = admit_retry_after_ms(ADMIT_WAIT_UNKNOWN_US, 6 * SECOND,
					  &r);
		ck_assert_int_ge(ms, 1500);
		ck_assert_int_le(ms, 1800);
		ms = admit_retry_after_ms(ADMIT_WAIT_UNKNOWN_US, SECOND / 10,
					  &r);
		ck_assert_int_ge(ms, 0);
		ck_assert_int_le(ms, 150);
	}
}
END_TEST

START_TEST(deadline_gives_time_since_first_attempt)
{
	static struct deadline_table d;
	int i;

	for (i = 0; i < 20; i++)
		ck_assert_int_eq(
			deadline_table_elapsed_ms(&d, "r", 6000, SECOND), 0);
	d.refused_at = SECOND;
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 4500, SECOND),
			 1500);
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", -1, SECOND), 0);
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 6000, 2 * SECOND),
			 0);
	/*
	 * A shorter client timeout replaces the longest one after its expiry.
	 */
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 3000, 40 * SECOND),
			 0);
}
END_TEST

START_TEST(callers_of_one_route_differ_in_timeout)
{
	static struct deadline_table d;
	int i;

	for (i = 0; i < 100; i++)
		ck_assert_int_eq(deadline_table_elapsed_ms(
					 &d, "r", 6000 - 9 * i, SECOND),
				 0);
	d.refused_at = 2 * SECOND;
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 5120, 3 * SECOND),
			 0);
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 5000, 3 * SECOND),
			 1000);
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 4000, 3 * SECOND),
			 2000);
	/* Refused callers have retried or given up by now. */
	ck_assert_int_eq(deadline_table_elapsed_ms(&d, "r", 5000, 6 * SECOND),
			 0);
}
END_TEST

/* report-wire.c */

/*
 * Pattern: a fleet whose data centres have more and more entries. What an agent
 * sends to other data centres stays below a bound, and no report is so late that
 * the entry counts the upstream as hardly reachable (900 ms).
 */
START_TEST(reports_to_other_data_centres_do_not_grow_with_their_entries)
{
	static const int sizes[] = { 4, 21, 31, 78, 87 };
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		apr_interval_time_t period = report_period(1, 1, sizes[i]);

		ck_assert_int_le(sizes[i] * SECOND / period, 125);
		ck_assert_int_le(period, 900 * MS);
	}
	ck_assert_int_le(report_period(1, 0, 1000), 900 * MS);
	ck_assert_int_eq(report_period(1, 1, 21), 200 * MS);
	ck_assert_int_eq(report_period(0, 1, 78), 50 * MS);
	ck_assert_int_eq(report_period(0, 0, 78), 500 * MS);
}
END_TEST

START_TEST(report_round_trip_requires_key)
{
	struct rpc_keys keys = { "0123456789abcdef", "" };
	struct rpc_keys other = { "another key, longer", "" };
	load_model model = { "m", 7 };
	load_report r = { .address = "10.0.0.1:80",
			  .started_ms = 12,
			  .agent_boot = 3,
			  .sequence = 4,
			  .running = 5 },
		    got;
	char data[REPORT_MAX_BYTES];
	size_t size, i;

	r.models.models_len = 1;
	r.models.models_val = &model;
	size = report_encode(&r, &keys, data);
	ck_assert_uint_gt(size, 0);
	ck_assert_int_eq(report_decode(data, size, &other, &got), -1);
	for (i = 0; i < size; i++)
		ck_assert_int_eq(report_decode(data, i, &keys, &got), -1);
	ck_assert_int_eq(report_decode(data, size, &keys, &got), 0);
	ck_assert_str_eq(got.address, "10.0.0.1:80");
	ck_assert_uint_eq(got.models.models_val[0].release, 7);
	xdr_free((xdrproc_t)xdr_load_report, (char *)&got);
}
END_TEST

/* routing.c */

START_TEST(longest_prefix_of_host_is_chosen)
{
	static const char text[] =
		"{\"revision\":1,\"accounts\":[],\"routes\":["
		"{\"name\":\"short\",\"host\":\"a.example\",\"prefix\":\"/x/\","
		"\"kind\":\"once\",\"services\":[{\"service\":\"s\"}]},"
		"{\"name\":\"long\",\"host\":\"a.example\",\"prefix\":"
		"\"/x/y/\",\"kind\":\"stream\",\"resumable\":true,"
		"\"objective_ms\":300,\"services\":[{\"service\":\"s\"}]}],"
		"\"upstream_services\":[{\"name\":\"s\"}]}";
	struct fault_list faults = { 0 };
	struct document *d = document_parse(text, sizeof(text) - 1, &faults);
	const struct routing *r;

	ck_assert_msg(d != NULL, "%s", d ? "" : faults.lines[0]);
	r = &d->routing;
	ck_assert_str_eq(routing_find_route(r, "A.example:80", "/x/y/z")->name,
			 "long");
	ck_assert_str_eq(
		routing_find_route(r, "a.example", "/x/yy?q=/x/y/")->name,
		"short");
	ck_assert_ptr_null(routing_find_route(r, "a.example", "/x"));
	ck_assert_ptr_null(routing_find_route(r, "b.example", "/x/y/z"));
	ck_assert_ptr_null(routing_find_route(r, "a.example.org", "/x/"));
	ck_assert_int_eq(
		is_route_repeatable(routing_find_route(r, "a.example", "/x/")),
		0);
	ck_assert_int_eq(routing_find_service(r, "s")->objective_ms, 300);
	document_unref(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("forward");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, request_that_may_have_run_is_never_reported_not_run);
	tcase_add_test(tc, suspect_is_not_retried_after_its_connection_broke);
	tcase_add_test(
		tc,
		non_repeatable_request_is_not_retried_after_unknown_outcome);
	tcase_add_test(tc, retries_stop_at_run_limit_and_budget);
	tcase_add_test(tc, stream_is_resumed_or_truncated);
	tcase_add_test(tc, close_does_not_complete_a_stream_in_chunks);
	tcase_add_test(tc, entry_that_starts_has_a_small_share_of_the_slack);
	tcase_add_test(tc, moved_stream_is_resumed_after_refusal);
	tcase_add_test(tc, partly_failing_upstream_is_ejected_and_readmitted);
	tcase_add_test(tc, rare_failures_do_not_eject);
	tcase_add_test(tc,
		       unresponsive_upstream_is_ejected_at_once_with_backoff);
	tcase_add_test(tc, entries_that_start_at_once_keep_retry_budget);
	tcase_add_test(tc, entries_together_keep_retry_budget_in_any_window);
	tcase_add_test(tc, late_request_leaves_slots_to_requests_in_time);
	tcase_add_test(tc, retry_delays_are_spread_within_time_left);
	tcase_add_test(tc, deadline_gives_time_since_first_attempt);
	tcase_add_test(tc,
		       retry_delays_are_maximal_while_no_upstream_can_serve);
	tcase_add_test(tc, callers_of_one_route_differ_in_timeout);
	tcase_add_test(
		tc,
		reports_to_other_data_centres_do_not_grow_with_their_entries);
	tcase_add_test(tc, report_round_trip_requires_key);
	tcase_add_test(tc, longest_prefix_of_host_is_chosen);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
