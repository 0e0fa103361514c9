#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/document.h"
#include "forward/admit.h"
#include "forward/decide.h"
#include "forward/events.h"
#include "forward/health.h"
#include "forward/release.h"
#include "forward/repeats.h"
#include "forward/report-wire.h"
#include "forward/target.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL

/* decide.c */

static const struct handover_state once = {
	.attempts = 1, .tries = 1, .runs = 1, .has_budget = 1, .has_time = 1
};
static const struct handover_state repeatable = { .may_repeat = 1,
						  .attempts = 2,
						  .tries = 1,
						  .runs = 1,
						  .has_budget = 1,
						  .has_time = 1 };

START_TEST(what_may_have_run_is_never_called_not_run)
{
	struct handover_end lost = { .status = 0 };
	struct handover_end refused = { .status = 503,
					.whole = 1,
					.not_run = 1 };
	struct handover_end unsent = { .never_sent = 1 };
	struct handover_state s = once;

	ck_assert_int_eq(handover_decide(&lost, &s), NEXT_UNKNOWN);
	ck_assert_int_eq(handover_decide(&refused, &s), NEXT_NOT_RUN);
	ck_assert_int_eq(handover_decide(&unsent, &s), NEXT_AGAIN);
	/* One that may have run makes a later proof worthless. */
	s.maybe_ran = 1;
	ck_assert_int_eq(handover_decide(&refused, &s), NEXT_UNKNOWN);
	s.maybe_ran = 0;
	lost.timed_out = 1;
	ck_assert_int_eq(handover_decide(&lost, &s), NEXT_TIMEOUT);
	unsent.timed_out = 1;
	ck_assert_int_eq(handover_decide(&unsent, &s), NEXT_NOT_RUN);
}
END_TEST

START_TEST(a_request_that_runs_once_is_never_sent_again_after_a_doubt)
{
	struct handover_end e = { .status = 0 };
	struct handover_state s = once;

	s.attempts = 5;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	e.status = 200; /* cut off before the caller got a byte */
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	e.crossed = 1;
	e.whole = 1;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_AGAIN);
}
END_TEST

START_TEST(repeats_stop_at_the_attempts_and_the_budget)
{
	struct handover_end e = { .status = 0 };
	struct handover_state s = repeatable;

	ck_assert_int_eq(handover_decide(&e, &s), NEXT_AGAIN);
	s.has_budget = 0;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	s.runs = 2;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	s = repeatable;
	s.has_time = 0;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_UNKNOWN);
	/* The upstream's own error is better than none. */
	s = repeatable;
	s.runs = 2;
	e.status = 500;
	e.whole = 1;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_DONE);
}
END_TEST

START_TEST(a_stream_is_resumed_or_visibly_cut)
{
	struct handover_end e = { .status = 200, .begun = 1 };
	struct handover_state s = repeatable;

	ck_assert_int_eq(handover_decide(&e, &s), NEXT_CUT);
	s.is_resumable = 1;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_RESUME);
	e.whole = 1;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_DONE);
	s.caller_gone = 1;
	ck_assert_int_eq(handover_decide(&e, &s), NEXT_GONE);
}
END_TEST

START_TEST(a_moved_stream_goes_on_when_the_next_upstream_refuses)
{
	struct handover_end moved = { .status = 200,
				      .begun = 1,
				      .called_off = 1 };
	struct handover_end refused = { .status = 503,
					.begun = 1,
					.not_run = 1 };
	struct handover_state s = repeatable;

	s.is_resumable = 1;
	s.runs = handover_runs(0, &moved);
	ck_assert_int_eq(handover_decide(&moved, &s), NEXT_RESUME);
	s.tries = 2;
	s.runs = handover_runs(s.runs, &refused);
	ck_assert_int_eq(handover_decide(&refused, &s), NEXT_RESUME);
	/* Two that ran are all that the route allows. */
	s.tries = 3;
	s.runs = handover_runs(s.runs, &moved);
	ck_assert_int_eq(handover_decide(&moved, &s), NEXT_CUT);
}
END_TEST

/* events.c */

static int collect(void *arg, const char *text, size_t size)
{
	char *out = arg;
	size_t n = strlen(out);

	memcpy(out + n, text, size);
	out[n + size] = '\0';
	return 0;
}

