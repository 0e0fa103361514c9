#include "net/replay.h"

static struct replay_sender *sender_find(struct replay *r, uint64_t boot)
{
	struct replay_sender *oldest = &r->senders[0];
	int i;

	for (i = 0; i < REPLAY_SENDERS; i++) {
		struct replay_sender *s = &r->senders[i];

		if (s->boot == boot)
			return s;
		if (s->used < oldest->used)
			oldest = s;
	}
	oldest->boot = boot;
	oldest->highest = 0;
	oldest->window = 0;
	return oldest;
}

/*
 * Returns 0 and remembers the number when this boot has not used it, -1
 * when it was seen before or is too old to tell.
 */
int replay_check(struct replay *r, uint64_t boot, uint64_t sequence)
{
	struct replay_sender *s = sender_find(r, boot);
	uint64_t back;

	s->used = ++r->turn;
	if (sequence > s->highest) {
		uint64_t step = sequence - s->highest;

		s->window = step < REPLAY_WINDOW ? s->window << step : 0;
		s->window |= 1;
		s->highest = sequence;
		return 0;
	}
	back = s->highest - sequence;
	if (back >= REPLAY_WINDOW || s->window & (uint64_t)1 << back)
		return -1;
	s->window |= (uint64_t)1 << back;
	return 0;
}
