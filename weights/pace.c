#include "weights/pace.h"

#define YIELD_STEP_US (500 * 1000)
#define YIELD_SLOWER 1.10 /* ratio of token times that halves the share */
#define YIELD_SHARE_MIN 0.125
#define YIELD_CLIMB 0.125	   /* of the whole share, a step */
#define YIELD_BASELINE_WEIGHT 0.02 /* of a new sample in the baseline */

/*
 * A chunk's bytes arrive within 0.1 s where three share a link of the slowest
 * kind, which three are enough to fill.  More only make its queue longer, and
 * much longer when the link narrows.
 */
#define WINDOW_QUICK_US (90 * 1000)
#define WINDOW_SLOW_US (150 * 1000)

/* Prepares a full bucket. */
void pace_init(struct pace *p, double rate, double burst, apr_time_t now)
{
	p->rate_bytes_s = rate;
	p->burst_bytes = burst;
	p->level_bytes = burst;
	p->refilled_at = now;
}

/* Returns the bytes that may be sent now; not above 0 means wait. */
double pace_level(struct pace *p, apr_time_t now)
{
	if (now > p->refilled_at) {
		p->level_bytes +=
			p->rate_bytes_s * (double)(now - p->refilled_at) / 1e6;
		if (p->level_bytes > p->burst_bytes)
			p->level_bytes = p->burst_bytes;
		p->refilled_at = now;
	}
	return p->level_bytes;
}

/* Changes the rate from now on. */
void pace_set_rate(struct pace *p, double rate, apr_time_t now)
{
	pace_level(p, now);
	p->rate_bytes_s = rate;
}

/* Charges a transfer; negative bytes give back what was not used. */
void pace_charge(struct pace *p, double bytes, apr_time_t now)
{
	pace_level(p, now);
	p->level_bytes -= bytes;
	if (p->level_bytes > p->burst_bytes)
		p->level_bytes = p->burst_bytes;
}

/* Prepares a window that is wide open. */
void transfer_window_init(struct transfer_window *w, int most)
{
	w->size_max = most;
	w->size = most;
	w->reduced_at = 0;
}

/*
 * Takes in how long the bytes of a chunk were arriving.  Chunks that were
 * under way when the window was made smaller don't make it smaller again.
 */
void transfer_window_record(struct transfer_window *w, apr_interval_time_t took,
			    apr_time_t now)
{
	if (took > WINDOW_SLOW_US) {
		if (w->reduced_at && now - took <= w->reduced_at)
			return;
		w->size = w->size > 1 ? w->size / 2 : 1;
		w->reduced_at = now;
	} else if (took < WINDOW_QUICK_US && w->size < w->size_max) {
		w->size++;
	}
}

/* Prepares for the whole share. */
void throttle_init(struct throttle *y)
{
	y->share = 1;
	y->baseline_token_us = 0;
	y->stepped_at = 0;
}

static double baseline_follow(double baseline, double sample)
{
	if (baseline <= 0 || sample < baseline)
		return sample;
	return baseline + YIELD_BASELINE_WEIGHT * (sample - baseline);
}

/*
 * Takes in what the gate reports of live calls and returns the share of the
 * link that transfers may use now.
 */
double throttle_step(struct throttle *y, int running, int token_us,
		     apr_time_t now)
{
	if (now - y->stepped_at < YIELD_STEP_US)
		return y->share;
	y->stepped_at = now;
	if (running && token_us && y->baseline_token_us > 0 &&
	    token_us > YIELD_SLOWER * y->baseline_token_us) {
		y->share /= 2;
		if (y->share < YIELD_SHARE_MIN)
			y->share = YIELD_SHARE_MIN;
	} else {
		y->share += YIELD_CLIMB;
		if (y->share > 1)
			y->share = 1;
	}
	if (running && token_us)
		y->baseline_token_us =
			baseline_follow(y->baseline_token_us, token_us);
	return y->share;
}
