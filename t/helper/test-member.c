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

#define SECOND_US APR_USEC_PER_SEC
#define HEX_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static struct evidence make_evidence(enum evidence_kind kind, apr_time_t at)
{
	struct evidence e = { .id = "a",
			      .kind = kind,
			      .started_at = at - SECOND_US / 10,
			      .finished_at = at,
			      .max_duration = SECOND_US };

	return e;
}

static void apply_answer(struct instance *row, uint64_t boot, int is_draining,
			 apr_time_t at)
{
	struct evidence e = make_evidence(EVIDENCE_ANSWER, at);

	e.boot = boot;
	e.is_draining = is_draining;
	instance_apply_evidence(row, &e, 0, at);
}

static void apply_failure(struct instance *row, enum evidence_kind kind,
			  apr_time_t at)
{
	struct evidence e = make_evidence(kind, at);

	instance_apply_evidence(row, &e, 0, at);
}

static struct instance make_live_row(uint64_t boot, apr_time_t at)
{
	struct instance row = { .id = "a", .state = INSTANCE_LIVE };

	apply_answer(&row, boot, 0, at);
	return row;
}

START_TEST(no_answer_makes_suspect_and_failed_reconnect_dead)
{
	struct instance row = make_live_row(1, SECOND_US);

	apply_failure(&row, EVIDENCE_NO_ANSWER, 2 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	apply_answer(&row, 1, 0, 3 * SECOND_US); /* reconnected */
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
	apply_failure(&row, EVIDENCE_NO_ANSWER, 4 * SECOND_US);
	apply_failure(&row, EVIDENCE_RECONNECT_FAILED, 5 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
}
END_TEST

START_TEST(a_silent_peer_stays_suspect_before_it_is_dead)
{
	struct instance row = make_live_row(1, SECOND_US);
	apr_time_t t;

	for (t = 2 * SECOND_US; t < 7 * SECOND_US; t += SECOND_US) {
		apply_failure(&row, EVIDENCE_NO_ANSWER, t);
		apply_failure(&row, EVIDENCE_RECONNECT_NO_ANSWER, t + 1000);
		ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	}
	apply_failure(&row, EVIDENCE_RECONNECT_NO_ANSWER, 12 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
	apply_answer(&row, 1, 0, 13 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

/*
 * Guards against tasks, such as watching the platform, that move to another
 * process whenever one is paused for a moment.
 */
START_TEST(a_suspect_keeps_its_position_for_a_while)
{
	struct instance row = make_live_row(1, SECOND_US);

	ck_assert(instance_is_present(&row, SECOND_US));
	apply_failure(&row, EVIDENCE_NO_ANSWER, 2 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	ck_assert(instance_is_present(&row, 4 * SECOND_US));
	ck_assert(!instance_is_present(&row, 5 * SECOND_US));
	apply_answer(&row, 1, 1, 6 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_DRAINING);
	ck_assert(!instance_is_present(&row, 6 * SECOND_US));
	apply_failure(&row, EVIDENCE_RECONNECT_FAILED, 7 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
	ck_assert(!instance_is_present(&row, 7 * SECOND_US));
}
END_TEST

START_TEST(timeouts_during_own_pause_are_ignored)
{
	struct instance row = make_live_row(1, SECOND_US);
	struct evidence e =
		make_evidence(EVIDENCE_RECONNECT_FAILED, 7 * SECOND_US);

	/* The exchange started before a pause that ended at 7 s. */
	e.started_at = 2 * SECOND_US;
	ck_assert_int_eq(
		instance_apply_evidence(&row, &e, 7 * SECOND_US, 7 * SECOND_US),
		0);
	/* The pause is not detected yet, but the exchange took too long. */
	ck_assert_int_eq(instance_apply_evidence(&row, &e, 0, 7 * SECOND_US),
			 0);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
	/* Suspect before the pause: the paused time does not count. */
	apply_failure(&row, EVIDENCE_NO_ANSWER, 3 * SECOND_US);
	e = make_evidence(EVIDENCE_RECONNECT_NO_ANSWER, 20 * SECOND_US);
	instance_apply_evidence(&row, &e, 19 * SECOND_US, 20 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
}
END_TEST

START_TEST(evidence_older_than_the_last_contact_is_ignored)
{
	struct instance row = make_live_row(1, 5 * SECOND_US);
	struct evidence e =
		make_evidence(EVIDENCE_RECONNECT_FAILED, 6 * SECOND_US);

	e.started_at = 5 * SECOND_US - 1;
	instance_apply_evidence(&row, &e, 0, 6 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

START_TEST(draining_lasts_until_another_boot_answers)
{
	struct instance row = make_live_row(1, SECOND_US);

	apply_answer(&row, 1, 1, 2 * SECOND_US);
	apply_answer(&row, 1, 0, 3 * SECOND_US); /* a delayed answer */
	ck_assert_int_eq(row.state, INSTANCE_DRAINING);
	apply_answer(&row, 2, 0, 4 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

static struct fact make_fact(uint64_t boot, uint32_t age_ms,
			     uint32_t incarnation, enum instance_state state)
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

START_TEST(facts_are_ordered_by_boot_and_incarnation)
{
	struct instance row = make_live_row(1, SECOND_US);
	struct fact f = make_fact(1, 9000, 0, INSTANCE_DEAD);

	row.boot_started = SECOND_US;
	/* The last contact was 1 s ago: suspect only. */
	instance_apply_fact(&row, &f, 2 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_SUSPECT);
	instance_apply_fact(&row, &f, 10 * SECOND_US);
	ck_assert_int_eq(row.state, INSTANCE_DEAD);
	f = make_fact(1, 9000, 0, INSTANCE_LIVE); /* delayed */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 10 * SECOND_US), 0);
	f = make_fact(1, 9000, 1, INSTANCE_LIVE); /* it refutes its death */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 10 * SECOND_US), 1);
	f = make_fact(1, 9000, 0, INSTANCE_DEAD); /* delayed again */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND_US), 0);
	f = make_fact(2, 1000, 0, INSTANCE_LIVE); /* restarted at 29 s */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND_US), 1);
	f = make_fact(1, 29000, 7, INSTANCE_DEAD); /* about the old boot */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND_US), 0);
	f = make_fact(9, 20000, 7, INSTANCE_LIVE); /* about an older boot */
	ck_assert_int_eq(instance_apply_fact(&row, &f, 30 * SECOND_US), 0);
	ck_assert_uint_eq(row.boot, 2);
	ck_assert_int_eq(row.state, INSTANCE_LIVE);
}
END_TEST

static void apply_list(struct table *t, uint64_t version, const char *items,
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

static struct instance *find_row(struct table *t, const char *id)
{
	return instance_find(t, id);
}

START_TEST(direct_observation_overrides_the_list)
{
	struct instance *a;
	struct table t;

	table_init(&t, "i", RANK_MEMBER, sizeof(struct instance), 0);
	apply_list(&t, 1,
		   ITEM("a", "127.0.0.1", "live") "," ITEM("self", "127.0.0.9",
							   "live"),
		   SECOND_US);
	ck_assert_uint_eq(t.count, 1);
	a = find_row(&t, "a");
	apply_answer(a, 1, 0, 2 * SECOND_US);
	/* A live instance is missing in the list. */
	apply_list(&t, 2, "", 3 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	ck_assert_int_eq(member_remove_expired(&t, 0, 90 * SECOND_US), 0);
	/* A dead instance is listed as live. */
	apply_failure(a, EVIDENCE_RECONNECT_FAILED, 100 * SECOND_US);
	apply_list(&t, 3, ITEM("a", "127.0.0.1", "live"), 101 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_DEAD);
	/* It is replaced at another address. */
	apply_list(&t, 4, ITEM("a", "127.0.0.2", "live"), 102 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	ck_assert_uint_eq(a->boot, 0);
	apply_answer(a, 2, 0, 103 * SECOND_US);
	/* The list marks this boot as draining, not the next one. */
	apply_list(&t, 5, ITEM("a", "127.0.0.2", "leaving"), 104 * SECOND_US);
	apply_answer(a, 2, 0, 105 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_DRAINING);
	apply_answer(a, 3, 0, 106 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_LIVE);
	apply_list(&t, 6, ITEM("a", "127.0.0.2", "live"), 107 * SECOND_US);
	/* Another instance answers at its address. */
	apply_failure(a, EVIDENCE_OTHER_INSTANCE, 108 * SECOND_US);
	ck_assert_int_eq(a->state, INSTANCE_DEAD);
	apply_list(&t, 7, "", 109 * SECOND_US);
	ck_assert_int_eq(member_remove_expired(&t, 0, 300 * SECOND_US), 1);
	table_destroy(&t);
}
END_TEST

/*
 * Reference implementation of the merge: computes the state of an instance
 * from the full history of its events.
 */
#define EVENT_COUNT 60
enum event_kind {
	EVENT_LISTED_LIVE,
	EVENT_LISTED_DRAINING,
	EVENT_ANSWER,
	EVENT_ANSWER_DRAINING,
	EVENT_RECONNECT_FAILED
};

struct event {
	enum event_kind kind;
	uint64_t boot;
};

static enum instance_state reference_state(const struct event *e, int n)
{
	int i, j, dead = 0;
	uint64_t boot = 0;

	for (i = 0; i < n; i++) {
		if (e[i].kind == EVENT_ANSWER ||
		    e[i].kind == EVENT_ANSWER_DRAINING) {
			boot = e[i].boot;
			dead = 0;
		}
		if (e[i].kind == EVENT_RECONNECT_FAILED)
			dead = 1;
	}
	if (dead)
		return INSTANCE_DEAD;
	for (i = 0; i < n; i++) {
		uint64_t then = 0, next = 0;

		if (e[i].kind == EVENT_ANSWER_DRAINING && e[i].boot == boot)
			return INSTANCE_DRAINING;
		if (e[i].kind != EVENT_LISTED_DRAINING)
			continue;
		for (j = 0; j < n; j++) {
			if (e[j].kind != EVENT_ANSWER &&
			    e[j].kind != EVENT_ANSWER_DRAINING)
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

/* Boots only increase, and the list marks a boot as leaving only once. */
static void generate_event(struct event *e, struct random *r, uint64_t *boot,
			   int *is_listed_draining)
{
	e->kind = (enum event_kind)random_below(r, 5);
	e->boot = 0;
	if (e->kind == EVENT_LISTED_DRAINING && *is_listed_draining)
		e->kind = EVENT_LISTED_LIVE;
	if (e->kind == EVENT_LISTED_DRAINING)
		*is_listed_draining = 1;
	if (e->kind == EVENT_ANSWER_DRAINING && random_below(r, 3))
		e->kind = EVENT_ANSWER;
	if (e->kind != EVENT_ANSWER && e->kind != EVENT_ANSWER_DRAINING)
		return;
	if (!*boot || !random_below(r, 4)) {
		(*boot)++;
		*is_listed_draining = 0;
	}
	e->boot = *boot;
}

static void apply_event(struct table *t, const struct event *e, int step)
{
	apr_time_t now = (step + 1) * SECOND_US;
	struct instance *row = find_row(t, "a");

	switch (e->kind) {
	case EVENT_LISTED_LIVE:
		apply_list(t, 1, ITEM("a", "127.0.0.1", "live"), now);
		break;
	case EVENT_LISTED_DRAINING:
		apply_list(t, 1, ITEM("a", "127.0.0.1", "leaving"), now);
		break;
	case EVENT_RECONNECT_FAILED:
		apply_failure(row, EVIDENCE_RECONNECT_FAILED, now);
		break;
	default:
		apply_answer(row, e->boot, e->kind == EVENT_ANSWER_DRAINING,
			     now);
	}
}

START_TEST(merge_agrees_with_the_reference)
{
	struct event e[EVENT_COUNT];
	struct random r;
	struct table t;
	int iteration, i;

	random_seed(&r, 17);
	for (iteration = 0; iteration < 400; iteration++) {
		uint64_t boot = 0;
		int is_listed_draining = 0;

		table_init(&t, "i", RANK_MEMBER, sizeof(struct instance), 0);
		apply_list(&t, 1, ITEM("a", "127.0.0.1", "live"), 1);
		for (i = 0; i < EVENT_COUNT; i++) {
			generate_event(&e[i], &r, &boot, &is_listed_draining);
			apply_event(&t, &e[i], i);
			ck_assert_int_eq(find_row(&t, "a")->state,
					 reference_state(e, i + 1));
		}
		table_destroy(&t);
	}
}
END_TEST

static int make_agents(struct subset_agent *a, int local_count,
		       int remote_count)
{
	int i;

	memset(a, 0, (size_t)(local_count + remote_count) * sizeof(*a));
	for (i = 0; i < local_count + remote_count; i++) {
		snprintf(a[i].id, sizeof(a[i].id), "agent-%d", i);
		snprintf(a[i].upstream, sizeof(a[i].upstream), "%s-%d",
			 i % 10 ? "m" : "rare", i);
		snprintf(a[i].data_center, sizeof(a[i].data_center), "dc%d",
			 i < local_count ? 0 : 1);
		a[i].is_local = i < local_count;
		subset_agent_hash(&a[i]);
	}
	return local_count + remote_count;
}

static const char groups_document[] =
	"{\"revision\":1,\"accounts\":[{\"account\":\"a\",\"models\":["
	"{\"name\":\"common\",\"manifest\":\"" HEX_A
	"\",\"upstreams\":[\"*\"]},"
	"{\"name\":\"seldom\",\"manifest\":\"" HEX_A
	"\",\"upstreams\":[\"rare-*\"]}]}]}";

/*
 * Checks for one fleet size that agents are selected evenly, that each one is
 * selected, and that each group has its minimum.
 */
static void check_subsets(int local_count, int entries,
			  const struct document *d)
{
	static struct subset_agent a[SUBSET_AGENTS_MAX];
	int selected[SUBSET_AGENTS_MAX] = { 0 };
	int n, e, i, k = subset_window_size(local_count, entries), rare,
		     remote_count, low, high;

	for (e = 0; e < entries; e++) {
		n = make_agents(a, local_count, 30);
		subset_select(a, n, e, entries, NULL);
		for (i = 0; i < n; i++)
			selected[atoi(a[i].id + 6)] +=
				a[i].selection != SUBSET_NOT_SELECTED;
		n = make_agents(a, local_count, 30);
		subset_select(a, n, e, entries, d);
		rare = remote_count = 0;
		for (i = 0; i < n; i++) {
			if (a[i].selection == SUBSET_SELECTED_REMOTE)
				remote_count++;
			else if (a[i].selection &&
				 !strncmp(a[i].upstream, "rare", 4))
				rare++;
		}
		ck_assert_int_ge(rare,
				 (local_count + 9) / 10 < SUBSET_GROUP_LOCAL_MIN
					 ? (local_count + 9) / 10
					 : SUBSET_GROUP_LOCAL_MIN);
		ck_assert_int_ge(remote_count, SUBSET_GROUP_REMOTE_MIN);
	}
	low = k * entries / local_count - 1;
	high = (k * entries + local_count - 1) / local_count + 1;
	for (i = 0; i < local_count; i++) {
		ck_assert_int_ge(selected[i], low);
		ck_assert_int_le(selected[i], high);
		ck_assert_int_ge(selected[i], entries > 1 ? 2 : 1);
	}
}

START_TEST(subset_is_even_and_covers_every_upstream)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(groups_document,
					    strlen(groups_document), &faults);

	ck_assert_ptr_nonnull(d);
	check_subsets(5, 3, d);
	check_subsets(60, 37, d);
	check_subsets(60, 8, d);
	check_subsets(200, 9, d);
	check_subsets(14, 37, d);
	check_subsets(30, 1, d);
	document_unref(d);
}
END_TEST

START_TEST(subset_changes_little_when_an_entry_is_removed)
{
	static struct subset_agent a[60], b[60];
	int e, i, j, removed = 0, selected = 0;

	for (e = 0; e < 36; e++) {
		make_agents(a, 60, 0);
		make_agents(b, 60, 0);
		subset_select(a, 60, e, 37, NULL);
		subset_select(b, 60, e, 36, NULL);
		for (i = 0; i < 60; i++) {
			for (j = 0; strcmp(a[i].id, b[j].id); j++)
				;
			selected += a[i].selection != SUBSET_NOT_SELECTED;
			removed += a[i].selection != SUBSET_NOT_SELECTED &&
				   b[j].selection == SUBSET_NOT_SELECTED;
		}
	}
	/* A window of 16 moves by at most two positions. */
	ck_assert_int_le(removed * 8, selected);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("member");
	TCase *t = tcase_create("member");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, no_answer_makes_suspect_and_failed_reconnect_dead);
	tcase_add_test(t, a_silent_peer_stays_suspect_before_it_is_dead);
	tcase_add_test(t, a_suspect_keeps_its_position_for_a_while);
	tcase_add_test(t, timeouts_during_own_pause_are_ignored);
	tcase_add_test(t, evidence_older_than_the_last_contact_is_ignored);
	tcase_add_test(t, draining_lasts_until_another_boot_answers);
	tcase_add_test(t, facts_are_ordered_by_boot_and_incarnation);
	tcase_add_test(t, direct_observation_overrides_the_list);
	tcase_add_test(t, merge_agrees_with_the_reference);
	tcase_add_test(t, subset_is_even_and_covers_every_upstream);
	tcase_add_test(t, subset_changes_little_when_an_entry_is_removed);
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
