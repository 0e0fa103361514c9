#ifndef BASE_PAUSE_H
#define BASE_PAUSE_H

#include <apr_time.h>

/*
 * Notices that the process stood still: it was stopped, or its machine was.  What
 * it reads from a socket afterwards may have arrived at any time of the pause.
 */

struct pause_watch {
	apr_time_t last_step_at;
	apr_time_t began_at; /* last step before the last pause, 0: none yet */
	apr_time_t ended_at;
};

void pause_record_step(struct pause_watch *p, apr_time_t now);
apr_time_t pause_find_earliest(const struct pause_watch *p,
			       apr_time_t started_at, apr_time_t now);

#endif