START_TEST(events_come_whole_wherever_the_bytes_are_cut)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
				   "data: no id\n\nid: 3\ndata: c\n\n";
	size_t cut;

	for (cut = 0; cut < sizeof(text) - 1; cut++) {
		struct event_cutter e;
		char out[256] = "";

		events_init(&e);
		ck_assert_int_eq(events_feed(&e, text, cut, collect, out), 0);
		ck_assert_int_eq(events_feed(&e, text + cut,
					     sizeof(text) - 1 - cut, collect,
					     out),
				 0);
		ck_assert_str_eq(out, text);
		ck_assert_str_eq(e.last_id, "3");
		events_destroy(&e);
	}
}
END_TEST

START_TEST(a_resumed_stream_drops_the_torn_event_and_repeats)
{
	struct event_cutter e;
	char out[256] = "";

	events_init(&e);
	events_feed(&e, "id: 4\ndata: a\n\nid: 5\nda", 22, collect, out);
	ck_assert_str_eq(e.last_id, "4");
	events_resume(&e);
	events_feed(&e, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", 30, collect,
		    out);
	ck_assert_str_eq(out, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
	events_destroy(&e);
}
END_TEST

/* health.c */

START_TEST(an_upstream_that_fails_a_part_is_ejected_and_given_back)
{
	struct health h = { 0 };
	apr_time_t now = SECOND;
	int i, ejections = 0;

	for (i = 0; i < 40 && !ejections; i++)
		ejections += health_note(
			&h, i % 5 < 3 ? HEALTH_FAILED : HEALTH_ANSWERED, now);
	ck_assert_int_eq(ejections, 1);
	ck_assert_int_eq(health_allows(&h, now), 0);
	now += HEALTH_EJECT_MIN_US;
	/* Back on trial: one at a time until a few succeeded. */
	ck_assert_int_eq(health_allows(&h, now), 1);
	health_begun(&h, now);
	ck_assert_int_eq(health_allows(&h, now), 0);
	for (i = 0; i < HEALTH_PROBES; i++)
		health_note(&h, HEALTH_ANSWERED, now);
	ck_assert_int_eq(h.probing, 0);
	ck_assert_int_eq(health_allows(&h, now), 1);
}
END_TEST

START_TEST(rare_failures_eject_nobody)
{
	struct health h = { 0 };
	int i;

	for (i = 0; i < 400; i++)
		ck_assert_int_eq(
			health_note(&h, i % 7 ? HEALTH_ANSWERED : HEALTH_FAILED,
				    SECOND),
			0);
}
END_TEST

START_TEST(a_silent_upstream_is_ejected_at_once_and_longer_each_time)
{
	struct health h = { 0 };
	apr_time_t now = SECOND;

	ck_assert_int_eq(health_note(&h, HEALTH_SILENT, now), 1);
	now += HEALTH_EJECT_MIN_US;
	ck_assert_int_eq(health_allows(&h, now), 1);
	health_begun(&h, now);
	ck_assert_int_eq(health_note(&h, HEALTH_SILENT, now), 1);
	ck_assert_int_eq(health_allows(&h, now + HEALTH_EJECT_MIN_US), 0);
	ck_assert_int_eq(health_allows(&h, now + 2 * HEALTH_EJECT_MIN_US), 1);
}
END_TEST

/* repeats.c */

START_TEST(all_entries_together_keep_the_budget_in_any_window)
{
	enum { ENTRIES = 7, SPAN = 40 };
	static struct repeat_budget b[ENTRIES];
	int requests[SPAN] = { 0 }, repeats[SPAN] = { 0 };
	int i, s, n, from;

	for (i = 0; i < ENTRIES; i++)
		b[i] = (struct repeat_budget){ .ratio = 0.2,
					       .window_s = 10,
					       .slack = 100,
					       .entries = ENTRIES };
	for (s = 0; s < SPAN; s++)
		for (i = 0; i < ENTRIES; i++)
			for (n = 0; n < 20; n++) {
				apr_time_t now =
					(s + 100) * SECOND + n * 40 * MS;

				repeats_request(&b[i], "a", now);
				requests[s]++;
				repeats[s] += repeats_take(&b[i], "a", now);
				repeats[s] += repeats_take(&b[i], "a", now);
			}
	for (from = 0; from + 10 <= SPAN; from++) {
		int asked = 0, again = 0;

		for (s = from; s < from + 10; s++) {
			asked += requests[s];
			again += repeats[s];
		}
		ck_assert_int_le(again, asked / 5 + 100);
	}
	ck_assert_int_gt(repeats[0], 0);
}
END_TEST

/* release.c */

static struct document *document_of(uint64_t revision, uint64_t release)
{
	struct fault_list faults = { 0 };
	char hex[DIGEST_HEX_SIZE], text[512];
	struct document *d;
	int n;

	document_release_name("m", release, hex);
	n = snprintf(text, sizeof(text),
		     "{\"revision\":%llu,\"accounts\":[{\"account\":\"a\","
		     "\"models\":[{\"name\":\"m\",\"manifest\":\"%s\","
		     "\"release\":%llu,\"upstreams\":[\"*\"]}]}]}",
		     (unsigned long long)revision, hex,
		     (unsigned long long)release);
	d = document_parse(text, (size_t)n, &faults);
	ck_assert_ptr_nonnull(d);
	return d;
}

static void declare(struct releases *r, uint64_t release, apr_time_t now)
{
	struct document *d = document_of(release, release);

	releases_follow(r, d, 8000, now);
	document_release(d);
}

START_TEST(a_second_release_does_not_lift_the_bound_of_the_first)
{
	static struct releases r;

	declare(&r, 1, 0);
	declare(&r, 2, 10 * SECOND);
	declare(&r, 3, 13 * SECOND);
	ck_assert_uint_le(release_least(&r, "m", 16 * SECOND), 1);
	ck_assert_uint_eq(release_least(&r, "m", 18 * SECOND), 2);
	ck_assert_uint_eq(release_least(&r, "m", 19 * SECOND), 2);
	ck_assert_uint_eq(release_least(&r, "m", 21 * SECOND), 3);
	ck_assert_uint_eq(release_least(&r, "other", 21 * SECOND), 0);
}
END_TEST

/* admit.c */

START_TEST(a_request_that_is_late_leaves_slots_to_those_in_time)
{
	struct admit_input in = { .objective_ms = 300,
				  .own_objective_ms = 400,
				  .usual_us = 100 * MS,
				  .own_us = 100 * MS,
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

START_TEST(the_refused_return_within_their_time_and_not_as_one)
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

/* Pattern: no upstream can serve for some seconds; most come back too early. */
START_TEST(while_nothing_can_serve_the_refused_return_as_late_as_they_may)
{
	struct random r;
	int i, ms;

	random_seed(&r, 6);
	for (i = 0; i < 1000; i++) {
		ms = admit_retry_after_ms(ADMIT_WAIT_UNKNOWN, 6 * SECOND, &r);
		ck_assert_int_ge(ms, 1500);
		ck_assert_int_le(ms, 1800);
		ms = admit_retry_after_ms(ADMIT_WAIT_UNKNOWN, SECOND / 10, &r);
		ck_assert_int_ge(ms, 0);
		ck_assert_int_le(ms, 150);
	}
}
END_TEST

START_TEST(the_time_since_the_first_attempt_shows_in_the_deadline)
{
	static struct deadlines d;
	int i;

	for (i = 0; i < 20; i++)
		ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 6000, SECOND),
				 0);
	d.refused_at = SECOND;
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 4500, SECOND), 1500);
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", -1, SECOND), 0);
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 6000, 2 * SECOND), 0);
	/* Callers may come to wait for less. */
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 3000, 40 * SECOND), 0);
}
END_TEST

