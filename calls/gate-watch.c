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
 * Polls the upstream for its load and checks that it answers new connections.
 * Each poll opens a new connection, so that a broken existing one does not make
 * the upstream look unreachable.
 */

#define POLL_PERIOD_US (200 * 1000)
#define POLL_TIMEOUT_MS 800
#define VIEW_PERIOD_US APR_USEC_PER_SEC
#define CANCEL_TIMEOUT_MS 500

/*
 * Agents are greeted after this time without contact, early enough that the
 * contact does not become too old in between.
 */
#define GREET_CONTACT_AGE_US (HOME_CONTACT_MAX_AGE_US * 4 / 10)
#define GREETINGS_PER_STEP_MAX 2 /* of one service */

struct poll {
	struct gate *g;
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
	apr_time_t started_at;
};

/* Writes the upstream's load into this agent's row of the board. */
static void publish_load(struct gate *g)
{
	struct handle cursor = HANDLE_NONE;
	struct upstream_report *row;
	int running, waiting, slots, token_us, reachable;

	pthread_mutex_lock(&g->mutex);
	reachable = g->is_reachable;
	/*
	 * All calls pass through this gate, so its own count is exact, while
	 * the upstream's load report lags.
	 */
	slots = g->engine_slots;
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
		row->received_at = clock_now();
		row->load_age_ms = 0;
		row->is_reachable = reachable;
		row->running = running;
		row->waiting = waiting;
		row->slots = slots;
		row->token_us = token_us;
		row->is_draining = node_draining(g->n);
	}
	table_unlock(&g->n->board.upstreams);
}

/* Parses an engine's load report.  The gate's mutex is held. */
static void parse_load(struct gate *g, const struct fetch *f)
{
	json_t *o = f->text ? json_loadb(f->text, f->text_size, 0, NULL) : NULL;
	int token_ms = 0;

	json_unpack(o, "{s:i,s:i,s:i,s:i}", "running", &g->engine_running,
		    "waiting", &g->engine_waiting, "slots", &g->engine_slots,
		    "token_ms", &token_ms);
	g->token_us = token_ms * 1000;
	json_decref(o);
}

static void on_polled(struct fetch *f)
{
	struct poll *p = f->arg;
	struct gate *g = p->g;

	pthread_mutex_lock(&g->mutex);
	g->is_polling = 0;
	g->is_reachable = !f->error.code && f->status > 0;
	if (g->is_reachable) {
		g->last_answered_poll = p->started_at;
		if (g->n->settings.upstream_kind == UPSTREAM_MODEL)
			parse_load(g, f);
	}
	pthread_mutex_unlock(&g->mutex);
	publish_load(g);
	free(f->text);
	free(p);
}

static void poll_step(void *arg, apr_time_t now)
{
	static const struct fetch_ops ops = { NULL, NULL, on_polled };
	struct gate *g = arg;
	struct poll *p;
	int polling;

	pthread_mutex_lock(&g->mutex);
	polling = g->is_polling;
	g->is_polling = 1;
	pthread_mutex_unlock(&g->mutex);
	if (polling)
		return;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->g = g;
	p->started_at = now;
	snprintf(p->url, sizeof(p->url), "%s/load",
		 g->n->settings.upstream_url);
	p->fetch.ops = &ops;
	p->fetch.arg = p;
	p->fetch.url = p->url;
	p->fetch.timeout_ms = POLL_TIMEOUT_MS;
	p->fetch.text_max = GATE_TEXT_MAX;
	p->fetch.once = 1;
	fetch_submit(g->n->fetcher, &p->fetch);
}

/* Returns NULL when there is no room.  The gate's mutex is held. */
static struct gate_service *
find_or_add_service(struct gate *g, const char *name, apr_time_t now)
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
 * Greets agents of the service, in all data centres, whose last contact is too
 * old: a key may run here only while all other agents are in contact.
 */
