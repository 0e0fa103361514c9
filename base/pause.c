#include "base/pause.h"

/* Steps that are further apart show a pause; they are 50 ms apart otherwise. */
#define PAUSE_MIN_US (250 * 1000)

static int is_pause(const struct pause_watch *p, apr_time_t now)
{
	return p->last_step_at && now - p->last_step_at >= PAUSE_MIN_US;
}

/* To be called regularly while the process runs. */
void pause_record_step(struct pause_watch *p, apr_time_t now)
{
	if (is_pause(p, now)) {
		p->began_at = p->last_step_at;
		p->ended_at = now;
	}
	p->last_step_at = now;
}

/*
 * Returns the earliest time at which an answer may have arrived that is read now
 * and was waited for since started_at: before a pause in between, else now.
 */
apr_time_t pause_find_earliest(const struct pause_watch *p,
			       apr_time_t started_at, apr_time_t now)
{
	if (p->began_at && started_at < p->ended_at)
		return p->began_at;
	return is_pause(p, now) ? p->last_step_at : now;
}