START_TEST(callers_of_one_route_differ_in_patience)
{
	static struct deadlines d;
	int i;

	for (i = 0; i < 100; i++)
		ck_assert_int_eq(
			deadlines_elapsed_ms(&d, "r", 6000 - 9 * i, SECOND), 0);
	d.refused_at = 2 * SECOND;
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 5120, 3 * SECOND), 0);
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 5000, 3 * SECOND), 1000);
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 4000, 3 * SECOND), 2000);
	/* Nobody returns any more. */
	ck_assert_int_eq(deadlines_elapsed_ms(&d, "r", 5000, 6 * SECOND), 0);
}
END_TEST

/* target.c */

static const struct engine_spec engine = { .slots = 16,
					   .step_us = 7400,
					   .running_us = 38,
					   .read_per_s = 31900,
					   .stride = 6,
					   .usual_prompt = 970,
					   .usual_answer = 106 };

static struct listing *listing_of(int count, const char *models)
{
	struct fault_list faults = { 0 };
	json_t *list = json_array();
	struct listing *l;
	char *text;
	json_t *o;
	int i;

	for (i = 0; i < count; i++) {
		char id[16], address[32];

		snprintf(id, sizeof(id), "u%d", i);
		snprintf(address, sizeof(address), "10.0.0.%d:80", i + 1);
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:o}", "id",
					id, "service", "s", "address", address,
					"data_center", i % 2 ? "b" : "a",
					"slots", 16, "born_ms", (json_int_t)1,
					"models", json_loads(models, 0, NULL)));
	}
	o = json_pack("{s:i,s:o}", "version", 1, "upstreams", list);
	text = json_dumps(o, 0);
	l = listing_parse(text, strlen(text), &faults);
	ck_assert_msg(l != NULL, "%s", l ? "" : faults.lines[0]);
	free(text);
	json_decref(o);
	return l;
}

