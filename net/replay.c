#include "net/replay.h"

static struct replay_sender *find_or_add_sender(struct replay *r, uint64_t boot)
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
	oldest->boot = boot;
	oldest->highest = 0;
	oldest->window = 0;
	return oldest;
}

/*
 * Returns 0 and records the number when it is new for this boot, -1 when it
 * was received before or lies below the window.
 */
int replay_check(struct replay *r, uint64_t boot, uint64_t sequence)
{
	struct replay_sender *s = find_or_add_sender(r, boot);
	uint64_t distance;

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
