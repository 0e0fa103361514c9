#include "calls/breaker.h"

/*
 * Says whether an attempt may go to the upstream now.  Half open and
 * doubted breakers let one attempt out as the probe, on a new connection;
 * a doubted one lets the others pass as well, for the upstream itself has
 * given no sign of failure.
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

/* Returns 1 while the upstream should not be chosen.  Changes nothing. */
int breaker_is_open(const struct breaker *b, apr_time_t now)
{
	if (b->state == BREAKER_OPEN)
		return now < b->probe_at;
	return b->state == BREAKER_HALF_OPEN &&
	       now - b->probe_started_at < BREAKER_PROBE_TIMEOUT_US;
}

static void breaker_trip(struct breaker *b, apr_time_t now)
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

/* Takes the outcome of an attempt into account. */
void breaker_record(struct breaker *b, enum breaker_event event, apr_time_t now)
{
	switch (event) {
	case BREAKER_ANSWERED:
		/* Answers to calls from before it opened prove nothing. */
		if (b->state == BREAKER_OPEN)
			return;
		*b = (struct breaker){ .state = BREAKER_CLOSED };
		return;
	case BREAKER_FAILED:
		if (b->state == BREAKER_OPEN)
			return;
		if (b->state == BREAKER_HALF_OPEN ||
		    ++b->consecutive_failures >= BREAKER_FAILURES_MAX)
			breaker_trip(b, now);
		return;
	case BREAKER_SILENT:
		if (b->state == BREAKER_CLOSED)
			b->state = BREAKER_SUSPECT;
		return;
	case BREAKER_SILENT_NEW:
		if (b->state != BREAKER_OPEN)
			breaker_trip(b, now);
		return;
	}
}
