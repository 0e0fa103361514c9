#include "calls/explain.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Initializes an empty ring. */
void explain_init(struct explain_ring *r)
{
	pthread_mutex_init(&r->mutex, NULL);
	r->added_count = 0;
	r->calls = calloc(EXPLAIN_CALLS_MAX, sizeof(*r->calls));
	if (!r->calls)
		abort();
}

/* Adds a step to a call; only the first EXPLAIN_STEPS_MAX are stored. */
void explain_add_step(struct explain_call *c, apr_time_t now, const char *fmt,
		      ...)
{
	int i = c->step_count++;
	va_list ap;

	if (i >= EXPLAIN_STEPS_MAX)
		return;
	c->steps[i].at_ms = (int)((now - c->started_at) / 1000);
	va_start(ap, fmt);
	vsnprintf(c->steps[i].text, EXPLAIN_STEP_SIZE, fmt, ap);
	va_end(ap);
}

/* Stores a finished call in place of the oldest one. */
void explain_add_call(struct explain_ring *r, const struct explain_call *c)
{
	pthread_mutex_lock(&r->mutex);
	r->calls[r->added_count++ % EXPLAIN_CALLS_MAX] = *c;
	pthread_mutex_unlock(&r->mutex);
}

static json_t *call_to_json(const struct explain_call *c)
{
	json_t *steps = json_array();
	int i;

	for (i = 0; i < c->step_count && i < EXPLAIN_STEPS_MAX; i++)
		json_array_append_new(steps,
				      json_pack("{s:i,s:s}", "at_ms",
						c->steps[i].at_ms, "step",
						c->steps[i].text));
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:o}", "id", c->id,
			 "account", c->account, "target", c->target, "outcome",
			 c->outcome, "reason", c->reason, "took_ms",
			 (json_int_t)(c->duration_us / 1000), "steps", steps);
}

/* Returns all stored calls with the request id, newest first. */
json_t *explain_find(struct explain_ring *r, const char *id)
{
	json_t *list = json_array();
	unsigned i, n;

	pthread_mutex_lock(&r->mutex);
	n = r->added_count < EXPLAIN_CALLS_MAX ? r->added_count
					       : EXPLAIN_CALLS_MAX;
	for (i = 1; i <= n; i++) {
		const struct explain_call *c =
			&r->calls[(r->added_count - i) % EXPLAIN_CALLS_MAX];

		if (!strcmp(c->id, id))
			json_array_append_new(list, call_to_json(c));
	}
	pthread_mutex_unlock(&r->mutex);
	return list;
}
