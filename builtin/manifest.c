#include "builtin/builtin.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "weights/manifest.h"

#define CHUNK_SIZE_DEFAULT (4 * 1024 * 1024) /* bytes */

struct manifest_options {
	char *model;
	char *version;
	int chunk_size;
	const char *file;
};

static int manifest_print(const struct manifest_options *o)
{
	struct error err = ERROR_INIT;
	const char *base = strrchr(o->file, '/');
	FILE *fp = fopen(o->file, "rb");
	char *text;

	if (!fp) {
		fprintf(stderr, "limpetctl manifest: %s: cannot open: %m\n",
			o->file);
		return 1;
	}
	text = manifest_create(fp, base ? base + 1 : o->file, o->model,
			       o->version, (uint32_t)o->chunk_size, &err);
	fclose(fp);
	if (!text) {
		fprintf(stderr, "limpetctl manifest: %s: %s\n", o->file,
			err.text);
		return 1;
	}
	puts(text);
	free(text);
	return 0;
}

/*
 * Prints the manifest of a model file.  The version to name in an account's
 * file is the SHA-256 of what is printed.
 */
int cmd_manifest(int argc, const char **argv)
{
	struct manifest_options o = { NULL, NULL, CHUNK_SIZE_DEFAULT, NULL };
	struct poptOption table[] = {
		{ "model", 'm', POPT_ARG_STRING, &o.model, 0,
		  "name of the model", "NAME" },
		{ "version", 'v', POPT_ARG_STRING, &o.version, 0,
		  "the publisher's name for this version", "VERSION" },
		{ "chunk-size", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
		  &o.chunk_size, 0, "bytes in a chunk", "BYTES" },
		{ "json", 0, POPT_ARG_NONE, NULL, 0,
		  "print JSON (it always does)", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	int rc, ret = EXIT_USAGE;

	poptSetOtherOptionHelp(ctx, "[OPTIONS] FILE");
	rc = poptGetNextOpt(ctx);
	o.file = poptGetArg(ctx);
	if (rc < -1)
		fprintf(stderr, "limpetctl manifest: %s: %s\n",
			poptBadOption(ctx, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
	else if (!o.model || !o.version || !o.file || poptPeekArg(ctx))
		fprintf(stderr, "limpetctl manifest: --model, --version and "
				"one FILE are required; see --help\n");
	else if (o.chunk_size < MANIFEST_CHUNK_MIN ||
		 o.chunk_size > MANIFEST_CHUNK_MAX)
		fprintf(stderr,
			"limpetctl manifest: --chunk-size: expected %d to %d "
			"bytes\n",
			MANIFEST_CHUNK_MIN, MANIFEST_CHUNK_MAX);
	else
		ret = manifest_print(&o);
	poptFreeContext(ctx);
	free(o.model);
	free(o.version);
	return ret;
}
