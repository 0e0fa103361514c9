#ifndef FORWARD_CRASH_WATCH_H
#define FORWARD_CRASH_WATCH_H

#include <apr_time.h>
#include <stdint.h>

#include "base/settings.h"
#include "calls/crash.h"

/*
 * Detection of upstreams that died, and of the requests that were in flight
 * there. An attempt whose connection broke proves nothing by itself: a sound
 * upstream resets connections too. It counts once the end of the process is
 * proved: nobody listens at its address, or a later process is there. The
 * functions are pure; the caller serializes them.
 */

#define CRASH_WATCH_ATTEMPTS_MAX 256
#define CRASH_WATCH_DEATHS_MAX 64
#define CRASH_WATCH_CHECKS_MAX 32
/* Checks of an upstream's port after an attempt broke. */
#define CRASH_WATCH_TRIES 3
/* Checks at a time, each of which may hold a worker for its time limit. */
#define CRASH_WATCH_RUNNING_MAX 2

/* Attempts that broke this long before a proof belong to the death. */
#define CRASH_WATCH_BEFORE_US (2 * APR_USEC_PER_SEC)
/* Same after a proof. */
#define CRASH_WATCH_AFTER_US APR_USEC_PER_SEC
/* Bytes that are on the way at a death arrive within this time. */
#define CRASH_WATCH_CONTACT_US (50 * 1000)

/* One start of an upstream's process. */
struct incarnation {
	char upstream[SETTINGS_NAME_SIZE]; /* id, "": none */
	char address[SETTINGS_ADDRESS_SIZE];
	int64_t started_ms;
};

/* An attempt that has ended and may belong to a death. */
struct ended_attempt {
	struct incarnation at; /* upstream "": free */
	struct crash_run run;
};

struct ended_ring {
	struct ended_attempt *items; /* CRASH_WATCH_ATTEMPTS_MAX */
	unsigned int next;
};

struct proved_death {
	struct incarnation at;
	apr_time_t proved_at;
};

struct port_check {
	struct incarnation at; /* upstream "": free */
	apr_time_t next_at;
	int tries_left;
	int is_running;
};

struct crash_watch {
	struct ended_ring broken;
	/*
	 * Answers that look complete although nothing but their connection
	 * marked the end, which may have been the upstream's.
	 */
	struct ended_ring unmarked;
	struct proved_death deaths[CRASH_WATCH_DEATHS_MAX];
	unsigned int next_death;
	struct port_check checks[CRASH_WATCH_CHECKS_MAX];
	int checks_used;
	apr_time_t last_ended_at; /* of an attempt in a ring, 0: none */
};

/* Returns when the last byte of the process arrived, 0: never. */
typedef apr_time_t (*crash_watch_contact)(void *arg,
					  const struct incarnation *at);

void crash_watch_init(struct crash_watch *w);
void crash_watch_destroy(struct crash_watch *w);
int crash_watch_is_idle(const struct crash_watch *w, apr_time_t now);
/* Also for connections that closed before the answer was complete. */
void crash_watch_add_broken(struct crash_watch *w,
			    const struct ended_attempt *a);
void crash_watch_add_unmarked(struct crash_watch *w,
			      const struct ended_attempt *a);
void crash_watch_prove(struct crash_watch *w, const struct incarnation *at,
		       apr_time_t now);
int crash_watch_take_death(struct crash_watch *w, apr_time_t now,
			   struct proved_death *out, struct crash_run *runs,
			   int max);
int crash_watch_take_sound(struct crash_watch *w,
			   crash_watch_contact get_contact, void *arg,
			   apr_time_t now, struct crash_run *out, int max);
int crash_watch_list_unproved(const struct crash_watch *w, apr_time_t now,
			      struct incarnation *out, int max);
int crash_watch_next_check(struct crash_watch *w, apr_time_t now);
void crash_watch_end_check(struct crash_watch *w, int check, int is_refused,
			   apr_time_t now);

#endif
