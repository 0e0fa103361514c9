#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "builtin/builtin.h"
#include "config/collect.h"

static void print_faults(const struct fault_list *l, int as_json,
			 size_t file_count)
{
	json_t *list;
	size_t i;

	if (!as_json) {
		for (i = 0; i < l->count; i++)
			fprintf(stderr, "%s\n", l->lines[i]);
		if (l->count)
			fprintf(stderr, "limpetctl check: %zu errors\n",
				l->count);
		else
			printf("%zu files, no errors\n", file_count);
		return;
	}
	list = json_array();
	for (i = 0; i < l->count; i++)
		json_array_append_new(list, json_string(l->lines[i]));
	list = json_pack("{s:I,s:o}", "files", (json_int_t)file_count, "errors",
			 list);
	json_dumpf(list, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(list);
}

/* limpetctl check [--json] FILE... */
int cmd_check(int argc, const char **argv)
{
	int as_json = 0, ret = EXIT_USAGE, rc;
	struct poptOption options[] = { { "json", 0, POPT_ARG_NONE, &as_json, 0,
					  "print the result as JSON", NULL },
					POPT_AUTOHELP POPT_TABLEEND };
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);
	struct collection c = { 0 };
	const char *file;
	size_t file_count = 0;

	poptSetOtherOptionHelp(ctx, "[--json] FILE...");
	rc = poptGetNextOpt(ctx);
	if (rc < -1) {
		fprintf(stderr, "limpetctl check: %s: %s\n",
			poptBadOption(ctx, 0), poptStrerror(rc));
		goto out;
	}
	while ((file = poptGetArg(ctx))) {
		collection_add_file(&c, file);
		file_count++;
	}
	if (!file_count) {
		fprintf(stderr, "limpetctl check: name at least one file\n");
		goto out;
	}
	collection_check(&c);
	print_faults(&c.faults, as_json, file_count);
	ret = c.faults.count ? EXIT_FAILURE : EXIT_SUCCESS;
out:
	collection_clear(&c);
	poptFreeContext(ctx);
	return ret;
}
