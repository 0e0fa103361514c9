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

/*
 * Limits for lines that name a request, in bytes per second.  The unused
 * budget of up to LOG_BUDGET_S seconds accumulates for bursts.
 */
#define LOG_FAILURE_BYTES_PER_S 16384.0
#define LOG_PLAIN_BYTES_PER_S 4096.0
#define LOG_BUDGET_S 4

struct log_limit {
	const char *fmt;	 /* identifies the message, by address */
	apr_time_t window_start; /* start of the current window */
	unsigned count;		 /* lines written in the window */
	unsigned dropped;	 /* lines suppressed in the window */
};

static struct {
	char program[32];
	char instance[64];
	enum log_severity min_severity;
	struct log_limit limits[LOG_LIMIT_SLOTS];
	pthread_mutex_t mutex;
} state = { "limpet", "", LOG_SEV_INFO, { { 0 } }, PTHREAD_MUTEX_INITIALIZER };

/*
 * Sets the program and instance names written on every line and the least
 * severe level that is written, and starts the writer thread.
 */
void log_init(const char *program, const char *instance,
	      enum log_severity min_severity)
{
	snprintf(state.program, sizeof(state.program), "%s", program);
	snprintf(state.instance, sizeof(state.instance), "%s", instance);
	state.min_severity = min_severity;
	log_writer_start(STDOUT_FILENO);
}

/* Changes the least severe level that is written; callable from any thread. */
void log_level_set(enum log_severity min_severity)
{
	__atomic_store_n(&state.min_severity, min_severity, __ATOMIC_RELAXED);
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
 * Returns 1 if a line with this format string may be written now.  If the
 * call starts a new window, *repeated is set to the number of lines of the
 * same message suppressed in the previous one, otherwise to 0.
 */
static int limit_allows(const char *fmt, apr_time_t now, unsigned *repeated)
{
	size_t slot = ((uintptr_t)fmt >> 3) % LOG_LIMIT_SLOTS;
	struct log_limit *l = &state.limits[slot];
	int allowed;

	*repeated = 0;
	if (l->fmt != fmt || now - l->window_start > LOG_WINDOW_US) {
		if (l->fmt == fmt)
			*repeated = l->dropped;
		l->fmt = fmt;
		l->window_start = now;
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

/* Token bucket, in bytes, for lines that name a request. */
struct log_budget {
	double bytes_left;	/* may be below 0 after a long line */
	apr_time_t refilled_at; /* time of the last refill, 0 for never */
	unsigned dropped; /* lines suppressed since the last one written */
};

static struct log_budget budgets[2];

static struct log_budget *budget_of(enum log_severity sev, double *rate)
{
	*rate = sev <= LOG_SEV_WARNING ? LOG_FAILURE_BYTES_PER_S
				       : LOG_PLAIN_BYTES_PER_S;
	return &budgets[sev <= LOG_SEV_WARNING];
}

/*
 * Refills the budget for the time since the last refill.  The wall clock may
 * have been set back; the budget is then filled completely.
 */
static void budget_refill(struct log_budget *b, double rate, apr_time_t now)
{
	apr_interval_time_t age = now - b->refilled_at;

	if (!b->refilled_at || age < 0 || age > LOG_BUDGET_S * APR_USEC_PER_SEC)
		b->bytes_left = rate * LOG_BUDGET_S;
	else
		b->bytes_left += rate * (double)age / 1e6;
	if (b->bytes_left > rate * LOG_BUDGET_S)
		b->bytes_left = rate * LOG_BUDGET_S;
	b->refilled_at = now;
}

/*
 * Returns 1 if the budget allows a line now, and sets *dropped to the number
 * of lines suppressed before it.
 */
static int budget_allows(enum log_severity sev, apr_time_t now,
			 unsigned *dropped)
{
	double rate;
	struct log_budget *b = budget_of(sev, &rate);
	int allowed;

	budget_refill(b, rate, now);
	allowed = b->bytes_left > 0;
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

	budget_of(sev, &rate)->bytes_left -= (double)size;
}

/*
 * Returns 1 if a line would be written now, so that callers can skip building
 * one that would be discarded.  If the budget does not allow a line that names
 * a request, it is counted as dropped.
 */
int log_is_enabled(enum log_severity sev, int names_request)
{
	double rate;
	struct log_budget *b = budget_of(sev, &rate);
	int enabled =
		sev <= __atomic_load_n(&state.min_severity, __ATOMIC_RELAXED);

	if (!enabled || !names_request)
		return enabled;
	pthread_mutex_lock(&state.mutex);
	budget_refill(b, rate, apr_time_now());
	enabled = b->bytes_left > 0;
	if (!enabled)
		b->dropped++;
	pthread_mutex_unlock(&state.mutex);
	if (!enabled)
		metric_count("log_lines_dropped", "budget", 1);
	return enabled;
}

static void line_add_member(json_t *o, const char *key, const char *value)
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

/* Builds the JSON object of a line; empty members are omitted. */
static json_t *line_build(enum log_severity sev, const struct log_place *at,
			  const char *text, json_t *fields, apr_time_t now)
{
	char timestamp[88]; /* large enough for any int in each field */
	json_t *o = json_object();

	time_format(now, timestamp, sizeof(timestamp));
	line_add_member(o, "time", timestamp);
	line_add_member(o, "severity", severity_name(sev));
	line_add_member(o, "program", state.program);
	line_add_member(o, "instance", state.instance);
	line_add_member(o, "step", at->step);
	line_add_member(o, "peer", at->peer);
	line_add_member(o, "request", at->request);
	line_add_member(o, "message", text);
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
	line[size] = '\n'; /* replaces the terminating NUL */
	log_writer_put(line, size + 1);
	free(line);
}

static void line_log(enum log_severity sev, const struct log_place *at,
		     json_t *fields, const char *fmt, va_list ap)
{
	apr_time_t now = apr_time_now();
	char text[LOG_TEXT_SIZE];
	unsigned suppressed = 0;
	json_t *o;
	int allowed;

	if (sev > __atomic_load_n(&state.min_severity, __ATOMIC_RELAXED))
		return;
	pthread_mutex_lock(&state.mutex);
	allowed = at->request ? budget_allows(sev, now, &suppressed)
			      : limit_allows(fmt, now, &suppressed);
	pthread_mutex_unlock(&state.mutex);
	if (!allowed) {
		metric_count("log_lines_dropped",
			     at->request ? "budget" : "repeated", 1);
		return;
	}
	vsnprintf(text, sizeof(text), fmt, ap);
	o = line_build(sev, at, text, fields, now);
	if (suppressed)
		json_object_set_new(o, "left_out", json_integer(suppressed));
	line_write(sev, at, o);
	json_decref(o);
}

/*
 * Writes one line.  fmt must be a string literal, because the rate limit
 * identifies a message by the address of its format string.
 */
void log_write(enum log_severity sev, const struct log_place *at,
	       const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	line_log(sev, at, NULL, fmt, ap);
	va_end(ap);
}

/* Like log_write(), with additional members; takes over the reference. */
void log_fields(enum log_severity sev, const struct log_place *at,
		json_t *fields, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	line_log(sev, at, fields, fmt, ap);
	va_end(ap);
	json_decref(fields);
}

/* Writes one line for an error, with its step, peer, code and text. */
void log_error_value(enum log_severity sev, const struct error *err)
{
	struct log_place at = { err->step, err->peer, NULL };

	log_write(sev, &at, "%s: %s", error_code_name(err->code), err->text);
}
