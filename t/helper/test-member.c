#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "config/document.h"
#include "member/detect.h"
#include "member/merge.h"
#include "member/subset.h"

#define SECOND APR_USEC_PER_SEC
#define HEX_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static struct evidence evidence(enum evidence_kind kind, apr_time_t at)
{
	struct evidence e = { .id = "a",
			      .kind = kind,
			      .started_at = at - SECOND / 10,
			      .finished_at = at,
			      .max_duration = SECOND };

	return e;
}

static void answer(struct instance *row, uint64_t boot, int leaving,
		   apr_time_t at)
{
	struct evidence e = evidence(EVIDENCE_ANSWER, at);

	e.boot = boot;
	e.is_draining = leaving;
	instance_apply_evidence(row, &e, 0, at);
}

static void failure(struct instance *row, enum evidence_kind kind,
		    apr_time_t at)
{
	struct evidence e = evidence(kind, at);

	instance_apply_evidence(row, &e, 0, at);
}

static struct instance live_row(uint64_t boot, apr_time_t at)
{
	struct instance row = { .id = "a", .state = INSTANCE_LIVE };

	answer(&row, boot, 0, at);
	return row;
}

START_TEST(silence_makes_suspect_and_refusal_dead)
{
	struct instance row = live_row(1, SECOND);

	failure(&row, EVIDENCE_NO_ANSWER, 2 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	answer(&row, 1, 0, 3 * SECOND); /* a fresh connection worked */
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
	failure(&row, EVIDENCE_NO_ANSWER, 4 * SECOND);
	failure(&row, EVIDENCE_RECONNECT_FAILED, 5 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
}
END_TEST

START_TEST(a_paused_peer_is_suspect_for_long_before_dead)
{
	struct instance row = live_row(1, SECOND);
	apr_time_t t;

	for (t = 2 * SECOND; t < 7 * SECOND; t += SECOND) {
		failure(&row, EVIDENCE_NO_ANSWER, t);
		failure(&row, EVIDENCE_RECONNECT_NO_ANSWER, t + 1000);
		ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	}
	failure(&row, EVIDENCE_RECONNECT_NO_ANSWER, 12 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
	answer(&row, 1, 0, 13 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

START_TEST(own_pause_is_no_evidence)
{
	struct instance row = live_row(1, SECOND);
	struct evidence e = evidence(EVIDENCE_RECONNECT_FAILED, 7 * SECOND);

	/* Began before a pause that ended at 7 s. */
	e.started_at = 2 * SECOND;
	ck_assert_int_eq(
		instance_apply_evidence(&row, &e, 7 * SECOND, 7 * SECOND), 0);
	/* The pause wasn't noticed yet, but the exchange overran. */
	ck_assert_int_eq(instance_apply_evidence(&row, &e, 0, 7 * SECOND), 0);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
	/* Suspect before the pause: the time asleep doesn't count. */
	failure(&row, EVIDENCE_NO_ANSWER, 3 * SECOND);
	e = evidence(EVIDENCE_RECONNECT_NO_ANSWER, 20 * SECOND);
	instance_apply_evidence(&row, &e, 19 * SECOND, 20 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
}
END_TEST

START_TEST(evidence_older_than_the_last_word_is_passed_over)
{
	struct instance row = live_row(1, 5 * SECOND);
	struct evidence e = evidence(EVIDENCE_RECONNECT_FAILED, 6 * SECOND);

	e.started_at = 5 * SECOND - 1;
	instance_apply_evidence(&row, &e, 0, 6 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

START_TEST(leaving_wins_until_another_boot_is_heard)
{
	struct instance row = live_row(1, SECOND);

	answer(&row, 1, 1, 2 * SECOND);
	answer(&row, 1, 0, 3 * SECOND); /* a late answer */
	ck_assert_int_eq(row.state, INSTANCE_DRAINING);
	answer(&row, 2, 0, 4 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

static struct fact fact(uint64_t boot, uint32_t age_ms, uint32_t incarnation,
			enum instance_state state)
{
	struct fact f = { .id = "a",
			  .role = ROLE_AGENT,
			  .data_center = "dc",
			  .address = "127.0.0.1",
			  .boot = boot,
			  .boot_age_ms = age_ms,
			  .incarnation = incarnation,
			  .state = state };

	return f;
}

START_TEST(hearsay_counts_by_boot_and_incarnation)
{
	struct instance row = live_row(1, SECOND);
	struct fact f = fact(1, 9000, 0, INSTANCE_DEAD);

	row.boot_started = SECOND;
	instance_apply_fact(&row, &f,
			    2 * SECOND); /* heard 1 s ago: to be tried */
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	instance_apply_fact(&row, &f, 10 * SECOND);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
	f = fact(1, 9000, 0, INSTANCE_LIVE); /* late */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 10 * SECOND), 0);
	f = fact(1, 9000, 1, INSTANCE_LIVE); /* it objects */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 10 * SECOND), 1);
	f = fact(1, 9000, 0, INSTANCE_DEAD); /* late again */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND), 0);
	f = fact(2, 1000, 0, INSTANCE_LIVE); /* started anew at 29 s */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND), 1);
	f = fact(1, 29000, 7, INSTANCE_DEAD); /* word of the old boot */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND), 0);
	f = fact(9, 20000, 7, INSTANCE_LIVE); /* of one older still */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND), 0);
	ck_assert_uint_eq(row.boot, 2);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

