#include "calls/recent.h"

static struct recent_slice *slice_of(struct recent_calls *r, apr_time_t now)
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

/* Notes that a call was handed over. */
void recent_record_start(struct recent_calls *r, apr_time_t now)
{
	slice_of(r, now)->started++;
}

/* Notes that a call is over. */
void recent_record_finish(struct recent_calls *r, apr_time_t now)
{
	slice_of(r, now)->finished++;
}

/* Returns how many calls were begun since a time. */
int recent_count_started(const struct recent_calls *r, apr_time_t since,
			 apr_time_t now)
{
	int64_t newest = now / RECENT_SLICE_US;
	int64_t oldest = since / RECENT_SLICE_US;
	int i, begun = 0;

	for (i = 0; i < RECENT_SLICES; i++) {
		if (r->slices[i].number >= oldest &&
		    r->slices[i].number <= newest)
			begun += r->slices[i].started;
	}
	return begun;
}

/* Returns by how many the calls under way have grown since a time. */
int recent_in_flight_change(const struct recent_calls *r, apr_time_t since,
			    apr_time_t now)
{
	int64_t newest = now / RECENT_SLICE_US;
	int64_t oldest = since / RECENT_SLICE_US;
	int i, more = 0;

	for (i = 0; i < RECENT_SLICES; i++) {
		if (r->slices[i].number >= oldest &&
		    r->slices[i].number <= newest)
			more += r->slices[i].started - r->slices[i].finished;
	}
	return more;
}
