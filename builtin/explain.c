#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "builtin/remote.h"

/*
 * Reconstructs the course of a request from the log lines of all processes, in
 * order of time: the lines of the request itself, and lines about the upstreams
 * that it was sent to.
 */

#define LINE_SIZE (64 * 1024)
#define PEERS_MAX 16
/*
 * Lines about an upstream are shown from this long before the request's first
 * line to this long after its last one.
 */
#define PEER_LINES_MARGIN_MS 5000

struct request_trace {
	const char *id;
	json_t *lines;		      /* all lines that are JSON objects */
	json_t *found;		      /* lines to print */
	const char *peers[PEERS_MAX]; /* upstreams of the request */
	int peer_count;
	/* Times of the first and last line of the request. */
	const char *first, *last;
};

/*
 * Reads the JSON lines of a log.  Text before the object on a line is skipped,
 * and so are lines without a valid object.
 */
static void read_log(struct request_trace *s, FILE *fp)
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

static int open_log(struct request_trace *s, const char *name)
{
	FILE *fp = strcmp(name, "-") ? fopen(name, "r") : stdin;

	if (!fp) {
		fprintf(stderr, "limpetctl explain: %s: ", name);
		perror("");
		return -1;
	}
	read_log(s, fp);
	if (fp != stdin)
		fclose(fp);
	return 0;
}

static void add_peer(struct request_trace *s, const char *peer)
{
	int i;

	for (i = 0; i < s->peer_count; i++)
		if (!strcmp(s->peers[i], peer))
			return;
	if (*peer && s->peer_count < PEERS_MAX)
		s->peers[s->peer_count++] = peer;
}

static void find_request_lines(struct request_trace *s)
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
			add_peer(s, schema_string(o, "peer", ""));
		if (!*s->first || strcmp(when, s->first) < 0)
			s->first = when;
		if (strcmp(when, s->last) > 0)
			s->last = when;
	}
}

/*
 * Returns the time of day in ms of a time such as 2026-01-01T10:00:00.100Z, or
 * -1 when it has another form.
 */
static long parse_time_of_day_ms(const char *when)
{
	int h, m, sec, ms;

	if (strlen(when) < 24 ||
	    sscanf(when + 11, "%2d:%2d:%2d.%3d", &h, &m, &sec, &ms) != 4)
		return -1;
	return ((h * 60L + m) * 60 + sec) * 1000 + ms;
}

static void find_peer_lines(struct request_trace *s)
{
	long first = parse_time_of_day_ms(s->first) - PEER_LINES_MARGIN_MS;
	long last = parse_time_of_day_ms(s->last) + PEER_LINES_MARGIN_MS;
	json_t *o;
	size_t i;
	int j;

	json_array_foreach(s->lines, i, o)
	{
		long at = parse_time_of_day_ms(schema_string(o, "time", ""));

		if (*schema_string(o, "request", "") || at < first || at > last)
			continue;
		for (j = 0; j < s->peer_count; j++)
			if (!strcmp(schema_string(o, "peer", ""), s->peers[j]))
				json_array_append(s->found, o);
	}
}

static int compare_line_times(const void *a, const void *b)
{
	return strcmp(schema_string(*(json_t *const *)a, "time", ""),
		      schema_string(*(json_t *const *)b, "time", ""));
}

/* Returns 1 for members that are not printed as key=value after the message. */
static int is_omitted_member(const char *key)
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

static void print_line(const json_t *o)
{
	const char *key;
	json_t *v;

	printf("%s %s %s %s: %s", schema_string(o, "time", "-"),
	       schema_string(o, "instance", "-"), schema_string(o, "step", "-"),
	       schema_string(o, "peer", "-"), schema_string(o, "message", ""));
	json_object_foreach((json_t *)o, key, v)
	{
		char *text;

		if (is_omitted_member(key))
			continue;
		text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", key, text);
		free(text);
	}
	printf("\n");
}

static void print_trace(const struct request_trace *s, int as_json)
{
	size_t n = json_array_size(s->found), i;
	json_t **lines = calloc(n, sizeof(*lines));

	if (!lines)
		abort();
	for (i = 0; i < n; i++)
		lines[i] = json_array_get(s->found, i);
	qsort(lines, n, sizeof(*lines), compare_line_times);
	for (i = 0; i < n; i++) {
		if (as_json) {
			json_dumpf(lines[i], stdout, JSON_COMPACT);
			printf("\n");
		} else {
			print_line(lines[i]);
		}
	}
	free(lines);
}

/* Prints the course of a request from log files.  Returns the exit status. */
static int explain_from_files(const char *id, const char **files, int as_json)
{
	struct request_trace s = { .id = id, .first = "", .last = "" };
	int ret = EXIT_FAILURE;

	s.lines = json_array();
	s.found = json_array();
	for (; *files; files++)
		if (open_log(&s, *files))
			goto out;
	find_request_lines(&s);
	if (!json_array_size(s.found)) {
		fprintf(stderr,
			"limpetctl explain: no log line of request \"%s\"\n",
			id);
		goto out;
	}
	find_peer_lines(&s);
	print_trace(&s, as_json);
	ret = EXIT_SUCCESS;
out:
	json_decref(s.found);
	json_decref(s.lines);
	return ret;
}

static void free_files(const char **files)
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
		  "log file to read, - for standard input", "FILE" },
		{ "json", 0, POPT_ARG_NONE, &as_json, 0,
		  "print the log lines unchanged", NULL },
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
		ret = explain_from_files(id, files, as_json);
	free_files(files);
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
 * limpetctl explain ID [--platform URL] [ADDRESS...] queries running instances;
 * limpetctl explain ID --log FILE... reads log files.
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
			"limpetctl explain: no instance has a record of "
			"request \"%s\"\n",
			r.words[0]);
		ret = EXIT_FAILURE;
	}
out:
	remote_close(&r);
	return ret;
}
