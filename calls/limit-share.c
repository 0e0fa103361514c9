#include "calls/limit-share.h"

#include <math.h>
#include <string.h>

/* Smoothing, in steps: over about so many events, within these bounds. */
#define SMOOTH_EVENTS 100
#define SMOOTH_MIN 10
#define SMOOTH_MAX 20
/* Deviations of a Poisson count that chance does not explain. */
#define CHANCE_DEVIATIONS 4
#define CHANCE_COUNT 2
/* A claim follows when it is off by so much of itself and of its part. */
#define CLAIM_NOISE 0.12
#define CLAIM_PART 0.1
#define CLAIM_ZERO 0.0625
#define SHARE_WAIT_MAX_US (60 * APR_USEC_PER_SEC)

/*
 * Weighted max-min fairness: returns the level L at which the claims, each
 * held to weight * L, add up to total.  Claims below their line are met in
 * full.  Returns SHARE_UNLIMITED when all claims fit.
 *
 * Raises the level over claims already met until none below it is left;
 * each round settles at least one claim.
 */
double share_max_min_level(const struct share_claim *claims, int count,
			   double total)
{
	double met = 0, level = 0, weight, next_met;
	int i, round;

	for (i = 0; i < count; i++)
		met += claims[i].demand;
	if (met <= total)
		return SHARE_UNLIMITED;
	met = 0;
	for (round = 0; round <= count; round++) {
		weight = 0;
		next_met = 0;
		for (i = 0; i < count; i++) {
			if (claims[i].demand <= claims[i].weight * level)
				next_met += claims[i].demand;
			else
				weight += claims[i].weight;
		}
		if (round && next_met <= met)
			break;
		met = next_met;
		if (weight <= 0)
			break;
		level = (total - met) / weight;
	}
	return level;
}

/*
 * Returns what one entry may use of an account's budget.  own is the demand
 * here that every other entry knows of, others what is known here of theirs.
 * Over budget, each gets its part in proportion; under it, its demand and
 * an equal part of the rest, so that a sudden demand is met at once.
 *
 * It falls as others rises.  So when own is never above what the others
 * count for this entry, the slices of all entries never exceed the budget,
 * however old the figures that each one holds.
 */
double share_slice(double budget, double own, double others, int entries)
{
	double all = own + others;

	if (budget < 0)
		return SHARE_UNLIMITED;
	if (all > budget)
		return budget * own / all;
	return own + (budget - all) / entries;
}

/*
 * Returns the part of each budget that the entries in contact with each
 * other may use: all of it for a majority (of an even split, for the side
 * with the first entry), or else cut_off for each of them.
 */
double share_partition_ratio(int present, int known, int has_first,
			     double cut_off)
{
	double part;

	if (2 * present > known || (2 * present == known && has_first))
		return 1;
	if (cut_off <= 0)
		cut_off = 1.0 / known;
	part = present * cut_off;
	return part < 1 ? part : 1;
}

/*
 * Returns the most that all entries together can use of a budget, as a
 * multiple, however they are cut off from each other: a majority with the
 * rest alone, or all of them alone.
 */
double share_max_total_ratio(int known, double cut_off)
{
	double with_majority, without;

	if (cut_off <= 0)
		cut_off = 1.0 / known;
	if (cut_off > 1)
		cut_off = 1;
	with_majority = 1 + cut_off * (int)(known / 2);
	without = cut_off * known;
	return with_majority > without ? with_majority : without;
}

static void demand_advance(struct demand_window *w, apr_time_t now)
{
	apr_time_t turn = now / DEMAND_INTERVAL_US;

	if (turn - w->newest > DEMAND_INTERVALS)
		memset(w->sums, 0, sizeof(w->sums));
	else
		while (w->newest < turn)
			w->sums[++w->newest % (DEMAND_INTERVALS + 1)] = 0;
	if (turn > w->newest)
		w->newest = turn;
}

