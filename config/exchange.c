#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/component.h"
#include "config/config_proto.h"

#define EXCHANGE_MS 800 /* timeout of an exchange of versions */
#define PULL_MS 3000	/* same, with a text in the reply */
#define PLATFORM_MS 2000
#define PLATFORM_HOLD_MS (SPREAD_WATCH_S * 1000 + 1500)
#define WATCH_URL_SIZE (SETTINGS_URL_SIZE + 64)

struct exchange_job {
	struct job job;
	struct config *config;
	struct spread_action action;
};

/* A call to the platform, from its start until its text was taken. */
struct watch_job {
	struct job job;
	struct fetch fetch;
	struct config *config;
	int value;
	apr_time_t asked;
	char url[WATCH_URL_SIZE];
	int status;
	char *text;
	size_t size;
};

static void versions_to_wire(const struct spread_version *v,
			     config_version *wire)
{
	int i;

	for (i = 0; i < SPREAD_VALUES; i++) {
		wire[i].revision = v[i].version;
		memcpy(wire[i].digest, v[i].digest.bytes, DIGEST_SIZE);
		wire[i].platform_age_ms = v[i].platform_age_ms;
	}
}

static int versions_from_wire(const config_version *wire, u_int count,
			      struct spread_version *v)
{
	u_int i;

	for (i = 0; i < count && i < SPREAD_VALUES; i++) {
		v[i].version = wire[i].revision;
		memcpy(v[i].digest.bytes, wire[i].digest, DIGEST_SIZE);
		v[i].platform_age_ms = wire[i].platform_age_ms;
	}
	return (int)i;
}

/* Fills in what this process holds.  The caller holds the mutex. */
static void wire_say(struct config *c, config_version *wire, apr_time_t now)
{
	struct spread_version said[SPREAD_VALUES];

	spread_say(&c->spread, said, now);
	versions_to_wire(said, wire);
}

static int exchange_request(struct config *c, struct exchange_job *j,
			    config_reply *rep, struct error *err)
{
	config_version have[SPREAD_VALUES];
	config_request req = { { SPREAD_VALUES, have } };
	int timeout = j->action.want < 0 ? EXCHANGE_MS : PULL_MS;

	req.want = (u_int)(j->action.want + 1);
	pthread_mutex_lock(&c->mutex);
	wire_say(c, have, clock_now());
	pthread_mutex_unlock(&c->mutex);
	return rpc_exchange(c->node->rpc, j->action.address,
			    c->node->settings.rpc_port, &config_kinds[0], &req,
			    rep, timeout, err);
}

static void exchange_run(struct job *job)
{
	struct exchange_job *j = (struct exchange_job *)job;
	struct config *c = j->config;
	struct spread_version said[SPREAD_VALUES];
	struct error err = ERROR_INIT;
	config_reply rep;
	apr_time_t now;
	int ok, count;

	ok = !exchange_request(c, j, &rep, &err);
	if (ok && j->action.want >= 0 && rep.text.text_len)
		config_take(c, j->action.want, rep.text.text_val,
			    rep.text.text_len, j->action.address);
	now = clock_now();
	pthread_mutex_lock(&c->mutex);
	/* Done first: it drops the offer that what was heard may renew. */
	spread_exchange_done(&c->spread, &j->action, ok, now);
	if (ok) {
		count = versions_from_wire(rep.have.have_val, rep.have.have_len,
					   said);
		spread_heard(&c->spread, j->action.address, said, count, now);
	}
	pthread_mutex_unlock(&c->mutex);
	if (ok)
		xdr_free((xdrproc_t)xdr_config_reply, &rep);
	else
		metric_count("config_exchange_failures", NULL, 1);
	free(j);
	config_react(c);
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
	spread_exchange_done(&c->spread, a, 0, clock_now());
	pthread_mutex_unlock(&c->mutex);
}

/* Copies the text wanted into the reply.  The caller holds the mutex. */
static void text_copy(const struct value_text *t, config_reply *rep)
{
	rep->text.text_val = malloc(t->size);
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
	struct spread_version said[SPREAD_VALUES];
	apr_time_t now = clock_now();
	int count;

	rep->have.have_val = calloc(SPREAD_VALUES, sizeof(config_version));
	if (!rep->have.have_val || req->want > SPREAD_VALUES)
		return -1;
	rep->have.have_len = SPREAD_VALUES;
	count = versions_from_wire(req->have.have_val, req->have.have_len,
				   said);
	pthread_mutex_lock(&c->mutex);
	wire_say(c, rep->have.have_val, now);
	spread_heard(&c->spread, from->address, said, count, now);
	if (req->want && c->values[req->want - 1].text.data)
		text_copy(&c->values[req->want - 1].text, rep);
	pthread_mutex_unlock(&c->mutex);
	config_react(c);
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
	spread_platform_done(&c->spread, w->value, ok, changed, w->asked,
			     clock_now(), &c->random);
	pthread_mutex_unlock(&c->mutex);
	free(w->text);
	free(w);
	config_react(c);
}

/* Takes the platform's answer, on a worker: checking it needs time. */
static void watch_take(struct job *job)
{
	struct watch_job *w = (struct watch_job *)job;
	int changed = 0;
	int ok = w->status == 200 || w->status == 304 || w->status == 404;

	if (w->status == 200 && w->text)
		changed = config_take(w->config, w->value, w->text, w->size,
				      "platform");
	if (!ok)
		metric_count("platform_failures", NULL, 1);
	watch_end(w, ok, changed);
}

static void watch_done(struct fetch *f)
{
	struct watch_job *w = f->arg;

	w->status = f->error.code ? -1 : f->status;
	w->text = f->text;
	w->size = f->text_size;
	f->text = NULL;
	w->job.run = watch_take;
	if (job_submit(w->config, &w->job))
		watch_end(w, 0, 0);
}

static void watch_start(struct config *c, const struct spread_action *a)
{
	static const struct fetch_ops ops = { NULL, NULL, watch_done };
	struct watch_job *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->config = c;
	w->value = a->value;
	w->asked = clock_now();
	snprintf(w->url, sizeof(w->url), "%s%s?after=%llu&wait=%d",
		 c->node->settings.platform_url, c->values[a->value].ops->path,
		 (unsigned long long)a->after, a->hold ? SPREAD_WATCH_S : 0);
	w->fetch.ops = &ops;
	w->fetch.arg = w;
	w->fetch.url = w->url;
	w->fetch.timeout_ms = a->hold ? PLATFORM_HOLD_MS : PLATFORM_MS;
	metric_count("platform_calls", c->values[a->value].ops->name, 1);
	fetch_submit(c->node->fetcher, &w->fetch);
}

/* Carries the actions out; each reports back and reacts anew. */
void config_actions_run(struct config *c, const struct spread_actions *list)
{
	int i;

	for (i = 0; i < list->count; i++) {
		if (list->list[i].kind == SPREAD_WATCH)
			watch_start(c, &list->list[i]);
		else
			exchange_start(c, &list->list[i]);
	}
}
