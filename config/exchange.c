#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/component.h"
#include "config/config_proto.h"
#include "config/delta.h"
#include "config/pack.h"

#define EXCHANGE_MS 800 /* timeout of an exchange of versions */
#define START_MS 250	/* same, while a process waits for it to start */
#define PACK_MIN 512	/* bytes; below, a text is sent as it is */
#define PULL_MS 3000	/* same, with a text in the reply */

struct exchange_job {
	struct job job;
	struct config *config;
	struct spread_action action;
};

/* A call to the platform, from its start until its text was taken. */
struct watch_job {
	struct job job;
	struct config *config;
	struct platform_read read;
	apr_time_t asked;
};

static void versions_to_wire(const struct spread_version *v,
			     config_version *wire)
{
	int i;

	for (i = 0; i < SPREAD_VALUE_COUNT; i++) {
		wire[i].revision = v[i].version;
		memcpy(wire[i].digest, v[i].digest.bytes, DIGEST_SIZE);
		wire[i].platform_age_ms = v[i].platform_age_ms;
	}
}

static int versions_from_wire(const config_version *wire, u_int count,
			      struct spread_version *v)
{
	u_int i;

	for (i = 0; i < count && i < SPREAD_VALUE_COUNT; i++) {
		v[i].version = wire[i].revision;
		memcpy(v[i].digest.bytes, wire[i].digest, DIGEST_SIZE);
		v[i].platform_age_ms = wire[i].platform_age_ms;
	}
	return (int)i;
}

/* Fills in what this process holds.  The caller holds the mutex. */
static void wire_say(struct config *c, config_version *wire, apr_time_t now)
{
	struct spread_version said[SPREAD_VALUE_COUNT];

	spread_get_versions(&c->spread, said, now);
	versions_to_wire(said, wire);
}

static int exchange_request(struct config *c, struct exchange_job *j,
			    config_reply *rep, struct error *err)
{
	config_version have[SPREAD_VALUE_COUNT];
	config_request req = { { SPREAD_VALUE_COUNT, have } };
	int timeout = j->action.starting   ? START_MS
		      : j->action.want < 0 ? EXCHANGE_MS
					   : PULL_MS;

	req.want = (u_int)(j->action.want + 1);
	pthread_mutex_lock(&c->mutex);
	req.whole = j->action.want >= 0 && c->values[j->action.want].whole;
	wire_say(c, have, clock_now());
	pthread_mutex_unlock(&c->mutex);
	return rpc_exchange(c->node->rpc, j->action.address,
			    c->node->settings.rpc_port, &config_kinds[0], &req,
			    rep, timeout, err);
}

/* Makes the whole text of a delta.  The caller frees it. */
static char *text_rebuild(struct config *c, int value, const config_reply *rep,
			  size_t *size)
{
	struct value_state *v = &c->values[value];
	char *text = NULL;
	int i;

	pthread_mutex_lock(&c->mutex);
	for (i = 0; i < TEXTS_MAX && !text; i++) {
		if (v->texts[i].data && v->texts[i].version == rep->base)
			text = delta_apply(v->texts[i].data, v->texts[i].size,
					   rep->text.text_val,
					   rep->text.text_len, CONFIG_TEXT_MAX,
					   size);
	}
	pthread_mutex_unlock(&c->mutex);
	return text;
}

/* A text made of a delta counts only if it has the digest announced. */
static void delta_take(struct config *c, int value, const config_reply *rep,
		       const char *source)
{
	struct digest digest;
	size_t size = 0;
	char *text = text_rebuild(c, value, rep, &size);

	if (text)
		digest_of(text, size, &digest);
	if (text && (u_int)value < rep->have.have_len &&
	    !memcmp(digest.bytes, rep->have.have_val[value].digest,
		    DIGEST_SIZE)) {
		config_apply_text(c, value, text, size, source);
	} else {
		metric_count("config_delta_failures", NULL, 1);
		pthread_mutex_lock(&c->mutex);
		c->values[value].whole = 1;
		pthread_mutex_unlock(&c->mutex);
	}
	free(text);
}

