#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/listing.h"
#include "forward/target.h"
#include "forward/wire.h"
#include "platform/platform.h"

/*
 * Limits that upstreams name: the state, and a fleet of entries without network
 * in simulated time.
 */

#define SECOND APR_USEC_PER_SEC
#define STEP (10 * 1000)
#define DATA_CENTERS 3
#define ENTRIES_MAX 98
#define SENT_MAX 200000

/* The rule: a window's length, and from when a limit and an entry count. */
#define WINDOW (4 * SECOND)
#define STABLE (3 * SECOND)
#define TOLD (SECOND / 2)

#define ANSWER_TIME (50 * 1000)
#define DEMAND_PER_S 4		   /* of each entry */
#define NOTICE_DELAY (1500 * 1000) /* until entries notice that one is gone */

#define NAMED_AT (5 * SECOND)
#define JOIN_AT (12 * SECOND)
#define DEATH_AT (14 * SECOND)
#define DEATHS 2
#define SLEEP_AT (17 * SECOND)
#define WAKE_AT (20 * SECOND)
#define RAISED_AT (30 * SECOND)
#define LOWERED_AT (36 * SECOND)
#define ENDED_AT (42 * SECOND)
#define USE_TIME (10 * SECOND) /* within which each entry uses an upstream */

struct entry {
	struct target_table table;
	struct random random;
	char id[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
	int is_up;
	int is_asleep;
	apr_time_t gone_at; /* when the others notice that it is gone */
	apr_time_t told_at; /* 0: not yet */
	apr_time_t used_at; /* last request to the limited upstream */
	/* Requests to it whose answer is due, oldest first. */
	apr_time_t due[64];
	int due_count;
};

struct fleet {
	int count;
	double limit;
	struct entry *entries;
	apr_time_t sent[SENT_MAX]; /* by entries that count in the rule */
	int sent_count;
};

static void list_upstreams(struct target_table *t, apr_time_t now)
{
	struct listed_upstream items[2];
	struct listing l = { .version = 1, .items = items, .count = 2 };
	int i;

	memset(items, 0, sizeof(items));
	for (i = 0; i < 2; i++) {
		snprintf(items[i].id, sizeof(items[i].id), "u%d", i);
		snprintf(items[i].service, sizeof(items[i].service), "s");
		snprintf(items[i].address, sizeof(items[i].address),
			 "10.0.0.%d:80", i + 1);
		snprintf(items[i].data_center, sizeof(items[i].data_center),
			 "d0");
		items[i].slots = 100;
		items[i].started_ms = 1;
	}
	target_apply_listing(t, &l, "d0", now);
}

static int is_known(const struct entry *e, apr_time_t now)
{
	return e->is_up || now < e->gone_at;
}

/* Sets the entries that e knows, itself first. */
static void update_entries(struct fleet *f, struct entry *e, apr_time_t now)
{
	struct limit_entry *list = calloc((size_t)f->count, sizeof(*list));
	int i, n = 1;

	for (i = 0; i < f->count; i++) {
		struct entry *x = &f->entries[i];
		struct limit_entry *to = x == e ? &list[0] : &list[n];

		if (x != e && !is_known(x, now))
			continue;
		n += x != e;
		memcpy(to->id, x->id, sizeof(to->id));
		memcpy(to->data_center, x->data_center,
		       sizeof(to->data_center));
	}
	target_set_entries(&e->table, list, n, n, now);
}

static void start_entry(struct fleet *f, int i, apr_time_t now)
{
	struct entry *e = &f->entries[i];

	memset(e, 0, sizeof(*e));
	snprintf(e->id, sizeof(e->id), "entry-%d", i);
	snprintf(e->data_center, sizeof(e->data_center), "d%d",
		 i % DATA_CENTERS);
	random_seed(&e->random, (uint64_t)(i + 3 + now / SECOND));
	target_table_init(&e->table);
	list_upstreams(&e->table, now);
	e->is_up = 1;
}

static void stop_entry(struct entry *e, apr_time_t now)
{
	e->is_up = 0;
	e->gone_at = now + NOTICE_DELAY;
	e->due_count = 0;
	target_table_destroy(&e->table);
}

/* The limit in force, or -1. */
static double limit_at(const struct fleet *f, apr_time_t now)
{
	if (now < NAMED_AT || now >= ENDED_AT)
		return -1;
	return now >= RAISED_AT && now < LOWERED_AT ? 2 * f->limit : f->limit;
}

static void receive_answers(const struct fleet *f, struct entry *e,
			    apr_time_t now)
{
	struct notice_time at = { now, now / 1000 };
	double limit;

	while (e->due_count && e->due[0] <= now) {
		apr_time_t asked_at = e->due[0] - ANSWER_TIME;

		memmove(e->due, e->due + 1, --e->due_count * sizeof(*e->due));
		target_record_finish(target_find(&e->table, "u0"), now);
		limit = limit_at(f, now);
		if (limit < 0) {
			target_end_limit(&e->table, "u0", 1, asked_at);
			continue;
		}
		target_record_limit(&e->table, "u0", 1, limit, &at);
		if (!e->told_at)
			e->told_at = now;
	}
}

static void send_request(struct fleet *f, struct entry *e, apr_time_t now)
{
	struct target_query q = { .service = "s" };
	struct target_choice c;
	struct target *u;

	target_choose(&e->table, &q, now, &e->random, &c);
	if (c.index < 0)
		return;
	u = &e->table.rows[c.index];
	target_record_start(u, now);
	if (strcmp(u->id, "u0") != 0 || e->due_count == 64) {
		target_record_finish(u, now);
		return;
	}
	e->due[e->due_count++] = now + ANSWER_TIME;
	e->used_at = now;
	if (e->told_at && now - e->told_at >= TOLD && now < ENDED_AT) {
		ck_assert_int_lt(f->sent_count, SENT_MAX);
		f->sent[f->sent_count++] = now;
	}
}

static void step_entry(struct fleet *f, struct entry *e, apr_time_t now)
{
	if (!e->is_up || e->is_asleep)
		return;
	if (now / STEP % 100 == 0)
		update_entries(f, e, now);
	receive_answers(f, e, now);
	if (random_below(&e->random, SECOND / STEP) < DEMAND_PER_S)
		send_request(f, e, now);
}

/* Entries join, die, and wake up late with what they knew before. */
static void change_fleet(struct fleet *f, apr_time_t now)
{
	int i;

	if (now == JOIN_AT)
		start_entry(f, f->count - 1, now);
	for (i = 0; now == DEATH_AT && i < DEATHS; i++)
		stop_entry(&f->entries[i * DATA_CENTERS], now);
	if (now == SLEEP_AT || now == WAKE_AT)
		f->entries[2 * DATA_CENTERS].is_asleep = now == SLEEP_AT;
}

/* Checks each window of the rule. While the limit is raised, that one counts. */
static void check_windows(const struct fleet *f, const char *what)
{
	int first = 0, i;

	for (i = 0; i < f->sent_count; i++) {
		apr_time_t at = f->sent[i];
		double limit = at >= RAISED_AT && at < LOWERED_AT + STABLE
				       ? 2 * f->limit
				       : f->limit;

		while (f->sent[first] <= at - WINDOW)
			first++;
		if (at < NAMED_AT + STABLE)
			continue;
		ck_assert_msg(i - first + 1 <=
				      1.5 * WINDOW / SECOND * limit + 5,
			      "%s: %d requests in 4 s until %d ms", what,
			      i - first + 1, (int)(at / 1000));
	}
}

static void run_fleet(int count, double limit)
{
	struct fleet *f = calloc(1, sizeof(*f));
	apr_time_t now,
		end = ENDED_AT + (count * 2 + 15) * 5 / 4 * SECOND + USE_TIME;
	char what[64];
	int i, demand = count / DATA_CENTERS * DEMAND_PER_S;
	double wanted = demand / 2.0;

	f->count = count;
	f->limit = limit;
	f->entries = calloc((size_t)count, sizeof(*f->entries));
	for (i = 0; i < count - 1; i++)
		start_entry(f, i, 0);
	for (now = 0; now < end; now += STEP) {
		change_fleet(f, now);
		for (i = 0; i < count; i++)
			step_entry(f, &f->entries[i], now);
	}
	snprintf(what, sizeof(what), "%d entries, limit %g", count, limit);
	check_windows(f, what);
	/* What the entries beside the upstream want of it is sent, up to L. */
	ck_assert_int_ge(f->sent_count,
			 (int)((limit < wanted ? limit : wanted) * 10));
	for (i = 0; i < count; i++) {
		if (!f->entries[i].is_up)
			continue;
		/* Everyone uses it again after the limit has ended. */
		ck_assert_msg(f->entries[i].used_at > end - USE_TIME,
			      "%s: entry %d used it last at %d ms", what, i,
			      (int)(f->entries[i].used_at / 1000));
		target_table_destroy(&f->entries[i].table);
	}
	free(f->entries);
	free(f);
}

static const int counts[] = { 9, 33, 98 };
static const double limits[] = { 0, 0.25, 1, 2.5, 7, 20 };

/*
 * Guards against entries that keep a limit each for itself, and so exceed it
 * together, and against such that never hear of its end.
 */
START_TEST(entries_keep_a_limit_together)
{
	run_fleet(counts[_i / 6], limits[_i % 6]);
}
END_TEST

START_TEST(few_entries_use_a_limited_upstream)
{
	ck_assert_int_eq(limit_count_users(0, 33), 0);
	ck_assert_int_eq(limit_count_users(0.25, 33), 2);
	ck_assert_int_eq(limit_count_users(0.25, 1), 1);
	ck_assert_int_eq(limit_count_users(1, 33), 3);
	ck_assert_int_eq(limit_count_users(7.9, 33), 9);
	ck_assert_int_eq(limit_count_users(32.5, 33), 33);
	ck_assert_int_eq(limit_count_users(1e300, 33), 33);
}
END_TEST

/* The shares of all entries add up to the limit, wherever the upstream is. */
START_TEST(shares_add_up_to_the_limit)
{
	struct limit_entry entries[33];
	double sum = 0, elsewhere = 0;
	int i;

	memset(entries, 0, sizeof(entries));
	for (i = 0; i < 33; i++) {
		snprintf(entries[i].id, sizeof(entries[i].id), "e%d", i);
		snprintf(entries[i].data_center, sizeof(entries[i].data_center),
			 "d%d", i % 3);
	}
	for (i = 0; i < 33; i++) {
		double share = limit_compute_share(entries, 33, entries[i].id,
						   "u", "d1", 2.5);

		sum += share;
		ck_assert(!share || i % 3 == 1);
		elsewhere += limit_compute_share(entries, 33, entries[i].id,
						 "u", "none", 2.5);
	}
	ck_assert_double_eq_tol(sum, 2.5, 1e-9);
	ck_assert_double_eq_tol(elsewhere, 2.5, 1e-9);
	ck_assert_double_eq(
		limit_compute_share(entries, 33, "e0", "u", "d0", 0), 0);
}
END_TEST

static void parse(struct answer_head *out, const char *value)
{
	platform_wire_ops.parse_answer_header("Server-Limit", value, out);
}

START_TEST(values_are_decimal_numbers)
{
	static const char *const malformed[] = { "-1",	"1e3", "soon", "",
						 "nan", "inf", "1 2",  "0x10" };
	struct answer_head a;
	size_t i;

	memset(&a, 0, sizeof(a));
	parse(&a, "0.25");
	ck_assert(a.has_limit && !a.is_malformed);
	ck_assert_double_eq(a.limit_per_s, 0.25);
	/* Of two, the lower one counts. */
	parse(&a, "7");
	ck_assert_double_eq(a.limit_per_s, 0.25);
	parse(&a, "0");
	ck_assert_double_eq(a.limit_per_s, 0);
	for (i = 0; i < sizeof(malformed) / sizeof(*malformed); i++) {
		memset(&a, 0, sizeof(a));
		parse(&a, malformed[i]);
		ck_assert_msg(!a.has_limit && a.is_malformed, "%s",
			      malformed[i]);
	}
	memset(&a, 0, sizeof(a));
	parse(&a, "99999999999999999999999999");
	ck_assert(a.has_limit);
}
END_TEST

#define AT(us) (&(struct notice_time){ (us), (us) / 1000 })

/* A table of one entry, which may use the whole limit of u0. */
static void init_table(struct target_table *t)
{
	struct limit_entry *self = calloc(1, sizeof(*self));

	target_table_init(t);
	list_upstreams(t, 0);
	snprintf(self->id, sizeof(self->id), "self");
	target_set_entries(t, self, 1, 1, 0);
}

static int allows(struct target_table *t, apr_time_t now)
{
	return limit_allows(&target_find(t, "u0")->limit, now);
}

START_TEST(limit_ends_with_a_later_answer_that_names_none)
{
	struct target_table t;

	init_table(&t);
	ck_assert(allows(&t, SECOND));
	ck_assert(target_record_limit(&t, "u0", 1, 1, AT(2 * SECOND)));
	ck_assert(!target_record_limit(&t, "u0", 1, 1, AT(2 * SECOND)));
	ck_assert(!allows(&t, 2 * SECOND));
	ck_assert(allows(&t, 3 * SECOND));
	/* The request was sent before the limit was named. */
	ck_assert(!target_end_limit(&t, "u0", 1, 2 * SECOND));
	ck_assert(!allows(&t, 2 * SECOND));
	ck_assert(target_end_limit(&t, "u0", 1, 2 * SECOND + 1));
	ck_assert(allows(&t, 2 * SECOND));
	/* Named again, with nothing saved. */
	ck_assert(target_record_limit(&t, "u0", 1, 0.5, AT(9 * SECOND)));
	ck_assert(!allows(&t, 10 * SECOND));
	ck_assert(allows(&t, 11 * SECOND));
	target_table_destroy(&t);
}
END_TEST

START_TEST(limit_outlives_the_list_but_not_the_process)
{
	struct listing none = { .version = 2 };
	struct target_table t;

	init_table(&t);
	target_record_limit(&t, "u0", 1, 0, AT(2 * SECOND));
	target_apply_listing(&t, &none, "d0", 3 * SECOND);
	list_upstreams(&t, 4 * SECOND);
	ck_assert(!allows(&t, 5 * SECOND));
	/* A process that started later at the same address names nothing. */
	target_find(&t, "u0")->started_ms = 3000;
	ck_assert(!notice_find(&t.notices, "u0", 3000));
	target_table_destroy(&t);
}
END_TEST

START_TEST(requests_within_a_limit_take_its_tokens)
{
	struct target_table t;
	struct target *u;

	init_table(&t);
	target_record_limit(&t, "u0", 1, 2, AT(0));
	u = target_find(&t, "u0");
	/* However long it was idle, one request is saved. */
	ck_assert(allows(&t, 60 * SECOND));
	target_record_start(u, 60 * SECOND);
	ck_assert(!allows(&t, 60 * SECOND));
	ck_assert_int_eq(limit_next_at(&u->limit, 60 * SECOND),
			 60 * SECOND + SECOND / 2);
	ck_assert(allows(&t, 60 * SECOND + SECOND / 2));
	/* A lower limit counts at once. */
	ck_assert(target_record_limit(&t, "u0", 1, 0.1, AT(61 * SECOND)));
	target_record_start(u, 61 * SECOND);
	ck_assert(!allows(&t, 70 * SECOND));
	ck_assert(allows(&t, 71 * SECOND + SECOND / 10));
	target_table_destroy(&t);
}
END_TEST

/* Guards against callers that wait although every upstream is at its limit. */
START_TEST(all_limited_is_told_with_the_next_time)
{
	struct target_query q = { .service = "s" };
	struct target_choice c;
	struct target_table t;
	struct random r;

	random_seed(&r, 1);
	init_table(&t);
	target_record_limit(&t, "u0", 1, 1, AT(0));
	target_record_limit(&t, "u1", 1, 0.5, AT(0));
	target_choose(&t, &q, SECOND / 2, &r, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert_str_eq(c.reason, "upstreams-limited");
	ck_assert_int_eq(c.paused_until, SECOND);
	ck_assert(!c.is_unservable);
	target_table_destroy(&t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("upstream-limit");
	TCase *t = tcase_create("upstream-limit");
	SRunner *r;
	int failed;

	tcase_add_test(t, few_entries_use_a_limited_upstream);
	tcase_add_test(t, shares_add_up_to_the_limit);
	tcase_add_test(t, values_are_decimal_numbers);
	tcase_add_test(t, limit_ends_with_a_later_answer_that_names_none);
	tcase_add_test(t, limit_outlives_the_list_but_not_the_process);
	tcase_add_test(t, requests_within_a_limit_take_its_tokens);
	tcase_add_test(t, all_limited_is_told_with_the_next_time);
	tcase_add_loop_test(t, entries_keep_a_limit_together, 0, 18);
	tcase_set_timeout(t, 240);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