#define RUNS_ONE "[{\"name\":\"m\",\"release\":1}]"

static void table_make(struct target_table *t, int count, const char *models)
{
	struct listing *l = listing_of(count, models);

	target_table_init(t);
	target_sync(t, l, "a", SECOND);
	listing_release(l);
}

static void report(struct target_table *t, int upstream, int running, int busy,
		   uint64_t release, apr_time_t now)
{
	static uint64_t sequence;
	struct target_report r = { .agent_boot = 1, .sequence = ++sequence };

	snprintf(r.address, sizeof(r.address), "10.0.0.%d:80", upstream + 1);
	r.born_ms = 1;
	r.running = running;
	r.busy = busy;
	r.pace = 1;
	r.model_count = release ? 1 : 0;
	snprintf(r.models[0].name, sizeof(r.models[0].name), "m");
	r.models[0].release = release;
	ck_assert_int_ge(target_report_take(t, &r, now), 0);
}

static struct target_query query_of(void)
{
	struct target_query q = { .service = "s",
				  .engine = &engine,
				  .model = "m" };

	return q;
}

START_TEST(only_upstreams_that_may_serve_are_chosen)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;
	int i;

	random_seed(&r, 1);
	table_make(&t, 4, RUNS_ONE);
	for (i = 0; i < 4; i++)
		report(&t, i, 0, i == 0, i == 3 ? 2 : 1, SECOND);
	target_find(&t, "u1")->leaving = 1;
	q.excluded[q.excluded_count++] = "u2";
	for (i = 0; i < 50; i++) {
		target_choose(&t, &q, SECOND, &r, &c);
		ck_assert_int_eq(c.index, 3);
	}
	q.excluded[q.excluded_count++] = "u3";
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_eq(c.index, -1);
	q = query_of();
	q.release = 3;
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_str_eq(c.reason, "version-nowhere");
	target_table_destroy(&t);
}
END_TEST

START_TEST(upstreams_that_are_alike_share_the_requests)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;
	int i, counts[3] = { 0 };

	random_seed(&r, 3);
	table_make(&t, 3, RUNS_ONE);
	for (i = 0; i < 3; i++)
		t.rows[i].local = 1;
	for (i = 0; i < 900; i++) {
		target_choose(&t, &q, SECOND, &r, &c);
		counts[c.index]++;
	}
	for (i = 0; i < 3; i++)
		ck_assert_int_gt(counts[i], 200);
	target_table_destroy(&t);
}
END_TEST

START_TEST(when_all_are_ejected_one_is_tried_all_the_same)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;

	random_seed(&r, 1);
	table_make(&t, 2, RUNS_ONE);
	health_note(&target_find(&t, "u0")->health, HEALTH_SILENT, SECOND);
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_eq(c.index, 1);
	health_note(&target_find(&t, "u1")->health, HEALTH_SILENT, SECOND);
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_ge(c.index, 0);
	ck_assert_int_eq(c.ejected, 1);
	target_table_destroy(&t);
}
END_TEST

START_TEST(a_restart_under_the_same_id_is_another_process)
{
	struct target_report r = { .address = "10.0.0.1:80",
				   .born_ms = 7,
				   .agent_boot = 1,
				   .sequence = 99 };
	struct target_table t;

	table_make(&t, 1, RUNS_ONE);
	/* A report of a process that the list doesn't name yet, or any more. */
	ck_assert_int_eq(target_report_take(&t, &r, SECOND), -1);
	r.born_ms = 1;
	ck_assert_int_ge(target_report_take(&t, &r, SECOND), 0);
	ck_assert_int_eq(target_report_take(&t, &r, SECOND), -1); /* again */
	target_table_destroy(&t);
}
END_TEST

