#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/metric.h"
#include "calls/gate-internal.h"

/*
 * Calls that run at most once.  A run goes on when its caller is gone, so
 * that a repeat finds its answer.
 */

#define JOINERS_MAX 32
#define RUN_EXTRA_MS 30000 /* a run may last so long past its deadline */

struct joiner {
	struct http_call *call;
	char request[HOP_REQUEST_SIZE];
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
	char type[64];
	struct joiner joiners[JOINERS_MAX]; /* guarded by the gate's mutex */
	int joiner_count;
	struct once_run *next;
};

/* Sends an answer; each hop names its own request. */
static void answer_send(const struct joiner *j, const struct gate_answer *a,
			int replayed)
{
	http_call_set(j->call, "X-Limpet-Request", j->request);
	http_call_set(j->call, "X-Limpet-Outcome",
		      outcome_name(OUTCOME_ANSWER));
	if (replayed)
		http_call_set(j->call, "X-Limpet-Replayed", "1");
	http_call_reply(j->call, a->status, a->type, a->body, a->size);
}

static void joiner_refuse(const struct joiner *j, struct refusal *r,
			  uint32_t generation)
{
	struct hop h;

	snprintf(h.request_id, sizeof(h.request_id), "%s", j->request);
	gate_refuse(j->call, &h, r, generation);
}

/* Unlinks the run under the gate's mutex together with its row's new state. */
static void run_settle(struct once_run *run, enum gate_state state,
		       struct gate_answer *a)
{
	struct gate *g = run->g;
	struct once_run **link;

	pthread_mutex_lock(&g->mutex);
	gate_finish_run(&g->table, run->row, state, a);
	for (link = &g->onces; *link != run;)
		link = &(*link)->next;
	*link = run->next;
	g->once_count--;
	pthread_mutex_unlock(&g->mutex);
}

static void run_refuse_all(struct once_run *run, struct refusal *r)
{
	int i;

	for (i = 0; i < run->joiner_count; i++)
		joiner_refuse(&run->joiners[i], r, run->generation);
}

static void run_free(struct once_run *run)
{
	free(run->fetch.text);
	free(run->body);
	free(run);
}

static void run_answered(struct once_run *run)
{
	struct fetch *f = &run->fetch;
	struct gate_answer *a = gate_answer_new(
		f->status, *run->type ? run->type : "application/json", "",
		f->text ? f->text : "", f->text_size);
	int i;

	a->refs = 2; /* the row's and this function's */
	run_settle(run, GATE_ANSWERED, a);
	for (i = 0; i < run->joiner_count; i++)
		answer_send(&run->joiners[i], a, i > 0);
	gate_answer_release(a);
}

static void run_done(struct fetch *f)
{
	struct once_run *run = f->arg;
	struct refusal r;

	gate_crash_request_finished(run->g, &run->hop,
				    !f->error.code && f->status);
	if (f->error.code && !f->never_sent && f->error.code != ERROR_TIMEOUT)
		gate_crash_connection_lost(run->g, &run->hop);
	if (!f->error.code && f->status >= 500) {
		run_settle(run, GATE_ANSWER_LOST, NULL);
		refusal_set(&r, 502, OUTCOME_UNKNOWN, AGAIN_NO,
			    "upstream-error", "gate-answer",
			    "the upstream answered with status %d", f->status);
		r.scope = SCOPE_KEY;
		run_refuse_all(run, &r);
	} else if (!f->error.code && f->status) {
		run_answered(run);
	} else if (f->never_sent) {
		run_settle(run, GATE_MARKED_NOT_RUN, NULL);
		refusal_set(&r, 503, OUTCOME_NOT_RUN, AGAIN_TICKET,
			    "upstream-unreachable", "gate-connect", "%s",
			    f->error.text);
		r.scope = SCOPE_KEY;
		run_refuse_all(run, &r);
	} else {
		run_settle(run, GATE_ANSWER_LOST, NULL);
		refusal_set(&r, 502, OUTCOME_UNKNOWN, AGAIN_CHECK,
			    "upstream-lost", "gate-exchange", "%s",
			    f->error.text);
		r.scope = SCOPE_KEY;
		run_refuse_all(run, &r);
	}
	run_free(run);
}

static void run_header(struct fetch *f, const char *name, const char *value)
{
	struct once_run *run = f->arg;

	if (!strcasecmp(name, "Content-Type"))
		snprintf(run->type, sizeof(run->type), "%s", value);
}

static const struct fetch_ops run_ops = { run_header, NULL, run_done };

/* Prepares a run; the row is set to running already. */
static struct once_run *run_new(struct gate *g, struct http_call *c,
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
	f->timeout_ms = h->remaining_ms + RUN_EXTRA_MS;
	f->send_by = clock_now() + GATE_SEND_TIMEOUT_US;
	f->once = 1;
	run->joiners[run->joiner_count++].call = c;
	snprintf(run->joiners[0].request, HOP_REQUEST_SIZE, "%s",
		 h->request_id);
	return run;
}

