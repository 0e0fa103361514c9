#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/metric.h"
#include "calls/gate-internal.h"

/*
 * Calls that run at most once.  A run continues after its caller disconnected,
 * so that a retry gets the answer.
 */

#define WAITERS_MAX 32
#define RUN_GRACE_MS 30000 /* a run may continue this long past its deadline */

/* A request that waits for the answer of a run. */
struct waiter {
	struct http_call *call;
	char request_id[HOP_REQUEST_SIZE];
};

struct once_run {
	struct gate *g;
	struct hop hop;
	struct handle row;
	uint32_t generation;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 160];
	char headers[GATE_HEADERS_MAX][GATE_HEADER_SIZE];
	void *body;
	char content_type[CONTENT_TYPE_SIZE];
	struct waiter waiters[WAITERS_MAX]; /* guarded by the gate's mutex */
	int waiter_count;
	struct once_run *next;
};

/* Sends an answer under the waiter's own request id. */
static void send_answer(const struct waiter *w, const struct gate_answer *a,
			int is_replay)
{
	http_call_set(w->call, "X-Limpet-Request", w->request_id);
	http_call_set(w->call, "X-Limpet-Outcome",
		      outcome_name(OUTCOME_ANSWER));
	if (is_replay)
		http_call_set(w->call, "X-Limpet-Replayed", "1");
	http_call_reply(w->call, a->status, a->content_type, a->body, a->size);
}

static void refuse_waiter(const struct waiter *w, struct refusal *r,
			  uint32_t generation)
{
	struct hop h;

	snprintf(h.request_id, sizeof(h.request_id), "%s", w->request_id);
	gate_refuse(w->call, &h, r, generation);
}

/*
 * Unlinks a run and sets the final state of its row, both under the gate's
 * mutex, so that no request can join a finished run.
 */
static void remove_run(struct once_run *run, enum gate_state state,
		       struct gate_answer *a)
{
	struct gate *g = run->g;
	struct once_run **link;

	pthread_mutex_lock(&g->mutex);
	gate_finish_run(&g->table, run->row, state, a, clock_now());
	for (link = &g->once_runs; *link != run;)
		link = &(*link)->next;
	*link = run->next;
	g->once_count--;
	pthread_mutex_unlock(&g->mutex);
}

static void refuse_waiters(struct once_run *run, struct refusal *r)
{
	int i;

	for (i = 0; i < run->waiter_count; i++)
		refuse_waiter(&run->waiters[i], r, run->generation);
}

static void free_run(struct once_run *run)
{
	free(run->fetch.text);
	free(run->body);
	free(run);
}

static void deliver_answer(struct once_run *run)
{
	struct fetch *f = &run->fetch;
	struct gate_answer *a = gate_answer_new(
		f->status,
		*run->content_type ? run->content_type : "application/json", "",
		f->text ? f->text : "", f->text_size);
	int i;

	a->refs = 2; /* of the row and of this function */
	remove_run(run, GATE_ANSWERED, a);
	for (i = 0; i < run->waiter_count; i++)
		send_answer(&run->waiters[i], a, i > 0);
	gate_answer_release(a);
}

static void on_done(struct fetch *f)
{
	struct once_run *run = f->arg;
	struct refusal r;

	gate_crash_request_finished(run->g, &run->hop,
				    !f->error.code && f->status);
	if (f->error.code && !f->never_sent && f->error.code != ERROR_TIMEOUT)
		gate_crash_connection_lost(run->g, &run->hop);
	if (!f->error.code && f->status >= 500) {
		remove_run(run, GATE_ANSWER_LOST, NULL);
		refusal_set(&r, 502, OUTCOME_UNKNOWN, AGAIN_NO,
			    "upstream-error", "gate-answer",
			    "the upstream answered with status %d", f->status);
		r.scope = SCOPE_KEY;
		refuse_waiters(run, &r);
	} else if (!f->error.code && f->status) {
		deliver_answer(run);
	} else if (f->never_sent) {
		remove_run(run, GATE_MARKED_NOT_RUN, NULL);
		refusal_set(&r, 503, OUTCOME_NOT_RUN, AGAIN_TICKET,
			    "upstream-unreachable", "gate-connect", "%s",
			    f->error.text);
		r.scope = SCOPE_KEY;
		refuse_waiters(run, &r);
	} else {
		remove_run(run, GATE_ANSWER_LOST, NULL);
		refusal_set(&r, 502, OUTCOME_UNKNOWN, AGAIN_CHECK,
			    "upstream-lost", "gate-exchange", "%s",
			    f->error.text);
		r.scope = SCOPE_KEY;
		refuse_waiters(run, &r);
	}
	free_run(run);
}

