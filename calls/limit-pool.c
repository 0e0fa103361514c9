#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "calls/limit-core.h"

/*
 * Pools of upstreams: how many calls run at once, which call is next, and which
 * calls are refused because they would be served too late.
 */

/*
 * An actual wait is assumed to lie between the estimate divided by this factor
 * and multiplied by it.
 */
#define WAIT_ESTIMATE_FACTOR 2.0
/* Factor applied to the run time at each tick in which no call finished. */
#define RUN_TIME_DECAY 0.9
/* Nearly all calls finish within the mean plus this many deviations. */
#define RUN_TIME_DEVIATIONS 2

/* Records the decision on an admission and appends it to the list. */
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

static int find_pool(const struct limit_core *c, const char *name, int plain)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		if (!c->pools[i].is_shared && c->pools[i].is_plain == plain &&
		    !strcmp(c->pools[i].name, name))
			return i;
	return -1;
}

/*
 * Returns the index of a pool without calls and without upstreams, emptied, or
 * of a new one.  One place is kept for the shared pool.  Returns -1 when there
 * is none.
 */
static int find_free_pool(struct limit_core *c)
{
	struct limit_pool *p;
	int i;

	if (c->pool_count < LIMIT_POOLS_MAX - 1)
		return c->pool_count++;
	for (i = 0; i < c->pool_count; i++) {
		p = &c->pools[i];
		if (p->is_shared || p->running || p->queue.count || p->slots)
			continue;
		queue_destroy(&p->queue);
		memset(p, 0, sizeof(*p));
		return i;
	}
	return -1;
}

/*
 * Returns the index of the pool for all names that have none of their own.  It
 * has no window: the slots behind it are not known together.
 */
static int get_shared_pool(struct limit_core *c)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		if (c->pools[i].is_shared)
			return i;
	c->pools[i].is_shared = 1;
	c->pools[i].demand_key = LIMIT_KEY_NONE;
	c->pools[i].gain = LIMIT_GAIN_INITIAL;
	c->pools[i].window = -1;
	return c->pool_count++;
}

/*
 * Returns the index of a pool, which is added if needed; that of the shared
 * pool when the table of pools is full.
 */
int limit_pool_get_or_add(struct limit_core *c, const char *name, int plain)
{
	int i = find_pool(c, name, plain), key;
	struct limit_pool *p;

	if (i >= 0)
		return i;
	key = limit_peers_get_or_add_key(&c->peers, plain ? "service" : "model",
					 name);
	i = key < 0 ? -1 : find_free_pool(c);
	if (i < 0)
		return get_shared_pool(c);
	p = &c->pools[i];
	snprintf(p->name, sizeof(p->name), "%s", name);
	p->is_plain = plain;
	p->demand_key = key;
	p->gain = LIMIT_GAIN_INITIAL;
	p->window = -1;
	return i;
}

/*
 * Adapts the gain so that upstreams are busy and few calls wait in them.  If
 * calls wait at one upstream while others have free slots, they are unevenly
 * distributed, not too many, so the gain is not lowered.
 */
static void adapt_gain(struct limit_pool *p)
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

static void apply_report(struct limit_pool *p, const struct pool_report *r)
{
	p->slots = r->slots;
	p->upstream_running = r->running;
	p->upstream_waiting = r->waiting;
	if (p->slots)
		adapt_gain(p);
}

/*
 * Applies the upstreams' reports.  A pool without a report has no slots.  Pools
 * are added after those that exist have their slots, so that none of these
 * gives way.
 */
void limit_core_apply_reports(struct limit_core *c,
			      const struct pool_report *reports, int count)
{
	int i, at;

	for (i = 0; i < c->pool_count; i++)
		c->pools[i].slots = 0;
	for (i = 0; i < count; i++) {
		at = find_pool(c, reports[i].name, reports[i].is_plain);
		if (at >= 0)
			apply_report(&c->pools[at], &reports[i]);
	}
	for (i = 0; i < count; i++) {
		if (find_pool(c, reports[i].name, reports[i].is_plain) >= 0)
			continue;
		at = limit_pool_get_or_add(c, reports[i].name,
					   reports[i].is_plain);
		if (!c->pools[at].is_shared)
			apply_report(&c->pools[at], &reports[i]);
	}
}

static int has_free_slot(const struct limit_account *a)
{
	return a->slots < 0 || a->running < a->slots;
}

