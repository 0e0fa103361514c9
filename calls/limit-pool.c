#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "calls/limit-core.h"

/*
 * Pools of upstreams: how many calls run at once, which one is next, and
 * which ones are refused because they would be served too late.
 */

#define WAIT_MARGIN 2.0	  /* of an estimated wait, either way */
#define HOLD_FADE 0.9	  /* each tick in which none ended */
#define HOLD_DEVIATIONS 2 /* above the mean: nearly all calls are done */

/* Puts an admission on the list of decided ones. */
void limit_add_decision(struct limit_decisions *out, struct admission *a,
			enum admit_outcome outcome, apr_interval_time_t wait,
			const char *reason)
{
	apr_interval_time_t ms = wait / 1000;

	a->state = outcome == ADMIT_GRANTED ? ADMIT_RUNNING : ADMIT_FINISHED;
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

/* Returns the index of a pool, made if needed; the first one when full. */
int limit_pool_get_or_add(struct limit_core *c, const char *name, int plain)
{
	struct limit_pool *p;
	int i, key;

	for (i = 0; i < c->pool_count; i++)
		if (c->pools[i].is_plain == plain &&
		    !strcmp(c->pools[i].name, name))
			return i;
	key = limit_peers_get_or_add_key(&c->peers, plain ? "service" : "model",
					 name);
	if (c->pool_count == LIMIT_POOLS_MAX || key < 0)
		return 0;
	p = &c->pools[c->pool_count];
	snprintf(p->name, sizeof(p->name), "%s", name);
	p->is_plain = plain;
	p->demand_key = key;
	p->gain = LIMIT_GAIN_INITIAL;
	p->window = -1;
	return c->pool_count++;
}

/*
 * Moves the gain so that upstreams are busy and few calls wait in them.
 * Calls that wait at one upstream while others have free slots are unevenly
 * spread, not too many.
 */
static void pool_adapt(struct limit_pool *p)
{
	int busy = p->upstream_running >= p->slots * LIMIT_BUSY_RATIO;

	if (busy && p->upstream_waiting > p->slots * LIMIT_WAITING_RATIO_HIGH)
		p->gain *= 1 - LIMIT_GAIN_STEP;
	else if (p->queue.count &&
		 (!busy ||
		  p->upstream_waiting < p->slots * LIMIT_WAITING_RATIO_LOW))
		p->gain *= 1 + LIMIT_GAIN_STEP;
	if (p->gain < LIMIT_GAIN_MIN)
		p->gain = LIMIT_GAIN_MIN;
	if (p->gain > LIMIT_GAIN_MAX)
		p->gain = LIMIT_GAIN_MAX;
}

/* Takes over what the upstreams reported; a pool not named has none. */
void limit_core_apply_reports(struct limit_core *c,
			      const struct pool_report *reports, int count)
{
	struct limit_pool *p;
	int i;

	for (i = 0; i < c->pool_count; i++)
		c->pools[i].slots = 0;
	for (i = 0; i < count; i++) {
		p = &c->pools[limit_pool_get_or_add(c, reports[i].name,
						    reports[i].is_plain)];
		p->slots = reports[i].slots;
		p->upstream_running = reports[i].running;
		p->upstream_waiting = reports[i].waiting;
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
		       queue_flow_slots(&m->pool->queue, flow, m->pool->window);
}

static void grant(struct limit_core *c, struct limit_pool *p,
		  struct admission *a, apr_time_t now,
		  struct limit_decisions *out)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);

	row->waiting--;
	row->running++;
	p->running++;
	a->granted_at = now;
	metric_add(row->granted_calls, 1);
	metric_record(row->wait_us, (uint64_t)(now - a->arrived_at));
	limit_add_decision(out, a, ADMIT_GRANTED, 0, "within limits");
}

/* Gives a call's budget back that did not run after all. */
void limit_refund(struct limit_core *c, struct admission *a)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);

	row->waiting--;
	bucket_take(&row->request_bucket, -1);
	bucket_take(&row->token_bucket, -a->tokens);
	metric_add(row->refused_calls, 1);
}

