#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "config/document.h"
#include "config/repair.h"
#include "platform/document.h"
#include "platform/names.h"

/*
 * Configurations of the operator that fill a value of the platform with the
 * shortest elements of one kind.
 */

#define LONG_NAME                                                              \
	"a23456789012345678901234567890123456789012345678901234567890123"

/* One letter short of the longest name; two bytes don't fit behind it. */
#define LONG_TAIL                                                              \
	"a2345678901234567890123456789012345678901234567890123456789012"

struct filling {
	const char *before;
	const char *element; /* with a name of three letters for %s */
	const char *after;
};

#define NO_ROUTES "\"Routes\":[],"
#define NO_SERVICES "\"Services\":[],"

static const struct filling fillings[] = {
	{ NO_ROUTES NO_SERVICES "\"Tenants\":[", "{\"Name\":\"%s\"}", "]" },
	{ NO_ROUTES NO_SERVICES "\"Tenants\":[",
	  "{\"Name\":\"%s\",\"" FIELD_KEYS "\":[\"%s\"]}", "]" },
	{ NO_ROUTES NO_SERVICES "\"Tenants\":[{\"Name\":\"a\",\"" FIELD_KEYS
				"\":[",
	  "\"%s\"", "]}]" },
	{ "\"Services\":[{\"Name\":\"s\"}],\"Routes\":[",
	  "{\"Name\":\"r\",\"Host\":\"h\",\"Prefix\":\"/%s/\","
	  "\"Kind\":\"streaming\",\"Service\":\"s\"}",
	  "]" },
	{ NO_SERVICES "\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
		      "\"Prefix\":\"/\",\"Kind\":\"idempotent\",\"Backends\":[",
	  "{\"Service\":\"%s\",\"Weight\":0.1}", "]}]" },
	{ NO_ROUTES "\"Services\":[", "{\"Name\":\"%s\",\"Engine\":{}}", "]" },
	{ NO_ROUTES "\"Services\":[",
	  "{\"Name\":\"%s\",\"Engine\":{\"step_ms\":0.7}}", "]" },
	{ NO_ROUTES "\"Services\":[{\"Name\":\"" LONG_NAME
		    "\",\"Engine\":{\"Models\":[",
	  "{\"Name\":\"%s\"}", "]}}]" },
};

#define FILLING_COUNT ((int)(sizeof(fillings) / sizeof(fillings[0])))

static const char letters[] =
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";

#define LETTER_COUNT ((int)sizeof(letters) - 1)

/* Appends elements until the value is full; returns their number. */
static int fill(char *text, const struct filling *x)
{
	size_t size = (size_t)sprintf(text, "{\"Version\":9,%s", x->before);
	size_t room = SETTINGS_VALUE_BYTES - strlen(x->after) - 1;
	int i, n;

	for (i = 0; i < LETTER_COUNT * LETTER_COUNT * LETTER_COUNT; i++) {
		const char name[] = { letters[i % LETTER_COUNT],
				      letters[i / LETTER_COUNT % LETTER_COUNT],
				      letters[i / LETTER_COUNT / LETTER_COUNT],
				      '\0' };
		char element[256];

		n = snprintf(element, sizeof(element), x->element, name, name);
		if (size + (size_t)n + 1 > room)
			break;
		size += (size_t)sprintf(text + size, "%s%s", i ? "," : "",
					element);
	}
	sprintf(text + size, "%s}", x->after);
	return i;
}

/*
 * Guards against a limit on the converted text that a value which the platform
 * accepts exceeds: the whole configuration was refused then.
 */
