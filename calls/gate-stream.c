#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/gate-internal.h"
#include "calls/sse.h"

/*
 * Calls that may be repeated: passed through to the upstream and back as
 * they come.  A model's answer always comes as an event stream, so that a
 * connection that went silent shows soon; the run is then resumed on a new
 * connection from the token it had reached.
 */

#define PENDING_MAX (256 * 1024) /* bytes the entry has not read yet */
#define SILENT_US (1000 * 1000)
#define SILENT_QUEUED_US (2000 * 1000) /* when the upstream has a queue */
#define SILENT_TOKENS 20
#define RESUMES_MAX 3

enum end_reason { END_NONE = 0, END_SILENT, END_DEAD, END_GONE };

struct stream_run {
	struct gate *g;
	struct http_call *call;
	struct hop hop;
	int model;
	char url[SETTINGS_URL_SIZE + 160];
	char headers[GATE_HEADERS_MAX][GATE_HEADER_SIZE];
	json_t *request; /* of a model call */
	char *body;
	struct fetch fetch;
	struct sse sse;
	char id_echoed[HOP_REQUEST_SIZE];
	char version[DIGEST_HEX_SIZE];
	char type[64];
	int begun;
	int cached; /* its prompt's start was in the engine's cache */
	int resumes;
	enum sse_fault fault; /* of headers */
	apr_time_t deadline;
	apr_time_t last_byte;	 /* atomic */
	enum end_reason why;	 /* atomic; why it was cancelled */
	int passed;		 /* atomic; tokens passed on */
	int paused;		 /* atomic; the entry reads too slowly */
	struct stream_run *next; /* guarded by the gate's mutex */
	struct stream_run **link;
};

static const struct fetch_ops run_ops;

static void run_free(struct stream_run *run)
{
	sse_destroy(&run->sse);
	json_decref(run->request);
	free(run->fetch.text);
	free(run->body);
	free(run);
}

/* What to tell an entry that got no byte of an answer. */
static void run_refusal(struct stream_run *run, struct refusal *r)
{
	struct fetch *f = &run->fetch;

	if (run->fault || run->sse.fault) {
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_SAME,
			    "answer-crossed", "gate-answer",
			    "the upstream's answer is not for this request");
	} else if (f->never_sent && !run->resumes) {
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME,
			    "upstream-unreachable", "gate-connect", "%s",
			    f->error.text);
	} else if (run->model && f->status == 404) {
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "version",
			    "gate-answer", "the engine lost the model");
	} else if (run->model && f->status >= 400 && f->status < 500) {
		refusal_set(r, 400, OUTCOME_NOT_RUN, AGAIN_NO, "bad-request",
			    "gate-answer", "the engine refused the request");
	} else if (f->status >= 500) {
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_SAME,
			    "upstream-error", "gate-answer",
			    "the upstream answered with status %d", f->status);
	} else {
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_SAME,
			    "upstream-lost", "gate-exchange", "%s",
			    f->error.text);
	}
}

static void run_end(struct stream_run *run, int whole)
{
	struct gate *g = run->g;
	struct refusal r;

	pthread_mutex_lock(&g->mutex);
	*run->link = run->next;
	if (run->next)
		run->next->link = run->link;
	g->stream_count--;
	pthread_mutex_unlock(&g->mutex);
	metric_count("gate_streams", whole ? "whole" : "cut", 1);
	if (run->begun) {
		http_call_stream_end(run->call, whole);
	} else {
		run_refusal(run, &r);
		gate_refuse(run->call, &run->hop, &r, 0);
	}
	run_free(run);
}

/* Writes the engine's request: always a stream, from the next token on. */
static void model_body(struct stream_run *run)
{
	free(run->body);
	json_object_set_new(run->request, "stream", json_true());
	json_object_set_new(run->request, "resume_from",
			    json_integer(run->sse.next));
	run->body = json_dumps(run->request, JSON_COMPACT);
	run->fetch.body = run->body;
	run->fetch.body_size = strlen(run->body);
}

