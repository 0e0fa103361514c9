#ifndef NET_REPLAY_H
#define NET_REPLAY_H

#include <stdint.h>

/*
 * Records the sequence numbers received from each sender's boot: the highest
 * one and a window of 64 ending there.  Numbers below the window are rejected
 * as replays.  The table is bounded: the least recently used sender is evicted
 * first.  The floor is the highest number of any evicted sender.  A sender that
 * is not in the table must exceed it, as it may be one that was evicted; the
 * server tells it the floor.
 */

#define REPLAY_SENDERS 1024
#define REPLAY_WINDOW 64

struct replay_sender {
	uint64_t boot;
	uint64_t highest;
	uint64_t window;    /* bit i: highest - i was received */
	uint64_t last_used; /* value of use_count at the last use */
};

struct replay {
	struct replay_sender senders[REPLAY_SENDERS];
	uint64_t use_count;
	uint64_t floor;
};

int replay_check(struct replay *r, uint64_t boot, uint64_t sequence);

#endif
