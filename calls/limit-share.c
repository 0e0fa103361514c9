#include "calls/limit-share.h"

#include <math.h>
#include <string.h>

/* The smoothing time covers about this many events, bounded in intervals. */
#define SMOOTH_EVENTS 100
#define SMOOTH_INTERVALS_MIN 10
#define SMOOTH_INTERVALS_MAX 20
/*
 * A change of a Poisson count by more than this many standard deviations plus
 * RANDOM_COUNT_MAX is not random variation.
 */
#define RANDOM_DEVIATIONS_MAX 4
#define RANDOM_COUNT_MAX 2
/*
 * A claim is updated when its error exceeds both this ratio of the claim and
 * this ratio of the entry's equal share of the budget.  A demand below
 * CLAIM_DEMAND_MIN is claimed as none.
 */
#define CLAIM_ERROR_RATIO 0.12
#define CLAIM_ERROR_SHARE 0.1
#define CLAIM_DEMAND_MIN 0.0625
#define SHARE_WAIT_MAX_US (60 * APR_USEC_PER_SEC)

/*
 * Weighted max-min fairness: returns the level L at which the claims, each
 * limited to weight * L, add up to total.  Claims below their limit are
 * satisfied in full.  Returns SHARE_UNLIMITED when all claims fit.
 *
 * The level is raised over the claims already satisfied until no claim below it
 * is left; each round settles at least one claim.
 */
double share_max_min_level(const struct share_claim *claims, int count,
			   double total)
{
	double satisfied = 0, level = 0, weight, next_satisfied;
	int i, round;

	for (i = 0; i < count; i++)
		satisfied += claims[i].demand;
	if (satisfied <= total)
		return SHARE_UNLIMITED;
	satisfied = 0;
	for (round = 0; round <= count; round++) {
		weight = 0;
		next_satisfied = 0;
		for (i = 0; i < count; i++) {
			if (claims[i].demand <= claims[i].weight * level)
				next_satisfied += claims[i].demand;
			else
				weight += claims[i].weight;
		}
		if (round && next_satisfied <= satisfied)
			break;
		satisfied = next_satisfied;
		if (weight <= 0)
			break;
		level = (total - satisfied) / weight;
	}
	return level;
}

/*
 * Returns the slice of an account's budget that one entry may use.  own is this
 * entry's demand that all other entries have received, others is the sum of
 * their demands as received here.  Above the budget, each entry gets a slice in
 * proportion to its demand; below it, its demand and an equal share of the
 * rest, so that a sudden demand is served at once.
 *
 * The slice falls as others rises.  As long as own is never above the value
 * that the other entries use for this entry, the slices of all entries never
 * exceed the budget, however old the values at each entry are.
 */
double share_slice(double budget, double own, double others, int entries)
{
	double total = own + others;

	if (budget < 0)
		return SHARE_UNLIMITED;
	if (total > budget)
		return budget * own / total;
	return own + (budget - total) / entries;
}

/*
 * Returns the ratio of each budget that the entries in contact with each other
 * may use: 1 for a majority (of an even split, for the side with the first
 * entry), otherwise cut_off for each of them.
 */
double share_partition_ratio(int in_contact, int entries, int has_first_entry,
			     double cut_off)
{
	double ratio;

	if (2 * in_contact > entries ||
	    (2 * in_contact == entries && has_first_entry))
		return 1;
	if (cut_off <= 0)
		cut_off = 1.0 / entries;
	ratio = in_contact * cut_off;
	return ratio < 1 ? ratio : 1;
}

/*
 * Returns the maximum that all entries together can use of a budget, as a
 * multiple of it, however they are partitioned: either a majority with the
 * others isolated, or all of them isolated.
 */
double share_max_total_ratio(int entries, double cut_off)
{
	double majority_total, isolated_total;

	if (cut_off <= 0)
		cut_off = 1.0 / entries;
	if (cut_off > 1)
		cut_off = 1;
	majority_total = 1 + cut_off * (int)(entries / 2);
	isolated_total = cut_off * entries;
	return majority_total > isolated_total ? majority_total
					       : isolated_total;
}

static void advance_window(struct demand_window *w, apr_time_t now)
{
	apr_time_t newest = now / DEMAND_INTERVAL_US;

	if (newest - w->newest > DEMAND_INTERVALS)
		memset(w->sums, 0, sizeof(w->sums));
	else
		while (w->newest < newest)
			w->sums[++w->newest % (DEMAND_INTERVALS + 1)] = 0;
	if (newest > w->newest)
		w->newest = newest;
}

