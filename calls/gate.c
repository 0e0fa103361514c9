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
#define GATE_ANSWER_BYTES (32 * 1024 * 1024)
#define CALL_PREFIX "/call/"
#define RETRY_SOON_MS 200

/*
 * Returns 1 when this process just woke from a pause, so that what it reads
 * may have waited for it.
 */
int gate_is_paused(struct gate *g, apr_time_t now)
{
	apr_time_t last = __atomic_load_n(&g->last_turn, __ATOMIC_ACQUIRE);

	if (last && now - last > GATE_PAUSE_MIN_US)
		return 1;
	return now < __atomic_load_n(&g->paused_until, __ATOMIC_ACQUIRE);
}

/* Answers a hand-over with a refusal that the entry can act upon. */
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
 * Returns 1 when the upstream was seen to run this version of the model,
 * whole, and nothing since makes that doubtful.
 */
static int version_served(struct gate *g, const char *model,
			  const char *version)
{
	char running[DIGEST_HEX_SIZE];

	return weights_serves(g->n, model, running) &&
	       !strcmp(running, version);
}

/* Returns -1 and fills in why when nothing may be handed over now. */
static int may_hand_over(struct gate *g, const struct hop *h, apr_time_t now,
			 struct refusal *why)
{
	if (gate_is_paused(g, now)) {
		refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "paused",
			    "gate", "the agent was stopped for a while");
		why->retry_after_ms = RETRY_SOON_MS;
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
		why->retry_after_ms = RETRY_SOON_MS;
		return -1;
	}
	return 0;
}

/* Splits "<kind>/<name>/<action>" after the prefix. */
static int path_split(const char *path, char *copy, size_t size, char **kind,
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

static void model_call(struct gate *g, struct http_call *c, const struct hop *h,
		       const char *model, apr_time_t now)
{
	struct refusal why;

	if (may_hand_over(g, h, now, &why)) {
		gate_refuse(c, h, &why, 0);
		return;
	}
	if (!version_served(g, model, h->version)) {
		refusal_set(&why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "version",
			    "gate", "the upstream does not run this version");
		why.retry_after_ms = RETRY_SOON_MS;
		gate_refuse(c, h, &why, 0);
		return;
	}
	if (gate_crash_admit(g, h, now, &why)) {
		gate_refuse(c, h, &why, 0);
		return;
	}
	stream_run_start(g, c, h, "/v1/generate");
}

/* The identity of a call that comes with the caller's key alone. */
static void keyed_ticket(struct gate *g, const struct hop *h,
			 const char *service, struct ticket *t)
{
	memset(t, 0, sizeof(*t));
	snprintf(t->agent, sizeof(t->agent), "%s", g->n->settings.instance);
	snprintf(t->account, sizeof(t->account), "%s", h->account);
	snprintf(t->service, sizeof(t->service), "%s", service);
	t->boot = g->n->self.boot;
	ticket_set_key_identity(t, h->key);
}

static int ticket_of(struct gate *g, const struct hop *h, const char *service,
		     struct ticket *t, struct refusal *why)
{
	struct error err = ERROR_INIT;

	if (!*h->ticket && *h->key) {
		keyed_ticket(g, h, service, t);
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

static void plain_call(struct gate *g, struct http_call *c, const struct hop *h,
		       const char *service, const char *operation,
		       apr_time_t now)
{
	char path[160];
	struct refusal why;
	struct ticket t;
	int refused = may_hand_over(g, h, now, &why);

	if (!h->is_repeatable) {
		if (ticket_of(g, h, service, &t,
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

static void call_serve(struct http_call *c, void *arg)
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
	if (path_split(http_call_path(c), copy, sizeof(copy), &kind, &name,
		       &action)) {
		refusal_set(&r, 404, OUTCOME_NOT_RUN, AGAIN_NO, "no-such-path",
			    "gate", "not a path of calls");
		gate_refuse(c, &h, &r, 0);
		return;
	}
	if (!strcmp(kind, "model") &&
	    g->n->settings.upstream_kind == UPSTREAM_MODEL) {
		model_call(g, c, &h, name, now);
	} else if (!strcmp(kind, "plain") &&
		   g->n->settings.upstream_kind == UPSTREAM_PLAIN) {
		plain_call(g, c, &h, name, action, now);
	} else {
		refusal_set(&r, 404, OUTCOME_NOT_RUN, AGAIN_NO, "wrong-kind",
			    "gate", "the upstream is of another kind");
		gate_refuse(c, &h, &r, 0);
	}
}

/* Tells an entry on a fresh connection whether a request is under way. */
static void known_serve(struct http_call *c, void *arg)
{
	const char *id = strrchr(http_call_path(c), '/') + 1;

	int events = 0;
	int running = stream_run_is_in_flight(arg, id, &events) ||
		      once_run_is_in_flight(arg, id);

	http_call_reply_json(
		c, 200,
		json_pack("{s:b,s:i}", "running", running, "events", events));
}

static json_t *status_make(void *arg)
{
	struct gate *g = arg;
	json_t *o;

	pthread_mutex_lock(&g->mutex);
	o = json_pack("{s:i,s:i,s:b,s:i,s:i}", "streams", g->stream_count,
		      "once", g->once_count, "reachable", g->reachable,
		      "upstream_running", g->running, "upstream_waiting",
		      g->waiting);
	pthread_mutex_unlock(&g->mutex);
	return o;
}

static int gate_busy(void *arg)
{
	struct gate *g = arg;
	int busy;

	pthread_mutex_lock(&g->mutex);
	busy = g->stream_count + g->once_count;
	pthread_mutex_unlock(&g->mutex);
	return busy;
}

static void turn(void *arg, apr_time_t now)
{
	struct gate *g = arg;
	apr_time_t last = g->last_turn;
	int i;

	if (last && now - last > GATE_PAUSE_MIN_US) {
		__atomic_store_n(&g->paused_until, now + GATE_PAUSE_GRACE_US,
				 __ATOMIC_RELEASE);
		pthread_mutex_lock(&g->mutex);
		for (i = 0; i < g->service_count; i++)
			g->services[i].view.tracked_since = now;
		pthread_mutex_unlock(&g->mutex);
	}
	__atomic_store_n(&g->last_turn, now, __ATOMIC_RELEASE);
	stream_runs_cancel_silent(g, now);
}

static void sweep(void *arg, apr_time_t now)
{
	struct gate *g = arg;

	gate_remove_expired_rows(&g->table, now, (uint64_t)time(NULL));
}

/* Adds the gate to an agent: its routes and controllers. */
int gate_start(struct node *n, struct error *err)
{
	struct gate *g = calloc(1, sizeof(*g));

	if (!g)
		abort();
	g->n = n;
	pthread_mutex_init(&g->mutex, NULL);
	gate_table_init(&g->table, GATE_ROWS_MAX, GATE_ANSWER_BYTES);
	if (crash_start(n, &g->crashes, err))
		return -1;
	node_add_route(n, NULL, CALL_PREFIX, GATE_BODY_MAX_BYTES, call_serve,
		       g);
	node_add_route(n, "GET", "/calls/", 0, known_serve, g);
	node_add_controller(n, "gate", 50 * 1000, turn, g);
	node_add_controller(n, "gate-sweep", APR_USEC_PER_SEC, sweep, g);
	node_add_status(n, "gate", status_make, g);
	node_add_drain(n, "gate", gate_busy, g);
	gate_watch_start(g);
	gate_crash_start(g);
	gate_cache_start(g);
	return 0;
}
