#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "calls/calls.h"
#include "calls/entry-internal.h"
#include "calls/home.h"
#include "member/instance.h"

#define RELAYS_MAX 16384
#define ROUTE_UPDATE_PERIOD_US (50 * 1000)
#define TICKET_BODY_MAX_BYTES 1024

/*
 * Returns 1 if this process has just resumed after a pause: requests that it
 * reads now may have waited during the pause, and its tables may be outdated.
 */
int entry_is_paused(struct entry *e, apr_time_t now)
{
	apr_time_t last = __atomic_load_n(&e->last_step_at, __ATOMIC_ACQUIRE);

	if (last && now - last > ENTRY_PAUSE_MIN_US)
		return 1;
	return now < __atomic_load_n(&e->paused_until, __ATOMIC_ACQUIRE);
}

static void entry_step(void *arg, apr_time_t now)
{
	struct entry *e = arg;
	apr_time_t last = e->last_step_at;

	if (last && now - last > ENTRY_PAUSE_MIN_US)
		__atomic_store_n(&e->paused_until, now + ENTRY_PAUSE_GRACE_US,
				 __ATOMIC_RELEASE);
	__atomic_store_n(&e->last_step_at, now, __ATOMIC_RELEASE);
	relays_probe_silent(e, now);
}

/* Applies the board's reports and its draining agents to the routes. */
static void update_routes(void *arg, apr_time_t now)
{
	struct entry *e = arg;
	struct board *b = &e->n->board;
	struct document *d = board_document(b);
	struct handle cursor = HANDLE_NONE;
	struct upstream_report *list, *row;
	char(*draining_agents)[SETTINGS_NAME_SIZE];
	struct instance *in;
	int n = 0, draining_count = 0;

	table_lock(&b->upstreams);
	list = calloc(b->upstreams.count + 1, sizeof(*list));
	if (!list)
		abort();
	while ((row = table_next(&b->upstreams, &cursor)))
		list[n++] = *row;
	table_unlock(&b->upstreams);
	table_lock(&b->instances);
	draining_agents =
		calloc(b->instances.count + 1, sizeof(*draining_agents));
	if (!draining_agents)
		abort();
	cursor = HANDLE_NONE;
	while ((in = table_next(&b->instances, &cursor)))
		if (in->state == INSTANCE_DRAINING && in->role == ROLE_AGENT)
			memcpy(draining_agents[draining_count++], in->id,
			       sizeof(*draining_agents));
	table_unlock(&b->instances);
	pthread_mutex_lock(&e->mutex);
	route_apply_reports(&e->routes, list, n, d, e->n->settings.data_center,
			    now);
	while (draining_count)
		route_set_draining(&e->routes,
				   draining_agents[--draining_count]);
	pthread_mutex_unlock(&e->mutex);
	free(list);
	free(draining_agents);
	if (d)
		document_unref(d);
}

/*
 * Chooses the agent, and its boot, for a ticket issued in advance.  Returns -1
 * if no upstream of the service is available.
 */
static int choose_ticket_agent(struct entry *e, const char *service,
			       struct ticket *t)
{
	struct route_query q = { 0 };
	struct route_choice choice;

	q.class = route_class_hash(UPSTREAM_PLAIN, service);
	pthread_mutex_lock(&e->mutex);
	route_choose(&e->routes, &q, clock_now(), &e->random, &choice);
	if (choice.index >= 0) {
		snprintf(t->agent, sizeof(t->agent), "%s",
			 e->routes.rows[choice.index].instance);
		t->boot = e->routes.rows[choice.index].boot;
	}
	pthread_mutex_unlock(&e->mutex);
	return choice.index < 0 || !t->boot ? -1 : 0;
}

static void reply_with_ticket(struct entry *e, struct http_call *c,
			      const char *account, const char *service)
{
	char text[TICKET_TEXT_SIZE];
	struct ticket t = { 0 };

	if (choose_ticket_agent(e, service, &t)) {
		entry_refuse(c, 503, AGAIN_SAME, "no-upstream",
			     "no upstream of the service is there");
		return;
	}
	snprintf(t.account, sizeof(t.account), "%s", account);
	snprintf(t.service, sizeof(t.service), "%s", service);
	t.expiry = (uint64_t)time(NULL) + TICKET_LIFETIME_S;
	ticket_set_random_identity(&t);
	ticket_mint(&t, e->n->self.keys.current, text);
	http_call_set(c, "X-Ticket", text);
	http_call_reply_json(c, 200,
			     json_pack("{s:s,s:i}", "ticket", text,
				       "lifetime_s", TICKET_LIFETIME_S));
}