static void run_submit(struct stream_run *run, apr_time_t now)
{
	struct fetch *f = &run->fetch;

	if (run->model)
		model_body(run);
	f->timeout_ms = (long)((run->deadline - now) / 1000);
	if (f->timeout_ms < 1)
		f->timeout_ms = 1;
	f->send_by = now + GATE_SEND_TIMEOUT_US;
	__atomic_store_n(&run->last_byte, now, __ATOMIC_RELAXED);
	fetch_submit(run->g->n->fetcher, f);
}

/* Goes on, on a new connection, after the engine dropped the former run. */
static void run_resume(void *arg)
{
	struct stream_run *run = arg;
	apr_time_t now = clock_now();
	enum end_reason silent = END_SILENT;

	if (!__atomic_compare_exchange_n(&run->why, &silent, END_NONE, 0,
					 __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE) ||
	    now >= run->deadline) {
		gate_crash_request_finished(run->g, &run->hop, 0);
		run_end(run, 0);
		return;
	}
	run->fetch.once = 1;
	sse_restart(&run->sse);
	run_submit(run, now);
	/* The entry may have gone before the submit. */
	if (__atomic_load_n(&run->why, __ATOMIC_ACQUIRE) == END_GONE)
		fetch_cancel(&run->fetch);
}

static void run_done(struct fetch *f)
{
	struct stream_run *run = f->arg;
	enum end_reason why = __atomic_load_n(&run->why, __ATOMIC_ACQUIRE);
	int whole =
		!f->error.code && run->begun && (!run->model || run->sse.done);
	int broke = f->error.code && !f->never_sent && !why &&
		    f->error.code != ERROR_TIMEOUT;

	if (!whole && why == END_SILENT && run->resumes < RESUMES_MAX) {
		run->resumes++;
		metric_count("gate_resumed", "silent", 1);
		if (run->model)
			engine_cancel_request(run->g, run->hop.request_id,
					      run_resume, run);
		else
			run_resume(run);
		return;
	}
	gate_crash_request_finished(run->g, &run->hop, whole);
	if (broke)
		gate_crash_connection_lost(run->g, &run->hop);
	if (!whole && run->model && !f->never_sent)
		engine_cancel_request(run->g, run->hop.request_id, NULL, NULL);
	run_end(run, whole);
}

static void run_header(struct fetch *f, const char *name, const char *value)
{
	struct stream_run *run = f->arg;

	if (!strcasecmp(name, "X-Request-Id"))
		snprintf(run->id_echoed, sizeof(run->id_echoed), "%s", value);
	else if (!strcasecmp(name, "X-Model-Version"))
		snprintf(run->version, sizeof(run->version), "%s", value);
	else if (!strcasecmp(name, "Content-Type"))
		snprintf(run->type, sizeof(run->type), "%s", value);
	__atomic_store_n(&run->last_byte, clock_now(), __ATOMIC_RELAXED);
}

/* Checks whose answer it is.  Returns -1 when it must not be passed on. */
static int answer_check(struct stream_run *run)
{
	int status = run->fetch.status;

	if (*run->id_echoed && strcmp(run->id_echoed, run->hop.request_id) != 0)
		run->fault = SSE_CROSSED;
	if (!run->model)
		return run->fault || status >= 500 ? -1 : 0;
	if (status != 200)
		return -1;
	if (!*run->id_echoed || strcmp(run->version, run->hop.version) != 0)
		run->fault = SSE_CROSSED;
	return run->fault ? -1 : 0;
}

static int answer_begin(struct stream_run *run)
{
	if (run->begun)
		return 0;
	if (answer_check(run))
		return -1;
	run->begun = 1;
	http_call_set(run->call, "X-Limpet-Request", run->hop.request_id);
	http_call_set(run->call, "X-Limpet-Outcome",
		      outcome_name(OUTCOME_ANSWER));
	if (run->model)
		http_call_set(run->call, "X-Limpet-Version", run->version);
	if (run->model)
		http_call_set(run->call, "X-Limpet-Cache",
			      run->cached ? "hit" : "miss");
	http_call_stream_begin(run->call, run->fetch.status,
			       *run->type ? run->type : "application/json", -1);
	return 0;
}

