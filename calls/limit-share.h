#ifndef CALLS_LIMIT_SHARE_H
#define CALLS_LIMIT_SHARE_H

#include <apr_time.h>

/* How a budget is divided: over accounts, over entries, in a partition. */

/* A budget without a limit. */
#define SHARE_UNLIMITED (-1.0)

struct share_claim {
	double weight;
	double demand;
};

double share_max_min_level(const struct share_claim *claims, int count,
			   double total);
double share_slice(double budget, double own, double others, int entries);
double share_partition_ratio(int present, int known, int has_first,
			     double cut_off);
double share_max_total_ratio(int known, double cut_off);

/*
 * Demand over the last second in whole steps, besides the one that is still
 * being filled.
 */
#define DEMAND_INTERVALS 10
#define DEMAND_INTERVAL_US (100 * 1000)

struct demand_window {
	double sums[DEMAND_INTERVALS + 1];
	apr_time_t newest; /* time / DEMAND_INTERVAL_US of the newest step */
};

void demand_window_add(struct demand_window *w, double amount, apr_time_t now);
double demand_window_rate(struct demand_window *w, apr_time_t now);

/*
 * A demand smoothed over as many events as tell it from chance: slow while
 * it is small, at once when it changes by more than chance explains.
 */
struct demand_mean {
	double value;
	double claimed; /* as told to the others */
	int updates;	/* since the last jump */
};

int demand_mean_update(struct demand_mean *m, double now_value, double events,
		       int jump);
void demand_claim_update(struct demand_mean *m, double budget, int entries);

/* A token bucket whose rate changes; its level may go below zero. */
struct bucket {
	double level;
	double rate; /* a second, or SHARE_UNLIMITED */
	double depth;
	apr_time_t refilled_at;
};

void bucket_configure(struct bucket *b, double rate, double depth,
		      apr_time_t now);
int bucket_has_amount(struct bucket *b, double amount, apr_time_t now);
void bucket_take(struct bucket *b, double amount);
apr_interval_time_t bucket_wait_time(const struct bucket *b, double amount);

#endif