START_TEST(text_of_full_value_is_within_the_limit)
{
	char *text = malloc(SETTINGS_VALUE_BYTES + 1);
	int count = fill(text, &fillings[_i]);
	json_t *config = json_loads(text, 0, NULL);
	json_t *items = json_pack("{s:o}", KEY_CONFIG, config);
	json_t *root = platform_make_document(items, 1, 1);
	char *converted = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);

	ck_assert_int_gt(count, 8000);
	ck_assert_ptr_nonnull(converted);
	ck_assert_uint_le(strlen(converted),
			  SETTINGS_VALUE_BYTES * SETTINGS_TEXT_GROWTH);
	free(converted);
	json_decref(root);
	json_decref(items);
	free(text);
}
END_TEST

/* Returns the elements of the list that was filled. */
static int count_bound(const struct document *d, int filling)
{
	switch (filling) {
	case 0:
	case 1:
		return d->account_count - 1; /* one has the models */
	case 2:
		return d->key_owner_count;
	case 3:
		return d->routing.route_count;
	case 4:
		return d->routing.routes[0].service_count;
	case 5:
	case 6:
		return d->routing.service_count;
	}
	return d->model_count;
}

/* Guards against a limit on the length of a list in the document. */
START_TEST(full_value_comes_into_force)
{
	char *text = malloc(SETTINGS_VALUE_BYTES + 1);
	int count = fill(text, &fillings[_i]);
	json_t *config = json_loads(text, 0, NULL);
	json_t *items = json_pack("{s:o}", KEY_CONFIG, config);
	json_t *root = platform_make_document(items, 1, 1);
	char *converted = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	struct fault_list faults = { 0 };
	struct document *d;

	d = document_parse(converted, strlen(converted), &faults);
	ck_assert_msg(d != NULL, "filling %d: %s", _i, *faults.lines);
	ck_assert_int_eq(count_bound(d, _i), count);
	document_unref(d);
	free(converted);
	json_decref(root);
	json_decref(items);
	free(text);
}
END_TEST

/*
 * Parses what the operator's text converts to.  Without removed no fault may be
 * found; else what has faults is left out, and told there.
 */
static struct document *convert(const char *text, struct fault_list *removed)
{
	json_t *config = json_loads(text, 0, NULL);
	json_t *items = json_pack("{s:o}", KEY_CONFIG, config);
	json_t *root = platform_make_document(items, 1, 1);
	char *converted = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	struct fault_list faults = { 0 };
	struct document *d =
		document_parse(converted, strlen(converted), &faults);

	if (!d && removed) {
		char *repaired =
			document_repair(converted, strlen(converted), removed);

		fault_list_clear(&faults);
		d = document_parse(repaired, strlen(repaired), &faults);
		free(repaired);
	}
	ck_assert_msg(d != NULL, "%s", faults.count ? *faults.lines : "?");
	free(converted);
	json_decref(root);
	json_decref(items);
	return d;
}

/* Guards against a model that only one of its services loads. */
START_TEST(model_of_two_services_is_on_the_upstreams_of_both)
{
	struct document *d = convert(
		"{\"Version\":3,\"Services\":["
		"{\"Name\":\"one\",\"Engine\":{\"Models\":"
		"[{\"Name\":\"m\"},{\"Name\":\"n\"},{\"Name\":\"m\"}]}},"
		"{\"Name\":\"two\",\"Engine\":{\"Models\":"
		"[{\"Name\":\"m\"}]}},"
		"{\"Name\":\"store\",\"Origin\":\"127.0.0.9:80\"}]}",
		NULL);
	const struct model_spec *m = document_find_model(d, "m");
	const struct model_spec *n = document_find_model(d, "n");
	char hex[DIGEST_HEX_SIZE];

	ck_assert_int_eq(d->model_count, 2);
	ck_assert_int_eq(m->upstream_count, 2);
	ck_assert(is_model_assigned(m, "one", "d"));
	ck_assert(is_model_assigned(m, "two", "d"));
	ck_assert(is_model_assigned(n, "one", "d"));
	ck_assert(!is_model_assigned(n, "two", "d"));
	ck_assert_str_eq(m->origin, "http://127.0.0.9:80");
	compute_release_version("m", 1, hex);
	ck_assert_str_eq(m->version, hex);
	document_unref(d);
}
END_TEST

