#include "calls/limits.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "calls/limit-core.h"
#include "member/instance.h"
#include "member/report.h"

#define LIMITS_STEP_US (20 * 1000)
#define LIMITS_EXCHANGES_MAX 16 /* maximum started in one step */
#define LIMITS_REPORTS_MAX 64
/* An upstream's report that is older than this is ignored. */
#define LIMITS_REPORT_AGE_MAX_US (5 * APR_USEC_PER_SEC)

struct limits {
	struct node *node;
	struct limit_core core; /* guarded by the lock of core.accounts */
	struct limit_address entries[LIMIT_PEERS_MAX];
	struct pool_report reports[LIMITS_REPORTS_MAX];
};

struct exchange {
	struct job job;
	struct limits *limits;
	char id[64];
	char address[64];
	struct limits_message message;
};

/* Calls the callbacks of the decided admissions, with no lock held. */
static void notify_decisions(struct limit_decisions *d)
{
	struct admission *a, *next;

	for (a = d->first; a; a = next) {
		next = a->next;
		a->decided(a, a->outcome, a->retry_after_ms, a->reason);
	}
}

/* Applies the current document to the core.  The caller holds no lock. */
static void apply_document(struct limits *l, apr_time_t now)
{
	struct document *d = board_document(&l->node->board);

	if (!d)
		return;
	table_lock(&l->core.accounts);
	limit_core_configure(&l->core, d, now);
	table_unlock(&l->core.accounts);
	document_unref(d);
}

/* Requests admission of a call.  The caller holds no lock. */
void limits_request(struct limits *l, struct admission *a, apr_time_t now)
{
	struct limit_decisions out = { NULL, NULL };

	apply_document(l, now);
	table_lock(&l->core.accounts);
	limit_core_admit(&l->core, a, now, &out);
	table_unlock(&l->core.accounts);
	notify_decisions(&out);
}

/*
 * Releases a granted call that has finished; tokens_used replaces the estimate
 * in a->tokens.
 */
void limits_release(struct limits *l, struct admission *a, int tokens_used,
		    apr_time_t now)
{
	struct limit_decisions out = { NULL, NULL };

	table_lock(&l->core.accounts);
	limit_core_finish(&l->core, a, tokens_used, now, &out);
	table_unlock(&l->core.accounts);
	notify_decisions(&out);
}

/*
 * Withdraws a request whose caller disconnected.  Returns 1 if decided will not
 * be called any more, 0 if the decision was already made: decided was or will
 * be called, and a granted call has to be released.
 */
int limits_withdraw(struct limits *l, struct admission *a, apr_time_t now)
{
	struct limit_decisions out = { NULL, NULL };
	int withdrawn;

	table_lock(&l->core.accounts);
	withdrawn = limit_core_withdraw(&l->core, a, now, &out);
	table_unlock(&l->core.accounts);
	notify_decisions(&out);
	return withdrawn;
}

static const struct rpc_kind limits_kinds[];

static void run_exchange(struct job *j)
{
	struct exchange *x = (struct exchange *)j;
	struct limits *l = x->limits;
	apr_time_t sent = clock_now();
	struct limits_message reply;
	struct error err = ERROR_INIT;
	int failed;

	failed = rpc_exchange(l->node->rpc, x->address,
			      l->node->settings.rpc_port, limits_kinds,
			      &x->message, &reply, LIMIT_EXCHANGE_TIMEOUT_MS,
			      &err);
	table_lock(&l->core.accounts);
	if (failed)
		limit_peers_record_failure(&l->core.peers, x->id, clock_now());
	else
		limit_peers_receive_reply(&l->core.peers, x->id, &reply, sent,
					  clock_now());
	table_unlock(&l->core.accounts);
	if (!failed)
		xdr_free((xdrproc_t)xdr_limits_message, &reply);
	xdr_free((xdrproc_t)xdr_limits_message, &x->message);
	free(x);
}

static int answer_message(void *arg, const struct rpc_peer *from,
			  const void *request, void *reply)
{
	struct limits *l = arg;
	int ret;

	table_lock(&l->core.accounts);
	ret = limit_core_answer(&l->core, from->instance, from->boot, request,
				reply, clock_now());
	table_unlock(&l->core.accounts);
	return ret;
}

