#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "config/diff.h"
#include "config/findings.h"
#include "config/repair.h"
#include "platform/platform.h"

/* Largest file that is read; the platform takes 1 MiB. */
#define FILE_MAX_BYTES (4 * 1024 * 1024)

struct vet {
	struct fault_list errors;   /* it would be refused */
	struct fault_list findings; /* it would be accepted */
	struct diff_lines changes;
	int has_changes; /* compared with another version */
};

/*
 * Parses what an operator's configuration converts to.  The processes leave out
 * the parts that have faults and apply the rest; such parts are errors here.
 */
static struct document *parse_in_part(const char *text,
				      struct fault_list *errors)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(text, strlen(text), &faults);
	char *repaired = NULL;

	if (!d)
		repaired = document_repair(text, strlen(text), errors);
	if (repaired)
		d = document_parse(repaired, strlen(repaired), errors);
	free(repaired);
	fault_list_clear(&faults);
	return d;
}

/*
 * Reads a document, or the operator's configuration, which is converted by the
 * code that the processes use. Returns NULL after adding to errors.
 */
static struct document *load(const char *file, struct fault_list *errors,
			     struct fault_list *findings)
{
	json_t *o = schema_load_file(file, FILE_MAX_BYTES, errors);
	struct document *d = NULL;
	int is_document;
	json_t *root;
	char *text;

	if (!json_is_object(o)) {
		if (o)
			fault_add(errors, file, "is no object");
		json_decref(o);
		return NULL;
	}
	is_document = json_object_get(o, "revision") != NULL;
	root = is_document ? json_incref(o)
			   : platform_convert_config(o, findings);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	if (text && is_document)
		d = document_parse(text, strlen(text), errors);
	else if (text)
		d = parse_in_part(text, errors);
	free(text);
	json_decref(root);
	json_decref(o);
	return d;
}

static json_t *lines_json(char **lines, size_t count)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(list, json_string(lines[i]));
	return list;
}

static void print_lines(const char *kind, char **lines, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		printf("%s: %s\n", kind, lines[i]);
}

static void print_result(const struct vet *v, int as_json)
{
	json_t *o;

	if (!as_json) {
		print_lines("error", v->errors.lines, v->errors.count);
		print_lines("finding", v->findings.lines, v->findings.count);
		print_lines("change", v->changes.lines, v->changes.count);
		if (v->has_changes && !v->changes.count)
			printf("no change\n");
		return;
	}
	o = json_pack("{s:o,s:o}", "errors",
		      lines_json(v->errors.lines, v->errors.count), "findings",
		      lines_json(v->findings.lines, v->findings.count));
	if (v->has_changes)
		json_object_set_new(
			o, "changes",
			lines_json(v->changes.lines, v->changes.count));
	json_dumpf(o, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(o);
}

static void vet_files(struct vet *v, const char *file, const char *in_force)
{
	struct fault_list ignored = { 0 };
	struct document *d = load(file, &v->errors, &v->findings);
	struct document *old = NULL;

	if (d)
		document_find(d, &v->findings);
	if (in_force)
		old = load(in_force, &v->errors, &ignored);
	if (d && old) {
		document_diff(old, d, &v->changes);
		v->has_changes = 1;
	}
	document_unref(d);
	document_unref(old);
	fault_list_clear(&ignored);
}

/* limpetctl vet [--json] [--in-force FILE] FILE */
int cmd_vet(int argc, const char **argv)
{
	int as_json = 0, ret = EXIT_USAGE, rc;
	char *in_force = NULL;
	struct poptOption options[] = {
		{ "json", 0, POPT_ARG_NONE, &as_json, 0,
		  "print the result as JSON", NULL },
		{ "in-force", 0, POPT_ARG_STRING, &in_force, 0,
		  "print what changes from this version", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	struct vet v = { 0 };
	const char *file;

	poptSetOtherOptionHelp(ctx, "[--json] [--in-force FILE] FILE");
	rc = poptGetNextOpt(ctx);
	file = poptGetArg(ctx);
	if (rc < -1 || !file || poptPeekArg(ctx)) {
		fprintf(stderr, "limpetctl vet: %s\n",
			rc < -1 ? poptStrerror(rc) : "name one file");
		goto out;
	}
	vet_files(&v, file, in_force);
	print_result(&v, as_json);
	ret = v.errors.count	 ? EXIT_USAGE
	      : v.findings.count ? EXIT_FAILURE
				 : EXIT_SUCCESS;
out:
	fault_list_clear(&v.errors);
	fault_list_clear(&v.findings);
	diff_lines_clear(&v.changes);
	free(in_force);
	poptFreeContext(ctx);
	return ret;
}
