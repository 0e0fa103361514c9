#include "builtin/remote.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "builtin/builtin.h"

#define DEFAULT_OPERATOR_PORT 7102
#define DEFAULT_TIMEOUT_MS 3000

/*
 * Sends a request and parses the JSON answer.  Unless any_status is set, only
 * status 200 is accepted.  Returns a new reference, or NULL after printing the
 * error to stderr.
 */
static json_t *fetch_json(struct remote *r, const char *method, const char *url,
			  int any_status)
{
	struct fetch f = { .method = method,
			   .url = url,
			   .timeout_ms = r->timeout_ms };
	json_error_t at;
	json_t *v = NULL;
	char *body = NULL;
	size_t size;
	int status;

	status = fetch_wait(r->fetcher, &f, &body, &size);
	if (status < 0)
		fprintf(stderr, "limpetctl: %s: %s\n", url, f.error.text);
	else if (!any_status && status != 200)
		fprintf(stderr, "limpetctl: %s: HTTP status %d\n", url, status);
	else
		v = json_loadb(body ? body : "", size, 0, &at);
	if (status == 200 && !v)
		fprintf(stderr, "limpetctl: %s: response is not valid JSON\n",
			url);
	free(body);
	return v;
}

static void add_target(struct remote *r, const char *id, const char *address,
		       const char *role)
{
	struct remote_target *t;

	if (r->target_count == REMOTE_TARGETS_MAX)
		return;
	if (r->role && *role && strcmp(r->role, role))
		return;
	t = &r->targets[r->target_count++];
	snprintf(t->id, sizeof(t->id), "%s", id);
	snprintf(t->address, sizeof(t->address), "%s", address);
	snprintf(t->role, sizeof(t->role), "%s", role);
}

static int discover_targets(struct remote *r)
{
	json_t *v, *list;
	char url[512];
	size_t i;

	snprintf(url, sizeof(url), "%s/instances?after=0&wait=0",
		 r->platform_url);
	v = fetch_json(r, "GET", url, 0);
	if (!v)
		return -1;
	list = json_object_get(v, "instances");
	for (i = 0; i < json_array_size(list); i++) {
		const json_t *o = json_array_get(list, i);

		add_target(r, schema_string(o, "id", "?"),
			   schema_string(o, "address", ""),
			   schema_string(o, "role", ""));
	}
	json_decref(v);
	return 0;
}

/*
 * Reads the words and addresses that follow the options.  Returns -1 when there
 * are fewer than word_count words.
 */
static int parse_arguments(struct remote *r, poptContext ctx, int word_count)
{
	const char *arg;

	while ((arg = poptGetArg(ctx))) {
		if (r->word_count < word_count)
			r->words[r->word_count++] = strdup(arg);
		else
			add_target(r, arg, arg, "");
	}
	return r->word_count == word_count ? 0 : -1;
}

/*
 * Parses the command line: options, word_count words, then addresses.  Without
 * an address the targets are read from the platform's list of instances.
 * Returns 0, or the exit status after printing the error to stderr.
 */
int remote_open(struct remote *r, int argc, const char **argv, int word_count,
		const char *usage, const struct poptOption *extra)
{
	struct poptOption none[] = { POPT_TABLEEND };
	struct poptOption table[] = {
		{ "platform", 'p', POPT_ARG_STRING, &r->platform_url, 0,
		  "query the instances that the platform lists", "URL" },
		{ "role", 0, POPT_ARG_STRING, &r->role, 0,
		  "query only instances with this role", "entry|agent" },
		{ "port", 0, POPT_ARG_INT, &r->operator_port, 0,
		  "operators' port (default 7102)", "PORT" },
		{ "timeout", 0, POPT_ARG_INT, &r->timeout_ms, 0,
		  "timeout of each request (default 3000)", "MS" },
		{ "json", 0, POPT_ARG_NONE, &r->as_json, 0,
		  "print JSON, one object per line", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE,
		  (void *)(extra ? extra : none), 0, NULL, NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	struct error err = ERROR_INIT;
	poptContext ctx;
	int rc, ret = EXIT_USAGE;

	r->operator_port = DEFAULT_OPERATOR_PORT;
	r->timeout_ms = DEFAULT_TIMEOUT_MS;
	r->targets = calloc(REMOTE_TARGETS_MAX, sizeof(*r->targets));
	r->words = calloc((size_t)word_count + 1, sizeof(*r->words));
	r->fetcher = fetcher_start(NULL, &err);
	if (!r->targets || !r->words || !r->fetcher)
		abort();
	ctx = poptGetContext(NULL, argc, argv, table, 0);
	poptSetOtherOptionHelp(ctx, usage);
	rc = poptGetNextOpt(ctx);
	if (rc < -1) {
		fprintf(stderr, "limpetctl %s: %s: %s\n", argv[0],
			poptBadOption(ctx, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
		goto out;
	}
	if (parse_arguments(r, ctx, word_count)) {
		fprintf(stderr, "usage: limpetctl %s %s\n", argv[0], usage);
		goto out;
	}
	ret = 0;
	if (!r->target_count && r->platform_url && discover_targets(r))
		ret = EXIT_FAILURE;
	if (!ret && !r->target_count) {
		fprintf(stderr,
			"limpetctl %s: expected an ADDRESS or --platform URL\n",
			argv[0]);
		ret = EXIT_USAGE;
	}
out:
	poptFreeContext(ctx);
	return ret;
}

/* Frees what remote_open allocated; must also be called after it failed. */
void remote_close(struct remote *r)
{
	int i;

	for (i = 0; i < r->word_count; i++)
		free((char *)r->words[i]);
	free(r->words);
	free(r->targets);
	free(r->platform_url);
	free(r->role);
	fetcher_stop(r->fetcher);
}

/*
 * Sends one request to the operators' port of an instance.  Returns a new
 * reference to the JSON answer, whatever its HTTP status, or NULL after
 * printing the error to stderr.
 */
json_t *remote_ask(struct remote *r, const struct remote_target *t,
		   const char *method, const char *path)
{
	char url[512];

	snprintf(url, sizeof(url), "http://%s:%d%s", t->address,
		 r->operator_port, path);
	return fetch_json(r, method, url, 1);
}

/* Prints a value to stdout as one line of JSON. */
void remote_print_json(const json_t *v)
{
	json_dumpf(v, stdout, JSON_COMPACT);
	putchar('\n');
}
