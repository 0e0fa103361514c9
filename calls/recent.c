#include "calls/recent.h"

static struct recent_slice *get_slice(struct recent_calls *r, apr_time_t now)
{
	int64_t number = now / RECENT_SLICE_US;
	struct recent_slice *s = &r->slices[number % RECENT_SLICES];

	if (s->number != number) {
		s->number = number;
		s->started = 0;
		s->finished = 0;
	}
	return s;
}

/* Records that a call was started. */
void recent_record_start(struct recent_calls *r, apr_time_t now)
{
	get_slice(r, now)->started++;
}

/* Records that a call has finished. */
void recent_record_finish(struct recent_calls *r, apr_time_t now)
{
	get_slice(r, now)->finished++;
}

/*
 * Returns how many calls were started between since and now, in whole slices
 * of the last RECENT_SLICES.
 */
int recent_count_started(const struct recent_calls *r, apr_time_t since,
			 apr_time_t now)
{
	int64_t newest = now / RECENT_SLICE_US;
	int64_t oldest = since / RECENT_SLICE_US;
	int i, started = 0;

	for (i = 0; i < RECENT_SLICES; i++) {
		if (r->slices[i].number >= oldest &&
		    r->slices[i].number <= newest)
			started += r->slices[i].started;
	}
	return started;
}

/*
 * Returns the change in the number of calls in flight between since and now:
 * calls started minus calls finished, in whole slices of the last
 * RECENT_SLICES.
 */
int recent_in_flight_change(const struct recent_calls *r, apr_time_t since,
			    apr_time_t now)
{
	int64_t newest = now / RECENT_SLICE_US;
	int64_t oldest = since / RECENT_SLICE_US;
	int i, change = 0;

	for (i = 0; i < RECENT_SLICES; i++) {
		if (r->slices[i].number >= oldest &&
		    r->slices[i].number <= newest)
			change += r->slices[i].started - r->slices[i].finished;
	}
	return change;
}
