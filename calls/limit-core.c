#include "calls/limit-core.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"

#define RUN_TIME_SMOOTHING_CALLS 16 /* calls averaged */

/* Initializes the core of the entry with this id and boot. */
void limit_core_init(struct limit_core *c, const char *id, uint64_t boot)
{
	memset(c, 0, sizeof(*c));
	table_init(&c->accounts, "limits", RANK_ACCOUNT,
		   sizeof(struct limit_account), LIMIT_ACCOUNTS_MAX);
	limit_peers_init(&c->peers, id, boot);
}

/* Frees the tables and queues; waiting calls belong to their owners. */
void limit_core_destroy(struct limit_core *c)
{
	int i;

	for (i = 0; i < c->pool_count; i++)
		queue_destroy(&c->pools[i].queue);
	table_destroy(&c->accounts);
}

static struct limit_account *find_account(struct limit_core *c,
					  const char *name, struct handle *h)
{
	int key = limit_peers_find_key(&c->peers, "account", name);
	struct limit_account *a;

	if (key < 0)
		return NULL;
	*h = c->account_rows[key];
	a = table_get(&c->accounts, *h);
	return a && !strcmp(a->name, name) ? a : NULL;
}

static void update_account(struct limit_core *c,
			   const struct account_spec *spec)
{
	struct limit_account row, *a;
	struct handle h;

	a = find_account(c, spec->name, &h);
	if (!a) {
		memset(&row, 0, sizeof(row));
		snprintf(row.name, sizeof(row.name), "%s", spec->name);
		row.demand_key = limit_peers_get_or_add_key(
			&c->peers, "account", spec->name);
		if (row.demand_key < 0)
			return;
		row.granted_calls = metric_counter("admitted", row.name);
		row.refused_calls = metric_counter("refused", row.name);
		row.wait_us = metric_histogram("admission_wait_us", row.name);
		h = table_add(&c->accounts, &row);
		c->account_rows[row.demand_key] = h;
		a = table_get(&c->accounts, h);
	}
	if (!a)
		return;
	a->is_listed = 1;
	a->share = spec->share > 0 ? spec->share : 1;
	a->limit = spec->limit;
}

/*
 * Applies the limits of a document.  Calls that wait or run are kept, also if
 * their account is no longer listed.
 */
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
		a->is_listed = 0;
	for (i = 0; i < d->account_count; i++)
		update_account(c, &d->accounts[i]);
	h = HANDLE_NONE;
	while ((a = table_next(&c->accounts, &h)))
		if (!a->is_listed && !a->running && !a->waiting) {
			c->account_rows[a->demand_key] = HANDLE_NONE;
			table_remove(&c->accounts, h);
		}
	limit_core_divide_budgets(c, now);
}

/*
 * Divides the budgets again, grants waiting calls that may run and refuses
 * calls that will not finish in time.
 */
void limit_core_tick(struct limit_core *c, apr_time_t now,
		     struct limit_decisions *out)
{
	c->ticked_at = now;
	limit_core_update_demand(c, now);
	limit_core_divide_budgets(c, now);
	limit_pools_grant_ready(c, now, out);
	limit_pools_shed_late(c, now, out);
}

/*
 * Returns the retry delay after a refusal by a rate limit.  The delay in
 * seconds is at least the ratio of demand to rate, so that the refused callers
 * do not all retry at once.
 */
static apr_interval_time_t rate_retry_delay(struct limit_account *row,
					    struct bucket *b, double amount,
					    double demand)
{
	apr_interval_time_t wait = bucket_wait_time(b, amount), spread;

	if (b->rate <= 0)
		return wait;
	spread = (apr_interval_time_t)(demand / b->rate * APR_USEC_PER_SEC);
	(void)row;
	return wait > spread ? wait : spread;
}

/*
 * Charges a call to the account's rate limits.  Returns 1 if both limits allow
 * the call; otherwise returns 0 and sets the retry delay.
 */