static int event_pass(void *arg, const char *text, size_t size)
{
	struct stream_run *run = arg;

	if (run->sse.done && strcmp(run->sse.version, run->hop.version) != 0) {
		run->sse.done = 0;
		run->sse.fault = SSE_CROSSED;
		return -1;
	}
	__atomic_store_n(&run->passed, run->sse.next, __ATOMIC_RELAXED);
	return http_call_stream_write(run->call, text, size);
}

static int run_data(struct fetch *f, const void *data, size_t size)
{
	struct stream_run *run = f->arg;

	__atomic_store_n(&run->last_byte, clock_now(), __ATOMIC_RELAXED);
	if (answer_begin(run))
		return -1;
	__atomic_store_n(&run->paused, 1, __ATOMIC_SEQ_CST);
	if (http_call_stream_pending(run->call) > PENDING_MAX)
		return FETCH_PAUSE;
	__atomic_store_n(&run->paused, 0, __ATOMIC_SEQ_CST);
	if (run->model)
		return sse_feed(&run->sse, data, size);
	return http_call_stream_write(run->call, data, size);
}

static const struct fetch_ops run_ops = { run_header, run_data, run_done };

/* All that was written has been sent to the entry. */
static void entry_drained(void *arg)
{
	struct stream_run *run = arg;

	if (__atomic_exchange_n(&run->paused, 0, __ATOMIC_SEQ_CST))
		fetch_resume(&run->fetch);
}

static void entry_gone(void *arg)
{
	struct stream_run *run = arg;

	__atomic_store_n(&run->why, END_GONE, __ATOMIC_RELEASE);
	fetch_cancel(&run->fetch);
}

static int request_read(struct stream_run *run)
{
	size_t size;
	const char *body = http_call_body(run->call, &size);
	const char *model, *prompt;

	if (!run->model) {
		run->body = malloc(size + 1);
		if (!run->body)
			abort();
		memcpy(run->body, body, size);
		run->fetch.body = run->body;
		run->fetch.body_size = size;
		return 0;
	}
	run->request = json_loadb(body, size, 0, NULL);
	model = json_string_value(json_object_get(run->request, "model"));
	prompt = json_string_value(json_object_get(run->request, "prompt"));
	if (!model || !prompt)
		return -1;
	run->cached = gate_has_cached_prefix(run->g, model, prompt);
	sse_init(&run->sse, run->hop.request_id,
		 (int)json_integer_value(
			 json_object_get(run->request, "resume_from")),
		 event_pass, run);
	return 0;
}

static void run_link(struct stream_run *run)
{
	struct gate *g = run->g;

	pthread_mutex_lock(&g->mutex);
	run->next = g->streams;
	run->link = &g->streams;
	if (run->next)
		run->next->link = &run->next;
	g->streams = run;
	g->stream_count++;
	pthread_mutex_unlock(&g->mutex);
}

/* Begins after the session's KV cache came, or didn't. */
static void run_first_submit(void *arg)
{
	struct stream_run *run = arg;
	apr_time_t now = clock_now();

	if (__atomic_load_n(&run->why, __ATOMIC_ACQUIRE) == END_GONE ||
	    now >= run->deadline) {
		run->fetch.never_sent = 1;
		gate_crash_request_finished(run->g, &run->hop, 0);
		run_end(run, 0);
		return;
	}
	run_submit(run, now);
	if (__atomic_load_n(&run->why, __ATOMIC_ACQUIRE) == END_GONE)
		fetch_cancel(&run->fetch);
}

