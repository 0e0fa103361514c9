#include "weights/engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Queries the state of this agent's engine and sends it load orders.
 */

#define STATE_PERIOD_UNLOADED_US (100 * 1000) /* a complete version waits */
#define STATE_PERIOD_ORDERED_US (20 * 1000)   /* an order runs */
#define STATE_TIMEOUT_MS 2000
/*
 * Time from the decision to order until the first byte is sent.  An order that
 * waited longer, as the process was paused or no connection was made, is not
 * sent: it is decided anew, on the view and the chunks of that time.
 */
#define ORDER_SEND_TIMEOUT_US (250 * 1000)

/* Maximum size of the engine's answers other than lists and chunks. */
#define ENGINE_TEXT_MAX (256 * 1024)

/*
 * Time after which an order without an answer, of an engine that has begun no
 * other one since, counts as lost.  The next version waits so long: an engine
 * loads what is staged when it accepts an order.
 */
#define ORDER_LOST_US (6 * APR_USEC_PER_SEC)

#define HTTP_OK 200

/* Prepares a request to the engine; done gets it as the arg of the fetch. */
struct engine_call *engine_call_new(struct weights *w, const char *path,
				    void (*done)(struct fetch *f))
{
	struct engine_call *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->w = w;
	x->ops.done = done;
	x->fetch.ops = &x->ops;
	x->fetch.arg = x;
	x->fetch.url = x->url;
	x->fetch.text_max = ENGINE_TEXT_MAX;
	snprintf(x->url, sizeof(x->url), "%s%s", w->node->settings.upstream_url,
		 path);
	return x;
}

/* Frees a finished request. */
void engine_call_free(struct engine_call *x)
{
	free(x->fetch.text);
	free(x->body);
	blob_release(x->blob);
	free(x);
}

static const struct engine_model *
find_engine_model(const struct engine_state *e, const char *name)
{
	int i;

	for (i = 0; i < e->model_count; i++)
		if (!strcmp(e->models[i].name, name))
			return &e->models[i];
	return NULL;
}

/* Clears the state of an engine that restarted without chunks and models. */
static void handle_engine_restart(struct weights *w, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h))) {
		m->is_staging_listed = 0;
		m->activation.is_complete = 0;
		swarm_free(m->previous_swarm);
		m->previous_swarm = NULL;
		if (m->swarm)
			swarm_clear_held(m->swarm, now);
	}
	metric_count("weights_engine_restarts", NULL, 1);
	log_warning("engine", w->node->settings.upstream_url,
		    "engine restarted and lost its staged chunks; "
		    "fetching them again");
}

/*
 * Returns 1 when the engine can't accept an order any more that it has not
 * answered: it has begun that or another one, which it was told to expect none
 * of before, or has restarted.
 */
static int is_order_closed(const struct model_row *m,
			   const struct engine_state *e, int has_restarted,
			   apr_time_t now)
{
	return has_restarted || e->order_count < 0 || m->open_order_count < 0 ||
	       e->order_count != m->open_order_count ||
	       now - m->open_order_sent_at > ORDER_LOST_US;
}

static void apply_engine_state(struct weights *w, const struct engine_state *e,
			       apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;
	int has_restarted = *w->engine.boot && strcmp(w->engine.boot, e->boot);

	w->engine = *e;
	if (has_restarted)
		handle_engine_restart(w, now);
	w->engine_answered_at = now;
	while ((m = table_next(&w->models, &h))) {
		const struct engine_model *r = find_engine_model(e, m->name);

		if (m->activation.is_ordering)
			continue;
		if (m->open_order && is_order_closed(m, e, has_restarted, now))
			m->open_order = 0;
		m->activation.is_engine_busy = e->is_order_running;
		activation_record_running(&m->activation, r ? r->version : "",
					  r && r->is_ready, r ? r->fence : 0,
					  has_restarted, now);
	}
}

static void state_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	struct engine_state e;
	json_t *o = NULL;

	if (!f->error.code && f->status == HTTP_OK && f->text)
		o = json_loadb(f->text, f->text_size, 0, NULL);
	table_lock(&w->models);
	w->is_engine_query_in_flight = 0;
	if (!w->ops->parse_state(o, &e))
		apply_engine_state(w, &e, clock_now());
	table_unlock(&w->models);
	json_decref(o);
	engine_call_free(x);
}

