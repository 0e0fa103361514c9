#ifndef FORWARD_ADMIT_H
#define FORWARD_ADMIT_H

#include <apr_time.h>

#include "base/random.h"

/*
 * Who is refused when engines can't keep up.  Pattern: sustained overload of
 * a service with an objective for the first event.  A request that can still
 * be answered in time is taken while the wait allows it; one that came back
 * after a refusal and is late already is taken only where slots are free, so
 * that it doesn't make others late.  All are decided at once.
 */

struct admit_input {
	int service_objective_ms; /* the strictest among the routes of the service */
	int route_objective_ms; /* of the request's route */
	int elapsed_ms;		/* since the caller first asked */
	double backlog_us;	/* estimated wait for those before it */
	double first_event_us;	/* estimated time for itself, when free */
	double typical_first_event_us; /* the same of a usual request */
	int load;		       /* requests at the upstream chosen */
	int slots;
};

enum admit_class {
	ADMIT_REFUSED = 0,
	ADMIT_IN_TIME, /* expected to begin within its objective */
	ADMIT_LATE     /* late whatever is done, takes a free slot */
};

enum admit_class admit_decide(const struct admit_input *in);
const char *admit_class_name(enum admit_class c);
#define ADMIT_WAIT_UNKNOWN_US (-1.0) /* no upstream can serve at all */

int admit_retry_after_ms(double wait_us, apr_interval_time_t left,
			 struct random *r);

/* Priorities at the engine, 0 first to 9. */
#define ADMIT_PRIORITY_IN_TIME 4
#define ADMIT_PRIORITY_LATE 7

/*
 * How long ago a caller first asked, told by how much of its time is gone:
 * the longest time left that was seen lately is that of a first attempt of
 * the most patient caller.  By how much callers differ in patience is learned
 * while nobody is refused, as there are hardly any returns then.
 */
#define ADMIT_ROUTES_MAX 512
#define ADMIT_ROUTE_TTL_US (20 * 1000 * 1000)

struct route_deadline {
	uint64_t route; /* hash of its name */
	long longest_ms;
	long spread_ms;	       /* of first attempts */
	int unloaded_attempts; /* attempts seen while nobody was refused */
	apr_time_t updated_at;
};

struct deadline_table {
	struct route_deadline rows[ADMIT_ROUTES_MAX];
	apr_time_t refused_at; /* the last refusal, 0: none */
};

int deadline_table_elapsed_ms(struct deadline_table *d, const char *route,
			      long left_ms, apr_time_t now);

#endif
