#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/listing-memory.h"
#include "forward/listing.h"
#include "platform/document.h"
#include "platform/names.h"

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

/* An entry of the store as other writers leave it: a sound one and an odd one. */
static struct listing *convert(const char *id, const char *odd)
{
	static const char sound[] =
		"{\"Service\":\"s\",\"Addr\":\"10.0.0.1:80\",\"Zone\":\"z\","
		"\"State\":\"ready\",\"Slots\":2,\"Seq\":3,\"born\":4}";
	struct fault_list faults = { 0 };
	json_t *items = json_object(), *list;
	struct listing *l;
	char *text;

	json_object_set_new(items, PREFIX_SERVERS "a",
			    json_loads(sound, 0, NULL));
	json_object_set_new(items, id, json_loads(odd, 0, NULL));
	list = platform_make_upstreams(items, 1, 7);
	text = json_dumps(list, 0);
	l = listing_parse(text, strlen(text), &faults);
	ck_assert_msg(l != NULL, "%s: %s", odd, l ? "" : faults.lines[0]);
	fault_list_clear(&faults);
	free(text);
	json_decref(list);
	json_decref(items);
	return l;
}

#define LONG_NAME                                                              \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

#define ENTRY(service, address, zone, rest)                                    \
	"{\"Service\":" service ",\"Addr\":" address ",\"Zone\":" zone         \
	",\"State\":\"ready\"" rest "}"

static const char *const odd_entries[] = {
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"Seq\":-1"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"Seq\":1e300"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"Slots\":1e300"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"Slots\":-5"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"born\":1e300"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ",\"born\":-1e300"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"",
	      ",\"Models\":[{\"Name\":\"m\",\"Version\":1e300}]"),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"",
	      ",\"Models\":[{\"Name\":\"a name\",\"Version\":1}]"),
	ENTRY("\"s\"", "\"10.0.0.2:99999\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"10.0.0.2:0\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"10.0.0.2:-1\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"10.0.0.2:80x\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"10.0.0.2:\"", "\"z\"", ""),
	ENTRY("\"s\"", "\":80\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"" LONG_NAME ":80\"", "\"z\"", ""),
	ENTRY("\"" LONG_NAME "\"", "\"10.0.0.2:80\"", "\"z\"", ""),
	ENTRY("\"\"", "\"10.0.0.2:80\"", "\"z\"", ""),
	ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"\"", ""),
	ENTRY("[[[[[[[[\"s\"]]]]]]]]", "\"10.0.0.2:80\"", "\"z\"", ""),
	ENTRY("\"s\"", "{\"a\":1}", "\"z\"", ""),
};

/* Guards against processes that stop following the list, or end. */
START_TEST(odd_entry_costs_that_entry_only)
{
	struct listing *l = convert(PREFIX_SERVERS "b", odd_entries[_i]);

	ck_assert_msg(l->count == 1, "%s", odd_entries[_i]);
	ck_assert_str_eq(l->items[0].id, "a");
	ck_assert_int_eq(l->items[0].slots, 2);
	listing_release(l);
}
END_TEST

START_TEST(entry_with_a_long_id_costs_that_entry_only)
{
	struct listing *l =
		convert(PREFIX_SERVERS LONG_NAME,
			ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ""));

	ck_assert_int_eq(l->count, 1);
	listing_release(l);
}
END_TEST

START_TEST(numbers_may_have_decimals_or_be_missing)
{
	struct listing *l = convert(PREFIX_SERVERS "b",
				    ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"",
					  ",\"Slots\":3.0,\"Seq\":5.0"));

	ck_assert_int_eq(l->count, 2);
	ck_assert_int_eq(l->items[1].slots, 3);
	ck_assert_uint_eq(l->items[1].sequence, 5);
	listing_release(l);
	l = convert(PREFIX_SERVERS "b",
		    ENTRY("\"s\"", "\"10.0.0.2:80\"", "\"z\"", ""));
	ck_assert_int_eq(l->count, 2);
	ck_assert_int_eq(l->items[1].slots, 1);
	listing_release(l);
}
END_TEST

/* Guards against a list that is refused as a whole for its length. */
START_TEST(long_list_is_read)
{
	json_t *upstreams = json_array(), *root;
	struct fault_list faults = { 0 };
	struct listing *l;
	char id[16], *text;
	int i;

	for (i = 0; i < 9000; i++) {
		snprintf(id, sizeof(id), "u-%d", i);
		json_array_append_new(upstreams,
				      json_pack("{s:s,s:s,s:s,s:s}", "id", id,
						"service", "web", "address",
						"127.0.0.1:80", "data_center",
						"d1"));
	}
	root = json_pack("{s:i,s:o}", "version", 1, "upstreams", upstreams);
	text = json_dumps(root, JSON_COMPACT);
	l = listing_parse(text, strlen(text), &faults);
	ck_assert_ptr_nonnull(l);
	ck_assert_int_eq(l->count, 9000);
	listing_release(l);
	free(text);
	json_decref(root);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("listing");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, odd_entry_costs_that_entry_only, 0,
			    sizeof(odd_entries) / sizeof(*odd_entries));
	tcase_add_test(tc, entry_with_a_long_id_costs_that_entry_only);
	tcase_add_test(tc, numbers_may_have_decimals_or_be_missing);
	suite_add_tcase(s, tc);
	tcase_add_test(tc, older_entries_of_a_new_epoch_do_not_count);
	tcase_add_test(tc, entries_are_held_back_for_seconds_only);
	tcase_add_test(tc, long_list_is_read);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
