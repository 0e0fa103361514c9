#ifndef FORWARD_UPSTREAM_LIMIT_H
#define FORWARD_UPSTREAM_LIMIT_H

#include <apr_time.h>

#include "base/settings.h"

/*
 * Limits that upstreams name: requests a second from all entries together. A
 * few entries use such an upstream, each with a share of the limit; the others
 * leave it alone. All entries with the same table of entries choose the same
 * ones, without messages (docs/design/upstream-limits.md). The functions read
 * no clock.
 */

/* An entry that is present, this one included. */
struct limit_entry {
	char id[SETTINGS_NAME_SIZE];
	char data_center[SETTINGS_NAME_SIZE];
};

/* This entry's part of an upstream's limit. */
struct limit_share {
	int is_limited;
	double limit_per_s;
	apr_time_t limited_since; /* first naming of the present limit */
	double share_per_s;	  /* 0: this entry leaves the upstream alone */
	double tokens;		  /* at filled_at; a request takes one */
	apr_time_t filled_at;
	/*
	 * An entry without a share hears of the limit's end from a single
	 * request now and then.
	 */
	apr_interval_time_t trial_period;
	apr_time_t trial_at;
};

int limit_count_users(double limit_per_s, int entry_count);
int limit_rank_entry(const struct limit_entry *entries, int count,
		     const char *self, const char *upstream,
		     const char *data_center);
double limit_compute_share(const struct limit_entry *entries, int count,
			   const char *self, const char *upstream,
			   const char *data_center, double limit_per_s);
apr_interval_time_t limit_compute_trial_period(int entry_count,
					       const char *self,
					       const char *upstream);
int limit_allows(const struct limit_share *s, apr_time_t now);
apr_time_t limit_next_at(const struct limit_share *s, apr_time_t now);
void limit_record_start(struct limit_share *s, apr_time_t now);
void limit_start(struct limit_share *s, double limit_per_s, apr_time_t since);
void limit_set_share(struct limit_share *s, double share_per_s,
		     apr_interval_time_t trial_period, apr_time_t now);

#endif