/* Hands a checked call to the upstream and streams its answer back. */
void stream_run_start(struct gate *g, struct http_call *c, const struct hop *h,
		      const char *path)
{
	struct stream_run *run = calloc(1, sizeof(*run));
	apr_time_t now = clock_now();
	const char *session;
	struct refusal r;

	if (!run)
		abort();
	run->g = g;
	run->call = c;
	run->hop = *h;
	run->model = g->n->settings.upstream_kind == UPSTREAM_MODEL;
	run->deadline = now + apr_time_from_msec(h->remaining_ms);
	run->last_byte = now;
	run->fetch.fetcher = g->n->fetcher;
	run->fetch.over = 1; /* nothing to cancel yet */
	if (request_read(run)) {
		refusal_set(&r, 400, OUTCOME_NOT_RUN, AGAIN_NO, "bad-request",
			    "gate", "the body is not a JSON object");
		gate_crash_request_finished(g, h, 0);
		gate_refuse(c, h, &r, 0);
		run_free(run);
		return;
	}
	snprintf(run->url, sizeof(run->url), "%s%s",
		 g->n->settings.upstream_url, path);
	snprintf(run->headers[0], GATE_HEADER_SIZE, "X-Request-Id: %s",
		 h->request_id);
	snprintf(run->headers[1], GATE_HEADER_SIZE, "X-Idempotency-Key: %s",
		 *h->key ? h->key : h->request_id);
	snprintf(run->headers[2], GATE_HEADER_SIZE,
		 "Content-Type: application/json");
	run->fetch.headers[0] = run->headers[0];
	run->fetch.headers[1] = run->headers[1];
	run->fetch.headers[2] = run->headers[2];
	run->fetch.ops = &run_ops;
	run->fetch.arg = run;
	run->fetch.method = "POST";
	run->fetch.url = run->url;
	run_link(run);
	http_call_on_drain(c, entry_drained, run);
	session = json_string_value(json_object_get(run->request, "session"));
	if (*h->kv_source && session)
		gate_fetch_kv_cache(g, h->kv_source, session, run_first_submit,
				    run);
	else
		run_submit(run, now);
	/* Has no effect on a run that ended meanwhile. */
	http_call_on_gone(c, entry_gone, run);
}

/* Returns 1 when the run has been silent for longer than the upstream may. */
static int run_is_silent(const struct gate *g, const struct stream_run *run,
			 apr_time_t now)
{
	apr_time_t last = __atomic_load_n(&run->last_byte, __ATOMIC_RELAXED);
	apr_interval_time_t limit = SILENT_US;

	if (__atomic_load_n(&run->paused, __ATOMIC_RELAXED))
		return 0;
	if (!run->model &&
	    !__atomic_load_n(&run->fetch.reused, __ATOMIC_RELAXED))
		return 0;
	if (run->model && g->waiting)
		limit = SILENT_QUEUED_US;
	if (limit < (apr_interval_time_t)g->token_us * SILENT_TOKENS)
		limit = (apr_interval_time_t)g->token_us * SILENT_TOKENS;
	return now - last > limit;
}

/*
 * Looks for runs whose connection went silent.  Only while new connections
 * are answered: else it is the upstream that is silent, and its runs wait
 * until their deadline or until its connections break.
 */
void stream_runs_cancel_silent(struct gate *g, apr_time_t now)
{
	struct stream_run *run;
	enum end_reason none;

	pthread_mutex_lock(&g->mutex);
	for (run = g->streams; run; run = run->next) {
		none = END_NONE;
		if (!run_is_silent(g, run, now) ||
		    g->alive_at <
			    __atomic_load_n(&run->last_byte, __ATOMIC_RELAXED))
			continue;
		if (__atomic_compare_exchange_n(&run->why, &none, END_SILENT, 0,
						__ATOMIC_ACQ_REL,
						__ATOMIC_RELAXED))
			fetch_cancel(&run->fetch);
	}
	pthread_mutex_unlock(&g->mutex);
}

/* Returns 1 when a request is under way here, and how far it is. */
int stream_run_is_in_flight(struct gate *g, const char *request, int *events)
{
	struct stream_run *run;

	pthread_mutex_lock(&g->mutex);
	for (run = g->streams; run; run = run->next)
		if (!strcmp(run->hop.request_id, request))
			break;
	if (run)
		*events = __atomic_load_n(&run->passed, __ATOMIC_RELAXED);
	pthread_mutex_unlock(&g->mutex);
	return run != NULL;
}
