#include <stdlib.h>
#include <string.h>

#include "calls/limit-core.h"

/*
 * What of each budget this entry may use until the next tick: the fleet's
 * budget over accounts, each account's over entries.
 */

struct slice_account {
	struct limit_account *account;
	double own[LIMIT_VALUE_COUNT];
	double others[LIMIT_VALUE_COUNT];
	double budget[LIMIT_VALUE_COUNT]; /* of the account, over the group */
};

static double limit_of(const struct limit_spec *l, enum limit_value which)
{
	double value = 0;

	switch (which) {
	case LIMIT_REQUESTS:
		value = l->requests_per_second;
		break;
	case LIMIT_TOKENS:
		value = l->tokens_per_second;
		break;
	case LIMIT_CONCURRENT:
		value = l->concurrent;
		break;
	}
	return value > 0 ? value : SHARE_UNLIMITED;
}

static void demand_read(const struct limit_core *c, struct slice_account *s,
			apr_time_t now)
{
	int i, key = s->account->demand_key;

	for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
		s->own[i] = limit_peers_own_demand(&c->peers, key, i);
		s->others[i] = limit_peers_other_demand(&c->peers, key, i, now);
	}
}

/* Holds each account to its own limit and to its part of the fleet's. */
static void budgets_set(const struct limit_core *c, struct slice_account *s,
			int count, enum limit_value which)
{
	double fleet = limit_of(&c->fleet, which), level, spare, limit, all;
	struct share_claim *claims = calloc(count + 1, sizeof(*claims));
	int i;

	if (!claims)
		abort();
	if (fleet >= 0)
		fleet *= limit_view_budget_ratio(&c->view,
						 c->fleet.partitioned_share);
	spare = fleet;
	for (i = 0; i < count; i++) {
		limit = limit_of(&s[i].account->limit, which);
		if (limit >= 0)
			limit *= limit_view_budget_ratio(
				&c->view,
				s[i].account->limit.partitioned_share);
		s[i].budget[which] = limit;
		all = s[i].own[which] + s[i].others[which];
		claims[i].weight = s[i].account->share;
		claims[i].demand = limit >= 0 && all > limit ? limit : all;
		spare -= claims[i].demand;
	}
	level = fleet >= 0 ? share_max_min_level(claims, count, fleet)
			   : SHARE_UNLIMITED;
	for (i = 0; i < count && fleet >= 0; i++) {
		all = level >= 0 ? claims[i].weight * level
				 : claims[i].demand + spare;
		if (s[i].budget[which] < 0 || all < s[i].budget[which])
			s[i].budget[which] = all;
	}
	free(claims);
}

/*
 * Sets a rate.  An account below its budget may come in bursts; one above
 * it has used them up.
 */
static void rate_set(struct bucket *b, const struct slice_account *s,
		     enum limit_value which, double slice, apr_time_t now)
{
	int over = s->own[which] + s->others[which] > s->budget[which];
	double depth, least;

	depth = slice * (over ? LIMIT_BURST_OVER_BUDGET_US : LIMIT_BURST_US) /
		APR_USEC_PER_SEC;
	least = over ? LIMIT_BURST_OVER_BUDGET_MIN : LIMIT_BURST_MIN;
	bucket_configure(b, slice, depth > least ? depth : least, now);
}

static void slice_set(const struct limit_core *c, struct slice_account *s,
		      apr_time_t now)
{
	int entries = c->view.is_isolated ? 1 : c->view.counted_entries;
	struct limit_account *a = s->account;
	double slice[LIMIT_VALUE_COUNT];
	int i;

	for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
		a->budget[i] = s->budget[i];
		slice[i] = share_slice(s->budget[i], s->own[i],
				       c->view.is_isolated ? 0 : s->others[i],
				       entries);
		if (c->view.is_isolated)
			slice[i] = s->budget[i];
	}
	rate_set(&a->request_bucket, s, LIMIT_REQUESTS, slice[LIMIT_REQUESTS],
		 now);
	rate_set(&a->token_bucket, s, LIMIT_TOKENS, slice[LIMIT_TOKENS], now);
	if (s->budget[LIMIT_CONCURRENT] < 0)
		a->slots = -1;
	else if (c->view.is_isolated)
		a->slots = (int)(s->budget[LIMIT_CONCURRENT] + 0.001);
	else
		a->slots = limit_peers_slot_count(&c->peers, a->demand_key,
						  s->budget[LIMIT_CONCURRENT],
						  entries, now);
	if (a->slots == 0 && c->view.is_isolated)
		a->slots = 1;
}

/*
 * Upstreams in reach serve those that reach them: an entry cut off for long
 * has them to itself, but one that just came is not the only one.
 */
static int pool_entries(const struct limit_core *c, apr_time_t now)
{
	if (c->view.is_isolated &&
	    now - c->isolated_since < LIMIT_ISOLATED_MIN_US)
		return c->view.entry_count;
	return c->view.counted_entries;
}

static void pool_window_set(const struct limit_core *c, struct limit_pool *p,
			    apr_time_t now)
{
	if (p->slots <= 0) {
		p->window = -1;
		return;
	}
	p->window = limit_peers_slot_count(&c->peers, p->demand_key,
					   p->slots * p->gain,
					   pool_entries(c, now), now);
	if (p->window < 1)
		p->window = 1;
}

/* Divides all budgets anew. */
void limit_core_divide_budgets(struct limit_core *c, apr_time_t now)
{
	struct slice_account *s = calloc(c->accounts.count + 1, sizeof(*s));
	struct handle h = HANDLE_NONE;
	struct limit_account *a;
	int i, count = 0;

	if (!s)
		abort();
	limit_peers_update_view(&c->peers, now, &c->view);
	if (!c->view.is_isolated)
		c->isolated_since = 0;
	else if (!c->isolated_since)
		c->isolated_since = now;
	while ((a = table_next(&c->accounts, &h))) {
		s[count].account = a;
		demand_read(c, &s[count++], now);
	}
	for (i = 0; i < LIMIT_VALUE_COUNT; i++)
		budgets_set(c, s, count, i);
	for (i = 0; i < count; i++)
		slice_set(c, &s[i], now);
	for (i = 0; i < c->pool_count; i++)
		pool_window_set(c, &c->pools[i], now);
	free(s);
}
