#ifndef FORWARD_HEALTH_H
#define FORWARD_HEALTH_H

#include <apr_time.h>

/*
 * Health of one upstream, judged by the outcomes of real requests alone: an
 * upstream that passes its own health check may still fail some requests, and
 * the reverse. An upstream with too high a failure share, or that can't be
 * reached, is ejected for a while. Afterwards one request at a time probes it
 * until a few in a row succeed.
 */

enum health_event {
	HEALTH_ANSWERED = 1, /* answered by the upstream, no server error */
	HEALTH_FAILED,	     /* server error, reset or truncated answer */
	HEALTH_UNRESPONSIVE  /* unreachable, or sent nothing */
};

/* Weight of a new outcome in the smoothed failure share. */
#define HEALTH_SAMPLE_WEIGHT 0.2
/* Failure share from which an upstream is ejected. */
#define HEALTH_EJECT_SHARE 0.45
/* Outcomes required before the failure share is used. */
#define HEALTH_SAMPLES_MIN 4
#define HEALTH_EJECT_MIN_US (500 * 1000)
#define HEALTH_EJECT_MAX_US (6 * 1000 * 1000)
/* Successes in a row that end probing. */
#define HEALTH_PROBE_SUCCESSES 2
/* Time after which a probe without an outcome counts as lost. */
#define HEALTH_PROBE_TIMEOUT_US (2 * 1000 * 1000)
/* Time since the last ejection after which its length is reset. */
#define HEALTH_BACKOFF_RESET_US (10 * 1000 * 1000)

struct health {
	double failure_share;	     /* smoothed */
	int samples;		     /* outcomes since the last ejection */
	int is_probing;		     /* after an ejection */
	int probe_successes;	     /* in a row */
	apr_time_t ejected_until;    /* 0: not ejected */
	apr_time_t probe_started_at; /* of the probe in flight, 0: none */
	apr_interval_time_t next_eject_us; /* length of the next ejection */
	apr_time_t last_eject_end;
};

int health_can_send(const struct health *h, apr_time_t now);
void health_record_start(struct health *h, apr_time_t now);
int health_record_outcome(struct health *h, enum health_event event,
			  apr_time_t now);

#endif
