#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "calls/entry-internal.h"

/*
 * Probes attempts whose connection is silent: asks the agent on a new
 * connection whether it runs the request.  If it does not, or if it has
 * forwarded more events than arrived here, the connection has failed and not
 * the upstream.
 */

/* Time without a received byte after which an attempt is probed. */
#define SILENCE_MIN_US (1000 * 1000)
#define PROBE_TIMEOUT_MS 800
#define PROBE_TEXT_MAX (16 * 1024)
/* Consecutive failed probes after which the attempt is cancelled. */
#define PROBE_FAILURES_MAX 2

struct probe {
	struct entry *e;
	struct handle relay;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + HOP_REQUEST_SIZE];
	apr_time_t started_at;
	int attempt_number;
};

static void cancel_attempt(struct relay *r, enum relay_cancel_reason why)
{
	enum relay_cancel_reason none = RELAY_NOT_CANCELLED;

	if (__atomic_compare_exchange_n(&r->cancel_reason, &none, why, 0,
					__ATOMIC_ACQ_REL, __ATOMIC_RELAXED))
		fetch_cancel(&r->fetch);
}

/*
 * Cancels the attempt if the probe shows that its connection or agent failed.
 * The caller holds the lock of the relays.
 */
static void evaluate_probe(const struct probe *p, struct relay *r)
{
	const struct fetch *f = &p->fetch;
	json_t *o = f->text ? json_loadb(f->text, f->text_size, 0, NULL) : NULL;
	int running = 0, events = 0;

	if (f->error.code || json_unpack(o, "{s:b,s:i}", "running", &running,
					 "events", &events)) {
		if (++r->probe_failures >= PROBE_FAILURES_MAX)
			cancel_attempt(r, RELAY_AGENT_UNRESPONSIVE);
	} else if (!running || events > r->sse.next_token) {
		cancel_attempt(r, RELAY_CONNECTION_SILENT);
	} else {
		r->probe_failures = 0;
	}
	json_decref(o);
}

static void on_probe_done(struct fetch *f)
{
	struct probe *p = f->arg;
	struct relay **slot, *r;

	table_lock(&p->e->relays);
	slot = table_get(&p->e->relays, p->relay);
	if (slot) {
		r = *slot;
		/* Same attempt, and nothing arrived since the probe began. */
		if (r->attempt_count == p->attempt_number &&
		    __atomic_load_n(&r->last_byte_at, __ATOMIC_RELAXED) <
			    p->started_at)
			evaluate_probe(p, r);
		__atomic_store_n(&r->is_probing, 0, __ATOMIC_RELEASE);
	}
	table_unlock(&p->e->relays);
	free(f->text);
	free(p);
}

static struct probe *create_probe(struct entry *e, struct handle h,
				  struct relay *r, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, on_probe_done };
	struct probe *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->e = e;
	p->relay = h;
	p->started_at = now;
	p->attempt_number = r->attempt_count;
	snprintf(p->url, sizeof(p->url), "http://%s:%d/calls/%s",
		 r->agent_address, e->n->settings.http_port, r->id);
	p->fetch.ops = &ops;
	p->fetch.arg = p;
	p->fetch.url = p->url;
	p->fetch.timeout_ms = PROBE_TIMEOUT_MS;
	p->fetch.text_max = PROBE_TEXT_MAX;
	p->fetch.once = 1;
	return p;
}

/* Starts probes for attempts whose connection is silent. */
void relays_probe_silent(struct entry *e, apr_time_t now)
{
	struct handle cursor = HANDLE_NONE;
	struct relay **slot, *r;
	apr_time_t last;

	table_lock(&e->relays);
	while ((slot = table_next(&e->relays, &cursor))) {
		r = *slot;
		last = __atomic_load_n(&r->last_byte_at, __ATOMIC_ACQUIRE);
		if (!last || now - last < SILENCE_MIN_US ||
		    now - r->probed_at < SILENCE_MIN_US / 2 ||
		    __atomic_load_n(&r->is_paused, __ATOMIC_RELAXED) ||
		    __atomic_exchange_n(&r->is_probing, 1, __ATOMIC_ACQ_REL))
			continue;
		r->probed_at = now;
		fetch_submit(e->n->fetcher,
			     &create_probe(e, cursor, r, now)->fetch);
	}
	table_unlock(&e->relays);
}
