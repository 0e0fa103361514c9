#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "calls/crash-table.h"
#include "forward/internal.h"

#define SECOND APR_USEC_PER_SEC
#define NOW (100 * SECOND)

static struct crash_list crashes;
static struct node node;
static struct forwarder forwarder = { .crashes = &crashes, .node = &node };
static struct route_spec route = { .kind = ROUTE_STREAM,
				   .is_resumable = 1,
				   .max_attempts = 2 };

/* Fills a request with a part that is blamed. */
static void create_blamed(struct forward *f)
{
	struct crash_row *r;

	memset(f, 0, sizeof(*f));
	f->w = &forwarder;
	f->route = &route;
	f->sent_at = NOW - SECOND / 10;
	f->expires_at = NOW + 6 * SECOND;
	crash_items_init(&f->items, "acme");
	crash_items_add_part(&f->items, "91bd3f06", 8);
	r = crash_add(&crashes, f->items.keys[0].bytes, 1, NOW);
	r->turns = 1;
	r->refused_until = NOW + 60 * SECOND;
	ck_assert_int_eq(crash_is_refused(&crashes, &f->items, NOW), 1);
}

static void set_up(void)
{
	crash_init_items(&crashes);
	target_table_init(&forwarder.targets);
}

static void tear_down(void)
{
	target_table_destroy(&forwarder.targets);
	crash_destroy(&crashes);
}

START_TEST(request_that_waits_is_canceled_as_it_is_blamed)
{
	struct forward f;

	create_blamed(&f);
	f.is_unanswered = 1;
	ck_assert_int_eq(forward_decide_cancel(&forwarder, &f, 1, NOW),
			 CANCEL_BLAMED);
}
END_TEST

/*
 * Guards against answers under way that are broken off, on all entries at once,
 * as another request with the same part has crashed its upstreams.
 */
START_TEST(answer_that_has_begun_goes_on_after_a_blame)
{
	struct forward f;

	create_blamed(&f);
	f.is_answer_started = 1;
	f.last_contact = NOW - SECOND / 10;
	ck_assert_int_eq(forward_decide_cancel(&forwarder, &f, 1, NOW),
			 CANCEL_NONE);
}
END_TEST

/* It waits at another upstream, which it would crash as it begins there. */
START_TEST(resumed_answer_that_waits_is_canceled_as_it_is_blamed)
{
	struct forward f;

	create_blamed(&f);
	f.is_answer_started = 1;
	f.is_unanswered = 1;
	ck_assert_int_eq(forward_decide_cancel(&forwarder, &f, 1, NOW),
			 CANCEL_BLAMED);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("blame-cancel");
	TCase *c = tcase_create("blame-cancel");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(c, set_up, tear_down);
	tcase_add_test(c, request_that_waits_is_canceled_as_it_is_blamed);
	tcase_add_test(c, answer_that_has_begun_goes_on_after_a_blame);
	tcase_add_test(c,
		       resumed_answer_that_waits_is_canceled_as_it_is_blamed);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_set_fork_status(r, CK_NOFORK);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
