#ifndef CALLS_LIMIT_SHARE_H
#define CALLS_LIMIT_SHARE_H

#include <apr_time.h>

/*
 * Arithmetic for dividing a budget over accounts, over entries, and over the
 * groups of entries in a network partition.
 */

/* Value of a budget that has no limit. */
#define SHARE_UNLIMITED (-1.0)

struct share_claim {
	double weight;
	double demand;
};

double share_max_min_level(const struct share_claim *claims, int count,
			   double total);
double share_slice(double budget, double own, double others, int entries);
double share_partition_ratio(int in_contact, int entries, int has_first_entry,
			     double cut_off);
double share_max_total_ratio(int entries, double cut_off);

/*
 * Demand of the last second, summed per interval.  The newest interval is still
 * being filled and does not count yet.
 */
#define DEMAND_INTERVALS 10
#define DEMAND_INTERVAL_US (100 * 1000)

struct demand_window {
	double sums[DEMAND_INTERVALS + 1];
	/* Number of the newest interval: time / DEMAND_INTERVAL_US. */
	apr_time_t newest;
};

void demand_window_add(struct demand_window *w, double amount, apr_time_t now);
double demand_window_rate(struct demand_window *w, apr_time_t now);

/*
 * A demand smoothed over enough events to average out random variation: it
 * follows slowly while the event rate is small, and at once when it changes by
 * more than random variation explains.
 */
struct demand_mean {
	double value;
	double claimed; /* value sent to the other entries */
	int updates;	/* updates since the last jump */
};

int demand_mean_update(struct demand_mean *m, double current, double events,
		       int jump);
void demand_claim_update(struct demand_mean *m, double budget, int entries);

/* A token bucket with a variable rate.  Its level may be negative. */
struct bucket {
	double level;
	double rate; /* per second, or SHARE_UNLIMITED */
	double depth;
	apr_time_t refilled_at;
};

void bucket_configure(struct bucket *b, double rate, double depth,
		      apr_time_t now);
int bucket_has_amount(struct bucket *b, double amount, apr_time_t now);
void bucket_consume(struct bucket *b, double amount);
apr_interval_time_t bucket_wait_time(const struct bucket *b, double amount);

#endif
