#include "forward/cold.h"

/*
 * Share of the rate that the entries of other data centres get of an upstream
 * that isn't known to be cold: they must be able to use it when their own data
 * centre is full.
 */
#define REMOTE_SHARE 0.5

/*
 * Returns how many of a number of entries may send to a cold upstream. One that
 * sends at even intervals can place one request more into a second than its
 * rate, so that too many senders exceed the most that one second bears.
 */
int cold_count_users(const struct cold_spec *c, int entries)
{
	int users;

	for (users = entries; users > 1; users--)
		if (users * ((int)(c->per_s / users) + 1) <= c->window_max)
			break;
	return users;
}

static int max_of(int a, int b)
{
	return a > b ? a : b;
}

/*
 * Returns the spacing at an upstream that isn't known to be cold. The rate alone
 * bounds it: all entries must reach it at some time. Those that have just started
 * count only the others that they have heard of: assumed ones would keep them
 * from serving as all return at once.
 */
static apr_interval_time_t spacing_if_warm(const struct cold_spec *c,
					   const struct cold_entries *e)
{
	if (e->local_rank >= 0 || !e->local) {
		int count = e->local_rank >= 0 ? e->local : e->remote;

		return (apr_interval_time_t)(count * APR_USEC_PER_SEC /
					     c->per_s);
	}
	return (apr_interval_time_t)(e->remote * APR_USEC_PER_SEC /
				     (REMOTE_SHARE * c->per_s));
}

/*
 * Returns the least time between two requests of this entry to an upstream, 0
 * when there is none, or -1 when it may send none. A cold upstream is for the
 * entries of its own data centre, unless it has none.
 */
apr_interval_time_t cold_spacing(const struct cold_spec *c,
				 const struct cold_entries *e, int is_cold)
{
	int is_local = e->local_rank >= 0;
	int local = max_of(e->local, e->assumed);
	int users;

	if (c->per_s <= 0)
		return 0;
	if (!is_cold)
		return spacing_if_warm(c, e);
	if (!is_local && local)
		return -1;
	users = cold_count_users(c, is_local ? local : e->remote);
	if ((is_local ? e->local_rank : e->remote_rank) >= users)
		return -1;
	return (apr_interval_time_t)(users * APR_USEC_PER_SEC / c->per_s);
}
