#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/spread.h"

/* Two processes that have different lists under one version. */

#define MS ((apr_time_t)1000)
#define MEMBERS 10
#define VERSION 7

struct fixture {
	struct spread s;
	struct random r;
	struct spread_actions out;
};

/* Starts the member of a rank, with a list, and tells it of a peer's. */
static void init_fixture(struct fixture *g, int rank, int value, int theirs)
{
	struct overlay_member *m = calloc(MEMBERS, sizeof(*m));
	struct spread_version v[SPREAD_VALUE_COUNT];
	struct overlay_member self;
	int i;

	memset(g, 0, sizeof(*g));
	memset(v, 0, sizeof(v));
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
	spread_init(&g->s, self.address, 1000 * MS);
	g->s.watch_hold_ms = SPREAD_WATCH_HOLD_SHORT_MS;
	spread_set_members(&g->s, m, MEMBERS, &self, &g->r);
	for (i = 0; i < g->s.value_count; i++) {
		g->s.values[i].watches_finished = 1;
		g->s.values[i].platform_last_contact = 1000 * MS;
	}
	v[value].version = VERSION;
	v[value].platform_age_ms = UINT32_MAX;
	spread_record_applied(&g->s, value, VERSION, &v[value].digest,
			      1000 * MS);
	v[value].digest.bytes[0] = (unsigned char)theirs;
	spread_merge_versions(&g->s, "127.0.0.99", v, SPREAD_VALUE_COUNT,
			      1000 * MS);
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

	init_fixture(&g, _i, SPREAD_INSTANCES, 1);
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

	init_fixture(&g, OVERLAY_WATCHERS + 2, SPREAD_INSTANCES, 1);
	ck_assert(!settles(&g, SPREAD_INSTANCES, 2650 * MS));
	ck_assert(settles(&g, SPREAD_INSTANCES, 2700 * MS));
	spread_destroy(&g.s);
	init_fixture(&g, OVERLAY_WATCHERS + 2, SPREAD_INSTANCES, 1);
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

	init_fixture(&g, 0, SPREAD_INSTANCES, 0);
	ck_assert(!settles(&g, SPREAD_INSTANCES, 1000 * MS));
	spread_destroy(&g.s);
	init_fixture(&g, 0, SPREAD_DOCUMENT, 1);
	ck_assert(!settles(&g, SPREAD_DOCUMENT, 1000 * MS));
	spread_destroy(&g.s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispute");
	TCase *t = tcase_create("dispute");
	SRunner *r;
	int failed;

	apr_initialize();
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
