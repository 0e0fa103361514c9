#include "net/intake.h"

/*
 * Shares of the machine's memory for bodies and for connections. A machine with
 * 256 MB has to hold thousands of open streams.
 */
#define BODY_MEMORY_SHARE 0.25
#define CONNECTION_MEMORY_SHARE 0.5
/* Share of the memory for bodies that only small ones may use. */
#define RESERVED_SHARE 0.25

/* Part of the memory left for answers that one of them may take. */
#define STREAM_PARTS 64

/* Memory of a connection: the library's pool, its call and buffers. */
#define CONNECTION_BYTES (40 * 1024)
#define CONNECTIONS_MAX 16384
#define CONNECTIONS_MIN 64

/* Descriptors for files, upstreams and peers: callers get half of the rest. */
#define DESCRIPTORS_RESERVED 200
#define DESCRIPTOR_SHARE 0.5

/* Times without progress after which a connection is closed. */
#define IDLE_MAX_US (120 * APR_USEC_PER_SEC)
#define HEAD_MAX_US (10 * APR_USEC_PER_SEC)
#define BODY_SILENCE_MAX_US (5 * APR_USEC_PER_SEC)
#define ANSWER_SILENCE_MAX_US (15 * APR_USEC_PER_SEC)

/*
 * Least rate of a body or an answer after a while: half of that of a link with
 * 64 kbit/s.
 */
#define RATE_MIN_BYTES_PER_S 4000
#define RATE_GRACE_US (5 * APR_USEC_PER_SEC)

/* A body that has been read for less may not be evicted for another one. */
#define EVICT_AGE_MIN_US (1 * APR_USEC_PER_SEC)

/*
 * Computes the bounds for a machine with that much memory and a process with
 * that many descriptors.
 */
void intake_set_bounds(struct intake_bounds *b, long long memory_bytes,
		       long descriptors)
{
	double by_memory = CONNECTION_MEMORY_SHARE * (double)memory_bytes /
			   CONNECTION_BYTES;
	double by_descriptors =
		DESCRIPTOR_SHARE * (double)(descriptors - DESCRIPTORS_RESERVED);
	double n = by_memory < by_descriptors ? by_memory : by_descriptors;

	b->body_bytes = (size_t)(BODY_MEMORY_SHARE * (double)memory_bytes);
	b->reserved_bytes = (size_t)(RESERVED_SHARE * (double)b->body_bytes);
	b->connections = n > CONNECTIONS_MAX   ? CONNECTIONS_MAX
			 : n < CONNECTIONS_MIN ? CONNECTIONS_MIN
					       : (int)n;
}

/*
 * Returns 1 if a body that will have `size` bytes may take `growth` more while
 * all bodies use `used`.
 */
int intake_has_room(const struct intake_bounds *b, size_t used, size_t size,
		    size_t growth)
{
	size_t limit = size <= INTAKE_SMALL_BYTES
			       ? b->body_bytes
			       : b->body_bytes - b->reserved_bytes;

	return used + growth <= limit;
}

/*
 * Returns how much of an answer may lie unsent while all bodies and answers use
 * `used`.  Answers are to leave half of the memory for bodies: each gets a small
 * part of what is left of the first half, so that their sum nears it without a
 * count of those who read slowly.
 */
size_t intake_stream_limit(const struct intake_bounds *b, size_t used)
{
	size_t half = b->body_bytes / 2;
	size_t part = used < half ? (half - used) / STREAM_PARTS : 0;

	return part > INTAKE_STREAM_MAX_BYTES	? INTAKE_STREAM_MAX_BYTES
	       : part < INTAKE_STREAM_MIN_BYTES ? INTAKE_STREAM_MIN_BYTES
						: part;
}

/* Returns the bytes a second since the state began. */
double intake_rate(const struct intake_progress *p, apr_time_t now)
{
	return now > p->since ? (double)p->bytes * APR_USEC_PER_SEC /
					(double)(now - p->since)
			      : (double)p->bytes * APR_USEC_PER_SEC;
}

static int is_too_slow(const struct intake_progress *p, apr_time_t now)
{
	return now - p->since > RATE_GRACE_US &&
	       intake_rate(p, now) < RATE_MIN_BYTES_PER_S;
}

/* Returns 1 when a connection is to be closed as it gets no further. */
int intake_is_stalled(const struct intake_progress *p, apr_time_t now)
{
	apr_interval_time_t silence = now - p->progress_at;

	switch (p->state) {
	case INTAKE_IDLE:
		return silence > IDLE_MAX_US;
	case INTAKE_HEAD:
		return now - p->since > HEAD_MAX_US;
	case INTAKE_BODY:
		return silence > BODY_SILENCE_MAX_US || is_too_slow(p, now);
	case INTAKE_ANSWER:
		/* The socket's buffers hide how far a caller has read. */
		return silence >
		       ANSWER_SILENCE_MAX_US + (apr_interval_time_t)p->bytes *
						       APR_USEC_PER_SEC /
						       RATE_MIN_BYTES_PER_S;
	case INTAKE_SERVED:
		break;
	}
	return 0;
}

/* Returns 1 for a body that may be given up for one that progresses. */
int intake_may_evict(const struct intake_progress *p, apr_time_t now)
{
	return p->state == INTAKE_BODY && now - p->since > EVICT_AGE_MIN_US;
}