/* Returns the account row at the index of a flow, whatever its generation. */
static struct limit_account *get_flow_account(struct limit_core *c, int flow)
{
	return (struct limit_account *)(c->accounts.rows +
					(size_t)flow * c->accounts.row_size);
}

struct grant_context {
	struct limit_core *core;
	struct limit_pool *pool;
	int is_reserved_only; /* only flows below their share of the pool */
};

static int is_flow_eligible(void *arg, int flow)
{
	struct grant_context *ctx = arg;
	struct limit_account *row = get_flow_account(ctx->core, flow);

	if (!has_free_slot(row))
		return 0;
	return !ctx->is_reserved_only ||
	       row->demand[LIMIT_CONCURRENT].value <=
		       queue_flow_slots(&ctx->pool->queue, flow,
					ctx->pool->window);
}

static void grant_call(struct limit_core *c, struct limit_pool *p,
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

/* Returns the budget charged for a call that did not run. */
void limit_refund(struct limit_core *c, struct admission *a)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);

	row->waiting--;
	bucket_consume(&row->request_bucket, -1);
	bucket_consume(&row->token_bucket, -a->tokens);
	metric_add(row->refused_calls, 1);
}

/*
 * Removes a waiting call from the queue and refuses it.  The refusal names the
 * account's concurrency limit if the account has no free slot.
 */
static void refuse_waiting(struct limit_core *c, struct limit_pool *p,
			   struct admission *a, apr_interval_time_t wait,
			   const char *reason, struct limit_decisions *out)
{
	int has_slot = has_free_slot(table_get(&c->accounts, a->account_row));

	queue_remove(&p->queue, a);
	limit_refund(c, a);
	if (has_slot)
		limit_add_decision(out, a, ADMIT_OVERLOAD, wait, reason);
	else
		limit_add_decision(out, a, ADMIT_LIMIT, wait,
				   "concurrency limit of the account");
}

/*
 * Estimates the wait of a call that has `ahead` calls of its account before it.
 */
static apr_interval_time_t estimate_wait(const struct limit_pool *p,
					 const struct limit_account *row,
					 int flow, int ahead)
{
	double slots = -1, share;

	if (p->window >= 0) {
		share = queue_flow_share(&p->queue, flow, row->share);
		slots = p->window * share;
	}
	if (row->slots >= 0 && (slots < 0 || row->slots < slots))
		slots = row->slots;
	if (slots < 0)
		return 0;
	if (slots <= 0)
		return LIMIT_WAIT_MAX_US * 2;
	return (apr_interval_time_t)((ahead + 1) * p->run_time_us / slots);
}

/* Returns the run time that all but a few calls stay within. */
static apr_interval_time_t max_run_time(const struct limit_pool *p)
{
	return (apr_interval_time_t)(p->run_time_us +
				     RUN_TIME_DEVIATIONS *
					     p->run_time_deviation_us);
}

/*
 * Returns 1 if a call should be refused on arrival because it would probably
 * wait too long.  The check is strict, so that few calls are refused after they
 * have waited.
 */
static int is_late_on_arrival(const struct admission *a,
			      const struct limit_pool *p,
			      apr_interval_time_t wait, apr_time_t now)
{
	wait = (apr_interval_time_t)(wait * WAIT_ESTIMATE_FACTOR);
	return wait > LIMIT_WAIT_MAX_US ||
	       (a->deadline && now + wait + max_run_time(p) > a->deadline);
}

/*
 * Returns 1 if a waiting call will not finish in time even if its wait is much
 * shorter than estimated.
 */
static int is_late_in_queue(const struct admission *a,
			    const struct limit_pool *p,
			    apr_interval_time_t wait, apr_time_t now)
{
	wait = (apr_interval_time_t)(wait / WAIT_ESTIMATE_FACTOR);
	if (now - a->arrived_at + wait > LIMIT_WAIT_MAX_US)
		return 1;
	return a->deadline && now + wait + max_run_time(p) > a->deadline;
}

/*
 * Returns the retry delay for a refused caller: the ratio of arrivals to
 * finished calls in the pool, in seconds, so that the retries fit.
 */