struct odd_part {
	const char
		*member;  /* of the configuration, in place of the sound one */
	int is_told;	  /* among the parts that are left out */
	int route_status; /* of /kept/: number of its services, -1: no route */
	int has_key;	  /* whether the key "kept" has an account */
};

#define ROUTE(more)                                                            \
	"\"Routes\":[{\"Host\":\"h\",\"Prefix\":\"/kept/\"" more "}]"
#define GOOD_ROUTE                                                             \
	ROUTE(",\"Name\":\"r\",\"Kind\":\"idempotent\",\"Service\":\"web\"")
#define GOOD_TENANTS                                                           \
	"\"Tenants\":[{\"Name\":\"acme\",\"" FIELD_KEYS "\":[\"kept\"]}]"

/* Each of these was refused as a whole, or let a shorter prefix match. */
static const struct odd_part odd_parts[] = {
	{ GOOD_ROUTE "," GOOD_TENANTS, 0, 1, 1 },
	{ GOOD_TENANTS "," ROUTE(",\"Name\":\"" LONG_NAME LONG_NAME
				 "\",\"Kind\":\"x\",\"Service\":\"web\""),
	  0, 1, 1 },
	{ GOOD_TENANTS
	  "," ROUTE(",\"Name\":\"" LONG_TAIL "\\u00e9\\u00e9\",\"Kind\":\"x\","
		    "\"Service\":\"web\""),
	  0, 1, 1 },
	{ GOOD_TENANTS
	  "," ROUTE(",\"Name\":\"\",\"Kind\":\"idempotent\","
		    "\"Service\":\"web\",\"" FIELD_TIMEOUT_MS "\":1e99,"
		    "\"Attempts\":5000,\"Priority\":-4"),
	  1, 1, 1 },
	{ GOOD_TENANTS "," ROUTE(",\"Name\":\"r\",\"Kind\":\"streaming\","
				 "\"Service\":\"not a name\""),
	  1, 0, 1 },
	{ GOOD_TENANTS "," ROUTE(",\"Name\":\"r\",\"Kind\":\"streaming\""), 0,
	  0, 1 },
	{ GOOD_TENANTS "," ROUTE(",\"Name\":\"r\",\"Kind\":\"streaming\","
				 "\"Service\":\"web\","
				 "\"" FIELD_ALLOWED_REGIONS "\":\"north\""),
	  0, 0, 1 },
	{ GOOD_TENANTS "," ROUTE(",\"Name\":\"r\",\"Kind\":\"streaming\","
				 "\"Backends\":[{\"Service\":\"a b\"},"
				 "{\"Service\":\"web\",\"Weight\":-1}]"),
	  1, 1, 1 },
	{ GOOD_TENANTS ",\"Routes\":[{\"Host\":\"h\",\"Prefix\":\"\"}]", 1, -1,
	  1 },
	{ GOOD_ROUTE ",\"Tenants\":[{\"Name\":\"a b\",\"" FIELD_KEYS
		     "\":[\"kept\"]}]",
	  1, 1, 0 },
	{ GOOD_ROUTE
	  ",\"Tenants\":[{\"Name\":\"a\",\"" FIELD_KEYS "\":[\"kept\","
	  "\"kept\"]},{\"Name\":\"b\",\"" FIELD_KEYS "\":[\"kept\"]}]",
	  1, 1, 1 },
	{ GOOD_ROUTE ",\"Tenants\":[{\"Name\":\"a\",\"" FIELD_KEYS "\":[]},"
		     "{\"Name\":\"a\",\"" FIELD_KEYS "\":[\"kept\"]}]",
	  1, 1, 0 },
	{ GOOD_ROUTE ",\"Tenants\":[{\"Name\":\"platform-models\","
		     "\"" FIELD_KEYS "\":[\"kept\"]}]",
	  0, 1, 1 },
	{ GOOD_ROUTE "," GOOD_TENANTS ",\"Limits\":{\"MaxBodyBytes\":1e300}", 1,
	  1, 1 },
	{ GOOD_ROUTE "," GOOD_TENANTS
		     ",\"Services\":[{\"Name\":\"org/llm\",\"Engine\":"
		     "{\"Models\":[{\"Name\":\"org/m\"}],\"Slots\":1e9}}]",
	  1, 1, 1 },
};

