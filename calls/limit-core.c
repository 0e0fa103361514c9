#include "calls/limit-core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"

#define HOLD_SMOOTHING 16 /* calls that the mean run time looks back on */
#define WAIT_MARGIN 2.0	  /* of an estimated wait, either way */
#define HOLD_FADE 0.9	  /* each tick in which none ended */
#define HOLD_DEVIATIONS 2 /* above the mean: nearly all calls are done */

void limit_core_init(struct limit_core *c, const char *id, uint64_t boot)
{
	memset(c, 0, sizeof(*c));
	table_init(&c->accounts, "limits", RANK_ACCOUNT,
		   sizeof(struct limit_account), LIMIT_ACCOUNTS_MAX);
	limit_peers_init(&c->peers, id, boot);
}

void limit_core_destroy(struct limit_core *c)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		queue_destroy(&c->pools[i].queue);
	table_destroy(&c->accounts);
}

/* Puts an admission on the list of decided ones. */
static void decide(struct limit_decisions *out, struct admission *a,
		   enum admit_outcome outcome, apr_interval_time_t wait,
		   const char *reason)
{
	apr_interval_time_t ms = wait / 1000;

	a->state = outcome == ADMIT_GRANTED ? ADMIT_RUNNING : ADMIT_ENDED;
	a->outcome = outcome;
	a->reason = reason;
	a->retry_after_ms = 0;
	if (outcome == ADMIT_LIMIT || outcome == ADMIT_OVERLOAD) {
		if (ms < LIMIT_RETRY_MIN_MS)
			ms = LIMIT_RETRY_MIN_MS;
		if (ms > LIMIT_RETRY_MAX_MS)
			ms = LIMIT_RETRY_MAX_MS;
		a->retry_after_ms = (int)ms;
	}
	if (!out->tail)
		out->tail = &out->first;
	a->next = NULL;
	*out->tail = a;
	out->tail = &a->next;
}

static struct limit_account *account_find(struct limit_core *c,
					  const char *name, struct handle *h)
{
	int key = limit_peers_key_find(&c->peers, "account", name);
	struct limit_account *a;

	if (key < 0)
		return NULL;
	*h = c->account_rows[key];
	a = table_get(&c->accounts, *h);
	return a && !strcmp(a->name, name) ? a : NULL;
}

static void account_set(struct limit_core *c, const struct account_spec *spec)
{
	struct limit_account row, *a;
	struct handle h;

	a = account_find(c, spec->name, &h);
	if (!a) {
		memset(&row, 0, sizeof(row));
		snprintf(row.name, sizeof(row.name), "%s", spec->name);
		row.key = limit_peers_key(&c->peers, "account", spec->name);
		if (row.key < 0)
			return;
		row.granted_calls = metric_counter("admitted", row.name);
		row.refused_calls = metric_counter("refused", row.name);
		row.wait_us = metric_histogram("admission_wait_us", row.name);
		h = table_add(&c->accounts, &row);
		c->account_rows[row.key] = h;
		a = table_get(&c->accounts, h);
	}
	if (!a)
		return;
	a->listed = 1;
	a->share = spec->share > 0 ? spec->share : 1;
	a->limit = spec->limit;
}

/* Takes over the limits of a document; calls under way keep their place. */
void limit_core_configure(struct limit_core *c, const struct document *d,
			  apr_time_t now)
{
	struct handle h = HANDLE_NONE;
	struct limit_account *a;
	int i;

	if (c->revision == d->revision)
		return;
	c->revision = d->revision;
	c->fleet = d->fleet.budget;
	while ((a = table_next(&c->accounts, &h)))
		a->listed = 0;
	for (i = 0; i < d->account_count; i++)
		account_set(c, &d->accounts[i]);
	h = HANDLE_NONE;
	while ((a = table_next(&c->accounts, &h)))
		if (!a->listed && !a->running && !a->waiting) {
			c->account_rows[a->key] = HANDLE_NONE;
			table_remove(&c->accounts, h);
		}
	limit_core_slices(c, now);
}

/* Returns the index of a pool, made if needed; the first one when full. */
static int pool_get(struct limit_core *c, const char *name, int plain)
{
	struct limit_pool *p;
	int i, key;

	for (i = 0; i < c->pool_count; i++)
		if (c->pools[i].plain == plain &&
		    !strcmp(c->pools[i].name, name))
			return i;
	key = limit_peers_key(&c->peers, plain ? "service" : "model", name);
	if (c->pool_count == LIMIT_POOLS_MAX || key < 0)
		return 0;
	p = &c->pools[c->pool_count];
	snprintf(p->name, sizeof(p->name), "%s", name);
	p->plain = plain;
	p->key = key;
	p->gain = LIMIT_GAIN_FIRST;
	p->window = -1;
	return c->pool_count++;
}