static const struct rpc_kind limits_kinds[] = {
	{ RPC_KIND_LIMITS, "limits", (xdrproc_t)xdr_limits_message,
	  sizeof(struct limits_message), (xdrproc_t)xdr_limits_message,
	  sizeof(struct limits_message), answer_message },
	{ 0 },
};

/*
 * Lists the other entries that may be serving, without those that are draining.
 * Sets *is_list_received if the platform's list has been received.
 */
static int list_entries(struct limits *l, int *is_list_received)
{
	struct table *t = &l->node->board.instances;
	struct handle h = HANDLE_NONE;
	struct instance *i;
	int count = 0;

	table_lock(t);
	while ((i = table_next(t, &h)) && count < LIMIT_PEERS_MAX) {
		*is_list_received |= i->is_listed;
		if (i->role != ROLE_ENTRY || i->state == INSTANCE_DRAINING ||
		    (!i->is_listed && i->state != INSTANCE_LIVE) ||
		    !strcmp(i->id, l->node->settings.instance))
			continue;
		memcpy(l->entries[count].id, i->id, sizeof(i->id));
		memcpy(l->entries[count].address, i->address,
		       sizeof(i->address));
		count++;
	}
	table_unlock(t);
	return count;
}

static int add_report(struct limits *l, int count, const char *name, int plain,
		      const struct upstream_report *u)
{
	struct pool_report *r;
	int i;

	for (i = 0; i < count; i++)
		if (l->reports[i].is_plain == plain &&
		    !strcmp(l->reports[i].name, name))
			break;
	if (i == LIMITS_REPORTS_MAX)
		return count;
	r = &l->reports[i];
	if (i == count) {
		memset(r, 0, sizeof(*r));
		snprintf(r->name, sizeof(r->name), "%s", name);
		r->is_plain = plain;
		count++;
	}
	r->slots += u->slots;
	r->running += u->running;
	r->waiting += u->waiting;
	return count;
}

static int add_service_reports(struct limits *l, int count,
			       const struct upstream_report *u,
			       const struct document *d)
{
	const struct service_spec *s;
	int i;

	for (i = 0; i < d->service_count; i++) {
		s = &d->services[i];
		if (has_matching_pattern(s->upstreams, s->upstream_count,
					 u->upstream))
			count = add_report(l, count, s->name, 1, u);
	}
	return count;
}

/* Adds up the reports of the upstreams of each model and service. */
static int sum_reports(struct limits *l, const struct document *d,
		       apr_time_t now)
{
	struct table *t = &l->node->board.upstreams;
	struct handle h = HANDLE_NONE;
	struct upstream_report *u;
	int i, count = 0;

	table_lock(t);
	while ((u = table_next(t, &h))) {
		if (u->is_draining || !u->is_reachable ||
		    now - u->received_at > LIMITS_REPORT_AGE_MAX_US)
			continue;
		for (i = 0; i < u->model_count; i++)
			count = add_report(l, count, u->models[i].name, 0, u);
		if (u->kind == UPSTREAM_PLAIN)
			count = add_service_reports(l, count, u, d);
	}
	table_unlock(t);
	return count;
}

/* Prepares the exchanges to start now.  The caller holds the lock. */
static struct exchange *prepare_exchanges(struct limits *l, apr_time_t now)
{
	struct exchange *x, *first = NULL;
	struct limit_peer *q;
	int due[LIMITS_EXCHANGES_MAX], i, count;

	count = limit_peers_start_due(&l->core.peers, now, due,
				      LIMITS_EXCHANGES_MAX);
	for (i = 0; i < count; i++) {
		q = &l->core.peers.peers[due[i]];
		x = calloc(1, sizeof(*x));
		if (!x)
			abort();
		x->job.run = run_exchange;
		x->limits = l;
		memcpy(x->id, q->id, sizeof(x->id));
		memcpy(x->address, q->address, sizeof(x->address));
		limit_peers_fill_message(&l->core.peers, q, &x->message, now);
		x->job.next = (struct job *)first;
		first = x;
	}
	return first;
}

