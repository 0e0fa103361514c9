#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/crash-watch.h"
#include "platform/platform.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL

/* crash-watch.c */

static struct ended_attempt attempt_of(const char *upstream, int64_t started_ms,
				       apr_time_t ended_at)
{
	struct ended_attempt a = { .at = { .started_ms = started_ms } };

	snprintf(a.at.upstream, sizeof(a.at.upstream), "%s", upstream);
	snprintf(a.at.address, sizeof(a.at.address), "10.0.0.1:80");
	a.run.sent_at = ended_at - 100 * MS;
	a.run.broken_at = ended_at;
	return a;
}

static void add_broken(struct crash_watch *w, const char *upstream,
		       int64_t started_ms, apr_time_t ended_at)
{
	struct ended_attempt a = attempt_of(upstream, started_ms, ended_at);

	crash_watch_add_broken(w, &a);
}

static void prove(struct crash_watch *w, const char *upstream,
		  int64_t started_ms, apr_time_t now)
{
	struct ended_attempt a = attempt_of(upstream, started_ms, now);

	crash_watch_prove(w, &a.at, now);
}

static int take(struct crash_watch *w, apr_time_t now)
{
	struct crash_run runs[CRASH_WATCH_ATTEMPTS_MAX];
	struct proved_death d;

	return crash_watch_take_death(w, now, &d, runs,
				      CRASH_WATCH_ATTEMPTS_MAX);
}

/*
 * Guards against a death that is never recorded, as one check had found the port
 * closed long before while the process was alive.
 */
START_TEST(process_that_seemed_dead_once_can_die_later)
{
	struct crash_watch w;

	crash_watch_init(&w);
	prove(&w, "u1", 1, 10 * SECOND);
	add_broken(&w, "u1", 1, 60 * SECOND);
	ck_assert_int_ge(crash_watch_next_check(&w, 60 * SECOND), 0);
	prove(&w, "u1", 1, 60 * SECOND);
	ck_assert_int_eq(take(&w, 60 * SECOND), 1);
	crash_watch_destroy(&w);
}
END_TEST

/*
 * Guards against checks that never run, as those of the first upstreams are due
 * again before them.
 */
