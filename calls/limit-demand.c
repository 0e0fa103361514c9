#include <math.h>
#include <string.h>

#include "calls/limit-core.h"

/*
 * The demand at this entry: measured, smoothed, and claimed from the others.
 */

/*
 * Calls that would run if all that ask were let in.  Not the calls that
 * wait: an entry with a large slice has a long queue, and would gain more.
 */
static double offered_calls(double asked, double hold_us, int running,
			    int waiting)
{
	double offered = asked * hold_us / APR_USEC_PER_SEC;

	if (hold_us <= 0)
		return running + waiting;
	return offered > running ? offered : running;
}

static void account_demand(struct limit_account *a, int entries, apr_time_t now)
{
	double requests = demand_window_rate(&a->requests, now);
	double here =
		offered_calls(requests, a->run_time_us, a->running, a->waiting);
	struct demand_mean *m = a->demand;
	int i, jump;

	jump = demand_mean_update(&m[LIMIT_REQUESTS], requests, requests, 0);
	demand_mean_update(&m[LIMIT_TOKENS],
			   demand_window_rate(&a->tokens, now), requests, jump);
	demand_mean_update(&m[LIMIT_CONCURRENT], here, requests, jump);
	for (i = 0; i < LIMIT_VALUE_COUNT; i++)
		demand_claim_update(&m[i], a->budget[i], entries);
}

static void pool_demand(struct limit_pool *p, int entries, apr_time_t now)
{
	double asked = demand_window_rate(&p->arrivals, now);
	double here = offered_calls(asked, p->run_time_us, p->running,
				    p->queue.count);

	demand_mean_update(&p->demand, here, asked, 0);
	demand_claim_update(&p->demand, p->slots ? p->slots * p->gain : -1,
			    entries);
}

/* Of all claims, finds the one that is furthest off against itself. */
static struct demand_mean *claim_worst(struct limit_core *c)
{
	struct demand_mean *m, *worst = NULL;
	struct handle h = HANDLE_NONE;
	double gap, most = LIMIT_REFINE_ERROR_MIN;
	struct limit_account *a;
	int i;

	while ((a = table_next(&c->accounts, &h)))
		for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
			m = &a->demand[i];
			if (m->claimed <= 0)
				continue;
			gap = fabs(m->value - m->claimed) / m->claimed;
			if (gap <= most)
				continue;
			most = gap;
			worst = m;
		}
	return worst;
}

/* Brings some claims up to date, so that small errors do not add up. */
static void claims_refine(struct limit_core *c)
{
	int i, count = LIMIT_REFINE_CELLS / (c->peers.peer_count + 1);
	struct demand_mean *m;

	if (count < LIMIT_REFINE_CELLS_MIN)
		count = LIMIT_REFINE_CELLS_MIN;
	if (count > LIMIT_REFINE_CELLS_MAX)
		count = LIMIT_REFINE_CELLS_MAX;
	for (i = 0; i < count; i++) {
		m = claim_worst(c);
		if (!m)
			return;
		m->claimed = m->value;
	}
}

/* Keeps the own demand up to date, for the others and for the slices. */
void limit_core_update_demand(struct limit_core *c, apr_time_t now)
{
	int entries = c->view.counted_entries ? c->view.counted_entries : 1;
	struct handle h = HANDLE_NONE;
	struct limit_account *a;
	struct limit_pool *p;

	while ((a = table_next(&c->accounts, &h)))
		account_demand(a, entries, now);
	for (p = c->pools; p < c->pools + c->pool_count; p++)
		pool_demand(p, entries, now);
	if (now - c->published_at < limit_peers_exchange_period(&c->peers) / 2)
		return;
	c->published_at = now;
	claims_refine(c);
	memset(c->own_codes, 0, sizeof(c->own_codes));
	h = HANDLE_NONE;
	while ((a = table_next(&c->accounts, &h)))
		c->own_codes[a->demand_key] = limit_encode_demands(
			a->demand[LIMIT_REQUESTS].claimed,
			a->demand[LIMIT_TOKENS].claimed,
			a->demand[LIMIT_CONCURRENT].claimed);
	for (p = c->pools; p < c->pools + c->pool_count; p++)
		c->own_codes[p->demand_key] =
			limit_encode_demands(0, 0, p->demand.claimed);
	limit_peers_publish(&c->peers, c->own_codes);
}
