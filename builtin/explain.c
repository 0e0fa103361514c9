#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "builtin/remote.h"

/*
 * Tells what happened to a request from the log lines of all processes: its
 * own lines in the order of time, and those about the upstreams that it met.
 */

#define LINE_SIZE (64 * 1024)
#define PEERS_MAX 16
#define AROUND_MS 5000 /* lines about an upstream that still matter */

struct story {
	const char *id;
	json_t *lines; /* all that could be read */
	json_t *found; /* those of the request, later those around it too */
	const char *peers[PEERS_MAX];
	int peer_count;
	const char *first, *last; /* times of the request's lines */
};

/* Reads the JSON lines of a log; what stands before the object is skipped. */
static void log_read(struct story *s, FILE *fp)
{
	char *line = malloc(LINE_SIZE);

	if (!line)
		abort();
	while (fgets(line, LINE_SIZE, fp)) {
		const char *at = strchr(line, '{');
		json_t *o = at ? json_loads(at, JSON_DISABLE_EOF_CHECK, NULL)
			       : NULL;

		if (json_is_object(o))
			json_array_append_new(s->lines, o);
		else
			json_decref(o);
	}
	free(line);
}

static int log_open(struct story *s, const char *name)
{
	FILE *fp = strcmp(name, "-") ? fopen(name, "r") : stdin;

	if (!fp) {
		fprintf(stderr, "limpetctl explain: %s: ", name);
		perror("");
		return -1;
	}
	log_read(s, fp);
	if (fp != stdin)
		fclose(fp);
	return 0;
}

static void peer_note(struct story *s, const char *peer)
{
	int i;

	for (i = 0; i < s->peer_count; i++)
		if (!strcmp(s->peers[i], peer))
			return;
	if (*peer && s->peer_count < PEERS_MAX)
		s->peers[s->peer_count++] = peer;
}

static void own_lines_find(struct story *s)
{
	json_t *o;
	size_t i;

	json_array_foreach(s->lines, i, o)
	{
		const char *when = schema_string(o, "time", "");

		if (strcmp(schema_string(o, "request", ""), s->id) != 0)
			continue;
		json_array_append(s->found, o);
		if (strcmp(schema_string(o, "step", ""), "refuse") != 0)
			peer_note(s, schema_string(o, "peer", ""));
		if (!*s->first || strcmp(when, s->first) < 0)
			s->first = when;
		if (strcmp(when, s->last) > 0)
			s->last = when;
	}
}

/* Milliseconds of the day in a line's time, which ends in hh:mm:ss.mmmZ. */
static long day_ms(const char *when)
{
	int h, m, sec, ms;

	if (strlen(when) < 24 ||
	    sscanf(when + 11, "%2d:%2d:%2d.%3d", &h, &m, &sec, &ms) != 4)
		return -1;
	return ((h * 60L + m) * 60 + sec) * 1000 + ms;
}

static void peer_lines_find(struct story *s)
{
	long first = day_ms(s->first) - AROUND_MS;
	long last = day_ms(s->last) + AROUND_MS;
	json_t *o;
	size_t i;
	int j;

	json_array_foreach(s->lines, i, o)
	{
		long at = day_ms(schema_string(o, "time", ""));

		if (*schema_string(o, "request", "") || at < first || at > last)
			continue;
		for (j = 0; j < s->peer_count; j++)
			if (!strcmp(schema_string(o, "peer", ""), s->peers[j]))
				json_array_append(s->found, o);
	}
}

static int line_compare(const void *a, const void *b)
{
	return strcmp(schema_string(*(json_t *const *)a, "time", ""),
		      schema_string(*(json_t *const *)b, "time", ""));
}

/* What the head of a printed line says already. */
static int is_in_head(const char *key)
{
	static const char *const keys[] = { "time",    "severity", "program",
					    "request", "instance", "step",
					    "peer",    "message",  NULL };
	int i;

	for (i = 0; keys[i]; i++)
		if (!strcmp(keys[i], key))
			return 1;
	return 0;
}

