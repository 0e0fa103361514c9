#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/spread-internal.h"

/* Who reads the platform when its watchers can't, or when peers differ. */

#define MS ((apr_time_t)1000)
#define STEP (50 * MS)
#define MEMBERS 10
#define VERSION 7

struct fixture {
	struct spread s;
	struct random r;
	apr_time_t now;
	struct spread_actions out;
	char asked[MEMBERS * 8][SETTINGS_ADDRESS_SIZE];
	int asked_count;
	int held_ms; /* of the last watch of the document */
};

/* Starts the member of a rank; all its values have been read once. */
static void init_fixture(struct fixture *g, int rank)
{
	struct overlay_member *m = calloc(MEMBERS, sizeof(*m));
	struct overlay_member self;
	int i;

	memset(g, 0, sizeof(*g));
	g->now = 1000 * MS;
	random_seed(&g->r, 3);
	for (i = 0; i < MEMBERS; i++) {
		snprintf(m[i].id, sizeof(m[i].id), "p%d", i);
		snprintf(m[i].data_center, sizeof(m[i].data_center), "dc");
		snprintf(m[i].address, sizeof(m[i].address), "127.0.0.%d",
			 i + 1);
		m[i].is_entry = 1;
		overlay_compute_scores(&m[i]);
	}
	self = *overlay_find_rank(m, MEMBERS, rank);
	spread_init(&g->s, self.address, g->now);
	g->s.watch_hold_ms = SPREAD_WATCH_HOLD_SHORT_MS;
	spread_set_members(&g->s, m, MEMBERS, &self, &g->r);
	for (i = 0; i < g->s.value_count; i++) {
		g->s.values[i].watches_finished = 1;
		g->s.values[i].platform_last_contact = g->now;
	}
	ck_assert_int_eq(g->s.overlay.watch_rank, rank);
}

/*
 * Decides every STEP until a time; all exchanges end at once.  Notes whom this
 * process asks to read.
 */
static void run_until(struct fixture *g, apr_time_t end)
{
	int i;

	for (; g->now < end; g->now += STEP) {
		spread_decide(&g->s, g->now, &g->r, &g->out);
		for (i = 0; i < g->out.count; i++) {
			struct spread_action *a = &g->out.list[i];

			if (a->kind == SPREAD_EXCHANGE)
				spread_finish_exchange(&g->s, a, 1, g->now);
			else if (a->value == SPREAD_DOCUMENT)
				g->held_ms = a->hold_ms;
			if (a->asks_read)
				memcpy(g->asked[g->asked_count++], a->address,
				       SETTINGS_ADDRESS_SIZE);
		}
	}
}

static int count_different(const struct fixture *g)
{
	int i, j, n = 0;

	for (i = 0; i < g->asked_count; i++) {
		for (j = 0; j < i; j++)
			if (!strcmp(g->asked[i], g->asked[j]))
				break;
		n += j == i;
	}
	return n;
}

/* Guards against a loss that nobody else is told of in time. */
START_TEST(watcher_without_answers_asks_three_at_a_time)
{
	struct fixture g;

	init_fixture(&g, _i);
	run_until(&g, 1000 * MS + (_i ? 2350 : 950) * MS);
	ck_assert_int_eq(g.asked_count, 3);
	ck_assert_int_eq(count_different(&g), 3);
	/* Nobody hears the platform: the next ones are asked, and so on. */
	run_until(&g, g.now + 3000 * MS);
	ck_assert_int_le(g.asked_count, 3 * 8);
	ck_assert_int_eq(count_different(&g), MEMBERS - OVERLAY_WATCHERS);
	spread_destroy(&g.s);
}
END_TEST

START_TEST(the_same_are_asked_while_one_of_them_has_answers)
{
	struct fixture g;
	int i;

	init_fixture(&g, 0);
	for (i = 0; i < 10; i++) {
		run_until(&g, g.now + 500 * MS);
		if (g.asked_count)
			g.s.values[0].platform_last_contact = g.now;
	}
	ck_assert_int_gt(g.asked_count, 12);
	ck_assert_int_eq(count_different(&g), 3);
	spread_destroy(&g.s);
}
END_TEST

/* Guards against reads by others while a large text is read and applied. */
START_TEST(watcher_whose_answer_has_begun_asks_nobody)
{
	struct fixture g;
	int i;

	init_fixture(&g, 0);
	run_until(&g, 1100 * MS);
	for (i = 0; i < g.s.value_count; i++)
		spread_record_answer(&g.s, i, g.now);
	run_until(&g, 4000 * MS);
	ck_assert_int_eq(g.asked_count, 0);
	spread_destroy(&g.s);
}
END_TEST

