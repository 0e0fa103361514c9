#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/declared.h"
#include "config/document.h"
#include "forward/release.h"

/*
 * Limits on releases in processes that did not see every document: what they
 * are told, or count from when nobody tells.
 */

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL
#define LIMIT_MS 8000

static struct releases table;

static void clear_table(void)
{
	memset(&table, 0, sizeof(table));
}

/* Returns a document with `count` models, the first named m<first>. */
static struct document *document_from(uint64_t revision, uint64_t release,
				      int first, int count)
{
	struct fault_list faults = { 0 };
	char hex[DIGEST_HEX_SIZE], *text = malloc(32768);
	struct document *d;
	int i, n;

	ck_assert_ptr_nonnull(text);
	n = sprintf(text,
		    "{\"revision\":%llu,\"accounts\":[{\"account\":\"x\","
		    "\"models\":[",
		    (unsigned long long)revision);
	for (i = 0; i < count; i++) {
		char name[16];

		snprintf(name, sizeof(name), "m%d", first + i);
		compute_release_version(name, release, hex);
		n += sprintf(text + n,
			     "%s{\"name\":\"%s\",\"manifest\":\"%s\","
			     "\"release\":%llu,\"upstreams\":[\"*\"]}",
			     i ? "," : "", name, hex,
			     (unsigned long long)release);
	}
	n += sprintf(text + n, "]}]}");
	d = document_parse(text, (size_t)n, &faults);
	ck_assert_ptr_nonnull(d);
	free(text);
	return d;
}

static struct document *document_with_models(uint64_t revision,
					     uint64_t release, int count)
{
	return document_from(revision, release, 0, count);
}

static struct document *document_of(uint64_t revision, uint64_t release)
{
	return document_with_models(revision, release, 1);
}

/*
 * Returns the next document of a process that learns of a release from the
 * platform, and drops the former one.
 */
static struct document *learn(struct document *old, uint64_t release,
			      apr_time_t declared_at)
{
	struct document *d =
		document_with_models(old ? old->revision + 1 : 1, release,
				     old ? old->model_count : 1);

	document_keep_releases(d, old);
	document_copy_declared(d, old);
	document_set_unknown_declared(d, old, declared_at);
	document_unref(old);
	return d;
}

/*
 * Returns the document of a process that takes over a peer's at `now` and whose
 * own one, which may be NULL, was current until known_until.
 */
static struct document *pull(struct document *old, const struct document *peer,
			     apr_time_t known_until, apr_time_t now)
{
	struct document *d = document_with_models(
		peer->revision, peer->models[0].release, peer->model_count);
	config_ages_reply rep = { { 0 } };

	document_keep_releases(d, old);
	ck_assert_int_gt(document_copy_declared(d, old), 0);
	document_fill_ages(peer, &rep, now);
	ck_assert_uint_le(rep.ages.ages_len, CONFIG_MODELS_MAX);
	document_set_ages(d, &rep, now);
	document_set_unknown_declared(d, old, known_until);
	xdr_free((xdrproc_t)xdr_config_ages_reply, &rep);
	document_unref(old);
	return d;
}

static void apply(const struct document *d, apr_time_t now)
{
	releases_apply_document(&table, d, LIMIT_MS, now);
}

static apr_time_t expiry_ms(uint64_t release)
{
	return release_find_expiry(&table, "m0", release) / MS;
}

/* Releases 1 (before the start of all), 2 at 18.05 s and 3 at 20.04 s. */
static struct document *peer_with_three(void)
{
	struct document *d = learn(NULL, 1, 0);

	d = learn(d, 2, 18050 * MS);
	return learn(d, 3, 20040 * MS);
}

/*
 * Guards against requests that are sent to a release for too long: the entry
 * had stood still while the next one was declared, and saw only the one after.
 */
