#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "builtin/builtin.h"
#include "config/collect.h"

static void faults_print(const struct fault_list *l, int as_json, size_t files)
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
			printf("%zu files, no errors\n", files);
		return;
	}
	list = json_array();
	for (i = 0; i < l->count; i++)
		json_array_append_new(list, json_string(l->lines[i]));
	list = json_pack("{s:I,s:o}", "files", (json_int_t)files, "errors",
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
	size_t files = 0;

	poptSetOtherOptionHelp(ctx, "[--json] FILE...");
	rc = poptGetNextOpt(ctx);
	if (rc < -1) {
		fprintf(stderr, "limpetctl check: %s: %s\n",
			poptBadOption(ctx, 0), poptStrerror(rc));
		goto out;
	}
	while ((file = poptGetArg(ctx))) {
		collection_add_file(&c, file);
		files++;
	}
	if (!files) {
		fprintf(stderr, "limpetctl check: name at least one file\n");
		goto out;
	}
	collection_check(&c);
	faults_print(&c.faults, as_json, files);
	ret = c.faults.count ? EXIT_FAILURE : EXIT_SUCCESS;
out:
	collection_clear(&c);
	poptFreeContext(ctx);
	return ret;
}
