#include "calls/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/gate-internal.h"
#include "weights/weights.h"

#define GATE_ROWS_MAX 65536
#define GATE_ANSWERS_MAX_BYTES (32 * 1024 * 1024)
#define CALL_PREFIX "/call/"
#define RETRY_AFTER_MS 200

/*
 * Returns 1 when this process has just resumed from a pause, so that requests
 * it reads now may have waited in a socket buffer meanwhile.
 */
int gate_is_paused(struct gate *g, apr_time_t now)
{
	apr_time_t last = __atomic_load_n(&g->last_step_at, __ATOMIC_ACQUIRE);

	if (last && now - last > GATE_PAUSE_MIN_US)
		return 1;
	return now < __atomic_load_n(&g->paused_until, __ATOMIC_ACQUIRE);
}

/*
 * Answers a call with a refusal.  The headers carry outcome and generation, by
 * which the entry decides whether to retry.  h is NULL when the headers of the
 * call are not valid.
 */
void gate_refuse(struct http_call *c, const struct hop *h, struct refusal *r,
		 uint32_t generation)
{
	char number[16];

	snprintf(number, sizeof(number), "%u", generation);
	if (h)
		http_call_set(c, "X-Limpet-Request", h->request_id);
	http_call_set(c, "X-Limpet-Outcome", outcome_name(r->outcome));
	http_call_set(c, "X-Limpet-Generation", number);
	metric_count("gate_refused", r->reason, 1);
	refusal_send(c, r, h ? h->request_id : NULL, NULL);
}

/*
 * Returns 1 when the upstream was verified to serve this version of the model
 * completely, and nothing has invalidated that since.
 */
static int is_version_served(struct gate *g, const char *model,
			     const char *version)
{
	char running[DIGEST_HEX_SIZE];

	return weights_can_serve(g->n, model, running) &&
	       !strcmp(running, version);
}

/* Returns -1 and fills in why when no call may be sent to the upstream now. */
static int check_accepts_calls(struct gate *g, const struct hop *h,
			       apr_time_t now, struct refusal *why)
{
	if (gate_is_paused(g, now)) {
		refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "paused",
			    "gate", "the agent was stopped for a while");
		why->retry_after_ms = RETRY_AFTER_MS;
		return -1;
	}
	if (h->remaining_ms <= 0) {
		refusal_set(why, 504, OUTCOME_NOT_RUN, AGAIN_SAME, "deadline",
			    "gate", "no time left at the hand-over");
		return -1;
	}
	if (node_draining(g->n)) {
		refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_TICKET, "draining",
			    "gate", "the upstream is leaving");
		why->retry_after_ms = RETRY_AFTER_MS;
		return -1;
	}
	return 0;
}

/*
 * Splits a path of the form CALL_PREFIX "<kind>/<name>/<action>".  Returns -1
 * for any other path.
 */
static int split_path(const char *path, char *copy, size_t size, char **kind,
		      char **name, char **action)
{
	char *rest = copy;

	if (snprintf(copy, size, "%s", path + strlen(CALL_PREFIX)) >= (int)size)
		return -1;
	*kind = strsep(&rest, "/");
	*name = strsep(&rest, "/");
	*action = strsep(&rest, "/");
	return !*action || !**name || !**action || rest ? -1 : 0;
}

static void handle_model_call(struct gate *g, struct http_call *c,
			      const struct hop *h, const char *model,
			      apr_time_t now)
{
	struct refusal why;

	if (check_accepts_calls(g, h, now, &why)) {
		gate_refuse(c, h, &why, 0);
		return;
	}
	if (!is_version_served(g, model, h->version)) {
		refusal_set(&why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "version",
			    "gate", "the upstream does not run this version");
		why.retry_after_ms = RETRY_AFTER_MS;
		gate_refuse(c, h, &why, 0);
		return;
	}
	if (gate_crash_admit(g, h, now, &why)) {
		gate_refuse(c, h, &why, 0);
		return;
	}
	stream_run_start(g, c, h, "/v1/generate");
}

/* Builds the ticket of a call that has the caller's key but no ticket. */
static void make_key_ticket(struct gate *g, const struct hop *h,
			    const char *service, struct ticket *t)
{
	memset(t, 0, sizeof(*t));
	snprintf(t->agent, sizeof(t->agent), "%s", g->n->settings.instance);
	snprintf(t->account, sizeof(t->account), "%s", h->account);
	snprintf(t->service, sizeof(t->service), "%s", service);
	t->boot = g->n->self.boot;
	ticket_set_key_identity(t, h->key);
}

/*
 * Verifies the ticket of a call, or builds one from the caller's key.  Returns
 * -1 and fills in why when the ticket is not valid for this call.
 */
static int read_ticket(struct gate *g, const struct hop *h, const char *service,
		       struct ticket *t, struct refusal *why)
{
	struct error err = ERROR_INIT;

	if (!*h->ticket && *h->key) {
		make_key_ticket(g, h, service, t);
		return 0;
	}
	if (*h->ticket &&
	    !ticket_verify(h->ticket, &g->n->self.keys, t, &err) &&
	    !strcmp(t->account, h->account) && !strcmp(t->service, service) &&
	    !strcmp(t->agent, g->n->settings.instance))
		return 0;
	refusal_set(why, 400, OUTCOME_NOT_RUN, AGAIN_NO, "bad-ticket", "gate",
		    "the ticket is not for this call");
	return -1;
}