/* Pattern: all machines lose power and the list still names the dead. */
START_TEST(a_report_of_a_later_process_takes_the_listed_one_out)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	struct target_report r = { .agent_boot = 9, .sequence = 1 };

	random_seed(&random, 3);
	table_make(&t, 1, RUNS_ONE);
	target_choose(&t, &q, 2 * SECOND, &random, &c);
	ck_assert_int_eq(c.index, 0);
	ck_assert(!c.nowhere);
	snprintf(r.address, sizeof(r.address), "10.0.0.1:80");
	r.born_ms = 5;
	ck_assert_int_eq(target_report_take(&t, &r, 2 * SECOND), -1);
	target_choose(&t, &q, 2 * SECOND, &random, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert(c.nowhere);
	target_table_destroy(&t);
}
END_TEST

static int eligible(struct target_table *t, apr_time_t now)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;

	random_seed(&random, 5);
	target_choose(t, &q, now, &random, &c);
	return c.eligible;
}

static void list(struct target_table *t, int count, apr_time_t now)
{
	struct listing *l = listing_of(count, RUNS_ONE);

	target_sync(t, l, "a", now);
	listing_release(l);
}

/* Pattern: the store was away, and most entries have run out meanwhile. */
START_TEST(entries_that_lapse_together_are_used_for_two_seconds)
{
	struct target_table t;

	table_make(&t, 8, RUNS_ONE);
	/* One that goes alone has left. */
	list(&t, 7, 2 * SECOND);
	ck_assert_int_eq(eligible(&t, 2 * SECOND), 7);
	list(&t, 1, 3 * SECOND);
	ck_assert_int_eq(eligible(&t, 3 * SECOND), 7);
	ck_assert_int_eq(eligible(&t, 4 * SECOND + 900 * MS), 7);
	/* Some are back, the others are gone. */
	list(&t, 4, 4 * SECOND);
	ck_assert_int_eq(eligible(&t, 5 * SECOND), 4);
	target_table_destroy(&t);
}
END_TEST

/* Pattern: a machine's link narrows and its queue grows to half a second. */
START_TEST(an_upstream_behind_a_queue_is_chosen_last)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	struct target_report r = { .agent_boot = 1, .born_ms = 1, .pace = 1 };
	apr_time_t now = 10 * SECOND, skew = 777 * SECOND;
	int i, j, chosen = 0;

	random_seed(&random, 4);
	table_make(&t, 2, RUNS_ONE);
	r.model_count = 1;
	snprintf(r.models[0].name, sizeof(r.models[0].name), "m");
	r.models[0].release = 1;
	for (i = 0; i < 40; i++, now += SECOND / 20) {
		for (j = 0; j < 2; j++) {
			int late = j == 0 && i >= 20 ? 500 * MS : 3 * MS;

			snprintf(r.address, sizeof(r.address), "10.0.0.%d:80",
				 j + 1);
			r.sequence++;
			r.sent = now + skew - late;
			r.running = j ? 10 : 0;
			target_report_take(&t, &r, now);
		}
	}
	for (i = 0; i < 50; i++) {
		target_choose(&t, &q, now, &random, &c);
		chosen += c.index == 0;
	}
	ck_assert_int_eq(chosen, 0);
	ck_assert_double_lt(c.backlog_us, 100 * MS);
	ck_assert(target_is_clogged(&t.rows[0]));
	ck_assert(!target_is_clogged(&t.rows[1]));
	target_table_destroy(&t);
}
END_TEST

/* Pattern: links narrow while a release is fetched; the older one runs out. */
START_TEST(a_release_that_is_out_soon_takes_what_it_begins_at_once)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	apr_time_t now = 10 * SECOND;

	random_seed(&random, 8);
	table_make(&t, 1, RUNS_ONE);
	q.release = 1;
	q.release_soon = 2;
	report(&t, 0, 3, 0, 1, now);
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, 0);
	/* A request would wait for a slot. */
	report(&t, 0, 16, 0, 1, now);
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* One is still on its way. */
	report(&t, 0, 3, 0, 1, now);
	t.rows[0].unbegun = 1;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	t.rows[0].unbegun = 0;
	/* Nobody knows. */
	target_choose(&t, &q, now + SECOND, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* It would wait on the way. */
	report(&t, 0, 3, 0, 1, now);
	t.rows[0].delay = 400 * MS;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* The newer one takes all. */
	q.release_soon = 1;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, 0);
	target_table_destroy(&t);
}
END_TEST

