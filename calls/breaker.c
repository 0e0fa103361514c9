#include "calls/breaker.h"

/*
 * Decides whether an attempt may be sent to the upstream now.  After the open
 * period one attempt is allowed as the probe, on a new connection, and the
 * breaker is half open until its outcome is recorded or the probe times out.
 * A suspect breaker allows every attempt, but on new connections only, since
 * the upstream itself has shown no failure.
 */
enum breaker_permission breaker_allow(struct breaker *b, apr_time_t now)
{
	switch (b->state) {
	case BREAKER_CLOSED:
		return BREAKER_ALLOW;
	case BREAKER_SUSPECT:
		return BREAKER_ALLOW_PROBE;
	case BREAKER_OPEN:
		if (now < b->probe_at)
			return BREAKER_DENY;
		break;
	case BREAKER_HALF_OPEN:
		if (now - b->probe_started_at < BREAKER_PROBE_TIMEOUT_US)
			return BREAKER_DENY;
		break;
	}
	b->state = BREAKER_HALF_OPEN;
	b->probe_started_at = now;
	return BREAKER_ALLOW_PROBE;
}

/*
 * Returns 1 while the upstream should not be chosen.  Unlike breaker_allow it
 * does not change the state.
 */
int breaker_is_open(const struct breaker *b, apr_time_t now)
{
	if (b->state == BREAKER_OPEN)
		return now < b->probe_at;
	return b->state == BREAKER_HALF_OPEN &&
	       now - b->probe_started_at < BREAKER_PROBE_TIMEOUT_US;
}

static void trip_breaker(struct breaker *b, apr_time_t now)
{
	if (!b->next_open_us)
		b->next_open_us = BREAKER_OPEN_MIN_US;
	b->state = BREAKER_OPEN;
	b->probe_at = now + b->next_open_us;
	b->consecutive_failures = 0;
	b->next_open_us *= 2;
	if (b->next_open_us > BREAKER_OPEN_MAX_US)
		b->next_open_us = BREAKER_OPEN_MAX_US;
}

/* Records the outcome of an attempt. */
void breaker_record(struct breaker *b, enum breaker_event event, apr_time_t now)
{
	switch (event) {
	case BREAKER_ANSWERED:
		/*
		 * An answer to a request from before the breaker opened
		 * does not show that the upstream has recovered.
		 */
		if (b->state == BREAKER_OPEN)
			return;
		*b = (struct breaker){ .state = BREAKER_CLOSED };
		return;
	case BREAKER_FAILED:
		if (b->state == BREAKER_OPEN)
			return;
		if (b->state == BREAKER_HALF_OPEN ||
		    ++b->consecutive_failures >= BREAKER_FAILURES_MAX)
			trip_breaker(b, now);
		return;
	case BREAKER_SILENT:
		if (b->state == BREAKER_CLOSED)
			b->state = BREAKER_SUSPECT;
		return;
	case BREAKER_SILENT_NEW:
		if (b->state != BREAKER_OPEN)
			trip_breaker(b, now);
		return;
	}
}