static apr_interval_time_t pool_retry_delay(struct limit_pool *p,
					    apr_time_t now)
{
	double arrivals = demand_window_rate(&p->arrivals, now);
	double finished = demand_window_rate(&p->finished, now);

	return (apr_interval_time_t)(arrivals / (finished > 1 ? finished : 1) *
				     APR_USEC_PER_SEC);
}

/* Refuses a call that was taken from the queue too late for its deadline. */
static void refuse_picked(struct limit_core *c, struct limit_pool *p,
			  struct admission *a, apr_time_t now,
			  struct limit_decisions *out)
{
	queue_finish(&p->queue, a);
	limit_refund(c, a);
	limit_add_decision(out, a, ADMIT_OVERLOAD, pool_retry_delay(p, now),
			   "would be served too late");
}

/*
 * Returns the number of slots above the window that are reserved for accounts
 * below their share, so that their calls do not wait.
 */
static int reserved_slots(const struct limit_pool *p)
{
	int reserve = (int)(p->window * LIMIT_RESERVE_RATIO);

	return reserve > LIMIT_RESERVE_SLOTS_MIN ? reserve
						 : LIMIT_RESERVE_SLOTS_MIN;
}

static void grant_ready_in_pool(struct limit_core *c, struct limit_pool *p,
				apr_time_t now, struct limit_decisions *out)
{
	struct grant_context ctx = { c, p, 0 };
	struct admission *a;

	while (p->queue.count) {
		ctx.is_reserved_only =
			p->window >= 0 && p->running >= p->window;
		if (ctx.is_reserved_only &&
		    p->running >= p->window + reserved_slots(p))
			return;
		a = queue_pick(&p->queue, is_flow_eligible, &ctx);
		if (!a)
			return;
		if (now > a->arrived_at && is_late_in_queue(a, p, 0, now))
			refuse_picked(c, p, a, now, out);
		else
			grant_call(c, p, a, now, out);
	}
}

/* Grants the waiting calls that may run now, in all pools. */
void limit_pools_grant_ready(struct limit_core *c, apr_time_t now,
			     struct limit_decisions *out)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		grant_ready_in_pool(c, &c->pools[i], now, out);
}

/*
 * Refuses the calls of a flow that will not be served in time, mainly those
 * with the most calls of their account ahead.
 */
static void refuse_late_in_flow(struct limit_core *c, struct limit_pool *p,
				int flow, apr_time_t now,
				struct limit_decisions *out)
{
	struct admission *a, *next;
	apr_interval_time_t wait;
	int ahead = 0;

	for (a = queue_flow_first(&p->queue, flow); a; a = next) {
		next = queue_flow_next(&p->queue, a);
		wait = estimate_wait(p, get_flow_account(c, flow), flow, ahead);
		if (is_late_in_queue(a, p, wait, now))
			refuse_waiting(c, p, a, pool_retry_delay(p, now),
				       "would be served too late", out);
		else
			ahead++;
	}
}

/*
 * Lowers the run time estimate while no call finishes: an estimate from an
 * overload must not cause all calls to be refused that would correct it.
 */
static void decay_run_time(struct limit_pool *p, apr_time_t now)
{
	if (demand_window_rate(&p->finished, now) > 0)
		return;
	p->run_time_us *= RUN_TIME_DECAY;
	p->run_time_deviation_us *= RUN_TIME_DECAY;
}

/* Refuses the waiting calls that will not be served in time, in all pools. */
void limit_pools_shed_late(struct limit_core *c, apr_time_t now,
			   struct limit_decisions *out)
{
	struct limit_pool *p;
	int flow;

	for (p = c->pools; p < c->pools + c->pool_count; p++) {
		decay_run_time(p, now);
		for (flow = 0; flow < p->queue.flow_count; flow++)
			refuse_late_in_flow(c, p, flow, now, out);
	}
}

/*
 * Puts a call into its pool's queue.  The call is granted at once if it may
 * run, and refused if the queue is too long or its wait would be.
 */
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
	grant_ready_in_pool(c, p, now, out);
	if (a->state != ADMIT_WAITING)
		return;
	wait = estimate_wait(p, row, flow, ahead);
	if (p->queue.count > LIMIT_QUEUE_MAX)
		refuse_waiting(c, p, a, pool_retry_delay(p, now),
			       "too many calls wait", out);
	else if (is_late_on_arrival(a, p, wait, now))
		refuse_waiting(c, p, a, pool_retry_delay(p, now),
			       "would be served too late", out);
}