static void line_print(const json_t *o)
{
	const char *key;
	json_t *v;

	printf("%s %s %s %s: %s", schema_string(o, "time", "-"),
	       schema_string(o, "instance", "-"), schema_string(o, "step", "-"),
	       schema_string(o, "peer", "-"), schema_string(o, "message", ""));
	json_object_foreach((json_t *)o, key, v)
	{
		char *text;

		if (is_in_head(key))
			continue;
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", key, text);
		free(text);
	}
	printf("\n");
}

static void story_print(const struct story *s, int as_json)
{
	size_t n = json_array_size(s->found), i;
	json_t **lines = calloc(n, sizeof(*lines));

	if (!lines)
		abort();
	for (i = 0; i < n; i++)
		lines[i] = json_array_get(s->found, i);
	qsort(lines, n, sizeof(*lines), line_compare);
	for (i = 0; i < n; i++) {
		if (as_json) {
			json_dumpf(lines[i], stdout, JSON_COMPACT);
			printf("\n");
		} else {
			line_print(lines[i]);
		}
	}
	free(lines);
}

/* Tells the story of a request in log files.  Returns the exit status. */
static int explain_logs(const char *id, const char **files, int as_json)
{
	struct story s = { .id = id, .first = "", .last = "" };
	int ret = EXIT_FAILURE;

	s.lines = json_array();
	s.found = json_array();
	for (; *files; files++)
		if (log_open(&s, *files))
			goto out;
	own_lines_find(&s);
	if (!json_array_size(s.found)) {
		fprintf(stderr, "limpetctl explain: no line names \"%s\"\n",
			id);
		goto out;
	}
	peer_lines_find(&s);
	story_print(&s, as_json);
	ret = EXIT_SUCCESS;
out:
	json_decref(s.found);
	json_decref(s.lines);
	return ret;
}

static void files_free(const char **files)
{
	int i;

	for (i = 0; files && files[i]; i++)
		free((char *)files[i]);
	free(files);
}

/* limpetctl explain ID --log FILE... */
static int explain_from_logs(int argc, const char **argv)
{
	const char **files = NULL;
	const char *id;
	int as_json = 0, ret = EXIT_USAGE, rc;
	struct poptOption options[] = {
		{ "log", 0, POPT_ARG_ARGV, &files, 0,
		  "a file of log lines, - for standard input", "FILE" },
		{ "json", 0, POPT_ARG_NONE, &as_json, 0,
		  "print the lines as they are", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);

	poptSetOtherOptionHelp(ctx, "REQUEST-ID --log FILE...");
	rc = poptGetNextOpt(ctx);
	id = rc < -1 ? NULL : poptGetArg(ctx);
	if (rc < -1)
		fprintf(stderr, "limpetctl explain: %s: %s\n",
			poptBadOption(ctx, 0), poptStrerror(rc));
	else if (!id || !files)
		poptPrintUsage(ctx, stderr, 0);
	else
		ret = explain_logs(id, files, as_json);
	files_free(files);
	poptFreeContext(ctx);
	return ret;
}

static int has_log_option(int argc, const char **argv)
{
	int i;

	for (i = 1; i < argc; i++)
		if (!strncmp(argv[i], "--log", 5))
			return 1;
	return 0;
}

/*
 * limpetctl explain ID [--platform URL] [ADDRESS...]: asks running instances;
 * limpetctl explain ID --log FILE...: reads their log lines.
 */
int cmd_explain(int argc, const char **argv)
{
	struct remote r = { 0 };
	char path[256];
	int ret, i, found = 0;

	if (has_log_option(argc, argv))
		return explain_from_logs(argc, argv);
	ret = remote_open(&r, argc, argv, 1, "REQUEST-ID [ADDRESS...]", NULL);
	if (ret)
		goto out;
	snprintf(path, sizeof(path), "/explain?id=%s", r.words[0]);
	for (i = 0; i < r.target_count; i++) {
		json_t *v = remote_ask(&r, &r.targets[i], "GET", path);

		if (v && json_object_get(v, "id")) {
			remote_print_json(v);
			found = 1;
		}
		json_decref(v);
	}
	if (!found) {
		fprintf(stderr,
			"limpetctl explain: no instance remembers \"%s\"\n",
			r.words[0]);
		ret = EXIT_FAILURE;
	}
out:
	remote_close(&r);
	return ret;
}
