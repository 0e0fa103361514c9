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

/*
 * Returns the least time between two requests of this entry to an upstream, 0
 * when there is none, or -1 when it may send none. A cold upstream is for the
 * entries of its own data centre, unless it has none.
 */
apr_interval_time_t cold_spacing(const struct cold_spec *c,
				 const struct cold_entries *e, int is_cold)
{
	int is_local = e->local_rank >= 0;
	int count = is_local ? e->local : e->remote;
	int rank = is_local ? e->local_rank : e->remote_rank;
	double rate = c->per_s;
	int users;

	if (c->per_s <= 0)
		return 0;
	if (!is_local && e->local) {
		if (is_cold)
			return -1;
		rate *= REMOTE_SHARE;
	}
	if (!is_cold) {
		/* The rate alone bounds it: all must reach it at some time. */
		return (apr_interval_time_t)(count * APR_USEC_PER_SEC / rate);
	}
	users = cold_count_users(c, count);
	if (rank >= users)
		return -1;
	return (apr_interval_time_t)(users * APR_USEC_PER_SEC / rate);
}
