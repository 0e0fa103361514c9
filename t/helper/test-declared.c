#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/pause.h"
#include "config/declared.h"
#include "config/document.h"

#define SECOND APR_USEC_PER_SEC

static struct document *document_of(uint64_t revision, uint64_t release)
{
	struct fault_list faults = { 0 };
	char text[512], hex[DIGEST_HEX_SIZE];
	struct document *d;

	compute_release_version("m", release, hex);
	snprintf(text, sizeof(text),
		 "{\"revision\":%llu,\"accounts\":[{\"account\":\"x\","
		 "\"models\":[{\"name\":\"m\",\"manifest\":\"%s\","
		 "\"release\":%llu,\"upstreams\":[\"*\"]}]}]}",
		 (unsigned long long)revision, hex,
		 (unsigned long long)release);
	d = document_parse(text, strlen(text), &faults);
	ck_assert_ptr_nonnull(d);
	return d;
}

/* The clocks of two processes differ; a limit must not. */
START_TEST(release_age_from_peer_gives_time_of_declaration)
{
	struct document *theirs = document_of(3, 2);
	struct document *ours = document_of(3, 2);
	struct document *old = document_of(2, 1);
	config_ages_reply rep = { { 0 } };

	theirs->models[0].declared_at = 100 * SECOND;
	document_fill_ages(theirs, &rep, 104 * SECOND);
	ck_assert_uint_eq(rep.ages.ages_len, 1);
	ck_assert_int_eq(document_copy_declared(ours, old), 1);
	document_set_ages(ours, &rep, 50 * SECOND);
	ck_assert_int_eq(ours->models[0].declared_at, 46 * SECOND);
	document_set_unknown_declared(ours, old, 49 * SECOND);
	ck_assert_int_eq(ours->models[0].declared_at, 46 * SECOND);
	xdr_free((xdrproc_t)xdr_config_ages_reply, &rep);
	/* The age of another release says nothing. */
	memset(&rep, 0, sizeof(rep));
	document_unref(ours);
	ours = document_of(4, 3);
	document_fill_ages(theirs, &rep, 104 * SECOND);
	document_set_ages(ours, &rep, 50 * SECOND);
	ck_assert_int_eq(ours->models[0].declared_at, 0);
	xdr_free((xdrproc_t)xdr_config_ages_reply, &rep);
	document_unref(ours);
	document_unref(theirs);
	document_unref(old);
}
END_TEST

START_TEST(time_of_declaration_is_kept_or_unknown)
{
	struct document *first = document_of(1, 1);
	struct document *same = document_of(2, 1);
	struct document *next = document_of(3, 2);
	config_ages_reply rep = { { 0 } };

	/* Without a peer, a process that starts can't know it. */
	ck_assert_int_eq(document_copy_declared(first, NULL), 1);
	document_set_unknown_declared(first, NULL, 5 * SECOND);
	ck_assert_int_eq(first->models[0].declared_at, 0);
	document_fill_ages(first, &rep, 6 * SECOND);
	ck_assert_uint_eq(rep.ages.ages_len, 0);
	xdr_free((xdrproc_t)xdr_config_ages_reply, &rep);
	ck_assert_int_eq(document_copy_declared(same, first), 0);
	document_set_unknown_declared(same, first, 7 * SECOND);
	ck_assert_int_eq(same->models[0].declared_at, 0);
	ck_assert_int_eq(document_copy_declared(next, same), 1);
	document_set_unknown_declared(next, same, 8 * SECOND);
	ck_assert_int_eq(next->models[0].declared_at, 8 * SECOND);
	document_unref(same);
	same = document_of(4, 2);
	ck_assert_int_eq(document_copy_declared(same, next), 0);
	ck_assert_int_eq(same->models[0].declared_at, 8 * SECOND);
	document_unref(first);
	document_unref(same);
	document_unref(next);
}
END_TEST

/*
 * Guards against an entry that refuses everything when the platform is back after
 * an outage, as a new release may have been declared at its beginning.
 */
START_TEST(outage_of_the_platform_leaves_time_to_load)
{
	apr_time_t now = 100 * SECOND;

	ck_assert_int_eq(document_bound_unknown(99 * SECOND, 8000, now),
			 99 * SECOND);
	ck_assert_int_eq(document_bound_unknown(80 * SECOND, 8000, now) +
				 8 * SECOND,
			 now + DECLARED_UNKNOWN_LEFT_US);
	ck_assert_int_eq(document_bound_unknown(0, 8000, now), 0);
	/* The limit is shorter than what is left otherwise. */
	ck_assert_int_eq(document_bound_unknown(80 * SECOND, 2000, now),
			 80 * SECOND);
}
END_TEST

/*
 * Guards against an answer that counts from when a process that stood still reads
 * it.
 */
START_TEST(answer_may_have_arrived_during_a_pause)
{
	struct pause_watch p = { 0 };
	apr_time_t ms = 1000;

	ck_assert_int_eq(pause_find_earliest(&p, SECOND, 2 * SECOND),
			 2 * SECOND);
	pause_record_step(&p, 2 * SECOND);
	pause_record_step(&p, 2 * SECOND + 50 * ms);
	ck_assert_int_eq(pause_find_earliest(&p, SECOND, 2 * SECOND + 99 * ms),
			 2 * SECOND + 99 * ms);
	/* The process wakes at 5 s; the answer is read before a step, after. */
	ck_assert_int_eq(pause_find_earliest(&p, SECOND, 5 * SECOND),
			 2 * SECOND + 50 * ms);
	pause_record_step(&p, 5 * SECOND);
	pause_record_step(&p, 5 * SECOND + 50 * ms);
	ck_assert_int_eq(pause_find_earliest(&p, SECOND, 5 * SECOND + 60 * ms),
			 2 * SECOND + 50 * ms);
	/* The next read begins after the pause. */
	ck_assert_int_eq(pause_find_earliest(&p, 5 * SECOND + 60 * ms,
					     5 * SECOND + 99 * ms),
			 5 * SECOND + 99 * ms);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("declared");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, release_age_from_peer_gives_time_of_declaration);
	tcase_add_test(tc, time_of_declaration_is_kept_or_unknown);
	tcase_add_test(tc, outage_of_the_platform_leaves_time_to_load);
	tcase_add_test(tc, answer_may_have_arrived_during_a_pause);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
