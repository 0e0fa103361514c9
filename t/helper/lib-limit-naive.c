#include "t/helper/lib-limit-sim.h"

/*
 * Naive global limiter: every arrival at every entry is visible to it at once,
 * and every 0.1 s it computes the rate of each account by bisection.
 */

#define NAIVE_INTERVALS 10
/* Includes the interval that is being filled. */
#define NAIVE_INTERVAL_SLOTS (NAIVE_INTERVALS + 1)
#define NAIVE_BURST_S 0.5

static double allowed_rate(const struct sim *s, int i, double level)
{
	const struct account_spec *spec = &s->document.accounts[i];
	double rate = 0, limit = spec->limit.requests_per_second;
	int k;

	for (k = 0; k < NAIVE_INTERVAL_SLOTS; k++)
		rate += s->accounts[i].steps[k];
	if (limit > 0 && rate > limit)
		rate = limit;
	return rate > spec->share * level ? spec->share * level : rate;
}

static double allowed_sum(const struct sim *s, double level)
{
	double sum = 0;
	int i;

	for (i = 0; i < s->document.account_count; i++)
		sum += allowed_rate(s, i, level);
	return sum;
}

static double find_level(const struct sim *s, double total)
{
	double low = 0, high = 1e9, middle;
	int i;

	for (i = 0; i < 100; i++) {
		middle = (low + high) / 2;
		if (allowed_sum(s, middle) > total)
			high = middle;
		else
			low = middle;
	}
	return low;
}

/* Sets each account's rate for the next 0.1 s. */
void naive_step(struct sim *s)
{
	double fleet = s->document.fleet.budget.requests_per_second;
	double level, limit;
	int i, step = (int)(s->now / 100000 % NAIVE_INTERVAL_SLOTS);

	for (i = 0; i < s->document.account_count; i++)
		s->accounts[i].steps[step] = 0;
	level = fleet > 0 ? find_level(s, fleet) : 1e9;
	for (i = 0; i < s->document.account_count; i++) {
		limit = s->document.accounts[i].limit.requests_per_second;
		s->accounts[i].rate = s->document.accounts[i].share * level;
		if (limit > 0 && limit < s->accounts[i].rate)
			s->accounts[i].rate = limit;
		s->accounts[i].level += s->accounts[i].rate / NAIVE_INTERVALS;
		if (s->accounts[i].level > s->accounts[i].rate * NAIVE_BURST_S)
			s->accounts[i].level =
				s->accounts[i].rate * NAIVE_BURST_S;
	}
}

/*
 * Records the arrival of a call of an account and admits it if the rate allows.
 */
void naive_arrive(struct sim *s, int account)
{
	struct sim_account *a = &s->accounts[account];

	a->steps[s->now / 100000 % NAIVE_INTERVAL_SLOTS]++;
	if (a->level < 1)
		return;
	a->level -= 1;
	a->naive_admitted++;
}