static void on_header(struct fetch *f, const char *name, const char *value)
{
	struct once_run *run = f->arg;

	if (!strcasecmp(name, "Content-Type"))
		content_type_copy(run->content_type, value);
}

static const struct fetch_ops run_ops = { on_header, NULL, on_done };

/* Allocates a run whose row is set to running already. */
static struct once_run *new_run(struct gate *g, struct http_call *c,
				const struct hop *h, const struct ticket *t,
				const char *operation)
{
	struct once_run *run = calloc(1, sizeof(*run));
	struct fetch *f = &run->fetch;
	size_t size;
	const void *body = http_call_body(c, &size);

	if (!run)
		abort();
	run->g = g;
	run->hop = *h;
	run->body = malloc(size + 1);
	if (!run->body)
		abort();
	memcpy(run->body, body, size);
	snprintf(run->url, sizeof(run->url), "%s/%s",
		 g->n->settings.upstream_url, operation);
	snprintf(run->headers[0], GATE_HEADER_SIZE, "X-Request-Id: %s",
		 h->request_id);
	snprintf(run->headers[1], GATE_HEADER_SIZE, "X-Idempotency-Key: %s",
		 *h->key ? h->key : t->identity);
	snprintf(run->headers[2], GATE_HEADER_SIZE,
		 "Content-Type: application/json");
	f->headers[0] = run->headers[0];
	f->headers[1] = run->headers[1];
	f->headers[2] = run->headers[2];
	f->ops = &run_ops;
	f->arg = run;
	f->method = "POST";
	f->url = run->url;
	f->body = run->body;
	f->body_size = size;
	f->timeout_ms = h->remaining_ms + RUN_GRACE_MS;
	f->send_by = clock_now() + GATE_SEND_TIMEOUT_US;
	f->once = 1;
	run->waiters[run->waiter_count++].call = c;
	snprintf(run->waiters[0].request_id, HOP_REQUEST_SIZE, "%s",
		 h->request_id);
	return run;
}

/*
 * Adds a request to the waiters of the row's run.  Returns -1 when there are
 * too many.  The gate's mutex is held.
 */
static int join_run(struct gate *g, struct handle row, struct http_call *c,
		    const struct hop *h)
{
	struct once_run *run = g->once_runs;
	struct waiter *w;

	while (run && !handle_equal(run->row, row))
		run = run->next;
	if (!run || run->waiter_count == WAITERS_MAX)
		return -1;
	w = &run->waiters[run->waiter_count++];
	w->call = c;
	snprintf(w->request_id, sizeof(w->request_id), "%s", h->request_id);
	return 0;
}

/* Computes the digest of account, path and body, which identify a request. */
static void digest_request(struct http_call *c, const struct hop *h,
			   struct digest *out)
{
	char hex[DIGEST_HEX_SIZE], text[512];
	struct digest d;
	size_t size;
	const void *body = http_call_body(c, &size);

	digest_of(body, size, &d);
	digest_hex(&d, hex);
	snprintf(text, sizeof(text), "%s\n%s\n%s", h->account,
		 http_call_path(c), hex);
	digest_of(text, strlen(text), out);
}

/*
 * Returns 1 when no other agent can have run this key within its lifetime.
 * The gate's mutex is held.
 */
static int is_exclusive_home(struct gate *g, const struct ticket *t,
			     const char *service, apr_interval_time_t lifetime,
			     apr_time_t now)
{
	int i;

	for (i = 0; i < g->service_count; i++)
		if (!strcmp(g->services[i].name, service))
			return home_is_exclusive(&g->services[i].view,
						 t->identity, lifetime, now);
	return 0;
}