/* Moves the gain so that upstreams are busy and few calls wait in them. */
static void pool_adapt(struct limit_pool *p)
{
	if (p->queued > p->slots * LIMIT_WAITING_HIGH)
		p->gain *= 1 - LIMIT_GAIN_STEP;
	else if (p->queued < p->slots * LIMIT_WAITING_LOW && p->queue.count)
		p->gain *= 1 + LIMIT_GAIN_STEP;
	if (p->gain < LIMIT_GAIN_MIN)
		p->gain = LIMIT_GAIN_MIN;
	if (p->gain > LIMIT_GAIN_MAX)
		p->gain = LIMIT_GAIN_MAX;
}

/* Takes over what the upstreams reported; a pool not named has none. */
void limit_core_report(struct limit_core *c, const struct pool_report *reports,
		       int count)
{
	struct limit_pool *p;
	int i;

	for (i = 0; i < c->pool_count; i++)
		c->pools[i].slots = 0;
	for (i = 0; i < count; i++) {
		p = &c->pools[pool_get(c, reports[i].name, reports[i].plain)];
		p->slots = reports[i].slots;
		p->busy = reports[i].running;
		p->queued = reports[i].waiting;
		if (p->slots)
			pool_adapt(p);
	}
}

static int account_room(const struct limit_account *a)
{
	return a->slots < 0 || a->running < a->slots;
}

/* The row in a slot, whatever its generation: flows go by slots. */
static struct limit_account *account_of_flow(struct limit_core *c, int flow)
{
	return (struct limit_account *)(c->accounts.rows +
					(size_t)flow * c->accounts.row_size);
}

struct pump {
	struct limit_core *core;
	struct limit_pool *pool;
	int reserved; /* only flows below their part of the pool */
};

static int flow_eligible(void *arg, int flow)
{
	struct pump *m = arg;
	struct limit_account *row = account_of_flow(m->core, flow);

	if (!account_room(row))
		return 0;
	return !m->reserved ||
	       row->demand[LIMIT_CONCURRENT].value <=
		       queue_lanes(&m->pool->queue, flow, m->pool->window);
}

static void grant(struct limit_core *c, struct limit_pool *p,
		  struct admission *a, apr_time_t now,
		  struct limit_decisions *out)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);

	row->waiting--;
	row->running++;
	p->running++;
	a->granted = now;
	metric_add(row->granted_calls, 1);
	metric_record(row->wait_us, (uint64_t)(now - a->asked));
	decide(out, a, ADMIT_GRANTED, 0, "within limits");
}

/* Gives a call's budget back that did not run after all. */
static void refund(struct limit_core *c, struct admission *a)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);

	row->waiting--;
	bucket_take(&row->request_bucket, -1);
	bucket_take(&row->token_bucket, -a->tokens);
	metric_add(row->refused_calls, 1);
}

/* Takes a call that waits out and refuses it. */
static void drop(struct limit_core *c, struct limit_pool *p,
		 struct admission *a, apr_interval_time_t wait,
		 const char *reason, struct limit_decisions *out)
{
	queue_remove(&p->queue, a);
	refund(c, a);
	decide(out, a, ADMIT_OVERLOAD, wait, reason);
}

/* Returns how long the call behind ahead others of its account will wait. */
static apr_interval_time_t wait_estimate(const struct limit_pool *p,
					 const struct limit_account *row,
					 int flow, int ahead)
{
	double lanes = -1, part;

	if (p->window >= 0) {
		part = queue_part(&p->queue, flow, row->share);
		lanes = p->window * part;
	}
	if (row->slots >= 0 && (lanes < 0 || row->slots < lanes))
		lanes = row->slots;
	if (lanes < 0)
		return 0;
	if (lanes <= 0)
		return LIMIT_WAIT_MAX_US * 2;
	return (apr_interval_time_t)((ahead + 1) * p->hold_us / lanes);
}

/* Returns how long a call runs at most, but for a few. */
static apr_interval_time_t hold_bound(const struct limit_pool *p)
{
	return (apr_interval_time_t)(p->hold_us +
				     HOLD_DEVIATIONS * p->hold_off_us);
}

/*
 * Returns 1 if a call should be refused on arrival, for it would probably
 * wait too long.  Strict, so that few are refused after they waited.
 */
static int wait_hopeless(const struct admission *a, const struct limit_pool *p,
			 apr_interval_time_t wait, apr_time_t now)
{
	wait = (apr_interval_time_t)(wait * WAIT_MARGIN);
	return wait > LIMIT_WAIT_MAX_US ||
	       (a->deadline && now + wait + hold_bound(p) > a->deadline);
}

