#ifndef CALLS_RECENT_H
#define CALLS_RECENT_H

#include <apr_time.h>
#include <stdint.h>

/*
 * Counts this process's own calls started and finished per time slice.  They
 * are added to a report of an upstream's load, which does not include the
 * calls started after it was taken.
 */
#define RECENT_SLICES 64
#define RECENT_SLICE_US (50 * 1000)

struct recent_slice {
	int64_t number; /* time / RECENT_SLICE_US */
	int started;
	int finished;
};

struct recent_calls {
	struct recent_slice slices[RECENT_SLICES];
};

void recent_record_start(struct recent_calls *r, apr_time_t now);
void recent_record_finish(struct recent_calls *r, apr_time_t now);
int recent_count_started(const struct recent_calls *r, apr_time_t since,
			 apr_time_t now);
int recent_in_flight_change(const struct recent_calls *r, apr_time_t since,
			    apr_time_t now);

#endif
