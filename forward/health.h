#ifndef FORWARD_HEALTH_H
#define FORWARD_HEALTH_H

#include <apr_time.h>

/*
 * Health of one upstream, judged by the outcomes of real requests alone: an
 * upstream whose own check passes may fail a part of them, and the reverse.
 * One that fails too large a share, or can't be reached, is ejected for a
 * while; then one request at a time tries it until a few in a row succeed.
 */

enum health_event {
	HEALTH_ANSWERED = 1, /* an answer of its own, and no failure */
	HEALTH_FAILED,	     /* a failure of its own, reset, cut off */
	HEALTH_UNRESPONSIVE  /* unreachable, or nothing came from it */
};

#define HEALTH_SAMPLE_WEIGHT 0.2 /* of a new outcome in the share */
#define HEALTH_EJECT_SHARE 0.45	 /* of failures */
#define HEALTH_SAMPLES_MIN 4	 /* outcomes before the share counts */
#define HEALTH_EJECT_MIN_US (500 * 1000)
#define HEALTH_EJECT_MAX_US (6 * 1000 * 1000)
#define HEALTH_PROBE_SUCCESSES 2 /* successes in a row that end probing */
#define HEALTH_PROBE_TIMEOUT_US (2 * 1000 * 1000) /* a probe counted as lost */
#define HEALTH_BACKOFF_RESET_US                                                \
	(10 * 1000 * 1000) /* forgets earlier ejections */

struct health {
	double failure_share;	     /* of failures, smoothed */
	int samples;		     /* outcomes since it was last ejected */
	int is_probing;		     /* back from an ejection */
	int probe_successes;	     /* in a row while probing */
	apr_time_t ejected_until;    /* 0: not ejected */
	apr_time_t probe_started_at; /* a probe is under way, 0: none */
	apr_interval_time_t next_eject_us; /* next time */
	apr_time_t last_eject_end;
};

int health_can_send(const struct health *h, apr_time_t now);
void health_record_start(struct health *h, apr_time_t now);
int health_record_outcome(struct health *h, enum health_event event,
			  apr_time_t now);

#endif