/* Guards against one lost answer that makes others read everything anew. */
START_TEST(one_failure_is_looked_into_before_others_are_asked)
{
	struct fixture g;
	int i;

	init_fixture(&g, 0);
	run_until(&g, 1100 * MS);
	ck_assert_int_eq(g.held_ms, SPREAD_WATCH_HOLD_PROMPT_MS);
	for (i = 0; i < 2; i++) {
		spread_finish_watch(&g.s, SPREAD_DOCUMENT, 0, 0, 1000 * MS,
				    g.now, &g.r);
		ck_assert_int_eq(g.asked_count, 0);
		run_until(&g, g.now + 200 * MS);
		ck_assert_int_eq(g.held_ms, 0);
	}
	ck_assert_int_eq(g.asked_count, 3);
	spread_finish_watch(&g.s, SPREAD_DOCUMENT, 1, 0, g.now, g.now, &g.r);
	spread_finish_watch(&g.s, SPREAD_INSTANCES, 1, 0, g.now, g.now, &g.r);
	run_until(&g, g.now + 200 * MS);
	ck_assert_int_eq(g.asked_count, 3);
	ck_assert_int_eq(g.held_ms, SPREAD_WATCH_HOLD_PROMPT_MS);
	spread_destroy(&g.s);
}
END_TEST

START_TEST(process_reads_at_once_when_asked_and_stops_after_it)
{
	struct fixture g;

	init_fixture(&g, 5);
	run_until(&g, 2000 * MS);
	ck_assert(!g.s.values[0].is_watching);
	g.held_ms = -1;
	spread_record_asked(&g.s, g.now);
	run_until(&g, g.now + STEP);
	ck_assert(g.s.values[0].is_watching);
	ck_assert(g.s.values[1].is_watching);
	ck_assert_int_eq(g.held_ms, 0);
	spread_finish_watch(&g.s, 0, 1, 0, g.now, g.now, &g.r);
	spread_finish_watch(&g.s, 1, 1, 0, g.now, g.now, &g.r);
	run_until(&g, g.now + STEP);
	ck_assert_int_eq(g.held_ms, SPREAD_WATCH_HOLD_PROMPT_MS);
	run_until(&g, g.now + 2000 * MS);
	spread_finish_watch(&g.s, 0, 1, 0, g.now, g.now, &g.r);
	spread_finish_watch(&g.s, 1, 1, 0, g.now, g.now, &g.r);
	run_until(&g, g.now + 1000 * MS);
	ck_assert(!g.s.values[0].is_watching);
	ck_assert_int_eq(g.asked_count, 0);
	spread_destroy(&g.s);
}
END_TEST

/* Returns the ms of silence after which the member of a rank reads, or -1. */
static int find_silence_ms(int rank)
{
	struct fixture g;
	int ms;

	init_fixture(&g, rank);
	spread_record_heartbeat(&g.s, 1, g.now);
	for (ms = 0; ms < 3000; ms += 10) {
		spread_check_heartbeats(&g.s, g.now + ms * MS);
		if (g.s.fallback_until)
			break;
	}
	spread_destroy(&g.s);
	return ms < 3000 ? ms : -1;
}

/* Guards against a freeze of the readers, and of the first substitutes as well. */
START_TEST(entries_read_in_larger_and_larger_groups)
{
	int rank;

	for (rank = 0; rank < OVERLAY_WATCHERS; rank++)
		ck_assert_int_eq(find_silence_ms(rank), -1);
	for (; rank < OVERLAY_WATCHERS + 3; rank++)
		ck_assert_int_eq(find_silence_ms(rank), 500);
	for (; rank < MEMBERS; rank++)
		ck_assert_int_eq(find_silence_ms(rank), 650);
}
END_TEST

/* Guards against reads in vain: at a start, after an own pause, on an agent. */
START_TEST(silence_that_proves_nothing_is_ignored)
{
	struct fixture g;

	init_fixture(&g, 5);
	spread_check_heartbeats(&g.s, g.now + 9000 * MS);
	ck_assert_int_eq(g.s.fallback_until, 0);
	spread_record_heartbeat(&g.s, 1, g.now);
	spread_record_pause(&g.s, g.now + 9000 * MS);
	spread_check_heartbeats(&g.s, g.now + 9400 * MS);
	ck_assert_int_eq(g.s.fallback_until, 0);
	g.s.is_entry = 0;
	spread_check_heartbeats(&g.s, g.now + 20000 * MS);
	ck_assert_int_eq(g.s.fallback_until, 0);
	spread_destroy(&g.s);
}
END_TEST

/* Heartbeats of other substitutes keep further ones from reading, no more. */
START_TEST(substitute_reads_until_a_watcher_is_heard)
{
	struct fixture g;
	apr_time_t now;

	init_fixture(&g, OVERLAY_WATCHERS);
	now = g.now;
	spread_record_heartbeat(&g.s, 1, now);
	for (; now < g.now + 6000 * MS; now += 100 * MS) {
		if (now >= g.now + 500 * MS)
			spread_record_heartbeat(&g.s, 0, now);
		spread_check_heartbeats(&g.s, now);
		if (now == g.now + 400 * MS)
			spread_check_heartbeats(&g.s, now + 100 * MS);
	}
	ck_assert(spread_is_reading(&g.s, now));
	for (; now < g.now + 9000 * MS; now += 100 * MS) {
		spread_record_heartbeat(&g.s, 1, now);
		spread_check_heartbeats(&g.s, now);
	}
	ck_assert(!spread_is_reading(&g.s, now));
	spread_destroy(&g.s);
}
END_TEST

