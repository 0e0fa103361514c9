#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calls/sse.h"
#include "config/document.h"
#include "forward/listing.h"
#include "platform/names.h"
#include "platform/platform.h"
#include "weights/manifest.h"

/*
 * Readers of answers that may end with their connection: the document itself
 * has to prove that it is whole. Each gets every beginning of an answer, and
 * must take the whole one only.
 */

static const char report[] =
	"{\"Stage\":\"mixed\",\"Models\":[{\"Name\":\"m\",\"Version\":2}],"
	"\"Busy\":false,\"Seq\":2,\"Queued\":1,\"Active\":12,\"born\":5}";
static const char origin_manifest[] =
	"{\"Model\":\"m\",\"Version\":2,\"" FIELD_CHUNK_BYTES
	"\":4,\"layers\":1,"
	"\"Digests\":["
	"\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\""
	"]}";
static const char staged[] = "{\"held\":[0,1,2,11]}";
static const char listing[] =
	"{\"version\":3,\"epoch\":1,\"upstreams\":[{\"id\":\"u\","
	"\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"data_center\":\"a\"}]}";
static const char document[] = "{\"revision\":3,\"accounts\":[],\"routes\":[]}";
static const char events[] =
	"data: {\"id\":\"r\",\"index\":0,\"token\":\"a\"}\n\n"
	"data: {\"id\":\"r\",\"done\":true,\"version\":\"v\",\"tokens\":1}\n\n";

/* Each returns 1 when it takes the text as whole. */

static int takes_report(const char *text, size_t size)
{
	json_t *o = json_loadb(text, size, 0, NULL);
	struct engine_state e;
	int ret = !platform_engine_ops.parse_state(o, &e);

	json_decref(o);
	return ret;
}

static int takes_service_report(const char *text, size_t size)
{
	json_t *o = json_loadb(text, size, 0, NULL);
	struct engine_state e;
	int ret = !engine_service_ops.parse_state(o, &e);

	json_decref(o);
	return ret;
}

static int takes_staged_list(const char *text, size_t size)
{
	json_t *o = json_loadb(text, size, 0, NULL);
	int ret = json_is_array(platform_engine_ops.get_staged_chunks(o));

	json_decref(o);
	return ret;
}

static int takes_origin_manifest(const char *text, size_t size)
{
	struct error err = ERROR_INIT;
	char *out = platform_engine_ops.make_manifest_text(text, size, &err);

	free(out);
	return out != NULL;
}

static int takes_listing(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct listing *l = listing_parse(text, size, &faults);

	fault_list_clear(&faults);
	listing_release(l);
	return l != NULL;
}

static int takes_document(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(text, size, &faults);
	int ret = d != NULL;

	fault_list_clear(&faults);
	document_unref(d);
	return ret;
}

static int ignore_event(void *arg, const char *text, size_t size)
{
	return 0;
}

static int takes_model_answer(const char *text, size_t size)
{
	struct sse s;
	int ret;

	sse_init(&s, "r", 0, ignore_event, NULL);
	ret = !sse_feed(&s, text, size) && s.has_ended;
	sse_destroy(&s);
	return ret;
}

static const struct {
	const char *name;
	const char *text;
	int (*takes)(const char *text, size_t size);
} readers[] = {
	{ "report", report, takes_report },
	{ "report of a service engine",
	  "{\"boot\":\"b\",\"models\":[{\"model\":\"m\"}]}",
	  takes_service_report },
	{ "list of staged chunks", staged, takes_staged_list },
	{ "manifest of the origin", origin_manifest, takes_origin_manifest },
	{ "list of upstreams", listing, takes_listing },
	{ "document", document, takes_document },
	{ "model's answer", events, takes_model_answer },
};

START_TEST(only_whole_answers_are_taken)
{
	size_t i, n;

	for (i = 0; i < sizeof(readers) / sizeof(readers[0]); i++) {
		size_t size = strlen(readers[i].text);

		for (n = 0; n < size; n++)
			ck_assert_msg(!readers[i].takes(readers[i].text, n),
				      "%s: %zu of %zu bytes", readers[i].name,
				      n, size);
		ck_assert_msg(readers[i].takes(readers[i].text, size), "%s",
			      readers[i].name);
	}
}
END_TEST

/* A whole document of another kind is no answer either. */
START_TEST(other_documents_are_not_taken)
{
	static const char *const others[] = {
		"{}", "[]", "7", "null", "{\"error\":\"busy\"}", NULL
	};
	size_t i;
	int j;

	for (i = 0; i < sizeof(readers) / sizeof(readers[0]); i++)
		for (j = 0; others[j]; j++)
			ck_assert_msg(
				!readers[i].takes(others[j], strlen(others[j])),
				"%s: %s", readers[i].name, others[j]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("answer-proof");
	TCase *tc = tcase_create("core");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, tc);
	tcase_add_test(tc, only_whole_answers_are_taken);
	tcase_add_test(tc, other_documents_are_not_taken);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
