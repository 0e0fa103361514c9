#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/listing.h"
#include "forward/target.h"

/*
 * Where a request may not go: regions, evacuations, and cold upstreams under the
 * load of fleets of 9, 36 and 98 entries.
 */

#define SECOND APR_USEC_PER_SEC
#define DATA_CENTERS 3
#define ENTRIES_MAX 98
#define STEP (5 * 1000)
#define SENT_MAX 4096

static const struct settings_region regions[] = { { "a", "north" },
						  { "b", "north" },
						  { "c", "south" } };

static const struct engine_spec engine = { .slots = 12,
					   .base_step_us = 9270,
					   .request_step_us = 23,
					   .prefill_tokens_per_s = 20700,
					   .steps_per_pass = 5,
					   .typical_prompt_tokens = 954,
					   .typical_answer_tokens = 95 };

static const struct cold_spec cold = { .per_s = 14,
				       .window_max = 14 * 1.5 + 5,
				       .lasts_us = 3 * SECOND };

static void apply_list(struct target_table *t, const char *data_center,
		       int count, int cold_ms, int sequence, apr_time_t now)
{
	struct fault_list faults = { 0 };
	json_t *list = json_array(), *o;
	struct listing *l;
	char *text;
	int i;

	for (i = 0; i < count; i++) {
		char id[16], address[32], place[2] = { (char)('a' + i % 3) };

		snprintf(id, sizeof(id), "u%d", i);
		snprintf(address, sizeof(address), "10.0.0.%d:80", i + 1);
		json_array_append_new(
			list,
			json_pack(
				"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:[{s:s,s:i}]}",
				"id", id, "service", "s", "address", address,
				"data_center", place, "slots", 12, "born_ms", 1,
				"sequence", sequence, "cold_ms", cold_ms,
				"models", "name", "m", "release", 1));
	}
	o = json_pack("{s:i,s:o}", "version", sequence, "upstreams", list);
	text = json_dumps(o, 0);
	l = listing_parse(text, strlen(text), &faults);
	ck_assert_ptr_nonnull(l);
	target_apply_listing(t, l, data_center, now);
	listing_release(l);
	free(text);
	json_decref(o);
}

static void table_start(struct target_table *t)
{
	target_table_init(t);
	t->regions = regions;
	t->region_count = 3;
	apply_list(t, "a", 3, 0, 1, SECOND);
}

static const char *choose(struct target_table *t, uint64_t excluded)
{
	struct target_query q = { .service = "s",
				  .regions_excluded = excluded };
	struct target_choice c;
	struct random r;

	random_seed(&r, 1);
	target_choose(t, &q, SECOND, &r, &c);
	return c.index < 0 ? c.reason : t->rows[c.index].data_center;
}

static uint64_t excluded_by(const char *name)
{
	char *names[] = { (char *)name };

	return region_excluded(regions, 3, names, *name ? 1 : 0);
}

/* Both lists bind; a name that nobody has allows nothing, no name allows all. */
START_TEST(regions_of_route_and_account_bind)
{
	struct target_table t;

	table_start(&t);
	ck_assert_str_eq(choose(&t, excluded_by("south")), "c");
	ck_assert_str_ne(choose(&t, excluded_by("north")), "c");
	ck_assert_str_eq(
		choose(&t, excluded_by("north") | excluded_by("south")),
		"no-upstream-in-region");
	ck_assert_str_eq(choose(&t, excluded_by("east")),
			 "no-upstream-in-region");
	ck_assert_uint_eq(excluded_by(""), 0);
	target_table_destroy(&t);
}
END_TEST

/* An upstream in a data centre without a region is in none of those allowed. */
START_TEST(a_data_center_without_a_region_is_excluded)
{
	struct target_table t;

	table_start(&t);
	t.region_count = 2;
	apply_list(&t, "a", 3, 0, 2, SECOND);
	ck_assert_int_eq(target_find(&t, "u2")->region, REGION_UNKNOWN);
	ck_assert_str_eq(choose(&t, excluded_by("south")),
			 "no-upstream-in-region");
	target_table_destroy(&t);
}
END_TEST

static void evacuate(struct target_table *t, const char *text, apr_time_t now)
{
	struct fault_list faults = { 0 };
	struct evacuations e;

	ck_assert_int_eq(evacuations_parse(text, strlen(text), &e, &faults), 0);
	target_set_evacuations(t, &e, now);
}

