#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/declared.h"
#include "config/document.h"
#include "forward/release.h"

#define SECOND APR_USEC_PER_SEC
#define MS 1000LL

static struct document *document_of(uint64_t revision, uint64_t release)
{
	struct fault_list faults = { 0 };
	char hex[DIGEST_HEX_SIZE], text[512];
	struct document *d;
	int n;

	compute_release_version("m", release, hex);
	n = snprintf(text, sizeof(text),
		     "{\"revision\":%llu,\"accounts\":[{\"account\":\"a\","
		     "\"models\":[{\"name\":\"m\",\"manifest\":\"%s\","
		     "\"release\":%llu,\"upstreams\":[\"*\"]}]}]}",
		     (unsigned long long)revision, hex,
		     (unsigned long long)release);
	d = document_parse(text, (size_t)n, &faults);
	ck_assert_ptr_nonnull(d);
	return d;
}

/* A store that returns from an older copy names an earlier release. */
START_TEST(releases_of_a_newer_document_do_not_step_back)
{
	struct document *old = document_of(5, 4), *d = document_of(6, 3);
	struct document *later = document_of(7, 6);

	document_keep_releases(d, NULL);
	ck_assert_int_eq(d->models[0].release, 3);
	document_keep_releases(d, old);
	ck_assert_int_eq(d->models[0].release, 4);
	ck_assert_str_eq(d->models[0].version, old->models[0].version);
	document_keep_releases(later, d);
	ck_assert_int_eq(later->models[0].release, 6);
	document_unref(old);
	document_unref(d);
	document_unref(later);
}
END_TEST

/* Applies a document with a release at now; declared_at is 0 if not known. */
static void declare(struct releases *r, uint64_t release,
		    apr_time_t declared_at, apr_time_t now)
{
	struct document *d = document_of(release, release);

	d->models[0].declared_at = declared_at;
	releases_apply_document(r, d, 8000, now);
	document_unref(d);
}

START_TEST(second_release_keeps_minimum_of_first)
{
	static struct releases r;

	declare(&r, 1, 0, 0);
	declare(&r, 2, 10 * SECOND, 10 * SECOND);
	declare(&r, 3, 13 * SECOND, 13 * SECOND);
	ck_assert_uint_le(release_find_min(&r, "m", 16 * SECOND), 1);
	ck_assert_uint_eq(release_find_min(&r, "m", 18 * SECOND), 2);
	ck_assert_uint_eq(release_find_min(&r, "m", 19 * SECOND), 2);
	ck_assert_uint_eq(release_find_min(&r, "m", 21 * SECOND), 3);
	ck_assert_uint_eq(release_find_min(&r, "other", 21 * SECOND), 0);
	ck_assert_uint_le(release_find_send_min(&r, "m", 16 * SECOND), 1);
	ck_assert_uint_eq(release_find_send_min(&r, "m", 17 * SECOND), 2);
	ck_assert_uint_eq(release_find_send_min(&r, "m", 20 * SECOND), 3);
	ck_assert_int_eq(release_find_expiry(&r, "m", 1), 18 * SECOND);
	ck_assert_int_eq(release_find_expiry(&r, "m", 2), 21 * SECOND);
	ck_assert_int_eq(release_find_expiry(&r, "m", 3), 0);
}
END_TEST

START_TEST(waiting_request_is_withdrawn_before_limit_of_release)
{
	static struct releases r;
	apr_time_t early = 17 * SECOND, late = 17500 * MS;

	declare(&r, 1, 0, 0);
	declare(&r, 2, 10 * SECOND, 10 * SECOND);
	declare(&r, 3, 13 * SECOND, 13 * SECOND);
	ck_assert(!release_must_withdraw(&r, "m", 1, 1, early));
	ck_assert(release_must_withdraw(&r, "m", 1, 1, late));
	/* Meanwhile the upstream runs the next release, or loads one. */
	ck_assert(!release_must_withdraw(&r, "m", 1, 2, late));
	ck_assert(release_must_withdraw(&r, "m", 1, 0, late));
	ck_assert(!release_must_withdraw(&r, "m", 2, 0, late));
	ck_assert(release_must_withdraw(&r, "m", 1, 2, 20500 * MS));
	ck_assert(!release_must_withdraw(&r, "m", 1, 3, 20500 * MS));
	ck_assert(!release_must_withdraw(&r, "m", 0, 0, 20500 * MS));
	ck_assert(!release_must_withdraw(&r, "other", 1, 1, 20500 * MS));
	/* A request without a model is for the only one. */
	ck_assert_uint_eq(release_find_send_min(&r, "", 17 * SECOND), 2);
	ck_assert(release_must_withdraw(&r, "", 1, 1, late));
}
END_TEST

/*
 * Guards against requests that an upstream begins after the limit of its
 * release, as nobody withdrew them in time.
 */
START_TEST(deadline_of_attempt_ends_before_limit_of_release)
{
	static struct releases r;
	apr_time_t limit = 18 * SECOND - RELEASE_DEADLINE_MARGIN_US;

	memset(&r, 0, sizeof(r));
	declare(&r, 1, 0, 0);
	ck_assert_int_eq(release_limit_deadline(&r, "m", 1, 30 * SECOND),
			 30 * SECOND);
	declare(&r, 2, 10 * SECOND, 0);
	declare(&r, 3, 13 * SECOND, 0);
	ck_assert_int_eq(release_limit_deadline(&r, "m", 1, 16 * SECOND),
			 16 * SECOND);
	ck_assert_int_eq(release_limit_deadline(&r, "m", 1, 30 * SECOND),
			 limit);
	ck_assert_int_eq(release_limit_deadline(&r, "m", 2, 30 * SECOND),
			 limit + 3 * SECOND);
	ck_assert_int_eq(release_limit_deadline(&r, "m", 3, 30 * SECOND),
			 30 * SECOND);
	/* Its release is not known. */
	ck_assert_int_eq(release_limit_deadline(&r, "m", 0, 30 * SECOND),
			 30 * SECOND);
	/* What is sent at the last moment has time to begin. */
	ck_assert_int_lt(RELEASE_DEADLINE_MARGIN_US, RELEASE_SEND_MARGIN_US);
}
END_TEST

START_TEST(limit_of_release_counts_from_declaration)
{
	static struct releases late, started;

	declare(&late, 1, 0, 0);
	declare(&late, 2, 10 * SECOND, 17 * SECOND);
	ck_assert_int_eq(release_find_expiry(&late, "m", 1), 18 * SECOND);
	ck_assert_uint_eq(release_find_send_min(&late, "m", 17 * SECOND), 2);
	/* Not known: requests are sent for 2.5 s from the process's start. */
	started.started_at = 20 * SECOND;
	declare(&started, 2, 0, 21 * SECOND);
	ck_assert_uint_le(release_find_send_min(&started, "m", 22 * SECOND), 1);
	ck_assert_uint_eq(release_find_send_min(&started, "m", 22500 * MS), 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("release-limit");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, releases_of_a_newer_document_do_not_step_back);
	tcase_add_test(tc, second_release_keeps_minimum_of_first);
	tcase_add_test(tc,
		       waiting_request_is_withdrawn_before_limit_of_release);
	tcase_add_test(tc, deadline_of_attempt_ends_before_limit_of_release);
	tcase_add_test(tc, limit_of_release_counts_from_declaration);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
