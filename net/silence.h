#ifndef NET_SILENCE_H
#define NET_SILENCE_H

#include <apr_time.h>

/*
 * Remembers which hosts left a request on a reused connection without an
 * answer.  Connections opened before that request are then not used again:
 * something between the two ends may have lost track of all of them.
 */

#define SILENCE_HOSTS 256
#define SILENCE_HOST_SIZE 64
#define SILENCE_KEEP_US                                                        \
	(120 * APR_USEC_PER_SEC) /* idle ones are closed by then */

#define SILENCE_FRESH (-1) /* only a new connection will do */

struct silence_host {
	char host[SILENCE_HOST_SIZE]; /* address:port */
	apr_time_t since;	      /* when the request began */
};

struct silence {
	struct silence_host hosts[SILENCE_HOSTS];
};

void silence_note(struct silence *s, const char *url, apr_time_t began);
long silence_max_age(const struct silence *s, const char *url, apr_time_t now);

#endif
