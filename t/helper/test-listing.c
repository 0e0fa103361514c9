#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/listing-memory.h"
#include "forward/listing.h"

#define SECOND APR_USEC_PER_SEC

/* One listed upstream: "u", ready or draining. */
static void list_one(struct listing *l, uint64_t epoch, uint64_t sequence,
		     int is_draining)
{
	static struct listed_upstream item;

	memset(&item, 0, sizeof(item));
	snprintf(item.id, sizeof(item.id), "u");
	item.started_ms = 1;
	item.sequence = sequence;
	item.is_draining = is_draining;
	memset(l, 0, sizeof(*l));
	l->epoch = epoch;
	l->items = &item;
	l->count = sequence > 0;
}

/*
 * A store that returns from an older copy lists upstreams as they were before
 * they began to drain, or left.
 */
START_TEST(older_entries_of_a_new_epoch_do_not_count)
{
	struct listing_memory m = { 0 };
	apr_time_t now = 100 * SECOND;
	struct listing l;

	list_one(&l, 1, 3, 0);
	listing_memory_apply(&m, &l, now);
	list_one(&l, 1, 4, 1);
	listing_memory_apply(&m, &l, now);
	ck_assert_int_eq(l.items[0].is_draining, 1);
	list_one(&l, 2, 3, 0);
	listing_memory_apply(&m, &l, now + SECOND);
	ck_assert_int_eq(l.count, 1);
	ck_assert_int_eq(l.items[0].is_draining, 1);
	/* It wrote again, in the new epoch. */
	list_one(&l, 2, 5, 0);
	listing_memory_apply(&m, &l, now + 2 * SECOND);
	ck_assert_int_eq(l.items[0].is_draining, 0);
	/* It left; the copy of the next epoch still has it. */
	list_one(&l, 2, 0, 0);
	listing_memory_apply(&m, &l, now + 3 * SECOND);
	list_one(&l, 3, 5, 0);
	listing_memory_apply(&m, &l, now + 4 * SECOND);
	ck_assert_int_eq(l.count, 0);
	list_one(&l, 3, 6, 0);
	listing_memory_apply(&m, &l, now + 5 * SECOND);
	ck_assert_int_eq(l.count, 1);
	listing_memory_destroy(&m);
}
END_TEST

/* Within an epoch the store's word counts, and after some seconds always. */
START_TEST(entries_are_held_back_for_seconds_only)
{
	struct listing_memory m = { 0 };
	apr_time_t now = 100 * SECOND;
	struct listing l;

	list_one(&l, 1, 9, 1);
	listing_memory_apply(&m, &l, now);
	list_one(&l, 1, 2, 0);
	listing_memory_apply(&m, &l, now);
	ck_assert_int_eq(l.items[0].is_draining, 0);
	list_one(&l, 1, 9, 1);
	listing_memory_apply(&m, &l, now);
	list_one(&l, 2, 2, 0);
	listing_memory_apply(&m, &l, now);
	ck_assert_int_eq(l.items[0].is_draining, 1);
	list_one(&l, 2, 2, 0);
	listing_memory_apply(&m, &l, now + 11 * SECOND);
	ck_assert_int_eq(l.items[0].is_draining, 0);
	listing_memory_destroy(&m);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("listing");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, older_entries_of_a_new_epoch_do_not_count);
	tcase_add_test(tc, entries_are_held_back_for_seconds_only);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
