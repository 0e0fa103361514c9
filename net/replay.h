#ifndef NET_REPLAY_H
#define NET_REPLAY_H

#include <stdint.h>

/*
 * Remembers which sequence numbers of each sender's boot were seen: the
 * highest and a window of 64 below it.  Numbers below the window are taken
 * as seen.  Bounded: the sender heard from least recently is forgotten
 * first, and its next message is answered with a demand to say hello again.
 */

#define REPLAY_SENDERS 1024
#define REPLAY_WINDOW 64

struct replay_sender {
	uint64_t boot;
	uint64_t highest;
	uint64_t window; /* bit i: highest - i was seen */
	uint64_t used;	 /* turn of last use */
};

struct replay {
	struct replay_sender senders[REPLAY_SENDERS];
	uint64_t turn;
};

int replay_check(struct replay *r, uint64_t boot, uint64_t sequence);

#endif