/* Replaces a deflated text by what it was.  Returns -1 when it is spoilt. */
static int reply_unpack(config_reply *rep)
{
	char *text;

	if (!rep->unpacked)
		return 0;
	text = rep->unpacked > CONFIG_TEXT_MAX
		       ? NULL
		       : pack_inflate(rep->text.text_val, rep->text.text_len,
				      rep->unpacked);
	free(rep->text.text_val);
	rep->text.text_val = text;
	rep->text.text_len = text ? rep->unpacked : 0;
	rep->unpacked = 0;
	return text ? 0 : -1;
}

static void reply_take(struct config *c, int value, const config_reply *rep,
		       const char *source)
{
	if (rep->base)
		delta_take(c, value, rep, source);
	else
		config_apply_text(c, value, rep->text.text_val,
				  rep->text.text_len, source);
}

static void exchange_run(struct job *job)
{
	struct exchange_job *j = (struct exchange_job *)job;
	struct config *c = j->config;
	struct spread_version said[SPREAD_VALUE_COUNT];
	struct error err = ERROR_INIT;
	config_reply rep;
	apr_time_t now;
	int ok, count;

	ok = !exchange_request(c, j, &rep, &err);
	if (ok && j->action.want >= 0 && rep.text.text_len &&
	    !reply_unpack(&rep))
		reply_take(c, j->action.want, &rep, j->action.address);
	now = clock_now();
	pthread_mutex_lock(&c->mutex);
	/* Done first: it drops the offer that what was heard may renew. */
	spread_finish_exchange(&c->spread, &j->action, ok, now);
	if (ok) {
		count = versions_from_wire(rep.have.have_val, rep.have.have_len,
					   said);
		spread_merge_versions(&c->spread, j->action.address, said,
				      count, now);
	}
	pthread_mutex_unlock(&c->mutex);
	if (ok)
		xdr_free((xdrproc_t)xdr_config_reply, &rep);
	else
		metric_count("config_exchange_failures", NULL, 1);
	free(j);
	config_run_decisions(c);
}