/* Sets the refusal for a verdict other than run, join and replay. */
static void set_verdict_refusal(const struct gate_decision *decision,
				const struct refusal *why, struct refusal *r)
{
	switch (decision->verdict) {
	case GATE_MISMATCH:
		refusal_set(r, 422, OUTCOME_NOT_RUN, AGAIN_NO, decision->reason,
			    "gate", "the key was used for another request");
		break;
	case GATE_EARLIER_RUN_POSSIBLE:
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME,
			    decision->reason, "gate",
			    "an earlier run of this key elsewhere can't be "
			    "ruled out; begin with a ticket instead");
		break;
	case GATE_UNKNOWN:
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_NO, decision->reason,
			    "gate", "the agent holds no answer for this call");
		r->scope = SCOPE_KEY;
		break;
	default:
		if (why)
			*r = *why;
		else
			refusal_set(r, 409, OUTCOME_NOT_RUN, AGAIN_TICKET,
				    decision->reason, "gate",
				    "it did not run and never will with this "
				    "ticket");
		r->again = AGAIN_TICKET;
		r->scope = SCOPE_KEY;
	}
}

/*
 * Decides about a call that may run at most once, and runs, joins, replays or
 * refuses it.  why is the reason for which no call may be sent now, or NULL.
 */
void once_run_admit(struct gate *g, struct http_call *c, const struct hop *h,
		    const struct ticket *t, const char *service,
		    const char *operation, struct refusal *why)
{
	struct gate_request request = { 0 };
	struct gate_decision decision;
	struct once_run *run = NULL;
	struct waiter waiter = { c, "" };
	struct refusal r, crash;
	apr_time_t now = clock_now();
	int has_joined = 0, is_admitted;

	snprintf(waiter.request_id, sizeof(waiter.request_id), "%s",
		 h->request_id);
	request.ticket = t;
	request.has_ticket = *h->ticket != '\0';
	request.agent_boot = g->n->self.boot;
	request.key_lifetime = apr_time_from_sec(h->key_lifetime_s);
	digest_request(c, h, &request.request_digest);
	is_admitted = !why && !gate_crash_admit(g, h, now, &crash);
	if (!why && !is_admitted)
		why = &crash;
	request.may_run = !why;
	pthread_mutex_lock(&g->mutex);
	request.is_exclusive_home =
		is_exclusive_home(g, t, service, request.key_lifetime, now);
	gate_admit(&g->table, &request, now, (uint64_t)time(NULL), &decision);
	if (decision.verdict == GATE_RUN) {
		run = new_run(g, c, h, t, operation);
		run->row = decision.row;
		run->generation = decision.generation;
		run->next = g->once_runs;
		g->once_runs = run;
		g->once_count++;
	} else if (decision.verdict == GATE_JOIN) {
		has_joined = !join_run(g, decision.row, c, h);
	}
	pthread_mutex_unlock(&g->mutex);
	metric_count("gate_once",
		     decision.verdict == GATE_RUN      ? "run"
		     : decision.verdict == GATE_JOIN   ? "join"
		     : decision.verdict == GATE_REPLAY ? "replay"
						       : decision.reason,
		     1);
	if (is_admitted && !run)
		gate_crash_request_finished(g, h, 0);
	if (run) {
		fetch_submit(g->n->fetcher, &run->fetch);
		return;
	}
	if (has_joined)
		return;
	if (decision.verdict == GATE_REPLAY) {
		send_answer(&waiter, decision.answer, 1);
		gate_answer_release(decision.answer);
		return;
	}
	if (decision.verdict == GATE_JOIN) {
		refusal_set(&r, 503, OUTCOME_UNKNOWN, AGAIN_CHECK,
			    "too-many-repeats", "gate",
			    "the call runs; too many repeats wait for it");
		r.scope = SCOPE_KEY;
	} else {
		set_verdict_refusal(&decision, why, &r);
	}
	gate_refuse(c, h, &r, decision.generation);
}

/* Returns 1 when the request waits for a run in flight. */
int once_run_is_in_flight(struct gate *g, const char *request_id)
{
	struct once_run *run;
	int i, is_found = 0;

	pthread_mutex_lock(&g->mutex);
	for (run = g->once_runs; run; run = run->next)
		for (i = 0; i < run->waiter_count; i++)
			is_found |=
				!strcmp(run->waiters[i].request_id, request_id);
	pthread_mutex_unlock(&g->mutex);
	return is_found;
}
