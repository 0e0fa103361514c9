#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/listing.h"
#include "forward/target.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL

static const struct engine_spec engine = { .slots = 16,
					   .base_step_us = 7400,
					   .request_step_us = 38,
					   .prefill_tokens_per_s = 31900,
					   .steps_per_pass = 6,
					   .typical_prompt_tokens = 970,
					   .typical_answer_tokens = 106 };

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

static void create_table(struct target_table *t, int count, const char *models)
{
	struct listing *l = listing_of(count, models);

	target_table_init(t);
	target_apply_listing(t, l, "a", SECOND);
	listing_release(l);
}

static void report(struct target_table *t, int upstream, int running, int busy,
		   uint64_t release, apr_time_t now)
{
	static uint64_t sequence;
	struct target_report r = { .agent_boot = 1, .sequence = ++sequence };

	snprintf(r.address, sizeof(r.address), "10.0.0.%d:80", upstream + 1);
	r.started_ms = 1;
	r.running = running;
	r.is_busy = busy;
	r.slowdown = 1;
	r.model_count = release ? 1 : 0;
	snprintf(r.models[0].name, sizeof(r.models[0].name), "m");
	r.models[0].release = release;
	ck_assert_int_ge(target_merge_report(t, &r, now), 0);
}

static struct target_query query_of(void)
{
	struct target_query q = { .service = "s",
				  .engine = &engine,
				  .model = "m" };

	return q;
}

static int count_eligible(struct target_table *t, apr_time_t now)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;

	random_seed(&random, 5);
	target_choose(t, &q, now, &random, &c);
	return c.eligible;
}

static void apply_list(struct target_table *t, int count, apr_time_t now)
{
	struct listing *l = listing_of(count, RUNS_ONE);

	target_apply_listing(t, l, "a", now);
	listing_release(l);
}

START_TEST(only_eligible_upstreams_are_chosen)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;
	int i;

	random_seed(&r, 1);
	create_table(&t, 4, RUNS_ONE);
	for (i = 0; i < 4; i++)
		report(&t, i, 0, i == 0, i == 3 ? 2 : 1, SECOND);
	target_find(&t, "u1")->is_draining = 1;
	q.excluded[q.excluded_count++] = "u2";
	for (i = 0; i < 50; i++) {
		target_choose(&t, &q, SECOND, &r, &c);
		ck_assert_int_eq(c.index, 3);
	}
	q.excluded[q.excluded_count++] = "u3";
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_eq(c.index, -1);
	q = query_of();
	q.release_min = 3;
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_str_eq(c.reason, "version-nowhere");
	target_table_destroy(&t);
}
END_TEST

START_TEST(equal_upstreams_share_requests)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;
	int i, counts[3] = { 0 };

	random_seed(&r, 3);
	create_table(&t, 3, RUNS_ONE);
	for (i = 0; i < 3; i++)
		t.rows[i].is_local = 1;
	for (i = 0; i < 900; i++) {
		target_choose(&t, &q, SECOND, &r, &c);
		counts[c.index]++;
	}
	for (i = 0; i < 3; i++)
		ck_assert_int_gt(counts[i], 200);
	target_table_destroy(&t);
}
END_TEST

START_TEST(ejected_upstream_is_chosen_when_all_are_ejected)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random r;

	random_seed(&r, 1);
	create_table(&t, 2, RUNS_ONE);
	health_record_outcome(&target_find(&t, "u0")->health,
			      HEALTH_UNRESPONSIVE, SECOND);
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_eq(c.index, 1);
	health_record_outcome(&target_find(&t, "u1")->health,
			      HEALTH_UNRESPONSIVE, SECOND);
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert_int_ge(c.index, 0);
	ck_assert_int_eq(c.is_ejected, 1);
	target_table_destroy(&t);
}
END_TEST

START_TEST(restart_under_same_id_is_another_process)
{
	struct target_report r = { .address = "10.0.0.1:80",
				   .started_ms = 7,
				   .agent_boot = 1,
				   .sequence = 99 };
	struct target_table t;

	create_table(&t, 1, RUNS_ONE);
	/*
	 * The report is of a process that is not in the list, or not any more.
	 */
	ck_assert_int_eq(target_merge_report(&t, &r, SECOND), -1);
	r.started_ms = 1;
	ck_assert_int_ge(target_merge_report(&t, &r, SECOND), 0);
	ck_assert_int_eq(target_merge_report(&t, &r, SECOND),
			 -1); /* duplicate */
	target_table_destroy(&t);
}
END_TEST

