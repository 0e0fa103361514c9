#include "weights/internal.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "member/report.h"

/* The status for operators, and the models in the agent's report. */

static json_t *model_status(const struct model_row *m, apr_time_t now)
{
	struct activation a = m->activation;
	enum activation_state state = activation_step(&a, now);
	const struct swarm *s = m->swarm;

	return json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:i,s:I,s:I}", "model",
		m->name, "version", m->version_hex, "state",
		s || state == ACTIVATION_SERVING ? activation_state_name(state)
						 : "manifest",
		"running", m->activation.running_version, "chunks",
		s ? (int)s->chunk_count : 0, "held", s ? (int)s->held_count : 0,
		"neighbours", s ? s->peer_count : 0, "transfers",
		s ? s->pulls + s->carries + s->origin_fetches : 0, "carrier",
		s ? s->is_carrier : 0, "order_failures", m->activation.failures,
		"fence", (json_int_t)m->activation.fence, "whole_ms_ago",
		m->completed_at ? (json_int_t)((now - m->completed_at) / 1000)
				: (json_int_t)-1);
}

/* The section "weights" of /status. */
json_t *weights_status(void *arg)
{
	struct weights *w = arg;
	json_t *models = json_array();
	struct handle h = HANDLE_NONE;
	const struct model_row *m;
	apr_time_t now = clock_now();
	json_t *o;

	table_lock(&w->models);
	while ((m = table_next(&w->models, &h)))
		if (m->is_wanted)
			json_array_append_new(models, model_status(m, now));
	o = json_pack("{s:o,s:f,s:I,s:b}", "models", models, "link_share",
		      w->throttle.share, "in_flight_bytes",
		      (json_int_t)w->buffer_bytes, "staging_full",
		      __atomic_load_n(&w->is_staging_full, __ATOMIC_RELAXED));
	table_unlock(&w->models);
	return o;
}

static void report_copy_models(struct weights *w, struct upstream_report *r)
{
	struct handle h = HANDLE_NONE;
	const struct model_row *m;

	r->model_count = 0;
	while ((m = table_next(&w->models, &h))) {
		struct report_model *to = &r->models[r->model_count];

		if (!m->is_wanted || !activation_can_serve(&m->activation) ||
		    r->model_count == REPORT_MODELS_MAX)
			continue;
		snprintf(to->name, sizeof(to->name), "%s", m->name);
		snprintf(to->version, sizeof(to->version), "%s",
			 m->activation.running_version);
		r->model_count++;
	}
}

/*
 * Writes the models that can serve into this agent's report, and adapts the
 * throttle to the token times in it. The caller holds the lock of the models.
 */
void weights_publish(struct weights *w)
{
	struct table *t = &w->node->board.upstreams;
	struct handle h = HANDLE_NONE;
	struct upstream_report *r;
	apr_time_t now = clock_now();

	table_lock(t);
	while ((r = table_next(t, &h))) {
		if (strcmp(r->instance, w->node->settings.instance) != 0)
			continue;
		report_copy_models(w, r);
		throttle_step(&w->throttle, r->running, r->token_us, now);
	}
	table_unlock(t);
}
