#include "t/helper/lib-limit-sim.h"

/*
 * The naive global limiter: it sees each arrival at every entry at once and
 * every tenth of a second works the due of each account out by bisection.
 */

#define NAIVE_STEPS 10
#define NAIVE_SLOTS (NAIVE_STEPS + 1) /* and the one being filled */
#define NAIVE_BURST_S 0.5

static double due_at(const struct sim *s, int i, double level)
{
	const struct account_spec *spec = &s->document.accounts[i];
	double due = 0, limit = spec->limit.requests_per_second;
	int k;

	for (k = 0; k < NAIVE_SLOTS; k++)
		due += s->accounts[i].steps[k];
	if (limit > 0 && due > limit)
		due = limit;
	return due > spec->share * level ? spec->share * level : due;
}

static double due_sum(const struct sim *s, double level)
{
	double sum = 0;
	int i;

	for (i = 0; i < s->document.account_count; i++)
		sum += due_at(s, i, level);
	return sum;
}

static double level_find(const struct sim *s, double total)
{
	double low = 0, high = 1e9, middle;
	int i;

	for (i = 0; i < 100; i++) {
		middle = (low + high) / 2;
		if (due_sum(s, middle) > total)
			high = middle;
		else
			low = middle;
	}
	return low;
}

/* Sets each account's rate for the next tenth of a second. */
void naive_step(struct sim *s)
{
	double fleet = s->document.fleet.budget.requests_per_second;
	double level, limit;
	int i, step = (int)(s->now / 100000 % NAIVE_SLOTS);

	for (i = 0; i < s->document.account_count; i++)
		s->accounts[i].steps[step] = 0;
	level = fleet > 0 ? level_find(s, fleet) : 1e9;
	for (i = 0; i < s->document.account_count; i++) {
		limit = s->document.accounts[i].limit.requests_per_second;
		s->accounts[i].rate = s->document.accounts[i].share * level;
		if (limit > 0 && limit < s->accounts[i].rate)
			s->accounts[i].rate = limit;
		s->accounts[i].level += s->accounts[i].rate / NAIVE_STEPS;
		if (s->accounts[i].level > s->accounts[i].rate * NAIVE_BURST_S)
			s->accounts[i].level =
				s->accounts[i].rate * NAIVE_BURST_S;
	}
}

/* A call of that account arrives. */
void naive_arrive(struct sim *s, int account)
{
	struct sim_account *a = &s->accounts[account];

	a->steps[s->now / 100000 % NAIVE_SLOTS]++;
	if (a->level < 1)
		return;
	a->level -= 1;
	a->naive++;
}
