#ifndef WEIGHTS_PACE_H
#define WEIGHTS_PACE_H

#include <apr_time.h>

/*
 * Pacing of transfers on a link by bytes.  A bucket fills at the rate up to
 * a burst; a transfer may begin while it is not empty and is charged whole,
 * so over any time the bytes stay within rate * time + burst + one transfer.
 */
struct pace {
	double rate_bytes_s; /* bytes a second */
	double burst_bytes;  /* bytes */
	double level_bytes; /* bytes that may be sent at once; may be negative */
	apr_time_t refilled_at;
};

void pace_init(struct pace *p, double rate, double burst, apr_time_t now);
void pace_set_rate(struct pace *p, double rate, apr_time_t now);
double pace_level(struct pace *p, apr_time_t now);
void pace_charge(struct pace *p, double bytes, apr_time_t now);

/*
 * How many chunks may be on their way here at once.  More than a narrowed
 * link can carry wait in its queue, and live calls with them.
 */
struct transfer_window {
	int size_max;
	int size;
	apr_time_t
		reduced_at; /* last time that it was made smaller, 0: never */
};

void transfer_window_init(struct transfer_window *w, int most);
void transfer_window_record(struct transfer_window *w, apr_interval_time_t took,
			    apr_time_t now);

/*
 * How much of a link transfers may take while live calls are served: falls
 * by half when calls slow by more than a tenth against what they were
 * before, and climbs back step by step.
 */
struct throttle {
	double share;		  /* of the configured rate, in (0, 1] */
	double baseline_token_us; /* time of a token while calls were not slowed */
	apr_time_t stepped_at;
};

void throttle_init(struct throttle *y);
double throttle_step(struct throttle *y, int running, int token_us,
		     apr_time_t now);

#endif
