#include "forward/health.h"

#include <string.h>

/* Returns 1 when a request may go there now. */
int health_can_send(const struct health *h, apr_time_t now)
{
	if (now < h->ejected_until)
		return 0;
	return !h->is_probing || !h->probe_started_at ||
	       now - h->probe_started_at > HEALTH_PROBE_TIMEOUT_US;
}

/* Notes that a request goes there: while probing it is the only one. */
void health_record_start(struct health *h, apr_time_t now)
{
	if (h->is_probing)
		h->probe_started_at = now;
}

static void eject(struct health *h, apr_time_t now)
{
	if (!h->next_eject_us ||
	    now - h->last_eject_end > HEALTH_BACKOFF_RESET_US)
		h->next_eject_us = HEALTH_EJECT_MIN_US;
	h->ejected_until = now + h->next_eject_us;
	h->last_eject_end = h->ejected_until;
	h->next_eject_us *= 2;
	if (h->next_eject_us > HEALTH_EJECT_MAX_US)
		h->next_eject_us = HEALTH_EJECT_MAX_US;
	h->is_probing = 1;
	h->probe_started_at = 0;
	h->probe_successes = 0;
	h->samples = 0;
	h->failure_share = 0;
}

static void succeeded(struct health *h)
{
	h->probe_started_at = 0;
	if (h->is_probing && ++h->probe_successes >= HEALTH_PROBE_SUCCESSES)
		h->is_probing = 0;
}

/*
 * Takes an outcome in.  Requests that were sent before an ejection still
 * end; they change nothing.  Returns 1 when the upstream is ejected by it.
 */
int health_record_outcome(struct health *h, enum health_event event,
			  apr_time_t now)
{
	int failed = event != HEALTH_ANSWERED;

	if (now < h->ejected_until)
		return 0;
	h->samples++;
	h->failure_share += HEALTH_SAMPLE_WEIGHT * (failed - h->failure_share);
	if (!failed) {
		succeeded(h);
		return 0;
	}
	if (event != HEALTH_UNRESPONSIVE && !h->is_probing &&
	    (h->samples < HEALTH_SAMPLES_MIN ||
	     h->failure_share < HEALTH_EJECT_SHARE))
		return 0;
	eject(h, now);
	return 1;
}