/* Guards against a reader too slow to pass changes on that keeps others away. */
START_TEST(reader_that_applies_too_long_sends_no_heartbeats)
{
	struct fixture g;

	init_fixture(&g, 0);
	run_until(&g, 1100 * MS);
	ck_assert(spread_is_reading(&g.s, g.now + 9000 * MS));
	spread_record_answer(&g.s, SPREAD_DOCUMENT, g.now);
	ck_assert(spread_is_reading(&g.s, g.now + 400 * MS));
	ck_assert(!spread_is_reading(&g.s, g.now + 410 * MS));
	spread_destroy(&g.s);
}
END_TEST

/* Tells a process of a peer that has another list, or document, under its version. */
static void init_dispute(struct fixture *g, int rank, int value, int theirs)
{
	struct spread_version v[SPREAD_VALUE_COUNT];

	init_fixture(g, rank);
	memset(v, 0, sizeof(v));
	v[value].version = VERSION;
	v[value].platform_age_ms = UINT32_MAX;
	spread_record_applied(&g->s, value, VERSION, &v[value].digest, g->now);
	v[value].digest.bytes[0] = (unsigned char)theirs;
	spread_merge_versions(&g->s, "127.0.0.99", v, SPREAD_VALUE_COUNT,
			      g->now);
}

/* Returns 1 if the process starts a read that is to settle a dispute. */
static int settles(struct fixture *g, int value, apr_time_t now)
{
	int i;

	spread_decide(&g->s, now, &g->r, &g->out);
	for (i = 0; i < g->out.count; i++)
		if (g->out.list[i].kind == SPREAD_WATCH &&
		    g->out.list[i].value == value)
			return g->out.list[i].is_disputed &&
			       !g->out.list[i].hold_ms;
	return 0;
}

/* Guards against a list that stays in use as it has the newest version. */
START_TEST(watcher_reads_at_once_when_a_peer_has_another_list)
{
	struct fixture g;

	init_dispute(&g, _i, SPREAD_INSTANCES, 1);
	ck_assert(settles(&g, SPREAD_INSTANCES, 1000 * MS));
	spread_finish_watch(&g.s, SPREAD_INSTANCES, 1, 0, 1000 * MS, 1010 * MS,
			    &g.r);
	ck_assert(!g.s.values[SPREAD_INSTANCES].disputed_at);
	spread_destroy(&g.s);
}
END_TEST

START_TEST(others_read_one_after_the_other_if_no_newer_list_comes)
{
	struct digest digest = { { 2 } };
	struct fixture g;

	init_dispute(&g, OVERLAY_WATCHERS + 2, SPREAD_INSTANCES, 1);
	ck_assert(!settles(&g, SPREAD_INSTANCES, 2650 * MS));
	ck_assert(settles(&g, SPREAD_INSTANCES, 2700 * MS));
	spread_destroy(&g.s);
	init_dispute(&g, OVERLAY_WATCHERS + 2, SPREAD_INSTANCES, 1);
	spread_record_applied(&g.s, SPREAD_INSTANCES, VERSION + 1, &digest,
			      2000 * MS);
	ck_assert(!settles(&g, SPREAD_INSTANCES, 2700 * MS));
	spread_destroy(&g.s);
}
END_TEST

/* Guards against reads without end where a read can't change the version. */
START_TEST(equal_lists_and_documents_are_not_disputed)
{
	struct fixture g;

	init_dispute(&g, 0, SPREAD_INSTANCES, 0);
	ck_assert(!settles(&g, SPREAD_INSTANCES, 1000 * MS));
	spread_destroy(&g.s);
	init_dispute(&g, 0, SPREAD_DOCUMENT, 1);
	ck_assert(!settles(&g, SPREAD_DOCUMENT, 1000 * MS));
	spread_destroy(&g.s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fallback");
	TCase *t = tcase_create("fallback");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_loop_test(t, watcher_without_answers_asks_three_at_a_time, 0,
			    OVERLAY_WATCHERS);
	tcase_add_test(t, the_same_are_asked_while_one_of_them_has_answers);
	tcase_add_test(t, watcher_whose_answer_has_begun_asks_nobody);
	tcase_add_test(t, one_failure_is_looked_into_before_others_are_asked);
	tcase_add_test(t, process_reads_at_once_when_asked_and_stops_after_it);
	tcase_add_test(t, entries_read_in_larger_and_larger_groups);
	tcase_add_test(t, silence_that_proves_nothing_is_ignored);
	tcase_add_test(t, substitute_reads_until_a_watcher_is_heard);
	tcase_add_test(t, reader_that_applies_too_long_sends_no_heartbeats);
	tcase_add_loop_test(t,
			    watcher_reads_at_once_when_a_peer_has_another_list,
			    0, OVERLAY_WATCHERS);
	tcase_add_test(t,
		       others_read_one_after_the_other_if_no_newer_list_comes);
	tcase_add_test(t, equal_lists_and_documents_are_not_disputed);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
