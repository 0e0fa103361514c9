#ifndef NET_SILENCE_H
#define NET_SILENCE_H

#include <apr_time.h>

/*
 * Records hosts that did not answer a request on a reused connection.
 * Connections opened before that request are not reused: a middlebox such as
 * a NAT may have dropped the state of all of them.
 */

#define SILENCE_HOSTS 256
#define SILENCE_HOST_SIZE 64

/* Retention of an entry: older idle connections are closed by then. */
#define SILENCE_RETENTION_US (120 * APR_USEC_PER_SEC)

/* Result of silence_max_age: only a new connection may be used. */
#define SILENCE_NEW_CONNECTION (-1)

struct silence_host {
	char host[SILENCE_HOST_SIZE]; /* address:port */
	apr_time_t submitted_at;      /* when the request was submitted */
};

struct silence {
	struct silence_host hosts[SILENCE_HOSTS];
};

void silence_record(struct silence *s, const char *url,
		    apr_time_t submitted_at);
long silence_max_age(const struct silence *s, const char *url, apr_time_t now);

#endif