/* Adds the request to the run of a row.  The gate's mutex is held. */
static int run_join(struct gate *g, struct handle row, struct http_call *c,
		    const struct hop *h)
{
	struct once_run *run = g->onces;
	struct joiner *j;

	while (run && !handle_equal(run->row, row))
		run = run->next;
	if (!run || run->joiner_count == JOINERS_MAX)
		return -1;
	j = &run->joiners[run->joiner_count++];
	j->call = c;
	snprintf(j->request, sizeof(j->request), "%s", h->request_id);
	return 0;
}

static void content_of(struct http_call *c, const struct hop *h,
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

/* Returns 1 when no other agent can have run this key.  Mutex held. */
static int is_home(struct gate *g, const struct ticket *t, const char *service,
		   apr_interval_time_t lifetime, apr_time_t now)
{
	int i;

	for (i = 0; i < g->service_count; i++)
		if (!strcmp(g->services[i].name, service))
			return home_is_exclusive(&g->services[i].view,
						 t->identity, lifetime, now);
	return 0;
}

/* Fills in the refusal for a verdict that is neither run, join nor replay. */
static void verdict_refusal(const struct gate_decision *rep,
			    const struct refusal *why, struct refusal *r)
{
	switch (rep->verdict) {
	case GATE_MISMATCH:
		refusal_set(r, 422, OUTCOME_NOT_RUN, AGAIN_NO, rep->reason,
			    "gate", "the key was used for another request");
		break;
	case GATE_EARLIER_RUN_POSSIBLE:
		refusal_set(r, 503, OUTCOME_NOT_RUN, AGAIN_SAME, rep->reason,
			    "gate",
			    "an earlier run of this key elsewhere can't be "
			    "ruled out; begin with a ticket instead");
		break;
	case GATE_UNKNOWN:
		refusal_set(r, 502, OUTCOME_UNKNOWN, AGAIN_NO, rep->reason,
			    "gate", "the agent holds no answer for this call");
		r->scope = SCOPE_KEY;
		break;
	default:
		if (why)
			*r = *why;
		else
			refusal_set(r, 409, OUTCOME_NOT_RUN, AGAIN_TICKET,
				    rep->reason, "gate",
				    "it did not run and never will with this "
				    "ticket");
		r->again = AGAIN_TICKET;
		r->scope = SCOPE_KEY;
	}
}

/*
 * Decides about a call that may run at most once and carries the decision
 * out.  why, if not NULL, says why nothing may be handed over now.
 */
void once_run_admit(struct gate *g, struct http_call *c, const struct hop *h,
		    const struct ticket *t, const char *service,
		    const char *operation, struct refusal *why)
{
	struct gate_request ask = { 0 };
	struct gate_decision rep;
	struct once_run *run = NULL;
	struct joiner self = { c, "" };
	struct refusal r, crash;
	apr_time_t now = clock_now();
	int joined = 0, entered;

	snprintf(self.request, sizeof(self.request), "%s", h->request_id);
	ask.ticket = t;
	ask.ticketed = *h->ticket != '\0';
	ask.boot = g->n->self.boot;
	ask.lifetime = apr_time_from_sec(h->key_lifetime_s);
	content_of(c, h, &ask.content);
	entered = !why && !gate_crash_admit(g, h, now, &crash);
	if (!why && !entered)
		why = &crash;
	ask.may_run = !why;
	pthread_mutex_lock(&g->mutex);
	ask.home = is_home(g, t, service, ask.lifetime, now);
	gate_admit(&g->table, &ask, now, (uint64_t)time(NULL), &rep);
	if (rep.verdict == GATE_RUN) {
		run = run_new(g, c, h, t, operation);
		run->row = rep.row;
		run->generation = rep.generation;
		run->next = g->onces;
		g->onces = run;
		g->once_count++;
	} else if (rep.verdict == GATE_JOIN) {
		joined = !run_join(g, rep.row, c, h);
	}
	pthread_mutex_unlock(&g->mutex);
	metric_count("gate_once",
		     rep.verdict == GATE_RUN	  ? "run"
		     : rep.verdict == GATE_JOIN	  ? "join"
		     : rep.verdict == GATE_REPLAY ? "replay"
						  : rep.reason,
		     1);
	if (entered && !run)
		gate_crash_request_finished(g, h, 0);
	if (run) {
		fetch_submit(g->n->fetcher, &run->fetch);
		return;
	}
	if (joined)
		return;
	if (rep.verdict == GATE_REPLAY) {
		answer_send(&self, rep.answer, 1);
		gate_answer_release(rep.answer);
		return;
	}
	if (rep.verdict == GATE_JOIN) {
		refusal_set(&r, 503, OUTCOME_UNKNOWN, AGAIN_CHECK,
			    "too-many-repeats", "gate",
			    "the call runs; too many repeats wait for it");
		r.scope = SCOPE_KEY;
	} else {
		verdict_refusal(&rep, why, &r);
	}
	gate_refuse(c, h, &r, rep.generation);
}

/* Returns 1 when a request waits here for a run. */
int once_run_is_in_flight(struct gate *g, const char *request)
{
	struct once_run *run;
	int i, known = 0;

	pthread_mutex_lock(&g->mutex);
	for (run = g->onces; run; run = run->next)
		for (i = 0; i < run->joiner_count; i++)
			known |= !strcmp(run->joiners[i].request, request);
	pthread_mutex_unlock(&g->mutex);
	return known;
}
