#include "net/daemon.h"

#include <apr_general.h>
#include <malloc.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/log-writer.h"
#include "base/version.h"

#define EXIT_USAGE 2
#define LOG_FLUSH_MS 200 /* at the end of the process */

/* Blocks of this size, such as documents, are given back when they are freed. */
#define MMAP_MIN_BYTES (64 * 1024)

struct daemon_options {
	char *settings_file;
	int check_only;
	int show_version;
};

static int parse_options(int argc, const char **argv, struct daemon_options *o)
{
	struct poptOption table[] = {
		{ "settings", 's', POPT_ARG_STRING, &o->settings_file, 0,
		  "JSON file with this process's settings", "FILE" },
		{ "check-settings", 0, POPT_ARG_NONE, &o->check_only, 0,
		  "check the settings, list every error and exit", NULL },
		{ "version", 0, POPT_ARG_NONE, &o->show_version, 0,
		  "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);
	int ret = 0;

	if (rc < -1) {
		fprintf(stderr, "%s: %s: %s\n", argv[0],
			poptBadOption(ctx, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
		ret = -1;
	} else if (poptPeekArg(ctx)) {
		fprintf(stderr, "%s: unexpected argument \"%s\"\n", argv[0],
			poptPeekArg(ctx));
		ret = -1;
	} else if (!o->settings_file && !o->show_version) {
		fprintf(stderr, "%s: --settings FILE is required; see --help\n",
			argv[0]);
		ret = -1;
	}
	poptFreeContext(ctx);
	return ret;
}

static int load_settings(const char *file, enum role role, struct settings *s)
{
	struct fault_list faults = { 0 };
	size_t i;
	int ret;

	ret = settings_load(file, role, s, &faults);
	for (i = 0; i < faults.count; i++)
		fprintf(stderr, "%s: %s\n", file, faults.lines[i]);
	fault_list_clear(&faults);
	return ret;
}

static int daemon_run(const char *program, enum role role,
		      const char *settings_file, const struct settings *s,
		      int (*start)(struct node *n, struct error *err))
{
	static struct node n;
	struct error err = ERROR_INIT;
	int ret;

	log_init(program, s->instance,
		 s->log_debug ? LOG_SEV_DEBUG : LOG_SEV_INFO);
	ret = node_init(&n, program, role, s, &err);
	n.settings_file = settings_file;
	if (!ret)
		ret = start(&n, &err);
	if (!ret)
		ret = node_run(&n, &err);
	if (ret) {
		log_error_value(LOG_SEV_ERROR, &err);
		fprintf(stderr, "%s: %s: %s: %s\n", program, err.step, err.peer,
			err.text);
	}
	node_destroy(&n);
	log_writer_flush(LOG_FLUSH_MS);
	return ret ? EXIT_FAILURE : EXIT_SUCCESS;
}

/*
 * Bounds the memory that the allocator holds back. A process has one core and
 * many threads, which would each keep free blocks in an arena of their own.
 */
static void limit_free_memory(void)
{
	mallopt(M_ARENA_MAX, 1);
	mallopt(M_MMAP_THRESHOLD, MMAP_MIN_BYTES);
	mallopt(M_TRIM_THRESHOLD, MMAP_MIN_BYTES);
}

/* See daemon.h. */
int daemon_main(int argc, const char **argv, const char *program,
		enum role role, int (*start)(struct node *n, struct error *err))
{
	struct daemon_options o = { 0 };
	struct settings s;
	int ret = EXIT_USAGE;

	limit_free_memory();
	apr_initialize();
	if (parse_options(argc, argv, &o))
		goto out;
	if (o.show_version) {
		printf("%s %s\n", program, LIMPET_VERSION_STRING);
		ret = EXIT_SUCCESS;
		goto out;
	}
	if (load_settings(o.settings_file, role, &s))
		goto out;
	ret = o.check_only
		      ? EXIT_SUCCESS
		      : daemon_run(program, role, o.settings_file, &s, start);
out:
	free(o.settings_file);
	apr_terminate();
	return ret;
}
