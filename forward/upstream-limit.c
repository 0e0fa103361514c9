#include "forward/upstream-limit.h"

#include <math.h>
#include <string.h>

#include "base/digest.h"

/*
 * Entries that use an upstream beside one for each request a second. Each may
 * send one request that it has saved, so that their number bounds a burst.
 */
#define USERS_EXTRA 2

/* Tokens that an entry can save. */
#define TOKENS_MAX 1.0

/*
 * Mean time between two trials of an entry without a share, for each entry: all
 * entries together make one in this time.
 */
#define TRIAL_SPACING_US (2 * APR_USEC_PER_SEC)
#define TRIAL_PERIOD_MIN_US (10 * APR_USEC_PER_SEC)

/* Returns how many of the entries use an upstream with this limit. */
int limit_count_users(double limit_per_s, int entry_count)
{
	if (limit_per_s <= 0)
		return 0;
	if (limit_per_s >= entry_count)
		return entry_count;
	return (int)limit_per_s + USERS_EXTRA < entry_count
		       ? (int)limit_per_s + USERS_EXTRA
		       : entry_count;
}

static uint64_t score(const char *entry, const char *upstream)
{
	return place_hash_string(entry, place_hash_string(upstream, 0));
}

static int precedes(const char *a, const char *b, const char *upstream)
{
	uint64_t x = score(a, upstream), y = score(b, upstream);

	return x != y ? x < y : strcmp(a, b) < 0;
}

/* Counts the entries of a data centre, or of all with NULL. */
static int count_entries(const struct limit_entry *entries, int count,
			 const char *data_center)
{
	int i, n = 0;

	for (i = 0; i < count; i++)
		n += !data_center ||
		     !strcmp(entries[i].data_center, data_center);
	return n;
}

/*
 * Returns the place of an entry among those of a data centre, or of all with
 * NULL, which differs from one upstream to the next; -1 when it is not one of
 * them.
 */
int limit_rank_entry(const struct limit_entry *entries, int count,
		     const char *self, const char *upstream,
		     const char *data_center)
{
	int i, rank = 0, is_candidate = 0;

	for (i = 0; i < count; i++) {
		if (data_center &&
		    strcmp(entries[i].data_center, data_center) != 0)
			continue;
		if (!strcmp(entries[i].id, self))
			is_candidate = 1;
		else
			rank += precedes(entries[i].id, self, upstream);
	}
	return is_candidate ? rank : -1;
}

/*
 * Returns the requests a second that this entry may send to an upstream, 0 for
 * none. The entries of the upstream's data centre use it, or those of all data
 * centres when there are none.
 */
double limit_compute_share(const struct limit_entry *entries, int count,
			   const char *self, const char *upstream,
			   const char *data_center, double limit_per_s)
{
	int local = count_entries(entries, count, data_center);
	const char *within = local ? data_center : NULL;
	int users = limit_count_users(limit_per_s, local ? local : count);
	int rank = limit_rank_entry(entries, count, self, upstream, within);

	return rank >= 0 && rank < users ? limit_per_s / users : 0;
}

/*
 * Returns the time between two trials of an entry, which differs between the
 * entries, so that they don't fall together.
 */
apr_interval_time_t limit_compute_trial_period(int entry_count,
					       const char *self,
					       const char *upstream)
{
	apr_interval_time_t period = entry_count * TRIAL_SPACING_US;

	if (period < TRIAL_PERIOD_MIN_US)
		period = TRIAL_PERIOD_MIN_US;
	return period * 3 / 4 + (apr_interval_time_t)(score(self, upstream) %
						      (uint64_t)(period / 2));
}

static double count_tokens(const struct limit_share *s, apr_time_t now)
{
	double tokens = s->tokens + s->share_per_s *
					    (double)(now - s->filled_at) /
					    APR_USEC_PER_SEC;

	return tokens < TOKENS_MAX ? tokens : TOKENS_MAX;
}

/* Returns 1 if a request may be sent now. */
int limit_allows(const struct limit_share *s, apr_time_t now)
{
	if (!s->is_limited)
		return 1;
	if (s->share_per_s > 0)
		return count_tokens(s, now) >= TOKENS_MAX;
	return now >= s->trial_at;
}

/*
 * Returns when a request may be sent, by this entry or, where it has no share,
 * likely by another one.
 */
apr_time_t limit_next_at(const struct limit_share *s, apr_time_t now)
{
	double rate = s->share_per_s > 0 ? s->share_per_s : s->limit_per_s;
	double missing = s->share_per_s > 0 ? TOKENS_MAX - count_tokens(s, now)
					    : TOKENS_MAX;
	apr_interval_time_t wait = s->trial_period;

	if (rate > 0 && missing / rate * APR_USEC_PER_SEC < (double)wait)
		wait = (apr_interval_time_t)(missing / rate * APR_USEC_PER_SEC);
	return now + wait;
}

/* Counts a request that is sent. */
void limit_record_start(struct limit_share *s, apr_time_t now)
{
	if (!s->is_limited)
		return;
	s->tokens = count_tokens(s, now) - TOKENS_MAX;
	if (s->tokens < 0)
		s->tokens = 0;
	s->filled_at = now;
	s->trial_at = now + s->trial_period;
}

/*
 * Begins a limit, or changes it. Nothing is saved for it yet: all entries hear
 * of it at nearly the same time.
 */
void limit_start(struct limit_share *s, double limit_per_s, apr_time_t since)
{
	if (!s->is_limited || s->limited_since != since) {
		memset(s, 0, sizeof(*s));
		s->filled_at = since;
	}
	s->is_limited = 1;
	s->limit_per_s = limit_per_s;
	s->limited_since = since;
}

/* Sets what this entry may send, after a change of the limit or of entries. */
void limit_set_share(struct limit_share *s, double share_per_s,
		     apr_interval_time_t trial_period, apr_time_t now)
{
	s->tokens = s->share_per_s > 0 ? count_tokens(s, now) : 0;
	s->filled_at = now;
	s->share_per_s = share_per_s;
	if (!s->trial_period)
		s->trial_at = now + trial_period;
	s->trial_period = trial_period;
}
