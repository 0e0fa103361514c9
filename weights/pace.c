#include "weights/pace.h"

#define THROTTLE_INTERVAL_US (500 * 1000)
/* Ratio of the token time to the baseline above which the share is halved. */
#define THROTTLE_SLOWDOWN_RATIO 1.10
#define THROTTLE_SHARE_MIN 0.125
/* Increase of the share in each step without a slowdown. */
#define THROTTLE_SHARE_INCREASE 0.125
/* Weight of a new sample that is above the baseline. */
#define THROTTLE_BASELINE_WEIGHT 0.02

/*
 * The bytes of a chunk arrive within 0.1 s when three transfers share a link
 * of the slowest kind, and three are enough to fill it. More transfers only
 * lengthen the queue of the link, and do so the more when its rate drops.
 */
#define WINDOW_FAST_US (90 * 1000)
#define WINDOW_SLOW_US (150 * 1000)

/* Initializes a full bucket. */
void pace_init(struct pace *p, double rate, double burst, apr_time_t now)
{
	p->rate_bytes_s = rate;
	p->burst_bytes = burst;
	p->level_bytes = burst;
	p->refilled_at = now;
}

/* Returns the bytes that may be sent now. A value of 0 or less means wait. */
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

void pace_set_rate(struct pace *p, double rate, apr_time_t now)
{
	pace_level(p, now);
	p->rate_bytes_s = rate;
}

/* Charges the bytes of a transfer. Negative bytes return an unused charge. */
void pace_charge(struct pace *p, double bytes, apr_time_t now)
{
	pace_level(p, now);
	p->level_bytes -= bytes;
	if (p->level_bytes > p->burst_bytes)
		p->level_bytes = p->burst_bytes;
}

/* Initializes a window at its maximum size. */
void transfer_window_init(struct transfer_window *w, int size_max)
{
	w->size_max = size_max;
	w->size = size_max;
	w->reduced_at = 0;
}

/*
 * Records how long the bytes of a chunk took to arrive. Chunks that were
 * already in flight when the window was reduced do not reduce it again.
 */
void transfer_window_record(struct transfer_window *w, apr_interval_time_t took,
			    apr_time_t now)
{
	if (took > WINDOW_SLOW_US) {
		if (w->reduced_at && now - took <= w->reduced_at)
			return;
		w->size = w->size > 1 ? w->size / 2 : 1;
		w->reduced_at = now;
	} else if (took < WINDOW_FAST_US && w->size < w->size_max) {
		w->size++;
	}
}

/* Initializes the share to 1. */
void throttle_init(struct throttle *t)
{
	t->share = 1;
	t->baseline_token_us = 0;
	t->stepped_at = 0;
}

static double update_baseline(double baseline, double sample)
{
	if (baseline <= 0 || sample < baseline)
		return sample;
	return baseline + THROTTLE_BASELINE_WEIGHT * (sample - baseline);
}

/*
 * Updates the share from the gate's report: the number of running calls and
 * the token time in us. Returns the share of the link that transfers may use
 * now. Calls within THROTTLE_INTERVAL_US of the last update leave the share
 * unchanged.
 */
double throttle_step(struct throttle *t, int running, int token_us,
		     apr_time_t now)
{
	if (now - t->stepped_at < THROTTLE_INTERVAL_US)
		return t->share;
	t->stepped_at = now;
	if (running && token_us && t->baseline_token_us > 0 &&
	    token_us > THROTTLE_SLOWDOWN_RATIO * t->baseline_token_us) {
		t->share /= 2;
		if (t->share < THROTTLE_SHARE_MIN)
			t->share = THROTTLE_SHARE_MIN;
	} else {
		t->share += THROTTLE_SHARE_INCREASE;
		if (t->share > 1)
			t->share = 1;
	}
	if (running && token_us)
		t->baseline_token_us =
			update_baseline(t->baseline_token_us, token_us);
	return t->share;
}
