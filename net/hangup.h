#ifndef NET_HANGUP_H
#define NET_HANGUP_H

#include <stdint.h>

/*
 * Detects that the peer has closed a connection that nobody is reading:
 * libmicrohttpd does not poll suspended connections.
 */

struct hangup_watch;

struct hangup_ops {
	/* Takes a reference to arg for hung_up.  Called with the watch locked. */
	void (*ref)(void *arg);
	/* Called without a lock; drops the reference of ref. */
	void (*hung_up)(void *arg);
};

struct hangup_watch *hangup_start(const struct hangup_ops *ops);
void hangup_stop(struct hangup_watch *w);
uint64_t hangup_add(struct hangup_watch *w, int fd, void *arg);
void hangup_remove(struct hangup_watch *w, uint64_t id, int fd);

#endif
