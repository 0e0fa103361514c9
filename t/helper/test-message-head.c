#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "net/message-head.h"

/*
 * Each row guards against a head that two readers understand in different ways,
 * so that a part of a body is taken for the whole or for another message, or
 * against a proper head that is refused.
 */

struct form {
	const char *lines; /* after the first one, without the empty line */
	const char *fault; /* NULL: none */
	enum framing framing;
};

static const struct form answers[] = {
	/* Proper heads. */
	{ "", NULL, FRAMING_CLOSE },
	{ "Content-Length: 5\r\n", NULL, FRAMING_LENGTH },
	{ "content-length:5\r\n", NULL, FRAMING_LENGTH },
	{ "Content-Length:\t 5 \t\r\n", NULL, FRAMING_LENGTH },
	{ "Content-Length: 0\r\n", NULL, FRAMING_LENGTH },
	{ "Content-Length: 9223372036854775807\r\n", NULL, FRAMING_LENGTH },
	{ "Transfer-Encoding: chunked\r\n", NULL, FRAMING_CHUNKED },
	{ "TRANSFER-ENCODING: Chunked \r\n", NULL, FRAMING_CHUNKED },
	{ "Transfer-Encoding: chunked\n", NULL, FRAMING_CHUNKED },
	{ "X-Empty:\r\nX-Blank: \r\n", NULL, FRAMING_CLOSE },
	{ "X-Tab: a\tb\r\nX-Byte: \xe9\x01\r\n", NULL, FRAMING_CLOSE },
	{ "!#$%&'*+-.^_`|~09azAZ: a: b\r\n", NULL, FRAMING_CLOSE },
	{ "Host: a\r\nHost: b\r\n", NULL, FRAMING_CLOSE },
	{ "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", NULL,
	  FRAMING_CHUNKED },
	/* Lengths. */
	{ "Content-Length: 5\r\nContent-Length: 3\r\n", "length-twice" },
	{ "Content-Length: 5\r\ncontent-length: 5\r\n", "length-twice" },
	{ "Content-Length: 5, 5\r\n", "length" },
	{ "Content-Length: 0 5\r\n", "length" },
	{ "Content-Length: 0x5\r\n", "length" },
	{ "Content-Length: +5\r\n", "length" },
	{ "Content-Length: -5\r\n", "length" },
	{ "Content-Length: 5;a\r\n", "length" },
	{ "Content-Length: 5.0\r\n", "length" },
	{ "Content-Length: \"5\"\r\n", "length" },
	{ "Content-Length:\r\n", "length" },
	{ "Content-Length: 9223372036854775808\r\n", "length" },
	{ "Content-Length: 18446744073709551621\r\n", "length" },
	/* Codings. */
	{ "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	  "coding-twice" },
	{ "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
	  "coding" },
	{ "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
	  "coding-twice" },
	{ "Transfer-Encoding: chunked, chunked\r\n", "coding" },
	{ "Transfer-Encoding: gzip, chunked\r\n", "coding" },
	{ "Transfer-Encoding: identity\r\n", "coding" },
	{ "Transfer-Encoding: xchunked\r\n", "coding" },
	{ "Transfer-Encoding: chunked;a=b\r\n", "coding" },
	{ "Transfer-Encoding: \"chunked\"\r\n", "coding" },
	{ "Transfer-Encoding: chunked,\r\n", "coding" },
	{ "Transfer-Encoding:\r\n", "coding" },
	{ "Transfer-Encoding: \x0b"
	  "chunked\r\n",
	  "coding" },
	/* Lines. */
	{ "Transfer-Encoding : chunked\r\n", "name" },
	{ "Transfer-Encoding\t: chunked\r\n", "name" },
	{ "X y: 1\r\n", "name" },
	{ ": 1\r\n", "name" },
	{ "X\x01: 1\r\n", "name" },
	{ "X(): 1\r\n", "name" },
	{ "\xe9: 1\r\n", "name" },
	{ "Transfer-Encoding:\r\n chunked\r\n", "coding" },
	{ "X-One: 1\r\n Transfer-Encoding: chunked\r\n", "folded" },
	{ " Content-Length: 5\r\n", "folded" },
	{ "X-One: 1\r\n\ttwo\r\n", "folded" },
	{ "Transfer-Encoding chunked\r\n", "no-colon" },
	{ "X-One: 1\rContent-Length: 5\r\n", "value" },
	{ "X-One: 1\r\r\n", "value" },
	{ "Content-Length\r: 5\r\n", "name" },
	{ "X-One: 1\r\n\rX-Two: 2\r\n", "name" },
};

static const struct form requests[] = {
	{ "Host: a.example\r\n", NULL },
	{ "Host: a.example:80\r\nContent-Length: 5\r\n", NULL },
	{ "host:a.example\nTransfer-Encoding: chunked\n", NULL },
	{ "Host:\r\n", NULL },
	{ "X-One: 1\r\n", "no-host" },
	{ "Host: a\r\nHost: a\r\n", "host-twice" },
	{ "Host: a\r\nHost: b\r\n", "host-twice" },
	{ "Host: a, b\r\n", "host" },
	{ "Host: a b\r\n", "host" },
	{ "Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n",
	  "coding-and-length" },
	{ "Host: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
	  "coding-and-length" },
	{ "Host: a\r\nContent-Length: 5\r\nContent-Length: 3\r\n",
	  "length-twice" },
	{ "Host: a\r\nTransfer-Encoding: chunked\r\n"
	  "Transfer-Encoding: chunked\r\n",
	  "coding-twice" },
	{ "Host: a\r\nTransfer-Encoding: identity\r\n", "coding" },
	{ "Host: a\r\nX-One: 1\rTransfer-Encoding: chunked\r\n", "value" },
};

static void add_lines(struct message_head *h, const char *lines)
{
	while (*lines) {
		const char *end = strchr(lines, '\n') + 1;

		message_head_add_line(h, lines, (size_t)(end - lines));
		lines = end;
	}
	message_head_add_line(h, "\r\n", 2);
}

START_TEST(answers_are_read_alike_or_refused)
{
	const struct form *f = &answers[_i];
	struct message_head h;

	message_head_start(&h, MESSAGE_ANSWER, 1);
	add_lines(&h, f->lines);
	ck_assert_pstr_eq(message_head_end(&h), f->fault);
	if (!f->fault)
		ck_assert_int_eq(message_head_framing(&h, 200), f->framing);
	if (!f->fault)
		ck_assert_int_eq(message_head_framing(&h, 204), FRAMING_LENGTH);
}
END_TEST

START_TEST(requests_are_read_alike_or_refused)
{
	const struct form *f = &requests[_i];
	struct message_head h;

	message_head_start(&h, MESSAGE_REQUEST, 1);
	add_lines(&h, f->lines);
	ck_assert_pstr_eq(message_head_end(&h), f->fault);
}
END_TEST

/* HTTP/1.0 knows no codings, and needs no Host. */
START_TEST(version_1_0_differs)
{
	struct message_head h;

	message_head_start(&h, MESSAGE_REQUEST, 0);
	add_lines(&h, "X-One: 1\r\n");
	ck_assert_ptr_null(message_head_end(&h));
	message_head_start(&h, MESSAGE_REQUEST, 0);
	add_lines(&h, "Transfer-Encoding: chunked\r\n");
	ck_assert_str_eq(message_head_end(&h), "coding-of-1.0");
	message_head_start(&h, MESSAGE_ANSWER, 0);
	add_lines(&h, "Transfer-Encoding: chunked\r\n");
	ck_assert_str_eq(message_head_end(&h), "coding-of-1.0");
}
END_TEST

/* A NUL hides the rest of a line from functions on strings. */
START_TEST(bytes_that_end_strings_are_refused)
{
	static const char value[] = "X-One: 1\0Transfer-Encoding: a\r\n";
	static const char name[] = "X\0: 1\r\n";
	struct message_head h;

	message_head_start(&h, MESSAGE_ANSWER, 1);
	message_head_add_line(&h, value, sizeof(value) - 1);
	ck_assert_str_eq(message_head_end(&h), "value");
	message_head_start(&h, MESSAGE_ANSWER, 1);
	message_head_add_line(&h, name, sizeof(name) - 1);
	ck_assert_str_eq(message_head_end(&h), "name");
	message_head_start(&h, MESSAGE_ANSWER, 1);
	message_head_add_line(&h, "X-One: 1", 8);
	ck_assert_str_eq(message_head_end(&h), "line-end");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("message-head");
	TCase *t = tcase_create("heads");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(t, answers_are_read_alike_or_refused, 0,
			    sizeof(answers) / sizeof(*answers));
	tcase_add_loop_test(t, requests_are_read_alike_or_refused, 0,
			    sizeof(requests) / sizeof(*requests));
	tcase_add_test(t, version_1_0_differs);
	tcase_add_test(t, bytes_that_end_strings_are_refused);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