START_TEST(process_that_missed_a_release_keeps_its_limit)
{
	struct document *peer = peer_with_three();
	struct document *d = learn(NULL, 1, 0);

	clear_table();
	apply(d, 0);
	d = pull(d, peer, 17 * SECOND, 24 * SECOND);
	apply(d, 24 * SECOND);
	ck_assert_int_eq(expiry_ms(1), 26050);
	ck_assert_int_eq(expiry_ms(2), 28040);
	ck_assert_int_eq(expiry_ms(3), 0);
	ck_assert_uint_eq(release_find_min(&table, "m0", 26050 * MS), 2);
	document_unref(peer);
	document_unref(d);
}
END_TEST

/* The same for one that starts between, and for one that it tells in turn. */
START_TEST(process_that_starts_late_learns_all_limits)
{
	struct document *peer = peer_with_three();
	struct document *first = pull(NULL, peer, 0, 24 * SECOND);
	struct document *second = pull(NULL, first, 0, 25 * SECOND);

	clear_table();
	apply(second, 25 * SECOND);
	ck_assert_int_eq(expiry_ms(1), 26050);
	ck_assert_int_eq(expiry_ms(2), 28040);
	document_unref(peer);
	document_unref(first);
	document_unref(second);
}
END_TEST

/* Guards against limits that are lost with a document of the same release. */
START_TEST(limits_outlast_later_documents_and_older_copies)
{
	struct document *peer = peer_with_three();
	struct document *d;

	peer = learn(peer, 3, 21 * SECOND);
	peer = learn(peer, 2, 22 * SECOND); /* older copy of the store */
	ck_assert_uint_eq(peer->models[0].release, 3);
	d = pull(NULL, peer, 0, 24 * SECOND);
	clear_table();
	apply(d, 24 * SECOND);
	ck_assert_int_eq(expiry_ms(1), 26050);
	ck_assert_int_eq(expiry_ms(2), 28040);
	document_unref(peer);
	document_unref(d);
}
END_TEST

/* Numbers may rise by more than one without a release in between. */
START_TEST(jump_of_numbers_that_a_peer_saw_does_not_shorten_the_limit)
{
	struct document *peer = learn(NULL, 1, 0);
	struct document *d = learn(NULL, 1, 0);

	peer = learn(peer, 5, 20 * SECOND);
	clear_table();
	apply(d, 0);
	d = pull(d, peer, 10 * SECOND, 21 * SECOND);
	apply(d, 21 * SECOND);
	ck_assert_int_eq(expiry_ms(1), 28000);
	document_unref(peer);
	document_unref(d);
}
END_TEST

/*
 * Applies a release that was declared at 20 s, after release 1, from a peer that
 * tells the newest one only. Release 1 was known to be the newest until 17 s.
 */
static void apply_from_older_build(uint64_t release)
{
	struct document *peer = document_of(7, release);
	struct document *d = learn(NULL, 1, 0);

	peer->models[0].declared_at = 20 * SECOND;
	clear_table();
	apply(d, 0);
	d = pull(d, peer, 17 * SECOND, 21 * SECOND);
	apply(d, 21 * SECOND);
	document_unref(peer);
	document_unref(d);
}

/*
 * Guards against a limit that counts from the last release alone when nobody
 * knows those in between: older ones count from when the process last knew.
 */
START_TEST(release_that_nobody_saw_counts_from_the_last_known_moment)
{
	apply_from_older_build(4);
	ck_assert_int_eq(expiry_ms(1), 25000);
	ck_assert_int_le(expiry_ms(2), 25000);
	ck_assert_int_eq(expiry_ms(3), 28000);
}
END_TEST

/* The next number needs nobody to know what was in between. */
START_TEST(next_number_leaves_no_gap)
{
	apply_from_older_build(2);
	ck_assert_int_eq(expiry_ms(1), 28000);
}
END_TEST

static void apply_release(uint64_t release, apr_time_t declared_at,
			  apr_time_t now)
{
	struct document *d = document_of(release, release);

	d->models[0].declared_at = declared_at;
	apply(d, now);
	document_unref(d);
}

