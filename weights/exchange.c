#include "weights/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metric.h"

/*
 * Exchanges messages between neighbours in the distribution of a version. Each
 * message lists the chunks that the sender obtained since its last one.
 */

#define EXCHANGE_TIMEOUT_MS 1000
/* Exchanges in flight; each occupies a thread of the pool. */
#define EXCHANGES_MAX 2
#define EXCHANGES_PER_STEP_MAX 8

static int serve_have(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply);

static const struct rpc_kind have_kinds[] = {
	{ RPC_KIND_WEIGHTS + 1, "weights-have", (xdrproc_t)xdr_weights_have,
	  sizeof(struct weights_have), (xdrproc_t)xdr_weights_have,
	  sizeof(struct weights_have), serve_have },
	{ 0 }
};

struct exchange {
	struct job job;
	struct weights *w;
	struct handle model;
	uint64_t swarm_id;
	char peer[SETTINGS_NAME_SIZE];
	char address[SETTINGS_ADDRESS_SIZE];
	struct weights_have request;
};

static int exchanges_in_flight;

/* Merges a message from a peer. The caller holds the lock of the models. */
static void merge_have(struct weights *w, struct model_row *m,
		       struct swarm_peer *p, const struct weights_have *in,
		       apr_time_t now)
{
	if (swarm_merge_have(m->swarm, p, in, now))
		m->is_exchange_urgent = 1;
	m->activation.view_checked_at = now;
	if (in->revision > m->activation.peer_revision)
		m->activation.peer_revision = in->revision;
	(void)w;
}

static int serve_have(void *arg, const struct rpc_peer *from,
		      const void *request, void *reply)
{
	struct weights *w = arg;
	const struct weights_have *in = request;
	struct weights_have *out = reply;
	struct swarm_peer unknown_peer = { .id = "" };
	struct swarm_peer *p;
	struct model_row *m;
	apr_time_t now = clock_now();
	int ret = -1;

	table_lock(&w->models);
	m = model_find_by_digest(w, (const struct digest *)in->digest);
	if (m && m->swarm) {
		p = swarm_find_peer(m->swarm, from->instance);
		if (p) {
			merge_have(w, m, p, in, now);
		} else {
			/*
			 * The sender has this instance as a neighbour, but not
			 * yet the reverse.
			 */
			unknown_peer.acked_epoch = in->received_epoch;
			unknown_peer.acked_count = in->received_count;
			p = &unknown_peer;
		}
		swarm_make_have(m->swarm, p, out, now);
		out->revision = w->revision;
		ret = 0;
	}
	table_unlock(&w->models);
	return ret;
}

static void finish_exchange(struct exchange *x,
			    const struct weights_have *reply,
			    enum error_code code)
{
	struct weights *w = x->w;
	apr_time_t now = clock_now();
	struct swarm_peer *p = NULL;
	struct model_row *m;

	table_lock(&w->models);
	m = table_get(&w->models, x->model);
	if (m && m->swarm && m->swarm_id == x->swarm_id)
		p = swarm_find_peer(m->swarm, x->peer);
	if (p) {
		p->is_exchanging = 0;
		p->exchanged_at = now;
		if (!code)
			merge_have(w, m, p, reply, now);
		else if (code != ERROR_REFUSED)
			p->failures++;
	}
	table_unlock(&w->models);
	__atomic_fetch_sub(&exchanges_in_flight, 1, __ATOMIC_RELAXED);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&x->request);
	free(x);
}

static void run_exchange(struct job *j)
{
	struct exchange *x = (struct exchange *)j;
	struct node *n = x->w->node;
	struct weights_have reply;
	struct error err = ERROR_INIT;
	int ret;

	memset(&reply, 0, sizeof(reply));
	ret = rpc_exchange(n->rpc, x->address, n->settings.rpc_port, have_kinds,
			   &x->request, &reply, EXCHANGE_TIMEOUT_MS, &err);
	if (ret) {
		metric_count("weights_exchange_failures", NULL, 1);
		memset(&reply, 0, sizeof(reply));
	}
	finish_exchange(x, &reply,
			ret ? (err.code ? err.code : ERROR_INTERNAL)
			    : ERROR_NONE);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&reply);
}