static void greet_silent_agents(struct gate *g, const struct home_agent *agents,
				int count, apr_time_t now)
{
	int i, n, greeted = 0;

	for (n = 0; n < count && greeted < GREETINGS_PER_STEP_MAX; n++) {
		i = (int)((g->next_greeted + (unsigned)n) % (unsigned)count);
		if (!strcmp(agents[i].id, g->n->settings.instance) ||
		    (agents[i].last_contact &&
		     now - agents[i].last_contact < GREET_CONTACT_AGE_US))
			continue;
		member_send_hello(agents[i].address, agents[i].id);
		greeted++;
	}
	g->next_greeted += (unsigned)n;
}

/*
 * Adds this agent to the agents of a service, as the table that they come from
 * does not contain it.  Only done while the platform lists this instance:
 * entries choose the home of a key among the listed agents.  Returns the new
 * count.
 */
static int add_self(const struct gate *g, struct home_agent *agents, int count,
		    apr_time_t now)
{
	struct home_agent *a = &agents[count];

	if (count >= HOME_AGENTS_MAX || !member_is_self_listed())
		return count;
	memset(a, 0, sizeof(*a));
	snprintf(a->id, sizeof(a->id), "%s", g->n->settings.instance);
	snprintf(a->address, sizeof(a->address), "%s", g->n->settings.address);
	a->boot = g->n->self.boot;
	a->rank_seed = place_hash_string(a->id, 0);
	a->last_contact = now;
	return count + 1;
}

/* Updates the view of the agents of each service that the upstream runs. */
static void view_step(void *arg, apr_time_t now)
{
	static struct home_agent agents[HOME_AGENTS_MAX]; /* of one thread */
	struct gate *g = arg;
	struct document *d = board_document(&g->n->board);
	struct gate_service *s;
	int i, n;

	for (i = 0; d && i < d->service_count; i++) {
		if (!has_matching_pattern(d->services[i].upstreams,
					  d->services[i].upstream_count,
					  g->n->settings.upstream_name))
			continue;
		n = home_list_agents(&g->n->board, &d->services[i], agents,
				     HOME_AGENTS_MAX);
		if (n <= HOME_AGENTS_MAX)
			greet_silent_agents(g, agents, n, now);
		n = add_self(g, agents, n, now);
		pthread_mutex_lock(&g->mutex);
		s = find_or_add_service(g, d->services[i].name, now);
		if (s && n <= HOME_AGENTS_MAX)
			home_view_update(&s->view, agents, n, now);
		else if (s)
			s->view.has_overflowed = 1;
		pthread_mutex_unlock(&g->mutex);
	}
	if (d)
		document_unref(d);
}

struct cancel_request {
	struct fetch fetch;
	char url[SETTINGS_URL_SIZE + 16];
	char body[HOP_REQUEST_SIZE + 16];
	void (*after)(void *arg);
	void *arg;
};

static void on_cancelled(struct fetch *f)
{
	struct cancel_request *k = f->arg;

	if (k->after)
		k->after(k->arg);
	free(f->text);
	free(k);
}

/*
 * Asks the engine, on a new connection, to cancel a request.  after, if not
 * NULL, is called on the event thread when the exchange has ended, also when it
 * failed.
 */
void engine_cancel_request(struct gate *g, const char *request_id,
			   void (*after)(void *arg), void *arg)
{
	static const struct fetch_ops ops = { NULL, NULL, on_cancelled };
	struct cancel_request *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->after = after;
	k->arg = arg;
	snprintf(k->url, sizeof(k->url), "%s/v1/cancel",
		 g->n->settings.upstream_url);
	snprintf(k->body, sizeof(k->body), "{\"id\":\"%s\"}", request_id);
	k->fetch.ops = &ops;
	k->fetch.arg = k;
	k->fetch.url = k->url;
	k->fetch.body = k->body;
	k->fetch.body_size = strlen(k->body);
	k->fetch.timeout_ms = CANCEL_TIMEOUT_MS;
	k->fetch.text_max = GATE_TEXT_MAX;
	k->fetch.once = 1;
	fetch_submit(g->n->fetcher, &k->fetch);
}

/* Adds this agent's row to the board, and the controllers of this file. */
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
	node_add_controller(g->n, "gate-poll", POLL_PERIOD_US, poll_step, g);
	node_add_controller(g->n, "gate-view", VIEW_PERIOD_US, view_step, g);
}