/* Guards against a configuration that is refused for one of its parts. */
START_TEST(odd_part_costs_that_part_only)
{
	const struct odd_part *x = &odd_parts[_i];
	struct fault_list removed = { 0 };
	const struct route_spec *r;
	struct account_key key;
	struct document *d;
	char text[2048];

	snprintf(text, sizeof(text), "{\"Version\":3,%s}", x->member);
	d = convert(text, &removed);
	ck_assert_int_eq(removed.count > 0, x->is_told);
	r = routing_find_route(&d->routing, "h", "/kept/x");
	ck_assert_int_eq(r ? r->service_count : -1, x->route_status);
	account_key_of("kept", 4, &key);
	ck_assert_int_eq(document_find_account_by_key(d, &key) >= 0,
			 x->has_key);
	fault_list_clear(&removed);
	document_unref(d);
}
END_TEST

struct key_case {
	const char *text; /* of a configuration, or of a document */
	int is_document;
	int requires_key;
};

static const struct key_case key_cases[] = {
	{ "{\"Version\":3}", 0, 0 },
	{ "{\"Version\":3,\"Tenants\":[]}", 0, 1 },
	{ "{\"Version\":3,\"Tenants\":null}", 0, 1 },
	{ "{\"Version\":3,\"Tenants\":7}", 0, 1 },
	{ "{\"Version\":3,\"Tenants\":[{\"Name\":\"a\",\"" FIELD_KEYS
	  "\":[]}]}",
	  0, 1 },
	{ "{\"Version\":3,\"Tenants\":[{\"Name\":\"a b\"}]}", 0, 1 },
	{ "{\"Version\":3,\"Tenants\":[{\"Name\":\"a\",\"" FIELD_KEYS
	  "\":[\"k\"],"
	  "\"" FIELD_ALLOWED_REGIONS "\":7}]}",
	  0, 1 },
	{ "{\"revision\":3,\"accounts\":[]}", 1, 0 },
	{ "{\"revision\":3,\"accounts\":[{\"account\":\"a\"}]}", 1, 1 },
	{ "{\"revision\":3,\"accounts\":[{\"account\":\"a\",\"keys\":[]}]}", 1,
	  1 },
};

/*
 * Guards against a configuration without a single key, in which every request
 * ran, whatever key it had.
 */
START_TEST(keys_are_required_though_no_account_has_one)
{
	const struct key_case *x = &key_cases[_i];
	struct fault_list faults = { 0 };
	struct document *d =
		x->is_document
			? document_parse(x->text, strlen(x->text), &faults)
			: convert(x->text, &faults);

	ck_assert_int_eq(d->requires_key, x->requires_key);
	fault_list_clear(&faults);
	document_unref(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform-document");
	TCase *t = tcase_create("platform-document");
	SRunner *r;
	int failed;

	apr_initialize();
	tcase_add_loop_test(t, text_of_full_value_is_within_the_limit, 0,
			    FILLING_COUNT);
	tcase_add_loop_test(t, full_value_comes_into_force, 0, FILLING_COUNT);
	tcase_add_test(t, model_of_two_services_is_on_the_upstreams_of_both);
	tcase_add_loop_test(t, odd_part_costs_that_part_only, 0,
			    (int)(sizeof(odd_parts) / sizeof(odd_parts[0])));
	tcase_add_loop_test(t, keys_are_required_though_no_account_has_one, 0,
			    (int)(sizeof(key_cases) / sizeof(key_cases[0])));
	tcase_set_timeout(t, 60);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_VERBOSE);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