/* Notes that amount was asked for. */
void demand_window_add(struct demand_window *w, double amount, apr_time_t now)
{
	demand_advance(w, now);
	w->sums[w->newest % (DEMAND_INTERVALS + 1)] += amount;
}

/* Returns what was asked for in the last second of whole steps. */
double demand_window_rate(struct demand_window *w, apr_time_t now)
{
	double sum = 0;
	int i;

	demand_advance(w, now);
	for (i = 0; i <= DEMAND_INTERVALS; i++)
		if (i != w->newest % (DEMAND_INTERVALS + 1))
			sum += w->sums[i];
	return sum * APR_USEC_PER_SEC / DEMAND_INTERVALS / DEMAND_INTERVAL_US;
}

/*
 * Moves a mean by one step towards the present value; events is how many
 * arrivals in a second it rests on.  Returns 1 if it jumped, because the
 * value changed by more than chance or because the caller says so.
 */
int demand_mean_update(struct demand_mean *m, double now_value, double events,
		       int jump)
{
	double steps = SMOOTH_MAX;

	if (jump || fabs(now_value - m->value) >
			    CHANCE_DEVIATIONS * sqrt(m->value) + CHANCE_COUNT) {
		m->value = now_value;
		m->updates = SMOOTH_MIN;
		return 1;
	}
	if (m->updates < SMOOTH_MAX)
		m->updates++;
	if (events > 0)
		steps = SMOOTH_EVENTS * SMOOTH_MIN / events;
	if (steps < SMOOTH_MIN)
		steps = SMOOTH_MIN;
	if (steps > m->updates)
		steps = m->updates; /* the plain mean since the jump */
	m->value += (now_value - m->value) / steps;
	return 0;
}

/*
 * Brings the claim up to the mean, unless the difference is small against
 * the claim or against an entry's part of the budget.  Without a budget
 * nobody needs to know.
 */
void demand_claim_update(struct demand_mean *m, double budget, int entries)
{
	double gap = fabs(m->value - m->claimed);

	if (budget < 0 || m->value < CLAIM_ZERO)
		m->claimed = 0;
	else if (m->claimed <= 0 || (gap > CLAIM_NOISE * m->claimed &&
				     gap > CLAIM_PART * budget / entries))
		m->claimed = m->value;
}

static void bucket_fill(struct bucket *b, apr_time_t now)
{
	if (b->rate > 0 && now > b->refilled_at)
		b->level += b->rate * (double)(now - b->refilled_at) /
			    APR_USEC_PER_SEC;
	if (b->level > b->depth)
		b->level = b->depth;
	b->refilled_at = now;
}

/* Sets rate and depth; what was earned at the former rate is kept. */
void bucket_configure(struct bucket *b, double rate, double depth,
		      apr_time_t now)
{
	int first = !b->refilled_at;

	if (!first)
		bucket_fill(b, now);
	b->rate = rate;
	b->depth = depth;
	b->refilled_at = now;
	if (first || b->level > depth)
		b->level = depth;
}

/* Returns 1 if amount, or all that the bucket can hold, is there. */
int bucket_has_amount(struct bucket *b, double amount, apr_time_t now)
{
	if (b->rate < 0)
		return 1;
	bucket_fill(b, now);
	return b->level >= (amount < b->depth ? amount : b->depth);
}

/* Takes amount; a negative one gives it back. */
void bucket_take(struct bucket *b, double amount)
{
	if (b->rate >= 0)
		b->level -= amount;
}

/* Returns the time until amount will be there, with nobody else asking. */
apr_interval_time_t bucket_wait_time(const struct bucket *b, double amount)
{
	double want = amount < b->depth ? amount : b->depth, us;

	if (b->rate < 0 || b->level >= want)
		return 0;
	if (b->rate <= 0)
		return SHARE_WAIT_MAX_US;
	us = ceil((want - b->level) / b->rate * APR_USEC_PER_SEC);
	return us < SHARE_WAIT_MAX_US ? (apr_interval_time_t)us
				      : SHARE_WAIT_MAX_US;
}
