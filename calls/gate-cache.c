#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "calls/gate-internal.h"

/*
 * The engine's caches: follows the events of its prefix cache, and brings a
 * session's KV cache over from an upstream that is leaving.
 */

#define EVENTS_PERIOD_US (250 * 1000)
#define EVENTS_TIMEOUT_MS 1000
#define KV_PATH "/kv/"
#define KV_TIMEOUT_MS 500 /* longer than that, a new prefill is as good */
#define KV_BODY_MAX (4 * 1024 * 1024)

struct events_poll {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 48];
};

/* Takes the events of one reply.  The gate's mutex is held. */
static void events_take(struct gate *g, const struct fetch *f)
{
	json_t *o = json_loadb(f->text, f->text_size, 0, NULL), *e;
	const char *op, *prefix;
	json_int_t seq;
	size_t i;

	json_array_foreach(json_object_get(o, "events"), i, e)
	{
		if (json_unpack(e, "{s:I,s:s,s:s}", "seq", &seq, "op", &op,
				"prefix", &prefix))
			continue;
		cache_view_apply_event(&g->cache, (uint64_t)seq,
				       !strcmp(op, "store"),
				       strtoull(prefix, NULL, 16));
	}
	json_decref(o);
}

static void events_done(struct fetch *f)
{
	struct events_poll *p = f->arg;

	pthread_mutex_lock(&p->g->mutex);
	p->g->polling_cache = 0;
	if (!f->error.code && f->status == 200 && f->text)
		events_take(p->g, f);
	pthread_mutex_unlock(&p->g->mutex);
	free(f->text);
	free(p);
}

static void events_turn(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, events_done };
	struct gate *g = arg;
	struct events_poll *p;
	uint64_t after;
	int polling;

	(void)now;
	pthread_mutex_lock(&g->mutex);
	polling = g->polling_cache;
	g->polling_cache = 1;
	after = g->cache.next ? g->cache.next - 1 : 0;
	pthread_mutex_unlock(&g->mutex);
	if (polling)
		return;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->g = g;
	snprintf(p->url, sizeof(p->url), "%s/cache-events?after=%llu",
		 g->n->settings.upstream_url, (unsigned long long)after);
	p->fetch.ops = &ops;
	p->fetch.arg = p;
	p->fetch.url = p->url;
	p->fetch.timeout_ms = EVENTS_TIMEOUT_MS;
	fetch_submit(g->n->fetcher, &p->fetch);
}

/* Returns 1 if the engine's cache is believed to hold the prompt's start. */
int gate_has_cached_prefix(struct gate *g, const char *model,
			   const char *prompt)
{
	int has;

	pthread_mutex_lock(&g->mutex);
	has = cache_view_has_prefix(&g->cache, model, prompt);
	pthread_mutex_unlock(&g->mutex);
	return has;
}

/* One session's KV cache on its way: out of one engine, into another. */
struct kv_move {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 160];
	char auth[GATE_HEADER_SIZE];
	char session[128];
	char *body;
	struct http_call *call; /* the export's */
	void (*after)(void *arg);
	void *arg;
};

static void kv_auth(struct gate *g, const char *session, char *out, size_t size)
{
	char hex[DIGEST_HEX_SIZE], text[192];
	struct digest mac;
	int n = snprintf(text, sizeof(text), "kv-export\n%s", session);

	digest_hmac(g->n->self.keys.current, text, (size_t)n, &mac);
	digest_hex(&mac, hex);
	snprintf(out, size, "X-Limpet-Auth: %s", hex);
}

static int session_valid(const char *s)
{
	size_t n = strlen(s);

	return n && n < 128 &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			 "0123456789-_.") == n;
}

static void kv_move_end(struct kv_move *k, const char *how)
{
	metric_count("gate_kv", how, 1);
	if (k->after)
		k->after(k->arg);
	free(k->fetch.text);
	free(k->body);
	free(k);
}

static void kv_imported(struct fetch *f)
{
	kv_move_end(f->arg,
		    !f->error.code && f->status < 300 ? "imported" : "failed");
}

static void kv_fetched(struct fetch *f)
{
	static const struct fetch_ops ops = { NULL, NULL, kv_imported };
	struct kv_move *k = f->arg;
	size_t size = f->text_size;

	if (f->error.code || f->status != 200 || !f->text) {
		kv_move_end(k, "absent");
		return;
	}
	k->body = f->text;
	memset(f, 0, sizeof(*f));
	snprintf(k->url, sizeof(k->url), "%s" KV_PATH "%s",
		 k->g->n->settings.upstream_url, k->session);
	f->ops = &ops;
	f->arg = k;
	f->method = "PUT";
	f->url = k->url;
	f->body = k->body;
	f->body_size = size;
	f->timeout_ms = KV_TIMEOUT_MS;
	fetch_submit(k->g->n->fetcher, f);
}

/*
 * Brings a session's KV cache from the agent at address into the own engine;
 * after is called on the event thread when that is over, whatever came of it.
 */
void gate_fetch_kv_cache(struct gate *g, const char *address,
			 const char *session, void (*after)(void *arg),
			 void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, kv_fetched };
	struct kv_move *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->g = g;
	k->after = after;
	k->arg = arg;
	snprintf(k->session, sizeof(k->session), "%s", session);
	snprintf(k->url, sizeof(k->url), "http://%s:%d" KV_PATH "%s", address,
		 g->n->settings.http_port, session);
	kv_auth(g, session, k->auth, sizeof(k->auth));
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.headers[0] = k->auth;
	k->fetch.timeout_ms = KV_TIMEOUT_MS;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

static void kv_exported(struct fetch *f)
{
	struct kv_move *k = f->arg;
	int ok = !f->error.code && f->status == 200;

	http_call_reply(k->call, ok ? 200 : 404, "application/json",
			ok && f->text ? f->text : "{}",
			ok && f->text ? f->text_size : 2);
	kv_move_end(k, ok ? "exported" : "absent");
}

/* Hands a session's KV cache to the agent that runs the session now. */
static void kv_serve(struct http_call *c, void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, kv_exported };
	struct gate *g = arg;
	const char *session = http_call_path(c) + strlen(KV_PATH);
	const char *given = http_call_header(c, "X-Limpet-Auth");
	char want[GATE_HEADER_SIZE];
	struct digest a, b;
	struct kv_move *k;

	kv_auth(g, session, want, sizeof(want));
	if (!session_valid(session) || !given || digest_parse(given, &a) ||
	    digest_parse(strchr(want, ' ') + 1, &b) ||
	    !bytes_equal_constant_time(&a, &b, sizeof(a))) {
		struct refusal r;

		refusal_set(&r, 401, OUTCOME_NOT_RUN, AGAIN_NO, "hand-over",
			    "kv-export", "not signed by this fleet");
		gate_refuse(c, NULL, &r, 0);
		return;
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		abort();
	k->g = g;
	k->call = c;
	snprintf(k->url, sizeof(k->url), "%s" KV_PATH "%s",
		 g->n->settings.upstream_url, session);
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.timeout_ms = KV_TIMEOUT_MS;
	fetch_submit(g->n->fetcher, &k->fetch);
}

/* Adds the parts of this file to an agent before a model engine. */
void gate_cache_start(struct gate *g)
{
	if (g->n->settings.upstream_kind != UPSTREAM_MODEL)
		return;
	node_add_route(g->n, "GET", KV_PATH, 0, kv_serve, g);
	node_add_controller(g->n, "gate-cache", EVENTS_PERIOD_US, events_turn,
			    g);
}