static int charge_rate_limits(struct limit_account *row, struct admission *a,
			      apr_time_t now, apr_interval_time_t *wait)
{
	struct bucket *requests = &row->request_bucket;
	struct bucket *tokens = &row->token_bucket;

	if (!bucket_has_amount(requests, 1, now)) {
		*wait = rate_retry_delay(
			row, requests, 1,
			demand_window_rate(&row->requests, now));
		return 0;
	}
	if (!bucket_has_amount(tokens, a->tokens, now)) {
		*wait = rate_retry_delay(row, tokens, a->tokens,
					 demand_window_rate(&row->tokens, now));
		return 0;
	}
	bucket_consume(requests, 1);
	bucket_consume(tokens, a->tokens);
	return 1;
}

/*
 * Handles a call that arrives: grants it, refuses it or puts it into the queue.
 */
void limit_core_admit(struct limit_core *c, struct admission *a, apr_time_t now,
		      struct limit_decisions *out)
{
	struct limit_account *row;
	apr_interval_time_t wait = 0;

	if (now - c->ticked_at > LIMIT_TICK_LATE_US)
		limit_core_tick(c, now, out);
	a->arrived_at = now;
	a->prev = a->next = NULL;
	row = find_account(c, a->account, &a->account_row);
	if (!row || !row->is_listed) {
		limit_add_decision(out, a, ADMIT_UNKNOWN_ACCOUNT, 0,
				   "no such account");
		return;
	}
	demand_window_add(&row->requests, 1, now);
	demand_window_add(&row->tokens, a->tokens, now);
	if (!charge_rate_limits(row, a, now, &wait)) {
		metric_add(row->refused_calls, 1);
		limit_add_decision(out, a, ADMIT_LIMIT, wait,
				   "rate limit of the account");
		return;
	}
	a->pool = limit_pool_get_or_add(c, a->target, a->is_plain);
	demand_window_add(&c->pools[a->pool].arrivals, 1, now);
	limit_pool_enqueue(c, row, a, now, out);
}

static void update_mean_run_time(double *mean, double run_time)
{
	*mean += *mean > 0 ? (run_time - *mean) / RUN_TIME_SMOOTHING_CALLS
			   : run_time;
}

/*
 * Handles the end of a granted call and grants waiting calls that may run now.
 */
void limit_core_finish(struct limit_core *c, struct admission *a,
		       int tokens_used, apr_time_t now,
		       struct limit_decisions *out)
{
	struct limit_account *row = table_get(&c->accounts, a->account_row);
	struct limit_pool *p = &c->pools[a->pool];
	double run_time = (double)(now - a->granted_at);

	if (a->state != ADMIT_RUNNING || !row)
		return;
	a->state = ADMIT_FINISHED;
	row->running--;
	p->running--;
	queue_finish(&p->queue, a);
	bucket_consume(&row->token_bucket, tokens_used - a->tokens);
	update_mean_run_time(&p->run_time_deviation_us,
			     fabs(run_time - p->run_time_us));
	update_mean_run_time(&p->run_time_us, run_time);
	update_mean_run_time(&row->run_time_us, run_time);
	demand_window_add(&p->finished, 1, now);
	limit_pools_grant_ready(c, now, out);
}

/*
 * Withdraws a call.  Returns 1 if the call was still waiting, and 0 if it was
 * already decided.
 */
int limit_core_withdraw(struct limit_core *c, struct admission *a,
			apr_time_t now, struct limit_decisions *out)
{
	if (a->state != ADMIT_WAITING)
		return 0;
	queue_remove(&c->pools[a->pool].queue, a);
	limit_refund(c, a);
	a->state = ADMIT_FINISHED;
	limit_pools_grant_ready(c, now, out);
	return 1;
}

/*
 * Merges another entry's message and writes the reply.  Returns -1 if the
 * sender is not a known entry or the message names another boot.
 */
int limit_core_answer(struct limit_core *c, const char *id, uint64_t boot,
		      const struct limits_message *m,
		      struct limits_message *reply, apr_time_t now)
{
	if (limit_peers_receive_message(&c->peers, id, boot, m, now))
		return -1;
	if (m->cells.cells_len)
		limit_core_divide_budgets(c, now);
	limit_peers_fill_message(&c->peers, limit_peers_find(&c->peers, id),
				 reply, now);
	return 0;
}