static void handle_plain_call(struct gate *g, struct http_call *c,
			      const struct hop *h, const char *service,
			      const char *operation, apr_time_t now)
{
	char path[160];
	struct refusal why;
	struct ticket t;
	int refused = check_accepts_calls(g, h, now, &why);

	if (!h->is_repeatable) {
		if (read_ticket(g, h, service, &t,
				refused ? &(struct refusal){ 0 } : &why)) {
			refusal_set(&why, 400, OUTCOME_NOT_RUN, AGAIN_NO,
				    "bad-ticket", "gate",
				    "the ticket is not for this call");
			gate_refuse(c, h, &why, 0);
			return;
		}
		once_run_admit(g, c, h, &t, service, operation,
			       refused ? &why : NULL);
		return;
	}
	if (refused || gate_crash_admit(g, h, now, &why)) {
		gate_refuse(c, h, &why, 0);
		return;
	}
	snprintf(path, sizeof(path), "/%s", operation);
	stream_run_start(g, c, h, path);
}

static void handle_call(struct http_call *c, void *arg)
{
	struct gate *g = arg;
	struct hop h = { 0 };
	struct error err = ERROR_INIT;
	struct refusal r;
	char copy[256], *kind, *name, *action;
	apr_time_t now = clock_now();

	snprintf(h.agent, sizeof(h.agent), "%s", g->n->settings.instance);
	if (hop_parse_headers(c, &g->n->self.keys, &h, &err)) {
		refusal_set(&r, err.code == ERROR_AUTH ? 401 : 400,
			    OUTCOME_NOT_RUN, AGAIN_NO, "hand-over", "gate",
			    "%s", err.text);
		gate_refuse(c, NULL, &r, 0);
		return;
	}
	if (split_path(http_call_path(c), copy, sizeof(copy), &kind, &name,
		       &action)) {
		refusal_set(&r, 404, OUTCOME_NOT_RUN, AGAIN_NO, "no-such-path",
			    "gate", "not a path of calls");
		gate_refuse(c, &h, &r, 0);
		return;
	}
	if (!strcmp(kind, "model") &&
	    g->n->settings.upstream_kind == UPSTREAM_MODEL) {
		handle_model_call(g, c, &h, name, now);
	} else if (!strcmp(kind, "plain") &&
		   g->n->settings.upstream_kind == UPSTREAM_PLAIN) {
		handle_plain_call(g, c, &h, name, action, now);
	} else {
		refusal_set(&r, 404, OUTCOME_NOT_RUN, AGAIN_NO, "wrong-kind",
			    "gate", "the upstream is of another kind");
		gate_refuse(c, &h, &r, 0);
	}
}

/*
 * Reports whether a request is in flight, so that an entry can check that on a
 * new connection when the request's own connection is silent.
 */
static void handle_in_flight_query(struct http_call *c, void *arg)
{
	const char *id = strrchr(http_call_path(c), '/') + 1;

	int events = 0;
	int running = stream_run_is_in_flight(arg, id, &events) ||
		      once_run_is_in_flight(arg, id);

	http_call_reply_json(
		c, 200,
		json_pack("{s:b,s:i}", "running", running, "events", events));
}

static json_t *make_status(void *arg)
{
	struct gate *g = arg;
	json_t *o;

	pthread_mutex_lock(&g->mutex);
	o = json_pack("{s:i,s:i,s:b,s:i,s:i}", "streams", g->stream_count,
		      "once", g->once_count, "reachable", g->is_reachable,
		      "upstream_running", g->engine_running, "upstream_waiting",
		      g->engine_waiting);
	pthread_mutex_unlock(&g->mutex);
	return o;
}

static int count_in_flight(void *arg)
{
	struct gate *g = arg;
	int busy;

	pthread_mutex_lock(&g->mutex);
	busy = g->stream_count + g->once_count;
	pthread_mutex_unlock(&g->mutex);
	return busy;
}

/*
 * Detects pauses of this process and cancels silent runs.  After a pause the
 * views of the services start anew, as updates may have been missed.
 */
static void check_step(void *arg, apr_time_t now)
{
	struct gate *g = arg;
	apr_time_t last = g->last_step_at;
	int i;

	if (last && now - last > GATE_PAUSE_MIN_US) {
		__atomic_store_n(&g->paused_until, now + GATE_PAUSE_GRACE_US,
				 __ATOMIC_RELEASE);
		pthread_mutex_lock(&g->mutex);
		for (i = 0; i < g->service_count; i++)
			g->services[i].view.tracked_since = now;
		pthread_mutex_unlock(&g->mutex);
	}
	__atomic_store_n(&g->last_step_at, now, __ATOMIC_RELEASE);
	stream_runs_cancel_silent(g, now);
}

static void remove_expired_step(void *arg, apr_time_t now)
{
	struct gate *g = arg;

	gate_remove_expired_rows(&g->table, now, (uint64_t)time(NULL));
}

/*
 * Adds the gate's routes and controllers to the node of an agent, which must
 * not run yet.  Returns -1 and fills in err when the crash list cannot be
 * started.
 */
int gate_start(struct node *n, struct error *err)
{
	struct gate *g = calloc(1, sizeof(*g));

	if (!g)
		abort();
	g->n = n;
	pthread_mutex_init(&g->mutex, NULL);
	gate_table_init(&g->table, GATE_ROWS_MAX, GATE_ANSWERS_MAX_BYTES);
	if (crash_start(n, &g->crashes, err))
		return -1;
	node_add_route(n, NULL, CALL_PREFIX, GATE_BODY_MAX_BYTES, handle_call,
		       g);
	node_add_route(n, "GET", "/calls/", 0, handle_in_flight_query, g);
	node_add_controller(n, "gate", 50 * 1000, check_step, g);
	node_add_controller(n, "gate-sweep", APR_USEC_PER_SEC,
			    remove_expired_step, g);
	node_add_status(n, "gate", make_status, g);
	node_add_drain(n, "gate", count_in_flight, g);
	gate_watch_start(g);
	gate_crash_start(g);
	gate_cache_start(g);
	return 0;
}