/* Returns 1 if a call that waited will not be done in time, even if lucky. */
static int wait_lost(const struct admission *a, const struct limit_pool *p,
		     apr_interval_time_t wait, apr_time_t now)
{
	wait = (apr_interval_time_t)(wait / WAIT_MARGIN);
	if (now - a->asked + wait > LIMIT_WAIT_MAX_US)
		return 1;
	return a->deadline && now + wait + hold_bound(p) > a->deadline;
}

/*
 * Says when a refused caller should come back: in so many seconds as the
 * pool was asked for more than it finished, so that returning calls fit.
 */
static apr_interval_time_t pool_retry(struct limit_pool *p, apr_time_t now)
{
	double asked = demand_rate(&p->asked, now);
	double ended = demand_rate(&p->ended, now);

	return (apr_interval_time_t)(asked / (ended > 1 ? ended : 1) *
				     APR_USEC_PER_SEC);
}

/* Refuses a call whose turn came too late for its deadline. */
static void refuse_picked(struct limit_core *c, struct limit_pool *p,
			  struct admission *a, apr_time_t now,
			  struct limit_decisions *out)
{
	queue_ended(&p->queue, a);
	refund(c, a);
	decide(out, a, ADMIT_OVERLOAD, pool_retry(p, now),
	       "would be served too late");
}

/* Lanes above the window, for accounts below their part: no wait there. */
static int pool_reserve(const struct limit_pool *p)
{
	int reserve = (int)(p->window * LIMIT_RESERVE);

	return reserve > LIMIT_RESERVE_MIN ? reserve : LIMIT_RESERVE_MIN;
}

static void pool_pump(struct limit_core *c, struct limit_pool *p,
		      apr_time_t now, struct limit_decisions *out)
{
	struct pump m = { c, p, 0 };
	struct admission *a;

	while (p->queue.count) {
		m.reserved = p->window >= 0 && p->running >= p->window;
		if (m.reserved && p->running >= p->window + pool_reserve(p))
			return;
		a = queue_pick(&p->queue, flow_eligible, &m);
		if (!a)
			return;
		if (now > a->asked && wait_lost(a, p, 0, now))
			refuse_picked(c, p, a, now, out);
		else
			grant(c, p, a, now, out);
	}
}

static void pumps(struct limit_core *c, apr_time_t now,
		  struct limit_decisions *out)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		pool_pump(c, &c->pools[i], now, out);
}

/*
 * Refuses calls that will not be served in time, first of all those that
 * wait longest behind others of their account.
 */
static void flow_shed(struct limit_core *c, struct limit_pool *p, int flow,
		      apr_time_t now, struct limit_decisions *out)
{
	struct admission *a, *next;
	apr_interval_time_t wait;
	int ahead = 0;

	for (a = queue_flow_first(&p->queue, flow); a; a = next) {
		next = queue_flow_next(&p->queue, a);
		wait = wait_estimate(p, account_of_flow(c, flow), flow, ahead);
		if (wait_lost(a, p, wait, now))
			drop(c, p, a, pool_retry(p, now),
			     "would be served too late", out);
		else
			ahead++;
	}
}

/*
 * Forgets how long calls took while none ends: an estimate from an
 * overload must not refuse all that would correct it.
 */
static void hold_fade(struct limit_pool *p, apr_time_t now)
{
	if (demand_rate(&p->ended, now) > 0)
		return;
	p->hold_us *= HOLD_FADE;
	p->hold_off_us *= HOLD_FADE;
}

static void pools_shed(struct limit_core *c, apr_time_t now,
		       struct limit_decisions *out)
{
	struct limit_pool *p;
	int flow;

	for (p = c->pools; p < c->pools + c->pool_count; p++) {
		hold_fade(p, now);
		for (flow = 0; flow < p->queue.flow_count; flow++)
			flow_shed(c, p, flow, now, out);
	}
}

/* Divides the budgets anew and refuses what has become late. */
void limit_core_tick(struct limit_core *c, apr_time_t now,
		     struct limit_decisions *out)
{
	c->ticked = now;
	limit_core_demand(c, now);
	limit_core_slices(c, now);
	pumps(c, now, out);
	pools_shed(c, now, out);
}

/*
 * When to come back after a refusal by a rate: as many seconds as the
 * demand is above the rate, so that not all come back at once.
 */
static apr_interval_time_t rate_retry(struct limit_account *row,
				      struct bucket *b, double amount,
				      double demand)
{
	apr_interval_time_t wait = bucket_wait(b, amount), spread;

	if (b->rate <= 0)
		return wait;
	spread = (apr_interval_time_t)(demand / b->rate * APR_USEC_PER_SEC);
	(void)row;
	return wait > spread ? wait : spread;
}

