#include <stdlib.h>
#include <string.h>

#include "calls/limit-core.h"

/*
 * Slices of the budgets that this entry may use until the next tick: the
 * fleet's budget is divided over accounts, each account's over entries.
 */

struct slice_account {
	struct limit_account *account;
	double own[LIMIT_VALUE_COUNT];
	double others[LIMIT_VALUE_COUNT];
	/* Budget of the account for the entries in contact with each other. */
	double budget[LIMIT_VALUE_COUNT];
};

static double get_limit(const struct limit_spec *l, enum limit_value which)
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

static void read_demand(const struct limit_core *c, struct slice_account *s,
			apr_time_t now)
{
	int i, key = s->account->demand_key;

	for (i = 0; i < LIMIT_VALUE_COUNT; i++) {
		s->own[i] = limit_peers_own_demand(&c->peers, key, i);
		s->others[i] = limit_peers_other_demand(&c->peers, key, i, now);
	}
}

/* Limits each account to its own limit and to its share of the fleet's. */
static void divide_over_accounts(const struct limit_core *c,
				 struct slice_account *s, int count,
				 enum limit_value which)
{
	double fleet = get_limit(&c->fleet, which), level, spare, limit, total;
	struct share_claim *claims = calloc(count + 1, sizeof(*claims));
	int i;

	if (!claims)
		abort();
	if (fleet >= 0)
		fleet *= limit_view_budget_ratio(&c->view,
						 c->fleet.partitioned_share);
	spare = fleet;
	for (i = 0; i < count; i++) {
		limit = get_limit(&s[i].account->limit, which);
		if (limit >= 0)
			limit *= limit_view_budget_ratio(
				&c->view,
				s[i].account->limit.partitioned_share);
		s[i].budget[which] = limit;
		total = s[i].own[which] + s[i].others[which];
		claims[i].weight = s[i].account->share;
		claims[i].demand = limit >= 0 && total > limit ? limit : total;
		spare -= claims[i].demand;
	}
	level = fleet >= 0 ? share_max_min_level(claims, count, fleet)
			   : SHARE_UNLIMITED;
	for (i = 0; i < count && fleet >= 0; i++) {
		total = level >= 0 ? claims[i].weight * level
				   : claims[i].demand + spare;
		if (s[i].budget[which] < 0 || total < s[i].budget[which])
			s[i].budget[which] = total;
	}
	free(claims);
}

/*
 * Sets a rate and a bucket depth.  An account below its budget may send bursts;
 * an account above it gets a smaller bucket.
 */
static void set_rate(struct bucket *b, const struct slice_account *s,
		     enum limit_value which, double slice, apr_time_t now)
{
	int is_over_budget =
		s->own[which] + s->others[which] > s->budget[which];
	double depth, min_depth;

	depth = slice *
		(is_over_budget ? LIMIT_BURST_OVER_BUDGET_US : LIMIT_BURST_US) /
		APR_USEC_PER_SEC;
	min_depth =
		is_over_budget ? LIMIT_BURST_OVER_BUDGET_MIN : LIMIT_BURST_MIN;
	bucket_configure(b, slice, depth > min_depth ? depth : min_depth, now);
}

static void set_slices(const struct limit_core *c, struct slice_account *s,
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
	set_rate(&a->request_bucket, s, LIMIT_REQUESTS, slice[LIMIT_REQUESTS],
		 now);
	set_rate(&a->token_bucket, s, LIMIT_TOKENS, slice[LIMIT_TOKENS], now);
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
 * Returns the number of entries that share the upstreams.  The upstreams that
 * an entry can reach serve the entries that can reach them: an entry that has
 * been partitioned for long has them to itself, but an entry that has just
 * started is not the only one.
 */
static int count_pool_entries(const struct limit_core *c, apr_time_t now)
{
	if (c->view.is_isolated &&
	    now - c->isolated_since < LIMIT_ISOLATED_MIN_US)
		return c->view.entry_count;
	return c->view.counted_entries;
}

static void set_pool_window(const struct limit_core *c, struct limit_pool *p,
			    apr_time_t now)
{
	if (p->slots <= 0) {
		p->window = -1;
		return;
	}
	p->window = limit_peers_slot_count(&c->peers, p->demand_key,
					   p->slots * p->gain,
					   count_pool_entries(c, now), now);
	if (p->window < 1)
		p->window = 1;
}

/* Divides all budgets again, with the current demands and contacts. */
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
		read_demand(c, &s[count++], now);
	}
	for (i = 0; i < LIMIT_VALUE_COUNT; i++)
		divide_over_accounts(c, s, count, i);
	for (i = 0; i < count; i++)
		set_slices(c, &s[i], now);
	for (i = 0; i < c->pool_count; i++)
		set_pool_window(c, &c->pools[i], now);
	free(s);
}
