#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "builtin/remote.h"

/* Asks every target for path and hands each answer to show. */
static int each_target(struct remote *r, const char *method, const char *path,
		       void (*show)(const struct remote_target *t,
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
			show(&r->targets[i], v);
		json_decref(v);
	}
	return ret;
}

static void status_show(const struct remote_target *t, const json_t *v)
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
		ret = each_target(&r, "GET", "/status", status_show);
	remote_close(&r);
	return ret;
}

static void config_show(const struct remote_target *t, const json_t *v)
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
		ret = each_target(&r, "GET", "/status", config_show);
	remote_close(&r);
	return ret;
}

static void drain_show(const struct remote_target *t, const json_t *v)
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
		ret = each_target(&r, "POST", "/drain", drain_show);
	remote_close(&r);
	return ret;
}

/* Returns a metric's value under a label, or its sum when label is NULL. */
static long long metric_of(const json_t *status, const char *name,
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

static void top_show(const struct remote_target *t, const json_t *v)
{
	printf("%-20s %10lld %10lld %10lld %14lld %14lld\n",
	       schema_string(v, "instance", t->id),
	       metric_of(v, "calls_outcome", "answer"),
	       metric_of(v, "calls_outcome", "not-run"),
	       metric_of(v, "calls_outcome", "unknown"),
	       metric_of(v, "weights_received_bytes", NULL),
	       metric_of(v, "weights_sent_bytes", NULL));
}

/* limpetctl top [--count N] [--interval S] [--platform URL] [ADDRESS...] */
int cmd_top(int argc, const char **argv)
{
	int count = 0, interval = 2, turn, ret;
	struct poptOption extra[] = { { "count", 0, POPT_ARG_INT, &count, 0,
					"how many times (0: until stopped)",
					"N" },
				      { "interval", 0, POPT_ARG_INT, &interval,
					0, "seconds between", "S" },
				      POPT_TABLEEND };
	struct remote r = { 0 };

	ret = remote_open(&r, argc, argv, 0, "[ADDRESS...]", extra);
	for (turn = 0; !ret && (!count || turn < count); turn++) {
		if (turn)
			sleep((unsigned)interval);
		if (!r.as_json)
			printf("%-20s %10s %10s %10s %14s %14s\n", "INSTANCE",
			       "ANSWERED", "NOT-RUN", "UNKNOWN", "RECEIVED",
			       "SENT");
		ret = each_target(&r, "GET", "/status", top_show);
		fflush(stdout);
	}
	remote_close(&r);
	return ret;
}
