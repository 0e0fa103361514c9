#ifndef FORWARD_ADMIT_H
#define FORWARD_ADMIT_H

#include <apr_time.h>

#include "base/random.h"

/*
 * Admission control under sustained overload of a service that has an
 * objective for the time to the first event. A request that can still be
 * answered in time is admitted while the estimated wait allows it. A retry
 * that is already late is admitted only where slots are free, so that it does
 * not make other requests late. Each request is decided at once.
 */

struct admit_input {
	int service_objective_ms; /* strictest among the service's routes */
	int route_objective_ms;	  /* of the request's own route */
	int elapsed_ms;		  /* since the caller's first attempt */
	double backlog_us;	  /* estimated wait for earlier requests */
	double first_event_us;	  /* estimated for the request, slot free */
	double typical_first_event_us; /* same for a typical request */
	int load;		       /* requests at the chosen upstream */
	int slots;
	int rank; /* by urgency among the service's, see admit_rank */
};

/* Ranks by urgency; what is less urgent still shares the last. */
#define ADMIT_RANKS_MAX 3

enum admit_class {
	ADMIT_REFUSED = 0,
	ADMIT_IN_TIME, /* expected to start within its objective */
	ADMIT_LATE     /* cannot meet its objective; uses a free slot */
};

int admit_rank(int priority, int first, int last);
int admit_priority(enum admit_class c, int rank, int rank_last);
enum admit_class admit_decide(const struct admit_input *in);
const char *admit_class_name(enum admit_class c);

/* Wait of a request that no upstream can serve at present. */
#define ADMIT_WAIT_UNKNOWN_US (-1.0)

int admit_retry_after_pause_ms(apr_interval_time_t left, struct random *r);
int admit_retry_after_ms(double wait_us, apr_interval_time_t left,
			 struct random *r);

/* Priorities at the engine, from 0 (first) to 9. */
#define ADMIT_PRIORITY_IN_TIME 4
#define ADMIT_PRIORITY_LATE 7

/*
 * Estimates how long ago a caller made its first attempt from the time left to
 * its deadline. The longest time left seen recently on a route is that of a
 * first attempt of the caller with the longest timeout. The spread of client
 * timeouts is learned while no request is refused, as there are hardly any
 * retries then.
 */
#define ADMIT_ROUTES_MAX 512
#define ADMIT_ROUTE_TTL_US (20 * 1000 * 1000)

struct route_deadline {
	uint64_t route; /* hash of its name */
	long longest_ms;
	long spread_ms;	       /* range of time left of first attempts */
	int unloaded_attempts; /* attempts seen while none were refused */
	apr_time_t updated_at; /* last update of longest_ms */
};

struct deadline_table {
	struct route_deadline rows[ADMIT_ROUTES_MAX];
	apr_time_t refused_at; /* time of the last refusal, 0: none */
};

int deadline_table_elapsed_ms(struct deadline_table *d, const char *route,
			      long left_ms, apr_time_t now);

#endif
