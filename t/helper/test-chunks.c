#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "net/chunks.h"

/*
 * Each row guards against chunks that two readers decode to different bodies, or
 * against proper ones that are refused.
 */

struct form {
	const char *text;
	const char *body; /* NULL: it is refused */
	const char *trailers;
	const char *rest; /* after the end */
	int is_open;	  /* the end is missing */
};

static const struct form forms[] = {
	{ "0\r\n\r\n", "", "", "" },
	{ "5\r\nabcde\r\n0\r\n\r\n", "abcde", "", "" },
	{ "1\r\na\r\n2\r\nbc\r\n000\r\n\r\n", "abc", "", "" },
	{ "0000a\r\n0123456789\r\n0\r\n\r\n", "0123456789", "", "" },
	{ "A\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n", "\r\n0\r\n\r\n0\r\n", "",
	  "" },
	{ "1 \r\na\r\n0\t\r\n\r\n", "a", "", "" },
	{ "1;a=\"b c\"\r\na\r\n0;d\r\n\r\n", "a", "", "" },
	{ "1 ; a\r\na\r\n0\r\n\r\n", "a", "", "" },
	{ "0\r\nX: 1\r\nY:\r\n\r\n", "", "X: 1\r\nY:\r\n", "" },
	{ "0\r\n\r\nmore", "", "", "more" },
	{ "5\r\nabc", "abc", "", "", 1 },
	{ "3\r\nabc\r\n", "abc", "", "", 1 },
	{ "3\r\nabc\r\n0\r\n", "abc", "", "", 1 },
	{ "3\r\nabc\r\n0\r\nX: 1\r\n", "abc", "X: 1\r\n", "", 1 },
	{ "", "", "", "", 1 },
	/* Sizes. */
	{ "0x5\r\nabcde\r\n0\r\n\r\n" },
	{ "0 5\r\nabcde\r\n0\r\n\r\n" },
	{ "5 x\r\nabcde\r\n0\r\n\r\n" },
	{ "5x\r\nabcde\r\n0\r\n\r\n" },
	{ "+5\r\nabcde\r\n0\r\n\r\n" },
	{ "-5\r\nabcde\r\n0\r\n\r\n" },
	{ " 5\r\nabcde\r\n0\r\n\r\n" },
	{ "\r\n0\r\n\r\n" },
	{ ";a\r\n0\r\n\r\n" },
	{ "5,0\r\nabcde\r\n0\r\n\r\n" },
	{ "10000000000000005\r\nabcde\r\n0\r\n\r\n" },
	/* Lines. */
	{ "5\nabcde\r\n0\r\n\r\n" },
	{ "5\r\nabcde\n0\r\n\r\n" },
	{ "5\rabcde\r\n0\r\n\r\n" },
	{ "5;a\rb\r\nabcde\r\n0\r\n\r\n" },
	{ "5;a\nabcde\r\n0\r\n\r\n" },
	{ "5\r\nabcdef\r\n0\r\n\r\n" },
	{ "5\r\nabcd\r\n0\r\n\r\n" },
	{ "0\n\n" },
	{ "0\r\n\n" },
	{ "0\r\nX: 1\n\r\n" },
	{ "0\r\nX: 1\rY: 2\r\n\r\n" },
	{ "0\r\n\rX: 1\r\n\r\n" },
};

struct result {
	char body[128];
	size_t body_size;
	char trailers[128];
	size_t trailers_size;
	size_t line; /* start of the line of a trailer that is read */
	size_t rest;
};

/* Returns -1 for a fault. */
static int feed(struct chunks *c, const char *data, size_t size,
		struct result *r)
{
	size_t n, used;

	if (chunks_decode(c, data, size, r->body + r->body_size, &n, &used))
		return -1;
	r->body_size += n;
	for (; used < size && c->state != CHUNKS_END; used++) {
		int ret = chunks_read_trailer(c, data[used]);

		if (ret < 0)
			return -1;
		r->trailers[r->trailers_size++] = data[used];
		if (ret)
			r->line = r->trailers_size;
	}
	r->rest += size - used;
	return 0;
}

static void check_result(const struct form *f, const struct chunks *c,
			 const struct result *r)
{
	ck_assert_uint_eq(r->body_size, strlen(f->body));
	ck_assert_mem_eq(r->body, f->body, r->body_size);
	ck_assert_uint_eq(r->line, strlen(f->trailers));
	ck_assert_mem_eq(r->trailers, f->trailers, r->line);
	ck_assert_uint_eq(r->rest, strlen(f->rest));
	ck_assert_int_eq(c->state != CHUNKS_END, f->is_open);
}

/* Also guards against a decoder that depends on where the pieces end. */
START_TEST(chunks_are_decoded_alike_or_refused)
{
	const struct form *f = &forms[_i];
	size_t size = strlen(f->text), cut;

	for (cut = 0; cut <= size; cut++) {
		struct chunks c = { 0 };
		struct result r = { 0 };
		int ret = feed(&c, f->text, cut, &r);

		if (!ret)
			ret = feed(&c, f->text + cut, size - cut, &r);
		ck_assert_int_eq(ret, f->body ? 0 : -1);
		if (f->body)
			check_result(f, &c, &r);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("chunks");
	TCase *t = tcase_create("forms");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, chunks_are_decoded_alike_or_refused, 0,
			    sizeof(forms) / sizeof(*forms));
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