static void submit_exchanges(struct limits *l, struct exchange *x,
			     apr_time_t now)
{
	struct exchange *next;

	for (; x; x = next) {
		next = (struct exchange *)x->job.next;
		if (!worker_pool_submit(l->node->pool, &x->job))
			continue;
		table_lock(&l->core.accounts);
		limit_peers_record_failure(&l->core.peers, x->id, now);
		table_unlock(&l->core.accounts);
		xdr_free((xdrproc_t)xdr_limits_message, &x->message);
		free(x);
	}
}

static void limits_tick(struct limits *l, apr_time_t now,
			struct limit_decisions *out)
{
	struct document *d = board_document(&l->node->board);
	int entries, reports, is_list_received = 0;

	if (!d)
		return;
	entries = list_entries(l, &is_list_received);
	reports = sum_reports(l, d, now);
	table_lock(&l->core.accounts);
	limit_core_configure(&l->core, d, now);
	l->core.peers.is_without_list = !is_list_received && !entries;
	limit_peers_set_list(&l->core.peers, l->entries, entries, now);
	limit_core_apply_reports(&l->core, l->reports, reports);
	limit_core_tick(&l->core, now, out);
	table_unlock(&l->core.accounts);
	document_unref(d);
}

static void limits_step(void *arg, apr_time_t now)
{
	struct limit_decisions out = { NULL, NULL };
	struct limits *l = arg;
	struct exchange *first;
	int due;

	table_lock(&l->core.accounts);
	due = now - l->core.ticked_at >= LIMIT_TICK_US;
	table_unlock(&l->core.accounts);
	if (due)
		limits_tick(l, now, &out);
	table_lock(&l->core.accounts);
	first = prepare_exchanges(l, now);
	table_unlock(&l->core.accounts);
	submit_exchanges(l, first, now);
	notify_decisions(&out);
}

static json_t *account_status(const struct limit_account *a)
{
	return json_pack("{s:f,s:f,s:i,s:i,s:i}", "requests_per_second",
			 a->request_bucket.rate, "tokens_per_second",
			 a->token_bucket.rate, "slots", a->slots, "running",
			 a->running, "waiting", a->waiting);
}

static json_t *pool_status(const struct limit_pool *p)
{
	return json_pack("{s:s,s:b,s:i,s:i,s:i,s:i,s:f}", "name", p->name,
			 "plain", p->is_plain, "slots", p->slots, "window",
			 p->window, "running", p->running, "waiting",
			 p->queue.count, "gain", p->gain);
}

/* Returns the limits section of /status: what this entry may use now. */
static json_t *limits_status(void *arg)
{
	json_t *accounts = json_object(), *pools = json_array();
	struct handle h = HANDLE_NONE;
	struct limits *l = arg;
	struct limit_view v;
	struct limit_account *a;
	int i;

	table_lock(&l->core.accounts);
	v = l->core.view;
	while ((a = table_next(&l->core.accounts, &h)))
		json_object_set_new(accounts, a->name, account_status(a));
	for (i = 0; i < l->core.pool_count; i++)
		json_array_append_new(pools, pool_status(&l->core.pools[i]));
	table_unlock(&l->core.accounts);
	return json_pack("{s:i,s:i,s:b,s:o,s:o}", "entries", v.entry_count,
			 "in_contact", v.in_contact, "cut_off",
			 v.is_isolated || limit_view_budget_ratio(&v, 1e-9) < 1,
			 "accounts", accounts, "pools", pools);
}

/*
 * Adds admission to an entry that is not running yet.  Returns -1 and sets err
 * if memory or message kinds are exhausted.
 */
int limits_start(struct node *n, struct limits **out, struct error *err)
{
	struct limits *l = calloc(1, sizeof(*l));

	if (!l)
		return error_set(err, ERROR_INTERNAL, "limits-start", NULL,
				 "no memory");
	l->node = n;
	limit_core_init(&l->core, n->settings.instance, n->self.boot);
	if (rpc_server_add(limits_kinds, l))
		return error_set(err, ERROR_FULL, "limits-start", NULL,
				 "too many message kinds");
	node_add_controller(n, "limits", LIMITS_STEP_US, limits_step, l);
	node_add_status(n, "limits", limits_status, l);
	*out = l;
	return 0;
}