/* Adds a requested amount to the current interval. */
void demand_window_add(struct demand_window *w, double amount, apr_time_t now)
{
	advance_window(w, now);
	w->sums[w->newest % (DEMAND_INTERVALS + 1)] += amount;
}

/*
 * Returns the amount requested per second, over the complete intervals of the
 * last second.
 */
double demand_window_rate(struct demand_window *w, apr_time_t now)
{
	double sum = 0;
	int i;

	advance_window(w, now);
	for (i = 0; i <= DEMAND_INTERVALS; i++)
		if (i != w->newest % (DEMAND_INTERVALS + 1))
			sum += w->sums[i];
	return sum * APR_USEC_PER_SEC / DEMAND_INTERVALS / DEMAND_INTERVAL_US;
}

/*
 * Updates a mean with the current value.  events is the number of arrivals per
 * second that the value is based on.  Returns 1 if the mean jumped to the
 * value, because it changed by more than random variation or because the caller
 * requests it with jump.
 */
int demand_mean_update(struct demand_mean *m, double current, double events,
		       int jump)
{
	double intervals = SMOOTH_INTERVALS_MAX;

	if (jump ||
	    fabs(current - m->value) >
		    RANDOM_DEVIATIONS_MAX * sqrt(m->value) + RANDOM_COUNT_MAX) {
		m->value = current;
		m->updates = SMOOTH_INTERVALS_MIN;
		return 1;
	}
	if (m->updates < SMOOTH_INTERVALS_MAX)
		m->updates++;
	if (events > 0)
		intervals = SMOOTH_EVENTS * SMOOTH_INTERVALS_MIN / events;
	if (intervals < SMOOTH_INTERVALS_MIN)
		intervals = SMOOTH_INTERVALS_MIN;
	if (intervals > m->updates)
		intervals = m->updates; /* arithmetic mean since the jump */
	m->value += (current - m->value) / intervals;
	return 0;
}

/*
 * Sets the claim to the mean, unless the difference is small relative to the
 * claim or to an entry's equal share of the budget.  Without a budget the other
 * entries do not need the demand, so the claim is 0.
 */
void demand_claim_update(struct demand_mean *m, double budget, int entries)
{
	double error = fabs(m->value - m->claimed);

	if (budget < 0 || m->value < CLAIM_DEMAND_MIN)
		m->claimed = 0;
	else if (m->claimed <= 0 ||
		 (error > CLAIM_ERROR_RATIO * m->claimed &&
		  error > CLAIM_ERROR_SHARE * budget / entries))
		m->claimed = m->value;
}

static void refill_bucket(struct bucket *b, apr_time_t now)
{
	if (b->rate > 0 && now > b->refilled_at)
		b->level += b->rate * (double)(now - b->refilled_at) /
			    APR_USEC_PER_SEC;
	if (b->level > b->depth)
		b->level = b->depth;
	b->refilled_at = now;
}

/* Sets rate and depth.  The bucket is first refilled at the former rate. */
void bucket_configure(struct bucket *b, double rate, double depth,
		      apr_time_t now)
{
	int is_first = !b->refilled_at;

	if (!is_first)
		refill_bucket(b, now);
	b->rate = rate;
	b->depth = depth;
	b->refilled_at = now;
	if (is_first || b->level > depth)
		b->level = depth;
}

/*
 * Returns 1 if the bucket contains amount, or is full if amount exceeds its
 * depth.
 */
int bucket_has_amount(struct bucket *b, double amount, apr_time_t now)
{
	if (b->rate < 0)
		return 1;
	refill_bucket(b, now);
	return b->level >= (amount < b->depth ? amount : b->depth);
}

/* Removes amount from the bucket; a negative amount is returned to it. */
void bucket_consume(struct bucket *b, double amount)
{
	if (b->rate >= 0)
		b->level -= amount;
}

/*
 * Returns the time until the bucket will contain amount, if nothing else is
 * consumed until then, but at most SHARE_WAIT_MAX_US.
 */
apr_interval_time_t bucket_wait_time(const struct bucket *b, double amount)
{
	double target = amount < b->depth ? amount : b->depth, us;

	if (b->rate < 0 || b->level >= target)
		return 0;
	if (b->rate <= 0)
		return SHARE_WAIT_MAX_US;
	us = ceil((target - b->level) / b->rate * APR_USEC_PER_SEC);
	return us < SHARE_WAIT_MAX_US ? (apr_interval_time_t)us
				      : SHARE_WAIT_MAX_US;
}
