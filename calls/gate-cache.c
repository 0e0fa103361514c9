#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"
#include "calls/gate-internal.h"

/*
 * Caches of a model engine: polls the events of its prefix cache, and pulls a
 * session's KV cache from the upstream that ran the session before.
 */

#define EVENTS_PERIOD_US (250 * 1000)
#define EVENTS_TIMEOUT_MS 1000
#define KV_PATH "/kv/"
#define KV_TIMEOUT_MS 500 /* after that, a new prefill is as fast */
#define KV_BODY_MAX_BYTES (4 * 1024 * 1024)

struct events_poll {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 48];
};

/* Applies the events of one reply.  The gate's mutex is held. */
static void apply_events(struct gate *g, const struct fetch *f)
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

static void on_events(struct fetch *f)
{
	struct events_poll *p = f->arg;

	pthread_mutex_lock(&p->g->mutex);
	p->g->is_polling_cache = 0;
	if (!f->error.code && f->status == 200 && f->text)
		apply_events(p->g, f);
	pthread_mutex_unlock(&p->g->mutex);
	free(f->text);
	free(p);
}

static void poll_events_step(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, on_events };
	struct gate *g = arg;
	struct events_poll *p;
	uint64_t after;
	int polling;

	(void)now;
	pthread_mutex_lock(&g->mutex);
	polling = g->is_polling_cache;
	g->is_polling_cache = 1;
	after = g->cache.next_sequence ? g->cache.next_sequence - 1 : 0;
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

/* Returns 1 if the engine has probably cached the start of the prompt. */
int gate_has_cached_prefix(struct gate *g, const char *model,
			   const char *prompt)
{
	int is_cached;

	pthread_mutex_lock(&g->mutex);
	is_cached = cache_view_has_prefix(&g->cache, model, prompt);
	pthread_mutex_unlock(&g->mutex);
	return is_cached;
}

/* Transfer of a session's KV cache: an export or an import. */
struct kv_transfer {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 160];
	char auth[GATE_HEADER_SIZE];
	char session[128];
	char *body;
	struct http_call *call; /* of an export, else NULL */
	void (*after)(void *arg);
	void *arg;
};

static void make_auth_header(struct gate *g, const char *session, char *out,
			     size_t size)
{
	char hex[DIGEST_HEX_SIZE], text[192];
	struct digest mac;
	int n = snprintf(text, sizeof(text), "kv-export\n%s", session);

	digest_hmac(g->n->self.keys.current, text, (size_t)n, &mac);
	digest_hex(&mac, hex);
	snprintf(out, size, "X-Limpet-Auth: %s", hex);
}

static int is_valid_session(const char *s)
{
	size_t n = strlen(s);

	return n && n < 128 &&
	       strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			 "0123456789-_.") == n;
}

static void finish_transfer(struct kv_transfer *k, const char *how)
{
	metric_count("gate_kv", how, 1);
	if (k->after)
		k->after(k->arg);
	free(k->fetch.text);
	free(k->body);
	free(k);
}

static void on_imported(struct fetch *f)
{
	finish_transfer(f->arg, !f->error.code && f->status < 300 ? "imported"
								  : "failed");
}

/* The bytes are opaque, so that only their framing proves that they are whole. */
static int is_whole_export(const struct fetch *f)
{
	return !f->error.code && f->status == 200 && f->text &&
	       f->framing != FRAMING_CLOSE;
}

static void on_fetched(struct fetch *f)
{
	static const struct fetch_ops ops = { NULL, NULL, on_imported };
	struct kv_transfer *k = f->arg;
	size_t size = f->text_size;

	if (!is_whole_export(f)) {
		finish_transfer(k, "absent");
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
 * Pulls a session's KV cache from the agent at address into the local engine.
 * after is called on the event thread when that has ended, also when it failed.
 */
void gate_fetch_kv_cache(struct gate *g, const char *address,
			 const char *session, void (*after)(void *arg),
			 void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, on_fetched };
	struct kv_transfer *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->g = g;
	k->after = after;
	k->arg = arg;
	snprintf(k->session, sizeof(k->session), "%s", session);
	snprintf(k->url, sizeof(k->url), "http://%s:%d" KV_PATH "%s", address,
		 g->n->settings.http_port, session);
	make_auth_header(g, session, k->auth, sizeof(k->auth));
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.headers[0] = k->auth;
	k->fetch.timeout_ms = KV_TIMEOUT_MS;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

static void on_exported(struct fetch *f)
{
	struct kv_transfer *k = f->arg;
	int ok = is_whole_export(f);

	http_call_reply(k->call, ok ? 200 : 404, "application/json",
			ok ? f->text : "{}", ok ? f->text_size : 2);
	finish_transfer(k, ok ? "exported" : "absent");
}

/* Exports a session's KV cache to the agent that runs the session now. */
static void handle_export(struct http_call *c, void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, on_exported };
	struct gate *g = arg;
	const char *session = http_call_path(c) + strlen(KV_PATH);
	const char *given = http_call_header(c, "X-Limpet-Auth");
	char want[GATE_HEADER_SIZE];
	struct digest a, b;
	struct kv_transfer *k;

	make_auth_header(g, session, want, sizeof(want));
	if (!is_valid_session(session) || !given || digest_parse(given, &a) ||
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

/* Adds the route and controller of this file if the upstream is a model. */
void gate_cache_start(struct gate *g)
{
	if (g->n->settings.upstream_kind != UPSTREAM_MODEL)
		return;
	node_add_route(g->n, "GET", KV_PATH, 0, handle_export, g);
	node_add_controller(g->n, "gate-cache", EVENTS_PERIOD_US,
			    poll_events_step, g);
}