/*
 * Takes a call that waits out and refuses it: on account of its own limit
 * if that is what it waited for.
 */
static void drop(struct limit_core *c, struct limit_pool *p,
		 struct admission *a, apr_interval_time_t wait,
		 const char *reason, struct limit_decisions *out)
{
	int room = account_room(table_get(&c->accounts, a->account_row));

	queue_remove(&p->queue, a);
	limit_refund(c, a);
	if (room)
		limit_add_decision(out, a, ADMIT_OVERLOAD, wait, reason);
	else
		limit_add_decision(out, a, ADMIT_LIMIT, wait,
				   "concurrency limit of the account");
}

/* Returns how long the call behind ahead others of its account will wait. */
static apr_interval_time_t wait_estimate(const struct limit_pool *p,
					 const struct limit_account *row,
					 int flow, int ahead)
{
	double lanes = -1, part;

	if (p->window >= 0) {
		part = queue_flow_share(&p->queue, flow, row->share);
		lanes = p->window * part;
	}
	if (row->slots >= 0 && (lanes < 0 || row->slots < lanes))
		lanes = row->slots;
	if (lanes < 0)
		return 0;
	if (lanes <= 0)
		return LIMIT_WAIT_MAX_US * 2;
	return (apr_interval_time_t)((ahead + 1) * p->run_time_us / lanes);
}

/* Returns how long a call runs at most, but for a few. */
static apr_interval_time_t hold_bound(const struct limit_pool *p)
{
	return (apr_interval_time_t)(p->run_time_us +
				     HOLD_DEVIATIONS *
					     p->run_time_deviation_us);
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
	if (now - a->arrived_at + wait > LIMIT_WAIT_MAX_US)
		return 1;
	return a->deadline && now + wait + hold_bound(p) > a->deadline;
}

/*
 * Says when a refused caller should come back: in so many seconds as the
 * pool was asked for more than it finished, so that returning calls fit.
 */
static apr_interval_time_t pool_retry(struct limit_pool *p, apr_time_t now)
{
	double asked = demand_window_rate(&p->arrivals, now);
	double ended = demand_window_rate(&p->finished, now);

	return (apr_interval_time_t)(asked / (ended > 1 ? ended : 1) *
				     APR_USEC_PER_SEC);
}

/* Refuses a call whose turn came too late for its deadline. */
static void refuse_picked(struct limit_core *c, struct limit_pool *p,
			  struct admission *a, apr_time_t now,
			  struct limit_decisions *out)
{
	queue_finish(&p->queue, a);
	limit_refund(c, a);
	limit_add_decision(out, a, ADMIT_OVERLOAD, pool_retry(p, now),
			   "would be served too late");
}

/* Lanes above the window, for accounts below their part: no wait there. */
static int pool_reserve(const struct limit_pool *p)
{
	int reserve = (int)(p->window * LIMIT_RESERVE_RATIO);

	return reserve > LIMIT_RESERVE_SLOTS_MIN ? reserve
						 : LIMIT_RESERVE_SLOTS_MIN;
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
		if (now > a->arrived_at && wait_lost(a, p, 0, now))
			refuse_picked(c, p, a, now, out);
		else
			grant(c, p, a, now, out);
	}
}

/* Grants what may run now in all pools. */
void limit_pools_grant_ready(struct limit_core *c, apr_time_t now,
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
	if (demand_window_rate(&p->finished, now) > 0)
		return;
	p->run_time_us *= HOLD_FADE;
	p->run_time_deviation_us *= HOLD_FADE;
}

/* Refuses what will not be served in time in all pools. */
void limit_pools_shed_late(struct limit_core *c, apr_time_t now,
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

/* Puts a call into its pool's queue, from where it is granted or refused. */
void limit_pool_enqueue(struct limit_core *c, struct limit_account *row,
			struct admission *a, apr_time_t now,
			struct limit_decisions *out)
{
	struct limit_pool *p = &c->pools[a->pool];
	int ahead, flow = (int)a->account_row.index - 1;
	apr_interval_time_t wait;

	ahead = queue_count_ahead(&p->queue, flow, a->priority);
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