/* A place kept before an evacuation must not be used, a stale order neither. */
START_TEST(evacuated_upstreams_get_nothing_new)
{
	struct target_query q = { .service = "s" };
	struct target_table t;

	table_start(&t);
	evacuate(&t, "{\"version\":5,\"data_centers\":[\"a\",\"b\",\"zz\"]}",
		 SECOND);
	ck_assert_str_eq(choose(&t, 0), "c");
	ck_assert(!target_can_use_slot(target_find(&t, "u0"), &q, SECOND));
	ck_assert_str_eq(choose(&t, excluded_by("north")),
			 "upstreams-evacuated");
	evacuate(&t, "{\"version\":4,\"data_centers\":[]}", SECOND);
	ck_assert_str_eq(choose(&t, 0), "c");
	apply_list(&t, "a", 3, 0, 2, SECOND);
	ck_assert_str_eq(choose(&t, 0), "c");
	evacuate(&t, "{\"version\":6,\"data_centers\":[\"a\",\"b\",\"c\"]}",
		 SECOND);
	ck_assert_str_eq(choose(&t, 0), "upstreams-evacuated");
	evacuate(&t, "{\"version\":7,\"data_centers\":[\"c\"]}", SECOND);
	ck_assert_str_ne(choose(&t, 0), "c");
	/* They may have been started anew meanwhile. */
	ck_assert(target_is_cold(target_find(&t, "u0"), &cold, SECOND));
	ck_assert(!target_is_cold(target_find(&t, "u0"), &cold, 5 * SECOND));
	target_table_destroy(&t);
}
END_TEST

/* One odd name must not cost the others, an odd text nothing. */
START_TEST(odd_evacuations_cost_themselves)
{
	static const char *const odd[] = {
		"", "[]", "{\"version\":1}",
		"{\"version\":0,\"data_centers\":[]}",
		"{\"version\":1,\"data_centers\":[3]}"
	};
	struct fault_list faults = { 0 };
	struct evacuations e;
	char text[300];
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(*odd); i++)
		ck_assert_int_eq(
			evacuations_parse(odd[i], strlen(odd[i]), &e, &faults),
			-1);
	fault_list_clear(&faults);
	snprintf(text, sizeof(text),
		 "{\"version\":2,\"data_centers\":[\"\",\"%0200d\",\"b\"]}", 0);
	ck_assert_int_eq(evacuations_parse(text, strlen(text), &e, &faults), 0);
	ck_assert_int_eq(e.count, 1);
	ck_assert(evacuations_contain(&e, "b"));
}
END_TEST

/* Entries that all send to the upstreams of one data centre, which are cold. */
struct fleet {
	struct target_table *tables;
	int count;
	apr_time_t sent[SENT_MAX]; /* to the first upstream */
	int sent_count;
};

static void set_entries(struct fleet *f, int self, int known)
{
	struct limit_entry *list = calloc((size_t)known, sizeof(*list));
	int i;

	for (i = 0; i < known; i++) {
		int e = (self + i) % f->count;

		snprintf(list[i].id, sizeof(list[i].id), "e%d", e);
		list[i].data_center[0] = (char)('a' + e % DATA_CENTERS);
	}
	target_set_entries(&f->tables[self], list, known, known, SECOND);
}

static void fleet_start(struct fleet *f, int count, int cold_ms)
{
	int i;

	f->count = count;
	f->sent_count = 0;
	f->tables = calloc((size_t)count, sizeof(*f->tables));
	for (i = 0; i < count; i++) {
		char place[2] = { (char)('a' + i % DATA_CENTERS) };

		target_table_init(&f->tables[i]);
		apply_list(&f->tables[i], place, 1, cold_ms, 1, SECOND);
		set_entries(f, i, count);
	}
}

static void fleet_stop(struct fleet *f)
{
	int i;

	for (i = 0; i < f->count; i++)
		target_table_destroy(&f->tables[i]);
	free(f->tables);
}