/* All machines lose power, and the list still names the earlier processes. */
START_TEST(report_of_later_process_excludes_listed_one)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	struct target_report r = { .agent_boot = 9, .sequence = 1 };

	random_seed(&random, 3);
	create_table(&t, 1, RUNS_ONE);
	target_choose(&t, &q, 2 * SECOND, &random, &c);
	ck_assert_int_eq(c.index, 0);
	ck_assert(!c.is_unservable);
	snprintf(r.address, sizeof(r.address), "10.0.0.1:80");
	r.started_ms = 5;
	ck_assert_int_eq(target_merge_report(&t, &r, 2 * SECOND), -1);
	target_choose(&t, &q, 2 * SECOND, &random, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert(c.is_unservable);
	/* The only upstream was tried and full: it may have room soon. */
	apply_list(&t, 1, 2 * SECOND);
	t.rows[0].is_replaced = 0;
	q.excluded[0] = "u0";
	q.excluded_count = 1;
	target_choose(&t, &q, 2 * SECOND, &random, &c);
	ck_assert_str_eq(c.reason, "upstreams-tried");
	ck_assert(!c.is_unservable);
	target_table_destroy(&t);
}
END_TEST

/* The platform's store was unavailable, and most entries expired meanwhile. */
START_TEST(entries_that_expire_together_are_used_for_two_seconds)
{
	struct target_table t;

	create_table(&t, 8, RUNS_ONE);
	/* A single entry that disappears has left. */
	apply_list(&t, 7, 2 * SECOND);
	ck_assert_int_eq(count_eligible(&t, 2 * SECOND), 7);
	apply_list(&t, 1, 3 * SECOND);
	ck_assert_int_eq(count_eligible(&t, 3 * SECOND), 7);
	ck_assert_int_eq(count_eligible(&t, 4 * SECOND + 900 * MS), 7);
	/* Some are listed again, the grace period of the others has ended. */
	apply_list(&t, 4, 4 * SECOND);
	ck_assert_int_eq(count_eligible(&t, 5 * SECOND), 4);
	target_table_destroy(&t);
}
END_TEST

/* A machine's link becomes slow, and its queue grows to half a second. */
START_TEST(congested_upstream_is_chosen_last)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	struct target_report r = { .agent_boot = 1,
				   .started_ms = 1,
				   .slowdown = 1 };
	apr_time_t now = 10 * SECOND, skew = 777 * SECOND;
	int i, j, chosen = 0;

	random_seed(&random, 4);
	create_table(&t, 2, RUNS_ONE);
	r.model_count = 1;
	snprintf(r.models[0].name, sizeof(r.models[0].name), "m");
	r.models[0].release = 1;
	for (i = 0; i < 40; i++, now += SECOND / 20) {
		for (j = 0; j < 2; j++) {
			int late = j == 0 && i >= 20 ? 500 * MS : 3 * MS;

			snprintf(r.address, sizeof(r.address), "10.0.0.%d:80",
				 j + 1);
			r.sequence++;
			r.sent_at = now + skew - late;
			r.running = j ? 10 : 0;
			target_merge_report(&t, &r, now);
		}
	}
	for (i = 0; i < 50; i++) {
		target_choose(&t, &q, now, &random, &c);
		chosen += c.index == 0;
	}
	ck_assert_int_eq(chosen, 0);
	ck_assert_double_lt(c.backlog_us, 100 * MS);
	ck_assert(target_is_congested(&t.rows[0]));
	ck_assert(!target_is_congested(&t.rows[1]));
	target_table_destroy(&t);
}
END_TEST

