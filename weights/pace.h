#ifndef WEIGHTS_PACE_H
#define WEIGHTS_PACE_H

#include <apr_time.h>

/*
 * Token bucket that limits the bytes of transfers on a link. The bucket fills
 * at the rate up to a burst. A transfer may start while the level is above 0
 * and is charged in full, so over any time the bytes stay within rate * time +
 * burst + one transfer.
 */
struct pace {
	double rate_bytes_s;
	double burst_bytes;
	double level_bytes; /* that may be sent at once; may be negative */
	apr_time_t refilled_at;
};

void pace_init(struct pace *p, double rate, double burst, apr_time_t now);
void pace_set_rate(struct pace *p, double rate, apr_time_t now);
double pace_level(struct pace *p, apr_time_t now);
void pace_charge(struct pace *p, double bytes, apr_time_t now);

/*
 * Limit on the chunks in flight to this instance. Chunks beyond the capacity
 * of a congested link wait in its queue and delay live calls.
 */
struct transfer_window {
	int size_max;
	int size;
	apr_time_t
		reduced_at; /* time at which size was last reduced, 0: never */
};

void transfer_window_init(struct transfer_window *w, int size_max);
void transfer_window_record(struct transfer_window *w, apr_interval_time_t took,
			    apr_time_t now);

/*
 * Share of a link that transfers may use while live calls are served. The
 * share is halved when the token time of calls exceeds the baseline by more
 * than a tenth, and grows back in steps.
 */
struct throttle {
	double share;		  /* share of the configured rate, in (0, 1] */
	double baseline_token_us; /* token time while calls were not slowed */
	apr_time_t stepped_at;
};

void throttle_init(struct throttle *t);
double throttle_step(struct throttle *t, int running, int token_us,
		     apr_time_t now);

#endif
