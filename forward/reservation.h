#ifndef FORWARD_RESERVATION_H
#define FORWARD_RESERVATION_H

#include "forward/release.h"
#include "forward/repeats.h"
#include "forward/target.h"

/*
 * A place for the next attempt of a request, taken before its current attempt
 * is given up: an upstream with room, a retry of the budget, and with them the
 * attempts and the time that are left. Whoever holds one uses or releases it.
 * The functions read no clock and do no I/O.
 */

struct reservation {
	int has_slot;  /* at the upstream */
	int has_retry; /* in the budget */
	char upstream[SETTINGS_NAME_SIZE];
	int64_t started_ms;    /* of the upstream's process */
	apr_time_t counted_at; /* when its retry was taken from the budget */
	struct target_choice choice;
};

/* What the place has to offer beyond being eligible, see target_query. */
struct reservation_terms {
	int attempts; /* of the request so far */
	int runs;     /* attempts that may have run, with the current one */
	int runs_max; /* the route's bound */
	apr_time_t expires_at; /* end of the caller's or the route's time */
	/* Time that an attempt needs once its answer has begun. */
	apr_interval_time_t answer_us;
	const struct releases *releases;
	int needs_free_slot; /* no other request may be in front of it */
	int retries_kept;    /* in the budget, for requests that failed */
};

const char *reservation_take(struct reservation *r, struct target_table *t,
			     struct service_retry_budget *b,
			     const struct target_query *q,
			     const struct reservation_terms *terms,
			     struct random *random, apr_time_t now);
struct target *reservation_use_slot(struct reservation *r,
				    struct target_table *t,
				    const struct target_query *q,
				    apr_time_t now);
void reservation_use_retry(struct reservation *r);
void reservation_release(struct reservation *r, struct target_table *t,
			 struct service_retry_budget *b, const char *service,
			 apr_time_t now);

#endif