/* Guards against a limit that is never recorded, as a later one came first. */
START_TEST(release_that_arrives_after_a_newer_one_limits_older_ones)
{
	clear_table();
	apply_release(1, 0, 0);
	apply_release(3, 20 * SECOND, 21 * SECOND);
	apply_release(2, 18 * SECOND, 22 * SECOND);
	ck_assert_int_eq(expiry_ms(1), 26000);
	ck_assert_int_eq(expiry_ms(2), 28000);
	ck_assert_uint_eq(release_find_min(&table, "m0", 26 * SECOND), 2);
	ck_assert_uint_eq(release_find_min(&table, "m0", 28 * SECOND), 3);
}
END_TEST

/* Guards against a limit that gets later as many releases follow. */
START_TEST(many_releases_within_the_limit_do_not_extend_it)
{
	struct document *d = learn(NULL, 1, 0), *late;
	int i;

	clear_table();
	apply(d, 0);
	for (i = 0; i < 3 * RELEASE_CHANGES_MAX; i++) {
		apr_time_t now = 10 * SECOND + i * 100 * MS;

		d = learn(d, (uint64_t)i + 2, now);
		apply(d, now);
	}
	ck_assert_int_eq(expiry_ms(1), 18000);
	ck_assert_int_le(expiry_ms(5), 18400);
	ck_assert_int_eq(expiry_ms((uint64_t)i), 18000 + (i - 1) * 100);
	/* A process that is told of them has no later limits. */
	late = pull(NULL, d, 0, 13 * SECOND);
	clear_table();
	apply(late, 13 * SECOND);
	ck_assert_int_le(expiry_ms(1), 18000);
	ck_assert_int_le(expiry_ms(5), 18400);
	ck_assert_int_eq(expiry_ms((uint64_t)i), 18000 + (i - 1) * 100);
	document_unref(d);
	document_unref(late);
}
END_TEST

/* Every model of the largest table is told with the release before. */
START_TEST(ages_of_many_models_fit_into_a_reply)
{
	struct document *peer, *d;
	int i;

	peer = document_with_models(1, 1, RELEASE_MODELS_MAX);
	d = document_with_models(1, 1, RELEASE_MODELS_MAX);
	for (i = 0; i < 5; i++)
		peer = learn(peer, (uint64_t)i + 2, (20 + i) * SECOND);
	d = pull(d, peer, 19 * SECOND, 25 * SECOND);
	clear_table();
	apply(d, 25 * SECOND);
	for (i = 0; i < RELEASE_MODELS_MAX; i++) {
		const char *name = d->models[i].name;

		ck_assert_int_le(release_find_expiry(&table, name, 1),
				 28 * SECOND);
		ck_assert_int_eq(release_find_expiry(&table, name, 5),
				 32 * SECOND);
	}
	document_unref(peer);
	document_unref(d);
}
END_TEST

/* Guards against models without a limit, as others before them are gone. */
START_TEST(models_that_are_gone_make_room)
{
	int i;

	clear_table();
	for (i = 0; i < 3 * RELEASE_MODELS_MAX; i++) {
		struct document *d = document_from((uint64_t)i + 1, 2, i, 2);
		int j;

		for (j = 0; j < 2; j++)
			d->models[j].declared_at = (10 + i) * SECOND;
		apply(d, (10 + i) * SECOND);
		for (j = 0; j < 2; j++)
			ck_assert_int_gt(release_find_expiry(
						 &table, d->models[j].name, 1),
					 0);
		document_unref(d);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("release");
	TCase *t = tcase_create("release");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(t, process_that_missed_a_release_keeps_its_limit);
	tcase_add_test(t, process_that_starts_late_learns_all_limits);
	tcase_add_test(t, limits_outlast_later_documents_and_older_copies);
	tcase_add_test(
		t, jump_of_numbers_that_a_peer_saw_does_not_shorten_the_limit);
	tcase_add_test(
		t, release_that_nobody_saw_counts_from_the_last_known_moment);
	tcase_add_test(t, next_number_leaves_no_gap);
	tcase_add_test(
		t, release_that_arrives_after_a_newer_one_limits_older_ones);
	tcase_add_test(t, many_releases_within_the_limit_do_not_extend_it);
	tcase_add_test(t, ages_of_many_models_fit_into_a_reply);
	tcase_add_test(t, models_that_are_gone_make_room);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