/* Hands a job to the workers, unless the component is being stopped. */
static int job_submit(struct config *c, struct job *j)
{
	int ret = -1;

	pthread_mutex_lock(&c->mutex);
	if (!c->stopping)
		ret = worker_pool_submit(c->pool, j);
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

static void exchange_start(struct config *c, const struct spread_action *a)
{
	struct exchange_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = exchange_run;
	j->config = c;
	j->action = *a;
	if (!job_submit(c, &j->job))
		return;
	free(j);
	pthread_mutex_lock(&c->mutex);
	spread_finish_exchange(&c->spread, a, 0, clock_now());
	pthread_mutex_unlock(&c->mutex);
}

/* Fills in a delta to what the asker holds, if that is known here. */
static int delta_fill(const struct value_state *v, const config_request *req,
		      config_reply *rep)
{
	const config_version *old;
	size_t size;
	int i;

	if (req->whole || req->want > req->have.have_len)
		return -1;
	old = &req->have.have_val[req->want - 1];
	for (i = 1; i < TEXTS_MAX; i++) {
		const struct value_text *t = &v->texts[i];

		if (!t->data || t->version != old->revision ||
		    memcmp(t->digest.bytes, old->digest, DIGEST_SIZE))
			continue;
		rep->text.text_val =
			delta_encode(t->data, t->size, v->texts[0].data,
				     v->texts[0].size, &size);
		if (!rep->text.text_val)
			return -1;
		rep->text.text_len = (u_int)size;
		rep->base = t->version;
		return 0;
	}
	return -1;
}

/* Deflates a text that is worth it. */
static void reply_pack(config_reply *rep)
{
	size_t packed = 0;
	char *text;

	if (rep->text.text_len < PACK_MIN)
		return;
	text = pack_deflate(rep->text.text_val, rep->text.text_len, &packed);
	if (!text || packed >= rep->text.text_len) {
		free(text);
		return;
	}
	free(rep->text.text_val);
	rep->unpacked = rep->text.text_len;
	rep->text.text_val = text;
	rep->text.text_len = (u_int)packed;
}

/* Fills in the text wanted.  The caller holds the mutex. */
static void text_fill(const struct value_state *v, const config_request *req,
		      config_reply *rep)
{
	const struct value_text *t = &v->texts[0];

	if (!t->data || !delta_fill(v, req, rep))
		return;
	rep->text.text_val = malloc(t->size ? t->size : 1);
	if (!rep->text.text_val)
		return;
	memcpy(rep->text.text_val, t->data, t->size);
	rep->text.text_len = (u_int)t->size;
}

static int exchange_serve(void *arg, const struct rpc_peer *from,
			  const void *request, void *reply)
{
	struct config *c = arg;
	const config_request *req = request;
	config_reply *rep = reply;
	struct spread_version said[SPREAD_VALUE_COUNT];
	apr_time_t now = clock_now();
	int count;

	rep->have.have_val = calloc(SPREAD_VALUE_COUNT, sizeof(config_version));
	if (!rep->have.have_val || req->want > SPREAD_VALUE_COUNT)
		return -1;
	rep->have.have_len = SPREAD_VALUE_COUNT;
	count = versions_from_wire(req->have.have_val, req->have.have_len,
				   said);
	pthread_mutex_lock(&c->mutex);
	wire_say(c, rep->have.have_val, now);
	spread_merge_versions(&c->spread, from->address, said, count, now);
	if (req->want)
		text_fill(&c->values[req->want - 1], req, rep);
	pthread_mutex_unlock(&c->mutex);
	reply_pack(rep);
	config_run_decisions(c);
	return 0;
}

const struct rpc_kind config_kinds[] = {
	{ RPC_KIND_CONFIG, "config-exchange", (xdrproc_t)xdr_config_request,
	  sizeof(config_request), (xdrproc_t)xdr_config_reply,
	  sizeof(config_reply), exchange_serve },
	{ 0 }
};

static void watch_end(struct watch_job *w, int ok, int changed)
{
	struct config *c = w->config;

	pthread_mutex_lock(&c->mutex);
	spread_finish_watch(&c->spread, w->read.value, ok, changed, w->asked,
			    clock_now(), &c->random);
	pthread_mutex_unlock(&c->mutex);
	free(w->read.text);
	free(w);
	config_run_decisions(c);
}

/* Notes when the platform is lost and when it is back. */
static void contact_note(struct config *c, int value, int ok)
{
	struct value_state *v = &c->values[value];

	if (!ok)
		metric_count("platform_failures", NULL, 1);
	if (v->out_of_contact == !ok)
		return;
	v->out_of_contact = !ok;
	if (ok)
		log_notice("platform", v->ops->name, "answers again");
	else
		log_warning("platform", v->ops->name,
			    "does not answer; peers are asked meanwhile");
}

/* Takes the platform's answer, on a worker: checking it needs time. */
static void watch_take(struct job *job)
{
	struct watch_job *w = (struct watch_job *)job;
	struct platform_read *r = &w->read;
	int changed = 0;

	if (r->answer == PLATFORM_TEXT)
		changed = config_apply_text(w->config, r->value, r->text,
					    r->size, "platform");
	contact_note(w->config, r->value, r->answer != PLATFORM_FAILED);
	watch_end(w, r->answer != PLATFORM_FAILED, changed);
}

static void watch_answered(struct platform_read *r)
{
	struct watch_job *w =
		(struct watch_job *)((char *)r -
				     offsetof(struct watch_job, read));

	w->job.run = watch_take;
	if (job_submit(w->config, &w->job))
		watch_end(w, 0, 0);
}

/* Ends a read; takes text over. */
void platform_read_finish(struct platform_read *r, enum platform_answer answer,
			  char *text, size_t size)
{
	r->answer = answer;
	r->text = text;
	r->size = size;
	r->on_finish(r);
}

static void watch_start(struct config *c, const struct spread_action *a)
{
	struct watch_job *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->config = c;
	w->asked = clock_now();
	w->read.node = c->node;
	w->read.value = a->value;
	w->read.after_version = a->after_version;
	w->read.hold_s = a->can_hold ? c->spread.watch_s : 0;
	w->read.on_finish = watch_answered;
	metric_count("platform_calls", c->values[a->value].ops->name, 1);
	c->platform->read(&w->read);
}

/* Carries the actions out; each reports back and reacts anew. */
void config_start_actions(struct config *c, const struct spread_actions *list)
{
	int i;

	for (i = 0; i < list->count; i++) {
		if (list->list[i].kind == SPREAD_WATCH)
			watch_start(c, &list->list[i]);
		else
			exchange_start(c, &list->list[i]);
	}
}