static void list_take(struct table *t, uint64_t version, const char *items,
		      apr_time_t now)
{
	struct fault_list faults = { 0 };
	struct instance_list l;
	char text[4096];

	snprintf(text, sizeof(text), "{\"version\":%llu,\"instances\":[%s]}",
		 (unsigned long long)version, items);
	ck_assert_int_eq(instance_list_parse(&l, text, strlen(text), &faults),
			 0);
	table_lock(t);
	member_merge_list(t, &l, "self", now);
	table_unlock(t);
	instance_list_free(&l);
}

#define ITEM(id, address, state)                                               \
	"{\"id\":\"" id "\",\"role\":\"agent\",\"data_center\":\"dc\","        \
	"\"address\":\"" address "\",\"state\":\"" state "\"}"

static struct instance *row_of(struct table *t, const char *id)
{
	return instance_find(t, id);
}

START_TEST(the_list_gives_way_to_direct_word)
{
	struct instance *a;
	struct table t;

	table_init(&t, "i", RANK_MEMBER, sizeof(struct instance), 0);
	list_take(&t, 1,
		  ITEM("a", "127.0.0.1", "live") "," ITEM("self", "127.0.0.9",
							  "live"),
		  SECOND);
	ck_assert_uint_eq(t.count, 1);
	a = row_of(&t, "a");
	answer(a, 1, 0, 2 * SECOND);
	/* The live shown as gone. */
	list_take(&t, 2, "", 3 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	ck_assert_int_eq(member_remove_expired(&t, 0, 90 * SECOND), 0);
	/* The dead shown as live. */
	failure(a, EVIDENCE_RECONNECT_FAILED, 100 * SECOND);
	list_take(&t, 3, ITEM("a", "127.0.0.1", "live"), 101 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_DEAD);
	/* Replaced at another address. */
	list_take(&t, 4, ITEM("a", "127.0.0.2", "live"), 102 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	ck_assert_uint_eq(a->boot, 0);
	answer(a, 2, 0, 103 * SECOND);
	/* Leaving by the list, though it answers; a new boot is another. */
	list_take(&t, 5, ITEM("a", "127.0.0.2", "leaving"), 104 * SECOND);
	answer(a, 2, 0, 105 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_DRAINING);
	answer(a, 3, 0, 106 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	list_take(&t, 6, ITEM("a", "127.0.0.2", "live"), 107 * SECOND);
	/* Its address answers as somebody else. */
	failure(a, EVIDENCE_OTHER_INSTANCE, 108 * SECOND);
	ck_assert_int_eq(a->state, INSTANCE_DEAD);
	list_take(&t, 7, "", 109 * SECOND);
	ck_assert_int_eq(member_remove_expired(&t, 0, 300 * SECOND), 1);
	table_destroy(&t);
}
END_TEST

/*
 * The naive version of the merge: keeps all that was seen of an instance
 * and looks through it anew for each answer.
 */
#define EVENTS 60
enum event_kind { ON_LIVE, ON_LEAVING, ON_ANSWER, ON_LEAVES, ON_REFUSED };

struct event {
	enum event_kind kind;
	uint64_t boot;
};

static enum instance_state naive_state(const struct event *e, int n)
{
	int i, j, dead = 0;
	uint64_t boot = 0;

	for (i = 0; i < n; i++) {
		if (e[i].kind == ON_ANSWER || e[i].kind == ON_LEAVES) {
			boot = e[i].boot;
			dead = 0;
		}
		if (e[i].kind == ON_REFUSED)
			dead = 1;
	}
	if (dead)
		return INSTANCE_DEAD;
	for (i = 0; i < n; i++) {
		uint64_t then = 0, next = 0;

		if (e[i].kind == ON_LEAVES && e[i].boot == boot)
			return INSTANCE_DRAINING;
		if (e[i].kind != ON_LEAVING)
			continue;
		for (j = 0; j < n; j++) {
			if (e[j].kind != ON_ANSWER && e[j].kind != ON_LEAVES)
				continue;
			if (j < i)
				then = e[j].boot;
			else if (!next)
				next = e[j].boot;
		}
		if ((then ? then : next) == boot)
			return INSTANCE_DRAINING;
	}
	return INSTANCE_LIVE;
}

/* Boots only rise, and the list says "leaving" once for one boot. */
static void event_draw(struct event *e, struct random *r, uint64_t *boot,
		       int *left)
{
	e->kind = (enum event_kind)random_below(r, 5);
	e->boot = 0;
	if (e->kind == ON_LEAVING && *left)
		e->kind = ON_LIVE;
	if (e->kind == ON_LEAVING)
		*left = 1;
	if (e->kind == ON_LEAVES && random_below(r, 3))
		e->kind = ON_ANSWER;
	if (e->kind != ON_ANSWER && e->kind != ON_LEAVES)
		return;
	if (!*boot || !random_below(r, 4)) {
		(*boot)++;
		*left = 0;
	}
	e->boot = *boot;
}

static void event_apply(struct table *t, const struct event *e, int step)
{
	apr_time_t now = (step + 1) * SECOND;
	struct instance *row = row_of(t, "a");

	switch (e->kind) {
	case ON_LIVE:
		list_take(t, 1, ITEM("a", "127.0.0.1", "live"), now);
		break;
	case ON_LEAVING:
		list_take(t, 1, ITEM("a", "127.0.0.1", "leaving"), now);
		break;
	case ON_REFUSED:
		failure(row, EVIDENCE_RECONNECT_FAILED, now);
		break;
	default:
		answer(row, e->boot, e->kind == ON_LEAVES, now);
	}
}

START_TEST(merge_agrees_with_the_naive_version)
{
	struct event e[EVENTS];
	struct random r;
	struct table t;
	int turn, i;

	random_seed(&r, 17);
	for (turn = 0; turn < 400; turn++) {
		uint64_t boot = 0;
		int left = 0;

		table_init(&t, "i", RANK_MEMBER, sizeof(struct instance), 0);
		list_take(&t, 1, ITEM("a", "127.0.0.1", "live"), 1);
		for (i = 0; i < EVENTS; i++) {
			event_draw(&e[i], &r, &boot, &left);
			event_apply(&t, &e[i], i);
			ck_assert_int_eq(row_of(&t, "a")->state,
					 naive_state(e, i + 1));
		}
		table_destroy(&t);
	}
}
END_TEST

static int agents_make(struct subset_agent *a, int near, int far)
{
	int i;

	memset(a, 0, (size_t)(near + far) * sizeof(*a));
	for (i = 0; i < near + far; i++) {
		snprintf(a[i].id, sizeof(a[i].id), "agent-%d", i);
		snprintf(a[i].upstream, sizeof(a[i].upstream), "%s-%d",
			 i % 10 ? "m" : "rare", i);
		snprintf(a[i].data_center, sizeof(a[i].data_center), "dc%d",
			 i < near ? 0 : 1);
		a[i].is_local = i < near;
		subset_agent_hash(&a[i]);
	}
	return near + far;
}

static const char groups[] =
	"{\"revision\":1,\"accounts\":[{\"account\":\"a\",\"models\":["
	"{\"name\":\"common\",\"manifest\":\"" HEX_A
	"\",\"upstreams\":[\"*\"]},"
	"{\"name\":\"seldom\",\"manifest\":\"" HEX_A
	"\",\"upstreams\":[\"rare-*\"]}]}]}";

/* Checks evenness, cover and what a group needs for one size of fleet. */
static void subset_try(int near, int entries, const struct document *d)
{
	static struct subset_agent a[SUBSET_AGENTS_MAX];
	int taken[SUBSET_AGENTS_MAX] = { 0 };
	int n, e, i, k = subset_window_size(near, entries), rare, far, low,
		     high;

	for (e = 0; e < entries; e++) {
		n = agents_make(a, near, 30);
		subset_select(a, n, e, entries, NULL);
		for (i = 0; i < n; i++)
			taken[atoi(a[i].id + 6)] +=
				a[i].selection != SUBSET_NOT_SELECTED;
		n = agents_make(a, near, 30);
		subset_select(a, n, e, entries, d);
		rare = far = 0;
		for (i = 0; i < n; i++) {
			if (a[i].selection == SUBSET_SELECTED_REMOTE)
				far++;
			else if (a[i].selection &&
				 !strncmp(a[i].upstream, "rare", 4))
				rare++;
		}
		ck_assert_int_ge(rare, (near + 9) / 10 < SUBSET_GROUP_LOCAL_MIN
					       ? (near + 9) / 10
					       : SUBSET_GROUP_LOCAL_MIN);
		ck_assert_int_ge(far, SUBSET_GROUP_REMOTE_MIN);
	}
	low = k * entries / near - 1;
	high = (k * entries + near - 1) / near + 1;
	for (i = 0; i < near; i++) {
		ck_assert_int_ge(taken[i], low);
		ck_assert_int_le(taken[i], high);
		ck_assert_int_ge(taken[i], entries > 1 ? 2 : 1);
	}
}

START_TEST(subset_is_even_and_covers_every_upstream)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(groups, strlen(groups), &faults);

	ck_assert_ptr_nonnull(d);
	subset_try(5, 3, d);
	subset_try(60, 37, d);
	subset_try(60, 8, d);
	subset_try(200, 9, d);
	subset_try(14, 37, d);
	subset_try(30, 1, d);
	document_release(d);
}
END_TEST

START_TEST(subset_moves_little_when_one_entry_goes)
{
	static struct subset_agent a[60], b[60];
	int e, i, j, moved = 0, taken = 0;

	for (e = 0; e < 36; e++) {
		agents_make(a, 60, 0);
		agents_make(b, 60, 0);
		subset_select(a, 60, e, 37, NULL);
		subset_select(b, 60, e, 36, NULL);
		for (i = 0; i < 60; i++) {
			for (j = 0; strcmp(a[i].id, b[j].id); j++)
				;
			taken += a[i].selection != SUBSET_NOT_SELECTED;
			moved += a[i].selection != SUBSET_NOT_SELECTED &&
				 b[j].selection == SUBSET_NOT_SELECTED;
		}
	}
	/* A window of 16 moves by at most two places. */
	ck_assert_int_le(moved * 8, taken);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("member");
	TCase *t = tcase_create("member");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, silence_makes_suspect_and_refusal_dead);
	tcase_add_test(t, a_paused_peer_is_suspect_for_long_before_dead);
	tcase_add_test(t, own_pause_is_no_evidence);
	tcase_add_test(t, evidence_older_than_the_last_word_is_passed_over);
	tcase_add_test(t, leaving_wins_until_another_boot_is_heard);
	tcase_add_test(t, hearsay_counts_by_boot_and_incarnation);
	tcase_add_test(t, the_list_gives_way_to_direct_word);
	tcase_add_test(t, merge_agrees_with_the_naive_version);
	tcase_add_test(t, subset_is_even_and_covers_every_upstream);
	tcase_add_test(t, subset_moves_little_when_one_entry_goes);
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