/* Links are slow while a release is fetched, and the older release expires. */
START_TEST(expiring_release_serves_only_requests_that_start_at_once)
{
	struct target_table t;
	struct target_query q = query_of();
	struct target_choice c;
	struct random random;
	apr_time_t now = 10 * SECOND;

	random_seed(&random, 8);
	create_table(&t, 1, RUNS_ONE);
	q.release_min = 1;
	q.queued_release_min = 2;
	report(&t, 0, 3, 0, 1, now);
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, 0);
	/* A request would wait for a slot. */
	report(&t, 0, 16, 0, 1, now);
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	ck_assert_str_eq(c.reason, "upstreams-full");
	ck_assert(!c.is_unservable);
	/* An earlier request has no byte of an answer yet. */
	report(&t, 0, 3, 0, 1, now);
	t.rows[0].unanswered = 1;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	t.rows[0].unanswered = 0;
	/* No report is recent enough. */
	target_choose(&t, &q, now + SECOND, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* A request would wait in a network queue. */
	report(&t, 0, 3, 0, 1, now);
	t.rows[0].report_delay = 400 * MS;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* The older release stays valid: the upstream is eligible again. */
	q.queued_release_min = 1;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, 0);
	target_table_destroy(&t);
}
END_TEST

/*
 * Guards against one ejected upstream that receives the requests of all others
 * while these take only what they begin at once.
 */
START_TEST(ejected_upstream_of_expiring_release_gets_no_waiting_requests)
{
	struct target_query q = query_of();
	struct target_choice c;
	struct target_table t;
	struct random random;
	apr_time_t now = 10 * SECOND;

	random_seed(&random, 9);
	create_table(&t, 2, RUNS_ONE);
	report(&t, 0, 3, 0, 1, now);
	report(&t, 1, 16, 0, 1, now);
	q.release_min = 1;
	q.queued_release_min = 2;
	t.rows[0].unanswered = 1;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* Its slots are taken and requests of this entry wait there. */
	t.rows[1].unanswered = 5;
	t.rows[1].health.ejected_until = now + SECOND;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	/* The same for one whose probe has not been answered. */
	t.rows[1].health.ejected_until = now - MS;
	t.rows[1].health.is_probing = 1;
	t.rows[1].health.probe_started_at = now - 100 * MS;
	target_choose(&t, &q, now, &random, &c);
	ck_assert_int_eq(c.index, -1);
	target_table_destroy(&t);
}
END_TEST

START_TEST(long_streams_block_an_order)
{
	struct target_table t;
	struct target *u;

	create_table(&t, 1, RUNS_ONE);
	report(&t, 0, 9, 1, 1, SECOND);
	report(&t, 0, 3, 1, 1, SECOND + 900 * MS);
	u = target_find(&t, "u0");
	ck_assert_int_eq(target_has_blocked_order(u, 0, SECOND + 900 * MS), 1);
	report(&t, 0, 9, 1, 1, SECOND + 950 * MS);
	ck_assert_int_eq(target_has_blocked_order(u, 0, SECOND + 950 * MS), 0);
	report(&t, 0, 0, 0, 2, SECOND + 990 * MS);
	ck_assert_int_eq(target_has_blocked_order(u, 0, SECOND + 990 * MS), 0);
	target_table_destroy(&t);
}
END_TEST

START_TEST(upstreams_missing_in_a_new_epoch_are_used_for_two_seconds)
{
	struct target_table t;
	struct listing *l = listing_of(1, RUNS_ONE);
	struct target_query q = { .service = "s" };
	struct target_choice c;
	struct random random;

	random_seed(&random, 1);
	create_table(&t, 3, RUNS_ONE);
	l->epoch = 1;
	q.excluded[q.excluded_count++] = "u0";
	target_apply_listing(&t, l, "a", 2 * SECOND);
	target_choose(&t, &q, 3 * SECOND, &random, &c);
	ck_assert_int_ge(c.index, 1);
	target_choose(&t, &q, 5 * SECOND, &random, &c);
	ck_assert_int_eq(c.index, -1);
	listing_release(l);
	target_table_destroy(&t);
}
END_TEST

