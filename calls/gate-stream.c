#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/gate-internal.h"
#include "calls/sse.h"

/*
 * Repeatable calls.  Requests and answers are forwarded as they arrive.  Model
 * engines are always asked for an event stream, so that a silent connection is
 * detected soon; the run is then resumed on a new connection, from the first
 * token that was not received.
 */

/*
 * Time without a byte after which a connection is silent.  It is raised to
 * SILENCE_LIMIT_TOKENS times the engine's time for a token.
 */
#define SILENCE_LIMIT_US (1000 * 1000)
#define SILENCE_LIMIT_QUEUED_US (2000 * 1000) /* while the engine has a queue */
#define SILENCE_LIMIT_TOKENS 20

#define RESUMES_MAX 3 /* of one call */

/* Why the fetch of a run was cancelled. */
enum cancel_reason {
	CANCEL_NONE = 0,
	CANCEL_SILENT,
	CANCEL_UPSTREAM_DEAD,
	CANCEL_DISCONNECTED
};

struct stream_run {
	struct gate *g;
	struct http_call *call;
	struct hop hop;
	int is_model;
	char url[SETTINGS_URL_SIZE + 160];
	char headers[GATE_HEADERS_MAX][GATE_HEADER_SIZE];
	json_t *request_body; /* of a model call, else NULL */
	char *body;
	struct fetch fetch;
	struct sse sse;
	char echoed_request_id[HOP_REQUEST_SIZE];
	char version[DIGEST_HEX_SIZE];
	char content_type[CONTENT_TYPE_SIZE];
	int has_started;
	int is_cached; /* prefix of the prompt was probably cached */
	int resume_count;
	enum sse_fault header_fault; /* fault found in the headers */
	apr_time_t deadline;
	apr_time_t last_byte_at;	  /* atomic */
	enum cancel_reason cancelled_for; /* atomic */
	int events_forwarded;		  /* atomic */
	int is_paused;			  /* atomic; entry reads too slowly */
	struct stream_run *next;	  /* guarded by the gate's mutex */
	struct stream_run **link;
};

static const struct fetch_ops run_ops;

static void free_run(struct stream_run *run)
{
	sse_destroy(&run->sse);
	json_decref(run->request_body);
	free(run->fetch.text);
	free(run->body);
	free(run);
}

