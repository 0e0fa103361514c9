#include "builtin/builtin.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "weights/manifest.h"

#define DEFAULT_CHUNK_BYTES (4 * 1024 * 1024)

struct manifest_options {
	char *model;
	char *version;
	int chunk_size;
	const char *file;
};

static int print_manifest(const struct manifest_options *o)
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
 * Prints the manifest of a model file.  The version that an account's file
 * refers to is the SHA-256 digest of the printed text.
 */
int cmd_manifest(int argc, const char **argv)
{
	struct manifest_options o = { NULL, NULL, DEFAULT_CHUNK_BYTES, NULL };
	struct poptOption table[] = {
		{ "model", 'm', POPT_ARG_STRING, &o.model, 0,
		  "name of the model", "NAME" },
		{ "version", 'v', POPT_ARG_STRING, &o.version, 0,
		  "the publisher's name for this version", "VERSION" },
		{ "chunk-size", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
		  &o.chunk_size, 0, "size of a chunk in bytes", "BYTES" },
		{ "json", 0, POPT_ARG_NONE, NULL, 0,
		  "no effect: the output is always JSON", NULL },
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
		ret = print_manifest(&o);
	poptFreeContext(ctx);
	free(o.model);
	free(o.version);
	return ret;
}
