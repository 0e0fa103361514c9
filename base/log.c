#include "base/log.h"

#include <apr_time.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log-writer.h"
#include "base/metric.h"

#define LOG_TEXT_SIZE 512
#define LOG_BURST 60
#define LOG_WINDOW_US (10 * APR_USEC_PER_SEC)
#define LOG_LIMIT_SLOTS 64

/* Bytes a second of lines that name a request, and how long unused ones keep. */
#define LOG_FAILURE_RATE 16384.0
#define LOG_PLAIN_RATE 4096.0
#define LOG_BUDGET_S 4

struct log_limit {
	const char *fmt;   /* a message is known by its format string */
	apr_time_t opened; /* start of its window */
	unsigned count;
	unsigned dropped;
};

static struct {
	char program[32];
	char instance[64];
	enum log_severity lowest;
	struct log_limit limits[LOG_LIMIT_SLOTS];
	pthread_mutex_t mutex;
} state = { "limpet", "", LOG_SEV_INFO, { { 0 } }, PTHREAD_MUTEX_INITIALIZER };

/* Names the process in every later line and sets the lowest severity kept. */
void log_init(const char *program, const char *instance,
	      enum log_severity lowest)
{
	snprintf(state.program, sizeof(state.program), "%s", program);
	snprintf(state.instance, sizeof(state.instance), "%s", instance);
	state.lowest = lowest;
	log_writer_start(STDOUT_FILENO);
}

/* Changes the lowest severity kept, at any time. */
void log_level_set(enum log_severity lowest)
{
	__atomic_store_n(&state.lowest, lowest, __ATOMIC_RELAXED);
}

static const char *severity_name(enum log_severity sev)
{
	switch (sev) {
	case LOG_SEV_ERROR:
		return "err";
	case LOG_SEV_WARNING:
		return "warning";
	case LOG_SEV_NOTICE:
		return "notice";
	case LOG_SEV_INFO:
		return "info";
	default:
		return "debug";
	}
}

/*
 * Decides whether a message may be written now.  *repeated receives how
 * many were left out in the window that just closed.
 */
static int limit_allows(const char *fmt, apr_time_t now, unsigned *repeated)
{
	size_t slot = ((uintptr_t)fmt >> 3) % LOG_LIMIT_SLOTS;
	struct log_limit *l = &state.limits[slot];
	int allowed;

	*repeated = 0;
	if (l->fmt != fmt || now - l->opened > LOG_WINDOW_US) {
		if (l->fmt == fmt)
			*repeated = l->dropped;
		l->fmt = fmt;
		l->opened = now;
		l->count = 0;
		l->dropped = 0;
	}
	allowed = l->count < LOG_BURST;
	if (allowed)
		l->count++;
	else
		l->dropped++;
	return allowed;
}

/* A budget of bytes for the lines that name a request. */
struct log_budget {
	double level;
	apr_time_t filled;
	unsigned dropped;
};

static struct log_budget budgets[2];

static struct log_budget *budget_of(enum log_severity sev, double *rate)
{
	*rate = sev <= LOG_SEV_WARNING ? LOG_FAILURE_RATE : LOG_PLAIN_RATE;
	return &budgets[sev <= LOG_SEV_WARNING];
}

/* Fills the budget up to now; the clock may have been set back. */
static void budget_fill(struct log_budget *b, double rate, apr_time_t now)
{
	apr_interval_time_t age = now - b->filled;

	if (!b->filled || age < 0 || age > LOG_BUDGET_S * APR_USEC_PER_SEC)
		b->level = rate * LOG_BUDGET_S;
	else
		b->level += rate * (double)age / 1e6;
	if (b->level > rate * LOG_BUDGET_S)
		b->level = rate * LOG_BUDGET_S;
	b->filled = now;
}

static int budget_allows(enum log_severity sev, apr_time_t now,
			 unsigned *dropped)
{
	double rate;
	struct log_budget *b = budget_of(sev, &rate);
	int allowed;

	budget_fill(b, rate, now);
	allowed = b->level > 0;
	if (!allowed)
		b->dropped++;
	*dropped = allowed ? b->dropped : 0;
	if (allowed)
		b->dropped = 0;
	return allowed;
}

