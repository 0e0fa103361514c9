#include <check.h>
#include <stdlib.h>

#include "net/intake.h"

#define SECOND APR_USEC_PER_SEC
#define MB 1000000LL

static struct intake_progress progress(enum intake_state state, size_t bytes,
				       apr_time_t progress_at)
{
	struct intake_progress p = { .state = state,
				     .progress_at = progress_at,
				     .bytes = bytes };

	return p;
}

/* Bodies and connections of the smallest machines must leave room for the rest. */
START_TEST(bounds_follow_from_the_machine)
{
	struct intake_bounds b;

	intake_set_bounds(&b, 160 * MB, 4100);
	ck_assert_int_le((long long)b.body_bytes + b.connections * 40 * 1024LL,
			 120 * MB);
	ck_assert_int_ge(b.connections, 1900);
	intake_set_bounds(&b, 256 * MB, 1 << 20);
	ck_assert_int_ge(b.connections, 3000);
	intake_set_bounds(&b, 128 * MB, 2048);
	ck_assert_int_le(b.connections, (2048 - 200) / 2);
	intake_set_bounds(&b, 64000 * MB, 1 << 20);
	ck_assert_int_eq(b.connections, 16384);
	intake_set_bounds(&b, 1 * MB, 100);
	ck_assert_int_ge(b.connections, 64);
}
END_TEST

/* Many slow readers of answers must not add up, nor keep bodies out. */
START_TEST(answers_leave_half_of_the_memory_to_bodies)
{
	struct intake_bounds b;
	size_t used = 0;
	int i;

	intake_set_bounds(&b, 160 * MB, 4100);
	ck_assert_uint_eq(intake_stream_limit(&b, 0), 256 * 1024);
	for (i = 0; i < 1000; i++)
		used += intake_stream_limit(&b, used);
	ck_assert_uint_le(used, b.body_bytes / 2 + 1000 * 8 * 1024);
	ck_assert_uint_eq(intake_stream_limit(&b, b.body_bytes), 8 * 1024);
}
END_TEST

/* Many large bodies must not keep the small ones of ordinary callers out. */
START_TEST(small_bodies_have_room_of_their_own)
{
	struct intake_bounds b;

	intake_set_bounds(&b, 160 * MB, 4100);
	ck_assert(intake_has_room(&b, 0, 4 * MB, 4 * MB));
	ck_assert(!intake_has_room(&b, 30 * MB, MB, 1));
	ck_assert(intake_has_room(&b, 30 * MB, 2048, 2048));
	ck_assert(!intake_has_room(&b, 40 * MB, 2048, 2048));
}
END_TEST

/* A caller on a link with 64 kbit/s must not be taken for one that stops. */
START_TEST(slow_links_are_served)
{
	struct intake_progress p;
	int s;

	for (s = 1; s <= 60; s++) {
		p = progress(INTAKE_BODY, (size_t)s * 8000, s * SECOND);
		ck_assert(!intake_is_stalled(&p, s * SECOND + SECOND / 2));
	}
	p = progress(INTAKE_ANSWER, 800000, 0);
	ck_assert(!intake_is_stalled(&p, 100 * SECOND));
	p = progress(INTAKE_SERVED, 0, 0);
	ck_assert(!intake_is_stalled(&p, 1000 * SECOND));
}
END_TEST

/* Callers that stop half-way, or go on a byte at a time, are gone in seconds. */
START_TEST(callers_that_stop_are_closed)
{
	struct intake_progress p = progress(INTAKE_BODY, 999999, SECOND);

	ck_assert(intake_is_stalled(&p, 7 * SECOND));
	p = progress(INTAKE_BODY, 30, 10 * SECOND);
	ck_assert(intake_is_stalled(&p, 10 * SECOND));
	p = progress(INTAKE_HEAD, 0, 0);
	ck_assert(intake_is_stalled(&p, 11 * SECOND));
	p = progress(INTAKE_ANSWER, 0, 0);
	ck_assert(intake_is_stalled(&p, 16 * SECOND));
	p = progress(INTAKE_IDLE, 0, 0);
	ck_assert(!intake_is_stalled(&p, 100 * SECOND));
	ck_assert(intake_is_stalled(&p, 121 * SECOND));
}
END_TEST

/* A body that has just begun, or a request under way, is no victim. */
START_TEST(only_bodies_of_some_age_give_way)
{
	struct intake_progress p = progress(INTAKE_BODY, 10, 0);

	ck_assert(!intake_may_evict(&p, SECOND / 2));
	ck_assert(intake_may_evict(&p, 2 * SECOND));
	p.state = INTAKE_SERVED;
	ck_assert(!intake_may_evict(&p, 2 * SECOND));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("intake");
	TCase *c = tcase_create("intake");
	SRunner *runner;
	int failed;

	tcase_add_test(c, bounds_follow_from_the_machine);
	tcase_add_test(c, answers_leave_half_of_the_memory_to_bodies);
	tcase_add_test(c, small_bodies_have_room_of_their_own);
	tcase_add_test(c, slow_links_are_served);
	tcase_add_test(c, callers_that_stop_are_closed);
	tcase_add_test(c, only_bodies_of_some_age_give_way);
	suite_add_tcase(s, c);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
