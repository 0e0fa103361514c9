#include "net/replay.h"

#include <stddef.h>

/*
 * Adds a sender in place of the least recently used one.  What it may have sent
 * before, up to the floor, counts as received.
 */
static struct replay_sender *
add_sender(struct replay *r, struct replay_sender *oldest, uint64_t boot)
{
	uint64_t evicted = oldest->highest;

	oldest->boot = boot;
	oldest->highest = r->floor;
	oldest->window = r->floor ? UINT64_MAX : 0;
	if (evicted > r->floor)
		r->floor = evicted;
	return oldest;
}

/* Returns NULL for a sender that is unknown and not above the floor. */
static struct replay_sender *find_or_add_sender(struct replay *r, uint64_t boot,
						uint64_t sequence)
{
	struct replay_sender *oldest = &r->senders[0];
	int i;

	for (i = 0; i < REPLAY_SENDERS; i++) {
		struct replay_sender *s = &r->senders[i];

		if (s->boot == boot)
			return s;
		if (s->last_used < oldest->last_used)
			oldest = s;
	}
	return sequence > r->floor ? add_sender(r, oldest, boot) : NULL;
}

/*
 * Returns 0 and records the number when it is new for this boot, -1 when it
 * was received before, lies below the window, or may have been received from
 * this sender before it was evicted.
 */
int replay_check(struct replay *r, uint64_t boot, uint64_t sequence)
{
	struct replay_sender *s = find_or_add_sender(r, boot, sequence);
	uint64_t distance;

	if (!s)
		return -1;
	s->last_used = ++r->use_count;
	if (sequence > s->highest) {
		uint64_t step = sequence - s->highest;

		s->window = step < REPLAY_WINDOW ? s->window << step : 0;
		s->window |= 1;
		s->highest = sequence;
		return 0;
	}
	distance = s->highest - sequence;
	if (distance >= REPLAY_WINDOW || s->window & (uint64_t)1 << distance)
		return -1;
	s->window |= (uint64_t)1 << distance;
	return 0;
}
