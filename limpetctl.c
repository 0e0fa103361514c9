#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "base/version.h"
#include "builtin/builtin.h"

struct command {
	const char *name;
	int (*run)(int argc, const char **argv);
	const char *help;
};

static const struct command commands[] = {
	{ "check", cmd_check, "check account files and list every error" },
	{ "vet", cmd_vet, "check a configuration before it is sent" },
	{ "collect", cmd_collect, "combine account files into one document" },
	{ "manifest", cmd_manifest, "print the manifest of a model file" },
	{ "status", cmd_status, "show the status of instances" },
	{ "where", cmd_where, "show which upstreams serve a model" },
	{ "explain", cmd_explain, "show where a recent request went and why" },
	{ "drain", cmd_drain, "make instances stop accepting new work" },
	{ "config", cmd_config, "show the current revision on instances" },
	{ "top", cmd_top, "show calls and transfers periodically" },
	{ NULL }
};

static void print_usage(FILE *fp)
{
	const struct command *c;

	fprintf(fp, "usage: limpetctl COMMAND [OPTIONS] [ARGUMENTS]\n\n");
	for (c = commands; c->name; c++)
		fprintf(fp, "  %-10s %s\n", c->name, c->help);
	fprintf(fp, "\nlimpetctl COMMAND --help lists a command's options.\n");
}

int main(int argc, const char **argv)
{
	const struct command *c;
	int ret = EXIT_USAGE;

	if (argc < 2) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_usage(stdout);
		return 0;
	}
	if (!strcmp(argv[1], "--version")) {
		printf("limpetctl %s\n", LIMPET_VERSION_STRING);
		return 0;
	}
	for (c = commands; c->name && strcmp(c->name, argv[1]); c++)
		;
	if (!c->name) {
		fprintf(stderr,
			"limpetctl: unknown command \"%s\"; see limpetctl "
			"--help\n",
			argv[1]);
		return EXIT_USAGE;
	}
	apr_initialize();
	ret = c->run(argc - 1, argv + 1);
	apr_terminate();
	return ret;
}
