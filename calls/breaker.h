#ifndef CALLS_BREAKER_H
#define CALLS_BREAKER_H

#include <apr_time.h>

/*
 * Circuit breaker of one upstream, fed by the outcomes of attempts.  Not
 * locked: it lives in a row of the caller's table.
 *
 * A connection that went silent says nothing about the upstream, so it only
 * asks for a probe on a fresh connection; the breaker opens when that is
 * silent too, or after failures on their own account.
 */

enum breaker_state {
	BREAKER_CLOSED = 0,
	BREAKER_SUSPECT,  /* a connection was silent: probe on a fresh one */
	BREAKER_OPEN,	  /* no calls until probe_at */
	BREAKER_HALF_OPEN /* one probe is under way */
};

enum breaker_event {
	BREAKER_ANSWERED = 1, /* any answer from the upstream itself */
	BREAKER_FAILED,	      /* reset, refused, 5xx of the upstream */
	BREAKER_SILENT,	      /* no answer on a connection used before */
	BREAKER_SILENT_NEW    /* no answer on a connection just made */
};

enum breaker_permission {
	BREAKER_DENY = 0,   /* not now */
	BREAKER_ALLOW,	    /* any connection will do */
	BREAKER_ALLOW_PROBE /* only on a new connection: it is the probe */
};

#define BREAKER_FAILURES_MAX 5			   /* in a row that open it */
#define BREAKER_OPEN_MIN_US (500 * 1000)	   /* first time open */
#define BREAKER_OPEN_MAX_US (8 * 1000 * 1000)	   /* after doublings */
#define BREAKER_PROBE_TIMEOUT_US (3 * 1000 * 1000) /* probe counted as lost */

struct breaker {
	enum breaker_state state;
	int consecutive_failures;	  /* in a row */
	apr_time_t probe_at;		  /* open: when a probe may go */
	apr_time_t probe_started_at;	  /* half open: when it went */
	apr_interval_time_t next_open_us; /* next time */
};

enum breaker_permission breaker_allow(struct breaker *b, apr_time_t now);
int breaker_is_open(const struct breaker *b, apr_time_t now);
void breaker_record(struct breaker *b, enum breaker_event event,
		    apr_time_t now);

#endif
