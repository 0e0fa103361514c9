#include "weights/transfer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"

/*
 * Writes verified chunks into the engine's staging memory, and keeps those that
 * it has no room for or that must not be written yet.
 */

#define STAGE_TEXT_MAX (64 * 1024) /* of the engine's answer to a chunk */
#define STAGE_TIMEOUT_MS 5000
#define STAGE_FULL_ATTEMPTS_MAX 20 /* engine has no room */
#define STAGE_FULL_WAIT_US (500 * 1000)
#define STAGE_DOWN_ATTEMPTS_MAX 80 /* engine is unreachable */
#define STAGE_DOWN_WAIT_US (100 * 1000)
#define STAGE_BLOCKED_WAIT_US (10 * 1000) /* until the next step */
#define STAGE_UNPARK_MAX 4 /* writes in flight when a parked one starts */

#define HTTP_OK 200
#define HTTP_CREATED 201
#define HTTP_NO_CONTENT 204
#define HTTP_FULL 507

/*
 * Parks a verified chunk. Returns -1 at shutdown. The caller holds the lock of
 * the models.
 */
static int park(struct transfer *t, apr_interval_time_t wait, apr_time_t now)
{
	struct weights *w = t->w;
	struct model_row *m = table_get(&w->models, t->model);

	if (w->is_stopping)
		return -1;
	if (!t->is_parked && m && m->swarm && m->swarm_id == t->swarm_id) {
		/* Other chunks may be transferred meanwhile. */
		swarm_record_result(m->swarm, &t->action, RESULT_PARKED, 0,
				    now);
		t->is_parked = 1;
	}
	t->stage_not_before = now + wait;
	t->next = w->parked;
	w->parked = t;
	return 0;
}

/*
 * Parks a verified chunk until the engine has room for it or is reachable. The
 * chunk must not be lost, since its fetch may have used an origin permit.
 * Returns -1 at shutdown or after attempts_max attempts.
 */
static int transfer_park(struct transfer *t, apr_interval_time_t wait,
			 int attempts_max)
{
	int ret;

	if (t->stage_attempts++ >= attempts_max)
		return -1;
	table_lock(&t->w->models);
	ret = park(t, wait, clock_now());
	table_unlock(&t->w->models);
	return ret;
}

static int transfer_park_for_engine(struct transfer *t, const struct fetch *f)
{
	if (f->status == HTTP_FULL) {
		__atomic_store_n(&t->w->is_staging_full, 1, __ATOMIC_RELAXED);
		return transfer_park(t, STAGE_FULL_WAIT_US,
				     STAGE_FULL_ATTEMPTS_MAX);
	}
	if (f->error.code == ERROR_UNREACHABLE)
		return transfer_park(t, STAGE_DOWN_WAIT_US,
				     STAGE_DOWN_ATTEMPTS_MAX);
	return -1;
}

static void record_write_end(struct transfer *t)
{
	struct model_row *m;

	table_lock(&t->w->models);
	m = table_get(&t->w->models, t->model);
	if (m && m->swarm_id == t->swarm_id)
		m->writes--;
	else if (m)
		m->superseded_writes--;
	table_unlock(&t->w->models);
}

static void stage_done(struct fetch *f)
{
	struct transfer *t = f->arg;
	int ok = !f->error.code &&
		 (f->status == HTTP_CREATED || f->status == HTTP_OK ||
		  f->status == HTTP_NO_CONTENT);

	free(f->text);
	record_write_end(t);
	if (ok) {
		blob_cache_add(&t->w->cache, t->blob);
	} else {
		metric_count("weights_staging_refused", NULL, 1);
		if (!transfer_park_for_engine(t, f))
			return;
	}
	transfer_end(t, ok ? RESULT_DONE : RESULT_ENGINE_REFUSED);
}

static const struct fetch_ops stage_ops = { NULL, NULL, stage_done };

/*
 * Returns 1 while a chunk must not be written to staging by position: one of
 * an earlier version may still arrive there after it, or the engine may still
 * load the staged chunks as that version. Many that waited for this are
 * written a few at a time.
 */
static int is_staging_blocked(const struct transfer *t,
			      const struct model_row *m)
{
	if (t->w->ops->has_digest_staging)
		return 0;
	return m->superseded_writes ||
	       (m->open_order && m->open_order != m->swarm_id) ||
	       (t->is_parked && m->writes >= STAGE_UNPARK_MAX);
}

/*
 * Puts a verified chunk into the engine's staging memory, or parks it. Returns
 * -1 when the chunk is to be dropped. The caller holds the lock of the models.
 */
int transfer_stage(struct transfer *t)
{
	struct model_row *m = table_get(&t->w->models, t->model);
	struct fetch *f = &t->fetch;

	if (transfer_is_superseded(t, m))
		return -1;
	if (m && is_staging_blocked(t, m))
		return park(t, STAGE_BLOCKED_WAIT_US, clock_now());
	if (m && m->swarm_id == t->swarm_id)
		m->writes++;
	else if (m)
		m->superseded_writes++;
	snprintf(t->url, sizeof(t->url), "%s%s",
		 t->w->node->settings.upstream_url, t->stage_path);
	memset(f, 0, sizeof(*f));
	f->ops = &stage_ops;
	f->arg = t;
	f->method = "PUT";
	f->url = t->url;
	f->body = t->blob->data;
	f->body_size = t->blob->size;
	f->timeout_ms = STAGE_TIMEOUT_MS;
	f->text_max = STAGE_TEXT_MAX;
	f->headers[0] = "Content-Type: application/octet-stream";
	fetch_submit(t->w->node->fetcher, f);
	return 0;
}

/* Retries the parked chunks that are due. The caller holds the lock. */
void transfers_unpark(struct weights *w, apr_time_t now)
{
	struct transfer **link = &w->parked;
	struct transfer *t;

	while ((t = *link)) {
		if (t->stage_not_before > now) {
			link = &t->next;
			continue;
		}
		*link = t->next;
		if (transfer_stage(t)) {
			w->buffer_bytes -= t->blob->size;
			transfer_free(t);
		}
	}
}

/* Frees the parked chunks at the end of the process. */
void transfers_stop(void *arg)
{
	struct weights *w = arg;
	struct transfer *t;

	table_lock(&w->models);
	w->is_stopping = 1;
	while ((t = w->parked)) {
		w->parked = t->next;
		transfer_free(t);
	}
	table_unlock(&w->models);
}