static void budget_charge(enum log_severity sev, size_t size)
{
	double rate;

	budget_of(sev, &rate)->level -= (double)size;
}

/* Returns 1 when a line would be written now, so that it is worth making. */
int log_wants(enum log_severity sev, int names_request)
{
	double rate;
	struct log_budget *b = budget_of(sev, &rate);
	int wanted = sev <= __atomic_load_n(&state.lowest, __ATOMIC_RELAXED);

	if (!wanted || !names_request)
		return wanted;
	pthread_mutex_lock(&state.mutex);
	budget_fill(b, rate, apr_time_now());
	wanted = b->level > 0;
	if (!wanted)
		b->dropped++;
	pthread_mutex_unlock(&state.mutex);
	if (!wanted)
		metric_count("log_lines_dropped", "budget", 1);
	return wanted;
}

static void line_put(json_t *o, const char *key, const char *value)
{
	if (value && *value)
		json_object_set_new(o, key,
				    json_stringn_nocheck(value, strlen(value)));
}

static void time_format(apr_time_t now, char *out, size_t size)
{
	apr_time_exp_t t;

	apr_time_exp_gmt(&t, now);
	snprintf(out, size, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
		 t.tm_year + 1900, t.tm_mon + 1, t.tm_mday, t.tm_hour, t.tm_min,
		 t.tm_sec, t.tm_usec / 1000);
}

static json_t *line_make(enum log_severity sev, const struct log_place *at,
			 const char *text, json_t *fields, apr_time_t now)
{
	char when[88]; /* room for any value the fields can hold */
	json_t *o = json_object();

	time_format(now, when, sizeof(when));
	line_put(o, "time", when);
	line_put(o, "severity", severity_name(sev));
	line_put(o, "program", state.program);
	line_put(o, "instance", state.instance);
	line_put(o, "step", at->step);
	line_put(o, "peer", at->peer);
	line_put(o, "request", at->request);
	line_put(o, "message", text);
	if (fields)
		json_object_update(o, fields);
	return o;
}

static void line_write(enum log_severity sev, const struct log_place *at,
		       const json_t *o)
{
	char *line = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	size_t size = line ? strlen(line) : 0;

	if (!line)
		return;
	if (at->request) {
		pthread_mutex_lock(&state.mutex);
		budget_charge(sev, size + 1);
		pthread_mutex_unlock(&state.mutex);
	}
	line[size] = '\n'; /* in place of the closing NUL */
	log_writer_put(line, size + 1);
	free(line);
}

static void line_log(enum log_severity sev, const struct log_place *at,
		     json_t *fields, const char *fmt, va_list ap)
{
	apr_time_t now = apr_time_now();
	char text[LOG_TEXT_SIZE];
	unsigned left_out = 0;
	json_t *o;
	int allowed;

	if (sev > __atomic_load_n(&state.lowest, __ATOMIC_RELAXED))
		return;
	pthread_mutex_lock(&state.mutex);
	allowed = at->request ? budget_allows(sev, now, &left_out)
			      : limit_allows(fmt, now, &left_out);
	pthread_mutex_unlock(&state.mutex);
	if (!allowed) {
		metric_count("log_lines_dropped",
			     at->request ? "budget" : "repeated", 1);
		return;
	}
	vsnprintf(text, sizeof(text), fmt, ap);
	o = line_make(sev, at, text, fields, now);
	if (left_out)
		json_object_set_new(o, "left_out", json_integer(left_out));
	line_write(sev, at, o);
	json_decref(o);
}

/*
 * Writes one line.  fmt must be a string literal: the rate limit knows a
 * message by its address.
 */
void log_write(enum log_severity sev, const struct log_place *at,
	       const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	line_log(sev, at, NULL, fmt, ap);
	va_end(ap);
}

/* See log.h. */
void log_fields(enum log_severity sev, const struct log_place *at,
		json_t *fields, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	line_log(sev, at, fields, fmt, ap);
	va_end(ap);
	json_decref(fields);
}

/* Writes an error value with its step and peer. */
void log_error_value(enum log_severity sev, const struct error *err)
{
	struct log_place at = { err->step, err->peer, NULL };

	log_write(sev, &at, "%s: %s", error_code_name(err->code), err->text);
}