/* Serves POST /v1/tickets. */
static void serve_tickets(struct http_call *c, void *arg)
{
	struct entry *e = arg;
	struct document *d = board_document(&e->n->board);
	size_t size;
	const char *body = http_call_body(c, &size);
	json_t *o = json_loadb(body, size, 0, NULL);
	const char *service = NULL;
	int account = d ? entry_authenticate(c, d) : -1;

	if (!d)
		entry_refuse(c, 503, AGAIN_SAME, "no-configuration",
			     "no configuration is in force yet");
	else if (account < 0)
		entry_refuse(c, 401, AGAIN_NO, "unauthorized",
			     "a valid bearer key is needed");
	else if (json_unpack(o, "{s:s}", "service", &service))
		entry_refuse(c, 400, AGAIN_NO, "bad-request",
			     "expected {\"service\":NAME}");
	else if (!document_find_service(d, service))
		entry_refuse(c, 404, AGAIN_NO, "no-such-service",
			     "the configuration has no such service");
	else
		reply_with_ticket(e, c, d->accounts[account].name, service);
	json_decref(o);
	if (d)
		document_unref(d);
}

static void serve_explain(struct http_call *c, void *arg)
{
	struct entry *e = arg;
	const char *id = http_call_query(c, "id");
	json_t *list = explain_find(&e->explain, id ? id : "");

	if (json_array_size(list))
		http_call_reply_json(c, 200, json_pack("{s:o}", "calls", list));
	else
		http_call_reply_json(c, 404, json_pack("{s:o}", "calls", list));
}

static json_t *upstream_to_json(const struct route_upstream *u, apr_time_t now)
{
	return json_pack("{s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:f,s:i,s:I}",
			 "instance", u->instance, "data_center", u->data_center,
			 "reachable", u->is_reachable, "draining",
			 u->is_draining, "breaker_open",
			 breaker_is_open(&u->breaker, now), "in_flight",
			 u->in_flight, "serves", u->class_count, "wait_ms",
			 route_estimate_wait(u, now) / 1000, "slots", u->slots,
			 "age_ms", (json_int_t)((now - u->measured_at) / 1000));
}

static json_t *make_status(void *arg)
{
	struct entry *e = arg;
	json_t *rows = json_array();
	apr_time_t now = clock_now();
	int i, in_flight;

	pthread_mutex_lock(&e->mutex);
	for (i = 0; i < e->routes.count; i++)
		if (e->routes.rows[i].is_present)
			json_array_append_new(
				rows,
				upstream_to_json(&e->routes.rows[i], now));
	pthread_mutex_unlock(&e->mutex);
	table_lock(&e->relays);
	in_flight = (int)e->relays.count;
	table_unlock(&e->relays);
	return json_pack("{s:i,s:o}", "in_flight", in_flight, "upstreams",
			 rows);
}

static int count_open_calls(void *arg)
{
	struct entry *e = arg;
	int n;

	table_lock(&e->relays);
	n = (int)e->relays.count;
	table_unlock(&e->relays);
	return n + (e->n->http ? httpd_active(e->n->http) : 0);
}

/* Adds the HTTP routes and controllers of calls to an entry. */
int calls_start(struct node *n, struct error *err)
{
	struct entry *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->n = n;
	pthread_mutex_init(&e->mutex, NULL);
	random_seed(&e->random, random_next(&n->random));
	route_table_init(&e->routes);
	explain_init(&e->explain);
	retry_budget_init(&e->budget);
	table_init(&e->relays, "relays", RANK_CALL, sizeof(struct relay *),
		   RELAYS_MAX);
	e->calls_metric = metric_counter("calls", NULL);
	if (limits_start(n, &e->limits, err) ||
	    crash_start(n, &e->crashes, err))
		return -1;
	entry_add_routes(e);
	node_add_route(n, "POST", "/v1/tickets", TICKET_BODY_MAX_BYTES,
		       serve_tickets, e);
	node_add_operator_route(n, "GET", "/explain", 0, serve_explain, e);
	node_add_controller(n, "calls", 50 * 1000, entry_step, e);
	node_add_controller(n, "calls-routes", ROUTE_UPDATE_PERIOD_US,
			    update_routes, e);
	node_add_status(n, "calls", make_status, e);
	node_add_drain(n, "calls", count_open_calls, e);
	return 0;
}
