#ifndef CALLS_BREAKER_H
#define CALLS_BREAKER_H

#include <apr_time.h>

/*
 * Circuit breaker of one upstream, driven by the outcomes of attempts.  It has
 * no lock of its own; it is a member of a row in the caller's table.
 *
 * A silent connection does not show that the upstream has failed, so it only
 * leads to a probe on a new connection.  The breaker opens when the new
 * connection is silent too, or after BREAKER_FAILURES_MAX failures in a row.
 */

enum breaker_state {
	BREAKER_CLOSED = 0,
	BREAKER_SUSPECT,  /* a connection was silent: use new ones */
	BREAKER_OPEN,	  /* no attempts until probe_at */
	BREAKER_HALF_OPEN /* one probe is in flight */
};

enum breaker_event {
	BREAKER_ANSWERED = 1, /* any answer from the upstream itself */
	BREAKER_FAILED,	      /* reset, refused, or 5xx of the upstream */
	BREAKER_SILENT,	      /* no answer on a reused connection */
	BREAKER_SILENT_NEW    /* no answer on a new connection */
};

enum breaker_permission {
	BREAKER_DENY = 0,
	BREAKER_ALLOW,	    /* on any connection */
	BREAKER_ALLOW_PROBE /* as a probe, on a new connection only */
};

/* Failures in a row that open the breaker. */
#define BREAKER_FAILURES_MAX 5
/* Length of the first open period; it doubles up to the maximum. */
#define BREAKER_OPEN_MIN_US (500 * 1000)
#define BREAKER_OPEN_MAX_US (8 * 1000 * 1000)
/* Time after which a probe without an outcome counts as lost. */
#define BREAKER_PROBE_TIMEOUT_US (3 * 1000 * 1000)

struct breaker {
	enum breaker_state state;
	int consecutive_failures;
	apr_time_t probe_at;		  /* open: earliest time of a probe */
	apr_time_t probe_started_at;	  /* half open: when it was sent */
	apr_interval_time_t next_open_us; /* length of the next open period */
};

enum breaker_permission breaker_allow(struct breaker *b, apr_time_t now);
int breaker_is_open(const struct breaker *b, apr_time_t now);
void breaker_record(struct breaker *b, enum breaker_event event,
		    apr_time_t now);

#endif
