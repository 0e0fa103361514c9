#include "forward/health.h"

#include <string.h>

/* Returns 1 when a request may be sent to the upstream now. */
int health_can_send(const struct health *h, apr_time_t now)
{
	if (now < h->ejected_until)
		return 0;
	return !h->is_probing || !h->probe_started_at ||
	       now - h->probe_started_at > HEALTH_PROBE_TIMEOUT_US;
}

/* Records that a request is sent; while probing it is the only one. */
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

static void record_success(struct health *h)
{
	h->probe_started_at = 0;
	if (h->is_probing && ++h->probe_successes >= HEALTH_PROBE_SUCCESSES)
		h->is_probing = 0;
}

/*
 * Records an outcome. Outcomes that arrive during an ejection belong to
 * requests sent before it and are ignored. Returns 1 when the outcome ejects
 * the upstream.
 */
int health_record_outcome(struct health *h, enum health_event event,
			  apr_time_t now)
{
	int is_failure = event != HEALTH_ANSWERED;

	if (now < h->ejected_until)
		return 0;
	h->samples++;
	h->failure_share +=
		HEALTH_SAMPLE_WEIGHT * (is_failure - h->failure_share);
	if (!is_failure) {
		record_success(h);
		return 0;
	}
	if (event != HEALTH_UNRESPONSIVE && !h->is_probing &&
	    (h->samples < HEALTH_SAMPLES_MIN ||
	     h->failure_share < HEALTH_EJECT_SHARE))
		return 0;
	eject(h, now);
	return 1;
}
