#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "config/component.h"
#include "config/config_proto.h"
#include "config/declared.h"
#include "config/pack.h"

/* Pulls that take longer are logged. */
#define PULL_SLOW_MS 500

/*
 * A read that is answered later was held by the platform until a change was
 * made.  What a faster one returns may be as old as the read before it.
 */
#define READ_HELD_MIN_US (250 * 1000)

struct exchange_job {
	struct job job;
	struct config *config;
	struct spread_action action;
};

/* A call to the platform, from its start until its text is applied. */
struct watch_job {
	struct job job;
	struct config *config;
	struct platform_read read;
	apr_time_t started_at;
};

static void encode_versions(const struct spread_version *v, int count,
			    config_version *wire)
{
	int i;

	for (i = 0; i < count; i++) {
		wire[i].revision = v[i].version;
		memcpy(wire[i].digest, v[i].digest.bytes, DIGEST_SIZE);
		wire[i].platform_age_ms = v[i].platform_age_ms;
	}
}

static int parse_versions(const config_version *wire, u_int count,
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

/* Fills in the current versions.  The caller holds the mutex. */
static void fill_versions(struct config *c, config_version *wire,
			  apr_time_t now)
{
	struct spread_version versions[SPREAD_VALUE_COUNT];

	spread_get_versions(&c->spread, versions, now);
	encode_versions(versions, c->spread.value_count, wire);
}

static int send_exchange(struct config *c, struct exchange_job *j,
			 config_reply *rep, struct error *err)
{
	config_version have[SPREAD_VALUE_COUNT];
	config_request req = { { (u_int)c->spread.value_count, have } };

	req.wanted = (u_int)(j->action.wanted_value + 1);
	pthread_mutex_lock(&c->mutex);
	req.full_text = j->action.wanted_value >= 0 &&
			c->values[j->action.wanted_value].needs_full_text;
	fill_versions(c, have, clock_now());
	pthread_mutex_unlock(&c->mutex);
	return rpc_exchange(
		c->node->rpc, j->action.address, c->node->settings.rpc_port,
		&config_kinds[j->action.asks_read ? KIND_READ : KIND_EXCHANGE],
		&req, rep, j->action.timeout_ms, err);
}

/*
 * Applies a text sent as a delta, provided that the rebuilt text has the
 * digest that the peer reported.  Otherwise the next request for this value
 * asks for the complete text.
 */
static void apply_delta(struct config *c, int value, const config_reply *rep,
			const struct text_source *source)
{
	struct digest digest;
	size_t size = 0;
	char *text = texts_rebuild(&c->values[value].texts, rep,
				   c->node->settings.text_max, &size);

	if (text)
		digest_of(text, size, &digest);
	if (text && (u_int)value < rep->have.have_len &&
	    !memcmp(digest.bytes, rep->have.have_val[value].digest,
		    DIGEST_SIZE)) {
		config_apply_text(c, value, text, size, source);
	} else {
		metric_count("config_delta_failures", NULL, 1);
		pthread_mutex_lock(&c->mutex);
		c->values[value].needs_full_text = 1;
		pthread_mutex_unlock(&c->mutex);
	}
	free(text);
}

/*
 * Inflates the text of a reply in place.  Returns -1 if it is corrupt or has
 * more than text_max bytes.
 */
static int inflate_reply(config_reply *rep, size_t text_max)
{
	char *text;

	if (!rep->unpacked_size)
		return 0;
	text = rep->unpacked_size > text_max
		       ? NULL
		       : pack_inflate(rep->text.text_val, rep->text.text_len,
				      rep->unpacked_size);
	free(rep->text.text_val);
	rep->text.text_val = text;
	rep->text.text_len = text ? rep->unpacked_size : 0;
	rep->unpacked_size = 0;
	return text ? 0 : -1;
}

/* Returns 1 if a reply has a version above the current one. */
static int is_reply_newer(struct config *c, int value, const config_reply *rep)
{
	uint64_t version;

	pthread_mutex_lock(&c->mutex);
	version = c->spread.values[value].version;
	pthread_mutex_unlock(&c->mutex);
	return (u_int)value < rep->have.have_len &&
	       rep->have.have_val[value].revision > version;
}

static void apply_reply(struct config *c, int value, const config_reply *rep,
			const struct text_source *source)
{
	if (!is_reply_newer(c, value, rep))
		return;
	if (rep->base_revision)
		apply_delta(c, value, rep, source);
	else
		config_apply_text(c, value, rep->text.text_val,
				  rep->text.text_len, source);
}

/*
 * Returns the latest time at which the current version of a value is known to
 * have been the newest: any change that it does not contain was made later.  0
 * if there is none.
 */
static apr_time_t known_current_at(struct config *c, int value)
{
	apr_time_t at;

	pthread_mutex_lock(&c->mutex);
	at = c->spread.values[value].known_current_at;
	pthread_mutex_unlock(&c->mutex);
	return at;
}

/* Logs a pull that failed or took long, as it holds a value back. */
static void log_pull(const struct config *c, const struct spread_action *a,
		     int ok, apr_interval_time_t duration)
{
	const char *name = c->values[a->wanted_value].ops->name;
	int ms = (int)(duration / 1000);

	if (!ok)
		log_notice("config-pull", a->address,
			   "no %s received after %d ms", name, ms);
	else if (ms >= PULL_SLOW_MS)
		log_notice("config-pull", a->address, "%s received after %d ms",
			   name, ms);
}

static int is_stopping(struct config *c)
{
	int ret;

	pthread_mutex_lock(&c->mutex);
	ret = c->is_stopping;
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

static void run_exchange(struct job *job)
{
	struct exchange_job *j = (struct exchange_job *)job;
	struct config *c = j->config;
	struct spread_version versions[SPREAD_VALUE_COUNT];
	struct error err = ERROR_INIT;
	config_reply rep;
	apr_time_t now;
	struct text_source source = { .name = j->action.address,
				      .peer = j->action.address };
	apr_time_t asked_at = clock_now();
	int ok, count;

	if (is_stopping(c)) {
		/* What is queued must not hold up the end of the process. */
		free(j);
		return;
	}
	if (j->action.wanted_value >= 0)
		source.earliest_change_at =
			known_current_at(c, j->action.wanted_value);
	ok = !send_exchange(c, j, &rep, &err);
	if (j->action.wanted_value >= 0)
		log_pull(c, &j->action, ok, clock_now() - asked_at);
	if (ok && j->action.wanted_value >= 0 && rep.text.text_len &&
	    !inflate_reply(&rep, c->node->settings.text_max))
		apply_reply(c, j->action.wanted_value, &rep, &source);
	now = clock_now();
	pthread_mutex_lock(&c->mutex);
	/*
	 * First, because it drops the peer's offer, which the versions in
	 * the reply may add again.
	 */
	spread_finish_exchange(&c->spread, &j->action, ok, now);
	if (ok) {
		count = parse_versions(rep.have.have_val, rep.have.have_len,
				       versions);
		spread_merge_versions(&c->spread, j->action.address, versions,
				      count, now);
		spread_confirm_versions(&c->spread, versions, count, asked_at);
	}
	pthread_mutex_unlock(&c->mutex);
	if (ok)
		xdr_free((xdrproc_t)xdr_config_reply, &rep);
	else
		metric_count("config_exchange_failures", NULL, 1);
	free(j);
	config_run_decisions(c);
}

/*
 * Submits a job to a pool of workers.  Returns -1 if the component is stopping
 * or the pool does not accept the job.
 */
static int submit_job(struct config *c, struct worker_pool *pool, struct job *j)
{
	int ret = -1;

	pthread_mutex_lock(&c->mutex);
	if (!c->is_stopping)
		ret = worker_pool_submit(pool, j);
	pthread_mutex_unlock(&c->mutex);
	return ret;
}

static void start_exchange(struct config *c, const struct spread_action *a)
{
	struct exchange_job *j = calloc(1, sizeof(*j));

	if (!j)
		abort();
	j->job.run = run_exchange;
	j->config = c;
	j->action = *a;
	if (!submit_job(c,
			a->wanted_value < 0 && !a->asks_read ? c->notice_pool
							     : c->text_pool,
			&j->job))
		return;
	free(j);
	pthread_mutex_lock(&c->mutex);
	spread_finish_exchange(&c->spread, a, 0, clock_now());
	pthread_mutex_unlock(&c->mutex);
}

static int serve_exchange(void *arg, const struct rpc_peer *from,
			  const void *request, void *reply)
{
	struct config *c = arg;
	const config_request *req = request;
	config_reply *rep = reply;
	struct spread_version versions[SPREAD_VALUE_COUNT];
	apr_time_t now = clock_now();
	int count;

	rep->have.have_val = calloc(SPREAD_VALUE_COUNT, sizeof(config_version));
	if (!rep->have.have_val || req->wanted > (u_int)c->spread.value_count)
		return -1;
	rep->have.have_len = (u_int)c->spread.value_count;
	count = parse_versions(req->have.have_val, req->have.have_len,
			       versions);
	if (req->wanted)
		texts_prepare(&c->values[req->wanted - 1].texts, req);
	pthread_mutex_lock(&c->mutex);
	fill_versions(c, rep->have.have_val, now);
	spread_merge_versions(&c->spread, from->address, versions, count, now);
	if (req->wanted)
		texts_answer(&c->values[req->wanted - 1].texts, req, rep);
	pthread_mutex_unlock(&c->mutex);
	config_run_decisions(c);
	return 0;
}

/*
 * An exchange by which a watcher that has lost the platform asks this process to
 * read it.  Builds that don't know it refuse, so that others are asked.
 */
static int serve_read(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply)
{
	struct config *c = arg;

	metric_count("config_reads_asked", NULL, 1);
	pthread_mutex_lock(&c->mutex);
	spread_record_asked(&c->spread, clock_now());
	pthread_mutex_unlock(&c->mutex);
	return serve_exchange(arg, from, request, reply);
}

static int serve_ages(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply)
{
	struct config *c = arg;
	struct document *d = board_document(&c->node->board);

	(void)from;
	(void)request;
	if (!d)
		return -1;
	document_fill_ages(d, reply, clock_now());
	document_unref(d);
	return 0;
}

const struct rpc_kind config_kinds[] = {
	{ RPC_KIND_CONFIG, "config-exchange", (xdrproc_t)xdr_config_request,
	  sizeof(config_request), (xdrproc_t)xdr_config_reply,
	  sizeof(config_reply), serve_exchange },
	{ RPC_KIND_CONFIG_AGES, "config-ages",
	  (xdrproc_t)xdr_config_ages_request, sizeof(config_ages_request),
	  (xdrproc_t)xdr_config_ages_reply, sizeof(config_ages_reply),
	  serve_ages },
	{ RPC_KIND_CONFIG_READ, "config-read", (xdrproc_t)xdr_config_request,
	  sizeof(config_request), (xdrproc_t)xdr_config_reply,
	  sizeof(config_reply), serve_read },
	{ 0 }
};

static void finish_watch(struct watch_job *w, int ok, int changed)
{
	struct config *c = w->config;

	pthread_mutex_lock(&c->mutex);
	/* A text that was not applied may be that of an older copy. */
	if (changed || w->read.answer == PLATFORM_UNCHANGED)
		spread_record_current(&c->spread, w->read.value,
				      w->read.answered_at);
	spread_finish_watch(&c->spread, w->read.value, ok, changed,
			    w->started_at, clock_now(), &c->random);
	pthread_mutex_unlock(&c->mutex);
	free(w->read.text);
	json_decref(w->read.root);
	free(w);
	config_run_decisions(c);
}

/* Logs when reads of a value begin to fail and when they succeed again. */
static void record_platform_contact(struct config *c, int value, int ok)
{
	struct value_state *v = &c->values[value];

	if (!ok)
		metric_count("platform_failures", NULL, 1);
	if (v->is_platform_failing == !ok)
		return;
	v->is_platform_failing = !ok;
	if (ok)
		log_notice("platform", v->ops->name,
			   "platform read succeeded after failures");
	else
		log_warning("platform", v->ops->name,
			    "platform read failed; retrying with backoff, and "
			    "pulling newer versions from peers");
}

/*
 * Returns the earliest time at which a change was made that a read found, 0 if
 * that is not known.
 */
static apr_time_t earliest_change_at(const struct watch_job *w)
{
	const struct platform_read *r = &w->read;

	if (r->hold_ms && r->answered_at - w->started_at >= READ_HELD_MIN_US)
		return r->answered_at;
	return known_current_at(w->config, r->value);
}

/*
 * Counts an answer from when the platform gave it.  The delay since then is not
 * known; a read that it held until the end shows one, and the next ones are taken
 * to have the same.
 */
static void subtract_answer_delay(struct watch_job *w)
{
	struct platform_read *r = &w->read;
	struct value_state *v = &w->config->values[r->value];
	apr_interval_time_t delay =
		r->answered_at - w->started_at - r->hold_ms * 1000LL;

	pthread_mutex_lock(&w->config->mutex);
	if (r->answer == PLATFORM_UNCHANGED && r->hold_ms && delay >= 0)
		v->answer_delay = delay;
	r->answered_at -= v->answer_delay;
	pthread_mutex_unlock(&w->config->mutex);
}

/* Applies the platform's answer, on a worker: checking takes time. */
static void apply_watch_answer(struct job *job)
{
	struct watch_job *w = (struct watch_job *)job;
	struct platform_read *r = &w->read;
	struct text_source source = {
		.name = "platform",
		.is_accepted = w->config->platform->accepts_first,
		.root = r->root
	};
	int changed = 0;

	subtract_answer_delay(w);
	source.earliest_change_at = earliest_change_at(w);
	if (r->answer == PLATFORM_TEXT)
		changed = config_apply_text(w->config, r->value, r->text,
					    r->size, &source);
	record_platform_contact(w->config, r->value,
				r->answer != PLATFORM_FAILED);
	finish_watch(w, r->answer != PLATFORM_FAILED, changed);
}

static struct watch_job *watch_job_of(struct platform_read *r)
{
	return (struct watch_job *)((char *)r -
				    offsetof(struct watch_job, read));
}

/*
 * Records that the answer to a read begins to arrive, or when it may have arrived
 * if the process stood still.
 */
void platform_read_record_answer(struct platform_read *r)
{
	struct watch_job *w = watch_job_of(r);
	apr_time_t now = clock_now();

	pthread_mutex_lock(&w->config->mutex);
	r->answered_at =
		pause_find_earliest(&w->config->pauses, w->started_at, now);
	spread_record_answer(&w->config->spread, r->value, now);
	pthread_mutex_unlock(&w->config->mutex);
}

/* Returns the version of the value that is in force, 0 for none, and its digest. */
uint64_t platform_read_current(struct platform_read *r, struct digest *digest)
{
	struct config *c = watch_job_of(r)->config;
	const struct spread_value *v = &c->spread.values[r->value];
	uint64_t version;

	pthread_mutex_lock(&c->mutex);
	version = v->version;
	*digest = v->digest;
	pthread_mutex_unlock(&c->mutex);
	return version;
}

/*
 * Runs a step of a read on the component's workers.  Returns -1 if they do not
 * accept it; the caller then still owns the job.
 */
int platform_read_submit(struct platform_read *r, struct job *job)
{
	struct config *c = watch_job_of(r)->config;

	return submit_job(c, c->text_pool, job);
}

static void submit_watch_answer(struct platform_read *r)
{
	struct watch_job *w = watch_job_of(r);

	if (!r->answered_at)
		platform_read_record_answer(r);
	w->job.run = apply_watch_answer;
	if (submit_job(w->config, w->config->text_pool, &w->job))
		finish_watch(w, 0, 0);
}

/* Finishes a read.  Takes ownership of text, which may be NULL. */
void platform_read_finish(struct platform_read *r, enum platform_answer answer,
			  char *text, size_t size)
{
	r->answer = answer;
	r->text = text;
	r->size = size;
	r->on_finish(r);
}

static void start_watch(struct config *c, const struct spread_action *a)
{
	struct watch_job *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->config = c;
	w->started_at = clock_now();
	w->read.node = c->node;
	w->read.value = a->value;
	w->read.after_version = a->after_version;
	w->read.hold_ms = a->hold_ms;
	w->read.is_disputed = a->is_disputed;
	w->read.on_finish = submit_watch_answer;
	metric_count("platform_calls", c->values[a->value].ops->name, 1);
	c->platform->read(&w->read);
}

/*
 * Starts the actions.  The end of each is recorded and followed by
 * config_run_decisions.
 */
void config_start_actions(struct config *c, const struct spread_actions *list)
{
	int i;

	for (i = 0; i < list->count; i++) {
		if (list->list[i].kind == SPREAD_WATCH)
			start_watch(c, &list->list[i]);
		else
			start_exchange(c, &list->list[i]);
	}
}
