#ifndef NET_HANGUP_H
#define NET_HANGUP_H

#include <stdint.h>

/*
 * Tells when the other end of a connection closes while nothing reads from
 * it, as libmicrohttpd does not look at suspended connections.
 */

struct hangup_watch;

struct hangup_ops {
	/* Called with the watch locked: keeps arg until hung_up is over. */
	void (*hold)(void *arg);
	/* Called without a lock; drops what hold took. */
	void (*hung_up)(void *arg);
};

struct hangup_watch *hangup_start(const struct hangup_ops *ops);
void hangup_stop(struct hangup_watch *w);
uint64_t hangup_add(struct hangup_watch *w, int fd, void *arg);
void hangup_remove(struct hangup_watch *w, uint64_t id, int fd);

#endif