START_TEST(a_suspect_goes_to_two_upstreams_that_are_the_same_for_all)
{
	struct target_query q = query_of();
	struct target_table t, other;
	struct target_choice c;
	struct digest key;
	struct random r;
	int used[8] = { 0 };
	int i, count = 0;

	random_seed(&r, 1);
	create_table(&t, 8, RUNS_ONE);
	create_table(&other, 8, RUNS_ONE);
	digest_of("part", 4, &key);
	for (i = 0; i < 100; i++) {
		struct target_table *table = i % 2 ? &t : &other;

		q = query_of();
		target_restrict(table, &q, &key, SECOND);
		target_choose(table, &q, SECOND, &r, &c);
		ck_assert_int_ge(c.index, 0);
		used[c.index]++;
	}
	for (i = 0; i < 8; i++)
		count += used[i] > 0;
	ck_assert_int_le(count, 2);
	ck_assert_int_eq(q.allowed_count, 2);
	ck_assert_int_eq(used[q.allowed[0]] + used[q.allowed[1]], 100);
	target_table_destroy(&t);
	target_table_destroy(&other);
}
END_TEST

START_TEST(a_suspect_is_never_left_without_an_upstream)
{
	struct target_query q = query_of();
	struct target_table t;
	struct target_choice c;
	struct digest key;
	struct random r;
	int i, left;

	random_seed(&r, 1);
	create_table(&t, 5, RUNS_ONE);
	digest_of("part", 4, &key);
	/* The upstream that it chose goes each time. */
	for (left = 5; left; left--) {
		q = query_of();
		target_restrict(&t, &q, &key, SECOND);
		ck_assert_int_eq(q.allowed_count, left < 2 ? left : 2);
		target_choose(&t, &q, SECOND, &r, &c);
		ck_assert_int_ge(c.index, 0);
		t.rows[c.index].is_draining = 1;
	}
	/* Ejected ones are chosen when there is no other. */
	for (i = 0; i < 5; i++) {
		t.rows[i].is_draining = 0;
		t.rows[i].health.ejected_until = 2 * SECOND;
	}
	target_restrict(&t, &q, &key, SECOND);
	ck_assert_int_eq(q.allowed_count, 0);
	target_choose(&t, &q, SECOND, &r, &c);
	ck_assert(c.index >= 0 && c.is_ejected);
	target_table_destroy(&t);
}
END_TEST

START_TEST(a_later_process_at_the_address_proves_the_end_of_one)
{
	struct target_table t;

	create_table(&t, 2, RUNS_ONE);
	ck_assert(!target_is_replaced(&t, "u0", "10.0.0.1:80", 1));
	ck_assert(!target_is_replaced(&t, "gone", "10.0.0.9:80", 1));
	/* The row of another id is at the address, this one has none. */
	ck_assert(target_is_replaced(&t, "gone", "10.0.0.1:80", 1));
	/* Started again under the same id. */
	t.rows[0].started_ms = 2;
	ck_assert(target_is_replaced(&t, "u0", "10.0.0.1:80", 1));
	ck_assert(!target_is_replaced(&t, "u0", "10.0.0.1:80", 2));
	/* An answer or a report came from another process. */
	t.rows[1].is_replaced = 1;
	ck_assert(target_is_replaced(&t, "u1", "10.0.0.2:80", 1));
	target_table_destroy(&t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("target");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, only_eligible_upstreams_are_chosen);
	tcase_add_test(tc, equal_upstreams_share_requests);
	tcase_add_test(tc, ejected_upstream_is_chosen_when_all_are_ejected);
	tcase_add_test(tc, restart_under_same_id_is_another_process);
	tcase_add_test(tc, report_of_later_process_excludes_listed_one);
	tcase_add_test(tc,
		       entries_that_expire_together_are_used_for_two_seconds);
	tcase_add_test(tc, congested_upstream_is_chosen_last);
	tcase_add_test(
		tc, expiring_release_serves_only_requests_that_start_at_once);
	tcase_add_test(
		tc,
		ejected_upstream_of_expiring_release_gets_no_waiting_requests);
	tcase_add_test(tc, long_streams_block_an_order);
	tcase_add_test(
		tc, upstreams_missing_in_a_new_epoch_are_used_for_two_seconds);
	tcase_add_test(
		tc, a_suspect_goes_to_two_upstreams_that_are_the_same_for_all);
	tcase_add_test(tc, a_suspect_is_never_left_without_an_upstream);
	tcase_add_test(tc,
		       a_later_process_at_the_address_proves_the_end_of_one);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
