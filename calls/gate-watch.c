#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "calls/gate-internal.h"
#include "config/document.h"
#include "member/member.h"
#include "member/report.h"

/*
 * Follows the upstream: its load, and whether it answers on a connection
 * made just now.  Every poll opens a new connection, so that one that went
 * silent says nothing about the upstream.
 */

#define POLL_PERIOD_US (200 * 1000)
#define POLL_TIMEOUT_MS 800
#define VIEW_PERIOD_US APR_USEC_PER_SEC
#define CANCEL_TIMEOUT_MS 500
#define GREET_AFTER_US (HOME_CONTACT_MAX_AGE_US * 4 / 10)
#define GREET_MAX 2 /* greetings for one service in one turn */

struct poll {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
	apr_time_t began;
};

/* Writes this agent's figures into its own row of the board. */
static void row_write(struct gate *g)
{
	struct handle cursor = HANDLE_NONE;
	struct upstream_report *row;
	int running, waiting, slots, token_us, reachable;

	pthread_mutex_lock(&g->mutex);
	reachable = g->reachable;
	/*
	 * Every call comes through here, so the gate's own count is exact,
	 * while the upstream's report lags.
	 */
	slots = g->slots;
	running = g->stream_count + g->once_count;
	waiting = slots && running > slots ? running - slots : 0;
	running -= waiting;
	token_us = g->token_us;
	pthread_mutex_unlock(&g->mutex);
	table_lock(&g->n->board.upstreams);
	while ((row = table_next(&g->n->board.upstreams, &cursor)) &&
	       strcmp(row->instance, g->n->settings.instance) != 0)
		;
	if (row) {
		row->heard = clock_now();
		row->measured_ms = 0;
		row->reachable = reachable;
		row->running = running;
		row->waiting = waiting;
		row->slots = slots;
		row->token_us = token_us;
		row->draining = node_draining(g->n);
	}
	table_unlock(&g->n->board.upstreams);
}

/* Reads an engine's load report.  The gate's mutex is held. */
static void load_take(struct gate *g, const struct fetch *f)
{
	json_t *o = f->text ? json_loadb(f->text, f->text_size, 0, NULL) : NULL;
	int token_ms = 0;

	json_unpack(o, "{s:i,s:i,s:i,s:i}", "running", &g->running, "waiting",
		    &g->waiting, "slots", &g->slots, "token_ms", &token_ms);
	g->token_us = token_ms * 1000;
	json_decref(o);
}

static void poll_done(struct fetch *f)
{
	struct poll *p = f->arg;
	struct gate *g = p->g;

	pthread_mutex_lock(&g->mutex);
	g->polling = 0;
	g->reachable = !f->error.code && f->status > 0;
	if (g->reachable) {
		g->alive_at = p->began;
		if (g->n->settings.upstream_kind == UPSTREAM_MODEL)
			load_take(g, f);
	}
	pthread_mutex_unlock(&g->mutex);
	row_write(g);
	free(f->text);
	free(p);
}

static void poll_turn(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, poll_done };
	struct gate *g = arg;
	struct poll *p;
	int polling;

	pthread_mutex_lock(&g->mutex);
	polling = g->polling;
	g->polling = 1;
	pthread_mutex_unlock(&g->mutex);
	if (polling)
		return;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->g = g;
	p->began = now;
	snprintf(p->url, sizeof(p->url), "%s/load",
		 g->n->settings.upstream_url);
	p->fetch.ops = &ops;
	p->fetch.arg = p;
	p->fetch.url = p->url;
	p->fetch.timeout_ms = POLL_TIMEOUT_MS;
	p->fetch.once = 1;
	fetch_submit(g->n->fetcher, &p->fetch);
}