/* Sets the refusal for an entry that received no byte of an answer. */
static void set_run_refusal(struct stream_run *run, struct refusal *r)
{
	struct fetch *f = &run->fetch;

	if (run->header_fault || run->sse.fault) {
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_SAME,
			    "answer-crossed", "gate-answer",
			    "the upstream's answer is not for this request");
	} else if (f->never_sent && !run->resume_count) {
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME,
			    "upstream-unreachable", "gate-connect", "%s",
			    f->error.text);
	} else if (run->is_model && f->status == 404) {
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "version",
			    "gate-answer", "the engine lost the model");
	} else if (run->is_model && f->status >= 400 && f->status < 500) {
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

static void finish_run(struct stream_run *run, int is_complete)
{
	struct gate *g = run->g;
	struct refusal r;

	pthread_mutex_lock(&g->mutex);
	*run->link = run->next;
	if (run->next)
		run->next->link = run->link;
	g->stream_count--;
	pthread_mutex_unlock(&g->mutex);
	metric_count("gate_streams", is_complete ? "whole" : "cut", 1);
	if (run->has_started) {
		http_call_stream_end(run->call, is_complete);
	} else {
		set_run_refusal(run, &r);
		gate_refuse(run->call, &run->hop, &r, 0);
	}
	free_run(run);
}

/* Encodes the engine's request: always a stream, from the next token on. */
static void build_model_body(struct stream_run *run)
{
	free(run->body);
	json_object_set_new(run->request_body, "stream", json_true());
	json_object_set_new(run->request_body, "resume_from",
			    json_integer(run->sse.next_token));
	run->body = json_dumps(run->request_body, JSON_COMPACT);
	run->fetch.body = run->body;
	run->fetch.body_size = strlen(run->body);
}

static void submit_run(struct stream_run *run, apr_time_t now)
{
	struct fetch *f = &run->fetch;

	if (run->is_model)
		build_model_body(run);
	f->timeout_ms = (long)((run->deadline - now) / 1000);
	if (f->timeout_ms < 1)
		f->timeout_ms = 1;
	f->send_by = now + GATE_SEND_TIMEOUT_US;
	__atomic_store_n(&run->last_byte_at, now, __ATOMIC_RELAXED);
	fetch_submit(run->g->n->fetcher, f);
}

/*
 * Resumes a run on a new connection, once the engine was asked to cancel the
 * previous attempt.
 */
static void resume_run(void *arg)
{
	struct stream_run *run = arg;
	apr_time_t now = clock_now();
	enum cancel_reason silent = CANCEL_SILENT;

	if (!__atomic_compare_exchange_n(&run->cancelled_for, &silent,
					 CANCEL_NONE, 0, __ATOMIC_ACQ_REL,
					 __ATOMIC_ACQUIRE) ||
	    now >= run->deadline) {
		gate_crash_request_finished(run->g, &run->hop, 0);
		finish_run(run, 0);
		return;
	}
	run->fetch.once = 1;
	sse_restart(&run->sse);
	submit_run(run, now);
	/* The entry may have disconnected before the submit. */
	if (__atomic_load_n(&run->cancelled_for, __ATOMIC_ACQUIRE) ==
	    CANCEL_DISCONNECTED)
		fetch_cancel(&run->fetch);
}

/*
 * A plain answer has no position to continue from: once it has started, another
 * run's bytes must not follow.
 */
static int can_resume(const struct stream_run *run)
{
	return run->resume_count < RESUMES_MAX &&
	       (run->is_model || !run->has_started);
}

static void on_done(struct fetch *f)
{
	struct stream_run *run = f->arg;
	enum cancel_reason reason =
		__atomic_load_n(&run->cancelled_for, __ATOMIC_ACQUIRE);
	int is_complete = !f->error.code && run->has_started &&
			  (!run->is_model || run->sse.has_ended);
	int is_broken = f->error.code && !f->never_sent && !reason &&
			f->error.code != ERROR_TIMEOUT;

	if (!is_complete && reason == CANCEL_SILENT && can_resume(run)) {
		run->resume_count++;
		metric_count("gate_resumed", "silent", 1);
		if (run->is_model)
			engine_cancel_request(run->g, run->hop.request_id,
					      resume_run, run);
		else
			resume_run(run);
		return;
	}
	gate_crash_request_finished(run->g, &run->hop, is_complete);
	if (is_broken)
		gate_crash_connection_lost(run->g, &run->hop);
	if (!is_complete && run->is_model && !f->never_sent)
		engine_cancel_request(run->g, run->hop.request_id, NULL, NULL);
	finish_run(run, is_complete);
}

static void on_header(struct fetch *f, const char *name, const char *value)
{
	struct stream_run *run = f->arg;

	if (!strcasecmp(name, "X-Request-Id"))
		snprintf(run->echoed_request_id, sizeof(run->echoed_request_id),
			 "%s", value);
	else if (!strcasecmp(name, "X-Model-Version"))
		snprintf(run->version, sizeof(run->version), "%s", value);
	else if (!strcasecmp(name, "Content-Type"))
		content_type_copy(run->content_type, value);
	__atomic_store_n(&run->last_byte_at, clock_now(), __ATOMIC_RELAXED);
}

/*
 * Checks that the answer belongs to this request and model version.  Returns -1
 * when the answer must not be forwarded.
 */
static int check_answer(struct stream_run *run)
{
	int status = run->fetch.status;

	if (*run->echoed_request_id &&
	    strcmp(run->echoed_request_id, run->hop.request_id) != 0)
		run->header_fault = SSE_MISMATCHED;
	if (!run->is_model)
		return run->header_fault || status >= 500 ? -1 : 0;
	if (status != 200)
		return -1;
	if (!*run->echoed_request_id ||
	    strcmp(run->version, run->hop.version) != 0)
		run->header_fault = SSE_MISMATCHED;
	return run->header_fault ? -1 : 0;
}

static int start_answer(struct stream_run *run)
{
	if (run->has_started)
		return 0;
	if (check_answer(run))
		return -1;
	run->has_started = 1;
	http_call_set(run->call, "X-Limpet-Request", run->hop.request_id);
	http_call_set(run->call, "X-Limpet-Outcome",
		      outcome_name(OUTCOME_ANSWER));
	if (run->is_model)
		http_call_set(run->call, "X-Limpet-Version", run->version);
	if (run->is_model)
		http_call_set(run->call, "X-Limpet-Cache",
			      run->is_cached ? "hit" : "miss");
	http_call_stream_begin(run->call, run->fetch.status,
			       *run->content_type ? run->content_type
						  : "application/json",
			       FRAMING_CHUNKED, 0);
	return 0;
}

static int forward_event(void *arg, const char *text, size_t size)
{
	struct stream_run *run = arg;

	if (run->sse.has_ended &&
	    strcmp(run->sse.version, run->hop.version) != 0) {
		run->sse.has_ended = 0;
		run->sse.fault = SSE_MISMATCHED;
		return -1;
	}
	__atomic_store_n(&run->events_forwarded, run->sse.next_token,
			 __ATOMIC_RELAXED);
	return http_call_stream_write(run->call, text, size);
}

static int on_data(struct fetch *f, const void *data, size_t size)
{
	struct stream_run *run = f->arg;

	__atomic_store_n(&run->last_byte_at, clock_now(), __ATOMIC_RELAXED);
	if (start_answer(run))
		return -1;
	__atomic_store_n(&run->is_paused, 1, __ATOMIC_SEQ_CST);
	if (http_call_stream_is_full(run->call))
		return FETCH_PAUSE;
	__atomic_store_n(&run->is_paused, 0, __ATOMIC_SEQ_CST);
	if (run->is_model)
		return sse_feed(&run->sse, data, size);
	return http_call_stream_write(run->call, data, size);
}

static const struct fetch_ops run_ops = { on_header, on_data, on_done };

/* Resumes reading after all written bytes have been sent to the entry. */
static void on_entry_drained(void *arg)
{
	struct stream_run *run = arg;

	if (__atomic_exchange_n(&run->is_paused, 0, __ATOMIC_SEQ_CST))
		fetch_resume(&run->fetch);
}

static void on_entry_disconnected(void *arg)
{
	struct stream_run *run = arg;

	__atomic_store_n(&run->cancelled_for, CANCEL_DISCONNECTED,
			 __ATOMIC_RELEASE);
	fetch_cancel(&run->fetch);
}

static int read_request(struct stream_run *run)
{
	size_t size;
	const char *body = http_call_body(run->call, &size);
	const char *model, *prompt;

	if (!run->is_model) {
		run->body = malloc(size + 1);
		if (!run->body)
			abort();
		memcpy(run->body, body, size);
		run->fetch.body = run->body;
		run->fetch.body_size = size;
		return 0;
	}
	run->request_body = json_loadb(body, size, 0, NULL);
	model = json_string_value(json_object_get(run->request_body, "model"));
	prompt =
		json_string_value(json_object_get(run->request_body, "prompt"));
	if (!model || !prompt)
		return -1;
	run->is_cached = gate_has_cached_prefix(run->g, model, prompt);
	sse_init(&run->sse, run->hop.request_id,
		 (int)json_integer_value(
			 json_object_get(run->request_body, "resume_from")),
		 forward_event, run);
	return 0;
}

static void link_run(struct stream_run *run)
{
	struct gate *g = run->g;

	pthread_mutex_lock(&g->mutex);
	run->next = g->stream_runs;
	run->link = &g->stream_runs;
	if (run->next)
		run->next->link = &run->next;
	g->stream_runs = run;
	g->stream_count++;
	pthread_mutex_unlock(&g->mutex);
}

/* Sends the first attempt after the pull of the KV cache ended either way. */
static void submit_first_attempt(void *arg)
{
	struct stream_run *run = arg;
	apr_time_t now = clock_now();

	if (__atomic_load_n(&run->cancelled_for, __ATOMIC_ACQUIRE) ==
		    CANCEL_DISCONNECTED ||
	    now >= run->deadline) {
		run->fetch.never_sent = 1;
		gate_crash_request_finished(run->g, &run->hop, 0);
		finish_run(run, 0);
		return;
	}
	submit_run(run, now);
	if (__atomic_load_n(&run->cancelled_for, __ATOMIC_ACQUIRE) ==
	    CANCEL_DISCONNECTED)
		fetch_cancel(&run->fetch);
}

/*
 * Sends a call that passed the checks to the upstream and streams the answer
 * back.
 */
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
	run->is_model = g->n->settings.upstream_kind == UPSTREAM_MODEL;
	run->deadline = now + apr_time_from_msec(h->remaining_ms);
	run->last_byte_at = now;
	run->fetch.fetcher = g->n->fetcher;
	run->fetch.is_done = 1; /* no fetch to cancel yet */
	if (read_request(run)) {
		refusal_set(&r, 400, OUTCOME_NOT_RUN, AGAIN_NO, "bad-request",
			    "gate", "the body is not a JSON object");
		gate_crash_request_finished(g, h, 0);
		gate_refuse(c, h, &r, 0);
		free_run(run);
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
	link_run(run);
	http_call_on_drain(c, on_entry_drained, run);
	session = json_string_value(
		json_object_get(run->request_body, "session"));
	if (*h->kv_source && session)
		gate_fetch_kv_cache(g, h->kv_source, session,
				    submit_first_attempt, run);
	else
		submit_run(run, now);
	/* Has no effect when the run has finished meanwhile. */
	http_call_on_disconnect(c, on_entry_disconnected, run);
}

/*
 * Returns 1 when the upstream has sent no byte for longer than allowed.  Plain
 * services may take any time to answer, so for them only reused connections
 * are checked.
 */
static int run_is_silent(const struct gate *g, const struct stream_run *run,
			 apr_time_t now)
{
	apr_time_t last = __atomic_load_n(&run->last_byte_at, __ATOMIC_RELAXED);
	apr_interval_time_t limit = SILENCE_LIMIT_US;

	if (__atomic_load_n(&run->is_paused, __ATOMIC_RELAXED))
		return 0;
	if (!run->is_model &&
	    !__atomic_load_n(&run->fetch.reused, __ATOMIC_RELAXED))
		return 0;
	if (run->is_model && g->engine_waiting)
		limit = SILENCE_LIMIT_QUEUED_US;
	if (limit < (apr_interval_time_t)g->token_us * SILENCE_LIMIT_TOKENS)
		limit = (apr_interval_time_t)g->token_us * SILENCE_LIMIT_TOKENS;
	return now - last > limit;
}

/*
 * Cancels and resumes runs whose connection is silent, but only if the upstream
 * answered a new connection since.  Otherwise the upstream itself is silent,
 * and its runs wait until their deadline or until their connections break.
 */
void stream_runs_cancel_silent(struct gate *g, apr_time_t now)
{
	struct stream_run *run;
	enum cancel_reason none;

	pthread_mutex_lock(&g->mutex);
	for (run = g->stream_runs; run; run = run->next) {
		none = CANCEL_NONE;
		if (!run_is_silent(g, run, now) ||
		    g->last_answered_poll < __atomic_load_n(&run->last_byte_at,
							    __ATOMIC_RELAXED))
			continue;
		if (__atomic_compare_exchange_n(
			    &run->cancelled_for, &none, CANCEL_SILENT, 0,
			    __ATOMIC_ACQ_REL, __ATOMIC_RELAXED))
			fetch_cancel(&run->fetch);
	}
	pthread_mutex_unlock(&g->mutex);
}

/*
 * Returns 1 when the request is in flight here, and sets events to the number
 * of events forwarded so far.
 */
int stream_run_is_in_flight(struct gate *g, const char *request_id, int *events)
{
	struct stream_run *run;

	pthread_mutex_lock(&g->mutex);
	for (run = g->stream_runs; run; run = run->next)
		if (!strcmp(run->hop.request_id, request_id))
			break;
	if (run)
		*events = __atomic_load_n(&run->events_forwarded,
					  __ATOMIC_RELAXED);
	pthread_mutex_unlock(&g->mutex);
	return run != NULL;
}