START_TEST(long_streams_hold_an_engine_with_an_order)
{
	struct target_table t;
	struct target *u;

	table_make(&t, 1, RUNS_ONE);
	report(&t, 0, 9, 1, 1, SECOND);
	report(&t, 0, 3, 1, 1, SECOND + 900 * MS);
	u = target_find(&t, "u0");
	ck_assert_int_eq(target_is_held(u, SECOND + 900 * MS), 1);
	report(&t, 0, 9, 1, 1, SECOND + 950 * MS);
	ck_assert_int_eq(target_is_held(u, SECOND + 950 * MS), 0);
	report(&t, 0, 0, 0, 2, SECOND + 990 * MS);
	ck_assert_int_eq(target_is_held(u, SECOND + 990 * MS), 0);
	target_table_destroy(&t);
}
END_TEST

/* report-wire.c */

START_TEST(a_report_survives_the_trip_and_needs_the_key)
{
	struct rpc_keys keys = { "0123456789abcdef", "" };
	struct rpc_keys other = { "another key, longer", "" };
	load_model model = { "m", 7 };
	load_report r = { .address = "10.0.0.1:80",
			  .born_ms = 12,
			  .boot = 3,
			  .sequence = 4,
			  .running = 5 },
		    got;
	char data[REPORT_SIZE_MAX];
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

START_TEST(the_longest_prefix_of_the_host_wins)
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
	ck_assert_str_eq(routing_find(r, "A.example:80", "/x/y/z")->name,
			 "long");
	ck_assert_str_eq(routing_find(r, "a.example", "/x/yy?q=/x/y/")->name,
			 "short");
	ck_assert_ptr_null(routing_find(r, "a.example", "/x"));
	ck_assert_ptr_null(routing_find(r, "b.example", "/x/y/z"));
	ck_assert_ptr_null(routing_find(r, "a.example.org", "/x/"));
	ck_assert_int_eq(route_may_repeat(routing_find(r, "a.example", "/x/")),
			 0);
	ck_assert_int_eq(routing_service(r, "s")->objective_ms, 300);
	document_release(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("forward");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, what_may_have_run_is_never_called_not_run);
	tcase_add_test(
		tc, a_request_that_runs_once_is_never_sent_again_after_a_doubt);
	tcase_add_test(tc, repeats_stop_at_the_attempts_and_the_budget);
	tcase_add_test(tc, a_stream_is_resumed_or_visibly_cut);
	tcase_add_test(tc,
		       a_moved_stream_goes_on_when_the_next_upstream_refuses);
	tcase_add_test(tc, events_come_whole_wherever_the_bytes_are_cut);
	tcase_add_test(tc, a_resumed_stream_drops_the_torn_event_and_repeats);
	tcase_add_test(tc,
		       an_upstream_that_fails_a_part_is_ejected_and_given_back);
	tcase_add_test(tc, rare_failures_eject_nobody);
	tcase_add_test(
		tc, a_silent_upstream_is_ejected_at_once_and_longer_each_time);
	tcase_add_test(tc, all_entries_together_keep_the_budget_in_any_window);
	tcase_add_test(tc,
		       a_second_release_does_not_lift_the_bound_of_the_first);
	tcase_add_test(tc,
		       a_request_that_is_late_leaves_slots_to_those_in_time);
	tcase_add_test(tc, the_refused_return_within_their_time_and_not_as_one);
	tcase_add_test(tc,
		       the_time_since_the_first_attempt_shows_in_the_deadline);
	tcase_add_test(
		tc,
		while_nothing_can_serve_the_refused_return_as_late_as_they_may);
	tcase_add_test(tc,
		       a_report_of_a_later_process_takes_the_listed_one_out);
	tcase_add_test(tc, an_upstream_behind_a_queue_is_chosen_last);
	tcase_add_test(tc,
		       entries_that_lapse_together_are_used_for_two_seconds);
	tcase_add_test(tc,
		       a_release_that_is_out_soon_takes_what_it_begins_at_once);
	tcase_add_test(tc, callers_of_one_route_differ_in_patience);
	tcase_add_test(tc, only_upstreams_that_may_serve_are_chosen);
	tcase_add_test(tc, upstreams_that_are_alike_share_the_requests);
	tcase_add_test(tc, when_all_are_ejected_one_is_tried_all_the_same);
	tcase_add_test(tc, a_restart_under_the_same_id_is_another_process);
	tcase_add_test(tc, long_streams_hold_an_engine_with_an_order);
	tcase_add_test(tc, a_report_survives_the_trip_and_needs_the_key);
	tcase_add_test(tc, the_longest_prefix_of_the_host_wins);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
