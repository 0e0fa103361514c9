#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "forward/reservation.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL
#define NOW (100 * SECOND)
#define SLOTS 4

static const struct engine_spec engine = { .slots = SLOTS,
					   .base_step_us = 7400,
					   .request_step_us = 38,
					   .prefill_tokens_per_s = 31900,
					   .steps_per_pass = 6,
					   .typical_prompt_tokens = 970,
					   .typical_answer_tokens = 106 };

static struct target_table table;
static struct service_retry_budget budget;
static struct releases releases;
static struct random generator;
static struct target_query query;
static struct reservation_terms terms;

/* One upstream with `running` requests, which has reported just now. */
static struct target *set_up(int running)
{
	struct target *u = &table.rows[0];

	memset(u, 0, sizeof(*u));
	memset(&budget, 0, sizeof(budget));
	memset(&query, 0, sizeof(query));
	table.count = 1;
	u->is_used = u->is_listed = u->is_local = 1;
	strcpy(u->id, "u0");
	strcpy(u->service, "s");
	u->slots = SLOTS;
	u->started_ms = 1;
	u->models[0].release = 1;
	strcpy(u->models[0].name, "m");
	u->model_count = 1;
	u->reported_at = NOW;
	u->running = running;
	u->slowdown = 1;
	budget.ratio = 0.2;
	budget.window_s = 10;
	budget.slack = 40;
	budget.entry_count = 1;
	query.service = "s";
	query.engine = &engine;
	query.model = "m";
	query.release_min = 1;
	/* What waits in its queue might begin too late. */
	query.queued_release_min = 2;
	terms = (struct reservation_terms){ .attempts = 1,
					    .runs = 1,
					    .runs_max = 2,
					    .expires_at = NOW + 6 * SECOND,
					    .releases = &releases,
					    .needs_free_slot = 1 };
	return u;
}

static int take(struct reservation *r)
{
	return !reservation_take(r, &table, &budget, &query, &terms, &generator,
				 NOW);
}

/* The slot was kept before the upstream named a limit, so it counts in none. */
START_TEST(place_from_before_a_limit_is_given_up)
{
	struct target *u = set_up(1);
	struct reservation r = { 0 };

	ck_assert(take(&r));
	u->limit.is_limited = 1;
	u->limit.limited_since = NOW + MS;
	ck_assert_ptr_null(reservation_use_slot(&r, &table, &query, NOW + MS));
	ck_assert_int_eq(u->in_flight, 0);
	u = set_up(1);
	u->limit.is_limited = 1;
	u->limit.limited_since = NOW - MS;
	u->limit.limit_per_s = u->limit.share_per_s = 1;
	u->limit.tokens = 1;
	u->limit.filled_at = NOW;
	ck_assert(take(&r));
	ck_assert(!limit_allows(&u->limit, NOW));
	ck_assert(reservation_use_slot(&r, &table, &query, NOW) == u);
}
END_TEST

/*
 * Guards against a place that is lost by its own slot: the upstream had room
 * for one request that begins at once, and counts as full once it is kept.
 */
START_TEST(place_in_the_last_free_slot_can_be_used)
{
	struct target *u = set_up(SLOTS - 1);
	struct reservation r = { 0 };

	ck_assert_int_eq(take(&r), 1);
	ck_assert_ptr_eq(reservation_use_slot(&r, &table, &query, NOW + 5 * MS),
			 u);
	ck_assert_int_eq(u->in_flight, 1);
}
END_TEST

/* Guards against a place that is lost as another request is sent there. */
START_TEST(place_can_be_used_after_another_request_was_sent_there)
{
	struct target *u = set_up(0);
	struct reservation r = { 0 };

	ck_assert_int_eq(take(&r), 1);
	target_record_start(u, NOW + 1 * MS);
	u->unanswered++;
	ck_assert_ptr_eq(reservation_use_slot(&r, &table, &query, NOW + 5 * MS),
			 u);
}
END_TEST

START_TEST(slot_and_retry_of_an_unused_place_come_back)
{
	struct target *u = set_up(0);
	int left = retry_budget_remaining(&budget, "s", NOW);
	struct reservation r = { 0 };

	ck_assert_int_eq(take(&r), 1);
	ck_assert_int_eq(u->in_flight, 1);
	ck_assert_int_eq(retry_budget_remaining(&budget, "s", NOW), left - 1);
	reservation_release(&r, &table, &budget, "s", NOW + 5 * MS);
	reservation_release(&r, &table, &budget, "s", NOW + 5 * MS);
	ck_assert_int_eq(u->in_flight, 0);
	ck_assert_int_eq(retry_budget_remaining(&budget, "s", NOW), left);
}
END_TEST

START_TEST(place_at_an_upstream_that_drains_is_not_used)
{
	struct target *u = set_up(0);
	struct reservation r = { 0 };

	ck_assert_int_eq(take(&r), 1);
	u->is_draining = 1;
	ck_assert_ptr_null(
		reservation_use_slot(&r, &table, &query, NOW + 5 * MS));
	ck_assert_int_eq(u->in_flight, 0);
	ck_assert_int_eq(r.has_retry, 1);
}
END_TEST

START_TEST(no_more_places_than_free_slots)
{
	struct target *u = set_up(SLOTS - 2);
	struct reservation r[3] = { { 0 } };

	query.queued_release_min = 1;
	ck_assert_int_eq(take(&r[0]), 1);
	ck_assert_int_eq(take(&r[1]), 1);
	ck_assert_int_eq(take(&r[2]), 0);
	ck_assert_int_eq(u->in_flight, 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("reservation");
	TCase *c = tcase_create("reservation");
	SRunner *r;
	int failed;

	target_table_init(&table);
	random_seed(&generator, 1);
	tcase_add_test(c, place_in_the_last_free_slot_can_be_used);
	tcase_add_test(c, place_from_before_a_limit_is_given_up);
	tcase_add_test(c,
		       place_can_be_used_after_another_request_was_sent_there);
	tcase_add_test(c, slot_and_retry_of_an_unused_place_come_back);
	tcase_add_test(c, place_at_an_upstream_that_drains_is_not_used);
	tcase_add_test(c, no_more_places_than_free_slots);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	target_table_destroy(&table);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