/*
 * Queries the engine's state, more often while an order runs, and verifies
 * staged chunks. The caller holds the lock of the models.
 */
void engine_step(struct weights *w, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	apr_interval_time_t period = w->engine_query_period;
	struct engine_call *x;
	struct model_row *m;

	while ((m = table_next(&w->models, &h))) {
		if (m->swarm)
			staging_start_verification(w, h, m);
		if (m->is_wanted && m->activation.is_complete &&
		    (!m->activation.is_running_known ||
		     strcmp(m->activation.running_version, m->version_hex) !=
			     0) &&
		    !m->activation.is_ordering &&
		    period > STATE_PERIOD_UNLOADED_US)
			period = STATE_PERIOD_UNLOADED_US;
		if (m->is_wanted && m->activation.is_engine_busy)
			period = STATE_PERIOD_ORDERED_US;
	}
	if (w->is_engine_query_in_flight || now - w->engine_query_at < period)
		return;
	w->engine_query_at = now;
	w->is_engine_query_in_flight = 1;
	x = engine_call_new(w, w->ops->state_path, state_done);
	x->fetch.timeout_ms = STATE_TIMEOUT_MS;
	fetch_submit(w->node->fetcher, &x->fetch);
}

/* Lists staging again after the engine lacked a chunk marked as held. */
static void clear_staging(struct model_row *m, apr_time_t now)
{
	swarm_clear_held(m->swarm, now);
	m->is_staging_listed = 0;
	m->activation.is_complete = 0;
}

static void order_done(struct fetch *f)
{
	struct engine_call *x = f->arg;
	struct weights *w = x->w;
	int status = f->error.code ? 0 : f->status;
	enum order_result result = w->ops->classify_order_status(status);
	apr_time_t now = clock_now();
	struct model_row *m;

	if (result != ORDER_ACCEPTED)
		log_warning("engine-order", x->url,
			    "load order failed: status %d %s", status,
			    f->error.text);
	metric_count("weights_orders",
		     result == ORDER_ACCEPTED ? "done" : "refused", 1);
	table_lock(&w->models);
	w->engine_query_at = 0;
	m = table_get(&w->models, x->model);
	/* Without an answer the engine may accept it yet. */
	if (m && (f->never_sent || f->status))
		m->open_order = 0;
	if (m && f->never_sent) {
		activation_record_unsent_order(&m->activation, now);
	} else if (m && m->swarm_id != x->swarm_id) {
		activation_record_replaced_order(&m->activation);
	} else if (m) {
		activation_record_order(&m->activation,
					result == ORDER_ACCEPTED, now);
		if (result == ORDER_CHUNK_MISSING)
			clear_staging(m, now);
	}
	table_unlock(&w->models);
	engine_call_free(x);
}

/*
 * Orders the engine to load the wanted version, as decided at now. The caller
 * holds the lock of the models.
 */
void engine_load(struct weights *w, struct handle h, struct model_row *m,
		 apr_time_t now)
{
	struct engine_call *x =
		engine_call_new(w, w->ops->order_path, order_done);
	struct load_order order = { .model = m->name,
				    .release = m->release,
				    .version = m->version_hex,
				    .fence = m->activation.fence,
				    .order_count = w->engine.order_count,
				    .manifest = m->swarm->manifest };

	x->model = h;
	x->swarm_id = m->swarm_id;
	x->body = w->ops->make_order_body(&order);
	x->fetch.method = "POST";
	x->fetch.headers[0] = "Content-Type: application/json";
	x->fetch.body = x->body;
	x->fetch.body_size = strlen(x->body);
	x->fetch.timeout_ms = w->ops->order_timeout_ms;
	x->fetch.send_by = now + ORDER_SEND_TIMEOUT_US;
	x->fetch.once = 1;
	m->activation.is_ordering = 1;
	m->open_order = m->swarm_id;
	m->open_order_sent_at = now;
	m->open_order_count = order.order_count;
	log_info("engine-order", m->name, "load version %.12s, fence %llu",
		 m->version_hex, (unsigned long long)m->activation.fence);
	fetch_submit(w->node->fetcher, &x->fetch);
}