static void start_exchange(struct weights *w, struct handle h,
			   struct model_row *m, struct swarm_peer *p,
			   apr_time_t now)
{
	struct exchange *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->job.run = run_exchange;
	x->w = w;
	x->model = h;
	x->swarm_id = m->swarm_id;
	snprintf(x->peer, sizeof(x->peer), "%s", p->id);
	snprintf(x->address, sizeof(x->address), "%s", p->address);
	swarm_make_have(m->swarm, p, &x->request, now);
	x->request.revision = w->revision;
	p->is_exchanging = 1;
	p->exchanged_at = now;
	__atomic_fetch_add(&exchanges_in_flight, 1, __ATOMIC_RELAXED);
	if (!worker_pool_submit(w->node->pool, &x->job))
		return;
	p->is_exchanging = 0;
	__atomic_fetch_sub(&exchanges_in_flight, 1, __ATOMIC_RELAXED);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&x->request);
	free(x);
}

static void exchange_model(struct weights *w, struct handle h,
			   struct model_row *m, apr_time_t now)
{
	int i, peer;

	if (m->is_exchange_urgent) {
		/*
		 * Sends one message to each neighbour without waiting for the
		 * interval.
		 */
		for (i = 0; i < m->swarm->peer_count; i++)
			m->swarm->peers[i].exchanged_at = 0;
		m->is_exchange_urgent = 0;
	}
	for (i = 0; i < EXCHANGES_PER_STEP_MAX; i++) {
		if (__atomic_load_n(&exchanges_in_flight, __ATOMIC_RELAXED) >=
		    EXCHANGES_MAX)
			return;
		peer = swarm_next_exchange_peer(m->swarm, 0, now);
		if (peer == SWARM_NO_PEER)
			return;
		start_exchange(w, h, m, &m->swarm->peers[peer], now);
	}
}

/*
 * Formats the header for a peer; an empty string when the peer is not a
 * neighbour. The caller holds the lock of the models.
 */
void hint_format_for_peer(struct model_row *m, const char *peer,
			  char out[HINT_SIZE], apr_time_t now)
{
	struct swarm_peer *p = swarm_find_peer(m->swarm, peer);
	struct weights_have h;

	*out = '\0';
	if (!p)
		return;
	memset(&h, 0, sizeof(h));
	swarm_make_have(m->swarm, p, &h, now);
	hint_format(&h, out);
	xdr_free((xdrproc_t)xdr_weights_have, (char *)&h);
}

/*
 * Merges a header from a peer and, when out is given, writes the header of the
 * answer.
 */
void hint_merge_and_reply(struct weights *w, const char *peer, const char *text,
			  char out[HINT_SIZE])
{
	u_int entries[HINT_ENTRIES_MAX];
	struct weights_have h;
	struct swarm_peer *p;
	struct model_row *m;
	apr_time_t now = clock_now();

	if (out)
		*out = '\0';
	if (!peer || !text || hint_parse(text, &h, entries))
		return;
	table_lock(&w->models);
	m = model_find_by_digest(w, (const struct digest *)h.digest);
	p = m && m->swarm ? swarm_find_peer(m->swarm, peer) : NULL;
	if (p) {
		swarm_merge_hint(m->swarm, p, &h, now);
		if (out)
			hint_format_for_peer(m, peer, out, now);
	}
	table_unlock(&w->models);
}

/* Sends the messages that are due. The caller holds the lock of the models. */
void exchange_step(struct weights *w, apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct model_row *m;

	while ((m = table_next(&w->models, &h)))
		if (m->is_wanted && m->swarm)
			exchange_model(w, h, m, now);
}

/*
 * Registers the message kinds with the RPC server. Returns 0, or -1 on
 * failure.
 */
int exchange_start(struct weights *w)
{
	return rpc_server_add(have_kinds, w);
}