/* Sends whenever an entry may, for 3 s; answers come after 50 ms. */
static void fleet_run(struct fleet *f)
{
	struct target_query q = { .service = "s",
				  .engine = &engine,
				  .cold = cold };
	struct target_choice c;
	struct random r;
	apr_time_t now;
	int i;

	random_seed(&r, 7);
	for (now = SECOND; now < 4 * SECOND; now += STEP) {
		for (i = 0; i < f->count; i++) {
			target_choose(&f->tables[i], &q, now, &r, &c);
			if (c.index < 0)
				continue;
			target_record_start(&f->tables[i].rows[c.index], now);
			target_record_finish(&f->tables[i].rows[c.index], now);
			ck_assert_int_lt(f->sent_count, SENT_MAX);
			f->sent[f->sent_count++] = now;
		}
	}
}

static int max_in_one_second(const struct fleet *f)
{
	int i, from = 0, most = 0;

	for (i = 0; i < f->sent_count; i++) {
		while (f->sent[i] - f->sent[from] >= SECOND)
			from++;
		if (i - from + 1 > most)
			most = i - from + 1;
	}
	return most;
}

/*
 * All entries have more to send than a cold upstream bears. It must not fall
 * over, and yet be of use: at least half of what it bears.
 */
START_TEST(cold_upstreams_bear_what_all_entries_send)
{
	static const int counts[] = { 5, 9, 14, 36, 98 };
	struct fleet f;

	fleet_start(&f, counts[_i], 3000);
	fleet_run(&f);
	ck_assert_int_le(max_in_one_second(&f), (int)cold.window_max);
	ck_assert_int_ge(f.sent_count, (int)(cold.per_s / 2) * 3);
	fleet_stop(&f);
}
END_TEST

/* Entries that have just started, and know of no other, may be many. */
START_TEST(entries_that_start_assume_others)
{
	struct fleet f;
	int i;

	fleet_start(&f, 36, 3000);
	for (i = 0; i < f.count; i++) {
		f.tables[i].entries_assumed = 32;
		set_entries(&f, i, 1);
	}
	fleet_run(&f);
	ck_assert_int_le(max_in_one_second(&f), (int)cold.window_max);
	fleet_stop(&f);
}
END_TEST

/*
 * Entries don't know yet that it has become cold: they send no more than they
 * could if it weren't, as an engine can't answer more.
 */
START_TEST(engines_are_paced_before_they_are_known_to_be_cold)
{
	struct fleet f;
	int allowed;

	fleet_start(&f, 36, 0);
	fleet_run(&f);
	allowed = (int)(cold.per_s * 1.5 * 3) + f.count;
	ck_assert_int_le(f.sent_count, allowed);
	fleet_stop(&f);
}
END_TEST

/*
 * After a loss of all, entries know nobody yet and nothing is cold: the pace must
 * not keep them from serving.
 */
START_TEST(entries_that_start_are_not_held_up)
{
	struct cold_entries e = { .local = 1, .assumed = 32 };
	struct cold_entries far = { .remote = 1,
				    .local_rank = -1,
				    .assumed = 32 };

	ck_assert_int_le(cold_spacing(&cold, &e, 0), SECOND / 10);
	ck_assert_int_le(cold_spacing(&cold, &far, 0), SECOND / 10);
	ck_assert_int_ge(cold_spacing(&cold, &e, 1), SECOND);
	ck_assert_int_eq(cold_spacing(&cold, &far, 1), -1);
}
END_TEST

/* A service that is never cold is not paced at all. */
START_TEST(nothing_is_paced_without_a_bound)
{
	struct cold_entries e = { .local = 12, .remote = 24 };
	struct cold_spec none = { 0 };

	ck_assert_int_eq(cold_spacing(&none, &e, 1), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("placement");
	TCase *c = tcase_create("placement");
	SRunner *runner;
	int failed;

	tcase_add_test(c, regions_of_route_and_account_bind);
	tcase_add_test(c, a_data_center_without_a_region_is_excluded);
	tcase_add_test(c, evacuated_upstreams_get_nothing_new);
	tcase_add_test(c, odd_evacuations_cost_themselves);
	tcase_add_loop_test(c, cold_upstreams_bear_what_all_entries_send, 0, 5);
	tcase_add_test(c, entries_that_start_assume_others);
	tcase_add_test(c, engines_are_paced_before_they_are_known_to_be_cold);
	tcase_add_test(c, entries_that_start_are_not_held_up);
	tcase_add_test(c, nothing_is_paced_without_a_bound);
	suite_add_tcase(s, c);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
