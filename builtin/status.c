#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "builtin/remote.h"

/*
 * Sends a request to every target and prints each answer, as JSON or with the
 * function print.  Returns EXIT_FAILURE when a target gave no answer.
 */
static int query_targets(struct remote *r, const char *method, const char *path,
			 void (*print)(const struct remote_target *t,
				       const json_t *v))
{
	int i, ret = 0;

	for (i = 0; i < r->target_count; i++) {
		json_t *v = remote_ask(r, &r->targets[i], method, path);

		if (!v) {
			ret = EXIT_FAILURE;
			continue;
		}
		if (r->as_json)
			remote_print_json(v);
		else
			print(&r->targets[i], v);
		json_decref(v);
	}
	return ret;
}

static void print_status(const struct remote_target *t, const json_t *v)
{
	const json_t *config = json_object_get(v, "config");

	printf("%-20s %-12s %-8s revision %lld  up %lld s%s\n",
	       schema_string(v, "instance", t->id),
	       schema_string(v, "program", "?"),
	       schema_string(v, "data_center", "?"),
	       schema_integer(config, "revision", 0),
	       schema_integer(v, "uptime_ms", 0) / 1000,
	       schema_boolean(v, "draining", 0) ? "  draining" : "");
}

/* limpetctl status [--json] [--platform URL] [ADDRESS...] */
int cmd_status(int argc, const char **argv)
{
	struct remote r = { 0 };
	int ret = remote_open(&r, argc, argv, 0, "[ADDRESS...]", NULL);

	if (!ret)
		ret = query_targets(&r, "GET", "/status", print_status);
	remote_close(&r);
	return ret;
}

static void print_config(const struct remote_target *t, const json_t *v)
{
	const json_t *c = json_object_get(v, "config");

	printf("%-20s revision %lld  %.16s\n",
	       schema_string(v, "instance", t->id),
	       schema_integer(c, "revision", 0),
	       schema_string(c, "digest", "none"));
}

/* limpetctl config [--json] [--platform URL] [ADDRESS...] */
int cmd_config(int argc, const char **argv)
{
	struct remote r = { 0 };
	int ret = remote_open(&r, argc, argv, 0, "[ADDRESS...]", NULL);

	if (!ret)
		ret = query_targets(&r, "GET", "/status", print_config);
	remote_close(&r);
	return ret;
}

static void print_drain(const struct remote_target *t, const json_t *v)
{
	printf("%-20s %s\n", t->id,
	       schema_boolean(v, "draining", 0) ? "draining" : "not draining");
}

/* limpetctl drain ADDRESS... */
int cmd_drain(int argc, const char **argv)
{
	struct remote r = { 0 };
	int ret = remote_open(&r, argc, argv, 0, "ADDRESS...", NULL);

	if (!ret)
		ret = query_targets(&r, "POST", "/drain", print_drain);
	remote_close(&r);
	return ret;
}

/*
 * Returns the value of a metric for a label, or the sum over its labels when
 * label is NULL.  A metric without labels has just one value.
 */
static long long get_metric(const json_t *status, const char *name,
			    const char *label)
{
	const json_t *m =
		json_object_get(json_object_get(status, "metrics"), name);
	long long sum = 0;
	const char *key;
	json_t *v;

	if (json_is_integer(m))
		return json_integer_value(m);
	json_object_foreach((json_t *)m, key, v)
	{
		if (!label || !strcmp(key, label))
			sum += json_integer_value(v);
	}
	return sum;
}

static void print_metrics(const struct remote_target *t, const json_t *v)
{
	printf("%-20s %10lld %10lld %10lld %14lld %14lld\n",
	       schema_string(v, "instance", t->id),
	       get_metric(v, "calls_outcome", "answer"),
	       get_metric(v, "calls_outcome", "not-run"),
	       get_metric(v, "calls_outcome", "unknown"),
	       get_metric(v, "weights_received_bytes", NULL),
	       get_metric(v, "weights_sent_bytes", NULL));
}

/* limpetctl top [--count N] [--interval S] [--platform URL] [ADDRESS...] */
int cmd_top(int argc, const char **argv)
{
	int count = 0, interval = 2, iteration, ret;
	struct poptOption extra[] = {
		{ "count", 0, POPT_ARG_INT, &count, 0,
		  "number of iterations (default 0: no limit)", "N" },
		{ "interval", 0, POPT_ARG_INT, &interval, 0,
		  "seconds between iterations (default 2)", "S" },
		POPT_TABLEEND
	};
	struct remote r = { 0 };

	ret = remote_open(&r, argc, argv, 0, "[ADDRESS...]", extra);
	for (iteration = 0; !ret && (!count || iteration < count);
	     iteration++) {
		if (iteration)
			sleep((unsigned)interval);
		if (!r.as_json)
			printf("%-20s %10s %10s %10s %14s %14s\n", "INSTANCE",
			       "ANSWERED", "NOT-RUN", "UNKNOWN", "RECEIVED",
			       "SENT");
		ret = query_targets(&r, "GET", "/status", print_metrics);
		fflush(stdout);
	}
	remote_close(&r);
	return ret;
}