START_TEST(check_that_is_due_first_runs_first)
{
	struct crash_watch w;
	int first, second;

	crash_watch_init(&w);
	add_broken(&w, "u1", 1, 10 * SECOND);
	add_broken(&w, "u2", 1, 10 * SECOND);
	add_broken(&w, "u3", 1, 10 * SECOND);
	first = crash_watch_next_check(&w, 10 * SECOND);
	second = crash_watch_next_check(&w, 10 * SECOND);
	ck_assert_int_eq(crash_watch_next_check(&w, 10 * SECOND), -1);
	crash_watch_end_check(&w, first, 0, 10 * SECOND);
	crash_watch_end_check(&w, second, 0, 10 * SECOND);
	first = crash_watch_next_check(&w, 11 * SECOND);
	ck_assert_str_eq(w.checks[first].at.upstream, "u3");
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(broken_attempts_prove_nothing_by_themselves)
{
	struct crash_watch w;

	crash_watch_init(&w);
	add_broken(&w, "u1", 1, 10 * SECOND);
	ck_assert_int_eq(take(&w, 10 * SECOND), 0);
	prove(&w, "u1", 1, 10 * SECOND + 5 * MS);
	ck_assert_int_eq(take(&w, 10 * SECOND + 5 * MS), 1);
	ck_assert_int_eq(take(&w, 10 * SECOND + 5 * MS), 0);
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(attempts_belong_to_a_death_of_the_same_process_about_that_time)
{
	static const struct {
		const char *upstream;
		int64_t started_ms;
		apr_time_t ended_at;
		int is_member;
	} cases[] = {
		{ "u1", 1, 10 * SECOND, 1 },
		{ "u1", 1, 8 * SECOND, 1 },
		{ "u1", 1, 8 * SECOND - 1, 0 },
		{ "u1", 1, 11 * SECOND, 1 },
		{ "u1", 1, 11 * SECOND + 1, 0 },
		{ "u1", 2, 10 * SECOND, 0 }, /* a later start */
		{ "u2", 1, 10 * SECOND, 0 },
	};
	struct crash_watch w;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		crash_watch_init(&w);
		if (cases[i].ended_at <= 10 * SECOND)
			add_broken(&w, cases[i].upstream, cases[i].started_ms,
				   cases[i].ended_at);
		prove(&w, "u1", 1, 10 * SECOND);
		if (cases[i].ended_at > 10 * SECOND)
			add_broken(&w, cases[i].upstream, cases[i].started_ms,
				   cases[i].ended_at);
		ck_assert_int_eq(take(&w, 11 * SECOND), cases[i].is_member);
		crash_watch_destroy(&w);
	}
}
END_TEST

START_TEST(rings_are_bounded_and_keep_the_newest)
{
	struct crash_watch w;
	char id[16];
	int i;

	crash_watch_init(&w);
	for (i = 0; i < 10 * CRASH_WATCH_ATTEMPTS_MAX; i++) {
		snprintf(id, sizeof(id), "u%d", i);
		add_broken(&w, id, 1, 10 * SECOND);
	}
	prove(&w, "u0", 1, 10 * SECOND);
	ck_assert_int_eq(take(&w, 10 * SECOND), 0);
	prove(&w, id, 1, 10 * SECOND);
	ck_assert_int_eq(take(&w, 10 * SECOND), 1);
	ck_assert_int_le(w.checks_used, CRASH_WATCH_CHECKS_MAX);
	for (i = 0; i < 2 * CRASH_WATCH_ATTEMPTS_MAX; i++)
		add_broken(&w, "many", 1, 10 * SECOND);
	prove(&w, "many", 1, 10 * SECOND);
	ck_assert_int_eq(take(&w, 10 * SECOND), CRASH_WATCH_ATTEMPTS_MAX);
	crash_watch_destroy(&w);
}
END_TEST

/* Runs the check that is due, if any. Returns 1 if one was. */
static int run_check(struct crash_watch *w, int is_refused, apr_time_t now)
{
	int check = crash_watch_next_check(w, now);

	if (check >= 0)
		crash_watch_end_check(w, check, is_refused, now);
	return check >= 0;
}

START_TEST(an_upstream_is_checked_three_times_but_once_at_a_time)
{
	apr_time_t now = 10 * SECOND;
	struct crash_watch w;
	int check;

	crash_watch_init(&w);
	ck_assert(!run_check(&w, 0, now));
	add_broken(&w, "u1", 1, now);
	add_broken(&w, "u1", 1, now);
	check = crash_watch_next_check(&w, now);
	ck_assert_int_ge(check, 0);
	ck_assert(!run_check(&w, 0, now + SECOND));
	crash_watch_end_check(&w, check, 0, now);
	ck_assert(!run_check(&w, 0, now + 149 * MS));
	ck_assert(run_check(&w, 0, now + 150 * MS));
	ck_assert(run_check(&w, 0, now + 300 * MS));
	ck_assert(!run_check(&w, 0, now + SECOND));
	ck_assert_int_eq(take(&w, now + SECOND), 0);
	ck_assert(!crash_watch_is_idle(&w, now + SECOND));
	ck_assert(crash_watch_is_idle(&w, now + 4 * SECOND));
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(another_break_extends_the_checks_but_not_their_rate)
{
	apr_time_t now = 10 * SECOND;
	struct crash_watch w;
	int i, count = 0;

	crash_watch_init(&w);
	/* A sound upstream that resets a connection every 10 ms for 1 s. */
	for (i = 0; i < 200; i++, now += 10 * MS) {
		if (i < 100)
			add_broken(&w, "u1", 1, now);
		count += run_check(&w, 0, now);
	}
	ck_assert_int_ge(count, 7);
	ck_assert_int_le(count, 10);
	ck_assert_int_eq(w.checks_used, 0);
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(few_upstreams_are_checked_at_a_time)
{
	struct crash_watch w;
	int i, running = 0;

	crash_watch_init(&w);
	for (i = 0; i < 20; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		add_broken(&w, id, 1, 10 * SECOND);
	}
	while (crash_watch_next_check(&w, 10 * SECOND) >= 0)
		running++;
	ck_assert_int_eq(running, CRASH_WATCH_RUNNING_MAX);
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(a_refused_connection_proves_a_death_once)
{
	apr_time_t now = 10 * SECOND;
	struct crash_watch w;
	int check;

	crash_watch_init(&w);
	add_broken(&w, "u1", 1, now);
	add_broken(&w, "u1", 1, now);
	check = crash_watch_next_check(&w, now);
	crash_watch_end_check(&w, check, 1, now + MS);
	ck_assert_int_eq(take(&w, now + MS), 2);
	/* What breaks later belongs to it without another check. */
	add_broken(&w, "u1", 1, now + 200 * MS);
	ck_assert_int_eq(crash_watch_next_check(&w, now + 300 * MS), -1);
	ck_assert_int_eq(take(&w, now + 300 * MS), 1);
	crash_watch_destroy(&w);
}
END_TEST

/* Tells the time at arg as that of the last byte of "u2", none of others. */
static apr_time_t contact_of_u2(void *arg, const struct incarnation *at)
{
	return strcmp(at->upstream, "u2") ? 0 : *(apr_time_t *)arg;
}

START_TEST(unmarked_end_counts_as_sound_if_the_upstream_is_alive_later)
{
	struct ended_attempt a = attempt_of("u1", 1, 10 * SECOND);
	struct ended_attempt b = attempt_of("u2", 1, 10 * SECOND);
	apr_time_t contact = 10 * SECOND + 50 * MS;
	struct crash_watch w;
	struct crash_run run;

	crash_watch_init(&w);
	crash_watch_add_unmarked(&w, &a);
	crash_watch_add_unmarked(&w, &b);
	ck_assert_int_eq(crash_watch_next_check(&w, 10 * SECOND), -1);
	ck_assert(!crash_watch_take_sound(&w, contact_of_u2, &contact,
					  10 * SECOND + 60 * MS, &run, 1));
	contact++;
	ck_assert(crash_watch_take_sound(&w, contact_of_u2, &contact,
					 10 * SECOND + 60 * MS, &run, 1));
	ck_assert_int_eq(run.broken_at, 10 * SECOND);
	ck_assert(!crash_watch_take_sound(&w, contact_of_u2, &contact,
					  10 * SECOND + 60 * MS, &run, 1));
	crash_watch_destroy(&w);
}
END_TEST

START_TEST(unmarked_end_belongs_to_a_death_that_is_proved)
{
	struct ended_attempt a = attempt_of("u1", 1, 10 * SECOND);
	apr_time_t contact = 0;
	struct crash_watch w;
	struct crash_run run;

	crash_watch_init(&w);
	crash_watch_add_unmarked(&w, &a);
	prove(&w, "u1", 1, 10 * SECOND + 50 * MS);
	ck_assert_int_eq(take(&w, 10 * SECOND + 50 * MS), 1);
	/* Neither sound nor part of a death when nothing was known in time. */
	crash_watch_add_unmarked(&w, &a);
	ck_assert(!crash_watch_take_sound(&w, contact_of_u2, &contact,
					  11 * SECOND + 1, &run, 1));
	ck_assert_int_eq(take(&w, 11 * SECOND + 1), 0);
	crash_watch_destroy(&w);
}
END_TEST

/* platform/request.c */

/* Returns the parts of a list, joined by blanks. */
static const char *parts_of(const char *list)
{
	static char text[4096];
	struct request_head h = { .part_count = 7 };
	int i;

	platform_parse_parts(list, &h);
	text[0] = '\0';
	for (i = 0; i < h.part_count; i++) {
		strcat(text, i ? " " : "");
		strncat(text, h.parts[i].text, h.parts[i].size);
	}
	return text;
}

START_TEST(the_last_part_of_a_prompt_is_left_out)
{
	static const struct {
		const char *list, *parts;
	} cases[] = {
		{ NULL, "" },
		{ "", "" },
		{ ",", "" },
		{ ":::", "" },
		{ "a:100", "" },
		{ "a:100,b:20", "a" },
		{ "a:100,b:20,c:3", "a b" },
		{ " a:100 ,\tb:20 , c:3", "a b" },
		{ "a:100,b:20,", "a" },
		{ "a:100,b:20, ,", "a" },
		{ "a,b,c", "a b" },
		{ ":1,,b:x,c:3", "b" },
		{ "a:1,a:1,b:1", "a a" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		ck_assert_str_eq(parts_of(cases[i].list), cases[i].parts);
}
END_TEST

START_TEST(a_long_list_of_parts_is_cut)
{
	struct request_head h;
	char list[64 * 1024];
	size_t i;

	for (i = 0; i + 4 < sizeof(list); i += 4)
		memcpy(list + i, "a:1,", 4);
	list[i] = '\0';
	platform_parse_parts(list, &h);
	ck_assert_int_eq(h.part_count, WIRE_PARTS_MAX);
	memset(list, 'a', sizeof(list) - 1);
	list[sizeof(list) - 1] = '\0';
	platform_parse_parts(list, &h);
	ck_assert_int_eq(h.part_count, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("crash-watch");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, process_that_seemed_dead_once_can_die_later);
	tcase_add_test(tc, check_that_is_due_first_runs_first);
	tcase_add_test(tc, broken_attempts_prove_nothing_by_themselves);
	tcase_add_test(
		tc,
		attempts_belong_to_a_death_of_the_same_process_about_that_time);
	tcase_add_test(tc, rings_are_bounded_and_keep_the_newest);
	tcase_add_test(tc,
		       an_upstream_is_checked_three_times_but_once_at_a_time);
	tcase_add_test(tc, another_break_extends_the_checks_but_not_their_rate);
	tcase_add_test(tc, few_upstreams_are_checked_at_a_time);
	tcase_add_test(tc, a_refused_connection_proves_a_death_once);
	tcase_add_test(
		tc,
		unmarked_end_counts_as_sound_if_the_upstream_is_alive_later);
	tcase_add_test(tc, unmarked_end_belongs_to_a_death_that_is_proved);
	tcase_add_test(tc, the_last_part_of_a_prompt_is_left_out);
	tcase_add_test(tc, a_long_list_of_parts_is_cut);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
