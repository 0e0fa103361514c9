#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "forward/events.h"

static int collect(void *arg, const char *text, size_t size)
{
	char *out = arg;
	size_t n = strlen(out);

	memcpy(out + n, text, size);
	out[n + size] = '\0';
	return 0;
}

START_TEST(events_are_complete_for_any_split_of_bytes)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
				   "data: no id\n\nid: 3\ndata: c\n\n";
	size_t cut;

	for (cut = 0; cut < sizeof(text) - 1; cut++) {
		struct event_splitter e;
		char out[256] = "";

		events_init(&e);
		ck_assert_int_eq(events_feed(&e, text, cut, collect, out), 0);
		ck_assert_int_eq(events_feed(&e, text + cut,
					     sizeof(text) - 1 - cut, collect,
					     out),
				 0);
		ck_assert_str_eq(out, text);
		ck_assert_str_eq(e.last_id, "3");
		events_destroy(&e);
	}
}
END_TEST

static void feed_text(struct event_splitter *e, const char *text)
{
	char out[256] = "";

	events_init(e);
	ck_assert_int_eq(events_feed(e, text, strlen(text), collect, out), 0);
}

START_TEST(stream_is_open_inside_an_event_only)
{
	static const char *const open[] = { "id: 1",
					    "id: 1\n",
					    "data: a\n\nid",
					    "data: a\n\nid: 2\ndata: b\n",
					    ":com",
					    "data: a\n\n:com",
					    NULL };
	static const char *const ended[] = { "",
					     "data: a\n\n",
					     "data: a\r\n\r\n",
					     ":com\n",
					     "data: a\n\n:com\n",
					     "data: a\n\n\n",
					     ":a\n:b\n\n",
					     NULL };
	struct event_splitter e;
	int i;

	for (i = 0; open[i]; i++) {
		feed_text(&e, open[i]);
		ck_assert_msg(events_is_open(&e), "%s", open[i]);
		events_destroy(&e);
	}
	for (i = 0; ended[i]; i++) {
		feed_text(&e, ended[i]);
		ck_assert_msg(!events_is_open(&e), "%s", ended[i]);
		events_destroy(&e);
	}
}
END_TEST

/* A stream that goes on without one would repeat events. */
START_TEST(stream_has_a_position_after_events_with_ids)
{
	struct event_splitter e;

	feed_text(&e, "id: 1\ndata: a\n\n:com\n\n");
	ck_assert(events_has_position(&e));
	events_destroy(&e);
	feed_text(&e, "id: 1\ndata: a\n\ndata: b\n\n");
	ck_assert(!events_has_position(&e));
	events_destroy(&e);
	feed_text(&e, "data: a\n\nid: 1\ndata: b\n\n");
	ck_assert(events_has_position(&e));
	events_destroy(&e);
	feed_text(&e, "data: a\n\n");
	ck_assert(!events_has_position(&e));
	events_destroy(&e);
	feed_text(&e, "id: 1\nda");
	ck_assert(events_has_position(&e));
	events_destroy(&e);
}
END_TEST

START_TEST(resumed_stream_drops_incomplete_and_duplicate_events)
{
	struct event_splitter e;
	char out[256] = "";

	events_init(&e);
	events_feed(&e, "id: 4\ndata: a\n\nid: 5\nda", 22, collect, out);
	ck_assert_str_eq(e.last_id, "4");
	events_resume(&e);
	events_feed(&e, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", 30, collect,
		    out);
	ck_assert_str_eq(out, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
	events_destroy(&e);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("events");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, events_are_complete_for_any_split_of_bytes);
	tcase_add_test(tc, stream_is_open_inside_an_event_only);
	tcase_add_test(tc, stream_has_a_position_after_events_with_ids);
	tcase_add_test(tc,
		       resumed_stream_drops_incomplete_and_duplicate_events);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
