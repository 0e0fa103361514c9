#include <math.h>
#include <string.h>

#include "calls/limit-core.h"

/*
 * Demand at this entry: it is measured, smoothed and published to the other
 * entries as a claim.
 */

/*
 * Estimates how many calls would run if all were admitted.  Waiting calls are
 * not counted once a run time is known: an entry with a large slice has a long
 * queue, and its slice would grow further.
 */
static double estimate_offered_calls(double arrivals_per_second,
				     double run_time_us, int running,
				     int waiting)
{
	double offered = arrivals_per_second * run_time_us / APR_USEC_PER_SEC;

	if (run_time_us <= 0)
		return running + waiting;
	return offered > running ? offered : running;
}

static void update_account_demand(struct limit_account *a, int entries,
				  apr_time_t now)
{
	double requests_per_second = demand_window_rate(&a->requests, now);
	double offered_here = estimate_offered_calls(
		requests_per_second, a->run_time_us, a->running, a->waiting);
	struct demand_mean *m = a->demand;
	int i, jump;

	jump = demand_mean_update(&m[LIMIT_REQUESTS], requests_per_second,
				  requests_per_second, 0);
	demand_mean_update(&m[LIMIT_TOKENS],
			   demand_window_rate(&a->tokens, now),
			   requests_per_second, jump);
	demand_mean_update(&m[LIMIT_CONCURRENT], offered_here,
			   requests_per_second, jump);
	for (i = 0; i < LIMIT_VALUE_COUNT; i++)
		demand_claim_update(&m[i], a->budget[i], entries);
}

static void update_pool_demand(struct limit_pool *p, int entries,
			       apr_time_t now)
{
	double arrivals_per_second = demand_window_rate(&p->arrivals, now);
	double offered_here =
		estimate_offered_calls(arrivals_per_second, p->run_time_us,
				       p->running, p->queue.count);

	demand_mean_update(&p->demand, offered_here, arrivals_per_second, 0);
	demand_claim_update(&p->demand, p->slots ? p->slots * p->gain : -1,
			    entries);
}

/*
 * Returns the account claim with the largest relative error above
 * LIMIT_REFINE_ERROR_MIN, or NULL if there is none.
 */
static struct demand_mean *find_worst_claim(struct limit_core *c)
{
	struct demand_mean *m, *worst = NULL;
	struct handle h = HANDLE_NONE;
	double error, max_error = LIMIT_REFINE_ERROR_MIN;
	struct limit_account *a;
	int i;

	while ((a = table_next(&c->accounts, &h)))
		for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
			m = &a->demand[i];
			if (m->claimed <= 0)
				continue;
			error = fabs(m->value - m->claimed) / m->claimed;
			if (error <= max_error)
				continue;
			max_error = error;
			worst = m;
		}
	return worst;
}

/* Updates some claims, so that small errors do not accumulate. */
static void refine_claims(struct limit_core *c)
{
	int i, count = LIMIT_REFINE_CELLS / (c->peers.peer_count + 1);
	struct demand_mean *m;

	if (count < LIMIT_REFINE_CELLS_MIN)
		count = LIMIT_REFINE_CELLS_MIN;
	if (count > LIMIT_REFINE_CELLS_MAX)
		count = LIMIT_REFINE_CELLS_MAX;
	for (i = 0; i < count; i++) {
		m = find_worst_claim(c);
		if (!m)
			return;
		m->claimed = m->value;
	}
}

/*
 * Updates the demand at this entry and publishes the claims twice per exchange
 * period.
 */
void limit_core_update_demand(struct limit_core *c, apr_time_t now)
{
	int entries = c->view.counted_entries ? c->view.counted_entries : 1;
	struct handle h = HANDLE_NONE;
	struct limit_account *a;
	struct limit_pool *p;

	while ((a = table_next(&c->accounts, &h)))
		update_account_demand(a, entries, now);
	for (p = c->pools; p < c->pools + c->pool_count; p++)
		update_pool_demand(p, entries, now);
	if (now - c->published_at < limit_peers_exchange_period(&c->peers) / 2)
		return;
	c->published_at = now;
	refine_claims(c);
	memset(c->own_codes, 0, sizeof(c->own_codes));
	h = HANDLE_NONE;
	while ((a = table_next(&c->accounts, &h)))
		c->own_codes[a->demand_key] = limit_encode_demands(
			a->demand[LIMIT_REQUESTS].claimed,
			a->demand[LIMIT_TOKENS].claimed,
			a->demand[LIMIT_CONCURRENT].claimed);
	for (p = c->pools; p < c->pools + c->pool_count; p++)
		if (p->demand_key != LIMIT_KEY_NONE)
			c->own_codes[p->demand_key] =
				limit_encode_demands(0, 0, p->demand.claimed);
	limit_peers_publish(&c->peers, c->own_codes);
}