/* Returns 1 if the account's rates let the call pass, and charges them. */
static int rates_pass(struct limit_account *row, struct admission *a,
		      apr_time_t now, apr_interval_time_t *wait)
{
	struct bucket *requests = &row->request_bucket;
	struct bucket *tokens = &row->token_bucket;

	if (!bucket_has(requests, 1, now)) {
		*wait = rate_retry(row, requests, 1,
				   demand_rate(&row->requests, now));
		return 0;
	}
	if (!bucket_has(tokens, a->tokens, now)) {
		*wait = rate_retry(row, tokens, a->tokens,
				   demand_rate(&row->tokens, now));
		return 0;
	}
	bucket_take(requests, 1);
	bucket_take(tokens, a->tokens);
	return 1;
}

static void enqueue(struct limit_core *c, struct limit_account *row,
		    struct admission *a, apr_time_t now,
		    struct limit_decisions *out)
{
	struct limit_pool *p = &c->pools[a->pool];
	int ahead, flow = (int)a->account_row.index - 1;
	apr_interval_time_t wait;

	ahead = queue_ahead(&p->queue, flow, a->priority);
	queue_push(&p->queue, a, row->share);
	row->waiting++;
	a->state = ADMIT_WAITING;
	pool_pump(c, p, now, out);
	if (a->state != ADMIT_WAITING)
		return;
	wait = wait_estimate(p, row, flow, ahead);
	if (p->queue.count > LIMIT_QUEUE_MAX)
		drop(c, p, a, pool_retry(p, now), "too many calls wait", out);
	else if (wait_hopeless(a, p, wait, now))
		drop(c, p, a, pool_retry(p, now), "would be served too late",
		     out);
}

/* A call asks: it is granted, refused or put into the queue. */
void limit_core_arrive(struct limit_core *c, struct admission *a,
		       apr_time_t now, struct limit_decisions *out)
{
	struct limit_account *row;
	apr_interval_time_t wait = 0;

	if (now - c->ticked > LIMIT_LATE_US)
		limit_core_tick(c, now, out);
	a->asked = now;
	a->prev = a->next = NULL;
	row = account_find(c, a->account, &a->account_row);
	if (!row || !row->listed) {
		decide(out, a, ADMIT_UNKNOWN, 0, "no such account");
		return;
	}
	demand_add(&row->requests, 1, now);
	demand_add(&row->tokens, a->tokens, now);
	if (!rates_pass(row, a, now, &wait)) {
		metric_add(row->refused_calls, 1);
		decide(out, a, ADMIT_LIMIT, wait, "rate limit of the account");
		return;
	}
	a->pool = pool_get(c, a->target, a->plain);
	demand_add(&c->pools[a->pool].asked, 1, now);
	enqueue(c, row, a, now, out);
}

static void hold_note(double *mean, double held)
{
	*mean += *mean > 0 ? (held - *mean) / HOLD_SMOOTHING : held;
}

/* A granted call ended. */
void limit_core_end(struct limit_core *c, struct admission *a, int tokens_used,
		    apr_time_t now, struct limit_decisions *out)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);
	struct limit_pool *p = &c->pools[a->pool];
	double held = (double)(now - a->granted);

	if (a->state != ADMIT_RUNNING || !row)
		return;
	a->state = ADMIT_ENDED;
	row->running--;
	p->running--;
	queue_ended(&p->queue, a);
	bucket_take(&row->token_bucket, tokens_used - a->tokens);
	hold_note(&p->hold_off_us, fabs(held - p->hold_us));
	hold_note(&p->hold_us, held);
	hold_note(&row->hold_us, held);
	demand_add(&p->ended, 1, now);
	pumps(c, now, out);
}

/* Returns 1 if the call still waited and is taken back. */
int limit_core_withdraw(struct limit_core *c, struct admission *a,
			apr_time_t now, struct limit_decisions *out)
{
	if (a->state != ADMIT_WAITING)
		return 0;
	queue_remove(&c->pools[a->pool].queue, a);
	refund(c, a);
	a->state = ADMIT_ENDED;
	pumps(c, now, out);
	return 1;
}

/* Answers another entry's message; -1 if the sender is not known. */
int limit_core_serve(struct limit_core *c, const char *id, uint64_t boot,
		     const struct limits_message *m,
		     struct limits_message *reply, apr_time_t now)
{
	if (limit_peers_take(&c->peers, id, boot, m, now))
		return -1;
	if (m->cells.cells_len)
		limit_core_slices(c, now);
	limit_peers_fill(&c->peers, limit_peers_find(&c->peers, id), reply);
	return 0;
}