static struct gate_service *service_slot(struct gate *g, const char *name,
					 apr_time_t now)
{
	struct gate_service *s;
	int i;

	for (i = 0; i < g->service_count; i++)
		if (!strcmp(g->services[i].name, name))
			return &g->services[i];
	if (g->service_count == GATE_SERVICES_MAX)
		return NULL;
	s = &g->services[g->service_count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	snprintf(s->view.self, sizeof(s->view.self), "%s",
		 g->n->settings.instance);
	s->view.tracked_since = now;
	return s;
}

/*
 * Greets agents of the service, also in other data centres, that were not
 * heard from lately: a key may run here only while all others are heard.
 */
static void siblings_greet(struct gate *g, const struct home_agent *agents,
			   int count, apr_time_t now)
{
	int i, n, greeted = 0;

	for (n = 0; n < count && greeted < GREET_MAX; n++) {
		i = (int)((g->greet_turn + (unsigned)n) % (unsigned)count);
		if (!strcmp(agents[i].id, g->n->settings.instance) ||
		    (agents[i].last_contact &&
		     now - agents[i].last_contact < GREET_AFTER_US))
			continue;
		member_greet(agents[i].address, agents[i].id);
		greeted++;
	}
	g->greet_turn += (unsigned)n;
}

/*
 * Adds this agent to the others of a service, whose table leaves it out, as
 * long as the platform's list names it: entries choose a key's home among
 * all that are listed.
 */
static int self_add(const struct gate *g, struct home_agent *agents, int count,
		    apr_time_t now)
{
	struct home_agent *a = &agents[count];

	if (count >= HOME_AGENTS_MAX || !member_self_listed())
		return count;
	memset(a, 0, sizeof(*a));
	snprintf(a->id, sizeof(a->id), "%s", g->n->settings.instance);
	snprintf(a->address, sizeof(a->address), "%s", g->n->settings.address);
	a->boot = g->n->self.boot;
	a->rank_seed = place_hash_string(a->id, 0);
	a->last_contact = now;
	return count + 1;
}

/* Follows who serves each of this upstream's services. */
static void view_turn(void *arg, apr_time_t now)
{
	static struct home_agent agents[HOME_AGENTS_MAX]; /* controller's */
	struct gate *g = arg;
	struct document *d = board_document(&g->n->board);
	struct gate_service *s;
	int i, n;

	for (i = 0; d && i < d->service_count; i++) {
		if (!spec_covers(d->services[i].upstreams,
				 d->services[i].upstream_count,
				 g->n->settings.upstream_name))
			continue;
		n = home_list_agents(&g->n->board, &d->services[i], agents,
				     HOME_AGENTS_MAX);
		if (n <= HOME_AGENTS_MAX)
			siblings_greet(g, agents, n, now);
		n = self_add(g, agents, n, now);
		pthread_mutex_lock(&g->mutex);
		s = service_slot(g, d->services[i].name, now);
		if (s && n <= HOME_AGENTS_MAX)
			home_view_update(&s->view, agents, n, now);
		else if (s)
			s->view.has_overflowed = 1;
		pthread_mutex_unlock(&g->mutex);
	}
	if (d)
		document_release(d);
}

struct cancel {
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
	char body[HOP_REQUEST_SIZE + 16];
	void (*after)(void *arg);
	void *arg;
};

static void cancel_done(struct fetch *f)
{
	struct cancel *k = f->arg;

	if (k->after)
		k->after(k->arg);
	free(f->text);
	free(k);
}

/*
 * Tells the engine, on a new connection, that a request is not wanted any
 * more; after, if not NULL, is called on the event thread when that is over.
 */
void engine_cancel_request(struct gate *g, const char *request,
			   void (*after)(void *arg), void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, cancel_done };
	struct cancel *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->after = after;
	k->arg = arg;
	snprintf(k->url, sizeof(k->url), "%s/v1/cancel",
		 g->n->settings.upstream_url);
	snprintf(k->body, sizeof(k->body), "{\"id\":\"%s\"}", request);
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.body = k->body;
	k->fetch.body_size = strlen(k->body);
	k->fetch.timeout_ms = CANCEL_TIMEOUT_MS;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

/* Adds the controllers of this file. */
void gate_watch_start(struct gate *g)
{
	struct settings *s = &g->n->settings;
	struct upstream_report row = { 0 };

	snprintf(row.instance, sizeof(row.instance), "%s", s->instance);
	snprintf(row.upstream, sizeof(row.upstream), "%s", s->upstream_name);
	snprintf(row.address, sizeof(row.address), "%s", s->address);
	snprintf(row.data_center, sizeof(row.data_center), "%s",
		 s->data_center);
	row.kind = s->upstream_kind;
	row.boot = g->n->self.boot;
	table_lock(&g->n->board.upstreams);
	if (!g->n->board.upstreams.count)
		table_add(&g->n->board.upstreams, &row);
	table_unlock(&g->n->board.upstreams);
	node_add_controller(g->n, "gate-poll", POLL_PERIOD_US, poll_turn, g);
	node_add_controller(g->n, "gate-view", VIEW_PERIOD_US, view_turn, g);
}
