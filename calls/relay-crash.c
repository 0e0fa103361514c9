#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "calls/entry-internal.h"

/*
 * Keeps a request that crashes whatever runs it from more than two
 * upstreams of a data center.  A request is one of them until it was seen
 * to end well once; until then it runs only at its pair.
 */

static uint64_t *proven_slot(struct relay *r, uint64_t *mark)
{
	memcpy(mark, r->fingerprint.bytes, sizeof(*mark));
	return &r->e->completed_fingerprints[*mark % ENTRY_COMPLETED_SLOTS];
}

static int is_proven(struct relay *r)
{
	uint64_t mark, *slot = proven_slot(r, &mark);

	return __atomic_load_n(slot, __ATOMIC_RELAXED) == mark;
}

/* Returns -1 with the refusal when the request crashed two upstreams. */
int relay_check_quarantine(struct relay *r, apr_time_t now, struct refusal *why)
{
	int retry_after_s = 0;

	if (!crash_is_quarantined(r->e->crashes, &r->fingerprint, now,
				  &retry_after_s))
		return 0;
	refusal_set(why, 503, OUTCOME_NOT_RUN, AGAIN_SAME, "crashing-request",
		    "route", "two upstreams died while they ran this request");
	why->retry_after_ms = retry_after_s * 1000;
	return -1;
}

/* Chooses out of the request's pair in one data center.  Returns -1 if none. */
static int pair_choose(struct relay *r, struct route_query *q,
		       const char *data_center, apr_time_t now,
		       struct route_choice *out)
{
	struct entry *e = r->e;
	const char *pair[2];

	q->data_center = data_center;
	q->allowed = pair;
	q->allowed_count =
		route_choose_pair(&e->routes, r->class, &r->fingerprint,
				  r->affinity, data_center, pair);
	if (!q->allowed_count) {
		out->index = -1;
		out->reason = "no-upstream";
		return -1;
	}
	route_choose(&e->routes, q, now, &e->random, out);
	return out->index < 0 ? -1 : 0;
}

/*
 * Chooses the upstream: any, for a request that was seen to end well; else
 * one of its pair in the own data center, or in another one if neither can
 * take it.  The routes are locked.
 */
void relay_choose_upstream(struct relay *r, struct route_query *q,
			   apr_time_t now, struct route_choice *out)
{
	const char *own = r->e->n->settings.data_center, *other;
	struct route_choice elsewhere;
	int n;

	if (is_proven(r) && crash_verdict(r->e->crashes, &r->fingerprint, now,
					  NULL) == CRASH_CLEAR) {
		route_choose(&r->e->routes, q, now, &r->e->random, out);
		return;
	}
	if (!pair_choose(r, q, own, now, out))
		return;
	for (n = 0; (other = route_other_data_center(&r->e->routes, own, n));
	     n++) {
		if (!pair_choose(r, q, other, now, &elsewhere)) {
			*out = elsewhere;
			return;
		}
	}
}

/* Returns 1 if the request may run at an upstream now. */
int relay_crash_begin_run(struct relay *r, const char *upstream, apr_time_t now)
{
	if (!crash_begin_run(r->e->crashes, &r->fingerprint, upstream, now,
			     NULL))
		return 0;
	snprintf(r->crash_run_upstream, sizeof(r->crash_run_upstream), "%s",
		 upstream);
	return 1;
}

/* Ends what relay_crash_begin_run allowed. */
void relay_crash_end_run(struct relay *r, int finished)
{
	uint64_t mark, *slot = proven_slot(r, &mark);

	if (!*r->crash_run_upstream)
		return;
	crash_end_run(r->e->crashes, &r->fingerprint, r->crash_run_upstream,
		      finished, clock_now());
	r->crash_run_upstream[0] = '\0';
	if (finished)
		__atomic_store_n(slot, mark, __ATOMIC_RELAXED);
}
