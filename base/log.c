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

#define LOG_TEXT_SIZE 512
#define LOG_BURST 20
#define LOG_WINDOW_US (10 * APR_USEC_PER_SEC)
#define LOG_LIMIT_SLOTS 64

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

static void line_put(json_t *o, const char *key, const char *value)
{
	if (value && *value)
		json_object_set_new(o, key,
				    json_stringn_nocheck(value, strlen(value)));
}

/*
 * Writes one line.  fmt must be a string literal: the rate limit knows a
 * message by its address.
 */
void log_write(enum log_severity sev, const struct log_place *at,
	       const char *fmt, ...)
{
	apr_time_t now = apr_time_now();
	char text[LOG_TEXT_SIZE];
	char when[88]; /* room for any value the fields can hold */
	apr_time_exp_t t;
	unsigned repeated;
	json_t *o;
	char *line;
	va_list ap;
	int allowed;

	if (sev > __atomic_load_n(&state.lowest, __ATOMIC_RELAXED))
		return;
	pthread_mutex_lock(&state.mutex);
	allowed = limit_allows(fmt, now, &repeated);
	pthread_mutex_unlock(&state.mutex);
	if (!allowed)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	apr_time_exp_gmt(&t, now);
	snprintf(when, sizeof(when), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
		 t.tm_year + 1900, t.tm_mon + 1, t.tm_mday, t.tm_hour, t.tm_min,
		 t.tm_sec, t.tm_usec / 1000);
	o = json_object();
	line_put(o, "time", when);
	line_put(o, "severity", severity_name(sev));
	line_put(o, "program", state.program);
	line_put(o, "instance", state.instance);
	line_put(o, "step", at->step);
	line_put(o, "peer", at->peer);
	line_put(o, "request", at->request);
	line_put(o, "message", text);
	if (repeated)
		json_object_set_new(o, "left_out", json_integer(repeated));
	line = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	if (line) {
		flockfile(stderr);
		fputs(line, stderr);
		fputc('\n', stderr);
		funlockfile(stderr);
	}
	free(line);
	json_decref(o);
}

/* Writes an error value with its step and peer. */
void log_error_value(enum log_severity sev, const struct error *err)
{
	struct log_place at = { err->step, err->peer, NULL };

	log_write(sev, &at, "%s: %s", error_code_name(err->code), err->text);
}
