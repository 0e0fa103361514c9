#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"
#include "config/collect.h"
#include "config/diff.h"
#include "config/document.h"

struct collect_options {
	char *pattern;
	char *old_file;
	long long revision;
	int as_json;
};

static void print_faults(const struct fault_list *l)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		fprintf(stderr, "%s\n", l->lines[i]);
	fprintf(stderr, "limpetctl collect: %zu errors, no document\n",
		l->count);
}

static struct document *load_document(const char *file)
{
	struct fault_list faults = { 0 };
	struct document *d = NULL;
	json_t *root = schema_load_file(file, COLLECT_FILE_MAX_BYTES, &faults);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	if (text)
		d = document_parse(text, strlen(text), &faults);
	if (!d)
		print_faults(&faults);
	free(text);
	json_decref(root);
	fault_list_clear(&faults);
	return d;
}

static void print_diff_lines(const struct diff_lines *l, int as_json)
{
	json_t *list;
	size_t i;

	if (!as_json) {
		for (i = 0; i < l->count; i++)
			printf("%s\n", l->lines[i]);
		if (!l->count)
			printf("nothing changes\n");
		return;
	}
	list = json_array();
	for (i = 0; i < l->count; i++)
		json_array_append_new(list, json_string(l->lines[i]));
	list = json_pack("{s:o}", "changes", list);
	json_dumpf(list, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(list);
}

/*
 * Prints how the collected text differs from the document in o->old_file.
 * Returns the exit status.
 */
static int print_diff(const struct collect_options *o, const char *text)
{
	struct fault_list faults = { 0 };
	struct diff_lines lines = { 0 };
	struct document *from = load_document(o->old_file);
	struct document *to = NULL;
	int ret = EXIT_FAILURE;

	if (!from)
		goto out;
	to = document_parse(text, strlen(text), &faults);
	if (!to) {
		print_faults(&faults);
		goto out;
	}
	document_diff(from, to, &lines);
	print_diff_lines(&lines, o->as_json);
	ret = EXIT_SUCCESS;
out:
	diff_lines_clear(&lines);
	fault_list_clear(&faults);
	document_unref(from);
	document_unref(to);
	return ret;
}

static int collect(const struct collect_options *o, const char *directory)
{
	struct collection c = { 0 };
	char *text = NULL;
	int ret = EXIT_FAILURE;

	if (!collection_add_directory(&c, directory, o->pattern) &&
	    !c.faults.count)
		fault_add(&c.faults, directory, "holds no file named \"%s\"",
			  o->pattern);
	collection_check(&c);
	if (!c.faults.count)
		text = collection_build_document(&c, o->revision);
	if (!text)
		print_faults(&c.faults);
	else if (o->old_file)
		ret = print_diff(o, text);
	else
		ret = puts(text) < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	free(text);
	collection_clear(&c);
	return ret;
}

/* limpetctl collect [--revision N] [--name PATTERN] [--diff OLD] DIR */
int cmd_collect(int argc, const char **argv)
{
	struct collect_options o = { .revision = 1 };
	struct poptOption options[] = {
		{ "revision", 0, POPT_ARG_LONGLONG, &o.revision, 0,
		  "revision of the new document (default 1)", "N" },
		{ "name", 0, POPT_ARG_STRING, &o.pattern, 0,
		  "file names to read (default *.json)", "PATTERN" },
		{ "diff", 0, POPT_ARG_STRING, &o.old_file, 0,
		  "print what would change from this document", "OLD" },
		{ "json", 0, POPT_ARG_NONE, &o.as_json, 0,
		  "print the changes as JSON", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	const char *directory;
	int ret = EXIT_USAGE, rc;

	poptSetOtherOptionHelp(ctx, "[OPTIONS] DIRECTORY");
	rc = poptGetNextOpt(ctx);
	directory = poptGetArg(ctx);
	if (rc < -1)
		fprintf(stderr, "limpetctl collect: %s: %s\n",
			poptBadOption(ctx, 0), poptStrerror(rc));
	else if (!directory || poptPeekArg(ctx) || o.revision < 1)
		fprintf(stderr, "limpetctl collect: expected one directory "
				"and a revision from 1\n");
	else
		ret = 0;
	if (!ret && !o.pattern)
		o.pattern = strdup("*.json");
	if (!ret)
		ret = collect(&o, directory);
	free(o.pattern);
	free(o.old_file);
	poptFreeContext(ctx);
	return ret;
}
