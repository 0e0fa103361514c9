#ifndef NET_INTAKE_H
#define NET_INTAKE_H

#include <apr_time.h>
#include <stddef.h>

/*
 * Bounds on what callers may hold of this process: bodies of requests that are
 * being read or served, and connections. The functions are pure; httpd-guard.c
 * applies them.
 */

struct intake_bounds {
	size_t body_bytes;     /* of all bodies together */
	size_t reserved_bytes; /* of these, for small bodies only */
	int connections;
};

/* Unsent bytes of an answer from which on its sender has to wait. */
#define INTAKE_STREAM_MAX_BYTES (256 * 1024)
#define INTAKE_STREAM_MIN_BYTES (8 * 1024)

/* A body up to this size counts as small. */
#define INTAKE_SMALL_BYTES (16 * 1024)

/* What a connection is doing, which decides how long it may take. */
enum intake_state {
	INTAKE_IDLE = 0, /* no request line was read */
	INTAKE_HEAD,	 /* headers are being read */
	INTAKE_BODY,	 /* its body is being read */
	INTAKE_SERVED,	 /* the request is under way; it has its own limits */
	INTAKE_ANSWER	 /* the caller is to read an answer */
};

struct intake_progress {
	enum intake_state state;
	apr_time_t since;	/* begin of the state */
	apr_time_t progress_at; /* last byte in this state, or its begin */
	size_t bytes;		/* received, or to be read by the caller */
};

void intake_set_bounds(struct intake_bounds *b, long long memory_bytes,
		       long descriptors);
int intake_has_room(const struct intake_bounds *b, size_t used, size_t size,
		    size_t growth);
size_t intake_stream_limit(const struct intake_bounds *b, size_t used);
int intake_is_stalled(const struct intake_progress *p, apr_time_t now);
double intake_rate(const struct intake_progress *p, apr_time_t now);
int intake_may_evict(const struct intake_progress *p, apr_time_t now);

#endif
