#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/random.h"
#include "config/delta.h"
#include "config/pack.h"
#include "config/texts.h"

#define TEXT_SIZE 8000

/* Adds a text of its own to each version, most of it as in the others. */
static void add_version(struct texts *t, uint64_t version,
			struct digest *digest)
{
	char text[TEXT_SIZE + 1];
	int i;

	for (i = 0; i < TEXT_SIZE; i++)
		text[i] = (char)('a' + i * i / 7 % 26);
	text[TEXT_SIZE] = '\0';
	memset(text + 100 * version, 'X', 20);
	texts_add(t, version, text, TEXT_SIZE, digest);
}

/* Asks for the current text of the only value with the version given. */
static void ask(struct texts *t, uint64_t version, const struct digest *digest,
		int full_text, config_reply *rep)
{
	config_version have = { .revision = version };
	config_request req = { { 1, &have }, .wanted = 1 };

	memcpy(have.digest, digest->bytes, DIGEST_SIZE);
	req.full_text = full_text;
	memset(rep, 0, sizeof(*rep));
	texts_answer(t, &req, rep);
}

/* Returns a copy of the text in a reply, inflated. */
static char *unpack(const config_reply *rep, size_t *size)
{
	char *text;

	*size = rep->unpacked_size;
	if (rep->unpacked_size)
		return pack_inflate(rep->text.text_val, rep->text.text_len,
				    rep->unpacked_size);
	*size = rep->text.text_len;
	text = malloc(*size);
	memcpy(text, rep->text.text_val, *size);
	return text;
}

/* Returns the version of the text that a reply leads to, 0 for none. */
static uint64_t read_version(struct texts *t, const config_reply *rep)
{
	config_reply plain = *rep;
	uint64_t version = 0;
	size_t size;
	char *text = unpack(rep, &size);
	int i;

	if (rep->base_revision) {
		plain.text.text_val = text;
		plain.text.text_len = (u_int)size;
		text = texts_rebuild(t, &plain, TEXT_SIZE, &size);
		free(plain.text.text_val);
	}
	ck_assert_uint_eq(size, TEXT_SIZE);
	for (i = 1; i < 10; i++)
		if (text[100 * i] == 'X' && text[100 * i + 19] == 'X')
			version = (uint64_t)i;
	free(text);
	return version;
}

/* Like read_version, and frees the reply. */
static uint64_t take_version(struct texts *t, config_reply *rep)
{
	uint64_t version = read_version(t, rep);

	xdr_free((xdrproc_t)xdr_config_reply, rep);
	return version;
}

static int64_t count_encoded(void)
{
	return metric_value(metric_counter("config_texts_encoded", "delta")) +
	       metric_value(metric_counter("config_texts_encoded", "deflate"));
}

/* Guards against work that grows with the number of processes that ask. */
START_TEST(text_is_encoded_once_for_all_that_ask)
{
	struct digest digests[10];
	config_reply first, other;
	struct texts t;
	int64_t encoded;
	int i;

	texts_init(&t);
	add_version(&t, 1, &digests[1]);
	add_version(&t, 2, &digests[2]);
	ask(&t, 1, &digests[1], 0, &first);
	ck_assert_uint_eq(first.base_revision, 1);
	ck_assert_uint_eq(read_version(&t, &first), 2);
	encoded = count_encoded();
	for (i = 0; i < 5; i++) {
		ask(&t, 1, &digests[1], 0, &other);
		ck_assert_uint_eq(other.text.text_len, first.text.text_len);
		ck_assert_mem_eq(other.text.text_val, first.text.text_val,
				 first.text.text_len);
		xdr_free((xdrproc_t)xdr_config_reply, &other);
	}
	ck_assert_int_eq(count_encoded(), encoded);
	xdr_free((xdrproc_t)xdr_config_reply, &first);
	texts_destroy(&t);
}
END_TEST

START_TEST(kept_encodings_end_with_their_version)
{
	struct digest digests[10];
	struct texts t;
	config_reply rep;
	int i;

	texts_init(&t);
	ask(&t, 1, &digests[0], 0, &rep);
	ck_assert_uint_eq(rep.text.text_len, 0);
	for (i = 1; i < 8; i++) {
		add_version(&t, (uint64_t)i, &digests[i]);
		ck_assert_uint_eq(texts_current_size(&t), TEXT_SIZE);
		/* Once for each base that is kept, older ones get it whole. */
		ask(&t, 1, &digests[1], 0, &rep);
		ck_assert_uint_eq(rep.base_revision, i > 1 && i <= TEXTS_MAX);
		ck_assert_uint_eq(take_version(&t, &rep), (uint64_t)i);
		if (i > 1) {
			ask(&t, (uint64_t)i - 1, &digests[i - 1], 0, &rep);
			ck_assert_uint_eq(rep.base_revision, (uint64_t)i - 1);
			ck_assert_uint_eq(take_version(&t, &rep), (uint64_t)i);
		}
	}
	/* Another text of the same version is no base, nor is an unwanted one. */
	ask(&t, 6, &digests[5], 0, &rep);
	ck_assert_uint_eq(rep.base_revision, 0);
	ck_assert_uint_eq(take_version(&t, &rep), 7);
	ask(&t, 6, &digests[6], 1, &rep);
	ck_assert_uint_eq(rep.base_revision, 0);
	ck_assert_uint_eq(take_version(&t, &rep), 7);
	texts_destroy(&t);
}
END_TEST

START_TEST(small_change_gives_small_exact_delta)
{
	char *a = malloc(20001), *b, *d, *rebuilt;
	size_t size, n, i;
	struct random r;

	random_seed(&r, 21);
	for (i = 0; i < 20000; i++)
		a[i] = (char)('a' + random_below(&r, 26));
	a[20000] = '\0';
	b = strdup(a);
	memset(b + 5, 'X', 2);
	memset(b + 9000, 'Y', 4);
	d = delta_encode(a, 20000, b, 20000, &size);
	ck_assert_ptr_nonnull(d);
	ck_assert_uint_le(size, 100);
	rebuilt = delta_apply(a, 20000, d, size, 20000, &n);
	ck_assert_uint_eq(n, 20000);
	ck_assert_str_eq(rebuilt, b);
	ck_assert_ptr_null(delta_apply(a, 8000, d, size, 20000, &n));
	ck_assert_ptr_null(delta_apply(a, 20000, d, size - 1, 20000, &n));
	ck_assert_ptr_null(delta_apply(a, 20000, d, size, 19999, &n));
	ck_assert_ptr_null(delta_encode("", 0, b, 20000, &size));
	free(rebuilt);
	free(d);
	free(b);
	free(a);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("texts");
	TCase *t = tcase_create("texts");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_test(t, small_change_gives_small_exact_delta);
	tcase_add_test(t, text_is_encoded_once_for_all_that_ask);
	tcase_add_test(t, kept_encodings_end_with_their_version);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
